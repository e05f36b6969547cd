"""Real nodes whose callers send prompts with a part that crashes servers."""

import asyncio
import itertools
import signal

import aiohttp
import pytest

from tests.crash_fleet import OTHER_POISON_PART, POISON_PART, CrashFleet
from tests.node_load import RETRIES_AFTER_S, RETRIES_AT_ONCE

NAMES = ("n1", "n2", "n3", "n4")

DOWN_S = 1.2
"""Time from a crash to the next start of the server, in s."""

CONTACT_S = 3.0
"""Time after the fifth crash from which on requests count, in s. After twice this time
harmless ones have to be served."""

COUNTED_CRASHES = 5
"""The number of that crash."""

MAX_LATE = 3
"""Number of the requests that count that may reach servers."""

MIN_SERVED = 0.5
"""Share of harmless requests that is served then."""

PLAY_S = 14.0
"""How long callers send requests, in s: longer than twice the time above after a part
was tried again."""

PAUSE_S = 0.1
"""Time between two events of an answer, which has six, in s."""

DELAY_S = 0.15
"""Time for which a server reads a prompt, in s."""

SLOW_S = 0.6
"""The same time if no answer begins between two power failures, in s."""

ROUTES = {"unsafe": "/chat/x", "resumed": "/resumed/x"}

FIRST = "a0"
"""Part that the prompts of all requests begin with."""


def run_crashes(folder, scenario, *, servers=6, events_before_crash=0):
    """Run a scenario on four nodes and some model servers."""

    async def run():
        fleet = CrashFleet(folder, down_s=DOWN_S)
        fleet.events_before_crash = events_before_crash
        try:
            await fleet.open()
            await fleet.add_servers(
                [f"e{number}" for number in range(3, servers + 1)],
                service="llm",
                models=("m0",),
            )
            for server in fleet.servers:
                server.pause_s, server.delay_s = PAUSE_S, DELAY_S
            await fleet.start_nodes(NAMES, **RETRIES_AT_ONCE)
            await asyncio.sleep(RETRIES_AFTER_S)
            async with aiohttp.ClientSession() as session:
                await scenario(fleet, session)
        finally:
            await fleet.close()

    asyncio.run(run())


class Callers:
    """Callers whose requests are never alike, through all nodes in turn.

    :param prompts: parts of the prompts that are sent in turn, without the last one.
    """

    def __init__(self, fleet, session, name, *prompts, kind="unsafe", every_s=0.3):
        self._fleet = fleet
        self._session = session
        self._name = name
        self._prompts = itertools.cycle(prompts)
        self._path = ROUTES[kind]
        self._every_s = every_s
        self.sent_at = {}
        self.statuses = {}

    async def run(self, *, for_s=PLAY_S, names=NAMES):
        """Send requests, and wait for the answers."""
        turns = itertools.cycle(names)
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        asked = []
        while loop.time() < until:
            attempt = f"{self._name}{len(self.sent_at):x}"
            self.sent_at[attempt] = loop.time()
            asked.append(asyncio.create_task(self._ask(next(turns), attempt)))
            await asyncio.sleep(self._every_s)
        await asyncio.gather(*asked)

    async def _ask(self, name, attempt):
        parts = [*next(self._prompts), attempt]
        self.statuses[attempt] = await self._fleet.ask(
            self._session,
            name,
            self._path,
            attempt=attempt,
            body=attempt.encode(),
            model="m0",
            **{
                "X-Arbutuspulley-Prompt-Prefix": ",".join(
                    f"{part}:100" for part in parts
                )
            },
        )

    def check_late(self):
        """Check that requests stopped reaching servers after the fifth crash."""
        crashes = sorted(self._fleet.crashes)
        if len(crashes) < COUNTED_CRASHES:
            return
        counts_at = crashes[COUNTED_CRASHES - 1] + CONTACT_S
        late = [
            at - counts_at
            for server in self._fleet.servers
            for attempt, at in zip(server.attempts, server.arrivals, strict=True)
            if attempt in self.sent_at and at > counts_at
        ]
        assert len(late) <= MAX_LATE, f"{len(late)} late, {len(crashes)} crashes"

    def check_served(self):
        """Check that harmless requests were served after twice that time."""
        crashes = sorted(self._fleet.crashes)
        counts_at = crashes[:COUNTED_CRASHES][-1] + 2 * CONTACT_S
        counted = [
            self.statuses[attempt] == 200
            for attempt, at in self.sent_at.items()
            if at > counts_at
        ]
        assert len(counted) >= 10
        served = sum(counted) / len(counted)
        assert served >= MIN_SERVED, f"{served:.2f} of {len(counted)} served"


async def run_beside(guilty, harmless, **options):
    """Run callers of prompts that crash servers beside harmless ones."""
    await asyncio.gather(*(one.run(**options) for one in (guilty, harmless)))
    guilty.check_late()
    harmless.check_served()


HARMLESS = [(FIRST, "b0"), (FIRST, "b1"), (FIRST, "b2")]

PROMPTS = {
    "after a first part that all share": ([(FIRST, POISON_PART)], HARMLESS),
    "as the first part": (
        [(POISON_PART, "b0"), (POISON_PART, "b1")],
        [*HARMLESS, ("a1", "b0")],
    ),
    "before a part that harmless ones share": (
        [(FIRST, POISON_PART, "b0"), (FIRST, POISON_PART, "b1")],
        HARMLESS,
    ),
    "between parts that are always with it": (
        [(FIRST, "c0", POISON_PART, "c1")],
        [*HARMLESS, (FIRST, "c0", "c1")],
    ),
}


