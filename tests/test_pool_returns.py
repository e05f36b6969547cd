"""Retry times of refused callers, and callers that come back.

Workload: more callers than the copies of a model can start, after an outage of 3 s or
in a surge; refused callers wait at most a third of their remaining time, and some
repeat at once and often.
"""

import itertools

import msgspec
import pytest

from arbutuspulley.node.messages import GrantRequest
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.pool_log import count_decision
from arbutuspulley.node.pool_updates import build_waiting_request
from arbutuspulley.pool import returns
from arbutuspulley.pool.grants import Grant, Refusal, plan_grants
from arbutuspulley.pool.returns import (
    RECORD_LIFETIME_MS,
    RETURN_GRACE_MS,
    ReturnedCaller,
    ReturnState,
    find_return,
    list_expected_costs,
    record_refusal,
)
from arbutuspulley.pool.waits import MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS
from arbutuspulley.ports.fleet import ModelNeed
from tests.pools import add_waiting, build_pool, build_server


def refuse(state, fingerprint, *, now=0, told_at=1_000, first=0, promised=True):
    record_refusal(
        state,
        fingerprint,
        model="m0",
        cost=500.0,
        first_arrived_at=first,
        told_at=told_at,
        is_promised=promised,
        now=now,
    )


def refuse_callers(pool, count, *, now=0, ends_at=12_000, **changes):
    """Let requests arrive that are refused at once; return what they are told."""
    for number in range(count):
        key = f"r{now}-{number}"
        values = {
            "give_up_at": now + 1,
            "late_at": now + 500,
            "ends_at": ends_at,
            "fingerprint": 1_000 * now + number + 1,
            **changes,
        }
        add_waiting(pool, key, "m0", now=now, **values)
    for number in range(8):
        add_waiting(
            pool, f"queued{number}", "m0", now=now, late_at=now - 1, arrived_at=0
        )
    found = plan_grants(pool, now=now + 1)
    return [one for one in found if isinstance(one, Refusal)]


def build_busy_pool(**changes):
    server = build_server("s0", "m0", slots=0)
    return build_pool(server, shares_contended=True, **changes)


def test_refused_callers_are_told_times_one_after_another():
    """Callers that were refused together came back together, and all but the first
    were refused again."""
    refusals = refuse_callers(build_busy_pool(), 5)
    told = [one.retry_after_ms for one in refusals]
    steps = [later - before for before, later in itertools.pairwise(told)]
    assert len(told) == 5
    assert len(set(steps)) == 1 or max(steps) - min(steps) <= 1
    # 1,000 tokens at 16 tokens a ms.
    assert steps[0] == pytest.approx(62.5, abs=1)
    assert all(one.is_promised for one in refusals)


def test_times_without_contended_shares_are_as_before():
    """The deployments without the setting are served exactly as before."""
    pool = build_busy_pool()
    pool.shares_contended = False
    told = {one.retry_after_ms for one in refuse_callers(pool, 5)}
    assert told == {MIN_RETRY_AFTER_MS}
    assert not pool.returns.records
    assert not any(one.is_promised for one in refuse_callers(pool, 5, now=50))


def test_callers_of_other_models_on_the_same_servers_count():
    """Each model of a shared server was counted as if it had the server alone: callers
    came back while the other models' requests still waited."""
    alone, shared = build_busy_pool(), build_busy_pool()
    shared.servers["s0"].models["m1"] = set()
    for number in range(20):
        add_waiting(shared, f"other{number}", "m1", late_at=9_000, give_up_at=9_000)
    (first,) = refuse_callers(alone, 1)
    (later,) = refuse_callers(shared, 1)
    assert later.retry_after_ms == pytest.approx(first.retry_after_ms + 1_250, abs=2)


@pytest.mark.parametrize(
    ("ends_at", "longest_ms"), [(3_001, 1_000), (0, MAX_RETRY_AFTER_MS), (301, 200)]
)
def test_no_time_beyond_the_callers_patience_is_promised(ends_at, longest_ms):
    """A promised time that the caller can't wait for would be kept free for nobody."""
    refusals = refuse_callers(build_busy_pool(), 300, ends_at=ends_at)
    assert max(one.retry_after_ms for one in refusals) == longest_ms
    assert not refusals[-1].is_promised


def test_early_repeats_gain_nothing_and_reserve_nothing():
    """A caller that repeats each 50 ms is told the same time again; if each repeat were
    counted as a new refused caller, all others would be told later times."""
    pool = build_busy_pool()
    (first,) = refuse_callers(pool, 1, fingerprint=7)
    expected = dict(list_expected_costs(pool.returns, now=1))
    early = find_return(pool.returns, 7, now=51)
    assert early == ReturnedCaller(late_ms=early.late_ms, credit_ms=0, is_promised=True)
    assert early.late_ms < 0
    (second,) = refuse_callers(pool, 1, now=51, fingerprint=7, returned=early)
    assert second.retry_after_ms == max(
        MIN_RETRY_AFTER_MS, first.retry_after_ms + 1 - 52
    )
    assert list_expected_costs(pool.returns, now=52) == expected


