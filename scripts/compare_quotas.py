"""Compares ways to keep teams' quotas over several instances.

A small seeded model, no processes. Teams of unlike size send requests to a few
instances at random; one team sends many times its usual for a while, and the
coordinator is lost for some seconds in the middle of that. Compared, on the same
requests:

* ``one account``: the coordinator counts all requests; without it, each instance by its
  part of the quota (:mod:`arbutuspulley.admission.quota`);
* ``equal parts``: each instance counts by its part, always;
* ``lent parts``: each instance counts by a part that the coordinator lends it anew four
  times a second, in proportion to what its callers asked for lately.

Told, as the mean over seeds with the least and the most: tokens refused although the
quota would have allowed them, in 100 of all that it allows; the same in the seconds
around the loss; the most that any team spent in a window, in 100 of what the quota
allows there; bytes that an instance sends and gets for this.
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
HOT = range(5_000, 20_000)
HOT_TIMES = 6.0
LOST = range(12_000, 14_000)
AROUND = range(12_000, 22_000)
TOLERANCE = QuotaTolerance(window_ms=8_000, overage=0.1, extra=11_000)
ROOM = 1.8
"""A team's rate, in times its usual."""

TOKENS_PER_S = 330_000
TELL_MS = 250
HALF_LIFE_MS = 1_000
PART_BYTES = 24
ASK_BYTES = 20
"""Sizes on the wire in bytes: of a team's part or demand, and of what an ask says more.
"""


class Asked(Value, frozen=True):
    """A request."""

    at: int
    team: int
    instance: int
    cost: int


class Result(Value, frozen=True):
    """How one way did on one seed; see the module."""

    refused: float
    refused_around: float
    spent: float


Decide = Callable[[Asked], bool]


def build_teams() -> list[Team]:
    """Build teams of which a few are large."""
    weights = [1 / (rank + 1) for rank in range(TEAMS)]
    return [
        Team(
            name=str(rank),
            keys=(),
            counts_tokens=True,
            rate_per_s=max(2_700, ROOM * TOKENS_PER_S * weight / sum(weights)),
            burst=max(2_700, ROOM * TOKENS_PER_S * weight / sum(weights)),
        )
        for rank, weight in enumerate(weights)
    ]


def draw_requests(teams: list[Team], seed: int) -> list[Asked]:
    """Draw requests in the order of their times; the fourth team runs hot."""
    rng = random.Random(seed)
    found = []
    for rank, team in enumerate(teams):
        usual = team.rate_per_s / ROOM
        at = 0.0
        while at < LENGTH_MS:
            rate = usual * (HOT_TIMES if rank == 3 and int(at) in HOT else 1)
            at += rng.expovariate(rate / 1_500 / SECOND_MS)
            cost = min(4_300, int(rng.lognormvariate(7.0, 0.75)) + 80)
            instance = rng.randrange(INSTANCES)
            found.append(Asked(at=int(at), team=rank, instance=instance, cost=cost))
    return sorted(found, key=lambda one: one.at)


def build_reference(teams: list[Team]) -> Decide:
    """Return what the quotas allow, if everything is known everywhere at once."""
    limits = [
        QuotaLimit(rate_per_ms=t.rate_per_s / 1e3, capacity=t.burst, tolerance=0)
        for t in teams
    ]
    buckets = [TokenBucket(balance=limit.capacity, updated_at=0) for limit in limits]

    def decide(asked: Asked) -> bool:
        bucket, limit = buckets[asked.team], limits[asked.team]
        refill(bucket, limit, now=asked.at)
        return try_consume(bucket, limit, asked.cost) == 0

    return decide


def build_one_account(teams: list[Team], sent: list[int]) -> Decide:
    """Return the decisions of one account at the coordinator."""
    limits = build_limits(teams, TOLERANCE)
    ledger = QuotaLedger()
    ledger.set_limits(limits, now=-LENGTH_MS)
    local = [LocalQuota(tolerance=TOLERANCE) for _ in range(INSTANCES)]
    lost = [False]

    def decide(asked: Asked) -> bool:
        if asked.at in LOST:
            lost[0] = True
            part = 1 / INSTANCES
            own, team = local[asked.instance], teams[asked.team]
            return own.charge(team, asked.cost, fraction=part, now=asked.at) == 0
        if lost[0]:
            lost[0] = False
            ledger.reset()
            ledger.set_limits(limits, now=LOST.stop)
        for own in local:
            own.record_coordinated(asked.at)
        sent[0] += ASK_BYTES
        return ledger.charge(str(asked.team), asked.cost, now=asked.at) == 0

    return decide


