"""When instances claim the coordinator's lease, and when they hand it over."""

import asyncio
import random
from types import SimpleNamespace

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.membership.capacity import MAX_CLAIM_DELAY_MS
from arbutuspulley.membership.coordinator_lease import CoordinatorLeaseState, LeaseRow
from arbutuspulley.node.election import (
    HANDOVER_DELAY_MS,
    LEASE_KEY,
    LEASE_TABLE,
    READ_JITTER_MS,
    Election,
)
from arbutuspulley.platform.store import RowsAnswer, StoredRow, WriteAnswer
from arbutuspulley.results import PlatformUnavailableError
from tests.node_states import build_position, build_state
from tests.test_advertisement import build_area


class LeaseStore:
    """The lease's row in a store that answers at once; counts the reads."""

    is_failing = False

    def __init__(self, now):
        self._now = now
        self.row = None
        self.version = 0
        self.reads = 0
        self.is_unavailable = False

    async def read(self, table, *, key):
        assert (table, key) == (LEASE_TABLE, LEASE_KEY)
        self.reads += 1
        if self.is_unavailable:
            raise PlatformUnavailableError(detail="away")
        rows = []
        if self.row is not None:
            rows = [
                StoredRow(
                    key=key, position=build_position(self.version), value=self.row
                )
            ]
        return RowsAnswer(
            rows=rows, position=build_position(self.version), now_ms=self._now[0]
        )

    async def write(self, table, *, key, value, expected):
        is_applied = expected == self.version
        if is_applied:
            self.row, self.version = value, self.version + 1
        return WriteAnswer(
            is_applied=is_applied,
            position=build_position(self.version),
            now_ms=self._now[0],
        )


class FakeCoordinator:
    """Stub of a process's coordinator."""

    def __init__(self):
        self.is_active = False
        self.isolated_since = None
        self.best = 0.0
        self.received = []

    def handle_messages(self, origin, messages):
        self.received.append((origin, messages))

    def activate(self, _inherited):
        self.is_active = True

    def deactivate(self):
        self.is_active = False

    def list_loads(self):
        return {}

    def find_largest_capacity(self):
        return self.best

    async def drain_orders(self):
        return True


class FakeLink:
    """A link that is up while the process at ``address`` is the coordinator."""

    def __init__(self, members, now):
        self._members = members
        self._now = now
        self.up_until = 0
        self.deliver_local = None
        self.address = ""
        self.status = SimpleNamespace(is_holder=True)

    @property
    def is_up(self):
        if self.deliver_local is not None:
            return True
        if self._now[0] < self.up_until:
            return True
        leader = self._members.get(self.address)
        return leader is not None and leader.coordinator.is_active

    def check_timeout(self):
        pass

    def build_hello(self):
        return "what runs here"

    def disconnect(self):
        self.address = ""

    def fail_pending(self):
        pass

    def connect_to(self, address):
        self.address = address


class Member:
    """One process that takes part in elections."""

    def __init__(self, name, members, store, now, *, capacity, seed):
        state = build_state(clock=Clock(read=lambda: now[0]), name=name)
        state.settings = msgspec.structs.replace(
            state.settings, cores=capacity, link_mbps=1_000
        )
        state.store = store
        state.rng = random.Random(seed)
        self.state = state
        self.coordinator = FakeCoordinator()
        self.lease = CoordinatorLeaseState(
            name=name, link=name, boot=f"{name}-boot", lease_ms=3_000
        )
        self.link = FakeLink(members, now)
        self.election = Election(
            state=state,
            lease=self.lease,
            link=self.link,
            coordinator=self.coordinator,
        )

    async def tick(self):
        try:
            await self.election._tick()
        except PlatformUnavailableError:
            self.lease.version = -1


def build_members(capacities, store, now):
    members = {}
    for number, capacity in enumerate(capacities):
        name = f"n{number}"
        members[name] = Member(
            name, members, store, now, capacity=capacity, seed=number
        )
    return members


def run_members(members, now, *, ms, order):
    async def scenario():
        for _ in range(0, ms, 20):
            now[0] += 20
            tick = list(members.values())
            order.shuffle(tick)
            for member in tick:
                await member.tick()

    asyncio.run(scenario())


def list_leaders(members):
    return [name for name, member in members.items() if member.coordinator.is_active]


def publish_roster(members, capacities):
    """Give all members the roster, as a coordinator does."""
    area = build_area(*capacities)
    nodes = tuple(
        msgspec.structs.replace(info, name=f"n{number}")
        for number, info in enumerate(area)
    )
    for member in members.values():
        member.state.nodes = nodes
        member.state.instances = len(nodes)


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
    assert msgspec.json.decode(store.row, type=LeaseRow).fence == 2


def test_equal_instances_delay_claims_by_jitter_only():
    now = [1_000]
    members = build_members([1.0] * 6, LeaseStore(now), now)
    publish_roster(members, [1.0] * 6)
    delays = [member.election._draw_claim_delay() for member in members.values()]
    assert max(delays) < READ_JITTER_MS < MAX_CLAIM_DELAY_MS


def test_new_coordinator_counts_requests_of_its_own_instance():
    """Other instances report their runs in flight when they connect, but those of the
    coordinator's own instance were not counted: its servers got more requests than they
    had slots until those runs had ended."""
    now = [0]
    members = build_members([1.0, 1.0], LeaseStore(now), now)
    run_members(members, now, ms=1_000, order=random.Random(1))
    (leader,) = list_leaders(members)
    assert members[leader].coordinator.received == [(leader, ["what runs here"])]
