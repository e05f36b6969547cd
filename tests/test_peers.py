"""Messages of the coordinator to the instances that are linked to it."""

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node.frames import (
    decode_from_coordinator,
    decode_from_node,
    encode_frame,
)
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    ConfigurationDelta,
    CoordinatorStatus,
    Heartbeat,
    Hello,
    StoreUpdate,
)
from arbutuspulley.node.peers import Peers
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.store_watch import (
    activate_configuration,
    apply_configuration_rows,
    apply_store_update,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.store import StoredRow
from scripts.platform_testbed import build_configuration, build_route
from tests.node_states import build_info, build_position, build_state
from tests.test_relay import build_row

ACTIVATION_LIMIT_MS = 2_000
"""Time within which a change has to be active everywhere, in ms."""

MAX_FRAME_BYTES = 64 * 1_024
"""Size up to which a frame is written without waiting for the receiver."""

LINK_BYTES_PER_MS = 12_500
"""Bandwidth of the coordinator's link: 100 Mbit/s."""


def encode_configuration(version, *, routes):
    """Encode a version that has one route more than the one before."""
    extra = tuple(
        build_route(f"/r{number:05}/{number * 7919:08x}/", "plain", "safe")
        for number in range(routes + version)
    )
    return msgspec.json.encode(build_configuration(version, routes=extra))


class SaturatedLink:
    """The coordinator's link, over which one frame after another goes to each peer.

    A frame whose transmission has begun is no longer changed.
    """

    def __init__(self, peers, links):
        self._peers = peers
        self._links = links
        self._frames = dict.fromkeys(links, b"")
        self._remaining = dict.fromkeys(links, 0)

    def transmit(self, ms):
        """Let time pass; the bandwidth is shared evenly between peers with a frame."""
        capacity = ms * LINK_BYTES_PER_MS
        while capacity > 0:
            self._begin_frames()
            busy = [name for name, remaining in self._remaining.items() if remaining]
            if not busy:
                return
            share = max(1, capacity // len(busy))
            for name in busy:
                sent = min(share, self._remaining[name])
                self._remaining[name] -= sent
                capacity -= sent
                if not self._remaining[name]:
                    frame = decode_from_coordinator(self._frames[name])
                    self._links[name].receive(frame)

    def _begin_frames(self):
        for name, remaining in self._remaining.items():
            frame = [] if remaining else self._peers.get(name).pop_outgoing()
            if frame:
                self._frames[name] = encode_frame(frame)
                self._remaining[name] = len(self._frames[name])


@pytest.mark.parametrize("routes", [200, 1_600])
def test_rapid_configuration_changes_become_active_in_time(routes):
    """Guards against configurations that queue in the coordinator's full link."""
    now = [0]
    clock = Clock(read=lambda: now[0])
    state = build_state(clock=clock)
    activate_configuration(state, encode_configuration(1, routes=routes), by="store")
    relay = Relay(state=state)
    peers = Peers(state=state, relay=relay, receive_local=lambda _messages: None)
    relay.reset()
    state.on_store_update.append(peers.relay_update)
    links = {}
    for number in range(59):
        other = build_state(clock=clock, name=f"n{number}")
        links[other.settings.name] = link = Link(state=other)
        activate_configuration(other, state.configuration_body, by="store")
        # Encoded and decoded, so that the coordinator sees only what is on the wire.
        (hello,) = decode_from_node(encode_frame([link.build_hello()]))
        peers.add(hello)
    link_out = SaturatedLink(peers, links)
    sent_at = {}
    for version in range(2, 14):
        row = StoredRow(
            key=names.CONFIGURATION_KEY,
            position=build_position(version),
            value=encode_configuration(version, routes=routes),
        )
        state.notify_store_update(apply_configuration_rows(state, [row]))
        sent_at[version] = now[0]
        for _ in range(10):
            now[0] += 25
            link_out.transmit(25)
            for link in links.values():
                active_version = link._state.configuration_version
                due = [
                    one
                    for one, at in sent_at.items()
                    if now[0] - at >= ACTIVATION_LIMIT_MS
                ]
                assert active_version >= max(due, default=1)


def test_newly_linked_instance_is_not_ready():
    state = build_state()
    peers = Peers(state=state, relay=Relay(state=state), receive_local=lambda _: None)
    peers.add(Hello(info=build_info("x")))
    assert not peers.get("x").info.is_ready


def build_peers(version):
    """Build a coordinator's peers, with a version of the configuration active."""
    state = build_state()
    activate_configuration(state, encode_configuration(version, routes=9), by="store")
    relay = Relay(state=state)
    return state, Peers(state=state, relay=relay, receive_local=lambda _: None)


@pytest.mark.parametrize("reads_updates", [True, False], ids=["now", "before updates"])
@pytest.mark.parametrize("known", [0, 3, 4])
def test_newly_linked_instance_is_sent_the_configuration(known, reads_updates):
    """Guards against instances that link up with an older version and keep it."""
    state, peers = build_peers(5)
    other = build_state(name="x")
    if known:
        activate_configuration(other, encode_configuration(known, routes=9), by="store")
    hello = Hello(
        info=build_info("x"), configuration=known, reads_updates=reads_updates
    )
    link = Link(state=other)
    link.receive(peers.add(hello).pop_outgoing())
    assert other.configuration_body == state.configuration_body


def test_configuration_is_not_sent_to_an_up_to_date_instance():
    _state, peers = build_peers(5)
    peer = peers.add(Hello(info=build_info("x"), configuration=5))
    assert peer.pop_outgoing() == []
    late = peers.add(Hello(info=build_info("y"), configuration=4))
    peers.handle_heartbeat("y", Heartbeat(is_ready=True, configuration=5))
    assert not any(isinstance(one, ConfigurationDelta) for one in late.pop_outgoing())


def test_configuration_is_sent_before_the_status():
    _state, peers = build_peers(5)
    peer = peers.add(Hello(info=build_info("x"), reads_updates=True))
    peers.send_status(is_holder=True)
    kinds = [type(one) for one in peer.pop_outgoing()]
    assert kinds == [ConfigurationDelta, CoordinatorStatus]


def test_follower_without_store_access_is_replaced():
    """Guards against followers that lose the store one by one until none is left."""
    _state, peers = build_peers(5)
    for name in ("a", "b", "c"):
        peers.add(Hello(info=build_info(name), configuration=5))
        peers.handle_heartbeat(name, Heartbeat(is_ready=True, follows_store=True))
    peers.send_status(is_holder=True)
    assert peers.get("c").pop_outgoing()[-1].followers == ("a", "b")
    peers.handle_heartbeat("a", Heartbeat(is_ready=True, misses_store=True))
    peers.send_status(is_holder=True)
    assert peers.get("c").pop_outgoing()[-1].followers == ("b", "c")


def test_heartbeat_updates_whether_the_store_is_followed():
    _state, peers = build_peers(5)
    peers.add(Hello(info=build_info("a"), configuration=5))
    assert not peers.handle_heartbeat("a", Heartbeat(is_ready=True, follows_store=True))
    assert not peers.is_store_followed()
    peers.send_status(is_holder=True)
    assert peers.is_store_followed()
    assert peers.handle_heartbeat("a", Heartbeat(is_ready=True))
    assert not peers.is_store_followed()
    assert not peers.handle_heartbeat("a", Heartbeat(is_ready=True))


def test_instances_that_link_up_together_get_their_rows_in_small_frames():
    """Guards against a coordinator that runs out of memory, and whose writes time out,
    as hundreds of instances start at once and lack the rows of all servers."""
    state, peers = build_peers(1)
    rows = [build_row(f"s{number}", number + 1) for number in range(3_000)]
    apply_store_update(state, StoreUpdate(rows=tuple(rows)), by="coordinator")
    state.store_position = build_position(3_000)
    peer = peers.add(Hello(info=build_info("x"), configuration=1))
    queued = len(encode_frame(peer.outgoing))
    assert queued < MAX_FRAME_BYTES
    other = build_state()
    link = Link(state=other)
    frames = 0
    peers.send_status(is_holder=True)
    while peer.wake.is_set():
        assert other.store_position < state.store_position
        peer.wake.clear()
        frame = encode_frame(peer.pop_outgoing())
        assert len(frame) < MAX_FRAME_BYTES
        link.receive(decode_from_coordinator(frame))
        frames += 1
        if peer.wake.is_set():
            peers.send_status(is_holder=True)
    assert frames > 10
    assert other.entries == state.entries
    assert other.store_position == state.store_position
