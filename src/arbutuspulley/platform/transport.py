"""HTTP client of a process; its errors show whether a request may have been sent."""

import asyncio
import math
import re
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import aiohttp
import yarl
from aiohttp.http_exceptions import PayloadEncodingError

from arbutuspulley.platform import names
from arbutuspulley.platform.connections import (
    BODILESS_STATUSES,
    FOREIGN_ANSWER,
    READ_BYTES,
    AnswerCutError,
    Connection,
    Connector,
    ExtraAnswer,
    begin_call,
    read_clock,
    record_idle_timeout,
)
from arbutuspulley.platform.held_bytes import BrokenError, HeldBytes
from arbutuspulley.platform.memory_bound import MIN_PAUSED_BYTES, HeldAnswer
from arbutuspulley.platform.requests import is_valid_status, shorten_name
from arbutuspulley.ports.answers import AnswerEnd, Framing
from arbutuspulley.ports.fleet import InboundRequest
from arbutuspulley.settings import split_address
from arbutuspulley.sockets import set_reset_on_close

CONNECT_TIMEOUT_S = 0.6
"""Timeout for opening a connection, in s; data centres are 1 ms apart, and a lost SYN
is retransmitted after a second at the earliest."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP keep-alive: idle time before the first probe, interval of probes, both in s, and
number of probes. A dead peer is detected after about 3 s."""

USER_TIMEOUT_MS = 2_500
"""How long sent bytes may remain unacknowledged, in ms, before the connection is
considered broken."""

LARGE_BODY_BYTES = 32_768
"""Above this size, part of a body may still be unsent when the answer ends. Its
connection is not reused: the server would read the rest as another request."""

_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
"""Any but the tab, which headers may have."""


class NotSentError(Exception):
    """No byte of the request reached the server; it certainly did not run."""


def open_session(
    *,
    on_extra: Callable[[ExtraAnswer], None] = lambda _: None,
    get_max_open: Callable[[], float] = lambda: math.inf,
) -> aiohttp.ClientSession:
    """Open a client session. It never retries a request by itself.

    :param on_extra: called with each answer that doesn't belong to its call.
    :param get_max_open: returns how many connections may be open before those that
        are idle are closed for new ones.
    """
    return _open_session(_open_socket, on_extra, get_max_open=get_max_open)


def open_order_session(
    *, on_extra: Callable[[ExtraAnswer], None] = lambda _: None
) -> aiohttp.ClientSession:
    """Open a client session with a connection for each order, reset when it is closed.

    After an ordinary close, the operating system still sends buffered data. During a
    network partition, an order of a holder whose lease had expired was delivered when
    the partition healed, after orders of the next holder. A reset discards it.

    :param on_extra: called with each answer that doesn't belong to its call.
    """
    return _open_session(_open_resetting_socket, on_extra, is_kept=False)


def _open_session(
    open_socket: Callable[[tuple[Any, ...]], socket.socket],
    on_extra: Callable[[ExtraAnswer], None],
    *,
    is_kept: bool = True,
    get_max_open: Callable[[], float] = lambda: math.inf,
) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=Connector(
            open_socket=open_socket,
            on_extra=on_extra,
            is_kept=is_kept,
            get_max_open=get_max_open,
        ),
        auto_decompress=False,
        read_bufsize=READ_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # The library would retry an idempotent method on a broken connection, though the
    # route may not allow retries.
    session._retry_connection = False
    return session


