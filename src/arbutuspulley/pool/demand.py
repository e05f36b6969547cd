"""How much each model is asked for, and what another copy or one less would mean.

All is counted in requests, so that a wait, a load and an unload can be compared.
"""

import math

from arbutuspulley.pool.state import PoolState, ServerState, find_speed, is_usable

HALF_LIFE_MS = 3_000
"""Time after which an old request counts half, in ms. Demand moves to other models
within 4 to 6 s at the sites; a shorter one takes chance for a trend."""

PACE = 0.65
"""Part of the reading speed at which prompts are started. The rest of the time goes
to generation. Of 0.45 to 0.9, measured on calm days of two deployments, 0.63 to 0.7
served most in time."""

FULL = 0.8
"""Part of the paced reading speed of its copies that a model may use before it needs
another one; beyond, waits grow fast."""

AHEAD_S = 2.0
"""For how long the effect of a copy more or less is counted, in s: a load takes 1.2 s
and demand moves on within some seconds."""


def note_demand(pool: PoolState, model: str, tokens: int, *, now: int) -> None:
    """Count a request's prompt."""
    age_demand(pool, now=now)
    rate = tokens * 1_000 * math.log(2) / HALF_LIFE_MS
    pool.demand[model] = pool.demand.get(model, 0.0) + rate
    pool.mean_tokens += 0.02 * (tokens - pool.mean_tokens)


def age_demand(pool: PoolState, *, now: int) -> None:
    """Let the counts decay to the present."""
    past = now - pool.demand_at
    if past <= 0:
        return
    pool.demand_at = now
    factor = 0.5 ** (past / HALF_LIFE_MS)
    for model in list(pool.demand):
        pool.demand[model] *= factor
        if pool.demand[model] < 1:
            del pool.demand[model]


def find_copies(pool: PoolState, model: str, *, now: int) -> list[ServerState]:
    """Return the usable servers that have a model, or will have it soon."""
    return [
        server
        for server in pool.servers.values()
        if (model in server.models or model in (server.loading, server.planned))
        and server.unloading != model
        and is_usable(server, now=now)
    ]


def get_rate(pool: PoolState, model: str) -> float:
    """Return the prompt tokens a second that one copy of a model takes."""
    return find_speed(pool, model) * PACE * 1_000


def get_excess(pool: PoolState, model: str, copies: int) -> float:
    """Return how many requests so many copies would leave waiting.

    With no copy, that is all of them.
    """
    demand = pool.demand.get(model, 0.0)
    excess = max(0.0, demand - FULL * get_rate(pool, model) * copies)
    return excess * AHEAD_S / max(1.0, pool.mean_tokens)
