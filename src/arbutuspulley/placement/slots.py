"""The weight store's queue, shared through rows of the table.

There are as many slots as loads that the store serves at full speed. A load needs a
slot; its holder keeps it until the load has ended and for
:func:`compute_min_hold_ms` at least. Two loads on one slot therefore begin at least
that long apart, which bounds the rate of all instances together without synchronised
clocks.
"""

from collections.abc import Collection, Mapping

import xxhash

from arbutuspulley.configuration.schema import WeightStore
from arbutuspulley.placement.records import (
    EntryState,
    ServerLedger,
    SlotRecord,
    find_entry,
)
from arbutuspulley.placement.transactions import SlotRow

MINUTE_MS = 60_000
"""Milliseconds in a minute."""

TURN_TIMEOUT_MS = 3_000
"""How long a free slot is left to the load whose turn it is."""


def compute_min_hold_ms(store: WeightStore) -> int:
    """Return how long a slot is kept at least, in milliseconds, rounded up."""
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
    """Choose the slot for a planned load, if it is its turn.

    All instances rank the planned loads alike, and the load of rank ``n`` takes the
    ``n``-th free slot, so that instances rarely want the same one. If the owner whose
    turn it is does not act, others take the slot after :data:`TURN_TIMEOUT_MS`.

    :param slots: the slots as this instance last read them, by number; slots without
        a row are free.
    :param rank: position among all loads of the plan, other owners' included.
    :param sessions: sessions that this instance does not hold for lapsed.
    :param ledgers: the ledgers of the servers that slots may name.
    :param alive: servers that answer.
    :return: the slot, or ``None`` to wait.
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
    """Tell whether the holder may free its slot.

    :param ledger: the ledger of the server that the slot names.
    :param alive: whether that server answers.
    :param sent_at: when the load order was sent, on the holder's clock.
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
    """Tell whether a slot was released, or its holder lapsed and its load ended.

    The holder's own minimum may not be over when it lapses, so the slot must also have
    been seen unchanged for that long.
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
    """Tell whether a slot's load may still draw on the weight store."""
    if ledger is None or not alive:
        return False
    entry = find_entry(ledger, record.item)
    return entry is not None and entry.state is EntryState.LOADING
