"""Connections to servers: which are reused, and which bytes on them answer a call.

One rule decides that for requests, second attempts, reports, orders and requests that
are sent for another instance. A call names its attempt, or it is a control call, which
names none. An answer belongs to the call in flight if it names the same attempt; one
that names none belongs to it only if nothing else on the connection could have caused
it. So a connection carries each attempt, and control calls together, at most once:
a second answer to the first try of a request at a server names the same attempt as the
second try there.

Answers that name another attempt are dropped, as their server sends the call's own one
after them. After any other answer that doesn't belong to the call, its own one can't be
found any more, and the connection is given up.
"""

import asyncio
import contextlib
import contextvars
import enum
import functools
import re
import socket
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.tracing import Trace

from arbutuspulley.data import State, Value
from arbutuspulley.platform import names
from arbutuspulley.platform.requests import shorten_name
from arbutuspulley.ports.answers import AnswerEnd

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""How long an idle connection is kept, in s, if the server does not state its idle
timeout. A request that is sent while the server closes the connection may have run."""

IDLE_TIMEOUT_MARGIN_S = 2.0
"""How much sooner than the server the client discards an idle connection, in s: the
server states whole seconds, and a blocked event loop sees a close late. The margin is
no larger because each reused connection saves a handshake."""

MAX_IDLE_TIMEOUT_S = 30.0
"""Longest time that an idle connection is kept, in s."""

READ_BYTES = 64 * 1_024
"""Maximum number of bytes that are read from a connection at once, and half of those
after which reading pauses until they are taken: one turn of the event loop reads from
many connections."""

MAX_FRAMING_BYTES = 256 * 1_024
"""Maximum size of what an answer has beside its body, in bytes: heads and chunk sizes.
"""

MAX_FRAMING_PER_BODY_BYTE = 16
"""What it may have in addition for each byte of the body; a chunk of one byte needs 5.
"""

_KEEP_ALIVE = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)

_MAX_TIMEOUT_DIGITS = 9
"""Number of digits that are read of an idle timeout; any more state a longer one."""

MAX_DROPPED_ANSWERS = 8
"""Maximum number of answers to other calls that are dropped during one call."""

MAX_DROPPED_BYTES = 128 * 1_024
"""Maximum size of the body of one of them, in bytes."""

MAX_REMEMBERED_ATTEMPTS = 256
"""Number of attempts that a connection remembers to have carried. An attempt returns to
a server within its caller's deadline, during which a connection carries fewer calls."""

BODILESS_STATUSES = frozenset((204, 304))
"""Statuses of answers without a body."""

FOREIGN_ANSWER = "not the answer to this request"
"""Detail of the error if an answer belongs to no call, or to another one."""

_HEAD_END = b"\r\n\r\n"


class Call(State):
    """A call to a server.

    :param attempt: the attempt that it names; empty for a control call.
    :param dropped: number of answers that arrived during it and named other attempts.
    :param is_lost: whether its connection was given up, as its answer can't be told
        from others.
    """

    attempt: str
    dropped: int = 0
    is_lost: bool = False


class ExtraAnswer(Value, frozen=True):
    """An answer that doesn't belong to the call in flight on its connection.

    :param address: ``host:port`` of the server.
    :param attempt: attempt of the call in flight, or the last one; empty for a control
        call.
    :param named: attempt that the answer names; empty: none.
    :param status: its HTTP status.
    :param is_dropped: whether the connection was read on, rather than given up.
    """

    address: str
    attempt: str
    named: str
    status: int
    is_dropped: bool


class _Owner(enum.Enum):
    """Which call an answer belongs to: the one in flight, another, or unknown."""

    THIS = enum.auto()
    OTHER = enum.auto()
    UNKNOWN = enum.auto()


_CALL: contextvars.ContextVar[Call | None] = contextvars.ContextVar(
    "call", default=None
)