@pytest.mark.parametrize("where", PROMPTS)
def test_prompts_with_a_part_that_crashes_servers_stop_reaching_them(tmp_path, where):
    """Guards against requests that are never alike and go on crashing servers by one
    part of their prompts, and against refusing those that share the other parts."""
    bad, good = PROMPTS[where]

    async def scenario(fleet, session):
        guilty = Callers(fleet, session, "f", *bad)
        harmless = Callers(fleet, session, "d", *good, every_s=0.1)
        await run_beside(guilty, harmless)

    run_crashes(tmp_path, scenario)


@pytest.mark.parametrize("kind", ROUTES)
def test_prompts_stop_whose_answers_begin_before_the_crash(tmp_path, kind):
    """Guards against a part that counts as harmless because servers sent an event of an
    answer on it before they crashed."""

    async def scenario(fleet, session):
        guilty = Callers(fleet, session, "f", (FIRST, POISON_PART), kind=kind)
        harmless = Callers(fleet, session, "d", *HARMLESS, kind=kind, every_s=0.1)
        await run_beside(guilty, harmless)

    run_crashes(tmp_path, scenario, events_before_crash=1)


def test_prompts_stop_that_come_many_at_once(tmp_path):
    """Guards against a part that crashes all servers several times because requests
    with it are in flight everywhere before the first crash is known."""

    async def scenario(fleet, session):
        guilty = Callers(fleet, session, "f", (FIRST, POISON_PART), every_s=0.03)
        harmless = Callers(fleet, session, "d", *HARMLESS, every_s=0.1)
        await run_beside(guilty, harmless)

    run_crashes(tmp_path, scenario)


def test_prompts_stop_although_the_coordinator_is_killed(tmp_path):
    """Guards against crashes under a part that are forgotten because they were told to
    a coordinator that ended, or while there was none."""

    async def scenario(fleet, session):
        coordinator = fleet.find_coordinator()
        fleet.nodes[coordinator].send_signal(signal.SIGKILL)
        names = [name for name in NAMES if name != coordinator]
        guilty = Callers(fleet, session, "f", (FIRST, POISON_PART))
        harmless = Callers(fleet, session, "d", *HARMLESS, every_s=0.1)
        await run_beside(guilty, harmless, names=names)

    run_crashes(tmp_path, scenario)


def test_prompts_stop_that_come_through_a_node_cut_off_from_all_servers(tmp_path):
    """Guards against crashes under a part that nobody counts because the instance that
    was asked let another one send the request."""

    async def scenario(fleet, session):
        cut = [name for name in NAMES if name != fleet.find_coordinator()][:1]
        fleet.cut(cut, "reset")
        guilty = Callers(fleet, session, "f", (FIRST, POISON_PART))
        harmless = Callers(fleet, session, "d", *HARMLESS, every_s=0.1)
        await run_beside(guilty, harmless)

    run_crashes(tmp_path, scenario)


def test_prompts_are_refused_by_nodes_that_start_again(tmp_path):
    """Guards against a process that starts and is not told which parts of prompts
    crashed servers before."""

    async def scenario(fleet, session):
        guilty = Callers(fleet, session, "f", (FIRST, POISON_PART))
        await guilty.run(for_s=5)
        for name in NAMES:
            fleet.nodes[name].send_signal(signal.SIGKILL)
            await fleet.nodes[name].wait()
            await fleet.start_node(name, **RETRIES_AT_ONCE)
            await fleet.wait_ready(name)
            await asyncio.sleep(1)
        crashed = len(fleet.crashes)
        await guilty.run(for_s=2)
        assert len(fleet.crashes) == crashed

    run_crashes(tmp_path, scenario)


def test_two_parts_that_crash_servers_stop_beside_a_first_part_that_all_share(tmp_path):
    """Guards against blaming the part that two guilty ones have beside them, since it
    is in flight at the crashes of both."""

    async def scenario(fleet, session):
        other = Callers(fleet, session, "e", (FIRST, OTHER_POISON_PART))
        guilty = Callers(fleet, session, "f", (FIRST, POISON_PART))
        harmless = Callers(fleet, session, "d", *HARMLESS, every_s=0.1)
        await asyncio.gather(other.run(), run_beside(guilty, harmless))
        other.check_late()

    run_crashes(tmp_path, scenario)


@pytest.mark.parametrize("delay_s", [DELAY_S, SLOW_S], ids=["quick", "slow"])
def test_parts_in_flight_in_power_failures_are_served(tmp_path, delay_s):
    """Guards against harmless prompts that are refused for minutes because a part of
    them was in flight as all servers crashed at once, several times, with or without an
    answer between."""

    async def scenario(fleet, session):
        for server in fleet.servers:
            server.delay_s = delay_s
        harmless = Callers(fleet, session, "d", *HARMLESS, every_s=0.05)
        asked = asyncio.create_task(harmless.run(for_s=14))
        for _ in range(3):
            await asyncio.sleep(0.7)
            for server in fleet.servers:
                fleet.crash(server)
            await asyncio.sleep(DOWN_S + 0.3)
        await asked
        counts_at = max(fleet.crashes) + 2 * CONTACT_S
        counted = [
            harmless.statuses[attempt]
            for attempt, at in harmless.sent_at.items()
            if at > counts_at
        ]
        assert len(counted) >= 20
        assert counted == [200] * len(counted)

    run_crashes(tmp_path, scenario)
