"""Retry budget: retries are a share of successes, never a count for each request.

With a fixed count for each request, a fault that fails many requests multiplies
the load at the moment when there is the least room for it. With a budget, the
attempts at servers stay below 1.1 for each request admitted.
"""

from arbutuspulley.data import State

RETRY_COST = 100
"""What one retry costs; budgets are counted in hundredths of a retry."""

SUCCESS_CREDIT = 10
"""What a request earns that succeeded at its first attempt."""

MAX_CREDIT = 10 * RETRY_COST
"""Largest budget; a long quiet time must not allow a burst of retries."""

FLOOR_CREDIT = RETRY_COST
"""The budget refills to this by itself, so that a quiet system can retry once."""

FLOOR_REFILL_MS = 10_000
"""How long it takes to refill up to the floor."""


class RetryBudget(State):
    """What may be spent on retries now.

    :param credit: hundredths of a retry.
    :param filled_at: when it was last filled up to the floor.
    """

    credit: int = FLOOR_CREDIT
    refilled_at: int = 0


def record_success(state: RetryBudget, *, retried: bool = False) -> None:
    """Count a success.

    :param retried: whether it took a retry; such a success earns nothing, else
        retries would pay for more retries.
    """
    if not retried:
        state.credit = min(MAX_CREDIT, state.credit + SUCCESS_CREDIT)


def try_spend_retry(state: RetryBudget, *, now: int, retried: bool = False) -> bool:
    """Return whether a request may be tried once more, and spend one if so.

    :param retried: whether this request has been retried already.
    """
    if state.credit < FLOOR_CREDIT and now - state.refilled_at >= FLOOR_REFILL_MS:
        state.credit = FLOOR_CREDIT
        state.refilled_at = now
    if retried or state.credit < RETRY_COST:
        return False
    state.credit -= RETRY_COST
    return True
