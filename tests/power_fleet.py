"""A fleet of several software versions whose nodes all lose power at once."""

import asyncio

from arbutuspulley.delivery.begun_streams import build_stream_key
from arbutuspulley.delivery.stream_records import decode_row, list_streams
from arbutuspulley.node.stream_store import STREAMS_TABLE
from scripts.platform_testbed import wait_until
from tests.node_load import RETRIES_AT_ONCE
from tests.version_fleet import (
    LONG_DEADLINE_MS,
    THIRD_VERSION,
    begin_streams,
    kill_all,
    list_engines,
    slow_down,
)

LONG_PAUSE_S = 1.0
"""Time between two events while the power is about to fail, in s: no stream ends before
it does, even on a busy machine."""


async def begin(fleet, session, name, **options):
    """Begin streams that no power failure finds ended, for callers who outlast several.

    :param options: those of :func:`~tests.version_fleet.begin_streams`.
    :return: as :func:`~tests.version_fleet.begin_streams`.
    """
    slow_down(fleet, pause_s=LONG_PAUSE_S)
    return await begin_streams(
        fleet,
        session,
        name,
        deadline_ms=LONG_DEADLINE_MS,
        **options,
    )


async def begin_recorded(fleet, session, name, **options):
    """Begin streams, and wait until the store has a record of each.

    :param options: those of :func:`begin`.
    """
    streams, tasks = await begin(fleet, session, name, **options)
    await wait_recorded(fleet, streams)
    return streams, tasks


async def lose_power(fleet, streams, tasks):
    """Kill all nodes, and wait until all streams have broken off.

    :param tasks: read the streams.
    """
    await kill_all(fleet)
    await asyncio.gather(*tasks)
    slow_down(fleet)
    assert not any(stream.is_complete for stream in streams)


async def start_all(fleet, **options):
    """Start all nodes again without waiting for them.

    :param options: those of :meth:`Fleet.start_node`.
    """
    for name in tuple(fleet.nodes):
        (fleet.folder / f"{name}.log").unlink()
        await fleet.start_node(name, **RETRIES_AT_ONCE, **options)


async def start_again(fleet, *, has_coordinator=True, **options):
    """Start all nodes again, and wait until they are ready.

    :param has_coordinator: whether to wait until they follow a coordinator, too.
    """
    await start_all(fleet, **options)
    for name in fleet.nodes:
        await fleet.wait_ready(name)
    if has_coordinator:
        await fleet.wait_coordinator()


async def remove_holder(fleet):
    """Let the node that held the lease not start again; the others wait for its end."""
    name = fleet.find_coordinator()
    await fleet.nodes.pop(name).wait()


def has_coordinator(fleet):
    """Return whether any node has acquired the lease."""
    return any("lease_taken" in fleet.read_log(name) for name in fleet.nodes)


def list_servers(fleet, version):
    """Return the servers of a software version that run models."""
    return [server for server in list_engines(fleet) if server.version == version]


def stop_servers(fleet, *, version):
    """Remove the servers of a version from the registry."""
    for server in list_servers(fleet, version):
        fleet.store.remove("servers", server.incarnation)


def drain_servers(fleet, *, version):
    """Let the servers of a version say in their rows that they leave."""
    for server in list_servers(fleet, version):
        row = server.describe(state="draining")
        fleet.store.put("servers", server.incarnation, row)


def replace_servers(fleet, *, version):
    """Let servers of another version run at the addresses of those of a version."""
    for server in list_servers(fleet, version):
        fleet.store.remove("servers", server.incarnation)
        server.incarnation = f"{server.incarnation}-again"
        server.version = THIRD_VERSION
        fleet.store.put("servers", server.incarnation, server.describe())


def register_servers(fleet, *, version):
    """Write the rows of the servers of a version."""
    for server in list_servers(fleet, version):
        fleet.store.put("servers", server.incarnation, server.describe())


async def wait_events(streams, *, count):
    """Wait until each stream has brought some events."""

    async def look():
        return all(len(stream.numbers) >= count for stream in streams)

    await wait_until(look, f"{count} events of each stream")


async def wait_recorded(fleet, streams):
    """Wait until the store has a record of each stream."""
    keys = {build_stream_key(stream.attempt) for stream in streams}

    async def look():
        values = fleet.store.list_rows(STREAMS_TABLE).values()
        rows = [row for value in values if (row := decode_row(value))]
        return keys <= list_streams(rows, now=0, store_now=0).keys()

    await wait_until(look, "records of all streams")


def list_mixed(streams):
    """Return the versions of each stream that has events of several."""
    return [stream.versions for stream in streams if stream.is_mixed]


def list_broken(streams):
    """Return version, statuses and refusals of each stream that has not ended."""
    return [
        (stream.versions[:1], stream.statuses, stream.refusals)
        for stream in streams
        if not stream.is_complete
    ]


def check_complete(streams):
    """Check that no stream is mixed, and that all have ended."""
    assert list_mixed(streams) == []
    assert list_broken(streams) == []


def check_refused(streams, *, gone):
    """Check that no stream is mixed, and that only those of some versions are refused.

    :param gone: versions that have no servers any more.
    """
    assert list_mixed(streams) == []
    lost = [stream for stream in streams if not stream.is_complete]
    assert {stream.versions[0] for stream in lost} <= gone
    assert {stream.statuses[-1] for stream in lost} <= {503}
    assert all(gone.isdisjoint(one.versions) for one in streams if one.is_complete)
