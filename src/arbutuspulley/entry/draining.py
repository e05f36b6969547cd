"""Graceful stop of an entry.

First it leaves the address answers and goes on serving for as long as callers may
keep an answer. Then it refuses what is new, as not run and with another address,
and finishes what is in flight.
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
"""How often the end of the work in flight is looked for."""

MAX_SETTLE_WAIT_MS = 10 * SECOND_MS
"""How long a stop waits for settlements that the store doesn't take."""

_RETRY_AFTER_MS = SECOND_MS


async def drain(runtime: Runtime) -> None:
    """Stop gracefully; returns when nothing is in flight any more."""
    state = runtime.state
    state.draining = True
    runtime.metrics.draining.set(1)
    lifetime_ms = state.index.policy.address_lifetime_s * SECOND_MS
    if not is_ready(state):
        # Nobody was told of this entry, nor could be.
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
    """Return the refusal of a call that came too late, with where to go instead."""
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
