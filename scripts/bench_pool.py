"""Measures one planning cycle of the coordinator, by number of model servers.

The load: each server has three models loaded and runs nine requests, three in four
requests are for a tenth of the models, and four requests per server are waiting. The
duration of a cycle limits the number of servers that one coordinator can manage, since
it plans after each message.
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
"""Models per server: 155 on 56 servers in the users' figures for the grown fleet."""

WAITING_PER_SERVER = 4
RUNS_PER_SERVER = 9
"""Waiting and running requests per server, with 12 slots each, in a load surge."""

PRIOR_REQUESTS = 2_000
"""Requests before the measurement, 2 ms apart: more than a half-life of demand."""

SAMPLES = 3
"""Number of cycles of which the median is reported."""

app = cyclopts.App(help="Measure the coordinator's planning cycles.")


@app.default
def run(
    *,
    servers: Annotated[
        tuple[int, ...], cyclopts.Parameter(help="Numbers of model servers.")
    ] = (56, 200, 580),
    seed: Annotated[int, cyclopts.Parameter(help="Seed of the load.")] = 1,
) -> None:
    """Measure planning cycles and print a line for each number of servers."""
    print("servers  models  waiting  grants ms  orders ms  orders ms, nothing new")
    for count in servers:
        grants, first, repeated = time_cycles(count, seed=seed)
        waiting = count * WAITING_PER_SERVER
        models = int(count * MODELS_PER_SERVER)
        print(
            f"{count:>7}  {models:>6}  {waiting:>7}"
            f"  {grants:>9.1f}  {first:>9.1f}  {repeated:>9.1f}"
        )


def time_cycles(servers: int, *, seed: int) -> tuple[float, float, float]:
    """Return the medians of one grant cycle and two order cycles, in ms."""
    samples: list[tuple[float, float, float]] = []
    for number in range(SAMPLES):
        pool, now = build_pool(servers, rng=random.Random(seed + number))
        grants = _time(functools.partial(plan_grants, pool, now=now))
        first = _time(functools.partial(plan_orders, pool, now=now))
        repeated = _time(functools.partial(plan_orders, pool, now=now + 1))
        samples.append((grants, first, repeated))
    grants, first, repeated = (
        statistics.median(one) for one in zip(*samples, strict=True)
    )
    return grants, first, repeated


def build_pool(servers: int, *, rng: random.Random) -> tuple[PoolState, int]:
    """Return a pool under load and its current time in ms."""
    spec = _build_spec(int(servers * MODELS_PER_SERVER))
    pool = PoolState(service="llm", spec=spec)
    names = list(spec.models)
    for number in range(servers):
        server = _build_server(number, names, rng)
        pool.servers[server.incarnation] = server
    now = 0
    for _ in range(PRIOR_REQUESTS):
        now += 2
        record_demand(pool, _draw_model(names, rng), 800, now=now)
    for number in range(servers * WAITING_PER_SERVER):
        pool.waiting[f"w{number}"] = WaitingRequest(
            key=f"w{number}",
            origin="n1",
            need=_build_need(_draw_model(names, rng)),
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


def _draw_model(names: list[str], rng: random.Random) -> str:
    busy = max(1, len(names) // 10)
    if rng.random() < 0.75:
        return names[rng.randrange(busy)]
    return names[rng.randrange(len(names))]


def _time(decide: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    decide()
    return (time.perf_counter() - started_s) * 1_000


if __name__ == "__main__":
    app()
