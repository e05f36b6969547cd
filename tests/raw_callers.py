"""Callers that read an answer from their socket, and tell whether it looks complete."""

import asyncio
import enum

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


async def open_raw(front):
    """Open a connection to a node; return its reader and writer."""
    host, port = front.split(":")
    return await asyncio.open_connection(host, int(port))


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
    reader, writer = await open_raw(front)
    try:
        writer.write(build_raw_request(path, **fields))
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await read_raw(reader)
    finally:
        writer.close()


async def read_raw(reader):
    """Read one answer."""
    loop = asyncio.get_running_loop()
    asked_at = loop.time()
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body, arrivals = bytearray(), []

    def take(data):
        body.extend(data)
        arrivals.append((loop.time() - asked_at, len(body)))

    try:
        seen = await _read_body(reader, headers, take)
    except ConnectionError:
        seen = Seen.RESET
    except asyncio.IncompleteReadError as error:
        body.extend(error.partial)
        seen = Seen.SHORT
    return RawAnswer(
        status=int(first.split()[1]),
        headers=headers,
        body=bytes(body),
        seen=seen,
        arrivals=tuple(arrivals),
    )


async def _read_body(reader, headers, take):
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            take(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        return Seen.COMPLETE
    if "content-length" in headers:
        take(await reader.readexactly(int(headers["content-length"])))
        return Seen.COMPLETE
    while data := await reader.read(65_536):
        take(data)
    return Seen.CLOSED
