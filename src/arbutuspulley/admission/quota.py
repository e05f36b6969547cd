"""Token buckets for teams' quotas.

The coordinator keeps one bucket for each team. Instances without a link to it continue
with buckets of their own, each of which refills at the instance's fraction of the rate;
the coordinator's bucket refills at the fractions of the linked instances alone. So all
buckets together never refill faster than the quota allows, however the network is
partitioned.

A quota tolerates some excess over a window. The excess is split into equal parts, one
for each source of error of the distributed accounting: see :data:`TOLERANCE_PARTS`.
"""

import random
from collections.abc import Iterable

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State, Value
from arbutuspulley.ports.fleet import Team

TOLERANCE_PARTS = 4
"""Parts of the tolerated excess: requests that arrive closer together than they were
sent, a coordinator that does not know what its predecessor granted, instances without a
coordinator, and usage that is spent before it is reported."""

MAX_RETRY_AFTER_MS = 5 * SECOND_MS
"""Longest retry time sent to refused callers, and how far ahead tokens are reserved for
them, in ms: callers that have to wait longer mostly give up."""


def get_disconnected_fraction(disconnected_ms: int, *, decay_ms: int | None) -> float:
    """Return how much of its fraction an instance may use after it has lost its link.

    The fraction decays because the instance's callers move to other instances, and
    it need not be reserved for longer than the instance may serve. Both sides of the
    link apply this.

    :param disconnected_ms: time since the link was lost.
    :param decay_ms: time after which nothing is left; ``None``: no decay.
    :return: a factor from 0 to 1.
    """
    if decay_ms is None:
        return 1.0
    return min(1.0, max(0.0, 1 - disconnected_ms / decay_ms))


class QuotaTolerance(Value, frozen=True):
    """Usage beyond a quota that is tolerated in a window, for all instances together.

    :param overage: fraction of the usage that the quota allows in the window.
    :param extra: allowance in addition to that, in the quota's unit.
    """

    window_ms: int
    overage: float
    extra: float


class QuotaLimit(Value, frozen=True):
    """Parameters of a team's token bucket.

    :param rate_per_ms: units refilled per ms.
    :param capacity: largest balance, in units.
    :param tolerance: one part of the tolerated excess, in units.
    """

    rate_per_ms: float
    capacity: float
    tolerance: float


class TokenBucket(State):
    """Token bucket of a team.

    :param balance: units left; negative after a request larger than the capacity, which
        is taken from a full bucket.
    :param updated_at: time as of which the balance holds, in ms.
    :param reserved: units reserved for retries of refused callers.
    """

    balance: float
    updated_at: int
    reserved: float = 0.0


def get_cost(team: Team, usage_tokens: int | None) -> int:
    """Return the cost of a request to its team, in the quota's unit.

    :param usage_tokens: tokens that the caller declared; ``None`` if it did not.
    """
    if not team.counts_tokens:
        return 1
    return team.default_tokens if usage_tokens is None else max(0, usage_tokens)


def build_limit(team: Team, tolerance: QuotaTolerance) -> QuotaLimit | None:
    """Return the limit of a team's bucket; ``None`` if it has no quota."""
    if not team.rate_per_s:
        return None
    rate_per_ms = team.rate_per_s / SECOND_MS
    allowed = rate_per_ms * tolerance.window_ms + team.burst
    excess = (tolerance.overage * allowed + tolerance.extra) / TOLERANCE_PARTS
    return QuotaLimit(
        rate_per_ms=rate_per_ms, capacity=max(team.burst, 1) + excess, tolerance=excess
    )


def build_limits(
    teams: Iterable[Team], tolerance: QuotaTolerance
) -> dict[str, QuotaLimit]:
    """Return the limits of all buckets, by team."""
    limits = ((team.name, build_limit(team, tolerance)) for team in teams)
    return {name: limit for name, limit in limits if limit is not None}


