"""Memory of the engine stand-in: loaded items, and load and unload orders.

An engine that checks orders rejects stale fencing tokens and stale order numbers. An
engine that doesn't applies every order, in order of arrival.
"""

import enum
from collections.abc import Container

import msgspec

from arbutuspulley.data import Message, State
from arbutuspulley.ports.engines import (
    ItemState,
    Order,
    OrderKind,
    OrderOutcome,
    OrderReply,
    ReportedItem,
)

MAX_RECORDED_ORDERS = 10_000
"""Maximum number of orders kept for the counters."""


class OnOvercommit(enum.StrEnum):
    """How an engine reacts to a load that exceeds its memory.

    ``REFUSE`` refuses the order, ``DIE`` crashes the engine, ``FLAG`` only counts it.
    """

    REFUSE = "refuse"
    DIE = "die"
    FLAG = "flag"


class HeldItem(State):
    """One item that occupies memory.

    :param number: number of the last order for the item.
    :param base: model that the adapter extends; empty for a model.
    :param ready_at: time in ms at which the load ends; ``None`` until the weight
        store has admitted it.
    """

    item: str
    memory_mib: int
    number: int
    base: str
    state: ItemState = ItemState.LOADING
    ready_at: int | None = None


class RecordedOrder(Message, frozen=True, omit_defaults=False):
    """An order that was applied or refused, as shown in the counters."""

    kind: OrderKind
    item: str
    fence: int
    number: int
    outcome: OrderOutcome
    detail: str = ""


class MemoryState(State):
    """Loaded items, the last order and counters.

    :param fence: highest fencing token seen, if orders are checked.
    :param last_order: highest order number that was not stale.
    :param last_applied: last order that was not stale.
    :param recorded_orders: the latest orders, for the counters.
    :param peak_mib: peak memory use.
    :param overcommitted: load orders that would have exceeded the memory.
    :param died: whether one of these orders crashed the engine.
    :param loads: number of loads that were started.
    :param unloads: number of items that were unloaded.
    """

    total_mib: int
    checks_orders: bool
    on_overcommit: OnOvercommit = OnOvercommit.REFUSE
    held: dict[str, HeldItem] = msgspec.field(default_factory=dict)
    fence: int = 0
    last_order: int = 0
    last_applied: Order | None = None
    recorded_orders: list[RecordedOrder] = msgspec.field(default_factory=list)
    peak_mib: int = 0
    overcommitted: int = 0
    died: bool = False
    loads: int = 0
    unloads: int = 0


def apply_order(memory: MemoryState, order: Order) -> OrderReply:
    """Check and apply an order, and record it for the counters."""
    reply = _check_order(memory, order) or _apply(memory, order)
    if reply.outcome is not OrderOutcome.STALE:
        memory.last_order = max(memory.last_order, order.number)
        memory.last_applied = order
    if memory.checks_orders:
        memory.fence = max(memory.fence, order.fence)
    memory.recorded_orders.append(
        RecordedOrder(
            kind=order.kind,
            item=order.item,
            fence=order.fence,
            number=order.number,
            outcome=reply.outcome,
            detail=reply.detail,
        )
    )
    del memory.recorded_orders[:-MAX_RECORDED_ORDERS]
    return reply


def list_waiting_loads(memory: MemoryState) -> tuple[HeldItem, ...]:
    """Return the loads that the weight store has not admitted yet."""
    return tuple(
        held
        for held in memory.held.values()
        if held.state is ItemState.LOADING and held.ready_at is None
    )


def begin_load(
    memory: MemoryState, *, item: str, number: int, now: int, duration_ms: int
) -> None:
    """Start a load that the weight store admitted.

    Does nothing if the item was unloaded or ordered again since, or if its load has
    started already.
    """
    held = memory.held.get(item)
    if held is None or held.number != number or held.ready_at is not None:
        return
    held.ready_at = now + duration_ms


