"""State that the coordinator keeps of instances that reconnect."""

import asyncio

import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.delivery.begun_streams import build_stream_key
from arbutuspulley.membership.coordinator_lease import (
    CoordinatorLeaseState,
    InheritedLoads,
)
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    GrantRequest,
    Hello,
    RefusalReason,
    RunningRequest,
    StreamCopies,
)
from arbutuspulley.node.pool_updates import add_running_requests
from arbutuspulley.pool.returns import record_refusal
from arbutuspulley.ports.fleet import ModelNeed, SoftwareVersion
from tests.node_states import build_entry, build_info, build_state
from tests.pools import add_run, build_pool, build_server


def build_hello(*running):
    return Hello(info=build_info("x"), running=running)


def build_coordinator(state, *, receive_local=lambda _messages: None):
    lease = CoordinatorLeaseState(name="own", link="own:1", boot="b", lease_ms=3_000)
    return Coordinator(state=state, lease=lease, receive_local=receive_local)


def test_request_that_ended_during_a_reconnect_holds_no_slot():
    """All connections are reset. An instance opens its link again before the
    coordinator has seen the end of the old one; a request that ended in between was
    never reported. It held a slot of its server for the rest of the day."""
    coordinator = build_coordinator(build_state())
    coordinator.is_active = True
    server = build_server("s0", "m0")
    coordinator._pools = {"llm": build_pool(server)}
    coordinator.add_peer([build_hello()])
    for key in ("ended", "runs"):
        add_run(server, key, "m0")
        server.runs[key].origin = "x"
    need = server.runs["runs"].need
    hello = build_hello(RunningRequest(key="runs", incarnation="s0", need=need))
    coordinator.add_peer([hello])
    coordinator._handle_message("x", hello, now=0)
    assert set(server.runs) == {"runs"}


def test_successor_keeps_start_times_of_running_requests():
    """A coordinator is lost. Its successor counted all running requests as just
    started: it waited too long for models to be unloaded, and underestimated the
    duration of runs."""
    server = build_server("s0", "m0")
    pools = {"llm": build_pool(server)}
    add_run(server, "runs", "m0")
    need = server.runs.pop("runs").need
    run = RunningRequest(key="runs", incarnation="s0", need=need, ran_ms=1_500)
    add_running_requests(pools, "x", build_hello(run), now=2_000)
    assert server.runs["runs"].granted_at == 500
    assert server.runs["runs"].first_at == 500


def test_a_successor_learns_the_streams_of_instances_that_link_up():
    """Guards against streams whose versions only a lost coordinator knew."""
    copies = StreamCopies(service="llm", version="v2", streams=((7, 9_000),))
    sender, state = build_state(), build_state()
    link = Link(state=sender)
    link.receive([copies])
    coordinator = build_coordinator(state)
    coordinator.is_active = True
    coordinator.add_peer([link.build_hello()])
    now = state.clock.now()
    assert state.begun_streams.find(7, now=now).version == SoftwareVersion(name="v2")


def test_a_request_for_an_unknown_stream_asks_a_new_coordinator_again():
    """Guards against a coordinator that has coordinated before, and refuses streams for
    good while the instances that know them are still linking up."""
    now = [100_000]
    state = build_state(clock=Clock(read=lambda: now[0]))
    versions = [SoftwareVersion(name=name) for name in ("v1", "v2")]
    state.software_versions.update(
        {"llm": [build_entry(v.name, software_version=v) for v in versions]},
        now=now[0],
    )
    sent = []
    coordinator = build_coordinator(state, receive_local=sent.extend)
    request = GrantRequest(
        key="r1",
        service="llm",
        need=ModelNeed(model="m0", adapter="", prompt_tokens=1, output_tokens=1),
        zone="z1",
        priority=1,
        aim_ms=100,
        left_ms=1_000,
        resumed_stream=build_stream_key("a1"),
    )

    async def ask():
        coordinator.activate(InheritedLoads(loads={}, unknown_until=None))
        coordinator._handle_message("own", request, now=now[0])
        coordinator.deactivate()

    for _ in range(2):
        asyncio.run(ask())
        assert sent[-1].reason == RefusalReason.VERSION_UNKNOWN
        assert sent[-1].retry_after_ms
        now[0] += 60_000


@pytest.mark.parametrize("shares_contended", [True, False])
def test_coordinator_recognises_refused_requests_only_with_contended_shares(
    shares_contended,
):
    """Guards against records that are kept but never looked up, and against another
    order of requests in deployments without the setting."""
    now = 10_000
    coordinator = build_coordinator(build_state(clock=Clock(read=lambda: now)))
    coordinator.is_active = True
    pool = build_pool(build_server("s0", "m0"), shares_contended=shares_contended)
    coordinator._pools = {"llm": pool}
    record_refusal(
        pool.returns,
        7,
        model="m0",
        cost=1.0,
        first_arrived_at=8_000,
        told_at=9_000,
        is_promised=True,
        now=8_000,
    )
    request = GrantRequest(
        key="r1",
        service="llm",
        need=ModelNeed(model="m0", adapter="", prompt_tokens=1, output_tokens=1),
        zone="z1",
        priority=1,
        aim_ms=100,
        left_ms=1_000,
        fingerprint=7,
    )
    coordinator._handle_message("x", request, now=now)
    returned = pool.waiting["r1"].returned
    assert (returned and returned.credit_ms) == (2_000 if shares_contended else None)


def test_inherited_loads_are_kept_until_the_configuration_is_known():
    """Guards against loads that a coordinator without a configuration removes from the
    lease's row, of which its successor then knows nothing."""
    coordinator = build_coordinator(build_state())

    async def activate():
        coordinator.activate(InheritedLoads(loads={"llm": [7]}, unknown_until=None))
        loads = coordinator.list_loads()
        coordinator.deactivate()
        return loads

    assert asyncio.run(activate()) == {"llm": [7]}
