"""Server rows of a store that comes back from an older copy, applied without one."""

import asyncio

import msgspec
import pytest

from arbutuspulley.events import Event
from arbutuspulley.node import server_rows
from arbutuspulley.node.messages import Hello, RelayedRow, StoreUpdate
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.server_rows import apply_server_rows, list_rows, load_entries
from arbutuspulley.node.store_watch import apply_store_update
from arbutuspulley.platform.store import StoredRow
from tests.node_states import build_info, build_position, build_state


def build_row(key, version, *, era, state="ready", born=10, slots=4):
    value = {
        "Service": "s",
        "Address": "10.0.0.1:1",
        "State": state,
        "Zone": "z",
        "Slots": slots,
        "born": born,
    }
    return StoredRow(
        key=key,
        position=build_position(version, era=era),
        value=msgspec.json.encode(value),
    )


def build_removal(key, version, *, era):
    return StoredRow(key=key, position=build_position(version, era=era), value=None)


def read_all(state, *rows, version, era):
    return apply_server_rows(
        state,
        list(rows),
        is_full_read=True,
        was_unavailable=False,
        position=build_position(version, era=era),
    )


def receive(state, *rows, version=None, era=None):
    """Apply rows of a poll that was answered at a position."""
    position = (
        rows[-1].position if version is None else build_position(version, era=era)
    )
    return apply_server_rows(
        state, list(rows), is_full_read=False, was_unavailable=False, position=position
    )


def relay(update, to):
    return apply_store_update(to, update, by="coordinator")


def run(scenario):
    asyncio.run(scenario())


@pytest.fixture
def short_delays(monkeypatch):
    monkeypatch.setattr(server_rows, "LAPSED_ENTRY_GRACE_MS", 40)
    monkeypatch.setattr(server_rows, "RESTORED_ENTRY_DELAY_MS", 80)


def catch_up(state, hello, other):
    """Relay to an instance what it lacks by its first message."""
    source = Relay(state=state)
    relay(source.build_rows(source.list_missing_rows(hello)), other)


def test_a_row_of_a_later_era_is_newer_though_its_version_is_lower():
    """Guards against requests to a server whose row that says it is leaving has a
    version below the one of a row that the store has lost."""
    state = build_state()
    read_all(state, build_row("a", 200, era=1), version=220, era=1)
    receive(state, build_row("a", 190, era=2, state="draining"))
    assert state.entries["a"].is_leaving
    assert state.store_position == build_position(190, era=2)


def test_a_row_of_an_earlier_era_that_arrives_late_is_ignored(monkeypatch):
    """Guards against a lost row that an instance which is cut off from the store still
    relays, or that a relay has deferred."""
    logged = []
    monkeypatch.setattr(
        server_rows, "log_event", lambda event, **_fields: logged.append(event)
    )
    state = build_state()
    read_all(state, build_row("a", 180, era=2, state="draining"), version=190, era=2)
    late = RelayedRow(key="a", era=1, version=230, value=build_row("a", 1, era=1).value)
    assert not relay(StoreUpdate(rows=(late,)), state).rows
    assert state.entries["a"].is_leaving
    assert Event.SERVER_ROW_IGNORED in logged


def test_a_server_that_is_leaving_stays_so_though_a_copy_says_it_is_ready():
    """Guards against a copy that is taken for a change of the server's state."""
    state = build_state()
    leaving = build_row("a", 210, era=1, state="draining")
    read_all(state, leaving, build_row("b", 5, era=1), version=220, era=1)
    read_all(
        state,
        build_row("a", 150, era=2),
        build_row("b", 5, era=2),
        version=190,
        era=2,
    )
    assert state.entries["a"].is_leaving
    receive(state, build_row("a", 195, era=2, slots=5))
    assert state.entries["a"].is_leaving
    receive(state, build_row("a", 199, era=2, born=20))
    assert not state.entries["a"].is_leaving


def test_a_removed_server_stays_removed_though_a_copy_lists_it(short_delays):
    """Guards against requests to a server that has gone, until the store removes its
    row once more."""

    async def scenario():
        state = build_state()
        read_all(state, build_row("a", 150, era=1), version=200, era=1)
        receive(state, build_removal("a", 215, era=1))
        read_all(state, build_row("a", 150, era=2), version=190, era=2)
        assert "a" not in state.entries
        receive(state, build_removal("a", 195, era=2))
        await asyncio.sleep(0.12)
        assert "a" not in state.entries

    run(scenario)