def finish_transitions(
    memory: MemoryState, *, in_use: Container[str], now: int
) -> tuple[str, ...]:
    """Finish loads that are due, and unloads of items that no run uses.

    :param in_use: items of the runs in flight.
    :return: items that were unloaded.
    """
    dropped = []
    for held in list(memory.held.values()):
        if _is_load_due(held, now):
            held.state = ItemState.LOADED
        if held.state is ItemState.UNLOADING and held.item not in in_use:
            del memory.held[held.item]
            memory.unloads += 1
            dropped.append(held.item)
    return tuple(dropped)


def is_loaded(memory: MemoryState, item: str) -> bool:
    """Return whether an item is loaded and can serve requests."""
    held = memory.held.get(item)
    return held is not None and held.state is ItemState.LOADED


def sum_memory(memory: MemoryState) -> int:
    """Return the memory in use, in MiB."""
    return sum(held.memory_mib for held in memory.held.values())


def list_items(memory: MemoryState) -> tuple[ReportedItem, ...]:
    """Return the items in memory, as sent in reports."""
    return tuple(
        ReportedItem(
            item=held.item,
            state=held.state,
            memory_mib=held.memory_mib,
            number=held.number,
        )
        for held in memory.held.values()
    )


def _check_order(memory: MemoryState, order: Order) -> OrderReply | None:
    """Reject a stale order or accept a duplicate, if orders are checked.

    :return: the reply, or ``None`` if the order is to be applied.
    """
    if not memory.checks_orders:
        return None
    if order.fence < memory.fence:
        return _stale(f"fence {order.fence} is older than {memory.fence}")
    if order == memory.last_applied:
        return _accept("already applied")
    if order.number <= memory.last_order:
        return _stale(f"number {order.number} is not above {memory.last_order}")
    return None


def _apply(memory: MemoryState, order: Order) -> OrderReply:
    if order.kind is OrderKind.UNLOAD:
        return _unload(memory, order)
    return _load(memory, order)


def _load(memory: MemoryState, order: Order) -> OrderReply:
    held = memory.held.get(order.item)
    if held is not None and held.state is ItemState.UNLOADING:
        return _refuse("the item is being unloaded")
    if held is not None:
        held.number = max(held.number, order.number)
        return _accept("already there")
    if order.base and not is_loaded(memory, order.base):
        return _refuse("the model that the adapter extends is not loaded")
    needed = sum_memory(memory) + order.memory_mib
    if needed > memory.total_mib:
        memory.overcommitted += 1
        memory.died = memory.on_overcommit is OnOvercommit.DIE
        if memory.on_overcommit is OnOvercommit.REFUSE:
            return _refuse(f"{needed} MiB needed of {memory.total_mib}")
    memory.held[order.item] = HeldItem(
        item=order.item,
        memory_mib=order.memory_mib,
        number=order.number,
        base=order.base,
    )
    memory.loads += 1
    memory.peak_mib = max(memory.peak_mib, needed)
    return _accept()


def _unload(memory: MemoryState, order: Order) -> OrderReply:
    if any(held.base == order.item for held in memory.held.values()):
        return _refuse("adapters that extend the model are loaded")
    held = memory.held.get(order.item)
    if held is None:
        return _accept("not there")
    held.state = ItemState.UNLOADING
    held.number = order.number
    return _accept()


def _is_load_due(held: HeldItem, now: int) -> bool:
    loading = held.state is ItemState.LOADING
    return loading and held.ready_at is not None and held.ready_at <= now


def _accept(detail: str = "") -> OrderReply:
    return OrderReply(outcome=OrderOutcome.ACCEPTED, detail=detail)


def _refuse(detail: str) -> OrderReply:
    return OrderReply(outcome=OrderOutcome.REFUSED, detail=detail)


def _stale(detail: str) -> OrderReply:
    return OrderReply(outcome=OrderOutcome.STALE, detail=detail)
