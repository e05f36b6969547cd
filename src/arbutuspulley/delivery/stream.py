"""Cuts a server's event stream into whole events.

A server may stop in the middle of an event. Only whole events are passed on, so
that a stream can go on elsewhere after the last one without a torn piece in it.
"""

from arbutuspulley.data import State

_END = b"\n\n"
_ID = b"id:"


class EventBuffer(State):
    """State of one stream.

    :param partial: bytes of an event that has not ended.
    :param last_id: id of the last whole event, empty if it had none.
    """

    partial: bytes = b""
    last_id: str = ""


def take_complete_events(buffer: EventBuffer, chunk: bytes) -> bytes:
    """Take bytes as they came and return those that end whole events."""
    data = buffer.partial + chunk
    end = data.rfind(_END)
    if end < 0:
        buffer.partial = data
        return b""
    end += len(_END)
    complete, buffer.partial = data[:end], data[end:]
    buffer.last_id = _find_last_id(complete) or buffer.last_id
    return complete


def count_events(events: bytes) -> int:
    """Count whole events, as :func:`take_complete_events` returns them."""
    return events.count(_END)


def _find_last_id(events: bytes) -> str:
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("ascii", "replace")
    return ""
