"""Shares of what all instances together may use."""

from arbutuspulley.membership.limit_shares import SHARE_TIMEOUT_MS, SettledShare

WINDOW_MS = 10_000

STATUS_MS = 250


def keep_updating(share, value, *, begin, end):
    for now in range(begin, end + 1, STATUS_MS):
        share.update(value, window_ms=WINDOW_MS, now=now)


def get(share, now):
    return share.get(window_ms=WINDOW_MS, now=now)


def test_a_process_has_no_share_in_its_first_window():
    """Guards against a share that each new process may use anew."""
    share = SettledShare()
    keep_updating(share, 0.25, begin=500, end=WINDOW_MS + 250)
    assert get(share, WINDOW_MS + 499) == 0
    assert get(share, WINDOW_MS + 500) == 0.25


def test_a_smaller_share_applies_at_once_and_a_larger_one_later():
    """Guards against shares that add up to more than one while some instances know
    that the fleet has changed and others do not."""
    share = SettledShare()
    keep_updating(share, 0.25, begin=-19_000, end=0)
    assert get(share, 0) == 0.25
    keep_updating(share, 0.1, begin=250, end=500)
    assert get(share, 500) == 0.1
    settled_at = 750 + WINDOW_MS + SHARE_TIMEOUT_MS
    keep_updating(share, 0.25, begin=750, end=settled_at - STATUS_MS)
    assert get(share, settled_at - 1) == 0.1
    assert get(share, settled_at) == 0.25


def test_an_instance_without_a_coordinator_loses_its_share():
    """Guards against an instance that is cut off and uses its share of a fleet that
    has shared it out again."""
    share = SettledShare()
    keep_updating(share, 0.25, begin=-19_000, end=0)
    assert get(share, SHARE_TIMEOUT_MS) == 0.25
    assert get(share, SHARE_TIMEOUT_MS + 1) == 0


def test_an_instance_that_finds_a_coordinator_again_waits_for_its_share():
    """Guards against a share that another instance has used in the same window."""
    share = SettledShare()
    keep_updating(share, 0.25, begin=-19_000, end=0)
    back_at = SHARE_TIMEOUT_MS + 1_000
    settled_at = back_at + WINDOW_MS
    keep_updating(share, 0.25, begin=back_at, end=settled_at - STATUS_MS)
    assert get(share, settled_at - 1) == 0
    assert get(share, settled_at) == 0.25


def test_a_coordinator_that_is_replaced_in_time_does_not_reset_the_share():
    share = SettledShare()
    keep_updating(share, 0.25, begin=-19_000, end=0)
    share.update(0.25, window_ms=WINDOW_MS, now=SHARE_TIMEOUT_MS)
    assert get(share, SHARE_TIMEOUT_MS) == 0.25


def test_shares_that_change_all_the_time_are_not_kept_for_ever():
    """Guards against memory that grows with each change of the fleet."""
    share = SettledShare()
    for now in range(0, 600_000, STATUS_MS):
        share.update(0.1 + now % 1_000 / 10_000, window_ms=WINDOW_MS, now=now)
    assert len(share._changes) <= (WINDOW_MS + SHARE_TIMEOUT_MS) / STATUS_MS + 2
