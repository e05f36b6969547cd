"""Compares policies for model servers of uneven speed, on the same seeded arrivals.

A loop without processes: a quarter of a deployment of 56 servers with 12 slots and 191
models for 112 places. A third of the servers each run at 0.6, 1 and 1.6 times the usual
speed, and all have phases of about 600 ms, 15% of the time, in which everything takes
2.5 times as long. A server prefills one prompt after another, and its streams stall
meanwhile. The policies:

* ``even``: all servers are treated alike;
* ``learnt``: the coordinator learns the speeds;
* ``learnt, no risk``: it does, but ignores the expected number of long gaps;
* ``given``: it is given the true speeds, and knows the risk.
"""

import math
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Annotated
from unittest import mock

import cyclopts
import msgspec

from arbutuspulley.data import State
from arbutuspulley.pool import grants
from arbutuspulley.pool.answers import apply_order_answer
from arbutuspulley.pool.demand import estimate_token_cost, record_demand
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.runs import record_first_event, record_run_end
from arbutuspulley.pool.state import PoolState, ServerState, WaitingRequest
from arbutuspulley.ports.fleet import (
    AttemptOutcome,
    EngineSpec,
    ModelNeed,
    ModelSpec,
    OrderAnswer,
)

POLICIES = ("even", "learnt, no risk", "learnt", "given")

SERVERS, MODELS = 15, 51
"""A quarter of 56 and 191; a multiple of three servers."""

SPEEDS = (0.6, 1.0, 1.6)
PHASE_MS, PHASE_FRACTION, PHASE_FACTOR = 600, 0.15, 2.5
PREFILL_TOKENS_PER_MS = 24.0
TOKEN_MS, TOKENS_PER_EVENT, STREAMS_PER_SLOWDOWN = 9.0, 5, 16
FIRST_EVENT_MS = 12.0
GAP_TARGET_MS = 300
FIRST_TARGETS_MS = (1_008, 4_008, 3_006)
STEP_MS = 10
"""Length of one step of the loop, in ms."""

BUSY_MODELS, BUSY_FRACTION = 5, 0.75
"""Three in four requests are for a tenth of the models, see ``bench_pool``."""

ORDER_INTERVAL_MS = 50
WARM_UP_MS = 20_000
"""Time from the start that doesn't count: servers have no models, no speeds are known,
and copies are where they were loaded without them."""

app = cyclopts.App(help="Compare policies for servers of uneven speed.")


class Stream(State):
    """One request, from its arrival to its end."""

    key: str
    arrived_at: int
    target_ms: int
    prefill_left: float
    tokens: int
    produced: float = 0
    sent_at: int = 0
    first_at: int | None = None
    event_at: int = 0
    has_long_gap: bool = False


class Engine(State):
    """What a server really does.

    :param slow_until: end of its slow phase, in ms.
    """

    server: ServerState
    speed: float
    slow_until: int = 0
    prefills: deque[Stream] = msgspec.field(default_factory=deque)
    streams: list[Stream] = msgspec.field(default_factory=list)


class Result(State):
    """Counts of one run of a policy; by server speed where a speed is the key.

    :param offered: requests that arrived after the warm-up, as all others counted.
    :param in_time: requests whose first event and gaps met their targets.
    :param ended: streams that ended, by speed.
    :param long_gaps: those that had a gap over the target, by speed.
    :param work: prompt tokens prefilled, by server and second.
    """

    offered: int = 0
    refused: int = 0
    first_in_time: int = 0
    in_time: int = 0
    loads: int = 0
    ended: Counter[float] = msgspec.field(default_factory=Counter)
    long_gaps: Counter[float] = msgspec.field(default_factory=Counter)
    work: Counter[tuple[str, int]] = msgspec.field(default_factory=Counter)
    pool: PoolState | None = None

    def sum_work(self, speed: float) -> int:
        """Return the prompt tokens that servers of a speed prefilled."""
        return sum(
            tokens
            for (name, second), tokens in self.work.items()
            if get_true_speed(name) == speed and second * 1_000 >= WARM_UP_MS
        )


def get_true_speed(name: str) -> float:
    """Return the speed of a server, by its name."""
    return SPEEDS[int(name[1:]) % len(SPEEDS)]


