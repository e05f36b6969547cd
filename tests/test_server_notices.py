"""Real nodes act on what servers state about themselves in their answers."""

import asyncio

import pytest

from scripts.platform_testbed import send_request
from tests.node_load import (
    NODES,
    RETRIES_AFTER_S,
    RETRIES_AT_ONCE,
    SERVERS,
    ask_all,
    disconnect_from_store,
    freeze,
    kill,
)
from tests.proxied_nodes import run_on_nodes

DRAIN_S = 2.0
"""Time after a node has relayed that a server is leaving after which the server may get
no more requests from that node, in s."""

REST_S = 3.0
"""Time without requests that a server asks for, in s."""

REST_GRACE_S = 0.5
"""Time after such an answer before requests of the node are counted, in s."""

MAX_DURING_REST = 2
"""Maximum number of requests of a node in the rest of that time."""

REFUSAL_S = 0.3
"""Time within which a request that no server takes is refused, in s: well below the
latency target of its route."""

LOAD_S = 8.0

LOSS_AT_S = 2.0
"""When the coordinator is lost, in s."""


def list_arrivals(server, node, *, only=None):
    """Return the times at which requests of a node reached a server.

    :param only: attempt ids of the requests that count; ``None``: all.
    """
    return [
        at
        for at, attempt in zip(server.arrivals, server.attempts, strict=True)
        if attempt.startswith(f"{node}-") and (only is None or attempt in only)
    ]


def count_late(server):
    """Return how many requests reached a leaving server too late, by node."""
    counts = {}
    for node in NODES:
        arrivals = list_arrivals(server, node)
        counts[node] = sum(at > arrivals[0] + DRAIN_S for at in arrivals[1:])
    return counts


def find_max_during_rest(server):
    """Return the maximum number of requests of a node within a time of rest.

    Each request that is refused begins another one.
    """
    most = 0
    for node in NODES:
        arrivals = list_arrivals(server, node)
        for begin in list_arrivals(server, node, only=server.rested):
            window = (begin + REST_GRACE_S, begin + REST_S)
            most = max(most, sum(window[0] <= at < window[1] for at in arrivals))
    return most


@SERVERS
def test_a_server_that_says_it_is_leaving_gets_no_more_requests(
    tmp_path, told, path, model
):
    """Guards against requests to a leaving server whose entry still says it is ready,
    because the store is unavailable."""

    async def scenario(fleet, session, proxies):
        server = fleet.get_server(told)
        server.is_leaving = True
        ends = await ask_all(fleet, session, path, for_s=LOAD_S, model=model)
        assert server.arrivals
        assert not any(count_late(server).values()), count_late(server)
        assert set(ends) == {200}

    run_on_nodes(tmp_path, scenario, names=NODES)


@SERVERS
def test_a_server_that_asks_for_rest_gets_no_requests_meanwhile(
    tmp_path, told, path, model
):
    """Guards against requests that a shedding server refuses again and again."""

    async def scenario(fleet, session, proxies):
        await asyncio.sleep(RETRIES_AFTER_S)
        server = fleet.get_server(told)
        server.sheds, server.rest_s = True, REST_S
        ends = await ask_all(fleet, session, path, for_s=LOAD_S, model=model)
        assert server.rested
        assert find_max_during_rest(server) <= MAX_DURING_REST
        assert set(ends) == {200}

    run_on_nodes(tmp_path, scenario, names=NODES, **RETRIES_AT_ONCE)


@SERVERS
def test_requests_are_refused_at_once_while_all_servers_ask_for_rest(
    tmp_path, told, path, model
):
    """Guards against requests that wait in vain, or are sent all the same, while no
    server takes any."""

    async def scenario(fleet, session, proxies):
        servers = [fleet.get_server(told), fleet.get_server(told.replace("1", "2"))]
        for server in servers:
            server.sheds, server.rest_s = True, REST_S
        ends = await ask_all(fleet, session, path, for_s=LOAD_S, model=model)
        for server in servers:
            assert find_max_during_rest(server) <= MAX_DURING_REST
        assert set(ends) == {503}
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for name in NODES:
            front = fleet.addresses[name]["Frontend"]
            _, _, headers = await send_request(
                session, front, path, attempt=f"{name}-last", model=model
            )
            assert 0 < float(headers["Retry-After"]) <= REST_S
        assert loop.time() - begun < len(NODES) * REFUSAL_S

    run_on_nodes(tmp_path, scenario, names=NODES)


def test_a_request_without_retries_is_told_when_a_server_accepts_it(tmp_path):
    """Guards against callers that are told to return while all servers still refuse."""

    async def scenario(fleet, session, proxies):
        for name in ("p1", "p2"):
            server = fleet.get_server(name)
            server.sheds, server.rest_s = True, REST_S
        front = fleet.addresses["n1"]["Frontend"]
        waits = []
        for number in range(2):
            status, _, headers = await send_request(
                session, front, "/book/", attempt=f"n1-{number}"
            )
            assert status == 503
            waits.append(float(headers["Retry-After"]))
        assert waits[0] < 1
        assert REST_S - 1 < waits[1] <= REST_S

    no_retries = {"RetryBudgetRatio": 0, "RetryBudgetExtra": 0}
    run_on_nodes(tmp_path, scenario, names=("n1",), **no_retries)


@SERVERS
@pytest.mark.parametrize("lose", [kill, freeze, disconnect_from_store])
def test_notices_hold_when_the_coordinator_is_lost(tmp_path, lose, told, path, model):
    """Guards against a notice that is forgotten without a coordinator or by the next
    one."""

    async def scenario(fleet, session, proxies):
        leaving = fleet.get_server(told)
        shedding = fleet.get_server(told.replace("1", "2"))
        leaving.is_leaving = True
        shedding.rest_s = REST_S
        loop = asyncio.get_running_loop()
        name = fleet.find_coordinator()
        loop.call_later(LOSS_AT_S - 1, setattr, shedding, "sheds", True)
        loop.call_later(LOSS_AT_S, lose, fleet.nodes[name], proxies[name])
        ends = await ask_all(fleet, session, path, for_s=LOAD_S, model=model)
        # A frozen node may have had no time to act on what it had relayed.
        late = count_late(leaving)
        late.pop(name)
        assert not any(late.values()), late
        assert shedding.rested
        assert find_max_during_rest(shedding) <= MAX_DURING_REST
        assert set(ends) <= {200, 503, None}

    run_on_nodes(tmp_path, scenario, names=NODES)


def test_a_broken_stream_is_not_resumed_at_a_leaving_server(tmp_path):
    """Guards against the retry of a stream as a way past a server's notice."""

    async def scenario(fleet, session, proxies):
        leaving, breaking = fleet.get_server("e1"), fleet.get_server("e2")
        leaving.is_leaving = True
        breaking.breaks_after = 3
        await ask_all(fleet, session, "/resumed/", for_s=LOAD_S, model="m0")
        assert not any(count_late(leaving).values()), count_late(leaving)

    run_on_nodes(tmp_path, scenario, names=NODES)
