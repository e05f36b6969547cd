"""What holds after all instances were killed at once, on real nodes.

See ``docs/design/lost-memory.md``; ``test_lost_memory.py`` needs no network.
"""

import asyncio

import pytest

from tests.node_load import NODES, RETRIES_AT_ONCE, ask_all
from tests.proxied_nodes import run_on_nodes
from tests.retry_rule import find_excess, list_retries
from tests.test_crashing_requests import MAX_RETRIES, Callers, run_crashes
from tests.test_node import play
from tests.test_retry_budget import BOUNDS, EXTRA, RATIO, WINDOW_S
from tests.test_server_conditions import (
    ALLOWED_FALLS,
    KNOWN_AFTER_S,
    ROOM,
    make_brittle,
)
from tests.test_server_limit import (
    LIMIT_PER_S,
    MAX_IN_WINDOW,
    PROPAGATION_S,
    find_max_in_window,
)
from tests.version_fleet import kill_all

CONTACT_S = 3.0
"""Time after a start from which on an instance is bound by the rules, in s."""

SLOW_S = 1.6
"""Interval at which a caller repeats a request so that no two crash at once, in s."""

KILLS = 3
"""Number of times that all instances are killed."""

KILL_EVERY_S = 3.0
"""Interval between these, in s."""


async def restart_all(fleet, *, names=NODES, **options):
    """Kill all nodes at the same moment and start them again."""
    await kill_all(fleet)
    for name in names:
        (fleet.folder / f"{name}.log").unlink()
    await fleet.start_nodes(names, **options)


@pytest.mark.alone
def test_a_request_that_crashed_servers_does_not_crash_more_after_all_were_killed(
    tmp_path,
):
    """Guards against a request that crashes three servers more each time that all
    instances are killed, as only processes know of its crashes."""

    async def scenario(fleet, session):
        callers = Callers(fleet, session, "unsafe", every_s=SLOW_S)
        await callers.repeat(for_s=4 * SLOW_S)
        assert len(fleet.crashes) == 3
        late = []
        for _ in range(2):
            await restart_all(fleet, **RETRIES_AT_ONCE)
            await asyncio.sleep(CONTACT_S)
            before = len(fleet.crashes)
            again = Callers(fleet, session, "unsafe", every_s=SLOW_S)
            await again.repeat(for_s=4 * SLOW_S)
            late.append(len(fleet.crashes) - before)
        assert sum(late) <= MAX_RETRIES, late

    run_crashes(tmp_path, scenario)


@pytest.mark.parametrize("path", ["/chat/", "/book/"], ids=["model", "plain"])
def test_a_rate_limit_holds_after_all_instances_were_killed(tmp_path, path):
    """Guards against a limit that only processes know and that each uses in full once
    they have started again."""
    model = "m0" if path == "/chat/" else ""

    async def scenario(fleet, session):
        servers = [one for one in fleet.servers if bool(one.models) == bool(model)]
        for server in servers:
            server.limit_per_s = LIMIT_PER_S
        await ask_all(fleet, session, path, for_s=2, model=model)
        await restart_all(fleet)
        begun = asyncio.get_running_loop().time()
        ends = await ask_all(fleet, session, path, for_s=7, model=model)
        for server in servers:
            since = [at for at in server.arrivals if at >= begun]
            counted = [at for at in since if at >= since[0] + 1 + PROPAGATION_S]
            assert find_max_in_window(counted) <= MAX_IN_WINDOW
            assert len(counted) >= LIMIT_PER_S * 7 / 3
        assert set(ends) <= {200, 503}

    play(tmp_path, scenario, nodes=NODES)


def test_brittle_servers_do_not_fall_over_after_all_instances_were_killed(tmp_path):
    """Guards against servers that only processes know to be brittle."""

    async def scenario(fleet, session):
        servers = make_brittle(fleet)
        await ask_all(fleet, session, "/sync/", for_s=KNOWN_AFTER_S)
        await restart_all(fleet)
        await ask_all(fleet, session, "/sync/", for_s=KNOWN_AFTER_S)
        for server in servers:
            server.room = ROOM
        names = [name for name in NODES if name != fleet.find_coordinator()]
        answers = await ask_all(
            fleet, session, "/sync/", for_s=4, names=names, every_s=0.002
        )
        assert sum(server.falls for server in servers) <= ALLOWED_FALLS
        assert answers.count(200) > 4 * ROOM / 0.05 / 4

    play(tmp_path, scenario, nodes=NODES)


@pytest.mark.parametrize("path", ["/chat/", "/book/"], ids=["model", "plain"])
def test_a_leaving_server_is_left_alone_after_its_first_answer(tmp_path, path):
    """Guards against a server that says in its answers alone that it is leaving, and
    gets requests from instances that have passed on such an answer since they all
    started again."""
    model = "m0" if path == "/chat/" else ""

    async def scenario(fleet, session):
        told = fleet.get_server("e1" if model else "p1")
        told.is_leaving = True
        await ask_all(fleet, session, path, for_s=1, model=model)
        await restart_all(fleet)
        before = len(told.arrivals)
        ends = await ask_all(fleet, session, path, for_s=3, model=model)
        since = told.arrivals[before:]
        assert not since or since[-1] - since[0] < 1
        assert ends.count(200) > 0.9 * len(ends)

    play(tmp_path, scenario, nodes=NODES)


def test_instances_that_are_killed_again_and_again_stay_within_the_retry_budget(
    tmp_path,
):
    """Guards against a retry budget that all instances begin with unspent each time
    that they are killed at once."""

    async def scenario(fleet, session, proxies):
        servers = [one for one in fleet.servers if not one.models]
        for server in servers:
            server.fails = True
        loop, sent_at = asyncio.get_running_loop(), []
        asking = asyncio.create_task(
            ask_all(
                fleet,
                session,
                "/sync/",
                for_s=(KILLS + 1) * KILL_EVERY_S,
                every_s=0.02,
                on_send=lambda: sent_at.append(loop.time()),
            )
        )
        for _ in range(KILLS):
            await asyncio.sleep(KILL_EVERY_S - 1)
            await kill_all(fleet)
            for name in NODES:
                await fleet.start_node(name, store=proxies[name].address, **BOUNDS)
            await asyncio.sleep(1)
        ends = await asking
        arrivals = [
            pair
            for server in servers
            for pair in zip(server.arrivals, server.attempts, strict=True)
        ]
        excess = find_excess(
            sent_at,
            list_retries(arrivals),
            ratio=RATIO,
            extra=EXTRA,
            window=WINDOW_S,
        )
        assert ends.count(500) > len(ends) / 4
        assert excess is None or not excess.is_broken, excess

    run_on_nodes(tmp_path, scenario, names=NODES, **BOUNDS)
