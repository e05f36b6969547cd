"""Transactions of placement: each commits a decision before it is acted upon.

Every transaction of a server's owner carries the ownership row as a precondition, so
an owner that has been replaced cannot commit anything. Commit them through
:func:`arbutuspulley.ports.commit.commit`. After a conflict, read the rows again and
drop the report at hand: it may be older than what the other owner has committed.
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
    """Too few other copies answer: the item must not be unloaded."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.MODEL_NOT_LOADED, detail=detail)


class LedgerRow(Value, frozen=True):
    """A ledger to write, with what must still hold for it.

    :param revision: revision of the row that the ledger was derived from.
    :param owner: the server's ownership row as the owner last wrote it.
    """

    ledger: ServerLedger
    revision: int
    owner: Precondition


class CopiesRow(Value, frozen=True):
    """A row of answering copies as it was read; revision 0 if there is none."""

    record: CopiesRecord
    revision: int


class SlotRow(Value, frozen=True):
    """One slot of the weight store as it was read; revision 0 if there is no row.

    :param changed_at: when its reader first saw this revision, on the reader's clock.
    """

    number: int
    record: SlotRecord = SlotRecord()
    revision: int = 0
    changed_at: int = 0


def build_load_intent(
    *, token: str, group: str, row: LedgerRow, slot: SlotRow, holder: SlotRecord
) -> Transaction:
    """Take a slot of the weight store and commit the intent of a load together.

    :param row: the ledger that :func:`.ledger.add_load_intent` returned.
    :param slot: the free slot as it was read.
    :param holder: what the slot will hold.
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
    answering: Collection[str],
    min_copies: int = 1,
    successor: CopiesRow | None = None,
) -> Transaction:
    """Commit the intent of an unload, and take the server out of the copies.

    The row of copies is a precondition and a write. Two owners that would each unload
    one of the last two copies both depend on the same revision of it, so only one can
    commit; the other reads again and finds itself the last.

    :param row: the ledger that :func:`.ledger.add_unload_intent` returned.
    :param answering: servers known to be alive and not leaving; a copy elsewhere does
        not count.
    :param min_copies: copies that must be left; 0 for an item that no site configures,
        or that has a successor.
    :param successor: copies of the version that replaces the item; one must answer.
    :raises LastCopyError: if fewer would be left, or the successor does not answer.
    """
    server = row.ledger.server
    others = [name for name in copies.record.servers if name != server]
    left = [name for name in others if name in answering]
    if len(left) < min_copies:
        raise LastCopyError(
            detail=f"{copies.record.item} would be left with {len(left)} copies"
        )
    relied_on = [copies]
    if successor is not None:
        relied_on.append(successor)
        if not set(successor.record.servers) & set(answering):
            raise LastCopyError(detail=f"{successor.record.item} does not answer yet")
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
    """Commit a reconciled or taken-over ledger with the copies that it changes.

    :param copies: rows of items that were loaded, unloaded or corrected; also all rows
        that name the server, when it died or came back.
    :param alive: whether the server answers; if not, it is taken out of all of them.
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
    """Free a slot that its holder no longer needs."""
    return Transaction(
        token=token,
        preconditions=(_expect_slot(group, slot),),
        writes=(_write_slot(group, slot.number, SlotRecord()),),
    )


def update_copies(
    record: CopiesRecord, *, ledger: ServerLedger, alive: bool = True
) -> CopiesRecord:
    """Return an item's copies as they are by one server's ledger.

    A copy that a late unload order may still take away is not counted, so no other
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
