"""Retry budgets of the services on an instance, with their metrics and log lines."""

from collections import deque

import msgspec

from arbutuspulley.admission.service_retry_budget import (
    RetryCharge,
    ServiceRetryBudget,
    build_budget,
    count_available,
    record_request,
    refund,
    settle,
    try_charge,
)
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.limit_shares import SettledShare, get_instance_share
from arbutuspulley.node.state import NodeState

REPORT_INTERVAL_MS = SECOND_MS
"""Minimum interval between two reports of the budget of a service, in ms."""


class _ServiceRetries(State):
    """The budget of a service, and what its next report contains.

    :param requests: times of the requests within the window, in ms.
    :param charged: times of the retries within the window, in ms.
    :param denied: retries that were denied since the last report.
    """

    budget: ServiceRetryBudget
    reported_at: int
    requests: deque[int] = msgspec.field(default_factory=deque)
    charged: deque[int] = msgspec.field(default_factory=deque)
    denied: int = 0


class Retries:
    """Charges retries to the budgets of their services."""

    __slots__ = ("_services", "_share", "_state")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._services: dict[str, _ServiceRetries] = {}
        self._share = SettledShare()
        state.on_coordinator_status.append(self._update_share)

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        now = self._state.clock.now()
        retries = self._get(service)
        record_request(retries.budget, now=now)
        retries.requests.append(now)
        _evict_expired(retries.requests, now=now - retries.budget.window_ms)

    def try_charge(self, service: str) -> RetryCharge | None:
        """Charge a retry to a service's budget.

        :return: the charge, which must be settled or refunded; ``None``: the request
            may not be retried.
        """
        state, retries = self._state, self._get(service)
        now = state.clock.now()
        charge = try_charge(
            retries.budget, extra_limit=self._get_extra_limit(now), now=now
        )
        if charge is None:
            retries.denied += 1
        else:
            retries.charged.append(now)
            _evict_expired(retries.charged, now=now - retries.budget.window_ms)
        how = "denied" if charge is None else "charged"
        state.metrics.retries.labels(service, how).inc()
        self._report(service, retries, now=now)
        return charge

    def settle(self, service: str, charge: RetryCharge) -> None:
        """Record that a retry has arrived, or will never arrive any more."""
        settle(self._get(service).budget, charge, now=self._state.clock.now())

    def refund(self, service: str, charge: RetryCharge) -> None:
        """Give back a retry of which nothing was sent."""
        refund(self._get(service).budget, charge)
        self._state.metrics.retries.labels(service, "refunded").inc()

    def _get(self, service: str) -> _ServiceRetries:
        """Return a service's retries, by the current settings."""
        state = self._state
        settings = state.settings
        retries = self._services.get(service)
        if retries is None:
            budget = build_budget(
                ratio=settings.retry_ratio,
                window_ms=settings.retry_window_ms,
                phase=state.rng.random(),
            )
            retries = self._services[service] = _ServiceRetries(
                budget=budget, reported_at=state.clock.now() - REPORT_INTERVAL_MS
            )
        # Settings may have been reloaded; what was charged still counts.
        retries.budget.ratio = settings.retry_ratio
        retries.budget.window_ms = settings.retry_window_ms
        return retries

    def _update_share(self) -> None:
        state = self._state
        share = get_instance_share(1.0, share_divisor=state.share_divisor)
        self._share.update(
            share, window_ms=state.settings.retry_window_ms, now=state.clock.now()
        )

    def _get_extra_limit(self, now: int) -> float:
        settings = self._state.settings
        share = self._share.get(window_ms=settings.retry_window_ms, now=now)
        return settings.retry_extra * share

    def _report(self, service: str, retries: _ServiceRetries, *, now: int) -> None:
        """Update the metrics of a budget and log it, both at intervals."""
        if now - retries.reported_at < REPORT_INTERVAL_MS:
            return
        budget, extra_limit = retries.budget, self._get_extra_limit(now)
        figures: dict[str, float] = {
            "allowed": round(budget.ratio * len(retries.requests) + extra_limit, 1),
            "spent": len(retries.charged),
            "left": sum(count_available(budget, extra_limit=extra_limit, now=now)),
        }
        for what, figure in figures.items():
            self._state.metrics.retry_budget.labels(service, what).set(figure)
        log_event(
            Event.RETRY_BUDGET,
            service=service,
            requests=len(retries.requests),
            allowed=figures["allowed"],
            spent=figures["spent"],
            left=figures["left"],
            in_flight=len(budget.in_flight),
            share=round(extra_limit / max(1.0, self._state.settings.retry_extra), 3),
            denied=retries.denied,
        )
        retries.reported_at = now
        retries.denied = 0


class PendingRetry:
    """The retry of one request that is being made, until it has certainly arrived.

    :param retries: retry budgets of the services.
    """

    __slots__ = ("_charge", "_retries", "_service")

    def __init__(self, *, retries: Retries) -> None:
        self._charge: RetryCharge | None = None
        self._retries = retries
        self._service = ""

    def try_charge(self, service: str) -> bool:
        """Charge the retry; return whether the request may be retried."""
        self._service = service
        self._charge = self._retries.try_charge(service)
        return self._charge is not None

    def take_over(self, other: "PendingRetry") -> None:
        """Take over the charge of another attempt that was not sent.

        The next attempt uses it, as the request may have arrived by an earlier one.
        """
        if self._charge is not None:
            other.refund()
            return
        self._charge, other._charge = other._charge, None
        self._service = other._service

    def settle(self) -> None:
        """Record that the retry has arrived."""
        if self._charge is not None:
            self._retries.settle(self._service, self._charge)
            self._charge = None

    def refund(self) -> None:
        """Give back a retry that was charged, but for which no server was found."""
        if self._charge is not None:
            self._retries.refund(self._service, self._charge)
            self._charge = None


def _evict_expired(times: deque[int], *, now: int) -> None:
    while times and times[0] <= now:
        times.popleft()
