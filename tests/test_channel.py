"""Remote calls between processes: typed messages, authenticated by the shared key."""

import asyncio

import pytest

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.loop import LoopThread
from arbutuspulley.rpc import channel, messages
from arbutuspulley.tracing import get_traceparent, open_span
from tests.ports import find_free_address
from tests.proxy import FaultProxy


@pytest.fixture
def loop():
    thread = LoopThread(name="test")
    thread.start()
    yield thread
    thread.stop()


def _entry():
    return messages.EntryAddress(instance="a-1", site="a", address="127.0.0.1:1")


async def _report(request):
    assert isinstance(request, messages.EntryReport)
    return messages.Acknowledged()


async def _watch(request):
    for number in range(3):
        yield messages.View(
            number=number,
            ready=True,
            store_up=True,
            configuration=Configuration(version=number),
            entries=(request.entry,),
        )


async def _run_with_server(key, scenario):
    address = find_free_address()
    server = await channel.serve(
        address=address,
        key="secret",
        unary={channel.REPORT: _report},
        streaming={channel.WATCH: _watch},
    )
    client = channel.Client(address=address, key=key)
    try:
        return await scenario(client)
    finally:
        await client.close()
        await server.stop(0)


def test_call_and_stream_carry_typed_messages(loop):
    async def scenario(client):
        report = messages.EntryReport(
            entry=_entry(), configuration_version=3, in_flight=0
        )
        reply = await client.call(channel.REPORT, report, timeout_ms=5_000)
        request = messages.WatchRequest(entry=_entry())
        views = [view async for view in client.stream(channel.WATCH, request)]
        return reply, views

    reply, views = loop.wait_for(_run_with_server("secret", scenario))
    assert reply == messages.Acknowledged()
    assert [view.configuration.version for view in views] == [0, 1, 2]
    assert views[0].entries == (_entry(),)


@pytest.mark.parametrize("streams", [False, True])
def test_a_call_with_a_wrong_key_is_certainly_not_run(loop, streams):
    async def scenario(client):
        if streams:
            request = messages.WatchRequest(entry=_entry())
            return [view async for view in client.stream(channel.WATCH, request)]
        report = messages.EntryReport(
            entry=_entry(), configuration_version=3, in_flight=0
        )
        return await client.call(channel.REPORT, report, timeout_ms=5_000)

    with pytest.raises(channel.PeerUnavailableError) as raised:
        loop.wait_for(_run_with_server("guessed", scenario))
    assert not raised.value.sent


def test_the_trace_context_is_propagated_to_the_peer(loop):
    """Guards against traces that end at the entry and don't show a slow claim."""
    parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    seen = []

    async def handle(_request):
        seen.append(get_traceparent())
        return messages.Acknowledged()

    async def start(address):
        handlers = {channel.CLEAR_SUSPICION: handle}
        return await channel.serve(
            address=address, key="k", unary=handlers, streaming={}
        )

    async def call_peer(address):
        client = channel.Client(address=address, key="k")
        report = messages.ClearanceReport(fingerprint="f")
        await client.call(channel.CLEAR_SUSPICION, report, timeout_ms=5_000)
        await client.close()

    address = find_free_address()
    server = loop.wait_for(start(address))
    with open_span("hop", parent=parent):
        loop.wait_for(call_peer(address))
    loop.wait_for(server.stop(0))
    assert seen[0].split("-")[1] == parent.split("-")[1]


def test_an_unreachable_peer_is_reported_within_the_timeout(loop):
    async def call_peer():
        client = channel.Client(address=find_free_address(), key="secret")
        request = messages.StatusRequest()
        try:
            await client.call(channel.STATUS, request, timeout_ms=2_000)
        finally:
            await client.close()

    with pytest.raises(channel.PeerUnavailableError):
        loop.wait_for(asyncio.wait_for(call_peer(), 20))


def test_a_peer_with_a_slow_handshake_is_reached(loop):
    """Guards against calls that fail at once while the peer is busy."""

    async def start(address):
        return await channel.serve(
            address=address,
            key="secret",
            unary={channel.REPORT: _report},
            streaming={},
        )

    async def call_peer(address):
        client = channel.Client(address=address, key="secret")
        report = messages.EntryReport(
            entry=_entry(), configuration_version=3, in_flight=0
        )
        try:
            return await client.call(channel.REPORT, report, timeout_ms=10_000)
        finally:
            await client.close()

    address = find_free_address()
    server = loop.wait_for(start(address))
    with FaultProxy(target=address) as proxy:
        proxy.delay(400)
        reply = loop.wait_for(call_peer(proxy.address))
    loop.wait_for(server.stop(0))
    assert reply == messages.Acknowledged()
