"""Server entries of an instance, kept up to date from the server rows of the store."""

import asyncio

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import RelayedRow, StoreUpdate
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.messages import InvalidServerEntryError, decode_server
from arbutuspulley.platform.store import StoredRow
from arbutuspulley.platform.transport import discard_idle_connections
from arbutuspulley.ports.fleet import ServerEntry
from arbutuspulley.routing.local_choice import evict_unlisted

LAPSED_ENTRY_GRACE_MS = 1_800
"""How long lapsed entries are kept after the store has recovered, in ms. Running
servers write their entries again within about 2 s; a server that left in the meantime
must get no request later than 2 s after its removal was seen."""

MAX_REJECTED_ROWS = 1_000
"""Maximum number of rejected rows that are remembered, so that each is logged once."""

MAX_REMOVED_VERSIONS = 10_000
"""Maximum number of removed rows whose versions are kept, about 1 MB: the removals of a
month if some hundred servers are replaced per day."""


def apply_server_rows(
    state: NodeState,
    rows: list[StoredRow],
    *,
    is_full_read: bool,
    was_unavailable: bool,
    version: int = 0,
    by: str = "store",
) -> StoreUpdate:
    """Update the server entries from rows of the store.

    Rows arrive by several paths, and the newest version of each wins: a row that was
    deferred by a relay must not restore a server that has left since.

    :param is_full_read: whether these are all server rows of the store.
    :param was_unavailable: whether the store was unavailable shortly before.
    :param version: version of the store that the rows were read at; 0: unknown.
    :param by: source: ``store``, ``coordinator`` or ``follower``.
    :return: the rows that were newer than the known ones.
    """
    if is_full_read:
        rows = [*rows, *_list_missing(state, rows, version)]
    newer = [row for row in rows if _is_newer(state, row, by=by)]
    gone = [row.key for row in newer if row.value is None]
    for row in newer:
        state.row_versions[row.key] = row.version
        if row.value is not None:
            _apply_entry(state, row.key, row.value)
    state.store_version = max(state.store_version, version)
    if was_unavailable and gone:
        asyncio.get_running_loop().call_later(
            LAPSED_ENTRY_GRACE_MS / SECOND_MS,
            _drop_lapsed,
            state,
            gone,
            dict(state.entry_bodies),
        )
    else:
        _drop_entries(state, gone, state.entry_bodies)
    if newer:
        _evict_removed_versions(state)
        _rebuild_indexes(state)
    relayed = tuple(
        RelayedRow(key=row.key, version=row.version, value=row.value or b"")
        for row in newer
    )
    return StoreUpdate(rows=relayed, was_away=was_unavailable)


def list_rows(state: NodeState, *, after: int) -> tuple[RelayedRow, ...]:
    """Return the server rows that were written after a version of the store."""
    return tuple(
        RelayedRow(key=key, version=version, value=state.entry_bodies.get(key, b""))
        for key, version in state.row_versions.items()
        if version > after
    )


def _list_missing(
    state: NodeState, rows: list[StoredRow], version: int
) -> list[StoredRow]:
    """Return removals for known entries that are missing from a full read."""
    present = {row.key for row in rows}
    return [
        StoredRow(key=key, version=version or known, value=None)
        for key, known in state.row_versions.items()
        if key in state.entries and key not in present
    ]


def _is_newer(state: NodeState, row: StoredRow, *, by: str) -> bool:
    known = state.row_versions.get(row.key, -1)
    if row.version < known and state.entry_bodies.get(row.key) != row.value:
        log_event(
            Event.SERVER_ROW_IGNORED,
            server=row.key,
            version=row.version,
            known=known,
            by=by,
        )
    if row.version != known:
        return row.version > known
    if row.value is None:
        return row.key in state.entries
    return state.entry_bodies.get(row.key) != row.value


def _evict_removed_versions(state: NodeState) -> None:
    excess = len(state.row_versions) - len(state.entries) - MAX_REMOVED_VERSIONS
    if excess <= 0:
        return
    removed = (key for key in state.row_versions if key not in state.entries)
    oldest = sorted(removed, key=lambda key: state.row_versions[key])
    for key in oldest[:excess]:
        del state.row_versions[key]


def load_entries(state: NodeState, bodies: dict[str, bytes]) -> None:
    """Load entries from another instance's snapshot if this instance has none."""
    if state.entries:
        return
    for server_id, body in bodies.items():
        state.row_versions.setdefault(server_id, 0)
        _apply_entry(state, server_id, body)
    _rebuild_indexes(state)


def _apply_entry(state: NodeState, server_id: str, value: bytes) -> None:
    before = state.entries.get(server_id)
    try:
        entry = decode_server(server_id, value)
    except (msgspec.MsgspecError, InvalidServerEntryError) as error:
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
    if entry.incarnation in state.leaving:
        entry = msgspec.structs.replace(entry, is_leaving=True)
    state.entries[server_id] = entry
    state.entry_bodies[server_id] = value
    if before is not None and _differs_in_loaded_models_only(before, entry):
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
    )


def _drop_lapsed(state: NodeState, gone: list[str], snapshot: dict[str, bytes]) -> None:
    """Drop lapsed entries that were not written again after the store recovered."""
    dropped = [
        server_id
        for server_id in gone
        if state.entry_bodies.get(server_id) is snapshot.get(server_id)
    ]
    _drop_entries(state, gone, snapshot)
    rows = tuple(
        RelayedRow(key=key, version=state.row_versions.get(key, 0)) for key in dropped
    )
    if rows:
        state.notify_store_update(StoreUpdate(rows=rows))


def _drop_entries(
    state: NodeState, gone: list[str], snapshot: dict[str, bytes]
) -> None:
    """Drop entries that were not written again since ``snapshot`` was taken.

    :param snapshot: bodies of the entries at that time, by server id.
    """
    is_changed = False
    for server_id in gone:
        state.refused_entries.pop(server_id, None)
        entry = state.entries.get(server_id)
        body = state.entry_bodies.get(server_id)
        if entry is not None and snapshot.get(server_id) is body:
            del state.entries[server_id]
            state.entry_bodies.pop(server_id, None)
            state.deferrable_rows.discard(server_id)
            is_changed = True
            log_event(Event.SERVER_GONE, server=server_id, service=entry.service)
    if is_changed:
        _rebuild_indexes(state)


def _rebuild_indexes(state: NodeState) -> None:
    by_service: dict[str, list[ServerEntry]] = {}
    for entry in state.entries.values():
        by_service.setdefault(entry.service, []).append(entry)
    state.by_service = by_service
    state.by_incarnation = {
        entry.incarnation: entry for entry in state.entries.values()
    }
    evict_unlisted(state.server_stats, state.entries.values())
    state.leaving.evict_unlisted(state.by_incarnation)
    state.cooldowns.evict(state.by_incarnation, now=state.clock.now())
    state.notify_change()
