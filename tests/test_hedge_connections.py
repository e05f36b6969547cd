"""Second attempts on real connections."""

import asyncio
import time

import msgspec
import pytest
from aiohttp import web

from arbutuspulley.node import server_paths as paths_module
from arbutuspulley.platform import names
from arbutuspulley.platform.transport import open_session, send_request
from arbutuspulley.ports.fleet import RetryPolicy
from tests.hedged_exchanges import (
    ANY_ROUTE,
    Servers,
    build_hedged,
    build_hedging_node,
    check_paired,
    patch_answer,
)
from tests.lone_exchanges import SERVICE

MAX_CLOSE_S = 0.1
"""Time within which the connection of the attempt that lost must be closed."""

STREAM_ROUTE = msgspec.structs.replace(
    ANY_ROUTE, retry_policy=RetryPolicy.RESUME, is_stream=True
)


class RealServer:
    """A server that answers after a delay and notes when it is left."""

    def __init__(self, name, *, delay_s, is_stream):
        self.name = name
        self.delay_s = delay_s
        self.is_stream = is_stream
        self.received = 0
        self.answered_at = self.left_at = None

    async def handle(self, request):
        self.received += 1
        headers = {names.ATTEMPT_ID: "r0", names.SEAL: self.name}
        try:
            if not self.is_stream:
                await asyncio.sleep(self.delay_s)
                self.answered_at = time.monotonic()
                return web.Response(text=self.name, headers=headers)
            answer = web.StreamResponse(headers=headers)
            answer.content_type = "text/event-stream"
            await answer.prepare(request)
            await asyncio.sleep(self.delay_s)
            self.answered_at = time.monotonic()
            await answer.write(f"id: 1\ndata: {self.name}\n\n".encode())
            return answer
        except asyncio.CancelledError:
            self.left_at = time.monotonic()
            raise

    async def start(self):
        app = web.Application()
        app.router.add_route("*", "/", self.handle)
        self.runner = web.AppRunner(app, handler_cancellation=True)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = self.runner.addresses[0]
        return f"{host}:{port}"


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize(("delays_s", "winner"), [((3, 0.02), 1), ((0.15, 3), 0)])
def test_the_loser_is_closed_soon_after_the_winner_begins(
    monkeypatch, is_stream, delays_s, winner
):
    """Guards against a server that goes on with a request that another one answered."""
    answer = patch_answer(monkeypatch)
    node = build_hedging_node()
    both = [
        RealServer(f"s{number}", delay_s=delay_s, is_stream=is_stream)
        for number, delay_s in enumerate(delays_s)
    ]

    async def run():
        exchange = build_hedged(
            monkeypatch,
            node,
            Servers(None, None),
            route=STREAM_ROUTE if is_stream else ANY_ROUTE,
        )
        monkeypatch.setattr(paths_module, "send_request", send_request)
        state = node.state
        entries = [
            msgspec.structs.replace(entry, address=await server.start())
            for entry, server in zip(state.by_service[SERVICE], both, strict=True)
        ]
        state.by_service[SERVICE] = entries
        state.by_incarnation = {entry.incarnation: entry for entry in entries}
        async with open_session() as session:
            state.session = session
            returned = await exchange.run()
            await asyncio.sleep(MAX_CLOSE_S)
            # The answer counts until it is sent; its caller has no connection.
            state.held_bytes.enforce()
        for server in both:
            await server.runner.cleanup()
        return exchange, returned

    exchange, returned = asyncio.run(run())
    name = both[winner].name
    if is_stream:
        assert answer.written == f"id: 1\ndata: {name}\n\n".encode()
    else:
        assert returned.body == name.encode()
        assert returned.headers[names.SEAL] == name
    assert [server.received for server in both] == [1, 1]
    loser = both[1 - winner]
    assert loser.answered_at is None
    assert 0 <= loser.left_at - both[winner].answered_at <= MAX_CLOSE_S
    check_paired(node, exchange)
