"""The session lease as its holder sees it."""

import random

import pytest

from arbutuspulley.membership import lease as leases
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.records import SessionRecord

LEASE_MS = 10_000
LAST_MS = 8_999
"""Last moment of a lease of 10 s with its margin of 1 s."""


def renew(state, now, revision):
    """Send a renewal that is confirmed at once."""
    renewal = leases.begin_renewal(state, now=now, chance=random.Random(now))
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
    leases.begin_renewal(state, now=0, chance=random.Random(0))
    assert not leases.may_order(state, now=0)


def test_paused_holder_resumes_without_its_lease():
    """A holder is stopped for a minute and wakes with an order prepared.

    Its last renewal was confirmed just before. Others took its servers over
    meanwhile; if it sent the order, two owners would order one server.
    """
    state = build_held()
    before = state.session
    assert not leases.may_order(state, now=60_000)
    renewal = renew(state, 60_000, 2)
    assert renewal.session != before
    assert renewal.ended == before
    assert leases.may_order(state, now=60_000)


def test_lost_renewal_reply_does_not_extend_the_lease():
    """A renewal is written, and the store goes away before its reply arrives.

    The holder can't know whether observers saw it. It counts from the renewal
    before, also when it later finds its own row with the new revision.
    """
    state = build_held()
    lost = leases.begin_renewal(state, now=5_000, chance=random.Random(1))
    row = build_row(lost.session)
    leases.resolve_conflict(state, row, revision=2, now=7_000)
    assert state.revision == 2
    assert leases.may_order(state, now=LAST_MS)
    assert not leases.may_order(state, now=LAST_MS + 1)


def test_late_confirmation_leaves_the_lease_expired():
    """The reply to a renewal arrives after 20 s of a slow store.

    It was written in time, but observers have seen no change since and may have
    acted. Counted from its arrival, the lease would run on beside theirs.
    """
    state = build_held()
    slow = leases.begin_renewal(state, now=1_000, chance=random.Random(1))
    leases.confirm_renewal(state, slow, revision=2)
    assert not leases.may_order(state, now=21_000)


def test_confirmation_of_an_earlier_session_is_ignored():
    state = build_held()
    late = leases.begin_renewal(state, now=8_000, chance=random.Random(1))
    leases.begin_renewal(state, now=30_000, chance=random.Random(2))
    leases.confirm_renewal(state, late, revision=2)
    assert not leases.may_order(state, now=8_001)


def test_unconfirmed_session_keeps_its_id():
    """The first renewal is written and its reply lost, twice.

    With a fresh id for each try, the row would hold a session that this process
    no longer knows, and it would take itself for displaced.
    """
    state = LeaseState(instance="a", lease_ms=LEASE_MS, revision=0)
    first = leases.begin_renewal(state, now=0, chance=random.Random(1))
    second = leases.begin_renewal(state, now=50_000, chance=random.Random(2))
    assert first.session == second.session
    leases.resolve_conflict(state, build_row(first.session), revision=7, now=50_000)
    assert renew(state, 50_001, 8).revision == 7


def test_displaced_process_stops_at_once_and_sends_no_renewals():
    """An instance is replaced under the same name while its process is paused.

    The old process wakes inside its lease and finds another session in its row.
    It must not order on, nor wrest the row back while the new one renews it.
    """
    state = build_held()
    leases.begin_renewal(state, now=2_000, chance=random.Random(1))
    leases.resolve_conflict(state, build_row("other"), revision=5, now=2_000)
    assert not leases.may_order(state, now=2_001)
    chance = random.Random(2)
    assert leases.begin_renewal(state, now=12_999, chance=chance) is None
    assert leases.begin_renewal(state, now=13_000, chance=chance) is not None


def test_abandoned_lease_requires_reading_its_row():
    state = build_held()
    before = state.session
    leases.abandon(state)
    assert not leases.may_order(state, now=1)
    assert leases.begin_renewal(state, now=1, chance=random.Random(1)) is None
    leases.adopt_row(state, revision=40)
    renewal = leases.begin_renewal(state, now=2, chance=random.Random(1))
    assert (renewal.revision, renewal.ended) == (40, before)
