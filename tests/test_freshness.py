"""Age of the confirmation that no newer configuration exists, by all paths.

Each test guards against a way in which an instance could keep accepting a revoked key.
"""

from types import SimpleNamespace

import msgspec
import pytest

from arbutuspulley.admission.freshness import MAX_MESSAGE_TIMES, Freshness, MessageTimes
from arbutuspulley.clock import Clock
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import CoordinatorStatus, Heartbeat, Hello
from arbutuspulley.node.peers import Peers
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.store_watch import activate_configuration
from scripts.platform_testbed import build_configuration
from tests.node_states import build_info, build_state


def build_instance(now, *, version=1, **settings):
    state = build_state(clock=Clock(read=lambda: now[0]), **settings)
    state.store = SimpleNamespace(is_failing=False, is_result_recent=False)
    activate_configuration(
        state, msgspec.json.encode(build_configuration(version)), by="store"
    )
    return state


def build_peers(state):
    peers = Peers(state=state, relay=Relay(state=state), receive_local=lambda _: None)
    peers.add(Hello(info=build_info("a")))
    return peers


def send_status(peers):
    """Send a coordinator status and return the one that instance ``a`` gets."""
    peers.get("a").outgoing.clear()
    peers.send_status(is_holder=True)
    return next(
        one for one in peers.get("a").outgoing if isinstance(one, CoordinatorStatus)
    )


def test_a_confirmation_is_as_old_as_its_call():
    freshness = Freshness()
    assert freshness.get_age(5) is None
    assert not freshness.is_within(1_000, now=5)
    freshness.confirm(100, source="store")
    freshness.confirm(50, source="coordinator")
    assert (freshness.get_age(300), freshness.source) == (200, "store")
    assert freshness.is_within(201, now=300)
    assert not freshness.is_within(200, now=300)


def test_message_times_are_kept_for_the_last_messages():
    times = MessageTimes()
    for number in range(1, MAX_MESSAGE_TIMES + 2):
        times.record(number, at=10 * number)
    assert times.find_time(1) is None
    assert times.find_time(2) == 20
    assert times.find_number(39) == 3
    assert times.find_number(None) == 0


def test_a_status_confirms_as_of_a_heartbeat_sent_before_the_store_call():
    """A status that was delayed in a socket must not renew an old confirmation."""
    now = [1_000]
    state = build_instance(now)
    peers = build_peers(state)
    remote = build_instance(now)
    link = Link(state=remote)
    link.reset_coordinator_state()
    first = link.build_heartbeat()
    peers.handle_heartbeat("a", first)
    now[0] = 1_200
    state.freshness.confirm(now[0], source="store")
    now[0] = 1_250
    peers.handle_heartbeat("a", link.build_heartbeat())
    status = send_status(peers)
    assert (status.beat, status.fresh_beat) == (2, 1)
    now[0] = 9_000
    link.receive([status])
    assert remote.freshness.get_age(now[0]) == 8_000


def test_a_coordinator_without_a_confirmation_confirms_nothing():
    """A coordinator that just started, or was frozen, has no current confirmation."""
    now = [1_000]
    state = build_instance(now)
    peers = build_peers(state)
    peers.handle_heartbeat("a", Heartbeat(is_ready=True, number=7))
    assert send_status(peers).fresh_beat == 0
    state.freshness.confirm(900, source="store")
    assert send_status(peers).fresh_beat == 0


def test_a_status_with_a_newer_configuration_confirms_only_once_that_is_active():
    now = [1_000]
    remote = build_instance(now, version=1)
    link = Link(state=remote)
    link.reset_coordinator_state()
    link.build_heartbeat()
    link.receive([CoordinatorStatus(is_holder=True, configuration=2, fresh_beat=1)])
    assert remote.freshness.confirmed_at is None
    activate_configuration(
        remote, msgspec.json.encode(build_configuration(2)), by="store"
    )
    link.receive([CoordinatorStatus(is_holder=True, configuration=2, fresh_beat=1)])
    assert remote.freshness.confirmed_at == 1_000


def test_a_heartbeat_of_the_previous_connection_confirms_nothing():
    """The status of a superseded coordinator refers to heartbeats of another
    connection."""
    now = [1_000]
    remote = build_instance(now)
    link = Link(state=remote)
    link.reset_coordinator_state()
    link.build_heartbeat()
    link.reset_coordinator_state()
    link.receive([CoordinatorStatus(is_holder=True, configuration=1, fresh_beat=1)])
    assert remote.freshness.confirmed_at is None


@pytest.mark.parametrize(
    ("version", "confirmed_at"), [(1, 1_000), (2, 1_000), (3, None)]
)
def test_a_follower_confirms_as_of_a_status_received_before_its_store_call(
    version, confirmed_at
):
    """The coordinator is disconnected from the store; a follower still reaches it."""
    now = [1_000]
    state = build_instance(now, version=2)
    peers = build_peers(state)
    follower = build_instance(now)
    link = Link(state=follower)
    link.reset_coordinator_state()
    link.receive([send_status(peers)])
    now[0] = 1_300
    follower.freshness.confirm(now[0], source="store")
    now[0] = 1_500
    link.receive([send_status(peers)])
    heartbeat = msgspec.structs.replace(link.build_heartbeat(), configuration=version)
    assert heartbeat.vouches == 1
    now[0] = 6_000
    peers.handle_heartbeat("a", heartbeat)
    assert state.freshness.confirmed_at == confirmed_at


def test_an_instance_with_an_old_confirmation_calls_the_store_itself():
    now = [1_000]
    state = build_instance(now, revocation_ms=5_000)
    link = Link(state=state)
    link.receive(
        [CoordinatorStatus(is_holder=True, is_store_followed=True, configuration=1)]
    )
    assert not link.is_store_relayed
    state.freshness.confirm(now[0], source="store")
    assert link.is_store_relayed
    state.freshness.confirmed_at = now[0] - 3_600
    assert not link.is_store_relayed
