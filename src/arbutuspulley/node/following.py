"""Follows the operator's configuration and the servers' entries in the store."""

import asyncio
from typing import Protocol

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform import names
from arbutuspulley.platform.messages import (
    WrongEntryError,
    decode_configuration,
    decode_server,
)
from arbutuspulley.platform.store import HistoryLostError, StoredRow
from arbutuspulley.platform.transport import forget_connections
from arbutuspulley.ports.fleet import ServerEntry
from arbutuspulley.results import PlatformUnavailableError
from arbutuspulley.routing.local import forget_others
from arbutuspulley.routing.table import build_table

RETRY_MS = 250
"""First pause after a failed call to the store, in ms; doubled up to the longest."""

LONGEST_RETRY_MS = 1_000
"""Longest pause between tries, in ms: a configuration must be in force 2 s after it
was accepted, also right after the store came back."""

GATHER_MS = 400
"""Pause after changes of the servers' entries before the next call, in ms: entries
change one after another as servers are told to load, and each answer would tell of
one. A server that leaves may get requests for 2 s more, and a new one takes 1.2 s to
load its first model. A calm day of ktt-live makes 516 calls
instead of 691."""

OUTAGE_MS = 1_000
"""A store that was away longer than this, in ms, may have let entries lapse of
servers that live: they could not write to it either."""

RETURN_MS = 1_800
"""How long a lapsed entry is believed in after the store's return, in ms. Entries of
living servers are back within about 2 s; a server that left meanwhile must get no
request later than 2 s after its leaving was seen."""


MOST_REFUSED = 1_000
"""Most rows that are remembered for naming no server; beyond, they are told again."""


async def follow_configuration(state: NodeState) -> None:
    """Keep the newest configuration in force, for ever."""
    await _Follower(
        state=state,
        table=names.OPERATOR_TABLE,
        take_rows=take_configuration,
        gather_ms=0,
    ).follow()


async def follow_servers(state: NodeState) -> None:
    """Keep the servers' entries up to date, for ever."""
    await _Follower(
        state=state,
        table=names.SERVERS_TABLE,
        take_rows=take_servers,
        gather_ms=GATHER_MS,
    ).follow()


class TakeRows(Protocol):
    """Takes rows of a table in.

    ``is_whole`` says whether these are all rows of the table, ``was_away`` whether
    the store was away shortly before.
    """

    def __call__(
        self,
        state: NodeState,
        rows: list[StoredRow],
        *,
        is_whole: bool,
        was_away: bool,
    ) -> None:
        """Take the rows in."""


class _Follower:
    """One table's reader.

    :param gather_ms: pause after changes, in ms, so that one answer tells of several.
    """

    __slots__ = (
        "_failed_at",
        "_gather_ms",
        "_returned_at",
        "_state",
        "_table",
        "_take_rows",
    )

    def __init__(
        self, *, state: NodeState, table: str, take_rows: TakeRows, gather_ms: int
    ) -> None:
        self._state = state
        self._gather_ms = gather_ms
        self._table = table
        self._take_rows = take_rows
        self._failed_at: int | None = None
        self._returned_at = -RETURN_MS

    async def follow(self) -> None:
        """Read all rows, then wait for changes; begin anew whenever that fails."""
        pause = RETRY_MS
        version: int | None = None
        while True:
            try:
                version = await self._read_on(version)
                pause = RETRY_MS
                await asyncio.sleep(self._gather_ms / SECOND_MS)
            except HistoryLostError:
                log_event(Event.HISTORY_LOST, table=self._table, version=version)
                version = None
            except PlatformUnavailableError as error:
                self._note_failure(error.detail)
                jitter = self._state.chance.uniform(0.5, 1.0)
                await asyncio.sleep(pause * jitter / SECOND_MS)
                pause = min(LONGEST_RETRY_MS, pause * 2)

    async def _read_on(self, version: int | None) -> int:
        store = self._state.store
        if version is None:
            answer = await store.read(self._table)
        else:
            answer = await store.wait_for_changes(self._table, after=version)
        self._note_answer()
        now = self._state.clock.now()
        was_away = now - self._returned_at < RETURN_MS
        self._take_rows(
            self._state, answer.rows, is_whole=version is None, was_away=was_away
        )
        return answer.version

    def _note_failure(self, detail: str) -> None:
        if self._failed_at is None:
            self._failed_at = self._state.clock.now()
            log_event(Event.PLATFORM_DOWN, table=self._table, detail=detail)

    def _note_answer(self) -> None:
        if self._failed_at is None:
            return
        now = self._state.clock.now()
        away_ms = now - self._failed_at
        self._failed_at = None
        if away_ms >= OUTAGE_MS:
            self._returned_at = now
        log_event(Event.PLATFORM_UP, table=self._table, away_ms=away_ms)


