"""Real nodes while the store comes back from an older copy of its data."""

import asyncio
import itertools
import json

import pytest

from scripts.platform_testbed import build_configuration, wait_until
from tests.node_load import (
    LOSS_S,
    NODES,
    SERVERS,
    ask_all,
    disconnect_from_store,
    freeze,
    kill,
)
from tests.proxied_nodes import run_on_nodes

DRAIN_S = 2.0
"""Time after the store has accepted the row of a leaving server after which the server
may get no more requests, in s."""

AWAY_S = 0.4
"""How long the store is away before it comes back, in s."""

LOST_WRITES = 30
"""Number of writes that the copy lacks."""

SETTLE_S = 1.5
"""Time for the nodes to hear of a change, in s."""

LOAD_S = 6.0


async def write_rows(store, server, *, count):
    """Write a server's row several times, each time with another content."""
    for number in range(count):
        row = {**server.describe(), "Sequence": number, "Slots": 9 + number}
        store.put("servers", server.incarnation, row)
        await asyncio.sleep(0)


async def lose_writes(fleet, server):
    """Write rows of a server, and let the store come back from a copy without them."""
    copy = fleet.store.copy()
    await write_rows(fleet.store, server, count=LOST_WRITES)
    await asyncio.sleep(SETTLE_S)
    await fleet.store.leave(AWAY_S, copy=copy)


def count_late(server, since):
    """Return how many requests reached a server too late after it began to leave."""
    return sum(at > since + DRAIN_S for at in server.arrivals)


def list_fences(fleet):
    """Return the fencing tokens of all claims of the lease, with their nodes."""
    claims = []
    for name in fleet.nodes:
        for line in fleet.read_log(name).splitlines():
            if '"lease_taken"' in line:
                fields = json.loads(line)
                claims.append((fields["fence"], name, fields["time_ms"]))
    return claims


def find_holder(fleet):
    """Return the node that has claimed the lease last."""
    return max(list_fences(fleet), key=lambda claim: claim[2])[1]


@SERVERS
def test_a_server_that_leaves_after_the_copy_gets_no_more_requests(
    tmp_path, told, path, model
):
    """Guards against a row of a leaving server that is ignored since the store has
    given it a version below the one of a row that it has lost."""

    async def scenario(fleet, session, proxies):
        server = fleet.get_server(told)
        await lose_writes(fleet, server)
        await asyncio.sleep(SETTLE_S)
        since = asyncio.get_running_loop().time()
        fleet.store.put("servers", told, server.describe(state="draining"))
        await ask_all(fleet, session, path, for_s=LOAD_S, model=model)
        assert count_late(server, since) == 0

    run_on_nodes(tmp_path, scenario, names=NODES)


@SERVERS
@pytest.mark.parametrize("lose", [kill, freeze, disconnect_from_store])
def test_a_server_leaves_after_the_copy_while_the_coordinator_is_lost(
    tmp_path, lose, told, path, model
):
    """Guards against a change of era that some nodes hear of later than others: one is
    cut off in the older era, or another takes over as coordinator."""

    async def scenario(fleet, session, proxies):
        server = fleet.get_server(told)
        copy = fleet.store.copy()
        await write_rows(fleet.store, server, count=LOST_WRITES)
        await asyncio.sleep(SETTLE_S)
        holder = find_holder(fleet)
        lose(fleet.nodes[holder], proxies[holder])
        await fleet.store.leave(AWAY_S, copy=copy)
        await asyncio.sleep(SETTLE_S)
        since = asyncio.get_running_loop().time()
        fleet.store.put("servers", told, server.describe(state="draining"))
        await ask_all(fleet, session, path, for_s=LOAD_S, model=model)
        late = [
            attempt
            for at, attempt in zip(server.arrivals, server.attempts, strict=True)
            if at > since + DRAIN_S
            # A frozen or cut-off node has the time of the bound once it is back.
            and not (attempt.startswith(f"{holder}-") and at < since + LOSS_S + DRAIN_S)
        ]
        assert not late

    run_on_nodes(tmp_path, scenario, names=NODES)


