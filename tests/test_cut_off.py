"""Real nodes that can't reach the servers, while callers, the store and other nodes
reach them."""

import asyncio
import contextlib
import itertools
import json
import time
from collections import Counter

import aiohttp
import pytest

from arbutuspulley.standins.fleet_server import ServerStandin
from scripts.platform_testbed import (
    FULL_STREAM,
    send_request,
)
from tests.cut_fleet import CutFleet
from tests.node_load import RETRIES_AFTER_S, RETRIES_AT_ONCE

NAMES = ("n1", "n2", "n3", "n4")
MODES = pytest.mark.parametrize("mode", ["hang", "reset", "live"])

DETECTION_S = 1.0
"""Time after a cut from which on the nodes have to serve, in s; the rule allows 3 s."""

HEALING_S = 2.0
"""Time after the end of a cut from which on nodes reach servers by themselves, in s."""

LEAST_RATIO = 0.95
"""Least ratio of answers at nodes that are cut off to those at the others."""

KINDS = (("/chat/", "m0"), ("/book/", ""), ("/sync/", ""), ("/resumed/", "m0"))
"""Routes with their models, asked in turn."""

RUN_ONCE = ("/chat/", "/book/")
"""Routes of which a request may run once at most."""

ASK_EVERY_S = 0.02

_numbers = itertools.count()


def run_cut(folder, scenario, *, names=NAMES):
    """Run a scenario on nodes that follow one coordinator."""

    async def run():
        fleet = CutFleet(folder)
        try:
            await fleet.open()
            await fleet.start_nodes(names, **RETRIES_AT_ONCE)
            await asyncio.sleep(RETRIES_AFTER_S)
            async with aiohttp.ClientSession() as session:
                await scenario(fleet, session)
        finally:
            await fleet.close()

    asyncio.run(run())


class Load:
    """Steady requests of each kind through all nodes in turn, and their answers."""

    def __init__(self, fleet, session, *, names=NAMES, kinds=KINDS):
        self._fleet = fleet
        self._session = session
        self._names = names
        self._kinds = kinds
        self.answers = []
        self._asked = []
        self._task = asyncio.create_task(self._ask_all())

    async def _ask_all(self):
        for name in itertools.cycle(self._names):
            for kind in self._kinds:
                self._asked.append(asyncio.create_task(self._ask(name, *kind)))
                await asyncio.sleep(ASK_EVERY_S)

    async def _ask(self, name, path, model):
        sent_at = time.monotonic()
        attempt = f"{name}-{next(_numbers)}"
        status = None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(6):
                status, _, _ = await send_request(
                    self._session,
                    self._fleet.addresses[name]["Frontend"],
                    f"{path}{attempt}",
                    attempt=attempt,
                    model=model,
                )
        self.answers.append((attempt, sent_at, status, path))

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(*self._asked)

    def count(self, names, *, since, until=float("inf")):
        """Return how many requests were answered with 200, and how many were sent."""
        statuses = [
            status
            for attempt, sent_at, status, _ in self.answers
            if attempt.partition("-")[0] in names and since <= sent_at < until
        ]
        return statuses.count(200), len(statuses)

    def list_answers(self):
        return [(attempt, status, path) for attempt, _, status, path in self.answers]

    def get_share(self, names, **between):
        served, sent = self.count(names, **between)
        return served / sent


def list_others(names):
    return [name for name in NAMES if name not in names]


def choose_cut(fleet, *, count, with_coordinator=False):
    """Return nodes to cut off, the coordinator first or not among them."""
    coordinator = fleet.find_coordinator()
    others = [name for name in NAMES if name != coordinator]
    if with_coordinator:
        return [coordinator, *others][:count]
    return others[:count]


async def play_cut(fleet, session, cut, mode, *, for_s=4.0):
    """Cut nodes off under load.

    :return: the load, which has ended, and the time from which on all have to serve.
    """
    load = Load(fleet, session)
    await asyncio.sleep(1)
    fleet.cut(cut, mode)
    counted_from = time.monotonic() + DETECTION_S
    await asyncio.sleep(for_s)
    await load.stop()
    return load, counted_from


@MODES
@pytest.mark.parametrize("count", [1, 3], ids=["one", "most"])
def test_callers_of_nodes_that_reach_no_server_are_served(tmp_path, mode, count):
    """Guards against callers who are refused at a node that reaches no server although
    other nodes reach all of them."""

    async def scenario(fleet, session):
        cut = choose_cut(fleet, count=count)
        load, since = await play_cut(fleet, session, cut, mode)
        least = LEAST_RATIO * load.get_share(list_others(cut), since=since)
        assert load.get_share(cut, since=since) >= least

    run_cut(tmp_path, scenario)


