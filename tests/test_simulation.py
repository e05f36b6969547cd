"""The event loop in virtual time, and its network."""

import asyncio
import os
import random
import socket
import subprocess
import sys
import threading
import time
import uuid

import msgspec
import pytest

from arbutuspulley.simulation import (
    Cut,
    Network,
    Party,
    StalledError,
    VirtualLoop,
    simulate_sources,
)
from tests.virtual_plans import Plan, draw_plan, play

ADDRESS = ("127.0.0.1", 80)


class Peer(asyncio.Protocol):
    """An end of a connection that records what happens to it."""

    def __init__(self):
        self.received = []
        self.transport = None
        self.writers_paused = 0

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received.append(data)

    def eof_received(self):
        self.received.append("eof")
        return True

    def connection_lost(self, exc):
        self.received.append(type(exc).__name__ if exc else "closed")

    def pause_writing(self):
        self.writers_paused += 1

    def resume_writing(self):
        self.writers_paused -= 1


class Line:
    """A connection of a client party to a server party."""

    def __init__(self):
        self.network = Network(seed=1)
        self.loop = VirtualLoop(network=self.network)
        self.client, self.server = Party(name="client"), Party(name="server")
        self.near, self.far = Peer(), Peer()
        self.server.build_context().run(self.network.listen, lambda: self.far, ADDRESS)

    def run(self, scenario):
        """Run a coroutine of the client in virtual time."""

        async def connect_and_run():
            await self.connect(self.near)
            await scenario()

        with simulate_sources(self.loop, seed=1):
            work = self.loop.create_task(
                connect_and_run(), context=self.client.build_context()
            )
            try:
                self.loop.run_until_complete(work)
            finally:
                self.loop.dispose()

    async def connect(self, protocol):
        sock = socket.socket()
        try:
            await self.loop.sock_connect(sock, ADDRESS)
        except OSError:
            sock.close()
            raise
        await self.loop.create_connection(lambda: protocol, sock=sock)


def test_time_jumps_to_the_next_timer():
    line = Line()
    begun_at = time.monotonic()

    async def scenario():
        before = line.loop.time(), time.monotonic(), time.time()
        await asyncio.sleep(3_600)
        after = line.loop.time(), time.monotonic(), time.time()
        for one, other in zip(before, after, strict=True):
            assert other - one == pytest.approx(3_600)

    line.run(scenario)
    assert time.monotonic() - begun_at < 60


def test_a_wait_that_never_ends_names_the_task():
    """Guards against a simulation that hangs where something waits for the real
    world."""
    line = Line()

    async def wait_for_nothing():
        await line.loop.create_future()

    with pytest.raises(StalledError, match="wait_for_nothing"):
        line.run(wait_for_nothing)


def test_threads_are_refused():
    """Guards against work in a thread, which virtual time does not wait for."""
    line = Line()

    async def scenario():
        with pytest.raises(NotImplementedError, match="active_count"):
            await line.loop.run_in_executor(None, threading.active_count)

    line.run(scenario)


def test_bytes_arrive_in_order_and_closing_follows_them():
    line = Line()

    async def scenario():
        for number in range(50):
            line.near.transport.write(b"%d" % number)
        line.near.transport.close()
        await asyncio.sleep(1)

    line.run(scenario)
    assert line.far.received[:51] == [*(b"%d" % number for number in range(50)), "eof"]


def test_a_writer_waits_for_a_reader_that_has_paused():
    """Guards against memory that grows because nobody tells the sender to wait."""
    line = Line()

    async def scenario():
        await asyncio.sleep(0.1)
        line.far.transport.pause_reading()
        for _ in range(3):
            line.near.transport.write(bytes(40_000))
        await asyncio.sleep(1)
        assert line.near.writers_paused == 1
        line.far.transport.resume_reading()
        await asyncio.sleep(1)
        assert line.near.writers_paused == 0
        assert sum(map(len, line.far.received)) == 120_000

    line.run(scenario)


