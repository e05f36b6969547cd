"""Carries out placement on the servers that this instance owns.

Always in the same sequence: decide, commit the decision to the ledger, check the
lease on the own clock, send. What a crash or a pause interrupts is found in the
ledger by whoever owns the server next.
"""

import asyncio
import logging
import uuid

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.controller.asking import transact
from arbutuspulley.controller.ledgers import (
    Ledgers,
    build_row,
    forget,
    get_copies,
    is_free,
    reconcile,
    wait_again,
)
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
"""Time between the intent of an unload and its order: by then every entry has been
told to stop sending requests for the item there."""


async def take_report(
    controller: Controller, work: Ledgers, state: ServerState
) -> None:
    """Take an owned server's newest report, or its silence, into the ledger."""
    server = list_servers(controller.force.configuration).get(state.name)
    if server is None or state.name in work.busy:
        return
    if not may_order(controller, state.name):
        forget(work, state.name)
        return
    work.busy.add(state.name)
    try:
        orders = await reconcile(controller, work, state, server)
        for order in orders:
            await _send(controller, work, state, order)
    except (PlatformUnavailableError, OutcomeUnknownError):
        forget(work, state.name)
    finally:
        work.busy.discard(state.name)


async def load(
    controller: Controller, work: Ledgers, action: Load, slot: SlotRow
) -> bool:
    """Commit the intent of a load and send the order.

    :return: whether the intent was committed.
    """
    name = action.server
    state = controller.servers.get(name)
    server = list_servers(controller.force.configuration).get(name)
    if state is None or server is None or not is_free(controller, work, name):
        return False
    try:
        current = ledgers.add_load_intent(
            work.current[name], server=server, item=action.item, report=state.report
        )
    except (DoesNotFitError, OutdatedPlanError) as error:
        log_event(Event.PLACEMENT_BLOCKED, level=logging.DEBUG, detail=error.detail)
        return False
    entry = find_entry(current, action.item.key)
    assert entry is not None
    transaction = build_load_intent(
        token=uuid.uuid4().hex,
        group=controller.settings.group,
        row=build_row(controller, work, current),
        slot=slot,
        holder=SlotRecord(
            session=controller.lease.session,
            server=name,
            item=action.item.key,
            number=entry.number,
        ),
    )
    order = ledgers.build_order(current, entry)
    done = await _intend(controller, work, state, current, transaction, order)
    if done:
        work.sent_at[name, entry.number] = controller.clock.now()
    return done


async def unload(
    controller: Controller,
    work: Ledgers,
    action: Unload,
    *,
    answering: frozenset[str],
) -> bool:
    """Commit the intent of an unload, wait for entries to follow, send the order.

    :param answering: servers that are alive and not leaving.
    :return: whether the intent was committed.
    """
    name = action.server
    state = controller.servers.get(name)
    if state is None or not is_free(controller, work, name):
        return False
    try:
        current = ledgers.add_unload_intent(work.current[name], item=action.item)
        transaction = build_unload_intent(
            token=uuid.uuid4().hex,
            group=controller.settings.group,
            row=build_row(controller, work, current),
            copies=get_copies(controller, action.item),
            answering=answering,
            min_copies=action.min_copies,
        )
    except (OutdatedPlanError, LastCopyError) as error:
        log_event(Event.PLACEMENT_BLOCKED, level=logging.DEBUG, detail=error.detail)
        return False
    entry = find_entry(current, action.item)
    assert entry is not None
    order = ledgers.build_order(current, entry)
    return await _intend(
        controller, work, state, current, transaction, order, wait_ms=UNLOAD_GRACE_MS
    )


async def _intend(
    controller: Controller,
    work: Ledgers,
    state: ServerState,
    ledger: ServerLedger,
    transaction: Transaction,
    order: Order,
    *,
    wait_ms: int = 0,
) -> bool:
    name = state.name
    work.busy.add(name)
    try:
        outcome = await transact(controller, transaction)
        if not isinstance(outcome, Committed):
            forget(work, name)
            return False
        work.current[name], work.revisions[name] = ledger, outcome.revision
        log_event(Event.INTENT_COMMITTED, server=name, item=order.item, kind=order.kind)
        if wait_ms:
            await asyncio.sleep(wait_ms / SECOND_MS)
            sequence = state.report.sequence if state.report else 0
            wait_again(work, name, order.item, sequence)
        await _send(controller, work, state, order)
        return True
    except (PlatformUnavailableError, OutcomeUnknownError):
        forget(work, name)
        return False
    finally:
        work.busy.discard(name)


async def _send(
    controller: Controller, work: Ledgers, state: ServerState, order: Order
) -> None:
    """Send one order if the lease still runs, and note what the server said.

    The check comes last before sending. A holder that was paused after its commit
    wakes with its lease over; its order would reach the server beside those of
    the next owner, who reads the intent in the ledger and sends it anew.
    """
    if not may_order(controller, state.name):
        log_event(
            Event.ORDER_REFUSED,
            level=logging.WARNING,
            server=state.name,
            item=order.item,
            detail="the lease has lapsed; the next owner sends it",
        )
        forget(work, state.name)
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
        _note_refused(work, state.name, order)
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
    _take_reply(work, state.name, order, reply)


async def _call(controller: Controller, state: ServerState, order: Order) -> OrderReply:
    loop = asyncio.get_running_loop()
    send = controller.engines.order
    with open_span("order", server=state.name, item=order.item, kind=order.kind):
        return await loop.run_in_executor(
            controller.pools.orders, lambda: send(state.address, order)
        )


def _take_reply(work: Ledgers, server: str, order: Order, reply: OrderReply) -> None:
    current = work.current.get(server)
    if reply.outcome is OrderOutcome.ACCEPTED:
        if current is not None:
            work.current[server] = ledgers.record_accepted(current, order)
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
        _note_refused(work, server, order)


def _note_refused(work: Ledgers, server: str, order: Order) -> None:
    current = work.current.get(server)
    if current is not None:
        work.current[server] = ledgers.record_refused(current, order)


def _count(controller: Controller, order: Order, outcome: str) -> None:
    controller.metrics.orders.labels(order.kind.value, outcome).inc()
