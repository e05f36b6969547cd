"""Connections of clients: which are accepted and closed, and what counts for them."""

import asyncio
import contextlib
import gc
import socket

import pytest
from aiohttp import web

from arbutuspulley.clients.connections import (
    READ_BYTES,
    RECEIVE_BUFFER_BYTES,
    BodyRefusedError,
    ClientConnection,
    ClientServer,
    get_connection,
)
from arbutuspulley.clients.limits import Port, Timeouts
from arbutuspulley.clients.listeners import Listener
from arbutuspulley.clients.pools import (
    ANSWER_TIMEOUT_MS,
    CLOSE_TIMEOUT_MS,
    CROWDED_STALL_MS,
    MAX_SWEEP_MS,
    SWEEP_INTERVAL_MS,
    UNREAD_TIMEOUT_MS,
    Clients,
    CloseReason,
)
from arbutuspulley.node.frontend import _skip_body
from arbutuspulley.platform.held_bytes import HeldBytes
from arbutuspulley.platform.memory_bound import CONNECTION_BYTES, PROCESS_MB
from tests.answer_fleet import reserve_port

TIMEOUTS = Timeouts(head_ms=3_000, idle_ms=15_000)

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"

ASKED = HEAD % 0

BIG = bytes(30_000_000)

MAX_AT_ONCE = 32
"""Number of requests that the parser reads at once."""


class Harness:
    """A listener, its clients, and a time that tests advance."""

    def __init__(self, *, limit=100, memory_mb=0, header_bytes=16_384):
        self.closed = []
        self.limit = limit
        self.handled = []
        self.held = HeldBytes(get_memory_mb=lambda: memory_mb)
        self.clients = Clients(
            held=self.held,
            get_limits=lambda: dict.fromkeys(Port, self.limit),
            get_timeouts=lambda: TIMEOUTS,
            get_header_bytes=lambda: header_bytes,
            on_closed=lambda _port, reason, count: self.closed.extend([reason] * count),
        )
        self.pool = self.clients.pools[Port.FRONTEND]
        self.released = asyncio.Event()
        self._now = 0.0
        self._opened = []

    async def handle(self, request):
        self.handled.append(request.path)
        if request.path == "/unread":
            return web.Response(text="done")
        if request.path == "/none":
            await _skip_body(request, 10_000_000)
            return web.Response(status=404)
        body = b""
        try:
            with get_connection(request).receiving():
                while part := await request.content.readany():
                    body += part
        except BodyRefusedError:
            answer = web.Response(status=503)
            answer.force_close()
            return answer
        if request.path == "/wait":
            await self.released.wait()
        return web.Response(body=BIG if request.path == "/big" else body or b"done")

    async def connect(self, *, is_slow=True):
        opened = socket.socket()
        if is_slow:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        opened.setblocking(False)
        self._opened.append(opened)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(opened, ("127.0.0.1", self.port))
        await asyncio.sleep(0.02)
        return opened

    async def send(self, data, *, opened=None):
        opened = opened or await self.connect()
        await asyncio.get_running_loop().sock_sendall(opened, data)
        await asyncio.sleep(0.02)
        return opened

    async def read(self, opened):
        """Return what the node has sent; ``None``: it has reset the connection."""
        await asyncio.sleep(0.005)
        try:
            return opened.recv(1 << 20)
        except BlockingIOError:
            return b"(nothing)"
        except ConnectionError:
            return None

    def pass_time(self, ms):
        """Sweep as often as in a time."""
        for _ in range(0, ms, SWEEP_INTERVAL_MS):
            self._now += SWEEP_INTERVAL_MS / 1_000
            self.clients.sweep(self._now)

    def close(self):
        for opened in self._opened:
            opened.close()


def run(test, **options):
    """Run a test of a listener that serves clients."""

    async def scenario():
        harness = Harness(**options)
        with reserve_port() as port:
            harness.port = port
            server = ClientServer(
                harness.handle, clients=harness.clients, port=Port.FRONTEND
            )
            listener = Listener(
                address=f"127.0.0.1:{port}", server=server, clients=harness.clients
            )
            try:
                harness.pass_time(SWEEP_INTERVAL_MS)
                await test(harness)
            finally:
                listener.close()
                harness.close()
                await asyncio.sleep(0.05)
        assert harness.pool.count == 0
        assert harness.held.total == 0

    asyncio.run(scenario())


