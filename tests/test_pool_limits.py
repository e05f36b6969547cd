"""Grants and orders for model servers that state a rate limit."""

from arbutuspulley.admission.rate_limits import RateLimitLedger
from arbutuspulley.pool.copies import get_copies
from arbutuspulley.pool.eviction import (
    LAST_COPY_COST,
    begin_cycle,
    compute_eviction_cost,
)
from arbutuspulley.pool.grants import Grant, Refusal, find_next_wakeup, plan_grants
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.state import Demand
from arbutuspulley.ports.fleet import OrderKind
from tests.pools import add_waiting, build_pool, build_server


def limit_server(server, per_s, *, now=0):
    """Set a rate limit of a server; its token bucket starts empty."""
    ledger = RateLimitLedger()
    ledger.set_limit(server.incarnation, per_s, now=now)
    server.limit = ledger.get(server.incarnation)


def grant_all(pool, *, until, every_ms=100):
    """Add requests at a constant rate and return the decisions with their times."""
    decisions = []
    for now in range(0, until, every_ms):
        add_waiting(pool, f"r{now}", "m0", now=now, tokens=100)
        decisions += [(now, one) for one in plan_grants(pool, now=now)]
        for server in pool.servers.values():
            server.runs.clear()
    return decisions


def test_limited_server_is_granted_no_more_than_its_limit():
    """Guards against grants that ignore the rate limit of an overloaded server."""
    server = build_server("s0", "m0")
    limit_server(server, 2.0)
    pool = build_pool(server)
    decisions = grant_all(pool, until=10_000)
    granted = [now for now, one in decisions if isinstance(one, Grant)]
    assert 18 <= len(granted) <= 20


def test_servers_without_a_limit_are_preferred():
    limited, other = build_server("s0", "m0"), build_server("s1", "m0")
    limit_server(limited, 0.5)
    pool = build_pool(limited, other)
    decisions = grant_all(pool, until=4_000)
    granted = [one.incarnation for _, one in decisions if isinstance(one, Grant)]
    assert len(granted) == 40
    assert granted.count("s0") <= 2


def test_limited_server_is_reserved_for_models_that_only_it_has():
    """Guards against refusals for a rare model because the only server that has it uses
    up its limit for models that other servers have, too."""
    limited, other = build_server("s0", "m0", "m1"), build_server("s1", "m0")
    limit_server(limited, 1.0, now=-10_000)
    other.prefill_until = 300
    pool = build_pool(limited, other)
    add_waiting(pool, "busy", "m0", arrived_at=0)
    add_waiting(pool, "rare", "m1", arrived_at=1)
    granted = {one.key: one.incarnation for one in plan_grants(pool, now=1)}
    assert granted == {"rare": "s0"}


def test_wakeup_is_scheduled_for_when_the_limit_allows_a_request():
    server = build_server("s0", "m0")
    limit_server(server, 2.0)
    pool = build_pool(server)
    add_waiting(pool, "r0", "m0", late_at=4_000)
    assert plan_grants(pool, now=0) == []
    assert find_next_wakeup(pool, now=0) == 500
    (granted,) = plan_grants(pool, now=500)
    assert granted.incarnation == "s0"


def test_request_beyond_a_limit_is_refused_at_once_with_retry_after():
    """Guards against requests that wait in vain for an overloaded server."""
    server = build_server("s0", "m0")
    limit_server(server, 1.0)
    pool = build_pool(server)
    for number in range(5):
        add_waiting(pool, f"r{number}", "m0", arrived_at=number, tokens=100)
    refused = [one for one in plan_grants(pool, now=5) if isinstance(one, Refusal)]
    assert [one.key for one in refused] == ["r3", "r4"]
    assert [one.limited for one in refused] == [1, 1]
    assert all(3_900 <= one.retry_after_ms <= 4_000 for one in refused)


def test_model_that_only_limited_servers_have_is_loaded_elsewhere():
    """Guards against refusals while other servers have free memory."""
    limited, other = build_server("s0", "m0"), build_server("s1")
    limit_server(limited, 0.5)
    pool = build_pool(limited, other)
    add_waiting(pool, "r0", "m0")
    (order,) = plan_orders(pool, now=0)
    assert (order.kind, order.incarnation, order.model) == (
        OrderKind.LOAD,
        "s1",
        "m0",
    )


def test_nothing_is_loaded_on_a_limited_server_while_others_have_no_limit():
    limited, other = build_server("s0"), build_server("s1", "m1", "m2")
    limit_server(limited, 5.0, now=-10_000)
    pool = build_pool(limited, other)
    add_waiting(pool, "r0", "m0")
    orders = plan_orders(pool, now=0)
    assert [one.incarnation for one in orders] == ["s1"]


def test_copy_on_a_limited_server_does_not_make_another_copy_redundant():
    """Guards against models that are unloaded from other servers whenever the limit of
    an overloaded server allows a request, and loaded again when it does not."""
    limited = build_server("s0", "m0")
    limit_server(limited, 1.0, now=-10_000)
    other = build_server("s1", "m0", "m1")
    pool = build_pool(limited, other, demand={"m0": Demand(slow=9_000, fast=9_000)})
    cycle = begin_cycle(pool, now=0)
    assert get_copies(cycle.index, "m0") == [other]
    assert compute_eviction_cost(cycle, "m0") >= LAST_COPY_COST


def test_server_with_a_high_limit_counts_as_a_copy():
    limited = build_server("s0", "m0")
    limit_server(limited, 100.0)
    cycle = begin_cycle(build_pool(limited), now=0)
    assert get_copies(cycle.index, "m0") == [limited]
