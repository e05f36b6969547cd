"""Log lines on standard output: bounded in rate and memory, without blocking."""

import json
import logging
import os

from arbutuspulley.clock import Clock
from arbutuspulley.events import MAX_BUFFERED_LINES, BoundedOutput, Event


def build(descriptor, outcomes, *, now=lambda: 0, lines_per_s=10):
    return BoundedOutput(
        descriptor=descriptor,
        instance="n1",
        lines_per_s=lines_per_s,
        count_line=outcomes.append,
        clock=Clock(read=now),
    )


def emit(output, event, **fields):
    record = logging.LogRecord("x", logging.INFO, "", 0, event.name.lower(), (), None)
    record.event_number = event.value
    record.event_fields = fields
    output.emit(record)


def test_per_request_lines_are_dropped_first():
    """Hundreds of requests end in the same second, and one is lost.

    The line of the lost request must be among those that are written.
    """
    reader, writer = os.pipe()
    outcomes = []
    output = build(writer, outcomes)
    for number in range(100):
        emit(output, Event.REQUEST_ENDED, id=f"r{number}")
    emit(output, Event.REQUEST_LOST, id="lost")
    os.close(writer)
    with os.fdopen(reader) as lines:
        written = [json.loads(line) for line in lines]
    assert len(written) == 11
    assert written[-1]["id"] == "lost"
    assert (outcomes.count("written"), outcomes.count("dropped")) == (11, 90)


def test_a_full_pipe_does_not_block():
    """Nothing reads standard output: writes must return and memory stay bounded."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    outcomes = []
    seconds = iter(range(1_000_000))
    output = build(writer, outcomes, now=lambda: next(seconds) * 1_000)
    output._schedule_flush = lambda: None
    for _ in range(3 * MAX_BUFFERED_LINES):
        emit(output, Event.REQUEST_LOST, text="x" * 100)
        output.flush()
    assert len(output._lines) <= MAX_BUFFERED_LINES
    assert outcomes.count("dropped") > 0
    os.close(reader)
    output.flush()
    os.close(writer)
