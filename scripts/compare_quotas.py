"""Compares ways to enforce teams' quotas across several instances.

A small seeded simulation without processes. Teams of different size send requests to
random instances; one team's load surges to several times its usual rate, and the
coordinator fails for some seconds during the surge. Compared on the same requests:

* ``one account``: the coordinator charges all requests; without a coordinator, each
  instance enforces its share of the quota (:mod:`arbutuspulley.admission.quota`);
* ``equal parts``: each instance always enforces an equal share;
* ``lent parts``: each instance enforces a share that the coordinator assigns four times
  a second, in proportion to the recent demand of the instance's callers.

Reported as mean, minimum and maximum over the seeds: tokens refused although the quota
allows them, in per cent of all that it allows; the same in the seconds around the
outage; the peak usage of any team in a window, in per cent of what the quota allows
there; bytes that an instance sends and receives for this, per second.
"""

import random
import statistics
from collections.abc import Callable

from arbutuspulley.admission.quota import (
    LocalQuota,
    QuotaLedger,
    QuotaLimit,
    QuotaTolerance,
    TokenBucket,
    build_limit,
    build_limits,
    refill,
    try_consume,
)
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.ports.fleet import Team

SEEDS = range(10)
INSTANCES = 6
TEAMS = 16
LENGTH_MS = 30 * SECOND_MS
SURGE_MS = range(5_000, 20_000)
SURGE_FACTOR = 6.0
OUTAGE_MS = range(12_000, 14_000)
OUTAGE_WINDOW_MS = range(12_000, 22_000)
TOLERANCE = QuotaTolerance(window_ms=8_000, overage=0.1, extra=11_000)
RATE_HEADROOM = 1.8
"""Rate of a team's quota divided by its usual load."""

TOKENS_PER_S = 330_000
LEND_INTERVAL_MS = 250
HALF_LIFE_MS = 1_000
SHARE_BYTES = 24
REQUEST_BYTES = 20
"""Sizes on the wire in bytes: of a team's share or demand, and of the fields that a
quota charge adds to a grant request."""


class Request(Value, frozen=True):
    """A request; its time is in ms."""

    at: int
    team: int
    instance: int
    cost: int


class Result(Value, frozen=True):
    """Result of one variant for one seed; see the module's docstring."""

    refused: float
    refused_around: float
    spent: float


Decide = Callable[[Request], bool]


def build_teams() -> list[Team]:
    """Build teams whose sizes follow a 1/rank distribution."""
    weights = [1 / (rank + 1) for rank in range(TEAMS)]
    return [
        Team(
            name=str(rank),
            keys=(),
            counts_tokens=True,
            rate_per_s=max(2_700, RATE_HEADROOM * TOKENS_PER_S * weight / sum(weights)),
            burst=max(2_700, RATE_HEADROOM * TOKENS_PER_S * weight / sum(weights)),
        )
        for rank, weight in enumerate(weights)
    ]


def draw_requests(teams: list[Team], seed: int) -> list[Request]:
    """Draw requests in order of time; the load of the fourth team surges."""
    rng = random.Random(seed)
    found = []
    for rank, team in enumerate(teams):
        usual = team.rate_per_s / RATE_HEADROOM
        at = 0.0
        while at < LENGTH_MS:
            rate = usual * (SURGE_FACTOR if rank == 3 and int(at) in SURGE_MS else 1)
            at += rng.expovariate(rate / 1_500 / SECOND_MS)
            cost = min(4_300, int(rng.lognormvariate(7.0, 0.75)) + 80)
            instance = rng.randrange(INSTANCES)
            found.append(Request(at=int(at), team=rank, instance=instance, cost=cost))
    return sorted(found, key=lambda one: one.at)


def build_reference(teams: list[Team]) -> Decide:
    """Return the ideal decisions, with one exact account and no delay."""
    limits = [
        QuotaLimit(rate_per_ms=t.rate_per_s / 1e3, capacity=t.burst, tolerance=0)
        for t in teams
    ]
    buckets = [TokenBucket(balance=limit.capacity, updated_at=0) for limit in limits]

    def decide(request: Request) -> bool:
        bucket, limit = buckets[request.team], limits[request.team]
        refill(bucket, limit, now=request.at)
        return try_consume(bucket, limit, request.cost) == 0

    return decide


def build_one_account(teams: list[Team], sent: list[int]) -> Decide:
    """Return the decisions of a central account at the coordinator."""
    limits = build_limits(teams, TOLERANCE)
    ledger = QuotaLedger()
    ledger.set_limits(limits, now=-LENGTH_MS)
    local = [LocalQuota(tolerance=TOLERANCE) for _ in range(INSTANCES)]
    was_lost = [False]

    def decide(request: Request) -> bool:
        if request.at in OUTAGE_MS:
            was_lost[0] = True
            share = 1 / INSTANCES
            own, team = local[request.instance], teams[request.team]
            return own.charge(team, request.cost, fraction=share, now=request.at) == 0
        if was_lost[0]:
            was_lost[0] = False
            ledger.reset()
            ledger.set_limits(limits, now=OUTAGE_MS.stop)
        for own in local:
            own.record_coordinated(request.at)
        sent[0] += REQUEST_BYTES
        return ledger.charge(str(request.team), request.cost, now=request.at) == 0

    return decide


