"""Relayed store updates: all instances converge to the newest version of each row."""

import asyncio
import itertools
import random
from types import SimpleNamespace

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node import store_watch
from arbutuspulley.node.frames import decode_from_coordinator
from arbutuspulley.node.link import HEARTBEAT_MS, Link
from arbutuspulley.node.messages import (
    ConfigurationDelta,
    CoordinatorStatus,
    Hello,
    RelayedRow,
    StoreUpdate,
)
from arbutuspulley.node.relay import DEFERRED_BATCH_BYTES, DEFERRED_INTERVAL_MS, Relay
from arbutuspulley.node.server_rows import apply_server_rows, list_rows
from arbutuspulley.node.store_watch import (
    FOLLOW_TIMEOUT_MS,
    MAX_FALLBACK_DELAY_MS,
    RELAY_POLL_MS,
    activate_configuration,
    apply_store_update,
    follow_servers,
    is_following_store,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.store import RowsAnswer, StoredRow
from scripts.platform_testbed import build_configuration
from tests.node_states import build_info, build_position, build_state

ACTIVATION_LIMIT_MS = 2_000
"""Time within which a change has to be active everywhere, in ms."""


def build_value(*, state="ready", models=()):
    value = {"Service": "s", "Address": "10.0.0.1:1", "State": state}
    value |= {"Zone": "z", "Slots": 4}
    value["Models"] = [{"Name": one, "Version": 1, "Adapters": []} for one in models]
    return msgspec.json.encode(value)


def build_row(name, version, **changes):
    return RelayedRow(key=name, version=version, value=build_value(**changes))


def get_view(state):
    return {
        name: (entry.is_leaving, tuple(one.model for one in entry.loaded_models))
        for name, entry in state.entries.items()
    }


def test_rows_converge_in_any_order():
    """Changes of the store reach an instance by its own call, from the coordinator and
    through a follower; after a change of coordinator older ones arrive once more. A
    server that had left was listed again and got requests."""
    rows = [
        build_row("a", 1),
        build_row("a", 3, state="draining"),
        RelayedRow(key="a", version=5),
        build_row("b", 2),
        build_row("b", 4, models=("m0",)),
    ]
    for order in itertools.permutations(rows):
        state = build_state()
        for row in (*order, order[0]):
            apply_store_update(state, StoreUpdate(rows=(row,)), by="coordinator")
        assert get_view(state) == {"b": (False, ("m0",))}


def test_full_read_keeps_newer_relayed_rows():
    """All rows are read while the relay reports a server that has just registered."""
    state = build_state()
    apply_store_update(
        state,
        StoreUpdate(rows=(build_row("new", 9), build_row("old", 3))),
        by="coordinator",
    )
    read = [StoredRow(key="c", position=build_position(4), value=build_value())]
    apply_server_rows(
        state,
        read,
        is_full_read=True,
        was_unavailable=False,
        position=build_position(8),
    )
    assert set(state.entries) == {"new", "c"}


def test_only_new_rows_are_relayed():
    state = build_state()
    first = StoreUpdate(rows=(build_row("a", 1), build_row("b", 2)))
    assert apply_store_update(state, first, by="coordinator").rows == first.rows
    again = StoreUpdate(rows=(*first.rows, build_row("a", 3, state="draining")))
    assert [
        one.version for one in apply_store_update(state, again, by="coordinator").rows
    ] == [3]


def test_relayed_configuration_versions_only_increase():
    state = build_state()
    bodies = [msgspec.json.encode(build_configuration(one)) for one in (4, 3, 4)]
    relayed = [
        apply_store_update(state, StoreUpdate(configuration=one), by="coordinator")
        for one in bodies
    ]
    assert [bool(one.configuration) for one in relayed] == [True, False, False]
    assert state.configuration.version == 4


def build_relay(*, now):
    state = build_state(clock=Clock(read=lambda: now[0]))
    relay = Relay(state=state)
    relay.reset()
    return state, relay


def test_changes_of_loaded_models_are_deferred_and_others_relayed_at_once():
    """Each load changes a server's row. At 56 servers under load each change went to
    each of 72 instances, 12 KB a second; only a server that joins, drains or leaves
    matters to instances with a coordinator."""
    now = [0]
    state, relay = build_relay(now=now)
    joined = apply_store_update(
        state, StoreUpdate(rows=(build_row("a", 1),)), by="coordinator"
    )
    assert relay.select_urgent(joined).rows == joined.rows
    state.store_position = build_position(2)
    deferred = apply_store_update(
        state, StoreUpdate(rows=(build_row("a", 2, models=("m0",)),)), by="coordinator"
    )
    assert relay.select_urgent(deferred) is None
    # An instance without a coordinator must read the deferred rows from the store.
    assert relay.store_position == build_position(1)
    assert relay.flush(DEFERRED_INTERVAL_MS - 1) is None
    assert relay.flush(DEFERRED_INTERVAL_MS).rows == deferred.rows
    assert relay.store_position == build_position(2)
    drains = StoreUpdate(rows=(build_row("a", 3, state="draining"),))
    assert (
        relay.select_urgent(apply_store_update(state, drains, by="coordinator")).rows
        == drains.rows
    )


def test_deferred_batch_is_bounded_and_oldest_first():
    """With 580 servers under load, changes of loaded models would take 65 KB a second
    of each link, where 4 are for control traffic."""
    state, relay = build_relay(now=[0])
    rows = tuple(build_row(f"s{one:02}", one + 1) for one in range(80))
    apply_store_update(state, StoreUpdate(rows=rows), by="coordinator")
    deferred = tuple(
        build_row(f"s{one:02}", one + 81, models=("m0",)) for one in range(80)
    )
    relay.select_urgent(
        apply_store_update(state, StoreUpdate(rows=deferred), by="coordinator")
    )
    state.store_position = build_position(160)
    relayed = relay.flush(DEFERRED_INTERVAL_MS).rows
    assert sum(len(row.value) for row in relayed) <= DEFERRED_BATCH_BYTES
    assert relayed == deferred[: len(relayed)] and len(relayed) < len(deferred)
    assert relay.store_position == build_position(deferred[len(relayed)].version - 1)
    again = relay.flush(2 * DEFERRED_INTERVAL_MS).rows
    assert again == deferred[len(relayed) : len(relayed) + len(again)]


def test_newer_row_replaces_a_deferred_row():
    state, relay = build_relay(now=[0])
    apply_store_update(state, StoreUpdate(rows=(build_row("a", 1),)), by="coordinator")
    deferred = apply_store_update(
        state, StoreUpdate(rows=(build_row("a", 2, models=("m0",)),)), by="coordinator"
    )
    relay.select_urgent(deferred)
    removed = apply_store_update(
        state, StoreUpdate(rows=(RelayedRow(key="a", version=3),)), by="coordinator"
    )
    assert relay.select_urgent(removed).rows == removed.rows
    assert relay.flush(DEFERRED_INTERVAL_MS) is None


def test_newly_linked_instance_is_sent_missing_rows():
    state, relay = build_relay(now=[0])
    activate_configuration(
        state, msgspec.json.encode(build_configuration(5)), by="store"
    )
    rows = (build_row("a", 1), build_row("b", 2), RelayedRow(key="c", version=7))
    apply_store_update(state, StoreUpdate(rows=rows), by="coordinator")
    info = build_info("x")
    missing = relay.list_missing_rows(Hello(info=info, store_version=1))
    assert {one.key for one in relay.build_rows(missing).rows} == {"b", "c"}
    assert relay.list_missing_rows(Hello(info=info, store_version=7)) == []
    other = build_state()
    apply_store_update(
        other,
        StoreUpdate(rows=list_rows(state, after=build_position(0))),
        by="coordinator",
    )
    assert get_view(other) == get_view(state)


def test_followers_are_in_other_data_centres_and_are_kept():
    _state, relay = build_relay(now=[0])
    peers = [
        build_info("near", site="a1", capacity=9.0),
        build_info("b", site="b1", capacity=2.0),
        build_info("b2", site="b1", capacity=3.0),
        build_info("c", site="c1", capacity=0.1),
    ]
    relay.choose_followers(peers)
    assert relay.followers == ("b2", "c")
    relay.choose_followers([*peers, build_info("c2", site="c1", capacity=5.0)])
    assert relay.followers == ("b2", "c")
    relay.choose_followers([one for one in peers if one.name != "b2"])
    assert relay.followers == ("c", "b")
    relay.choose_followers(peers[:1])
    assert relay.followers == ("near",)


class FakeStore:
    """A store that answers at once and records the calls."""

    is_failing = False

    def __init__(self):
        self.calls = []

    async def read(self, table):
        self.calls.append("read")
        row = StoredRow(key="a", position=build_position(3), value=build_value())
        return RowsAnswer(rows=[row], position=build_position(3), now_ms=0)

    async def wait_for_changes(self, table, *, after, wait_ms):
        self.calls.append(after.version)
        await asyncio.sleep(3_600)


def test_instance_follows_the_store_only_without_a_relay(monkeypatch):
    """Each of 72 instances kept two calls open at the store, 10,000 calls in a calm
    minute. They now call it when the relay is lost, from the last version they know."""
    monkeypatch.setattr(store_watch, "RELAY_POLL_MS", 1)
    monkeypatch.setattr(store_watch, "MIN_FALLBACK_DELAY_MS", 2)
    monkeypatch.setattr(store_watch, "MAX_FALLBACK_DELAY_MS", 4)

    async def scenario():
        state = build_state()
        state.store = FakeStore()
        relayed = [True]
        task = asyncio.create_task(
            follow_servers(state, is_store_relayed=lambda: relayed[0])
        )
        await asyncio.sleep(0.03)
        assert state.store.calls == []
        state.store_position = build_position(11)
        relayed[0] = False
        await asyncio.sleep(0.05)
        assert state.store.calls == [11]
        task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("found", "expected"),
    [(True, ["read"]), (False, ["read", 3])],
    ids=["one that relays", "none"],
)
def test_starting_process_waits_for_a_coordinator_before_following_the_store(
    monkeypatch, found, expected
):
    """All instances start, and each called the store for changes before it had found
    the coordinator that relays them: a third of all calls of a calm day. Without a
    coordinator, an instance calls the store after a moment."""
    monkeypatch.setattr(store_watch, "RELAY_POLL_MS", 1)
    monkeypatch.setattr(
        store_watch, "FIRST_COORDINATOR_WAIT_MS", 30_000 if found else 500
    )
    monkeypatch.setattr(store_watch, "CHANGE_BATCH_MS", 0)

    async def scenario():
        state = build_state()
        state.store = FakeStore()
        coordinators = []
        task = asyncio.create_task(
            follow_servers(
                state,
                is_store_relayed=lambda: bool(coordinators),
                is_starting=lambda: not coordinators,
            )
        )
        await asyncio.sleep(0.01)
        assert state.store.calls == ["read"]
        if found:
            coordinators.append(True)
            await asyncio.sleep(0.06)
        async with asyncio.timeout(10):
            while len(state.store.calls) < len(expected):
                await asyncio.sleep(0.01)
        assert state.store.calls == expected
        task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (CoordinatorStatus(is_holder=True, is_store_followed=True), True),
        (CoordinatorStatus(is_holder=True), False),
        (
            CoordinatorStatus(
                is_holder=True, is_store_followed=True, followers=("own",)
            ),
            False,
        ),
    ],
    ids=["followed", "not followed", "by this instance"],
)
def test_store_is_relayed_only_to_instances_that_do_not_follow_it(status, expected):
    now = [0]
    link = Link(state=build_state(clock=Clock(read=lambda: now[0])))
    link.receive([status])
    assert link.is_store_relayed is expected
    now[0] += 5_000
    assert not link.is_store_relayed


