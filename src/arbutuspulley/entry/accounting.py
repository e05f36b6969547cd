"""Records demand, attempts, usage and output lengths of requests."""

from arbutuspulley.admission import cost, queue, retry_budget
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery import request as lifecycle
from arbutuspulley.entry import admission_queue
from arbutuspulley.entry.state import Attempt, Demand, OngoingRequest, Runtime
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code, RequestError
from arbutuspulley.routing import choice

_CAPACITY_CODES = frozenset(
    {
        Code.MODEL_NOT_LOADED,
        Code.OVERLOADED,
        Code.DEADLINE_OUT_OF_REACH,
        Code.SHARE_EXCEEDED,
    }
)


def record_demand(runtime: Runtime, ongoing: OngoingRequest) -> None:
    """Add a request to the demand for its item."""
    demand = runtime.state.demand.setdefault(ongoing.item.key, Demand())
    demand.requests += 1
    demand.tokens += ongoing.cost


def record_refusal(
    runtime: Runtime, ongoing: OngoingRequest, error: RequestError
) -> None:
    """Count a request that was refused because no copy or capacity was free."""
    if error.code not in _CAPACITY_CODES:
        return
    demand = runtime.state.demand.setdefault(ongoing.item.key, Demand())
    demand.refused += 1


def begin_attempt(runtime: Runtime, ongoing: OngoingRequest, attempt: Attempt) -> None:
    """Record the start of an attempt in admission, routing and the metrics."""
    state, now = runtime.state, runtime.clock.now()
    server, request_id = attempt.server, ongoing.call.request_id
    ongoing.attempt = attempt
    queue.assign(state.admission, request_id, server=server, now=now)
    choice.begin_attempt(state.routing, server, ongoing.cost, now=now)
    offset = attempt.request.offset
    if offset > ongoing.call.offset:
        runtime.metrics.resumed.inc()
        log_event(Event.STREAM_RESUMED, request=request_id, offset=offset)


def record_first_event(runtime: Runtime, request_id: str) -> None:
    """Record the arrival of the first event of an answer."""
    ongoing = runtime.state.ongoing.get(request_id)
    if ongoing is None or ongoing.attempt is None:
        return
    now = runtime.clock.now()
    queue.record_first_token(runtime.state.admission, request_id, now=now)
    choice.record_success(runtime.state.routing, ongoing.attempt.server)
    if ongoing.request.attempts == 1:
        elapsed_ms = now - ongoing.call.arrived_at
        runtime.metrics.first_token.observe(elapsed_ms / SECOND_MS)


def end_attempt(
    runtime: Runtime,
    ongoing: OngoingRequest,
    attempt: Attempt,
    event: lifecycle.Event,
    *,
    died: bool,
) -> None:
    """Update routing and the metrics with the outcome of an attempt.

    :param died: whether the server died during the attempt.
    """
    state, now = runtime.state, runtime.clock.now()
    succeeded, outcome = (
        isinstance(event, lifecycle.Ended),
        type(event).__name__.lower(),
    )
    ongoing.attempt = None
    choice.end_attempt(
        state.routing, attempt.server, ongoing.cost, now=now, succeeded=succeeded
    )
    runtime.metrics.attempts.labels(outcome).inc()
    if not succeeded:
        log_event(
            Event.ATTEMPT_FAILED,
            request=ongoing.call.request_id,
            server=attempt.server,
            outcome=outcome,
            died=died,
        )
    if isinstance(event, lifecycle.Refused) and event.leaving:
        choice.record_leaving(state.routing, attempt.server, now)
    elif isinstance(event, lifecycle.NotSent | lifecycle.Broken) or died:
        choice.record_failure(state.routing, attempt.server, now)
    if isinstance(event, lifecycle.Broken) and not died:
        ongoing.alive_servers |= {attempt.server}


def finish_admission(runtime: Runtime, ongoing: OngoingRequest) -> None:
    """Release the admission of a request that is over, and charge what it used.

    A request that cannot have run is not charged.
    """
    request, now = ongoing.request, runtime.clock.now()
    produced = request.offset - ongoing.call.offset
    if not request.may_have_run and not produced:
        admission_queue.leave_queue(runtime, ongoing)
        return
    used = cost.compute_cost(
        prompt_bytes=len(ongoing.call.body),
        output_tokens=produced,
        adapter=bool(ongoing.item.base_key),
    )
    admission = runtime.state.admission
    effects = queue.finish(admission, request.request_id, tokens=used, now=now)
    admission_queue.apply_effects(runtime, effects)


def record_success(runtime: Runtime, ongoing: OngoingRequest) -> None:
    """Credit the retry budget and record the output length of a complete answer."""
    request = ongoing.request
    retry_budget.record_success(
        runtime.state.retry_budget, retried=request.attempts > 1
    )
    if not ongoing.call.offset:
        cost.record_output_length(
            runtime.state.costs, item=ongoing.item.key, tokens=request.offset
        )
