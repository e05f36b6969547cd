"""Real nodes put a change in force in time though some have lost the store."""

import asyncio
import time

import pytest

from scripts.platform_testbed import (
    build_configuration,
    build_route,
    send_request,
    wait_until,
)
from tests.proxied_nodes import play_on_nodes
from tests.proxy import Direction, FaultProxy

IN_FORCE_WITHIN_S = 2.0
"""A change has to be in force everywhere within this time."""

LEASE_MS = 3_000
"""Long enough that no other node takes over within that time."""

NODES = ("n1", "n2", "n3", "n4")

SETTLE_S = 3.0
"""Until the coordinator has chosen who follows the store, and all others rest."""


def play(folder, scenario):
    """Run a scenario once all nodes have settled."""

    async def run_settled(fleet, session, proxies):
        await asyncio.sleep(SETTLE_S)
        await scenario(fleet, session, proxies)

    play_on_nodes(folder, run_settled, names=NODES, lease_ms=LEASE_MS)


def find_resting(fleet):
    """Return the node that neither coordinates nor follows the store."""
    return [name for name in NODES if name != fleet.find_coordinator()][-1]


async def measure_change(fleet, session, name, version):
    """Add a route and return after how many s a node serves it."""
    prefix = f"/new{version}/"
    routes = (build_route(prefix, "plain", "safe"),)
    fleet.store.put("op", "config", build_configuration(version, routes=routes))
    begun = time.monotonic()
    front = fleet.addresses[name]["Frontend"]

    async def is_served():
        attempt = f"a{time.monotonic_ns()}"
        status, _, _ = await send_request(
            session, front, prefix, attempt=attempt, method="GET"
        )
        return status == 200

    await wait_until(is_served, f"version {version} at {name}")
    return time.monotonic() - begun


def lose_silently(proxy):
    proxy.drop(Direction.TO_CLIENT, Direction.TO_TARGET)


@pytest.mark.parametrize(
    "fault", [lose_silently, FaultProxy.cut], ids=["silent", "refused"]
)
def test_a_change_is_in_force_though_all_who_follow_the_store_have_lost_it(
    tmp_path, fault
):
    """Guards against instances that wait to be told by those who are cut off."""

    async def scenario(fleet, session, proxies):
        resting = find_resting(fleet)
        assert await measure_change(fleet, session, resting, 2) < IN_FORCE_WITHIN_S
        for name in NODES:
            if name != resting:
                fault(proxies[name])
        assert await measure_change(fleet, session, resting, 3) < IN_FORCE_WITHIN_S

    play(tmp_path, scenario)


def test_a_change_is_in_force_where_the_store_is_lost(tmp_path):
    """Guards against instances that only the store tells of changes."""

    async def scenario(fleet, session, proxies):
        resting = find_resting(fleet)
        lose_silently(proxies[resting])
        assert await measure_change(fleet, session, resting, 2) < IN_FORCE_WITHIN_S

    play(tmp_path, scenario)
