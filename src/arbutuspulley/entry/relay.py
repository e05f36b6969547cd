"""Relays the chunks of one answer from a server to the caller, on a worker thread.

Each chunk is checked and forwarded without involving the event loop. The loop is called
only when an attempt begins or ends.
"""

import concurrent.futures
import time
from collections.abc import Callable, Coroutine, Generator
from contextlib import closing
from typing import Any, TypeVar

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery import request as lifecycle
from arbutuspulley.delivery.cursor import Cursor, Verdict, accept, begin_attempt
from arbutuspulley.entry import accounting, dispatch
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.state import Attempt, Runtime
from arbutuspulley.events import Event, log_event
from arbutuspulley.ports.engines import (
    BrokenError,
    Chunk,
    NotSentError,
    RefusedError,
)
from arbutuspulley.tracing import open_span

DISCONNECT_POLL_MS = 250
"""Interval at which a waiting worker checks that its caller is still connected."""

CRASH_WATCH_MS = SECOND_MS
"""How long a server must survive a suspect's broken stream to count as alive."""

CRASH_POLL_MS = 100
"""Interval at which the server is checked during that time."""

_Result = TypeVar("_Result")

HasCallerLeft = Callable[[], bool]
"""Returns whether the caller has closed its connection."""


class CallerLeftError(Exception):
    """The caller closed its connection before its answer was complete."""


def deliver(
    runtime: Runtime, call: Call, *, has_caller_left: HasCallerLeft
) -> Generator[Chunk, None, None]:
    """Run a request and yield the chunks of its answer, each once and in order.

    Closing the generator ends the request and cancels it at its server.

    :raises RequestError: if the answer cannot be completed.
    :raises CallerLeftError: if the caller disconnected while the worker waited.
    """
    attempt: Attempt | None = wait_for_result(
        runtime, dispatch.open_request(runtime, call), has_caller_left=has_caller_left
    )
    cursor = Cursor(attempt_id="", offset=call.offset)
    try:
        while attempt is not None:
            event, died = yield from _run_attempt(runtime, attempt, cursor)
            advanced = dispatch.advance_request(
                runtime, call.request_id, event, died=died
            )
            attempt = wait_for_result(
                runtime, advanced, has_caller_left=has_caller_left
            )
    except BaseException:
        # The request must release its capacity whatever ends the worker.
        _abandon(runtime, call, cursor)
        raise
    finally:
        _count_dropped(runtime, call, cursor)


def wait_for_result(
    runtime: Runtime,
    coroutine: Coroutine[Any, Any, _Result],
    *,
    has_caller_left: HasCallerLeft,
) -> _Result:
    """Run a coroutine on the loop and return its result, unless the caller disconnects.

    :raises CallerLeftError: if the caller disconnected; the coroutine is cancelled.
    """
    future = runtime.loop.submit(coroutine)
    while True:
        try:
            return future.result(DISCONNECT_POLL_MS / SECOND_MS)
        except concurrent.futures.TimeoutError:
            if future.done():
                return future.result()
            if has_caller_left():
                future.cancel()
                raise CallerLeftError from None


def _run_attempt(
    runtime: Runtime, attempt: Attempt, cursor: Cursor
) -> Generator[Chunk, None, tuple[lifecycle.Event, bool]]:
    """Make one attempt.

    :return: the event that ended it, and whether the server died.
    """
    request = attempt.request
    begin_attempt(cursor, attempt_id=request.attempt_id)
    with open_span(
        "entry.attempt",
        parent=request.traceparent,
        server=attempt.server,
        offset=request.offset,
    ) as traceparent:
        request = msgspec.structs.replace(request, traceparent=traceparent)
        try:
            chunks = runtime.engines.infer(attempt.address, request)
        except NotSentError:
            return lifecycle.NotSent(server=attempt.server), False
        except RefusedError as error:
            return _build_refused(attempt, error), False
        except BrokenError:
            return _classify_break(runtime, attempt, cursor)
        with closing(chunks):
            event = yield from _forward_chunks(runtime, attempt, cursor, chunks)
    if event is None:
        return _classify_break(runtime, attempt, cursor)
    return event, False


