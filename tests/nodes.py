"""Controllers within the test's process, on a fake platform, engines and clock."""

import random
from concurrent.futures import ThreadPoolExecutor

from arbutuspulley.clock import Clock
from arbutuspulley.controller.exchange import OutgoingUpdates
from arbutuspulley.controller.metrics import build_metrics
from arbutuspulley.controller.rows import GroupRows
from arbutuspulley.controller.sessions import balance_servers, renew_lease
from arbutuspulley.controller.state import Controller, ControllerSettings, Pools
from arbutuspulley.controller.store_watch import follow_rows
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.observation import ObservationState
from arbutuspulley.membership.outage import OutageState, choose_max_backoff_ms
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

LEASE_MS = 10_000


class TestTime:
    """A clock that is set by the test."""

    __test__ = False

    def __init__(self):
        self.now = 1_000


def build_settings(name="a", **changes):
    values = {
        "instance": name,
        "site": "site-a",
        "group": "main",
        "listen": f"127.0.0.1:{7000 + sum(name.encode())}",
        "http": "127.0.0.1:1",
        "platform": "127.0.0.1:1",
        "peers": (),
        "peer_key": "k",
        "lease_ms": LEASE_MS,
        "renew_ms": 2_500,
        "report_ms": 500,
        "exchange_ms": 1_000,
        "follow_ms": 1_000,
    }
    return ControllerSettings(**(values | changes))


def build_node(name, platform, time, *, configuration, engines=None):
    """Return a controller's state with an active configuration."""
    node = Controller(
        settings=build_settings(name),
        clock=Clock(read=lambda: time.now),
        rng=random.Random(name),
        platform=platform,
        engines=engines,
        pools=Pools(
            lease=ThreadPoolExecutor(1),
            store=ThreadPoolExecutor(1),
            delivery=ThreadPoolExecutor(1),
            reports=ThreadPoolExecutor(1),
            orders=ThreadPoolExecutor(1),
        ),
        metrics=build_metrics(),
        lease=LeaseState(instance=name, lease_ms=LEASE_MS),
        sessions=ObservationState(lease_ms=LEASE_MS),
        rows=GroupRows(group="main"),
        read_outage=OutageState(max_backoff_ms=choose_max_backoff_ms(LEASE_MS)),
        write_outage=OutageState(max_backoff_ms=choose_max_backoff_ms(LEASE_MS)),
        outgoing_updates=OutgoingUpdates(epoch=name),
    )
    node.activation.configuration = configuration
    return node


async def try_step(coroutine):
    """Run a step of a loop and ignore outages, as the loop does."""
    try:
        await coroutine
    except (PlatformUnavailableError, OutcomeUnknownError):
        pass


async def run_second(nodes, time, *, seconds=1):
    """Advance the clock; each second rows are read and servers claimed, and in every
    other one leases are renewed."""
    for _ in range(seconds):
        time.now += 1_000
        for node in nodes:
            if time.now % 2_000 == 0:
                await try_step(renew_lease(node))
            await try_step(follow_rows(node))
            await try_step(balance_servers(node, busy=frozenset()))


def list_fences(node):
    """Return owner instance and fence of each server, as last read by a controller."""
    return {
        server: (row.record.instance if row.record.session else "", row.record.fence)
        for server, row in sorted(node.rows.owners.items())
    }
