"""Log lines of the coordinator's decisions, each with the values behind it."""

from collections import Counter

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.pool.answers import PlannedOrder, list_servers_needing_report
from arbutuspulley.pool.copies import get_copies, index_copies
from arbutuspulley.pool.demand import get_demand
from arbutuspulley.pool.fair_shares import get_clock
from arbutuspulley.pool.grants import Grant, Refusal
from arbutuspulley.pool.state import PoolState, get_prefill_speed, list_prefill_speeds
from arbutuspulley.ports.fleet import OrderAnswer

MIN_LOGGED_ACCOUNTS = 2
MAX_LOGGED_ACCOUNTS = 20
"""Bounds on the number of teams and ranks in a line on shares: one alone has nothing to
share, and a line stays below a kilobyte or two."""


def log_grant(pool: PoolState, grant: Grant) -> None:
    """Log that a request is granted a server."""
    log_event(
        Event.SERVER_GRANTED,
        id=grant.key,
        server=grant.incarnation,
        is_late=grant.is_late,
        waited_ms=grant.waited_ms,
        runs=grant.runs,
        waiting=len(pool.waiting),
    )
    _log_return(grant, outcome="granted")


def log_refusal(pool: PoolState, refusal: Refusal) -> None:
    """Log that a request is given up."""
    log_event(
        Event.REQUEST_REFUSED,
        id=refusal.key,
        model=refusal.model,
        tokens_ahead=refusal.tokens_ahead,
        copies=refusal.copies,
        limited=refusal.limited,
        tokens_per_ms=round(get_prefill_speed(pool, refusal.model), 1),
        waited_ms=refusal.waited_ms,
        retry_after_ms=refusal.retry_after_ms,
        is_version_gone=refusal.is_version_gone,
        is_promised=refusal.is_promised,
        is_unservable=refusal.is_unservable,
    )
    _log_return(refusal, outcome="refused")


def count_decision(metrics: NodeMetrics, decision: Grant | Refusal) -> None:
    """Count how refused callers fare that have come back, and refusals at once."""
    if isinstance(decision, Refusal) and decision.is_unservable:
        metrics.unservable.inc()
    returned = decision.returned
    if returned is None:
        return
    how = "refused" if isinstance(decision, Refusal) else "granted"
    if returned.late_ms < 0:
        metrics.returns.labels(f"early_{how}").inc()
        return
    metrics.returns.labels(how).inc()
    if isinstance(decision, Grant):
        metrics.return_wait.observe(decision.waited_ms / SECOND_MS)


def _log_return(decision: Grant | Refusal, *, outcome: str) -> None:
    """Log how a refused caller fares that has come back."""
    returned = decision.returned
    if returned is None:
        return
    log_event(
        Event.REQUEST_RETURNED,
        id=decision.key,
        outcome=outcome,
        late_ms=returned.late_ms,
        waited_ms=decision.waited_ms,
        credit_ms=returned.credit_ms,
        was_promised=returned.is_promised,
    )


def log_order(planned: PlannedOrder, answer: OrderAnswer, *, fence: int) -> None:
    """Log an order and its server's answer."""
    log_event(
        Event.ORDER_ANSWERED,
        kind=planned.kind.value,
        model=planned.model,
        adapter=planned.adapter,
        server=planned.incarnation,
        expected=planned.expected_orders,
        used_mb=planned.used_mb,
        fence=fence,
        answer=answer.value,
    )


def log_shares(pool: PoolState, *, now: int) -> None:
    """Log the clocks of the teams with waiting requests, if there are several."""
    waiting = Counter(
        (request.priority, request.team) for request in pool.waiting.values()
    )
    if not pool.shares_contended or len(waiting) < MIN_LOGGED_ACCOUNTS:
        return
    log_event(
        Event.SHARES_TOLD,
        service=pool.service,
        teams=[
            {
                "rank": rank,
                "team": team,
                "waiting": count,
                "clock": int(get_clock(pool.shares, rank, team, now=now)),
            }
            for (rank, team), count in waiting.most_common(MAX_LOGGED_ACCOUNTS)
        ],
        credits={name: int(credit) for name, credit in pool.shares.credits.items()},
    )


def log_pool(pool: PoolState, *, may_order: bool, now: int) -> None:
    """Log the demand for each model, and where it is loaded."""
    waiting = Counter(request.need.model for request in pool.waiting.values())
    index = index_copies(pool, now=now)
    models = {
        model: {
            "tokens_per_s": int(get_demand(pool, model)),
            "waiting": waiting.get(model, 0),
            "copies": [copy.incarnation for copy in get_copies(index, model)],
        }
        for model in {*pool.demand, *waiting}
    }
    log_event(
        Event.POOL_TOLD,
        service=pool.service,
        may_order=may_order,
        unsure=len(list_servers_needing_report(pool, now=now)),
        tokens_per_ms={
            kind: round(speed, 1) for kind, speed in list_prefill_speeds(pool).items()
        },
        models=models,
    )
