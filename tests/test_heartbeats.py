"""Age of the coordinator's status, measured by acknowledged heartbeats."""

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node.heartbeats import HeartbeatTracker
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import CoordinatorStatus, Heartbeat, Hello
from arbutuspulley.node.peers import Peers
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.store_watch import activate_configuration
from scripts.platform_testbed import build_configuration
from tests.node_states import build_info, build_state


def test_age_counts_from_the_newest_acknowledged_heartbeat():
    tracker = HeartbeatTracker(now=100)
    first, second = tracker.record_sent(200), tracker.record_sent(450)
    assert (first, second) == (1, 2)
    assert tracker.get_age(500) == 400
    tracker.record_acknowledged(first)
    assert tracker.get_age(500) == 300
    tracker.record_acknowledged(second)
    tracker.record_acknowledged(first)
    assert tracker.get_age(500) == 50


@pytest.mark.parametrize("number", [0, 7])
def test_unknown_heartbeat_number_is_ignored(number):
    tracker = HeartbeatTracker(now=0)
    tracker.record_sent(10)
    tracker.record_acknowledged(number)
    assert tracker.get_age(1_000) == 1_000


def test_status_acknowledges_each_instance_and_outdated_ones_are_listed():
    now = [0]
    state = build_state(clock=Clock(read=lambda: now[0]))
    peers = Peers(state=state, relay=Relay(state=state), receive_local=lambda _: None)
    acknowledged = {}
    for name, number in (("a", 3), ("b", 8)):
        peers.add(Hello(info=build_info(name)))
        peers.handle_heartbeat(
            name, Heartbeat(is_ready=True, number=number, configuration=1)
        )
    peers.send_status(is_holder=True)
    for name in ("a", "b"):
        (status,) = [
            one
            for one in peers.get(name).outgoing
            if isinstance(one, CoordinatorStatus)
        ]
        acknowledged[name] = status.beat
    assert acknowledged == {"a": 3, "b": 8}
    assert peers.list_outdated() == []
    activate_configuration(
        state, msgspec.json.encode(build_configuration(2)), by="store"
    )
    assert peers.list_outdated() == ["a", "b"]


def test_link_exports_the_age_of_the_coordinator_status():
    now = [0]
    state = build_state(clock=Clock(read=lambda: now[0]))
    link = Link(state=state)
    link._heartbeats.record_sent(0)
    now[0] = 1_500
    link.receive([CoordinatorStatus(is_holder=True, beat=1)])
    assert state.metrics.registry.get_sample_value("arbutus_link_age_seconds") == 1.5
