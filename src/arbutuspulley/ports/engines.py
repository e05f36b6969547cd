"""The port to backend servers: model engines and plain services.

All functions block and are called from worker threads, never from the event loop.
Load and memory figures that decisions use come from :class:`Report` and are always
somewhat stale.
"""

import enum
from collections.abc import Callable, Generator

from arbutuspulley.data import Value
from arbutuspulley.results import ArbutusError, Code


class OrderKind(enum.StrEnum):
    """What an order asks a server to do."""

    LOAD = "load"
    UNLOAD = "unload"


class ItemState(enum.StrEnum):
    """State of a loaded item as a server reports it."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class Order(Value, frozen=True):
    """An order to a server.

    :param item: ``model@version`` or, for an adapter, ``adapter@version``.
    :param base: for an adapter, the item of the model that it extends.
    :param memory_mib: memory that the item occupies, including the KV cache floor.
    :param fence: the owner's fencing token for this server; it only increases.
    :param number: sequence number of the server's orders, across owners.
    :param boot_id: the boot that the order is meant for. Send it only on a connection
        on which the server has reported this boot, and never open another one for it:
        a delayed order must not reach a restarted engine.
    """

    kind: OrderKind
    item: str
    memory_mib: int
    fence: int
    number: int
    base: str = ""
    boot_id: str = ""


class OrderOutcome(enum.StrEnum):
    """How a server answered an order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"


class OrderReply(Value, frozen=True):
    """A server's answer to an order.

    ``STALE``: its fencing token or order number is lower than one already seen.
    ``REFUSED``: it cannot be carried out, for example for lack of memory.
    """

    outcome: OrderOutcome
    detail: str = ""


class ReportedItem(Value, frozen=True):
    """One item that occupies a server's memory."""

    item: str
    state: ItemState
    memory_mib: int
    number: int = 0


class Report(Value, frozen=True):
    """A server's report of its state and load.

    :param boot_id: changes whenever the engine restarts; its memory is then empty.
    :param sequence: number of the report within one boot.
    :param fence: the highest fencing token it has seen (0 if it doesn't check).
    :param last_order: the highest order number it has applied or refused.
    :param running: requests in its current batch.
    :param waiting: requests it has admitted but not started.
    :param waiting_tokens: estimated tokens still to be prefilled or decoded.
    :param tokens_per_s: its recent output rate.
    :param age_ms: age of the figures, as far as the server knows.
    """

    server: str
    boot_id: str
    sequence: int
    items: tuple[ReportedItem, ...] = ()
    memory_total_mib: int = 0
    memory_used_mib: int = 0
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    tokens_per_s: float = 0.0
    fence: int = 0
    last_order: int = 0
    leaving: bool = False
    age_ms: int = 0


class CacheEvent(Value, frozen=True):
    """A prompt prefix entered or left a server's cache.

    :param sequence: number of the event within one boot; a jump means lost events.
    :param prefix: hash of the prefix.
    """

    sequence: int
    item: str
    prefix: str
    stored: bool


class InferenceRequest(Value, frozen=True):
    """One attempt at a request.

    :param path: ``/v1/chat/completions`` or ``/v1/completions``.
    :param item: the loaded item that must answer.
    :param body: the caller's body, already validated as JSON; sent as a stream.
    :param offset: index of the first token to return; above 0 to resume a stream.
    :param priority: the server serves higher values first.
    :param traceparent: W3C trace context.
    """

    request_id: str
    attempt_id: str
    path: str
    item: str
    body: bytes
    offset: int = 0
    priority: int = 0
    traceparent: str = ""


class Chunk(Value, frozen=True):
    """One event of a streamed answer.

    Events are numbered from 0 without gaps: one for each token, then the events
    without a token (the one with ``finish_reason`` and usage), then the end marker.

    :param attempt_id: the attempt that the event belongs to, as the server sent it.
    :param offset: index of the event.
    :param data: the event's JSON, as the protocol defines it; ``[DONE]`` if last.
    :param last: whether this is the end marker, which has no token.
    """

    attempt_id: str
    offset: int
    data: bytes
    last: bool = False


class ServiceRequest(Value, frozen=True):
    """A call to a plain service.

    :param path: path and query as the caller sent them, beginning with ``/``.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    traceparent: str = ""


class ServiceReply(Value, frozen=True):
    """A plain service's complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class NotSentError(ArbutusError):
    """No byte of the request was sent: the server certainly did not run it."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.SERVICE_UNAVAILABLE, detail=detail)


class RefusedError(ArbutusError):
    """The server refused the request before admission: it was not run.

    :param retry_after_ms: time until the server would accept it, if it said so.
    :param leaving: whether it refused because it is draining.
    :param final: whether every other server would refuse it too (bad request).
    """

    def __init__(
        self,
        *,
        detail: str,
        retry_after_ms: int | None = None,
        leaving: bool = False,
        final: bool = False,
    ) -> None:
        super().__init__(code=Code.OVERLOADED, detail=detail)
        self.retry_after_ms = retry_after_ms
        self.leaving = leaving
        self.final = final


class BrokenError(ArbutusError):
    """The connection failed after bytes had been sent: the outcome is unknown."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.OUTCOME_UNKNOWN, detail=detail)


class Engines(Value, frozen=True):
    """Calls to backend servers; ``address`` is ``host:port``.

    ``infer`` returns once the server has admitted the request. It raises
    :class:`NotSentError`, :class:`RefusedError` or :class:`BrokenError`; the
    iterator raises :class:`BrokenError` if the stream ends without its end marker.
    Closing the iterator closes the connection, which cancels the attempt.

    :param infer: ``infer(address, request)`` yields chunks.
    :param cancel: ``cancel(address, attempt_id)``; never raises.
    :param report: ``report(address)``; raises ``NotSentError``, ``BrokenError``.
    :param order: ``order(address, order)``; raises ``NotSentError``, ``BrokenError``.
    :param cache_events: ``cache_events(address, after)``.
    :param call_service: ``call_service(address, request)``; raises as ``infer``.
    """

    infer: Callable[[str, InferenceRequest], Generator[Chunk, None, None]]
    cancel: Callable[[str, str], None]
    report: Callable[[str], Report]
    order: Callable[[str, Order], OrderReply]
    cache_events: Callable[[str, int], tuple[CacheEvent, ...]]
    call_service: Callable[[str, ServiceRequest], ServiceReply]