def build_link(version=0, **settings):
    """Build a link of an instance with an active version, and its clock's time."""
    now = [0]
    state = build_state(clock=Clock(read=lambda: now[0]), **settings)
    state.store = SimpleNamespace(is_failing=False, is_result_recent=False)
    if version:
        activate_configuration(state, encode_version(version), by="store")
    return now, state, Link(state=state)


def encode_version(version):
    return msgspec.json.encode(build_configuration(version))


def build_status(**fields):
    return CoordinatorStatus(is_holder=True, is_store_followed=True, **fields)


def test_relay_is_not_trusted_if_the_coordinator_has_an_unsent_configuration():
    """Guards against a delta that did not fit and is never requested again."""
    _now, state, link = build_link(4)
    link.receive([build_status(configuration=5)])
    assert not link.is_store_relayed
    activate_configuration(state, encode_version(5), by="store")
    assert link.is_store_relayed


def test_relay_is_not_trusted_if_the_status_is_late():
    """Guards against status messages that come at their intervals, each behind a full
    link."""
    now, _state, link = build_link()
    heartbeats = []
    for _ in range(20):
        heartbeats.append(link.build_heartbeat().number)
        link.receive([build_status(beat=heartbeats[-1])])
        now[0] += HEARTBEAT_MS
        assert link.is_store_relayed
    late = heartbeats[-1]
    lost_after = 0
    for _ in range(20):
        link.build_heartbeat()
        link.receive([build_status(beat=late)])
        now[0] += HEARTBEAT_MS
        lost_after += HEARTBEAT_MS
        if not link.is_store_relayed:
            break
    assert link.is_up
    assert not link.is_store_relayed
    wait = lost_after + RELAY_POLL_MS + MAX_FALLBACK_DELAY_MS
    assert wait < ACTIVATION_LIMIT_MS


