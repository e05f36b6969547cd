"""Reuse of idle connections."""

import asyncio

import pytest
from aiohttp import web

from arbutuspulley.platform import transport
from arbutuspulley.platform.requests import decode_request
from arbutuspulley.platform.transport import open_session, send_request


async def count_connections(monkeypatch, keep_alive, idle_times_s):
    """Return how many connections are used for requests with these idle times between.

    :param keep_alive: value of the server's Keep-Alive header; empty for none.
    """
    now = 100.0
    monkeypatch.setattr(transport, "_read_clock", lambda: now)
    seen = set()

    async def answer(request):
        seen.add(request.transport.get_extra_info("peername"))
        headers = {"Keep-Alive": keep_alive} if keep_alive else {}
        return web.Response(text="done", headers=headers)

    loop = asyncio.get_running_loop()
    server = await loop.create_server(web.Server(answer), "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    request = decode_request(method="GET", path="/", headers=[("Host", "x")])
    async with server, open_session() as session:
        for pause in (0, *idle_times_s):
            now += pause
            response = await send_request(
                session, request, address=f"{host}:{port}", headers=[]
            )
            await response.read()
    return len(seen)


@pytest.mark.parametrize(
    ("keep_alive", "idle_times_s", "expected"),
    [
        ("", (3.9, 3.9), 1),
        ("", (4.1,), 2),
        ("timeout=10", (7.9, 7.9), 1),
        ("timeout=10, max=100", (8.1,), 2),
        ("timeout=3", (0.9,), 1),
        ("timeout=3", (1.1,), 2),
        ("timeout=1", (0.1,), 2),
        ("soon", (3.9,), 1),
    ],
)
def test_an_idle_connection_is_discarded_before_its_server_closes_it(
    monkeypatch, keep_alive, idle_times_s, expected
):
    """A request was sent while the server closed the idle connection. It may have run,
    so a request that may run only once failed. The idle timeout is the server's, and is
    measured by a clock that continues while the machine is suspended."""
    made = asyncio.run(count_connections(monkeypatch, keep_alive, idle_times_s))
    assert made == expected
