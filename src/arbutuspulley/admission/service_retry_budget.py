"""The budget of repeats that all instances share.

Servers count what arrives beyond the first time; more than a share of the requests
and a fixed allowance, over all instances, would let a fault multiply the load.
Each instance spends its part of both, so the sum holds without a word exchanged,
also when an instance hears nothing of the others.
"""

from collections import deque

import msgspec

from arbutuspulley.data import State
from arbutuspulley.membership.limit_shares import get_instance_share

USABLE_FRACTION = 0.8
"""Part of the budget that is used: windows slide, and a repeat arrives later than it
was counted here."""


class ServiceRetryBudget(State):
    """Requests and repeats of one service within the window.

    :param ratio: repeats allowed for each request.
    :param extra: repeats allowed besides, by all instances.
    """

    ratio: float
    extra: float
    window_ms: int
    requests: deque[int] = msgspec.field(default_factory=deque)
    retries: deque[int] = msgspec.field(default_factory=deque)


def record_request(budget: ServiceRetryBudget, *, now: int) -> None:
    """Count a caller's request."""
    budget.requests.append(now)
    _evict_expired(budget, now=now)


def try_spend_retry(budget: ServiceRetryBudget, *, instances: float, now: int) -> bool:
    """Return whether a request may be sent once more, and count it if so."""
    _evict_expired(budget, now=now)
    extra = get_instance_share(budget.extra, instances=instances)
    allowed = USABLE_FRACTION * (budget.ratio * len(budget.requests) + extra)
    if len(budget.retries) + 1 > allowed:
        return False
    budget.retries.append(now)
    return True


def _evict_expired(budget: ServiceRetryBudget, *, now: int) -> None:
    for times in (budget.requests, budget.retries):
        while times and times[0] <= now - budget.window_ms:
            times.popleft()