def test_new_link_is_not_late_before_the_first_acknowledgement():
    now, _state, link = build_link()
    link.receive([build_status(beat=link.build_heartbeat().number)])
    now[0] += 60_000
    link.reset_coordinator_state()
    link.receive([build_status()])
    assert link.is_store_relayed


def test_follower_relays_store_updates():
    """The coordinator is disconnected from the store, which is not detected yet."""
    state = build_state()
    link = Link(state=state)
    update = StoreUpdate(rows=(build_row("a", 1),))
    link.receive([CoordinatorStatus(is_holder=True, is_store_followed=True)])
    state.notify_store_update(update)
    assert link._outgoing == []
    link.receive([CoordinatorStatus(is_holder=True, followers=("own",))])
    state.notify_store_update(update)
    assert link._outgoing == [update]


def pop_sent_versions(link):
    """Return the versions that a link has sent its coordinator since the last call."""
    sent = [one for one in link._outgoing if isinstance(one, ConfigurationDelta)]
    link._outgoing.clear()
    return [(one.base, one.version) for one in sent]


def test_instance_sends_its_newer_configuration_to_the_coordinator():
    """Guards against a new coordinator without store access that delays all instances,
    though one of them received the change from the store before its link was open."""
    _now, state, link = build_link(4)
    activate_configuration(state, encode_version(5), by="store")
    link.reset_coordinator_state()
    link.receive([build_status(configuration=4)])
    assert pop_sent_versions(link) == [(4, 5)]
    link.receive([build_status(configuration=4)])
    assert pop_sent_versions(link) == []
    link.reset_coordinator_state()
    link.receive([build_status(configuration=4)])
    assert pop_sent_versions(link) == [(4, 5)]
    link.receive([build_status(configuration=5)])
    assert pop_sent_versions(link) == []


