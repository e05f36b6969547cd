"""What this process has in flight at a server, and what the server really carries.

A report of a server's load is old when it is used. What this process has begun
and ended at the server since the report was measured is known exactly, so an
estimate is the report corrected by that difference.
"""

from collections import deque

import msgspec

from arbutuspulley.data import State, Value
from arbutuspulley.rpc.messages import ServerSummary

HISTORY_MS = 30_000
"""How long begun and ended attempts are remembered; no usable report is older."""


class LoadChange(Value, frozen=True):
    """Attempts begun (positive) or ended (negative) at one moment."""

    at: int
    requests: int
    tokens: int


class ServerLoad(State):
    """Own account of one server.

    :param requests: own requests in flight there now.
    :param tokens: estimated token cost of these.
    :param report: the report that the account was last corrected against.
    :param measured_at: when, on this process's clock, its numbers were taken.
    :param requests_at_report: own requests in flight at that moment.
    :param tokens_at_report: their token cost.
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
    """Take up a newly received report; the one already known changes nothing.

    :param now: the time of receipt; the report's own age is counted from here.
    """
    if report is load.report:
        return
    load.report = report
    load.measured_at = now - report.age_ms
    later = [change for change in load.changes if change.at >= load.measured_at]
    load.requests_at_report = load.requests - sum(item.requests for item in later)
    load.tokens_at_report = load.tokens - sum(item.tokens for item in later)


def estimate_requests(load: ServerLoad) -> int:
    """Return how many requests the server likely runs and queues now."""
    report = load.report
    if report is None:
        return load.requests
    reported = report.running + report.waiting
    return max(load.requests, reported + load.requests - load.requests_at_report)


def estimate_tokens(load: ServerLoad) -> int:
    """Return how many tokens the server likely still has to work on."""
    report = load.report
    if report is None:
        return load.tokens
    return max(
        load.tokens - load.tokens_at_report,
        report.waiting_tokens + load.tokens - load.tokens_at_report,
    )
