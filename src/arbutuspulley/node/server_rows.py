"""Server entries of an instance, kept up to date from the server rows of the store.

A store that comes back from an older copy lists rows as they were some seconds ago.
They become the newest known rows, since whatever is written next is newer, but they
prove nothing about what is known since then: a server that left has left, and one that
is missing writes its row again if it is running.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.decoding import UndecodableError
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import RelayedRow, StoreUpdate
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform import names
from arbutuspulley.platform.messages import decode_server
from arbutuspulley.platform.store import StoredRow
from arbutuspulley.platform.transport import discard_idle_connections
from arbutuspulley.ports.fleet import ServerEntry
from arbutuspulley.ports.store_position import NO_POSITION, StorePosition
from arbutuspulley.routing.local_choice import evict_unlisted

LAPSED_ENTRY_GRACE_MS = 1_800
"""How long lapsed entries are kept after the store has recovered, in ms. Running
servers write their entries again within about 2 s; a server that left in the meantime
must get no request later than 2 s after its removal was seen."""

RESTORED_ENTRY_DELAY_MS = 5_000
"""How long a server whose removal was seen stays removed, in ms, if a copy lists it. By
then the store has removed the row again unless the server is running."""

MAX_REJECTED_ROWS = 1_000
"""Maximum number of rejected rows that are remembered, so that each is logged once."""

MAX_REMOVED_POSITIONS = 10_000
"""Maximum number of removed rows whose positions are kept, about 2 MB: the removals of
a month if some hundred servers are replaced per day."""


def apply_server_rows(
    state: NodeState,
    rows: list[StoredRow],
    *,
    is_full_read: bool,
    was_unavailable: bool,
    position: StorePosition = NO_POSITION,
    by: str = "store",
) -> StoreUpdate:
    """Update the server entries from rows of the store.

    Rows arrive by several paths, and the newest position of each wins: a row that was
    deferred by a relay must not restore a server that has left since.

    :param is_full_read: whether these are all server rows of the store.
    :param was_unavailable: whether the store was unavailable shortly before.
    :param position: position of the store that the rows were read at.
    :param by: source: ``store``, ``coordinator`` or ``follower``.
    :return: the rows that were newer than the known ones, and differ from them.
    """
    if is_full_read:
        missing = _list_missing(state, rows, position)
        rows = [*rows, *missing]
        was_unavailable = was_unavailable or _is_any_of_earlier_era(state, missing)
    rows = _keep_last(rows)
    newer = [row for row in rows if _is_newer(state, row, by=by)]
    newer = [row for row in newer if not _restamp_unchanged(state, row)]
    gone = {row.key: row.position for row in newer if row.value is None}
    for row in newer:
        _apply_row(state, row)
    state.store_position = max(state.store_position, position)
    if was_unavailable and gone:
        state.lapsing.update(gone)
        asyncio.get_running_loop().call_later(
            LAPSED_ENTRY_GRACE_MS / SECOND_MS, _drop_lapsed, state, gone
        )
    else:
        _drop_entries(state, gone)
    if newer:
        _evict_removed_positions(state)
        _rebuild_indexes(state)
    relayed = tuple(_build_relayed_row(state, row) for row in newer)
    return StoreUpdate(rows=relayed, was_away=was_unavailable)


def list_rows(state: NodeState, *, after: StorePosition) -> tuple[RelayedRow, ...]:
    """Return the server rows that were written after a position of the store."""
    return build_rows(state, list_row_keys(state, after=after))


def list_row_keys(state: NodeState, *, after: StorePosition) -> list[str]:
    """Return the keys of the rows that were written after a position of the store."""
    return [key for key, position in state.row_positions.items() if position > after]


def build_rows(state: NodeState, keys: Iterable[str]) -> tuple[RelayedRow, ...]:
    """Return the newest known rows of servers; forgotten ones are left out."""
    return tuple(
        RelayedRow(
            key=key,
            era=position.era,
            version=position.version,
            value=state.entry_bodies.get(key, b""),
        )
        for key in keys
        if (position := state.row_positions.get(key)) is not None
    )


def _build_relayed_row(state: NodeState, row: StoredRow) -> RelayedRow:
    """Build the message that relays a row, as a removal if the row is not used yet."""
    is_delayed = row.key not in state.entries and row.key not in state.refused_entries
    return RelayedRow(
        key=row.key,
        era=row.position.era,
        version=row.position.version,
        value=b"" if row.value is None or is_delayed else row.value,
    )


def _list_missing(
    state: NodeState, rows: list[StoredRow], position: StorePosition
) -> list[StoredRow]:
    """Return removals for known entries that are missing from a full read."""
    present = {row.key for row in rows}
    return [
        StoredRow(
            key=key,
            position=known if position == NO_POSITION else position,
            value=None,
        )
        for key, known in state.row_positions.items()
        if key in state.entries and key not in present and key not in state.lapsing
    ]


def _keep_last(rows: list[StoredRow]) -> list[StoredRow]:
    """Return the last row of each key, in order.

    One answer may have a removal and the row that was written after it.
    """
    last: dict[str, StoredRow] = {}
    for row in rows:
        known = last.pop(row.key, row)
        last[row.key] = max(row, known, key=lambda one: one.position)
    return list(last.values())


def _is_any_of_earlier_era(state: NodeState, rows: list[StoredRow]) -> bool:
    return any(state.row_positions[row.key].era < row.position.era for row in rows)


def _is_newer(state: NodeState, row: StoredRow, *, by: str) -> bool:
    known = state.row_positions.get(row.key)
    if known is None:
        return True
    if row.position != known:
        if row.position.era < known.era:
            _log_ignored(row, known, by=by)
        return row.position > known
    if row.value is None:
        return row.key in state.entries
    return state.entry_bodies.get(row.key) != row.value


def _log_ignored(row: StoredRow, known: StorePosition, *, by: str) -> None:
    log_event(
        Event.SERVER_ROW_IGNORED,
        server=row.key,
        era=row.position.era,
        version=row.position.version,
        known_era=known.era,
        known_version=known.version,
        by=by,
    )


def _restamp_unchanged(state: NodeState, row: StoredRow) -> bool:
    """Update only the position of a row that a later era lists as it is known.

    :return: whether the row is unchanged.
    """
    known = state.row_positions.get(row.key)
    if known is None or known.era == row.position.era or row.value is None:
        return False
    if state.entry_bodies.get(row.key) != row.value:
        return False
    state.row_positions[row.key] = row.position
    state.lapsing.pop(row.key, None)
    return True


def _apply_row(state: NodeState, row: StoredRow) -> None:
    known = state.row_positions.get(row.key, NO_POSITION)
    state.row_positions[row.key] = row.position
    if row.value is None:
        return
    is_from_copy = row.position.era > known.era and row.position.version < known.version
    if is_from_copy and _is_removed_start(state, row):
        asyncio.get_running_loop().call_later(
            RESTORED_ENTRY_DELAY_MS / SECOND_MS, _apply_delayed, state, row
        )
        return
    _apply_entry(state, row.key, row.value)


def _is_removed_start(state: NodeState, row: StoredRow) -> bool:
    """Return whether a row is of a start of a server whose removal was seen."""
    removed_start = state.removed_starts.get(row.key)
    if removed_start is None or row.value is None:
        return False
    try:
        return decode_server(row.key, row.value).started_ms <= removed_start
    except UndecodableError:
        return False


def _apply_delayed(state: NodeState, row: StoredRow) -> None:
    """Apply a row of a copy, unless the server's row has been written since."""
    if state.row_positions.get(row.key) != row.position or row.value is None:
        return
    state.removed_starts.pop(row.key, None)
    _apply_entry(state, row.key, row.value)
    _rebuild_indexes(state)
    state.notify_store_update(StoreUpdate(rows=(_build_relayed_row(state, row),)))


