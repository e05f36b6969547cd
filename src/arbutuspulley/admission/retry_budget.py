"""Retry budget: retries are limited to a fraction of the successful requests.

With a fixed number of retries per request, a fault that fails many requests
multiplies the load when there is the least capacity for it. With a budget, servers
see fewer than 1.1 attempts per admitted request.
"""

from arbutuspulley.data import State

RETRY_COST = 100
"""Cost of one retry; budgets are counted in hundredths of a retry."""

SUCCESS_CREDIT = 10
"""Credit earned by a request that succeeds at its first attempt."""

MAX_CREDIT = 10 * RETRY_COST
"""Largest budget; a long fault-free period must not allow a burst of retries."""

FLOOR_CREDIT = RETRY_COST
"""Level to which the budget refills by itself: an idle system can retry once."""

FLOOR_REFILL_MS = 10_000
"""Least time between two refills to the floor."""


class RetryBudget(State):
    """Retries that may be made now.

    :param credit: remaining budget, in hundredths of a retry.
    :param refilled_at: time of the last refill to the floor, in ms.
    """

    credit: int = FLOOR_CREDIT
    refilled_at: int = 0


def record_success(state: RetryBudget, *, retried: bool = False) -> None:
    """Credit the budget for a successful request.

    :param retried: whether the request was retried; it then earns nothing, as
        retries would otherwise pay for further retries.
    """
    if not retried:
        state.credit = min(MAX_CREDIT, state.credit + SUCCESS_CREDIT)


def try_spend_retry(state: RetryBudget, *, now: int, retried: bool = False) -> bool:
    """Spend one retry if the budget allows it.

    :param retried: whether this request has been retried already.
    :return: whether the request may be retried.
    """
    if state.credit < FLOOR_CREDIT and now - state.refilled_at >= FLOOR_REFILL_MS:
        state.credit = FLOOR_CREDIT
        state.refilled_at = now
    if retried or state.credit < RETRY_COST:
        return False
    state.credit -= RETRY_COST
    return True
