"""Classifies late and lost requests by cause, from the logs of several instances.

A late response is attributed to one cause: failed attempts, the wait for a server, the
server itself, or a gap in the stream. Retries by the caller are not counted: an
instance does not know how often the caller has sent the request before.
"""

import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.programs.log_lines import LogLine, open_sources, read_lines

IN_TIME = "in time"

_ENDED = "request_ended"
_LOST = "request_lost"
_REFUSED = "request_refused"


def count_causes(lines: Iterable[LogLine]) -> Counter[tuple[str, str]]:
    """Count requests by the first segment of their path and their cause."""
    kept = [line for line in lines if line.name in (_ENDED, _LOST, _REFUSED)]
    refusals = {
        line.fields.get("id"): line.fields for line in kept if line.name == _REFUSED
    }
    counts: Counter[tuple[str, str]] = Counter()
    for line in kept:
        if line.name == _REFUSED:
            continue
        cause = (
            _classify_ended(line.fields)
            if line.name == _ENDED
            else _classify_lost(line.fields, refusals.get(line.fields.get("id")))
        )
        counts[_get_route(line), cause] += 1
    return counts


def format_causes(counts: Counter[tuple[str, str]]) -> list[str]:
    """Return the counts as lines of a table, the most frequent first."""
    totals = Counter[str]()
    for (route, _cause), count in counts.items():
        totals[route] += count
    lines: list[str] = []
    for route, total in totals.most_common():
        lines.append(f"{route}  {total} requests")
        causes = Counter({c: n for (r, c), n in counts.items() if r == route})
        lines += [
            f"  {count:>6}  {count / total:>6.1%}  {cause}"
            for cause, count in causes.most_common()
        ]
    return lines


def print_causes(paths: list[Path], *, every_s: int) -> int:
    """Print the causes of late and lost requests.

    :param paths: log files; empty: standard input.
    :param every_s: length in s of the interval that a table covers; 0: one table for
        the whole log.
    :return: the exit status; 1 if no log line records the end of a request.
    """
    spans: dict[int, list[LogLine]] = {}
    for line in read_lines(open_sources(paths)):
        span = line.time_ms // (every_s * SECOND_MS) if every_s else 0
        spans.setdefault(span, []).append(line)
    has_output = False
    for span in sorted(spans):
        lines = format_causes(count_causes(spans[span]))
        if lines and every_s:
            print(f"from {(span - min(spans)) * every_s} s")
        for text in lines:
            has_output = True
            print(text)
    if not has_output:
        print("no line records the end of a request", file=sys.stderr)
    return 0 if has_output else 1


def _classify_ended(fields: dict[str, object]) -> str:
    status = _get_number(fields, "status")
    if status >= 400:
        return f"the server's own {status}"
    first, target = _get_number(fields, "first_ms"), _get_number(fields, "aim_ms")
    if target and first > target:
        waited = _get_number(fields, "waited_ms")
        failed = sum(_get_number(fields, name) for name in ("refused", "unreached"))
        if failed or _get_number(fields, "may_have_run") > 1:
            return "late, after tries that came to nothing"
        return "late, by the wait" if 2 * waited >= first else "late, at the server"
    gap_target = _get_number(fields, "pause_aim_ms")
    if gap_target and _get_number(fields, "longest_pause_ms") > gap_target:
        return "late, by a pause"
    return IN_TIME


def _classify_lost(fields: dict[str, object], refusal: dict[str, object] | None) -> str:
    text = f"{fields.get('how')}: {fields.get('why') or 'no reason told'}"
    if refusal is None:
        return text
    if not _get_number(refusal, "copies"):
        return f"{text}, no server had the model"
    return f"{text}, too many ahead"


def _get_route(line: LogLine) -> str:
    path = str(line.fields.get("path", ""))
    return "/" + path.strip("/").partition("/")[0]


def _get_number(fields: dict[str, object], name: str) -> int:
    value = fields.get(name)
    return value if isinstance(value, int) else 0