def test_a_head_that_takes_too_long_is_refused():
    """Guards against heads that are never complete, and that hold a connection."""

    async def test(harness):
        opened = await harness.send(b"POST /x HTTP/1.1\r\n")
        harness.pass_time(TIMEOUTS.head_ms)
        assert await harness.read(opened) == b"(nothing)"
        # A further byte does not prolong it.
        await harness.send(b"X", opened=opened)
        harness.pass_time(2 * SWEEP_INTERVAL_MS)
        assert (await harness.read(opened)).startswith(b"HTTP/1.1 408 ")
        assert not await harness.read(opened)
        assert harness.closed == [CloseReason.HEAD_TIMEOUT]
        assert not harness.handled

    run(test)


def test_a_head_that_is_too_large_is_refused_before_it_ends():
    """Guards against heads of which any amount is held until they are complete."""

    async def test(harness):
        opened = await harness.send(b"POST /x HTTP/1.1\r\n")
        with contextlib.suppress(ConnectionError):
            for number in range(100):
                line = b"X-%d: " % number + b"a" * 8_000 + b"\r\n"
                await harness.send(line, opened=opened)
        harness.pass_time(SWEEP_INTERVAL_MS)
        assert harness.closed == [CloseReason.HEAD_SIZE]
        assert not harness.handled

    run(test)


def test_the_largest_head_is_served():
    """Guards against a limit that a head inside the configuration's meets."""

    async def test(harness):
        line = b"POST /%b HTTP/1.1\r\n" % (b"p" * 8_000)
        headers = b"Host: a\r\nX-A: " + b"a" * 16_000 + b"\r\nContent-Length: 0\r\n\r\n"
        opened = await harness.send(line + headers)
        assert (await harness.read(opened)).startswith(b"HTTP/1.1 200 ")
        assert not harness.closed

    run(test)


