"""HTTP paths of the engine stand-in.

``POST /v1/chat/completions``, ``POST /v1/completions``
    Run an inference request. The answer is always a stream of server-sent events with
    ``id: <attempt>:<offset>``; see :mod:`arbutuspulley.adapters.engine_messages` for
    the headers. Comments keep the connection alive while there is no token to send.

``POST /orders``, ``POST /cancel``, ``GET /report``, ``GET /cache-events?after=``
    The other calls of the engines port.

``POST /control``
    Set faults; the JSON keys are those of
    :class:`~arbutuspulley.standins.engine_control.Control`. Answers 400 and changes
    nothing if the body is invalid.

``GET /control/counters``
    Return :class:`~arbutuspulley.standins.engine_control.Counters`.
"""

import queue
from collections.abc import Generator
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec

from arbutuspulley.adapters import engine_messages as wire
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.ports.engines import Order
from arbutuspulley.results import RunState
from arbutuspulley.standins import answer, engine_cache
from arbutuspulley.standins.answer import BadBodyError, Prompt
from arbutuspulley.standins.control import consume_fault
from arbutuspulley.standins.engine_batch import Run
from arbutuspulley.standins.engine_control import Control
from arbutuspulley.standins.engine_runtime import EngineRuntime, Tokens
from arbutuspulley.standins.engine_state import (
    EngineState,
    Refusal,
    apply_control,
    build_counters,
    read_report,
    receive_order,
)
from arbutuspulley.standins.routes import Incoming, Outgoing, Routes
from arbutuspulley.standins.server import break_connection

HEARTBEAT_MS = 500
"""Time without a token after which a comment is sent.

Writing a comment to a closed connection fails, and the attempt is then cancelled.
"""

ADMISSION_LINE_PREFIX = "admitted"
"""First word of the line written to stdout per admission: prefix, digest, offset."""

_COMMENT = b": waiting\n\n"

_Result = TypeVar("_Result")


class _StreamFaults(Value, frozen=True):
    """Faults that apply to one answer; see :class:`.engine_control.Control`.

    :param break_after: number of tokens after which the connection is closed.
    """

    unanswered: bool = False
    break_after: int | None = None
    skip_end_marker: bool = False
    stray_chunks: bool = False


class _Answer(Value, frozen=True):
    """One answer that is being streamed.

    :param first: offset of the first token to send.
    """

    run: Run
    prompt: Prompt
    first: int
    tokens: Tokens
    faults: _StreamFaults


def build_routes(runtime: EngineRuntime) -> Routes:
    """Return the request handlers of an engine."""
    return {
        ("POST", answer.CHAT_PATH): lambda incoming: _infer(runtime, incoming),
        ("POST", answer.COMPLETION_PATH): lambda incoming: _infer(runtime, incoming),
        ("POST", "/orders"): lambda incoming: _order(runtime, incoming),
        ("POST", "/cancel"): lambda incoming: _cancel(runtime, incoming),
        ("GET", "/report"): lambda _incoming: _send_json(
            runtime.run_locked(lambda state, now: read_report(state, now=now))
        ),
        ("GET", "/cache-events"): lambda incoming: _read_cache(runtime, incoming),
        ("POST", "/control"): lambda incoming: _control(runtime, incoming),
        ("GET", "/control/counters"): lambda _incoming: _send_json(
            runtime.run_locked(lambda state, _now: build_counters(state))
        ),
    }


def _infer(runtime: EngineRuntime, incoming: Incoming) -> Outgoing:
    try:
        prompt = answer.read_prompt(path=incoming.path, body=incoming.body)
        run = _build_run(incoming, prompt)
    except (BadBodyError, ValueError) as error:
        return _refuse(HTTPStatus.BAD_REQUEST, Refusal(message=str(error)))
    if runtime.run_locked(
        lambda state, _now: consume_fault(state.faults, "fail_requests")
    ):
        return Outgoing(status=HTTPStatus.INTERNAL_SERVER_ERROR)
    first = run.offset
    tokens = runtime.submit(run)
    if isinstance(tokens, Refusal):
        missing = tokens.missing
        busy = HTTPStatus.SERVICE_UNAVAILABLE
        return _refuse(HTTPStatus.NOT_FOUND if missing else busy, tokens)
    # Written before the first token is sent: unlike the counters, the line survives a
    # SIGKILL of the engine.
    print(f"{ADMISSION_LINE_PREFIX} {run.digest} {first}\n", end="", flush=True)
    faults = runtime.run_locked(lambda state, _now: _consume_faults(state))
    if faults.unanswered:
        return Outgoing(cut=True)
    streamed = _Answer(
        run=run, prompt=prompt, first=first, tokens=tokens, faults=faults
    )
    return Outgoing(body=_stream(runtime, streamed), content_type="text/event-stream")


def _build_run(incoming: Incoming, prompt: Prompt) -> Run:
    headers = incoming.headers
    request_id = headers.get(wire.REQUEST_ID.lower(), "")
    return Run(
        request_id=request_id,
        attempt_id=headers.get(wire.ATTEMPT_ID.lower(), request_id),
        item=headers.get(wire.ITEM.lower(), prompt.model),
        digest=prompt.digest,
        words=prompt.words,
        tokens=prompt.tokens,
        offset=int(headers.get(wire.RESUME_OFFSET.lower(), "0")),
        priority=int(headers.get(wire.PRIORITY.lower(), "0")),
    )


