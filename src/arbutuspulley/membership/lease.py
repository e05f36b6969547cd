"""The session lease of one instance, as its holder sees it.

One renewal keeps all that the instance owns: at the default of one renewal in
2.5 s, 6 instances write 2.4 rows a second. 360 instances would write 144; with
``--renew-ms 5000 --lease-ms 20000`` they write 72, of several hundred allowed.

The holder never asks the store whether its lease still runs: its deadline is
counted on its own monotonic clock from the moment it *sent* the last renewal
that was confirmed. Observers count later, from seeing the row change, and wait
a margin longer, so the holder always stops first.
"""

import random

from arbutuspulley.data import State, Value
from arbutuspulley.membership.records import SessionRecord

MARGIN_DIVISOR = 10
"""The margin is this part of the lease: a tenth, on either side."""

_SESSION_BITS = 64


class LeaseState(State):
    """What a holder knows of its own lease.

    :param session: the session now being taken or held; empty before the first.
    :param ended: the session that this process held before, if it lapsed.
    :param renewal: number of the last renewal sent.
    :param revision: revision of the own row as last known, 0 if it is absent;
        ``None`` if it must be read before the next renewal.
    :param sent_at: when the last confirmed renewal of ``session`` was sent, in
        milliseconds; ``None`` if none was confirmed.
    :param displaced_at: when another process was found to hold the row of this
        instance; ``None`` if none does.
    """

    instance: str
    lease_ms: int
    session: str = ""
    ended: str = ""
    renewal: int = 0
    revision: int | None = None
    sent_at: int | None = None
    displaced_at: int | None = None


class Renewal(Value, frozen=True):
    """One renewal about to be sent.

    :param revision: what the own row's revision must still be.
    """

    session: str
    ended: str
    number: int
    revision: int
    sent_at: int


def compute_margin(lease_ms: int) -> int:
    """Return how much earlier a holder stops, and how much later others act."""
    return lease_ms // MARGIN_DIVISOR


def may_order(state: LeaseState, *, now: int) -> bool:
    """Tell whether the lease certainly still runs; ask right before each order.

    A holder that was paused wakes with a clock that went on, so the answer is no
    before it can send what it had prepared. What is sent between this check and a
    pause is caught by the fencing number or by the ledger.
    """
    if state.sent_at is None or state.displaced_at is not None:
        return False
    return now < state.sent_at + state.lease_ms - compute_margin(state.lease_ms)


def begin_renewal(
    state: LeaseState, *, now: int, chance: random.Random
) -> Renewal | None:
    """Prepare the next renewal, under a new session if the old one lapsed.

    A session that was never confirmed keeps its id: the reply to its first renewal
    may have been lost, and the row that it left must still be known as one's own.

    :return: the renewal to send, or ``None`` while another process holds the row
        or the row's revision isn't known.
    """
    if state.revision is None or _is_displaced(state, now=now):
        return None
    if not state.session or _is_expired(state, now=now):
        _begin_session(state, chance=chance)
    state.displaced_at = None
    state.renewal += 1
    return Renewal(
        session=state.session,
        ended=state.ended,
        number=state.renewal,
        revision=state.revision,
        sent_at=now,
    )


def confirm_renewal(state: LeaseState, renewal: Renewal, *, revision: int) -> None:
    """Take in that a renewal was committed.

    The lease counts from when the renewal was sent. A confirmation that comes
    very late therefore leaves the lease lapsed, as observers may already have
    acted on it.
    """
    if renewal.session != state.session:
        return
    state.revision = revision
    state.sent_at = renewal.sent_at


def resolve_conflict(
    state: LeaseState, row: SessionRecord | None, *, revision: int, now: int
) -> None:
    """Take in what the own row holds after a renewal met another revision.

    A row with the own session is the effect of a renewal whose reply was lost: its
    revision is adopted, but the lease isn't extended by it. A row of another
    process means that this one was replaced while it was paused: it stops ordering
    at once and keeps away until that process has lapsed too.

    :param row: the row as read back, or ``None`` if it is absent.
    :param revision: its revision; 0 if it is absent.
    """
    state.revision = revision
    if row is None or row.session in (state.session, state.ended):
        return
    _end_session(state)
    state.displaced_at = now


def adopt_row(state: LeaseState, *, revision: int) -> None:
    """Take in the revision of the own row, read before the first renewal.

    A row left by an earlier process of this instance may be overwritten: its
    session id isn't reused, so its ownership still has to lapse for observers.
    """
    state.revision = revision


def abandon(state: LeaseState) -> None:
    """Give the lease up at once: the table was restored, or the process stops."""
    _end_session(state)
    state.displaced_at = None
    state.revision = None


def build_record(
    renewal: Renewal,
    *,
    instance: str,
    site: str,
    address: str,
    entries: tuple[str, ...],
) -> SessionRecord:
    """Return the row that a renewal writes."""
    return SessionRecord(
        instance=instance,
        session=renewal.session,
        site=site,
        address=address,
        entries=entries,
        renewal=renewal.number,
        ended=renewal.ended,
    )


def _begin_session(state: LeaseState, *, chance: random.Random) -> None:
    _end_session(state)
    state.session = f"{chance.getrandbits(_SESSION_BITS):016x}"


def _end_session(state: LeaseState) -> None:
    if state.sent_at is not None:
        state.ended = state.session
    state.session = ""
    state.sent_at = None


def _is_expired(state: LeaseState, *, now: int) -> bool:
    return state.sent_at is not None and not may_order(state, now=now)


def _is_displaced(state: LeaseState, *, now: int) -> bool:
    if state.displaced_at is None:
        return False
    wait = state.lease_ms + compute_margin(state.lease_ms)
    return now < state.displaced_at + wait
