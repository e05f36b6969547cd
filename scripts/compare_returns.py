"""Compares what refused callers are told, on the same arrivals.

A small seeded simulation without processes, in which the coordinator's own decisions
are taken. Streams for four models arrive at eight servers. The prompts of a server are
prefilled one after another; a stream takes a slot until its end. Callers abandon a
request without a first event after some 2 s, and come back when they are told, but
after a third of their remaining time at the latest. Hasty ones come back after 50 ms,
again and again. Workloads:

* ``hasty callers``: 1.4 times the capacity for 10 s; three callers in ten are hasty;
* ``outage``: 0.8 of the capacity; no server can be reached for 3 s; no one is hasty;
* ``outage, hasty``: the same with three callers in ten hasty;
* ``rare models``: 0.7 of the capacity; one caller in ten asks for one of 24 further
  models, for which there are 8 places, and which take 2.5 s to load.

Compared on the same requests:

* ``today``: each time is computed by itself, and callers that return count as new;
* ``spread``: times are spread, but callers that return count as new;
* ``spread, order``: they count from their first arrival, if they come at the time told;
* ``no promise, no time``: as before, but callers whose turn can't come within their
  time are told no time, and don't return;
* ``all wait``: as ``spread, order``, but callers of a model that can't be loaded in
  time wait until they give up, as today.

Reported as mean, minimum and maximum over the seeds, in per cent: patient callers that
were refused and are served at their first return; that were refused again then; hasty
callers that were refused and are served in the end; all callers that are served, and in
time. Further the number of requests for each caller, and which fraction of the promised
times was kept, and the mean time from the first sending to the first event of callers
that were refused and then served, in ms. A dash: there are no such callers. "In time"
is counted from the last sending. ``rare models`` also prints which callers of the
further models are served, in per cent, and how long each of those that were refused had
waited in vain, in ms.
"""

import concurrent.futures
import functools
import heapq
import itertools
import math
import random
import statistics
import sys
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State, Value
from arbutuspulley.pool import grants
from arbutuspulley.pool.answers import PlannedOrder, apply_order_answer
from arbutuspulley.pool.demand import estimate_token_cost, record_demand
from arbutuspulley.pool.grants import Grant, Refusal, find_next_wakeup, plan_grants
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.returns import ReturnedCaller, find_return
from arbutuspulley.pool.runs import record_first_event, record_run_end
from arbutuspulley.pool.state import PoolState, ServerState, WaitingRequest
from arbutuspulley.ports.fleet import (
    AttemptOutcome,
    EngineSpec,
    ModelNeed,
    ModelSpec,
    OrderAnswer,
)

SEEDS = range(4)
SERVERS = 8
MODELS = ("m0", "m1", "m2", "m3")
MODEL_WEIGHTS = (4, 2, 1, 1)
RARE_MODELS = tuple(f"r{number}" for number in range(24))
SLOTS = 12
LENGTH_MS = 20 * SECOND_MS
SURGE_MS = range(3_000, 13_000)
OUTAGE_MS = range(5_000, 8_000)
LATENCY_TARGET_MS = 508
FIRST_PART_TIMEOUT_MS = 2_032
TIMEOUT_MS = 10_000
LATE_RATIO = 0.75
GIVE_UP_RATIO = 0.85
"""As the instances compute them, see :mod:`arbutuspulley.node.pool_updates`."""

HASTY_DELAY_MS = 50
TICK_MS = 10
"""Interval of the decisions, in ms: the coordinator takes them for all messages that
arrive in a few ms together."""

ORDER_MS = 10
"""Time until an order is answered, in ms."""

PROCESSES = 3

PREFILL_TOKENS_PER_MS = 20.0
EVENT_TOKEN_MS = 14.0
EXPECTED_TOKENS = 100
CAPACITY_PER_S = SERVERS * SLOTS / (EXPECTED_TOKENS * EVENT_TOKEN_MS / 1_000 + 0.1)
"""Streams that all slots serve per second, with 0.1 s until the first event."""


class Workload(Value, frozen=True):
    """Load relative to the capacity, and what happens."""

    name: str
    load: float
    surge: float = 1.0
    hasty: float = 0.0
    has_outage: bool = False
    rare: float = 0.0


