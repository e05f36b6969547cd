"""Graceful shutdown: leave the directory, keep serving for a while, drain, exit."""

import asyncio
from collections.abc import Sequence

from arbutuspulley.clients.listeners import Closeable
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.election import Election
from arbutuspulley.node.link import Link
from arbutuspulley.node.state import NodeState

SERVE_FRACTION = 0.8
"""Fraction of the time until SIGKILL for which callers with an old address are served.
Some keep an answer of the directory for 6 s."""

EXIT_FRACTION = 0.95
"""Fraction of the time until SIGKILL after which the process exits even if requests are
in flight."""

POLL_INTERVAL_MS = 50
"""Poll interval of the number of requests in flight, in ms."""


async def stop_gracefully(
    state: NodeState, *, link: Link, election: Election, listeners: Sequence[Closeable]
) -> None:
    """Return when no request is in flight, at the latest shortly before SIGKILL."""
    begun_at = state.stopping_at or state.clock.now()
    link.send(link.build_heartbeat())
    serve_until = begun_at + int(state.settings.grace_ms * SERVE_FRACTION)
    exit_at = begun_at + int(state.settings.grace_ms * EXIT_FRACTION)
    is_lease_released = False
    while state.clock.now() < serve_until:
        # While the store is unavailable no other instance can take the lease: callers
        # were without a coordinator for 5 s, and waited in vain until they left.
        if not is_lease_released and not state.store.is_failing:
            is_lease_released = await election.release_lease(is_final=False)
        await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS)
    if not is_lease_released:
        await election.release_lease(is_final=True)
    link.close()
    for listener in listeners:
        listener.close()
    while state.in_flight and state.clock.now() < exit_at:
        await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS)
