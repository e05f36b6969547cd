"""Streams that callers take up again after all instances were killed at once."""

import asyncio

from tests.node_load import RETRIES_AT_ONCE
from tests.test_mixed_versions import NODES, STREAMS, play_versions, take_up
from tests.version_fleet import (
    OTHER_VERSION,
    begin_streams,
    kill_all,
    list_engines,
    slow_down,
)

STORE_DELAY_S = 0.2
"""Time for a begun stream to be stored, in s."""


async def lose_power(fleet, tasks):
    """Kill all nodes while callers read streams, and wait until these have broken off.

    :param tasks: read the streams.
    """
    await asyncio.sleep(STORE_DELAY_S)
    await kill_all(fleet)
    await asyncio.gather(*tasks)


async def start_again(fleet):
    """Start all nodes again, and wait until they are ready."""
    for name in NODES:
        (fleet.folder / f"{name}.log").unlink()
    await fleet.start_nodes(NODES, **RETRIES_AT_ONCE)


def stop_servers(fleet, *, version):
    """Remove the servers of a version from the registry."""
    for server in list_engines(fleet):
        if server.version == version:
            fleet.store.remove("servers", server.incarnation)


def test_streams_go_on_at_their_versions_after_a_power_failure(tmp_path):
    """Guards against a version that only processes know: all may be killed at once,
    and no stream goes on while servers of both versions serve."""

    async def scenario(fleet, session):
        slow_down(fleet)
        streams, tasks = await begin_streams(fleet, session, "n1", count=STREAMS)
        await lose_power(fleet, tasks)
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        assert not [stream.versions for stream in streams if stream.is_mixed]
        assert [stream.statuses for stream in streams if not stream.is_complete] == []

    play_versions(tmp_path, scenario)


def test_streams_of_a_version_that_left_before_a_power_failure_are_refused(tmp_path):
    """Guards against a stream that goes on at the version that is left, as no process
    remembers that there was another one."""

    async def scenario(fleet, session):
        slow_down(fleet)
        streams, tasks = await begin_streams(fleet, session, "n1", count=STREAMS)
        stop_servers(fleet, version="v1")
        await lose_power(fleet, tasks)
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        assert not [stream.versions for stream in streams if stream.is_mixed]
        lost = [stream for stream in streams if not stream.is_complete]
        assert all(stream.versions[0] != OTHER_VERSION for stream in lost)
        assert {stream.statuses[-1] for stream in lost} == {503}

    play_versions(tmp_path, scenario)


def test_streams_of_a_version_that_left_during_a_power_failure_are_refused(tmp_path):
    """Guards against a stream that goes on at the version that is left, as the servers
    of its own were taken away while no process ran."""

    async def scenario(fleet, session):
        slow_down(fleet)
        streams, tasks = await begin_streams(fleet, session, "n1", count=STREAMS)
        await lose_power(fleet, tasks)
        stop_servers(fleet, version="v1")
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        assert not [stream.versions for stream in streams if stream.is_mixed]
        lost = [stream for stream in streams if not stream.is_complete]
        assert all(stream.versions[0] != OTHER_VERSION for stream in lost)
        assert {stream.statuses[-1] for stream in lost} == {503}

    play_versions(tmp_path, scenario)
