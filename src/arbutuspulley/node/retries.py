"""Retry budgets of the services on an instance, with their metrics and log lines."""

from arbutuspulley.admission.service_retry_budget import (
    count_allowed_retries,
    record_request,
    try_spend_retry,
)
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.state import NodeState

LOG_INTERVAL_MS = SECOND_MS
"""Minimum interval between two log lines about the budget of a service, in ms."""


class _Unlogged(State):
    """What happened to a budget since its last log line."""

    logged_at: int
    denied: int = 0


class Retries:
    """Spends the retry budgets of the services."""

    __slots__ = ("_state", "_unlogged")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._unlogged: dict[str, _Unlogged] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        record_request(self._state.get_budget(service), now=self._state.clock.now())

    def try_spend(self, service: str) -> bool:
        """Spend a retry of a service's budget.

        :return: whether the request may be retried.
        """
        state = self._state
        now = state.clock.now()
        is_spent = try_spend_retry(
            state.get_budget(service), share_divisor=state.share_divisor, now=now
        )
        state.metrics.retries.labels(service, "sent" if is_spent else "denied").inc()
        self._log(service, is_spent=is_spent, now=now)
        return is_spent

    def _log(self, service: str, *, is_spent: bool, now: int) -> None:
        unlogged = self._unlogged.get(service)
        if unlogged is None:
            unlogged = self._unlogged[service] = _Unlogged(
                logged_at=now - LOG_INTERVAL_MS
            )
        unlogged.denied += not is_spent
        if now - unlogged.logged_at < LOG_INTERVAL_MS:
            return
        state = self._state
        budget = state.get_budget(service)
        log_event(
            Event.RETRY_BUDGET,
            service=service,
            requests=len(budget.requests),
            spent=len(budget.retries),
            allowed=round(
                count_allowed_retries(budget, share_divisor=state.share_divisor), 1
            ),
            denied=unlogged.denied,
            instances=state.instances,
        )
        unlogged.logged_at = now
        unlogged.denied = 0
