"""Asks model servers for reports, as often as what is known of them is in doubt."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.engines import fetch_report
from arbutuspulley.pool.answers import apply_report, list_servers_needing_report
from arbutuspulley.pool.state import PoolState, ServerState

REPORT_EVERY_MS = 3_000
"""Time between reports of a server about which nothing is in doubt, in ms."""


class Reports:
    """When each server was last asked.

    :param note_taken: called after a report was taken in.
    """

    __slots__ = ("_asked_at", "_note_taken", "_state")

    def __init__(self, *, state: NodeState, note_taken: Callable[[], None]) -> None:
        self._state = state
        self._note_taken = note_taken
        self._asked_at: dict[str, int] = {}

    def ask(self, pools: Iterable[PoolState]) -> Iterable[Coroutine[Any, Any, None]]:
        """Return the calls that are due now, to be run."""
        now = self._state.clock.now()
        for pool in pools:
            unsure = list_servers_needing_report(pool, now=now)
            for server in pool.servers.values():
                asked_at = self._asked_at.get(server.incarnation, -REPORT_EVERY_MS)
                is_due = now - asked_at >= REPORT_EVERY_MS
                if server in unsure or (is_due and not server.is_leaving):
                    self._asked_at[server.incarnation] = now
                    yield self._take(pool, server)

    async def _take(self, pool: PoolState, server: ServerState) -> None:
        asked_at = self._state.clock.now()
        report = await fetch_report(
            self._state.session, address=server.address, incarnation=server.incarnation
        )
        if report is not None:
            apply_report(pool, server.incarnation, report, asked_at=asked_at)
            self._note_taken()
