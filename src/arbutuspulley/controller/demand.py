"""What callers ask for, smoothed from the reports of this instance's entries."""

import math
from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.rpc.messages import CallerUsage, EntryReport, ItemDemand

SMOOTHING_MS = 30_000
"""Time constant: demand that ends has faded to a third after it."""

MIN_RATE_PER_S = 0.01
"""Rates a second below this are dropped."""


class _Rate(State):
    """Smoothed sums; a constant rate of one a second settles at the constant."""

    requests: float = 0.0
    tokens: float = 0.0
    refused: float = 0.0


class DemandState(State):
    """Demand of each item through this instance.

    :param faded_at: until when sums have been faded.
    """

    items: dict[str, _Rate] = {}
    decayed_at: int = 0


def add_demand(state: DemandState, report: EntryReport, *, now: int) -> None:
    """Take in one report of an entry."""
    _decay(state, now=now)
    for demand in report.demand:
        rate = state.items.setdefault(demand.item, _Rate())
        rate.requests += demand.requests
        rate.tokens += demand.tokens
        rate.refused += demand.refused


def list_demand(state: DemandState, *, now: int) -> tuple[ItemDemand, ...]:
    """Return the demand of a minute at the present rate, by item."""
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
    """Return the demand of several instances together, by item."""
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
    """Return what callers use through several entries together."""
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
        if rate.requests + rate.refused < MIN_RATE_PER_S:
            del state.items[item]
