"""Compares ways to treat requests whose server is slow, at several loads.

A small seeded simulation without a network: instances send requests to servers of a
plain service, each with some slots and a queue. Service times vary, and each server
takes 2.5 times as long for 15% of the time, in phases of about 600 ms. An instance
knows only its own requests in flight. A server drops a request that is withdrawn while
it waits in its queue; one that runs there is completed, for nothing. All policies get
the same arrivals, service times and phases:

* ``one attempt``;
* ``fixed delay``: a second attempt after 50 ms of silence;
* ``percentile``: a second attempt after the running 95th percentile;
* ``limited``: the same, only at a server with a free slot as far as the instance knows,
  within a budget of 5% of the requests, and as long as a tenth of them win;
* ``below a load``: the same, only while the instance uses at most ``MAX_LOAD`` of its
  share of the slots: what :mod:`arbutuspulley.node.hedges` does;
* ``tied``: two attempts at once; when one begins to run, the other is withdrawn after
  1 ms, the time of a message between data centres;
* ``moved``: a request that still waits in its server's queue after the running 95th
  percentile of such waits is withdrawn and sent to another server, once.

Columns: percentiles of the time to an answer; work of all servers beyond that of one
attempt; requests with a second attempt; by how much longer first attempts waited in the
servers' queues on average than with one attempt each.
"""

import heapq
import itertools
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterator

import msgspec

from arbutuspulley.admission import hedge_budget
from arbutuspulley.admission.hedge_budget import HedgeBudget, build_hedge_budget
from arbutuspulley.data import State
from arbutuspulley.delivery.hedging import (
    MAX_LOAD,
    FirstByteTimes,
    get_hedge_delay,
    record_first_byte,
)
from arbutuspulley.membership.limit_shares import get_instance_share

SEEDS = range(3)
LOADS = (0.3, 0.6, 0.9)
POLICIES = (
    "one attempt",
    "fixed delay",
    "percentile",
    "limited",
    "below a load",
    "tied",
    "moved",
)
LIMITED = ("limited", "below a load")
INSTANCES = 6
SERVERS = 12
SLOTS = 8
MEAN_MS = 20.0
SIGMA = 0.5
SLOW_FACTOR = 2.5
SLOW_PHASE_MS = 600.0
SLOW_FRACTION = 0.15
DURATION_MS = 15_000
FIXED_DELAY_MS = 50
WITHDRAW_MS = 1
RATIO = 0.05
WINDOW_MS = 10_000


class Request(State, eq=False):
    """A request; ``second`` is whether a second attempt has begun."""

    instance: int
    arrived_at: float
    attempts: "list[Attempt]" = msgspec.field(default_factory=list)
    answered_at: float | None = None
    second: bool = False


class Attempt(State, eq=False):
    """A request at a server; ``base_ms`` is its service time outside slow phases."""

    request: Request
    server: int
    base_ms: float
    sent_at: float
    started_at: float | None = None
    is_withdrawn: bool = False


class Server(State, eq=False):
    """A server; ``phases`` are the ends of its phases, usual and slow in turn."""

    phases: list[float]
    queue: deque[Attempt] = msgspec.field(default_factory=deque)
    running: int = 0
    worked_ms: float = 0


