"""Backend servers over HTTP: model engines (server-sent events) and plain services.

The one question that this adapter must answer without error is whether a failed
request may have run. See :func:`_send` and :func:`_read_refusal`.
"""

from collections.abc import Callable, Generator, Mapping
from typing import TypeVar

import msgspec
import urllib3
from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from arbutuspulley.adapters import sse
from arbutuspulley.adapters.http import build_pool, is_not_sent
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Message, Value
from arbutuspulley.ports.engines import (
    BrokenError,
    CacheEvent,
    Chunk,
    Engines,
    InferenceRequest,
    NotSentError,
    OrderReply,
    RefusedError,
    Report,
    ServiceReply,
    ServiceRequest,
)
from arbutuspulley.results import RunState
from arbutuspulley.tracing import TRACEPARENT

REQUEST_ID = "X-Arbutus-Request-Id"
"""Header with the id of the request, the same for all its attempts."""

ATTEMPT_ID = "X-Arbutus-Attempt-Id"
"""Header with the id of this attempt; every event of the answer repeats it."""

RESUME_OFFSET = "X-Arbutus-Resume-Offset"
"""Header with the index of the first event wanted."""

PRIORITY = "X-Arbutus-Priority"
"""Header with the priority; higher goes first."""

ITEM = "X-Arbutus-Item"
"""Header with the key of the item that must answer."""

RUN_STATE = "X-Arbutus-Run-State"
"""Header by which a server says that it refused before admission (``not_run``)."""

LEAVING = "X-Arbutus-Leaving"
"""Header of a refusal by a server that is leaving (``true``)."""

RETRY_AFTER_MS = "X-Arbutus-Retry-After-Ms"
"""Header of a refusal: when to come back, finer than ``Retry-After``."""

END_MARKER = b"[DONE]"
"""Data of the event after which an answer is whole."""

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Largest reply taken from a plain service or to an order or a report."""

_READ_BYTES = 64 * 1024
_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_BUSY_STATUSES = frozenset({429, 503})
_BAD_REQUEST_STATUSES = frozenset({400, 404, 405, 413, 422})
_JSON_TYPE = "application/json"
_JSON = {"Content-Type": _JSON_TYPE}
_ADMITTED = Chunk(attempt_id="", offset=0, data=b"")
_HOP_HEADERS = frozenset(
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
_Pools = Callable[[str], urllib3.HTTPConnectionPool]


class CancelRequest(Message, frozen=True):
    """Body of a cancellation."""

    attempt_id: str


class _ErrorDetail(Message, frozen=True):
    message: str = ""


class _ErrorBody(Message, frozen=True):
    """An error in the usual protocol's shape."""

    error: _ErrorDetail = _ErrorDetail()


_REPORT = msgspec.json.Decoder(Report)
_ORDER_REPLY = msgspec.json.Decoder(OrderReply)
_CACHE_EVENTS = msgspec.json.Decoder(tuple[CacheEvent, ...])
_ERROR_BODY = msgspec.json.Decoder(_ErrorBody)


