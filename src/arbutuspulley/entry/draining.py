"""Graceful shutdown of an entry.

A draining entry is first left out of answers to ``/v1/addresses``, and keeps serving
for as long as callers may cache such an answer. Then it refuses new calls as not run,
with the addresses of other entries, and finishes the calls in flight.
"""

import asyncio

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry.controller_sync import is_ready, list_entries, send_report
from arbutuspulley.entry.state import Runtime
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code, RequestError
from arbutuspulley.routing.addresses import rank_entries

POLL_INTERVAL_MS = 50
"""Interval at which draining checks for calls in flight."""

MAX_SETTLE_WAIT_MS = 10 * SECOND_MS
"""Longest time that shutdown waits for settlements while the store is unavailable."""

_RETRY_AFTER_MS = SECOND_MS


async def drain(runtime: Runtime) -> None:
    """Drain the entry; return when no call is in flight any more."""
    state = runtime.state
    state.draining = True
    runtime.metrics.draining.set(1)
    lifetime_ms = state.index.policy.address_lifetime_s * SECOND_MS
    if not is_ready(state):
        # No caller was given the address of an entry that was never ready.
        lifetime_ms = 0
    log_event(Event.DRAINING, in_flight=state.in_flight, serving_for_ms=lifetime_ms)
    await send_report(runtime)
    await asyncio.sleep(lifetime_ms / SECOND_MS)
    state.refusing = True
    while state.in_flight:
        await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS)
    deadline = runtime.clock.now() + MAX_SETTLE_WAIT_MS
    while state.pending_settlements and runtime.clock.now() < deadline:
        await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS)


def build_refusal(runtime: Runtime, *, model: str = "") -> RequestError:
    """Return the refusal of a new call, with the addresses of other entries."""
    others = rank_entries(
        [entry for entry in list_entries(runtime) if not entry.draining], model=model
    )
    error = build_failure(
        Code.DRAINING,
        "this entry is stopping; use another",
        retry_after_ms=_RETRY_AFTER_MS,
    )
    error.addresses = tuple(entry.address for entry in others)
    return error
