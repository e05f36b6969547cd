"""Retry budget: retries are a share of successes, never a count for each request.

With a fixed count for each request, a fault that fails many requests multiplies
the load at the moment when there is the least room for it. With a budget, the
attempts at servers stay below ``1 + RATIO`` for each request admitted.
"""

from arbutuspulley.data import State

RATIO = 0.1
"""Retries earned by each request that succeeded at its first attempt."""

MOST = 10.0
"""Largest budget; a long quiet time must not allow a burst of retries."""

FLOOR = 1.0
"""The budget refills to this by itself, so that a quiet system can retry once."""

FLOOR_REFILL_MS = 10_000
"""How long it takes to refill one retry up to the floor."""


class BudgetState(State):
    """Retries that may be made now.

    :param retries: whole retries and a fraction.
    :param refilled_at: when the refill to the floor was last counted.
    """

    retries: float = FLOOR
    refilled_at: int = 0


def note_success(state: BudgetState, *, retried: bool = False) -> None:
    """Count a success.

    :param retried: whether it took a retry; such a success earns nothing, else
        retries would pay for more retries.
    """
    if not retried:
        state.retries = min(MOST, state.retries + RATIO)


def take_retry(state: BudgetState, *, now: int, retried: bool = False) -> bool:
    """Return whether a request may be tried once more, and spend one if so.

    :param retried: whether this request has been retried already.
    """
    _refill(state, now)
    if retried or state.retries < 1:
        return False
    state.retries -= 1
    return True


def _refill(state: BudgetState, now: int) -> None:
    earned = (now - state.refilled_at) / FLOOR_REFILL_MS
    state.refilled_at = now
    if state.retries < FLOOR:
        state.retries = min(FLOOR, state.retries + earned)
