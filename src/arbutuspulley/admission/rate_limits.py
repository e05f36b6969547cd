"""Rate limits that backend servers state in their answers.

An overloaded server states the requests/s that it accepts from all instances together,
in each answer for as long as the limit holds.

The coordinator keeps one token bucket for each limited server. Instances without a
coordinator have buckets of their own, each with an equal fraction of the limit. All
buckets begin empty, since the requests that others have sent before are unknown.
"""

import math
from collections.abc import Container, Mapping

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.membership.unlisted import evict_unlisted

WINDOW_MS = 4 * SECOND_MS
"""Window in which a server's requests are compared with its limit, in ms."""

OVERAGE = 0.5
"""Tolerated excess in a window, as a fraction of the limit."""

EXTRA_REQUESTS = 5.0
"""Tolerated excess in a window in addition to that, in requests."""

TOLERANCE_PARTS = 4
"""Equal parts of that excess: the coordinator's bucket, the buckets of instances
without a coordinator, a coordinator that other instances have left, and requests that
arrive closer together than they were sent."""

MIN_PER_S = 0.25
"""Least requests/s sent to a server, even if its limit is lower: only an answer shows
that the limit has been lifted."""

MAX_WAIT_MS = WINDOW_MS
"""Longest wait that is returned for a request to a limited server, in ms."""

MAX_RECHECK_MS = 500
"""Longest wait until an instance without a coordinator checks again, in ms: there may
be a coordinator by then."""


class RateLimit(State):
    """Token bucket of a server.

    :param per_s: requests/s that the server accepts.
    :param rate_per_ms: requests refilled per ms.
    :param capacity: largest burst, in requests.
    :param updated_at: time as of which the balance holds, in ms.
    :param balance: requests that may be sent.
    """

    per_s: float
    rate_per_ms: float
    capacity: float
    updated_at: int
    balance: float = 0.0


def get_tolerance(per_s: float) -> float:
    """Return one part of the tolerated excess in a window, in requests.

    :param per_s: limit in requests/s.
    """
    excess = OVERAGE * per_s * WINDOW_MS / SECOND_MS + EXTRA_REQUESTS
    return excess / TOLERANCE_PARTS


def refill(limit: RateLimit, *, now: int) -> None:
    """Refill a bucket for the time since its last update."""
    units = limit.rate_per_ms * max(0, now - limit.updated_at)
    limit.balance = min(limit.capacity, limit.balance + units)
    limit.updated_at = max(limit.updated_at, now)


def reshape(
    limit: RateLimit, per_s: float, *, fraction: float, capacity: float, now: int
) -> None:
    """Change the limit of a bucket from now on.

    :param per_s: new limit in requests/s.
    :param fraction: fraction of the limit that is refilled here.
    :param capacity: largest burst, in requests.
    """
    refill(limit, now=now)
    limit.per_s = per_s
    limit.rate_per_ms = max(MIN_PER_S, per_s) * fraction / SECOND_MS
    limit.capacity = capacity
    limit.balance = min(limit.balance, capacity)


def get_wait(limit: RateLimit, *, now: int) -> int:
    """Return the ms until a request may be sent; 0: now."""
    refill(limit, now=now)
    missing = 1 - limit.balance
    if missing <= 0:
        return 0
    if limit.capacity < 1 or not limit.rate_per_ms:
        return MAX_WAIT_MS
    return min(MAX_WAIT_MS, math.ceil(missing / limit.rate_per_ms))


def consume(limit: RateLimit) -> None:
    """Charge a request to a bucket for which :func:`get_wait` has returned 0."""
    limit.balance -= 1


