"""Figures of runs: summary of each run, and ratios between runs."""

from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from arbutuspulley.bench.load import RequestRecord
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value

WARM_UP_MS = 4 * SECOND_MS
"""Warm-up; requests that arrive earlier are sent, but not counted."""

REFUSED_CODES = frozenset({2001, 2002, 2003, 2004, 2005, 2009})
"""Result codes of attempts that were not admitted."""

_MAX_MS = 600_000


class Run(Value, frozen=True):
    """One run of a policy.

    :param engine_attempts: attempts sent to engines, as counted by the senders.
    """

    name: str
    policy: str
    requests: tuple[RequestRecord, ...]
    engine_attempts: int = 0


class Summary(Value, frozen=True):
    """Summary of a run.

    :param offered: number of counted requests.
    :param attainment: fraction of the requests that met their targets, with the first
        token timed from the first attempt.
    :param met: number of requests that met their targets, with the first token timed
        from the last attempt.
    :param met_first: the same, timed from the first attempt.
    :param refused: number of requests without a complete answer.
    :param tries: mean number of attempts per request.
    :param first_token_p50_ms: median time from the first attempt to the first token.
    :param first_token_p95_ms: the same, 95th percentile.
    :param between_p95_ms: 95th percentile of the requests' mean time between tokens.
    :param amplification: ratio of attempts sent to engines to admitted attempts.
    :param lost: number of requests that ended neither with a complete and correct
        answer nor with a refusal or a numbered error.
    :param doubled: number of tokens received beyond the requested ones.
    """

    name: str
    policy: str
    offered: int
    attainment: float
    met: int
    met_first: int
    refused: int
    tries: float
    first_token_p50_ms: int
    first_token_p95_ms: int
    between_p95_ms: float
    amplification: float
    lost: int
    doubled: int


def count_met(run: Run, *, caller: str = "", from_first: bool = False) -> int:
    """Return the number of counted requests that met their targets.

    :param caller: counts only requests of this caller; empty for all callers.
    :param from_first: see :meth:`.load.RequestRecord.meets_targets`.
    """
    return sum(
        record.meets_targets(from_first=from_first)
        for record in list_counted(run, caller=caller)
    )


def count_goodput(run: Run, *, from_first: bool = False) -> int:
    """Return the number of answers in the counted time that met their targets.

    An answer counts if its first token came between the warm-up and the last arrival.
    Requests that arrived during the warm-up count too, because under overload,
    retries of earlier requests take the place of new ones.
    """
    last_at = max((record.arrival.at for record in run.requests), default=0)
    return sum(
        WARM_UP_MS <= _get_first_token_time(record) <= last_at
        for record in run.requests
        if record.meets_targets(from_first=from_first)
    )


def measure_attainment(run: Run, *, caller: str = "", from_first: bool = True) -> float:
    """Return the fraction of the counted requests that met their targets."""
    counted = list_counted(run, caller=caller)
    met = count_met(run, caller=caller, from_first=from_first)
    return met / len(counted) if counted else 0.0


def list_counted(run: Run, *, caller: str = "") -> list[RequestRecord]:
    """Return the requests that arrived after the warm-up."""
    return [
        record
        for record in run.requests
        if record.arrival.at >= WARM_UP_MS and caller in ("", record.arrival.caller)
    ]


def build_first_token_histogram(run: Run) -> HdrHistogram:
    """Return the histogram of times from first attempt to first token, in ms."""
    histogram = HdrHistogram(1, _MAX_MS, 3)
    for record in list_counted(run):
        last = record.attempts[-1] if record.attempts else None
        if last is not None and last.first_at is not None:
            histogram.record_value(max(1, round(last.first_at - record.due_at)))
    return histogram


def summarise(run: Run) -> Summary:
    """Return the summary of a run."""
    counted = list_counted(run)
    first = build_first_token_histogram(run)
    admitted = sum(_count_admitted(record) for record in run.requests)
    intervals = _build_token_intervals(counted)
    return Summary(
        name=run.name,
        policy=run.policy,
        offered=len(counted),
        attainment=round(measure_attainment(run), 3),
        met=count_met(run),
        met_first=count_met(run, from_first=True),
        refused=sum(not record.is_complete() for record in counted),
        tries=round(
            sum(len(record.attempts) for record in counted) / max(1, len(counted)), 2
        ),
        first_token_p50_ms=first.get_value_at_percentile(50),
        first_token_p95_ms=first.get_value_at_percentile(95),
        between_p95_ms=intervals.get_value_at_percentile(95) / 100,
        amplification=round(run.engine_attempts / admitted, 3) if admitted else 0.0,
        lost=sum(record.is_lost() for record in run.requests),
        doubled=sum(
            attempt.surplus_tokens
            for record in run.requests
            for attempt in record.attempts
        ),
    )


def divide(dividend: float, divisor: float) -> float | None:
    """Return a ratio, or ``None`` if the divisor is 0."""
    return round(dividend / divisor, 3) if divisor else None


def _get_first_token_time(record: RequestRecord) -> float:
    """Return the time of an answer's first token, in ms after the start of the run."""
    first_at = record.attempts[-1].first_at
    assert first_at is not None
    return first_at - record.due_at + record.arrival.at


def _count_admitted(record: RequestRecord) -> int:
    return sum(
        not (attempt.refused and (attempt.code in REFUSED_CODES or not attempt.code))
        for attempt in record.attempts
    )


def _build_token_intervals(counted: Sequence[RequestRecord]) -> HdrHistogram:
    """Return the histogram of the mean times between tokens, in hundredths of a ms."""
    histogram = HdrHistogram(1, 100 * _MAX_MS, 3)
    for record in counted:
        last = record.attempts[-1] if record.attempts else None
        if last is not None and last.complete and last.first_at is not None:
            interval_ms = (last.ended_at - last.first_at) / record.arrival.tokens
            histogram.record_value(max(1, round(100 * interval_ms)))
    return histogram
