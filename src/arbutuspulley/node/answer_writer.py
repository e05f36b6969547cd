"""Sending of answers, so that callers can tell a truncated one."""

from collections.abc import Callable
from typing import Any

from aiohttp import HttpVersion11, web

from arbutuspulley.sockets import set_reset_on_close

SLICE_BYTES = 64 * 1_024
"""Size of the slices in which large parts are written, in bytes. The connection copies
what it can't send at once, so a slow reader would occupy a large part twice."""


class HeldResponse(web.Response):
    """A complete answer that counts as held until it is sent.

    :param on_write: called while it is written.
    :param on_end: called when it is written, or its connection has failed.
    """

    def __init__(
        self,
        *,
        on_write: Callable[[], None],
        on_end: Callable[[], None],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._on_write = on_write
        self._on_end = on_end

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body and the end of the answer."""
        body = self.body
        try:
            if isinstance(body, bytes) and len(body) > SLICE_BYTES:
                await write_slices(self, body, on_write=self._on_write)
                self.body = None
            await super().write_eof(data)
        finally:
            self._on_end()


async def write_slices(
    answer: web.StreamResponse, data: bytes, *, on_write: Callable[[], None]
) -> None:
    """Write a part of an answer so that little of it waits in the write buffer.

    :param on_write: called before each slice.
    """
    view = memoryview(data)
    for start in range(0, len(data), SLICE_BYTES):
        on_write()
        await answer.write(view[start : start + SLICE_BYTES])


async def begin_answer(
    client: web.BaseRequest,
    *,
    status: int,
    reason: str | None,
    headers: list[tuple[str, str]],
) -> web.StreamResponse:
    """Send the head of an answer whose length is not known.

    A caller that does not understand chunks recognises the end of the answer by the
    close of its connection. Until the answer is complete, each close is a reset, also
    that by the operating system when the process is killed.
    """
    answer = web.StreamResponse(status=status, reason=reason, headers=headers)
    if _ends_by_close(client):
        _set_reset_on_close(client, True)
    await answer.prepare(client)
    return answer


async def complete_answer(client: web.BaseRequest, answer: web.StreamResponse) -> None:
    """Send the end of an answer."""
    transport = client.transport
    if transport is None or not _ends_by_close(client):
        await answer.write_eof()
        return
    # What this process has not handed to the operating system is lost if it ends now.
    transport.set_write_buffer_limits(high=0)
    await answer.write_eof()
    await client.writer.drain()
    _set_reset_on_close(client, False)


def abort_answer(client: web.BaseRequest) -> None:
    """Close the connection of an answer that can't be completed."""
    if client.transport is not None:
        client.transport.abort()


def _ends_by_close(client: web.BaseRequest) -> bool:
    """Return whether an answer to this request that has no length can't have chunks."""
    return client.version < HttpVersion11


def _set_reset_on_close(client: web.BaseRequest, is_set: bool) -> None:
    if client.transport is not None:
        set_reset_on_close(client.transport.get_extra_info("socket"), is_set)