@contextlib.contextmanager
def begin_call(attempt: str) -> Iterator[Call]:
    """Let the request that is sent meanwhile be a call, and return it.

    What is sent otherwise, to the store or over a link between instances, is none.

    :param attempt: the attempt that it names; empty for a control call.
    """
    call = Call(attempt=attempt)
    token = _CALL.set(call)
    try:
        yield call
    finally:
        _CALL.reset(token)


class AnswerCutError(aiohttp.ClientPayloadError):
    """An answer's body ended before its server ended it.

    :param end: how it ended.
    """

    def __init__(self, detail: str, *, end: AnswerEnd) -> None:
        super().__init__(detail)
        self.end = end


class Connection(ResponseHandler):
    """A connection that detects truncated answers and its own idle timeout.

    An answer without a length ends when the server closes the connection. The library
    treats a reset, and a close by this process, in the same way and would return the
    truncated answer as complete. After an invalid chunk it would return nothing.

    The library bounds each line of a head, but not the bytes that lead to no body.

    The library has one idle timeout for all servers, and measures it by a clock that
    stops while the machine is suspended; the server has closed the connection by then.

    :param idle_timeouts: idle timeouts of servers, in s, by host and port.
    :param restarts: when a restart of a server was detected, in s, by host and port.
    :param on_extra: called with each answer that doesn't belong to its call.
    :ivar calls: number of calls that it has carried.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        idle_timeouts: dict[str, float],
        restarts: dict[str, float],
        on_extra: Callable[[ExtraAnswer], None],
    ) -> None:
        super().__init__(loop)
        self._on_extra = on_extra
        self._call: Call | None = None
        self._is_answered = False
        self._has_carried_head = False
        self._attempts: deque[str] = deque(maxlen=MAX_REMEMBERED_ATTEMPTS)
        self._has_controlled = False
        self._has_stray_bytes = False
        self._dropping: list[StreamReader] = []
        self._idle_timeouts = idle_timeouts
        self._restarts = restarts
        self._last_received_at = 0.0
        self._received_bytes = 0
        self._has_server_closed = False
        self._heads = 0
        self.calls = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what one turn of the event loop receives."""
        # Attribute of the transport of the standard library's selector event loop.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)

    def set_response_params(self, **options: Any) -> None:
        """Prepare the connection for the next answer."""
        self._received_bytes = 0
        self._has_stray_bytes = bool(self._tail)
        self.calls += 1
        self._is_answered = False
        self._has_carried_head |= bool(options.get("skip_payload"))
        call = self._call = _CALL.get()
        if call is not None and call.attempt:
            self._attempts.append(call.attempt)
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Process received bytes and record the time."""
        self._last_received_at = read_clock()
        self._received_bytes += len(data)
        has_ended, heads = self._is_answered and self._has_ended(), self._heads
        self._parse(data)
        if data and has_ended and self._heads == heads:
            # The rest of another answer would come before the next call's own.
            self.force_close()
        self._drop_bodies()
        if self._has_excess_framing():
            self._give_up("more framing than an answer has")
        if isinstance(self.exception(), HttpProcessingError):
            self._record_loss()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes, each head by itself until the call is answered.

        If some of the bytes are invalid, the parser discards the heads before them as
        well, so that bytes behind a complete answer would spoil it.
        """
        start = 0
        while self._call is not None and not self._is_answered:
            end = data.find(_HEAD_END, start) + len(_HEAD_END)
            if end < len(_HEAD_END) or self.exception() is not None:
                break
            super().data_received(data[start:end])
            start = end
        if start < len(data) or not data:
            super().data_received(data[start:])

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Process the head of an answer."""
        message, payload = data
        self._heads += 1
        is_interim = message.code < 200 and message.code != 101
        call = self._call
        owner = _Owner.THIS
        if call is not None and not is_interim:
            owner = self._find_owner(call, message)
            self._is_answered |= owner is _Owner.THIS
        if call is None or owner is _Owner.THIS:
            super().feed_data(data, size)
            return
        is_dropped = (
            owner is _Owner.OTHER
            and call.dropped < MAX_DROPPED_ANSWERS
            and self._has_known_end(message)
        )
        self._report_extra(call, message, is_dropped=is_dropped)
        if is_dropped:
            call.dropped += 1
            # Its body counts for no other answer's framing.
            self._received_bytes = 0
            self._dropping.append(payload)
            return
        call.is_lost = True
        self._give_up(FOREIGN_ANSWER)

    def _find_owner(self, call: Call, message: RawResponseMessage) -> _Owner:
        """Return which call an answer belongs to; see the module."""
        listed = message.headers.getall(names.ATTEMPT_ID, ())
        named = set(map(shorten_name, listed)) - {""}
        if len(named) > 1:
            return _Owner.UNKNOWN
        if named:
            return _Owner.THIS if named == {call.attempt} else _Owner.OTHER
        if not call.attempt:
            self._has_controlled = True
            return _Owner.THIS
        if self._has_controlled:
            return _Owner.OTHER
        if self.calls > 1 or self._has_stray_bytes:
            return _Owner.UNKNOWN
        # A further one would be found here by the next call.
        self.force_close()
        return _Owner.THIS

    def _has_known_end(self, message: RawResponseMessage) -> bool:
        """Return whether another answer may follow the body of this one."""
        if message.should_close or message.code == 101:
            return False
        length = message.headers.get("Content-Length")
        if message.code in BODILESS_STATUSES or length == "0":
            return True
        if self._has_carried_head:
            # Whether it has a body depends on which request it answers.
            return False
        return message.chunked or length is not None

    def _report_extra(
        self, call: Call, message: RawResponseMessage, *, is_dropped: bool
    ) -> None:
        self._on_extra(
            ExtraAnswer(
                address=self._get_address(),
                attempt=call.attempt,
                named=shorten_name(message.headers.get(names.ATTEMPT_ID, "")),
                status=message.code,
                is_dropped=is_dropped,
            )
        )

    def _drop_bodies(self) -> None:
        """Discard what has arrived of the bodies of dropped answers."""
        # Reading may resume the connection, which then calls this method in turn.
        dropping, self._dropping = self._dropping, []
        for payload in dropping:
            if payload.exception() is None:
                payload.read_nowait()
            if payload.total_bytes > MAX_DROPPED_BYTES:
                self._give_up("an endless answer to another request")
        self._dropping += [one for one in dropping if not one.is_eof()]

    def _has_ended(self) -> bool:
        """Return whether the last answer's body has been received."""
        return self._payload is None or self._payload.is_eof()

    def _record_loss(self) -> None:
        """Record a call that lost its answer to bytes that may not belong to it."""
        call = self._call
        if call is None or self._is_answered:
            return
        call.is_lost |= self.calls > 1 or call.dropped > 0

    def _has_excess_framing(self) -> bool:
        if self._payload_parser is not None:
            # Frames of a link between instances, which is no answer.
            return False
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        framing_bytes = self._received_bytes - body_bytes
        allowed_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        return framing_bytes > allowed_bytes

    def _give_up(self, detail: str) -> None:
        if self.transport is None:
            return
        self.set_exception(HttpProcessingError(message=detail))
        self._fail_body(detail, AnswerEnd.INVALID)
        # Unlike abort() of this class, it keeps the error.
        self.transport.abort()

    def is_connected(self) -> bool:
        """Return whether the idle connection may be reused."""
        if self.transport is None or not super().is_connected():
            return False
        # Bytes that belong to no request would be taken for the next one's answer.
        if self.should_close:
            return False
        address = self._get_address()
        if self._last_received_at <= self._restarts.get(address, 0):
            return False
        idle_timeout_s = self._idle_timeouts.get(address, DEFAULT_IDLE_TIMEOUT_S)
        return read_clock() - self._last_received_at <= idle_timeout_s

    def may_carry(self, call: Call) -> bool:
        """Return whether the answer to a further call could be told from others."""
        if not call.attempt:
            return not self._has_controlled
        return call.attempt not in self._attempts

    def _get_address(self) -> str:
        transport = self.transport
        peer = None if transport is None else transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else ""

    def eof_received(self) -> None:
        """Record that the server closed the connection."""
        self._has_server_closed = True
        super().eof_received()

    def close(self) -> None:
        """Close the connection."""
        self._fail_body("connection closed", AnswerEnd.CLOSED_LOCALLY)
        super().close()

    def abort(self) -> None:
        """Close the connection and discard unsent data."""
        self._fail_body("connection aborted", AnswerEnd.CLOSED_LOCALLY)
        super().abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Process the end of the connection."""
        if isinstance(self.exception(), HttpProcessingError):
            self._fail_body("invalid body", AnswerEnd.INVALID)
        elif self._has_server_closed:
            pass
        elif exc is None:
            self._fail_body("connection closed", AnswerEnd.CLOSED_LOCALLY)
        else:
            self._fail_body("connection reset", AnswerEnd.RESET)
        super().connection_lost(exc)

    def _fail_body(self, detail: str, end: AnswerEnd) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(AnswerCutError(detail, end=end))


class Connector(aiohttp.TCPConnector):
    """Opens connections, and keeps the idle timeouts and restarts of servers.

    :param is_kept: whether connections are kept for further calls.
    :param get_max_open: returns how many connections may be open before those that
        are idle are closed for new ones.
    """

    def __init__(
        self,
        *,
        open_socket: Callable[[tuple[Any, ...]], socket.socket],
        on_extra: Callable[[ExtraAnswer], None],
        is_kept: bool,
        get_max_open: Callable[[], float],
    ) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=MAX_IDLE_TIMEOUT_S if is_kept else None,
            force_close=not is_kept,
            use_dns_cache=False,
            socket_factory=open_socket,
        )
        self.idle_timeouts: dict[str, float] = {}
        self.restarts: dict[str, float] = {}
        self._get_max_open = get_max_open
        # The library has no public way to set the connection class.
        factory: Any = functools.partial(
            Connection,
            loop=self._loop,
            idle_timeouts=self.idle_timeouts,
            restarts=self.restarts,
            on_extra=on_extra,
        )
        self._factory = factory

    async def _get(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> aiohttp.connector.Connection | None:
        """Return an idle connection that may carry the call, if there is one.

        The others stay idle: they may carry further ones.
        """
        call = _CALL.get()
        idle = self._conns.pop(key, None)
        if call is None or idle is None:
            if idle is not None:
                self._conns[key] = idle
            return await super()._get(key, traces)
        kept = deque(one for one in idle if not _may_carry(one[0], call))
        usable = deque(one for one in idle if _may_carry(one[0], call))
        if usable:
            self._conns[key] = usable
        try:
            return await super()._get(key, traces)
        finally:
            kept += self._conns.get(key, ())
            if kept:
                self._conns[key] = kept

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Open a connection, and make room for it."""
        idle = sum(map(len, self._conns.values()))
        surplus = len(self._acquired) + idle - self._get_max_open()
        while surplus > 0 and self._conns:
            self._close_oldest_idle()
            surplus -= 1
        return await super()._create_connection(req, traces, timeout)

    def _close_oldest_idle(self) -> None:
        key = min(self._conns, key=lambda one: self._conns[one][0][1])
        connection, _ = self._conns[key].popleft()
        if not self._conns[key]:
            del self._conns[key]
        connection.close()


def _may_carry(connection: ResponseHandler, call: Call) -> bool:
    return not isinstance(connection, Connection) or connection.may_carry(call)


def record_idle_timeout(
    session: aiohttp.ClientSession, address: str, headers: Mapping[str, str]
) -> None:
    """Record the idle timeout that a server states in an answer."""
    found = _KEEP_ALIVE.search(headers.get("Keep-Alive", ""))
    if found is not None and isinstance(session.connector, Connector):
        stated_s = int(found[1].lstrip("0")[:_MAX_TIMEOUT_DIGITS] or "0")
        idle_timeout_s = min(MAX_IDLE_TIMEOUT_S, stated_s - IDLE_TIMEOUT_MARGIN_S)
        session.connector.idle_timeouts[address] = idle_timeout_s


def read_clock() -> float:
    """Return the time in s, by a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
