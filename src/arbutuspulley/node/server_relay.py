"""Sends requests to servers for instances that can't reach them.

The other instance has chosen the server, and has counted, limited and charged the
request; its answer is forwarded as it comes. A request is never relayed twice.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NoReturn

import aiohttp
from aiohttp import web

from arbutuspulley.clients.connections import BodyRefusedError, get_connection
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.membership.server_reach import (
    is_suspect,
    record_failed,
    record_heard,
)
from arbutuspulley.node.answer_writer import abort_answer
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import AttemptEnded
from arbutuspulley.node.server_notices import get_exclusion, read_answer
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform import names
from arbutuspulley.platform.held_bytes import AnswerAbandonedError, BrokenError
from arbutuspulley.platform.memory_bound import AnswerKind, HeldAnswer
from arbutuspulley.platform.requests import (
    select_answer_headers,
    select_relayed_headers,
    shorten_name,
)
from arbutuspulley.platform.transport import (
    NotSentError,
    read_framing,
    read_part,
    send_request,
)
from arbutuspulley.ports.answers import Framing
from arbutuspulley.ports.fleet import AttemptOutcome, InboundRequest, ServerEntry
from arbutuspulley.ports.relaying import RelayOutcome

MAX_RELAYED = 256
"""Maximum number of requests that are relayed at the same time: some 10 MB and 512
sockets."""

MAX_RELAYED_BYTES = 16 * 1024 * 1024
"""Maximum size of their bodies together, in bytes."""

MAX_RELAY_MS = 120_000
"""Longest time for which a request without a deadline is relayed, in ms."""

MAX_DEADLINE_DIGITS = 9
"""Number of digits of a deadline that is read; a longer one counts as none."""

DEADLINE_MARGIN_MS = 500
"""Time after a request's deadline at which its relay ends, in ms: the instance that
asked for it ends it before, unless it is frozen."""


class ServerRelay:
    """Relays requests of other instances to servers."""

    __slots__ = ("_bytes", "_count", "_link", "_state")

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._count = 0
        self._bytes = 0

    async def handle(self, client: web.BaseRequest) -> web.StreamResponse:
        """Relay one request, and return the server's answer."""
        relayed = _Relayed(size=client.content_length or 0)
        self._count += 1
        self._bytes += relayed.size
        self._state.in_flight += 1
        outcome = RelayOutcome.ANSWERED
        try:
            entry = self._find_server(client)
            # An instance that is frozen takes no bytes, and would hold the request.
            async with asyncio.timeout(_read_timeout_s(client)):
                return await self._relay(client, entry, relayed)
        except TimeoutError:
            abort_answer(client)
            raise asyncio.CancelledError from None
        except _RefusedError as error:
            outcome = error.outcome
            return _build_refusal(client, outcome)
        finally:
            self._count -= 1
            self._bytes -= relayed.size
            self._state.in_flight -= 1
            self._state.metrics.relayed.labels(outcome.value).inc()

    def _find_server(self, client: web.BaseRequest) -> ServerEntry:
        state = self._state
        is_full = self._count > MAX_RELAYED or self._bytes > MAX_RELAYED_BYTES
        if is_full or state.stopping_at is not None:
            raise _RefusedError(RelayOutcome.BUSY)
        incarnation = client.headers.get(names.RELAY_TO, "")
        entry = state.by_incarnation.get(incarnation)
        if entry is None:
            raise _RefusedError(RelayOutcome.UNKNOWN_SERVER)
        if get_exclusion(state, incarnation):
            raise _RefusedError(RelayOutcome.EXCLUDED)
        return entry

    async def _relay(
        self, client: web.BaseRequest, entry: ServerEntry, relayed: "_Relayed"
    ) -> web.StreamResponse:
        request = await self._read_request(client, relayed)
        state = self._state
        try:
            response = await send_request(
                state.session, request, address=entry.address, headers=request.headers
            )
        except NotSentError:
            self._handle_unreached(request, entry)
        except BrokenError:
            abort_answer(client)
            raise asyncio.CancelledError from None
        record_heard(state.server_reach, entry.address, now=state.clock.now())
        read_answer(state, entry.incarnation, response.status, response.headers)
        try:
            return await self._forward(client, response, request.attempt_id)
        except (BrokenError, AnswerAbandonedError):
            abort_answer(client)
            raise asyncio.CancelledError from None
        finally:
            response.close()

    async def _read_request(
        self, client: web.BaseRequest, relayed: "_Relayed"
    ) -> InboundRequest:
        connection = get_connection(client)
        body = bytearray()
        try:
            with connection.receiving() if connection else contextlib.nullcontext():
                while part := await client.content.readany():
                    body += part
                    # The length of a body in chunks is not stated.
                    excess = max(0, len(body) - relayed.size)
                    relayed.size += excess
                    self._bytes += excess
                    if self._bytes > MAX_RELAYED_BYTES:
                        raise BodyRefusedError
        except BodyRefusedError:
            raise _RefusedError(RelayOutcome.BUSY) from None
        return _build_request(client, bytes(body))

    async def _forward(
        self, client: web.BaseRequest, response: aiohttp.ClientResponse, attempt_id: str
    ) -> web.StreamResponse:
        """Forward an answer, and count what is held of it.

        This instance does not know whether the request may run again.
        """
        held = self._state.held_bytes
        reading = HeldAnswer(
            attempt_id=attempt_id,
            get_kind=lambda: (
                AnswerKind.COMPLETE if reading.is_received else AnswerKind.ONCE
            ),
            content=response.content,
            transport=client.transport,
        )

        def record(part: bytes) -> None:
            reading.taken += len(part)
            held.update(reading, len(part))

        with held.reading(reading):
            answer = await _forward(
                client,
                response,
                on_part=record,
                on_received=lambda: held.complete(reading),
            )
        held.remove(reading)
        return answer

    def _handle_unreached(
        self, request: InboundRequest, entry: ServerEntry
    ) -> NoReturn:
        reach = self._state.server_reach
        record_failed(reach, entry.address, now=self._state.clock.now())
        if is_suspect(reach):
            raise _RefusedError(RelayOutcome.CUT_OFF) from None
        self._link.send(
            AttemptEnded(
                key=request.attempt_id,
                incarnation=entry.incarnation,
                how=AttemptOutcome.UNREACHED,
            )
        )
        raise _RefusedError(RelayOutcome.UNREACHED) from None