class Simulation:
    """One run of a policy; results are kept in its attributes."""

    def __init__(self, policy: str, *, load: float, seed: int) -> None:
        self.policy = policy
        arrivals, services = random.Random(seed), random.Random(seed + 1_000)
        phases = random.Random(seed + 2_000)
        self.rng = random.Random(seed + 3_000)
        self.services = services
        self.servers = [Server(phases=_draw_phases(phases)) for _ in range(SERVERS)]
        self.in_flight = [[0] * SERVERS for _ in range(INSTANCES)]
        self.times = [FirstByteTimes() for _ in range(INSTANCES)]
        self.budgets: list[HedgeBudget] = [
            build_hedge_budget(ratio=RATIO, window_ms=WINDOW_MS, phase=number / 6)
            for number in range(INSTANCES)
        ]
        self.answer_ms: list[float] = []
        self.first_waits: list[float] = []
        self.seconds = 0
        self.requests = 0
        self._counter = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        mean_ms = MEAN_MS * (1 + SLOW_FRACTION * (SLOW_FACTOR - 1))
        rate_per_ms = load * SERVERS * SLOTS / mean_ms
        now = 0.0
        while now < DURATION_MS:
            now += arrivals.expovariate(rate_per_ms)
            request = Request(instance=arrivals.randrange(INSTANCES), arrived_at=now)
            self._at(now, self._build_arrival(request, _draw_service(services)))

    def run(self) -> None:
        """Handle all events in order."""
        while self._events:
            now, _, call = heapq.heappop(self._events)
            call(now)

    def _at(self, when: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._counter), call))

    def _build_arrival(
        self, request: Request, base_ms: float
    ) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            self.requests += 1
            hedge_budget.record_request(self.budgets[request.instance], now=int(now))
            self._send(request, base_ms, now)
            delay_ms = self._get_delay(request, now)
            if delay_ms is not None:
                self._at(now + delay_ms, lambda at: self._try_second(request, at))

        return arrive

    def _get_delay(self, request: Request, now: float) -> float | None:
        if self.policy == "one attempt":
            return None
        if self.policy == "tied":
            return 0
        if self.policy == "fixed delay":
            return FIXED_DELAY_MS
        return get_hedge_delay(self.times[request.instance], now=int(now))

    def _try_second(self, request: Request, now: float) -> None:
        first = request.attempts[0]
        if request.answered_at is not None:
            return
        if self.policy == "moved" and first.started_at is not None:
            return
        if self.policy in LIMITED and not self._may_begin(request, now):
            return
        request.second = True
        self.seconds += 1
        if self.policy == "moved":
            self._withdraw(first, now)
        self._send(request, _draw_service(self.rng), now)

    def _may_begin(self, request: Request, now: float) -> bool:
        counts = self.in_flight[request.instance]
        used = {attempt.server for attempt in request.attempts}
        least = min(counts[one] for one in range(SERVERS) if one not in used)
        share = get_instance_share(SERVERS * SLOTS, share_divisor=INSTANCES)
        if self.policy == "below a load" and sum(counts) > MAX_LOAD * share:
            return False
        if least >= max(1.0, get_instance_share(SLOTS, share_divisor=INSTANCES)):
            return False
        budget = self.budgets[request.instance]
        if hedge_budget.is_losing(budget, now=int(now)):
            return False
        charge = hedge_budget.try_charge(budget, now=int(now))
        if charge is None:
            return False
        hedge_budget.settle(budget, charge, now=int(now))
        return True

    def _send(self, request: Request, base_ms: float, now: float) -> None:
        counts = self.in_flight[request.instance]
        used = {attempt.server for attempt in request.attempts}
        server = min(
            (one for one in range(SERVERS) if one not in used),
            key=lambda one: (counts[one], self.rng.random()),
        )
        counts[server] += 1
        attempt = Attempt(request=request, server=server, base_ms=base_ms, sent_at=now)
        request.attempts.append(attempt)
        self.servers[server].queue.append(attempt)
        self._start_next(server, now)

    def _start_next(self, number: int, now: float) -> None:
        server = self.servers[number]
        while server.queue and server.running < SLOTS:
            attempt = server.queue.popleft()
            if attempt.is_withdrawn:
                continue
            attempt.started_at = now
            self._record_wait(attempt, now)
            took_ms = attempt.base_ms * _get_factor(server, now)
            server.running += 1
            server.worked_ms += took_ms
            self._at(now + took_ms, self._build_end(attempt))
            if self.policy == "tied":
                self._at(now + WITHDRAW_MS, self._build_withdrawal(attempt))

    def _record_wait(self, attempt: Attempt, now: float) -> None:
        request = attempt.request
        wait_ms = now - attempt.sent_at
        if attempt is request.attempts[0]:
            self.first_waits.append(wait_ms)
            if self.policy == "moved":
                times = self.times[request.instance]
                record_first_byte(times, int(wait_ms), now=int(now))

    def _build_withdrawal(self, begun: Attempt) -> Callable[[float], None]:
        def withdraw(now: float) -> None:
            for other in begun.request.attempts:
                if other is not begun and other.started_at is None:
                    self._withdraw(other, now)

        return withdraw

    def _withdraw(self, attempt: Attempt, now: float) -> None:
        if attempt.is_withdrawn:
            return
        attempt.is_withdrawn = True
        self.in_flight[attempt.request.instance][attempt.server] -= 1
        if attempt is attempt.request.attempts[0] and attempt.started_at is None:
            self.first_waits.append(now - attempt.sent_at)

    def _build_end(self, attempt: Attempt) -> Callable[[float], None]:
        def end(now: float) -> None:
            self.servers[attempt.server].running -= 1
            if not attempt.is_withdrawn:
                self.in_flight[attempt.request.instance][attempt.server] -= 1
                attempt.is_withdrawn = True
                if attempt.request.answered_at is None:
                    self._answer(attempt, now)
            self._start_next(attempt.server, now)

        return end

    def _answer(self, attempt: Attempt, now: float) -> None:
        request = attempt.request
        request.answered_at = now
        took_ms = now - request.arrived_at
        self.answer_ms.append(took_ms)
        if self.policy in ("percentile", *LIMITED):
            times = self.times[request.instance]
            record_first_byte(times, int(took_ms), now=int(now))
        if self.policy in LIMITED and request.second:
            hedge_budget.record_outcome(
                self.budgets[request.instance],
                has_won=attempt is not request.attempts[0],
                now=int(now),
            )
        for other in request.attempts:
            if other is not attempt:
                self._withdraw(other, now)


