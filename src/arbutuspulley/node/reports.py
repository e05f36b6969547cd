"""Asks model servers for reports, as often as what is known of them is in doubt."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.engines import fetch_report
from arbutuspulley.pool.answers import apply_report, list_servers_needing_report
from arbutuspulley.pool.state import PoolState, ServerState

REPORT_INTERVAL_MS = 3_000
"""Time between reports of a server about which nothing is in doubt, in ms."""


class ReportPoller:
    """When each server was last asked.

    :param note_taken: called after a report was taken in.
    """

    __slots__ = ("_on_report", "_requested_at", "_state")

    def __init__(self, *, state: NodeState, on_report: Callable[[], None]) -> None:
        self._state = state
        self._on_report = on_report
        self._requested_at: dict[str, int] = {}

    def poll(self, pools: Iterable[PoolState]) -> Iterable[Coroutine[Any, Any, None]]:
        """Return the calls that are due now, to be run."""
        now = self._state.clock.now()
        for pool in pools:
            needing_report = list_servers_needing_report(pool, now=now)
            for server in pool.servers.values():
                requested_at = self._requested_at.get(
                    server.incarnation, -REPORT_INTERVAL_MS
                )
                is_due = now - requested_at >= REPORT_INTERVAL_MS
                if server in needing_report or (is_due and not server.is_leaving):
                    self._requested_at[server.incarnation] = now
                    yield self._fetch(pool, server)

    async def _fetch(self, pool: PoolState, server: ServerState) -> None:
        requested_at = self._state.clock.now()
        report = await fetch_report(
            self._state.session, address=server.address, incarnation=server.incarnation
        )
        if report is not None:
            apply_report(pool, server.incarnation, report, asked_at=requested_at)
            self._on_report()
