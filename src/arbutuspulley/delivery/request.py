"""State machine of one request, from admission to its final answer.

A request is run by attempts, one at a time. :func:`advance` takes an event and returns
the effects to carry out; its caller does the I/O and reads the clock.

A repeatable request whose attempt was interrupted resumes on another server from the
next offset. An unrepeatable request is never sent again once bytes of it may have been
sent.
"""

import enum
from collections.abc import Callable

from arbutuspulley.data import State, Value
from arbutuspulley.delivery.failures import DEFAULT_RETRY_AFTER_MS, build_failure
from arbutuspulley.results import Code, RequestError, RunState

MAX_ATTEMPTS = 8
"""Maximum attempts of one request, in addition to retry budget and deadline."""


class Phase(enum.StrEnum):
    """Phase of a request's life cycle."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class RequestState(State):
    """State of one request.

    :param repeatable: whether it may be sent again after bytes of it were sent.
    :param deadline: time when it fails, in milliseconds of the caller's clock.
    :param offset: index of the next token that the caller needs.
    :param may_have_run: whether a server may have admitted any attempt so far.
    :param avoid: servers that further attempts should avoid.
    :param retry_after_ms: latest retry delay given by a server that refused it.
    """

    request_id: str
    deadline: int
    repeatable: bool = True
    offset: int = 0
    phase: Phase = Phase.WAITING
    attempts: int = 0
    attempt_id: str = ""
    may_have_run: bool = False
    avoid: frozenset[str] = frozenset()
    retry_after_ms: int | None = None


class Admitted(Value, frozen=True):
    """The request was admitted and may be dispatched; ignored once it has been."""


class NoServer(Value, frozen=True):
    """No server can run the request now.

    :param code: the reason, as returned to the caller.
    """

    code: Code = Code.MODEL_NOT_LOADED
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS


class Barred(Value, frozen=True):
    """The request must not be dispatched, for example because it is quarantined."""

    code: Code
    detail: str
    retry_after_ms: int


class NotSent(Value, frozen=True):
    """The attempt failed before a byte of it was sent."""

    server: str


class Refused(Value, frozen=True):
    """The server refused the attempt before admission.

    :param leaving: whether the server refused it because it is leaving.
    :param final: whether any other server would also refuse it.
    """

    server: str
    detail: str
    retry_after_ms: int | None = None
    leaving: bool = False
    final: bool = False


class Broken(Value, frozen=True):
    """The attempt was interrupted after bytes of it may have been sent.

    :param next_offset: index of the first token that the caller has not received.
    :param barred: reason why it must not be retried, or ``None`` if it may be.
    """

    server: str
    next_offset: int
    barred: Barred | None = None


class Ended(Value, frozen=True):
    """The end marker arrived at the right offset, which is ``next_offset``."""

    next_offset: int


class CallerLeft(Value, frozen=True):
    """The caller closed its connection after receiving events up to ``next_offset``."""

    next_offset: int = 0


class DeadlinePassed(Value, frozen=True):
    """The request's deadline has passed."""


Event = (
    Admitted
    | NoServer
    | Barred
    | NotSent
    | Refused
    | Broken
    | Ended
    | CallerLeft
    | DeadlinePassed
)
"""Events that :func:`advance` handles."""


class Dispatch(Value, frozen=True):
    """Send an attempt to a server that is not in ``avoid``, if there is another.

    :param offset: index of the first token wanted; above 0 resumes.
    """

    attempt_id: str
    offset: int
    avoid: frozenset[str]


class Cancel(Value, frozen=True):
    """Cancel the attempt at its server."""

    attempt_id: str


class Finish(Value, frozen=True):
    """The answer is complete."""


class Fail(Value, frozen=True):
    """Return this error to the caller at once."""

    error: RequestError


Effect = Dispatch | Cancel | Finish | Fail
"""Effects that the caller of :func:`advance` carries out."""

TrySpendRetry = Callable[[], bool]
"""Spends one retry of the budget or returns false, see ``admission.retry_budget``."""


