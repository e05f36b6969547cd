"""The streamed answer of one request, over all servers that it is read from."""

from collections.abc import Callable

import aiohttp
from aiohttp import web

from arbutuspulley.delivery.stream import (
    EVENT_FIELDS,
    EventBuffer,
    can_resume,
    is_inside_event,
    start_run,
    take_complete_events,
)
from arbutuspulley.node.answer_writer import (
    begin_answer,
    complete_answer,
    write_slices,
)
from arbutuspulley.node.progress import Progress
from arbutuspulley.platform.held_bytes import BrokenError, HeldBytes
from arbutuspulley.platform.memory_bound import AnswerKind, HeldAnswer
from arbutuspulley.platform.requests import (
    PLATFORM_EVENT_FIELDS,
    select_answer_headers,
)
from arbutuspulley.platform.transport import read_part
from arbutuspulley.ports.answers import AnswerEnd
from arbutuspulley.ports.fleet import RetryPolicy


class StreamRelay:
    """Forwards the events of a stream to its caller as they arrive.

    :param client: the caller's HTTP request.
    :param progress: progress of the request.
    :param attempt_id: of the request.
    :param retry_policy: of its route.
    :param held: what is held of all answers.
    :param on_events: called when the current server has sent further events, with their
        number since its answer began.
    """

    __slots__ = (
        "_answer",
        "_attempt_id",
        "_buffer",
        "_client",
        "_held",
        "_held_here",
        "_is_received",
        "_on_events",
        "_progress",
        "_retry_policy",
    )

    def __init__(
        self,
        *,
        client: web.BaseRequest,
        attempt_id: str,
        retry_policy: RetryPolicy,
        progress: Progress,
        held: HeldBytes,
        on_events: Callable[[int], None],
    ) -> None:
        self._answer: web.StreamResponse | None = None
        self._buffer = EventBuffer(fields=EVENT_FIELDS | PLATFORM_EVENT_FIELDS)
        self._client = client
        self._held = held
        # The current server's answer.
        self._held_here: HeldAnswer | None = None
        self._is_received = False
        self._attempt_id = attempt_id
        self._retry_policy = retry_policy
        self._on_events = on_events
        self._progress = progress

    @property
    def has_begun(self) -> bool:
        """Whether the head of the answer has been sent to the caller."""
        return self._answer is not None

    @property
    def can_resume(self) -> bool:
        """Whether another server can continue, or begin, the stream."""
        return can_resume(self._buffer)

    async def relay(
        self, response: aiohttp.ClientResponse, *, first: bytes = b""
    ) -> web.StreamResponse:
        """Forward a server's stream to its end.

        :param first: what has been read of it already.
        :raises BrokenError: if the server broke it off, or an event is too large.
        :raises AnswerAbandonedError: if it was aborted for the bound on memory.
        """
        client = self._client
        answer = self._held_here = HeldAnswer(
            attempt_id=self._attempt_id,
            get_kind=self._get_kind,
            content=response.content,
            transport=None if client is None else client.transport,
        )
        self._is_received = False
        with self._held.reading(answer):
            relayed = await self._relay(response, answer, first)
        self._held.remove(answer)
        return relayed

    async def _relay(
        self, response: aiohttp.ClientResponse, held: HeldAnswer, first: bytes
    ) -> web.StreamResponse:
        buffer, progress = self._buffer, self._progress
        start_run(buffer, is_resumed=self.has_begun)
        while part := first or await read_part(response):
            first = b""
            held.taken += len(part)
            complete = take_complete_events(buffer, part)
            del part
            self._hold(0)
            if not complete:
                continue
            if buffer.events > progress.events:
                self._on_events(buffer.events)
            answer = await self._begin(response)
            await self._write(answer, complete)
            progress.last_event_id = buffer.last_id
        # A server that crashes may close the connection, which is also the regular end
        # of an answer that has neither a length nor chunks.
        if is_inside_event(buffer):
            progress.partial_bytes = len(buffer.pending)
            raise BrokenError(
                "the stream ended inside an event", end=AnswerEnd.INSIDE_EVENT
            )
        self._is_received = held.is_received = True
        answer = await self._begin(response)
        if buffer.pending:
            await answer.write(bytes(buffer.pending))
        await complete_answer(self._client, answer)
        return answer

    async def _write(self, answer: web.StreamResponse, complete: bytes) -> None:
        await write_slices(answer, complete, on_write=lambda: self._hold(len(complete)))
        self._hold(0)

    def _hold(self, unwritten: int) -> None:
        """Record what is held.

        :param unwritten: size of complete events that are being written.
        """
        if self._held_here is not None:
            self._held.update(self._held_here, len(self._buffer.pending) + unwritten)

    def _get_kind(self) -> AnswerKind:
        if self._retry_policy is RetryPolicy.RESUME and self.can_resume:
            return AnswerKind.RESUMABLE
        if self._retry_policy is RetryPolicy.ANY:
            return AnswerKind.REPEATABLE
        return AnswerKind.COMPLETE if self._is_received else AnswerKind.ONCE

    async def _begin(self, response: aiohttp.ClientResponse) -> web.StreamResponse:
        """Send the head of the answer once; a resumed stream keeps the first one."""
        if self._answer is None:
            self._answer = await begin_answer(
                self._client,
                status=response.status,
                reason=response.reason,
                headers=select_answer_headers(response.headers.items()),
            )
        return self._answer
