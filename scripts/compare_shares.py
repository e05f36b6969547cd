"""Compares orders in which requests are granted scarce model servers.

A small seeded simulation without processes: the coordinator's own decisions, and
servers that prefill one prompt after another. Sixteen teams send requests of three
ranks; in the middle, one team sends several times its usual load. Compared on the same
arrivals:

* ``strict ranks``: by rank, then by due time, as without fair shares;
* ``arrival``: first come, first served;
* ``fair shares``: :mod:`arbutuspulley.pool.start_order`.

For each rank that surges (``all``: the team surges in all of them alike) and each
order: the fraction of requests in time by rank; the lowest team's fraction; by how much
the surge lowers the fraction of the other team that loses the most; and the mean wait
of rank 0 in ms. Refused requests don't come back.
"""

import heapq
import itertools
import math
import random
import statistics
from collections.abc import Iterable, Iterator
from typing import Annotated

import cyclopts

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.pool.grants import Grant, Refusal, find_next_wakeup, plan_grants
from arbutuspulley.pool.runs import record_first_event, record_run_end
from arbutuspulley.pool.state import PoolState, ServerState, WaitingRequest
from arbutuspulley.ports.fleet import AttemptOutcome, EngineSpec, ModelNeed, ModelSpec

TEAMS = 16
SURGING_TEAM = 3
SURGE_FACTOR = 6.0
SERVERS = 4
MODELS = 4
LENGTH_MS = 24 * SECOND_MS
SURGE_MS = range(4_000, 20_000)
MEAN_TOKENS = 1_000
TOKENS_PER_MS = 20.0
"""Prefill speed of a server."""

REQUESTS_PER_S = 64.0
"""Load that the servers prefill at the rate at which prompts are started."""

TOKEN_MS = 14.0
RANK_FRACTIONS = (0.4, 0.3, 0.3)
TARGETS_MS = (508, 506, 3_008)
"""Fraction of the requests and latency target of each rank."""

GAP_TARGET_MS = 250
LATE_RATIO = 0.75
GIVE_UP_MS = 4_000
CYCLE_MS = 5
"""Least time between planning cycles without an arrival or an answer."""

ORDERS = ("strict ranks", "arrival", "fair shares")

app = cyclopts.App(help="Compare orders of waiting requests.")


class Arrival(Value, frozen=True):
    """A request; times in ms.

    :param is_surge: whether it is part of the surge.
    """

    at: int
    team: int
    rank: int
    model: int
    tokens: int
    output_tokens: int
    is_surge: bool


class Result(Value, frozen=True):
    """Outcome of each request, in order of arrival.

    :param waits: wait for a grant in ms; ``None``: refused.
    :param in_time: whether the first event came within the latency target.
    """

    arrivals: list[Arrival]
    waits: list[int | None]
    in_time: list[bool]

    def get_fraction(
        self, *, team: int | None = None, rank: int | None = None
    ) -> float:
        """Return the fraction in time of a team's requests, of a rank's, or of all."""
        found = [
            in_time
            for one, in_time in zip(self.arrivals, self.in_time, strict=True)
            if team in (None, one.team) and rank in (None, one.rank)
        ]
        return sum(found) / max(1, len(found))

    def get_mean_wait(self, rank: int) -> float:
        """Return the mean wait of a rank's granted requests, in ms."""
        return statistics.mean(
            wait
            for one, wait in zip(self.arrivals, self.waits, strict=True)
            if one.rank == rank and wait is not None
        )


def draw_arrivals(
    seed: int, *, load: float, surge_rank: int | None = None
) -> list[Arrival]:
    """Draw requests in order of time; those of the surge are marked.

    :param load: usual load as a fraction of :data:`REQUESTS_PER_S`.
    :param surge_rank: rank that the surge consists of; ``None``: of all.
    """
    rng = random.Random(seed)
    rate = load * REQUESTS_PER_S / SECOND_MS
    surge = rate / TEAMS * (SURGE_FACTOR - 1)
    usual = [
        _draw(rng, at, team=rng.randrange(TEAMS), rank=None, is_surge=False)
        for at in _draw_times(rng, rate, range(LENGTH_MS))
    ]
    added = [
        _draw(rng, at, team=SURGING_TEAM, rank=surge_rank, is_surge=True)
        for at in _draw_times(rng, surge, SURGE_MS)
    ]
    return sorted([*usual, *added], key=lambda one: one.at)


