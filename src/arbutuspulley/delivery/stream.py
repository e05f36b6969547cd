"""Splits a server's event stream into complete events.

The format is that of the HTML standard, "Server-sent events": lines end in LF, CRLF or
CR, and a blank line ends an event. A server may stop in the middle of an event. Only
complete events are forwarded, so that a stream can resume on another server after the
last one without an incomplete event in it.
"""

import re

import msgspec

from arbutuspulley.data import State

EVENT_FIELDS = frozenset((b"data", b"event", b"id"))
"""Fields of an event. Other lines stand for themselves, between events too."""

_LINE_END = re.compile(rb"\r\n?|\n")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""What no header can hold, so that no server can be asked for what follows such an id.
"""

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventBuffer(State):
    """Buffer of one stream, over all servers that it is read from.

    :param fields: names of the fields that belong to an event.
    :param pending: received bytes that can't be forwarded yet.
    :param events: number of complete events of the current server.
    :param last_id: id of the last complete event that had one; empty if none had.
    :param has_events_after_id: whether events without an id followed it.
    """

    fields: frozenset[bytes] = EVENT_FIELDS
    pending: bytearray = msgspec.field(default_factory=bytearray)
    events: int = 0
    last_id: str = ""
    has_events_after_id: bool = False
    # Offsets into the pending bytes: of the line that is not complete yet, and up to
    # which it holds no line end. Each byte is scanned once, however it arrives.
    line_start: int = 0
    scanned: int = 0
    # Fields of the event that is not complete yet.
    is_in_event: bool = False
    has_data: bool = False
    next_id: str | None = None
    # The last line ended in CR; an LF that follows belongs to it.
    is_after_cr: bool = False
    is_at_start: bool = True
    is_resumed: bool = False


def start_run(buffer: EventBuffer, *, is_resumed: bool) -> None:
    """Prepare the buffer for a server's answer; drop what another one left incomplete.

    :param is_resumed: whether events of the stream have been forwarded already.
    """
    buffer.pending.clear()
    buffer.events = buffer.line_start = buffer.scanned = 0
    buffer.is_in_event = buffer.has_data = buffer.is_after_cr = False
    buffer.next_id = None
    buffer.is_at_start, buffer.is_resumed = True, is_resumed


def take_complete_events(buffer: EventBuffer, chunk: bytes) -> bytes:
    """Add received bytes to the buffer, and remove and return what can be forwarded.

    That is complete events, and the lines between them that belong to none.
    """
    pending = buffer.pending
    pending += chunk
    if buffer.is_at_start and not _skip_byte_order_mark(buffer):
        return b""
    complete = _skip_line_feed(buffer)
    while found := _LINE_END.search(pending, buffer.scanned):
        line = bytes(pending[buffer.line_start : found.start()])
        buffer.line_start = buffer.scanned = found.end()
        buffer.is_after_cr = found[0] == b"\r" and found.end() == len(pending)
        _process_line(buffer, line)
        if not buffer.is_in_event:
            complete = found.end()
    buffer.scanned = len(pending)
    taken = bytes(pending[:complete])
    del pending[:complete]
    buffer.line_start -= complete
    buffer.scanned -= complete
    return taken


def is_inside_event(buffer: EventBuffer) -> bool:
    """Return whether the received bytes end in the middle of an event.

    An incomplete line counts as an event's unless it is a comment or a reconnection
    time: the rest of it may name a field of an event.
    """
    if buffer.is_in_event:
        return True
    line = buffer.pending[buffer.line_start :]
    return bool(line) and not line.startswith((b":", b"retry:"))


def can_resume(buffer: EventBuffer) -> bool:
    """Return whether another server can continue the stream after the last event.

    It continues after the last id, and would repeat events without one.
    """
    return not buffer.has_events_after_id


def _skip_line_feed(buffer: EventBuffer) -> int:
    """Skip the LF of a CRLF that was received in two parts.

    :return: number of pending bytes that are complete thereby.
    """
    if not buffer.is_after_cr or len(buffer.pending) == buffer.scanned:
        return 0
    buffer.is_after_cr = False
    if buffer.pending[buffer.scanned] != ord("\n"):
        return 0
    buffer.scanned += 1
    buffer.line_start = buffer.scanned
    return 0 if buffer.is_in_event else buffer.scanned


def _skip_byte_order_mark(buffer: EventBuffer) -> bool:
    """Skip the mark at the start of an answer; return whether that is decided.

    Within a resumed stream it would be part of a line.
    """
    pending = buffer.pending
    if len(pending) < len(_BYTE_ORDER_MARK) and _BYTE_ORDER_MARK.startswith(pending):
        return False
    buffer.is_at_start = False
    if not pending.startswith(_BYTE_ORDER_MARK):
        return True
    if buffer.is_resumed:
        del pending[: len(_BYTE_ORDER_MARK)]
    else:
        buffer.line_start = buffer.scanned = len(_BYTE_ORDER_MARK)
    return True


def _process_line(buffer: EventBuffer, line: bytes) -> None:
    if not line:
        _end_event(buffer)
        return
    name, _, value = line.partition(b":")
    if name not in buffer.fields:
        return
    buffer.is_in_event = True
    if name == b"data":
        buffer.has_data = True
    if name == b"id" and not _CONTROL_CHARACTER.search(value):
        buffer.next_id = value.removeprefix(b" ").decode(errors="replace")


def _end_event(buffer: EventBuffer) -> None:
    if not buffer.is_in_event:
        return
    buffer.events += 1
    if buffer.next_id is not None:
        buffer.last_id = buffer.next_id
    if buffer.next_id:
        buffer.has_events_after_id = False
    elif buffer.has_data:
        buffer.has_events_after_id = True
    buffer.is_in_event = buffer.has_data = False
    buffer.next_id = None
