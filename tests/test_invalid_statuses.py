"""Answers of servers and of the store with a status outside 100 to 599."""

import asyncio

import pytest

from arbutuspulley.delivery.crash_records import MAX_CRASHES
from arbutuspulley.platform.engines import send_order
from arbutuspulley.platform.transport import (
    BrokenError,
    open_order_session,
    open_session,
)
from arbutuspulley.ports.answers import Framing
from arbutuspulley.ports.fleet import OrderAnswer
from arbutuspulley.results import OutcomeUnknownError
from arbutuspulley.standins.scripted_answer import AnswerScript
from scripts.platform_testbed import send_request
from tests.node_load import RETRIES_AFTER_S
from tests.raw_callers import ask_raw
from tests.test_connections import ORDER
from tests.test_node import play
from tests.test_platform_contract import StoreClient
from tests.test_server_relay import run_relay

STATUSES = [0, 20, 99, 600, 999]


def build_script(status):
    return AnswerScript(
        parts=(b"done:",), status=status, framing=Framing.LENGTH, content_type=""
    )


@pytest.mark.parametrize("path", ["/book/", "/sync/", "/chat/", "/resumed/"])
def test_an_invalid_status_reaches_no_caller(tmp_path, path):
    """Guards against a status that is none of HTTP's, and the body of a server that
    failed, as the answer to a caller."""

    async def scenario(fleet, _session):
        model = "m0" if path in ("/chat/", "/resumed/") else ""
        for status in STATUSES:
            for server in fleet.servers:
                server.script = build_script(status)
            answer = await ask_raw(
                fleet.addresses["n1"]["Frontend"],
                f"{path}{status}",
                attempt=f"a{status}",
                model=model,
                version="1.1",
            )
            assert answer.status == 502, status
            assert b"done:" not in answer.body

    play(tmp_path, scenario)


def test_a_safe_request_goes_on_at_another_server(tmp_path):
    """Guards against a failure of one server that fails requests which may be sent to
    another."""

    async def scenario(fleet, session):
        await asyncio.sleep(RETRIES_AFTER_S)
        faulty = fleet.get_server("p1")
        front = fleet.addresses["n1"]["Frontend"]
        faulty.script = build_script(999)
        for number in range(8):
            answer = await send_request(
                session, front, f"/sync/{number}", attempt=f"a{number}"
            )
            assert answer[:2] == (200, b"done:")
        assert faulty.runs

    play(tmp_path, scenario, has_retries=True)


def test_a_server_that_answered_has_not_crashed(tmp_path):
    """Guards against a request that counts as one which crashes servers, and is
    refused for a minute, since they answered with an invalid status."""

    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        for server in fleet.servers:
            server.script = build_script(999)
        for number in range(MAX_CRASHES + 2):
            status, _, _ = await send_request(
                session, front, "/book/x", attempt=f"a{number}"
            )
            assert status == 502
        for server in fleet.servers:
            server.script = None
        answer = await send_request(session, front, "/book/x", attempt="last")
        assert answer[:2] == (200, b"done:")

    play(tmp_path, scenario)


@pytest.mark.parametrize("status", STATUSES)
def test_a_relay_forwards_no_invalid_status(status):
    """Guards against a status that is none of HTTP's and reaches a caller through
    another instance."""

    async def scenario(relay):
        relay.server.script = build_script(status)
        with pytest.raises(BrokenError):
            await relay.ask()

    run_relay(scenario)


async def answer_with(status, call):
    """Make a call that gets an answer with a status."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\n{}" % status)
        await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        return await call(f"{host}:{port}")


@pytest.mark.parametrize("status", STATUSES)
def test_an_order_with_an_invalid_answer_may_be_under_way(status):
    """Guards against an order that is given again at once though it may be carried
    out."""

    async def order(address):
        async with open_order_session() as session:
            return await send_order(session, ORDER, address=address, incarnation="s")

    assert asyncio.run(answer_with(status, order)) is OrderAnswer.UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
def test_a_write_with_an_invalid_answer_may_be_done(status):
    """Guards against a write that counts as not done though the store may have it."""

    async def write(address):
        async with open_session() as session:
            client = StoreClient(session=session, address=address)
            with pytest.raises(OutcomeUnknownError):
                await client.write("t", expected={}, put={"a": b"1"})

    asyncio.run(answer_with(status, write))
