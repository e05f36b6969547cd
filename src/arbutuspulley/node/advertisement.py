"""Selects the instances that are advertised to callers, and their shares of limits.

Where a few instances of a data centre have much more capacity than the rest, only these
are advertised. They then also get a larger share of the limits that all instances
share, such as the connections that a server accepts and the retry budget.
"""

from collections.abc import Iterable, Sequence

from arbutuspulley.node.messages import NodeInfo

MIN_NEARBY_INSTANCES = 2
"""Number of ready instances in the caller's data centre, or else in its region, from
which on no others are advertised: traffic stays there, and one instance may still
fail."""

STRONG_CAPACITY_RATIO = 0.5
"""Share of the largest capacity from which on an instance counts as strong."""

MIN_STRONG_SHARE = 0.2
"""Share of a data centre's capacity that its strong instances must have in order to be
advertised alone. Fleets are sized for the loss of a data centre and for surges, and run
at a tenth of their capacity. Fewer instances keep their connections to servers in use,
and streams do not fill small links. If requests are spread over many small instances,
most find no connection that is still open."""

ADVERTISED_SHARE = 0.85
"""Share of a common limit for the advertised instances, if these are not all; the rest
is for the others, which callers with an outdated address list may still use."""


def select_advertised(area: Sequence[NodeInfo]) -> list[NodeInfo]:
    """Return the instances of an area that are advertised to callers.

    These are the strong ones, or all if the strong ones are too few. The coordinator is
    left out if enough others remain: it has work for the whole fleet.

    :param area: ready instances of one data centre or region.
    """
    if len(area) < MIN_NEARBY_INSTANCES:
        return list(area)
    best = max(info.capacity for info in area)
    strong = [info for info in area if info.capacity >= STRONG_CAPACITY_RATIO * best]
    total = sum(info.capacity for info in area)
    if sum(info.capacity for info in strong) < MIN_STRONG_SHARE * total:
        strong = list(area)
    non_coordinators = [info for info in strong if not info.coordinates]
    for selected in (non_coordinators, strong):
        if len(selected) >= MIN_NEARBY_INSTANCES:
            return selected
    return list(area)


def count_advertised(infos: Iterable[NodeInfo]) -> int:
    """Return the number of instances of a fleet that are advertised to callers."""
    sites: dict[str, list[NodeInfo]] = {}
    for info in infos:
        if info.is_ready:
            sites.setdefault(info.site, []).append(info)
    return sum(len(select_advertised(area)) for area in sites.values())


def get_share_divisor(*, is_advertised: bool, advertised: int, instances: int) -> float:
    """Return the number by which an instance divides a limit that all instances share.

    The shares of all instances add up to the limit at most.

    :param is_advertised: whether this instance is advertised to callers.
    :param advertised: number of advertised instances; 0: unknown.
    """
    if not advertised or advertised >= instances:
        return instances
    if is_advertised:
        return advertised / ADVERTISED_SHARE
    return (instances - advertised) / (1 - ADVERTISED_SHARE)