def test_a_removed_server_that_stays_listed_returns_after_a_delay(short_delays):
    """Guards against a running server that is never used again, as its row lapsed
    before the copy was made and is not written again since it has not changed."""

    async def scenario():
        state, other = build_state(), build_state()
        for one in (state, other):
            read_all(one, build_row("a", 150, era=1), version=200, era=1)
            receive(one, build_removal("a", 215, era=1))
        state.on_store_update.append(lambda update: relay(update, other))
        relay(read_all(state, build_row("a", 150, era=2), version=190, era=2), other)
        assert not state.entries and not other.entries
        await asyncio.sleep(0.12)
        assert set(state.entries) == set(other.entries) == {"a"}

    run(scenario)


def test_a_removed_server_returns_at_once_if_it_writes_or_starts_again(short_delays):
    async def scenario():
        state = build_state()
        read_all(
            state,
            build_row("a", 150, era=1),
            build_row("b", 151, era=1),
            version=200,
            era=1,
        )
        receive(state, build_removal("a", 215, era=1), build_removal("b", 216, era=1))
        read_all(
            state,
            build_row("a", 150, era=2),
            build_row("b", 189, era=2, born=20),
            version=190,
            era=2,
        )
        assert set(state.entries) == {"b"}
        receive(state, build_row("a", 191, era=2))
        assert set(state.entries) == {"a", "b"}

    run(scenario)


def test_a_server_that_the_copy_lacks_is_kept_until_it_can_have_written(short_delays):
    """Guards against requests that are refused while running servers, which registered
    after the copy was made, write their rows again."""

    async def scenario():
        state, other = build_state(), build_state()
        rows = (build_row("a", 205, era=1), build_row("b", 206, era=1))
        relay(read_all(state, *rows, version=220, era=1), other)
        update = read_all(state, version=190, era=2)
        relay(update, other)
        assert set(state.entries) == set(other.entries) == {"a", "b"}
        # A second read meanwhile must not end the grace period.
        read_all(state, version=191, era=2)
        again = receive(state, build_row("a", 192, era=2))
        relay(again, other)
        await asyncio.sleep(0.08)
        assert set(state.entries) == set(other.entries) == {"a"}

    run(scenario)


def test_several_eras_within_the_grace_period(short_delays):
    """Guards against the end of an earlier grace period that drops a server which is
    missing once more, or listed again."""

    async def scenario():
        state = build_state()
        rows = (build_row("a", 205, era=1), build_row("b", 206, era=1))
        read_all(state, *rows, version=220, era=1)
        read_all(state, version=190, era=2)
        await asyncio.sleep(0.03)
        read_all(state, build_row("a", 205, era=3), version=205, era=3)
        await asyncio.sleep(0.02)
        assert set(state.entries) == {"a"}
        read_all(state, version=190, era=4)
        await asyncio.sleep(0.02)
        assert set(state.entries) == {"a"}
        await asyncio.sleep(0.04)
        assert not state.entries

    run(scenario)


def test_unchanged_rows_of_a_copy_are_not_relayed_but_catch_up():
    """Guards against a relay of all rows at once, and against an instance that has
    linked up and keeps rows which the store has lost."""
    state, other = build_state(), build_state()
    rows = [build_row(f"s{number}", number, era=1) for number in range(1, 6)]
    relay(read_all(state, *rows, version=10, era=1), other)
    ahead = build_row("s1", 9, era=1, slots=9)
    receive(other, ahead)
    copied = [build_row(f"s{number}", number, era=2) for number in range(1, 6)]
    changed = build_row("s5", 7, era=2, slots=8)
    update = read_all(state, *copied[:-1], changed, version=8, era=2)
    assert [row.key for row in update.rows] == ["s5"]
    relay(update, other)
    hello = Hello(
        info=build_info("x"),
        store_version=other.store_position.version,
        store_era=other.store_position.era,
    )
    catch_up(state, hello, other)
    assert list_rows(other, after=build_position(0)) == list_rows(
        state, after=build_position(0)
    )


