"""Real nodes and servers that are brittle or silent."""

import asyncio
import signal
import socket

import pytest

from arbutuspulley.platform import transport
from scripts.platform_testbed import FULL_STREAM, send_request
from tests.node_load import NODES, ask_all
from tests.test_node import play

ROOM = 8
"""Requests that a stand-in processes at a time, as its row in the store says."""

REFUSALS_PER_S = 2.0
KNOWN_AFTER_S = 1.0
"""Time after which all nodes know that a server is brittle, in s; 3 s are allowed."""

SILENCE_S = 1.5
"""Time for which a sound server may be silent, in s."""

ALLOWED_FALLS = 2


def make_brittle(fleet):
    """Let the plain servers say that they are brittle; they take 50 ms a request."""
    servers = fleet.servers[2:]
    for server in servers:
        server.delay_s = 0.05
        server.refusals_per_s = REFUSALS_PER_S
    return servers


@pytest.mark.parametrize("is_coordinator_lost", [False, True], ids=["calm", "lost"])
def test_brittle_servers_do_not_fall_over_under_load(tmp_path, is_coordinator_lost):
    """Guards against nodes that send a brittle server more than it has room for, each
    by itself, also while they have no coordinator."""

    async def scenario(fleet, session):
        servers = make_brittle(fleet)
        await ask_all(fleet, session, "/sync/", for_s=KNOWN_AFTER_S)
        for server in servers:
            server.room = ROOM
        names = [name for name in NODES if name != fleet.find_coordinator()]
        if is_coordinator_lost:
            coordinator = fleet.nodes[fleet.find_coordinator()]
            loop = asyncio.get_running_loop()
            loop.call_later(1, coordinator.send_signal, signal.SIGKILL)
        answers = await ask_all(
            fleet, session, "/sync/", for_s=4, names=names, every_s=0.002
        )
        assert sum(server.falls for server in servers) <= ALLOWED_FALLS
        assert answers.count(200) > 4 * ROOM / 0.05 / 4

    play(tmp_path, scenario, nodes=NODES)


def test_a_server_that_is_not_brittle_any_more_is_used_as_before(tmp_path):
    async def scenario(fleet, session):
        servers = make_brittle(fleet)
        await ask_all(fleet, session, "/sync/", for_s=KNOWN_AFTER_S)
        for server in servers:
            server.refusals_per_s = None
        answers = await ask_all(fleet, session, "/sync/", for_s=2, every_s=0.02)
        assert set(answers) == {200}
        for name in NODES:
            last = [
                line
                for line in fleet.read_log(name).splitlines()
                if "server_brittle" in line
            ][-1]
            assert '"refusals_per_s":null' in last

    play(tmp_path, scenario, nodes=NODES)


@pytest.mark.parametrize("stated", [-1, 1e12])
def test_a_number_that_can_not_be_meant_changes_nothing(tmp_path, stated):
    """Guards against an answer that is rejected, or a log that is flooded, because of
    what a server states beside it."""

    async def scenario(fleet, session):
        for server in fleet.servers[2:]:
            server.refusals_per_s = stated
        answers = await ask_all(fleet, session, "/book/", for_s=1, names=("n1",))
        assert set(answers) == {200}
        assert fleet.read_log("n1").count("server_notice_refused") <= 2

    play(tmp_path, scenario)


@pytest.mark.parametrize("path", ["/book/", "/sync/", "/chat/", "/resumed/"])
def test_a_sound_server_may_be_silent_for_a_while(tmp_path, path):
    """Guards against a request that is broken off, sent twice or counted as a crash, or
    a server that is taken for lost, because it was silent."""

    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        model = "m0" if path in ("/chat/", "/resumed/") else ""
        for server in fleet.servers:
            server.is_silent = True
        loop = asyncio.get_running_loop()
        for server in fleet.servers:
            loop.call_later(SILENCE_S, setattr, server, "is_silent", False)
        answers = await asyncio.gather(
            *(
                send_request(session, front, f"{path}{n}", attempt=f"a{n}", model=model)
                for n in range(4)
            )
        )
        assert [status for status, _, _ in answers] == [200] * 4
        if model:
            assert {body for _, body, _ in answers} == {FULL_STREAM}
        for attempt in ("a0", "a1", "a2", "a3"):
            assert sum(server.runs[attempt] for server in fleet.servers) == 1
        log = fleet.read_log("n1")
        assert "suspect_recorded" not in log
        assert "servers_lost" not in log

    play(tmp_path, scenario, has_retries=True)


def test_no_timer_of_a_connection_fires_within_a_short_silence():
    """Guards against connections that the operating system gives up during a silence: a
    user timeout also decides when keep-alive probes give up, whatever their count."""
    info = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ())
    for open_socket in (transport._open_socket, transport._open_resetting_socket):
        with open_socket(info) as opened:

            def read(option, opened=opened):
                return opened.getsockopt(socket.IPPROTO_TCP, option)

            user_timeout_s = read(socket.TCP_USER_TIMEOUT) / 1_000
            idle_s, interval_s = read(socket.TCP_KEEPIDLE), read(socket.TCP_KEEPINTVL)
            by_count_s = idle_s + interval_s * read(socket.TCP_KEEPCNT)
            by_user_timeout_s = max(user_timeout_s, idle_s + interval_s)
            assert user_timeout_s > SILENCE_S
            assert min(by_count_s, by_user_timeout_s) > SILENCE_S
