"""Load slots of the weight store, shared by all instances through rows of the table.

There are as many slots as concurrent loads that the store serves at full speed. A load
needs a slot. Its holder keeps the slot until the load has ended, and for at least
:func:`compute_min_hold_ms`. Two loads in one slot therefore start at least that long
apart, which limits the load rate of all instances together without synchronised clocks.
"""

from collections.abc import Collection, Mapping

import xxhash

from arbutuspulley.configuration.schema import WeightStore
from arbutuspulley.placement.records import (
    LedgerEntryState,
    ServerLedger,
    SlotRecord,
    find_entry,
)
from arbutuspulley.placement.transactions import SlotRow

MINUTE_MS = 60_000
"""Milliseconds in a minute."""

TURN_TIMEOUT_MS = 3_000
"""Time for which a free slot is reserved for the load whose turn it is."""


def compute_min_hold_ms(store: WeightStore) -> int:
    """Return the minimum time for which a slot is held, in milliseconds, rounded up."""
    return -(-store.loads_at_once * MINUTE_MS // store.loads_per_minute)


def choose_slot(
    slots: Mapping[int, SlotRow],
    *,
    rank: int,
    store: WeightStore,
    instance: str,
    sessions: Collection[str],
    ledgers: Mapping[str, ServerLedger],
    alive: Collection[str],
    now: int,
) -> SlotRow | None:
    """Choose the slot for a planned load if it is its turn.

    All instances rank the planned loads in the same way, and the load with rank ``n``
    takes the ``n``-th free slot, so that instances rarely compete for a slot. If the
    owner whose turn it is does not take a slot, other owners may take it after
    :data:`TURN_TIMEOUT_MS`.

    :param slots: slots by number, as this instance last read them; slots without a row
        are free.
    :param rank: position among all loads of the plan, including those of other owners.
    :param sessions: sessions that this instance does not consider expired.
    :param ledgers: ledgers of the servers that slots may refer to, by server.
    :param alive: servers that are reachable.
    :param now: time in milliseconds.
    :return: the slot, or ``None`` if the load has to wait.
    """
    free = [
        slot
        for slot in _list_slots(slots, store)
        if _is_free(
            slot, store=store, sessions=sessions, ledgers=ledgers, alive=alive, now=now
        )
    ]
    if rank < len(free):
        return free[rank]
    unclaimed = [slot for slot in free if now - slot.changed_at >= TURN_TIMEOUT_MS]
    if not unclaimed:
        return None
    return unclaimed[xxhash.xxh64_intdigest(instance.encode()) % len(unclaimed)]


def can_release(
    record: SlotRecord,
    *,
    ledger: ServerLedger | None,
    alive: bool,
    store: WeightStore,
    sent_at: int,
    now: int,
) -> bool:
    """Return whether the holder may release its slot.

    :param ledger: ledger of the server that the slot refers to.
    :param alive: whether that server is reachable.
    :param sent_at: time when the load order was sent, by the holder's clock.
    """
    if now - sent_at < compute_min_hold_ms(store):
        return False
    return not _is_loading(record, ledger=ledger, alive=alive)


def _list_slots(slots: Mapping[int, SlotRow], store: WeightStore) -> list[SlotRow]:
    numbers = range(store.loads_at_once)
    return [slots.get(number, SlotRow(number=number)) for number in numbers]


def _is_free(
    slot: SlotRow,
    *,
    store: WeightStore,
    sessions: Collection[str],
    ledgers: Mapping[str, ServerLedger],
    alive: Collection[str],
    now: int,
) -> bool:
    """Return whether a slot was released, or its holder expired and its load ended.

    The holder's minimum hold time may not have passed when its session expires, so the
    slot must also have been unchanged for that time.
    """
    record = slot.record
    if not record.session:
        return True
    if record.session in sessions:
        return False
    if now - slot.changed_at < compute_min_hold_ms(store):
        return False
    server = record.server
    return not _is_loading(record, ledger=ledgers.get(server), alive=server in alive)


def _is_loading(
    record: SlotRecord, *, ledger: ServerLedger | None, alive: bool
) -> bool:
    """Return whether a slot's load may still be reading from the weight store."""
    if ledger is None or not alive:
        return False
    entry = find_entry(ledger, record.item)
    return entry is not None and entry.state is LedgerEntryState.LOADING
