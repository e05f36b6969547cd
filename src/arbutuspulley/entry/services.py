"""Answers calls to plain services.

A method that may be repeated is tried at another address if one fails. Any other is
tried again only if no byte of it has left, or if the service itself said that it
did not take it. A call that is marked as unrepeatable makes a claim besides.
"""

from functools import partial

from arbutuspulley.admission import retry_budget
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.schema import Service
from arbutuspulley.data import State, Value
from arbutuspulley.delivery import request as life
from arbutuspulley.delivery.claims import ClaimState
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry import answers, claiming
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.claiming import settling
from arbutuspulley.entry.relay import wait
from arbutuspulley.entry.state import REQUEST_LIFE_MS, Runtime
from arbutuspulley.ports.engines import (
    BrokenError,
    NotSentError,
    RefusedError,
    ServiceReply,
    ServiceRequest,
)
from arbutuspulley.results import Code, RunState
from arbutuspulley.tracing import open_span

LEFT_OUT_MS = 2 * SECOND_MS
"""How long an address that failed is left out if there is another."""

_OWN_HEADERS = frozenset({"content-type", "date", "server"})
_NO_ANSWER = life.NoServer(code=Code.SERVICE_UNAVAILABLE)


class ServiceCall(Value, frozen=True):
    """A call to a plain service, checked.

    :param call: who calls, under which configuration; its path names the method and
        the service, so that a key belongs to one of each.
    :param request: what the service gets.
    """

    call: Call
    service: Service
    request: ServiceRequest


class _Run(State):
    """One call under way."""

    asked: ServiceCall
    request: life.RequestState
    address: str = ""


def find_service(call: Call, name: str) -> Service:
    """Return the service that a caller names.

    :raises RequestError: ``UNKNOWN_SERVICE``.
    """
    service = call.index.site.services.get(name)
    if service is None:
        raise build_failure(Code.UNKNOWN_SERVICE, "there is no such service")
    return service


def answer_service(runtime: Runtime, asked: ServiceCall) -> answers.Answer:
    """Call a plain service and return its answer as it is.

    :raises RequestError: if it is given up.
    """
    if not asked.call.unrepeatable:
        return _build_answer(_run(runtime, asked))
    stored = wait(runtime, claiming.claim(runtime, asked.call), has_left=_never)
    if stored is None:
        return _run_claimed(runtime, asked)
    return answers.build_success(
        stored.body, status=stored.status, content_type=stored.content_type
    )


def _run_claimed(runtime: Runtime, asked: ServiceCall) -> answers.Answer:
    with settling(runtime, asked.call):
        reply = _run(runtime, asked)
    stored = claiming.StoredAnswer(
        status=reply.status, content_type=_find_type(reply), body=reply.body
    )
    settled = claiming.settle(runtime, asked.call, ClaimState.ANSWERED, stored)
    wait(runtime, settled, has_left=_never)
    return _build_answer(reply)


def _run(runtime: Runtime, asked: ServiceCall) -> ServiceReply:
    """Make attempts until one is answered or the call is given up."""
    run = _Run(asked=asked, request=_build_request(asked))
    event: life.Event = life.Admitted()
    while True:
        address = runtime.loop.call(partial(_advance, runtime, run, event))
        with open_span(
            "entry.service", parent=asked.call.bearing, address=address
        ) as bearing:
            outcome = _attempt(runtime, run, address, bearing)
        if isinstance(outcome, ServiceReply):
            runtime.loop.post(lambda: _note_success(runtime, run))
            return outcome
        event = outcome


def _build_request(asked: ServiceCall) -> life.RequestState:
    repeatable = asked.request.method in asked.service.repeatable_methods
    return life.RequestState(
        request_id=asked.call.request_id,
        deadline=asked.call.arrived_at + REQUEST_LIFE_MS,
        repeatable=repeatable and not asked.call.unrepeatable,
    )


def _attempt(
    runtime: Runtime, run: _Run, address: str, bearing: str
) -> ServiceReply | life.Event:
    sent = run.asked.request
    if bearing:
        sent = ServiceRequest(
            method=sent.method,
            path=sent.path,
            headers=sent.headers,
            body=sent.body,
            traceparent=bearing,
        )
    try:
        return runtime.engines.call_service(address, sent)
    except NotSentError:
        return life.NotSent(server=address)
    except RefusedError as error:
        return life.Refused(
            server=address,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            leaving=error.leaving,
            final=error.final,
        )
    except BrokenError:
        return life.Broken(server=address, next_offset=0)


def _advance(runtime: Runtime, run: _Run, event: life.Event) -> str:
    """Return the address for the next attempt; runs on the loop.

    :raises RequestError: if the call is given up.
    """
    state, now = runtime.state, runtime.clock.now()
    if isinstance(event, life.NotSent | life.Broken):
        state.failed_addresses[event.server] = now + LEFT_OUT_MS
    effects = life.advance(
        run.request,
        event,
        now=now,
        try_spend_retry=lambda: retry_budget.try_spend_retry(state.budget, now=now),
    )
    for effect in effects:
        if isinstance(effect, life.Fail):
            raise effect.error
        if isinstance(effect, life.Dispatch):
            address = _choose_address(runtime, run, effect.avoid)
            return address or _advance(runtime, run, _NO_ANSWER)
    raise build_failure(
        Code.INTERNAL, "the call ended without an answer", run_state=RunState.UNKNOWN
    )


def _choose_address(runtime: Runtime, run: _Run, avoid: frozenset[str]) -> str:
    failed, now = runtime.state.failed_addresses, runtime.clock.now()
    usable = [one for one in run.asked.service.addresses if one not in avoid]
    sound = [one for one in usable if failed.get(one, 0) <= now]
    candidates = sound or usable
    return runtime.chance.choice(candidates) if candidates else ""


def _note_success(runtime: Runtime, run: _Run) -> None:
    retry_budget.record_success(runtime.state.budget, retried=run.request.attempts > 1)


def _find_type(reply: ServiceReply) -> str:
    for name, value in reply.headers:
        if name.lower() == "content-type":
            return value
    return "application/octet-stream"


def _build_answer(reply: ServiceReply) -> answers.Answer:
    kept = tuple(
        (name, value) for name, value in reply.headers if not _is_ours(name.lower())
    )
    return answers.build_success(
        reply.body,
        status=reply.status,
        content_type=_find_type(reply),
        headers=kept,
    )


def _is_ours(name: str) -> bool:
    """Tell whether the entry itself sets a header of the answer."""
    return name in _OWN_HEADERS or name.startswith("x-arbutus-")


def _never() -> bool:
    return False
