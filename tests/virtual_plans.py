"""Plans of troubles for a fleet in virtual time, and what callers see meanwhile."""

import asyncio
import contextlib
import itertools
import random
import signal

import msgspec

from arbutuspulley.simulation import Cut
from tests.virtual_fleet import run_fleet

NAMES = ("n1", "n2", "n3", "n4")

START_S = 5.0
"""When traffic begins, in s; the instances have found a coordinator by then."""

TROUBLE_S = (6.0, 16.0)
"""When troubles begin at the earliest and the latest, in s."""

END_S = 50.0
"""When callers stop, in s."""

EVERY_S = 0.06
"""Time between two requests, in s."""

GUILTY_EVERY_S = 0.6
"""Time between two requests with a part that crashes servers, in s."""

GUILTY_PART = "bad0"
FIRST_PART = "a0"

KINDS = (
    "kill",
    "terminate",
    "freeze",
    "reset",
    "silence",
    "unlink",
    "store",
    "crash",
    "power",
)
"""Kinds of trouble: of an instance, its connections to the servers or to the other
instances, the store, some servers, and all of them."""

PLACES = ("any", "coordinator")
"""Which instance a trouble strikes."""

PATHS = ("/chat/x", "/book/x", "/sync/x")
"""Where callers send requests, in turn."""


class Trouble(msgspec.Struct, frozen=True):
    """One trouble.

    :param at_s: when it begins, in s.
    :param for_s: how long it lasts, in s.
    """

    kind: str
    at_s: float
    for_s: float
    place: str = "any"


class Plan(msgspec.Struct, frozen=True):
    """What to play. The same plan plays the same.

    :param is_guilty: whether requests come with a part that crashes servers.
    """

    seed: int
    troubles: tuple[Trouble, ...]
    is_guilty: bool = False


class Sent(msgspec.Struct):
    """One request of a caller.

    :param status: 0 if no connection was opened, ``None`` if it was broken off.
    :param is_over: whether it ended before its caller gave up.
    """

    at_s: float
    name: str
    path: str
    is_guilty: bool
    status: int | None = None
    body: bytes = b""
    is_over: bool = False


def draw_plan(seed, kinds):
    """Draw a plan in which each kind of trouble strikes once or twice."""
    rng = random.Random(f"{seed} {kinds}")
    troubles = [
        Trouble(
            kind=kind,
            at_s=round(rng.uniform(*TROUBLE_S), 3),
            for_s=round(rng.uniform(0.3, 4.0), 3),
            place=rng.choice(PLACES),
        )
        for kind in kinds
        for _ in range(rng.randint(1, 2))
    ]
    troubles.sort(key=lambda one: one.at_s)
    return Plan(seed=seed, troubles=tuple(troubles), is_guilty=rng.random() < 0.5)


