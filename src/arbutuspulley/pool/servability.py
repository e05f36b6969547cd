"""Whether a model without any copy can be loaded before its callers give up.

The waits here are lower bounds: a request is refused at once only if it certainly can't
be served. Whatever may happen earlier than expected counts as happening at once, such
as the return of a crashed server with the model on its disk.
"""

from arbutuspulley.pool.answers import LOAD_MARGIN_MS, NEVER, get_load_ms
from arbutuspulley.pool.load_rate import estimate_min_slot_wait
from arbutuspulley.pool.server_watch import may_servers_return
from arbutuspulley.pool.state import (
    PoolState,
    ServerState,
    has_local_weights,
    is_usable,
)
from arbutuspulley.ports.fleet import ModelSpec

MIN_LOAD_FRACTION = 0.9
"""Fraction of a model's stated load time that a load takes at least: a margin for loads
that are faster than stated."""


def estimate_min_load_wait(pool: PoolState, model: str, *, now: int) -> float:
    """Return a lower bound of the time until a model without a copy is loaded, in ms.

    :return: 0 if it may be loaded at any time.
    """
    return _find_earliest(pool, model, now=now, fraction=MIN_LOAD_FRACTION)


def estimate_load_end(pool: PoolState, model: str, *, now: int) -> float:
    """Return when a model without a copy is expected to be loaded, in ms from now."""
    expected = _find_earliest(pool, model, now=now, fraction=1.0)
    return (expected or pool.spec.models[model].load_ms) + LOAD_MARGIN_MS


def _find_earliest(pool: PoolState, model: str, *, now: int, fraction: float) -> float:
    spec = pool.spec.models[model]
    restarted_ms = fraction * min(spec.disk_load_ms, spec.load_ms)
    waits = [restarted_ms] if may_servers_return(pool.server_watch, now=now) else []
    slot_wait_ms = estimate_min_slot_wait(pool, now=now)
    for server in pool.servers.values():
        if server.is_leaving:
            continue
        if _may_have_model(server, model):
            return 0.0
        load_ms = fraction * _get_min_load_ms(server, spec, now=now)
        wait_ms = _get_busy_ms(server, now=now)
        if _is_known(server, now=now) and not has_local_weights(server, model):
            wait_ms = max(wait_ms, slot_wait_ms)
        waits.append(wait_ms + load_ms)
    return min(waits, default=0.0)


def _may_have_model(server: ServerState, model: str) -> bool:
    """Tell whether a server has a model, or may be loading it.

    It is no copy now if the server is in a backoff or at its rate limit, but both may
    end at any time. An order without an answer may have been carried out.
    """
    return (
        model in server.models
        or model in (server.loading, server.planned)
        or model in server.unanswered_loads
        or model in server.previous_loads
    )


def _is_known(server: ServerState, *, now: int) -> bool:
    """Tell whether it is known which weights a server has on its disk."""
    return server.accepted_orders is not None and is_usable(server, now=now)


def _get_min_load_ms(server: ServerState, spec: ModelSpec, *, now: int) -> float:
    """Return the shortest load time of a model on a server, in ms."""
    if _is_known(server, now=now):
        return get_load_ms(server, spec)
    return min(spec.warm_load_ms, spec.disk_load_ms, spec.load_ms)


def _get_busy_ms(server: ServerState, *, now: int) -> float:
    """Return for how long a server certainly accepts no load order, in ms."""
    if not server.loading or server.loading_until == NEVER:
        return 0.0
    if not _is_known(server, now=now):
        return 0.0
    return max(0.0, float(server.loading_until - now - LOAD_MARGIN_MS))
