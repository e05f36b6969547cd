"""When the callers of refused requests are told to come back.

With :attr:`~arbutuspulley.pool.state.PoolState.shares_contended`, the n-th refused
caller of a model is told the time at which the requests that wait and the n - 1 refused
callers before it will have been started. Without it, each time is computed by itself.
"""

from collections import Counter

import msgspec

from arbutuspulley.data import State, Value
from arbutuspulley.pool.copies import CopyIndex, get_copies
from arbutuspulley.pool.demand import estimate_token_cost
from arbutuspulley.pool.returns import (
    get_pending,
    list_expected_costs,
    record_refusal,
)
from arbutuspulley.pool.servability import estimate_load_end
from arbutuspulley.pool.state import PoolState, WaitingRequest
from arbutuspulley.pool.waits import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    estimate_wait,
)

PATIENCE_RATIO = 1 / 3
"""Fraction of the time that a caller has left after which it comes back at the latest;
it then needs the rest for the answer."""


class RefusedRequest(Value, frozen=True):
    """A request that is refused in this planning cycle.

    :param ready_times: see :func:`~arbutuspulley.pool.waits.list_copy_ready_times`.
    :param delay_ms: until rate limits and cooldowns of servers allow the request.
    """

    waiting: WaitingRequest
    ready_times: list[float]
    delay_ms: float


class RetryTime(Value, frozen=True):
    """When a refused caller should come back.

    :param retry_after_ms: in ms from now.
    :param is_promised: whether it is expected to be served then.
    """

    retry_after_ms: int
    is_promised: bool


class _QueueCosts(State):
    """Costs of the requests that still wait at the end of a planning cycle.

    :param waiting: in prompt tokens, by model.
    :param overlaps: for a model, the fraction of each other model's copies that are on
        the same servers.
    """

    waiting: dict[str, float]
    overlaps: dict[str, dict[str, float]] = msgspec.field(default_factory=dict)


def spread_retry_times(
    pool: PoolState, refused: dict[int, RefusedRequest], index: CopyIndex
) -> dict[int, RetryTime]:
    """Choose when the callers of refused requests come back, and record the requests.

    :param refused: the refused requests of a planning cycle in order of urgency; the
        requests that the cycle has granted or refused no longer wait.
    """
    if not refused:
        return {}
    costs = _QueueCosts(waiting=_sum_costs(pool))
    return {
        key: _choose_retry_time(pool, request, index, costs)
        for key, request in refused.items()
    }


def _choose_retry_time(
    pool: PoolState, refused: RefusedRequest, index: CopyIndex, costs: _QueueCosts
) -> RetryTime:
    """Choose when one caller comes back.

    A caller can't wait for longer than a third of its remaining time. If its turn is
    later than that but within its latency target once it has come back, it is told to
    come back as late as it can, and is in order of its first arrival then. Requests
    that are late start after all others, so nothing can be promised for a later turn;
    the caller is then told the same time without a promise. Further copies may have
    been loaded until then, which the estimate doesn't foresee. Nothing is reserved for
    it.
    """
    now, waiting = index.now, refused.waiting
    model = waiting.need.model
    pending = get_pending(pool.returns, waiting.fingerprint)
    if pending is not None:
        return RetryTime(
            retry_after_ms=max(MIN_RETRY_AFTER_MS, pending.told_at - now),
            is_promised=pending.is_promised,
        )
    ready_times = refused.ready_times or [estimate_load_end(pool, model, now=now)]
    ahead = _sum_cost_ahead(pool, costs, index, model)
    wait_ms = max(estimate_wait(pool, model, ahead, ready_times), refused.delay_ms)
    patience_ms = _get_patience(waiting, now=now)
    told_ms = int(max(MIN_RETRY_AFTER_MS, min(patience_ms, wait_ms)))
    is_promised = wait_ms <= told_ms + waiting.late_at - waiting.arrived_at
    credit_ms = waiting.returned.credit_ms if waiting.returned else 0
    record_refusal(
        pool.returns,
        waiting.fingerprint,
        model=model,
        cost=estimate_token_cost(pool, waiting.need),
        first_arrived_at=waiting.arrived_at - credit_ms,
        told_at=now + told_ms,
        is_promised=is_promised,
        now=now,
    )
    return RetryTime(retry_after_ms=told_ms, is_promised=is_promised)


def _sum_costs(pool: PoolState) -> dict[str, float]:
    costs: dict[str, float] = {}
    for request in pool.waiting.values():
        model = request.need.model
        costs[model] = costs.get(model, 0.0) + estimate_token_cost(pool, request.need)
    return costs


def _sum_cost_ahead(
    pool: PoolState, costs: _QueueCosts, index: CopyIndex, model: str
) -> float:
    """Return the cost of the requests that a model's servers start before, in tokens.

    Requests for other models on the same servers count with the fraction of their
    copies that is there. Counted by its own requests alone, a model that shares its
    servers would be told times at which the others are still being served.
    """
    waiting = costs.waiting
    expected = list_expected_costs(pool.returns, now=index.now)
    overlaps = costs.overlaps.get(model)
    if overlaps is None:
        overlaps = costs.overlaps[model] = _find_overlaps(index, model)
    return sum(
        fraction * (waiting.get(other, 0.0) + expected.get(other, 0.0))
        for other, fraction in overlaps.items()
    )


def _find_overlaps(index: CopyIndex, model: str) -> dict[str, float]:
    copies = get_copies(index, model)
    shared = Counter(
        other
        for server in copies
        for other in index.models_by_server.get(server.incarnation, ())
    )
    overlaps = {
        other: count / len(get_copies(index, other)) for other, count in shared.items()
    }
    return overlaps | {model: 1.0}


def _get_patience(waiting: WaitingRequest, *, now: int) -> float:
    """Return after how long a caller comes back at the latest, in ms."""
    if not waiting.ends_at:
        return MAX_RETRY_AFTER_MS
    return min(MAX_RETRY_AFTER_MS, (waiting.ends_at - now) * PATIENCE_RATIO)
