"""The request state machine: effects of each event, and the final error."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from arbutuspulley.delivery import request as life
from arbutuspulley.results import Code, RunState

ADMITTED = life.Admitted()
NOT_SENT = life.NotSent(server="s1")
BUSY = life.Refused(server="s1", detail="busy", retry_after_ms=700)
LEAVING = life.Refused(server="s1", detail="leaving", leaving=True)
REFUSED_FINALLY = life.Refused(server="s1", detail="wrong", final=True)
BROKEN = life.Broken(server="s1", next_offset=7)
ENDED = life.Ended(next_offset=9)
CALLER_LEFT = life.CallerLeft(next_offset=3)
DEADLINE_PASSED = life.DeadlinePassed()
BARRED = life.Barred(code=Code.QUARANTINED, detail="no", retry_after_ms=9_000)
BROKEN_BARRED = life.Broken(server="s1", next_offset=7, barred=BARRED)
NO_SERVER = life.NoServer(retry_after_ms=3_000)
DEADLINE = 1_000


def build(**fields):
    return life.RequestState(request_id="r", deadline=DEADLINE, **fields)


def show(effect):
    if isinstance(effect, life.Dispatch):
        return f"dispatch {effect.attempt_id} at {effect.offset}"
    if isinstance(effect, life.Fail):
        error = effect.error
        return f"{error.code.name} {error.run_state} {error.retry_after_ms}"
    return type(effect).__name__.lower()


def run_events(state, *events, retries=8, now=0):
    """Return the effects, and the number of retries left."""
    remaining = [True] * retries
    shown = []
    for event in events:
        effects = life.advance(
            state,
            event,
            now=now,
            try_spend_retry=lambda: bool(remaining and remaining.pop()),
        )
        shown += [show(effect) for effect in effects]
    return shown, len(remaining)


@pytest.mark.parametrize(
    ("events", "ending"),
    [
        ((ENDED,), "finish"),
        ((NO_SERVER,), "MODEL_NOT_LOADED not_run 3000"),
        ((BARRED,), "QUARANTINED not_run 9000"),
        ((REFUSED_FINALLY,), "BAD_PARAMETER not_run None"),
        ((CALLER_LEFT,), "cancel"),
        ((DEADLINE_PASSED,), "cancel"),
        ((NOT_SENT, ENDED), "finish"),
        ((NOT_SENT, NO_SERVER), "MODEL_NOT_LOADED not_run 3000"),
        ((BROKEN, NO_SERVER), "MODEL_NOT_LOADED unknown 3000"),
        ((BROKEN, BARRED), "QUARANTINED unknown 9000"),
        ((BROKEN_BARRED,), "QUARANTINED unknown 9000"),
        ((BROKEN, REFUSED_FINALLY), "BAD_PARAMETER unknown None"),
        ((BROKEN, BUSY, ENDED), "finish"),
    ],
)
def test_final_effect_of_each_event_sequence(events, ending):
    shown, _ = run_events(build(), ADMITTED, *events)
    assert shown[len(events)] == ending


@pytest.mark.parametrize(
    ("event", "ending", "unrepeatable_ending"),
    [
        (NOT_SENT, "RETRIES_EXHAUSTED not_run 1000", None),
        (BUSY, "RETRIES_EXHAUSTED not_run 700", None),
        (BROKEN, "RETRIES_EXHAUSTED unknown 1000", "OUTCOME_UNKNOWN unknown None"),
    ],
)
def test_fails_at_once_when_the_retry_budget_is_empty(
    event, ending, unrepeatable_ending
):
    """A third of the servers fail, and each request is attempted three times.

    The healthy servers would get three times the load and fail as well, so that no
    request succeeds. Retries are limited by a budget; without budget, a failure is
    final at once.
    """
    shown, _ = run_events(build(), ADMITTED, event, retries=0)
    assert shown == ["dispatch r.1 at 0", ending]
    shown, _ = run_events(build(repeatable=False), ADMITTED, event, retries=0)
    assert shown[-1] == (unrepeatable_ending or ending)


def test_resumes_on_another_server_from_the_next_offset():
    """An engine dies in the middle of an answer.

    If the answer restarted, the caller would read the first half twice; if the request
    failed, it would get half an answer.
    """
    state = build(offset=2)
    shown, remaining = run_events(state, ADMITTED, BROKEN, retries=3)
    assert shown == ["dispatch r.1 at 2", "dispatch r.2 at 7"]
    assert (remaining, state.avoid) == (2, {"s1"})


@pytest.mark.parametrize("first", [NOT_SENT, BUSY, LEAVING])
def test_never_sends_an_unrepeatable_request_twice(first):
    """A booking confirmation is sent, and the connection is interrupted.

    The engine confirmed the booking although no answer arrived. If the request were
    sent to another engine, the booking would be confirmed twice. Only attempts that
    certainly did not run may be retried.
    """
    shown, remaining = run_events(
        build(repeatable=False), ADMITTED, first, BROKEN, NOT_SENT
    )
    assert shown[:2] == ["dispatch r.1 at 0", "dispatch r.2 at 0"]
    assert shown[2:] == ["OUTCOME_UNKNOWN unknown None"]
    assert remaining == 8 if first is LEAVING else 7


def test_a_leaving_server_costs_no_retry():
    shown, remaining = run_events(build(), ADMITTED, LEAVING, retries=0)
    assert shown[-1] == "dispatch r.2 at 0"
    assert remaining == 0


@pytest.mark.parametrize(
    ("events", "ending"),
    [
        ((), "DEADLINE_OUT_OF_REACH not_run 1000"),
        ((NOT_SENT,), "DEADLINE_OUT_OF_REACH not_run 1000"),
        ((BROKEN,), "ANSWER_INCOMPLETE unknown 1000"),
        ((DEADLINE_PASSED,), "ANSWER_INCOMPLETE unknown 1000"),
    ],
)
def test_fails_at_its_deadline(events, ending):
    state = build()
    if events:
        run_events(state, ADMITTED)
    shown, _ = run_events(state, *(events or (ADMITTED,)), now=DEADLINE)
    assert shown[-1] == ending


EVENTS = st.sampled_from(
    [
        ADMITTED,
        NOT_SENT,
        BUSY,
        LEAVING,
        REFUSED_FINALLY,
        BROKEN,
        ENDED,
        CALLER_LEFT,
        DEADLINE_PASSED,
        NO_SERVER,
    ]
)


@given(st.lists(EVENTS, max_size=12), st.booleans(), st.integers(0, 3))
def test_invariants_hold_for_any_event_sequence(events, repeatable, retries):
    """Three invariants hold for any sequence of faults.

    The run state "not run" is returned only if no attempt was interrupted; an
    unrepeatable request is not sent again after it may have run; after the end there
    are no more effects.
    """
    state = build(repeatable=repeatable)
    broke = False
    for event in (ADMITTED, *events):
        was_ended = state.phase is life.Phase.ENDED
        effects = life.advance(
            state, event, now=0, try_spend_retry=lambda: state.attempts <= retries
        )
        assert not (was_ended and effects)
        broke = broke or (not was_ended and isinstance(event, life.Broken))
        for effect in effects:
            assert not (isinstance(effect, life.Dispatch) and broke and not repeatable)
            if isinstance(effect, life.Fail) and broke:
                assert effect.error.run_state is RunState.UNKNOWN


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_request_that_is_admitted_again_is_not_sent_twice(repeatable):
    """Guards against a second attempt beside the first one, which an unrepeatable
    request must never get."""
    state = build(repeatable=repeatable)
    (first,) = life.advance(state, ADMITTED, now=0, try_spend_retry=lambda: True)
    assert isinstance(first, life.Dispatch)
    assert life.advance(state, ADMITTED, now=0, try_spend_retry=lambda: True) == ()
    assert (state.attempts, state.attempt_id) == (1, first.attempt_id)


@example(events=[ADMITTED] * 8, repeatable=False, retries=0)
@given(st.lists(EVENTS, max_size=12), st.booleans(), st.integers(0, 3))
def test_attempts_stay_within_their_bound_for_any_event_sequence(
    events, repeatable, retries
):
    """Guards against attempts beyond the bound, whichever events come."""
    state = build(repeatable=repeatable)
    for event in (ADMITTED, *events):
        life.advance(
            state, event, now=0, try_spend_retry=lambda: state.attempts <= retries
        )
    assert state.attempts <= life.MAX_ATTEMPTS
