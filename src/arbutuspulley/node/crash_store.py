"""Keeps in the store which requests and parts of prompts crash servers.

All processes may be killed at the same moment, and a quarantine that only they know
would cost as many servers again. A suspect has a row once it was at several crashes in
turn: one server that crashes makes dozens of harmless ones suspect.

The coordinator writes, as it is told of all crashes; an instance without a coordinator
writes what it has recorded since. Each process reads the rows once as it starts, and
again before it writes for the first time as the coordinator, or without one. No request
waits for any of it.
"""

import asyncio
import functools
from collections.abc import Callable, Mapping

import msgspec

from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.data import Message, Value
from arbutuspulley.decoding import UndecodableError, WholeMilliseconds, decode_msgpack
from arbutuspulley.delivery.crash_records import CrashRecords, count_crashes
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.link import COORDINATOR_TIMEOUT_MS
from arbutuspulley.node.messages import SuspicionUpdate
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_writing import repeat_step, write_rows
from arbutuspulley.rpc.messages import Suspicion

CRASHES_TABLE = "arbutus-crashes"

REQUEST, PART = "request", "part"
"""Kinds of suspects; a row's key is the kind and the id."""

MIN_CRASHES = 2
"""Number of crashes in turn from which on a suspect has a row."""

MAX_BATCH_ROWS = 40
"""Maximum number of rows in a transaction, written and removed ones each: it holds 1 MB
and 100 rows."""

WRITE_INTERVAL_MS = 50
"""Minimum time between two writes of the coordinator, in ms."""

LONE_INTERVAL_MS = 1_000
LONE_INTERVAL_PER_INSTANCE_MS = 10
"""Minimum time between two writes of an instance without a coordinator, in ms, and the
minimum of it for each known instance: it has to notice that there is none, and all may
lose theirs at once."""

REMOVAL_INTERVAL_MS = 5_000
"""Interval of removing expired rows while nothing changes, in ms."""


MAX_EARLY_EXPIRY_MS = 5_000
"""How much earlier a row may expire than its suspicion without being written again, in
ms: the store's clock is known to within the time of a call, and may be another one in
a new era."""


class CrashRow(Message, frozen=True):
    """A row of the store.

    :param changed_at: when the suspicion changed last, in ms of the store's clock.
    :param expires_at: when it expires, likewise.
    """

    suspicion: Suspicion
    changed_at: WholeMilliseconds
    expires_at: WholeMilliseconds


class CrashBatch(Value, frozen=True):
    """Rows to write and to remove in one transaction, by key."""

    put: dict[str, CrashRow]
    remove: tuple[str, ...]


class CrashJournal:
    """Compares what a process knows of crashes with the rows of the store.

    ``awaits_rows`` is whether the rows have to be read first.

    :param on_change: called when something may have to be written.
    """

    __slots__ = ("_changed", "_clock", "_on_change", "_records", "_rows", "awaits_rows")

    def __init__(
        self,
        *,
        clock: Clock,
        requests: CrashRecords,
        parts: CrashRecords,
        on_change: Callable[[], None],
    ) -> None:
        self.awaits_rows = True
        # Suspects whose rows may differ, and when each one changed last.
        self._changed: dict[str, int] = {}
        self._clock = clock
        self._on_change = on_change
        self._records = {REQUEST: requests, PART: parts}
        self._rows: dict[str, CrashRow] = {}
        for kind, records in self._records.items():
            records.on_change = functools.partial(self._mark, kind)

    def _mark(self, kind: str, name: str) -> None:
        self._changed[f"{kind} {name}"] = self._clock.now()
        self._on_change()

    def adopt(self, rows: Mapping[str, CrashRow], *, store_now: int) -> SuspicionUpdate:
        """Take over the rows of the store.

        :param store_now: present reading of the store's clock, in ms.
        :return: what they tell, to be merged.
        """
        self._rows = dict(rows)
        self.awaits_rows = False
        known = (
            f"{kind} {name}"
            for kind, records in self._records.items()
            for name in records.list_names()
        )
        self._changed = dict.fromkeys((*known, *rows), self._clock.now())
        requests, parts = (
            [
                row
                for key, row in rows.items()
                if key.startswith(f"{kind} ") and row.expires_at > store_now
            ]
            for kind in (REQUEST, PART)
        )
        return SuspicionUpdate(
            suspicions=tuple(row.suspicion for row in requests),
            ages_ms=tuple(_compute_age_ms(row, store_now) for row in requests),
            parts=tuple(row.suspicion for row in parts),
            part_ages_ms=tuple(_compute_age_ms(row, store_now) for row in parts),
        )

    def take_batch(self, *, store_now: int) -> CrashBatch | None:
        """Return what to write next; ``None``: nothing.

        The same rows are returned until :meth:`confirm` is called.
        """
        put: dict[str, CrashRow] = {}
        remove: list[str] = []
        expired = [key for key, row in self._rows.items() if row.expires_at < store_now]
        for key in dict.fromkeys((*self._changed, *expired)):
            row, stored = self._build_row(key, store_now=store_now), self._rows.get(key)
            if row is None and stored is not None:
                remove.append(key)
            elif row is not None and not _is_up_to_date(stored, row):
                put[key] = row
            else:
                self._changed.pop(key, None)
            if MAX_BATCH_ROWS in (len(put), len(remove)):
                break
        if not put and not remove:
            return None
        return CrashBatch(put=put, remove=tuple(remove))

    def confirm(self, batch: CrashBatch) -> None:
        """Record that a batch has been written."""
        self._rows |= batch.put
        for key in batch.remove:
            self._rows.pop(key, None)

    def leave_to_coordinator(self, *, heard_at: int) -> bool:
        """Drop what a coordinator has been told of.

        :param heard_at: when it was heard last, in ms.
        :return: whether anything is left.
        """
        self._changed = {key: at for key, at in self._changed.items() if at >= heard_at}
        return bool(self._changed)

    def _build_row(self, key: str, *, store_now: int) -> CrashRow | None:
        kind, _, name = key.partition(" ")
        records, now = self._records[kind], self._clock.now()
        suspicion = records.find(name)
        if suspicion is None or count_crashes(suspicion) < MIN_CRASHES:
            return None
        remaining_ms = records.get_time_to_expiry_ms(name, now=now)
        if remaining_ms <= 0:
            return None
        return CrashRow(
            suspicion=suspicion,
            changed_at=store_now - records.get_age_ms(name, now=now),
            expires_at=store_now + remaining_ms,
        )


