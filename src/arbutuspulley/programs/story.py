"""Builds the timeline of a request from the logs of several instances."""

import sys
from collections.abc import Iterable
from pathlib import Path

from arbutuspulley.programs.log_lines import LogLine, open_sources, read_lines

_ID_FIELD = "id"
_HIDDEN = frozenset(("time_ms", "instance", "event", "name", _ID_FIELD))

ORDER_SLACK_MS = 50
"""Assumed maximum clock skew between instances, in ms. Lines closer than this are
ordered by the steps of a request's processing, not by their timestamps."""

_STEPS = ("server_granted", "attempt_failed", "request_refused", "request_lost")


def build_timeline(lines: Iterable[LogLine], request_id: str) -> list[str]:
    """Return the events of a request in order, one text for each log line.

    :param request_id: request id that the caller sent.
    """
    own = [line for line in lines if line.fields.get(_ID_FIELD) == request_id]
    own.sort(key=lambda line: line.time_ms)
    ordered = _order_by_step(own)
    if not ordered:
        return []
    started_ms = min(line.time_ms for line in ordered)
    return [_show(line, started_ms) for line in ordered]


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
    return _STEPS.index(line.name) if line.name in _STEPS else len(_STEPS) - 1


def _show(line: LogLine, started_ms: int) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN and value not in ("", None)
    )
    return f"+{line.time_ms - started_ms:>6} ms  {line.instance}  {line.name}  {fields}"
