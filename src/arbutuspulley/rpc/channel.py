"""Typed calls between processes, with gRPC as transport and msgpack as codec.

The codec comes from msgspec and needs no code generator. A method is declared once,
as a :class:`Method` below, and both sides use that declaration.
"""

import hmac
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import grpc
import msgspec

from arbutuspulley.data import Message, Value
from arbutuspulley.decoding import guard_decoding
from arbutuspulley.results import ArbutusError, Code
from arbutuspulley.rpc import messages
from arbutuspulley.tracing import TRACEPARENT, get_traceparent, open_span

SERVICE = "arbutus.Controller"
"""Name of the gRPC service."""

KEY_METADATA = "x-arbutus-peer-key"
"""Name of the metadata entry with the shared key that authenticates processes."""

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""Largest message that is sent or accepted, in bytes."""

_Reply = TypeVar("_Reply", bound=Message)


class Method(Value, frozen=True):
    """Declaration of a remote method.

    :param request: type of the request.
    :param reply: type of the reply, or of each reply of a stream.
    :param streams: whether the method returns a stream of replies.
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
NOTIFY_SUSPICIONS = Method(
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
    """The peer did not answer; whether it carried out the call is unknown.

    :param sent: whether the call may have reached it.
    """

    def __init__(self, *, detail: str, sent: bool) -> None:
        super().__init__(code=Code.PEER_UNAVAILABLE, detail=detail)
        self.sent = sent


UnaryHandler = Callable[[Any], Awaitable[Message]]
"""Handler of a unary method: takes the typed request and returns the typed reply."""

StreamingHandler = Callable[[Any], AsyncIterator[Message]]
"""Handler of a streaming method: takes the typed request and yields typed replies."""


class Client:
    """Client of one peer process.

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
        """Call a unary method.

        :raises PeerUnavailableError: if there was no answer before the timeout.
        """
        stub = self._channel.unary_unary(
            _build_path(method),
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_build_decoder(method.reply),
        )
        try:
            return await stub(
                request, timeout=timeout_ms / 1000, metadata=self._build_metadata()
            )
        except grpc.aio.AioRpcError as error:
            raise _build_error(self.address, error) from error

    async def stream(self, method: Method, request: Message) -> AsyncIterator[Message]:
        """Call a streaming method and yield its replies until the stream ends.

        :raises PeerUnavailableError: if the stream breaks.
        """
        stub = self._channel.unary_stream(
            _build_path(method),
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_build_decoder(method.reply),
        )
        try:
            async for reply in stub(request, metadata=self._build_metadata()):
                yield reply
        except grpc.aio.AioRpcError as error:
            raise _build_error(self.address, error) from error

    def _build_metadata(self) -> tuple[tuple[str, str], ...]:
        traceparent = get_traceparent()
        return (
            (*self._metadata, (TRACEPARENT, traceparent))
            if traceparent
            else self._metadata
        )

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
    """Start a server on the running event loop.

    :param address: ``host:port`` to listen on.
    :param key: the shared key; calls without it are refused.
    :return: the server; stop it with ``await server.stop(grace_seconds)``.
    :raises OSError: if it cannot listen on the address.
    """
    server = grpc.aio.server(options=_OPTIONS)
    handlers = {
        method.name: grpc.unary_unary_rpc_method_handler(
            _guard_unary(handler, key, method.name),
            request_deserializer=_build_decoder(method.request),
            response_serializer=msgspec.msgpack.encode,
        )
        for method, handler in unary.items()
    }
    for method, handler in streaming.items():
        handlers[method.name] = grpc.unary_stream_rpc_method_handler(
            _guard_streaming(handler, key),
            request_deserializer=_build_decoder(method.request),
            response_serializer=msgspec.msgpack.encode,
        )
    service_handler = grpc.method_handlers_generic_handler(SERVICE, handlers)
    server.add_generic_rpc_handlers((service_handler,))
    if server.add_insecure_port(address) == 0:
        raise OSError(f"cannot listen on {address}")
    await server.start()
    return server


CONNECT_TIMEOUT_MS = 2_000
"""Timeout of a connection's handshake, in ms: a busy peer is slow to complete it, and
calls fail at once until a connection is established."""

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    # Also the timeout of a connection attempt; one that fails sooner is retried sooner.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", 2_000),
)


def _build_path(method: Method) -> str:
    return f"/{SERVICE}/{method.name}"


def _build_decoder(message_type: type[_Reply]) -> Callable[[bytes], _Reply]:
    return guard_decoding(msgspec.msgpack.Decoder(message_type).decode)


def _read_metadata(context: grpc.aio.ServicerContext, name: str) -> str:
    metadata = dict(context.invocation_metadata() or ())
    return str(metadata.get(name, ""))


def _is_trusted(context: grpc.aio.ServicerContext, key: str) -> bool:
    sent_key = _read_metadata(context, KEY_METADATA)
    return hmac.compare_digest(sent_key.encode(), key.encode())


def _guard_unary(
    handler: UnaryHandler, key: str, name: str
) -> Callable[..., Awaitable[Message]]:
    async def handle(request: Any, context: grpc.aio.ServicerContext) -> Message:
        if not _is_trusted(context, key):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "peer key refused")
        parent = _read_metadata(context, TRACEPARENT)
        if not parent:
            # Calls outside of a request, such as exchanges, are not traced.
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


def _build_error(address: str, error: grpc.aio.AioRpcError) -> PeerUnavailableError:
    refused = error.code() == grpc.StatusCode.UNAUTHENTICATED
    detail = f"{address}: {error.code().name.lower()}"
    return PeerUnavailableError(detail=detail, sent=not refused)