def connect_engines(
    *,
    connect_timeout_ms: int = 1_000,
    read_timeout_ms: int = 30_000,
    order_timeout_ms: int = 5_000,
    connections: int = 64,
) -> Engines:
    """Return the verbs towards backend servers.

    :param connect_timeout_ms: longest wait for a connection.
    :param read_timeout_ms: longest wait for the next bytes of an answer.
    :param order_timeout_ms: longest wait for the reply to an order, a report, a
        cancellation or for cache events.
    :param connections: idle connections kept to each server.
    """
    answers = _keep_pools(
        connect_timeout_ms=connect_timeout_ms,
        read_timeout_ms=read_timeout_ms,
        connections=connections,
    )
    control = _keep_pools(
        connect_timeout_ms=connect_timeout_ms,
        read_timeout_ms=order_timeout_ms,
        connections=2,
    )

    def call_service(address: str, request: ServiceRequest) -> ServiceReply:
        if request.method.upper() in _REPEATABLE_METHODS:
            return _call_service(answers(address), request)
        # A kept connection that the server closes as idle while a request is on
        # its way leaves the outcome unknown, and an unrepeatable request could not
        # be sent again. A fresh connection cannot be idle, so this never happens.
        with build_pool(
            address=address,
            connect_timeout_ms=connect_timeout_ms,
            read_timeout_ms=read_timeout_ms,
            connections=1,
        ) as pool:
            return _call_service(pool, request)

    return Engines(
        infer=lambda address, request: _infer(answers(address), request),
        cancel=lambda address, attempt_id: _cancel(control(address), attempt_id),
        report=lambda address: _exchange(control(address), "GET", "/report", _REPORT),
        order=lambda address, order: _exchange(
            control(address), "POST", "/orders", _ORDER_REPLY, body=order
        ),
        cache_events=lambda address, after: _exchange(
            control(address), "GET", f"/cache-events?after={after}", _CACHE_EVENTS
        ),
        call_service=call_service,
    )


def _keep_pools(
    *, connect_timeout_ms: int, read_timeout_ms: int, connections: int
) -> _Pools:
    pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def find(address: str) -> urllib3.HTTPConnectionPool:
        pool = pools.get(address)
        if pool is not None:
            return pool
        built = build_pool(
            address=address,
            connect_timeout_ms=connect_timeout_ms,
            read_timeout_ms=read_timeout_ms,
            connections=connections,
        )
        # Two threads may get here at once; setdefault keeps one pool for both.
        return pools.setdefault(address, built)

    return find


