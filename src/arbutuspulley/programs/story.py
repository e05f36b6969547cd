"""Builds the timeline of a request from the logs of several instances."""

import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from arbutuspulley.node.messages import SECOND_KEY_SUFFIX
from arbutuspulley.programs.log_lines import LogLine, open_sources, read_lines

_ID_FIELD = "id"
_RESUMED_FIELD = "resumed_attempt"
_HIDDEN = frozenset(("time_ms", "instance", "event", "name", _ID_FIELD))

ORDER_SLACK_MS = 50
"""Assumed maximum clock skew between instances, in ms. Lines closer than this are
ordered by the steps of a request's processing, not by their timestamps."""

_STEPS = ("server_granted", "attempt_failed", "request_refused", "request_lost")

_SECOND_BEGUN = "second_attempt_begun"
_SECOND_STEPS = (
    _SECOND_BEGUN,
    "second_attempt_won",
    "second_attempt_lost",
    "second_attempt_withheld",
)
"""Steps of a second attempt. Like failed attempts, they come after a grant and before
the end, in the order of their times."""


def build_timeline(lines: Iterable[LogLine], request_id: str) -> list[str]:
    """Return the events of a request in order, one text for each log line.

    If its stream was resumed by further attempts, or it is one of them, all attempts
    are shown, each line with the id of its attempt.

    :param request_id: request id that the caller sent.
    """
    named = [_strip_suffix(line) for line in lines if line.fields.get(_ID_FIELD)]
    attempts = _list_attempts(named, request_id)
    own = [line for line in named if line.fields[_ID_FIELD] in attempts]
    own.sort(key=lambda line: line.time_ms)
    ordered = _order_by_step(own)
    if not ordered:
        return []
    started_ms = min(line.time_ms for line in ordered)
    hidden = _HIDDEN if len(attempts) == 1 else _HIDDEN - {_ID_FIELD}
    labels = _label_servers(ordered)
    return [_show(line, started_ms, hidden, labels) for line in ordered]


def _strip_suffix(line: LogLine) -> LogLine:
    """Return a line under its request's id if the id is that of a second grant."""
    named = str(line.fields[_ID_FIELD])
    if not named.endswith(SECOND_KEY_SUFFIX):
        return line
    fields = {**line.fields, _ID_FIELD: named.removesuffix(SECOND_KEY_SUFFIX)}
    return msgspec.structs.replace(line, fields=fields)


def _label_servers(lines: list[LogLine]) -> dict[tuple[str, str], str]:
    """Return which attempt each server got, by request id and server, where it had two.

    Both attempts have the id of the request, so their lines differ by the server only.
    """
    labels: dict[tuple[str, str], str] = {}
    for line in lines:
        if line.name == _SECOND_BEGUN:
            named = str(line.fields[_ID_FIELD])
            labels[named, str(line.fields.get("first_server"))] = "first attempt"
            labels[named, str(line.fields.get("server"))] = "second attempt"
    return labels


def _list_attempts(lines: list[LogLine], request_id: str) -> set[str]:
    """Return the ids of all attempts at the stream that a request belongs to."""
    begun_by = {
        str(line.fields[_ID_FIELD]): str(line.fields[_RESUMED_FIELD])
        for line in lines
        if line.fields.get(_RESUMED_FIELD)
    }
    first = begun_by.get(request_id, request_id)
    return {request_id, first} | {
        attempt for attempt, begun in begun_by.items() if begun == first
    }


def print_timeline(request_id: str, paths: list[Path]) -> int:
    """Print the timeline of a request.

    :param paths: log files; empty: standard input.
    :return: the exit status; 1 if no log line has the request id.
    """
    texts = build_timeline(read_lines(open_sources(paths)), request_id)
    for text in texts:
        print(text)
    if not texts:
        print(f"no line names the request {request_id}", file=sys.stderr)
        return 1
    return 0


def _order_by_step(lines: list[LogLine]) -> list[LogLine]:
    """Order lines within the clock skew by the steps of a request's processing."""
    ordered: list[LogLine] = []
    group: list[LogLine] = []
    for line in lines:
        if group and line.time_ms - group[-1].time_ms > ORDER_SLACK_MS:
            ordered += sorted(group, key=_rank)
            group = []
        group.append(line)
    return ordered + sorted(group, key=_rank)


def _rank(line: LogLine) -> int:
    if line.name in _SECOND_STEPS:
        return _STEPS.index("attempt_failed")
    return _STEPS.index(line.name) if line.name in _STEPS else len(_STEPS) - 1


def _show(
    line: LogLine,
    started_ms: int,
    hidden: frozenset[str],
    labels: dict[tuple[str, str], str],
) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden and value not in ("", None)
    )
    named, server = str(line.fields[_ID_FIELD]), str(line.fields.get("server"))
    label = labels.get((named, server), "")
    shown = f"{fields}  ({label})" if label else fields
    return f"+{line.time_ms - started_ms:>6} ms  {line.instance}  {line.name}  {shown}"