def _refuse(status: int, refusal: Refusal) -> Outgoing:
    headers = [(wire.RUN_STATE, RunState.NOT_RUN.value)]
    if refusal.leaving:
        headers.append((wire.LEAVING, "true"))
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // SECOND_MS)
        headers.append(("Retry-After", str(seconds)))
        headers.append((wire.RETRY_AFTER_MS, str(refusal.retry_after_ms)))
    body = {"error": {"message": refusal.message, "type": "refused"}}
    return Outgoing(
        status=status,
        body=msgspec.json.encode(body),
        headers=tuple(headers),
    )


def _consume_faults(state: EngineState) -> _StreamFaults:
    faults = state.faults
    breaks = consume_fault(faults, "break_streams")
    return _StreamFaults(
        unanswered=consume_fault(faults, "break_requests"),
        break_after=faults.break_after_tokens if breaks else None,
        skip_end_marker=consume_fault(faults, "skip_end_markers"),
        stray_chunks=consume_fault(faults, "stray_chunks"),
    )


def _stream(runtime: EngineRuntime, streamed: _Answer) -> Generator[bytes, None, None]:
    """Stream an answer and cancel the attempt if the caller disconnects."""
    try:
        # The first bytes send the status line, which tells the caller that the run is
        # admitted.
        yield _COMMENT
        yield from _stream_tokens(streamed)
    finally:
        runtime.cancel(streamed.run.attempt_id)


def _stream_tokens(streamed: _Answer) -> Generator[bytes, None, None]:
    sent = 0
    offset = streamed.first
    while offset < streamed.prompt.tokens:
        if sent == streamed.faults.break_after:
            break_connection()
            return
        try:
            token = streamed.tokens.get(timeout=HEARTBEAT_MS / SECOND_MS)
        except queue.Empty:
            yield _COMMENT
            continue
        if token is None:
            return
        yield _build_token_event(streamed, token.offset)
        if streamed.faults.stray_chunks and sent == 0:
            yield _build_stray_events(streamed, token.offset)
        sent += 1
        offset = token.offset + 1
    yield _build_last_events(streamed)


def _build_token_event(streamed: _Answer, offset: int) -> bytes:
    data = answer.build_token_data(
        request_id=streamed.run.request_id,
        item=streamed.run.item,
        prompt=streamed.prompt,
        index=offset,
    )
    return _build_event(streamed.run.attempt_id, offset, data)


def _build_stray_events(streamed: _Answer, offset: int) -> bytes:
    """Build a late event of an old attempt at the next offset, and a duplicate."""
    data = answer.build_token_data(
        request_id=streamed.run.request_id,
        item="another",
        prompt=streamed.prompt,
        index=offset + 1,
    )
    late = _build_event(f"old-{streamed.run.attempt_id}", offset + 1, data)
    return late + _build_token_event(streamed, offset)


def _build_last_events(streamed: _Answer) -> bytes:
    run, prompt = streamed.run, streamed.prompt
    data = answer.build_finish_data(request_id=run.request_id, prompt=prompt)
    events = [_build_event(run.attempt_id, prompt.tokens, data)]
    if streamed.first > prompt.tokens:
        events.clear()
    if not streamed.faults.skip_end_marker:
        end_at = prompt.tokens + answer.EVENTS_AFTER_TOKENS - 1
        events.append(_build_event(run.attempt_id, end_at, wire.END_MARKER))
    return b"".join(events)


def _build_event(attempt_id: str, offset: int, data: bytes) -> bytes:
    return b"id: %b:%d\ndata: %b\n\n" % (attempt_id.encode(), offset, data)


def _order(runtime: EngineRuntime, incoming: Incoming) -> Outgoing:
    order = _decode(incoming.body, Order)
    if order is None:
        return Outgoing(status=HTTPStatus.BAD_REQUEST)
    reply = runtime.run_locked(lambda state, now: receive_order(state, order, now=now))
    return Outgoing(cut=True) if reply is None else _send_json(reply)


def _cancel(runtime: EngineRuntime, incoming: Incoming) -> Outgoing:
    request = _decode(incoming.body, wire.CancelRequest)
    if request is None:
        return Outgoing(status=HTTPStatus.BAD_REQUEST)
    runtime.cancel(request.attempt_id)
    return _send_json({})


def _read_cache(runtime: EngineRuntime, incoming: Incoming) -> Outgoing:
    after = incoming.query.get("after", "0")
    if not after.isdecimal():
        return Outgoing(status=HTTPStatus.BAD_REQUEST)
    return _send_json(
        runtime.run_locked(
            lambda state, now: engine_cache.read_events(
                state.cache, after=int(after), now=now
            )
        )
    )


def _control(runtime: EngineRuntime, incoming: Incoming) -> Outgoing:
    control = _decode(incoming.body, Control)
    if control is None:
        return Outgoing(status=HTTPStatus.BAD_REQUEST)
    runtime.run_locked(lambda state, now: apply_control(state, control, now=now))
    return _send_json({})


def _decode(body: bytes, kind: type[_Result]) -> _Result | None:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError:
        return None


def _send_json(value: Any) -> Outgoing:
    return Outgoing(body=msgspec.json.encode(value))