def simulate(
    policy: str,
    *,
    seed: int,
    requests_per_s: float,
    seconds: float = 45,
    on_step: Callable[[int, dict[str, Engine], PoolState], PoolState | None]
    | None = None,
) -> Result:
    """Run one policy.

    :param on_step: called before each step with the time in ms, the engines by
        incarnation and the pool; may change the engines, or return another pool.
    """
    rng, phase_rng = random.Random(seed), random.Random(seed + 1)
    pool = build_pool(policy)
    engines = {
        name: Engine(server=server, speed=get_true_speed(name))
        for name, server in pool.servers.items()
    }
    result = Result(pool=pool)
    streams: dict[str, Stream] = {}
    risk_cost = 0 if policy == "learnt, no risk" else grants.GAP_COST_MS
    arrival = rng.expovariate(requests_per_s / 1_000)
    with mock.patch.object(grants, "GAP_COST_MS", risk_cost):
        for now in range(0, int(seconds * 1_000), STEP_MS):
            if on_step is not None:
                pool = on_step(now, engines, pool) or pool
            while arrival <= now:
                arrival += rng.expovariate(requests_per_s / 1_000)
                _arrive(pool, streams, result, rng, now=now)
            for engine in engines.values():
                if policy == "given":
                    engine.server.speed.value = engine.speed
                _draw_phase(engine, phase_rng, now=now)
                _advance(pool, engine, streams, result, now=now)
            _plan(pool, engines, streams, result, now=now)
    result.pool = pool
    return result


def build_pool(policy: str) -> PoolState:
    """Return a pool without loaded models."""
    models = {
        f"m{number}": ModelSpec(
            name=f"m{number}",
            size_mb=34_000 if number % 3 == 0 else 25_000,
            adapter_mb=40,
            load_ms=1_500,
            disk_load_ms=700,
            warm_load_ms=500,
        )
        for number in range(MODELS)
    }
    spec = EngineSpec(
        slots=12,
        cache_tokens=58_333,
        memory_mb=70_000,
        adapter_slots=8,
        loads_per_s=8,
        models=models,
    )
    pool = PoolState(service="llm", spec=spec, learns_server_speeds=policy != "even")
    for number in range(SERVERS):
        name = f"s{number}"
        pool.servers[name] = ServerState(
            incarnation=name,
            server_id=name,
            address=f"{name}:1",
            zone="z1",
            slots=12,
            accepted_orders=0,
        )
    return pool


def _arrive(
    pool: PoolState,
    streams: dict[str, Stream],
    result: Result,
    rng: random.Random,
    *,
    now: int,
) -> None:
    is_busy = rng.random() < BUSY_FRACTION
    number = rng.randrange(BUSY_MODELS if is_busy else MODELS)
    tokens = int(min(6_000, max(100, rng.lognormvariate(math.log(700), 0.8))))
    output = int(min(600, max(20, rng.expovariate(1 / 120))))
    target_ms = rng.choice(FIRST_TARGETS_MS)
    key = f"r{len(streams)}"
    need = ModelNeed(
        model=f"m{number}",
        adapter="",
        prompt_tokens=tokens,
        output_tokens=600,
        expected_tokens=120,
    )
    if now >= WARM_UP_MS:
        result.offered += 1
    streams[key] = Stream(
        key=key,
        arrived_at=now,
        target_ms=target_ms,
        prefill_left=tokens + FIRST_EVENT_MS * PREFILL_TOKENS_PER_MS,
        tokens=output,
    )
    record_demand(pool, need.model, estimate_token_cost(pool, need), now=now)
    pool.waiting[key] = WaitingRequest(
        key=key,
        origin="n1",
        need=need,
        zone="z1",
        priority=0,
        arrived_at=now,
        late_at=now + int(0.75 * target_ms),
        give_up_at=now + int(0.85 * 2 * target_ms),
        gap_target_ms=GAP_TARGET_MS,
    )


def _draw_phase(engine: Engine, rng: random.Random, *, now: int) -> None:
    rate = PHASE_FRACTION / (1 - PHASE_FRACTION) * STEP_MS / PHASE_MS
    if rng.random() < rate and now >= engine.slow_until:
        engine.slow_until = now + int(PHASE_MS * rng.uniform(0.7, 1.3))


