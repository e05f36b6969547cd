"""The rate at which the weight store may be read, over all servers."""

import math

from arbutuspulley.pool.state import PoolState, has_local_weights

WINDOW_MS = 5_000
"""Span over which the weight store counts loads, in ms."""

BURST_LOADS = 2
"""Loads that a span may hold above the store's rate; the store tolerates 3 and a
tenth, and one is left for a load whose order was answered late."""


def may_load(pool: PoolState, *, now: int) -> bool:
    """Tell whether one more load from the weight store may begin."""
    while pool.loads and pool.loads[0] <= now - WINDOW_MS:
        pool.loads.pop(0)
    if _count_running_loads(pool, now=now) >= _get_max_concurrent_loads(pool):
        return False
    max_loads = pool.spec.loads_per_s * WINDOW_MS / 1_000 + BURST_LOADS
    return len(pool.loads) + 1 <= max_loads


def record_load(pool: PoolState, *, now: int) -> None:
    """Count a load."""
    pool.loads.append(now)


def remove_last_load(pool: PoolState) -> None:
    """Take the newest load off the count: it certainly did not begin.

    Counted like others, loads that a server was too busy to take would keep models that
    nobody has waiting while the weight store is idle.
    """
    if pool.loads:
        pool.loads.pop()


def list_recent_loads(pool: PoolState, *, now: int) -> list[int]:
    """Return when the loads that still count were ordered, in ms."""
    return [at for at in pool.loads if at > now - WINDOW_MS]


def inherit_loads(
    pool: PoolState, known: list[int], *, unknown_until: int | None
) -> None:
    """Count what a predecessor has loaded, and what it may have loaded besides.

    Without this, both together could pass the store's rate right after a change. Were
    all of the rate taken for used, no model would be loaded for a whole span after each
    change of the coordinator.

    :param known: when loads were ordered, in ms.
    :param unknown_until: until when more may have been ordered, in ms; no more than run
        at once, as it is a matter of seconds. ``None``: none were.
    """
    pool.loads = sorted(known)
    if unknown_until is not None:
        pool.loads += [unknown_until] * _get_max_concurrent_loads(pool)


def _count_running_loads(pool: PoolState, *, now: int) -> int:
    return sum(
        bool(server.loading) and not has_local_weights(server, server.loading)
        for server in pool.servers.values()
    )


def _get_max_concurrent_loads(pool: PoolState) -> int:
    """Return how many loads run at once at full speed: as many as begin while one runs.

    More of them only slow each other down.
    """
    longest = max((one.load_ms for one in pool.spec.models.values()), default=0)
    return max(1, math.ceil(pool.spec.loads_per_s * longest / 1_000))
