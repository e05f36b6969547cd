"""Real nodes whose callers send requests that crash servers, beside harmless ones."""

import asyncio
import itertools
import signal

import aiohttp
import pytest

from scripts.platform_testbed import wait_until
from tests.crash_fleet import POISON, CrashFleet
from tests.node_load import RETRIES_AFTER_S, RETRIES_AT_ONCE

NAMES = ("n1", "n2", "n3", "n4")

DOWN_S = 1.2
"""Time from a crash to the next start of the server, in s."""

CONTACT_S = 3.0
"""Time after the third crash from which on retries count, in s."""

MAX_RETRIES = 3
"""Number of these retries that may reach servers."""

PLAY_S = 9.0
"""How long callers repeat the request, in s."""

EVERY_S = 0.15
"""Interval at which they do, in s."""

TOLD_S = 0.2
"""Time after which all nodes know what one of them, or the store, has seen, in s."""

MAX_REFUSED_S = 3.0
"""Time after which a harmless request is served once the servers are back, in s."""

SERVED_AGAIN_S = 3.4
"""Time after the last power failure from which on a harmless request is served, in s:
it is tried again after 1.5 to 3 s, and that takes up to 0.5 s."""

ROUTES = {
    "safe": ("/sync/x", ""),
    "unsafe": ("/book/x", ""),
    "model": ("/chat/x", "m0"),
    "resumed": ("/resumed/x", "m0"),
}


def run_crashes(folder, scenario, *, plain=3, models=3, down_s=DOWN_S):
    """Run a scenario on four nodes.

    :param plain: number of servers of the plain service; ``models``: of the other one.
    """

    async def run():
        fleet = CrashFleet(folder, down_s=down_s)
        try:
            await fleet.open()
            await fleet.add_servers(
                [f"p{number}" for number in range(3, plain + 1)], service="plain"
            )
            await fleet.add_servers(
                [f"e{number}" for number in range(3, models + 1)],
                service="llm",
                models=("m0",),
            )
            await fleet.start_nodes(NAMES, **RETRIES_AT_ONCE)
            await asyncio.sleep(RETRIES_AFTER_S)
            async with aiohttp.ClientSession() as session:
                await scenario(fleet, session)
        finally:
            await fleet.close()

    asyncio.run(run())


class Callers:
    """Callers that repeat one request, through all nodes in turn.

    :param copies: number of nodes through which each repetition is sent at once.
    :param body: body of all the requests.
    """

    def __init__(self, fleet, session, kind, *, copies=1, body=POISON, every_s=EVERY_S):
        self._fleet = fleet
        self._session = session
        self._path, self._model = ROUTES[kind]
        self._copies = copies
        self._body = body
        self._every_s = every_s
        self._kind = kind
        self.sent_at = {}
        self.statuses = {}

    async def repeat(self, *, for_s=PLAY_S):
        """Send the request again and again, and wait for the answers."""
        names = itertools.cycle(NAMES)
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        asked = []
        for number in itertools.count():
            if loop.time() >= until:
                break
            for copy in range(self._copies):
                attempt = f"{self._kind}-{self._body.decode()}-{number}-{copy}"
                asked.append(asyncio.create_task(self._ask(next(names), attempt)))
            await asyncio.sleep(self._every_s)
        await asyncio.gather(*asked)

    async def _ask(self, name, attempt):
        self.sent_at[attempt] = asyncio.get_running_loop().time()
        self.statuses[attempt] = await self._fleet.ask(
            self._session,
            name,
            self._path,
            attempt=attempt,
            body=self._body,
            model=self._model,
        )

    def count_late_runs(self):
        """Return how many runs were of requests that came late after the third crash.

        :return: also how many servers crashed in all.
        """
        crashes = self._fleet.crashes
        assert len(crashes) >= 3
        runs = [server.runs for server in self._fleet.servers]
        late = sum(
            sum(run[attempt] for run in runs)
            for attempt, sent_at in self.sent_at.items()
            if sent_at > sorted(crashes)[2] + CONTACT_S
        )
        return late, len(crashes)

    def check(self):
        """Check that the request stopped reaching servers."""
        late, crashes = self.count_late_runs()
        assert late <= MAX_RETRIES, f"{late} late retries, {crashes} crashes"


