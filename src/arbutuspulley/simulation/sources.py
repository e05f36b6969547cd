"""Clocks and randomness of a simulation."""

import contextlib
import gc
import os
import random
import time
import uuid
from collections.abc import Iterator
from typing import Any
from unittest import mock

from arbutuspulley.simulation.loop import VirtualLoop
from arbutuspulley.simulation.party import get_party

WALL_START_S = 1_700_000_000
"""Wall-clock time as a simulation begins, in s."""


@contextlib.contextmanager
def simulate_sources(loop: VirtualLoop, *, seed: int) -> Iterator[None]:
    """Let all clocks be the loop's, and draw all that is random from a seed.

    A party's clocks are ahead by its offset. Cyclic garbage is not collected meanwhile,
    since its finalizers would run at times that depend on all that ran before.
    """
    source = random.Random(seed)
    start_s = loop.time()

    class SeededRandom(random.Random):
        """A generator that is seeded from the simulation's unless it has a seed."""

        def __init__(self, given: Any = None) -> None:
            super().__init__(source.getrandbits(64) if given is None else given)

    def read_s(*_clock: int) -> float:
        party = get_party()
        offset_s = 0.0 if party is None else party.clock_offset_s
        return loop.time() + offset_s

    def read_ns(*_clock: int) -> int:
        return round(read_s() * 1e9)

    def read_wall_s() -> float:
        return read_s() - start_s + WALL_START_S

    def read_wall_ns() -> int:
        return round(read_wall_s() * 1e9)

    def draw_uuid() -> uuid.UUID:
        return uuid.UUID(int=source.getrandbits(128), version=4)

    clocks: dict[str, Any] = {
        "monotonic": read_s,
        "monotonic_ns": read_ns,
        "perf_counter": read_s,
        "clock_gettime": read_s,
        "clock_gettime_ns": read_ns,
        "time": read_wall_s,
        "time_ns": read_wall_ns,
    }
    with (
        mock.patch.multiple(time, **clocks),
        mock.patch.object(random, "Random", SeededRandom),
        mock.patch.object(uuid, "uuid4", draw_uuid),
        mock.patch.object(os, "urandom", source.randbytes),
    ):
        state = random.getstate()
        random.seed(seed)
        gc.disable()
        try:
            yield
        finally:
            gc.enable()
            random.setstate(state)
