"""Requests for a model without a copy that can't be loaded before they give up.

Workload: 84 models for 60 places; loads take 3 to 6 s, and callers of a stream wait 2
s. They waited until they gave up. But refused too early, callers are lost who could
have been served: crashed servers come back within 4 to 6 s, with the model on their
disk.
"""

import pytest

from arbutuspulley.pool.answers import NEVER
from arbutuspulley.pool.eviction import begin_cycle
from arbutuspulley.pool.grants import Refusal, plan_grants
from arbutuspulley.pool.load_rate import WINDOW_MS
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.server_watch import RESTART_MS
from arbutuspulley.pool.state import UnansweredLoad
from arbutuspulley.ports.fleet import OrderKind, SoftwareVersion
from tests.pools import add_waiting, build_pool, build_server

NOW = RESTART_MS + 10
"""When no server may still come back that was lost before."""


def plan(pool, *, now=NOW, give_up_ms=900, **changes):
    """Let a request for m0 arrive, which no server has, and decide.

    A load takes 1,200 ms from the store, and 1,080 ms at least.
    """
    values = {"give_up_at": now + give_up_ms, "fingerprint": 7, "ends_at": now + 9_000}
    add_waiting(pool, "r0", "m0", now=now, **{**values, **changes})
    return plan_grants(pool, now=now)


def build(*servers, **changes):
    servers = servers or (build_server("s0", "m1"),)
    pool = build_pool(*servers, shares_contended=True, **changes)
    plan_grants(pool, now=0)
    return pool


def test_request_is_refused_at_once_and_told_when_the_load_is_expected():
    (refused,) = plan(build())
    assert isinstance(refused, Refusal)
    assert refused.is_unservable
    assert refused.is_promised
    assert refused.retry_after_ms == 1_230


def test_without_contended_shares_it_waits_as_before():
    pool = build()
    pool.shares_contended = False
    assert plan(pool) == []


def test_request_waits_if_the_load_may_be_in_time():
    assert plan(build(), give_up_ms=1_100) == []


def test_model_is_loaded_although_its_callers_were_refused():
    """Loads are planned for waiting requests. A rarely used model was never loaded if
    its callers were refused at once."""
    pool = build()
    plan(pool)
    assert begin_cycle(pool, now=NOW).waiting == {"m0": 1}
    orders = plan_orders(pool, now=NOW)
    assert [(one.kind, one.model) for one in orders] == [(OrderKind.LOAD, "m0")]
    assert begin_cycle(pool, now=NOW + 900).waiting == {}


@pytest.mark.parametrize(
    "changes",
    [
        {"models": {"m0": set()}, "backoff_until": NOW + 4_000},
        {"planned": "m0", "backoff_until": NOW + 4_000},
        {"on_disk": frozenset({"m0"})},
        {"in_memory": frozenset({"m0"})},
        {"accepted_orders": None},
        {"backoff_until": NOW + 4_000},
        {"unanswered_loads": {"m0": UnansweredLoad(expected_orders=1, expires_at=1)}},
    ],
    ids=str,
)
def test_request_waits_while_a_server_may_have_the_model_sooner(changes):
    """What is on the disk of a server that has just started, or is down, isn't known:
    a load from there takes 720 ms at least."""
    values = {"models": {"m1": set()}, **changes}
    assert plan(build(build_server("s0", **values), build_server("s1", "m1"))) == []


def test_request_waits_while_a_lost_server_may_come_back():
    pool = build(build_server("s0", "m1"), build_server("s1", "m1"))
    plan_grants(pool, now=NOW)
    del pool.servers["s1"]
    assert plan(pool, now=NOW + 1) == []
    assert plan(pool, now=NOW + RESTART_MS, give_up_ms=900) == []
    assert plan(pool, now=NOW + 2 + RESTART_MS, give_up_ms=900) != []


def test_new_coordinator_knows_of_no_earlier_losses():
    pool = build_pool(build_server("s0", "m1"), shares_contended=True)
    assert plan(pool) == []


def test_request_that_resumes_a_stream_is_not_refused_at_once():
    version = SoftwareVersion(name="v1")
    pool = build(build_server("s0", "m1", version=version))
    assert plan(pool, version=version) == []


def test_loads_ahead_count_if_they_are_certain():
    """The store's rate is used up, or all of its concurrent loads are running."""
    pool = build()
    pool.loads = [NOW - 1_000] * 12
    assert [type(one) for one in plan(pool, give_up_ms=4_900)] == [Refusal]
    assert plan(pool, give_up_ms=WINDOW_MS + 100) == []
    pool = build(
        build_server("s0", loading="m1", loading_until=NOW + 1_000),
        build_server("s1", loading="m2", loading_until=NOW + 1_100),
        build_server("s2", loading="m3", loading_until=NOW + 1_200),
        build_server("s3", "m4"),
    )
    assert [type(one) for one in plan(pool, give_up_ms=2_000)] == [Refusal]
    assert plan(pool, give_up_ms=2_200) == []


def test_load_orders_in_flight_are_not_certain():
    """An order may turn out not to have started a load."""
    ordered = {"loading": "m1", "loading_until": NEVER, "is_order_in_flight": True}
    pool = build(*(build_server(f"s{number}", **ordered) for number in range(4)))
    pool.loads = [NOW - 1_000] * 14
    assert plan(pool, give_up_ms=1_200) == []