def refill(
    bucket: TokenBucket, limit: QuotaLimit, *, now: int, fraction: float = 1.0
) -> None:
    """Refill a bucket for the time since its last update.

    :param fraction: fraction of the rate that this bucket gets.
    """
    units = limit.rate_per_ms * fraction * max(0, now - bucket.updated_at)
    bucket.balance = min(limit.capacity, bucket.balance + units)
    bucket.reserved = max(0.0, bucket.reserved - units)
    bucket.updated_at = max(bucket.updated_at, now)


def try_consume(
    bucket: TokenBucket, limit: QuotaLimit, cost: float, *, fraction: float = 1.0
) -> int:
    """Charge a request to a bucket that was just refilled, if its balance suffices.

    A request that costs more than the capacity is charged to a full bucket.

    :param fraction: fraction of the rate that this bucket gets.
    :return: 0 if it was charged; otherwise the ms until it can be, after the retries of
        earlier refused requests.
    """
    required = min(cost, limit.capacity)
    if bucket.balance >= required:
        bucket.balance -= cost
        return 0
    refill_per_ms = max(limit.rate_per_ms * fraction, 1e-9)
    missing = required - bucket.balance + bucket.reserved
    if bucket.reserved < MAX_RETRY_AFTER_MS * refill_per_ms:
        bucket.reserved += cost
    return int(min(missing / refill_per_ms, MAX_RETRY_AFTER_MS)) + 1


class QuotaLedger:
    """The coordinator's token buckets.

    :param limits: limits by team; the usage of teams without one is not limited.
    :param refill_fraction: fraction of each rate that is refilled here.
    :param may_be_replaced: whether another coordinator may charge the same quotas. The
        buckets then hold only this fraction of the tolerance, as those of instances
        without a coordinator do: the other one grants the burst.
    """

    __slots__ = (
        "_buckets",
        "_has_limits",
        "limits",
        "may_be_replaced",
        "refill_fraction",
    )

    def __init__(self) -> None:
        self.may_be_replaced = False
        self.limits: dict[str, QuotaLimit] = {}
        self.refill_fraction = 1.0
        self._buckets: dict[str, TokenBucket] = {}
        self._has_limits = False

    def reset(self) -> None:
        """Drop all buckets; the earlier usage is unknown from now on."""
        self._buckets.clear()
        self._has_limits = False
        self.may_be_replaced = False

    def set_limits(self, limits: dict[str, QuotaLimit], *, now: int) -> None:
        """Apply the limits of a configuration.

        The balances under the first limits after a reset are unknown. They count as
        spent, except for the part of the tolerance that is intended for this case.
        """
        buckets: dict[str, TokenBucket] = {}
        for team, limit in limits.items():
            balance = limit.capacity
            if not self._has_limits:
                balance = min(balance, limit.tolerance)
            buckets[team] = self._buckets.get(team) or TokenBucket(
                balance=balance, updated_at=now
            )
        self._has_limits = True
        self._buckets = buckets
        self.limits = limits

    def set_refill_fraction(
        self, fraction: float, *, now: int, may_be_replaced: bool = False
    ) -> None:
        """Set the fraction of each rate that is refilled from now on.

        :param may_be_replaced: see :class:`QuotaLedger`.
        """
        is_same = fraction == self.refill_fraction
        if is_same and may_be_replaced == self.may_be_replaced:
            return
        for team in self._buckets:
            self._get_refilled(team, self._get_limit(self.limits[team]), now)
        self.refill_fraction = fraction
        self.may_be_replaced = may_be_replaced

    def _get_limit(self, limit: QuotaLimit) -> QuotaLimit:
        """Return the limit of a team's bucket here."""
        if not self.may_be_replaced:
            return limit
        capacity = limit.tolerance * self.refill_fraction
        return msgspec.structs.replace(limit, capacity=capacity, tolerance=capacity)

    def charge(self, team: str, cost: float, *, now: int) -> int:
        """Charge a request to its team.

        :return: 0 if it was charged; otherwise the ms until the balance suffices.
        """
        limit = self.limits.get(team)
        if limit is None:
            return 0
        limit = self._get_limit(limit)
        return try_consume(
            self._get_refilled(team, limit, now),
            limit,
            cost,
            fraction=self.refill_fraction,
        )

    def record_usage(self, team: str, cost: float, *, now: int) -> int:
        """Record usage that an instance has charged, or a refund if negative.

        :return: 0, or the ms until the team's debt is repaid.
        """
        limit = self.limits.get(team)
        if limit is None:
            return 0
        limit = self._get_limit(limit)
        bucket = self._get_refilled(team, limit, now)
        bucket.balance = min(limit.capacity, bucket.balance - cost)
        if bucket.balance >= 0:
            return 0
        return (
            int(-bucket.balance / max(limit.rate_per_ms * self.refill_fraction, 1e-9))
            + 1
        )

    def get_balance(self, team: str, *, now: int) -> float | None:
        """Return a team's balance in units; ``None`` if it has no limit."""
        limit = self.limits.get(team)
        if limit is None:
            return None
        return self._get_refilled(team, self._get_limit(limit), now).balance

    def _get_refilled(self, team: str, limit: QuotaLimit, now: int) -> TokenBucket:
        bucket = self._buckets[team]
        refill(bucket, limit, now=now, fraction=self.refill_fraction)
        return bucket


