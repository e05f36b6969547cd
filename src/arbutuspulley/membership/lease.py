"""The session lease of one instance, from its holder's side.

One renewal covers all servers that the instance owns: with one renewal every 2.5 s,
the default, 6 instances write 2.4 rows per second. 360 instances would write 144; with
``--renew-ms 5000 --lease-ms 20000`` they write 72, of several hundred allowed.

The holder never asks the store whether its lease is valid: its deadline is measured on
its own monotonic clock from when it *sent* the last confirmed renewal. Observers
measure from when they see the row change, which is later, and wait a margin longer, so
the holder always stops first.
"""

import random

from arbutuspulley.data import State, Value
from arbutuspulley.membership.records import SessionRecord

MARGIN_DIVISOR = 10
"""Lease duration divided by the margin: the margin is a tenth, on either side."""

_SESSION_BITS = 64


class LeaseState(State):
    """State of a lease as known to its holder.

    :param session: the session that is being started or held; empty before the first.
    :param ended: this process's previous session, if it expired.
    :param renewal: number of the last renewal sent.
    :param revision: last known revision of the own row, 0 if it is absent; ``None`` if
        it must be read before the next renewal.
    :param sent_at: when the last confirmed renewal of ``session`` was sent, in
        milliseconds; ``None`` if none was confirmed.
    :param displaced_at: when another process was found to hold this instance's row;
        ``None`` if none does.
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
    """A renewal to be sent.

    :param revision: expected revision of the own row.
    """

    session: str
    ended: str
    number: int
    revision: int
    sent_at: int


def compute_margin(lease_ms: int) -> int:
    """Return how much earlier than the lease a holder stops giving orders, and how much
    later observers consider it expired, in ms.
    """
    return lease_ms // MARGIN_DIVISOR


def may_order(state: LeaseState, *, now: int) -> bool:
    """Return whether the lease is certainly valid; call right before each order.

    The clock of a paused process continues, so a holder that resumes finds its lease
    expired before it can send a prepared order. An order that is sent after a pause
    between this check and the sending is caught by the fencing token or the ledger.
    """
    if state.sent_at is None or state.displaced_at is not None:
        return False
    return now < state.sent_at + state.lease_ms - compute_margin(state.lease_ms)


def begin_renewal(state: LeaseState, *, now: int, rng: random.Random) -> Renewal | None:
    """Prepare the next renewal, with a new session if the old one expired.

    A session that was never confirmed keeps its id: the reply to its first renewal may
    have been lost, and the holder must recognise the row as its own.

    :return: the renewal to send, or ``None`` while another process holds the row
        or the row's revision isn't known.
    """
    if state.revision is None or _is_displaced(state, now=now):
        return None
    if not state.session or _is_expired(state, now=now):
        _begin_session(state, rng=rng)
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
    """Update the state after a renewal was committed.

    The lease starts when the renewal was sent. After a very late confirmation it
    therefore remains expired, as observers may already have acted on the expiry.
    """
    if renewal.session != state.session:
        return
    state.revision = revision
    state.sent_at = renewal.sent_at


def resolve_conflict(
    state: LeaseState, row: SessionRecord | None, *, revision: int, now: int
) -> None:
    """Update the state with the own row after a renewal conflicted with its revision.

    A row with the own session results from a renewal whose reply was lost: its
    revision is adopted, but the lease isn't extended. A row of another process means
    that this process was replaced while it was paused: it stops giving orders at once
    and sends no renewals until the other process's lease has expired too.

    :param row: the row as read back, or ``None`` if it is absent.
    :param revision: its revision; 0 if it is absent.
    """
    state.revision = revision
    if row is None or row.session in (state.session, state.ended):
        return
    _end_session(state)
    state.displaced_at = now


def adopt_row(state: LeaseState, *, revision: int) -> None:
    """Set the revision of the own row, read before the first renewal.

    A row of an earlier process of this instance may be overwritten: its session id
    isn't reused, so observers still wait until its ownership has expired.
    """
    state.revision = revision


def abandon(state: LeaseState) -> None:
    """End the lease at once, as the table was restored or the process stops."""
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


def _begin_session(state: LeaseState, *, rng: random.Random) -> None:
    _end_session(state)
    state.session = f"{rng.getrandbits(_SESSION_BITS):016x}"


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