@MODES
def test_other_nodes_lose_nothing_while_some_reach_no_server(tmp_path, mode):
    """Guards against servers that no node uses any more because some nodes can't reach
    them."""

    async def scenario(fleet, session):
        cut = choose_cut(fleet, count=2)
        load, since = await play_cut(fleet, session, cut, mode)
        served, sent = load.count(list_others(cut), since=since - DETECTION_S)
        assert served == sent

    run_cut(tmp_path, scenario)


@pytest.mark.parametrize("mode", ["hang", "reset"])
def test_models_are_loaded_while_the_coordinator_reaches_no_server(tmp_path, mode):
    """Guards against models that nobody loads while the coordinator can't reach the
    servers and others can."""

    async def scenario(fleet, session):
        cut = choose_cut(fleet, count=1, with_coordinator=True)
        load, _ = await play_cut(fleet, session, cut, mode, for_s=3)
        other = list_others(cut)[0]
        front = fleet.addresses[other]["Frontend"]
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="new", model="m3"
        )
        assert (status, body) == (200, FULL_STREAM)
        share = load.get_share(list_others(cut), since=0)
        assert share >= LEAST_RATIO

    run_cut(tmp_path, scenario)


@MODES
def test_a_request_runs_at_most_once_while_a_node_reaches_no_server(tmp_path, mode):
    """Guards against a request that is sent again by another node although a server may
    have run it, and against a refusal of one that has run."""

    async def scenario(fleet, session):
        cut = choose_cut(fleet, count=2)
        load, _ = await play_cut(fleet, session, cut, mode)
        runs = sum((server.runs for server in fleet.servers), start=Counter())
        for attempt, status, path in load.list_answers():
            if path in RUN_ONCE:
                assert runs[attempt] <= 1, attempt
            if status == 503:
                assert runs[attempt] == 0, attempt

    run_cut(tmp_path, scenario)


def test_a_request_in_flight_at_nodes_that_lose_their_network_is_not_quarantined(
    tmp_path,
):
    """Guards against seed 5014 of the soak: one request, in flight at three nodes that
    lost the servers at once, was refused as if it had crashed three servers."""

    async def scenario(fleet, session):
        cut = choose_cut(fleet, count=3)
        for name in ("e3", "e4", "e5"):
            await fleet.add_server(
                ServerStandin(incarnation=name, service="llm", models=("m0",))
            )
        for name in NAMES:
            await fleet.wait_log(name, '"e5"')
        for server in fleet.servers:
            server.delay_s = 0.4

        async def ask(name, number):
            front = fleet.addresses[name]["Frontend"]
            attempt = f"{name}-{number}"
            return await send_request(
                session, front, "/chat/same", attempt=attempt, model="m0"
            )

        asked = [asyncio.create_task(ask(name, 0)) for name in cut]
        await asyncio.sleep(0.2)
        fleet.cut(cut, "reset")
        await asyncio.gather(*asked)
        for server in fleet.servers:
            server.delay_s = 0.0
        for number in range(1, 4):
            await asyncio.gather(*(ask(name, number) for name in cut))
        for name in NAMES:
            status, _, _ = await ask(name, 9)
            assert status == 200

    run_cut(tmp_path, scenario)


def test_callers_are_named_other_nodes_meanwhile(tmp_path):
    """Guards against a node that reaches no server and is still named to callers."""

    async def scenario(fleet, session):
        cut = choose_cut(fleet, count=1)
        load = Load(fleet, session)
        fleet.cut(cut, "reset")
        await asyncio.sleep(2)
        for name in NAMES:
            directory = fleet.addresses[name]["DirectoryService"]
            url = f"http://{directory}/resolve?Name=x&Region=riga&Zone=hall-a"
            async with session.get(url) as answer:
                named = (await answer.json())["Addresses"]
            assert fleet.addresses[cut[0]]["Frontend"] not in named
            assert len(named) >= 2
        await load.stop()

    run_cut(tmp_path, scenario)


@pytest.mark.parametrize("mode", ["hang", "reset"])
def test_a_node_sends_by_itself_again_soon_after_a_cut(tmp_path, mode):
    """Guards against a node that goes on sending by others after its cut has ended, and
    against requests on connections that the servers have closed meanwhile."""

    async def scenario(fleet, session):
        cut = choose_cut(fleet, count=1)
        load = Load(fleet, session)
        fleet.cut(cut, mode)
        await asyncio.sleep(3)
        fleet.heal(cut)
        await asyncio.sleep(HEALING_S)
        since, logged = time.monotonic(), len(fleet.read_log(cut[0]))
        await asyncio.sleep(1)
        await load.stop()
        ended = fleet.read_log(cut[0])[logged:].splitlines()
        helpers = [json.loads(line).get("helper", "") for line in ended]
        assert any(helpers) is False
        served, sent = load.count(cut, since=since)
        assert served == sent

    run_cut(tmp_path, scenario)
