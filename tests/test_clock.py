"""The clock used for leases and deadlines, and the retry backoff."""

import time

import pytest

from arbutuspulley.clock import Clock, compute_backoff_ms


def test_clock_includes_time_suspended(monkeypatch):
    """A machine is suspended for 4 s, during which ``CLOCK_MONOTONIC`` stands still.

    A lease holder that used it would still consider its lease valid after another
    instance had long taken it over.
    """
    readings = {time.CLOCK_MONOTONIC: 5_000, time.CLOCK_BOOTTIME: 9_000}
    monkeypatch.setattr(
        time, "clock_gettime_ns", lambda clock: readings[clock] * 1_000_000
    )
    monkeypatch.setattr(time, "monotonic_ns", lambda: 5_000 * 1_000_000)
    assert Clock().now() == 9_000


@pytest.mark.parametrize(
    ("count", "expected"), [(1, 100), (2, 200), (4, 800), (5, 1_000), (90_000, 1_000)]
)
def test_backoff_doubles_up_to_the_maximum(count, expected):
    assert compute_backoff_ms(100, max_ms=1_000, count=count) == expected
