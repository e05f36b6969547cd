"""Elections while the store comes back from older copies of its data."""

import asyncio
import itertools
import random

import pytest

from arbutuspulley.events import Event
from arbutuspulley.membership.coordinator_lease import FENCES_PER_ERA, may_order
from arbutuspulley.node import election
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from tests.elections import LeaseStore, build_members, list_leaders, publish_roster

TICK_MS = 20

SEEDS = 60


class FaultyStore:
    """One process's way to the store.

    ``is_cut``: no call reaches the store. ``write_fault``: the answer to a write is
    ``lost``, or it is performed ``late``, in either case without an answer.
    """

    is_failing = False

    def __init__(self, store, schedule):
        self._store = store
        self._schedule = schedule
        self.is_cut = False
        self.write_fault = ""

    async def read(self, table):
        self._check()
        return await self._store.read(table)

    async def write(self, table, **transaction):
        self._check()
        if self.write_fault == "late":
            self._schedule(lambda: self._store.transact(**transaction))
            raise OutcomeUnknownError(detail="late")
        answer = await self._store.write(table, **transaction)
        if self.write_fault == "lost":
            raise OutcomeUnknownError(detail="lost")
        return answer

    def _check(self):
        if self.is_cut or self._store.is_unavailable:
            raise PlatformUnavailableError(detail="cut off")


class Simulation:
    """Several processes, a store that comes back from copies, and faults by chance.

    ``claims`` are the fencing tokens of all claims, each with the process that has it.
    """

    def __init__(self, *, seed, monkeypatch, members=4):
        self.rng = random.Random(seed)
        self.now = [1_000]
        self.store = LeaseStore(self.now, era=1)
        self.members = build_members([1.0] * members, self.store, self.now)
        publish_roster(self.members, [1.0] * members)
        self.frozen = {}
        self.claims = []
        self.late = []
        self.copies = [self.store.copy()]
        for member in self.members.values():
            member.state.store = FaultyStore(self.store, self._schedule)
        monkeypatch.setattr(election, "log_event", self._record)
        self._ticking = ""

    def _schedule(self, call):
        self.late.append((self.now[0] + self.rng.randrange(50, 6_000), call))

    def _record(self, event, **fields):
        if event is Event.LEASE_TAKEN:
            self.claims.append((fields["fence"], self._ticking))

    def run(self, ms):
        async def scenario():
            for _ in range(0, ms, TICK_MS):
                self.now[0] += TICK_MS
                await self._tick()

        asyncio.run(scenario())

    async def _tick(self):
        if self.now[0] % 500 == 0:
            self.copies = [*self.copies[-8:], self.store.copy()]
        for due in [due for due in self.late if due[0] <= self.now[0]]:
            self.late.remove(due)
            due[1]()
        running = [
            member
            for name, member in self.members.items()
            if self.frozen.get(name, 0) <= self.now[0]
        ]
        self.rng.shuffle(running)
        for member in running:
            self._ticking = member.state.settings.name
            await member.tick()
        givers = [
            member.state.settings.name
            for member in running
            if member.coordinator.is_active and may_order(member.lease, now=self.now[0])
        ]
        assert len(givers) <= 1, givers

    def restore(self):
        self.store.restore(self.rng.choice(self.copies))
        self.copies = [self.store.copy()]

    def add_fault(self):
        member = self.rng.choice(list(self.members.values()))
        name, way = member.state.settings.name, member.state.store
        kind = self.rng.choice(("cut", "heal", "freeze", "lost", "late", "sound"))
        if kind == "freeze":
            self.frozen[name] = self.now[0] + self.rng.randrange(500, 5_000)
        elif kind in ("cut", "heal"):
            way.is_cut = kind == "cut"
        else:
            way.write_fault = "" if kind == "sound" else kind

    def end_faults(self):
        self.frozen.clear()
        for member in self.members.values():
            member.state.store.is_cut = False
            member.state.store.write_fault = ""

    def check_fences(self):
        """Check that no fence was given to two processes."""
        holders = {}
        for fence, name in self.claims:
            holders.setdefault(fence, set()).add(name)
        assert all(len(names) == 1 for names in holders.values()), holders


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_two_holders_over_several_eras(seed, monkeypatch):
    """Guards against two holders that give orders at once, and against a fence that is
    given twice, as the store comes back from copies amid cuts, freezes, lost answers
    and writes that are performed late."""
    simulation = Simulation(seed=seed, monkeypatch=monkeypatch)
    simulation.run(5_000)
    for _ in range(6):
        for _ in range(simulation.rng.randrange(4)):
            simulation.add_fault()
            simulation.run(simulation.rng.randrange(0, 2_000, TICK_MS))
        simulation.store.is_unavailable = simulation.rng.random() < 0.7
        simulation.run(simulation.rng.randrange(0, 4_000, TICK_MS))
        simulation.store.is_unavailable = False
        simulation.restore()
        if simulation.rng.random() < 0.3:
            simulation.store.clock_offset_ms -= simulation.rng.randrange(10_000)
        simulation.run(simulation.rng.randrange(0, 5_000, TICK_MS))
    simulation.end_faults()
    simulation.run(8_000)
    simulation.check_fences()
    (leader,) = list_leaders(simulation.members)
    assert may_order(simulation.members[leader].lease, now=simulation.now[0])