def test_follower_sends_a_configuration_change_at_once():
    _now, state, link = build_link(4)
    link.reset_coordinator_state()
    link.receive([build_status(configuration=4, followers=("own",))])
    assert pop_sent_versions(link) == []
    row = StoredRow(
        key=names.CONFIGURATION_KEY, position=build_position(9), value=encode_version(6)
    )
    state.notify_store_update(store_watch.apply_configuration_rows(state, [row]))
    assert pop_sent_versions(link) == [(4, 6)]


@pytest.mark.parametrize(("followers", "relayed"), [((), False), (("own",), True)])
def test_only_followers_send_the_full_configuration_to_a_coordinator(
    followers, relayed
):
    """A coordinator that has just started, or does not understand deltas, gets the full
    configuration, but not from all instances at once."""
    _now, state, link = build_link(4)
    link.reset_coordinator_state()
    link.receive([build_status(followers=followers)])
    expected = [StoreUpdate(configuration=state.configuration_body)]
    assert link._outgoing == (expected if relayed else [])


def test_follower_reports_store_loss_at_once():
    """Guards against a quarter of a second in which all other instances still wait."""
    _now, state, link = build_link()
    link.receive([build_status(followers=("own",))])
    link._outgoing.clear()
    state.notify_store_lost()
    (heartbeat,) = link._outgoing
    assert not heartbeat.follows_store


@pytest.mark.parametrize(("instances", "longest"), [(0, 160), (6, 210), (400, 600)])
def test_fallback_delay_grows_with_the_number_of_instances(instances, longest):
    assert store_watch.get_max_fallback_delay_ms(instances) == longest


def test_table_without_recent_answers_is_not_followed():
    now = [0]
    state = build_state(clock=Clock(read=lambda: now[0]))
    assert not is_following_store(state)
    state.followed_at = {names.OPERATOR_TABLE: 0, names.SERVERS_TABLE: 0}
    now[0] = FOLLOW_TIMEOUT_MS - 1
    assert is_following_store(state)
    now[0] = FOLLOW_TIMEOUT_MS
    assert not is_following_store(state)


def encode(*messages):
    return msgspec.msgpack.encode(list(messages))


STATUS = CoordinatorStatus(is_holder=True, instances=3)


@pytest.mark.parametrize(
    "invalid",
    [
        {"type": "later", "field": 1},
        {"type": "granted", "key": 4},
        {"type": "digest"},
        ["no", "message"],
        17,
    ],
    ids=["unknown kind", "wrong type", "field missing", "a list", "a number"],
)
def test_unknown_message_does_not_affect_the_rest_of_its_frame(invalid):
    """A release is rolled out to 195 instances. One message that the older ones did not
    know cost them the whole frame and the link, again and again."""
    frame = encode(STATUS, invalid, STATUS)
    assert decode_from_coordinator(frame) == [STATUS, STATUS]


@pytest.mark.parametrize("frame", [b"", b"\xc1", encode(STATUS)[:-3], b"\x01"])
def test_malformed_frame_is_rejected(frame):
    with pytest.raises(msgspec.MsgspecError):
        decode_from_coordinator(frame)


def test_corrupted_frames_raise_msgspec_errors_only():
    rng = random.Random(7)
    good = encode(STATUS, StoreUpdate(rows=(build_row("a", 1),)))
    for _ in range(2_000):
        frame = bytearray(good)
        for _ in range(rng.randrange(1, 4)):
            frame[rng.randrange(len(frame))] = rng.randrange(256)
        try:
            decode_from_coordinator(bytes(frame))
        except msgspec.MsgspecError:
            continue