def test_several_eras_within_seconds(tmp_path):
    """Guards against a change of era during the reads that the last one has caused."""

    async def scenario(fleet, session, proxies):
        server = fleet.get_server("p1")
        for _ in range(4):
            copy = fleet.store.copy()
            await write_rows(fleet.store, server, count=LOST_WRITES)
            await asyncio.sleep(0.3)
            await fleet.store.leave(0.2, copy=copy)
        since = asyncio.get_running_loop().time()
        fleet.store.put("servers", "p1", server.describe(state="draining"))
        await ask_all(fleet, session, "/book/", for_s=LOAD_S)
        assert count_late(server, since) == 0
        for name in NODES:
            log = fleet.read_log(name)
            assert '"name":"store_era_changed"' in log
            assert '"name":"store_era_refused"' not in log

    run_on_nodes(tmp_path, scenario, names=NODES)


def test_a_server_that_registered_after_the_copy_is_used_throughout(tmp_path):
    """Guards against requests that are refused since the only server of a service is
    missing from the copy, until it has written its row again."""

    async def scenario(fleet, session, proxies):
        for name in ("p1", "p2"):
            fleet.store.remove("servers", name)
        copy = fleet.store.copy()
        server = fleet.get_server("p1")
        fleet.store.put("servers", "p1", server.describe())
        await asyncio.sleep(SETTLE_S)
        asking = asyncio.create_task(ask_all(fleet, session, "/sync/", for_s=LOAD_S))
        await asyncio.sleep(0.5)
        await fleet.store.leave(AWAY_S, copy=copy)
        await asyncio.sleep(1.0)
        fleet.store.put("servers", "p1", server.describe())
        assert set(await asking) == {200}

    run_on_nodes(tmp_path, scenario, names=NODES)


@SERVERS
def test_a_row_written_before_the_first_poll_of_the_new_era_is_read(
    tmp_path, told, path, model
):
    """Guards against a poll that resumes after a version which the new era has given
    out again: the store answers it without the rows below that version."""

    async def scenario(fleet, session, proxies):
        server = fleet.get_server(told)
        other = fleet.get_server(told.replace("1", "2"))
        await lose_writes(fleet, other)
        since = asyncio.get_running_loop().time()
        fleet.store.put("servers", told, server.describe(state="draining"))
        await write_rows(fleet.store, other, count=2 * LOST_WRITES)
        await ask_all(fleet, session, path, for_s=LOAD_S, model=model)
        assert count_late(server, since) == 0

    run_on_nodes(tmp_path, scenario, names=NODES)


@pytest.mark.parametrize("lose", [kill, disconnect_from_store])
def test_a_fence_is_never_given_to_two_holders(tmp_path, lose):
    """Guards against a fence that is given out again, as the store has lost the row of
    the holder that had it."""

    async def scenario(fleet, session, proxies):
        copy = fleet.store.copy()
        first = find_holder(fleet)
        kill(fleet.nodes[first], None)
        await wait_until(lambda: is_replaced(fleet, first), "a second holder")
        await asyncio.sleep(SETTLE_S)
        second = find_holder(fleet)
        away = asyncio.create_task(fleet.store.leave(AWAY_S, copy=copy))
        lose(fleet.nodes[second], proxies[second])
        await away
        await wait_until(lambda: is_replaced(fleet, second), "a third holder")
        await asyncio.sleep(SETTLE_S)
        holders = {}
        for fence, name, _ in list_fences(fleet):
            holders.setdefault(fence, set()).add(name)
        assert all(len(names) == 1 for names in holders.values()), holders

    run_on_nodes(tmp_path, scenario, names=NODES)


async def is_replaced(fleet, name):
    return find_holder(fleet) != name


def test_a_configuration_written_again_is_active_everywhere(tmp_path):
    """Guards against changes that no node hears of after the store has come back."""

    async def scenario(fleet, session, proxies):
        copy = fleet.store.copy()
        for version in range(2, 8):
            fleet.store.put("op", "config", build_configuration(version))
        await asyncio.sleep(SETTLE_S)
        await fleet.store.leave(AWAY_S, copy=copy)
        for version in (7, 8):
            fleet.store.put("op", "config", build_configuration(version))
            await asyncio.sleep(0.3)
        await asyncio.sleep(SETTLE_S)
        for name, version in itertools.product(NODES, (7, 8)):
            log = fleet.read_log(name)
            assert f'"configuration_in_force","version":{version}' in log, name

    run_on_nodes(tmp_path, scenario, names=NODES)