class Variant(Value, frozen=True):
    """What is compared; see the module's docstring."""

    name: str
    is_spread: bool = True
    is_ordered: bool = True
    tells_all: bool = True
    refuses_at_once: bool = True


class Caller(State):
    """One caller; times are in ms."""

    number: int
    model: str
    tokens: int
    arrived_at: int
    is_hasty: bool
    sent: int = 0
    sent_at: int = 0
    refused: int = 0
    first_at: int | None = None
    promised: int = 0
    kept: int = 0
    was_promised: bool = False
    waited_in_vain_ms: int = 0


class Result(Value, frozen=True):
    """Result of one variant for one seed; see the module's docstring."""

    first_return: float
    refused_again: float
    hasty: float
    served: float
    in_time: float
    requests: float
    kept: float
    until_served: float
    rare: float
    in_vain: float


WORKLOADS = (
    Workload(name="hasty callers", load=0.8, surge=1.75, hasty=0.3),
    Workload(name="outage", load=0.8, has_outage=True),
    Workload(name="outage, hasty", load=0.8, hasty=0.3, has_outage=True),
    Workload(name="rare models", load=0.7, rare=0.1),
)
VARIANTS = (
    Variant(name="today", is_spread=False, is_ordered=False),
    Variant(name="spread", is_ordered=False),
    Variant(name="spread, order"),
    Variant(name="no promise, no time", tells_all=False),
    Variant(name="all wait", refuses_at_once=False),
)


def draw_callers(workload: Workload, seed: int) -> list[Caller]:
    """Draw callers in order of their arrivals."""
    rng = random.Random(seed)
    callers: list[Caller] = []
    at = 0.0
    while at < LENGTH_MS:
        load = workload.load * (workload.surge if int(at) in SURGE_MS else 1)
        at += rng.expovariate(load * CAPACITY_PER_S / SECOND_MS)
        callers.append(
            Caller(
                number=len(callers) + 1,
                model=(
                    rng.choice(RARE_MODELS)
                    if rng.random() < workload.rare
                    else rng.choices(MODELS, MODEL_WEIGHTS)[0]
                ),
                tokens=min(4_000, int(rng.lognormvariate(6.5, 0.6)) + 80),
                arrived_at=int(at),
                is_hasty=rng.random() < workload.hasty,
            )
        )
    return callers


