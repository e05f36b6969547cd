"""Processor time and memory of calls made in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from arbutuspulley.data import Value
from scripts.slope_figures import Figure, build_slope
from scripts.slope_fit import Point

CALLS = 9
"""Calls of which the quickest counts; the others were disturbed."""

_NS_PER_MS = 1_000_000
_KIB = 1_024


class Sample(Value, frozen=True):
    """What was measured at one size, by name."""

    size: int
    values: dict[str, float]


def build_slopes(
    prefix: str, units: Mapping[str, str], samples: Sequence[Sample]
) -> list[Figure]:
    """Return one figure for each name that has a unit."""
    return [
        build_slope(
            f"{prefix}.{name}",
            unit,
            [Point(size=one.size, value=one.values[name]) for one in samples],
        )
        for name, unit in units.items()
    ]


def time_call(function: Callable[..., object], *arguments: Any) -> float:
    """Return the least processor time of several calls, in ms."""
    return min(time_once(function, *arguments) for _ in range(CALLS))


def time_once(function: Callable[..., object], *arguments: Any) -> float:
    """Return the processor time of one call, in ms."""
    began = time.process_time_ns()
    function(*arguments)
    return (time.process_time_ns() - began) / _NS_PER_MS


def measure_memory(build: Callable[..., object], *arguments: Any) -> float:
    """Return the KiB that stay allocated with what a function returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build(*arguments)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / _KIB
