"""HTTP client for backend servers: model engines (server-sent events) and services.

:mod:`.engine_calls` decides which error a failed call raises.
"""

from collections.abc import Callable, Generator
from typing import TypeVar

import msgspec
import urllib3
from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from arbutuspulley.adapters import sse
from arbutuspulley.adapters.engine_calls import (
    build_status_error,
    describe,
    is_not_admitted,
    read_body,
    send,
)
from arbutuspulley.adapters.engine_messages import (
    ATTEMPT_ID,
    END_MARKER,
    ITEM,
    PRIORITY,
    REQUEST_ID,
    RESUME_OFFSET,
    CancelRequest,
)
from arbutuspulley.adapters.engine_orders import send_order
from arbutuspulley.adapters.http import Target
from arbutuspulley.clock import Clock
from arbutuspulley.decoding import UndecodableError, guard_decoding
from arbutuspulley.ports.engines import (
    BrokenError,
    CacheEvent,
    Chunk,
    Engines,
    InferenceRequest,
    NotSentError,
    Report,
    ServiceReply,
    ServiceRequest,
)
from arbutuspulley.tracing import TRACEPARENT

_READ_BYTES = 64 * 1024
_BUSY_STATUSES = frozenset({429, 503})
_JSON_TYPE = "application/json"
_JSON = {"Content-Type": _JSON_TYPE}
_PLACEHOLDER = Chunk(attempt_id="", offset=0, data=b"")
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_Reply = TypeVar("_Reply")


_decode_report = guard_decoding(msgspec.json.Decoder(Report).decode)
_decode_cache_events = guard_decoding(
    msgspec.json.Decoder(tuple[CacheEvent, ...]).decode
)


def connect_engines(
    *,
    connect_timeout_ms: int = 1_000,
    read_timeout_ms: int = 30_000,
    order_timeout_ms: int = 5_000,
    clock: Clock | None = None,
) -> Engines:
    """Return the implementation of the engines port.

    :param connect_timeout_ms: timeout of opening a connection.
    :param read_timeout_ms: timeout of the next event of an answer, and of the next
        bytes of a service's reply.
    :param order_timeout_ms: timeout of the replies to orders, report requests,
        cancellations and requests for cache events.
    :param clock: clock for the timeout of the next event.
    """
    clock = clock or Clock()

    def target_request(address: str) -> Target:
        return Target(
            address=address,
            connect_timeout_ms=connect_timeout_ms,
            read_timeout_ms=read_timeout_ms,
        )

    def target_control(address: str) -> Target:
        return Target(
            address=address,
            connect_timeout_ms=connect_timeout_ms,
            read_timeout_ms=order_timeout_ms,
        )

    return Engines(
        infer=lambda address, request: _infer(
            target_request(address),
            request,
            idle_timeout_ms=read_timeout_ms,
            clock=clock,
        ),
        cancel=lambda address, attempt_id: _cancel(target_control(address), attempt_id),
        report=lambda address: _get_json(
            target_control(address), "/report", _decode_report
        ),
        order=lambda address, order: send_order(
            address,
            order,
            connect_timeout_ms=connect_timeout_ms,
            timeout_ms=order_timeout_ms,
        ),
        cache_events=lambda address, after: _get_json(
            target_control(address),
            f"/cache-events?after={after}",
            _decode_cache_events,
        ),
        call_service=lambda address, request: _call_service(
            target_request(address), request
        ),
    )


def _infer(
    server: Target,
    request: InferenceRequest,
    *,
    idle_timeout_ms: int,
    clock: Clock,
) -> Generator[Chunk, None, None]:
    headers = {
        "Content-Type": _JSON_TYPE,
        REQUEST_ID: request.request_id,
        ATTEMPT_ID: request.attempt_id,
        RESUME_OFFSET: str(request.offset),
        PRIORITY: str(request.priority),
        ITEM: request.item,
    }
    if request.traceparent:
        headers[TRACEPARENT] = request.traceparent
    response = send(server, "POST", request.path, body=request.body, headers=headers)
    if response.status != 200:
        raise build_status_error(response)
    chunks = _read_chunks(response, idle_timeout_ms=idle_timeout_ms, clock=clock)
    # Closing a generator that was never started skips its ``finally``, which would
    # leave closing the connection, and so the cancellation, to the garbage collector.
    # Advancing it to its first yield, a placeholder, makes ``close`` work at once.
    next(chunks)
    return chunks


