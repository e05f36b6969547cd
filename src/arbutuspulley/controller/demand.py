"""Demand per item: exponentially decayed sums over the reports of own entries."""

import math
from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.rpc.messages import CallerUsage, EntryReport, ItemDemand

SMOOTHING_MS = 30_000
"""Time constant of the decay: demand that ends falls to about a third in it."""

MIN_DECAYED_REQUESTS = 0.01
"""Items whose decayed sum of requests and refusals is below this are dropped."""


class _Rate(State):
    """Decayed sums; one event a second converges to the time constant in seconds."""

    requests: float = 0.0
    tokens: float = 0.0
    refused: float = 0.0


class DemandState(State):
    """Demand for each item through this instance.

    :param decayed_at: time up to which the decay has been applied, in ms.
    """

    items: dict[str, _Rate] = {}
    decayed_at: int = 0


def add_demand(state: DemandState, report: EntryReport, *, now: int) -> None:
    """Add the demand in an entry's report."""
    _decay(state, now=now)
    for demand in report.demand:
        rate = state.items.setdefault(demand.item, _Rate())
        rate.requests += demand.requests
        rate.tokens += demand.tokens
        rate.refused += demand.refused


def list_demand(state: DemandState, *, now: int) -> tuple[ItemDemand, ...]:
    """Return the demand per minute at the current rate, sorted by item."""
    _decay(state, now=now)
    scale = 60 * SECOND_MS / SMOOTHING_MS
    return tuple(
        ItemDemand(
            item=item,
            requests=math.ceil(rate.requests * scale),
            tokens=math.ceil(rate.tokens * scale),
            refused=math.ceil(rate.refused * scale),
        )
        for item, rate in sorted(state.items.items())
    )


def sum_demand(parts: Iterable[tuple[ItemDemand, ...]]) -> dict[str, ItemDemand]:
    """Return the total demand of several instances, by item."""
    total: dict[str, ItemDemand] = {}
    for part in parts:
        for demand in part:
            known = total.get(demand.item) or ItemDemand(
                item=demand.item, requests=0, tokens=0
            )
            total[demand.item] = ItemDemand(
                item=demand.item,
                requests=known.requests + demand.requests,
                tokens=known.tokens + demand.tokens,
                refused=known.refused + demand.refused,
            )
    return total


def sum_usage(parts: Iterable[tuple[CallerUsage, ...]]) -> tuple[CallerUsage, ...]:
    """Return the total usage of each caller across several entries."""
    total: dict[str, CallerUsage] = {}
    for part in parts:
        for usage in part:
            known = total.get(usage.caller)
            total[usage.caller] = CallerUsage(
                caller=usage.caller,
                tokens_per_s=usage.tokens_per_s
                + (known.tokens_per_s if known else 0.0),
                waiting=usage.waiting + (known.waiting if known else 0),
            )
    return tuple(total[caller] for caller in sorted(total))


def _decay(state: DemandState, *, now: int) -> None:
    elapsed_ms = max(0, now - state.decayed_at)
    state.decayed_at = now
    factor = math.exp(-elapsed_ms / SMOOTHING_MS)
    for item, rate in list(state.items.items()):
        rate.requests *= factor
        rate.tokens *= factor
        rate.refused *= factor
        if rate.requests + rate.refused < MIN_DECAYED_REQUESTS:
            del state.items[item]
