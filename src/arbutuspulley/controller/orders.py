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
from arbutuspulley.configuration.schema import Server
from arbutuspulley.controller.asking import transact
from arbutuspulley.controller.reports import ServerState, is_alive
from arbutuspulley.controller.sessions import may_order
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.records import build_owner_key
from arbutuspulley.placement import ledger as ledgers
from arbutuspulley.placement.actions import Load, Unload
from arbutuspulley.placement.ledger import (
    DoesNotFitError,
    OutdatedPlanError,
    Reconciliation,
)
from arbutuspulley.placement.records import (
    CopiesRecord,
    ServerLedger,
    SlotRecord,
    build_copies_key,
    find_entry,
)
from arbutuspulley.placement.transactions import (
    CopiesRow,
    LastCopyError,
    LedgerRow,
    SlotRow,
    build_confirmation,
    build_load_intent,
    build_unload_intent,
    update_copies,
)
from arbutuspulley.ports.engines import (
    BrokenError,
    NotSentError,
    Order,
    OrderOutcome,
    OrderReply,
)
from arbutuspulley.ports.platform import ABSENT, Committed, Precondition, Transaction
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

UNLOAD_GRACE_MS = 3 * SECOND_MS
"""Time between the intent of an unload and its order: by then every entry has been
told to stop sending requests for the item there."""


