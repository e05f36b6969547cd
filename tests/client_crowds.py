"""Crowds of clients that keep to no limit, on raw sockets."""

import asyncio
import contextlib
import os
import socket
from pathlib import Path

from scripts.platform_testbed import HOST

RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of clients that read slowly, so that bytes stay at the node."""

MAX_BODY_BYTES = 4 * 1_024 * 1_024

BLOCK = bytes(64 * 1_024)

RECONNECT_S = 0.2
"""Time after which a client whose connection was closed opens another one, in s."""


def build_head(path, *, attempt, method="POST", headers=(), length=0):
    """Build the head of a request.

    :param length: of its body; ``None``: none is stated.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Arbutuspulley-Attempt-Id: {attempt}",
        "X-Arbutuspulley-Deadline-Ms: 60000",
        *headers,
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


def send_unfinished_body(number, turn, *, path="/sync/x"):
    """Send all of a body but its end."""
    yield build_head(path, attempt=f"b{number}.{turn}", length=MAX_BODY_BYTES - 8)
    for _ in range(MAX_BODY_BYTES * 39 // 40 // len(BLOCK)):
        yield BLOCK


def send_endless_chunks(number, turn):
    """Send a body in chunks that never ends, within the limit on its size."""
    yield build_head(
        "/sync/x",
        attempt=f"c{number}.{turn}",
        headers=("Transfer-Encoding: chunked",),
        length=None,
    )
    for _ in range(MAX_BODY_BYTES * 39 // 40 // len(BLOCK)):
        yield b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)


def send_tiny_chunks(number, turn):
    """Send a body in chunks of one byte that never ends."""
    yield build_head(
        "/sync/x",
        attempt=f"d{number}.{turn}",
        headers=("Transfer-Encoding: chunked",),
        length=None,
    )
    while True:
        yield b"1\r\nx\r\n" * 2_000


def send_bodies_ahead(number, turn):
    """Send 40 requests with bodies of 0.5 MB, without waiting for an answer."""
    for ahead in range(40):
        yield build_head(
            "/sync/x", attempt=f"a{number}.{turn}.{ahead}", length=8 * len(BLOCK)
        )
        for _ in range(8):
            yield BLOCK


def send_requests_ahead(number, turn, *, path="/sync/x", count=10_000):
    """Send many small requests without waiting for an answer."""
    for ahead in range(0, count, 20):
        yield b"".join(
            build_head(path, attempt=f"s{number}.{turn}.{ahead + one}")
            for one in range(20)
        )


def send_unfinished_head(number, turn):
    """Send a head that stays open, of the largest lines that are read."""
    yield b"POST /sync/x HTTP/1.1\r\n"
    yield b"X-A: " + b"a" * 60_000 + b"\r\n"
    yield b"X-B: " + b"b" * 60_000


def send_long_heads(number, turn):
    """Send a head of many long lines that never ends."""
    yield b"POST /sync/x HTTP/1.1\r\n"
    for line in range(500):
        yield b"X-%d: " % line + b"a" * 60_000 + b"\r\n"


def send_long_names(number, turn):
    """Send requests that name attempts, and parts of prompts, at great length."""
    for ahead in range(3_000):
        name = f"n{number}.{turn}.{ahead}."
        yield build_head(
            "/resumed/x",
            attempt=name.ljust(7_000, "n"),
            headers=(
                "X-Arbutuspulley-Model: m0",
                "X-Arbutuspulley-Resumes: " + name.ljust(6_000, "r"),
                "Last-Event-Id: 3",
            ),
        )


def send_nothing(number, turn):
    """Open a connection and send nothing."""
    return ()


def send_malformed(number, turn):
    """Send requests that can't be read, or that no route has."""
    for ahead in range(2_000):
        yield build_head("/none/x", attempt=f"m{number}.{turn}.{ahead}")
    yield b"\x00\x01 malformed\r\n\r\n" * 100


def ask_once(path):
    """Return a client's behaviour: ask for one long answer."""
    return lambda number, turn: (
        build_head(path, attempt=f"q{path[1]}{number}.{turn}"),
    )


def ask_ahead(path, count):
    """Return a client's behaviour: ask for several long answers at once."""
    return lambda number, turn: (
        b"".join(
            build_head(path, attempt=f"r{path[1]}{number}.{turn}.{ahead}")
            for ahead in range(count)
        ),
    )


class Crowd:
    """Clients that each keep one connection and open it anew when it is closed.

    :param address: ``host:port`` that they connect to.
    :param count: number of clients.
    :param build: returns what a client sends on a connection, part by part, for the
        client's number and that of its connection.
    :param read_bytes: what it reads each ``read_pause_s``; 0: it reads nothing.

    :ivar closed: connections that the node has closed or refused.
    """

    __slots__ = (
        "_address",
        "_build",
        "_read_bytes",
        "_read_pause_s",
        "_tasks",
        "closed",
    )

    def __init__(self, *, address, count, build, read_bytes=0, read_pause_s=0.5):
        host, _, port = address.partition(":")
        self._address = host, int(port)
        self._build = build
        self._read_bytes = read_bytes
        self._read_pause_s = read_pause_s
        self.closed = 0
        self._tasks = [
            asyncio.create_task(self._run_client(number)) for number in range(count)
        ]

    async def leave(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_client(self, number):
        turn = 0
        while True:
            with contextlib.suppress(OSError), socket.socket() as opened:
                await self._use(opened, number, turn)
            self.closed += 1
            turn += 1
            await asyncio.sleep(RECONNECT_S)

    async def _use(self, opened, number, turn):
        loop = asyncio.get_running_loop()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        opened.setblocking(False)
        await loop.sock_connect(opened, self._address)
        sending = asyncio.create_task(self._send(opened, number, turn))
        try:
            if self._read_bytes:
                while await loop.sock_recv(opened, self._read_bytes):
                    await asyncio.sleep(self._read_pause_s)
            else:
                await self._wait_closed(opened, sending)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, opened, number, turn):
        loop = asyncio.get_running_loop()
        for part in self._build(number, turn):
            await loop.sock_sendall(opened, part)
            await asyncio.sleep(0)

    async def _wait_closed(self, opened, sending):
        """Wait until the other end has reset the connection, or is known to have.

        Nothing is read, so an ordinary close shows only when everything is sent.
        """
        while not opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            if sending.done() and sending.exception() is not None:
                return
            with contextlib.suppress(BlockingIOError):
                if not opened.recv(1, socket.MSG_PEEK):
                    return
            await asyncio.sleep(0.1)


def count_connections(pid):
    """Return how many sockets and pipes a process has open."""
    found = 0
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            found += os.readlink(entry).startswith(("socket:", "pipe:"))
    return found


@contextlib.asynccontextmanager
async def watch_connections(pid):
    """Record the largest number of sockets and pipes of a process.

    :return: a list of which the last element is the largest number so far.
    """
    most = [0]

    async def watch():
        while True:
            most.append(max(most[-1], count_connections(pid)))
            await asyncio.sleep(0.01)

    watching = asyncio.create_task(watch())
    try:
        yield most
    finally:
        watching.cancel()
