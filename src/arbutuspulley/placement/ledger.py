"""The memory ledger of one server: which items occupy its memory.

An order is committed to the ledger before it is sent, and its memory counts as used
from then on. A timeout or a lost reply proves nothing. The memory of an item is freed
only in these cases:

* A server that checks orders applies them in the sequence of their numbers. A report
  whose fence and last order are at least those of the order, and that does not list
  the item, proves that the order can no longer take effect.
* A server that does not check orders may apply a lost order at any later time. The
  item must have been listed in one report and be missing from a later one, and every
  load order that was sent for it must be accounted for. Load orders that are not
  accounted for keep their memory reserved.
* The engine restarted: each order is sent on a connection to the boot that it names
  (:attr:`Order.boot_id`), so it ends with that process. This relies on the adapter
  never sending an order to another boot, and on no proxy that reconnects.

Reports are applied in the sequence in which the engine made them. An older report,
which can arrive through a slow reply or a paused owner, is ignored.
"""

import msgspec

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.configuration.schema import Server
from arbutuspulley.data import Value
from arbutuspulley.placement.evidence import (
    build_discovered_entry,
    get_next_order,
    is_outdated,
    keep_late_orders,
    reconcile_entry,
)
from arbutuspulley.placement.records import (
    LedgerEntry,
    LedgerEntryState,
    ServerLedger,
    find_entry,
    replace_entry,
)
from arbutuspulley.ports.engines import (
    ItemState,
    Order,
    OrderKind,
    Report,
    ReportedItem,
)
from arbutuspulley.results import ArbutusError, Code

RESEND_AFTER_REPORTS = 10
"""Reports without an order's effect after which the order is sent again."""

MAX_PAST_BOOTS = 8
"""Earlier boots that are kept, so that their late reports are recognised."""

_replace = msgspec.structs.replace


class DoesNotFitError(ArbutusError):
    """The item would overcommit the server's memory; nothing was changed.

    :param missing_mib: memory that is missing, in MiB.
    """

    def __init__(self, *, detail: str, missing_mib: int) -> None:
        super().__init__(code=Code.DOES_NOT_FIT, detail=detail)
        self.missing_mib = missing_mib


class OutdatedPlanError(ArbutusError):
    """The planned action no longer matches the ledger; a new plan is needed."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.STALE_ORDER, detail=detail)


class Reconciliation(Value, frozen=True):
    """Changes that a report makes to a ledger.

    The ledger must be committed before ``resend`` is sent. If ``changed`` is false, it
    differs only by the newest report's sequence and need not be committed.

    :param loaded: items that are newly loaded.
    :param unloaded: items that are newly proven absent.
    :param corrected: items whose reported state was unexpected.
    :param resend: orders without effect so far, with new numbers.
    :param superseded: whether the server has seen the fence of a newer owner.
    """

    ledger: ServerLedger
    loaded: tuple[str, ...] = ()
    unloaded: tuple[str, ...] = ()
    corrected: tuple[str, ...] = ()
    resend: tuple[Order, ...] = ()
    superseded: bool = False
    changed: bool = False


def take_over(ledger: ServerLedger, *, fence: int) -> ServerLedger:
    """Return the ledger under a new owner; every entry is kept.

    The former owner may be paused and still send the orders that it committed, so its
    intents count like those of the new owner.

    :raises OutdatedPlanError: if the fence is lower than the ledger's.
    """
    if fence < ledger.fence:
        raise OutdatedPlanError(detail=f"{ledger.server} has a newer owner")
    return _replace(ledger, fence=fence)


def get_reserved_mib(entry: LedgerEntry) -> int:
    """Return the memory that an entry reserves, in MiB."""
    if entry.state is LedgerEntryState.ABSENT and entry.late_loads == 0:
        return 0
    return entry.memory_mib


def measure_occupied_mib(ledger: ServerLedger, report: Report | None = None) -> int:
    """Return the occupied memory in MiB, by ledger or report, whichever is larger."""
    sizes = {entry.item: get_reserved_mib(entry) for entry in ledger.entries}
    if report is None:
        return sum(sizes.values())
    listed_mib = sum(listed.memory_mib for listed in report.items)
    for listed in report.items:
        sizes[listed.item] = max(sizes.get(listed.item, 0), listed.memory_mib)
    unlisted_mib = max(0, report.memory_used_mib - listed_mib)
    return sum(sizes.values()) + unlisted_mib


def measure_capacity_mib(server: Server, report: Report | None = None) -> int:
    """Return the server's memory in MiB, configured or reported, if that is less."""
    if report is None or report.memory_total_mib == 0:
        return server.memory_mib
    return min(server.memory_mib, report.memory_total_mib)