class Ledgers(State):
    """Ledgers of owned servers as they stand after the newest reports.

    A report that changes nothing but its own sequence isn't committed, so these
    may be ahead of the table's rows.

    :param revisions: revision of the row that each was derived from.
    :param busy: servers with a transaction or an order on its way.
    :param sent_at: when the load order for a slot was sent, by order number.
    """

    current: dict[str, ServerLedger] = {}
    revisions: dict[str, int] = {}
    busy: set[str] = set()
    sent_at: dict[tuple[str, int], int] = {}


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
        orders = await _reconcile(controller, work, state, server)
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
    if state is None or server is None or not _is_free(controller, work, name):
        return False
    try:
        current = ledgers.intend_load(
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
        row=_build_row(controller, work, current),
        slot=slot,
        holder=SlotRecord(
            session=controller.lease.session,
            server=name,
            item=action.item.key,
            number=entry.number,
        ),
    )
    order = ledgers.build_order(current, entry)
    work.sent_at[name, entry.number] = controller.clock.now()
    return await _intend(controller, work, state, current, transaction, order)


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
    if state is None or not _is_free(controller, work, name):
        return False
    try:
        current = ledgers.intend_unload(work.current[name], item=action.item)
        transaction = build_unload_intent(
            token=uuid.uuid4().hex,
            group=controller.settings.group,
            row=_build_row(controller, work, current),
            copies=get_copies(controller, action.item),
            answering=answering,
            least=action.least,
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


def forget(work: Ledgers, server: str) -> None:
    """Drop what is known of a ledger beyond its row: the row is read again."""
    work.current.pop(server, None)
    work.revisions.pop(server, None)


def get_copies(controller: Controller, item: str) -> CopiesRow:
    """Return the row of an item's answering copies as last read."""
    known = controller.rows.copies.get(item)
    if known is not None:
        return known
    key = build_copies_key(controller.settings.group, item)
    revision = controller.rows.revisions.get(key, ABSENT)
    return CopiesRow(record=CopiesRecord(item=item), revision=revision)


def _is_free(controller: Controller, work: Ledgers, server: str) -> bool:
    if server in work.busy or server not in work.current:
        return False
    return may_order(controller, server)


async def _reconcile(
    controller: Controller, work: Ledgers, state: ServerState, server: Server
) -> tuple[Order, ...]:
    before = _get_ledger(controller, work, state.name)
    alive = is_alive(state, now=controller.clock.now())
    if state.report is None:
        return ()
    result = ledgers.reconcile(before, server=server, report=state.report)
    if result.superseded:
        # The table was restored to a state before fences that this server has
        # seen, or another owner is ahead: order nothing, and claim anew above it.
        return ()
    work.current[state.name] = result.ledger
    if not _needs_commit(controller, work, result, alive=alive):
        return ()
    transaction = build_confirmation(
        token=uuid.uuid4().hex,
        group=controller.settings.group,
        row=_build_row(controller, work, result.ledger),
        copies=_list_copies(controller, result.ledger),
        alive=alive,
    )
    outcome = await transact(controller, transaction)
    if not isinstance(outcome, Committed):
        forget(work, state.name)
        return ()
    work.revisions[state.name] = outcome.revision
    _log(controller, state.name, result)
    return result.resend


def _get_ledger(controller: Controller, work: Ledgers, server: str) -> ServerLedger:
    """Return the ledger as it stands, taken over under the present fence."""
    seen = controller.rows.ledgers.get(server)
    revision = seen.revision if seen else ABSENT
    known = work.current.get(server)
    fence = controller.rows.owners[server].record.fence
    if known is None or work.revisions.get(server) != revision:
        known = seen.ledger if seen else ServerLedger(server=server)
        work.revisions[server] = revision
    if known.fence != fence:
        known = ledgers.take_over(known, fence=max(fence, known.fence))
    return known


def _needs_commit(
    controller: Controller, work: Ledgers, result: Reconciliation, *, alive: bool
) -> bool:
    server = result.ledger.server
    seen = controller.rows.ledgers.get(server)
    if result.changed or seen is None or seen.ledger.fence != result.ledger.fence:
        return True
    if seen.ledger.entries != result.ledger.entries:
        return True
    return any(
        (server in row.record.servers) != _is_answering(result.ledger, row, alive)
        for row in _list_copies(controller, result.ledger)
    )


def _is_answering(ledger: ServerLedger, row: CopiesRow, alive: bool) -> bool:
    updated = update_copies(row.record, ledger=ledger, alive=alive)
    return ledger.server in updated.servers


def _list_copies(controller: Controller, ledger: ServerLedger) -> list[CopiesRow]:
    """Return the copies rows that a server's ledger may change."""
    items = {entry.item for entry in ledger.entries}
    items |= {
        item
        for item, row in controller.rows.copies.items()
        if ledger.server in row.record.servers
    }
    return [get_copies(controller, item) for item in sorted(items)]


def _build_row(
    controller: Controller, work: Ledgers, ledger: ServerLedger
) -> LedgerRow:
    owner = controller.rows.owners[ledger.server]
    key = build_owner_key(controller.settings.group, ledger.server)
    return LedgerRow(
        ledger=ledger,
        revision=work.revisions[ledger.server],
        owner=Precondition(key=key, revision=owner.revision),
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
    loop = asyncio.get_running_loop()
    send = controller.engines.order
    try:
        reply: OrderReply = await loop.run_in_executor(
            controller.pools.orders, lambda: send(state.address, order)
        )
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


def _take_reply(work: Ledgers, server: str, order: Order, reply: OrderReply) -> None:
    current = work.current.get(server)
    if reply.outcome is OrderOutcome.ACCEPTED:
        if current is not None:
            work.current[server] = ledgers.note_accepted(current, order)
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
        work.current[server] = ledgers.note_refused(current, order)


def _count(controller: Controller, order: Order, outcome: str) -> None:
    controller.metrics.orders.labels(order.kind.value, outcome).inc()


def _log(controller: Controller, server: str, result: Reconciliation) -> None:
    for item in result.loaded:
        log_event(Event.ITEM_LOADED, server=server, item=item)
    for item in result.unloaded:
        log_event(Event.ITEM_UNLOADED, server=server, item=item)
    controller.metrics.moves.labels("load").inc(len(result.loaded))
    controller.metrics.moves.labels("unload").inc(len(result.unloaded))
    if result.corrected:
        controller.metrics.ledger_corrections.inc()
        log_event(
            Event.LEDGER_CORRECTED,
            level=logging.WARNING,
            server=server,
            items=result.corrected,
        )