async def probe_connection(address: str, *, timeout_s: float) -> bool:
    """Return whether a connection to a server can be opened; nothing is sent on it.

    :param address: its ``host:port``.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    info = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ())
    with _open_resetting_socket(info) as opened:
        try:
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(opened, (host, port))
        except OSError:  # a timeout, too
            return False
    return True


def discard_idle_connections(session: aiohttp.ClientSession, address: str) -> None:
    """Prevent reuse of the connections to a server that are idle now.

    :param address: its ``host:port``.
    """
    if isinstance(session.connector, Connector):
        session.connector.restarts[address] = read_clock()


async def send_request(
    session: aiohttp.ClientSession,
    request: InboundRequest,
    *,
    address: str,
    headers: list[tuple[str, str]],
) -> aiohttp.ClientResponse:
    """Send a request to a server and return its answer once its headers are received.

    The answer belongs to this request; see :mod:`arbutuspulley.platform.connections`.

    :raises NotSentError: if no connection to the server could be opened.
    :raises BrokenError: if the connection broke, or the answer was invalid or can't be
        told from answers to other requests.
    """
    if len(request.body) > LARGE_BODY_BYTES:
        headers = [*headers, ("Connection", "close")]
    with begin_call(request.attempt_id) as call:
        try:
            response = await session.request(
                request.method,
                yarl.URL(f"http://{address}{request.path}", encoded=True),
                headers=headers,
                data=request.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(str(error)) from error
        except (aiohttp.ClientError, ConnectionError, ValueError) as error:
            if call.is_lost:
                raise BrokenError(FOREIGN_ANSWER, end=AnswerEnd.FOREIGN) from error
            raise _build_broken_error(error) from error
    if not is_valid_status(response.status):
        response.close()
        raise BrokenError(f"invalid status {response.status}", end=AnswerEnd.STATUS)
    if not _has_valid_head(response):
        response.close()
        raise BrokenError("invalid head", end=AnswerEnd.INVALID)
    record_idle_timeout(session, address, response.headers)
    return response


def _has_valid_head(response: aiohttp.ClientResponse) -> bool:
    """Return whether the head is that of an answer that can be forwarded.

    The library reads control characters, but does not write them, and takes a change of
    the protocol for the final answer.
    """
    if response.status < HTTPStatus.OK:
        return False
    texts = (response.reason or "", *response.headers.values())
    return _CONTROL_CHARACTER.search("\t".join(texts)) is None


def read_named_attempt(response: aiohttp.ClientResponse) -> str:
    """Return the attempt that an answer names; empty: none."""
    return shorten_name(response.headers.get(names.ATTEMPT_ID, ""))


def count_calls_before(response: aiohttp.ClientResponse) -> int:
    """Return how many calls an answer's connection had carried before this one."""
    protocol = getattr(response, "_protocol", None)
    return protocol.calls - 1 if isinstance(protocol, Connection) else 0


def read_framing(response: aiohttp.ClientResponse) -> Framing:
    """Return by what the end of an answer's body is recognised."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return Framing.NONE
    headers = response.headers
    if "chunked" in headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    if "Content-Length" in headers:
        return Framing.LENGTH
    return Framing.CLOSE


async def read_held_body(
    response: aiohttp.ClientResponse, answer: HeldAnswer, *, held: HeldBytes
) -> bytes:
    """Read the body of an answer to its end, within the bound on all answers.

    It counts until it is removed from what is held.

    :raises BrokenError: if it ends before the server ended it, or is too large.
    :raises AnswerAbandonedError: if it was aborted for the bound.
    """
    body = bytearray()
    expected = response.content_length or 0
    is_admitted = False
    try:
        with held.reading(answer):
            while part := await read_part(response):
                body += part
                answer.taken += len(part)
                held.update(answer, len(body))
                if not is_admitted and max(expected, len(body)) > MIN_PAUSED_BYTES:
                    is_admitted = True
                    await held.wait_for_room(answer, expected=expected)
            held.complete(answer)
    except BrokenError:
        response.close()
        raise
    return bytes(body)


async def read_body(
    response: aiohttp.ClientResponse, *, held: HeldBytes | None = None
) -> bytes:
    """Read the body of an answer to its end.

    :param held: what is held of other answers meanwhile.
    :raises BrokenError: if it ends before the server ended it, or is too large.
    """
    held = held or HeldBytes()
    body = bytearray()
    try:
        while part := await read_part(response):
            body += part
            held.change(before=len(body) - len(part), now=len(body))
    except BrokenError:
        response.close()
        raise
    finally:
        held.change(before=len(body), now=0)
    return bytes(body)


async def read_part(response: aiohttp.ClientResponse) -> bytes:
    """Read what has arrived of the body of an answer; empty at its end.

    :raises BrokenError: if it ends before the server ended it.
    """
    try:
        return await response.content.readany()
    except (aiohttp.ClientError, ConnectionError) as error:
        raise _build_broken_error(error) from error


def _build_broken_error(error: Exception) -> BrokenError:
    return BrokenError(f"{type(error).__name__}: {error}", end=_classify(error))


def _classify(error: Exception) -> AnswerEnd:
    if isinstance(error, AnswerCutError):
        return error.end
    if isinstance(error.__cause__, PayloadEncodingError):
        return AnswerEnd.SHORT
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return AnswerEnd.SHORT
    if isinstance(error, aiohttp.ClientPayloadError | OSError):
        return AnswerEnd.RESET
    return AnswerEnd.INVALID


def _open_resetting_socket(info: tuple[Any, ...]) -> socket.socket:
    opened = _open_socket(info)
    set_reset_on_close(opened, True)
    return opened


def _open_socket(info: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol, _name, _address = info
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened
