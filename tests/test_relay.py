"""What the store tells few instances reaches all, once and never backwards."""

import asyncio
import itertools
import random
from types import SimpleNamespace

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node import store_watch
from arbutuspulley.node.link import HEARTBEAT_MS, Link
from arbutuspulley.node.messages import (
    ConfigurationDelta,
    CoordinatorStatus,
    Hello,
    RelayedRow,
    StoreUpdate,
    decode_from_coordinator,
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
from tests.node_states import build_info, build_state

IN_FORCE_WITHIN_MS = 2_000
"""A change has to be in force everywhere within this time."""


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


def test_rows_that_come_in_any_order_end_the_same():
    """The store's changes reach an instance by its own call, by the coordinator and by
    way of a follower; after a change of coordinator older ones come once more. A server
    that has left came back and got requests."""
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


def test_a_whole_reading_drops_nothing_that_is_newer():
    """All rows are read while the relay tells of a server that has just come."""
    state = build_state()
    apply_store_update(
        state,
        StoreUpdate(rows=(build_row("new", 9), build_row("old", 3))),
        by="coordinator",
    )
    read = [StoredRow(key="c", version=4, value=build_value())]
    apply_server_rows(state, read, is_whole=True, was_away=False, version=8)
    assert set(state.entries) == {"new", "c"}


def test_only_what_was_new_is_handed_on():
    state = build_state()
    first = StoreUpdate(rows=(build_row("a", 1), build_row("b", 2)))
    assert apply_store_update(state, first, by="coordinator").rows == first.rows
    again = StoreUpdate(rows=(*first.rows, build_row("a", 3, state="draining")))
    assert [
        one.version for one in apply_store_update(state, again, by="coordinator").rows
    ] == [3]


def test_configurations_go_upward_only_by_relay_too():
    state = build_state()
    bodies = [msgspec.json.encode(build_configuration(one)) for one in (4, 3, 4)]
    told = [
        apply_store_update(state, StoreUpdate(configuration=one), by="coordinator")
        for one in bodies
    ]
    assert [bool(one.configuration) for one in told] == [True, False, False]
    assert state.configuration.version == 4


def build_relay(*, now):
    state = build_state(clock=Clock(read=lambda: now[0]))
    relay = Relay(state=state)
    relay.begin()
    return state, relay


def test_what_servers_hold_is_told_later_and_all_else_at_once():
    """Each load changes a server's row. At 56 servers under load each change went to
    each of 72 instances, 12 KB a second; only a server that comes, drains or goes
    matters to instances that ask the coordinator."""
    now = [0]
    state, relay = build_relay(now=now)
    come = apply_store_update(
        state, StoreUpdate(rows=(build_row("a", 1),)), by="coordinator"
    )
    assert relay.select(come).rows == come.rows
    state.store_version = 2
    held = apply_store_update(
        state, StoreUpdate(rows=(build_row("a", 2, models=("m0",)),)), by="coordinator"
    )
    assert relay.select(held) is None
    # Whoever goes on by itself must ask the store for what was held back.
    assert relay.store_version == 1
    assert relay.flush(DEFERRED_INTERVAL_MS - 1) is None
    assert relay.flush(DEFERRED_INTERVAL_MS).rows == held.rows
    assert relay.store_version == 2
    drains = StoreUpdate(rows=(build_row("a", 3, state="draining"),))
    assert (
        relay.select(apply_store_update(state, drains, by="coordinator")).rows
        == drains.rows
    )


def test_what_is_told_of_servers_is_bounded_and_the_oldest_goes_first():
    """With 580 servers under load, what they hold would take 65 KB a second of each
    link, where 4 are for control."""
    state, relay = build_relay(now=[0])
    rows = tuple(build_row(f"s{one:02}", one + 1) for one in range(80))
    apply_store_update(state, StoreUpdate(rows=rows), by="coordinator")
    held = tuple(build_row(f"s{one:02}", one + 81, models=("m0",)) for one in range(80))
    relay.select(apply_store_update(state, StoreUpdate(rows=held), by="coordinator"))
    state.store_version = 160
    told = relay.flush(DEFERRED_INTERVAL_MS).rows
    assert sum(len(row.value) for row in told) <= DEFERRED_BATCH_BYTES
    assert told == held[: len(told)] and len(told) < len(held)
    assert relay.store_version == held[len(told)].version - 1
    again = relay.flush(2 * DEFERRED_INTERVAL_MS).rows
    assert again == held[len(told) : len(told) + len(again)]


def test_a_row_that_was_held_back_gives_way_to_a_newer_one():
    state, relay = build_relay(now=[0])
    apply_store_update(state, StoreUpdate(rows=(build_row("a", 1),)), by="coordinator")
    quiet = apply_store_update(
        state, StoreUpdate(rows=(build_row("a", 2, models=("m0",)),)), by="coordinator"
    )
    relay.select(quiet)
    gone = apply_store_update(
        state, StoreUpdate(rows=(RelayedRow(key="a", version=3),)), by="coordinator"
    )
    assert relay.select(gone).rows == gone.rows
    assert relay.flush(DEFERRED_INTERVAL_MS) is None


def test_an_instance_that_links_up_is_told_what_it_misses():
    state, relay = build_relay(now=[0])
    activate_configuration(
        state, msgspec.json.encode(build_configuration(5)), by="store"
    )
    rows = (build_row("a", 1), build_row("b", 2), RelayedRow(key="c", version=7))
    apply_store_update(state, StoreUpdate(rows=rows), by="coordinator")
    info = build_info("x")
    news = relay.build_catch_up(Hello(info=info, store_version=1, configuration=4))
    assert {one.key for one in news.rows} == {"b", "c"}
    assert (
        relay.build_catch_up(Hello(info=info, store_version=7, configuration=5)) is None
    )
    other = build_state()
    apply_store_update(
        other, StoreUpdate(rows=list_rows(state, after=0)), by="coordinator"
    )
    assert get_view(other) == get_view(state)


def test_followers_stand_in_other_data_centres_and_stay():
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


class StoreTrial:
    """A store that answers at once and counts the calls."""

    is_failing = False

    def __init__(self):
        self.calls = []

    async def read(self, table):
        self.calls.append("read")
        row = StoredRow(key="a", version=3, value=build_value())
        return RowsAnswer(rows=[row], version=3, now_ms=0)

    async def wait_for_changes(self, table, *, after):
        self.calls.append(after)
        await asyncio.sleep(3_600)


def test_an_instance_asks_the_store_only_while_it_is_not_told(monkeypatch):
    """Each of 72 instances kept two calls open at the store, 10,000 calls in a calm
    minute. They ask when the relay is lost, from where it left off."""
    monkeypatch.setattr(store_watch, "RELAY_POLL_MS", 1)
    monkeypatch.setattr(store_watch, "MIN_FALLBACK_DELAY_MS", 2)
    monkeypatch.setattr(store_watch, "MAX_FALLBACK_DELAY_MS", 4)

    async def scenario():
        state = build_state()
        state.store = StoreTrial()
        relayed = [True]
        task = asyncio.create_task(
            follow_servers(state, is_store_relayed=lambda: relayed[0])
        )
        await asyncio.sleep(0.03)
        assert state.store.calls == []
        state.store_version = 11
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
def test_a_process_that_starts_looks_for_a_coordinator_first(
    monkeypatch, found, expected
):
    """All instances start, and each asked the store for changes before it had heard of
    the coordinator that tells it: a third of all calls of a calm day. If it hears of
    none it asks the store after a moment."""
    monkeypatch.setattr(store_watch, "RELAY_POLL_MS", 1)
    monkeypatch.setattr(
        store_watch, "FIRST_COORDINATOR_WAIT_MS", 30_000 if found else 500
    )
    monkeypatch.setattr(store_watch, "CHANGE_BATCH_MS", 0)

    async def scenario():
        state = build_state()
        state.store = StoreTrial()
        heard = []
        task = asyncio.create_task(
            follow_servers(
                state,
                is_store_relayed=lambda: bool(heard),
                is_starting=lambda: not heard,
            )
        )
        await asyncio.sleep(0.01)
        assert state.store.calls == ["read"]
        if found:
            heard.append(True)
            await asyncio.sleep(0.06)
        async with asyncio.timeout(10):
            while len(state.store.calls) < len(expected):
                await asyncio.sleep(0.01)
        assert state.store.calls == expected
        task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("digest", "expected"),
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
    ids=["told", "nobody is told", "a follower itself"],
)
def test_who_relies_on_the_relay(digest, expected):
    now = [0]
    link = Link(state=build_state(clock=Clock(read=lambda: now[0])))
    link.receive([digest])
    assert link.is_store_relayed is expected
    now[0] += 5_000
    assert not link.is_store_relayed


