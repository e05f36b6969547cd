"""Placement transactions; each commits a decision before it is carried out.

Every transaction of a server's owner has the ownership row as a precondition, so that
an owner that has been replaced cannot commit. Commit the transactions through
:func:`arbutuspulley.ports.commit.commit`. After a conflict, read the rows again and
discard the current report: it may be older than the state that the other owner
committed.
"""

from collections.abc import Collection, Sequence

import msgspec

from arbutuspulley.data import Value
from arbutuspulley.placement.records import (
    CopiesRecord,
    ServerLedger,
    SlotRecord,
    build_copies_key,
    build_ledger_key,
    build_slot_key,
    encode,
    find_entry,
    is_reliable,
)
from arbutuspulley.ports.platform import Precondition, Transaction, Write
from arbutuspulley.results import ArbutusError, Code


class LastCopyError(ArbutusError):
    """The item must not be unloaded because too few other copies are ready."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.MODEL_NOT_LOADED, detail=detail)


class LedgerRow(Value, frozen=True):
    """A ledger to write, with its preconditions.

    :param revision: revision of the row that the ledger was derived from.
    :param owner: the server's ownership row as the owner last wrote it.
    """

    ledger: ServerLedger
    revision: int
    owner: Precondition


class CopiesRow(Value, frozen=True):
    """A row of ready copies as it was read; revision 0 if there is no row."""

    record: CopiesRecord
    revision: int


class SlotRow(Value, frozen=True):
    """One slot of the weight store as it was read; revision 0 if there is no row.

    :param changed_at: time when its reader first saw this revision, by the reader's
        clock.
    """

    number: int
    record: SlotRecord = SlotRecord()
    revision: int = 0
    changed_at: int = 0


def build_load_intent(
    *, token: str, group: str, row: LedgerRow, slot: SlotRow, holder: SlotRecord
) -> Transaction:
    """Build a transaction that takes a load slot and commits a load intent.

    :param row: the ledger that :func:`.ledger.add_load_intent` returned.
    :param slot: the free slot as it was read.
    :param holder: new value of the slot.
    """
    return _build(
        token=token,
        group=group,
        row=row,
        preconditions=(_expect_slot(group, slot),),
        writes=(_write_slot(group, slot.number, holder),),
    )


def build_unload_intent(
    *,
    token: str,
    group: str,
    row: LedgerRow,
    copies: CopiesRow,
    usable: Collection[str],
    min_copies: int = 1,
    successor: CopiesRow | None = None,
) -> Transaction:
    """Build a transaction that commits an unload intent and updates the copies.

    The server is removed from the row of copies, which is both a precondition and a
    write. Two owners that would each unload one of the last two copies depend on the
    same revision of the row, so only one of them can commit; the other reads the row
    again and finds that it has the last copy.

    :param row: the ledger that :func:`.ledger.add_unload_intent` returned.
    :param usable: servers known to be alive and not leaving; copies on other servers
        do not count.
    :param min_copies: copies that must remain; 0 for an item that no site configures or
        that has a successor.
    :param successor: copies of the version that replaces the item; one must be ready.
    :raises LastCopyError: if fewer would remain, or the successor is not ready.
    """
    server = row.ledger.server
    others = [name for name in copies.record.servers if name != server]
    remaining = [name for name in others if name in usable]
    if len(remaining) < min_copies:
        raise LastCopyError(
            detail=f"{copies.record.item} would have only {len(remaining)} ready copies"
        )
    relied_on = [copies]
    if successor is not None:
        relied_on.append(successor)
        if not set(successor.record.servers) & set(usable):
            raise LastCopyError(detail=f"{successor.record.item} is not ready yet")
    record = CopiesRecord(item=copies.record.item, servers=tuple(others))
    return _build(
        token=token,
        group=group,
        row=row,
        preconditions=tuple(_expect_copies(group, known) for known in relied_on),
        writes=(_write_copies(group, record),),
    )


def build_confirmation(
    *,
    token: str,
    group: str,
    row: LedgerRow,
    copies: Sequence[CopiesRow] = (),
    alive: bool = True,
) -> Transaction:
    """Build a transaction for a reconciled or taken-over ledger and changed copies.

    :param copies: rows of items that were loaded, unloaded or corrected; also all rows
        that list the server if it died or recovered.
    :param alive: whether the server is reachable; if not, it is removed from all rows.
    """
    changed = [
        (known, record)
        for known in copies
        if (record := update_copies(known.record, ledger=row.ledger, alive=alive))
        != known.record
    ]
    return _build(
        token=token,
        group=group,
        row=row,
        preconditions=tuple(_expect_copies(group, known) for known, _ in changed),
        writes=tuple(_write_copies(group, record) for _, record in changed),
    )


def build_slot_release(*, token: str, group: str, slot: SlotRow) -> Transaction:
    """Build a transaction that releases a slot."""
    return Transaction(
        token=token,
        preconditions=(_expect_slot(group, slot),),
        writes=(_write_slot(group, slot.number, SlotRecord()),),
    )


def update_copies(
    record: CopiesRecord, *, ledger: ServerLedger, alive: bool = True
) -> CopiesRecord:
    """Return an item's copies, updated from one server's ledger.

    A copy that a late unload order may still remove is not counted, so that no other
    copy is ever unloaded in reliance on it.
    """
    entry = find_entry(ledger, record.item)
    others = {name for name in record.servers if name != ledger.server}
    if alive and entry is not None and is_reliable(entry):
        others.add(ledger.server)
    return msgspec.structs.replace(record, servers=tuple(sorted(others)))


def _build(
    *,
    token: str,
    group: str,
    row: LedgerRow,
    preconditions: tuple[Precondition, ...],
    writes: tuple[Write, ...],
) -> Transaction:
    key = build_ledger_key(group, row.ledger.server)
    own = (Precondition(key=key, revision=row.revision), row.owner)
    return Transaction(
        token=token,
        preconditions=own + preconditions,
        writes=(Write(key=key, value=encode(row.ledger)), *writes),
    )


def _expect_copies(group: str, copies: CopiesRow) -> Precondition:
    key = build_copies_key(group, copies.record.item)
    return Precondition(key=key, revision=copies.revision)


def _write_copies(group: str, record: CopiesRecord) -> Write:
    return Write(key=build_copies_key(group, record.item), value=encode(record))


def _expect_slot(group: str, slot: SlotRow) -> Precondition:
    return Precondition(key=build_slot_key(group, slot.number), revision=slot.revision)


def _write_slot(group: str, number: int, record: SlotRecord) -> Write:
    return Write(key=build_slot_key(group, number), value=encode(record))
