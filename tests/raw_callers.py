"""Callers that read an answer from their socket, and tell whether it looks complete."""

import asyncio
import enum
import socket

from arbutuspulley.data import Value
from scripts.platform_testbed import HOST

READ_TIMEOUT_S = 8


class Seen(enum.StrEnum):
    """How an answer ended for its caller.

    ``CLOSED``: by an ordinary close of the connection, which is the regular end of an
    answer that has neither a length nor chunks.
    """

    COMPLETE = "complete"
    CLOSED = "closed"
    SHORT = "short"
    RESET = "reset"


class RawAnswer(Value, frozen=True):
    """An answer as its caller received it.

    :param arrivals: time since the request in s, and size of the body received by then.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    seen: Seen
    arrivals: tuple[tuple[float, int], ...] = ()

    @property
    def looks_complete(self):
        """Return whether a caller takes this answer for complete."""
        return self.seen in (Seen.COMPLETE, Seen.CLOSED)


class RawCaller:
    """A caller's connection to a node.

    The streams of asyncio drop what was received before a reset; a socket does not.
    """

    __slots__ = ("_received", "_socket")

    def __init__(self):
        self._received = b""
        self._socket = socket.socket()

    async def open(self, front):
        """Connect to a node."""
        host, port = front.split(":")
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (host, int(port)))

    async def send(self, data):
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def read(self):
        """Return bytes that have been received; empty after an ordinary close."""
        data, self._received = self._received, b""
        if data:
            return data
        return await asyncio.get_running_loop().sock_recv(self._socket, 65_536)

    async def read_until(self, end):
        """Return the bytes up to an end mark."""
        received = b""
        while end not in received:
            received += await self._read_more(received)
        found, _, self._received = received.partition(end)
        return found + end

    async def read_exactly(self, size):
        """Return a number of bytes."""
        received = bytearray()
        while len(received) < size:
            received += await self._read_more(bytes(received))
        self._received = bytes(received[size:])
        return bytes(received[:size])

    def close(self):
        """Close the connection."""
        self._socket.close()

    async def _read_more(self, received):
        data = await self.read()
        if not data:
            raise asyncio.IncompleteReadError(received, None)
        return data


def build_raw_request(path, *, attempt, model="", version="1.1", method="POST"):
    """Build the bytes of a request without a body."""
    lines = [
        f"{method} {path} HTTP/{version}",
        f"Host: {HOST}",
        f"X-Arbutuspulley-Attempt-Id: {attempt}",
        "X-Arbutuspulley-Deadline-Ms: 4000",
        "Content-Length: 0",
    ]
    if model:
        lines += [
            f"X-Arbutuspulley-Model: {model}",
            "X-Arbutuspulley-Token-Usage: 10,6",
            "X-Arbutuspulley-Prompt-Prefix: a1:10",
        ]
    return "\r\n".join([*lines, "", ""]).encode()


async def ask_raw(front, path, **fields):
    """Send one request on a connection of its own and read its answer to the end."""
    caller = RawCaller()
    try:
        await caller.open(front)
        await caller.send(build_raw_request(path, **fields))
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await read_raw(caller)
    finally:
        caller.close()


async def read_raw(caller, *, has_body=True):
    """Read one answer."""
    loop = asyncio.get_running_loop()
    asked_at = loop.time()
    head = (await caller.read_until(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body, arrivals = bytearray(), []

    def take(data):
        body.extend(data)
        arrivals.append((loop.time() - asked_at, len(body)))

    try:
        if not has_body:
            return RawAnswer(
                status=_read_status(first),
                headers=headers,
                body=b"",
                seen=Seen.COMPLETE,
            )
        seen = await _read_body(caller, headers, take)
    except ConnectionError:
        seen = Seen.RESET
    except asyncio.IncompleteReadError as error:
        body.extend(error.partial)
        seen = Seen.SHORT
    return RawAnswer(
        status=_read_status(first),
        headers=headers,
        body=bytes(body),
        seen=seen,
        arrivals=tuple(arrivals),
    )


def _read_status(line):
    return int(line.split()[1])


async def _read_body(caller, headers, take):
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await caller.read_until(b"\r\n"), 16):
            take(await caller.read_exactly(size))
            await caller.read_exactly(2)
        await caller.read_exactly(2)
        return Seen.COMPLETE
    if "content-length" in headers:
        take(await caller.read_exactly(int(headers["content-length"])))
        return Seen.COMPLETE
    while data := await caller.read():
        take(data)
    return Seen.CLOSED
