"""Splitting of a stream into complete events."""

import pytest

from arbutuspulley.delivery.stream import EventBuffer, take_complete_events


@pytest.mark.parametrize(
    ("chunks", "expected", "last_id", "partial"),
    [
        ([b"id: 1\ndata: a\n\n"], b"id: 1\ndata: a\n\n", "1", b""),
        ([b"id: 1\nda", b"ta: a\n\nid: 2"], b"id: 1\ndata: a\n\n", "1", b"id: 2"),
        ([b"id: 1\n\nid: 2\n\n"], b"id: 1\n\nid: 2\n\n", "2", b""),
        ([b"data: no id\n", b"\n"], b"data: no id\n\n", "", b""),
        ([b"x: 4\nid: 7\ndata: b\n\n"], b"x: 4\nid: 7\ndata: b\n\n", "7", b""),
        ([b""], b"", "", b""),
    ],
)
def test_only_complete_events_are_returned(chunks, expected, last_id, partial):
    buffer = EventBuffer()
    assert b"".join(take_complete_events(buffer, chunk) for chunk in chunks) == expected
    assert buffer.last_id == last_id
    assert buffer.partial == partial
