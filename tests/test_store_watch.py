"""What a node makes of rows of the store."""

import asyncio

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.events import Event
from arbutuspulley.node import server_rows, store_watch
from arbutuspulley.node.server_rows import apply_server_rows
from arbutuspulley.node.store_watch import (
    activate_configuration,
    follow_configuration,
    follow_servers,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.store import HistoryLostError, RowsAnswer, StoredRow
from arbutuspulley.results import PlatformUnavailableError
from scripts.platform_testbed import build_configuration
from tests.node_states import build_state


def build_row(name, *, state="ready", version=1):
    value = {"Service": "s", "Address": "10.0.0.1:1", "State": state}
    value |= {"Zone": "z", "Slots": 4}
    return StoredRow(key=name, version=version, value=msgspec.json.encode(value))


def take(state, *rows, is_whole=False, was_away=False):
    apply_server_rows(state, list(rows), is_whole=is_whole, was_away=was_away)


def gone(name):
    return StoredRow(key=name, version=9, value=None)


@pytest.mark.parametrize(
    ("versions", "expected"), [((3, 5), 5), ((5, 3), 5), ((5, 5), 5), ((1,), 1)]
)
def test_configurations_go_upward_only(versions, expected):
    state = build_state()
    for version in versions:
        activate_configuration(
            state, msgspec.json.encode(build_configuration(version)), by="store"
        )
    assert state.configuration.version == expected


def test_an_unreadable_configuration_leaves_the_last_one():
    state = build_state()
    activate_configuration(
        state, msgspec.json.encode(build_configuration(2)), by="store"
    )
    activate_configuration(state, b'{"Version": 3, "Routes": 1}', by="store")
    assert state.configuration.version == 2


def test_what_vanished_while_history_was_lost_is_gone():
    """A server leaves while changes are not told. The scan that follows does not show
    it; kept all the same, it got requests long after it had left."""
    state = build_state()
    take(state, build_row("a"), build_row("b"), is_whole=True)
    take(state, build_row("b"), is_whole=True)
    assert set(state.entries) == {"b"}
    assert [one.incarnation for one in state.by_service["s"]] == ["b"]


def test_an_unreadable_entry_harms_no_other():
    state = build_state()
    wrong = StoredRow(key="x", version=1, value=b"[]")
    take(state, wrong, build_row("a"))
    assert set(state.entries) == {"a"}


def build_start(name, born, *, state="ready"):
    row = msgspec.json.decode(build_row(name, state=state).value)
    value = msgspec.json.encode({**row, "born": born})
    return StoredRow(key=name, version=born, value=value)


def test_a_server_that_starts_again_under_its_id_is_another():
    """A server crashes and is back before its row has lapsed, under the same id. Until
    then it was leaving; the new start takes requests, and the old one is nobody."""
    state = build_state()
    take(state, build_start("a", 10, state="draining"), is_whole=True)
    first = state.entries["a"].incarnation
    take(state, build_start("a", 20))
    second = state.entries["a"]
    assert not second.is_leaving
    assert set(state.by_incarnation) == {second.incarnation}
    assert first != second.incarnation


def test_a_row_from_before_a_start_does_not_bring_it_back():
    state = build_state()
    take(state, build_start("a", 20), is_whole=True)
    take(state, build_start("a", 10, state="draining"))
    assert state.entries["a"].started_ms == 20


def test_a_row_that_another_writer_overwrote_names_no_server(monkeypatch):
    """Another program writes nonsense over a server's row, again and again. Requests
    would go to a server that nobody vouches for, and the log would fill up."""
    told = []
    monkeypatch.setattr(
        server_rows, "log_event", lambda event, **_fields: told.append(event)
    )
    state = build_state()
    take(state, build_row("a"), build_row("b"), is_whole=True)
    for version in range(3):
        take(state, StoredRow(key="a", version=version, value=b'{"State": 1}'))
    assert set(state.entries) == {"b"}
    assert told.count(Event.SERVER_ENTRY_REFUSED) == 1
    take(state, build_row("a", version=9))
    assert set(state.entries) == {"a", "b"}
    assert state.refused_entries == {}


def test_entries_that_lapsed_with_the_store_are_believed_for_a_while(monkeypatch):
    """The store is away for longer than entries live. At its return no server is
    listed, though all of them live and write again within two seconds; dropped at
    once, every request was refused. One that does not come back is gone then."""
    monkeypatch.setattr(server_rows, "RETURN_MS", 60)

    async def scenario():
        state = build_state()
        take(state, build_row("a"), build_row("b"), is_whole=True)
        take(state, is_whole=True, was_away=True)
        assert set(state.entries) == {"a", "b"}
        take(state, build_row("a", version=5))
        await asyncio.sleep(0.12)
        assert set(state.entries) == {"a"}

    asyncio.run(scenario())


def test_a_removal_is_taken_at_once():
    state = build_state()
    take(state, build_row("a"), is_whole=True)
    take(state, gone("a"))
    assert state.entries == {}


class TricklingStore:
    """A store in which another server's entry changes every 20 ms."""

    def __init__(self):
        self.calls = 0
        self.begun_at = Clock().now()

    def _answer(self, after):
        version = (Clock().now() - self.begun_at) // 20 + 1
        rows = [
            build_row(f"s{number}", version=number)
            for number in range(after + 1, version + 1)
        ]
        return RowsAnswer(rows=rows, version=version, now_ms=0)

    async def read(self, table):
        self.calls += 1
        return self._answer(0)

    async def wait_for_changes(self, table, *, after):
        self.calls += 1
        while not (answer := self._answer(after)).rows:
            await asyncio.sleep(0.005)
        return answer


@pytest.mark.parametrize(
    ("follow", "least", "most"),
    [(follow_servers, 4, 8), (follow_configuration, 20, 60)],
    ids=["servers", "configuration"],
)
def test_changes_that_follow_each_other_are_gathered(monkeypatch, follow, least, most):
    """As servers are told to load, their entries change one after another. Each change
    ended a call of each instance, and calls to the store are rationed. A
    configuration is never kept waiting."""
    monkeypatch.setattr(store_watch, "CHANGE_BATCH_MS", 100)

    async def scenario():
        state = build_state()
        state.store = TricklingStore()
        task = asyncio.create_task(follow(state))
        await asyncio.sleep(0.6)
        task.cancel()
        return state

    state = asyncio.run(scenario())
    assert least <= state.store.calls <= most
    if follow is follow_servers:
        assert len(state.entries) >= 20


class ScriptedStore:
    """A store whose calls end one after another as a script says.

    :param outcomes: versions of the configuration that an answer brings, or an error.
    """

    is_failing = False

    def __init__(self, *outcomes):
        self.calls = []
        self._outcomes = list(outcomes)

    async def read(self, table):
        return await self._answer("read")

    async def wait_for_changes(self, table, *, after):
        return await self._answer(after)

    async def _answer(self, call):
        self.calls.append(call)
        if not self._outcomes:
            await asyncio.sleep(3_600)
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        rows = [
            StoredRow(
                key=names.CONFIGURATION_KEY,
                version=version,
                value=msgspec.json.encode(build_configuration(version)),
            )
            for version in outcome
        ]
        return RowsAnswer(rows=rows, version=max(outcome), now_ms=0)


def follow_script(follow, *outcomes):
    """Return the calls that a follower makes, and the version then in force."""

    async def scenario():
        state = build_state()
        store = state.store = ScriptedStore(*outcomes)
        task = asyncio.create_task(follow(state))
        async with asyncio.timeout(10):
            while len(store.calls) <= len(outcomes):
                await asyncio.sleep(0.005)
        task.cancel()
        return store.calls, state.configuration_version

    return asyncio.run(scenario())


def test_after_a_break_the_newest_configuration_is_asked_for(monkeypatch):
    """Guards against a link that is filled by all versions that came in the break, so
    that the newest is in force seconds late, again and again."""
    monkeypatch.setattr(store_watch, "RETRY_MS", 1)
    swallowed = PlatformUnavailableError(detail="swallowed")
    calls, in_force = follow_script(
        follow_configuration, (1,), (2,), swallowed, swallowed, (30,)
    )
    assert calls == ["read", 1, 2, "read", "read", 30]
    assert in_force == 30


def test_whoever_falls_behind_asks_for_the_newest_configuration_only():
    """Guards against answers that take longer than changes need to come, each larger
    than the one before."""
    calls, in_force = follow_script(
        follow_configuration, (1,), (2,), (3, 4), (7,), (9,), (9,), (10,)
    )
    assert calls == ["read", 1, 2, "read", "read", "read", 9, 10]
    assert in_force == 10


def test_servers_are_followed_on_after_a_break(monkeypatch):
    """Each row of a server matters, and what was removed shows in the changes only."""
    monkeypatch.setattr(store_watch, "RETRY_MS", 1)
    monkeypatch.setattr(store_watch, "CHANGE_BATCH_MS", 0)
    swallowed = PlatformUnavailableError(detail="swallowed")
    calls, _in_force = follow_script(follow_servers, (1,), swallowed, (5, 6))
    assert calls == ["read", 1, 1, 6]


class StaleStore:
    """A store that has forgotten its history and reads as of long ago."""

    is_failing = False

    def __init__(self):
        self.calls = 0

    async def read(self, table):
        self.calls += 1
        return RowsAnswer(rows=[], version=1, now_ms=0)

    async def wait_for_changes(self, table, *, after):
        self.calls += 1
        raise HistoryLostError(detail="forgotten")


@pytest.mark.parametrize("follow", [follow_servers, follow_configuration])
def test_a_store_that_reads_from_before_its_history_is_asked_with_pauses(
    monkeypatch, follow
):
    """Guards against instances that read all rows again and again without a pause,
    until the store turns them all away."""
    monkeypatch.setattr(store_watch, "CHANGE_BATCH_MS", 0)

    async def scenario():
        state = build_state()
        state.store = StaleStore()
        task = asyncio.create_task(follow(state))
        await asyncio.sleep(0.5)
        task.cancel()
        return state.store.calls

    assert 4 <= asyncio.run(scenario()) <= 12
