"""Rate limit of loads from the weight store, over all servers."""

import math

from arbutuspulley.pool.state import PoolState, has_local_weights

WINDOW_MS = 5_000
"""Window over which the weight store counts loads, in ms."""

BURST_LOADS = 2
"""Loads in a window above the store's rate. The store tolerates 3 and a tenth of the
rate; one is reserved for a load whose order is answered late."""


def may_load(pool: PoolState, *, now: int) -> bool:
    """Tell whether one more load from the weight store may start.

    :param now: in ms.
    """
    while pool.loads and pool.loads[0] <= now - WINDOW_MS:
        pool.loads.pop(0)
    if _count_running_loads(pool, now=now) >= _get_max_concurrent_loads(pool):
        return False
    max_loads = pool.spec.loads_per_s * WINDOW_MS / 1_000 + BURST_LOADS
    return len(pool.loads) + 1 <= max_loads


def record_load(pool: PoolState, *, now: int) -> None:
    """Count a load against the rate.

    :param now: in ms.
    """
    pool.loads.append(now)


def remove_last_load(pool: PoolState) -> None:
    """Remove the newest load from the count, as it has certainly not started.

    Otherwise loads that a busy server did not accept would delay the loads of models
    without a copy while the weight store is idle.
    """
    if pool.loads:
        pool.loads.pop()


def list_recent_loads(pool: PoolState, *, now: int) -> list[int]:
    """Return when the loads in the current window were ordered, in ms."""
    return [at for at in pool.loads if at > now - WINDOW_MS]


def inherit_loads(
    pool: PoolState, known: list[int], *, unknown_until: int | None
) -> None:
    """Count the loads of the previous coordinator, known and possible ones.

    Without this, both coordinators together could exceed the store's rate right after a
    change. If all of the rate were assumed to be used up, no model would be loaded for
    a whole window after each change of the coordinator.

    :param known: when loads were ordered, in ms.
    :param unknown_until: until when the previous coordinator may have ordered further
        loads, in ms; ``None``: it has not. They are assumed to be as many as run
        concurrently, since only some seconds are unknown.
    """
    pool.loads = sorted(known)
    if unknown_until is not None:
        pool.loads += [unknown_until] * _get_max_concurrent_loads(pool)


def estimate_min_slot_wait(pool: PoolState, *, now: int) -> float:
    """Return a lower bound of the time until a load from the store may start, in ms.

    Orders in flight may turn out not to have started a load; they don't count.
    """
    in_flight = sum(
        server.is_order_in_flight and bool(server.loading)
        for server in pool.servers.values()
    )
    ends = sorted(
        0 if server.is_order_in_flight else max(0, server.loading_until - now)
        for server in pool.servers.values()
        if server.loading and not has_local_weights(server, server.loading)
    )
    wait_ms = 0.0
    too_many = len(ends) - _get_max_concurrent_loads(pool) + 1
    if too_many > 0:
        wait_ms = float(ends[too_many - 1])
    recent = list_recent_loads(pool, now=now)
    max_loads = pool.spec.loads_per_s * WINDOW_MS / 1_000 + BURST_LOADS
    too_many = math.ceil(len(recent) - in_flight + 1 - max_loads)
    if too_many > 0:
        wait_ms = max(wait_ms, float(recent[too_many - 1] + WINDOW_MS - now))
    return wait_ms


def _count_running_loads(pool: PoolState, *, now: int) -> int:
    return sum(
        bool(server.loading) and not has_local_weights(server, server.loading)
        for server in pool.servers.values()
    )


def _get_max_concurrent_loads(pool: PoolState) -> int:
    """Return how many loads may run concurrently: as many as start while one runs.

    Further loads only slow each other down.
    """
    longest = max((model.load_ms for model in pool.spec.models.values()), default=0)
    return max(1, math.ceil(pool.spec.loads_per_s * longest / 1_000))
