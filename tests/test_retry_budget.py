"""Real nodes together keep to the retry budget of a service."""

import asyncio
import random
import signal

import aiohttp
import pytest

from tests.node_load import ask_all
from tests.proxied_nodes import run_on_nodes
from tests.retry_rule import find_excess, list_retries

NODES = tuple(f"n{number}" for number in range(1, 7))

RATIO = 0.2
EXTRA = 48
WINDOW_S = 10.0

BOUNDS = {
    "RetryBudgetRatio": RATIO,
    "RetryBudgetExtra": EXTRA,
    "BudgetWindowS": WINDOW_S,
}

ASK_EVERY_S = 0.02
LOAD_S = 1.6 * WINDOW_S

DISTURB_EVERY_S = 1.2
"""Interval between two disturbances, in s."""

SERVICES = pytest.mark.parametrize(
    ("path", "model"), [("/resumed/", "m0"), ("/sync/", "")], ids=["model", "plain"]
)
"""Routes whose requests may be sent again after they have failed."""


async def restart_some(fleet, proxies, rng):
    """Kill half of the nodes and start them again."""
    for name in rng.sample(NODES, len(NODES) // 2):
        fleet.nodes[name].send_signal(signal.SIGKILL)
        await fleet.nodes[name].wait()
        await fleet.start_node(name, store=proxies[name].address, **BOUNDS)


async def reload_all(fleet, _proxies, _rng):
    """Make all nodes read their settings again, which have not changed."""
    for name in NODES:
        fleet.nodes[name].send_signal(signal.SIGHUP)


async def keep_disturbing(disturb, fleet, proxies):
    rng = random.Random(1)
    while True:
        await asyncio.sleep(DISTURB_EVERY_S)
        await disturb(fleet, proxies, rng)


def play(folder, *, disturb, path, model):
    """Return the worst window, and how requests ended, while all servers fail."""
    seen = {}

    async def scenario(fleet, session, proxies):
        servers = [one for one in fleet.servers if bool(one.models) == bool(model)]
        for server in servers:
            server.fails = True
        loop, sent_at = asyncio.get_running_loop(), []
        disturbing = asyncio.create_task(keep_disturbing(disturb, fleet, proxies))
        async with aiohttp.ClientSession() as callers:
            seen["ends"] = await ask_all(
                fleet,
                callers,
                path,
                for_s=LOAD_S,
                model=model,
                names=NODES,
                every_s=ASK_EVERY_S,
                on_send=lambda: sent_at.append(loop.time()),
            )
        disturbing.cancel()
        arrivals = [
            pair
            for server in servers
            for pair in zip(server.arrivals, server.attempts, strict=True)
        ]
        seen["excess"] = find_excess(
            sent_at,
            list_retries(arrivals),
            ratio=RATIO,
            extra=EXTRA,
            window=WINDOW_S,
        )

    run_on_nodes(folder, scenario, names=NODES, **BOUNDS)
    return seen["excess"], seen["ends"]


@SERVICES
def test_processes_that_start_again_stay_within_the_retry_budget(tmp_path, path, model):
    """Guards against a retry budget that each new process begins with unspent."""
    excess, ends = play(tmp_path, disturb=restart_some, path=path, model=model)
    assert ends.count(500) > len(ends) / 4
    assert not excess.is_broken, excess


@SERVICES
def test_a_reload_of_settings_does_not_renew_the_retry_budget(tmp_path, path, model):
    """Guards against a SIGHUP after which the retries before it are forgotten."""
    excess, ends = play(tmp_path, disturb=reload_all, path=path, model=model)
    assert ends.count(500) > len(ends) / 2
    assert not excess.is_broken, excess
