"""Ledgers of owned servers: updated by reports, and committed when they change."""

import logging
import uuid

import msgspec

from arbutuspulley.configuration.schema import Server
from arbutuspulley.controller.platform_calls import transact
from arbutuspulley.controller.reports import ServerState, is_alive
from arbutuspulley.controller.sessions import may_order
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.records import build_owner_key
from arbutuspulley.placement import ledger as ledgers
from arbutuspulley.placement.ledger import Reconciliation
from arbutuspulley.placement.records import (
    CopiesRecord,
    ServerLedger,
    build_copies_key,
    find_entry,
    replace_entry,
)
from arbutuspulley.placement.transactions import (
    CopiesRow,
    LedgerRow,
    build_confirmation,
    update_copies,
)
from arbutuspulley.ports.engines import Order
from arbutuspulley.ports.platform import ABSENT, Committed, Precondition


class WorkingLedgers(State):
    """In-memory ledgers of owned servers, after the newest reports.

    A report that changes only its own sequence number isn't committed, so these may
    be ahead of the table's rows.

    :param revisions: revision of the row from which each ledger was derived.
    :param busy: servers with a transaction or an order in flight.
    :param sent_at: when the load order for a slot was sent, in ms, by server and order
        number.
    """

    current: dict[str, ServerLedger] = {}
    revisions: dict[str, int] = {}
    busy: set[str] = set()
    sent_at: dict[tuple[str, int], int] = {}


async def reconcile(
    controller: Controller, working: WorkingLedgers, state: ServerState, server: Server
) -> tuple[Order, ...]:
    """Reconcile a server's ledger with its newest report and commit the changes.

    If reports are overdue, the server's copies no longer count as ready.

    :return: orders to resend, now that their new numbers are committed.
    :raises PlatformUnavailableError: if the commit certainly had no effect.
    :raises OutcomeUnknownError: if the commit may have had an effect.
    """
    before = _get_ledger(controller, working, state.name)
    alive = is_alive(state, now=controller.clock.now())
    if state.report is None:
        return ()
    result = ledgers.reconcile(before, server=server, report=state.report)
    if result.superseded:
        # The server has seen a higher fence: the table was restored to an earlier
        # state, or another owner has taken over. Send no orders; claim the server
        # again under a higher fence.
        return ()
    working.current[state.name] = result.ledger
    if not _needs_commit(controller, working, result, alive=alive):
        return ()
    transaction = build_confirmation(
        token=uuid.uuid4().hex,
        group=controller.settings.group,
        row=build_row(controller, working, result.ledger),
        copies=_list_copies(controller, result.ledger),
        alive=alive,
    )
    outcome = await transact(controller, transaction)
    if not isinstance(outcome, Committed):
        discard(working, state.name)
        return ()
    working.revisions[state.name] = outcome.revision
    _log(controller, state.name, result)
    return result.resend


def _needs_commit(
    controller: Controller,
    working: WorkingLedgers,
    result: Reconciliation,
    *,
    alive: bool,
) -> bool:
    server = result.ledger.server
    stored = controller.rows.ledgers.get(server)
    if result.changed or stored is None or stored.ledger.fence != result.ledger.fence:
        return True
    if stored.ledger.entries != result.ledger.entries:
        return True
    return any(
        (server in row.record.servers) != _has_ready_copy(result.ledger, row, alive)
        for row in _list_copies(controller, result.ledger)
    )


def _has_ready_copy(ledger: ServerLedger, row: CopiesRow, alive: bool) -> bool:
    updated = update_copies(row.record, ledger=ledger, alive=alive)
    return ledger.server in updated.servers


def _list_copies(controller: Controller, ledger: ServerLedger) -> list[CopiesRow]:
    """Return the rows of copies that a server's ledger may change."""
    items = {entry.item for entry in ledger.entries}
    items |= {
        item
        for item, row in controller.rows.copies.items()
        if ledger.server in row.record.servers
    }
    return [get_copies(controller, item) for item in sorted(items)]


def restart_effect_wait(
    working: WorkingLedgers, server: str, item: str, report_sequence: int
) -> None:
    """Restart the wait for an order's effect, as the order is only sent now."""
    current = working.current[server]
    entry = find_entry(current, item)
    if entry is not None:
        entry = msgspec.structs.replace(entry, since=report_sequence)
        working.current[server] = replace_entry(current, item, entry)


def build_row(
    controller: Controller, working: WorkingLedgers, ledger: ServerLedger
) -> LedgerRow:
    """Return the row for a ledger, conditional on the current ownership."""
    owner = controller.rows.owners[ledger.server]
    key = build_owner_key(controller.settings.group, ledger.server)
    return LedgerRow(
        ledger=ledger,
        revision=working.revisions[ledger.server],
        owner=Precondition(key=key, revision=owner.revision),
    )


def discard(working: WorkingLedgers, server: str) -> None:
    """Discard the in-memory ledger, so that it is derived from its row again."""
    working.current.pop(server, None)
    working.revisions.pop(server, None)


def get_copies(controller: Controller, item: str) -> CopiesRow:
    """Return the row that lists an item's ready copies, as last read."""
    known = controller.rows.copies.get(item)
    if known is not None:
        return known
    key = build_copies_key(controller.settings.group, item)
    revision = controller.rows.revisions.get(key, ABSENT)
    return CopiesRow(record=CopiesRecord(item=item), revision=revision)


def can_begin_step(
    controller: Controller, working: WorkingLedgers, server: str
) -> bool:
    """Return whether a load or an unload may begin on a server."""
    if server in working.busy or server not in working.current:
        return False
    return may_order(controller, server)


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


def _get_ledger(
    controller: Controller, working: WorkingLedgers, server: str
) -> ServerLedger:
    """Return the current ledger, taken over under the current fence if necessary."""
    stored = controller.rows.ledgers.get(server)
    revision = stored.revision if stored else ABSENT
    known = working.current.get(server)
    fence = controller.rows.owners[server].record.fence
    if known is None or working.revisions.get(server) != revision:
        known = stored.ledger if stored else ServerLedger(server=server)
        working.revisions[server] = revision
    if known.fence != fence:
        known = ledgers.take_over(known, fence=max(fence, known.fence))
    return known
