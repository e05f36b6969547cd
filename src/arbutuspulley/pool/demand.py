"""How much each model is asked for, and what another copy or one less would mean.

All is counted in requests, so that a wait, a load and an unload can be compared. What a
request takes of a copy is counted in prompt tokens: those that the copy could have read
meanwhile, if the request holds a slot for longer than its own prompt takes.
"""

import math

from arbutuspulley.pool.duration import estimate_run_time
from arbutuspulley.pool.state import Demand, PoolState, get_prefill_speed
from arbutuspulley.ports.fleet import ModelNeed

SLOW_HALF_LIFE_MS = 3_000
"""Time after which an old request counts half in the steady estimate, in ms. A shorter
one takes chance for a trend: models of like demand then push each other out."""

FAST_HALF_LIFE_MS = 1_000
"""The same in the swift estimate, in ms. Demand moves to other models within seconds;
by the steady one alone, a model would seem to be asked for half of what it is after one
half-life, and stay with too few copies for as long."""

MIN_SIGMAS = 2.0
"""By how many times its own scatter the swift estimate must differ to be believed."""

MEAN_SQUARE_RATIO = 1.5
"""Mean square of a request's tokens over the square of their mean, for that scatter."""

MIN_OBSERVED_MS = 500
"""Requests of at least so long are taken to have been seen, in ms: scaled up from less,
the first few would look like a crowd."""

FULLY_OBSERVED_MS = 60_000
"""After so long the counts show all of a steady demand, in ms."""

PREFILL_FRACTION = 0.8
"""Part of the reading speed at which prompts are started; the rest of the time goes to
generation. What falls into one pause is bounded beside it, see
:mod:`arbutuspulley.pool.stream_gaps`. At 1.0 prompts catch up with each other as soon
as one takes longer than expected, and all streams there wait."""

TARGET_UTILISATION = 0.8
"""Part of the paced reading speed of its copies that a model may use before it needs
another one; beyond, waits grow fast."""

HORIZON_S = 2.0
"""For how long the effect of a copy more or less is counted, in s: a load takes 1.2 s
and demand moves on within some seconds."""


def estimate_token_cost(pool: PoolState, need: ModelNeed) -> float:
    """Return what a request takes of a copy of its model, in prompt tokens.

    A server is full by what it reads or by its slots, whichever is sooner. Where it has
    twelve slots and streams take two seconds, the slots let six requests a second
    through, however fast it reads: by the reading alone, requests would wait for a
    model whose copies seem to be half idle.
    """
    run_ms = estimate_run_time(pool.durations, need)
    slot_tokens = (
        run_ms / max(1, pool.spec.slots) * get_copy_token_rate(pool, need.model) / 1_000
    )
    return max(float(need.prompt_tokens), slot_tokens)


def record_demand(pool: PoolState, model: str, tokens: float, *, now: int) -> None:
    """Count what a request takes of a copy, see :func:`estimate_token_cost`."""
    decay_demand(pool, now=now)
    if pool.demand_since is None:
        pool.demand_since = now
    demand = pool.demand.setdefault(model, Demand())
    demand.slow += tokens * 1_000 * math.log(2) / SLOW_HALF_LIFE_MS
    demand.fast += tokens * 1_000 * math.log(2) / FAST_HALF_LIFE_MS
    pool.mean_tokens += 0.02 * (tokens - pool.mean_tokens)


def decay_demand(pool: PoolState, *, now: int) -> None:
    """Let the counts decay to the present."""
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
    """Return the prompt tokens a second that a model is asked for.

    That is the steady estimate, unless the swift one differs by more than chance.
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
    """Return what each model is asked for, for a successor."""
    return {model: get_demand(pool, model) for model in pool.demand}


def inherit_demand(pool: PoolState, rates: dict[str, float], *, now: int) -> None:
    """Begin with what a predecessor was asked for.

    :param rates: prompt tokens a second by model.
    """
    if not rates:
        return
    pool.demand_at = now
    pool.demand_since = now - FULLY_OBSERVED_MS
    for model, rate in rates.items():
        pool.demand[model] = Demand(slow=rate, fast=rate)


def _get_observed_fraction(pool: PoolState, half_life_ms: int) -> float:
    """Return which part of a steady demand the counts can show by now.

    They begin with nothing. Without this, models seemed to be hardly asked for in the
    first seconds after a start.
    """
    if pool.demand_since is None:
        return 1.0
    observed_ms = max(MIN_OBSERVED_MS, pool.demand_at - pool.demand_since)
    return 1 - 0.5 ** (observed_ms / half_life_ms)


def get_copy_token_rate(pool: PoolState, model: str) -> float:
    """Return the prompt tokens a second that one copy of a model takes."""
    return get_prefill_speed(pool, model) * PREFILL_FRACTION * 1_000


def get_copy_request_rate(pool: PoolState) -> float:
    """Return the requests a second that one copy of a model takes at least."""
    rates = (get_copy_token_rate(pool, model) for model in pool.spec.models)
    return min(rates, default=0.0) / max(1.0, pool.mean_tokens)


def estimate_excess_requests(pool: PoolState, model: str, copies: int) -> float:
    """Return how many requests so many copies would leave waiting.

    With no copy, that is all of them.
    """
    demand = get_demand(pool, model)
    excess = max(
        0.0, demand - TARGET_UTILISATION * get_copy_token_rate(pool, model) * copies
    )
    return excess * HORIZON_S / max(1.0, pool.mean_tokens)
