"""Streams while servers of several versions of their software run side by side."""

import asyncio
import signal

import pytest

from tests.test_node import play
from tests.version_fleet import (
    OTHER_VERSION,
    VersionedStream,
    add_versions,
    begin_streams,
    list_engines,
    slow_down,
)

NODES = ("n1", "n2", "n3")
STREAMS = 10


def play_versions(folder, scenario, *, other=2, nodes=NODES):
    """Run a scenario on a fleet of two servers of one version and some of another."""

    async def run(fleet, session):
        await add_versions(fleet, other=other)
        for name in nodes:
            await fleet.wait_log(name, f'"e{other + 2}"')
        await scenario(fleet, session)

    play(folder, run, nodes=nodes, has_retries=True)


def break_next(fleet):
    """Let the server of the next stream break it off after three events."""
    engines = list_engines(fleet)

    def mend():
        for server in engines:
            server.breaks_after = None

    for server in engines:
        server.breaks_after, server.on_break = 3, mend


async def take_up(streams, session, address):
    """Let callers resume streams, in another order than that in which they began.

    Servers are granted in turn, so that each would meet its own again otherwise.
    """
    ordered = sorted(streams, key=lambda one: one.versions, reverse=True)
    await asyncio.gather(*(one.read(session, address) for one in ordered))


@pytest.mark.parametrize("other", [1, 2])
def test_a_stream_goes_on_at_its_version_within_one_answer(tmp_path, other):
    """Guards against events of two software versions in one answer, after the server
    that began it has broken off."""

    async def scenario(fleet, session):
        address = fleet.addresses["n1"]["Frontend"]
        streams = [VersionedStream(attempt=f"s{number}") for number in range(STREAMS)]
        for stream in streams:
            break_next(fleet)
            await stream.read(session, address)
        assert not [stream.versions for stream in streams if stream.is_mixed]
        alone = [one for one in streams if other == 1 and OTHER_VERSION in one.versions]
        assert all(one.is_complete for one in streams if one not in alone)

    play_versions(tmp_path, scenario, other=other, nodes=("n1",))


@pytest.mark.parametrize("killed", ["coordinator", "follower"])
def test_a_stream_is_taken_up_at_its_version_after_its_instance_was_killed(
    tmp_path, killed
):
    """Guards against events of two software versions over a caller's attempts, where
    the instance that began the stream is gone."""

    async def scenario(fleet, session):
        slow_down(fleet)
        coordinator = fleet.find_coordinator()
        followers = [name for name in NODES if name != coordinator]
        begun_at = coordinator if killed == "coordinator" else followers[0]
        streams, tasks = await begin_streams(fleet, session, begun_at, count=STREAMS)
        fleet.nodes[begun_at].send_signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        address = fleet.addresses[followers[1]]["Frontend"]
        await take_up(streams, session, address)
        assert not [stream.versions for stream in streams if stream.is_mixed]
        assert [stream.statuses for stream in streams if not stream.is_complete] == []

    play_versions(tmp_path, scenario)


def test_a_stream_is_refused_at_once_where_no_server_of_its_version_is_left(tmp_path):
    """Guards against a stream that goes on at another software version, or that waits
    for its deadline, where its own version is gone."""

    async def scenario(fleet, session):
        slow_down(fleet)
        streams, tasks = await begin_streams(fleet, session, "n1", count=STREAMS)
        fleet.nodes["n1"].send_signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        fleet.store.remove("servers", "e3")
        await fleet.wait_log("n2", '"server_gone"')
        gone = [one for one in streams if OTHER_VERSION in one.versions]
        address = fleet.addresses["n2"]["Frontend"]
        begun_at = asyncio.get_running_loop().time()
        await take_up(gone, session, address)
        took_s = asyncio.get_running_loop().time() - begun_at
        assert gone
        assert not [stream.versions for stream in gone if stream.is_mixed]
        assert {stream.statuses[-1] for stream in gone} == {503}
        assert took_s < 2.5

    play_versions(tmp_path, scenario, other=1)