class LocalQuota:
    """Token buckets of an instance that serves without a coordinator.

    A request that is larger than its bucket leaves a debt. Instances that were
    disconnected together would all admit such a request at once, so each begins with a
    random fraction of such a debt: on average, all together admit what their buckets
    hold.

    :param tolerance: tolerance of all instances together; settings may change it.
    """

    __slots__ = ("_buckets", "_coordinated_at", "_rng", "tolerance")

    def __init__(
        self,
        *,
        tolerance: QuotaTolerance,
        now: int = 0,
        rng: random.Random | None = None,
    ) -> None:
        self.tolerance = tolerance
        self._rng = rng or random.Random()
        self._buckets: dict[str, TokenBucket] = {}
        self._coordinated_at = now

    def record_coordinated(self, now: int) -> None:
        """Record that a coordinator charges now; its buckets refill, not these."""
        self._coordinated_at = now

    def get_uncoordinated_ms(self, now: int) -> int:
        """Return the time without a coordinator, in ms."""
        return max(0, now - self._coordinated_at)

    def charge(self, team: Team, cost: float, *, fraction: float, now: int) -> int:
        """Charge a request to its team.

        :param fraction: fraction of the quota that this instance may use by itself.
        :return: 0 if it was charged; otherwise the ms until the balance suffices.
        """
        limit = self._build_limit(team, fraction)
        if limit is None:
            return 0
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = TokenBucket(
                balance=self._draw_initial_balance(limit, cost, fraction),
                updated_at=now,
            )
            self._buckets[team.name] = bucket
        coordinated_ms = max(0, self._coordinated_at - bucket.updated_at)
        if coordinated_ms:
            # While a coordinator charges, only the tolerance refills, once per window.
            recovered = limit.capacity * coordinated_ms / self.tolerance.window_ms
            balance = min(limit.capacity, bucket.balance + recovered)
            bucket.balance = min(
                balance, self._draw_initial_balance(limit, cost, fraction)
            )
            bucket.updated_at = self._coordinated_at
        refill(bucket, limit, now=now)
        return try_consume(bucket, limit, cost)

    def refund(self, team: str, cost: float) -> None:
        """Refund the cost of a request that did not run."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.balance += cost

    def _draw_initial_balance(
        self, limit: QuotaLimit, cost: float, fraction: float
    ) -> float:
        """Return the balance with which the instance begins without a coordinator.

        A single instance, whose fraction is 1, begins without a debt, since one bucket
        may admit one such request.
        """
        if cost <= limit.capacity:
            return limit.capacity
        debt = cost * (self._rng.random() - fraction) - limit.capacity
        return limit.capacity - max(0.0, debt)

    def _build_limit(self, team: Team, fraction: float) -> QuotaLimit | None:
        limit = build_limit(team, self.tolerance)
        if limit is None:
            return None
        tolerance = limit.tolerance * fraction
        return QuotaLimit(
            rate_per_ms=limit.rate_per_ms * fraction,
            capacity=tolerance,
            tolerance=tolerance,
        )
