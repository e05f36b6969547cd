"""The roster of instances, sent to each data centre as a version and its changes.

An instance returns addresses to callers, mostly of its own data centre. So its roster
has all instances there and a few of each other data centre. The full roster goes only
to an instance that has none; after that, only changes are sent. If the full roster went
to all instances at each heartbeat, the traffic on the coordinator's link would grow
with the square of their number.
"""

from collections.abc import Iterable

from arbutuspulley.data import State
from arbutuspulley.node.messages import NodeInfo, RosterChange

REMOTE_SAMPLE_SIZE = 4
"""Number of instances of each other data centre in a roster: callers are sent there
only if their own has fewer than two, and two may fail at once."""


class RosterState(State):
    """The roster of one data centre, as last sent to its instances.

    :param version: counts the changes sent.
    :param nodes: instances by name, as sent.
    """

    site: str
    version: int = 0
    nodes: dict[str, NodeInfo] = {}


def select_view(infos: Iterable[NodeInfo], *, site: str) -> dict[str, NodeInfo]:
    """Return the instances that belong in the roster of a data centre."""
    near: list[NodeInfo] = []
    others: dict[str, list[NodeInfo]] = {}
    for info in infos:
        group = near if info.site == site else others.setdefault(info.site, [])
        group.append(info)
    for group in others.values():
        near.extend(sorted(group, key=_rank)[:REMOTE_SAMPLE_SIZE])
    return {info.name: info for info in near}


def _rank(info: NodeInfo) -> tuple[bool, bool, float, str]:
    return not info.is_ready, not info.reaches_servers, -info.capacity, info.name


def update_roster(
    roster: RosterState, view: dict[str, NodeInfo]
) -> RosterChange | None:
    """Update a roster; return the change to be sent, ``None`` if there is none."""
    joined = [info for name, info in view.items() if roster.nodes.get(name) != info]
    left = [name for name in roster.nodes if name not in view]
    if not joined and not left:
        return None
    base = roster.version
    roster.version += 1
    roster.nodes = view
    return RosterChange(
        version=roster.version, base=base, joined=tuple(joined), left=tuple(left)
    )


def build_full_roster(roster: RosterState) -> RosterChange:
    """Return the full roster, for an instance that has none."""
    return RosterChange(version=roster.version, joined=tuple(roster.nodes.values()))


class RosterCopy(State):
    """An instance's copy of its roster.

    :param version: version of the copy; 0: none, the full roster is needed.
    """

    version: int = 0
    nodes: dict[str, NodeInfo] = {}


def apply_change(copy: RosterCopy, change: RosterChange) -> bool:
    """Apply a change to an instance's copy.

    :return: whether it could be applied; if not, the copy counts as none from now on,
        and its instances stay in use until the full roster arrives.
    """
    if change.base and change.base != copy.version:
        copy.version = 0
        return False
    kept = {} if not change.base else dict(copy.nodes)
    for name in change.left:
        kept.pop(name, None)
    kept.update((info.name, info) for info in change.joined)
    copy.nodes = kept
    copy.version = change.version
    return True