def advance(
    state: RequestState, event: Event, *, now: int, try_spend_retry: TrySpendRetry
) -> tuple[Effect, ...]:
    """Apply an event to a request.

    :param now: the time in milliseconds.
    :param try_spend_retry: called once if, and only if, a retry is about to be made.
    :return: effects to carry out in order; empty if the request has already ended.
    """
    if state.phase is Phase.ENDED:
        return ()
    if isinstance(event, CallerLeft):
        return _handle_caller_left(state, event)
    if isinstance(event, Ended):
        state.offset = event.next_offset
        state.phase = Phase.ENDED
        return (Finish(),)
    if isinstance(event, DeadlinePassed) or now >= state.deadline:
        return _fail_past_deadline(state, event)
    if isinstance(event, Admitted):
        return _dispatch(state) if state.phase is Phase.WAITING else ()
    if isinstance(event, NoServer):
        detail = "no server can take it now"
        return _fail(state, event.code, detail, event.retry_after_ms)
    if isinstance(event, Barred):
        return _fail(state, event.code, event.detail, event.retry_after_ms)
    if isinstance(event, NotSent):
        state.avoid |= {event.server}
        return _retry(state, try_spend_retry)
    if isinstance(event, Refused):
        return _handle_refusal(state, event, try_spend_retry)
    return _handle_broken_attempt(state, event, try_spend_retry)


def get_run_state(state: RequestState) -> RunState:
    """Return whether a request without a complete answer may have run."""
    return RunState.UNKNOWN if state.may_have_run else RunState.NOT_RUN


def _dispatch(state: RequestState) -> tuple[Effect, ...]:
    state.phase = Phase.RUNNING
    state.attempts += 1
    state.attempt_id = f"{state.request_id}.{state.attempts}"
    return (
        Dispatch(attempt_id=state.attempt_id, offset=state.offset, avoid=state.avoid),
    )


def _handle_refusal(
    state: RequestState, event: Refused, try_spend_retry: TrySpendRetry
) -> tuple[Effect, ...]:
    state.avoid |= {event.server}
    if event.final:
        return _fail(state, Code.BAD_PARAMETER, event.detail, retry_after_ms=None)
    if event.retry_after_ms is not None:
        state.retry_after_ms = event.retry_after_ms
    if event.leaving and state.attempts < MAX_ATTEMPTS:
        # A leaving server is not a failure, and further attempts avoid it. This
        # attempt cannot add to an overload, so it costs no retry of the budget.
        return _dispatch(state)
    return _retry(state, try_spend_retry)


def _handle_broken_attempt(
    state: RequestState, event: Broken, try_spend_retry: TrySpendRetry
) -> tuple[Effect, ...]:
    state.may_have_run = True
    state.offset = max(state.offset, event.next_offset)
    state.avoid |= {event.server}
    if not state.repeatable:
        return _fail_unknown(state)
    if event.barred is not None:
        barred = event.barred
        return _fail(state, barred.code, barred.detail, barred.retry_after_ms)
    return _retry(state, try_spend_retry)


def _retry(state: RequestState, try_spend_retry: TrySpendRetry) -> tuple[Effect, ...]:
    if state.attempts >= MAX_ATTEMPTS or not try_spend_retry():
        detail = "servers failed and no retry is left"
        return _fail(state, Code.RETRIES_EXHAUSTED, detail)
    return _dispatch(state)


def _fail_past_deadline(state: RequestState, event: Event) -> tuple[Effect, ...]:
    running = state.phase is Phase.RUNNING and isinstance(event, DeadlinePassed)
    cancels = (Cancel(attempt_id=state.attempt_id),) if running else ()
    if running or isinstance(event, Broken):
        state.may_have_run = True
    if not state.may_have_run:
        detail = "no server could begin it in time"
        return (*cancels, *_fail(state, Code.DEADLINE_OUT_OF_REACH, detail))
    if not state.repeatable:
        return (*cancels, *_fail_unknown(state))
    detail = "the answer was not complete in time"
    return (*cancels, *_fail(state, Code.ANSWER_INCOMPLETE, detail))


def _fail_unknown(state: RequestState) -> tuple[Effect, ...]:
    """Fail an unrepeatable request that may have run.

    The server may have run it although the answer is lost, and a retry could then
    confirm a booking twice. A later retry by the caller cannot help either, so the
    error has no retry delay.
    """
    detail = "the server broke off; the request may have run"
    return _fail(state, Code.OUTCOME_UNKNOWN, detail, retry_after_ms=None)


def _fail(
    state: RequestState, code: Code, detail: str, retry_after_ms: int | None = 0
) -> tuple[Effect, ...]:
    if retry_after_ms == 0:
        retry_after_ms = state.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    state.phase = Phase.ENDED
    error = build_failure(
        code, detail, run_state=get_run_state(state), retry_after_ms=retry_after_ms
    )
    return (Fail(error=error),)


def _handle_caller_left(state: RequestState, event: CallerLeft) -> tuple[Effect, ...]:
    was_running = state.phase is Phase.RUNNING
    state.may_have_run = state.may_have_run or was_running
    state.offset = max(state.offset, event.next_offset)
    state.phase = Phase.ENDED
    return (Cancel(attempt_id=state.attempt_id),) if was_running else ()
