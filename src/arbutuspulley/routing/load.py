"""Estimates the load of a server from its report and this process's own attempts.

A report of a server's load is stale when it is used. The attempts that this process
has begun and ended at the server since the report was measured are known exactly, so
the estimate is the report corrected by that difference.
"""

from collections import deque

import msgspec

from arbutuspulley.data import State, Value
from arbutuspulley.rpc.messages import ServerSummary

HISTORY_MS = 30_000
"""How long begun and ended attempts are kept; no usable report is older."""


class LoadChange(Value, frozen=True):
    """Attempts begun (positive) or ended (negative) at one time, in ms."""

    at: int
    requests: int
    tokens: int


class ServerLoad(State):
    """Load of this process on one server.

    :param requests: own requests in flight now.
    :param tokens: estimated token cost of these.
    :param changes: recent changes of both.
    :param report: latest report of the server.
    :param measured_at: time, on this process's clock, at which the report was measured,
        in ms.
    :param requests_at_report: own requests in flight at that time.
    :param tokens_at_report: their estimated token cost.
    """

    requests: int = 0
    tokens: int = 0
    changes: deque[LoadChange] = msgspec.field(default_factory=deque)
    report: ServerSummary | None = None
    measured_at: int = 0
    requests_at_report: int = 0
    tokens_at_report: int = 0


def add_change(load: ServerLoad, *, requests: int, tokens: int, now: int) -> None:
    """Account for attempts that begin (positive) or end (negative)."""
    load.requests = max(0, load.requests + requests)
    load.tokens = max(0, load.tokens + tokens)
    load.changes.append(LoadChange(at=now, requests=requests, tokens=tokens))
    while load.changes and load.changes[0].at < now - HISTORY_MS:
        load.changes.popleft()


def observe_report(load: ServerLoad, *, report: ServerSummary, now: int) -> None:
    """Apply a new report; the current one is ignored.

    :param now: time of receipt, in ms; the report's age is relative to this.
    """
    if report is load.report:
        return
    load.report = report
    load.measured_at = now - report.age_ms
    later = [change for change in load.changes if change.at >= load.measured_at]
    load.requests_at_report = load.requests - sum(item.requests for item in later)
    load.tokens_at_report = load.tokens - sum(item.tokens for item in later)


def estimate_requests(load: ServerLoad) -> int:
    """Return the estimated number of requests that the server runs and queues now."""
    report = load.report
    if report is None:
        return load.requests
    reported = report.running + report.waiting
    return max(load.requests, reported + load.requests - load.requests_at_report)


def estimate_tokens(load: ServerLoad) -> int:
    """Return the estimated token cost that the server still has to process."""
    report = load.report
    if report is None:
        return load.tokens
    return max(
        load.tokens - load.tokens_at_report,
        report.waiting_tokens + load.tokens - load.tokens_at_report,
    )
