"""Token buckets for teams' quotas.

The coordinator keeps one bucket for each team. Instances that it does not hear of serve
on by buckets of their own, each of which refills at the instance's part of the rate;
the coordinator's refills at the parts of the linked instances alone. So all together
never refill faster than the quota allows, whoever is cut off from whom.

A quota tolerates some excess over a window. It is split into equal parts for what
distribution costs: see :data:`TOLERANCE_PARTS`.
"""

import random
from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State, Value
from arbutuspulley.ports.fleet import Team

TOLERANCE_PARTS = 4
"""Parts of the tolerated excess: callers' requests that arrive closer together than
they were sent, a coordinator that does not know what its predecessor granted, instances
without a coordinator, and what is spent before it is told."""

MAX_RETRY_AFTER_MS = 5 * SECOND_MS
"""For how long ahead tokens are promised to refused callers, in ms: callers who are to
wait longer mostly give up."""


def get_disconnected_fraction(disconnected_ms: int, *, decay_ms: int | None) -> float:
    """Return which part of its own part an instance may use after its link was lost.

    Its callers go over to others meanwhile, and it is not needed to keep it for longer
    than it may serve. Both sides of the link go by this.

    :param ends_ms: after which nothing of it is left; ``None``: it stays whole.
    """
    if decay_ms is None:
        return 1.0
    return min(1.0, max(0.0, 1 - disconnected_ms / decay_ms))


class QuotaTolerance(Value, frozen=True):
    """What all instances together may spend beyond a quota in a window.

    :param overage: part of what the quota allows in the window.
    :param extra: beside that, in the quota's unit.
    """

    window_ms: int
    overage: float
    extra: float


class QuotaLimit(Value, frozen=True):
    """A bucket's shape.

    :param per_ms: units that come back in a ms.
    :param most: units that it holds.
    :param tolerance: units of one part of the tolerated excess.
    """

    rate_per_ms: float
    capacity: float
    tolerance: float


class TokenBucket(State):
    """What a team has left.

    :param left: may be negative: a larger request is taken from a full bucket.
    :param promised: units for which refused callers were told to come back.
    :param at: as of when, in ms.
    """

    balance: float
    updated_at: int
    reserved: float = 0.0


def get_cost(team: Team, usage_tokens: int | None) -> int:
    """Return what a request costs its team, in the quota's unit.

    :param usage_tokens: as the caller said; ``None``: it did not.
    """
    if not team.counts_tokens:
        return 1
    return team.default_tokens if usage_tokens is None else max(0, usage_tokens)


def build_limit(team: Team, tolerance: QuotaTolerance) -> QuotaLimit | None:
    """Return the shape of a team's bucket; ``None`` if it has no quota."""
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
    """Return the shapes of all buckets by team."""
    limits = ((team.name, build_limit(team, tolerance)) for team in teams)
    return {name: limit for name, limit in limits if limit is not None}


def refill(
    bucket: TokenBucket, limit: QuotaLimit, *, now: int, fraction: float = 1.0
) -> None:
    """Put in what has come back since the bucket was last looked at.

    :param part: of the rate that this bucket gets.
    """
    units = limit.rate_per_ms * fraction * max(0, now - bucket.updated_at)
    bucket.balance = min(limit.capacity, bucket.balance + units)
    bucket.reserved = max(0.0, bucket.reserved - units)
    bucket.updated_at = max(bucket.updated_at, now)


