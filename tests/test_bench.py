"""Arithmetic of the bench: arrivals, targets and figures."""

import pytest

from arbutuspulley.bench import figures, workloads
from arbutuspulley.bench.client import CallerAttempt
from arbutuspulley.bench.load import RequestRecord, offer_load
from arbutuspulley.bench.workloads import Arrival

ARRIVAL = Arrival(number=0, at=5_000, caller="a", model="m", tokens=10)


def build_record(*attempts, at=5_000, due_at=105_000):
    arrival = Arrival(number=0, at=at, caller="a", model="m", tokens=10)
    return RequestRecord(
        arrival=arrival, due_at=due_at, attempts=list(attempts), ended=True
    )


def build_attempt(began_at=105_000, first=100, between=30, **fields):
    first_at = began_at + first
    times = {"first_at": first_at, "ended_at": first_at + 10 * between}
    values = {"complete": True, "correct": True, **times, **fields}
    return CallerAttempt(began_at=began_at, **values)


def build_refusal(**fields):
    return CallerAttempt(began_at=105_000, refused=True, code=2002, **fields)


def test_arrivals_are_reproducible_and_have_the_given_rate():
    kurzeme = workloads.build_kurzeme()
    rates = {"gauja": 5.0, "kemeri": 10.0}
    both = workloads.build_arrivals(kurzeme, rates=rates, duration_ms=400_000, seed=1)
    again = workloads.build_arrivals(kurzeme, rates=rates, duration_ms=400_000, seed=1)
    assert both == again
    assert len(both) == pytest.approx(15 * 400, rel=0.05)
    burst = sum(arrival.at % 8_000 < 2_000 for arrival in both)
    assert burst / len(both) == pytest.approx(0.4, abs=0.03)
    alone = workloads.build_arrivals(
        kurzeme, rates={"gauja": 5.0}, duration_ms=400_000, seed=1
    )
    gauja_arrivals = [
        (arrival.at, arrival.model) for arrival in both if arrival.caller == "gauja"
    ]
    assert [(arrival.at, arrival.model) for arrival in alone] == gauja_arrivals


@pytest.mark.parametrize(
    ("attempts", "met_first", "met", "lost"),
    [
        ([build_attempt()], True, True, False),
        ([build_attempt(first=1_200)], False, False, False),
        ([build_attempt(between=40)], False, False, False),
        ([build_refusal()], False, False, False),
        ([build_refusal(), build_attempt(began_at=108_000)], False, True, False),
        ([build_attempt(correct=False)], False, False, True),
        ([build_attempt(complete=False, correct=False)], False, False, True),
        ([], False, False, True),
    ],
)
def test_requests_are_classified_as_within_targets_or_lost(
    attempts, met_first, met, lost
):
    record = build_record(*attempts)
    assert record.meets_targets(from_first=True) is met_first
    assert record.meets_targets(from_first=False) is met
    assert record.is_lost() is lost


def test_figures_exclude_the_warm_up_and_count_attempts():
    early = build_record(build_attempt(began_at=101_000), at=1_000, due_at=101_000)
    run = figures.Run(
        name="n",
        policy="p",
        requests=(early, build_record(build_attempt()), build_record(build_refusal())),
        engine_attempts=3,
    )
    summary = figures.summarise(run)
    assert (summary.offered, summary.met, summary.attainment) == (2, 1, 0.5)
    assert summary.amplification == 1.5
    assert figures.count_goodput(run) == 0  # the last arrival is before the first token


def test_refused_requests_are_retried_after_the_named_delay():
    attempt_counts = []

    def attempt(arrival, earlier_attempts):
        attempt_counts.append(earlier_attempts)
        if earlier_attempts:
            return build_attempt()
        return build_refusal(retry_after_ms=10)

    arrivals = [
        Arrival(number=n, at=n, caller="a", model="m", tokens=1) for n in (0, 1)
    ]
    records = offer_load(arrivals, attempt)
    assert sorted(attempt_counts) == [0, 0, 1, 1]
    assert all(record.ended and record.is_complete() for record in records)
