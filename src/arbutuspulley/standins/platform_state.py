"""State of the platform stand-in, as pure functions without I/O or clock reads."""

import msgspec

from arbutuspulley.adapters.platform_messages import LoadReply, TransactRequest
from arbutuspulley.data import State, Value
from arbutuspulley.ports.platform import (
    ABSENT,
    Committed,
    Conflict,
    InstanceListing,
    Page,
    Row,
)

MINUTE_MS = 60_000
MAX_UNDO_TRANSACTIONS = 20_000
"""Maximum number of transactions that a restore can undo."""

DEFAULT_LOAD_MS_PER_GIB = 50
"""Default duration of a load at full speed, in ms per GiB."""


class _Undo(Value, frozen=True):
    """Rows of a transaction before it was applied; ``None`` if a row never existed."""

    revision: int
    rows: tuple[tuple[str, Row | None], ...]


class TableState(State):
    """The table and its undo log.

    :param rows: rows by key in order of revision, including deleted ones; a row that
        is written moves to the end.
    :param undo: undo records of the latest transactions.
    :param restores: number of restores; part of the table's id.
    """

    name: str
    rows: dict[str, Row] = msgspec.field(default_factory=dict)
    revision: int = ABSENT
    undo: list[_Undo] = msgspec.field(default_factory=list)
    restores: int = 0


class InstancesState(State):
    """The versions of the instance list, and its lag.

    :param versions: pairs of the time in ms at which a list was set and the list,
        oldest first.
    """

    lag_ms: int = 0
    versions: list[tuple[int, tuple[InstanceListing, ...]]] = msgspec.field(
        default_factory=list
    )


class WeightsState(State):
    """The limits of the weight store and its loads in progress.

    :param begun_at: start times in ms of recent loads.
    :param ends_at: end times in ms of the loads in progress.
    :param peak: maximum number of concurrent loads so far.
    """

    loads_per_minute: int = 60
    loads_at_once: int = 2
    load_ms_per_gib: int = DEFAULT_LOAD_MS_PER_GIB
    begun_at: list[int] = msgspec.field(default_factory=list)
    ends_at: list[int] = msgspec.field(default_factory=list)
    peak: int = 0


class RestoreError(Exception):
    """The revision to restore is unknown or too old."""


def read_row(table: TableState, key: str) -> Row | None:
    """Return the row, or ``None`` if it does not exist or was deleted."""
    row = table.rows.get(key)
    return None if row is None or row.deleted else row


def build_table_id(table: TableState) -> str:
    """Return the id of the table's history; it changes with each restore."""
    return f"{table.name}-{table.restores}"


def scan_rows(table: TableState, *, prefix: str, after: int, limit: int) -> Page:
    """Return rows with a key prefix that changed after a revision.

    Rows of one transaction are never split across pages, even if that exceeds the
    limit: a reader continues after the revision of a page and would miss the rest.
    """
    found = _list_changed(table, prefix=prefix, after=after)
    if len(found) <= limit:
        return _build_page(table, found, revision=table.revision, more=False)
    end = limit
    while end < len(found) and found[end].revision == found[end - 1].revision:
        end += 1
    more = end < len(found)
    revision = found[end - 1].revision if more else table.revision
    return _build_page(table, found[:end], revision=revision, more=more)


def transact(table: TableState, request: TransactRequest) -> Committed | Conflict:
    """Apply a transaction atomically, or return the first precondition that fails."""
    for expected in request.preconditions:
        row = read_row(table, expected.key)
        revision = ABSENT if row is None else row.revision
        if revision != expected.revision:
            return Conflict(key=expected.key, revision=revision)
    table.revision += 1
    before = tuple((write.key, table.rows.get(write.key)) for write in request.writes)
    table.undo.append(_Undo(revision=table.revision, rows=before))
    del table.undo[:-MAX_UNDO_TRANSACTIONS]
    for write in request.writes:
        table.rows.pop(write.key, None)
        table.rows[write.key] = Row(
            key=write.key,
            value=write.value or b"",
            revision=table.revision,
            deleted=write.value is None,
        )
    return Committed(revision=table.revision)


def restore(table: TableState, revision: int) -> None:
    """Restore the table to an earlier revision, as from a backup.

    :raises RestoreError: if the revision is unknown or no longer in the undo log.
    """
    oldest = table.undo[0].revision - 1 if table.undo else table.revision
    if not oldest <= revision <= table.revision:
        raise RestoreError(f"revision {revision} is not in {oldest}..{table.revision}")
    while table.undo and table.undo[-1].revision > revision:
        _undo_last(table)
    ordered = sorted(table.rows.values(), key=lambda row: row.revision)
    table.rows = {row.key: row for row in ordered}
    table.revision = revision
    table.restores += 1


def set_instances(
    state: InstancesState, listing: tuple[InstanceListing, ...], *, now: int
) -> None:
    """Set the instance list; readers see it after the lag."""
    state.versions.append((now, listing))


def list_instances(state: InstancesState, *, now: int) -> tuple[InstanceListing, ...]:
    """Return the instance list as of the configured lag ago."""
    seen: tuple[InstanceListing, ...] = ()
    for set_at, listing in state.versions:
        if set_at <= now - state.lag_ms:
            seen = listing
    return seen


def begin_load(state: WeightsState, *, memory_mib: int, now: int) -> LoadReply | None:
    """Admit a load, or return ``None`` if it would exceed the rate limit.

    The rate limit is spread evenly over the minute: a burst of ``loads_at_once`` loads
    may start together, further ones at intervals of ``60 s / loads_per_minute``. Loads
    above ``loads_at_once`` in progress are served, but take proportionally longer.
    """
    if get_load_wait_ms(state, now=now) > 0:
        return None
    interval = MINUTE_MS // state.loads_per_minute
    oldest_counted = now - interval * state.loads_at_once
    state.begun_at = [begun for begun in state.begun_at if begun > oldest_counted]
    state.begun_at.append(now)
    state.ends_at = [end for end in state.ends_at if end > now]
    concurrent_loads = len(state.ends_at) + 1
    state.peak = max(state.peak, concurrent_loads)
    full_speed_ms = max(1, memory_mib * state.load_ms_per_gib // 1024)
    slowdown = max(1.0, concurrent_loads / state.loads_at_once)
    duration_ms = int(full_speed_ms * slowdown)
    state.ends_at.append(now + duration_ms)
    return LoadReply(duration_ms=duration_ms)


def get_load_wait_ms(state: WeightsState, *, now: int) -> int:
    """Return the time in ms until the rate limit allows another load to start."""
    window = MINUTE_MS // state.loads_per_minute * state.loads_at_once
    recent = sorted(begun for begun in state.begun_at if begun > now - window)
    if len(recent) < state.loads_at_once:
        return 0
    return recent[-state.loads_at_once] + window - now


def _list_changed(table: TableState, *, prefix: str, after: int) -> list[Row]:
    found: list[Row] = []
    for row in reversed(table.rows.values()):
        if row.revision <= after:
            break
        if row.key.startswith(prefix) and (after > ABSENT or not row.deleted):
            found.append(row)
    found.reverse()
    return found


def _build_page(
    table: TableState, rows: list[Row], *, revision: int, more: bool
) -> Page:
    return Page(
        rows=tuple(rows),
        revision=revision,
        more=more,
        table_id=build_table_id(table),
    )


def _undo_last(table: TableState) -> None:
    for key, row in table.undo.pop().rows:
        table.rows.pop(key, None)
        if row is not None:
            table.rows[key] = row