def take_configuration(
    state: NodeState, rows: list[StoredRow], *, is_whole: bool, was_away: bool
) -> None:
    """Put a newer configuration in force; an older one never."""
    for row in rows:
        if row.key == names.CONFIGURATION_KEY and row.value is not None:
            put_in_force(state, row.value)


def put_in_force(state: NodeState, body: bytes) -> None:
    """Put a configuration in force if it is newer than the present one."""
    try:
        configuration = decode_configuration(body)
    except msgspec.MsgspecError as error:
        log_event(Event.CONFIGURATION_REFUSED, detail=str(error))
        return
    present = state.configuration
    if present is not None and configuration.version <= present.version:
        if configuration.version < present.version:
            log_event(
                Event.OLDER_CONFIGURATION_IGNORED,
                offered=configuration.version,
                in_force=present.version,
            )
        return
    state.configuration = configuration
    state.configuration_body = body
    state.table = build_table(configuration)
    state.metrics.version.set(configuration.version)
    log_event(
        Event.CONFIGURATION_IN_FORCE,
        version=configuration.version,
        routes=len(configuration.routes),
    )
    state.tell_change()


def take_servers(
    state: NodeState, rows: list[StoredRow], *, is_whole: bool, was_away: bool
) -> None:
    """Bring the servers' entries up to date."""
    present = {row.key for row in rows if row.value is not None}
    if is_whole:
        gone = [one for one in state.entries if one not in present]
    else:
        gone = [row.key for row in rows if row.value is None]
    for row in rows:
        if row.value is not None:
            _take_entry(state, row.key, row.value)
    if was_away:
        asyncio.get_running_loop().call_later(
            RETURN_MS / SECOND_MS, _drop_entries, state, gone, dict(state.entries)
        )
    else:
        _drop_entries(state, gone, state.entries)
    _index(state)


def take_entries(state: NodeState, bodies: dict[str, bytes]) -> None:
    """Take entries that another instance knows, if this one knows none."""
    if state.entries:
        return
    for server_id, body in bodies.items():
        _take_entry(state, server_id, body)
    _index(state)


def _take_entry(state: NodeState, server_id: str, value: bytes) -> None:
    before = state.entries.get(server_id)
    try:
        entry = decode_server(server_id, value)
    except (msgspec.MsgspecError, WrongEntryError) as error:
        _refuse_entry(state, server_id, str(error))
        return
    if before is not None and entry.born_ms < before.born_ms:
        # A row from before the server's start, written late. Taken, it would bring
        # back what the server held then.
        log_event(
            Event.SERVER_ENTRY_REFUSED, server=server_id, detail="an earlier start"
        )
        return
    state.refused_entries.pop(server_id, None)
    state.entries[server_id] = entry
    state.entry_bodies[server_id] = value
    if before is None or before.incarnation != entry.incarnation:
        _note_start(state, entry, before)
    if entry.is_leaving and (before is None or not before.is_leaving):
        log_event(Event.SERVER_LEAVING, server=server_id, service=entry.service)


def _refuse_entry(state: NodeState, server_id: str, why: str) -> None:
    """Take a row that names no server; it is told once for as long as it says so.

    A server whose row another writer has overwritten is not used until it writes
    again, which it does within its heartbeat.
    """
    if state.entries.pop(server_id, None) is not None:
        state.entry_bodies.pop(server_id, None)
    if state.refused_entries.get(server_id) == why:
        return
    if len(state.refused_entries) >= MOST_REFUSED:
        state.refused_entries.clear()
    state.refused_entries[server_id] = why
    log_event(Event.SERVER_ENTRY_REFUSED, server=server_id, detail=why)


def _note_start(
    state: NodeState, entry: ServerEntry, before: ServerEntry | None
) -> None:
    if before is not None and state.session is not None:
        # Its connections are those of the start before: a request that is sent on
        # one breaks off and may not be sent again.
        forget_connections(state.session, entry.address)
    log_event(
        Event.SERVER_LISTED,
        server=entry.server_id,
        service=entry.service,
        address=entry.address,
        born_ms=entry.born_ms,
    )


def _drop_entries(
    state: NodeState, gone: list[str], then: dict[str, ServerEntry]
) -> None:
    """Drop entries that have not been written again since ``then``."""
    is_changed = False
    for server_id in gone:
        state.refused_entries.pop(server_id, None)
        entry = state.entries.get(server_id)
        if entry is not None and then.get(server_id) is entry:
            del state.entries[server_id]
            state.entry_bodies.pop(server_id, None)
            is_changed = True
            log_event(Event.SERVER_GONE, server=server_id, service=entry.service)
    if is_changed:
        _index(state)


def _index(state: NodeState) -> None:
    by_service: dict[str, list[ServerEntry]] = {}
    for entry in state.entries.values():
        by_service.setdefault(entry.service, []).append(entry)
    state.by_service = by_service
    state.by_incarnation = {one.incarnation: one for one in state.entries.values()}
    forget_others(state.records, state.entries.values())
    state.tell_change()
