"""Compares sequences of loads at the weight store after a server is lost.

A small seeded model, no processes: some models with their adapters are lost at once
and loaded again, as many at a time as the store serves at full speed, in one of several
sequences. It prints, as the mean over seeds with the least and the most, for each
sequence over first-come: the mean time until a model answers, the requests that found
it missing, and the time until the last one answers.

TRIO (Wang et al., "TRIO: Burst Buffer Based I/O Orchestration") bounds the concurrent
users of a shared store and serves the smallest first within a priority. The bound is
given here; this script is about the sequence.
"""

import heapq
import random
import statistics
from collections.abc import Callable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.schema import WeightStore
from arbutuspulley.data import Value
from arbutuspulley.placement.missing_copies import rank_demand
from arbutuspulley.placement.slots import compute_min_hold_ms

SEEDS = range(200)


class Workload(Value, frozen=True):
    """What is lost, and how fast it can be loaded.

    Sizes are in the users' unit, to be confirmed; so is the speed, of which the users
    have only told the number of loads.

    :param lost: models that the lost server held alone.
    :param size_per_s: what one load reads in a second.
    """

    name: str
    lost: int
    smallest: int
    largest: int
    store: WeightStore
    size_per_s: float


class Lost(Value, frozen=True):
    """A model to load again, in sequence of its loss.

    :param demand: requests a second for it.
    """

    number: int
    size: int
    demand: float


class Outcome(Value, frozen=True):
    """What one sequence gave, in seconds and requests."""

    mean_wait: float
    missed: float
    last: float


Sequence = Callable[[Lost], tuple[float, ...]]

SEQUENCES: dict[str, Sequence] = {
    "first-come": lambda lost: (lost.number,),
    "smallest": lambda lost: (lost.size, lost.number),
    "most-asked": lambda lost: (-lost.demand, lost.number),
    "most-asked-by-size": lambda lost: (-lost.demand / lost.size, lost.number),
    "the planner's": lambda lost: rank_demand(lost.demand, lost.size),
}
"""Keys to sort by; the first one is what the others are compared with.

The planner's is the one before in steps of two, which instances whose figures differ
a little agree on, and smallest first within a step.
"""

WORKLOADS = (
    Workload(
        name="lestari",
        lost=4,
        smallest=34,
        largest=72,
        store=WeightStore(loads_per_minute=60, loads_at_once=2),
        size_per_s=2.0,
    ),
    Workload(
        name="kurzeme",
        lost=6,
        smallest=16,
        largest=34,
        store=WeightStore(loads_per_minute=120, loads_at_once=3),
        size_per_s=2.0,
    ),
    Workload(
        name="kurzeme, store bound by its rate",
        lost=6,
        smallest=16,
        largest=34,
        store=WeightStore(loads_per_minute=120, loads_at_once=3),
        size_per_s=50.0,
    ),
    Workload(
        name="a rack at the target",
        lost=40,
        smallest=16,
        largest=72,
        store=WeightStore(loads_per_minute=120, loads_at_once=3),
        size_per_s=2.0,
    ),
)


def build_lost(workload: Workload, rng: random.Random) -> list[Lost]:
    """Draw sizes evenly and demand with a long tail, as bursts make it."""
    return [
        Lost(
            number=number,
            size=rng.randint(workload.smallest, workload.largest),
            demand=rng.lognormvariate(0, 1.2),
        )
        for number in range(workload.lost)
    ]


def run(workload: Workload, lost: list[Lost], sequence: Sequence) -> Outcome:
    """Load all in one sequence over the store's slots."""
    hold_s = compute_min_hold_ms(workload.store) / SECOND_MS
    free_at = [0.0] * workload.store.loads_at_once
    waits: dict[int, float] = {}
    for model in sorted(lost, key=sequence):
        begun = heapq.heappop(free_at)
        waits[model.number] = begun + model.size / workload.size_per_s
        heapq.heappush(free_at, max(waits[model.number], begun + hold_s))
    return Outcome(
        mean_wait=statistics.fmean(waits.values()),
        missed=sum(model.demand * waits[model.number] for model in lost),
        last=max(waits.values()),
    )


def compare(workload: Workload) -> dict[str, list[Outcome]]:
    """Return what each sequence gave over first-come, one ratio for each seed."""
    ratios: dict[str, list[Outcome]] = {name: [] for name in SEQUENCES}
    for seed in SEEDS:
        lost = build_lost(workload, random.Random(seed))
        base = run(workload, lost, SEQUENCES["first-come"])
        for name, sequence in SEQUENCES.items():
            outcome = run(workload, lost, sequence)
            ratios[name].append(
                Outcome(
                    mean_wait=outcome.mean_wait / base.mean_wait,
                    missed=outcome.missed / base.missed,
                    last=outcome.last / base.last,
                )
            )
    return ratios


def show(values: list[float]) -> str:
    """Return mean, least and most as text."""
    return f"{statistics.fmean(values):.2f} ({min(values):.2f}-{max(values):.2f})"


def main() -> None:
    """Print one table for each workload."""
    print(f"over first-come, mean of {len(SEEDS)} seeds (least-most)")
    for workload in WORKLOADS:
        print(f"\n{workload.name}: {workload.lost} models lost")
        print(f"{'sequence':20} {'mean wait':>18} {'missed':>18} {'last':>18}")
        for name, outcomes in compare(workload).items():
            columns = [
                show([getattr(outcome, field) for outcome in outcomes])
                for field in ("mean_wait", "missed", "last")
            ]
            print(f"{name:20} {columns[0]:>18} {columns[1]:>18} {columns[2]:>18}")


if __name__ == "__main__":
    main()
