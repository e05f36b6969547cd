"""Sending of streamed answers to callers that do not understand chunks."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from arbutuspulley.node.answer_writer import begin_answer, complete_answer

SIZE = 100_000
"""Size of an answer in bytes, more than the small buffers of its connection hold."""


async def send_answer(client, *, has_ended):
    """Send an answer over a connection with small buffers."""
    opened = client.transport.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    answer = await begin_answer(client, status=200, reason="OK", headers=[])
    client.transport.set_write_buffer_limits(high=2 * SIZE)
    await answer.write(b"x" * SIZE)
    await complete_answer(client, answer)
    has_ended.set()
    return answer


@contextlib.asynccontextmanager
async def ask_slowly(version):
    """Ask for an answer without reading it; yield the caller's socket and the event
    that the answer has ended."""
    loop, has_ended = asyncio.get_running_loop(), asyncio.Event()

    async def handle(client):
        return await send_answer(client, has_ended=has_ended)

    server = await loop.create_server(web.Server(handle), "127.0.0.1", 0)
    async with server:
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.setblocking(False)
            await loop.sock_connect(caller, server.sockets[0].getsockname())
            request = f"GET / HTTP/{version}\r\nHost: x\r\n\r\n"
            await loop.sock_sendall(caller, request.encode())
            yield caller, has_ended


def test_an_answer_is_not_complete_before_its_last_byte_is_sent():
    """Guards against a process that ends with a part of an answer in its own buffer,
    while the connection already closes as if all were sent."""

    async def scenario():
        loop = asyncio.get_running_loop()
        async with ask_slowly("1.0") as (caller, has_ended):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await has_ended.wait()
            received = b""
            while part := await loop.sock_recv(caller, 65_536):
                received += part
            assert has_ended.is_set()
            assert received.partition(b"\r\n\r\n")[2] == b"x" * SIZE

    asyncio.run(scenario())


def test_an_answer_in_chunks_does_not_wait_for_its_last_byte():
    """Guards against a slow caller that occupies a request after its answer is done."""

    async def scenario():
        async with ask_slowly("1.1") as (_, has_ended), asyncio.timeout(1):
            await has_ended.wait()

    asyncio.run(scenario())
