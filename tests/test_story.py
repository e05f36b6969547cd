"""Timeline of one request from the logs of several instances."""

import json

import pytest

from arbutuspulley.programs.log_lines import read_lines
from arbutuspulley.programs.story import print_story, tell_story


def build(time_ms, instance, name, **fields):
    line = {"time_ms": time_ms, "instance": instance, "event": 1, "name": name}
    return json.dumps({**line, **fields})


def tell(*lines, request="r1"):
    return tell_story(read_lines([list(lines)]), request)


def test_lines_of_one_request_are_ordered_by_time():
    told = tell(
        build(2_000, "n1", "request_lost", id="r1", why="time is up"),
        build(1_000, "n2", "server_granted", id="r1", server="e1"),
        build(1_500, "n1", "attempt_failed", id="r2", why="another request"),
    )
    assert told == [
        "+     0 ms  n2  server_granted  server=e1",
        "+  1000 ms  n1  request_lost  why=time is up",
    ]


def test_small_clock_differences_do_not_reverse_the_order():
    """The coordinator's clock is 30 ms ahead: by the clocks, the request failed at a
    server before it was granted one."""
    told = tell(
        build(1_000, "n1", "attempt_failed", id="r1"),
        build(1_030, "n2", "server_granted", id="r1"),
        build(1_031, "n1", "request_lost", id="r1"),
    )
    assert [text.split()[4] for text in told] == [
        "server_granted",
        "attempt_failed",
        "request_lost",
    ]


@pytest.mark.parametrize("text", ["", "not json", "{", "[1]", '{"id": "r1"}', "x {y"])
def test_other_lines_are_skipped(text):
    assert len(tell(text, build(1, "n1", "request_lost", id="r1"))) == 1


def test_text_before_a_log_event_is_removed():
    line = "  12.5 n1 " + build(1, "n1", "request_lost", id="r1")
    assert len(tell(line)) == 1


def test_a_request_without_lines_is_an_error(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(build(1, "n1", "request_lost", id="r1"))
    assert print_story("r9", [path]) == 1
    assert "r9" in capsys.readouterr().err
    assert print_story("r1", [path]) == 0
