"""The session lease from its holder's side."""

import random

import pytest

from arbutuspulley.membership import lease as leases
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.records import SessionRecord

LEASE_MS = 10_000
LAST_MS = 8_999
"""Last ms in which orders are allowed: a lease of 10 s with a margin of 1 s."""


def renew(state, now, revision):
    """Send a renewal that is confirmed immediately."""
    renewal = leases.begin_renewal(state, now=now, rng=random.Random(now))
    leases.confirm_renewal(state, renewal, revision=revision)
    return renewal


def build_held(now=0):
    state = LeaseState(instance="a", lease_ms=LEASE_MS, revision=0)
    renew(state, now, 1)
    return state


def build_row(session):
    return SessionRecord(instance="a", session=session, site="s", address="x:1")


@pytest.mark.parametrize(
    ("now", "allowed"), [(0, True), (LAST_MS, True), (9_000, False), (10**9, False)]
)
def test_orders_are_allowed_until_the_margin(now, allowed):
    assert leases.may_order(build_held(), now=now) is allowed


def test_no_orders_before_the_first_confirmation():
    state = LeaseState(instance="a", lease_ms=LEASE_MS, revision=0)
    leases.begin_renewal(state, now=0, rng=random.Random(0))
    assert not leases.may_order(state, now=0)


def test_paused_holder_resumes_without_its_lease():
    """A holder is paused for a minute and resumes with a prepared order.

    Its last renewal was confirmed just before. Other instances have claimed its servers
    meanwhile; if it sent the order, two owners would give orders to one server.
    """
    state = build_held()
    before = state.session
    assert not leases.may_order(state, now=60_000)
    renewal = renew(state, 60_000, 2)
    assert renewal.session != before
    assert renewal.ended == before
    assert leases.may_order(state, now=60_000)


def test_lost_renewal_reply_does_not_extend_the_lease():
    """A renewal is written, and the store becomes unavailable before the reply arrives.

    The holder can't know whether observers saw it. Its lease is still measured from
    the previous renewal, even if it later reads its own row at the new revision.
    """
    state = build_held()
    lost = leases.begin_renewal(state, now=5_000, rng=random.Random(1))
    row = build_row(lost.session)
    leases.resolve_conflict(state, row, revision=2, now=7_000)
    assert state.revision == 2
    assert leases.may_order(state, now=LAST_MS)
    assert not leases.may_order(state, now=LAST_MS + 1)


def test_late_confirmation_leaves_the_lease_expired():
    """The reply to a renewal arrives after 20 s from a slow store.

    The renewal was written in time, but observers have seen no change since and may
    have acted on that. Measured from the reply, the lease would overlap with theirs.
    """
    state = build_held()
    slow = leases.begin_renewal(state, now=1_000, rng=random.Random(1))
    leases.confirm_renewal(state, slow, revision=2)
    assert not leases.may_order(state, now=21_000)


def test_confirmation_of_an_earlier_session_is_ignored():
    state = build_held()
    late = leases.begin_renewal(state, now=8_000, rng=random.Random(1))
    leases.begin_renewal(state, now=30_000, rng=random.Random(2))
    leases.confirm_renewal(state, late, revision=2)
    assert not leases.may_order(state, now=8_001)


def test_unconfirmed_session_keeps_its_id():
    """The first renewal is written and its reply is lost, twice.

    With a new id for each attempt, the row would have a session that this process no
    longer knows, and the process would consider itself displaced.
    """
    state = LeaseState(instance="a", lease_ms=LEASE_MS, revision=0)
    first = leases.begin_renewal(state, now=0, rng=random.Random(1))
    second = leases.begin_renewal(state, now=50_000, rng=random.Random(2))
    assert first.session == second.session
    leases.resolve_conflict(state, build_row(first.session), revision=7, now=50_000)
    assert renew(state, 50_001, 8).revision == 7


def test_displaced_process_stops_at_once_and_sends_no_renewals():
    """An instance is replaced under the same name while its process is paused.

    The old process resumes within its lease and finds another session in its row. It
    must neither give orders nor overwrite the row while the new process renews it.
    """
    state = build_held()
    leases.begin_renewal(state, now=2_000, rng=random.Random(1))
    leases.resolve_conflict(state, build_row("other"), revision=5, now=2_000)
    assert not leases.may_order(state, now=2_001)
    rng = random.Random(2)
    assert leases.begin_renewal(state, now=12_999, rng=rng) is None
    assert leases.begin_renewal(state, now=13_000, rng=rng) is not None


def test_abandoned_lease_requires_reading_its_row():
    state = build_held()
    before = state.session
    leases.abandon(state)
    assert not leases.may_order(state, now=1)
    assert leases.begin_renewal(state, now=1, rng=random.Random(1)) is None
    leases.adopt_row(state, revision=40)
    renewal = leases.begin_renewal(state, now=2, rng=random.Random(1))
    assert (renewal.revision, renewal.ended) == (40, before)
