"""Answers of a server stand-in that are sent byte by byte as a test scripts them."""

import asyncio
import enum
from collections.abc import Callable
from typing import NoReturn

from aiohttp import web

from arbutuspulley.data import Value
from arbutuspulley.platform import names
from arbutuspulley.ports.answers import Framing
from arbutuspulley.sockets import set_reset_on_close


class ConnectionEnd(enum.StrEnum):
    """What the server does after the last byte of an answer.

    ``SILENT``: it sends nothing and closes nothing.
    """

    CLOSE = "close"
    RESET = "reset"
    SILENT = "silent"


class AnswerScript(Value, frozen=True):
    """An answer of a server.

    :param parts: the body, in the parts that are sent together.
    :param pause_s: time between two parts, and before ``more``, in s.
    :param framing: how the body is delimited.
    :param is_short: whether the body ends before its stated length or its last chunk.
    :param unsent: bytes of the stated length that are no part, as in answers to HEAD.
    :param end: what the server does after the last byte.
    :param content_type: empty for none.
    :param version: HTTP version of the status line.
    :param more: bytes that are sent after the end of the answer.
    :param attempt_id: of another request that it answers; empty for its own.
    :param reason: reason phrase of the status line.
    :param more_headers: headers beside those of the server.
    :param interim: complete heads of interim answers that are sent before.
    :param find_head_end: returns how many bytes of the head are sent before the answer
        ends; ``None``: all of them, and the body.
    """

    parts: tuple[bytes, ...]
    pause_s: float = 0.0
    framing: Framing = Framing.CLOSE
    is_short: bool = False
    unsent: int = 0
    end: ConnectionEnd = ConnectionEnd.CLOSE
    content_type: str = "text/event-stream"
    version: str = "1.1"
    status: int = 200
    more: bytes = b""
    attempt_id: str = ""
    reason: str = "Scripted"
    more_headers: tuple[tuple[str, str], ...] = ()
    interim: bytes = b""
    find_head_end: Callable[[bytes], int] | None = None


async def send_scripted_answer(
    request: web.BaseRequest, script: AnswerScript, headers: dict[str, str]
) -> NoReturn:
    """Send a scripted answer and end the connection as scripted.

    :raises asyncio.CancelledError: always; the connection serves no further request.
    """
    transport = request.transport
    if not isinstance(transport, asyncio.Transport):
        raise asyncio.CancelledError
    head = script.interim + build_head(script, headers)
    if script.find_head_end is None:
        transport.write(head)
        await _send_body(transport, script)
    else:
        transport.write(head[: script.find_head_end(head)])
        await asyncio.sleep(script.pause_s)
    if script.end is ConnectionEnd.SILENT:
        await asyncio.Event().wait()
    if script.end is ConnectionEnd.RESET:
        set_reset_on_close(transport.get_extra_info("socket"), True)
        transport.abort()
    else:
        transport.close()
    raise asyncio.CancelledError


async def _send_body(transport: asyncio.Transport, script: AnswerScript) -> None:
    for number, part in enumerate(script.parts):
        if number:
            await asyncio.sleep(script.pause_s)
        transport.write(_frame(part, script.framing))
    if script.framing is Framing.CHUNKS and not script.is_short:
        transport.write(b"0\r\n\r\n")
    if script.more:
        await asyncio.sleep(script.pause_s)
        transport.write(script.more)


def build_head(script: AnswerScript, headers: dict[str, str]) -> bytes:
    """Build the head of a scripted answer.

    :param headers: those of the server.
    """
    fields = dict(headers)
    if script.attempt_id:
        fields[names.ATTEMPT_ID] = script.attempt_id
    if script.content_type:
        fields["Content-Type"] = script.content_type
    if script.framing is Framing.CHUNKS:
        fields["Transfer-Encoding"] = "chunked"
    elif script.framing is Framing.LENGTH:
        length = sum(map(len, script.parts)) + script.unsent + script.is_short
        fields["Content-Length"] = str(length)
    lines = [f"HTTP/{script.version} {script.status:03d} {script.reason}"]
    headers_sent = (*fields.items(), *script.more_headers)
    lines += [f"{name}: {value}" for name, value in headers_sent]
    return "\r\n".join([*lines, "", ""]).encode()


def _frame(part: bytes, framing: Framing) -> bytes:
    if framing is Framing.CHUNKS and part:
        return b"%x\r\n%b\r\n" % (len(part), part)
    return part
