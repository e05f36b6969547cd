"""Delta exchange between peers, and detection of unreachable peers."""

import random
from functools import partial

import pytest

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.controller import exchange
from arbutuspulley.controller.exchange import OutgoingUpdates, PeerState
from arbutuspulley.rpc.messages import (
    EntryAddress,
    InstanceStatus,
    ItemDemand,
    ServerSummary,
    Suspicion,
)

STATUS = InstanceStatus(instance="b", site="s", configuration_version=3)
ENTRY = EntryAddress(instance="b", site="s", address="127.0.0.1:1")


def build_summary(name, *, items=("m@1",), running=0, age_ms=0):
    return ServerSummary(
        server=name,
        site="s",
        address="127.0.0.1:9",
        items=items,
        running=running,
        age_ms=age_ms,
    )


def record(updates, *summaries, suspicions=(), demand=()):
    exchange.record_changes(
        updates,
        servers={summary.server: summary for summary in summaries},
        suspicions=suspicions,
        demand=demand,
    )


def exchange_once(updates, peer, *, now=0, items=(), version=3):
    """Apply the reply to a peer's next request to its state; return the reply."""
    request = exchange.build_request(
        peer, instance="a", configuration_version=version, items=items
    )
    reply = exchange.build_reply(
        updates,
        request,
        instance="b",
        configuration=Configuration(version=3),
        entries=(ENTRY,),
        usage=(),
        status=STATUS,
    )
    exchange.apply_reply(peer, reply, now=now)
    return reply


def test_only_changes_are_sent_and_an_age_is_no_change():
    updates, peer = OutgoingUpdates(epoch="1"), PeerState(address="x:1")
    demand = (ItemDemand(item="m@1", requests=1, tokens=9),)
    record(updates, build_summary("s1"), build_summary("s2"), demand=demand)
    first = exchange_once(updates, peer)
    assert {summary.server for summary in first.servers} == {"s1", "s2"}
    record(updates, build_summary("s1", age_ms=900), build_summary("s2"), demand=demand)
    unchanged = exchange_once(updates, peer)
    assert (unchanged.servers, unchanged.gone, unchanged.demand) == ((), (), None)
    record(updates, build_summary("s1", running=4), demand=())
    changed = exchange_once(updates, peer)
    assert [summary.server for summary in changed.servers] == ["s1"]
    assert changed.gone == ("s2",)
    assert changed.demand == ()
    assert set(peer.servers) == {"s1"}
    assert (peer.entries, peer.demand) == ((ENTRY,), ())


def test_restarted_peer_sends_its_state_from_the_start():
    """A controller restarts and numbers its changes from 1 again.

    A peer that continued from the old number would receive no changes until the new
    number exceeds it, and would keep summaries that are no longer reported.
    """
    old, peer = OutgoingUpdates(epoch="1"), PeerState(address="x:1")
    for running in range(9):
        record(old, build_summary("s1", running=running))
    exchange_once(old, peer)
    new = OutgoingUpdates(epoch="2")
    record(new, build_summary("s2"))
    exchange_once(new, peer)
    assert set(peer.servers) == {"s2"}


def test_late_reply_does_not_overwrite_a_newer_one():
    updates, peer = OutgoingUpdates(epoch="1"), PeerState(address="x:1")
    record(updates, build_summary("s1", running=1))
    late = exchange_once(updates, PeerState(address="x:1"))
    record(updates, build_summary("s1", running=2))
    exchange_once(updates, peer)
    assert not exchange.apply_reply(peer, late, now=5)
    assert peer.servers["s1"].running == 2


@pytest.mark.parametrize(
    ("items", "sent", "gone"),
    [
        ((), {"s1", "s2"}, set()),
        (("m@1",), {"s1"}, {"s2"}),
        (("x@1",), set(), {"s1", "s2"}),
    ],
)
def test_peer_receives_only_servers_that_hold_its_items(items, sent, gone):
    updates, peer = OutgoingUpdates(epoch="1"), PeerState(address="x:1")
    record(updates, build_summary("s1"), build_summary("s2", items=("n@1",)))
    reply = exchange_once(updates, peer, items=items)
    assert {summary.server for summary in reply.servers} == sent
    assert set(reply.gone) == gone


def test_suspicion_is_sent_once_and_again_when_it_changes():
    updates, peer = OutgoingUpdates(epoch="1"), PeerState(address="x:1")
    record(updates, suspicions=(Suspicion(fingerprint="f", deaths=("s1/1",)),))
    sent = [len(exchange_once(updates, peer).suspicions) for _ in range(2)]
    record(updates, suspicions=(Suspicion(fingerprint="f", deaths=("s1/1", "s2/1")),))
    assert [*sent, len(exchange_once(updates, peer).suspicions)] == [1, 0, 1]


@pytest.mark.parametrize(
    ("version", "sent"), [(0, True), (2, True), (3, False), (9, False), (None, False)]
)
def test_configuration_is_sent_to_a_peer_with_an_older_one(version, sent):
    reply = exchange_once(
        OutgoingUpdates(epoch="1"), PeerState(address="x:1"), version=version
    )
    assert (reply.configuration is not None) is sent
    assert reply.configuration_version == 3


def test_full_configuration_is_fetched_from_one_reachable_newest_peer():
    """A change is accepted, and already active on all peers but this instance.

    If each peer sent the full configuration, one change would transfer as many copies
    as there are peers.
    """
    versions = {"x:1": 4, "x:2": 5, "x:3": 5, "x:4": 9}
    peers = [
        PeerState(address=address, configuration_version=version, replied_at=5_000)
        for address, version in versions.items()
    ]
    peers[3].replied_at = 0
    choose = partial(
        exchange.choose_configuration_source, peers, now=5_000, rng=random.Random(1)
    )
    assert choose(version=3).address in ("x:2", "x:3")
    assert choose(version=5) is None


def test_peer_is_unreachable_before_its_first_reply_and_after_the_timeout():
    peer = PeerState(address="x:1")
    assert exchange.is_unreachable(peer, now=0)
    exchange_once(OutgoingUpdates(epoch="1"), peer, now=1_000)
    assert not exchange.is_unreachable(peer, now=1_000 + exchange.PEER_TIMEOUT_MS)
    assert exchange.is_unreachable(peer, now=1_001 + exchange.PEER_TIMEOUT_MS)