class _Relayed(State):
    """A request that is relayed.

    :param size: what its body counts for, in bytes.
    """

    size: int


class _RefusedError(Exception):
    """The request was not sent to the server."""

    def __init__(self, outcome: RelayOutcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


def _read_timeout_s(client: web.BaseRequest) -> float:
    """Return how long a request may be relayed, from its deadline, in s."""
    text = client.headers.get(names.DEADLINE, "")
    is_number = text.isdecimal() and len(text) <= MAX_DEADLINE_DIGITS
    deadline_ms = int(text) if is_number else MAX_RELAY_MS
    return min(MAX_RELAY_MS, deadline_ms + DEADLINE_MARGIN_MS) / SECOND_MS


def _build_request(client: web.BaseRequest, body: bytes) -> InboundRequest:
    return InboundRequest(
        attempt_id=shorten_name(client.headers.get(names.ATTEMPT_ID, "")),
        method=client.method,
        host="",
        path=client.raw_path,
        headers=select_relayed_headers(client.headers.items()),
        wait_ms=None,
        need=None,
        body=body,
    )


async def _forward(
    client: web.BaseRequest,
    response: aiohttp.ClientResponse,
    *,
    on_part: Callable[[bytes], None],
    on_received: Callable[[], None],
) -> web.StreamResponse:
    """Forward a server's answer as it arrives, with its own framing if it has one.

    :param on_part: called with each part before it is written, and with none after it.
    :param on_received: called when the server has ended the answer.
    """
    framing = read_framing(response)
    has_body = framing is not Framing.NONE
    headers = select_answer_headers(response.headers.items(), has_body=has_body)
    headers.append((names.RELAY_OUTCOME, RelayOutcome.ANSWERED.value))
    if names.ATTEMPT_ID not in response.headers:
        # It is known here to belong to the request, but not by the other instance.
        headers.append((names.ATTEMPT_ID, client.headers.get(names.ATTEMPT_ID, "")))
    if not has_body:
        return web.Response(status=response.status, headers=headers)
    answer = web.StreamResponse(
        status=response.status, reason=response.reason, headers=headers
    )
    if framing is Framing.LENGTH:
        answer.content_length = response.content_length
    await answer.prepare(client)
    while part := await read_part(response):
        on_part(part)
        await answer.write(part)
        on_part(b"")
    on_received()
    await answer.write_eof()
    return answer


def _build_refusal(client: web.BaseRequest, outcome: RelayOutcome) -> web.Response:
    headers = {
        names.RELAY_OUTCOME: outcome.value,
        names.ATTEMPT_ID: client.headers.get(names.ATTEMPT_ID, ""),
    }
    return web.Response(status=503, headers=headers)
