"""Elections among several processes on one clock, without a network."""

import asyncio
import random
from types import SimpleNamespace

import msgspec

from arbutuspulley.clock import Clock
from arbutuspulley.membership.coordinator_lease import (
    CoordinatorLeaseState,
    LeaseRow,
    is_holder,
)
from arbutuspulley.node.election import LEASE_KEY, LEASE_TABLE, Election
from arbutuspulley.platform.store import RowsAnswer, StoredRow, WriteAnswer
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from tests.node_states import build_position, build_state
from tests.test_advertisement import build_area


class LeaseStore:
    """The lease's table in a store that answers at once; counts the reads."""

    is_failing = False

    def __init__(self, now, *, era=0):
        self._now = now
        self.rows = {}
        self.version = 0
        self.era = era
        self.clock_offset_ms = 0
        self.reads = 0
        self.is_unavailable = False

    @property
    def lease(self):
        return msgspec.json.decode(self.rows[LEASE_KEY][1], type=LeaseRow)

    def copy(self):
        return self.version, dict(self.rows)

    def restore(self, copy):
        self.version, rows = copy
        self.rows = dict(rows)
        self.era += 1

    def transact(self, *, expected, put, remove):
        if any(
            self.rows.get(key, (0,))[0] != version for key, version in expected.items()
        ):
            return False
        self.version += 1
        self.rows |= {key: (self.version, value) for key, value in put.items()}
        for key in remove:
            self.rows.pop(key, None)
        return True

    async def read(self, table):
        assert table == LEASE_TABLE
        self.reads += 1
        if self.is_unavailable:
            raise PlatformUnavailableError(detail="away")
        rows = [
            StoredRow(
                key=key, position=build_position(version, era=self.era), value=value
            )
            for key, (version, value) in self.rows.items()
        ]
        return RowsAnswer(rows=rows, position=self._position, now_ms=self._now_ms)

    async def write(self, table, *, expected, put, remove):
        assert table == LEASE_TABLE
        is_applied = self.transact(expected=expected, put=put, remove=remove)
        return WriteAnswer(
            is_applied=is_applied, position=self._position, now_ms=self._now_ms
        )

    @property
    def _position(self):
        return build_position(self.version, era=self.era)

    @property
    def _now_ms(self):
        return self._now[0] + self.clock_offset_ms


class FakeCoordinator:
    """Stub of a process's coordinator."""

    def __init__(self):
        self.is_active = False
        self.isolated_since = None
        self.ordered_at = None
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

    @property
    def status(self):
        leader = self._members.get(self.address)
        has_lease = leader is None or is_holder(leader.lease, now=self._now[0])
        return SimpleNamespace(is_holder=has_lease)

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

    def __init__(self, name, members, store, now, *, capacity, seed, lease_ms=3_000):
        state = build_state(clock=Clock(read=lambda: now[0]), name=name)
        state.settings = msgspec.structs.replace(
            state.settings, cores=capacity, link_mbps=1_000
        )
        state.store = store
        state.rng = random.Random(seed)
        self.state = state
        self.coordinator = FakeCoordinator()
        self.lease = CoordinatorLeaseState(
            name=name, link=name, boot=f"{name}-boot", lease_ms=lease_ms
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
        except (PlatformUnavailableError, OutcomeUnknownError):
            self.lease.version = -1


def build_members(capacities, store, now, **options):
    """Build processes; the options are those of :class:`Member`."""
    members = {}
    for number, capacity in enumerate(capacities):
        name = f"n{number}"
        members[name] = Member(
            name, members, store, now, capacity=capacity, seed=number, **options
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
