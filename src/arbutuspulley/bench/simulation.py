"""Discrete-time simulation of entries and servers, to test admission under load.

The simulation uses neither processes nor a clock. It calls only
:mod:`arbutuspulley.admission.queue`, so a run of minutes takes seconds, and the same
seed gives the same figures.

Time advances in steps of 50 ms. A server runs all requests that it is sent; a request
takes two seconds on average. Reports are half a second old when entries read them. A
refused request is retried once, at the time that the refusal names.
"""

import random
from collections.abc import Callable, Sequence
from functools import partial

from arbutuspulley.admission import queue
from arbutuspulley.configuration.schema import EMPTY
from arbutuspulley.controller.demand import sum_usage
from arbutuspulley.data import State, Value
from arbutuspulley.rpc.messages import EntryAddress, ServerSummary, View

STEP_MS = 50
"""Length of a step."""

VIEW_MS = 500
"""Interval between two views, and the age of the reports in them."""

MEAN_DURATION_MS = 2_000
"""Mean duration of a run."""

TARGET_MS = 1_100
"""Latency target: maximum time from the last attempt to admission."""

COST = 100
"""Token cost of each request."""

FIRST_TOKEN_MS = 100
"""Time from admission to the first token."""

ITEM = "m@1"
"""The item that all requests use."""


class Offer(Value, frozen=True):
    """The load that a caller offers.

    :param rate: requests per second.
    :param entries: indexes of the entries that the caller uses.
    :param start: time in ms at which the caller starts to send.
    :param live: whether its requests are live: their deadline is
        :attr:`Simulation.target_ms` instead of 60 s.
    """

    caller: str
    rate: float
    entries: tuple[int, ...]
    start: int = 0
    live: bool = True


class SimulatedRequest(State):
    """One request. Times are in ms.

    :param at: time of arrival.
    :param attempts: number of attempts so far.
    :param last_at: time of the last attempt.
    :param entry: index of the entry that received the request.
    :param admitted_at: time of admission; ``None`` if it was not admitted.
    :param server_overloaded: whether its server, on admission, ran more than 9/8 of
        its slots.
    """

    caller: str
    at: int
    live: bool = True
    attempts: int = 0
    last_at: int = 0
    entry: int = 0
    admitted_at: int | None = None
    server_overloaded: bool = False

    def meets_targets(self) -> bool:
        """Return whether a server without overload admitted the request in time."""
        if self.admitted_at is None or self.server_overloaded:
            return False
        return self.admitted_at - self.last_at < TARGET_MS


class Simulation:
    """A simulated system of entries and servers.

    :param slots: number of requests that a server runs concurrently within the targets.
    :param target_ms: time in ms after which the deadline of live requests expires.
    """

    def __init__(
        self,
        *,
        entries: int,
        servers: int = 4,
        slots: int = 16,
        seed: int = 1,
        target_ms: int = TARGET_MS,
    ) -> None:
        self.rng = random.Random(seed)
        self.slots = slots
        self.target_ms = target_ms
        self.entries = [queue.AdmissionState(own=f"e{n}") for n in range(entries)]
        self.running = {f"s{n}": 0 for n in range(servers)}
        self.capacity = servers * slots * 1_000 / MEAN_DURATION_MS
        self.reported = dict(self.running)
        self.requests: list[SimulatedRequest] = []
        self._tickets: dict[str, SimulatedRequest] = {}
        self._due: dict[int, list[Callable[[int], None]]] = {}

    def run(self, offers: Sequence[Offer], *, until: int) -> list[SimulatedRequest]:
        """Simulate up to a time in ms and return all requests that arrived."""
        for now in range(0, until, STEP_MS):
            if now % VIEW_MS == 0:
                self._send_views(now)
            for action in self._due.pop(now, ()):
                action(now)
            for offer in offers:
                self._generate_requests(offer, now)
            for number, entry in enumerate(self.entries):
                self._apply(number, queue.tick(entry, now=now), now)
        return self.requests

    def _generate_requests(self, offer: Offer, now: int) -> None:
        expected = offer.rate * STEP_MS / 1_000
        while now >= offer.start and expected > 0:
            if self.rng.random() < expected:
                request = SimulatedRequest(caller=offer.caller, at=now, live=offer.live)
                request.entry = self.rng.choice(offer.entries)
                self.requests.append(request)
                self._submit(request, now)
            expected -= 1

    def _submit(self, request: SimulatedRequest, now: int) -> None:
        request.attempts, request.last_at = request.attempts + 1, now
        name = f"{len(self._tickets)}"
        self._tickets[name] = request
        ticket = queue.Ticket(
            request_id=name,
            caller=request.caller,
            item=ITEM,
            cost=COST,
            arrived_at=now,
            deadline=now + (self.target_ms if request.live else 60_000),
            live=request.live,
        )
        effects = queue.submit(self.entries[request.entry], ticket, now=now)
        self._apply(request.entry, effects, now)

    def _apply(self, number: int, effects: Sequence[queue.Effect], now: int) -> None:
        for effect in effects:
            request = self._tickets[effect.request_id]
            if isinstance(effect, queue.Admit):
                self._start(number, effect.request_id, now)
            elif request.attempts < 2:
                self._schedule(
                    now + effect.retry_after_ms, partial(self._submit, request)
                )

    def _start(self, number: int, name: str, now: int) -> None:
        request, entry = self._tickets[name], self.entries[number]
        server = entry.running[name].server
        self.running[server] += 1
        request.admitted_at = now
        request.server_overloaded = self.running[server] > self.slots * 9 // 8
        queue.record_first_token(entry, name, now=now + FIRST_TOKEN_MS)
        ends = now + self.rng.expovariate(1 / MEAN_DURATION_MS)
        self._schedule(ends, partial(self._finish, number, name, server))

    def _finish(self, number: int, name: str, server: str, now: int) -> None:
        self.running[server] -= 1
        effects = queue.finish(self.entries[number], name, tokens=COST, now=now)
        self._apply(number, effects, now)

    def _schedule(self, at: float, action: Callable[[int], None]) -> None:
        step = (int(at) // STEP_MS + 1) * STEP_MS
        self._due.setdefault(step, []).append(action)

    def _send_views(self, now: int) -> None:
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
            effects = queue.apply_view(entry, view=view, now=now)
            self._apply(number, effects, now)
        self.reported = dict(self.running)

    def _report(self) -> tuple[ServerSummary, ...]:
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
            for name, running in self.reported.items()
        )


def measure_met(
    requests: Sequence[SimulatedRequest],
    *,
    caller: str | None = None,
    since: int = 10_000,
    until: int = 1_000_000,
) -> float:
    """Return the fraction of requests that met the targets.

    :param caller: counts only requests of this caller; ``None`` for all callers.
    :param since: ignores requests that arrived before this time in ms.
    :param until: ignores requests that arrived at this time in ms or later.
    """
    chosen = [
        request
        for request in requests
        if caller in (None, request.caller) and since <= request.at < until
    ]
    return sum(request.meets_targets() for request in chosen) / len(chosen)