def build_link(version=0, **settings):
    """Build a link of an instance that has a version in force, and its time."""
    now = [0]
    state = build_state(clock=Clock(read=lambda: now[0]), **settings)
    state.store = SimpleNamespace(is_failing=False, is_result_recent=False)
    if version:
        activate_configuration(state, encode_version(version), by="store")
    return now, state, Link(state=state)


def encode_version(version):
    return msgspec.json.encode(build_configuration(version))


def build_digest(**fields):
    return CoordinatorStatus(is_holder=True, is_store_followed=True, **fields)


def test_a_coordinator_that_has_a_newer_configuration_than_it_told_is_not_relied_on():
    """Guards against an update that did not fit and is never asked for again."""
    _now, state, link = build_link(4)
    link.receive([build_digest(configuration=5)])
    assert not link.is_store_relayed
    activate_configuration(state, encode_version(5), by="store")
    assert link.is_store_relayed


def test_a_coordinator_whose_word_comes_late_is_not_relied_on():
    """Guards against digests that come at their intervals, each behind a full link."""
    now, _state, link = build_link()
    beats = []
    for _ in range(20):
        beats.append(link.build_heartbeat().number)
        link.receive([build_digest(beat=beats[-1])])
        now[0] += HEARTBEAT_MS
        assert link.is_store_relayed
    late = beats[-1]
    lost_after = 0
    for _ in range(20):
        link.build_heartbeat()
        link.receive([build_digest(beat=late)])
        now[0] += HEARTBEAT_MS
        lost_after += HEARTBEAT_MS
        if not link.is_store_relayed:
            break
    assert link.is_up
    assert not link.is_store_relayed
    wait = lost_after + RELAY_POLL_MS + MAX_FALLBACK_DELAY_MS
    assert wait < IN_FORCE_WITHIN_MS