class CrashStore:
    """Reads and writes the rows of this process; see :mod:`.crash_store`.

    :param merge: merges what the rows tell.
    """

    __slots__ = ("_changed", "_journal", "_merge", "_offset_ms", "_state")

    def __init__(
        self, *, state: NodeState, merge: Callable[[SuspicionUpdate], None]
    ) -> None:
        self._changed = asyncio.Event()
        self._journal = CrashJournal(
            clock=state.clock,
            requests=state.crash_records,
            parts=state.part_records.records,
            on_change=self._changed.set,
        )
        self._merge = merge
        self._offset_ms = 0
        self._state = state
        state.on_coordinating.append(self._read_again)

    def _read_again(self) -> None:
        self._journal.awaits_rows = True
        self._changed.set()

    def restart(self, _era: int) -> None:
        """Write what an older copy lacks; called when a new era of the store is seen.

        Instances that are not the coordinator leave it to that one.
        """
        if self._state.is_coordinator:
            self._read_again()

    async def run(self) -> None:
        """Read the rows, then write what changes; never returns."""
        await repeat_step(
            self._step, rng=self._state.rng, on_failure=self._report_failure
        )

    def _report_failure(self, detail: str) -> None:
        log_event(Event.CRASH_ROWS_DELAYED, detail=detail)
        self._changed.set()

    async def _step(self) -> None:
        """Wait for a change, and write it."""
        if self._journal.awaits_rows:
            await self._read()
        await self._wait_for_change()
        self._changed.clear()
        if self._state.is_coordinator:
            await self._write()
        elif not self._has_coordinator():
            await self._write_alone()
        elif self._journal.leave_to_coordinator(heard_at=self._state.nodes_updated_at):
            self._changed.set()

    def _has_coordinator(self) -> bool:
        age_ms = self._state.clock.now() - self._state.nodes_updated_at
        return age_ms < COORDINATOR_TIMEOUT_MS

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(REMOVAL_INTERVAL_MS / SECOND_MS):
                await self._changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._get_interval_ms() / SECOND_MS)

    def _get_interval_ms(self) -> int:
        if self._state.is_coordinator:
            return WRITE_INTERVAL_MS
        per_instance_ms = LONE_INTERVAL_PER_INSTANCE_MS * self._state.instances
        return max(LONE_INTERVAL_MS, per_instance_ms)

    async def _read(self) -> None:
        """Read all rows, and merge what they tell."""
        answer = await self._state.store.read(CRASHES_TABLE)
        self._record_clock(answer.now_ms)
        rows: dict[str, CrashRow] = {}
        for stored in answer.rows:
            row = decode_row(stored.key, stored.value)
            if row is not None:
                rows[stored.key] = row
            elif stored.value is not None:
                self._state.rejected_rows.log(CRASHES_TABLE, stored.key)
        self._merge(self._journal.adopt(rows, store_now=int(answer.now_ms)))
        if answer.rows:
            log_event(Event.CRASH_ROWS_READ, rows=len(answer.rows), suspects=len(rows))

    async def _write_alone(self) -> None:
        """Write without a coordinator; other instances may have done so meanwhile."""
        if self._journal.take_batch(store_now=self._read_store_clock()) is not None:
            await self._read()
            await self._write()

    async def _write(self) -> None:
        state, journal = self._state, self._journal
        while not journal.awaits_rows:
            batch = journal.take_batch(store_now=self._read_store_clock())
            if batch is None:
                return
            put = {key: msgspec.msgpack.encode(row) for key, row in batch.put.items()}
            written = await write_rows(
                state.store, CRASHES_TABLE, put=put, remove=batch.remove
            )
            self._record_clock(written.now_ms)
            if written.is_kept:
                journal.confirm(batch)

    def _record_clock(self, store_ms: float) -> None:
        self._offset_ms = int(store_ms) - self._state.clock.now()

    def _read_store_clock(self) -> int:
        return self._state.clock.now() + self._offset_ms


def decode_row(key: str, value: bytes | None) -> CrashRow | None:
    """Return a row that was read from the store; ``None`` if it can't be read."""
    if value is None:
        return None
    try:
        row = decode_msgpack(value, CrashRow)
    except UndecodableError:
        return None
    kind, _, name = key.partition(" ")
    if kind not in (REQUEST, PART) or name != row.suspicion.fingerprint:
        return None
    return row


def _is_up_to_date(stored: CrashRow | None, row: CrashRow) -> bool:
    """Return whether a stored row needs no update by another one."""
    return (
        stored is not None
        and stored.suspicion == row.suspicion
        and row.expires_at - stored.expires_at <= MAX_EARLY_EXPIRY_MS
    )


def _compute_age_ms(row: CrashRow, store_now: int) -> int:
    return max(0, store_now - row.changed_at)
