"""Time in whole milliseconds, the only unit of time inside the system."""

import time
from collections.abc import Callable

SECOND_MS = 1_000
"""Milliseconds in a second."""


MAX_DOUBLINGS = 16
"""Times that a pause is doubled at most; each longest pause is reached before."""


def compute_backoff_ms(initial_ms: int, *, max_ms: int, count: int) -> int:
    """Return the pause after something has failed again, in ms.

    :param initial_ms: after the first time; doubled at each further one.
    :param count: how many times in a row it has failed, 1 at least.
    """
    return min(max_ms, initial_ms * 2 ** min(count - 1, MAX_DOUBLINGS))


class Clock:
    """A steady clock read in milliseconds.

    Decisions never hold a clock: the shell around them reads one and passes
    ``now`` along, so that a test can set any time it likes.

    :param read: returns the current reading in milliseconds; it must never go
        back. The default is the machine's boot-time clock, which unlike the
        monotonic one also counts the time for which the machine was suspended: a
        holder that wakes must find its lease and its deadlines past.
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
    """Return the calendar time, for display and log lines only.

    Wall clocks of two instances may disagree, so no decision uses this.

    :return: milliseconds since the Unix epoch.
    """
    return time.time_ns() // 1_000_000