def add_load_intent(
    ledger: ServerLedger, *, server: Server, item: Item, report: Report | None = None
) -> ServerLedger:
    """Return the ledger with a load intent; commit it before the order is sent.

    :param report: the server's latest report, if available.
    :raises DoesNotFitError: if the item would overcommit the memory.
    :raises OutdatedPlanError: if the item is already on the server, its base model is
        not loaded there, or the engine has not reported yet.
    """
    if not ledger.boot_id:
        raise OutdatedPlanError(detail=f"{ledger.server} has not reported yet")
    known = find_entry(ledger, item.key)
    if known is not None and known.state is not LedgerEntryState.ABSENT:
        raise OutdatedPlanError(detail=f"{item.key} is {known.state} already")
    _check_base(ledger, item)
    _check_free_memory(ledger, server=server, item=item, known=known, report=report)
    entry = LedgerEntry(
        item=item.key,
        base=item.base_key,
        memory_mib=item.memory_mib,
        state=LedgerEntryState.LOADING,
        number=ledger.next_order,
        fence=ledger.fence,
        boot_id=ledger.boot_id,
        since=ledger.sequence,
        sends=1,
        late_loads=known.late_loads if known else 0,
        late_unloads=known.late_unloads if known else 0,
    )
    return _advance_order_number(replace_entry(ledger, item.key, entry))


def add_unload_intent(ledger: ServerLedger, *, item: str) -> ServerLedger:
    """Return the ledger with an unload intent; commit it before the order is sent.

    An item that is still loading is never unloaded, because its load order could
    arrive after the unload order. It is unloaded once it is loaded.

    :raises OutdatedPlanError: if the item is not loaded, or adapters depend on it.
    """
    entry = find_entry(ledger, item)
    if entry is None or entry.state is not LedgerEntryState.LOADED:
        raise OutdatedPlanError(detail=f"{item} is not loaded on {ledger.server}")
    if any(known.base == item and _is_present(known) for known in ledger.entries):
        raise OutdatedPlanError(detail=f"adapters on {ledger.server} need {item}")
    entry = _replace(
        entry,
        state=LedgerEntryState.UNLOADING,
        number=ledger.next_order,
        fence=ledger.fence,
        boot_id=ledger.boot_id,
        since=ledger.sequence,
        sends=1,
        accepted=0,
    )
    return _advance_order_number(replace_entry(ledger, item, entry))


def build_order(ledger: ServerLedger, entry: LedgerEntry) -> Order:
    """Return the order of an entry that is loading or unloading."""
    if entry.state not in (LedgerEntryState.LOADING, LedgerEntryState.UNLOADING):
        raise ValueError(f"{entry.item} is {entry.state} and has no order")
    loading = entry.state is LedgerEntryState.LOADING
    return Order(
        kind=OrderKind.LOAD if loading else OrderKind.UNLOAD,
        item=entry.item,
        memory_mib=entry.memory_mib,
        fence=ledger.fence,
        number=entry.number,
        base=entry.base,
        boot_id=entry.boot_id,
    )


def record_accepted(ledger: ServerLedger, order: Order) -> ServerLedger:
    """Return the ledger after an order was accepted, so that it can't arrive later."""
    entry = find_entry(ledger, order.item)
    if entry is None or not _matches_order(entry, order):
        return ledger
    accepted = min(entry.sends, entry.accepted + 1)
    return replace_entry(ledger, order.item, _replace(entry, accepted=accepted))


def record_refused(ledger: ServerLedger, order: Order) -> ServerLedger:
    """Return the ledger after an order that certainly has no effect, now or later.

    That is certain if the server refused it (``REFUSED``) or no byte of it was sent. It
    is not certain for ``STALE``, a timeout or a broken connection.
    """
    entry = find_entry(ledger, order.item)
    if entry is None or not _matches_order(entry, order):
        return ledger
    entry = _replace(entry, sends=entry.sends - 1)
    if entry.sends > 0 or (order.kind is OrderKind.LOAD and entry.seen):
        return replace_entry(ledger, order.item, entry)
    if order.kind is OrderKind.UNLOAD:
        entry = _replace(entry, state=LedgerEntryState.LOADED, accepted=0)
        return replace_entry(ledger, order.item, entry)
    return replace_entry(ledger, order.item, keep_late_orders(entry))


def reconcile(
    ledger: ServerLedger, *, server: Server, report: Report
) -> Reconciliation:
    """Apply a server's report to its ledger.

    Request one report of a server at a time, and discard the current one when a commit
    conflicts. Boots are distinguished only by name, so a report from before a restart
    would count as a newer boot if the ledger does not know that earlier boot.

    :param server: configuration of the server, which says whether it checks orders.
    """
    if is_outdated(ledger, report):
        return Reconciliation(ledger=ledger)
    start = _start_boot(ledger, report)
    listed = {known.item: known for known in report.items}
    entries: list[LedgerEntry] = []
    for entry in start.entries:
        reconciled = reconcile_entry(
            entry, listed.get(entry.item), server=server, report=report
        )
        if reconciled is not None:
            entries.append(reconciled)
    known = {entry.item for entry in start.entries}
    entries += [
        build_discovered_entry(item, start)
        for key, item in listed.items()
        if key not in known
    ]
    current = _replace(
        start,
        entries=tuple(sorted(entries, key=lambda entry: entry.item)),
        sequence=report.sequence,
        next_order=get_next_order(start, report),
    )
    superseded = report.fence > ledger.fence
    resend: tuple[Order, ...] = ()
    if not superseded:
        current, resend = _resend_overdue(current, listed)
    return _build_reconciliation(ledger, current, resend=resend, superseded=superseded)


