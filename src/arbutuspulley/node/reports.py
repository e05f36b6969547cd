"""Polls model servers for reports, more often while their state is in doubt."""

import functools
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from arbutuspulley.node.server_notices import read_answer, record_leaving
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.engines import fetch_report
from arbutuspulley.pool.answers import apply_report, list_servers_needing_report
from arbutuspulley.pool.state import PoolState, ServerState

REPORT_INTERVAL_MS = 3_000
"""Interval between reports of a server whose state is not in doubt, in ms."""


class ReportPoller:
    """When each server was last polled.

    :param on_report: called after a report was applied.
    """

    __slots__ = ("_on_report", "_requested_at", "_state")

    def __init__(self, *, state: NodeState, on_report: Callable[[], None]) -> None:
        self._state = state
        self._on_report = on_report
        self._requested_at: dict[str, int] = {}

    def poll(self, pools: Iterable[PoolState]) -> Iterable[Coroutine[Any, Any, None]]:
        """Return the calls that are due now, to be run as tasks."""
        now = self._state.clock.now()
        for pool in pools:
            needing_report = list_servers_needing_report(pool, now=now)
            for server in pool.servers.values():
                requested_at = self._requested_at.get(
                    server.incarnation, -REPORT_INTERVAL_MS
                )
                is_due = now - requested_at >= REPORT_INTERVAL_MS
                if self._state.cooldowns.get_end(server.incarnation) > now:
                    continue
                if server in needing_report or (is_due and not server.is_leaving):
                    self._requested_at[server.incarnation] = now
                    yield self._fetch(pool, server)

    async def _fetch(self, pool: PoolState, server: ServerState) -> None:
        requested_at = self._state.clock.now()
        report = await fetch_report(
            self._state.session,
            address=server.address,
            incarnation=server.incarnation,
            read_answer=functools.partial(read_answer, self._state, server.incarnation),
        )
        if report is None:
            self._state.notify_unanswered(server.address)
        else:
            if report.is_leaving:
                record_leaving(self._state, server.incarnation, by="report")
            apply_report(pool, server.incarnation, report, asked_at=requested_at)
            self._on_report()
