"""Clocks and retry backoff, in whole milliseconds: the system's unit of time."""

import time
from collections.abc import Callable

SECOND_MS = 1_000
"""Milliseconds in a second."""


MAX_DOUBLINGS = 16
"""Limit of the exponent; every maximum backoff in use is reached below it."""


def compute_backoff_ms(initial_ms: int, *, max_ms: int, count: int) -> int:
    """Return the exponential backoff after consecutive failures, in ms.

    :param initial_ms: backoff after the first failure; doubled after each further one.
    :param max_ms: upper bound of the backoff.
    :param count: consecutive failures, at least 1.
    """
    return min(max_ms, initial_ms * 2 ** min(count - 1, MAX_DOUBLINGS))


class Clock:
    """A monotonic clock that is read in milliseconds.

    Decision functions hold no clock: their callers read one and pass ``now``, so that
    tests can set any time.

    :param read: returns the current reading in milliseconds; it must never go
        back. The default is ``CLOCK_BOOTTIME``, which unlike ``CLOCK_MONOTONIC``
        also counts the time for which the machine was suspended: a lease holder that
        resumes must find that its lease and its deadlines have expired.
    """

    __slots__ = ("_read",)

    def __init__(self, *, read: Callable[[], int] | None = None) -> None:
        self._read = read or _read_boottime

    def now(self) -> int:
        """Return the current reading.

        :return: milliseconds since an arbitrary start; only differences count.
        """
        return self._read()


def _read_boottime() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_wall() -> int:
    """Return the wall-clock time, for display and log lines only.

    Wall clocks of two instances may disagree, so no decision uses this value.

    :return: milliseconds since the Unix epoch.
    """
    return time.time_ns() // 1_000_000
