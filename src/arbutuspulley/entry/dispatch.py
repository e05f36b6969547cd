"""Decisions on one request to a model: where it goes, and what follows a failure.

Everything here runs on the loop. The worker of a request calls
:func:`open_request` once, makes the attempt it is given, tells
:func:`advance_request` how that ended, and so on until there is no next attempt.
"""

import logging

from arbutuspulley.admission import budget, cost, queue
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery import request as life
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.delivery.suspects import (
    Judgement,
    build_fingerprint,
    get_return_ms,
    judge,
)
from arbutuspulley.entry import suspicion, turns
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.index import find_item
from arbutuspulley.entry.state import (
    REQUEST_LIFE_MS,
    Attempt,
    Demand,
    Ongoing,
    Runtime,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.ports.engines import InferenceRequest
from arbutuspulley.results import Code, RequestError
from arbutuspulley.routing import choice
from arbutuspulley.rpc.messages import ServerSummary

LIVE_PRIORITY = 1
"""Priority at servers of requests that go before summaries."""

_LACKING = frozenset(
    {
        Code.MODEL_NOT_LOADED,
        Code.OVERLOADED,
        Code.DEADLINE_OUT_OF_REACH,
        Code.SHARE_EXCEEDED,
    }
)


async def open_request(runtime: Runtime, call: Call) -> Attempt:
    """Admit a request and return its first attempt.

    :raises RequestError: if it is refused.
    """
    state = runtime.state
    ongoing = _build_ongoing(runtime, call)
    demand = state.demand.setdefault(ongoing.item.key, Demand())
    demand.requests += 1
    demand.tokens += ongoing.cost
    _refuse_quarantined(runtime, ongoing)
    state.ongoing[call.request_id] = ongoing
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
        if isinstance(event, life.CallerLeft | life.DeadlinePassed):
            _cancel(runtime, ongoing)
        await _end_attempt(runtime, ongoing, event, died)
        attempt = await _perform(runtime, ongoing, event)
    except BaseException:
        _forget(runtime, ongoing)
        raise
    if attempt is None:
        _forget(runtime, ongoing)
    if isinstance(event, life.Ended):
        _learn(runtime, ongoing)
    return attempt


def note_first_event(runtime: Runtime, request_id: str) -> None:
    """Take note that the first event of an answer has come."""
    ongoing = runtime.state.ongoing.get(request_id)
    if ongoing is None or ongoing.attempt is None:
        return
    now = runtime.clock.now()
    queue.note_first_token(runtime.state.admission, request_id, now=now)
    choice.note_success(runtime.state.routing, ongoing.attempt.server)
    if ongoing.request.attempts == 1:
        elapsed_ms = now - ongoing.call.arrived_at
        runtime.metrics.first_token.observe(elapsed_ms / SECOND_MS)


def choose_server(
    runtime: Runtime,
    ongoing: Ongoing,
    *,
    avoid: frozenset[str],
    barred: frozenset[str] = frozenset(),
) -> str | None:
    """Return the server for the next attempt, if there is one.

    :param avoid: servers to leave out unless they are alive and the only ones.
    :param barred: servers to leave out in any case.
    """
    state = runtime.state
    twin = _find_twin(runtime, ongoing)
    if twin and twin not in avoid | barred:
        return twin
    full = queue.list_full(state.admission, ongoing.call.request_id)
    # A server that broke off and yet answers may be the only one with the model.
    for left_out in (avoid | full, avoid, avoid - ongoing.alive):
        server = choice.choose_server(
            state.routing,
            servers=state.view.servers if state.view else (),
            item=ongoing.item.key,
            cost=ongoing.cost,
            avoid=left_out | barred,
            now=runtime.clock.now(),
            chance=runtime.chance,
        )
        if server is not None:
            return server
    return None


def _build_ongoing(runtime: Runtime, call: Call) -> Ongoing:
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
    judgement = judge(known)
    if judgement is not Judgement.QUARANTINED:
        return
    log_event(
        Event.REQUEST_QUARANTINED,
        level=logging.WARNING,
        request=ongoing.call.request_id,
        fingerprint=ongoing.fingerprint,
    )
    raise build_failure(
        Code.QUARANTINED,
        "servers died while they ran this request; it is not run for now",
        retry_after_ms=get_return_ms(judgement),
    )


def _find_twin(runtime: Runtime, ongoing: Ongoing) -> str:
    """Return the server that runs the very same request now, if any.

    A caller that sends a poison request several times at once would otherwise have
    it run on several servers before the first death shows what it is.
    """
    for other in runtime.state.ongoing.values():
        if other.fingerprint != ongoing.fingerprint or other is ongoing:
            continue
        summary = _find_usable(runtime, other.attempt)
        if summary is not None:
            return summary.server
    return ""


def _find_usable(runtime: Runtime, attempt: Attempt | None) -> ServerSummary | None:
    if attempt is None:
        return None
    summary = runtime.state.summaries.get(attempt.server)
    if summary is None or summary.leaving or not summary.alive:
        return None
    return summary


async def _perform(
    runtime: Runtime, ongoing: Ongoing, event: life.Event
) -> Attempt | None:
    """Do what the request's life says next."""
    effects = life.advance(
        ongoing.request,
        event,
        now=runtime.clock.now(),
        take_retry=lambda: budget.take_retry(
            runtime.state.budget, now=runtime.clock.now()
        ),
    )
    for effect in effects:
        if isinstance(effect, life.Fail):
            _count_refusal(runtime, ongoing, effect.error)
            raise effect.error
        if isinstance(effect, life.Dispatch):
            return await _dispatch(runtime, ongoing, effect)
    return None


async def _dispatch(
    runtime: Runtime, ongoing: Ongoing, effect: life.Dispatch
) -> Attempt | None:
    state = runtime.state
    known = state.suspects.suspicions.get(ongoing.fingerprint)
    if judge(known) is Judgement.CLEAR:
        server = choose_server(runtime, ongoing, avoid=effect.avoid)
    else:
        outcome = await suspicion.arrange_trial(
            runtime, ongoing, avoid=effect.avoid, choose=choose_server
        )
        if not isinstance(outcome, str):
            return await _perform(runtime, ongoing, outcome)
        server = outcome
    summary = state.summaries.get(server) if server else None
    if server is None or summary is None:
        return await _perform(runtime, ongoing, _build_lack(ongoing))
    now = runtime.clock.now()
    queue.assign(state.admission, ongoing.call.request_id, server=server, now=now)
    choice.begin_attempt(state.routing, server, ongoing.cost, now=now)
    ongoing.attempt = Attempt(
        server=server,
        address=summary.address,
        boot_id=summary.boot_id,
        request=_build_inference(ongoing, effect),
        deadline=ongoing.request.deadline,
        trial=ongoing.trial is not None,
    )
    if effect.offset > ongoing.call.offset:
        runtime.metrics.resumed.inc()
        log_event(
            Event.STREAM_RESUMED, request=ongoing.call.request_id, offset=effect.offset
        )
    return ongoing.attempt


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
    attempt, ongoing.attempt = ongoing.attempt, None
    if attempt is None:
        return
    state, now = runtime.state, runtime.clock.now()
    succeeded = isinstance(event, life.Ended)
    choice.end_attempt(
        state.routing, attempt.server, ongoing.cost, now=now, succeeded=succeeded
    )
    runtime.metrics.attempts.labels(type(event).__name__.lower()).inc()
    if not succeeded:
        log_event(
            Event.ATTEMPT_FAILED,
            request=ongoing.call.request_id,
            server=attempt.server,
            outcome=type(event).__name__.lower(),
            died=died,
        )
    if isinstance(event, life.Refused) and event.leaving:
        choice.note_leaving(state.routing, attempt.server, now)
    elif isinstance(event, life.NotSent) or died:
        choice.note_failure(state.routing, attempt.server, now)
    elif isinstance(event, life.Broken):
        ongoing.alive |= {attempt.server}
    if died:
        await suspicion.report_death(runtime, ongoing, attempt)
    elif succeeded:
        suspicion.acquit(runtime, ongoing)
    elif ongoing.trial is not None:
        suspicion.end_trial(runtime, ongoing, ran=False)


def _cancel(runtime: Runtime, ongoing: Ongoing) -> None:
    """Cancel the attempt at its server, whose answer nobody waits for any more."""
    attempt = ongoing.attempt
    if attempt is None:
        return
    cancel, attempt_id = runtime.engines.cancel, attempt.request.attempt_id
    runtime.loop.run_blocking(lambda: cancel(attempt.address, attempt_id))


def _count_refusal(runtime: Runtime, ongoing: Ongoing, error: RequestError) -> None:
    if error.code in _LACKING:
        demand = runtime.state.demand.setdefault(ongoing.item.key, Demand())
        demand.refused += 1


def _forget(runtime: Runtime, ongoing: Ongoing) -> None:
    """Account for a request that is over, whole or not."""
    state, request = runtime.state, ongoing.request
    if state.ongoing.pop(request.request_id, None) is None:
        return
    if ongoing.trial is not None:
        suspicion.end_trial(runtime, ongoing, ran=False)
    produced = request.offset - ongoing.call.offset
    if not request.exposed and not produced:
        turns.leave_queue(runtime, ongoing)
        return
    known = cost.count_cost(
        prompt_bytes=len(ongoing.call.body),
        output_tokens=produced,
        adapter=bool(ongoing.item.base_key),
    )
    effects = queue.finish(
        state.admission, request.request_id, tokens=known, now=runtime.clock.now()
    )
    turns.apply_effects(runtime, effects)


def _learn(runtime: Runtime, ongoing: Ongoing) -> None:
    """Learn from a whole answer."""
    request = ongoing.request
    budget.note_success(runtime.state.budget, retried=request.attempts > 1)
    if not ongoing.call.offset:
        cost.note_output(
            runtime.state.costs, item=ongoing.item.key, tokens=request.offset
        )
