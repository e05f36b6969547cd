"""Executes loads and unloads on the servers that this instance owns.

The sequence is always the same: decide, commit the intent to the ledger, check the
lease by the local clock, send the order. If a crash or a pause interrupts it, the next
owner of the server finds the intent in the ledger.
"""

import asyncio
import logging
import uuid

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.controller.ledgers import (
    WorkingLedgers,
    build_row,
    can_begin_step,
    discard,
    get_copies,
    reconcile,
    restart_effect_wait,
)
from arbutuspulley.controller.platform_calls import transact
from arbutuspulley.controller.reports import ServerState
from arbutuspulley.controller.sessions import may_order
from arbutuspulley.controller.state import Controller
from arbutuspulley.events import Event, log_event
from arbutuspulley.placement import ledger as ledgers
from arbutuspulley.placement.actions import Load, Unload
from arbutuspulley.placement.ledger import (
    DoesNotFitError,
    OutdatedPlanError,
)
from arbutuspulley.placement.records import (
    ServerLedger,
    SlotRecord,
    find_entry,
)
from arbutuspulley.placement.transactions import (
    LastCopyError,
    SlotRow,
    build_load_intent,
    build_unload_intent,
)
from arbutuspulley.ports.engines import (
    BrokenError,
    NotSentError,
    Order,
    OrderOutcome,
    OrderReply,
)
from arbutuspulley.ports.platform import Committed, Transaction
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.tracing import open_span

UNLOAD_GRACE_MS = 3 * SECOND_MS
"""Time between the intent of an unload and its order, by which every entry has a view
without the item on that server and sends no more requests for it there."""


async def apply_report(
    controller: Controller, working: WorkingLedgers, state: ServerState
) -> None:
    """Reconcile the ledger of an owned server with its newest report, or its absence.

    Orders that the reconciliation returns are sent again.
    """
    server = list_servers(controller.activation.configuration).get(state.name)
    if server is None or state.name in working.busy:
        return
    if not may_order(controller, state.name):
        discard(working, state.name)
        return
    working.busy.add(state.name)
    try:
        orders = await reconcile(controller, working, state, server)
        for order in orders:
            await _send(controller, working, state, order)
    except (PlatformUnavailableError, OutcomeUnknownError):
        discard(working, state.name)
    finally:
        working.busy.discard(state.name)


async def load(
    controller: Controller, working: WorkingLedgers, action: Load, slot: SlotRow
) -> bool:
    """Commit the intent of a load and send the order.

    :return: whether the intent was committed.
    """
    name = action.server
    state = controller.servers.get(name)
    server = list_servers(controller.activation.configuration).get(name)
    if state is None or server is None or not can_begin_step(controller, working, name):
        return False
    try:
        current = ledgers.add_load_intent(
            working.current[name], server=server, item=action.item, report=state.report
        )
    except (DoesNotFitError, OutdatedPlanError) as error:
        log_event(Event.PLACEMENT_BLOCKED, level=logging.DEBUG, detail=error.detail)
        return False
    entry = find_entry(current, action.item.key)
    assert entry is not None
    transaction = build_load_intent(
        token=uuid.uuid4().hex,
        group=controller.settings.group,
        row=build_row(controller, working, current),
        slot=slot,
        holder=SlotRecord(
            session=controller.lease.session,
            server=name,
            item=action.item.key,
            number=entry.number,
        ),
    )
    order = ledgers.build_order(current, entry)
    committed = await _commit_and_send(
        controller, working, state, current, transaction, order
    )
    if committed:
        working.sent_at[name, entry.number] = controller.clock.now()
    return committed