class Play:
    """One play of a plan: what callers sent, and what the fleet did.

    :ivar sent: requests by attempt id.
    :ivar troubled_until: end of the last trouble of each instance, in s.
    """

    def __init__(self, plan):
        self.plan = plan
        self.sent = {}
        self.troubled_until = dict.fromkeys(NAMES, 0.0)
        self.fleet = None
        self._rng = random.Random(plan.seed)
        self._asked = set()

    def run(self, folder):
        """Play the plan to its end."""
        self.fleet = run_fleet(folder, self._run, seed=self.plan.seed)
        return self

    async def _run(self, fleet, session):
        self.fleet = fleet
        for name in NAMES:
            fleet.start_instance(name)
        for server in fleet.servers.values():
            server.crashing_parts = frozenset((GUILTY_PART,))
        for trouble in self.plan.troubles:
            fleet.run_later(trouble.at_s, self._strike, trouble)
        await asyncio.sleep(START_S)
        flows = [self._send_many(session, EVERY_S, is_guilty=False)]
        if self.plan.is_guilty:
            flows.append(self._send_many(session, GUILTY_EVERY_S, is_guilty=True))
        await asyncio.gather(*flows)
        await asyncio.gather(*self._asked)

    async def _send_many(self, session, every_s, *, is_guilty):
        paths = itertools.cycle(PATHS[:1] if is_guilty else PATHS)
        while self.fleet.now_s < END_S:
            asked = self._send(session, next(paths), is_guilty=is_guilty)
            self._asked.add(asyncio.create_task(asked))
            await asyncio.sleep(every_s)

    async def _send(self, session, path, *, is_guilty):
        attempt = f"{'f' if is_guilty else 'd'}{len(self.sent):x}"
        name = self._rng.choice(NAMES)
        sent = Sent(at_s=self.fleet.now_s, name=name, path=path, is_guilty=is_guilty)
        self.sent[attempt] = sent
        beside = f"b{self._rng.randrange(3)}"
        parts = (FIRST_PART, GUILTY_PART if is_guilty else beside, attempt)
        prompt = ",".join(f"{part}:100" for part in parts)
        options = {"model": "m0", "X-Arbutuspulley-Prompt-Prefix": prompt}
        with contextlib.suppress(TimeoutError):
            answer = await self.fleet.ask(
                session,
                name,
                path,
                attempt=attempt,
                body=attempt.encode(),
                **(options if path == PATHS[0] else {}),
            )
            sent.is_over = True
            if answer is not None:
                sent.status, sent.body = answer

    def _strike(self, trouble):
        getattr(self, f"_{trouble.kind}")(trouble, self._choose(trouble))

    def _choose(self, trouble):
        alive = [name for name in NAMES if not self.fleet.parties[name].is_dead]
        if trouble.place == "coordinator" and self.fleet.find_coordinator() in alive:
            return self.fleet.find_coordinator()
        return self._rng.choice(alive or NAMES)

    def _mark(self, name, for_s):
        until = self.fleet.now_s + for_s
        self.troubled_until[name] = max(self.troubled_until[name], until)

    def _kill(self, trouble, name):
        self._mark(name, trouble.for_s)
        self.fleet.kill(name)
        self.fleet.run_later(trouble.for_s, self._start_again, name)

    def _start_again(self, name):
        if self.fleet.parties[name].is_dead:
            self.fleet.start_instance(name)

    def _terminate(self, trouble, name):
        fleet, party = self.fleet, self.fleet.parties[name]
        if party.is_dead or signal.SIGTERM not in party.signal_handlers:
            return
        fleet.loop.send_signal(party, signal.SIGTERM)
        self._mark(name, trouble.for_s)

        def end(_task):
            fleet.run_later(0, self._end, party)

        fleet.instances[name].add_done_callback(end, context=fleet.build_context())

    def _end(self, party):
        if not party.is_dead:
            self.fleet.loop.kill(party)
            self._mark(party.name, 0.5)
            self.fleet.run_later(0.5, self._start_again, party.name)

    def _freeze(self, trouble, name):
        party = self.fleet.parties[name]
        self.fleet.loop.freeze(party)
        self._mark(name, trouble.for_s)
        self.fleet.run_later(trouble.for_s, self.fleet.loop.wake, party)

    def _reset(self, trouble, name, *, how=Cut.RESET):
        servers = list(self.fleet.servers)
        self._cut(trouble, [(name, server) for server in servers], how)

    def _silence(self, trouble, name):
        self._reset(trouble, name, how=Cut.SILENT)

    def _unlink(self, trouble, name):
        others = [other for other in NAMES if other != name]
        self._cut(trouble, [(name, other) for other in others], Cut.SILENT)

    def _store(self, trouble, _name):
        self._cut(trouble, [(name, "store") for name in NAMES], Cut.SILENT)

    def _cut(self, trouble, pairs, how):
        for name, other in pairs:
            self._mark(name, trouble.for_s)
            self.fleet.network.cut(name, other, how)
            self.fleet.run_later(trouble.for_s, self.fleet.network.heal, name, other)

    def _crash(self, _trouble, _name):
        chosen = self._rng.sample(sorted(self.fleet.servers), self._rng.randint(1, 3))
        for server in chosen:
            self.fleet.crash(server)

    def _power(self, _trouble, _name):
        for server in sorted(self.fleet.servers):
            self.fleet.crash(server)


def play(folder, plan):
    """Play a plan."""
    return Play(plan).run(folder)