def test_a_new_link_is_not_late_before_it_has_been_heard():
    now, _state, link = build_link()
    link.receive([build_digest(beat=link.build_heartbeat().number)])
    now[0] += 60_000
    link.reset_coordinator_state()
    link.receive([build_digest()])
    assert link.is_store_relayed


def test_a_follower_hands_on_what_it_is_told_by_the_store():
    """The coordinator is cut off from the store, and nobody has noticed yet."""
    state = build_state()
    link = Link(state=state)
    news = StoreUpdate(rows=(build_row("a", 1),))
    link.receive([CoordinatorStatus(is_holder=True, is_store_followed=True)])
    state.notify_store_update(news)
    assert link._outgoing == []
    link.receive([CoordinatorStatus(is_holder=True, followers=("own",))])
    state.notify_store_update(news)
    assert link._outgoing == [news]


def take_update_of(link):
    """Return the versions that a link has told its coordinator since the last time."""
    sent = [one for one in link._outgoing if isinstance(one, ConfigurationDelta)]
    link._outgoing.clear()
    return [(one.base, one.version) for one in sent]


def test_an_instance_tells_a_coordinator_that_has_an_older_configuration():
    """Guards against a new coordinator that is cut off from the store and holds all
    others back, though one of them was told by the store before the link was there."""
    _now, state, link = build_link(4)
    activate_configuration(state, encode_version(5), by="store")
    link.reset_coordinator_state()
    link.receive([build_digest(configuration=4)])
    assert take_update_of(link) == [(4, 5)]
    link.receive([build_digest(configuration=4)])
    assert take_update_of(link) == []
    link.reset_coordinator_state()
    link.receive([build_digest(configuration=4)])
    assert take_update_of(link) == [(4, 5)]
    link.receive([build_digest(configuration=5)])
    assert take_update_of(link) == []


