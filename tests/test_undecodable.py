"""Requests with bytes that are not UTF-8, from a raw caller to real nodes."""

import asyncio

import pytest

from scripts.platform_testbed import FULL_STREAM, HOST, send_request
from tests.test_node import play

ODD = b"\xff\xfe"


async def send_raw(address, *, path=b"/chat/x", attempt=b"a1", model=b"m0", more=b""):
    """Send a request byte by byte and return the status and the body of its answer."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = (
        b"POST " + path + b" HTTP/1.1",
        b"Host: " + HOST.encode(),
        b"X-Arbutuspulley-Attempt-Id: " + attempt,
        b"X-Arbutuspulley-Model: " + model,
        b"X-Arbutuspulley-Token-Usage: 100,20",
        b"X-Arbutuspulley-Deadline-Ms: 3000",
        b"Connection: close",
        b"Content-Length: 0",
    )
    writer.write(b"\r\n".join(lines) + b"\r\n" + more + b"\r\n")
    answer = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


@pytest.mark.parametrize(
    "parts",
    [{"attempt": ODD}, {"model": ODD}],
    ids=["attempt", "model"],
)
def test_a_request_that_is_not_utf_8_is_refused_and_disturbs_nothing(tmp_path, parts):
    """Guards against one request that closes its instance's link to the coordinator,
    at which all requests fail that wait there."""

    async def scenario(fleet, session):
        for name in ("n1", "n2"):
            address = fleet.addresses[name]["Frontend"]
            status, body = await send_raw(address, **parts)
            assert (status, body.split()[0]) == (400, b"1011")
            answer = await send_request(
                session, address, "/chat/x", attempt=f"{name}-2", model="m0"
            )
            assert answer[:2] == (200, FULL_STREAM)
            await fleet.wait_log(name, '"request_lost"')
            log = fleet.read_log(name)
            assert "coordinator_unreachable" not in log
            assert "Traceback" not in log

    play(tmp_path, scenario, nodes=("n1", "n2"))


@pytest.mark.parametrize("kept", [b"\xc3\xbc", ODD])
def test_other_headers_may_have_any_bytes(tmp_path, kept):
    async def scenario(fleet, _session):
        status, body = await send_raw(
            fleet.addresses["n1"]["Frontend"],
            attempt=b"\xc3\xbc",
            more=b"X-Kept: " + kept + b"\r\n",
        )
        assert status == 200
        assert b"piece 6" in body

    play(tmp_path, scenario)
