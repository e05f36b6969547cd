"""What the coordinator tells the instances that are linked to it."""

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    ConfigurationDelta,
    CoordinatorStatus,
    Heartbeat,
    Hello,
    decode_from_coordinator,
    decode_from_node,
    encode_frame,
)
from arbutuspulley.node.peers import Peers
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.store_watch import (
    activate_configuration,
    apply_configuration_rows,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.store import StoredRow
from scripts.platform_testbed import build_configuration, build_route
from tests.node_states import build_info, build_state

IN_FORCE_WITHIN_MS = 2_000
"""A change has to be in force everywhere within this time."""

LINK_BYTES_PER_MS = 12_500
"""What the coordinator's link carries: 100 Mbit/s."""


def encode_configuration(version, *, routes):
    """Encode a version that has one route more than the one before."""
    extra = tuple(
        build_route(f"/r{number:05}/{number * 7919:08x}/", "plain", "safe")
        for number in range(routes + version)
    )
    return msgspec.json.encode(build_configuration(version, routes=extra))


class FullLink:
    """The coordinator's link, over which one frame after another goes to each peer.

    A frame that has begun to go out is no longer changed.
    """

    def __init__(self, peers, links):
        self._peers = peers
        self._links = links
        self._going = dict.fromkeys(links, b"")
        self._left = dict.fromkeys(links, 0)

    def carry(self, ms):
        """Let so much time pass, shared evenly between the peers that are sent to."""
        room = ms * LINK_BYTES_PER_MS
        while room > 0:
            self._begin_frames()
            busy = [name for name, left in self._left.items() if left]
            if not busy:
                return
            part = max(1, room // len(busy))
            for name in busy:
                sent = min(part, self._left[name])
                self._left[name] -= sent
                room -= sent
                if not self._left[name]:
                    frame = decode_from_coordinator(self._going[name])
                    self._links[name].receive(frame)

    def _begin_frames(self):
        for name, left in self._left.items():
            frame = [] if left else self._peers.get(name).take_outgoing()
            if frame:
                self._going[name] = encode_frame(frame)
                self._left[name] = len(self._going[name])


@pytest.mark.parametrize("routes", [200, 1_600])
def test_changes_in_quick_succession_are_in_force_in_time(routes):
    """Guards against configurations that wait in the coordinator's full link."""
    now = [0]
    clock = Clock(read=lambda: now[0])
    state = build_state(clock=clock)
    activate_configuration(state, encode_configuration(1, routes=routes), by="store")
    relay = Relay(state=state)
    peers = Peers(state=state, relay=relay, receive_local=lambda _messages: None)
    relay.begin()
    state.on_store_update.append(peers.tell_news)
    links = {}
    for number in range(59):
        other = build_state(clock=clock, name=f"n{number}")
        links[other.settings.name] = link = Link(state=other)
        activate_configuration(other, state.configuration_body, by="store")
        # As a link begins: what goes over the wire and back is all that is known.
        (hello,) = decode_from_node(encode_frame([link.build_hello()]))
        peers.add(hello)
    link_out = FullLink(peers, links)
    told_at = {}
    for version in range(2, 14):
        row = StoredRow(
            key=names.CONFIGURATION_KEY,
            version=version,
            value=encode_configuration(version, routes=routes),
        )
        state.notify_store_update(apply_configuration_rows(state, [row]))
        told_at[version] = now[0]
        for _ in range(10):
            now[0] += 25
            link_out.carry(25)
            for link in links.values():
                in_force = link._state.configuration_version
                due = [
                    one
                    for one, at in told_at.items()
                    if now[0] - at >= IN_FORCE_WITHIN_MS
                ]
                assert in_force >= max(due, default=1)


def test_an_instance_that_links_up_counts_as_not_taking_callers_yet():
    state = build_state()
    peers = Peers(state=state, relay=Relay(state=state), receive_local=lambda _: None)
    peers.add(Hello(info=build_info("x")))
    assert not peers.get("x").info.is_ready


def build_peers(version):
    """Build a coordinator's peers; a configuration of this version is in force."""
    state = build_state()
    activate_configuration(state, encode_configuration(version, routes=9), by="store")
    relay = Relay(state=state)
    return state, Peers(state=state, relay=relay, receive_local=lambda _: None)


@pytest.mark.parametrize("reads_updates", [True, False], ids=["now", "before updates"])
@pytest.mark.parametrize("known", [0, 3, 4])
def test_an_instance_that_links_up_is_told_the_configuration(known, reads_updates):
    """Guards against instances that link up with an older version and keep it."""
    state, peers = build_peers(5)
    other = build_state(name="x")
    if known:
        activate_configuration(other, encode_configuration(known, routes=9), by="store")
    hello = Hello(
        info=build_info("x"), configuration=known, reads_updates=reads_updates
    )
    link = Link(state=other)
    link.receive(peers.add(hello).take_outgoing())
    assert other.configuration_body == state.configuration_body


def test_an_instance_that_has_the_configuration_is_not_told_it():
    _state, peers = build_peers(5)
    peer = peers.add(Hello(info=build_info("x"), configuration=5))
    assert peer.take_outgoing() == []
    late = peers.add(Hello(info=build_info("y"), configuration=4))
    peers.handle_heartbeat("y", Heartbeat(is_ready=True, configuration=5))
    assert not any(isinstance(one, ConfigurationDelta) for one in late.take_outgoing())


def test_what_speaks_of_a_configuration_comes_after_it():
    _state, peers = build_peers(5)
    peer = peers.add(Hello(info=build_info("x"), reads_updates=True))
    peers.send_status(is_holder=True)
    kinds = [type(one) for one in peer.take_outgoing()]
    assert kinds == [ConfigurationDelta, CoordinatorStatus]


def test_a_follower_that_misses_the_store_is_replaced():
    """Guards against followers that are cut off one by one until none is left."""
    _state, peers = build_peers(5)
    for name in ("a", "b", "c"):
        peers.add(Hello(info=build_info(name), configuration=5))
        peers.handle_heartbeat(name, Heartbeat(is_ready=True, follows_store=True))
    peers.send_status(is_holder=True)
    assert peers.get("c").take_outgoing()[-1].followers == ("a", "b")
    peers.handle_heartbeat("a", Heartbeat(is_ready=True, misses_store=True))
    peers.send_status(is_holder=True)
    assert peers.get("c").take_outgoing()[-1].followers == ("b", "c")


def test_whether_anyone_follows_the_store_is_known_as_a_beat_comes():
    _state, peers = build_peers(5)
    peers.add(Hello(info=build_info("a"), configuration=5))
    assert not peers.handle_heartbeat("a", Heartbeat(is_ready=True, follows_store=True))
    assert not peers.is_store_followed()
    peers.send_status(is_holder=True)
    assert peers.is_store_followed()
    assert peers.handle_heartbeat("a", Heartbeat(is_ready=True))
    assert not peers.is_store_followed()
    assert not peers.handle_heartbeat("a", Heartbeat(is_ready=True))
