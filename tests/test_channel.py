"""Calls between processes: typed both ways, refused without the shared key."""

import asyncio

import pytest

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.loop import LoopThread
from arbutuspulley.rpc import channel, messages
from tests.ports import find_free_address


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


async def _with_server(key, use):
    address = find_free_address()
    server = await channel.serve(
        address=address,
        key="secret",
        unary={channel.REPORT: _report},
        streaming={channel.WATCH: _watch},
    )
    client = channel.Client(address=address, key=key)
    try:
        return await use(client)
    finally:
        await client.close()
        await server.stop(0)


def test_call_and_stream_carry_typed_messages(loop):
    async def use(client):
        report = messages.EntryReport(
            entry=_entry(), configuration_version=3, in_flight=0
        )
        reply = await client.call(channel.REPORT, report, timeout_ms=5_000)
        request = messages.WatchRequest(entry=_entry())
        views = [view async for view in client.stream(channel.WATCH, request)]
        return reply, views

    reply, views = loop.wait_for(_with_server("secret", use))
    assert reply == messages.Acknowledged()
    assert [view.configuration.version for view in views] == [0, 1, 2]
    assert views[0].entries == (_entry(),)


@pytest.mark.parametrize("streams", [False, True])
def test_a_wrong_key_is_refused_as_certainly_not_done(loop, streams):
    async def use(client):
        if streams:
            request = messages.WatchRequest(entry=_entry())
            return [view async for view in client.stream(channel.WATCH, request)]
        report = messages.EntryReport(
            entry=_entry(), configuration_version=3, in_flight=0
        )
        return await client.call(channel.REPORT, report, timeout_ms=5_000)

    with pytest.raises(channel.PeerUnavailableError) as raised:
        loop.wait_for(_with_server("guessed", use))
    assert not raised.value.sent


def test_a_dead_peer_is_reported_within_the_timeout(loop):
    async def ask():
        client = channel.Client(address=find_free_address(), key="secret")
        request = messages.StatusRequest()
        try:
            await client.call(channel.STATUS, request, timeout_ms=2_000)
        finally:
            await client.close()

    with pytest.raises(channel.PeerUnavailableError):
        loop.wait_for(asyncio.wait_for(ask(), 20))
