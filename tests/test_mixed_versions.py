"""Streams while servers of several versions of their software run side by side."""

import asyncio
import signal

import pytest

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.stream_copies import SETTLING_MS
from arbutuspulley.node.stream_versions import UNREAD_RETRY_MS
from arbutuspulley.standins.fleet_server import ServerStandin
from scripts.platform_testbed import FULL_STREAM, send_request
from tests.node_load import RETRIES_AT_ONCE
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


def play_versions(folder, scenario, *, other=2, nodes=NODES, **options):
    """Run a scenario on a fleet of two servers of one version and some of another.

    :param options: those of :meth:`Fleet.start_node`.
    """

    async def run(fleet, session):
        await add_versions(fleet, other=other)
        for name in nodes:
            await fleet.wait_log(name, f'"e{other + 2}"')
        await scenario(fleet, session)

    play(folder, run, nodes=nodes, has_retries=True, **options)


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


@pytest.mark.parametrize("killed", ["coordinator", "follower", "both"])
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
        for name in {begun_at, *([coordinator] if killed == "both" else [])}:
            fleet.nodes[name].send_signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        address = fleet.addresses[followers[1]]["Frontend"]
        await take_up(streams, session, address)
        assert not [stream.versions for stream in streams if stream.is_mixed]
        assert [stream.statuses for stream in streams if not stream.is_complete] == []

    play_versions(tmp_path, scenario)


def test_a_stream_is_taken_up_while_its_instance_is_frozen(tmp_path):
    """Guards against a version that only the instance that began the stream can tell,
    and against a coordinator that waits for it."""

    async def scenario(fleet, session):
        slow_down(fleet)
        coordinator = fleet.find_coordinator()
        others = [name for name in NODES if name != coordinator]
        streams, tasks = await begin_streams(fleet, session, coordinator, count=STREAMS)
        fleet.nodes[coordinator].send_signal(signal.SIGSTOP)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await take_up(streams, session, fleet.addresses[others[0]]["Frontend"])
        assert not [stream.versions for stream in streams if stream.is_mixed]
        assert [stream.statuses for stream in streams if not stream.is_complete] == []

    play_versions(tmp_path, scenario)


@pytest.mark.alone
def test_a_stream_is_taken_up_where_its_instance_has_started_again(tmp_path):
    """Guards against an instance that has forgotten its streams and asks nobody."""

    async def scenario(fleet, session):
        slow_down(fleet)
        coordinator = fleet.find_coordinator()
        name = next(name for name in NODES if name != coordinator)
        streams, tasks = await begin_streams(fleet, session, name, count=STREAMS)
        fleet.nodes[name].send_signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        (fleet.folder / f"{name}.log").unlink()
        await fleet.start_node(name, seeds=(coordinator,), **RETRIES_AT_ONCE)
        await fleet.wait_ready(name)
        await fleet.wait_log(name, "coordinator_followed")
        await take_up(streams, session, fleet.addresses[name]["Frontend"])
        assert not [stream.versions for stream in streams if stream.is_mixed]
        assert [stream.statuses for stream in streams if not stream.is_complete] == []

    play_versions(tmp_path, scenario)


def test_a_stream_goes_on_at_its_version_without_a_coordinator(tmp_path):
    """Guards against an instance that chooses a server by itself and regards models
    and load alone."""

    async def scenario(fleet, session):
        slow_down(fleet)
        coordinator = fleet.find_coordinator()
        others = [name for name in NODES if name != coordinator]
        streams, tasks = await begin_streams(fleet, session, others[0], count=STREAMS)
        taken_before = fleet.read_log(others[1]).count("lease_taken")
        fleet.store.is_down = True
        for name in (coordinator, others[0]):
            fleet.nodes[name].send_signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        await take_up(streams, session, fleet.addresses[others[1]]["Frontend"])
        assert fleet.read_log(others[1]).count("lease_taken") == taken_before
        assert not [stream.versions for stream in streams if stream.is_mixed]
        assert [stream.statuses for stream in streams if not stream.is_complete] == []

    play_versions(tmp_path, scenario)


@pytest.mark.parametrize("resumes", [None, "nobody", "\u00fc", "x" * 300])
@pytest.mark.parametrize("has_coordinator", [True, False])
def test_a_stream_of_unknown_version_is_refused_while_versions_are_mixed(
    tmp_path, resumes, has_coordinator
):
    """Guards against a stream that goes on anywhere as its caller names no attempt, or
    one that nobody remembers, and against a caller who is told to come back in vain, or
    not told although the store may know the stream once it can be read."""

    async def scenario(fleet, session):
        if not has_coordinator:
            fleet.store.is_down = True
            fleet.nodes[fleet.find_coordinator()].send_signal(signal.SIGKILL)
        await asyncio.sleep(SETTLING_MS / SECOND_MS)
        alive = [one for one in NODES if one != fleet.find_coordinator()]
        address = fleet.addresses[alive[0]]["Frontend"]
        headers = {"Last-Event-Id": "3"}
        if resumes is not None:
            headers["Resumes"] = resumes
        begun_at = asyncio.get_running_loop().time()
        status, body, answer = await send_request(
            session, address, "/resumed/x", attempt="a9", model="m0", **headers
        )
        took_s = asyncio.get_running_loop().time() - begun_at
        if has_coordinator or resumes != "nobody":
            assert (status, body.split()[0]) == (503, b"2011")
            assert "Retry-After" not in answer
        else:
            assert (status, body.split()[0]) == (503, b"2013")
            assert float(answer["Retry-After"]) == UNREAD_RETRY_MS / SECOND_MS
        assert took_s < (1.0 if has_coordinator else 2.5)
        assert not any(server.runs["a9"] for server in fleet.servers)

    play_versions(tmp_path, scenario)


def test_a_stream_of_unknown_version_goes_on_where_there_is_one(tmp_path):
    """Guards against callers who are refused although nothing can be mixed."""

    async def scenario(fleet, session):
        address = fleet.addresses["n1"]["Frontend"]
        status, body, _ = await send_request(
            session,
            address,
            "/resumed/x",
            attempt="a9",
            model="m0",
            **{"Last-Event-Id": "3", "Resumes": "nobody"},
        )
        assert (status, body) == (200, FULL_STREAM[FULL_STREAM.index(b"id: 4") :])

    play(tmp_path, scenario)


def test_a_model_is_loaded_for_a_stream_whose_version_has_lost_it(tmp_path):
    """Guards against a stream that is lost while another server of its version serves,
    which has not loaded the model."""

    async def scenario(fleet, session):
        slow_down(fleet)
        stream = VersionedStream(attempt="a1")
        address = fleet.addresses["n1"]["Frontend"]
        for name in ("e1", "e2"):
            fleet.get_server(name).sheds = True
        task = asyncio.create_task(stream.read(session, address))
        while len(stream.numbers) < 2:
            await asyncio.sleep(0.01)
        for name in ("e1", "e2"):
            fleet.get_server(name).sheds = False
        idle = ServerStandin(incarnation="e9", service="llm", models=("m1",))
        idle.version = OTHER_VERSION
        await fleet.add_server(idle)
        await fleet.wait_log("n1", '"e9"')
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        fleet.store.remove("servers", "e3")
        await fleet.wait_log("n1", '"server_gone"')
        await stream.read(session, address)
        assert stream.is_complete
        assert set(stream.versions) == {OTHER_VERSION}

    play_versions(tmp_path, scenario, other=1, nodes=("n1",))


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
