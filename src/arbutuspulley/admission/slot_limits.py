"""How much of each server this entry may use.

The entries of a group share the servers without asking each other for each
request. Each has a part of a server's slots that is always its own. What the
others leave free, seen in the server's reports, is lent in equal parts; what is
used above the own part is given back as soon as a report shows the server above
its slots.
"""

from collections.abc import Sequence

import xxhash

from arbutuspulley.admission.usage_class import UsageClass
from arbutuspulley.data import Value
from arbutuspulley.routing.load import ServerLoad
from arbutuspulley.rpc.messages import EntryAddress, ServerSummary

MIN_SLOTS = 1
"""Slots of each server that an entry may always use."""

TOKENS_PER_SLOT = 4_000
"""Token cost in flight that one slot stands for."""

RESERVE_DIVISOR = 8
"""One slot in so many is left free by callers that press beyond their share."""

RESERVE_MIN_SLOTS = 4
"""A server with at least so many slots has one of them left free in any case."""

ACTIVE_LOAD = 0.02
"""An entry with less load than this does not count as sharing the servers now."""


class SlotLimit(Value, frozen=True):
    """What this entry may have in flight at one server, by the caller's standing.

    :param ordinary: its own part and its part of what is free.
    :param modest: its own part and all that is free.
    :param pressing: the same as ordinary, with the reserve taken off.
    """

    ordinary: int
    modest: int
    pressing: int

    def get(self, usage_class: UsageClass) -> int:
        """Return the slots for a request of a caller of this standing."""
        if usage_class is UsageClass.PRESSING:
            return self.pressing
        return self.modest if usage_class is UsageClass.MODEST else self.ordinary


def list_active_entries(
    entries: Sequence[EntryAddress], *, own: str
) -> tuple[str, ...]:
    """Return the addresses of the entries that share the servers now.

    :param own: address of this entry, which always counts.
    """
    active = {entry.address for entry in entries if entry.load >= ACTIVE_LOAD}
    return tuple(sorted(active | {own}))


def compute_limit(
    load: ServerLoad,
    *,
    report: ServerSummary,
    own: str,
    active: Sequence[str],
    contended: bool = False,
) -> SlotLimit:
    """Return what this entry may have in flight at a server.

    :param load: this entry's account of the server, with the same report.
    :param own: address of this entry.
    :param active: addresses of the entries that share the server.
    :param contended: whether a modest caller waits at another instance.
    """

    # Counted from the moment of the report, which all entries read alike, their
    # limits add up to the slots as long as none is below its part. With what each
    # has begun since, they would not. The key has the entries agree on who gets
    # the odd slot, and changes with the report, so that it is not always the same.
    own_in_flight = load.requests_at_report
    reported = report.running + report.waiting
    key = f"{report.server}|{reported}|{report.waiting_tokens}"
    guaranteed = max(
        MIN_SLOTS, _compute_own_share(report.slots, own=own, active=active, key=key)
    )

    def allocate(slots: int) -> int:
        free = slots - reported
        if free < 0:
            return own_in_flight + free
        return own_in_flight + _compute_own_share(free, own=own, active=active, key=key)

    ordinary = max(guaranteed, allocate(report.slots))
    # Several entries may let modest callers have the same free slot. That is kept
    # small by their being modest, and ends with the next report.
    modest = (
        ordinary
        if contended
        else max(ordinary, own_in_flight + report.slots - reported)
    )
    pressing = allocate(report.slots - _compute_reserve(report.slots))
    return SlotLimit(
        ordinary=ordinary, modest=modest, pressing=max(0, min(pressing, ordinary))
    )


def _compute_reserve(slots: int) -> int:
    if slots < RESERVE_MIN_SLOTS:
        return 0
    return max(1, slots // RESERVE_DIVISOR)


def _compute_own_share(slots: int, *, own: str, active: Sequence[str], key: str) -> int:
    """Return this entry's part of some slots; all parts add up to the whole."""
    whole, rest = divmod(slots, len(active))
    if not rest:
        return whole
    ranked = sorted(
        active, key=lambda address: xxhash.xxh64_intdigest(f"{key}|{address}".encode())
    )
    return whole + (ranked.index(own) < rest)
