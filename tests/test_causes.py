"""Causes of late and lost requests, from the logs of several instances."""

import json

import pytest

from arbutuspulley.programs.causes import count_causes, print_causes
from arbutuspulley.programs.log_lines import read_lines


def build(name="request_ended", *, time_ms=1_000, **fields):
    line = {"time_ms": time_ms, "instance": "n1", "event": 1, "name": name}
    ended = {"id": "r1", "path": "/chat/2f", "status": 200, "aim_ms": 500}
    return json.dumps({**line, **ended, **fields})


def count(*lines):
    return dict(count_causes(read_lines([list(lines)])))


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"first_ms": 400}, "in time"),
        ({"first_ms": 600, "waited_ms": 300}, "late, by the wait"),
        ({"first_ms": 600, "waited_ms": 200}, "late, at the server"),
        (
            {"first_ms": 600, "waited_ms": 500, "refused": 1},
            "late, after tries that came to nothing",
        ),
        (
            {"first_ms": 400, "longest_pause_ms": 260, "pause_aim_ms": 250},
            "late, by a pause",
        ),
        ({"first_ms": 400, "longest_pause_ms": 260, "pause_aim_ms": 0}, "in time"),
        ({"status": 500, "first_ms": 9}, "the server's own 500"),
    ],
)
def test_the_longest_phase_is_the_cause_of_a_late_answer(fields, cause):
    assert count(build(**fields)) == {("/chat", cause): 1}


@pytest.mark.parametrize(
    ("copies", "cause"),
    [
        (None, "refused: refused"),
        (0, "refused: refused, no server had the model"),
        (2, "refused: refused, too many ahead"),
    ],
)
def test_the_cause_of_a_refusal_includes_the_coordinators_state(copies, cause):
    lines = [build("request_lost", how="refused", why="refused", status=503)]
    if copies is not None:
        lines.insert(0, build("request_refused", copies=copies))
    assert count(*lines) == {("/chat", cause): 1}


def test_intervals_are_listed_separately_and_empty_input_is_an_error(tmp_path, capsys):
    path = tmp_path / "log"
    late = build(first_ms=900, time_ms=7_000)
    path.write_text("\n".join([build(first_ms=1), late]))
    assert print_causes([path], every_s=5) == 0
    assert [
        line for line in capsys.readouterr().out.splitlines() if "from" in line
    ] == [
        "from 0 s",
        "from 5 s",
    ]
    path.write_text("nothing of ours")
    assert print_causes([path], every_s=0) == 1
    assert "no line" in capsys.readouterr().err
