"""What an entry counts and learns while requests come, run and end."""

from arbutuspulley.admission import cost, queue, retry_budget
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery import request as life
from arbutuspulley.entry import turns
from arbutuspulley.entry.state import Attempt, Demand, Ongoing, Runtime
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code, RequestError
from arbutuspulley.routing import choice

_LACKING = frozenset(
    {
        Code.MODEL_NOT_LOADED,
        Code.OVERLOADED,
        Code.DEADLINE_OUT_OF_REACH,
        Code.SHARE_EXCEEDED,
    }
)


def count_demand(runtime: Runtime, ongoing: Ongoing) -> None:
    """Count a request that asks for an item."""
    demand = runtime.state.demand.setdefault(ongoing.item.key, Demand())
    demand.requests += 1
    demand.tokens += ongoing.cost


def count_refusal(runtime: Runtime, ongoing: Ongoing, error: RequestError) -> None:
    """Count a request that was refused for lack of a copy or of room."""
    if error.code not in _LACKING:
        return
    demand = runtime.state.demand.setdefault(ongoing.item.key, Demand())
    demand.refused += 1


def begin_attempt(runtime: Runtime, ongoing: Ongoing, attempt: Attempt) -> None:
    """Count an attempt at the server that was chosen for it."""
    state, now = runtime.state, runtime.clock.now()
    server, request_id = attempt.server, ongoing.call.request_id
    ongoing.attempt = attempt
    queue.assign(state.admission, request_id, server=server, now=now)
    choice.begin_attempt(state.routing, server, ongoing.cost, now=now)
    offset = attempt.request.offset
    if offset > ongoing.call.offset:
        runtime.metrics.resumed.inc()
        log_event(Event.STREAM_RESUMED, request=request_id, offset=offset)


def note_first_event(runtime: Runtime, request_id: str) -> None:
    """Take note that the first event of an answer has come."""
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
    ongoing: Ongoing,
    attempt: Attempt,
    event: life.Event,
    *,
    died: bool,
) -> None:
    """Take what the end of an attempt tells of its server."""
    state, now = runtime.state, runtime.clock.now()
    succeeded, outcome = isinstance(event, life.Ended), type(event).__name__.lower()
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
    if isinstance(event, life.Refused) and event.leaving:
        choice.record_leaving(state.routing, attempt.server, now)
    elif isinstance(event, life.NotSent | life.Broken) or died:
        choice.record_failure(state.routing, attempt.server, now)
    if isinstance(event, life.Broken) and not died:
        ongoing.alive |= {attempt.server}


def settle(runtime: Runtime, ongoing: Ongoing) -> None:
    """Give back what a request that is over held, and charge what it used."""
    request, now = ongoing.request, runtime.clock.now()
    produced = request.offset - ongoing.call.offset
    if not request.may_have_run and not produced:
        turns.leave_queue(runtime, ongoing)
        return
    used = cost.compute_cost(
        prompt_bytes=len(ongoing.call.body),
        output_tokens=produced,
        adapter=bool(ongoing.item.base_key),
    )
    admission = runtime.state.admission
    effects = queue.finish(admission, request.request_id, tokens=used, now=now)
    turns.apply_effects(runtime, effects)


def learn(runtime: Runtime, ongoing: Ongoing) -> None:
    """Learn from a whole answer."""
    request = ongoing.request
    retry_budget.record_success(runtime.state.budget, retried=request.attempts > 1)
    if not ongoing.call.offset:
        cost.record_output_length(
            runtime.state.costs, item=ongoing.item.key, tokens=request.offset
        )
