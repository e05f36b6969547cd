"""Real nodes activate a change in time although some have lost the store."""

import asyncio
import time

import pytest

from scripts.platform_testbed import (
    build_configuration,
    build_route,
    send_request,
    wait_until,
)
from tests.proxied_nodes import run_on_nodes
from tests.proxy import Direction, FaultProxy

ACTIVATION_LIMIT_S = 2.0
"""Time within which a change has to be active everywhere, in s."""

LEASE_MS = 3_000
"""Long enough that no other node takes over within that time, in ms."""

NODES = ("n1", "n2", "n3", "n4")

SETTLE_S = 3.0
"""Time until the coordinator has chosen followers and all others have stopped calling
the store, in s."""


def run_when_settled(folder, scenario):
    """Run a scenario once all nodes have settled."""

    async def run_settled(fleet, session, proxies):
        await asyncio.sleep(SETTLE_S)
        await scenario(fleet, session, proxies)

    run_on_nodes(folder, run_settled, names=NODES, lease_ms=LEASE_MS)


def find_idle_node(fleet):
    """Return the node that neither coordinates nor follows the store."""
    return [name for name in NODES if name != fleet.find_coordinator()][-1]


async def measure_change(fleet, session, name, version):
    """Add a route and return after how many seconds a node serves it."""
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


def drop_traffic(proxy):
    proxy.drop(Direction.TO_CLIENT, Direction.TO_TARGET)


@pytest.mark.parametrize(
    "fault", [drop_traffic, FaultProxy.cut], ids=["silent", "refused"]
)
def test_change_is_active_in_time_if_all_followers_lose_the_store(tmp_path, fault):
    """Guards against instances that wait for updates from followers without store
    access."""

    async def scenario(fleet, session, proxies):
        idle = find_idle_node(fleet)
        assert await measure_change(fleet, session, idle, 2) < ACTIVATION_LIMIT_S
        for name in NODES:
            if name != idle:
                fault(proxies[name])
        assert await measure_change(fleet, session, idle, 3) < ACTIVATION_LIMIT_S

    run_when_settled(tmp_path, scenario)


def test_change_is_active_in_time_on_a_node_without_the_store(tmp_path):
    """Guards against instances that get changes only from the store."""

    async def scenario(fleet, session, proxies):
        idle = find_idle_node(fleet)
        drop_traffic(proxies[idle])
        assert await measure_change(fleet, session, idle, 2) < ACTIVATION_LIMIT_S

    run_when_settled(tmp_path, scenario)