def _infer(
    pool: urllib3.HTTPConnectionPool, request: InferenceRequest
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
    response = _send(pool, "POST", request.path, body=request.body, headers=headers)
    if response.status != 200:
        raise _read_refusal(response)
    chunks = _read_chunks(response)
    # Closing a generator that was never started skips its ``finally``: the
    # connection would stay open and the attempt would run on unseen. Advancing it
    # to its first, empty yield makes closing work from the beginning.
    next(chunks)
    return chunks


def _read_chunks(response: BaseHTTPResponse) -> Generator[Chunk, None, None]:
    """Yield a placeholder, then every chunk up to the end marker."""
    whole = False
    buffer = sse.EventBuffer()
    try:
        yield _ADMITTED
        while not whole:
            for event in _feed(buffer, _read_some(response)):
                chunk = _build_chunk(event)
                whole = whole or chunk.last
                yield chunk
    finally:
        if whole:
            response.drain_conn()
            response.release_conn()
        else:
            # The engine cancels the attempt when its connection closes.
            response.close()


def _read_some(response: BaseHTTPResponse) -> bytes:
    try:
        received = response.read1(_READ_BYTES)
    except HTTPError as error:
        raise BrokenError(detail=f"stream broke off: {_describe(error)}") from error
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
        # Without its place the event could be any part of any answer.
        raise BrokenError(detail="stream has an event without attempt and offset")
    return Chunk(
        attempt_id=attempt_id,
        offset=int(offset),
        data=event.data,
        last=event.data == END_MARKER,
    )


def _call_service(
    pool: urllib3.HTTPConnectionPool, request: ServiceRequest
) -> ServiceReply:
    headers = urllib3.HTTPHeaderDict(_keep_end_to_end(request.headers))
    if request.traceparent:
        headers[TRACEPARENT] = request.traceparent
    response = _send(
        pool, request.method, request.path, body=request.body or None, headers=headers
    )
    if response.status in _BUSY_STATUSES and _is_not_admitted(response):
        raise _read_refusal(response)
    return ServiceReply(
        status=response.status,
        headers=_keep_end_to_end(tuple(response.headers.iteritems())),
        body=_read_whole(response),
    )


def _keep_end_to_end(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Leave out the headers that concern one connection only."""
    return tuple(
        (name, value) for name, value in headers if name.lower() not in _HOP_HEADERS
    )


def _cancel(pool: urllib3.HTTPConnectionPool, attempt_id: str) -> None:
    """Ask for a cancellation; an engine that cannot be reached needs none."""
    body = msgspec.json.encode(CancelRequest(attempt_id=attempt_id))
    try:
        _read_whole(_send(pool, "POST", "/cancel", body=body, headers=_JSON))
    except (NotSentError, BrokenError):
        return


def _exchange(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    target: str,
    decoder: msgspec.json.Decoder[_Reply],
    *,
    body: Value | None = None,
) -> _Reply:
    encoded = msgspec.json.encode(body) if body is not None else None
    response = _send(pool, method, target, body=encoded, headers=_JSON)
    received = _read_whole(response)
    if response.status != 200:
        raise BrokenError(detail=f"{target} answered with status {response.status}")
    try:
        return decoder.decode(received)
    except msgspec.DecodeError as error:
        raise BrokenError(detail=f"{target} answered with another format") from error


def _send(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    target: str,
    *,
    body: bytes | None,
    headers: Mapping[str, str],
) -> BaseHTTPResponse:
    """Send a request once and return the head of the answer.

    :raises NotSentError: if no byte left.
    :raises BrokenError: if some may have left and no answer came.
    """
    try:
        return pool.urlopen(
            method,
            target,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
            redirect=False,
            retries=False,
        )
    except HTTPError as error:
        detail = f"{pool.host}:{pool.port}: {_describe(error)}"
        if is_not_sent(error):
            raise NotSentError(detail=detail) from error
        raise BrokenError(detail=detail) from error


def _read_whole(response: BaseHTTPResponse) -> bytes:
    try:
        body = response.read(MAX_REPLY_BYTES + 1)
    except HTTPError as error:
        raise BrokenError(detail=f"reply broke off: {_describe(error)}") from error
    if len(body) > MAX_REPLY_BYTES:
        response.close()
        raise BrokenError(detail=f"reply over {MAX_REPLY_BYTES} bytes")
    response.release_conn()
    return body


def _read_refusal(response: BaseHTTPResponse) -> RefusedError | BrokenError:
    """Tell what a status other than 200 proves.

    Only the server's own word that it did not admit the request, or a status by
    which it found the request wrong, proves that nothing ran. A bare 500 or 503
    may come from a server that failed halfway.
    """
    not_admitted = _is_not_admitted(response)
    wrong = response.status in _BAD_REQUEST_STATUSES
    detail = _read_detail(response)
    if not not_admitted and not wrong:
        return BrokenError(detail=detail)
    # A server that lacks the item says 404 as well, but another one may have it.
    not_here = response.status == 404 and not_admitted
    return RefusedError(
        detail=detail,
        retry_after_ms=_read_retry_after(response),
        leaving=response.headers.get(LEAVING) == "true",
        final=wrong and not not_here,
    )


def _read_detail(response: BaseHTTPResponse) -> str:
    fallback = f"backend server answered with status {response.status}"
    try:
        body = _ERROR_BODY.decode(_read_whole(response))
    except (BrokenError, msgspec.DecodeError):
        return fallback
    return body.error.message or fallback


def _read_retry_after(response: BaseHTTPResponse) -> int | None:
    exact = response.headers.get(RETRY_AFTER_MS, "")
    if exact.isdecimal():
        return int(exact)
    seconds = response.headers.get("Retry-After", "")
    if seconds.isdecimal():
        return int(seconds) * SECOND_MS
    return None


def _is_not_admitted(response: BaseHTTPResponse) -> bool:
    return response.headers.get(RUN_STATE) == RunState.NOT_RUN.value


def _describe(error: HTTPError) -> str:
    """Name an error without the addresses and objects in its own message."""
    return type(error).__name__
