"""Outage detection for the platform, with exponential backoff and jitter.

While the platform is down, an instance sends one probe at a time. The backoff doubles
from :data:`INITIAL_BACKOFF_MS` up to its maximum, and each wait is drawn between half
of it and all of it, so that the instances' probes, and their first calls after the
outage, are spread out. With a maximum of 5 s, 6 instances together send 1.6 probes per
second; with 10 s, 360 instances send 48.
"""

import random

from arbutuspulley.clock import compute_backoff_ms
from arbutuspulley.data import State

INITIAL_BACKOFF_MS = 250
"""Backoff after the first of consecutive failures, in ms."""

MAX_BACKOFF_MS = 10_000
"""Longest backoff between two probes for any lease, in ms."""

DOWN_AFTER_FAILURES = 2
"""Consecutive failures after which the platform counts as down."""


class OutageState(State):
    """State of the platform as an instance sees it.

    :param max_backoff_ms: longest wait between two probes.
    :param failures: consecutive calls without an answer.
    :param next_at: earliest time of the next call after a failure.
    :param up: whether the platform counts as up.
    """

    max_backoff_ms: int = MAX_BACKOFF_MS
    failures: int = 0
    next_at: int = 0
    up: bool = False


def choose_max_backoff_ms(lease_ms: int) -> int:
    """Return the longest backoff for a lease, in ms: half of the lease.

    After an outage all leases have expired. Instances that reconnect first wait for
    one lease for the others to reconnect. With a longer backoff, some instances would
    exceed it, and their servers would be moved needlessly.
    """
    return min(MAX_BACKOFF_MS, lease_ms // 2)


def may_call(state: OutageState, *, now: int, rng: random.Random) -> bool:
    """Return whether a call may be made now; after a failure, reserve the next probe.

    Only one of the instance's loops gets the probe, so that the loops don't all retry
    at once during an outage.
    """
    if state.failures == 0:
        return True
    if now < state.next_at:
        return False
    state.next_at = now + _draw_backoff_ms(state, rng)
    return True


def record_failure(state: OutageState, *, now: int, rng: random.Random) -> bool:
    """Record a call that the platform did not answer.

    :return: whether the platform's state has changed to down.
    """
    state.failures += 1
    state.next_at = now + _draw_backoff_ms(state, rng)
    if state.failures < DOWN_AFTER_FAILURES or not state.up:
        return False
    state.up = False
    return True


def record_success(state: OutageState) -> bool:
    """Record a call that the platform answered.

    :return: whether the platform's state has changed to up.
    """
    state.failures = 0
    was_down = not state.up
    state.up = True
    return was_down


def _draw_backoff_ms(state: OutageState, rng: random.Random) -> int:
    bound = compute_backoff_ms(
        INITIAL_BACKOFF_MS, max_ms=state.max_backoff_ms, count=state.failures
    )
    return rng.randint(bound // 2, bound)