def build_shares(teams: list[Team], sent: list[int], *, are_lent: bool) -> Decide:
    """Return the decisions of instances that enforce their shares."""
    shapes = [build_limit(team, TOLERANCE) for team in teams]
    limits = [shape for shape in shapes if shape is not None]
    shares = [[1 / INSTANCES] * INSTANCES for _ in teams]
    demand = [[0.0] * INSTANCES for _ in teams]
    buckets = [
        [
            TokenBucket(balance=limit.capacity / INSTANCES, updated_at=0)
            for _ in range(INSTANCES)
        ]
        for limit in limits
    ]
    lent_at = [0]

    def lend(now: int) -> None:
        elapsed = now - lent_at[0]
        lent_at[0] = now
        for rank, amounts in enumerate(demand):
            total = sum(amounts) + 1.0
            # A tenth is divided equally, for callers of an instance without demand.
            shares[rank] = [0.9 * one / total + 0.1 / INSTANCES for one in amounts]
            demand[rank] = [one * 0.5 ** (elapsed / HALF_LIFE_MS) for one in amounts]
            sent[0] += 2 * SHARE_BYTES * sum(one > 1 for one in amounts)

    def decide(request: Request) -> bool:
        if (
            are_lent
            and request.at not in OUTAGE_MS
            and request.at - lent_at[0] >= LEND_INTERVAL_MS
        ):
            lend(request.at)
        demand[request.team][request.instance] += request.cost
        share = shares[request.team][request.instance]
        limit = limits[request.team]
        own = QuotaLimit(
            rate_per_ms=limit.rate_per_ms * share,
            capacity=limit.capacity * share,
            tolerance=0,
        )
        bucket = buckets[request.team][request.instance]
        refill(bucket, own, now=request.at)
        return try_consume(bucket, own, request.cost) == 0

    return decide


def simulate(teams: list[Team], requests: list[Request], decide: Decide) -> Result:
    """Run all requests through a variant and compare it with the reference."""
    reference = build_reference(teams)
    allowed = refused = allowed_around_outage = refused_around_outage = 0
    spent: list[list[tuple[int, int]]] = [[] for _ in teams]
    for request in requests:
        is_allowed, is_served = reference(request), decide(request)
        is_around_outage = request.at in OUTAGE_WINDOW_MS
        if is_served:
            spent[request.team].append((request.at, request.cost))
        if is_allowed:
            allowed += request.cost
            allowed_around_outage += request.cost * is_around_outage
            refused += request.cost * (not is_served)
            refused_around_outage += request.cost * (is_around_outage and not is_served)
    return Result(
        refused=100 * refused / allowed,
        refused_around=100 * refused_around_outage / allowed_around_outage,
        spent=100
        * max(
            find_peak_usage(team, one) for team, one in zip(teams, spent, strict=True)
        ),
    )


def find_peak_usage(team: Team, spent: list[tuple[int, int]]) -> float:
    """Return the peak usage in a window, divided by the tolerated usage."""
    window = TOLERANCE.window_ms
    base = team.rate_per_s * window / SECOND_MS + team.burst
    allowed = base * (1 + TOLERANCE.overage) + TOLERANCE.extra
    most = total = first = 0
    for at, cost in spent:
        total += cost
        while spent[first][0] <= at - window:
            total -= spent[first][1]
            first += 1
        most = max(most, total)
    return most / allowed


def main() -> None:
    """Print a line for each variant."""
    teams = build_teams()
    variants: dict[str, Callable[[list[int]], Decide]] = {
        "one account": lambda sent: build_one_account(teams, sent),
        "equal parts": lambda sent: build_shares(teams, sent, are_lent=False),
        "lent parts": lambda sent: build_shares(teams, sent, are_lent=True),
    }
    print("way          refused below   around the loss  most spent   bytes/s")
    for name, build in variants.items():
        results, byte_rates = [], []
        for seed in SEEDS:
            sent = [0]
            results.append(simulate(teams, draw_requests(teams, seed), build(sent)))
            byte_rates.append(sent[0] / INSTANCES / (LENGTH_MS / SECOND_MS))
        columns = [
            _format_range([one.refused for one in results]),
            _format_range([one.refused_around for one in results]),
            _format_range([one.spent for one in results]),
            f"{statistics.mean(byte_rates):.0f}",
        ]
        print(f"{name:<12} " + "  ".join(columns))


def _format_range(values: list[float]) -> str:
    mean = statistics.mean(values)
    return f"{mean:5.2f} ({min(values):.2f}-{max(values):.2f})"


if __name__ == "__main__":
    main()
