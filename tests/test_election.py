"""When instances claim the coordinator's lease, and when they hand it over."""

import asyncio
import itertools
import random

import pytest

from arbutuspulley.membership.capacity import MAX_CLAIM_DELAY_MS
from arbutuspulley.membership.coordinator_lease import is_holder, may_order
from arbutuspulley.membership.server_reach import record_failed
from arbutuspulley.node.election import HANDOVER_DELAY_MS, READ_JITTER_MS
from tests.elections import (
    LeaseStore,
    build_members,
    list_leaders,
    publish_roster,
    run_members,
)

CAPACITIES = [0.125] * 66 + [2.15] * 6


@pytest.mark.parametrize("seed", range(5))
def test_large_fleet_elects_a_large_coordinator_at_start(seed):
    """72 instances start at once. Whichever claimed first kept the lease for the day;
    eleven in twelve had a link that their own status messages filled."""
    now = [1_000]
    store = LeaseStore(now)
    members = build_members(CAPACITIES, store, now)
    run_members(members, now, ms=2_000, order=random.Random(seed))
    (leader,) = list_leaders(members)
    assert members[leader].state.capacity == 2.15
    assert store.reads <= 3 * len(members)


@pytest.mark.parametrize("seed", range(20))
def test_lost_coordinator_is_replaced_with_few_lease_reads(seed):
    """A coordinator's machine loses power, and its links transmit nothing. Each of 72
    instances read the lease every 0.4 s until it was free, then all claimed it at the
    same moment; a small one that read it just then was faster than the large ones."""
    now = [1_000]
    store = LeaseStore(now)
    members = build_members(CAPACITIES, store, now)
    order = random.Random(seed)
    # The last renewal was up to 0.9 s ago.
    run_members(members, now, ms=2_000 + 45 * seed, order=order)
    publish_roster(members, CAPACITIES)
    (lost,) = list_leaders(members)
    members.pop(lost)
    for member in members.values():
        member.link.up_until = now[0] + 700 + order.randrange(250)
    reads = store.reads
    run_members(members, now, ms=3_000, order=order)
    (leader,) = list_leaders(members)
    assert members[leader].state.capacity == 2.15
    assert store.reads - reads <= 4 * len(members)


@pytest.mark.parametrize("lease_ms", [1_000, 1_500, 2_000, 3_000])
def test_an_instance_that_starts_does_not_take_the_lease_from_a_running_holder(
    lease_ms,
):
    """Guards against renewals that come later than half of a short lease, from when on
    an instance that reads the row may claim it."""
    for started_ms in range(0, lease_ms, 20):
        now = [1_000]
        store = LeaseStore(now)
        members = build_members([1.0, 1.0], store, now, lease_ms=lease_ms)
        late = members.pop("n1")
        run_members(members, now, ms=2_000 + started_ms, order=random.Random(1))
        members["n1"] = late
        run_members(members, now, ms=200, order=random.Random(1))
        assert list_leaders(members) == ["n0"]
        assert store.lease.holder == "n0"


def test_a_stopping_coordinator_goes_on_until_the_lease_can_be_released():
    """Guards against a coordinator that stops although the store is unavailable, so
    that no other instance can take over: its last call that ended may have been a long
    poll, which was answered."""
    now = [1_000]
    store = LeaseStore(now)
    members = build_members([1.0], store, now)
    run_members(members, now, ms=2_000, order=random.Random(1))
    member = members["n0"]
    store.is_unavailable = True
    # A renewal has failed.
    member.lease.version = -1
    assert not asyncio.run(member.election.release_lease(is_final=False))
    assert list_leaders(members) == ["n0"]
    assert is_holder(member.lease, now=now[0])
    store.is_unavailable = False
    assert asyncio.run(member.election.release_lease(is_final=False))
    assert list_leaders(members) == []
    assert not store.lease.holder


def test_a_coordinator_that_has_to_exit_stops_although_the_store_is_unavailable():
    """Guards against a process that coordinates until it is killed."""
    now = [1_000]
    store = LeaseStore(now)
    members = build_members([1.0], store, now)
    run_members(members, now, ms=2_000, order=random.Random(1))
    store.is_unavailable = True
    assert asyncio.run(members["n0"].election.release_lease(is_final=True))
    assert list_leaders(members) == []


def test_lease_read_rate_is_limited_while_the_store_is_unavailable():
    """195 instances without a coordinator read the lease 490 times a second."""
    now = [1_000]
    store = LeaseStore(now)
    capacities = [1.0] * 195
    members = build_members(capacities, store, now)
    publish_roster(members, capacities)
    store.is_unavailable = True
    run_members(members, now, ms=5_000, order=random.Random(1))
    assert store.reads <= 120 * 5


