"""The index of copies and the caches of a planning cycle match a full computation."""

import random

import pytest

from arbutuspulley.pool.copies import get_copies, index_copies, reindex_server
from arbutuspulley.pool.eviction import begin_cycle, plan_eviction, update_cycle
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.state import is_usable
from scripts.bench_pool import build_pool

NOW = 10_000


def find_copies(pool, model, *, now):
    """Find the copies of a model by a scan of all servers."""
    return {
        server.incarnation
        for server in pool.servers.values()
        if model in (*server.models, server.loading, server.planned)
        and server.unloading != model
        and is_usable(server, now=now)
    }


def change_server(server, models, rng):
    """Change a server in the ways that planning and orders do."""
    held = sorted(server.models)
    server.unloading = rng.choice([*held, "", ""])
    server.loading = rng.choice([*models, "", "", ""])
    server.planned = rng.choice([*models, "", "", ""])
    server.is_leaving = rng.random() < 0.2
    server.backoff_until = NOW + 500 if rng.random() < 0.2 else 0


@pytest.mark.parametrize("seed", range(20))
def test_reindexing_after_each_change_matches_full_scan(seed):
    rng = random.Random(seed)
    pool, _now = build_pool(10, rng=rng)
    models = list(pool.spec.models)
    index = index_copies(pool, now=NOW)
    for _ in range(30):
        server = rng.choice(list(pool.servers.values()))
        change_server(server, models, rng)
        reindex_server(index, server)
        for model in models:
            found = {one.incarnation for one in get_copies(index, model)}
            assert found == find_copies(pool, model, now=NOW)


@pytest.mark.parametrize("seed", range(20))
def test_cached_eviction_options_match_a_fresh_computation(seed):
    """Eviction costs are cached for all models and servers of a planning cycle and
    invalidated as copies change. With a stale cache, the last copy of a model would be
    unloaded."""
    rng = random.Random(seed)
    pool, now = build_pool(10, rng=rng)
    for server in pool.servers.values():
        for key in [key for key in server.runs if rng.random() < 0.7]:
            del server.runs[key]
    cycle = begin_cycle(pool, now=now)
    models = list(pool.spec.models)
    servers = list(pool.servers.values())
    for _ in range(40):
        for server in rng.sample(servers, 5):
            plan_eviction(cycle, server, _pick_missing(server, models))
        server, wanted = rng.choice(servers), rng.choice(models)
        if wanted in server.models:
            continue
        before, server.planned = server.planned, wanted
        update_cycle(cycle, server, {before, wanted})
    assert cycle.options
    for incarnation, options in dict(cycle.options).items():
        server = pool.servers[incarnation]
        fresh_cycle = begin_cycle(pool, now=now)
        plan_eviction(
            fresh_cycle, server, next(one for one in models if one not in server.models)
        )
        assert fresh_cycle.options[incarnation] == options


def _pick_missing(server, models):
    return next(one for one in models if one not in server.models)


def test_no_server_gets_two_orders_in_one_planning_cycle():
    pool, now = build_pool(20, rng=random.Random(3))
    for server in pool.servers.values():
        server.runs.clear()
    for step in range(10):
        orders = plan_orders(pool, now=now + step)
        servers = [one.incarnation for one in orders]
        assert len(servers) == len(set(servers))