def test_return_in_time_counts_from_its_first_arrival_once():
    """A caller that had waited for its turn competed as if it had just arrived; a copy
    of the request must not use the same turn again."""
    state = ReturnState()
    refuse(state, 7, first=100, told_at=1_000)
    assert find_return(state, 7, now=1_000) == ReturnedCaller(
        late_ms=0, credit_ms=900, is_promised=True
    )
    assert find_return(state, 7, now=1_001) is None
    assert list_expected_costs(state, now=1_001) == {}


def test_returned_request_starts_before_equal_ones_and_after_more_urgent_ones():
    pool = build_pool(build_server("s0", "m0"), shares_contended=True)
    returned = ReturnedCaller(late_ms=0, credit_ms=800, is_promised=True)
    add_waiting(pool, "new", "m0", arrived_at=5)
    add_waiting(pool, "back", "m0", arrived_at=9, returned=returned)
    add_waiting(pool, "urgent", "m0", arrived_at=9, priority=0)
    granted = []
    for now in (10, 80, 150):
        granted += [one.key for one in plan_grants(pool, now=now)]
    assert granted == ["urgent", "back", "new"]


def test_request_refused_again_keeps_its_first_arrival():
    pool = build_busy_pool()
    returned = ReturnedCaller(late_ms=5, credit_ms=2_000, is_promised=True)
    refuse_callers(pool, 1, now=3_000, fingerprint=7, returned=returned)
    assert pool.returns.records[7].first_arrived_at == 1_000


def test_granted_request_is_not_expected_back():
    """An early repeat that is served left its turn reserved."""
    pool = build_pool(build_server("s0", "m0"), shares_contended=True)
    refuse(pool.returns, 7)
    add_waiting(pool, "r0", "m0", fingerprint=7)
    (grant,) = plan_grants(pool, now=10)
    assert isinstance(grant, Grant)
    assert not pool.returns.records
    assert list_expected_costs(pool.returns, now=10) == {}


def test_callers_that_stay_away_are_not_expected_for_ever():
    state = ReturnState()
    refuse(state, 1)
    refuse(state, 2, promised=False)
    assert list_expected_costs(state, now=1_000) == {"m0": 500.0}
    assert list_expected_costs(state, now=1_000 + RETURN_GRACE_MS) == {}
    # It may still come back and count from its first arrival.
    assert find_return(state, 1, now=5_000).credit_ms == 5_000


def test_records_expire_and_are_bounded(monkeypatch):
    """Callers that never come back must not use up the coordinator's memory."""
    monkeypatch.setattr(returns, "MAX_RECORDS", 3)
    state = ReturnState()
    for fingerprint in (1, 2, 3, 4):
        refuse(state, fingerprint, now=fingerprint)
    assert list(state.records) == [2, 3, 4]
    assert find_return(state, 2, now=2 + RECORD_LIFETIME_MS) is None
    assert list(state.records) == [3, 4]
    refuse(state, 0, now=5)
    assert list(state.records) == [3, 4]


REQUEST = GrantRequest(
    key="k",
    service="llm",
    need=ModelNeed(model="m0", adapter="", prompt_tokens=1_000, output_tokens=50),
    zone="z1",
    priority=1,
    aim_ms=500,
    left_ms=2_000,
    fingerprint=7,
    ends_in_ms=6_000,
)


def test_waiting_request_has_its_record():
    state = ReturnState()
    refuse(state, 7)
    waiting = build_waiting_request("n1", REQUEST, returns=state, now=1_100)
    assert waiting.returned.late_ms == 100
    assert (waiting.fingerprint, waiting.ends_at) == (7, 7_100)


@pytest.mark.parametrize(
    "changes", [{"fingerprint": 0}, {"is_repeat": True}, {"fingerprint": 8}]
)
def test_other_requests_have_no_record(changes):
    """Instances of an older release send no fingerprint. A request that a server has
    refused is asked for again by its instance, not by its caller."""
    state = ReturnState()
    refuse(state, 7)
    request = msgspec.structs.replace(REQUEST, **changes)
    assert build_waiting_request("n1", request, returns=state, now=1_100).returned is (
        None
    )
    assert list(state.records) == [7]


@pytest.mark.parametrize(
    ("late_ms", "outcome"), [(3, "refused"), (-3, "early_refused")]
)
def test_refused_returns_are_counted_by_whether_they_came_too_early(late_ms, outcome):
    """Operators tell callers that ignore the time from times that are not kept."""
    returned = ReturnedCaller(late_ms=late_ms, credit_ms=9, is_promised=True)
    (refusal,) = refuse_callers(build_busy_pool(), 1, returned=returned)
    metrics = NodeMetrics()
    count_decision(metrics, refusal)
    text = metrics.write().decode()
    assert f'arbutus_returns_total{{how="{outcome}"}} 1.0' in text
    assert "arbutus_unservable_total 0.0" in text
