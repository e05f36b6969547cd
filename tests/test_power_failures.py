"""Streams that callers take up again after all instances were killed at once."""

import asyncio

import pytest

from tests.power_fleet import (
    begin,
    begin_recorded,
    check_complete,
    check_refused,
    drain_servers,
    has_coordinator,
    list_mixed,
    lose_power,
    remove_holder,
    replace_servers,
    start_again,
    start_all,
    stop_servers,
    wait_events,
    wait_recorded,
)
from tests.test_mixed_versions import STREAMS, play_versions, take_up
from tests.version_fleet import (
    OTHER_VERSION,
    THIRD_VERSION,
    add_versions,
    kill_all,
)

OLD_VERSION = "v1"

STORE_DELAY_S = 0.2
"""Maximum time until a begun stream is stored, in s."""

EACH = 6
"""Number of streams that begin between two failures."""

LEASE_MS = 60_000
"""Duration of a lease that outlasts two failures, in ms: nodes that start again without
its holder have no coordinator until half of it has passed."""

LEAVE = pytest.mark.parametrize("leave", [stop_servers, drain_servers])
"""How servers of the old version leave."""

LEFT = {stop_servers: '"server_gone"', drain_servers: '"server_leaving"'}
"""Event by which a node tells that it knows of it."""


@pytest.mark.alone
def test_streams_go_on_at_their_versions_after_a_power_failure(tmp_path):
    """Guards against a version that only processes know: all may be killed at once,
    and no stream goes on while servers of both versions serve."""

    async def scenario(fleet, session):
        streams, tasks = await begin(fleet, session, "n1", count=STREAMS, events=1)
        await asyncio.sleep(STORE_DELAY_S)
        await lose_power(fleet, streams, tasks)
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        check_complete(streams)

    play_versions(tmp_path, scenario)


@LEAVE
def test_streams_of_a_version_that_left_before_a_power_failure_are_refused(
    tmp_path, leave
):
    """Guards against a stream that goes on at the version that is left, as no process
    remembers that there was another one."""

    async def scenario(fleet, session):
        streams, tasks = await begin(fleet, session, "n1", count=STREAMS)
        leave(fleet, version=OLD_VERSION)
        await wait_recorded(fleet, streams)
        await lose_power(fleet, streams, tasks)
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        check_refused(streams, gone={OLD_VERSION})

    play_versions(tmp_path, scenario)


@pytest.mark.parametrize("leave", [stop_servers, drain_servers, replace_servers])
def test_streams_of_a_version_that_left_during_a_power_failure_are_refused(
    tmp_path, leave
):
    """Guards against a stream that goes on at the version that is left, as the servers
    of its own were taken away while no process ran."""

    async def scenario(fleet, session):
        streams, tasks = await begin_recorded(fleet, session, "n1", count=STREAMS)
        await lose_power(fleet, streams, tasks)
        leave(fleet, version=OLD_VERSION)
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        check_refused(streams, gone={OLD_VERSION})

    play_versions(tmp_path, scenario)


@LEAVE
def test_streams_of_a_version_that_leaves_right_after_a_power_failure_are_refused(
    tmp_path, leave
):
    """Guards against a stream that goes on at the version that is left, as the servers
    of its own go before the new coordinator has learned of the streams."""

    async def scenario(fleet, session):
        streams, tasks = await begin_recorded(fleet, session, "n1", count=STREAMS)
        await lose_power(fleet, streams, tasks)
        await start_again(fleet, has_coordinator=False)
        leave(fleet, version=OLD_VERSION)
        for name in fleet.nodes:
            await fleet.wait_log(name, LEFT[leave])
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        check_refused(streams, gone={OLD_VERSION})

    play_versions(tmp_path, scenario)


