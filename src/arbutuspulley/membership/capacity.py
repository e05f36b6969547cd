"""Capacity of instances, and the choice of the coordinator by capacity.

Instances of one fleet may differ by a factor of four in processor and of twenty in
network bandwidth. The coordinator is sent each request and communicates with all other
instances, so the instance with the highest capacity should hold the lease: instances
with more capacity claim it earlier.
"""

from collections.abc import Iterable

LINK_MBPS_PER_CORE = 40.0
"""Bandwidth that one core uses, in Mbit/s: a core relays some 10,000 events per second,
and each event of some 250 bytes is received and sent."""

SUFFICIENT_CAPACITY = 1.0
"""Capacity sufficient to coordinate some hundred servers, in cores."""

MAX_CLAIM_DELAY_MS = 400
"""Longest time that an instance waits before it claims a free lease, in ms. Callers
wait for a coordinator meanwhile, with latency targets of 400 ms and more."""

CLAIM_DELAY_PER_RANK_MS = 50
"""Delay between claims of consecutive ranks, in ms: a claim is written and read within
some 10 ms, or twice that on a busy instance."""

HANDOVER_CAPACITY_RATIO = 2.0
"""Ratio of capacities from which a coordinator hands the lease over to another
instance: a handover disconnects all instances' links for some 100 ms."""


def get_capacity(cores: float, link_mbps: float) -> float:
    """Return the capacity of an instance, in cores, limited by its bandwidth."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def get_claim_delay_ms(own: float, known: Iterable[float]) -> int:
    """Return how long an instance waits before it claims a free lease, in ms.

    :param own: its capacity.
    :param known: capacities of other instances; empty if none are known, as after a
        start; the delay then depends on its own capacity only.
    """
    others = list(known)
    if others:
        rank = sum(1 for other in others if other > own)
        return min(MAX_CLAIM_DELAY_MS, rank * CLAIM_DELAY_PER_RANK_MS)
    missing = max(0.0, 1 - own / SUFFICIENT_CAPACITY)
    return int(MAX_CLAIM_DELAY_MS * missing)


def has_much_more_capacity(other: float, own: float) -> bool:
    """Return whether another instance should coordinate instead of this one."""
    return own < SUFFICIENT_CAPACITY and other >= HANDOVER_CAPACITY_RATIO * own
