"""The HTTP connection of one client, which counts what is held for it."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import (
    MAX_MSG_QUEUE_SIZE,
    RequestHandler,
    RequestPayloadError,
)

from arbutuspulley.clients.limits import Port
from arbutuspulley.clients.pools import (
    MAX_HEADER_LINE_BYTES,
    Clients,
    CloseReason,
    Pool,
)
from arbutuspulley.platform.memory_bound import HeldConnection

READ_BYTES = 32 * 1_024
"""Maximum number of bytes that are read from a connection at once, and number of bytes
of a body after which reading pauses until the body is read."""

RECEIVE_BUFFER_BYTES = 64 * 1_024
"""Receive buffer of a connection, in bytes. What it holds while reading is paused is
memory of the process on some platforms."""

MAX_AHEAD = 2
"""Number of requests ahead from which reading pauses while one is handled. What was
read at once may hold more of them, 32 at most."""

REQUEST_BYTES = 4 * 1_024
"""What a request ahead counts for beside its head and body, in bytes."""

MAX_HEADERS = 128
"""Maximum number of headers of a request."""

NEVER_S = 3_600.0
"""Idle timeout of the HTTP library, in s; the sweep closes idle connections sooner."""


class BodyRefusedError(Exception):
    """A body was not received to its end, to stay within the bound on held bytes."""


class ClientConnection(RequestHandler):
    """The connection of one client.

    :param clients: all clients.
    :param pool: those of the same port.

    :ivar record: what is held for it.
    :ivar waiting_since: since when it has waited for a request, in ms.
    :ivar head_since: when the first byte of an incomplete head came, in ms.
    :ivar unsent: bytes in its write buffer at the last sweep.
    :ivar unsent_since: since when these have not changed, in ms.
    """

    __slots__ = (
        "_answering_since",
        "_channel",
        "_clients",
        "_is_discarding",
        "_is_handling",
        "_is_lost",
        "_payload",
        "_pool",
        "_reader",
        "_received_at",
        "head_since",
        "record",
        "unsent",
        "unsent_since",
        "waiting_since",
    )

    def __init__(
        self,
        server: "ClientServer",
        *,
        clients: Clients,
        pool: Pool,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(server, loop=loop, read_bufsize=READ_BYTES, **options)
        # The library's constructor takes no other number. That of its parser stays: it
        # loses an upgrade, and what follows, in a request at which it is reached.
        self._max_msg_queue_size = MAX_AHEAD
        self._msg_queue_resume_size = MAX_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
            payload_exception=RequestPayloadError,
            max_msg_queue_size=MAX_MSG_QUEUE_SIZE,
        )
        self._clients = clients
        self._pool = pool
        self._channel: asyncio.Transport | None = None
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._reader: asyncio.Task[Any] | None = None
        self._answering_since: int | None = None
        self._received_at = clients.now
        self._is_discarding = False
        self._is_handling = False
        self._is_lost = False
        self.record = HeldConnection(measure_request=self._measure_request)
        self.record.abort = self._give_way_to_bound
        self.waiting_since = self.unsent_since = self.head_since = clients.now
        self.unsent = 0

    @property
    def is_closing(self) -> bool:
        """Whether no further request is read."""
        return self._channel is None or self._channel.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._channel = self.record.transport = transport
        # Attribute of the transport of the standard library's selector event loop.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._pool.connections[self] = None
        self._start_waiting(self._pool.unused)
        self._clients.held.add_connection(self.record)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop to count the connection."""
        self.leave()
        super().connection_lost(exc)
        # What it refers to would stay until the next collection of cycles.
        self._messages.clear()
        self._payload, self._reader, self._channel = EMPTY_PAYLOAD, None, None
        self.record = HeldConnection(measure_request=_do_nothing)

    def leave(self) -> None:
        """Stop to count a connection that is closed, or was never opened."""
        if self._is_lost:
            return
        self._is_lost = True
        self._pool.count -= 1
        self._pool.connections.pop(self, None)
        self._stop_waiting()
        self._clients.held.remove_connection(self.record)

    def data_received(self, data: bytes) -> None:
        """Receive bytes, and count what is held of them."""
        emitted = self._request_count
        is_body = self._is_receiving_body()
        self._received_at = self._clients.now
        super().data_received(data)
        if not data or self._upgraded or self._is_lost:
            return
        if self._request_count > emitted:
            self._end_head()
        elif not is_body and not self._messages:
            self._add_to_head(len(data))
        self._clients.held.record_received(self.record)

    def set_parser(
        self, parser: Any, data_received_cb: Callable[[], None] | None = None
    ) -> None:
        """Stop to count a connection that another instance's messages take over.

        It must not be closed for clients.
        """
        self._clients.held.remove_connection(self.record)
        super().set_parser(parser, data_received_cb)

    def begin_request(self, message: RawRequestMessage, payload: StreamReader) -> None:
        """Record that a request is handled from now on."""
        self._stop_waiting()
        self._payload = payload
        self._is_handling, self._is_discarding = True, False
        self.record.head = _count_head_bytes(message)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the answer, and record the end of its request."""
        self._answering_since = self._clients.now
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._answering_since = None
            self._end_request()

    @contextlib.contextmanager
    def receiving(self) -> Iterator[None]:
        """Let this task read the body of the request.

        :raises BodyRefusedError: if it is refused to stay within the bound.
        """
        task = self._reader = asyncio.current_task()
        try:
            yield
        except asyncio.CancelledError:
            if not self._is_discarding or task is None or task.uncancel() > 0:
                raise
            raise BodyRefusedError from None
        finally:
            self._reader = None

    def note_idle(self) -> None:
        """Record that it waits for a request, if a body was read after its answer."""
        is_waiting = self in self._pool.unused or self in self._pool.idle
        if self._waiter is not None and not is_waiting and not self.is_closing:
            self._payload = EMPTY_PAYLOAD
            self._start_waiting(self._pool.idle)

    def discard_body(self) -> None:
        """Record that what is left of the body is read and not kept."""
        self._is_discarding = True

    @property
    def is_answering(self) -> bool:
        """Whether a request is handled, or its answer is being sent."""
        return self._is_handling or self.count_unsent() > 0

    def count_unsent(self) -> int:
        """Return the number of bytes in the write buffer."""
        return 0 if self._channel is None else self._channel.get_write_buffer_size()

    def is_late(self, since: int) -> bool:
        """Return whether the sending of a complete answer began before a time."""
        return self._answering_since is not None and self._answering_since < since

    def is_stalled(self, since: int) -> bool:
        """Return whether a body is incomplete and nothing of it came since a time."""
        return not self._payload.is_eof() and self._received_at < since

    def close_for(self, reason: CloseReason) -> None:
        """Close a connection that waits for a request."""
        self._clients.count_closed(self._pool.port, reason)
        self._stop_waiting()
        self.force_close()

    def abort_for(self, reason: CloseReason) -> None:
        """Close a connection at once, with what is unsent."""
        self._clients.count_closed(self._pool.port, reason)
        self._clients.held.remove_connection(self.record)
        if self._channel is not None:
            self._channel.abort()

    def refuse_head(self, reason: CloseReason, status: HTTPStatus) -> None:
        """Refuse a request whose head is not complete."""
        self._clients.count_closed(self._pool.port, reason)
        self._stop_waiting()
        if self._is_handling:
            # Its answer is sent first.
            self.close()
            return
        if self._channel is not None and not self._channel.is_closing():
            line = f"HTTP/1.1 {status.value} {status.phrase}"
            lines = (line, "Content-Length: 0", "Connection: close", "", "")
            self._channel.write("\r\n".join(lines).encode())
        self.force_close()

    def give_way(self, reason: CloseReason) -> None:
        """Refuse the request whose body is being received, or close the connection.

        A request that is refused has not been sent to any server.
        """
        if self._reader is None:
            self.abort_for(reason)
            return
        self._clients.count_closed(self._pool.port, reason)
        self._is_discarding = True
        # The client gets as long again to read the refusal.
        self._received_at = self._clients.now
        self._reader.cancel()

    def _give_way_to_bound(self) -> None:
        is_body = self._reader is not None
        self.give_way(CloseReason.BODY if is_body else CloseReason.MEMORY)

    def _measure_request(self) -> None:
        record = self.record
        record.is_incomplete = bool(record.partial_head) or not self._payload.is_eof()
        body = len(self._message_tail)
        if not self._is_discarding:
            body += _count_body_bytes(self._payload)
        for message, payload in self._messages:
            body += _count_body_bytes(payload) + _count_head_bytes(message)
            body += REQUEST_BYTES
        if self._buffer_paused or self._reading_paused:
            body += READ_BYTES + RECEIVE_BUFFER_BYTES
        record.body = body

    def _is_receiving_body(self) -> bool:
        payload = self._messages[-1][1] if self._messages else self._payload
        return not payload.is_eof()

    def _add_to_head(self, size: int) -> None:
        record = self.record
        if not record.partial_head:
            self.head_since = self._clients.now
            self._pool.heads[self] = None
        record.partial_head += size
        if record.partial_head > self._clients.max_head_bytes:
            self.refuse_head(
                CloseReason.HEAD_SIZE, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )

    def _end_head(self) -> None:
        self.record.partial_head = 0
        self._pool.heads.pop(self, None)

    def _end_request(self) -> None:
        self._is_handling = False
        self.record.head = 0
        if not self._payload.is_eof():
            self._is_discarding = True
            return
        self._payload = EMPTY_PAYLOAD
        if not self._messages and not self._is_lost:
            self._start_waiting(self._pool.idle)

    def _start_waiting(self, waiting: "dict[ClientConnection, None]") -> None:
        self.waiting_since = self._clients.now
        waiting[self] = None

    def _stop_waiting(self) -> None:
        self._pool.unused.pop(self, None)
        self._pool.idle.pop(self, None)
        self._pool.heads.pop(self, None)


class ClientServer(web.Server):
    """HTTP server of one port.

    :param handler: answers a request.
    :param clients: all clients of the process.
    :param port: the port.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        clients: Clients,
        port: Port,
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            keepalive_timeout=NEVER_S,
            access_log=None,
        )
        self._clients = clients
        self.pool = clients.pools[port]

    def __call__(self) -> ClientConnection:
        """Build the protocol of a connection."""
        return ClientConnection(
            self,
            clients=self._clients,
            pool=self.pool,
            loop=self._loop,
            **self._kwargs,
        )

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        if isinstance(protocol, ClientConnection):
            protocol.begin_request(message, payload)
        return super()._make_request(message, payload, protocol, writer, task)


def get_connection(client: web.BaseRequest) -> ClientConnection | None:
    """Return the connection of a request; ``None``: it is not counted."""
    protocol = client.protocol
    return protocol if isinstance(protocol, ClientConnection) else None


def _do_nothing() -> None:
    pass


def _count_head_bytes(message: Any) -> int:
    """Return the size of a head; 0 for one that could not be read."""
    headers = getattr(message, "raw_headers", ())
    size = len(getattr(message, "path", ""))
    return size + sum(len(name) + len(value) + 4 for name, value in headers)


def _count_body_bytes(payload: StreamReader) -> int:
    return 0 if payload is EMPTY_PAYLOAD else payload.total_bytes