def test_a_change_is_told_at_once_by_whom_the_store_tells():
    _now, state, link = build_link(4)
    link.reset_coordinator_state()
    link.receive([build_digest(configuration=4, followers=("own",))])
    assert take_update_of(link) == []
    row = StoredRow(key=names.CONFIGURATION_KEY, version=9, value=encode_version(6))
    state.notify_store_update(store_watch.apply_configuration_rows(state, [row]))
    assert take_update_of(link) == [(4, 6)]


@pytest.mark.parametrize(("followers", "told"), [((), False), (("own",), True)])
def test_a_coordinator_without_a_configuration_is_told_by_followers(followers, told):
    """One that has just started, or does not understand updates, gets the whole; not
    from all instances at once."""
    _now, state, link = build_link(4)
    link.reset_coordinator_state()
    link.receive([build_digest(followers=followers)])
    expected = [StoreUpdate(configuration=state.configuration_body)]
    assert link._outgoing == (expected if told else [])


def test_a_follower_that_loses_the_store_says_so_at_once():
    """Guards against a quarter of a second in which all others still wait."""
    _now, state, link = build_link()
    link.receive([build_digest(followers=("own",))])
    link._outgoing.clear()
    state.notify_store_lost()
    (beat,) = link._outgoing
    assert not beat.follows_store


@pytest.mark.parametrize(("instances", "longest"), [(0, 160), (6, 210), (400, 600)])
def test_few_instances_ask_the_store_soon_and_many_spread_out(instances, longest):
    assert store_watch.get_max_fallback_delay_ms(instances) == longest


def test_a_table_that_has_long_told_nothing_is_not_followed():
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


DIGEST = CoordinatorStatus(is_holder=True, instances=3)


@pytest.mark.parametrize(
    "strange",
    [
        {"type": "later", "field": 1},
        {"type": "granted", "key": 4},
        {"type": "digest"},
        ["no", "message"],
        17,
    ],
    ids=["unknown kind", "wrong type", "field missing", "a list", "a number"],
)
def test_a_message_of_another_version_takes_no_other_along(strange):
    """A release rolls through 195 instances. One message that the older ones don't know
    cost them the whole frame and the link, again and again."""
    frame = encode(DIGEST, strange, DIGEST)
    assert decode_from_coordinator(frame) == [DIGEST, DIGEST]


@pytest.mark.parametrize("frame", [b"", b"\xc1", encode(DIGEST)[:-3], b"\x01"])
def test_bytes_that_are_no_frame_are_refused(frame):
    with pytest.raises(msgspec.MsgspecError):
        decode_from_coordinator(frame)


def test_random_bytes_raise_nothing_else():
    chance = random.Random(7)
    good = encode(DIGEST, StoreUpdate(rows=(build_row("a", 1),)))
    for _ in range(2_000):
        frame = bytearray(good)
        for _ in range(chance.randrange(1, 4)):
            frame[chance.randrange(len(frame))] = chance.randrange(256)
        try:
            decode_from_coordinator(bytes(frame))
        except msgspec.MsgspecError:
            continue
