"""Table rows of one group as last read; scans from a revision keep them current."""

from collections.abc import Iterable

import msgspec

from arbutuspulley.data import State, Value
from arbutuspulley.membership import records as membership
from arbutuspulley.membership.observation import SessionRow
from arbutuspulley.membership.ownership import OwnerRow
from arbutuspulley.placement import records as placement
from arbutuspulley.placement.records import CopiesRecord, ServerLedger, SlotRecord
from arbutuspulley.placement.transactions import CopiesRow, SlotRow
from arbutuspulley.ports.platform import Row, Transaction


class StoredLedger(Value, frozen=True):
    """A server's ledger as last read from its row."""

    ledger: ServerLedger
    revision: int


class GroupRows(State):
    """Table rows of a group, as last read.

    :param revision: revision after which the next scan starts.
    :param table_id: identifies the table's history; empty before the first scan.
    :param placement_changes: number of changes of ledgers, copies and slots.
    :param revisions: newest known revision of each key, including deletions.
    :param fences: highest fencing token ever seen for each server. It is kept when the
        table is restored, as the restored numbers may be lower than those that the
        servers have seen.
    """

    group: str
    revision: int = 0
    table_id: str = ""
    placement_changes: int = 0
    revisions: dict[str, int] = {}
    owners: dict[str, OwnerRow] = {}
    ledgers: dict[str, StoredLedger] = {}
    copies: dict[str, CopiesRow] = {}
    slots: dict[int, SlotRow] = {}
    fences: dict[str, int] = {}


_PLACEMENT_KINDS = frozenset({"ledger", "copies", "load-slot"})


def apply_rows(
    rows: GroupRows, changed: Iterable[Row], *, now: int
) -> tuple[SessionRow, ...]:
    """Apply rows from a scan or from an own transaction, each only if it is newer.

    :return: the session rows among the applied ones, for membership observation.
    """
    sessions: list[SessionRow] = []
    for row in changed:
        if row.revision <= rows.revisions.get(row.key, 0):
            continue
        rows.revisions[row.key] = row.revision
        kind, _, name = row.key.removeprefix(f"{rows.group}/").partition("/")
        rows.placement_changes += kind in _PLACEMENT_KINDS
        if kind == "session":
            sessions.append(_read_session(row, name))
        elif kind == "owner" and not row.deleted:
            _apply_owner(rows, row)
        elif kind == "ledger" and not row.deleted:
            ledger = placement.decode(row.value, ServerLedger)
            rows.ledgers[name] = StoredLedger(ledger=ledger, revision=row.revision)
        elif kind == "copies" and not row.deleted:
            record = placement.decode(row.value, CopiesRecord)
            rows.copies[name] = CopiesRow(record=record, revision=row.revision)
        elif kind == "load-slot":
            _apply_slot(rows, row, int(name), now=now)
    return tuple(sessions)


def list_written(transaction: Transaction, *, revision: int) -> tuple[Row, ...]:
    """Return the rows as a committed transaction has written them."""
    return tuple(
        Row(
            key=write.key,
            value=write.value or b"",
            revision=revision,
            token=transaction.token,
            deleted=write.value is None,
        )
        for write in transaction.writes
    )


def reset_rows(rows: GroupRows) -> None:
    """Discard all rows after the table was restored from a backup; keep the fences."""
    rows.revision = 0
    rows.revisions = {}
    rows.owners = {}
    rows.ledgers = {}
    rows.copies = {}
    rows.slots = {}


def record_fence(rows: GroupRows, server: str, fence: int) -> None:
    """Record a fencing token of a server if it is the highest so far."""
    rows.fences[server] = max(fence, rows.fences.get(server, 0))


def _read_session(row: Row, instance: str) -> SessionRow:
    record = None if row.deleted else _decode_session(row.value)
    return SessionRow(instance=instance, revision=row.revision, record=record)


def _decode_session(value: bytes) -> membership.SessionRecord | None:
    try:
        return membership.decode_session(value)
    except msgspec.MsgspecError:
        return None


def _apply_owner(rows: GroupRows, row: Row) -> None:
    record = membership.decode_owner(row.value)
    rows.owners[record.server] = OwnerRow(record=record, revision=row.revision)
    record_fence(rows, record.server, record.fence)


def _apply_slot(rows: GroupRows, row: Row, number: int, *, now: int) -> None:
    record = SlotRecord() if row.deleted else placement.decode(row.value, SlotRecord)
    rows.slots[number] = SlotRow(
        number=number, record=record, revision=row.revision, changed_at=now
    )
