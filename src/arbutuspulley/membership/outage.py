"""Whether the platform is up, and when to ask it again: bounded, with jitter.

While it is down, an instance sends one probe at a time. Waits double from
:data:`INITIAL_BACKOFF_MS` to the longest wait, and each is drawn between half and the
whole of that, so that instances spread out; the first calls after an outage spread
by the same draw. At a longest wait of 5 s, 6 instances probe 1.6 times a second
together; at 10 s, 360 instances probe 48 times.
"""

import random

from arbutuspulley.clock import compute_backoff_ms
from arbutuspulley.data import State

INITIAL_BACKOFF_MS = 250
"""Longest wait after the first failure in a row."""

MAX_BACKOFF_MS = 10_000
"""Longest wait between two probes, whatever the lease."""

DOWN_AFTER_FAILURES = 2
"""Failures in a row after which the platform counts as down."""


class OutageState(State):
    """What an instance knows of the platform's state.

    :param max_backoff_ms: longest wait between two probes.
    :param failures: calls in a row that had no answer.
    :param next_at: earliest time of the next call while failures go on.
    :param up: whether callers' work may rely on the platform now.
    """

    max_backoff_ms: int = MAX_BACKOFF_MS
    failures: int = 0
    next_at: int = 0
    up: bool = False


def choose_max_backoff_ms(lease_ms: int) -> int:
    """Return the longest wait for a lease: half of it.

    After an outage all leases are over. Instances that are back first give the
    others a lease to come back, too; with a longer wait some would miss that, and
    their servers would move for nothing.
    """
    return min(MAX_BACKOFF_MS, lease_ms // 2)


def may_call(state: OutageState, *, now: int, chance: random.Random) -> bool:
    """Tell whether a call may be made now; while down, reserves the next probe.

    Only one of several loops gets the probe, so that an outage isn't met by
    everyone's retries together.
    """
    if state.failures == 0:
        return True
    if now < state.next_at:
        return False
    state.next_at = now + _draw_wait(state, chance)
    return True


def record_failure(state: OutageState, *, now: int, chance: random.Random) -> bool:
    """Take in a call that the platform did not answer.

    :return: whether the platform counts as down from now on and did not before.
    """
    state.failures += 1
    state.next_at = now + _draw_wait(state, chance)
    if state.failures < DOWN_AFTER_FAILURES or not state.up:
        return False
    state.up = False
    return True


def record_success(state: OutageState) -> bool:
    """Take in an answer.

    :return: whether the platform counts as up from now on and did not before.
    """
    state.failures = 0
    was_down = not state.up
    state.up = True
    return was_down


def _draw_wait(state: OutageState, chance: random.Random) -> int:
    bound = compute_backoff_ms(
        INITIAL_BACKOFF_MS, max_ms=state.max_backoff_ms, count=state.failures
    )
    return chance.randint(bound // 2, bound)
