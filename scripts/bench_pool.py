"""Times one pass of the coordinator's decisions, by number of model servers.

The load: each server holds three models and runs nine requests, three in four requests
are for a tenth of the models, and four requests a server wait. What a pass costs bounds
how many servers one coordinator carries: it decides after each message.
"""

import functools
import random
import statistics
import time
from collections.abc import Callable
from typing import Annotated

import cyclopts

from arbutuspulley.pool.demand import record_demand
from arbutuspulley.pool.grants import plan_grants
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.state import PoolState, Run, ServerState, WaitingRequest
from arbutuspulley.ports.fleet import EngineSpec, ModelNeed, ModelSpec

MODELS_PER_SERVER = 2.8
"""Models of the configuration to a server: 155 to 56 on the users' grown sheet."""

WAITING_PER_SERVER = 4
RUNS_PER_SERVER = 9
"""Requests that wait and run, to a server of 12 slots in a surge."""

ASKED = 2_000
"""Requests that were asked for before, 2 ms apart: more than a half-life of demand."""

PASSES = 3
"""Passes of which the median is told."""

app = cyclopts.App(help="Time the coordinator's decisions.")


@app.default
def run(
    *,
    servers: Annotated[
        tuple[int, ...], cyclopts.Parameter(help="Numbers of model servers.")
    ] = (56, 200, 580),
    seed: Annotated[int, cyclopts.Parameter(help="Seed of the load.")] = 1,
) -> None:
    """Print a line for each number of servers."""
    print("servers  models  waiting  grants ms  orders ms  orders ms, nothing new")
    for count in servers:
        grants, first, again = time_passes(count, seed=seed)
        waiting = count * WAITING_PER_SERVER
        models = int(count * MODELS_PER_SERVER)
        print(
            f"{count:>7}  {models:>6}  {waiting:>7}"
            f"  {grants:>9.1f}  {first:>9.1f}  {again:>9.1f}"
        )


def time_passes(servers: int, *, seed: int) -> tuple[float, float, float]:
    """Return the medians of one pass of grants and two of orders, in ms."""
    samples: list[tuple[float, float, float]] = []
    for number in range(PASSES):
        pool, now = build_pool(servers, rng=random.Random(seed + number))
        grants = _time(functools.partial(plan_grants, pool, now=now))
        first = _time(functools.partial(plan_orders, pool, now=now))
        again = _time(functools.partial(plan_orders, pool, now=now + 1))
        samples.append((grants, first, again))
    grants, first, again = (
        statistics.median(one) for one in zip(*samples, strict=True)
    )
    return grants, first, again


def build_pool(servers: int, *, rng: random.Random) -> tuple[PoolState, int]:
    """Build a pool under load, and the time that it has come to, in ms."""
    spec = _build_spec(int(servers * MODELS_PER_SERVER))
    pool = PoolState(service="llm", spec=spec)
    names = list(spec.models)
    for number in range(servers):
        server = _build_server(number, names, rng)
        pool.servers[server.incarnation] = server
    now = 0
    for _ in range(ASKED):
        now += 2
        record_demand(pool, _pick(names, rng), 800, now=now)
    for number in range(servers * WAITING_PER_SERVER):
        pool.waiting[f"w{number}"] = WaitingRequest(
            key=f"w{number}",
            origin="n1",
            need=_build_need(_pick(names, rng)),
            zone="z1",
            priority=0,
            arrived_at=now,
            late_at=now + 400,
            give_up_at=now + 2_000,
            gap_target_ms=250,
        )
    return pool, now


def _build_spec(models: int) -> EngineSpec:
    specs = [
        ModelSpec(
            name=f"m{number}",
            size_mb=34_300 if number % 2 else 16_100,
            adapter_mb=40,
            load_ms=1_500,
            disk_load_ms=500,
            warm_load_ms=400,
        )
        for number in range(models)
    ]
    return EngineSpec(
        slots=12,
        cache_tokens=58_333,
        memory_mb=83_000,
        adapter_slots=8,
        loads_per_s=16,
        models={one.name: one for one in specs},
    )


def _build_server(number: int, names: list[str], rng: random.Random) -> ServerState:
    held = {names[(3 * number + step) % len(names)] for step in range(3)}
    server = ServerState(
        incarnation=f"s{number}",
        address=f"s{number}:1",
        zone="z1",
        slots=12,
        models={model: set() for model in held},
        accepted_orders=0,
    )
    for run_number in range(RUNS_PER_SERVER):
        server.runs[f"r{number}-{run_number}"] = Run(
            origin="n1",
            need=_build_need(rng.choice(sorted(held))),
            granted_at=0,
            first_at=10,
            gap_target_ms=250,
        )
    return server


def _build_need(model: str) -> ModelNeed:
    return ModelNeed(model=model, adapter="", prompt_tokens=800, output_tokens=400)


def _pick(names: list[str], rng: random.Random) -> str:
    busy = max(1, len(names) // 10)
    if rng.random() < 0.75:
        return names[rng.randrange(busy)]
    return names[rng.randrange(len(names))]


def _time(decide: Callable[[], object]) -> float:
    begun = time.perf_counter()
    decide()
    return (time.perf_counter() - begun) * 1_000


if __name__ == "__main__":
    app()