async def check_harmless(fleet, session, kinds=ROUTES):
    """Check that other requests are served at all nodes, once servers are back."""
    await asyncio.sleep(DOWN_S + MAX_REFUSED_S)
    for name, kind in itertools.product(NAMES, kinds):
        path, model = ROUTES[kind]
        status = await fleet.ask(
            session, name, path, attempt=f"{name}{kind}", body=b"fine", model=model
        )
        assert status == 200, (name, kind)


@pytest.mark.parametrize("kind", ROUTES)
def test_a_request_that_crashes_servers_stops_reaching_them(tmp_path, kind):
    """Guards against crashes that count as none because an instance that can't connect
    to the servers that crashed takes its own network for broken."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, kind)
        await callers.repeat()
        callers.check()
        await check_harmless(fleet, session)

    run_crashes(tmp_path, scenario)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_crashes_count_although_half_of_all_servers_are_down(tmp_path, kind):
    """Guards against crashes that are taken back because an instance that can't connect
    to half of the servers takes itself for cut off."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, kind)
        await callers.repeat()
        callers.check()

    run_crashes(tmp_path, scenario, plain=2, models=2)


@pytest.mark.parametrize("kind", ["safe", "model"])
def test_a_request_that_crashes_servers_stops_where_there_are_more_of_them(
    tmp_path, kind
):
    """Guards against a request that moves on from server to server while none of the
    crashed ones is back."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, kind)
        await callers.repeat(for_s=6)
        callers.check()

    run_crashes(tmp_path, scenario, plain=8, models=8, down_s=4.0)


@pytest.mark.alone
@pytest.mark.parametrize("every_s", [0.6, 1.6])
@pytest.mark.parametrize("kind", ["safe", "unsafe", "model"])
def test_copies_that_callers_send_at_once_stop_reaching_servers(
    tmp_path, kind, every_s
):
    """Guards against copies of a request that count as one crash however often they
    crash several servers at once."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, kind, copies=4, every_s=every_s)
        await callers.repeat()
        callers.check()

    run_crashes(tmp_path, scenario, plain=6, models=6)


def test_two_requests_that_crash_both_kinds_of_servers_stop(tmp_path):
    """Guards against crashes that are taken back because half of all servers, of both
    services, can't be connected to."""

    async def scenario(fleet, session):
        both = [Callers(fleet, session, kind) for kind in ("safe", "model")]
        await asyncio.gather(*(callers.repeat() for callers in both))
        for callers in both:
            callers.check()

    run_crashes(tmp_path, scenario)


def test_a_request_stops_although_the_coordinator_is_killed(tmp_path):
    """Guards against crashes that are forgotten because they were told to a coordinator
    that ended, or while there was none."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, "unsafe")
        coordinator = fleet.find_coordinator()
        fleet.nodes[coordinator].send_signal(signal.SIGKILL)
        await callers.repeat()
        callers.check()

    run_crashes(tmp_path, scenario)


def test_a_request_is_refused_by_nodes_that_start_again(tmp_path):
    """Guards against a process that starts and is not told which requests crashed
    servers before."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, "unsafe")
        await callers.repeat(for_s=4)
        for name in NAMES:
            fleet.nodes[name].send_signal(signal.SIGKILL)
            await fleet.nodes[name].wait()
            await fleet.start_node(name, **RETRIES_AT_ONCE)
            await fleet.wait_ready(name)
            await asyncio.sleep(1)
        crashed = len(fleet.crashes)
        await callers.repeat(for_s=2)
        assert len(fleet.crashes) == crashed

    run_crashes(tmp_path, scenario)


def test_a_request_stops_that_comes_through_a_node_cut_off_from_all_servers(tmp_path):
    """Guards against crashes that nobody counts because the instance that was asked let
    another one send the request."""

    async def scenario(fleet, session):
        cut = [name for name in NAMES if name != fleet.find_coordinator()][:1]
        fleet.cut(cut, "reset")
        callers = Callers(fleet, session, "unsafe")
        await callers.repeat()
        callers.check()

    run_crashes(tmp_path, scenario)


