"""Demand for each model, and the effect of one copy more or less.

Effects are in requests, so that waits, loads and unloads can be compared. Demand is in
prompt tokens. A request that occupies a slot for longer than the prefill of its prompt
takes counts as the tokens that the copy could have prefilled in that time.
"""

import math

from arbutuspulley.pool.duration import estimate_run_time
from arbutuspulley.pool.state import (
    Demand,
    PoolState,
    ServerState,
    get_prefill_speed,
)
from arbutuspulley.ports.fleet import ModelNeed

SLOW_HALF_LIFE_MS = 3_000
"""Half-life of the slow moving average, in ms. A shorter one follows random variation,
and models of similar demand then evict each other."""

FAST_HALF_LIFE_MS = 1_000
"""Half-life of the fast moving average, in ms. Demand moves to other models within
seconds; the slow average alone shows only half of a new demand after one half-life, and
the model has too few copies for that long."""

MIN_SIGMAS = 2.0
"""Standard deviations by which the fast average must differ from the slow one to be
used instead."""

MEAN_SQUARE_RATIO = 1.5
"""Mean square of a request's tokens over their squared mean, for that deviation."""

MIN_OBSERVED_MS = 500
"""Minimum observation time to which averages are scaled, in ms: scaled up from less,
the first few requests would look like a surge."""

FULLY_OBSERVED_MS = 60_000
"""Observation time after which the averages show all of a constant demand, in ms."""

PREFILL_FRACTION = 0.8
"""Fraction of the prefill speed at which prompts are started; the rest of the time goes
to decode. Prefill within one gap between stream events is bounded in addition, see
:mod:`arbutuspulley.pool.stream_gaps`. At 1.0 prefills queue up as soon as one takes
longer than expected, and all streams of the server stall."""

TARGET_UTILISATION = 0.8
"""Utilisation of its copies' token rate above which a model needs another copy; waits
grow fast beyond it."""

HORIZON_S = 2.0
"""Time over which the effect of one copy more or less is counted, in s: a load takes
1.2 s, and demand moves on within some seconds."""


def estimate_token_cost(pool: PoolState, need: ModelNeed) -> float:
    """Return how much of a copy's capacity a request takes, in prompt tokens.

    Either prefill or slots limit a server. With twelve slots and streams of two
    seconds, the slots admit six requests a second, however fast prefill is. Counted by
    prefill alone, requests would wait for a model whose copies seem to be half idle.
    """
    run_ms = estimate_run_time(pool.durations, need)
    slot_tokens = (
        run_ms / max(1, pool.spec.slots) * get_copy_token_rate(pool, need.model) / 1_000
    )
    return max(float(need.prompt_tokens), slot_tokens)


def record_demand(pool: PoolState, model: str, tokens: float, *, now: int) -> None:
    """Add a request to the demand for its model.

    :param tokens: its cost, see :func:`estimate_token_cost`.
    :param now: in ms.
    """
    decay_demand(pool, now=now)
    if pool.demand_since is None:
        pool.demand_since = now
    demand = pool.demand.setdefault(model, Demand())
    demand.slow += tokens * 1_000 * math.log(2) / SLOW_HALF_LIFE_MS
    demand.fast += tokens * 1_000 * math.log(2) / FAST_HALF_LIFE_MS
    pool.mean_tokens += 0.02 * (tokens - pool.mean_tokens)


def decay_demand(pool: PoolState, *, now: int) -> None:
    """Decay the moving averages to the present time.

    :param now: in ms.
    """
    elapsed_ms = now - pool.demand_at
    if elapsed_ms <= 0:
        return
    pool.demand_at = now
    slow_factor = 0.5 ** (elapsed_ms / SLOW_HALF_LIFE_MS)
    fast_factor = 0.5 ** (elapsed_ms / FAST_HALF_LIFE_MS)
    for model, demand in list(pool.demand.items()):
        demand.slow *= slow_factor
        demand.fast *= fast_factor
        if demand.slow < 1:
            del pool.demand[model]


def get_demand(pool: PoolState, model: str) -> float:
    """Return the demand for a model, in prompt tokens a second.

    That is the slow average, unless the fast one differs by more than random variation.
    """
    demand = pool.demand.get(model)
    if demand is None:
        return 0.0
    slow = demand.slow / _get_observed_fraction(pool, SLOW_HALF_LIFE_MS)
    fast = demand.fast / _get_observed_fraction(pool, FAST_HALF_LIFE_MS)
    decay_per_s = math.log(2) * 1_000 / FAST_HALF_LIFE_MS
    size_biased_tokens = pool.mean_tokens * MEAN_SQUARE_RATIO
    sigma = math.sqrt(max(slow, fast) * size_biased_tokens * decay_per_s / 2)
    return fast if abs(fast - slow) > MIN_SIGMAS * sigma else slow


def list_demand(pool: PoolState) -> dict[str, float]:
    """Return the demand by model, in prompt tokens a second, for a successor."""
    return {model: get_demand(pool, model) for model in pool.demand}


def inherit_demand(pool: PoolState, rates: dict[str, float], *, now: int) -> None:
    """Start with the demand that the previous coordinator has estimated.

    :param rates: prompt tokens a second by model.
    :param now: in ms.
    """
    if not rates:
        return
    pool.demand_at = now
    pool.demand_since = now - FULLY_OBSERVED_MS
    for model, rate in rates.items():
        pool.demand[model] = Demand(slow=rate, fast=rate)


def _get_observed_fraction(pool: PoolState, half_life_ms: int) -> float:
    """Return the fraction of a constant demand that the averages show by now.

    They start at zero. Without this correction, demand would be underestimated in the
    first seconds after a start.
    """
    if pool.demand_since is None:
        return 1.0
    observed_ms = max(MIN_OBSERVED_MS, pool.demand_at - pool.demand_since)
    return 1 - 0.5 ** (observed_ms / half_life_ms)


def get_copy_token_rate(
    pool: PoolState, model: str, server: ServerState | None = None
) -> float:
    """Return the capacity of one copy of a model, in prompt tokens a second.

    :param server: server of the copy; ``None``: one as fast as its class.
    """
    rate = get_prefill_speed(pool, model) * PREFILL_FRACTION * 1_000
    return rate if server is None else rate * server.speed.value


def get_copy_request_rate(pool: PoolState) -> float:
    """Return the capacity of one copy of the slowest model, in requests a second."""
    rates = (get_copy_token_rate(pool, model) for model in pool.spec.models)
    return min(rates, default=0.0) / max(1.0, pool.mean_tokens)


def estimate_excess_requests(pool: PoolState, model: str, copies: float) -> float:
    """Return how many requests would have to wait, given the number of copies.

    Without a copy, all of them do.

    :param copies: sum of the speeds of their servers.
    """
    demand = get_demand(pool, model)
    excess = max(
        0.0, demand - TARGET_UTILISATION * get_copy_token_rate(pool, model) * copies
    )
    return excess * HORIZON_S / max(1.0, pool.mean_tokens)
