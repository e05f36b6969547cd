"""How much of each server this entry may use.

The entries of a group share the servers without asking each other for each
request. Each has a part of a server's slots that is always its own. What the
others leave free, seen in the server's reports, is lent in equal parts.
"""

from collections.abc import Sequence

from arbutuspulley.data import Value
from arbutuspulley.routing.load import ServerLoad, estimate_requests
from arbutuspulley.rpc.messages import EntryAddress

FLOOR_SLOTS = 1
"""Slots of each server that an entry may always use."""

TOKENS_PER_SLOT = 4_000
"""Token cost in flight that one slot stands for."""

ACTIVE_LOAD = 0.02
"""An entry with less load than this does not count as sharing the servers now."""


class ServerLimit(Value, frozen=True):
    """What this entry may have in flight at one server.

    :param part: slots that are its own part.
    :param slots: slots that it may use now, lent ones included.
    """

    part: int
    slots: int

    @property
    def tokens(self) -> int:
        """Token cost that it may have in flight."""
        return self.slots * TOKENS_PER_SLOT


def count_active(entries: Sequence[EntryAddress], *, own: str) -> int:
    """Return how many entries share the servers now, this one included.

    :param own: address of this entry.
    """
    others = [
        entry for entry in entries if entry.address != own and entry.load >= ACTIVE_LOAD
    ]
    return 1 + len(others)


def compute_limit(load: ServerLoad, *, slots: int, entries: int) -> ServerLimit:
    """Return what this entry may have in flight at a server.

    :param load: this entry's account of the server, with its latest report.
    :param slots: requests the server runs at once within the targets.
    :param entries: entries that share it now.
    """
    part = max(FLOOR_SLOTS, slots // entries)
    free = max(0, slots - estimate_requests(load))
    lent = -(-free // entries)
    return ServerLimit(part=part, slots=max(part, min(slots, load.requests + lent)))
