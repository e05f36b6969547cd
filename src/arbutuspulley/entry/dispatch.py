"""Dispatch of requests to models: admission, server choice and retries.

Everything here runs on the event loop. The worker of a request calls
:func:`open_request` once, makes the attempt that it returns, passes its outcome to
:func:`advance_request`, and repeats that until there is no next attempt.
"""

from arbutuspulley.admission import cost, retry_budget
from arbutuspulley.delivery import request as lifecycle
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.delivery.suspects import Judgement, build_fingerprint, judge
from arbutuspulley.entry import accounting, admission_queue, trials
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.deaths import report_death
from arbutuspulley.entry.index import find_item
from arbutuspulley.entry.server_choice import choose_server
from arbutuspulley.entry.state import (
    REQUEST_TIMEOUT_MS,
    Attempt,
    OngoingRequest,
    Runtime,
)
from arbutuspulley.ports.engines import InferenceRequest
from arbutuspulley.results import Code

LIVE_PRIORITY = 1
"""Priority at servers of requests from live callers; others (summaries) have 0."""


async def open_request(runtime: Runtime, call: Call) -> Attempt:
    """Admit a request and return its first attempt.

    :raises RequestError: if it is refused.
    """
    ongoing = build_ongoing(runtime, call)
    accounting.record_demand(runtime, ongoing)
    _raise_if_quarantined(runtime, ongoing)
    runtime.state.ongoing[call.request_id] = ongoing
    try:
        event = await admission_queue.wait_for_admission(runtime, ongoing)
        attempt = await _apply_event(runtime, ongoing, event)
    except BaseException:
        _remove(runtime, ongoing)
        raise
    assert attempt is not None
    return attempt


async def advance_request(
    runtime: Runtime, request_id: str, event: lifecycle.Event, *, died: bool = False
) -> Attempt | None:
    """Process the outcome of an attempt.

    :param died: whether the server died during the attempt.
    :return: the next attempt, or ``None`` if the request is over.
    :raises RequestError: if the request fails.
    """
    ongoing = runtime.state.ongoing.get(request_id)
    if ongoing is None:
        return None
    try:
        await _end_attempt(runtime, ongoing, event, died)
        if isinstance(event, lifecycle.Broken):
            event = _attach_quarantine(runtime, ongoing, event)
        attempt = await _apply_event(runtime, ongoing, event)
    except BaseException:
        _remove(runtime, ongoing)
        raise
    if attempt is None:
        _remove(runtime, ongoing)
    if isinstance(event, lifecycle.Ended):
        accounting.record_success(runtime, ongoing)
    return attempt


def build_ongoing(runtime: Runtime, call: Call) -> OngoingRequest:
    """Return the state of a new request.

    :raises RequestError: if its model is unknown or not allowed.
    """
    item = find_item(call.index, call.identity, call.model)
    return OngoingRequest(
        call=call,
        item=item,
        request=lifecycle.RequestState(
            request_id=call.request_id,
            deadline=call.arrived_at + REQUEST_TIMEOUT_MS,
            repeatable=not call.unrepeatable,
            offset=call.offset,
        ),
        cost=cost.estimate_cost(
            call.body,
            state=runtime.state.costs,
            item=item.key,
            adapter=bool(item.base_key),
        ),
        fingerprint=build_fingerprint(
            caller=call.identity.name, path=call.path, body=call.body
        ),
    )


def _raise_if_quarantined(runtime: Runtime, ongoing: OngoingRequest) -> None:
    suspicion = runtime.state.suspects.suspicions.get(ongoing.fingerprint)
    if judge(suspicion) is not Judgement.QUARANTINED:
        return
    barred = trials.build_quarantined(runtime, ongoing)
    raise build_failure(
        barred.code, barred.detail, retry_after_ms=barred.retry_after_ms
    )


def _attach_quarantine(
    runtime: Runtime, ongoing: OngoingRequest, event: lifecycle.Broken
) -> lifecycle.Broken:
    suspicion = runtime.state.suspects.suspicions.get(ongoing.fingerprint)
    if judge(suspicion) is not Judgement.QUARANTINED:
        return event
    barred = trials.build_quarantined(runtime, ongoing)
    return lifecycle.Broken(
        server=event.server, next_offset=event.next_offset, barred=barred
    )


