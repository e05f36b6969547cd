"""Retry budget of a service, shared by all instances.

Servers count the requests that arrive more than once. If all instances together sent
more of these than a ratio of the requests plus a fixed allowance, a fault would
multiply the load. Each instance spends its own share of both, so the total holds
without communication, also when an instance is disconnected from the others.
"""

from collections import deque

import msgspec

from arbutuspulley.data import State
from arbutuspulley.membership.limit_shares import get_instance_share

USABLE_FRACTION = 0.8
"""Fraction of the budget that is used: windows slide, and a retry arrives at the server
later than it is counted here."""


class ServiceRetryBudget(State):
    """Requests and retries of one service within a sliding window.

    :param ratio: retries allowed per request.
    :param extra: retries allowed beyond that, for all instances together.
    :param requests: times of the requests in the window, in ms.
    :param retries: times of the retries in the window, in ms.
    """

    ratio: float
    extra: float
    window_ms: int
    requests: deque[int] = msgspec.field(default_factory=deque)
    retries: deque[int] = msgspec.field(default_factory=deque)


def record_request(budget: ServiceRetryBudget, *, now: int) -> None:
    """Count a request of a caller."""
    budget.requests.append(now)
    _evict_expired(budget, now=now)


def try_spend_retry(
    budget: ServiceRetryBudget, *, share_divisor: float, now: int
) -> bool:
    """Count a retry if the budget allows it.

    :param share_divisor: number by which an instance divides the shared allowance.
    :return: whether the request may be retried.
    """
    _evict_expired(budget, now=now)
    allowed = count_allowed_retries(budget, share_divisor=share_divisor)
    if len(budget.retries) + 1 > allowed:
        return False
    budget.retries.append(now)
    return True


def count_allowed_retries(budget: ServiceRetryBudget, *, share_divisor: float) -> float:
    """Return how many retries are allowed for the requests counted in the window."""
    extra = get_instance_share(budget.extra, share_divisor=share_divisor)
    return USABLE_FRACTION * (budget.ratio * len(budget.requests) + extra)


def _evict_expired(budget: ServiceRetryBudget, *, now: int) -> None:
    for times in (budget.requests, budget.retries):
        while times and times[0] <= now - budget.window_ms:
            times.popleft()