def _evict_removed_positions(state: NodeState) -> None:
    excess = len(state.row_positions) - len(state.entries) - MAX_REMOVED_POSITIONS
    if excess <= 0:
        return
    removed = (key for key in state.row_positions if key not in state.entries)
    oldest = sorted(removed, key=lambda key: state.row_positions[key])
    for key in oldest[:excess]:
        del state.row_positions[key]
        state.removed_starts.pop(key, None)


def load_entries(state: NodeState, bodies: dict[str, bytes]) -> None:
    """Load entries from another instance's snapshot if this instance has none."""
    if state.entries:
        return
    for server_id, body in bodies.items():
        state.row_positions.setdefault(server_id, NO_POSITION)
        _apply_entry(state, server_id, body)
    _rebuild_indexes(state)


def _apply_entry(state: NodeState, server_id: str, value: bytes) -> None:
    before = state.entries.get(server_id)
    try:
        entry = decode_server(server_id, value)
    except UndecodableError as error:
        _reject_entry(state, server_id, str(error))
        return
    if before is not None and entry.started_ms < before.started_ms:
        # A row of the server's previous incarnation that was written late. It would
        # restore the models that the server had loaded then.
        log_event(
            Event.SERVER_ENTRY_REFUSED, server=server_id, detail="an earlier start"
        )
        return
    state.refused_entries.pop(server_id, None)
    state.removed_starts.pop(server_id, None)
    was_lapsing = state.lapsing.pop(server_id, None) is not None
    if entry.is_leaving:
        state.leaving.add(entry.incarnation)
    elif entry.incarnation in state.leaving:
        entry = msgspec.structs.replace(entry, is_leaving=True)
    state.entries[server_id] = entry
    state.entry_bodies[server_id] = value
    # Other instances drop a lapsing server unless they hear of its row in time.
    has_changed_little = before is not None and _differs_in_loaded_models_only(
        before, entry
    )
    if has_changed_little and not was_lapsing:
        state.deferrable_rows.add(server_id)
    else:
        state.deferrable_rows.discard(server_id)
    if before is None or before.incarnation != entry.incarnation:
        _record_start(state, entry, before)
    if entry.is_leaving and (before is None or not before.is_leaving):
        _log_leaving(entry, by="store")