def test_the_holder_keeps_its_lease_when_the_store_comes_back(monkeypatch):
    """Guards against a change of coordinator on each copy: requests in flight would be
    counted anew, and waiting ones asked for again."""
    simulation = Simulation(seed=1, monkeypatch=monkeypatch)
    simulation.run(5_000)
    (leader,) = list_leaders(simulation.members)
    for _ in range(3):
        simulation.store.is_unavailable = True
        simulation.run(400)
        simulation.store.is_unavailable = False
        simulation.restore()
        simulation.run(2_000)
        assert list_leaders(simulation.members) == [leader]
    fences = [fence for fence, _ in simulation.claims]
    assert fences == sorted(set(fences))
    assert fences[-1] > 4 * FENCES_PER_ERA


def test_a_copied_row_does_not_let_another_process_claim_at_once(monkeypatch):
    """Guards against a process that claims by the expiry of a copied row while the
    holder, whose renewals the store has lost, still gives orders."""
    simulation = Simulation(seed=2, monkeypatch=monkeypatch, members=2)
    copy = None
    simulation.run(4_000)
    (leader,) = list_leaders(simulation.members)
    other = next(name for name in simulation.members if name != leader)
    copy = simulation.store.copy()
    simulation.run(6_000)
    simulation.members[leader].state.store.is_cut = True
    simulation.members[other].link.address = ""
    restored_at = simulation.now[0]
    simulation.store.restore(copy)
    while not simulation.members[other].coordinator.is_active:
        simulation.run(TICK_MS)
    assert simulation.now[0] - restored_at >= 1_500
    while not may_order(simulation.members[other].lease, now=simulation.now[0]):
        simulation.run(TICK_MS)
    assert simulation.now[0] - restored_at >= 3_000


def test_a_write_of_an_earlier_era_changes_nothing_after_the_first_claim():
    """Guards against a renewal without an answer that is performed after the store has
    come back, where the row has once more the version that it expects."""

    async def scenario():
        now = [1_000]
        store = LeaseStore(now, era=1)
        members = build_members([1.0, 1.0], store, now)
        late = []
        first = members["n0"]
        first.state.store = FaultyStore(store, late.append)
        for _ in range(20):
            now[0] += TICK_MS
            await first.tick()
        copy = store.copy()
        now[0] += 900
        first.state.store.write_fault = "late"
        await first.tick()
        assert len(late) == 1
        store.restore(copy)
        second = members["n1"]
        for _ in itertools.takewhile(
            lambda _: not second.coordinator.is_active, range(300)
        ):
            now[0] += TICK_MS
            await second.tick()
        # Writes of other tables have brought the counter to the expected version.
        _, value = store.rows["coordinator"]
        store.rows["coordinator"] = (copy[1]["coordinator"][0], value)
        late[0]()
        assert store.rows["coordinator"][1] == value
        assert store.lease.holder == "n1"

    asyncio.run(scenario())


def test_a_renewal_that_a_new_era_accepts_is_claimed_anew(monkeypatch):
    """Guards against a holder that keeps a fence of an earlier era, since the copy has
    all rows of the lease and accepts its renewal."""
    simulation = Simulation(seed=3, monkeypatch=monkeypatch)
    simulation.run(5_000)
    (leader,) = list_leaders(simulation.members)
    simulation.store.restore(simulation.store.copy())
    simulation.run(1_000)
    assert simulation.claims[-1] == (2 * FENCES_PER_ERA + 1, leader)
    assert "era-2" in simulation.store.rows
    assert "era-1" not in simulation.store.rows


def test_a_copied_row_is_not_released(monkeypatch):
    """Guards against a successor that gives orders at once after a release, though
    another holder's lease, which the store has lost, may still run."""
    simulation = Simulation(seed=4, monkeypatch=monkeypatch)
    simulation.run(5_000)
    (leader,) = list_leaders(simulation.members)
    simulation.store.restore(simulation.store.copy())
    rows = dict(simulation.store.rows)
    member = simulation.members[leader]

    async def scenario():
        await member.election._read()
        await member.election.release_lease(is_final=False)

    asyncio.run(scenario())
    assert simulation.store.rows == rows
    assert not member.coordinator.is_active


def test_a_copied_row_does_not_replace_a_link_that_is_up(monkeypatch):
    """Guards against an instance that leaves a coordinator which answers it for one
    that held the lease before."""
    simulation = Simulation(seed=5, monkeypatch=monkeypatch)
    simulation.run(5_000)
    (leader,) = list_leaders(simulation.members)
    copy = simulation.store.copy()
    member = next(one for name, one in simulation.members.items() if name != leader)
    member.link.address = "elsewhere"
    member.link.up_until = simulation.now[0] + 10_000
    simulation.store.restore(copy)
    asyncio.run(member.election._check_lease())
    assert member.link.address == "elsewhere"
