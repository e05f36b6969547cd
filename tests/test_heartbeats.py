"""How old what the coordinator tells is."""

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


def test_what_was_told_is_as_old_as_the_newest_beat_acknowledged():
    echo = HeartbeatTracker(now=100)
    first, second = echo.record_sent(200), echo.record_sent(450)
    assert (first, second) == (1, 2)
    assert echo.get_age(500) == 400
    echo.record_acknowledged(first)
    assert echo.get_age(500) == 300
    echo.record_acknowledged(second)
    echo.record_acknowledged(first)
    assert echo.get_age(500) == 50


@pytest.mark.parametrize("number", [0, 7])
def test_a_number_that_was_not_sent_acknowledges_nothing(number):
    echo = HeartbeatTracker(now=0)
    echo.record_sent(10)
    echo.record_acknowledged(number)
    assert echo.get_age(1_000) == 1_000


def test_each_instance_is_told_of_its_own_last_beat_and_of_the_version_in_force():
    now = [0]
    state = build_state(clock=Clock(read=lambda: now[0]))
    peers = Peers(state=state, relay=Relay(state=state), receive_local=lambda _: None)
    told = {}
    for name, number in (("a", 3), ("b", 8)):
        peers.add(Hello(info=build_info(name)))
        peers.handle_heartbeat(
            name, Heartbeat(is_ready=True, number=number, configuration=1)
        )
    peers.send_status(is_holder=True)
    for name in ("a", "b"):
        (digest,) = [
            one
            for one in peers.get(name).outgoing
            if isinstance(one, CoordinatorStatus)
        ]
        told[name] = digest.beat
    assert told == {"a": 3, "b": 8}
    assert peers.list_behind() == []
    activate_configuration(
        state, msgspec.json.encode(build_configuration(2)), by="store"
    )
    assert peers.list_behind() == ["a", "b"]


def test_a_link_measures_how_late_its_digests_are():
    now = [0]
    state = build_state(clock=Clock(read=lambda: now[0]))
    link = Link(state=state)
    link._echo.record_sent(0)
    now[0] = 1_500
    link.receive([CoordinatorStatus(is_holder=True, beat=1)])
    assert state.metrics.registry.get_sample_value("arbutus_link_age_seconds") == 1.5
