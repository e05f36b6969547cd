"""The entry's side of the admission queue."""

import asyncio
from typing import NoReturn

from arbutuspulley.admission import queue
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.request import Admitted, Barred, Event
from arbutuspulley.entry.index import find_target
from arbutuspulley.entry.state import OngoingRequest, Runtime

NON_LIVE_FIRST_TOKEN_TIMEOUT_MS = 60 * SECOND_MS
"""First-token timeout of requests of callers that are not live, in ms."""

IDLE_TICK_MS = 500
"""Tick interval of the admission queue while no request waits."""


async def wait_for_admission(runtime: Runtime, ongoing: OngoingRequest) -> Event:
    """Queue a request and wait for the decision.

    :return: ``Admitted``, or ``Barred`` if it was refused.
    """
    state, now = runtime.state, runtime.clock.now()
    ongoing.admission_decision = asyncio.get_running_loop().create_future()
    ticket = _build_ticket(ongoing)
    effects = queue.submit(state.admission, ticket, now=now)
    apply_effects(runtime, effects)
    try:
        return await ongoing.admission_decision
    except asyncio.CancelledError:
        leave_queue(runtime, ongoing)
        raise


def leave_queue(runtime: Runtime, ongoing: OngoingRequest) -> None:
    """Remove a request that was not run from the queue, waiting or admitted."""
    effects = queue.cancel(
        runtime.state.admission, ongoing.call.request_id, now=runtime.clock.now()
    )
    apply_effects(runtime, effects)


def apply_effects(runtime: Runtime, effects: tuple[queue.Effect, ...]) -> None:
    """Wake the requests for which admission has decided."""
    for effect in effects:
        ongoing = runtime.state.ongoing.get(effect.request_id)
        if (
            ongoing is None
            or ongoing.admission_decision is None
            or ongoing.admission_decision.done()
        ):
            continue
        if isinstance(effect, queue.Admit):
            ongoing.admission_decision.set_result(Admitted())
        else:
            ongoing.admission_decision.set_result(_build_refusal(effect))


async def tick_regularly(runtime: Runtime) -> NoReturn:
    """Tick the admission queue; the interval is short only while requests wait."""
    admission = runtime.state.admission
    while True:
        interval_ms = queue.TICK_MS if admission.waiting else IDLE_TICK_MS
        await asyncio.sleep(interval_ms / SECOND_MS)
        apply_effects(runtime, queue.tick(admission, now=runtime.clock.now()))


def _build_ticket(ongoing: OngoingRequest) -> queue.Ticket:
    call = ongoing.call
    caller = call.identity.caller
    target = find_target(call.index, call.model)
    first_token_timeout_ms = (
        target.first_token_ms if caller.live else NON_LIVE_FIRST_TOKEN_TIMEOUT_MS
    )
    return queue.Ticket(
        request_id=call.request_id,
        caller=call.identity.name,
        item=ongoing.item.key,
        cost=ongoing.cost,
        arrived_at=call.arrived_at,
        deadline=call.arrived_at + first_token_timeout_ms,
        weight=caller.weight,
        live=caller.live,
    )


def _build_refusal(effect: queue.Refuse) -> Barred:
    return Barred(
        code=effect.code,
        detail=f"refused: {effect.code.name.lower().replace('_', ' ')}",
        retry_after_ms=effect.retry_after_ms,
    )
