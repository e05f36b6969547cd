"""Which sessions run and which are over, as one instance observes them.

Clocks of instances are not synchronised, so no time is read from a row. What
counts is how long, on the observer's own monotonic clock, a row's revision has
not changed, and only as far as the store was asked: time in which it could not
be read proves nothing.
"""

from collections.abc import Iterable

from arbutuspulley.data import State, Value
from arbutuspulley.membership.lease import compute_margin
from arbutuspulley.membership.records import SessionRecord

STALE_LEASES = 30
"""Leases after which the row of a lapsed session is deleted."""


class SessionRow(Value, frozen=True):
    """A session row as read.

    :param record: its content, or ``None`` if the row was deleted.
    """

    instance: str
    revision: int
    record: SessionRecord | None


class ObservationState(State):
    """What an observer knows of all sessions of its group.

    :param rows: the latest row of each instance that has one.
    :param last_seen: when each session id last showed a sign of life, in milliseconds
        of the observer's clock; those known to be over are not in it.
    :param ended: session ids that their own holder has given up.
    :param checked_at: when the last scan that succeeded was sent.
    """

    lease_ms: int
    rows: dict[str, SessionRow] = {}
    last_seen: dict[str, int] = {}
    ended: set[str] = set()
    checked_at: int | None = None


def apply_scan(
    state: ObservationState, rows: Iterable[SessionRow], *, sent_at: int, now: int
) -> None:
    """Take in a scan that succeeded.

    After an outage every row looks unchanged for its whole length. Taking all
    sessions for lapsed then would move every server at once, so a gap in the
    observer's own reading starts all its waits again.

    :param rows: the session rows that changed since the last scan.
    :param sent_at: when the scan was sent.
    :param now: when its answer was there.
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
    """Take in session rows that are known otherwise, as own transactions are."""
    for row in rows:
        _update_row(state, row, now=now)


def track_session(state: ObservationState, session: str, *, now: int) -> None:
    """Take in that an ownership row names a session.

    One that was never seen alive, for example because its instance restarted
    before this observer did, gets the full wait from its first mention.
    """
    if session and session not in state.ended:
        state.last_seen.setdefault(session, now)


def is_expired(state: ObservationState, session: str) -> bool:
    """Tell whether a session's holder has certainly stopped ordering.

    A row that another process of the same instance has overwritten doesn't prove
    it: the earlier process may be paused. Only its holder's word or the time does.
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
    """Return the instances whose present session is not over."""
    return frozenset(
        instance
        for instance, row in state.rows.items()
        if row.record is not None and not is_expired(state, row.record.session)
    )


def list_stale_rows(
    state: ObservationState, *, referenced: frozenset[str]
) -> list[SessionRow]:
    """Return rows of sessions that were over long ago and own nothing any more.

    Instances are replaced daily under new names; without this their rows stay.

    :param referenced: the sessions that ownership rows name.
    """
    dead: list[SessionRow] = []
    for row in state.rows.values():
        session = row.record.session if row.record else ""
        last_seen = state.last_seen.get(session)
        if last_seen is None or session in referenced or state.checked_at is None:
            continue
        if state.checked_at - last_seen >= STALE_LEASES * state.lease_ms:
            dead.append(row)
    return dead


def find_session_row(state: ObservationState, session: str) -> SessionRow | None:
    """Return the row that holds a session at present, if any does."""
    for row in state.rows.values():
        if row.record is not None and row.record.session == session:
            return row
    return None


def prune_sessions(state: ObservationState, *, referenced: frozenset[str]) -> None:
    """Drop sessions that no row holds or names any more.

    :param referenced: the sessions that ownership rows name.
    """
    held = {row.record.session for row in state.rows.values() if row.record}
    kept = held | referenced
    state.last_seen = {key: at for key, at in state.last_seen.items() if key in kept}
    state.ended &= kept


def reset(state: ObservationState) -> None:
    """Begin anew, as the table's history was replaced by a backup's."""
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