async def unload(
    controller: Controller,
    working: WorkingLedgers,
    action: Unload,
    *,
    usable: frozenset[str],
) -> bool:
    """Commit the intent of an unload, and send its order once views omit the copy.

    :param usable: servers that are alive and not leaving.
    :return: whether the intent was committed.
    """
    name = action.server
    state = controller.servers.get(name)
    if state is None or not can_begin_step(controller, working, name):
        return False
    try:
        current = ledgers.add_unload_intent(working.current[name], item=action.item)
        transaction = build_unload_intent(
            token=uuid.uuid4().hex,
            group=controller.settings.group,
            row=build_row(controller, working, current),
            copies=get_copies(controller, action.item),
            usable=usable,
            min_copies=action.min_copies,
        )
    except (OutdatedPlanError, LastCopyError) as error:
        log_event(Event.PLACEMENT_BLOCKED, level=logging.DEBUG, detail=error.detail)
        return False
    entry = find_entry(current, action.item)
    assert entry is not None
    order = ledgers.build_order(current, entry)
    return await _commit_and_send(
        controller,
        working,
        state,
        current,
        transaction,
        order,
        delay_ms=UNLOAD_GRACE_MS,
    )


async def _commit_and_send(
    controller: Controller,
    working: WorkingLedgers,
    state: ServerState,
    ledger: ServerLedger,
    transaction: Transaction,
    order: Order,
    *,
    delay_ms: int = 0,
) -> bool:
    name = state.name
    working.busy.add(name)
    try:
        outcome = await transact(controller, transaction)
        if not isinstance(outcome, Committed):
            discard(working, name)
            return False
        working.current[name], working.revisions[name] = ledger, outcome.revision
        log_event(Event.INTENT_COMMITTED, server=name, item=order.item, kind=order.kind)
        if delay_ms:
            await asyncio.sleep(delay_ms / SECOND_MS)
            sequence = state.report.sequence if state.report else 0
            restart_effect_wait(working, name, order.item, sequence)
        await _send(controller, working, state, order)
        return True
    except (PlatformUnavailableError, OutcomeUnknownError):
        discard(working, name)
        return False
    finally:
        working.busy.discard(name)


async def _send(
    controller: Controller, working: WorkingLedgers, state: ServerState, order: Order
) -> None:
    """Send one order if the lease is still valid, and apply the server's reply.

    The lease is checked immediately before sending. An owner that was paused after its
    commit resumes with an expired lease; its order would reach the server in addition
    to that of the next owner, who reads the intent in the ledger and sends it again.
    """
    if not may_order(controller, state.name):
        log_event(
            Event.ORDER_REFUSED,
            level=logging.WARNING,
            server=state.name,
            item=order.item,
            detail="the lease has expired; the next owner sends the order",
        )
        discard(working, state.name)
        return
    log_event(
        Event.ORDER_SENT,
        server=state.name,
        item=order.item,
        kind=order.kind,
        fence=order.fence,
        number=order.number,
    )
    try:
        reply = await _call(controller, state, order)
    except NotSentError:
        _record_refused(working, state.name, order)
        _count(controller, order, "not_sent")
        return
    except BrokenError as error:
        _count(controller, order, "unknown")
        log_event(
            Event.ORDER_UNKNOWN,
            level=logging.WARNING,
            server=state.name,
            item=order.item,
            detail=error.detail,
        )
        return
    _count(controller, order, reply.outcome.value)
    _apply_reply(working, state.name, order, reply)


async def _call(controller: Controller, state: ServerState, order: Order) -> OrderReply:
    loop = asyncio.get_running_loop()
    send = controller.engines.order
    with open_span("order", server=state.name, item=order.item, kind=order.kind):
        return await loop.run_in_executor(
            controller.pools.orders, lambda: send(state.address, order)
        )


def _apply_reply(
    working: WorkingLedgers, server: str, order: Order, reply: OrderReply
) -> None:
    current = working.current.get(server)
    if reply.outcome is OrderOutcome.ACCEPTED:
        if current is not None:
            working.current[server] = ledgers.record_accepted(current, order)
        return
    log_event(
        Event.ORDER_REFUSED,
        level=logging.WARNING,
        server=server,
        item=order.item,
        outcome=reply.outcome,
        detail=reply.detail,
    )
    if reply.outcome is OrderOutcome.REFUSED:
        _record_refused(working, server, order)


def _record_refused(working: WorkingLedgers, server: str, order: Order) -> None:
    current = working.current.get(server)
    if current is not None:
        working.current[server] = ledgers.record_refused(current, order)


def _count(controller: Controller, order: Order, outcome: str) -> None:
    controller.metrics.orders.labels(order.kind.value, outcome).inc()
