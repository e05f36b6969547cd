"""Builders of pool states for tests of the coordinator's decisions."""

from arbutuspulley.pool.state import PoolState, Run, ServerState, WaitingRequest
from arbutuspulley.ports.fleet import EngineSpec, ModelNeed, ModelSpec


def build_spec(**changes):
    models = {
        name: ModelSpec(
            name=name,
            size_mb=30,
            adapter_mb=1,
            load_ms=1_200,
            disk_load_ms=800,
            warm_load_ms=600,
        )
        for name in ("m0", "m1", "m2", "m3", "m4")
    }
    values = {
        "slots": 8,
        "cache_tokens": 100_000,
        "memory_mb": 70,
        "adapter_slots": 2,
        "loads_per_s": 2,
        "models": models,
        **changes,
    }
    return EngineSpec(**values)


def build_server(name, *models, **changes):
    values = {
        "incarnation": name,
        "address": f"{name}:1",
        "zone": "z1",
        "slots": 8,
        "models": {model: set() for model in models},
        "accepted_orders": 0,
        **changes,
    }
    return ServerState(**values)


def build_pool(*servers, **changes):
    return PoolState(
        service="llm",
        spec=changes.pop("spec", build_spec()),
        servers={server.incarnation: server for server in servers},
        **changes,
    )


def add_run(server, key, model, *, expected=0, granted_at=0):
    need = ModelNeed(
        model=model,
        adapter="",
        prompt_tokens=100,
        output_tokens=10,
        expected_tokens=expected,
    )
    server.runs[key] = Run(origin="n1", need=need, granted_at=granted_at)


def add_waiting(pool, key, model, *, now=0, adapter="", tokens=1_000, **changes):
    values = {
        "key": key,
        "origin": "n1",
        "need": ModelNeed(
            model=model, adapter=adapter, prompt_tokens=tokens, output_tokens=50
        ),
        "zone": "z1",
        "priority": 1,
        "arrived_at": now,
        "late_at": now + 750,
        "give_up_at": now + 3_400,
        **changes,
    }
    pool.waiting[key] = WaitingRequest(**values)
