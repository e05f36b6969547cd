"""Updates ledger entries from a server's report.

On a server that checks orders, a report whose fence and last order are at least those
of an order, and that does not list the item, proves that the order can no longer take
effect. On a server that does not check orders, the item must have been listed in one
report and be missing from a later one; orders that may still arrive are then kept in
the ledger, see :func:`keep_late_orders`.
"""

import msgspec

from arbutuspulley.configuration.schema import Server
from arbutuspulley.placement.records import LedgerEntry, LedgerEntryState, ServerLedger
from arbutuspulley.ports.engines import ItemState, Report, ReportedItem

_replace = msgspec.structs.replace


def is_outdated(ledger: ServerLedger, report: Report) -> bool:
    """Return whether the ledger already includes this report or a newer one.

    An owner that was paused may hold a report from before a load. If it were applied,
    the item would count as unloaded, and its memory would be allocated a second time
    while the item is loaded.
    """
    if report.boot_id in ledger.past_boots:
        return True
    return report.boot_id == ledger.boot_id and report.sequence <= ledger.sequence


def get_next_order(ledger: ServerLedger, report: Report) -> int:
    """Return the next order number, above all numbers that the server has seen.

    After the table is restored from a backup, the stored number is too low, and a
    server that checks orders would refuse every order.
    """
    seen = [item.number for item in report.items]
    return max(ledger.next_order, report.last_order + 1, *(n + 1 for n in seen))


def build_discovered_entry(listed: ReportedItem, ledger: ServerLedger) -> LedgerEntry:
    """Return an entry for an item that the server lists and the ledger lacks."""
    return LedgerEntry(
        item=listed.item,
        memory_mib=listed.memory_mib,
        state=LedgerEntryState(listed.state.value),
        number=listed.number,
        fence=ledger.fence,
        boot_id=ledger.boot_id,
        seen=True,
    )


def reconcile_entry(
    entry: LedgerEntry, listed: ReportedItem | None, *, server: Server, report: Report
) -> LedgerEntry | None:
    """Return the entry updated by the report, or ``None`` if its memory is free."""
    if listed is not None:
        return _reconcile_listed(entry, listed)
    if server.checks_orders:
        proven = report.fence >= entry.fence and report.last_order >= entry.number
        return None if proven else entry
    return _reconcile_unlisted(entry)


def _reconcile_listed(entry: LedgerEntry, listed: ReportedItem) -> LedgerEntry:
    memory_mib = max(entry.memory_mib, listed.memory_mib)
    entry = _replace(entry, memory_mib=memory_mib, seen=True)
    if entry.state in (LedgerEntryState.UNLOADING, LedgerEntryState.LOADED):
        return entry
    if listed.state is not ItemState.LOADED:
        return _replace(entry, state=LedgerEntryState.LOADING)
    return _replace(
        entry,
        state=LedgerEntryState.LOADED,
        late_loads=_count_late_loads(entry),
        sends=0,
        accepted=0,
    )


def _count_late_loads(entry: LedgerEntry) -> int:
    """Return how many load orders may still arrive once the item was listed.

    One order loaded the item. Which one is unknown, but it is one of the accepted
    orders if any is known to have been accepted.
    """
    return max(0, entry.late_loads + entry.sends - max(entry.accepted, 1))


def _reconcile_unlisted(entry: LedgerEntry) -> LedgerEntry | None:
    """Update an entry that a server without order checks no longer lists."""
    if not entry.seen:
        return entry
    if entry.state is LedgerEntryState.LOADING:
        entry = _replace(entry, late_loads=_count_late_loads(entry))
        return keep_late_orders(entry)
    late = entry.late_unloads + entry.sends - max(entry.accepted, 1)
    return keep_late_orders(_replace(entry, late_unloads=max(0, late)))


def keep_late_orders(entry: LedgerEntry) -> LedgerEntry | None:
    """Return an absent entry that records late orders, ``None`` if there are none."""
    if entry.late_loads == 0 and entry.late_unloads == 0:
        return None
    return _replace(
        entry, state=LedgerEntryState.ABSENT, sends=0, accepted=0, seen=False
    )
