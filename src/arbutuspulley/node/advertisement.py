"""Which instances callers are sent to, and what each may use of what all share.

Where some instances of a data centre are much better placed than others, callers are
sent to these alone. What all instances share, such as the connections that a server
accepts and the budget of repeats, is then used by these as well.
"""

from collections.abc import Iterable, Sequence

from arbutuspulley.node.messages import NodeInfo

MIN_NEARBY_INSTANCES = 2
"""With so many instances ready in the caller's data centre, or else in its region,
others are not named: its bytes then stay there, and one of them may still fail."""

STRONG_CAPACITY_RATIO = 0.5
"""Part of the best one's capacity with which an instance counts as like it."""

MIN_STRONG_SHARE = 0.2
"""Callers of a data centre are sent to its best instances alone where these have so
much of its capacity. Fleets are sized for the loss of a data centre and for surges, and
work at a tenth of their capacity. Fewer instances keep their connections to servers in
use, and small links are not filled by streams. Spread over many small instances, most
requests find no connection that is still open."""

ADVERTISED_SHARE = 0.85
"""Part of what all share that is for those to which callers are sent, where these are
not all; the rest is for the others, which callers with an old answer may still use."""


def select_advertised(area: Sequence[NodeInfo]) -> list[NodeInfo]:
    """Return those instances of an area to which callers are sent.

    These are the best placed ones, or all if those are too few. The coordinator is left
    out where enough others are left: it has work for all.

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
    """Return to how many instances of a fleet callers are sent."""
    sites: dict[str, list[NodeInfo]] = {}
    for info in infos:
        if info.is_ready:
            sites.setdefault(info.site, []).append(info)
    return sum(len(select_advertised(area)) for area in sites.values())


def get_share_divisor(*, is_advertised: bool, advertised: int, instances: int) -> float:
    """Return by how many an instance divides what all instances share.

    The parts of all add up to the whole at most.

    :param is_taker: whether callers are sent to this instance.
    :param takers: to how many they are sent in all; 0: not known.
    """
    if not advertised or advertised >= instances:
        return instances
    if is_advertised:
        return advertised / ADVERTISED_SHARE
    return (instances - advertised) / (1 - ADVERTISED_SHARE)
