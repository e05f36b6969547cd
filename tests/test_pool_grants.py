"""When and where waiting requests start."""

import pytest

from arbutuspulley.pool.contact import record_unreachable
from arbutuspulley.pool.grants import Grant, Refusal, find_next_wakeup, plan_grants
from arbutuspulley.pool.runs import record_not_run, record_run_end
from arbutuspulley.ports.fleet import AttemptOutcome
from tests.pools import add_waiting, build_pool, build_server


def get_granted(decisions):
    return {one.key: one.incarnation for one in decisions if isinstance(one, Grant)}


def test_prompts_of_one_server_start_one_after_another():
    """If eight prompts reach one server together, every stream there stalls for half a
    second, because each step of the engine includes a chunk of prefill.

    At 20 tokens a ms and a prefill fraction of 0.8, 1,000 tokens take 62.5 ms.
    """
    pool = build_pool(build_server("s0", "m0"))
    for number in range(3):
        add_waiting(pool, f"r{number}", "m0", arrived_at=number)
    assert get_granted(plan_grants(pool, now=10)) == {"r0": "s0"}
    assert find_next_wakeup(pool, now=10) == 72
    assert get_granted(plan_grants(pool, now=50)) == {}
    assert get_granted(plan_grants(pool, now=73)) == {"r1": "s0"}


def test_grants_are_ordered_by_priority_with_late_requests_last():
    pool = build_pool(build_server("s0", "m0"))
    add_waiting(pool, "late", "m0", priority=0, late_at=5)
    add_waiting(pool, "plain", "m0", priority=2)
    add_waiting(pool, "urgent", "m0", priority=0, arrived_at=5)
    decisions = [plan_grants(pool, now=now) for now in (10, 60, 90, 180)]
    keys = [[(one.key, one.is_late) for one in cycle] for cycle in decisions]
    assert keys == [[("urgent", False)], [], [("plain", False)], [("late", True)]]


def test_late_request_may_start_slightly_ahead_of_the_prefill_rate():
    """Late requests must not wait for ever while other requests keep arriving."""
    pool = build_pool(build_server("s0", "m0", prefill_until=100))
    add_waiting(pool, "late", "m0", late_at=5)
    assert get_granted(plan_grants(pool, now=50)) == {}
    assert get_granted(plan_grants(pool, now=61)) == {"late": "s0"}


def test_least_busy_server_with_the_model_is_chosen():
    pool = build_pool(
        build_server("s0", "m0", prefill_until=500),
        build_server("s1", "m0", zone="z2"),
        build_server("s2", "m1"),
    )
    add_waiting(pool, "r0", "m0")
    assert get_granted(plan_grants(pool, now=10)) == {"r0": "s1"}


@pytest.mark.parametrize(
    "changes",
    [
        {"is_leaving": True},
        {"backoff_until": 100},
        {"unloading": "m0"},
        {"model_backoff_until": {"m0": 100}},
        {"slots": 0},
    ],
)
def test_unavailable_server_is_granted_nothing(changes):
    pool = build_pool(build_server("s0", "m0", **changes))
    add_waiting(pool, "r0", "m0")
    assert plan_grants(pool, now=10) == []


def test_full_kv_cache_takes_no_more_requests():
    """A ninth long prompt fits the slots but not the KV cache; the engine then preempts
    running streams, whose callers see a long gap."""
    pool = build_pool(build_server("s0", "m0"))
    add_waiting(pool, "r0", "m0", tokens=60_000)
    add_waiting(pool, "r1", "m0", tokens=60_000, late_at=0, give_up_at=90_000)
    assert get_granted(plan_grants(pool, now=10)) == {"r0": "s0"}
    assert get_granted(plan_grants(pool, now=6_000)) == {}
    record_run_end(pool, "r0", "s0", how=AttemptOutcome.DONE, now=1)
    assert get_granted(plan_grants(pool, now=6_010)) == {"r1": "s0"}


def test_one_request_probes_an_unconfirmed_load():
    """A load takes longer than usual for its model. If all waiting requests are sent at
    the expected time, they are refused and use up the retry budget."""
    pool = build_pool(build_server("s0", loading="m0", loading_until=100))
    add_waiting(pool, "r0", "m0")
    add_waiting(pool, "r1", "m0", arrived_at=1, late_at=0)
    assert get_granted(plan_grants(pool, now=99)) == {}
    assert get_granted(plan_grants(pool, now=100)) == {"r0": "s0"}
    record_not_run(pool, "r0", "s0", now=110)
    assert get_granted(plan_grants(pool, now=200)) == {}
    assert get_granted(plan_grants(pool, now=260)) == {"r1": "s0"}


def test_refusal_during_an_unload_does_not_mark_the_model_as_loading():
    """A request is refused during the unload of its model. The model was marked as
    loading again and then unloaded again, for seconds."""
    server = build_server("s0", "m0", unconfirmed_load="m0")
    pool = build_pool(server)
    add_waiting(pool, "r0", "m0")
    plan_grants(pool, now=0)
    server.unloading = "m0"
    record_not_run(pool, "r0", "s0", now=10)
    assert server.loading == ""


def test_request_that_waits_too_long_is_refused_with_retry_after():
    pool = build_pool(build_server("s0", "m1"))
    add_waiting(pool, "r0", "m0", give_up_at=100)
    decisions = plan_grants(pool, now=100)
    assert [type(one) for one in decisions] == [Refusal]
    assert decisions[0].retry_after_ms >= 200
    assert pool.waiting == {}


def test_request_that_can_not_start_in_time_is_refused_at_once():
    """Forty callers request a model with one copy. The last of them would have to wait
    longer than callers do; a late refusal would only cost them that time, too."""
    pool = build_pool(build_server("s0", "m0", prefill_until=10_000))
    for number in range(60):
        add_waiting(pool, f"r{number:02}", "m0", arrived_at=number, late_at=9_999)
    refused = [one.key for one in plan_grants(pool, now=100)]
    assert len(pool.waiting) == 53
    assert refused == [f"r{number}" for number in range(53, 60)]


def test_backoff_of_an_unreachable_server_doubles():
    server = build_server("s0", "m0")
    pool = build_pool(server)
    record_unreachable(pool, "r0", "s0", origin="n1", now=0)
    assert server.backoff_until == 1_000
    record_unreachable(pool, "r0", "s0", origin="n1", now=1_000)
    assert server.backoff_until == 3_000


def test_requests_start_in_order_of_their_latest_start_time():
    """A request with a latency target of 1.5 s arrives before one with 0.5 s. In order
    of arrival the second one is late; otherwise both meet their target."""
    pool = build_pool(build_server("s0", "m0"))
    add_waiting(pool, "patient", "m0", arrived_at=0, late_at=1_125)
    add_waiting(pool, "hasty", "m0", arrived_at=9, late_at=384)
    assert get_granted(plan_grants(pool, now=10)) == {"hasty": "s0"}
