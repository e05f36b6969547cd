"""Expiry of sessions as seen by an observer."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutuspulley.membership import lease as leases
from arbutuspulley.membership import observation as observing
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.observation import ObservationState, SessionRow
from arbutuspulley.membership.records import SessionRecord

LEASE_MS = 10_000
EXPIRY_MS = 11_000
"""Lease plus margin: time after which a session expires for an observer."""


def build_row(instance="a", session="s1", revision=1, ended=""):
    record = SessionRecord(
        instance=instance, session=session, site="x", address="x:1", ended=ended
    )
    return SessionRow(instance=instance, revision=revision, record=record)


def scan_until(state, end, *, rows=(), step=1_000, start=0):
    """Scan every ``step`` ms; ``rows`` are in the first scan."""
    for now in range(start, end + 1, step):
        observing.apply_scan(state, rows if now == start else (), sent_at=now, now=now)


@pytest.mark.parametrize(
    ("until", "expired"), [(0, False), (EXPIRY_MS - 1_000, False), (EXPIRY_MS, True)]
)
def test_session_expires_when_its_row_is_unchanged(until, expired):
    state = ObservationState(lease_ms=LEASE_MS)
    scan_until(state, until, rows=(build_row(),))
    assert observing.is_expired(state, "s1") is expired
    assert observing.list_live(state) == (frozenset() if expired else {"a"})


def test_renewal_restarts_the_timeout():
    state = ObservationState(lease_ms=LEASE_MS)
    scan_until(state, 9_000, rows=(build_row(),))
    scan_until(state, 19_000, rows=(build_row(revision=2),), start=10_000)
    assert not observing.is_expired(state, "s1")


def test_sessions_do_not_expire_during_an_outage_of_ten_minutes():
    """The store is down for ten minutes; all rows are unchanged afterwards.

    The first instance that could read again would consider all others expired and claim
    every server at once, though they only could not renew during the outage.
    """
    state = ObservationState(lease_ms=LEASE_MS)
    scan_until(state, 3_000, rows=(build_row(),))
    scan_until(state, 600_000, start=600_000)
    assert not observing.is_expired(state, "s1")
    scan_until(state, 600_000 + EXPIRY_MS, start=601_000)
    assert observing.is_expired(state, "s1")


def test_time_after_the_last_scan_does_not_count():
    """The observer itself is paused between a scan and its next decision.

    Its clock continues, but it has not seen whether the row has changed meanwhile.
    """
    state = ObservationState(lease_ms=LEASE_MS)
    observing.apply_scan(state, (build_row(),), sent_at=0, now=0)
    observing.apply_scan(state, (), sent_at=1_000, now=50_000)
    assert not observing.is_expired(state, "s1")


@pytest.mark.parametrize(
    ("rows", "expired"),
    [
        pytest.param((build_row(session="s2", revision=2),), False, id="replaced"),
        pytest.param(
            (build_row(session="s2", revision=2, ended="s1"),), True, id="gave-up"
        ),
        pytest.param(
            (SessionRow(instance="a", revision=2, record=None),), True, id="released"
        ),
    ],
)
def test_only_its_own_holder_ends_a_session_early(rows, expired):
    """A process is paused, and its replacement overwrites its row.

    The paused process may resume within its lease and give orders. Only a row in which
    the holder itself ends the session may be acted on at once.
    """
    state = ObservationState(lease_ms=LEASE_MS)
    scan_until(state, 2_000, rows=(build_row(),))
    observing.apply_scan(state, rows, sent_at=3_000, now=3_000)
    assert observing.is_expired(state, "s1") is expired
    scan_until(state, 14_000, start=4_000)
    assert observing.is_expired(state, "s1")


def test_session_only_referenced_by_an_owner_row_gets_the_full_timeout():
    state = ObservationState(lease_ms=LEASE_MS)
    observing.apply_scan(state, (), sent_at=0, now=0)
    observing.track_session(state, "s0", now=0)
    scan_until(state, 10_000, start=1_000)
    assert not observing.is_expired(state, "s0")
    scan_until(state, EXPIRY_MS, start=EXPIRY_MS)
    assert observing.is_expired(state, "s0")


def test_stale_rows_are_listed_once_they_are_unreferenced():
    state = ObservationState(lease_ms=LEASE_MS)
    scan_until(state, 301_000, rows=(build_row(),))
    referenced = observing.list_stale_rows(state, referenced=frozenset({"s1"}))
    assert (
        referenced,
        len(observing.list_stale_rows(state, referenced=frozenset())),
    ) == (
        [],
        1,
    )


def test_older_row_of_a_late_scan_is_ignored():
    state = ObservationState(lease_ms=LEASE_MS)
    rows = (build_row(session="s2", revision=9), build_row(revision=3))
    observing.apply_scan(state, rows, sent_at=0, now=0)
    assert state.rows["a"].record.session == "s2"


delays = st.integers(0, 400)
kinds = st.sampled_from(["renew", "lost", "pause", *["scan"] * 20])
steps = st.lists(st.tuples(kinds, delays, delays), min_size=40, max_size=80)


@settings(max_examples=500, deadline=None)
@given(steps=steps, drift=st.floats(0.98, 1.02), offset=st.integers(0, 10**6))
def test_no_session_expires_while_its_holder_may_order(steps, drift, offset):
    """Replies are delayed or lost, processes are paused, and clocks drift by 2 %.

    If an observer could claim from a holder that may still give orders, two owners
    would give orders to one server at the same time.
    """
    holder = LeaseState(instance="a", lease_ms=LEASE_MS, revision=0)
    observer = ObservationState(lease_ms=LEASE_MS)
    rng = random.Random(0)
    now, revision, row = 0, 0, None

    def read(time):
        return offset + int(time * drift)

    for step, first, second in steps:
        if step == "pause":
            now += 40 * first
        elif step == "scan":
            sent_at, now = now, now + first
            rows = (row,) if row is not None else ()
            now += second
            observing.apply_scan(observer, rows, sent_at=read(sent_at), now=read(now))
        else:
            renewal = leases.begin_renewal(holder, now=now, rng=rng)
            now += first
            revision += 1
            row = build_row(
                session=renewal.session, revision=revision, ended=renewal.ended
            )
            now += second
            holder.revision = revision
            if step == "renew":
                leases.confirm_renewal(holder, renewal, revision=revision)
        if leases.may_order(holder, now=now) and observing.is_expired(
            observer, holder.session
        ):
            # The session can only have expired before it was first confirmed; a claim
            # then fails, since its precondition has the revision that was read.
            assert observer.rows["a"].revision != revision
            assert holder.session not in observer.ended