def _draw_service(rng: random.Random) -> float:
    return MEAN_MS * rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)


def _draw_phases(rng: random.Random) -> list[float]:
    usual_ms = SLOW_PHASE_MS * (1 - SLOW_FRACTION) / SLOW_FRACTION
    ends = [0.0]
    while ends[-1] < 3 * DURATION_MS:
        ends.append(ends[-1] + rng.expovariate(1 / usual_ms))
        ends.append(ends[-1] + rng.expovariate(1 / SLOW_PHASE_MS))
    # In a random moment of a phase; even intervals are the usual ones.
    offset = rng.random() * DURATION_MS
    shifted = [end - offset for end in ends[1:]]
    past = sum(end <= 0 for end in shifted)
    return shifted[past - past % 2 :]


def _get_factor(server: Server, now: float) -> float:
    while len(server.phases) > 2 and server.phases[1] <= now:
        del server.phases[:2]
    return SLOW_FACTOR if server.phases[0] <= now else 1.0


def _run_all() -> Iterator[str]:
    heads = ("load", "policy", "p50", "p95", "p99", "extra work", "seconds", "harm")
    yield "| " + " | ".join(heads) + " |"
    for load in LOADS:
        work_of_one = wait_of_one = 0.0
        for policy in POLICIES:
            runs = []
            for seed in SEEDS:
                run = Simulation(policy, load=load, seed=seed)
                run.run()
                runs.append(run)
            answers = sorted(itertools.chain(*(run.answer_ms for run in runs)))
            work = sum(server.worked_ms for run in runs for server in run.servers)
            wait = statistics.fmean(itertools.chain(*(one.first_waits for one in runs)))
            if policy == "one attempt":
                work_of_one, wait_of_one = work, wait
            requests = sum(run.requests for run in runs)
            cells = [
                f"{load}",
                policy,
                *(f"{answers[int(len(answers) * at)]:.0f}" for at in (0.5, 0.95, 0.99)),
                f"{100 * (work / work_of_one - 1):.1f}%",
                f"{100 * sum(run.seconds for run in runs) / requests:.1f}%",
                f"{wait - wait_of_one:+.2f} ms",
            ]
            yield "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    for line in _run_all():
        print(line, flush=True)
