"""State of a server that restarts with the same id."""

import pytest

from arbutuspulley.pool.answers import MAX_ORDER_DELAY_MS, apply_order_answer
from arbutuspulley.pool.eviction import count_used_mb
from arbutuspulley.pool.grants import plan_grants
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.runs import record_run_end
from arbutuspulley.pool.state import complete_due_loads, update_servers
from arbutuspulley.ports.fleet import (
    AttemptOutcome,
    LoadedModel,
    OrderAnswer,
    OrderKind,
    ServerEntry,
)
from tests.pools import add_run, add_waiting, build_pool


def build_entry(started_ms, *models):
    return ServerEntry(
        server_id="s0",
        incarnation=f"s0@{started_ms}",
        started_ms=started_ms,
        service="llm",
        address="s0:1",
        zone="z1",
        slots=8,
        is_leaving=False,
        loaded_models=tuple(LoadedModel(model=model) for model in models),
    )


def build(*models):
    pool = build_pool()
    update_servers(pool, [build_entry(1, *models)])
    return pool, pool.servers["s0@1"]


def test_state_of_the_previous_incarnation_is_discarded():
    """A server crashes and restarts within a second with the same id and no models. It
    still got requests for its former models, which it refused, and its orders continued
    the numbering of the previous incarnation."""
    pool, old = build("m0", "m1")
    old.accepted_orders, old.failures, old.backoff_until = 7, 3, 4_000
    old.runs.clear()
    add_run(old, "r0", "m0")
    update_servers(pool, [build_entry(2)])
    new = pool.servers["s0@2"]
    assert (new.models, new.runs, new.accepted_orders) == ({}, {}, None)
    assert (new.failures, new.backoff_until) == (0, 0)
    add_waiting(pool, "r1", "m0")
    assert plan_grants(pool, now=10) == []


def test_answers_for_the_previous_incarnation_do_not_change_the_new_one():
    pool, old = build("m0")
    old.accepted_orders = 0
    add_waiting(pool, "r0", "m1")
    (order,) = plan_orders(pool, now=10)
    update_servers(pool, [build_entry(2)])
    apply_order_answer(pool, order, OrderAnswer.ACCEPTED, now=20)
    record_run_end(pool, "r9", "s0@1", how=AttemptOutcome.FAILED, now=20)
    new = pool.servers["s0@2"]
    assert (new.loading, new.accepted_orders, new.failure_share) == ("", None, 0)


@pytest.mark.parametrize(
    ("orders", "now", "expected_mb"),
    [(0, 100, 30), (1, 100, 30), (2, 100, 0), (0, 100 + MAX_ORDER_DELAY_MS, 0)],
)
def test_unanswered_load_counts_for_the_new_incarnation(orders, now, expected_mb):
    """A load is not answered, and the server crashes and restarts with the same id. The
    load is carried out seconds later, once the new incarnation has accepted as many
    orders as the previous one had. Together with another model it exceeded the memory,
    and the server crashed again."""
    pool, old = build("m0")
    old.accepted_orders = 1
    add_waiting(pool, "r0", "m1")
    (order,) = plan_orders(pool, now=10)
    assert (order.kind, order.expected_orders) == (OrderKind.LOAD, 1)
    apply_order_answer(pool, order, OrderAnswer.UNKNOWN, now=100)
    update_servers(pool, [build_entry(2)])
    new = pool.servers["s0@2"]
    new.accepted_orders = orders
    complete_due_loads(new, now=now)
    assert count_used_mb(pool.spec, new) == expected_mb
