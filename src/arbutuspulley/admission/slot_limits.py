"""Limits how many slots of each server this entry uses.

The entries of a group share the servers without coordinating each request. Each
entry is guaranteed a share of a server's slots. Slots that the server's reports show
as free are lent to the entries in equal shares; an entry returns the slots above
its guaranteed share as soon as a report shows the server above its slots.
"""

from collections.abc import Sequence

import xxhash

from arbutuspulley.admission.usage_class import UsageClass
from arbutuspulley.data import Value
from arbutuspulley.routing.load import ServerLoad
from arbutuspulley.rpc.messages import EntryAddress, ServerSummary

MIN_SLOTS = 1
"""Slots of each server that an entry may always use, however many entries there are."""

TOKENS_PER_SLOT = 4_000
"""Token cost in flight that one slot allows."""

RESERVE_DIVISOR = 8
"""Pressing callers leave one slot in this many free."""

RESERVE_MIN_SLOTS = 4
"""Fewest slots of a server at which pressing callers leave at least one free."""

ACTIVE_LOAD = 0.02
"""An entry with a load below this does not count as sharing the servers."""


class SlotLimit(Value, frozen=True):
    """Slots that this entry may use at one server, by the caller's usage class.

    :param ordinary: the guaranteed share and a share of the free slots.
    :param modest: the guaranteed share and all free slots.
    :param pressing: as ordinary, less the reserve.
    """

    ordinary: int
    modest: int
    pressing: int

    def get(self, usage_class: UsageClass) -> int:
        """Return the slots for requests of callers in a usage class."""
        if usage_class is UsageClass.PRESSING:
            return self.pressing
        return self.modest if usage_class is UsageClass.MODEST else self.ordinary


def list_active_entries(
    entries: Sequence[EntryAddress], *, own: str
) -> tuple[str, ...]:
    """Return the addresses of the entries that share the servers now.

    :param own: address of this entry, which always counts as active.
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
    """Return how many slots of a server this entry may use.

    :param load: this entry's load on the server, corrected by the same report.
    :param report: latest report of the server.
    :param own: address of this entry.
    :param active: addresses of the entries that share the server.
    :param contended: whether a modest caller waits at another instance.
    """

    # All entries compute their limits from the same report, so the limits add up to
    # the slots as long as no entry is below its guaranteed share. If each added the
    # requests that it has begun since, they would not. The key makes the entries
    # agree on which of them get the remaining slots; it changes with the report, so
    # that these are not always the same entries.
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
    # Several entries may give the same free slot to modest callers. The excess is
    # small because these callers use little, and ends with the next report.
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
    """Return this entry's share of some slots; the shares add up to the slots."""
    whole, rest = divmod(slots, len(active))
    if not rest:
        return whole
    ranked = sorted(
        active, key=lambda address: xxhash.xxh64_intdigest(f"{key}|{address}".encode())
    )
    return whole + (ranked.index(own) < rest)
