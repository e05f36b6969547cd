"""Budget of second attempts, shared by all instances, and whether they are worth it.

A second attempt goes to another server while the first one is silent. The budget works
like that of retries without the fixed allowance: an instance earns second attempts by
the requests that it receives, so nothing is communicated, and a process that starts has
earned none. See :mod:`arbutuspulley.admission.service_retry_budget`.
"""

from collections import deque

import msgspec

from arbutuspulley.admission import service_retry_budget
from arbutuspulley.admission.service_retry_budget import RetryCharge, ServiceRetryBudget
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State

MIN_WIN_FRACTION = 0.1
"""Fraction of second attempts that win below which no more begin: the first attempts
are then as fast, and the servers only do the work twice."""

MIN_OUTCOMES = 20
"""Number of outcomes from which on that fraction is judged: with a true fraction of a
third, fewer than two of twenty win in one of 300 cases."""

OUTCOME_WINDOW_MS = 60 * SECOND_MS
"""How long an outcome counts, in ms. A service whose second attempts lose tries some
again once a minute, as its servers may have become uneven."""


class HedgeBudget(State):
    """Second attempts of one service on one instance.

    :param budget: what requests have earned; it has no fixed allowance.
    :param outcomes: times at which second attempts ended, in ms, and whether they won.
    """

    budget: ServiceRetryBudget
    outcomes: deque[tuple[int, bool]] = msgspec.field(default_factory=deque)


def build_hedge_budget(*, ratio: float, window_ms: int, phase: float) -> HedgeBudget:
    """Return the budget of a process that has just started.

    :param ratio: second attempts allowed per request.
    :param window_ms: window in which they are limited.
    :param phase: random number from 0 to 1 by which fractions are rounded.
    """
    budget = service_retry_budget.build_budget(
        ratio=ratio, window_ms=window_ms, phase=phase
    )
    return HedgeBudget(budget=budget)


def record_request(hedges: HedgeBudget, *, now: int) -> None:
    """Count a request of a caller, also one that may not have a second attempt."""
    service_retry_budget.record_request(hedges.budget, now=now)


def try_charge(hedges: HedgeBudget, *, now: int) -> RetryCharge | None:
    """Charge a second attempt if the budget allows it.

    :return: the charge, which must be settled or refunded; ``None``: none is left.
    """
    return service_retry_budget.try_charge(hedges.budget, extra_limit=0, now=now)


def settle(hedges: HedgeBudget, charge: RetryCharge, *, now: int) -> None:
    """Record that a second attempt may have run."""
    service_retry_budget.settle(hedges.budget, charge, now=now)


def refund(hedges: HedgeBudget, charge: RetryCharge) -> None:
    """Give back a second attempt that did not run."""
    service_retry_budget.refund(hedges.budget, charge)


def record_outcome(hedges: HedgeBudget, *, has_won: bool, now: int) -> None:
    """Record whether a second attempt has won."""
    hedges.outcomes.append((now, has_won))


def is_losing(hedges: HedgeBudget, *, now: int) -> bool:
    """Return whether too few of the latest second attempts have won."""
    outcomes = hedges.outcomes
    while outcomes and outcomes[0][0] <= now - OUTCOME_WINDOW_MS:
        outcomes.popleft()
    if len(outcomes) < MIN_OUTCOMES:
        return False
    wins = sum(has_won for _at, has_won in outcomes)
    return wins < MIN_WIN_FRACTION * len(outcomes)