def _advance(
    pool: PoolState,
    engine: Engine,
    streams: dict[str, Stream],
    result: Result,
    *,
    now: int,
) -> None:
    """Carry out the work of one step: prefill first, then decode."""
    left_ms = STEP_MS * engine.speed
    if now < engine.slow_until:
        left_ms /= PHASE_FACTOR
    name = engine.server.incarnation
    while engine.prefills and left_ms > 0:
        stream = engine.prefills[0]
        done = min(stream.prefill_left, left_ms * PREFILL_TOKENS_PER_MS)
        stream.prefill_left -= done
        left_ms -= done / PREFILL_TOKENS_PER_MS
        result.work[name, now // 1_000] += int(done)
        if stream.prefill_left <= 0:
            engine.prefills.popleft()
            stream.first_at = stream.event_at = now
            engine.streams.append(stream)
            took_ms = now - stream.sent_at
            record_first_event(pool, stream.key, name, took_ms=took_ms, now=now)
    count = len(engine.streams)
    step_ms = TOKEN_MS * (1 + max(0, count - 1) / STREAMS_PER_SLOWDOWN)
    for stream in list(engine.streams):
        events = stream.produced // TOKENS_PER_EVENT
        stream.produced += left_ms / step_ms
        if stream.produced // TOKENS_PER_EVENT > events:
            stream.has_long_gap |= now - stream.event_at > GAP_TARGET_MS
            stream.event_at = now
        if stream.produced >= stream.tokens:
            engine.streams.remove(stream)
            _end(pool, engine, streams.get(stream.key, stream), result, now=now)


def _end(
    pool: PoolState, engine: Engine, stream: Stream, result: Result, *, now: int
) -> None:
    record_run_end(
        pool,
        stream.key,
        engine.server.incarnation,
        how=AttemptOutcome.DONE,
        now=now,
        events=1 + stream.tokens // TOKENS_PER_EVENT,
    )
    if stream.arrived_at < WARM_UP_MS or stream.first_at is None:
        return
    result.ended[engine.speed] += 1
    result.long_gaps[engine.speed] += stream.has_long_gap
    is_in_time = stream.first_at - stream.arrived_at <= stream.target_ms
    result.first_in_time += is_in_time
    result.in_time += is_in_time and not stream.has_long_gap


def _plan(
    pool: PoolState,
    engines: dict[str, Engine],
    streams: dict[str, Stream],
    result: Result,
    *,
    now: int,
) -> None:
    for decision in grants.plan_grants(pool, now=now):
        if isinstance(decision, grants.Grant):
            stream = streams[decision.key]
            stream.sent_at = now
            engines[decision.incarnation].prefills.append(stream)
        elif streams[decision.key].arrived_at >= WARM_UP_MS:
            result.refused += 1
    if now % ORDER_INTERVAL_MS == 0:
        for order in plan_orders(pool, now=now):
            result.loads += order.kind.value == "load" and now >= WARM_UP_MS
            apply_order_answer(pool, order, OrderAnswer.ACCEPTED, now=now)


@app.default
def run(
    *,
    rates: Annotated[
        tuple[float, ...], cyclopts.Parameter(help="Requests a second.")
    ] = (20.0, 30.0, 40.0),
    seeds: Annotated[int, cyclopts.Parameter(help="Number of seeds.")] = 3,
    seconds: Annotated[float, cyclopts.Parameter(help="Simulated time.")] = 45,
) -> None:
    """Run all policies and print a line for each policy and rate."""
    print("rate  policy            in time  first in time  refused  loads  long gaps")
    for rate in rates:
        for policy in POLICIES:
            results = [
                simulate(policy, seed=seed, requests_per_s=rate, seconds=seconds)
                for seed in range(seeds)
            ]
            offered = sum(one.offered for one in results)
            ended, gaps, work = Counter[float](), Counter[float](), Counter[float]()
            for one in results:
                ended.update(one.ended)
                gaps.update(one.long_gaps)
                for speed in SPEEDS:
                    work[speed] += one.sum_work(speed)
            by_speed = "  ".join(
                f"{speed}: {gaps[speed] / max(1, ended[speed]):.3f}"
                f" of {ended[speed]}, work {work[speed] / max(1, work[1.0]):.2f}"
                for speed in SPEEDS
            )
            print(
                f"{rate:>4.0f}  {policy:<16}"
                f"  {sum(one.in_time for one in results) / offered:>7.3f}"
                f"  {sum(one.first_in_time for one in results) / offered:>13.3f}"
                f"  {sum(one.refused for one in results) / offered:>7.3f}"
                f"  {sum(one.loads for one in results):>5}"
                f"  {sum(gaps.values()) / max(1, sum(ended.values())):>9.3f}"
                f"  {by_speed}"
            )


if __name__ == "__main__":
    app()