def build_parts(teams: list[Team], sent: list[int], *, are_lent: bool) -> Decide:
    """Return the decisions of instances that count by their parts."""
    shapes = [build_limit(team, TOLERANCE) for team in teams]
    whole = [shape for shape in shapes if shape is not None]
    parts = [[1 / INSTANCES] * INSTANCES for _ in teams]
    demand = [[0.0] * INSTANCES for _ in teams]
    buckets = [
        [
            TokenBucket(balance=limit.capacity / INSTANCES, updated_at=0)
            for _ in range(INSTANCES)
        ]
        for limit in whole
    ]
    told_at = [0]

    def lend(now: int) -> None:
        elapsed = now - told_at[0]
        told_at[0] = now
        for rank, asked in enumerate(demand):
            total = sum(asked) + 1.0
            # A tenth goes to all alike, for callers that come where none came lately.
            parts[rank] = [0.9 * one / total + 0.1 / INSTANCES for one in asked]
            demand[rank] = [one * 0.5 ** (elapsed / HALF_LIFE_MS) for one in asked]
            sent[0] += 2 * PART_BYTES * sum(one > 1 for one in asked)

    def decide(asked: Asked) -> bool:
        if are_lent and asked.at not in LOST and asked.at - told_at[0] >= TELL_MS:
            lend(asked.at)
        demand[asked.team][asked.instance] += asked.cost
        part = parts[asked.team][asked.instance]
        limit = whole[asked.team]
        own = QuotaLimit(
            rate_per_ms=limit.rate_per_ms * part,
            capacity=limit.capacity * part,
            tolerance=0,
        )
        bucket = buckets[asked.team][asked.instance]
        refill(bucket, own, now=asked.at)
        return try_consume(bucket, own, asked.cost) == 0

    return decide


def play(teams: list[Team], requests: list[Asked], decide: Decide) -> Result:
    """Let a way decide on all requests."""
    reference = build_reference(teams)
    allowed = lost = allowed_around = lost_around = 0
    spent: list[list[tuple[int, int]]] = [[] for _ in teams]
    for asked in requests:
        is_allowed, is_served = reference(asked), decide(asked)
        is_around = asked.at in AROUND
        if is_served:
            spent[asked.team].append((asked.at, asked.cost))
        if is_allowed:
            allowed += asked.cost
            allowed_around += asked.cost * is_around
            lost += asked.cost * (not is_served)
            lost_around += asked.cost * (is_around and not is_served)
    return Result(
        refused=100 * lost / allowed,
        refused_around=100 * lost_around / allowed_around,
        spent=100
        * max(find_most(team, one) for team, one in zip(teams, spent, strict=True)),
    )


def find_most(team: Team, spent: list[tuple[int, int]]) -> float:
    """Return the most that was spent in a window, over what is tolerated there."""
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
    """Print a line for each way."""
    teams = build_teams()
    ways: dict[str, Callable[[list[int]], Decide]] = {
        "one account": lambda sent: build_one_account(teams, sent),
        "equal parts": lambda sent: build_parts(teams, sent, are_lent=False),
        "lent parts": lambda sent: build_parts(teams, sent, are_lent=True),
    }
    print("way          refused below   around the loss  most spent   bytes/s")
    for name, build in ways.items():
        results, told = [], []
        for seed in SEEDS:
            sent = [0]
            results.append(play(teams, draw_requests(teams, seed), build(sent)))
            told.append(sent[0] / INSTANCES / (LENGTH_MS / SECOND_MS))
        columns = [
            _show([one.refused for one in results]),
            _show([one.refused_around for one in results]),
            _show([one.spent for one in results]),
            f"{statistics.mean(told):.0f}",
        ]
        print(f"{name:<12} " + "  ".join(columns))


def _show(values: list[float]) -> str:
    mean = statistics.mean(values)
    return f"{mean:5.2f} ({min(values):.2f}-{max(values):.2f})"


if __name__ == "__main__":
    main()
