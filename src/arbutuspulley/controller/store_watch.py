"""Reads changes of the group's table rows, and the platform's instance list."""

import logging

from arbutuspulley.controller.platform_calls import call_platform
from arbutuspulley.controller.rows import apply_rows, reset_rows
from arbutuspulley.controller.state import Controller
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership import lease as leases
from arbutuspulley.membership import observation as sessions
from arbutuspulley.ports.platform import InstanceState, Page

SCAN_ROWS = 500
"""Maximum number of rows in one scan."""

MAX_PAGES = 100
"""Maximum number of pages read in one call; the next call continues from there."""


async def follow_rows(controller: Controller) -> None:
    """Read the rows that changed since the last call.

    :raises PlatformUnavailableError: if the platform did not answer.
    """
    rows = controller.rows
    for _ in range(MAX_PAGES):
        sent_at = controller.clock.now()
        page = await _scan(controller, rows.revision)
        if rows.table_id and page.table_id != rows.table_id:
            _reset_after_restore(controller, page.table_id)
            continue
        _apply_page(controller, page, sent_at=sent_at)
        if not page.more:
            return


async def follow_instances(controller: Controller) -> None:
    """Read which servers the platform's instance list marks as leaving."""
    listings = await call_platform(controller, controller.platform.list_instances)
    leaving = frozenset(
        listing.name for listing in listings if listing.state is InstanceState.LEAVING
    )
    for name in leaving - controller.listed_leaving:
        log_event(Event.SERVER_LEAVING, server=name, source="instance list")
    controller.listed_leaving = leaving


async def _scan(controller: Controller, after: int) -> Page:
    prefix = f"{controller.rows.group}/"
    scan = controller.platform.table.scan
    return await call_platform(controller, lambda: scan(prefix, after, SCAN_ROWS))


def _apply_page(controller: Controller, page: Page, *, sent_at: int) -> None:
    now = controller.clock.now()
    rows = controller.rows
    changed = apply_rows(rows, page.rows, now=now)
    rows.revision, rows.table_id = page.revision, page.table_id
    sessions.apply_scan(controller.sessions, changed, sent_at=sent_at, now=now)
    referenced = frozenset(row.record.session for row in rows.owners.values())
    for session in referenced:
        sessions.track_session(controller.sessions, session, now=now)
    sessions.prune_sessions(controller.sessions, referenced=referenced)
    _update_live_instances(controller, now=now)


def _update_live_instances(controller: Controller, *, now: int) -> None:
    live = sessions.list_live(controller.sessions)
    if live == controller.live:
        return
    for instance in controller.live - live:
        if instance in controller.sessions.rows:
            log_event(Event.INSTANCE_LAPSED, level=logging.WARNING, instance=instance)
    controller.live, controller.live_since = live, now
    controller.metrics.live_instances.set(len(live))


def _reset_after_restore(controller: Controller, table_id: str) -> None:
    """Discard all rows and the lease after the table was restored from a backup.

    The restored sessions and owners are those of an earlier time. Keeping the lease
    could let two instances own one server: the restored rows may name another owner,
    and that instance reads them, too.
    """
    log_event(Event.TABLE_RESTORED, level=logging.WARNING, table_id=table_id)
    reset_rows(controller.rows)
    controller.rows.table_id = table_id
    sessions.reset(controller.sessions)
    leases.abandon(controller.lease)
