"""State that the coordinator keeps of instances that reconnect."""

from arbutuspulley.membership.coordinator_lease import CoordinatorLeaseState
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.messages import Hello, RunningRequest
from arbutuspulley.node.pool_updates import add_running_requests
from tests.node_states import build_info, build_state
from tests.pools import add_run, build_pool, build_server


def build_hello(*running):
    return Hello(info=build_info("x"), running=running)


def test_request_that_ended_during_a_reconnect_holds_no_slot():
    """All connections are reset. An instance opens its link again before the
    coordinator has seen the end of the old one; a request that ended in between was
    never reported. It held a slot of its server for the rest of the day."""
    lease = CoordinatorLeaseState(name="own", link="own:1", boot="b", lease_ms=3_000)
    state = build_state()
    coordinator = Coordinator(
        state=state, lease=lease, receive_local=lambda _messages: None
    )
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