class RateLimitLedger:
    """The coordinator's token buckets, by server."""

    __slots__ = ("_limits", "_refill_fraction")

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._refill_fraction = 1.0

    def reset(self, known: Mapping[str, float], *, now: int) -> None:
        """Replace all buckets by empty ones.

        :param known: limits that this instance knows, in requests/s by server.
        """
        self._limits.clear()
        self._refill_fraction = 1.0
        for incarnation, per_s in known.items():
            self.set_limit(incarnation, per_s, now=now)

    def get(self, incarnation: str) -> RateLimit | None:
        """Return a server's bucket; ``None`` if it has no limit."""
        return self._limits.get(incarnation)

    def set_limit(self, incarnation: str, per_s: float | None, *, now: int) -> bool:
        """Set the limit of a server.

        :param per_s: limit in requests/s; ``None``: the limit is lifted.
        :return: whether the limit has changed.
        """
        limit = self._limits.get(incarnation)
        if per_s is None:
            return self._limits.pop(incarnation, None) is not None
        if limit is None:
            limit = RateLimit(
                per_s=per_s, rate_per_ms=0.0, capacity=0.0, updated_at=now
            )
            self._limits[incarnation] = limit
        elif limit.per_s == per_s:
            return False
        reshape(
            limit,
            per_s,
            fraction=self._refill_fraction,
            capacity=get_tolerance(per_s),
            now=now,
        )
        return True

    def charge(self, incarnation: str, *, now: int) -> int:
        """Charge a request to a server's bucket.

        :return: 0 if it was charged; otherwise the ms until it can be.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return 0
        wait_ms = get_wait(limit, now=now)
        if not wait_ms:
            consume(limit)
        return wait_ms

    def set_refill_fraction(self, fraction: float, *, now: int) -> None:
        """Set the fraction of each limit that is refilled here from now on."""
        if fraction == self._refill_fraction:
            return
        self._refill_fraction = fraction
        for limit in self._limits.values():
            reshape(
                limit, limit.per_s, fraction=fraction, capacity=limit.capacity, now=now
            )

    def list_limits(self) -> dict[str, float]:
        """Return the limits in requests/s, by server."""
        return {server: limit.per_s for server, limit in self._limits.items()}

    def evict_unlisted(self, incarnations: Container[str]) -> None:
        """Evict the oldest limits of servers that are not listed.

        :param incarnations: listed servers, whose limits are kept.
        """
        evict_unlisted(self._limits, incarnations)


class LocalRateLimits:
    """Token buckets of an instance without a coordinator.

    A bucket whose capacity is less than one request grants none. If capacities were
    rounded up, those of many instances would add up to many times the limit.
    """

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    def charge(
        self, incarnation: str, per_s: float, *, fraction: float, now: int
    ) -> int:
        """Charge a request to a server's bucket.

        :param per_s: limit of the server in requests/s.
        :param fraction: fraction of the limit that this instance may use.
        :return: 0 if it was charged; otherwise the ms until the next check.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            limit = RateLimit(
                per_s=per_s, rate_per_ms=0.0, capacity=0.0, updated_at=now
            )
            self._limits[incarnation] = limit
        reshape(
            limit,
            per_s,
            fraction=fraction,
            capacity=get_tolerance(per_s) * fraction,
            now=now,
        )
        wait_ms = get_wait(limit, now=now)
        if not wait_ms:
            consume(limit)
        return min(MAX_RECHECK_MS, wait_ms)

    def evict_unlisted(self, incarnations: Container[str]) -> None:
        """Evict the oldest limits of servers that are not listed.

        :param incarnations: listed servers, whose limits are kept.
        """
        evict_unlisted(self._limits, incarnations)


class KnownRateLimit(State):
    """A server's limit as known by one instance.

    :param per_s: requests/s that the server accepts.
    :param received_at: time at which this instance received the limit, in ms.
    """

    per_s: float
    received_at: int


class KnownRateLimits:
    """Rate limits known by one instance, by server."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, KnownRateLimit] = {}

    def get(self, incarnation: str) -> float | None:
        """Return a server's limit in requests/s; ``None`` if it has none."""
        known = self._known.get(incarnation)
        return None if known is None else known.per_s

    def update_from_answer(
        self, incarnation: str, per_s: float | None, *, sent_at: int, now: int
    ) -> bool:
        """Apply the limit that an answer states.

        An answer that lifts or raises a limit counts only if its request was sent after
        the limit was received. Otherwise the answer may be older than the limit.

        :param per_s: limit in requests/s; ``None``: the answer states no limit.
        :param sent_at: time at which the request was sent, in ms.
        :return: whether the limit has changed.
        """
        known = self._known.get(incarnation)
        previous = None if known is None else known.per_s
        if per_s == previous:
            return False
        is_looser = previous is not None and (per_s is None or per_s > previous)
        if known is not None and is_looser and sent_at <= known.received_at:
            return False
        self._set(incarnation, per_s, now=now)
        return True

    def update_from_coordinator(
        self, incarnation: str, per_s: float | None, *, now: int
    ) -> bool:
        """Apply a limit that the coordinator has sent.

        :param per_s: limit in requests/s; ``None``: the limit is lifted.
        :return: whether the limit has changed.
        """
        if self.get(incarnation) == per_s:
            return False
        self._set(incarnation, per_s, now=now)
        return True

    def list_limits(self) -> dict[str, float]:
        """Return the limits in requests/s by server."""
        return {server: known.per_s for server, known in self._known.items()}

    def evict_unlisted(self, incarnations: Container[str]) -> None:
        """Evict the oldest limits of servers that are not listed.

        :param incarnations: listed servers, whose limits are kept.
        """
        evict_unlisted(self._known, incarnations)

    def _set(self, incarnation: str, per_s: float | None, *, now: int) -> None:
        if per_s is None:
            del self._known[incarnation]
        else:
            self._known[incarnation] = KnownRateLimit(per_s=per_s, received_at=now)
