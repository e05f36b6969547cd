"""Records that placement stores in the table, and their encoding."""

import enum
from typing import TypeVar

import msgspec

from arbutuspulley.data import Value
from arbutuspulley.decoding import decode_json

_Record = TypeVar("_Record", bound=Value)


class LedgerEntryState(enum.StrEnum):
    """State of an item on a server, as the ledger records it.

    ``ABSENT``: the item is proven to be unloaded, but an order that was sent earlier
    may still arrive at a server that does not check orders.
    """

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"
    ABSENT = "absent"


class LedgerEntry(Value, frozen=True, omit_defaults=True):
    """One item that occupies, or may still occupy, a server's memory.

    :param base: for an adapter, the key of the model that it extends.
    :param number: number of the latest order for this item.
    :param fence: fencing token that the latest order carries.
    :param boot_id: boot of the engine to which the latest order is addressed.
    :param since: report sequence at which the latest order was committed.
    :param sends: committed orders of the current kind, load or unload.
    :param accepted: how many of ``sends`` the server is known to have accepted.
    :param seen: whether a report has listed the item.
    :param late_loads: earlier load orders that may still arrive.
    :param late_unloads: earlier unload orders that may still arrive.
    """

    item: str
    memory_mib: int
    state: LedgerEntryState
    number: int
    base: str = ""
    fence: int = 0
    boot_id: str = ""
    since: int = 0
    sends: int = 0
    accepted: int = 0
    seen: bool = False
    late_loads: int = 0
    late_unloads: int = 0


class ServerLedger(Value, frozen=True, omit_defaults=True):
    """Memory ledger of one server: all items that occupy its memory.

    :param fence: fencing token of the owner that wrote it; it never decreases.
    :param next_order: number for the next order, across owners.
    :param boot_id: the engine's latest known boot; empty before the first report.
    :param sequence: sequence number of the newest report of that boot that was
        applied.
    :param past_boots: earlier boots; their reports are ignored.
    """

    server: str
    fence: int = 0
    next_order: int = 1
    boot_id: str = ""
    sequence: int = 0
    past_boots: tuple[str, ...] = ()
    entries: tuple[LedgerEntry, ...] = ()


class CopiesRecord(Value, frozen=True):
    """The servers that have a ready copy of an item, sorted by name."""

    item: str
    servers: tuple[str, ...] = ()


class SlotRecord(Value, frozen=True):
    """One load slot of the weight store; free if ``session`` is empty.

    :param session: session of the instance that holds the slot.
    :param number: number of the load order for which it was taken.
    """

    session: str = ""
    server: str = ""
    item: str = ""
    number: int = 0


def build_ledger_key(group: str, server: str) -> str:
    """Return the key of a server's ledger row."""
    return f"{group}/ledger/{server}"


def build_copies_key(group: str, item: str) -> str:
    """Return the key of the row that lists an item's ready copies."""
    return f"{group}/copies/{item}"


def build_slot_key(group: str, number: int) -> str:
    """Return the key of one load slot of the weight store, counted from 0."""
    return f"{group}/load-slot/{number}"


def encode(record: Value) -> bytes:
    """Encode a record for the table."""
    return msgspec.json.encode(record)


def decode(value: bytes, kind: type[_Record]) -> _Record:
    """Decode a record from the table.

    :raises UndecodableError: if the row does not hold such a record.
    """
    return decode_json(value, kind)


def find_entry(ledger: ServerLedger, item: str) -> LedgerEntry | None:
    """Return the entry of an item, or ``None``."""
    for entry in ledger.entries:
        if entry.item == item:
            return entry
    return None


def replace_entry(
    ledger: ServerLedger, item: str, entry: LedgerEntry | None
) -> ServerLedger:
    """Return the ledger with an item's entry set, or removed if ``None``."""
    kept = [known for known in ledger.entries if known.item != item]
    if entry is not None:
        kept.append(entry)
    kept.sort(key=lambda known: known.item)
    return msgspec.structs.replace(ledger, entries=tuple(kept))


def is_reliable(entry: LedgerEntry) -> bool:
    """Return whether a copy is loaded and no order in flight can unload it."""
    return entry.state is LedgerEntryState.LOADED and entry.late_unloads == 0
