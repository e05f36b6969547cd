"""Exchanges of an instance whose attempts at servers end as a test says."""

import asyncio

import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node import server_paths as paths_module
from arbutuspulley.node.access import Access
from arbutuspulley.node.exchange import Exchange
from arbutuspulley.node.hedges import Hedges
from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import CoordinatorStatus
from arbutuspulley.node.poison import PoisonGuard
from arbutuspulley.node.progress import RequestFailedError
from arbutuspulley.node.quota_charging import QuotaCharger
from arbutuspulley.node.retries import Retries
from arbutuspulley.node.server_paths import ServerPaths
from arbutuspulley.ports.fleet import (
    InboundRequest,
    RetryPolicy,
    Route,
    ServerEntry,
    Share,
)
from tests.node_states import build_state

WINDOW_MS = 10_000

SERVICE = "plain"

ROUTE = Route(
    name="sync",
    host="h",
    prefix="/",
    retry_policy=RetryPolicy.RESUME,
    is_stream=False,
    timeout_ms=5_000,
    latency_target_ms=400,
    gap_target_ms=250,
    priority=0,
    max_attempts=5,
    shares=(Share(service=SERVICE, weight=1),),
)


class LoneNode:
    """An instance whose clock is set by the test."""

    def __init__(self, **settings):
        self.now = 0
        settings = {"retry_window_ms": WINDOW_MS, **settings}
        self.state = build_state(clock=Clock(read=lambda: self.now), **settings)
        self.link = Link(state=self.state)
        self.poison = PoisonGuard(state=self.state, link=self.link)
        self.retries = Retries(state=self.state)

    def follow_coordinator(self, *, for_ms, instances=6):
        """Receive a status every 250 ms."""
        until = self.now + for_ms
        while self.now < until:
            self.now += 250
            self.link.receive(
                [CoordinatorStatus(is_holder=True, instances=instances, takers=0)]
            )

    def charge_all(self):
        charges = []
        while charge := self.retries.try_charge(SERVICE):
            charges.append(charge)
        return charges

    def read_metric(self, name, **labels):
        registry = self.state.metrics.registry
        return registry.get_sample_value(name, {"service": SERVICE, **labels})


def build_node_with_retries():
    node = LoneNode(retry_ratio=1.0)
    for _ in range(10):
        node.retries.record_request(SERVICE)
    return node


def build_entry(number):
    return ServerEntry(
        server_id=f"s{number}",
        incarnation=f"s{number}",
        started_ms=0,
        service=SERVICE,
        address=f"127.0.0.1:{number}",
        zone="a1",
        slots=8,
        is_leaving=False,
        loaded_models=(),
    )


def build_request():
    return InboundRequest(
        attempt_id="r0",
        method="GET",
        host="h",
        path="/",
        headers=[],
        wait_ms=None,
        need=None,
    )


def build_exchange(monkeypatch, node, *, outcomes, route=ROUTE):
    """Build an exchange of which each attempt at a server ends as it is said.

    :param outcomes: errors or answers; after these there is no server left.
    :return: also the list to which each attempt adds the charges in flight.
    """
    state = node.state
    entries = [build_entry(number) for number in range(len(outcomes))]
    state.by_service = {SERVICE: entries}
    state.by_incarnation = {entry.incarnation: entry for entry in entries}
    in_flight = []

    async def send(*_args, **_kwargs):
        in_flight.append(node.retries._services[SERVICE].budget.in_flight[:])
        outcome = outcomes[len(in_flight) - 1]
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    monkeypatch.setattr(paths_module, "send_request", send)
    request = build_request()
    exchange = Exchange(
        state=state,
        link=node.link,
        poison=node.poison,
        access=Access(state=state, route=route, request=request),
        charger=QuotaCharger(state=state, link=node.link),
        hedges=Hedges(state=state),
        limits=LimitGuard(state=state, link=node.link),
        retries=node.retries,
        paths=ServerPaths(state=state, on_change=lambda: None),
        route=route,
        request=request,
        client=None,
        started_at=0,
    )
    return exchange, in_flight


def run_exchange(monkeypatch, node, *, outcomes):
    """Run a request whose attempts end with these errors, then find no server left.

    :return: the status of its answer, and the charges in flight at each attempt.
    """
    exchange, in_flight = build_exchange(monkeypatch, node, outcomes=outcomes)
    with pytest.raises(RequestFailedError) as failed:
        asyncio.run(exchange.run())
    return failed.value.status, in_flight
