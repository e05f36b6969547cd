"""Retry budget: retries are a share of successes, never a count for each request.

With a fixed count for each request, a fault that fails many requests multiplies
the load at the moment when there is the least room for it. With a budget, the
attempts at servers stay below 1.1 for each request admitted.
"""

from arbutuspulley.data import State

RETRY = 100
"""What one retry costs; budgets are counted in hundredths of a retry."""

EARNED = 10
"""What a request earns that succeeded at its first attempt."""

MOST = 10 * RETRY
"""Largest budget; a long quiet time must not allow a burst of retries."""

FLOOR = RETRY
"""The budget refills to this by itself, so that a quiet system can retry once."""

FLOOR_REFILL_MS = 10_000
"""How long it takes to refill up to the floor."""


class RetryBudget(State):
    """What may be spent on retries now.

    :param credit: hundredths of a retry.
    :param filled_at: when it was last filled up to the floor.
    """

    credit: int = FLOOR
    filled_at: int = 0


def record_success(state: RetryBudget, *, retried: bool = False) -> None:
    """Count a success.

    :param retried: whether it took a retry; such a success earns nothing, else
        retries would pay for more retries.
    """
    if not retried:
        state.credit = min(MOST, state.credit + EARNED)


def try_spend_retry(state: RetryBudget, *, now: int, retried: bool = False) -> bool:
    """Return whether a request may be tried once more, and spend one if so.

    :param retried: whether this request has been retried already.
    """
    if state.credit < FLOOR and now - state.filled_at >= FLOOR_REFILL_MS:
        state.credit = FLOOR
        state.filled_at = now
    if retried or state.credit < RETRY:
        return False
    state.credit -= RETRY
    return True
