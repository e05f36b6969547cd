"""Rate limits that backend servers name in their answers.

A server in need names the requests a second that it takes from all instances together,
in each answer for as long as it holds.

The coordinator keeps one token bucket for each limited server. Instances without a
coordinator have buckets of their own, each with an equal part of the limit. All buckets
begin empty: what others have sent before is not known where they begin.
"""

import math
from collections.abc import Container, Mapping
from typing import TypeVar

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State

T = TypeVar("T")

WINDOW_MS = 4 * SECOND_MS
"""Window in which a server's requests are counted against its limit, in ms."""

OVERAGE = 0.5
"""Part of a limit by which the requests in a window may exceed it."""

EXTRA_REQUESTS = 5.0
"""Requests by which they may exceed it beside that."""

TOLERANCE_PARTS = 4
"""Equal parts of that excess: the coordinator's bucket, those of instances without one,
a coordinator that others have left, and requests that come closer together than they
were sent."""

MIN_PER_S = 0.25
"""Requests a second to a server that takes fewer: only an answer tells when its limit
is over."""

MAX_WAIT_MS = WINDOW_MS
"""Longest wait that is told for a request to a limited server, in ms."""

MAX_RECHECK_MS = 500
"""Longest wait until an instance without a coordinator asks again, in ms: there may be
one by then."""

MAX_UNLISTED = 50
"""Servers without an entry whose limits are kept: an entry may lapse while its server
lives."""


class RateLimit(State):
    """A server's token bucket.

    :param per_s: requests a second that the server takes.
    :param rate_per_ms: requests that come back in a ms.
    :param depth: requests that may be sent at once.
    :param left: requests that may be sent, as of ``at``, in ms.
    """

    per_s: float
    rate_per_ms: float
    capacity: float
    updated_at: int
    balance: float = 0.0


def get_tolerance(per_s: float) -> float:
    """Return the requests of one part of what may exceed a limit in a window."""
    excess = OVERAGE * per_s * WINDOW_MS / SECOND_MS + EXTRA_REQUESTS
    return excess / TOLERANCE_PARTS


def refill(limit: RateLimit, *, now: int) -> None:
    """Put in what has come back since the bucket was last looked at."""
    units = limit.rate_per_ms * max(0, now - limit.updated_at)
    limit.balance = min(limit.capacity, limit.balance + units)
    limit.updated_at = max(limit.updated_at, now)


def reshape(
    limit: RateLimit, per_s: float, *, fraction: float, capacity: float, now: int
) -> None:
    """Let a bucket follow another limit from now on.

    :param part: of the limit that comes back here.
    """
    refill(limit, now=now)
    limit.per_s = per_s
    limit.rate_per_ms = max(MIN_PER_S, per_s) * fraction / SECOND_MS
    limit.capacity = capacity
    limit.balance = min(limit.balance, capacity)


def get_wait(limit: RateLimit, *, now: int) -> int:
    """Return in how many ms a request may be sent; 0: now."""
    refill(limit, now=now)
    missing = 1 - limit.balance
    if missing <= 0:
        return 0
    if limit.capacity < 1 or not limit.rate_per_ms:
        return MAX_WAIT_MS
    return min(MAX_WAIT_MS, math.ceil(missing / limit.rate_per_ms))


def consume(limit: RateLimit) -> None:
    """Take a request out of a bucket that was just found to have one."""
    limit.balance -= 1


class RateLimitLedger:
    """The coordinator's buckets, by server."""

    __slots__ = ("_limits", "_refill_fraction")

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._refill_fraction = 1.0

    def reset(self, known: Mapping[str, float], *, now: int) -> None:
        """Begin with the limits that this instance knows."""
        self._limits.clear()
        self._refill_fraction = 1.0
        for incarnation, per_s in known.items():
            self.set_limit(incarnation, per_s, now=now)

    def get(self, incarnation: str) -> RateLimit | None:
        """Return a server's bucket; ``None`` if it names no limit."""
        return self._limits.get(incarnation)

    def set_limit(self, incarnation: str, per_s: float | None, *, now: int) -> bool:
        """Take over what a server names.

        :param per_s: ``None``: it names no limit any more.
        :return: whether that is new.
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
        """Take a request out of a server's bucket.

        :return: 0, or in how many ms there will be one.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return 0
        wait_ms = get_wait(limit, now=now)
        if not wait_ms:
            consume(limit)
        return wait_ms

    def set_refill_fraction(self, fraction: float, *, now: int) -> None:
        """Change the part of each limit that comes back here from now on."""
        if fraction == self._refill_fraction:
            return
        self._refill_fraction = fraction
        for limit in self._limits.values():
            reshape(
                limit, limit.per_s, fraction=fraction, capacity=limit.capacity, now=now
            )

    def list_limits(self) -> dict[str, float]:
        """Return what each limited server names."""
        return {server: limit.per_s for server, limit in self._limits.items()}

    def evict_unlisted(self, incarnations: Container[str]) -> None:
        """Forget the oldest of all servers but these."""
        _evict_unlisted(self._limits, incarnations)


class LocalRateLimits:
    """The buckets by which an instance sends without a coordinator.

    A part of a bucket that holds no whole request lets none through. Rounded up, the
    parts of many instances would add up to many times the limit.
    """

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    def charge(
        self, incarnation: str, per_s: float, *, fraction: float, now: int
    ) -> int:
        """Take a request out of a server's bucket.

        :param part: of the limit that this instance may use.
        :return: 0, or in how many ms there will be one.
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
        """Forget the oldest of all servers but these."""
        _evict_unlisted(self._limits, incarnations)


class KnownRateLimit(State):
    """A limit as one instance knows it.

    :param per_s: requests a second that the server takes.
    :param learnt_at: when this instance learnt of it, in ms.
    """

    per_s: float
    received_at: int


class KnownRateLimits:
    """The limits that one instance knows, by server."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, KnownRateLimit] = {}

    def get(self, incarnation: str) -> float | None:
        """Return a server's limit in requests a second; ``None`` if it names none."""
        known = self._known.get(incarnation)
        return None if known is None else known.per_s

    def update_from_answer(
        self, incarnation: str, per_s: float | None, *, sent_at: int, now: int
    ) -> bool:
        """Take in what an answer names.

        An answer that lifts or raises a limit counts only if its request was sent after
        the limit was learnt of. Otherwise the server may have made it before.

        :param per_s: ``None``: it names no limit.
        :param sent_at: when its request was sent, in ms.
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
        """Take in what the coordinator tells.

        :return: whether the limit has changed.
        """
        if self.get(incarnation) == per_s:
            return False
        self._set(incarnation, per_s, now=now)
        return True

    def list_limits(self) -> dict[str, float]:
        """Return the limits by server."""
        return {server: known.per_s for server, known in self._known.items()}

    def evict_unlisted(self, incarnations: Container[str]) -> None:
        """Forget the oldest of all servers but these."""
        _evict_unlisted(self._known, incarnations)

    def _set(self, incarnation: str, per_s: float | None, *, now: int) -> None:
        if per_s is None:
            del self._known[incarnation]
        else:
            self._known[incarnation] = KnownRateLimit(per_s=per_s, received_at=now)


def _evict_unlisted(by_server: dict[str, T], incarnations: Container[str]) -> None:
    unlisted = [
        incarnation for incarnation in by_server if incarnation not in incarnations
    ]
    for incarnation in unlisted[:-MAX_UNLISTED]:
        del by_server[incarnation]
