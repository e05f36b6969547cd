"""Keeps in the store what has to outlive all processes of streams and their versions.

The coordinator writes, as it hears of all streams; an instance without a coordinator
writes what it begins. Each process reads which versions were in service before it
started, and again when it becomes the coordinator. The streams are read by a new
coordinator, and by an instance that has none when a caller resumes one that it does not
know.

No stream of a service with one software version is recorded, unless the store may have
lost another one that was in service while no process ran.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import TypeVar

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.decoding import UndecodableError, decode_json
from arbutuspulley.delivery.begun_streams import MAX_STREAMS
from arbutuspulley.delivery.stream_records import (
    RecordBatch,
    RecordRow,
    decode_row,
    list_streams,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.software_versions import (
    TIME_TOLERANCE_MS,
    VersionHistory,
)
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_writing import repeat_step, write_rows
from arbutuspulley.platform.store import StoredRow
from arbutuspulley.results import PlatformUnavailableError

T = TypeVar("T")

STREAMS_TABLE = "arbutus-streams"
VERSIONS_TABLE = "arbutus-versions"

WRITE_INTERVAL_MS = 50
"""Minimum time between two writes of the coordinator, in ms: a stream that began since
the last one has no record."""

LONE_INTERVAL_MS = 500
"""Time between two writes of an instance that has followed no coordinator yet, in ms:
all instances of a large fleet may have started at once."""

LONE_INTERVAL_PER_INSTANCE_MS = 10
"""That time for each known instance if it has lost its coordinator, in ms: together
they make up to a hundred calls a second."""

MAX_BATCH_HISTORIES = 100
"""Maximum number of services whose versions are written in a transaction: it holds 100
rows."""

REMOVAL_INTERVAL_MS = 5_000
"""Interval of removing expired rows while no stream begins, in ms."""

MIN_READ_INTERVAL_MS = 1_000
"""Minimum time between two reads of an instance without a coordinator, in ms: what
other instances write meanwhile, a coordinator is told by them."""


class StreamStore:
    """Reads and writes the records of this process; see :mod:`.stream_store`."""

    __slots__ = (
        "_coordinating",
        "_histories",
        "_is_clock_read",
        "_offset_ms",
        "_read_at",
        "_reading",
        "_recorded",
        "_state",
        "_term",
        "_was_coordinator",
    )

    def __init__(self, *, state: NodeState) -> None:
        self._coordinating = asyncio.Event()
        self._histories: dict[str, VersionHistory] = {}
        # Whether the store's clock has been read in its present era.
        self._is_clock_read = False
        self._offset_ms = 0
        self._read_at = -MIN_READ_INTERVAL_MS
        self._reading: asyncio.Task[bool] | None = None
        # Services whose streams are recorded.
        self._recorded: frozenset[str] = frozenset()
        self._state = state
        # Number of times that this instance has become the coordinator.
        self._term = 0
        self._was_coordinator = False
        state.software_versions.awaits_history = True
        state.stream_journal.awaits_records = True
        state.look_up_streams = self.look_up
        state.on_change.append(state.stream_journal_changed.set)
        state.on_coordinating.append(self._start_coordinating)

    def _start_coordinating(self) -> None:
        self._term += 1
        self._was_coordinator = False
        self._state.stream_journal.release()
        self._state.stream_journal_changed.set()
        self._coordinating.set()

    def restart(self, _era: int) -> None:
        """Write everything again; called when a new era of the store is seen."""
        self._histories.clear()
        self._is_clock_read = False
        self._state.stream_journal.restart()
        self._state.stream_journal_changed.set()

    async def run(self) -> None:
        """Read the versions' history, then write what changes; never returns."""
        await repeat_step(
            self._step, rng=self._state.rng, on_failure=self._report_failure
        )

    def _report_failure(self, detail: str) -> None:
        log_event(Event.STREAM_RECORDS_DELAYED, detail=detail)
        self._state.stream_journal_changed.set()

    async def _step(self) -> None:
        """Wait for a change, and write it."""
        state = self._state
        if state.software_versions.awaits_history:
            await self._read_history()
        await self._wait_for_change()
        state.stream_journal_changed.clear()
        if state.is_coordinator:
            await self._coordinate()
        elif self._was_coordinator:
            self._was_coordinator = False
            state.stream_journal.release()
        await self._write_streams()

    async def _wait_for_change(self) -> None:
        state = self._state
        try:
            async with asyncio.timeout(REMOVAL_INTERVAL_MS / SECOND_MS):
                await state.stream_journal_changed.wait()
        except TimeoutError:
            return
        if not state.is_coordinator or self._was_coordinator:
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the interval, or until this instance becomes the coordinator."""
        self._coordinating.clear()
        try:
            async with asyncio.timeout(self._get_interval_ms() / SECOND_MS):
                await self._coordinating.wait()
        except TimeoutError:
            return

    def _get_interval_ms(self) -> int:
        if self._state.is_coordinator:
            return WRITE_INTERVAL_MS
        instances = self._state.instances
        if not instances:
            return LONE_INTERVAL_MS
        return max(WRITE_INTERVAL_MS, LONE_INTERVAL_PER_INSTANCE_MS * instances)

    async def _coordinate(self) -> None:
        """Do the coordinator's part: the versions, and streams that have no record."""
        state, journal = self._state, self._state.stream_journal
        term = self._term
        if not self._was_coordinator:
            await self._read_history()
        if journal.awaits_records:
            rows = await self._read_streams()
            if term != self._term:
                # Another coordinator may have written since.
                return
            now = state.clock.now()
            journal.adopt(rows, now=now, store_now=now + self._offset_ms)
            self._recorded = frozenset()
        await self._write_histories()
        recorded = state.software_versions.list_recorded(now=state.clock.now())
        if recorded != self._recorded:
            self._recorded = recorded
            self._add_missing()
        self._was_coordinator = term == self._term

    def _add_missing(self) -> None:
        """Add streams that began before those of their service were recorded."""
        state = self._state
        streams = state.begun_streams.list_newest(MAX_STREAMS, now=state.clock.now())
        for key, stream in streams.items():
            if stream.service in self._recorded:
                state.stream_journal.add(key, stream)

    async def look_up(self) -> bool:
        """Read the records; all that ask before the next read share it.

        :return: whether the store was read.
        """
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._look_up())
        return await asyncio.shield(self._reading)

    async def _look_up(self) -> bool:
        wait_ms = self._read_at + MIN_READ_INTERVAL_MS - self._state.clock.now()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / SECOND_MS)
        self._read_at = now = self._state.clock.now()
        versions = self._state.software_versions
        if not await self._state.server_view.check(since=now):
            log_event(
                Event.STREAM_RECORDS_DELAYED, detail="the servers could not be read"
            )
            return False
        try:
            # A process that knows all versions may have written them meanwhile.
            if versions.awaits_history or versions.has_incomplete(now=now):
                await self._read_history()
            if versions.list_recorded(now=self._state.clock.now()):
                await self._read_streams()
        except PlatformUnavailableError as error:
            log_event(Event.STREAM_RECORDS_DELAYED, detail=error.detail)
            return False
        return True

    async def _read_history(self) -> None:
        state = self._state
        answer = await state.store.read(VERSIONS_TABLE)
        now = self._record_clock(answer.now_ms)
        self._histories = {
            row.key: history
            for row in answer.rows
            if (history := self._decode_row(VERSIONS_TABLE, row, _decode_history))
        }
        state.software_versions.add_history(
            self._histories,
            now=now,
            store_now=now + self._offset_ms,
            era=answer.position.era,
        )
        state.stream_journal_changed.set()

    async def _read_streams(self) -> dict[str, RecordRow]:
        """Remember the streams of all records, and return the records."""
        state = self._state
        answer = await state.store.read(STREAMS_TABLE)
        now = self._record_clock(answer.now_ms)
        rows = {
            row.key: decoded
            for row in answer.rows
            if (decoded := self._decode_row(STREAMS_TABLE, row, decode_row))
        }
        streams = list_streams(rows.values(), now=now, store_now=now + self._offset_ms)
        for key, stream in streams.items():
            state.begun_streams.add(key, stream, now=now)
        state.software_versions.add_streams(streams.values(), now=now)
        if rows:
            log_event(Event.STREAM_RECORDS_READ, rows=len(rows), streams=len(streams))
        return rows

    def _decode_row(
        self, table: str, row: StoredRow, decode: Callable[[bytes], T | None]
    ) -> T | None:
        """Decode a row; ``None`` if it is absent or can't be decoded."""
        if row.value is None:
            return None
        decoded = decode(row.value)
        if decoded is None:
            self._state.rejected_rows.log(table, row.key)
        return decoded

    def _record_clock(self, store_ms: float) -> int:
        """Record a reading of the store's clock, and return the own clock's."""
        now = self._state.clock.now()
        self._is_clock_read = True
        self._offset_ms = int(store_ms) - now
        return now

    async def _read_clock(self) -> None:
        """Read the store's clock, unless that was done in this era."""
        if not self._is_clock_read:
            answer = await self._state.store.read(VERSIONS_TABLE)
            self._record_clock(answer.now_ms)

    async def _write_histories(self) -> None:
        state = self._state
        await self._read_clock()
        now = state.clock.now()
        store_now = now + self._offset_ms
        histories = state.software_versions.build_history(
            now=now, store_now=store_now, era=state.store.era.current
        )
        changed = {
            service: history
            for service, history in histories.items()
            if not _is_up_to_date(
                self._histories.get(service), history, store_now=store_now
            )
        }
        remaining = iter(changed.items())
        while part := dict(itertools.islice(remaining, MAX_BATCH_HISTORIES)):
            await self._write_part(part)

    async def _write_part(self, histories: dict[str, VersionHistory]) -> None:
        put = {
            service: msgspec.json.encode(history)
            for service, history in histories.items()
        }
        written = await write_rows(self._state.store, VERSIONS_TABLE, put=put)
        self._record_clock(written.now_ms)
        if written.is_kept:
            self._histories.update(histories)

    async def _write_streams(self) -> None:
        state = self._state
        while True:
            await self._read_clock()
            now = state.clock.now()
            batch = state.stream_journal.take_batch(
                now=now, store_now=now + self._offset_ms
            )
            if batch is None:
                return
            await self._write_batch(batch)
            if not state.stream_journal.has_unwritten:
                return

    async def _write_batch(self, batch: RecordBatch) -> None:
        state = self._state
        written = await write_rows(
            state.store, STREAMS_TABLE, put=batch.put, remove=batch.remove
        )
        self._record_clock(written.now_ms)
        if written.is_kept:
            state.stream_journal.confirm(batch)


def store_stream(state: NodeState, key: int) -> None:
    """Let a stream be recorded in the store, if those of its service have to be."""
    now = state.clock.now()
    versions = state.software_versions
    stream = state.begun_streams.find(key, now=now)
    if stream is None or not versions.needs_records(stream.service, now=now):
        return
    if state.stream_journal.add(key, stream):
        state.stream_journal_changed.set()


def _is_up_to_date(
    stored: VersionHistory | None, history: VersionHistory, *, store_now: int
) -> bool:
    """Return whether a stored history needs no update by another one.

    One that may lack versions does if the other one is complete: its writer has started
    before the row was written again that an older copy of the store held.
    """
    if stored is None or not history.lists_same(stored):
        return False
    incomplete_ms = stored.incomplete_until - store_now
    return history.incomplete_until > 0 or incomplete_ms <= TIME_TOLERANCE_MS


def _decode_history(value: bytes) -> VersionHistory | None:
    try:
        return decode_json(value, VersionHistory)
    except UndecodableError:
        return None