def test_an_instance_that_knows_only_the_copy_learns_who_has_left():
    """Guards against a process that starts after the copy, and sends requests to
    servers that others know to have left."""
    state, starting = build_state(), build_state()
    rows = (build_row("a", 150, era=1), build_row("b", 151, era=1))
    read_all(state, *rows, version=200, era=1)
    receive(state, build_removal("a", 215, era=1))
    copied = (build_row("a", 150, era=2), build_row("b", 151, era=2))

    async def scenario():
        read_all(state, *copied, version=190, era=2)
        read_all(starting, *copied, version=190, era=2)
        assert set(starting.entries) == {"a", "b"}
        hello = Hello(info=build_info("x"), store_version=190, store_era=1)
        catch_up(state, hello, starting)
        assert set(starting.entries) == {"b"}

    run(scenario)


def test_a_row_without_an_era_is_taken_for_one_of_the_known_era():
    """Guards against changes that an instance of an earlier release relays in vain."""
    state = build_state()
    read_all(state, build_row("a", 180, era=2), version=190, era=2)
    value = build_row("a", 1, era=0, state="draining").value
    update = StoreUpdate(rows=(RelayedRow(key="a", version=191, value=value),))
    assert relay(update, state).rows
    assert state.entries["a"].is_leaving


def test_entries_of_a_neighbour_yield_to_any_row(short_delays):
    async def scenario():
        state = build_state()
        load_entries(
            state,
            {
                "a": build_row("a", 1, era=0).value,
                "b": build_row("b", 1, era=0, state="draining").value,
            },
        )
        read_all(state, build_row("b", 5, era=1), version=9, era=1)
        assert set(state.entries) == {"a", "b"}
        assert state.entries["b"].is_leaving
        await asyncio.sleep(0.08)
        assert set(state.entries) == {"b"}

    run(scenario)


def test_others_do_not_use_a_removed_server_that_a_copy_lists():
    """Guards against a server that an instance knows to have gone, and relays from the
    copy to one that has missed its removal."""

    async def scenario():
        state, other = build_state(), build_state()
        for one in (state, other):
            read_all(one, build_row("a", 150, era=1), version=200, era=1)
        receive(state, build_removal("a", 215, era=1))
        relay(read_all(state, build_row("a", 150, era=2), version=190, era=2), other)
        assert not state.entries and not other.entries

    run(scenario)


def test_a_row_that_is_written_again_is_relayed_at_once(short_delays):
    """Guards against a running server that others drop after the grace period: its row
    is as before the outage, and was deferred like one with other loaded models."""

    async def scenario():
        state = build_state()
        read_all(state, build_row("a", 150, era=1), version=200, era=1)
        read_all(state, version=140, era=2)
        update = receive(state, build_row("a", 141, era=2))
        assert Relay(state=state).select_urgent(update) == update

    run(scenario)


@pytest.mark.parametrize("was_unavailable", [False, True])
@pytest.mark.parametrize("born", [10, 20], ids=["same-start", "new-start"])
def test_a_row_that_is_written_again_within_one_answer_stays_listed(
    short_delays, born, was_unavailable
):
    """Guards against a running server that is dropped until its row changes, since one
    answer of the store has its removal and the row that followed."""

    async def scenario():
        state = build_state()
        receive(state, build_row("a", 1, era=0))
        update = apply_server_rows(
            state,
            [build_removal("a", 2, era=0), build_row("a", 3, era=0, born=born)],
            is_full_read=False,
            was_unavailable=was_unavailable,
            position=build_position(3, era=0),
        )
        other = build_state()
        receive(other, build_row("a", 1, era=0))
        relay(update, other)
        await asyncio.sleep(0.1)
        assert [one.entries["a"].started_ms for one in (state, other)] == [born, born]

    run(scenario)


def test_a_row_that_is_removed_after_it_was_written_in_one_answer_is_gone():
    """Guards against a server that stays listed though its removal came last."""

    async def scenario():
        state = build_state()
        receive(state, build_row("a", 1, era=0))
        receive(state, build_row("a", 2, era=0, slots=5), build_removal("a", 3, era=0))
        assert "a" not in state.entries

    run(scenario)
