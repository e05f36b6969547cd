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
from arbutuspulley.node.answer_writer import begin_answer, complete_answer
from arbutuspulley.node.progress import Progress
from arbutuspulley.platform.requests import (
    PLATFORM_EVENT_FIELDS,
    select_answer_headers,
)
from arbutuspulley.platform.transport import BrokenError, HeldBytes, read_part
from arbutuspulley.ports.answers import AnswerEnd


class StreamRelay:
    """Forwards the events of a stream to its caller as they arrive.

    :param client: the caller's HTTP request.
    :param progress: progress of the request.
    :param held: what is held of all answers until it can be forwarded.
    :param on_events: called when the current server has sent further events, with their
        number since its answer began.
    """

    __slots__ = (
        "_answer",
        "_buffer",
        "_client",
        "_held",
        "_held_here",
        "_on_events",
        "_progress",
    )

    def __init__(
        self,
        *,
        client: web.BaseRequest,
        progress: Progress,
        held: HeldBytes,
        on_events: Callable[[int], None],
    ) -> None:
        self._answer: web.StreamResponse | None = None
        self._buffer = EventBuffer(fields=EVENT_FIELDS | PLATFORM_EVENT_FIELDS)
        self._client = client
        self._held = held
        # Bytes of the stream that are held now.
        self._held_here = 0
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
        """
        try:
            return await self._relay(response, first)
        finally:
            self._hold(0)

    async def _relay(
        self, response: aiohttp.ClientResponse, first: bytes
    ) -> web.StreamResponse:
        buffer, progress = self._buffer, self._progress
        start_run(buffer, is_resumed=self.has_begun)
        while part := first or await read_part(response):
            first = b""
            complete = take_complete_events(buffer, part)
            self._hold(len(buffer.pending))
            if not complete:
                continue
            if buffer.events > progress.events:
                self._on_events(buffer.events)
            answer = await self._begin(response)
            await answer.write(complete)
            progress.last_event_id = buffer.last_id
        # A server that crashes may close the connection, which is also the regular end
        # of an answer that has neither a length nor chunks.
        if is_inside_event(buffer):
            progress.partial_bytes = len(buffer.pending)
            raise BrokenError(
                "the stream ended inside an event", end=AnswerEnd.INSIDE_EVENT
            )
        answer = await self._begin(response)
        if buffer.pending:
            await answer.write(bytes(buffer.pending))
        await complete_answer(self._client, answer)
        return answer

    def _hold(self, size: int) -> None:
        before, self._held_here = self._held_here, size
        self._held.change(before=before, now=size)

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
