"""Servers that fall over if they have to refuse too many requests, without a network.

A simulation plays instances that ask a coordinator, or go by their own share, for
places at servers of six slots that state how many refusals they bear.
"""

import heapq
import itertools
import random

import pytest

from arbutuspulley.admission.brittle_servers import (
    MAX_HELD_MS,
    RECHECK_MS,
    SETTLE_MS,
    BrittleLedger,
    get_local_wait,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.requests import read_server_brittle

SLOTS = 6
SERVICE_MS = 45
LINK_MS = 2
DOWN_MS = 4_000
PATIENCE_MS = 200
"""How long a request waits for a place, in ms."""


def build_ledger(*, refusals_per_s=3.0, now=0, share=1.0):
    ledger = BrittleLedger()
    ledger.set_brittle("s0", refusals_per_s, slots=SLOTS, now=now)
    ledger.set_share(share)
    return ledger


def ask(ledger, key, *, now=0, origin="n1"):
    return ledger.request_place("s0", key, origin=origin, now=now)


def test_no_more_requests_are_in_flight_than_the_server_has_slots():
    ledger = build_ledger()
    assert [ask(ledger, f"r{n}") for n in range(7)] == [0] * 6 + [RECHECK_MS]
    ledger.free_place("s0", "r0", was_refused=False, now=1)
    assert ask(ledger, "r7", now=1) == 0


def test_a_refusal_counts_for_all_instances():
    """Guards against instances that each find out for themselves that a server is
    full."""
    ledger = build_ledger(refusals_per_s=4.0)
    for number in range(4):
        ask(ledger, f"r{number}")
    ledger.free_place("s0", "r3", was_refused=True, now=10)
    assert ask(ledger, "r4", origin="n2", now=11) == 249
    assert ask(ledger, "r4", origin="n2", now=259) == 1
    assert ask(ledger, "r4", origin="n2", now=260) == RECHECK_MS
    ledger.free_place("s0", "r0", was_refused=False, now=260)
    assert ask(ledger, "r4", origin="n2", now=260) == 0


def test_room_that_was_lost_grows_back():
    ledger = build_ledger()
    ask(ledger, "r0")
    ledger.free_place("s0", "r0", was_refused=True, now=0)
    given = sum(not ask(ledger, f"x{now}", now=now) for now in range(400, 9_000, 100))
    assert given == SLOTS


def test_a_server_that_is_not_brittle_needs_no_place():
    ledger = build_ledger()
    assert ledger.set_brittle("s0", None, slots=SLOTS, now=0)
    assert [ask(ledger, f"r{n}") for n in range(20)] == [0] * 20


def test_a_new_coordinator_counts_on_requests_that_it_does_not_know():
    ledger = BrittleLedger()
    ledger.reset({"s0": 3.0}, {"s0": SLOTS}, now=0)
    assert ask(ledger, "r0", now=1) == SETTLE_MS - 1
    given = sum(not ask(ledger, f"x{n}", now=SETTLE_MS) for n in range(9))
    assert given == SLOTS


def test_places_whose_end_is_never_reported_become_free():
    ledger = build_ledger()
    for number in range(SLOTS):
        ask(ledger, f"r{number}", origin="n1" if number < 2 else "n2")
    ledger.release_instance("n1", now=10)
    assert ask(ledger, "x", now=10) == RECHECK_MS
    assert [ask(ledger, f"y{n}", now=10 + SETTLE_MS) for n in range(3)] == [0, 0, 20]
    assert ask(ledger, "z", now=MAX_HELD_MS) == 0


def test_places_of_instances_that_are_not_linked_stay_theirs():
    ledger = build_ledger(share=0.5)
    assert [ask(ledger, f"r{n}") for n in range(4)] == [0, 0, 0, RECHECK_MS]


@pytest.mark.parametrize("text", ["", "many", "0", "-1", "nan", "inf", "1e9"])
def test_a_number_that_can_not_be_meant_is_refused(text):
    with pytest.raises(ValueError, match="Server-Brittle"):
        read_server_brittle({names.SERVER_BRITTLE: text})


def test_reads_the_number_that_an_answer_states():
    assert read_server_brittle({}) is None
    assert read_server_brittle({names.SERVER_BRITTLE: "2"}) == 2


class Server:
    """A server with a queue of no length that falls over."""

    def __init__(self, refusals_per_s):
        self.refusals_per_s = refusals_per_s
        self.in_flight = 0
        self.refused_at = []
        self.down_until = 0
        self.falls = 0
        self.served = 0

    def arrive(self, now):
        """Return what becomes of a request: ``runs``, ``refused`` or ``lost``."""
        if now < self.down_until:
            return "lost"
        if self.in_flight < SLOTS:
            self.in_flight += 1
            return "runs"
        self.refused_at = [at for at in self.refused_at if now - at < 1_000] + [now]
        if len(self.refused_at) <= self.refusals_per_s:
            return "refused"
        self.falls += 1
        self.in_flight = 0
        self.refused_at.clear()
        self.down_until = now + DOWN_MS
        return "lost"


class Simulation:
    """Callers of many instances at a few brittle servers.

    :param load: requests as a multiple of what the servers can process.
    :param uses_places: if not, instances send as they like.
    :param lost: times at which the coordinator is lost, each for a second.
    """

    def __init__(
        self, *, seed, instances, servers, refusals_per_s, load, lost=(), uses_places
    ):
        self.rng = random.Random(seed)
        self.instances = instances
        self.servers = [Server(refusals_per_s) for _ in range(servers)]
        self.load = load
        self.lost = lost
        self.uses_places = uses_places
        self.refusals_per_s = refusals_per_s
        self.ledger = BrittleLedger()
        self.ledger_begun_at = -1
        self.local_in_flight = {}
        self.events = []
        self.numbers = itertools.count()

    def at(self, when, call, *args):
        heapq.heappush(self.events, (when, next(self.numbers), call, args))

    def run(self, *, for_ms):
        gap_ms = SERVICE_MS / (SLOTS * len(self.servers) * self.load)
        for number in range(int(for_ms / gap_ms)):
            self.at(number * gap_ms, self.ask, f"r{number}", number * gap_ms)
        while self.events:
            now, _number, call, args = heapq.heappop(self.events)
            call(now, *args)
        return sum(server.served for server in self.servers)

    def ask(self, now, key, since):
        index = self.rng.randrange(len(self.servers))
        origin = f"n{self.rng.randrange(self.instances)}"
        wait_ms = self.get_wait(now, index, key, origin) if self.uses_places else 0
        if not wait_ms:
            pair = origin, index
            self.local_in_flight[pair] = self.local_in_flight.get(pair, 0) + 1
            self.at(now + LINK_MS, self.arrive, index, key, origin)
        elif now + wait_ms - since < PATIENCE_MS:
            self.at(now + wait_ms, self.ask, key, since)

    def get_wait(self, now, index, key, origin):
        for at in self.lost:
            if at <= now < at + 1_000:
                wait_ms = self.get_local_wait(index, origin)
                return max(wait_ms, int(at + SETTLE_MS - now))
            if now >= at + 1_000 > self.ledger_begun_at:
                known = {str(n): self.refusals_per_s for n in range(len(self.servers))}
                slots = dict.fromkeys(known, SLOTS)
                self.ledger.reset(known, slots, now=int(now))
                self.ledger_begun_at = at + 1_000
        if self.ledger_begun_at < 0:
            for number in range(len(self.servers)):
                self.ledger.set_brittle(
                    str(number), self.refusals_per_s, slots=SLOTS, now=0
                )
            self.ledger_begun_at = 0
        return self.ledger.request_place(str(index), key, origin=origin, now=int(now))

    def get_local_wait(self, index, origin):
        in_flight = self.local_in_flight.get((origin, index), 0)
        return get_local_wait(
            in_flight=in_flight,
            slots=SLOTS,
            share_divisor=self.instances,
            duration_ms=SERVICE_MS,
            rng=self.rng,
        )

    def arrive(self, now, index, key, origin):
        server = self.servers[index]
        fate = server.arrive(now)
        if fate == "runs":
            took_ms = SERVICE_MS * self.rng.uniform(0.5, 1.5)
            fallen = server.falls
            self.at(now + took_ms, self.leave, index, key, origin, fallen)
            return
        self.local_in_flight[origin, index] -= 1
        refused = fate == "refused"
        self.ledger.free_place(str(index), key, was_refused=refused, now=int(now))

    def leave(self, now, index, key, origin, fallen):
        server = self.servers[index]
        self.local_in_flight[origin, index] -= 1
        if server.falls == fallen:
            server.in_flight -= 1
            server.served += 1
        self.at(now + LINK_MS, self.free, index, key)

    def free(self, now, index, key):
        self.ledger.free_place(str(index), key, was_refused=False, now=int(now))


FOR_MS = 6_000
CASES = pytest.mark.parametrize(
    ("instances", "refusals_per_s", "load", "seed"),
    [
        (instances, refusals_per_s, load, seed)
        for instances in (6, 195)
        for refusals_per_s in (1, 5)
        for load, seed in ((2, 1), (10, 2))
    ],
)


def count_falls(simulation):
    return sum(server.falls for server in simulation.servers)


def get_allowed_falls(simulation):
    return 2 + len(simulation.servers) / 10


@CASES
def test_brittle_servers_rarely_fall_and_stay_in_use(
    instances, refusals_per_s, load, seed
):
    """Guards against servers that fall over under load, and against a remedy that
    leaves them idle."""
    simulation = Simulation(
        seed=seed,
        instances=instances,
        servers=3,
        refusals_per_s=refusals_per_s,
        load=load,
        uses_places=True,
    )
    served = simulation.run(for_ms=FOR_MS)
    assert count_falls(simulation) <= get_allowed_falls(simulation)
    assert served >= 0.9 * SLOTS * 3 * FOR_MS / SERVICE_MS


@CASES
def test_brittle_servers_rarely_fall_while_coordinators_are_lost(
    instances, refusals_per_s, load, seed
):
    """Guards against places that two coordinators give, or instances without one."""
    simulation = Simulation(
        seed=seed,
        instances=instances,
        servers=3,
        refusals_per_s=refusals_per_s,
        load=load,
        lost=(1_500, 4_000),
        uses_places=True,
    )
    simulation.run(for_ms=FOR_MS)
    assert count_falls(simulation) <= get_allowed_falls(simulation)


def test_the_simulation_lets_servers_fall_without_places():
    simulation = Simulation(
        seed=1,
        instances=6,
        servers=3,
        refusals_per_s=3,
        load=2,
        uses_places=False,
    )
    simulation.run(for_ms=FOR_MS)
    assert count_falls(simulation) > get_allowed_falls(simulation)
