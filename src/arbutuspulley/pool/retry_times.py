"""When the callers of refused requests are told to come back.

With :attr:`~arbutuspulley.pool.state.PoolState.shares_contended`, the n-th refused
caller of a model is told the time at which the requests that wait and the n - 1 refused
callers before it will have been started. Without it, each time is computed by itself.
"""

from arbutuspulley.data import Value
from arbutuspulley.pool.copies import CopyIndex
from arbutuspulley.pool.demand import estimate_token_cost
from arbutuspulley.pool.returns import (
    get_expected_cost,
    get_pending,
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

RETURN_WAIT_RATIO = 0.85
"""Fraction of the time left that a caller which has come back may wait for a server. As
for new requests, the rest is needed for the answer."""


class RetryTime(Value, frozen=True):
    """When a refused caller should come back.

    :param retry_after_ms: in ms from now.
    :param is_promised: whether it is expected to be served then.
    """

    retry_after_ms: int
    is_promised: bool = False


def choose_retry_time(
    pool: PoolState,
    waiting: WaitingRequest,
    index: CopyIndex,
    queued: dict[str, float],
    *,
    ready_times: list[float],
    delay_ms: float,
) -> RetryTime:
    """Choose when the caller of a refused request comes back, and record the request.

    A caller can't wait for longer than a third of its remaining time. If its turn is
    later than that but still within what it can wait once it has come back, it is told
    to come back as late as it can, and is in order of its first arrival then. If its
    turn is too late even so, it is told the same time without a promise: further copies
    may have been loaded until then, which the estimate doesn't foresee. Nothing is
    reserved for it.

    :param queued: cost of the waiting requests by model, in prompt tokens; filled on
        demand.
    :param ready_times: see :func:`~arbutuspulley.pool.waits.list_copy_ready_times`.
    :param delay_ms: until rate limits and cooldowns of servers allow the request.
    """
    now, model = index.now, waiting.need.model
    pending = get_pending(pool.returns, waiting.fingerprint)
    if pending is not None:
        return RetryTime(
            retry_after_ms=max(MIN_RETRY_AFTER_MS, pending.told_at - now),
            is_promised=pending.is_promised,
        )
    cost = estimate_token_cost(pool, waiting.need)
    if model not in queued:
        queued[model] = _sum_cost(pool, model)
    else:
        queued[model] = max(0.0, queued[model] - cost)
    if not ready_times:
        ready_times = [estimate_load_end(pool, model, now=now)]
    ahead = queued[model] + get_expected_cost(pool.returns, model, now=now)
    wait_ms = max(estimate_wait(pool, model, ahead, ready_times), delay_ms)
    patience_ms = _get_patience(waiting, now=now)
    told_ms = int(max(MIN_RETRY_AFTER_MS, min(patience_ms, wait_ms)))
    is_promised = wait_ms <= told_ms + _get_max_wait(waiting, told_ms, now=now)
    credit_ms = waiting.returned.credit_ms if waiting.returned else 0
    record_refusal(
        pool.returns,
        waiting.fingerprint,
        model=model,
        cost=cost,
        first_arrived_at=waiting.arrived_at - credit_ms,
        told_at=now + told_ms,
        is_promised=is_promised,
        now=now,
    )
    return RetryTime(retry_after_ms=told_ms, is_promised=is_promised)


def _sum_cost(pool: PoolState, model: str) -> float:
    return sum(
        estimate_token_cost(pool, request.need)
        for request in pool.waiting.values()
        if request.need.model == model
    )


def _get_patience(waiting: WaitingRequest, *, now: int) -> float:
    """Return after how long a caller comes back at the latest, in ms."""
    if not waiting.ends_at:
        return MAX_RETRY_AFTER_MS
    return min(MAX_RETRY_AFTER_MS, (waiting.ends_at - now) * PATIENCE_RATIO)


def _get_max_wait(waiting: WaitingRequest, told_ms: int, *, now: int) -> float:
    """Return how long a caller can wait for a server after it has come back, in ms."""
    left_ms = waiting.ends_at - now - told_ms if waiting.ends_at else 0
    # A caller of a stream waits as long for the first event as before.
    longest_ms = waiting.give_up_at - waiting.arrived_at
    return max(0.0, min(longest_ms, left_ms * RETURN_WAIT_RATIO))
