"""A tiny model of entries and servers, to try admission under load.

Time goes in steps of 50 ms. A server runs what it is given; a request takes two
seconds on average. Reports are half a second old when entries read them. A refused
request comes back once, when it was told to.
"""

import random

from arbutuspulley.admission import queue
from arbutuspulley.configuration.schema import EMPTY
from arbutuspulley.data import State, Value
from arbutuspulley.rpc.messages import CallerUsage, EntryAddress, ServerSummary, View

STEP_MS = 50
VIEW_MS = 500
DURATION_MS = 2_000
TARGET_MS = 1_100
ITEM = "m@1"


class Offer(Value, frozen=True):
    """What a caller asks: requests a second, through some entries, from a time on."""

    caller: str
    rate: float
    entries: tuple[int, ...]
    start: int = 0
    live: bool = True


class Asked(State):
    """One request; ``crowded`` if its server then ran an eighth above its slots."""

    caller: str
    at: int
    live: bool = True
    tries: int = 0
    last_at: int = 0
    entry: int = 0
    admitted_at: int | None = None
    crowded: bool = False

    def is_met(self) -> bool:
        """Admitted in time, counted from its last try, onto a server with room."""
        if self.admitted_at is None or self.crowded:
            return False
        return self.admitted_at - self.last_at < TARGET_MS


class Model:
    """Some entries before some servers."""

    def __init__(self, *, entries, servers=4, slots=16, seed=1, target_ms=TARGET_MS):
        self.chance = random.Random(seed)
        self.slots = slots
        self.target_ms = target_ms
        self.entries = [queue.AdmissionState(own=f"e{n}") for n in range(entries)]
        self.running = {f"s{n}": 0 for n in range(servers)}
        self.capacity = servers * slots * 1_000 / DURATION_MS
        self.known = dict(self.running)
        self.asked = []
        self.tickets = {}
        self.due = {}

    def run(self, offers, *, until):
        """Run to a time and return all requests that were asked."""
        for now in range(0, until, STEP_MS):
            if now % VIEW_MS == 0:
                self._send_views(now)
            for action, *what in self.due.pop(now, ()):
                action(*what, now)
            for offer in offers:
                self._ask(offer, now)
            for number, entry in enumerate(self.entries):
                self._apply(number, queue.tick(entry, now=now), now)
        return self.asked

    def _ask(self, offer, now):
        expected = offer.rate * STEP_MS / 1_000
        while now >= offer.start and expected > 0:
            if self.chance.random() < expected:
                one = Asked(caller=offer.caller, at=now, live=offer.live)
                one.entry = self.chance.choice(offer.entries)
                self.asked.append(one)
                self._submit(one, now)
            expected -= 1

    def _submit(self, one, now):
        one.tries, one.last_at = one.tries + 1, now
        name = f"{len(self.tickets)}"
        self.tickets[name] = one
        ticket = queue.Ticket(
            request_id=name,
            caller=one.caller,
            item=ITEM,
            cost=100,
            arrived_at=now,
            deadline=now + (self.target_ms if one.live else 60_000),
            live=one.live,
        )
        effects = queue.submit(self.entries[one.entry], ticket, now=now)
        self._apply(one.entry, effects, now)

    def _apply(self, number, effects, now):
        for effect in effects:
            one = self.tickets[effect.request_id]
            if isinstance(effect, queue.Admit):
                self._start(number, effect.request_id, now)
            elif one.tries < 2:
                self._plan(now + effect.retry_after_ms, self._submit, one)

    def _start(self, number, name, now):
        one, entry = self.tickets[name], self.entries[number]
        server = entry.running[name].server
        self.running[server] += 1
        one.admitted_at = now
        one.crowded = self.running[server] > self.slots * 9 // 8
        queue.note_first_token(entry, name, now=now + 100)
        ends = now + self.chance.expovariate(1 / DURATION_MS)
        self._plan(ends, self._finish, number, name, server)

    def _finish(self, number, name, server, now):
        self.running[server] -= 1
        effects = queue.finish(self.entries[number], name, tokens=100, now=now)
        self._apply(number, effects, now)

    def _plan(self, at, action, *what):
        step = (int(at) // STEP_MS + 1) * STEP_MS
        self.due.setdefault(step, []).append((action, *what))

    def _send_views(self, now):
        usages = [queue.list_usage(entry) for entry in self.entries]
        busy = [len(entry.running) / 64 for entry in self.entries]
        for number, entry in enumerate(self.entries):
            view = View(
                number=1,
                ready=True,
                store_up=True,
                configuration=EMPTY,
                servers=self._report(),
                entries=tuple(
                    EntryAddress(instance=f"{n}", site="a", address=f"e{n}", load=load)
                    for n, load in enumerate(busy)
                ),
                usage=sum_usage(usages[:number] + usages[number + 1 :]),
            )
            effects = queue.note_capacity(entry, view=view, now=now)
            self._apply(number, effects, now)
        self.known = dict(self.running)

    def _report(self):
        return tuple(
            ServerSummary(
                server=name,
                site="a",
                address="x",
                items=(ITEM,),
                running=running,
                slots=self.slots,
                age_ms=VIEW_MS,
            )
            for name, running in self.known.items()
        )


def sum_usage(parts):
    total = {}
    for part in parts:
        for one in part:
            rate, waiting = total.get(one.caller, (0, 0))
            total[one.caller] = (rate + one.tokens_per_s, waiting + one.waiting)
    return tuple(
        CallerUsage(caller=caller, tokens_per_s=rate, waiting=waiting)
        for caller, (rate, waiting) in total.items()
    )


def measure_met(asked, *, caller=None, since=10_000, until=1_000_000):
    """Return the share of requests that were met."""
    chosen = [
        one for one in asked if caller in (None, one.caller) and since <= one.at < until
    ]
    return sum(one.is_met() for one in chosen) / len(chosen)
