"""Requests of a lone instance at servers that answer, break off or stay silent."""

import asyncio

import msgspec
from multidict import CIMultiDict

from arbutuspulley.node import server_paths as paths_module
from arbutuspulley.node import stream_relay as relay_module
from arbutuspulley.platform import names
from arbutuspulley.ports.fleet import RetryPolicy
from tests.lone_exchanges import ROUTE, SERVICE, LoneNode, build_exchange

ANY_ROUTE = msgspec.structs.replace(ROUTE, retry_policy=RetryPolicy.ANY)

DELAY_MS = 20
"""Percentile of the time to first byte that a test's instance has measured."""


class FakeResponse:
    """A server's answer of which only the headers have arrived."""

    method = "GET"
    reason = ""

    def __init__(self, server, *, status=200, headers=(), attempt_id="r0"):
        self.status = status
        self.body = f"body of {server}".encode()
        self.headers = CIMultiDict(
            {
                names.ATTEMPT_ID: attempt_id,
                names.SEAL: f"seal of {server}",
                "Content-Length": str(len(self.body)),
                **dict(headers),
            }
        )
        self.content = self
        self.content_length = len(self.body)
        self.total_bytes = 0
        self.read = 0
        self.is_closed = False

    async def readany(self):
        part = self.body[self.read :]
        self.read = len(self.body)
        return part

    def close(self):
        self.is_closed = True


class Servers:
    """What the servers of a test do with the request, in the order of being chosen.

    :ivar sent: addresses in the order in which the request was sent.
    :ivar cut: addresses whose connection was closed while they were silent.
    :ivar closed: those of them whose connection was closed as the request ended, not
        only as the event loop did.
    """

    def __init__(self, *acts):
        self.acts = list(acts)
        self.sent = []
        self.cut = []
        self.closed = []
        self.headers = []

    async def send(self, _session, _request, *, address, headers):
        number = len(self.sent)
        self.sent.append(address)
        self.headers.append(headers)
        delay_s, outcome = self.acts[number]
        try:
            await asyncio.sleep(delay_s)
        except asyncio.CancelledError:
            self.cut.append(address)
            raise
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


def build_hedging_node(**settings):
    """Build an instance that may begin second attempts and has measured its delay."""
    settings = {"hedge_ratio": 1.0, "retry_ratio": 1.0, **settings}
    node = LoneNode(**settings)
    for _ in range(10):
        node.retries.record_request(SERVICE)
    return node


def build_hedged(monkeypatch, node, servers, *, route=ANY_ROUTE, change=None):
    """Build an exchange with as many servers as there are acts.

    :param change: called with the exchange before it runs.
    """
    exchange, _ = build_exchange(
        monkeypatch, node, outcomes=[None] * len(servers.acts), route=route
    )
    monkeypatch.setattr(paths_module, "send_request", servers.send)
    for _ in range(20):
        exchange._hedges.record_first_byte(route.name, DELAY_MS)
    for _ in range(10):
        exchange._hedges.record_request(SERVICE)
    if change is not None:
        change(exchange)
    return exchange


def run_hedged(monkeypatch, servers, *, node=None, route=ANY_ROUTE, change=None):
    """Run a request; return its answer or error, its exchange and its instance."""
    node = node or build_hedging_node()

    async def run():
        exchange = build_hedged(monkeypatch, node, servers, route=route, change=change)
        try:
            answer = await exchange.run()
        except Exception as error:
            answer = error
        # Tasks and callbacks of the attempt that lost.
        await asyncio.sleep(0.01)
        servers.closed = list(servers.cut)
        # The answer counts until it is sent; its caller has no connection.
        node.state.held_bytes.enforce()
        return answer, exchange

    answer, exchange = asyncio.run(run())
    return answer, exchange, node


def count_events(caplog, name):
    return sum(record.msg == name for record in caplog.records)


def check_paired(node, exchange):
    """Check that each attempt's accounting has ended."""
    stats = node.state.server_stats.servers.values()
    assert not any(server.in_flight for server in stats)
    assert not exchange._paths._in_flight
    assert not exchange._hedge.is_in_flight
    assert not exchange._hedges.get_budget(SERVICE).budget.in_flight
    assert not node.retries._services[SERVICE].budget.in_flight
    assert not node.state.held_bytes.total


class FakeStream(FakeResponse):
    """A stream whose headers arrive at once and whose first event arrives later."""

    def __init__(
        self, server, *, first_s=0.0, events=(b"1", b"2"), headers=(), **changes
    ):
        headers = {"Content-Type": "text/event-stream", **dict(headers)}
        super().__init__(server, headers=headers, **changes)
        self.parts = [b"id: " + one + b"\ndata: x\n\n" for one in events]
        self.first_s = first_s
        self.is_cancelled = False

    async def readany(self):
        first_s, self.first_s = self.first_s, 0.0
        try:
            await asyncio.sleep(first_s)
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise
        part = self.parts.pop(0) if self.parts else b""
        if isinstance(part, Exception):
            raise part
        return part


class FakeAnswer:
    """The answer to the caller."""

    def __init__(self):
        self.written = b""

    async def write(self, part):
        self.written += part


def patch_answer(monkeypatch):
    """Replace the caller's connection; return the answer that is written to it."""
    answer = FakeAnswer()

    async def begin(_client, **_head):
        return answer

    async def complete(_client, _answer):
        pass

    monkeypatch.setattr(relay_module, "begin_answer", begin)
    monkeypatch.setattr(relay_module, "complete_answer", complete)
    return answer