def try_consume(
    bucket: TokenBucket, limit: QuotaLimit, cost: float, *, fraction: float = 1.0
) -> int:
    """Take a request's cost out of a bucket that was just refilled.

    A request that costs more than the bucket holds is taken from a full one.

    :return: 0 if it was taken; otherwise in how many ms it may be, those included who
        were told to come back before.
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
    """The coordinator's buckets.

    :param limits: by team; one without a limit may spend what it likes.
    :param part: of each rate that is refilled here.
    """

    __slots__ = ("_buckets", "_has_limits", "limits", "refill_fraction")

    def __init__(self) -> None:
        self.limits: dict[str, QuotaLimit] = {}
        self.refill_fraction = 1.0
        self._buckets: dict[str, TokenBucket] = {}
        self._has_limits = False

    def reset(self) -> None:
        """Begin without knowing what was spent before."""
        self._buckets.clear()
        self._has_limits = False

    def set_limits(self, limits: dict[str, QuotaLimit], *, now: int) -> None:
        """Take over the limits of a configuration.

        What was left under those that hold as this begins is not known here. It counts
        as spent, but for the part of the tolerance that is kept for this.
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

    def set_refill_fraction(self, fraction: float, *, now: int) -> None:
        """Change the part of each rate that is refilled from now on."""
        if fraction == self.refill_fraction:
            return
        for team, bucket in self._buckets.items():
            refill(bucket, self.limits[team], now=now, fraction=self.refill_fraction)
        self.refill_fraction = fraction

    def charge(self, team: str, cost: float, *, now: int) -> int:
        """Take a request's cost from its team.

        :return: 0, or in how many ms the team has enough.
        """
        limit = self.limits.get(team)
        if limit is None:
            return 0
        return try_consume(
            self._get_refilled(team, limit, now),
            limit,
            cost,
            fraction=self.refill_fraction,
        )

    def record_usage(self, team: str, cost: float, *, now: int) -> int:
        """Take in what an instance has spent or, if negative, gives back.

        :return: 0, or in how many ms the team's debt is paid.
        """
        limit = self.limits.get(team)
        if limit is None:
            return 0
        bucket = self._get_refilled(team, limit, now)
        bucket.balance = min(limit.capacity, bucket.balance - cost)
        if bucket.balance >= 0:
            return 0
        return (
            int(-bucket.balance / max(limit.rate_per_ms * self.refill_fraction, 1e-9))
            + 1
        )

    def get_balance(self, team: str, *, now: int) -> float | None:
        """Return what a team has left; ``None`` if it has no limit."""
        limit = self.limits.get(team)
        return None if limit is None else self._get_refilled(team, limit, now).balance

    def _get_refilled(self, team: str, limit: QuotaLimit, now: int) -> TokenBucket:
        bucket = self._buckets[team]
        refill(bucket, limit, now=now, fraction=self.refill_fraction)
        return bucket


class LocalQuota:
    """The buckets by which an instance serves without a coordinator.

    A request that is larger than its bucket leaves a debt. Instances that were cut off
    together would all admit one at once, so each begins with a part of such a debt that
    is drawn by chance: on average, all together admit what their buckets hold.

    :param tolerance: of all instances together; settings may change it.
    """

    __slots__ = ("_buckets", "_chance", "_coordinated_at", "tolerance")

    def __init__(
        self,
        *,
        tolerance: QuotaTolerance,
        now: int = 0,
        chance: random.Random | None = None,
    ) -> None:
        self.tolerance = tolerance
        self._chance = chance or random.Random()
        self._buckets: dict[str, TokenBucket] = {}
        self._coordinated_at = now

    def record_coordinated(self, now: int) -> None:
        """Note that a coordinator counts at present; its bucket is refilled instead."""
        self._coordinated_at = now

    def get_uncoordinated_ms(self, now: int) -> int:
        """Return for how long no coordinator has counted, in ms."""
        return max(0, now - self._coordinated_at)

    def charge(self, team: Team, cost: float, *, fraction: float, now: int) -> int:
        """Take a request's cost from its team.

        :param part: of the quota that this instance may use by itself.
        :return: 0, or in how many ms the team has enough here.
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
            # Only the tolerance comes back meanwhile, once in each window.
            recovered = limit.capacity * coordinated_ms / self.tolerance.window_ms
            balance = min(limit.capacity, bucket.balance + recovered)
            bucket.balance = min(
                balance, self._draw_initial_balance(limit, cost, fraction)
            )
            bucket.updated_at = self._coordinated_at
        refill(bucket, limit, now=now)
        return try_consume(bucket, limit, cost)

    def refund(self, team: str, cost: float) -> None:
        """Return the cost of a request that did not run."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.balance += cost

    def _draw_initial_balance(
        self, limit: QuotaLimit, cost: float, fraction: float
    ) -> float:
        """Return what is left as the instance begins to serve without a coordinator.

        An instance alone begins without a debt, as one bucket admits one such request.
        """
        if cost <= limit.capacity:
            return limit.capacity
        debt = cost * (self._chance.random() - fraction) - limit.capacity
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