def test_a_request_that_waited_while_servers_were_down_is_not_sent(tmp_path):
    """Guards against requests that were admitted before the third crash and reach
    servers once these are back."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, "model", every_s=0.05)
        await callers.repeat(for_s=3)
        assert len(fleet.crashes) <= 3 + MAX_RETRIES

    run_crashes(tmp_path, scenario, models=2)


def test_an_error_of_a_server_does_not_clear_a_request(tmp_path):
    """Guards against a request whose crashes are forgotten because one server answered
    it with an error of its own before it crashed."""

    async def scenario(fleet, session):
        path, model = ROUTES["unsafe"]

        async def ask(number):
            await asyncio.sleep(DOWN_S + TOLD_S)
            return await fleet.ask(
                session,
                NAMES[number % len(NAMES)],
                path,
                attempt=f"a{number}",
                body=POISON,
                model=model,
            )

        assert [await ask(0), await ask(1)] == [502, 502]
        on_break = [server.on_break for server in fleet.servers]
        for server in fleet.servers:
            server.fails, server.crashes_on = True, b""
            server.on_break = lambda: None
        assert await ask(2) == 500
        for server, crash in zip(fleet.servers, on_break, strict=True):
            server.fails, server.crashes_on = False, POISON
            server.on_break = crash
        assert [await ask(3), await ask(4)] == [502, 503]
        assert len(fleet.crashes) == 3

    run_crashes(tmp_path, scenario, plain=6)


@pytest.mark.parametrize("kind", ["safe", "resumed"])
def test_a_request_in_flight_in_a_power_failure_is_served(tmp_path, kind):
    """Guards against a harmless request, sent by all callers alike, that is refused
    because it was in flight as all servers of a service crashed at once, twice."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, kind, copies=4, body=b"same", every_s=0.1)
        for server in fleet.servers:
            server.delay_s = 0.3
        asked = asyncio.create_task(callers.repeat(for_s=6))
        for _ in range(2):
            await asyncio.sleep(0.6)
            for server in fleet.servers:
                fleet.crash(server)
            await asyncio.sleep(DOWN_S + 0.2)
        await asked
        path, model = ROUTES[kind]
        for name in NAMES:
            status = await fleet.ask(
                session, name, path, attempt=f"{name}9", body=b"same", model=model
            )
            assert status == 200

    run_crashes(tmp_path, scenario)


def test_a_request_that_completed_is_served_soon_after_power_failures(tmp_path):
    """Guards against a harmless request that is refused for up to 10 s because the only
    copy of it, on trial after a power failure, was in flight at the next ones."""

    async def scenario(fleet, session):
        loop = asyncio.get_running_loop()
        callers = Callers(fleet, session, "safe", copies=4, body=b"same", every_s=0.1)
        plain = [server for server in fleet.servers if server.service == "plain"]
        for server in plain:
            server.delay_s = 0.3

        async def is_in_flight():
            return any(server.in_flight for server in plain)

        asked = asyncio.create_task(callers.repeat(for_s=13))
        await asyncio.sleep(0.6)
        # Two or three failures are enough: a retry may be a further crash in turn.
        for _ in range(3):
            await wait_until(is_in_flight, "a copy in flight")
            await asyncio.sleep(0.1)
            for server in plain:
                fleet.crash(server)
            crashed_at = loop.time()
            await asyncio.sleep(DOWN_S)
            if any("request_quarantined" in fleet.read_log(name) for name in NAMES):
                break
        else:
            raise AssertionError("the request was not quarantined")
        await asked
        late = [
            callers.statuses[attempt]
            for attempt, sent_at in callers.sent_at.items()
            if sent_at > crashed_at + SERVED_AGAIN_S
        ]
        assert late
        assert set(late) == {200}

    run_crashes(tmp_path, scenario)


def test_requests_beside_one_that_crashes_servers_are_served(tmp_path):
    """Guards against harmless requests that are refused because they were in flight
    beside the one that crashed their server."""

    async def scenario(fleet, session):
        beside = [
            Callers(fleet, session, kind, body=b"beside%d" % number, every_s=0.4)
            for number, kind in enumerate(["safe", "safe", "unsafe"])
        ]
        callers = Callers(fleet, session, "safe")
        await asyncio.gather(*(one.repeat(for_s=6) for one in (callers, *beside)))
        callers.check()
        await asyncio.sleep(DOWN_S)
        for one in beside:
            await one.repeat(for_s=0.1)
            assert list(one.statuses.values())[-1] == 200

    run_crashes(tmp_path, scenario)
