"""Outage detection, backoff, and recovery of many instances after an outage."""

import random
from collections import Counter

import pytest

from arbutuspulley.membership import outage
from arbutuspulley.membership.outage import OutageState


def record_failures(state, times, *, now=0):
    rng = random.Random(1)
    return [outage.record_failure(state, now=now, rng=rng) for _ in range(times)]


def test_down_after_two_failures_and_up_after_one_success():
    state = OutageState()
    assert outage.record_success(state)
    assert record_failures(state, 3) == [False, True, False]
    assert not state.up
    assert outage.record_success(state)
    assert state.up
    assert record_failures(state, 1) == [False]
    assert not outage.record_success(state)


@pytest.mark.parametrize(
    ("failures", "least", "most"),
    [(1, 125, 250), (2, 250, 500), (5, 2_000, 4_000), (50, 5_000, 10_000)],
)
def test_backoff_doubles_with_jitter_up_to_a_maximum(failures, least, most):
    backoffs = set()
    for seed in range(200):
        state = OutageState(failures=failures - 1)
        outage.record_failure(state, now=0, rng=random.Random(seed))
        backoffs.add(state.next_at)
    assert least <= min(backoffs) <= max(backoffs) <= most
    assert len(backoffs) > 20


def test_only_one_of_several_loops_gets_the_probe():
    state = OutageState()
    record_failures(state, 10)
    rng = random.Random(2)
    assert not outage.may_call(state, now=state.next_at - 1, rng=rng)
    due = state.next_at
    tries = [outage.may_call(state, now=due, rng=rng) for _ in range(4)]
    assert tries == [True, False, False, False]


def run_outage(instances, *, length_ms, step_ms=50):
    """Simulate an outage of ``length_ms``.

    :return: when each instance's first call after the outage is made, in ms after its
        end, and the number of calls in each second.
    """
    rng = random.Random(7)
    states = [OutageState(up=True) for _ in range(instances)]
    first = {}
    probes = Counter()
    for now in range(0, length_ms + outage.MAX_BACKOFF_MS + step_ms, step_ms):
        for index, state in enumerate(states):
            if index in first or not outage.may_call(state, now=now, rng=rng):
                continue
            probes[now // 1_000] += 1
            if now < length_ms:
                outage.record_failure(state, now=now, rng=rng)
            else:
                outage.record_success(state)
                first[index] = now - length_ms
    return first, probes


@pytest.mark.parametrize("instances", [6, 360])
def test_recovery_from_an_outage_of_ten_minutes_is_spread_out(instances):
    """The store is down for ten minutes, and all instances wait for it to recover.

    If they retried in lockstep, the store would get the calls of the whole fleet at
    once and could fail again. All instances reconnect within the longest backoff, and
    at most a quarter of them within any second.
    """
    first, probes = run_outage(instances, length_ms=600_000)
    assert len(first) == instances
    assert max(first.values()) <= outage.MAX_BACKOFF_MS
    busiest = max(Counter(at // 1_000 for at in first.values()).values())
    assert busiest <= max(3, instances // 4)
    late = [probes[second] for second in range(60, 600)]
    assert max(late) <= max(4, instances // 4)
    assert sum(late) / len(late) <= instances / 7
