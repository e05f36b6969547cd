"""Typed calls between processes: gRPC as transport, msgpack as codec.

The codec comes from msgspec and needs no code generator; a method is declared
once, in :data:`METHODS`, and both sides use that declaration.
"""

import hmac
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import grpc
import msgspec

from arbutuspulley.data import Message, Value
from arbutuspulley.results import ArbutusError, Code
from arbutuspulley.rpc import messages
from arbutuspulley.tracing import TRACEPARENT, get_traceparent, open_span

SERVICE = "arbutus.Controller"
"""Name of the one gRPC service."""

KEY_METADATA = "x-arbutus-peer-key"
"""Metadata entry with the shared key by which processes know each other."""

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""Largest message sent or taken."""

_Reply = TypeVar("_Reply", bound=Message)


class Method(Value, frozen=True):
    """One remote call.

    :param streams: whether the answer is a stream of ``reply``.
    """

    name: str
    request: type[Message]
    reply: type[Message]
    streams: bool = False


WATCH = Method(
    name="Watch", request=messages.WatchRequest, reply=messages.View, streams=True
)
REPORT = Method(
    name="Report", request=messages.EntryReport, reply=messages.Acknowledged
)
CLAIM = Method(name="Claim", request=messages.ClaimRequest, reply=messages.ClaimReply)
SETTLE = Method(
    name="Settle", request=messages.SettleRequest, reply=messages.Acknowledged
)
REPORT_DEATH = Method(
    name="ReportDeath", request=messages.DeathReport, reply=messages.SuspicionsReply
)
CLEAR_SUSPICION = Method(
    name="ClearSuspicion", request=messages.ClearanceReport, reply=messages.Acknowledged
)
TELL_SUSPICIONS = Method(
    name="TellSuspicions",
    request=messages.SuspicionsReply,
    reply=messages.Acknowledged,
)
EXCHANGE = Method(
    name="Exchange", request=messages.ExchangeRequest, reply=messages.ExchangeReply
)
STATUS = Method(
    name="Status", request=messages.StatusRequest, reply=messages.FleetStatus
)


class PeerUnavailableError(ArbutusError):
    """The other process did not answer; whether it acted is not known.

    :param sent: whether the call may have reached it.
    """

    def __init__(self, *, detail: str, sent: bool) -> None:
        super().__init__(code=Code.PEER_UNAVAILABLE, detail=detail)
        self.sent = sent


UnaryHandler = Callable[[Any], Awaitable[Message]]
"""Handler of a plain method: takes the typed request, returns the typed reply."""

StreamingHandler = Callable[[Any], AsyncIterator[Message]]
"""Handler of a streaming method."""


class Client:
    """Calls methods of one other process.

    :param address: ``host:port``.
    :param key: the shared key.
    """

    __slots__ = ("_channel", "_metadata", "address")

    def __init__(self, *, address: str, key: str) -> None:
        self.address = address
        self._metadata = ((KEY_METADATA, key),)
        self._channel = grpc.aio.insecure_channel(address, options=_OPTIONS)

    async def call(
        self, method: Method, request: Message, *, timeout_ms: int
    ) -> Message:
        """Call a plain method.

        :raises PeerUnavailableError: if no answer came in time.
        """
        stub = self._channel.unary_unary(
            _path(method),
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_decoder(method.reply),
        )
        try:
            return await stub(
                request, timeout=timeout_ms / 1000, metadata=self._build_metadata()
            )
        except grpc.aio.AioRpcError as error:
            raise _translate(self.address, error) from error

    async def stream(self, method: Method, request: Message) -> AsyncIterator[Message]:
        """Call a streaming method and yield its replies until it breaks off.

        :raises PeerUnavailableError: when the stream breaks.
        """
        stub = self._channel.unary_stream(
            _path(method),
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_decoder(method.reply),
        )
        try:
            async for reply in stub(request, metadata=self._build_metadata()):
                yield reply
        except grpc.aio.AioRpcError as error:
            raise _translate(self.address, error) from error

    def _build_metadata(self) -> tuple[tuple[str, str], ...]:
        bearing = get_traceparent()
        return (*self._metadata, (TRACEPARENT, bearing)) if bearing else self._metadata

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()


async def serve(
    *,
    address: str,
    key: str,
    unary: dict[Method, UnaryHandler],
    streaming: dict[Method, StreamingHandler],
) -> grpc.aio.Server:
    """Start serving methods on the running loop.

    :param address: ``host:port`` to listen on.
    :param key: the shared key; a call without it is refused.
    :return: the server; stop it with ``await server.stop(grace_seconds)``.
    """
    server = grpc.aio.server(options=_OPTIONS)
    handlers = {
        method.name: grpc.unary_unary_rpc_method_handler(
            _guard_unary(handler, key, method.name),
            request_deserializer=_decoder(method.request),
            response_serializer=msgspec.msgpack.encode,
        )
        for method, handler in unary.items()
    }
    for method, handler in streaming.items():
        handlers[method.name] = grpc.unary_stream_rpc_method_handler(
            _guard_streaming(handler, key),
            request_deserializer=_decoder(method.request),
            response_serializer=msgspec.msgpack.encode,
        )
    generic = grpc.method_handlers_generic_handler(SERVICE, handlers)
    server.add_generic_rpc_handlers((generic,))
    if server.add_insecure_port(address) == 0:
        raise OSError(f"cannot listen on {address}")
    await server.start()
    return server


CONNECT_TIMEOUT_MS = 2_000
"""How long another process may take to greet a new connection, in ms: a busy one takes
its time, and each call fails at once until one is there."""

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    # Bounds an attempt to connect; one that fails sooner is repeated sooner.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", 2_000),
)


def _path(method: Method) -> str:
    return f"/{SERVICE}/{method.name}"


def _decoder(kind: type[_Reply]) -> Callable[[bytes], _Reply]:
    return msgspec.msgpack.Decoder(kind).decode


def _read_metadata(context: grpc.aio.ServicerContext, name: str) -> str:
    metadata = dict(context.invocation_metadata() or ())
    return str(metadata.get(name, ""))


def _is_trusted(context: grpc.aio.ServicerContext, key: str) -> bool:
    shown = _read_metadata(context, KEY_METADATA)
    return hmac.compare_digest(shown.encode(), key.encode())


def _guard_unary(
    handler: UnaryHandler, key: str, name: str
) -> Callable[..., Awaitable[Message]]:
    async def handle(request: Any, context: grpc.aio.ServicerContext) -> Message:
        if not _is_trusted(context, key):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "peer key refused")
        parent = _read_metadata(context, TRACEPARENT)
        if not parent:
            # Calls that belong to no request, such as exchanges, are not traced.
            return await handler(request)
        with open_span(f"rpc.{name}", parent=parent):
            return await handler(request)

    return handle


def _guard_streaming(
    handler: StreamingHandler, key: str
) -> Callable[..., AsyncIterator[Message]]:
    async def handle(
        request: Any, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[Message]:
        if not _is_trusted(context, key):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "peer key refused")
        async for reply in handler(request):
            yield reply

    return handle


def _translate(address: str, error: grpc.aio.AioRpcError) -> PeerUnavailableError:
    refused = error.code() == grpc.StatusCode.UNAUTHENTICATED
    detail = f"{address}: {error.code().name.lower()}"
    return PeerUnavailableError(detail=detail, sent=not refused)