@pytest.mark.parametrize("asks_first", [False, True])
def test_an_idle_connection_lasts_for_the_configured_time(asks_first):
    """Guards against connections that stay open for ever, and against closing one that
    its client may use again: within four fifths of the time."""

    async def test(harness):
        opened = await harness.connect()
        if asks_first:
            await harness.send(ASKED, opened=opened)
            assert (await harness.read(opened)).endswith(b"done")
        harness.pass_time(TIMEOUTS.idle_ms * 4 // 5)
        await harness.send(ASKED, opened=opened)
        assert (await harness.read(opened)).endswith(b"done")
        harness.pass_time(TIMEOUTS.idle_ms)
        assert await harness.read(opened) == b"(nothing)"
        harness.pass_time(2 * SWEEP_INTERVAL_MS)
        assert not await harness.read(opened)
        assert harness.closed == [CloseReason.IDLE]

    run(test)


def test_a_frozen_process_closes_no_connection():
    """Guards against clients that lose connections for a delay of this process."""

    async def test(harness):
        opened = await harness.send(b"POST /x HTTP/1.1\r\n")
        harness.clients.sweep(1_000.0)
        assert harness.clients.now <= SWEEP_INTERVAL_MS + MAX_SWEEP_MS
        assert await harness.read(opened) == b"(nothing)"
        assert not harness.closed

    run(test)


def test_connections_that_wait_longest_make_room():
    """Guards against clients without requests that keep others from being served, and
    against those that ask being closed for them."""

    async def test(harness):
        busy = await harness.send(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        used = await harness.send(ASKED)
        unused = [await harness.connect() for _ in range(2)]
        harness.pass_time(2_000)
        for _ in range(3):
            assert (await harness.read(await harness.send(ASKED))).endswith(b"done")
        # Those that came before have waited for less than a second.
        with pytest.raises(ConnectionError):
            await harness.send(ASKED)
        for opened in unused:
            assert not await harness.read(opened)
        assert (await harness.read(used)).endswith(b"done")
        assert not await harness.read(used)
        harness.released.set()
        assert (await harness.read(busy)).endswith(b"done")
        harness.pass_time(SWEEP_INTERVAL_MS)
        assert harness.closed == [CloseReason.EVICTED] * 3 + [CloseReason.FULL]

    run(test, limit=4)


def test_connections_without_any_request_make_room_first():
    """Guards against clients that ask and are closed for one that never did."""

    async def test(harness):
        used = await harness.send(ASKED)
        assert (await harness.read(used)).endswith(b"done")
        unused = await harness.connect()
        harness.pass_time(2_000)
        await harness.send(ASKED)
        assert not await harness.read(unused)
        assert await harness.read(used) == b"(nothing)"

    run(test, limit=2)


def test_a_body_that_is_not_read_leaves_an_idle_connection():
    """Guards against connections that are open for ever and make room for nobody."""

    async def test(harness):
        head = (HEAD % 1_000_000).replace(b"/x", b"/unread")
        opened = await harness.send(head)
        assert (await harness.read(opened)).endswith(b"done")
        await harness.send(bytes(1_000_000), opened=opened)
        harness.pass_time(SWEEP_INTERVAL_MS)
        harness.pass_time(TIMEOUTS.idle_ms + 2 * SWEEP_INTERVAL_MS)
        assert not await harness.read(opened)
        assert harness.closed == [CloseReason.IDLE]

    run(test)


def test_a_body_of_an_unknown_route_is_not_kept():
    """Guards against bodies that are received only to be refused, and held for it."""

    async def test(harness):
        head = (HEAD % 1_000_000).replace(b"/x", b"/none")
        opened = await harness.send(head + bytes(500_000))
        await asyncio.sleep(0.1)
        harness.pass_time(SWEEP_INTERVAL_MS)
        assert harness.held.total < CONNECTION_BYTES + 200_000
        await harness.send(bytes(500_000), opened=opened)
        assert (await harness.read(opened)).startswith(b"HTTP/1.1 404 ")

    run(test)


def test_a_connection_with_unsent_bytes_makes_no_room():
    """Guards against an answer that is cut while its client reads it slowly, and
    against descriptors beyond the limit while such connections close."""

    async def test(harness):
        opened = await harness.send(b"GET /big HTTP/1.1\r\nHost: a\r\n\r\n")
        connection = next(iter(harness.pool.connections))
        connection._start_waiting(harness.pool.idle)
        harness.pass_time(2_000)
        with pytest.raises(ConnectionError):
            await harness.send(ASKED)
        assert harness.pool.count == 1
        assert await harness.read(opened)

    run(test, limit=1)


def test_a_link_of_another_instance_does_not_count():
    """Guards against links that are closed for what clients hold."""

    async def test(harness):
        await harness.send(ASKED)
        connection = next(iter(harness.pool.connections))
        assert harness.held.total
        connection.set_parser(None)
        assert harness.held.total == 0

    run(test)


def test_a_limit_that_falls_closes_connections_that_wait():
    """Guards against a reload of the settings that holds for new connections alone, and
    against one that closes connections with requests in flight."""

    async def test(harness):
        busy = await harness.send(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        waiting = [await harness.connect() for _ in range(3)]
        harness.limit = 2
        harness.pass_time(SWEEP_INTERVAL_MS)
        left = [await harness.read(opened) == b"(nothing)" for opened in waiting]
        assert left == [False, False, True]
        harness.released.set()
        assert (await harness.read(busy)).endswith(b"done")

    run(test)


def test_an_answer_that_is_not_taken_is_given_up():
    """Guards against answers that are held for as long as their clients like, and
    against clients that pause for a second and lose theirs."""

    async def test(harness):
        opened = await harness.send(b"GET /big HTTP/1.1\r\nHost: a\r\n\r\n")
        harness.pass_time(UNREAD_TIMEOUT_MS - 1_000)
        assert harness.pool.count == 1
        harness.pass_time(2_000)
        await asyncio.sleep(0.02)
        assert harness.pool.count == 0
        assert harness.closed == [CloseReason.UNREAD]
        opened.close()

    run(test)


def test_a_crowded_port_gives_up_answers_sooner():
    """Guards against a port that serves nobody while its clients don't read."""

    async def test(harness):
        await harness.send(b"GET /big HTTP/1.1\r\nHost: a\r\n\r\n")
        harness.pass_time(CROWDED_STALL_MS - 1_000)
        assert harness.pool.count == 1
        harness.pass_time(1_500)
        await asyncio.sleep(0.02)
        assert harness.closed == [CloseReason.UNREAD]

    run(test, limit=1)


def test_a_crowded_port_refuses_bodies_that_do_not_come():
    """Guards against a port that serves nobody while bodies are incomplete."""

    async def test(harness):
        opened = await harness.send(HEAD % 1_000 + b"x" * 500)
        harness.pass_time(CROWDED_STALL_MS + 1_000)
        assert (await harness.read(opened)).startswith(b"HTTP/1.1 503 ")
        assert harness.closed == [CloseReason.STALLED]

    run(test, limit=1)


def test_an_answer_that_is_taken_byte_by_byte_is_given_up():
    """Guards against clients that take just enough not to count as stalled."""

    async def test(harness):
        opened = await harness.connect(is_slow=False)
        head = b"GET /big HTTP/1.1\r\nHost: a\r\n\r\n"
        await harness.send(head, opened=opened)
        connection = next(iter(harness.pool.connections))
        for _ in range(ANSWER_TIMEOUT_MS // UNREAD_TIMEOUT_MS * 2):
            unsent = connection.count_unsent()
            while connection.count_unsent() == unsent:
                assert await harness.read(opened)
            harness.pass_time(UNREAD_TIMEOUT_MS // 2)
        harness.pass_time(1_000)
        assert CloseReason.SLOW in harness.closed

    run(test)


def test_a_closed_connection_does_not_wait_for_its_client():
    """Guards against connections that stay open as their last answer is not taken."""

    async def test(harness):
        head = b"GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        await harness.send(head)
        connection = next(iter(harness.pool.connections))
        connection.force_close()
        harness.pass_time(CLOSE_TIMEOUT_MS + 1_000)
        await asyncio.sleep(0.02)
        assert harness.pool.count == 0

    run(test)


def test_a_body_gives_way_as_not_run():
    """Guards against bodies that are held beyond the bound, and against a request that
    is refused although it was read to its end."""

    async def test(harness):
        size = harness.held.bound
        first = await harness.send(HEAD % size + b"x" * (size // 2))
        second = await harness.send(HEAD % size)
        sending = asyncio.create_task(
            harness.send(b"x" * (size * 3 // 4), opened=second)
        )
        await asyncio.sleep(0.5)
        answers = [await harness.read(opened) for opened in (first, second)]
        assert sorted(answer[:12] for answer in answers) == [
            b"(nothing)",
            b"HTTP/1.1 503",
        ]
        assert harness.held.total <= harness.held.bound
        sending.cancel()

    run(test, memory_mb=PROCESS_MB)


@pytest.mark.parametrize(("size", "count"), [(100_000, 50), (0, 120_000)])
def test_requests_sent_ahead_wait_in_their_senders(size, count):
    """Guards against requests that are read without a bound while one is handled."""

    async def test(harness):
        ahead = (HEAD % size + bytes(size)) * count
        first = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
        opened = await harness.connect()
        sending = asyncio.create_task(harness.send(first + ahead, opened=opened))
        await asyncio.sleep(0.3)
        # The receive buffer counts, as reading is paused.
        paused = CONNECTION_BYTES + READ_BYTES + RECEIVE_BUFFER_BYTES
        assert paused <= harness.held.total < 600_000
        connection = next(iter(harness.pool.connections))
        assert len(connection._messages) <= MAX_AT_ONCE
        assert not sending.done()
        harness.released.set()
        received = b""
        async with asyncio.timeout(5):
            while received.count(b"HTTP/1.1 200") < min(count, 50) + 1:
                part = await asyncio.get_running_loop().sock_recv(opened, 1 << 20)
                received += part
        assert not harness.closed
        sending.cancel()

    run(test)


def test_an_upgrade_after_a_body_in_parts_leaves_the_connection_usable():
    """Guards against the fuzzer's case f146: a request with a body in chunks, then one
    that asks for another protocol; the next one was answered 400."""

    async def test(harness):
        chunked = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        upgrade = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n"
        opened = await harness.connect()
        for _ in range(3):
            await harness.send(chunked, opened=opened)
            await harness.send(b"0\r\n\r\n", opened=opened)
            assert (await harness.read(opened)).endswith(b"done")
            await harness.send(upgrade + b"Upgrade: websocket\r\n\r\n", opened=opened)
            assert (await harness.read(opened)).endswith(b"done")

    run(test)


def test_a_body_is_received_as_it_was_sent():
    """Guards against compressed bodies that are forwarded decompressed, and that take
    more memory than their bytes."""

    async def test(harness):
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Encoding: gzip\r\n"
        opened = await harness.send(head + b"Content-Length: 5\r\n\r\nplain")
        assert (await harness.read(opened)).endswith(b"plain")

    run(test)


def test_what_a_client_holds_is_counted():
    """Guards against bytes that the bound does not see."""

    async def test(harness):
        head = (HEAD % 10_000).replace(b"Host", b"X-A: " + b"a" * 9_000 + b"\r\nHost")
        opened = await harness.send(head + b"x" * 5_000)
        harness.pass_time(SWEEP_INTERVAL_MS)
        assert harness.held.total >= CONNECTION_BYTES + 9_000 + 5_000
        await harness.send(b"x" * 5_000, opened=opened)
        assert (await harness.read(opened)).endswith(b"x")
        harness.pass_time(SWEEP_INTERVAL_MS)
        assert harness.held.total == CONNECTION_BYTES

    run(test)


def test_an_aborted_connection_counts_no_more_and_is_freed():
    """Guards against bytes that count twice as others give way for them, and against
    connections that stay until the next collection of cycles."""

    async def test(harness):
        await harness.send(HEAD % 100_000 + b"x" * 50_000)
        connection = next(iter(harness.pool.connections))
        connection.abort_for(CloseReason.MEMORY)
        assert harness.held.total == 0
        del connection
        await asyncio.sleep(0.05)
        assert not [one for one in gc.get_objects() if type(one) is ClientConnection]

    gc.collect()
    gc.disable()
    try:
        run(test)
    finally:
        gc.enable()
