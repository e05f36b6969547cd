"""Graceful shutdown: leave the directory, keep serving for a while, drain, exit."""

import asyncio
from collections.abc import Callable, Sequence

from arbutuspulley.clients.listeners import Closeable
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.election import Election
from arbutuspulley.node.link import Link
from arbutuspulley.node.state import NodeState

SERVE_FRACTION = 0.8
"""Fraction of the time until SIGKILL for which callers with an old address are served.
Some keep an answer of the directory for 6 s."""

FLUSH_FRACTION = 0.98
"""Fraction of the time until SIGKILL by which the answers to requests that were ended
have been sent."""

POLL_INTERVAL_MS = 50
"""Poll interval of the number of requests in flight, in ms."""

LINGER_MS = 300
"""How long requests are read on connections that were accepted last, in ms."""


async def stop_gracefully(
    state: NodeState,
    *,
    link: Link,
    election: Election,
    listeners: Sequence[Closeable],
    end_requests: Callable[[], None],
    is_answering: Callable[[], bool],
) -> None:
    """Return when no request is in flight, at the latest shortly before SIGKILL.

    :param end_requests: answers the requests in flight that callers still wait for.
    :param is_answering: returns whether answers are being sent.
    """
    now = state.clock.now()
    grace_ms = state.settings.grace_ms
    begun_at = now if state.stopping_at is None else state.stopping_at
    exit_at = begun_at + grace_ms if state.exit_at is None else state.exit_at
    link.send(link.build_heartbeat())
    serve_until = begun_at + int(grace_ms * SERVE_FRACTION)
    flush_until = max(exit_at, begun_at + int(grace_ms * FLUSH_FRACTION))
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

    def is_busy() -> bool:
        return state.in_flight > 0 or is_answering()

    linger_until = min(state.clock.now() + LINGER_MS, exit_at)
    while state.clock.now() < linger_until or (
        is_busy() and state.clock.now() < exit_at
    ):
        await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS)
    end_requests()
    while is_busy() and state.clock.now() < flush_until:
        await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS / 5)
