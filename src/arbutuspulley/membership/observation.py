"""Live and expired sessions, as observed by one instance.

Clocks of instances are not synchronised, so rows contain no times. A session expires
when its row's revision has not changed for a lease and a margin on the observer's own
monotonic clock. Only time up to the last successful scan counts: time in which the
store could not be read proves nothing.
"""

from collections.abc import Iterable

from arbutuspulley.data import State, Value
from arbutuspulley.membership.lease import compute_margin
from arbutuspulley.membership.records import SessionRecord

STALE_LEASES = 30
"""Time without a renewal after which a session's row is deleted, in leases."""


class SessionRow(Value, frozen=True):
    """A session row as read.

    :param record: its content, or ``None`` if the row was deleted.
    """

    instance: str
    revision: int
    record: SessionRecord | None


class ObservationState(State):
    """All sessions of a group, as known to an observer.

    :param rows: the latest row of each instance that has one.
    :param last_seen: when each session was last seen to be renewed, in milliseconds of
        the observer's clock, by session id; ended sessions are removed.
    :param ended: ids of sessions that their own holder has ended.
    :param checked_at: when the last successful scan was sent.
    """

    lease_ms: int
    rows: dict[str, SessionRow] = {}
    last_seen: dict[str, int] = {}
    ended: set[str] = set()
    checked_at: int | None = None


def apply_scan(
    state: ObservationState, rows: Iterable[SessionRow], *, sent_at: int, now: int
) -> None:
    """Update the state with a successful scan.

    After an outage every row seems unchanged for its whole duration. If all sessions
    counted as expired then, every server would move at once. So a gap between the
    observer's own scans restarts the timeouts of all sessions.

    :param rows: the session rows that changed since the last scan.
    :param sent_at: when the scan was sent.
    :param now: when its answer was received.
    """
    if state.checked_at is not None and sent_at - state.checked_at > _get_max_gap_ms(
        state
    ):
        state.last_seen = dict.fromkeys(state.last_seen, now)
    update_rows(state, rows, now=now)
    state.checked_at = sent_at


def update_rows(
    state: ObservationState, rows: Iterable[SessionRow], *, now: int
) -> None:
    """Update the state with session rows from own transactions, without a scan."""
    for row in rows:
        _update_row(state, row, now=now)


def track_session(state: ObservationState, session: str, *, now: int) -> None:
    """Track a session that an ownership row references.

    The full timeout of a session that was never seen to be renewed, for example
    because its instance restarted before this observer did, starts with this call.
    """
    if session and session not in state.ended:
        state.last_seen.setdefault(session, now)


def is_expired(state: ObservationState, session: str) -> bool:
    """Return whether a session's holder has certainly stopped giving orders.

    If another process of the same instance has overwritten the row, this is not
    certain: the earlier process may be paused. Only a row in which the holder itself
    ends the session, or the timeout, proves it.
    """
    if not session or session in state.ended:
        return True
    last_seen = state.last_seen.get(session)
    if last_seen is None or state.checked_at is None:
        return False
    return state.checked_at - last_seen >= state.lease_ms + compute_margin(
        state.lease_ms
    )


def list_live(state: ObservationState) -> frozenset[str]:
    """Return the instances whose current session has not expired."""
    return frozenset(
        instance
        for instance, row in state.rows.items()
        if row.record is not None and not is_expired(state, row.record.session)
    )


def list_stale_rows(
    state: ObservationState, *, referenced: frozenset[str]
) -> list[SessionRow]:
    """Return rows of sessions that expired long ago and own no servers.

    Instances are replaced daily under new names; without this, their rows would never
    be deleted.

    :param referenced: the sessions that ownership rows reference.
    """
    stale: list[SessionRow] = []
    for row in state.rows.values():
        session = row.record.session if row.record else ""
        last_seen = state.last_seen.get(session)
        if last_seen is None or session in referenced or state.checked_at is None:
            continue
        if state.checked_at - last_seen >= STALE_LEASES * state.lease_ms:
            stale.append(row)
    return stale


def find_session_row(state: ObservationState, session: str) -> SessionRow | None:
    """Return the row that currently contains a session, or ``None``."""
    for row in state.rows.values():
        if row.record is not None and row.record.session == session:
            return row
    return None


def prune_sessions(state: ObservationState, *, referenced: frozenset[str]) -> None:
    """Remove sessions that no session row contains and no ownership row references.

    :param referenced: the sessions that ownership rows reference.
    """
    current = {row.record.session for row in state.rows.values() if row.record}
    kept = current | referenced
    state.last_seen = {key: at for key, at in state.last_seen.items() if key in kept}
    state.ended &= kept


def reset(state: ObservationState) -> None:
    """Clear the state after the table was restored from a backup."""
    state.rows = {}
    state.last_seen = {}
    state.ended = set()
    state.checked_at = None


def _update_row(state: ObservationState, row: SessionRow, *, now: int) -> None:
    known = state.rows.get(row.instance)
    if row.record is None:
        if known is not None and known.record is not None:
            _end_session(state, known.record.session)
        state.rows.pop(row.instance, None)
        return
    if known is not None and known.revision >= row.revision:
        return
    state.rows[row.instance] = row
    if row.record.ended:
        _end_session(state, row.record.ended)
    if row.record.session not in state.ended:
        state.last_seen[row.record.session] = now


def _end_session(state: ObservationState, session: str) -> None:
    state.ended.add(session)
    state.last_seen.pop(session, None)


def _get_max_gap_ms(state: ObservationState) -> int:
    return state.lease_ms
