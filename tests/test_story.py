"""Timeline of a request from the logs of several instances."""

import json

import pytest

from arbutuspulley.programs.log_lines import read_lines
from arbutuspulley.programs.story import build_timeline, print_timeline


def build(time_ms, instance, name, **fields):
    line = {"time_ms": time_ms, "instance": instance, "event": 1, "name": name}
    return json.dumps({**line, **fields})


def build_texts(*lines, request="r1"):
    return build_timeline(read_lines([list(lines)]), request)


def test_lines_of_one_request_come_in_order():
    texts = build_texts(
        build(2_000, "n1", "request_lost", id="r1", why="time is up"),
        build(1_000, "n2", "server_granted", id="r1", server="e1"),
        build(1_500, "n1", "attempt_failed", id="r2", why="another request"),
    )
    assert texts == [
        "+     0 ms  n2  server_granted  server=e1",
        "+  1000 ms  n1  request_lost  why=time is up",
    ]


def test_small_clock_skew_does_not_change_the_order():
    """The coordinator's clock is 30 ms ahead: by timestamps, the attempt failed before
    its server was granted."""
    texts = build_texts(
        build(1_000, "n1", "attempt_failed", id="r1"),
        build(1_030, "n2", "server_granted", id="r1"),
        build(1_031, "n1", "request_lost", id="r1"),
    )
    assert [text.split()[4] for text in texts] == [
        "server_granted",
        "attempt_failed",
        "request_lost",
    ]


@pytest.mark.parametrize("request_id", ["a1", "a2", "a3"])
def test_a_stream_is_followed_over_all_its_attempts(request_id):
    """Guards against a complaint about a mixed or broken stream that shows only one of
    the attempts at it."""
    texts = build_texts(
        build(1_000, "n1", "server_granted", id="a1", server="e1"),
        build(2_000, "n1", "request_lost", id="a1", resumed_attempt=""),
        build(3_000, "n2", "request_lost", id="a2", resumed_attempt="a1"),
        build(4_000, "n3", "request_ended", id="a3", resumed_attempt="a1"),
        build(4_500, "n3", "request_ended", id="b1", resumed_attempt="b0"),
        request=request_id,
    )
    assert texts == [
        "+     0 ms  n1  server_granted  id=a1 server=e1",
        "+  1000 ms  n1  request_lost  id=a1",
        "+  2000 ms  n2  request_lost  id=a2 resumed_attempt=a1",
        "+  3000 ms  n3  request_ended  id=a3 resumed_attempt=a1",
    ]


@pytest.mark.parametrize("text", ["", "not json", "{", "[1]", '{"id": "r1"}', "x {y"])
def test_text_that_is_no_log_line_is_skipped(text):
    assert len(build_texts(text, build(1, "n1", "request_lost", id="r1"))) == 1


def test_prefix_of_a_line_is_removed():
    line = "  12.5 n1 " + build(1, "n1", "request_lost", id="r1")
    assert len(build_texts(line)) == 1


def test_an_unknown_request_id_is_reported(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(build(1, "n1", "request_lost", id="r1"))
    assert print_timeline("r9", [path]) == 1
    assert "r9" in capsys.readouterr().err
    assert print_timeline("r1", [path]) == 0


def test_both_attempts_of_a_request_are_told_apart():
    """Guards against a second attempt whose grant is missing, and against lines of two
    servers of which nobody can tell which one was first."""
    texts = build_texts(
        build(1_000, "n2", "server_granted", id="r1", server="e1"),
        build(1_100, "n2", "server_granted", id="r1\n2", server="e2"),
        build(
            1_101,
            "n1",
            "second_attempt_begun",
            id="r1",
            server="e2",
            first_server="e1",
            silent_ms=90,
        ),
        build(1_110, "n1", "attempt_failed", id="r1", server="e1", why="reset"),
        build(1_130, "n1", "second_attempt_won", id="r1", server="e2"),
        build(1_130, "n1", "request_ended", id="r1", server="e2", status=200),
    )
    assert texts == [
        "+     0 ms  n2  server_granted  server=e1  (first attempt)",
        "+   100 ms  n2  server_granted  server=e2  (second attempt)",
        "+   101 ms  n1  second_attempt_begun  server=e2 first_server=e1 silent_ms=90"
        "  (second attempt)",
        "+   110 ms  n1  attempt_failed  server=e1 why=reset  (first attempt)",
        "+   130 ms  n1  second_attempt_won  server=e2  (second attempt)",
        "+   130 ms  n1  request_ended  server=e2 status=200  (second attempt)",
    ]
