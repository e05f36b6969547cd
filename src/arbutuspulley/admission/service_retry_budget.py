"""Retry budget of a service, shared by all instances.

Servers count the requests that arrive more than once. If all instances together sent
more of these than a ratio of the requests and a fixed allowance, a fault would multiply
the load. Instances keep to this without communication.

An instance earns retries by the requests that it receives. An earned retry is used once
and soon, or expires. So it does not matter where callers are or go, and a process that
starts begins with none: it does not know what its predecessor has used.

The fixed allowance is divided among the instances. Each uses its share of it in any
window; see :class:`~arbutuspulley.membership.limit_shares.SettledShare`.

A retry is charged when it is decided and settled once it has certainly arrived. Until
then it may arrive at any time, perhaps together with later ones, so it continues to
occupy an earned retry that has not expired, or a part of the share.
"""

import math
from collections import deque

import msgspec

from arbutuspulley.data import State

EARNED_FRACTION = 0.85
"""Fraction of the ratio that requests earn. The rest covers earned retries that are
used up to a lifetime later, in the next window."""

LIFETIME_FRACTION = 0.1
"""Lifetime of an earned retry, as a fraction of the window."""

EXTRA_FRACTION = 0.9
"""Fraction of the fixed allowance that is used; the rest covers bursts of requests."""


class _EarnedRetry(State, eq=False):
    """A retry that requests have earned.

    :param is_used: whether it was used, or is occupied by a retry in flight.
    """

    earned_at: int
    is_used: bool = False


class RetryCharge(State, eq=False):
    """A retry that was charged to a budget.

    :param is_extra: whether it was charged to the share of the fixed allowance.
    :param earned: earned retry that it occupies; ``None`` if none is left.
    :param settled_at: when it was settled, in ms; ``None`` before.
    """

    is_extra: bool
    earned: _EarnedRetry | None = None
    settled_at: int | None = None


class ServiceRetryBudget(State):
    """Retries of one service on one instance.

    :param ratio: retries allowed per request.
    :param window_ms: window in which retries are limited.
    :param phase: random number from 0 to 1 by which fractions of a retry are rounded.
        Otherwise the fractions of many instances would add up to nothing.
    :param progress: fraction of the next retry that requests have earned.
    :param earned: earned retries that have not expired, by age.
    :param in_flight: charges of earned retries that have not been settled.
    :param extra: charges to the share of the fixed allowance that are not settled, or
        were settled within the window.
    """

    ratio: float
    window_ms: int
    phase: float
    progress: float
    earned: deque[_EarnedRetry] = msgspec.field(default_factory=deque)
    in_flight: list[RetryCharge] = msgspec.field(default_factory=list)
    extra: list[RetryCharge] = msgspec.field(default_factory=list)


def build_budget(*, ratio: float, window_ms: int, phase: float) -> ServiceRetryBudget:
    """Return the budget of a process that has just started."""
    return ServiceRetryBudget(
        ratio=ratio, window_ms=window_ms, phase=phase, progress=phase
    )


def record_request(budget: ServiceRetryBudget, *, now: int) -> None:
    """Count a request of a caller."""
    budget.progress += EARNED_FRACTION * budget.ratio
    while budget.progress >= 1:
        budget.progress -= 1
        budget.earned.append(_EarnedRetry(earned_at=now))
    _update(budget, now=now)


def count_available(
    budget: ServiceRetryBudget, *, extra_limit: float, now: int
) -> tuple[int, int]:
    """Return how many retries may be charged now: earned ones, and of the allowance.

    :param extra_limit: this instance's share of the fixed allowance, in retries.
    """
    _update(budget, now=now)
    earned = sum(not one.is_used for one in budget.earned)
    share = math.floor(EXTRA_FRACTION * extra_limit + budget.phase)
    return earned, max(0, share - len(budget.extra))


def try_charge(
    budget: ServiceRetryBudget, *, extra_limit: float, now: int
) -> RetryCharge | None:
    """Charge a retry if the budget allows it.

    :param extra_limit: this instance's share of the fixed allowance, in retries.
    :return: the charge, which must be settled or refunded; ``None``: the request may
        not be retried.
    """
    earned, extra = count_available(budget, extra_limit=extra_limit, now=now)
    if earned:
        charge = RetryCharge(is_extra=False, earned=_use_earned(budget))
        budget.in_flight.append(charge)
        return charge
    if extra:
        charge = RetryCharge(is_extra=True)
        budget.extra.append(charge)
        return charge
    return None


def settle(budget: ServiceRetryBudget, charge: RetryCharge, *, now: int) -> None:
    """Record that the retry has arrived, or will never arrive any more."""
    # It occupies what was earned until now, since it may have arrived just now.
    _update(budget, now=now)
    charge.settled_at = now
    if not charge.is_extra:
        budget.in_flight.remove(charge)


def refund(budget: ServiceRetryBudget, charge: RetryCharge) -> None:
    """Give back a retry of which nothing was sent."""
    if charge.is_extra:
        budget.extra.remove(charge)
        return
    budget.in_flight.remove(charge)
    if charge.earned is not None:
        charge.earned.is_used = False


def _update(budget: ServiceRetryBudget, *, now: int) -> None:
    """Drop what has expired; retries in flight occupy younger earned ones instead."""
    expired_at = now - int(LIFETIME_FRACTION * budget.window_ms)
    while budget.earned and budget.earned[0].earned_at <= expired_at:
        budget.earned.popleft()
    for charge in budget.in_flight:
        if charge.earned is None or charge.earned.earned_at <= expired_at:
            charge.earned = _use_earned(budget)
    budget.extra = [
        charge
        for charge in budget.extra
        if charge.settled_at is None or charge.settled_at > now - budget.window_ms
    ]


def _use_earned(budget: ServiceRetryBudget) -> _EarnedRetry | None:
    """Return the oldest unused earned retry, marked as used."""
    for earned in budget.earned:
        if not earned.is_used:
            earned.is_used = True
            return earned
    return None