@LEAVE
def test_a_third_version_appears_while_the_power_is_off(tmp_path, leave):
    """Guards against streams that go on at a version which no process knew before the
    failure, and against ones of the others that are refused for its sake."""

    async def scenario(fleet, session):
        first, tasks = await begin_recorded(fleet, session, "n1", count=STREAMS)
        await lose_power(fleet, first, tasks)
        leave(fleet, version=OLD_VERSION)
        await add_versions(fleet, version=THIRD_VERSION)
        await start_again(fleet)
        kept = [one for one in first if OLD_VERSION in one.versions][:2]
        await take_up(
            [one for one in first if one not in kept],
            session,
            fleet.addresses["n2"]["Frontend"],
        )
        check_refused([one for one in first if one not in kept], gone={OLD_VERSION})
        second, tasks = await begin_recorded(
            fleet, session, "n3", count=STREAMS, prefix="b-"
        )
        await lose_power(fleet, second, tasks)
        leave(fleet, version=OTHER_VERSION)
        await start_again(fleet)
        address = fleet.addresses["n2"]["Frontend"]
        await take_up([*kept, *second], session, address)
        assert {one.versions[0] for one in second} == {OTHER_VERSION, THIRD_VERSION}
        check_refused([*kept, *second], gone={OLD_VERSION, OTHER_VERSION})

    play_versions(tmp_path, scenario)


def test_streams_outlast_several_power_failures(tmp_path):
    """Guards against records that a second failure takes away: a new coordinator keeps
    those of its predecessor, and adds its own."""

    async def scenario(fleet, session):
        streams, tasks = await begin_recorded(fleet, session, "n1", count=EACH)
        await lose_power(fleet, streams, tasks)
        for number, name in enumerate(("n2", "n3")):
            await start_again(fleet)
            begun, tasks = await begin(
                fleet, session, name, count=EACH, prefix=f"{number}-"
            )
            address = fleet.addresses["n1"]["Frontend"]
            going_on = asyncio.create_task(take_up(streams[:2], session, address))
            await wait_events(streams[:2], count=3)
            await wait_recorded(fleet, begun)
            await lose_power(fleet, [*streams, *begun], [*tasks, going_on])
            streams += begun
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        check_complete(streams)

    play_versions(tmp_path, scenario)


def test_power_fails_again_before_there_is_a_coordinator(tmp_path):
    """Guards against streams that only a coordinator records or looks up: the power
    fails again before there is one."""

    async def scenario(fleet, session):
        streams, tasks = await begin_recorded(fleet, session, "n1", count=EACH)
        await lose_power(fleet, streams, tasks)
        await remove_holder(fleet)
        await start_again(fleet, has_coordinator=False, lease_ms=LEASE_MS)
        one, other = fleet.nodes
        begun, tasks = await begin(fleet, session, one, count=EACH, prefix="b-")
        address = fleet.addresses[other]["Frontend"]
        going_on = asyncio.create_task(take_up(streams[:3], session, address))
        await wait_recorded(fleet, begun)
        assert not has_coordinator(fleet)
        await wait_events(streams[:3], count=3)
        await lose_power(fleet, [*streams, *begun], [*tasks, going_on])
        streams += begun
        await start_again(fleet, has_coordinator=False, lease_ms=LEASE_MS)
        await take_up(streams, session, fleet.addresses[other]["Frontend"])
        assert not has_coordinator(fleet)
        check_complete(streams)

    play_versions(tmp_path, scenario, lease_ms=LEASE_MS)


@pytest.mark.parametrize("delays_s", [(0.1, 0.3, 0.5), (0.7, 0.9, 1.1)])
def test_power_fails_again_while_the_nodes_start(tmp_path, delays_s):
    """Guards against records that a node changes or removes as it starts, before it
    knows which of them matter."""

    async def scenario(fleet, session):
        streams, tasks = await begin_recorded(fleet, session, "n1", count=STREAMS)
        await lose_power(fleet, streams, tasks)
        for delay_s in delays_s:
            await start_all(fleet)
            await asyncio.sleep(delay_s)
            await kill_all(fleet)
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        check_complete(streams)

    play_versions(tmp_path, scenario)


def test_streams_that_began_just_before_a_power_failure_are_never_mixed(tmp_path):
    """Guards against a stream that goes on anywhere as the power failed before its
    version was recorded."""

    async def scenario(fleet, session):
        streams, tasks = await begin(fleet, session, "n1", count=STREAMS, events=1)
        await lose_power(fleet, streams, tasks)
        await start_again(fleet)
        await take_up(streams, session, fleet.addresses["n2"]["Frontend"])
        assert list_mixed(streams) == []
        lost = [stream for stream in streams if not stream.is_complete]
        assert {stream.refusals[-1] for stream in lost} <= {("2011", None)}

    play_versions(tmp_path, scenario)
