"""Splits a server's event stream into complete events.

A server may stop in the middle of an event. Only complete events are forwarded, so that
a stream can resume on another server after the last one without a partial event in it.
"""

from arbutuspulley.data import State

_END = b"\n\n"
_ID = b"id:"


class EventBuffer(State):
    """Buffer of one stream.

    :param partial: bytes of an event that is not complete yet.
    :param last_id: latest id of the complete events; empty if none had one.
    """

    partial: bytes = b""
    last_id: str = ""


def take_complete_events(buffer: EventBuffer, chunk: bytes) -> bytes:
    """Add received bytes to the buffer, and remove and return the complete events."""
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
    """Count complete events, as returned by :func:`take_complete_events`."""
    return events.count(_END)


def _find_last_id(events: bytes) -> str:
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("ascii", "replace")
    return ""
