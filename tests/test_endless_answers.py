"""Servers that send bytes that are no answer until their caller closes."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from arbutuspulley.platform import names
from arbutuspulley.platform.connections import MAX_FRAMING_BYTES
from arbutuspulley.platform.engines import fetch_kept_parts, fetch_report, send_order
from arbutuspulley.platform.held_bytes import (
    MAX_ALL_HELD_BYTES,
    MAX_HELD_BYTES,
    BrokenError,
    HeldBytes,
)
from arbutuspulley.platform.requests import decode_request
from arbutuspulley.platform.transport import (
    open_order_session,
    open_session,
    read_body,
    send_request,
)
from arbutuspulley.ports.answers import AnswerEnd
from arbutuspulley.ports.fleet import OrderAnswer
from arbutuspulley.results import PlatformUnavailableError
from arbutuspulley.standins.scripted_answer import AnswerScript, ConnectionEnd
from tests.raw_callers import ask_raw
from tests.test_connections import ORDER
from tests.test_node import play
from tests.test_platform_contract import StoreClient
from tests.test_server_relay import run_relay_to

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    "status line": (b"", b"H" * 1_000),
    "no HTTP": (b"", b"\x00\xff" * 500),
    "header": (HEAD + b"X: ", b"y" * 1_000),
    "headers": (HEAD, b"X: y\r\n" * 200),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "empty lines": (b"", b"\r\n" * 500),
    "body": (HEAD + b"\r\n", b"z" * 1_000),
    "body of a length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"z" * 1_000),
    "chunks": (CHUNKED, b"3e8\r\n" + b"z" * 1_000 + b"\r\n"),
    "size of a chunk": (CHUNKED, b"0" * 1_000),
    "extension of a chunk": (CHUNKED + b"3e8;", b"a" * 1_000),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n" * 200),
}
"""What servers send first, and then without end."""

FAILS_WITHIN_S = 2.0
"""Time within which such an answer is given up, in s."""

MAX_SENT_BYTES = 64 * 1_024 * 1_024
"""What its server can send by then, in the buffers of both ends, too."""


async def receive(head, rest):
    """Ask a server that sends a head and then the rest for ever.

    :return: the error by which that ends, and how many bytes the server sent.
    """

    async def ask(address):
        request = decode_request(method="GET", path="/", headers=[("Host", "x")])
        async with open_session() as session:
            with pytest.raises(BrokenError) as failed:
                async with asyncio.timeout(FAILS_WITHIN_S):
                    response = await send_request(
                        session, request, address=address, headers=[]
                    )
                    await read_body(response)
            response = None
        return failed.value

    return await call_endless(head, rest, ask)


async def call_endless(head, rest, call):
    """Make a call to a server that sends a head and then the rest for ever.

    :return: what the call returns, and how many bytes the server sent.
    """
    sent = 0
    left = asyncio.Event()

    async def serve(reader, writer):
        nonlocal sent
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            while True:
                writer.write(rest * 20)
                sent += len(rest) * 20
                await writer.drain()
        writer.close()
        left.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        result = await call(f"{host}:{port}")
        async with asyncio.timeout(FAILS_WITHIN_S):
            await left.wait()
    return result, sent


@pytest.mark.parametrize("what", ENDLESS)
def test_an_answer_without_end_is_given_up(what):
    """Guards against a process that runs out of memory, or spends its time reading,
    until the deadline of a request to a server that sends without end."""
    error, sent = asyncio.run(receive(*ENDLESS[what]))
    assert error.end is AnswerEnd.INVALID
    assert sent < MAX_SENT_BYTES


@pytest.mark.parametrize("what", ENDLESS)
def test_an_answer_of_the_store_without_end_is_given_up(what):
    """Guards against a process that runs out of memory by an answer of the store."""

    async def read(address):
        async with open_session() as session:
            client = StoreClient(session=session, address=address)
            with pytest.raises(PlatformUnavailableError):
                async with asyncio.timeout(FAILS_WITHIN_S):
                    await client.read("servers")
            assert client.is_failing

    _, sent = asyncio.run(call_endless(*ENDLESS[what], read))
    assert sent < MAX_SENT_BYTES


@pytest.mark.parametrize("what", ENDLESS)
def test_control_answers_without_end_are_given_up(what):
    """Guards against a coordinator that runs out of memory by reports, lists of kept
    prompts or answers to orders."""

    async def call(address):
        async with open_session() as session, open_order_session() as orders:
            async with asyncio.timeout(FAILS_WITHIN_S):
                return await asyncio.gather(
                    fetch_report(session, address=address, incarnation="s"),
                    fetch_kept_parts(session, address=address, incarnation="s"),
                    send_order(orders, ORDER, address=address, incarnation="s"),
                )

    results, sent = asyncio.run(call_endless(*ENDLESS[what], call))
    assert results == [None, None, OrderAnswer.UNKNOWN]
    assert sent < 3 * MAX_SENT_BYTES


@pytest.mark.parametrize("what", ENDLESS)
def test_a_relay_gives_up_an_answer_without_end(what):
    """Guards against an instance that runs out of memory by an answer that it forwards
    to another one."""

    async def scenario(address):
        ended = asyncio.Event()

        async def ask(relay):
            with contextlib.suppress(BrokenError):
                async with asyncio.timeout(FAILS_WITHIN_S):
                    await read_body(await relay.ask())
            ended.set()

        await run_relay_to(ask, server_address=address)
        assert ended.is_set()

    _, sent = asyncio.run(call_endless(*ENDLESS[what], scenario))
    assert sent < MAX_SENT_BYTES


@pytest.mark.parametrize("route", ["/chat/", "/sync/"])
def test_a_request_to_a_server_that_sends_without_end_fails_soon(tmp_path, route):
    """Guards against a stream of which one event, or a body that, takes all memory."""

    async def scenario(fleet, _session):
        endless = AnswerScript(
            parts=(b"data: ", *(b"x" * 1_000_000 for _ in range(40))),
            pause_s=0.01,
            end=ConnectionEnd.SILENT,
        )
        for server in fleet.servers:
            server.script = endless
        async with asyncio.timeout(FAILS_WITHIN_S):
            answer = await ask_raw(
                fleet.addresses["n1"]["Frontend"],
                f"{route}x",
                attempt="a1",
                model="m0" if route == "/chat/" else "",
                version="1.1",
            )
        assert answer.status == 502

    play(tmp_path, scenario)


def test_a_link_may_carry_any_number_of_frames():
    """Guards against links between instances that are taken for endless answers."""

    async def run():
        received = 0

        async def accept(request):
            link = web.WebSocketResponse(max_msg_size=0)
            await link.prepare(request)
            async for message in link:
                await link.send_bytes(message.data)
            return link

        server = await asyncio.get_running_loop().create_server(
            web.Server(accept), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        url = f"http://{host}:{port}/"
        async with (
            server,
            open_session() as session,
            session.ws_connect(url) as link,
        ):
            for _ in range(8):
                await link.send_bytes(bytes(MAX_FRAMING_BYTES // 4))
                received += len((await link.receive()).data)
        assert received == 2 * MAX_FRAMING_BYTES

    asyncio.run(run())


@pytest.mark.parametrize("size", [1_000, MAX_HELD_BYTES + 1])
def test_what_was_held_of_an_answer_is_given_back(size):
    """Guards against answers that are given up since earlier ones still count."""

    async def run():
        held = HeldBytes()
        server = await asyncio.get_running_loop().create_server(
            web.Server(lambda _: answer(size)), "127.0.0.1", 0
        )
        async with server, open_session() as session:
            with contextlib.suppress(BrokenError):
                await read_body(await ask(server, session), held=held)
        return held.total

    assert asyncio.run(run()) == 0


def test_all_answers_together_hold_a_bounded_number_of_bytes():
    """Guards against memory that many large answers take at once."""
    held = HeldBytes()
    for _ in range(MAX_ALL_HELD_BYTES // MAX_HELD_BYTES):
        held.change(before=0, now=MAX_HELD_BYTES)
    with pytest.raises(BrokenError):
        held.change(before=0, now=1)


def test_the_framing_of_earlier_answers_does_not_count():
    """Guards against a kept connection that is given up after many answers."""
    peers = set()

    async def record(request):
        peers.add(request.transport.get_extra_info("peername"))
        echoed = {names.ATTEMPT_ID: request.headers[names.ATTEMPT_ID]}
        return await answer(0, **echoed)

    async def run():
        server = await asyncio.get_running_loop().create_server(
            web.Server(record), "127.0.0.1", 0
        )
        async with server, open_session() as session:
            for number in range(2 * MAX_FRAMING_BYTES // HEADER_BYTES):
                answered = await ask(server, session, attempt=f"a{number}")
                assert await read_body(answered) == b""

    asyncio.run(run())
    assert len(peers) == 1


HEADER_BYTES = 8_000


async def answer(size, **headers):
    headers = {"X": "y" * HEADER_BYTES, **headers}
    return web.Response(body=bytes(size), headers=headers)


async def ask(server, session, *, attempt=""):
    host, port = server.sockets[0].getsockname()
    headers = [(names.ATTEMPT_ID, attempt)] if attempt else []
    request = decode_request(method="GET", path="/", headers=[("Host", "x"), *headers])
    return await send_request(
        session, request, address=f"{host}:{port}", headers=headers
    )
