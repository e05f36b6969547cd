"""Decisions on one request to a model: where it goes, and what follows a failure.

Everything here runs on the loop. The worker of a request calls
:func:`open_request` once, makes the attempt it is given, tells
:func:`advance_request` how that ended, and so on until there is no next attempt.
"""

from arbutuspulley.admission import cost, retry_budget
from arbutuspulley.delivery import request as life
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.delivery.suspects import Judgement, build_fingerprint, judge
from arbutuspulley.entry import accounts, trials, turns
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.choosing import choose_server
from arbutuspulley.entry.deaths import report_death
from arbutuspulley.entry.index import find_item
from arbutuspulley.entry.state import REQUEST_LIFE_MS, Attempt, Ongoing, Runtime
from arbutuspulley.ports.engines import InferenceRequest
from arbutuspulley.results import Code

LIVE_PRIORITY = 1
"""Priority at servers of requests that go before summaries."""


async def open_request(runtime: Runtime, call: Call) -> Attempt:
    """Admit a request and return its first attempt.

    :raises RequestError: if it is refused.
    """
    ongoing = build_ongoing(runtime, call)
    accounts.count_demand(runtime, ongoing)
    _refuse_quarantined(runtime, ongoing)
    runtime.state.ongoing[call.request_id] = ongoing
    try:
        event = await turns.wait_for_turn(runtime, ongoing)
        attempt = await _perform(runtime, ongoing, event)
    except BaseException:
        _forget(runtime, ongoing)
        raise
    assert attempt is not None
    return attempt


async def advance_request(
    runtime: Runtime, request_id: str, event: life.Event, *, died: bool = False
) -> Attempt | None:
    """Move a request on after its attempt ended.

    :param died: whether the server died during the attempt.
    :return: the next attempt, or ``None`` if the answer is whole.
    :raises RequestError: if the request is given up.
    """
    ongoing = runtime.state.ongoing.get(request_id)
    if ongoing is None:
        return None
    try:
        await _end_attempt(runtime, ongoing, event, died)
        if isinstance(event, life.Broken):
            event = _bar_if_quarantined(runtime, ongoing, event)
        attempt = await _perform(runtime, ongoing, event)
    except BaseException:
        _forget(runtime, ongoing)
        raise
    if attempt is None:
        _forget(runtime, ongoing)
    if isinstance(event, life.Ended):
        accounts.learn(runtime, ongoing)
    return attempt


def build_ongoing(runtime: Runtime, call: Call) -> Ongoing:
    """Return a request that has just arrived.

    :raises RequestError: if its model is not known or not allowed.
    """
    item = find_item(call.index, call.identity, call.model)
    return Ongoing(
        call=call,
        item=item,
        request=life.RequestState(
            request_id=call.request_id,
            deadline=call.arrived_at + REQUEST_LIFE_MS,
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


def _refuse_quarantined(runtime: Runtime, ongoing: Ongoing) -> None:
    known = runtime.state.suspects.suspicions.get(ongoing.fingerprint)
    if judge(known) is not Judgement.QUARANTINED:
        return
    barred = trials.bar_quarantined(runtime, ongoing)
    raise build_failure(
        barred.code, barred.detail, retry_after_ms=barred.retry_after_ms
    )


def _bar_if_quarantined(
    runtime: Runtime, ongoing: Ongoing, event: life.Broken
) -> life.Broken:
    known = runtime.state.suspects.suspicions.get(ongoing.fingerprint)
    if judge(known) is not Judgement.QUARANTINED:
        return event
    barred = trials.bar_quarantined(runtime, ongoing)
    return life.Broken(
        server=event.server, next_offset=event.next_offset, barred=barred
    )


async def _perform(
    runtime: Runtime, ongoing: Ongoing, event: life.Event
) -> Attempt | None:
    """Do what the request's life says next."""
    effects = life.advance(
        ongoing.request,
        event,
        now=runtime.clock.now(),
        try_spend_retry=lambda: retry_budget.try_spend_retry(
            runtime.state.budget, now=runtime.clock.now()
        ),
    )
    for effect in effects:
        if isinstance(effect, life.Fail):
            accounts.count_refusal(runtime, ongoing, effect.error)
            raise effect.error
        if isinstance(effect, life.Dispatch):
            return await _dispatch(runtime, ongoing, effect)
    return None


async def _dispatch(
    runtime: Runtime, ongoing: Ongoing, effect: life.Dispatch
) -> Attempt | None:
    known = runtime.state.suspects.suspicions.get(ongoing.fingerprint)
    chosen: str | life.Event | None
    if judge(known) is Judgement.CLEAR:
        chosen = choose_server(runtime, ongoing, avoid=effect.avoid)
    else:
        chosen = await trials.arrange_trial(runtime, ongoing, avoid=effect.avoid)
    if chosen is None:
        chosen = _build_lack(ongoing)
    if not isinstance(chosen, str):
        return await _perform(runtime, ongoing, chosen)
    summary = runtime.state.summaries[chosen]
    trial = ongoing.trial
    attempt = Attempt(
        server=chosen,
        address=summary.address,
        boot_id=trial.boot_id if trial else summary.boot_id,
        request=_build_inference(ongoing, effect),
        deadline=ongoing.request.deadline,
        trial=trial is not None,
    )
    accounts.begin_attempt(runtime, ongoing, attempt)
    return attempt


def _build_lack(ongoing: Ongoing) -> life.NoServer:
    """Say that no server is left: none has the model, or those that do failed."""
    if ongoing.request.attempts > 1:
        return life.NoServer(code=Code.RETRIES_EXHAUSTED)
    return life.NoServer()


def _build_inference(ongoing: Ongoing, effect: life.Dispatch) -> InferenceRequest:
    call = ongoing.call
    return InferenceRequest(
        request_id=call.request_id,
        attempt_id=effect.attempt_id,
        path=call.path,
        item=ongoing.item.key,
        body=call.body,
        offset=effect.offset,
        priority=LIVE_PRIORITY if call.identity.caller.live else 0,
        traceparent=call.bearing,
    )


async def _end_attempt(
    runtime: Runtime, ongoing: Ongoing, event: life.Event, died: bool
) -> None:
    attempt = ongoing.attempt
    if attempt is None:
        return
    if isinstance(event, life.CallerLeft | life.DeadlinePassed):
        _cancel(runtime, attempt)
    accounts.end_attempt(runtime, ongoing, attempt, event, died=died)
    if died:
        await report_death(runtime, ongoing, attempt)
    elif isinstance(event, life.Ended):
        trials.clear_suspicion(runtime, ongoing)
    else:
        trials.end_trial(runtime, ongoing, ran=False)


def _cancel(runtime: Runtime, attempt: Attempt) -> None:
    """Cancel the attempt at its server, whose answer nobody waits for any more."""
    cancel, attempt_id = runtime.engines.cancel, attempt.request.attempt_id
    runtime.loop.run_blocking(lambda: cancel(attempt.address, attempt_id))


def _forget(runtime: Runtime, ongoing: Ongoing) -> None:
    """Let go of a request that is over, whole or not."""
    if runtime.state.ongoing.pop(ongoing.call.request_id, None) is None:
        return
    trials.end_trial(runtime, ongoing, ran=False)
    accounts.settle(runtime, ongoing)
