"""Compares orders of loads from the weight store after the loss of a server.

A small seeded simulation without processes: several models with their adapters are lost
at once and loaded again in one of several orders, with as many concurrent loads as the
store serves at full speed. It prints, for each order relative to first-come, the mean,
minimum and maximum over the seeds of: the mean time until a model is available, the
requests that found it missing, and the time until the last model is available.

TRIO (Wang et al., "TRIO: Burst Buffer Based I/O Orchestration") limits the concurrent
users of a shared store and serves the smallest first within a priority. The limit is an
input here; only the order is compared.
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
    """Lost models and the speed of the weight store.

    The unit of sizes is the users' and not confirmed yet. The speed is an assumption to
    be confirmed too: the users have only given the number of loads.

    :param lost: number of models that only the lost server had loaded.
    :param smallest: minimum size of a model.
    :param largest: maximum size of a model.
    :param size_per_s: size that one load reads per second.
    """

    name: str
    lost: int
    smallest: int
    largest: int
    store: WeightStore
    size_per_s: float


class LostModel(Value, frozen=True):
    """A model to load again.

    :param number: position in the order of loss.
    :param demand: requests per second for the model.
    """

    number: int
    size: int
    demand: float


class Outcome(Value, frozen=True):
    """Result of one order of loads.

    :param mean_wait: mean time until a model is available, in s.
    :param missed: requests that found their model missing.
    :param last: time until the last model is available, in s.
    """

    mean_wait: float
    missed: float
    last: float


Sequence = Callable[[LostModel], tuple[float, ...]]

SEQUENCES: dict[str, Sequence] = {
    "first-come": lambda lost: (lost.number,),
    "smallest": lambda lost: (lost.size, lost.number),
    "most-asked": lambda lost: (-lost.demand, lost.number),
    "most-asked-by-size": lambda lost: (-lost.demand / lost.size, lost.number),
    "the planner's": lambda lost: rank_demand(lost.demand, lost.size),
}
"""Sort keys by name; the first one is the baseline of the comparison.

The planner's key is the one before it, rounded to powers of two, and smallest first
among equals. The rounding lets instances agree whose figures differ slightly.
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


def draw_lost_models(workload: Workload, rng: random.Random) -> list[LostModel]:
    """Draw uniform sizes, and demand with a long tail as it occurs in bursts."""
    return [
        LostModel(
            number=number,
            size=rng.randint(workload.smallest, workload.largest),
            demand=rng.lognormvariate(0, 1.2),
        )
        for number in range(workload.lost)
    ]


def run(workload: Workload, lost: list[LostModel], sequence: Sequence) -> Outcome:
    """Simulate the loads in one order over the store's slots."""
    hold_s = compute_min_hold_ms(workload.store) / SECOND_MS
    free_at = [0.0] * workload.store.loads_at_once
    waits: dict[int, float] = {}
    for model in sorted(lost, key=sequence):
        started_s = heapq.heappop(free_at)
        waits[model.number] = started_s + model.size / workload.size_per_s
        heapq.heappush(free_at, max(waits[model.number], started_s + hold_s))
    return Outcome(
        mean_wait=statistics.fmean(waits.values()),
        missed=sum(model.demand * waits[model.number] for model in lost),
        last=max(waits.values()),
    )


def compare(workload: Workload) -> dict[str, list[Outcome]]:
    """Return the results relative to first-come by order, one for each seed."""
    ratios: dict[str, list[Outcome]] = {name: [] for name in SEQUENCES}
    for seed in SEEDS:
        lost = draw_lost_models(workload, random.Random(seed))
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


def format_range(values: list[float]) -> str:
    """Format mean, minimum and maximum."""
    return f"{statistics.fmean(values):.2f} ({min(values):.2f}-{max(values):.2f})"


def main() -> None:
    """Print a table for each workload."""
    print(f"over first-come, mean of {len(SEEDS)} seeds (least-most)")
    for workload in WORKLOADS:
        print(f"\n{workload.name}: {workload.lost} models lost")
        print(f"{'sequence':20} {'mean wait':>18} {'missed':>18} {'last':>18}")
        for name, outcomes in compare(workload).items():
            columns = [
                format_range([getattr(outcome, field) for outcome in outcomes])
                for field in ("mean_wait", "missed", "last")
            ]
            print(f"{name:20} {columns[0]:>18} {columns[1]:>18} {columns[2]:>18}")


if __name__ == "__main__":
    main()