def _forward_chunks(
    runtime: Runtime,
    attempt: Attempt,
    cursor: Cursor,
    chunks: Generator[Chunk, None, None],
) -> Generator[Chunk, None, lifecycle.Event | None]:
    """Yield the chunks that have the expected offset.

    :return: the event that ended the attempt, or ``None`` if its stream broke.
    """
    start_offset = cursor.offset
    now, deadline = runtime.clock.now, attempt.deadline
    try:
        for chunk in chunks:
            verdict = accept(cursor, chunk)
            if verdict is Verdict.DELIVER:
                if chunk.offset == start_offset:
                    _record_first_event(runtime, attempt)
                yield chunk
            elif verdict is Verdict.END:
                return lifecycle.Ended(next_offset=cursor.offset)
            elif verdict is Verdict.GAP:
                return None
            if now() > deadline:
                return lifecycle.DeadlinePassed()
    except BrokenError:
        return None
    except GeneratorExit:
        if attempt.is_trial:
            _finish_trial_without_caller(runtime, attempt, cursor, chunks)
        raise
    return None


def _finish_trial_without_caller(
    runtime: Runtime,
    attempt: Attempt,
    cursor: Cursor,
    chunks: Generator[Chunk, None, None],
) -> None:
    """Run a trial to its end although the caller has disconnected.

    A cancelled trial would show nothing, and an impatient caller of a poison request
    would cause trials on one server after another.
    """
    event = _exhaust(_forward_chunks(runtime, attempt, cursor, chunks))
    died = False
    if event is None:
        event, died = _classify_break(runtime, attempt, cursor)
    request_id = attempt.request.request_id
    coroutine = dispatch.advance_request(runtime, request_id, event, died=died)
    runtime.loop.spawn(coroutine)


def _exhaust(
    forwarding: Generator[Chunk, None, lifecycle.Event | None],
) -> lifecycle.Event | None:
    while True:
        try:
            next(forwarding)
        except StopIteration as stop:
            return stop.value


def _classify_break(
    runtime: Runtime, attempt: Attempt, cursor: Cursor
) -> tuple[lifecycle.Event, bool]:
    """Determine whether only the connection broke, or the server died.

    A request during which a server died becomes a suspect; one whose connection broke
    does not. The current boot id of the server distinguishes the two cases.
    """
    died = _has_died(runtime, attempt)
    watch_until = runtime.clock.now() + CRASH_WATCH_MS if attempt.is_trial else 0
    # A suspect may crash its server shortly after the connection broke. With a single
    # check, a server that is about to die would clear the suspect.
    while not died and runtime.clock.now() < watch_until:
        time.sleep(CRASH_POLL_MS / SECOND_MS)
        died = _has_died(runtime, attempt)
    event = lifecycle.Broken(server=attempt.server, next_offset=cursor.offset)
    return event, died


def _has_died(runtime: Runtime, attempt: Attempt) -> bool:
    try:
        report = runtime.engines.report(attempt.address)
    except (NotSentError, BrokenError):
        return True
    return bool(attempt.boot_id) and report.boot_id != attempt.boot_id


def _build_refused(attempt: Attempt, error: RefusedError) -> lifecycle.Refused:
    return lifecycle.Refused(
        server=attempt.server,
        detail=error.detail,
        retry_after_ms=error.retry_after_ms,
        leaving=error.leaving,
        final=error.final,
    )


def _record_first_event(runtime: Runtime, attempt: Attempt) -> None:
    request_id = attempt.request.request_id
    runtime.loop.post(lambda: accounting.record_first_event(runtime, request_id))


def _abandon(runtime: Runtime, call: Call, cursor: Cursor) -> None:
    event = lifecycle.CallerLeft(next_offset=cursor.offset)
    coroutine = dispatch.advance_request(runtime, call.request_id, event)
    runtime.loop.spawn(coroutine)


def _count_dropped(runtime: Runtime, call: Call, cursor: Cursor) -> None:
    if not cursor.dropped:
        return
    runtime.metrics.dropped_chunks.inc(cursor.dropped)
    log_event(Event.CHUNK_DROPPED, request=call.request_id, dropped=cursor.dropped)