def _read_chunks(
    response: BaseHTTPResponse, *, idle_timeout_ms: int, clock: Clock
) -> Generator[Chunk, None, None]:
    """Yield a placeholder, then each chunk, including the one with the end marker."""
    is_complete = False
    buffer = sse.EventBuffer()
    try:
        yield _PLACEHOLDER
        last_event_at = clock.now()
        while not is_complete:
            events = _feed(buffer, _read_some(response))
            # An engine whose batch hangs may keep sending comments, so received bytes
            # alone don't show that the answer is making progress.
            if not events and clock.now() - last_event_at > idle_timeout_ms:
                raise BrokenError(detail=f"stream idle for over {idle_timeout_ms} ms")
            for event in events:
                chunk = _build_chunk(event)
                is_complete = is_complete or chunk.last
                yield chunk
                last_event_at = clock.now()
    finally:
        if is_complete:
            response.drain_conn()
        # The engine cancels an attempt that is not complete.
        response.close()


def _read_some(response: BaseHTTPResponse) -> bytes:
    try:
        received = response.read1(_READ_BYTES)
    except HTTPError as error:
        raise BrokenError(detail=f"stream interrupted: {describe(error)}") from error
    if not received:
        raise BrokenError(detail="stream ended without its end marker")
    return received


def _feed(buffer: sse.EventBuffer, received: bytes) -> tuple[sse.SentEvent, ...]:
    try:
        return tuple(sse.feed(buffer, received))
    except sse.EventTooLongError as error:
        raise BrokenError(detail=str(error)) from error


def _build_chunk(event: sse.SentEvent) -> Chunk:
    attempt_id, _, offset = event.id.rpartition(":")
    if not offset.isdecimal():
        # Without attempt and offset the event could be any part of any answer.
        raise BrokenError(detail="stream has an event without attempt and offset")
    return Chunk(
        attempt_id=attempt_id,
        offset=int(offset),
        data=event.data,
        last=event.data == END_MARKER,
    )


def _call_service(server: Target, request: ServiceRequest) -> ServiceReply:
    headers = urllib3.HTTPHeaderDict(_remove_hop_by_hop(request.headers))
    if request.traceparent:
        headers[TRACEPARENT] = request.traceparent
    response = send(
        server, request.method, request.path, body=request.body or None, headers=headers
    )
    if response.status in _BUSY_STATUSES and is_not_admitted(response):
        raise build_status_error(response)
    return ServiceReply(
        status=response.status,
        headers=_remove_hop_by_hop(tuple(response.headers.iteritems())),
        body=read_body(response),
    )


def _remove_hop_by_hop(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers without the hop-by-hop ones."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )


def _cancel(server: Target, attempt_id: str) -> None:
    """Cancel an attempt; errors are ignored, as an unreachable engine runs nothing."""
    body = msgspec.json.encode(CancelRequest(attempt_id=attempt_id))
    try:
        read_body(send(server, "POST", "/cancel", body=body, headers=_JSON))
    except (NotSentError, BrokenError):
        return


def _get_json(
    server: Target,
    target: str,
    decode: Callable[[bytes], _Reply],
) -> _Reply:
    response = send(server, "GET", target, body=None, headers=_JSON)
    received = read_body(response)
    if response.status != 200:
        raise BrokenError(detail=f"{target} answered with status {response.status}")
    try:
        return decode(received)
    except UndecodableError as error:
        raise BrokenError(detail=f"{target} answered with a malformed body") from error