async def _apply_event(
    runtime: Runtime, ongoing: OngoingRequest, event: lifecycle.Event
) -> Attempt | None:
    """Advance the request's lifecycle and carry out the resulting effects."""
    effects = lifecycle.advance(
        ongoing.request,
        event,
        now=runtime.clock.now(),
        try_spend_retry=lambda: retry_budget.try_spend_retry(
            runtime.state.retry_budget, now=runtime.clock.now()
        ),
    )
    for effect in effects:
        if isinstance(effect, lifecycle.Fail):
            accounting.record_refusal(runtime, ongoing, effect.error)
            raise effect.error
        if isinstance(effect, lifecycle.Dispatch):
            return await _dispatch(runtime, ongoing, effect)
    return None


async def _dispatch(
    runtime: Runtime, ongoing: OngoingRequest, effect: lifecycle.Dispatch
) -> Attempt | None:
    suspicion = runtime.state.suspects.suspicions.get(ongoing.fingerprint)
    chosen: str | lifecycle.Event | None
    if judge(suspicion) is Judgement.CLEAR:
        chosen = choose_server(runtime, ongoing, avoid=effect.avoid)
    else:
        chosen = await trials.acquire_trial(runtime, ongoing, avoid=effect.avoid)
    if chosen is None:
        chosen = _build_no_server(ongoing)
    if not isinstance(chosen, str):
        return await _apply_event(runtime, ongoing, chosen)
    summary = runtime.state.summaries[chosen]
    trial = ongoing.trial
    attempt = Attempt(
        server=chosen,
        address=summary.address,
        boot_id=trial.boot_id if trial else summary.boot_id,
        request=_build_inference(ongoing, effect),
        deadline=ongoing.request.deadline,
        is_trial=trial is not None,
    )
    accounting.begin_attempt(runtime, ongoing, attempt)
    return attempt


def _build_no_server(ongoing: OngoingRequest) -> lifecycle.NoServer:
    """Return the event for a lack of servers: none has the model, or all failed."""
    if ongoing.request.attempts > 1:
        return lifecycle.NoServer(code=Code.RETRIES_EXHAUSTED)
    return lifecycle.NoServer()


def _build_inference(
    ongoing: OngoingRequest, effect: lifecycle.Dispatch
) -> InferenceRequest:
    call = ongoing.call
    return InferenceRequest(
        request_id=call.request_id,
        attempt_id=effect.attempt_id,
        path=call.path,
        item=ongoing.item.key,
        body=call.body,
        offset=effect.offset,
        priority=LIVE_PRIORITY if call.identity.caller.live else 0,
        traceparent=call.traceparent,
    )


async def _end_attempt(
    runtime: Runtime, ongoing: OngoingRequest, event: lifecycle.Event, died: bool
) -> None:
    attempt = ongoing.attempt
    if attempt is None:
        return
    if isinstance(event, lifecycle.CallerLeft | lifecycle.DeadlinePassed):
        _cancel(runtime, attempt)
    accounting.end_attempt(runtime, ongoing, attempt, event, died=died)
    if died:
        await report_death(runtime, ongoing, attempt)
    elif isinstance(event, lifecycle.Ended):
        trials.clear_suspicion(runtime, ongoing)
    else:
        trials.end_trial(runtime, ongoing, ran=False)


def _cancel(runtime: Runtime, attempt: Attempt) -> None:
    """Cancel at its server an attempt whose answer is no longer needed."""
    cancel, attempt_id = runtime.engines.cancel, attempt.request.attempt_id
    runtime.loop.run_blocking(lambda: cancel(attempt.address, attempt_id))


def _remove(runtime: Runtime, ongoing: OngoingRequest) -> None:
    """Remove a request that is over, and release its trial and its admission."""
    if runtime.state.ongoing.pop(ongoing.call.request_id, None) is None:
        return
    trials.end_trial(runtime, ongoing, ran=False)
    accounting.finish_admission(runtime, ongoing)