def _draw_times(rng: random.Random, per_ms: float, within: range) -> Iterator[int]:
    at = float(within.start)
    while (at := at + rng.expovariate(per_ms)) < within.stop:
        yield int(at)


def _draw(
    rng: random.Random, at: int, *, team: int, rank: int | None, is_surge: bool
) -> Arrival:
    drawn = rng.choices(range(3), RANK_FRACTIONS)[0]
    return Arrival(
        at=at,
        team=team,
        rank=drawn if rank is None else rank,
        model=rng.randrange(MODELS),
        tokens=min(4_300, max(80, int(rng.lognormvariate(6.7, 0.6)))),
        output_tokens=rng.randrange(10, 80),
        is_surge=is_surge,
    )


def build_pool(*, is_fair: bool) -> PoolState:
    """Build a pool in which each model is loaded on two servers."""
    names = [f"m{number}" for number in range(MODELS)]
    models = {
        name: ModelSpec(
            name=name,
            size_mb=30,
            adapter_mb=1,
            load_ms=1_200,
            disk_load_ms=800,
            warm_load_ms=600,
        )
        for name in names
    }
    spec = EngineSpec(
        slots=32,
        cache_tokens=200_000,
        memory_mb=70,
        adapter_slots=2,
        loads_per_s=2,
        models=models,
    )
    servers = {
        f"s{number}": ServerState(
            incarnation=f"s{number}",
            address=f"s{number}:1",
            zone="z1",
            slots=32,
            models={names[number]: set(), names[(number + 1) % MODELS]: set()},
            accepted_orders=0,
        )
        for number in range(SERVERS)
    }
    return PoolState(
        service="llm", spec=spec, servers=servers, shares_contended=is_fair
    )


def _build_waiting(key: str, one: Arrival, *, order: str) -> WaitingRequest:
    is_by_arrival = order == "arrival"
    # Without ranks and lateness, due times are in order of arrival.
    late_ms = LENGTH_MS if is_by_arrival else int(TARGETS_MS[one.rank] * LATE_RATIO)
    return WaitingRequest(
        key=key,
        origin="n1",
        need=ModelNeed(
            model=f"m{one.model}",
            adapter="",
            prompt_tokens=one.tokens,
            output_tokens=3 * one.output_tokens,
            expected_tokens=one.output_tokens,
        ),
        zone="z1",
        priority=0 if is_by_arrival else one.rank,
        arrived_at=one.at,
        late_at=one.at + late_ms,
        give_up_at=one.at + GIVE_UP_MS,
        gap_target_ms=GAP_TARGET_MS,
        team=f"t{one.team}",
    )