def _check_base(ledger: ServerLedger, item: Item) -> None:
    if not item.base_key:
        return
    base = find_entry(ledger, item.base_key)
    if base is None or base.state is not LedgerEntryState.LOADED:
        detail = f"{item.key} needs {item.base_key} on {ledger.server}"
        raise OutdatedPlanError(detail=detail)


def _check_free_memory(
    ledger: ServerLedger,
    *,
    server: Server,
    item: Item,
    known: LedgerEntry | None,
    report: Report | None,
) -> None:
    reserved = get_reserved_mib(known) if known else 0
    occupied = measure_occupied_mib(ledger, report)
    capacity = measure_capacity_mib(server, report)
    extra = max(0, item.memory_mib - reserved)
    missing = occupied + extra - capacity
    if missing > 0:
        raise DoesNotFitError(
            detail=(
                f"{item.key} needs {extra} MiB on {ledger.server}, where {occupied}"
                f" of {capacity} MiB are taken: {missing} MiB too little"
            ),
            missing_mib=missing,
        )


def _advance_order_number(ledger: ServerLedger) -> ServerLedger:
    return _replace(ledger, next_order=ledger.next_order + 1)


def _is_present(entry: LedgerEntry) -> bool:
    return entry.state is not LedgerEntryState.ABSENT


def _matches_order(entry: LedgerEntry, order: Order) -> bool:
    kinds = {
        LedgerEntryState.LOADING: OrderKind.LOAD,
        LedgerEntryState.UNLOADING: OrderKind.UNLOAD,
    }
    return entry.number == order.number and kinds.get(entry.state) is order.kind


def _start_boot(ledger: ServerLedger, report: Report) -> ServerLedger:
    """Return the ledger for the report's boot; a restart empties the memory."""
    if report.boot_id == ledger.boot_id:
        return ledger
    past = ledger.past_boots
    if ledger.boot_id:
        past = (*past, ledger.boot_id)[-MAX_PAST_BOOTS:]
    return _replace(ledger, boot_id=report.boot_id, past_boots=past, entries=())


def _resend_overdue(
    ledger: ServerLedger, listed: dict[str, ReportedItem]
) -> tuple[ServerLedger, tuple[Order, ...]]:
    """Renumber orders without effect for :data:`RESEND_AFTER_REPORTS` reports.

    A new number lets a server that checks orders distinguish the new order from the old
    one, which it then refuses. On a server that does not check orders both may arrive;
    ``sends`` counts them.
    """
    orders: list[Order] = []
    for entry in ledger.entries:
        if not _is_overdue(entry, listed.get(entry.item), ledger.sequence):
            continue
        renewed = _replace(
            entry,
            number=ledger.next_order,
            fence=ledger.fence,
            since=ledger.sequence,
            sends=entry.sends + 1,
        )
        ledger = _advance_order_number(replace_entry(ledger, entry.item, renewed))
        orders.append(build_order(ledger, renewed))
    return ledger, tuple(orders)


def _is_overdue(entry: LedgerEntry, listed: ReportedItem | None, sequence: int) -> bool:
    if sequence < entry.since + RESEND_AFTER_REPORTS:
        return False
    if entry.state is LedgerEntryState.LOADING:
        return listed is None
    if entry.state is LedgerEntryState.UNLOADING:
        return listed is None or listed.state is ItemState.LOADED
    return False


def _build_reconciliation(
    before: ServerLedger,
    after: ServerLedger,
    *,
    resend: tuple[Order, ...],
    superseded: bool,
) -> Reconciliation:
    old = {entry.item: entry for entry in before.entries}
    new = {entry.item: entry for entry in after.entries}
    loaded = [key for key, entry in new.items() if _became_loaded(old.get(key), entry)]
    unloaded = [key for key in old if _became_absent(old[key], new.get(key))]
    corrected = [
        key
        for key in sorted(old.keys() | new.keys())
        if _is_unexpected(old.get(key), new.get(key))
    ]
    return Reconciliation(
        ledger=after,
        loaded=tuple(loaded),
        unloaded=tuple(unloaded),
        corrected=tuple(corrected),
        resend=resend,
        superseded=superseded,
        changed=_replace(before, sequence=after.sequence) != after,
    )


def _became_loaded(before: LedgerEntry | None, after: LedgerEntry) -> bool:
    was = before is not None and before.state is LedgerEntryState.LOADED
    return after.state is LedgerEntryState.LOADED and not was


def _became_absent(before: LedgerEntry, after: LedgerEntry | None) -> bool:
    return _is_present(before) and (after is None or not _is_present(after))


def _is_unexpected(before: LedgerEntry | None, after: LedgerEntry | None) -> bool:
    if before is None or not _is_present(before):
        return after is not None and _is_present(after)
    if after is None or not _is_present(after):
        return before.state is not LedgerEntryState.UNLOADING
    return after.memory_mib > before.memory_mib
