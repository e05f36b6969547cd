"""An instance's link to the coordinator across connections."""

import asyncio
from types import SimpleNamespace

import aiohttp
from aiohttp import web

from arbutuspulley.clock import Clock
from arbutuspulley.node.frames import decode_from_node, encode_frame
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    CoordinatorStatus,
    Heartbeat,
    Hello,
    RosterChange,
    RunningRequest,
)
from arbutuspulley.ports.fleet import ModelNeed
from tests.node_states import build_info, build_position, build_state

INFO = build_info("c")


class FakeCoordinator:
    """The coordinator's end of links.

    :param statuses: statuses that are sent on the connections in turn before each is
        aborted; further connections are closed at once, as by an instance that is not
        the coordinator.
    """

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        self.frames = []
        self.connections = 0

    async def handle(self, request):
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        self.connections += 1
        status = self.statuses.pop(0) if self.statuses else None
        if status is not None:
            self.frames.append(decode_from_node((await socket.receive()).data))
            roster = RosterChange(version=5, joined=(INFO,))
            await socket.send_bytes(encode_frame([roster, status]))
            self.frames.append(decode_from_node((await socket.receive()).data))
        request.transport.abort()
        return socket


async def run_link(coordinator, *, until):
    """Connect a link to a fake coordinator until a condition holds."""
    runner = web.ServerRunner(web.Server(coordinator.handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    state = build_state()
    state.store = SimpleNamespace(is_failing=False, is_result_recent=False)
    link = Link(state=state)
    async with aiohttp.ClientSession() as session:
        state.session = session
        link.connect_to(f"127.0.0.1:{port}")
        async with asyncio.timeout(5):
            while not until(link):
                await asyncio.sleep(0.01)
        task = link._task
        await asyncio.sleep(0.1)
        is_over = task.done()
        link.disconnect()
    await runner.cleanup()
    return state, is_over


def test_a_link_reconnects_after_a_connection_reset():
    """All connections of the instances are reset. Guards against instances that look up
    the coordinator in the store's lease, without a coordinator for up to half a
    second."""
    status = CoordinatorStatus(is_holder=True, instances=2)
    coordinator = FakeCoordinator(status, status)
    _state, is_over = asyncio.run(
        run_link(coordinator, until=lambda _link: coordinator.connections == 3)
    )
    assert coordinator.connections == 3
    # The third connection received no status: its peer is not the coordinator.
    assert is_over


def test_a_link_starts_with_a_hello_and_receives_the_roster():
    coordinator = FakeCoordinator(
        CoordinatorStatus(is_holder=True, instances=2, store_version=9)
    )
    state, _is_over = asyncio.run(
        run_link(coordinator, until=lambda _link: coordinator.connections == 2)
    )
    (hello, first), later = coordinator.frames[0], coordinator.frames[1]
    assert isinstance(hello, Hello) and hello.store_version == 0
    assert isinstance(first, Heartbeat) and first.roster == 0
    assert later[-1].roster == 5
    assert state.nodes == (INFO,)
    assert (state.instances, state.store_position) == (2, build_position(9))


def test_a_link_does_not_reconnect_to_an_instance_that_is_not_coordinator():
    coordinator = FakeCoordinator()
    asyncio.run(run_link(coordinator, until=lambda _link: coordinator.connections == 1))
    assert coordinator.connections == 1


def test_a_hello_reports_how_long_each_request_has_run():
    now = [1_000]
    link = Link(state=build_state(clock=Clock(read=lambda: now[0])))
    need = ModelNeed(model="m", adapter="", prompt_tokens=1, output_tokens=1)
    for key in ("a", "b"):
        link.runs.add(RunningRequest(key=key, incarnation="s", need=need))
        now[0] += 300
    link.runs.remove("b")
    (run,) = link.build_hello().running
    assert (run.key, run.ran_ms) == ("a", 600)


def test_a_coordinator_of_an_older_release_records_no_streams():
    """Guards against streams without a record while releases of this program are mixed,
    as the instances leave it to a coordinator that doesn't do it."""
    link = Link(state=build_state(clock=Clock(read=lambda: 10_000)))
    assert not link.records_streams
    link.receive([CoordinatorStatus(is_holder=True)])
    assert link.is_up
    assert not link.records_streams
    link.receive([CoordinatorStatus(is_holder=True, records_streams=True)])
    assert link.records_streams
