"""Which instances there are: told by version and difference, each what it needs.

An instance names addresses to callers, mostly of its own data centre. So it is told of
all instances there and of a few in each other data centre. The whole list goes only to
an instance that has none; after that, only what has changed. Told whole to all at each
beat, the list would take the coordinator's link by the square of their number.
"""

from collections.abc import Iterable

from arbutuspulley.data import State
from arbutuspulley.node.messages import NodeInfo, RosterChange

REMOTE_SAMPLE_SIZE = 4
"""Instances of another data centre that are told: callers are sent there only if their
own has fewer than two, and two may fail at once."""


class RosterState(State):
    """What the coordinator has told the instances of one data centre.

    :param version: counts the changes told.
    :param nodes: by name, as told.
    """

    site: str
    version: int = 0
    nodes: dict[str, NodeInfo] = {}


def select_view(infos: Iterable[NodeInfo], *, site: str) -> dict[str, NodeInfo]:
    """Return the instances of which those of a data centre are told."""
    near: list[NodeInfo] = []
    others: dict[str, list[NodeInfo]] = {}
    for info in infos:
        group = near if info.site == site else others.setdefault(info.site, [])
        group.append(info)
    for group in others.values():
        near.extend(sorted(group, key=_rank)[:REMOTE_SAMPLE_SIZE])
    return {info.name: info for info in near}


def _rank(info: NodeInfo) -> tuple[bool, float, str]:
    return not info.is_ready, -info.capacity, info.name


def update_roster(
    roster: RosterState, view: dict[str, NodeInfo]
) -> RosterChange | None:
    """Take in what is to be told; return the difference, ``None`` if there is none."""
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
    """Return the whole list, for an instance that has none."""
    return RosterChange(version=roster.version, joined=tuple(roster.nodes.values()))


class RosterCopy(State):
    """An instance's copy of what it was told.

    :param version: of the copy; 0: none, the whole list is needed.
    """

    version: int = 0
    nodes: dict[str, NodeInfo] = {}


def apply_change(copy: RosterCopy, change: RosterChange) -> bool:
    """Apply a change to an instance's copy.

    :return: whether it could be; if not, the copy counts as none from now on, and the
        list so far stays in use until the whole one has come.
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