def mark_leaving(state: NodeState, incarnation: str, *, by: str) -> bool:
    """Mark a server as leaving, whatever its row in the store says.

    :param by: how it became known.
    :return: whether it was not known to be leaving by an answer before.
    """
    if not state.leaving.add(incarnation):
        return False
    entry = state.by_incarnation.get(incarnation)
    if entry is not None and not entry.is_leaving:
        _log_leaving(entry, by=by)
        state.entries[entry.server_id] = msgspec.structs.replace(entry, is_leaving=True)
        _rebuild_indexes(state)
    return True


def _log_leaving(entry: ServerEntry, *, by: str) -> None:
    log_event(
        Event.SERVER_LEAVING, server=entry.server_id, service=entry.service, by=by
    )


def _differs_in_loaded_models_only(before: ServerEntry, entry: ServerEntry) -> bool:
    return msgspec.structs.replace(before, loaded_models=entry.loaded_models) == entry


def _reject_entry(state: NodeState, server_id: str, why: str) -> None:
    """Reject a row that is not a valid server entry; logged once per reason.

    A server whose row was overwritten by another writer is not used until it writes its
    row again, which it does with its next heartbeat.
    """
    if state.entries.pop(server_id, None) is not None:
        state.entry_bodies.pop(server_id, None)
    if state.refused_entries.get(server_id) == why:
        return
    if len(state.refused_entries) >= MAX_REJECTED_ROWS:
        state.refused_entries.clear()
    state.refused_entries[server_id] = why
    state.metrics.undecodable_rows.labels(names.SERVERS_TABLE).inc()
    log_event(Event.SERVER_ENTRY_REFUSED, server=server_id, detail=why)


def _record_start(
    state: NodeState, entry: ServerEntry, before: ServerEntry | None
) -> None:
    if before is not None and state.session is not None:
        # Pooled connections belong to the previous incarnation: a request that is sent
        # on one fails and may not be retried.
        discard_idle_connections(state.session, entry.address)
    log_event(
        Event.SERVER_LISTED,
        server=entry.server_id,
        service=entry.service,
        address=entry.address,
        born_ms=entry.started_ms,
        version=entry.software_version.name,
    )


def _drop_lapsed(state: NodeState, gone: dict[str, StorePosition]) -> None:
    """Drop lapsed entries that were not written again after the store recovered.

    :param gone: positions at which the rows were removed, by server id.
    """
    dropped = {
        server_id: position
        for server_id, position in gone.items()
        if state.lapsing.get(server_id) == position
    }
    _drop_entries(state, dropped)
    rows = tuple(
        RelayedRow(key=key, era=position.era, version=position.version)
        for key, position in dropped.items()
    )
    if rows:
        state.notify_store_update(StoreUpdate(rows=rows))


def _drop_entries(state: NodeState, gone: Iterable[str]) -> None:
    is_changed = False
    for server_id in gone:
        state.refused_entries.pop(server_id, None)
        state.lapsing.pop(server_id, None)
        entry = state.entries.pop(server_id, None)
        if entry is not None:
            state.entry_bodies.pop(server_id, None)
            state.deferrable_rows.discard(server_id)
            state.removed_starts[server_id] = entry.started_ms
            is_changed = True
            log_event(Event.SERVER_GONE, server=server_id, service=entry.service)
    if is_changed:
        _rebuild_indexes(state)


def _rebuild_indexes(state: NodeState) -> None:
    by_service: dict[str, list[ServerEntry]] = {}
    for entry in state.entries.values():
        by_service.setdefault(entry.service, []).append(entry)
    state.by_service = by_service
    state.software_versions.update(by_service, now=state.clock.now())
    state.by_incarnation = {
        entry.incarnation: entry for entry in state.entries.values()
    }
    state.server_starts.set_listed(state.by_incarnation)
    evict_unlisted(state.server_stats, state.entries.values())
    state.leaving.evict_unlisted(state.by_incarnation)
    state.cooldowns.evict(state.by_incarnation, now=state.clock.now())
    state.notify_change()
