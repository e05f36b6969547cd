"""Answers to requests to models, streamed or not, with or without a claim."""

from collections.abc import Generator
from contextlib import closing

import msgspec

from arbutuspulley.decoding import UndecodableError
from arbutuspulley.delivery.claims import ClaimState
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry import answers, claims
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.claims import settle_on_failure
from arbutuspulley.entry.relay import (
    CallerLeftError,
    HasCallerLeft,
    deliver,
    wait_for_result,
)
from arbutuspulley.entry.state import Runtime
from arbutuspulley.results import Code, RequestError, RunState

DISCONNECT_CHECK_CHUNKS = 16
"""Chunks of an unstreamed answer between checks for a disconnected caller."""

_EVENT_SEPARATOR = b"\n\n"
_STREAM_HEADERS = (("Cache-Control", "no-cache"),)


def answer_inference(
    runtime: Runtime, call: Call, *, has_caller_left: HasCallerLeft
) -> answers.Answer:
    """Run a request to a model and return its answer.

    :raises RequestError: if the request fails before the answer begins.
    :raises CallerLeftError: if the caller disconnected.
    """
    if call.unrepeatable:
        return _answer_unrepeatable(runtime, call)
    if not call.streamed:
        return answers.build_success(_assemble(runtime, call, has_caller_left))
    events = _build_events(runtime, call, has_caller_left)
    return _begin_stream(events)


def _answer_unrepeatable(runtime: Runtime, call: Call) -> answers.Answer:
    """Run an unrepeatable request once, to its end, even if its caller disconnects.

    The caller can retry with the same key and gets the stored answer.
    """
    stored = wait_for_result(
        runtime, claims.claim(runtime, call), has_caller_left=_never
    )
    if stored is not None:
        return _replay(call, stored)
    # This is the first run, whatever Last-Event-ID the caller sent.
    call = msgspec.structs.replace(call, offset=0)
    if call.streamed:
        return _begin_stream(_build_claimed_events(runtime, call))
    with settle_on_failure(runtime, call):
        body = _assemble(runtime, call, _never)
    answer = claims.StoredAnswer(status=200, content_type=answers.JSON_TYPE, body=body)
    _store_answer(runtime, call, answer)
    return answers.build_success(body)


def _assemble(runtime: Runtime, call: Call, has_caller_left: HasCallerLeft) -> bytes:
    assembly = answers.Assembly()
    with closing(deliver(runtime, call, has_caller_left=has_caller_left)) as chunks:
        for number, chunk in enumerate(chunks):
            _add_event(assembly, chunk.data)
            if number % DISCONNECT_CHECK_CHUNKS == 0 and has_caller_left():
                raise CallerLeftError
    return answers.build_plain_body(assembly)


def _add_event(assembly: answers.Assembly, data: bytes) -> None:
    try:
        answers.add_event(assembly, data)
    except (UndecodableError, AttributeError, TypeError):
        detail = "the server's answer does not follow the protocol"
        raise build_failure(
            Code.ANSWER_INCOMPLETE, detail, run_state=RunState.UNKNOWN
        ) from None


def _build_events(
    runtime: Runtime, call: Call, has_caller_left: HasCallerLeft
) -> Generator[bytes, None, None]:
    prefix = answers.build_event_prefix(call.request_id)
    with closing(deliver(runtime, call, has_caller_left=has_caller_left)) as chunks:
        for chunk in chunks:
            yield answers.build_event(prefix, chunk.offset, chunk.data)
    yield answers.END_EVENT


def _build_claimed_events(runtime: Runtime, call: Call) -> Generator[bytes, None, None]:
    """Yield events while the caller is connected; run to the end if it disconnects."""
    events: list[bytes] = []
    is_connected = True
    with settle_on_failure(runtime, call):
        for event in _build_events(runtime, call, _never):
            if event is answers.END_EVENT:
                continue
            events.append(event)
            if not is_connected:
                continue
            try:
                yield event
            except GeneratorExit:
                is_connected = False
    answer = claims.StoredAnswer(
        status=200, content_type=answers.EVENT_STREAM_TYPE, body=b"".join(events)
    )
    _store_answer(runtime, call, answer)
    if is_connected:
        yield answers.END_EVENT


def _begin_stream(events: Generator[bytes, None, None]) -> answers.Answer:
    """Wait for the first event, so that a refusal is sent with its own HTTP status."""
    first = next(events)
    outcome = answers.Outcome()
    return answers.build_success(
        _stream_events(first, events, outcome),
        content_type=answers.EVENT_STREAM_TYPE,
        headers=_STREAM_HEADERS,
        outcome=outcome,
    )


def _stream_events(
    first: bytes, events: Generator[bytes, None, None], outcome: answers.Outcome
) -> Generator[bytes, None, None]:
    """Yield a stream; an interrupted one ends with an error event and no end event."""
    with closing(events):
        try:
            yield first
            yield from events
        except RequestError as error:
            outcome.code, outcome.run_state = error.code, error.run_state
            yield answers.build_error_event(error)
        except BaseException:
            outcome.code, outcome.run_state = Code.ANSWER_INCOMPLETE, RunState.UNKNOWN
            raise


def _replay(call: Call, stored: claims.StoredAnswer) -> answers.Answer:
    """Return the stored answer of an earlier run, from the requested offset."""
    if stored.content_type != answers.EVENT_STREAM_TYPE:
        return answers.build_success(stored.body, status=stored.status)
    events = stored.body.split(_EVENT_SEPARATOR)[call.offset : -1]
    rest = b"".join(event + _EVENT_SEPARATOR for event in events)
    return answers.build_success(
        rest + answers.END_EVENT,
        content_type=stored.content_type,
        headers=_STREAM_HEADERS,
    )


def _store_answer(runtime: Runtime, call: Call, answer: claims.StoredAnswer) -> None:
    settled = claims.settle(runtime, call, ClaimState.ANSWERED, answer)
    wait_for_result(runtime, settled, has_caller_left=_never)


def _never() -> bool:
    return False