def test_a_killed_party_runs_nothing_and_its_connections_are_reset():
    """Guards against a killed instance whose cleanup still tells others something."""
    line = Line()
    done = []

    async def work():
        try:
            await asyncio.sleep(1)
        finally:
            done.append("cleanup")

    async def scenario():
        context = line.server.build_context()
        line.loop.create_task(work(), context=context)
        await asyncio.sleep(0.5)
        line.loop.kill(line.server)
        await asyncio.sleep(2)
        assert done == []
        assert line.near.received == ["ConnectionResetError"]
        with pytest.raises(ConnectionRefusedError):
            await line.connect(Peer())

    line.run(scenario)


def test_a_frozen_party_goes_on_in_order_when_it_is_woken():
    line = Line()
    ran = []

    async def scenario():
        context = line.server.build_context()
        line.loop.freeze(line.server)
        for number in range(9):
            line.loop.call_later(
                number / 100, lambda it=number: ran.append(it), context=context
            )
        line.near.transport.write(b"x")
        await asyncio.sleep(1)
        assert (ran, line.far.received) == ([], [])
        line.loop.wake(line.server)
        await asyncio.sleep(0.1)

    line.run(scenario)
    assert ran == list(range(9))
    assert line.far.received == [b"x"]


def test_a_short_silence_delays_bytes_and_keeps_their_order():
    """Guards against a simulation that reports faults of its own: bytes that overtook
    each other looked like answers that were damaged."""
    line = Line()

    async def scenario():
        line.network.cut("client", "server", Cut.SILENT)
        for number in range(50):
            line.near.transport.write(b"%d" % number)
            await asyncio.sleep(0.01)
        assert line.far.received == []
        line.network.heal("client", "server")
        await asyncio.sleep(0.1)

    line.run(scenario)
    assert line.far.received == [b"%d" % number for number in range(50)]


@pytest.mark.parametrize("how", Cut)
def test_a_long_cut_breaks_connections_and_opens_none(how):
    line = Line()

    async def scenario():
        line.network.cut("client", "server", how)
        await asyncio.sleep(3)
        assert line.near.received == ["ConnectionResetError"]
        with pytest.raises((ConnectionRefusedError, TimeoutError)):
            async with asyncio.timeout(1):
                await line.connect(Peer())
        line.network.heal("client", "server")
        await line.connect(Peer())

    line.run(scenario)


def test_clocks_of_a_party_are_ahead_by_its_offset():
    line = Line()

    async def scenario():
        before = time.monotonic()
        line.client.clock_offset_s = 5.0
        assert time.monotonic() - before == pytest.approx(5.0)

    line.run(scenario)


def test_unseeded_randomness_repeats():
    def draw():
        line = Line()
        drawn = []

        async def scenario():
            drawn.extend((random.Random().random(), random.random()))
            drawn.extend((uuid.uuid4(), os.urandom(4)))

        line.run(scenario)
        return drawn

    assert draw() == draw()


REPLAY = """
import sys, pathlib, msgspec
from tests.virtual_plans import Plan, play
folder = pathlib.Path(sys.argv[1])
plan = msgspec.json.decode((folder / "plan.json").read_bytes(), type=Plan)
for event in play(folder, plan).fleet.events:
    print(event)
"""


def test_a_plan_replays_byte_by_byte_whatever_the_hash_seed(tmp_path):
    """Guards against a failing plan that does not fail when it is played again."""
    plan = draw_plan(3, ("kill", "silence"))
    (tmp_path / "plan.json").write_bytes(msgspec.json.encode(plan))
    logs = [
        subprocess.run(
            [sys.executable, "-c", REPLAY, str(tmp_path)],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert logs[0].count(b"\n") > 500
    assert logs[0] == logs[1]


def test_a_plan_without_troubles_serves_all(tmp_path):
    played = play(tmp_path, Plan(seed=1, troubles=()))
    assert {sent.status for sent in played.sent.values()} == {200}
    assert len(played.sent) > 500
