"""Incremental parser for server-sent events."""

from collections.abc import Iterator

from arbutuspulley.data import State, Value

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; a longer one means that this is no event stream."""


class SentEvent(Value, frozen=True):
    """One server-sent event.

    :param id: the event's id; empty if it has none.
    """

    id: str
    data: bytes


class EventTooLongError(ValueError):
    """An event is longer than :data:`MAX_EVENT_BYTES`."""


class EventBuffer(State):
    """Buffer for the received part of an incomplete event."""

    pending: bytes = b""


def feed(buffer: EventBuffer, received: bytes) -> Iterator[SentEvent]:
    """Add received bytes to the buffer and yield the events that they complete.

    Comments and fields other than ``id`` and ``data`` are skipped.

    :raises EventTooLongError: if an event exceeds the limit.
    """
    text = (buffer.pending + received).replace(b"\r\n", b"\n")
    *complete, buffer.pending = text.split(b"\n\n")
    if len(buffer.pending) > MAX_EVENT_BYTES:
        raise EventTooLongError(f"event over {MAX_EVENT_BYTES} bytes")
    for block in complete:
        event = _parse(block)
        if event is not None:
            yield event


def _parse(block: bytes) -> SentEvent | None:
    event_id = ""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"data":
            data.append(value.removeprefix(b" "))
        elif name == b"id":
            event_id = value.removeprefix(b" ").decode("utf-8", "replace")
    if not data:
        return None
    return SentEvent(id=event_id, data=b"\n".join(data))
