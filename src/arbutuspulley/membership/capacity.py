"""How much work an instance can take, and who should coordinate by that.

Instances of one fleet may differ by four times in processor and by twenty in their
links. The coordinator hears of each request and speaks to all other instances, so the
best placed instance should hold its lease: whoever is better placed claims it earlier.
"""

from collections.abc import Iterable

LINK_MBPS_PER_CORE = 40.0
"""Link that one core of work fills, in Mbit/s: a core relays some 10,000 events a
second, and each of some 250 bytes comes in and goes out."""

SUFFICIENT_CAPACITY = 1.0
"""Capacity with which an instance coordinates some hundred servers, in cores."""

MAX_CLAIM_DELAY_MS = 400
"""How long the worst placed instance leaves a free lease to others, in ms. Callers wait
for a coordinator meanwhile, against aims of 400 ms and more."""

CLAIM_DELAY_PER_RANK_MS = 50
"""Time between claims of instances one rank apart, in ms: a claim is written and read
within some 10 ms, twice that on a busy instance."""

HANDOVER_CAPACITY_RATIO = 2.0
"""By how many times more capacity another instance must have for a coordinator to hand
the lease over: the change costs all instances their links for some 100 ms."""


def get_capacity(cores: float, link_mbps: float) -> float:
    """Return the capacity of an instance, in cores that its link can feed."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def get_claim_delay_ms(own: float, known: Iterable[float]) -> int:
    """Return how long an instance leaves a free lease to better placed ones, in ms.

    :param own: its capacity.
    :param known: capacities of other instances; empty if it knows of none, as after a
        start, when its own has to tell.
    """
    others = list(known)
    if others:
        rank = sum(1 for other in others if other > own)
        return min(MAX_CLAIM_DELAY_MS, rank * CLAIM_DELAY_PER_RANK_MS)
    missing = max(0.0, 1 - own / SUFFICIENT_CAPACITY)
    return int(MAX_CLAIM_DELAY_MS * missing)


def has_much_more_capacity(other: float, own: float) -> bool:
    """Tell whether an instance should coordinate instead of this one."""
    return own < SUFFICIENT_CAPACITY and other >= HANDOVER_CAPACITY_RATIO * own
