"""Calls to plain services.

A call with a repeatable method is retried at another address if one fails. Any other
call is retried only if no byte of it was sent, or if the service itself reported that
it did not accept the call. A call marked as unrepeatable makes a claim in addition.
"""

from functools import partial

from arbutuspulley.admission import retry_budget
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.schema import Service
from arbutuspulley.data import State, Value
from arbutuspulley.delivery import request as lifecycle
from arbutuspulley.delivery.claims import ClaimState
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry import answers, claims
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.claims import settle_on_failure
from arbutuspulley.entry.relay import wait_for_result
from arbutuspulley.entry.state import REQUEST_TIMEOUT_MS, Runtime
from arbutuspulley.ports.engines import (
    BrokenError,
    NotSentError,
    RefusedError,
    ServiceReply,
    ServiceRequest,
)
from arbutuspulley.results import Code, RunState
from arbutuspulley.tracing import open_span

FAILED_ADDRESS_BACKOFF_MS = 2 * SECOND_MS
"""How long an address that failed is avoided while others are available."""

_ENTRY_HEADERS = frozenset({"content-type", "date", "server"})
_NO_ADDRESS = lifecycle.NoServer(code=Code.SERVICE_UNAVAILABLE)


class ServiceCall(Value, frozen=True):
    """A validated call to a plain service.

    :param call: the caller and its configuration; its path contains the method and the
        service, so that an idempotency key applies to one of each.
    :param request: the request to the service.
    """

    call: Call
    service: Service
    request: ServiceRequest


class _ServiceRun(State):
    """State of one call in progress.

    :param service_call: the call that is made.
    :param request: its lifecycle, with attempts and deadline.
    """

    service_call: ServiceCall
    request: lifecycle.RequestState
    address: str = ""


def find_service(call: Call, name: str) -> Service:
    """Return the service with a name.

    :raises RequestError: ``UNKNOWN_SERVICE``.
    """
    service = call.index.site.services.get(name)
    if service is None:
        raise build_failure(Code.UNKNOWN_SERVICE, "there is no such service")
    return service


def answer_service(runtime: Runtime, service_call: ServiceCall) -> answers.Answer:
    """Call a plain service and return its answer unchanged.

    :raises RequestError: if no attempt is answered.
    """
    if not service_call.call.unrepeatable:
        return _build_answer(_run(runtime, service_call))
    stored = wait_for_result(
        runtime, claims.claim(runtime, service_call.call), has_caller_left=_never
    )
    if stored is None:
        return _run_claimed(runtime, service_call)
    return answers.build_success(
        stored.body, status=stored.status, content_type=stored.content_type
    )


def _run_claimed(runtime: Runtime, service_call: ServiceCall) -> answers.Answer:
    with settle_on_failure(runtime, service_call.call):
        reply = _run(runtime, service_call)
    stored = claims.StoredAnswer(
        status=reply.status, content_type=_find_content_type(reply), body=reply.body
    )
    settled = claims.settle(runtime, service_call.call, ClaimState.ANSWERED, stored)
    wait_for_result(runtime, settled, has_caller_left=_never)
    return _build_answer(reply)


def _run(runtime: Runtime, service_call: ServiceCall) -> ServiceReply:
    """Make attempts until one is answered or no further one is allowed."""
    run = _ServiceRun(service_call=service_call, request=_build_request(service_call))
    event: lifecycle.Event = lifecycle.Admitted()
    while True:
        address = runtime.loop.call(partial(_advance, runtime, run, event))
        with open_span(
            "entry.service", parent=service_call.call.traceparent, address=address
        ) as traceparent:
            outcome = _attempt(runtime, run, address, traceparent)
        if isinstance(outcome, ServiceReply):
            runtime.loop.post(lambda: _record_success(runtime, run))
            return outcome
        event = outcome


def _build_request(service_call: ServiceCall) -> lifecycle.RequestState:
    repeatable = service_call.request.method in service_call.service.repeatable_methods
    return lifecycle.RequestState(
        request_id=service_call.call.request_id,
        deadline=service_call.call.arrived_at + REQUEST_TIMEOUT_MS,
        repeatable=repeatable and not service_call.call.unrepeatable,
    )


def _attempt(
    runtime: Runtime, run: _ServiceRun, address: str, traceparent: str
) -> ServiceReply | lifecycle.Event:
    request = run.service_call.request
    if traceparent:
        request = ServiceRequest(
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            traceparent=traceparent,
        )
    try:
        return runtime.engines.call_service(address, request)
    except NotSentError:
        return lifecycle.NotSent(server=address)
    except RefusedError as error:
        return lifecycle.Refused(
            server=address,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            leaving=error.leaving,
            final=error.final,
        )
    except BrokenError:
        return lifecycle.Broken(server=address, next_offset=0)


def _advance(runtime: Runtime, run: _ServiceRun, event: lifecycle.Event) -> str:
    """Return the address for the next attempt; runs on the loop.

    :raises RequestError: if no further attempt is allowed.
    """
    state, now = runtime.state, runtime.clock.now()
    if isinstance(event, lifecycle.NotSent | lifecycle.Broken):
        state.address_backoff_until[event.server] = now + FAILED_ADDRESS_BACKOFF_MS
    effects = lifecycle.advance(
        run.request,
        event,
        now=now,
        try_spend_retry=lambda: retry_budget.try_spend_retry(
            state.retry_budget, now=now
        ),
    )
    for effect in effects:
        if isinstance(effect, lifecycle.Fail):
            raise effect.error
        if isinstance(effect, lifecycle.Dispatch):
            address = _choose_address(runtime, run, effect.avoid)
            return address or _advance(runtime, run, _NO_ADDRESS)
    raise build_failure(
        Code.INTERNAL, "the call ended without an answer", run_state=RunState.UNKNOWN
    )


def _choose_address(runtime: Runtime, run: _ServiceRun, avoid: frozenset[str]) -> str:
    backoff_until, now = runtime.state.address_backoff_until, runtime.clock.now()
    usable = [
        address
        for address in run.service_call.service.addresses
        if address not in avoid
    ]
    healthy = [address for address in usable if backoff_until.get(address, 0) <= now]
    candidates = healthy or usable
    return runtime.rng.choice(candidates) if candidates else ""


def _record_success(runtime: Runtime, run: _ServiceRun) -> None:
    retry_budget.record_success(
        runtime.state.retry_budget, retried=run.request.attempts > 1
    )


def _find_content_type(reply: ServiceReply) -> str:
    for name, value in reply.headers:
        if name.lower() == "content-type":
            return value
    return "application/octet-stream"


def _build_answer(reply: ServiceReply) -> answers.Answer:
    headers = tuple(
        (name, value)
        for name, value in reply.headers
        if not _is_set_by_entry(name.lower())
    )
    return answers.build_success(
        reply.body,
        status=reply.status,
        content_type=_find_content_type(reply),
        headers=headers,
    )


def _is_set_by_entry(name: str) -> bool:
    """Return whether the entry itself sets a header of the answer."""
    return name in _ENTRY_HEADERS or name.startswith("x-arbutus-")


def _never() -> bool:
    return False