def simulate(
    arrivals: list[Arrival], *, order: str, takeover_ms: int | None = None
) -> Result:
    """Serve requests in an order of :data:`ORDERS`.

    :param takeover_ms: time at which another coordinator without clocks takes over;
        ``None``: never.
    """
    pool = build_pool(is_fair=order == "fair shares")
    waits: list[int | None] = [None] * len(arrivals)
    in_time = [False] * len(arrivals)
    servers = pool.servers.values()
    free_at = dict.fromkeys(pool.servers, 0.0)
    # Arrivals, first events, ends and wake-ups, each with its time and kind.
    serial = itertools.count()
    due = [(one.at, next(serial), "arrival", n, "") for n, one in enumerate(arrivals)]
    wake_at = LENGTH_MS * 2
    if takeover_ms is not None:
        due.append((takeover_ms, next(serial), "takeover", 0, ""))
    heapq.heapify(due)
    while due:
        now, _, kind, number, server = heapq.heappop(due)
        if kind == "wake" and now != wake_at:
            continue
        one = arrivals[number]
        if kind == "arrival":
            pool.waiting[str(number)] = _build_waiting(str(number), one, order=order)
        elif kind == "takeover":
            pool.shares = type(pool.shares)()
        elif kind == "first":
            in_time[number] = now - one.at <= TARGETS_MS[one.rank]
            took_ms = now - pool.servers[server].runs[str(number)].granted_at
            record_first_event(pool, str(number), server, took_ms=took_ms, now=now)
            end = now + int(one.output_tokens * TOKEN_MS)
            heapq.heappush(due, (end, next(serial), "end", number, server))
        elif kind == "end":
            how = AttemptOutcome.DONE
            record_run_end(pool, str(number), server, how=how, now=now)
        free_from = math.ceil(min(one.prefill_until for one in servers))
        if kind != "wake" and free_from > now:
            # No prompt can start yet, except late ones slightly ahead of time.
            if not now < wake_at <= free_from:
                wake_at = free_from
                heapq.heappush(due, (wake_at, next(serial), "wake", 0, ""))
            continue
        for decision in plan_grants(pool, now=now):
            if isinstance(decision, Refusal):
                continue
            granted = int(decision.key)
            waits[granted] = now - arrivals[granted].at
            first = _prefill(free_at, decision, arrivals[granted], now=now)
            event = (first, next(serial), "first", granted, decision.incarnation)
            heapq.heappush(due, event)
        wake = pool.next_start_at or find_next_wakeup(pool, now=now)
        if wake is not None:
            wake_at = max(math.ceil(wake), now + CYCLE_MS)
            heapq.heappush(due, (wake_at, next(serial), "wake", 0, ""))
    return Result(arrivals=arrivals, waits=waits, in_time=in_time)


def _prefill(free_at: dict[str, float], grant: Grant, one: Arrival, *, now: int) -> int:
    """Return when a prompt's first event comes, in ms."""
    begin = max(float(now), free_at[grant.incarnation])
    free_at[grant.incarnation] = begin + one.tokens / TOKENS_PER_MS
    return int(free_at[grant.incarnation]) + 1


def find_loss(surged: list[Result], usual: list[Result]) -> float:
    """Return how much of its fraction in time the surge costs the worst other team.

    :param surged: results by seed with the surge.
    :param usual: results by seed without it.
    """
    return max(
        statistics.mean(one.get_fraction(team=team) for one in usual)
        - statistics.mean(one.get_fraction(team=team) for one in surged)
        for team in range(TEAMS)
        if team != SURGING_TEAM
    )


@app.default
def run(
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="Number of seeds.")] = 3,
    load: Annotated[float, cyclopts.Parameter(help="Usual load.")] = 0.8,
    surges: Annotated[
        tuple[str, ...], cyclopts.Parameter(help="Ranks that surge; all: in all.")
    ] = ("all", "0", "1", "2"),
) -> None:
    """Print a line for each surge and order, with means over the seeds."""
    print("surge  order         rank 0  rank 1  rank 2  worst team  loss   wait 0 ms")
    for name in surges:
        surge_rank = None if name == "all" else int(name)
        for order in ORDERS:
            surged, usual = [], []
            for seed in range(seeds):
                arrivals = draw_arrivals(seed, load=load, surge_rank=surge_rank)
                surged.append(simulate(arrivals, order=order))
                unsurged = [one for one in arrivals if not one.is_surge]
                usual.append(simulate(unsurged, order=order))
            _print_row(name, order, surged, usual)


def _print_row(
    name: str, order: str, surged: list[Result], usual: list[Result]
) -> None:
    by_rank = [
        _mean(one.get_fraction(rank=rank) for one in surged) for rank in range(3)
    ]
    by_team = [
        _mean(one.get_fraction(team=team) for one in surged) for team in range(TEAMS)
    ]
    wait_ms = _mean(one.get_mean_wait(0) for one in surged)
    print(
        f"{name:<6} {order:<13}"
        + "".join(f" {fraction:6.3f} " for fraction in by_rank)
        + f"  {min(by_team):6.3f}    {find_loss(surged, usual):6.3f}  {wait_ms:7.1f}",
        flush=True,
    )


def _mean(values: Iterable[float]) -> float:
    return statistics.mean(values)


if __name__ == "__main__":
    app()
