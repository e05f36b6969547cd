"""Sending of a streamed answer, so that its caller can tell a truncated one."""

from aiohttp import HttpVersion11, web

from arbutuspulley.sockets import set_reset_on_close


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
