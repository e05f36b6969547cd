"""Requests of an instance that are in flight at model servers."""

import msgspec

from arbutuspulley.clock import Clock
from arbutuspulley.node.messages import RunningRequest


class RunningRequests:
    """Started requests, which the next coordinator has to count, by attempt id."""

    __slots__ = ("_clock", "_running")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._running: dict[str, tuple[int, RunningRequest]] = {}

    def add(self, run: RunningRequest) -> None:
        """Add a started request."""
        self._running[run.key] = self._clock.now(), run

    def remove(self, key: str) -> None:
        """Remove a request that has ended."""
        self._running.pop(key, None)

    def list_all(self) -> tuple[RunningRequest, ...]:
        """Return the requests, with the time that each has run."""
        now = self._clock.now()
        return tuple(
            msgspec.structs.replace(run, ran_ms=now - started_at)
            for started_at, run in self._running.values()
        )