def build_pool(variant: Variant) -> PoolState:
    """Build a pool in which each model is on half of the servers."""
    specs = [
        ModelSpec(
            name=name,
            size_mb=34_000,
            adapter_mb=1,
            load_ms=2_500,
            disk_load_ms=1_000,
            warm_load_ms=800,
        )
        for name in MODELS + RARE_MODELS
    ]
    spec = EngineSpec(
        slots=SLOTS,
        cache_tokens=200_000,
        memory_mb=110_000,
        adapter_slots=8,
        loads_per_s=4,
        models={one.name: one for one in specs},
    )
    pool = PoolState(service="llm", spec=spec, shares_contended=variant.is_spread)
    for number in range(SERVERS):
        held = ("m0", "m1") if number % 2 else ("m0", MODELS[2 + number // 2 % 2])
        pool.servers[f"s{number}"] = ServerState(
            incarnation=f"s{number}",
            address=f"s{number}:1",
            zone="z1",
            slots=SLOTS,
            models={model: set() for model in held},
            accepted_orders=0,
        )
    return pool


class Simulation:
    """One run of a variant; times are in ms."""

    def __init__(
        self, workload: Workload, variant: Variant, callers: list[Caller], seed: int
    ) -> None:
        self.variant = variant
        self._has_orders = workload.rare > 0
        self.callers = {one.number: one for one in callers}
        self.pool = build_pool(variant)
        self._rng = random.Random(seed + 1_000)
        self._events: list[tuple[int, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._busy_until = dict.fromkeys(self.pool.servers, 0.0)
        for caller in callers:
            self._schedule(caller.arrived_at, self._send, caller)
        if workload.has_outage:
            self._schedule(OUTAGE_MS.start, self._begin_outage, None)

    def run(self) -> None:
        """Handle all events; decisions follow all events of a tick."""
        planned_at: int | None = None
        while self._events:
            now = -(-self._events[0][0] // TICK_MS) * TICK_MS
            while self._events and self._events[0][0] <= now:
                at, _, handle, argument = heapq.heappop(self._events)
                handle(argument, at)
            for decision in plan_grants(self.pool, now=now):
                caller = self.callers[int(decision.key.split("-")[0])]
                self._apply(caller, decision, now)
            if self._has_orders:
                self._send_orders(now)
            wakeup = find_next_wakeup(self.pool, now=now)
            if wakeup is not None and (
                planned_at is None or planned_at <= now or wakeup < planned_at
            ):
                planned_at = wakeup
                self._schedule(wakeup, self._wake, None)

    def _schedule(self, at: int, handle: Callable[..., None], argument: Any) -> None:
        heapq.heappush(self._events, (at, next(self._order), handle, argument))

    def _wake(self, _: None, now: int) -> None:
        """Do nothing: the decisions follow."""

    def _send_orders(self, now: int) -> None:
        for order in plan_orders(self.pool, now=now):
            self._schedule(now + ORDER_MS, self._accept, order)

    def _accept(self, order: PlannedOrder, now: int) -> None:
        apply_order_answer(self.pool, order, OrderAnswer.ACCEPTED, now=now)

    def _begin_outage(self, _: None, now: int) -> None:
        for server in self.pool.servers.values():
            server.backoff_until = OUTAGE_MS.stop
            server.runs.clear()
            server.prefill_until = 0
        self._busy_until = dict.fromkeys(self.pool.servers, 0.0)
        self._schedule(OUTAGE_MS.stop, self._wake, None)

    def _send(self, caller: Caller, now: int) -> None:
        left_ms = caller.arrived_at + TIMEOUT_MS - now
        wait_ms = min(left_ms, FIRST_PART_TIMEOUT_MS)
        if caller.first_at is not None or wait_ms < 200:
            return
        caller.sent += 1
        caller.sent_at = now
        need = ModelNeed(
            model=caller.model,
            adapter="",
            prompt_tokens=caller.tokens,
            output_tokens=400,
            expected_tokens=EXPECTED_TOKENS,
        )
        record_demand(
            self.pool, caller.model, estimate_token_cost(self.pool, need), now=now
        )
        key = f"{caller.number}-{caller.sent}"
        self.pool.waiting[key] = WaitingRequest(
            key=key,
            origin="n1",
            need=need,
            zone="z1",
            priority=0,
            arrived_at=now,
            late_at=now + int(LATENCY_TARGET_MS * LATE_RATIO),
            give_up_at=now + int(wait_ms * GIVE_UP_RATIO),
            gap_target_ms=250,
            fingerprint=caller.number if self.variant.is_spread else 0,
            ends_at=now + left_ms,
            returned=self._find_return(caller, now),
        )

    def _find_return(self, caller: Caller, now: int) -> ReturnedCaller | None:
        found = find_return(self.pool.returns, caller.number, now=now)
        if found is None or self.variant.is_ordered:
            return found
        return msgspec.structs.replace(found, credit_ms=0)

    def _apply(self, caller: Caller, decision: Grant | Refusal, now: int) -> None:
        if caller.was_promised and not caller.is_hasty:
            caller.kept += isinstance(decision, Grant)
            caller.was_promised = False
        if isinstance(decision, Grant):
            self._start(caller, decision, now)
            return
        caller.refused += 1
        caller.waited_in_vain_ms += decision.waited_ms
        if caller.is_hasty:
            self._schedule(now + HASTY_DELAY_MS, self._send, caller)
            return
        if not decision.is_promised and not self.variant.tells_all:
            return
        left_ms = caller.arrived_at + TIMEOUT_MS - now
        caller.was_promised = decision.is_promised
        caller.promised += decision.is_promised
        delay_ms = min(decision.retry_after_ms, -(-left_ms // 3))
        self._schedule(now + delay_ms, self._send, caller)

    def _start(self, caller: Caller, grant: Grant, now: int) -> None:
        begin = max(float(now), self._busy_until[grant.incarnation])
        first_at = begin + caller.tokens / PREFILL_TOKENS_PER_MS
        self._busy_until[grant.incarnation] = first_at
        if first_at - caller.sent_at > FIRST_PART_TIMEOUT_MS:
            first_at = caller.sent_at + FIRST_PART_TIMEOUT_MS
            self._schedule(int(first_at), self._abandon, (grant.key, grant.incarnation))
            return
        self._schedule(
            int(first_at), self._begin_answer, (caller, grant.key, grant.incarnation)
        )

    def _abandon(self, run: tuple[str, str], now: int) -> None:
        key, incarnation = run
        self.pool.servers[incarnation].runs.pop(key, None)

    def _begin_answer(self, run: tuple[Caller, str, str], now: int) -> None:
        caller, key, incarnation = run
        if key not in self.pool.servers[incarnation].runs:
            # The server has failed meanwhile, and the caller sends it again.
            self._schedule(max(now, OUTAGE_MS.start + 50), self._send, caller)
            return
        caller.first_at = now
        record_first_event(
            self.pool, key, incarnation, took_ms=now - caller.sent_at, now=now
        )
        took_ms = EXPECTED_TOKENS * EVENT_TOKEN_MS * self._rng.uniform(0.5, 1.5)
        self._schedule(now + int(took_ms), self._end_answer, (key, incarnation))

    def _end_answer(self, run: tuple[str, str], now: int) -> None:
        key, incarnation = run
        record_run_end(
            self.pool,
            key,
            incarnation,
            how=AttemptOutcome.DONE,
            now=now,
            events=EXPECTED_TOKENS,
        )


def simulate(workload: Workload, variant: Variant, seed: int) -> Result:
    """Run a variant on the callers of a seed."""
    callers = draw_callers(workload, seed)
    simulation = Simulation(workload, variant, callers, seed)
    if variant.refuses_at_once:
        simulation.run()
    else:
        with mock.patch.object(grants, "estimate_min_load_wait", return_value=0.0):
            simulation.run()
    patient = [one for one in callers if one.refused and not one.is_hasty]
    hasty = [one for one in callers if one.refused and one.is_hasty]
    served = [one for one in callers if one.first_at is not None]
    in_time = [
        one for one in served if (one.first_at or 0) - one.sent_at <= LATENCY_TARGET_MS
    ]
    at_once = sum(one.refused == 1 and one.first_at is not None for one in patient)
    rare = [one for one in callers if one.model in RARE_MODELS]
    in_vain = [one.waited_in_vain_ms for one in rare if one.refused]
    promised = sum(one.promised for one in callers)
    return Result(
        first_return=_get_percentage(at_once, len(patient)),
        refused_again=_get_percentage(
            sum(one.refused > 1 for one in patient), len(patient)
        ),
        hasty=_get_percentage(
            sum(one.first_at is not None for one in hasty), len(hasty)
        ),
        served=_get_percentage(len(served), len(callers)),
        in_time=_get_percentage(len(in_time), len(callers)),
        requests=statistics.mean(one.sent for one in callers),
        kept=_get_percentage(sum(one.kept for one in callers), promised),
        until_served=statistics.mean(
            (one.first_at or 0) - one.arrived_at for one in served if one.refused
        ),
        rare=_get_percentage(sum(one.first_at is not None for one in rare), len(rare)),
        in_vain=statistics.mean(in_vain) if in_vain else math.nan,
    )


def main(names: list[str]) -> None:
    """Print a line for each workload and variant.

    :param names: of the workloads; empty: all.
    """
    for workload in WORKLOADS:
        if names and workload.name not in names:
            continue
        print(f"{workload.name}:")
        print(
            "  way                  first return        refused again       "
            "hasty served        served              in time             requests"
            "            kept                until served        rare served"
            "         in vain"
        )
        for variant in VARIANTS:
            with concurrent.futures.ProcessPoolExecutor(PROCESSES) as executor:
                run = functools.partial(simulate, workload, variant)
                results = list(executor.map(run, SEEDS))
            columns = [
                _format_range([getattr(one, name) for one in results])
                for name in Result.__struct_fields__
            ]
            print(f"  {variant.name:<20} " + " ".join(columns), flush=True)


def _get_percentage(part: int, whole: int) -> float:
    return 100 * part / whole if whole else math.nan


def _format_range(values: list[float]) -> str:
    if any(math.isnan(value) for value in values):
        return f"{'-':<19}"
    text = f"{statistics.mean(values):.1f} ({min(values):.1f}-{max(values):.1f})"
    return f"{text:<19}"


if __name__ == "__main__":
    main(sys.argv[1:])
