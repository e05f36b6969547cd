"""Grants and orders for servers that want no requests from an instance for a while."""

from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.node.messages import ServerCooldown
from arbutuspulley.node.pool_updates import record_cooldowns
from arbutuspulley.pool.grants import Grant, Refusal, find_next_wakeup, plan_grants
from arbutuspulley.pool.orders import plan_orders
from tests.pools import add_waiting, build_pool, build_server


def start_cooldown(pool, server, remaining_ms, *, origin="n1", now=0, is_own=False):
    cooldown = ServerCooldown(incarnation=server, remaining_ms=remaining_ms)
    record_cooldowns({"llm": pool}, origin, (cooldown,), now=now, is_own=is_own)


def test_only_the_instance_that_was_refused_is_kept_away():
    pool = build_pool(build_server("s0", "m0"))
    start_cooldown(pool, "s0", 3_000)
    add_waiting(pool, "r1", "m0", origin="n1", give_up_at=9_000)
    add_waiting(pool, "r2", "m0", origin="n2", give_up_at=9_000)
    assert [one.key for one in plan_grants(pool, now=0)] == ["r2"]


def test_a_request_that_already_waits_is_not_granted_the_server():
    """Guards against a request that was queued before the cooldown became known."""
    pool = build_pool(build_server("s0", "m0"), build_server("s1", "m0"))
    add_waiting(pool, "r1", "m0")
    start_cooldown(pool, "s0", 3_000)
    assert [one.incarnation for one in plan_grants(pool, now=0)] == ["s1"]


def test_a_shorter_cooldown_does_not_end_a_longer_one():
    pool = build_pool(build_server("s0", "m0"))
    start_cooldown(pool, "s0", 3_000)
    start_cooldown(pool, "s0", 500)
    assert pool.servers["s0"].cooldowns == {"n1": 3_000}


def test_a_request_is_granted_as_soon_as_the_cooldown_ends():
    pool = build_pool(build_server("s0", "m0"))
    start_cooldown(pool, "s0", 300)
    add_waiting(pool, "r1", "m0")
    assert plan_grants(pool, now=0) == []
    assert find_next_wakeup(pool, now=0) == 300
    (granted,) = plan_grants(pool, now=300)
    assert isinstance(granted, Grant)


def test_a_request_that_no_copy_accepts_in_time_is_refused_at_once():
    """Guards against requests that wait in vain while all servers shed load."""
    pool = build_pool(build_server("s0", "m0"), build_server("s1", "m0"))
    start_cooldown(pool, "s0", 3_900)
    start_cooldown(pool, "s1", 3_600)
    add_waiting(pool, "r1", "m0", give_up_at=3_000)
    (refused,) = plan_grants(pool, now=0)
    assert isinstance(refused, Refusal)
    assert refused.retry_after_ms == 3_600


def test_a_request_waits_for_a_copy_that_is_being_loaded():
    pool = build_pool(
        build_server("s0", "m0"),
        build_server("s1", loading="m0", loading_until=800),
    )
    start_cooldown(pool, "s0", 9_000)
    add_waiting(pool, "r1", "m0")
    assert plan_grants(pool, now=0) == []


def test_the_coordinator_orders_nothing_while_the_server_wants_none_of_its_requests():
    pool = build_pool(build_server("s0"))
    add_waiting(pool, "r1", "m0", origin="n2")
    start_cooldown(pool, "s0", 1_000, is_own=True)
    assert plan_orders(pool, now=0) == []
    (order,) = plan_orders(pool, now=1_000)
    assert (order.incarnation, order.model) == ("s0", "m0")


@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 400),
            st.sampled_from(["n1", "n2"]),
            st.sampled_from(["s0", "s1", "s2"]),
            st.integers(0, 3_000),
        ),
        max_size=40,
    )
)
def test_no_server_is_granted_to_an_instance_during_its_cooldown(steps):
    """Guards against grants to a server in cooldown, for any sequence of refusals."""
    pool = build_pool(*(build_server(name, "m0") for name in ("s0", "s1", "s2")))
    ends, now = {}, 0
    for number, (pause_ms, origin, server, cooldown_ms) in enumerate(steps):
        now += pause_ms
        add_waiting(pool, f"r{number}", "m0", origin=origin, now=now, tokens=50)
        for one in plan_grants(pool, now=now):
            if isinstance(one, Grant):
                assert now >= ends.get((one.origin, one.incarnation), 0)
                pool.servers[one.incarnation].runs.clear()
        start_cooldown(pool, server, cooldown_ms, origin=origin, now=now)
        key = origin, server
        ends[key] = max(ends.get(key, 0), now + cooldown_ms)