def test_lease_is_handed_over_to_a_stable_larger_instance():
    """All large instances are killed at once; a small one claimed the lease, and kept
    it for the rest of the day after they had restarted."""
    now = [1_000]
    store = LeaseStore(now)
    members = build_members([0.125, 2.15], store, now)
    small, large = members["n0"], members.pop("n1")
    order = random.Random(1)
    run_members(members, now, ms=2_000, order=order)
    assert list_leaders(members) == ["n0"]
    members["n1"] = large
    small.coordinator.best = large.state.capacity
    run_members(members, now, ms=HANDOVER_DELAY_MS - 100, order=order)
    assert list_leaders(members) == ["n0"]
    run_members(members, now, ms=1_500, order=order)
    assert list_leaders(members) == ["n1"]
    assert store.lease.fence == 2


def test_equal_instances_delay_claims_by_jitter_only():
    now = [1_000]
    members = build_members([1.0] * 6, LeaseStore(now), now)
    publish_roster(members, [1.0] * 6)
    delays = [member.election._draw_claim_delay() for member in members.values()]
    assert max(delays) < READ_JITTER_MS < MAX_CLAIM_DELAY_MS


def test_an_instance_that_reaches_no_server_claims_after_the_others():
    """Guards against a lease that goes back to an instance that can give no orders."""
    now = [1_000]
    members = build_members([1.0] * 6, LeaseStore(now), now)
    publish_roster(members, [1.0] * 6)
    delays = {}
    for number, (name, member) in enumerate(members.items()):
        if number < 2:
            record_failed(member.state.server_reach, "s0:1", now=now[0])
            record_failed(member.state.server_reach, "s1:1", now=now[0])
        delays[name] = member.election._draw_claim_delay()
    cut_off = list(members)[:2]
    others = [delay for name, delay in delays.items() if name not in cut_off]
    assert min(delays[name] for name in cut_off) >= max(others) + MAX_CLAIM_DELAY_MS


def test_new_coordinator_counts_requests_of_its_own_instance():
    """Other instances report their runs in flight when they connect, but those of the
    coordinator's own instance were not counted: its servers got more requests than they
    had slots until those runs had ended."""
    now = [0]
    members = build_members([1.0, 1.0], LeaseStore(now), now)
    run_members(members, now, ms=1_000, order=random.Random(1))
    (leader,) = list_leaders(members)
    assert members[leader].coordinator.received == [(leader, ["what runs here"])]


def order_until(members, now, *, ms, order):
    """Let the holder give orders whenever it may; return when and by whom."""
    orders = []
    for _ in range(0, ms, 20):
        run_members(members, now, ms=20, order=order)
        for name, member in members.items():
            is_active = member.coordinator.is_active
            if is_active and may_order(member.lease, now=now[0]):
                member.coordinator.ordered_at = now[0]
                orders.append((now[0], name))
    return orders


def find_early_returns(orders, *, lease_ms):
    """Return orders of a holder less than a lease after an earlier turn of its own."""
    early = []
    for at, name in orders:
        recent = [one for one in orders if at - lease_ms < one[0] < at]
        own = [t for t, other in recent if other == name]
        if any(own and min(own) < t for t, other in recent if other != name):
            early.append((at, name))
    return early


@pytest.mark.parametrize("seed", range(10))
def test_stops_in_turn_keep_a_lease_between_turns_and_orders_hardly_rest(seed):
    """Guards against two turns of one instance within a lease as instances are stopped
    one after the other, and against orders that rest meanwhile although another
    instance may give them."""
    now = [1_000]
    members = build_members([1.0] * 6, LeaseStore(now), now)
    publish_roster(members, [1.0] * 6)
    order = random.Random(seed)
    orders = order_until(members, now, ms=3_000, order=order)
    for _ in range(8):
        (name,) = list_leaders(members)
        stopped = members.pop(name)
        asyncio.run(stopped.election.release_lease(is_final=False))
        orders += order_until(members, now, ms=700, order=order)
        members[name] = stopped
    assert not find_early_returns(orders, lease_ms=3_000)
    rests = [later - at for (at, _), (later, _) in itertools.pairwise(orders)]
    assert max(rests) <= MAX_CLAIM_DELAY_MS + 2 * READ_JITTER_MS


def test_the_last_instance_left_orders_a_lease_after_its_turn_before():
    """Guards against two turns of one instance within a lease where no other one is
    left to claim the lease."""
    now = [1_000]
    members = build_members([1.0, 1.0], LeaseStore(now), now)
    publish_roster(members, [1.0, 1.0])
    order = random.Random(1)
    orders = order_until(members, now, ms=3_000, order=order)
    for _ in range(2):
        (name,) = list_leaders(members)
        stopped = members.pop(name)
        asyncio.run(stopped.election.release_lease(is_final=False))
        orders += order_until(members, now, ms=500, order=order)
        members[name] = stopped
    orders += order_until(members, now, ms=4_000, order=order)
    assert not find_early_returns(orders, lease_ms=3_000)
    assert len({name for _, name in orders}) == 2
    rests = [later - at for (at, _), (later, _) in itertools.pairwise(orders)]
    assert max(rests) <= 3_000 + MAX_CLAIM_DELAY_MS
