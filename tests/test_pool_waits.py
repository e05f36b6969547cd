"""Estimated waits for a model's copies, including copies that are being loaded.

Workload: demand moves to a model with one copy, 30 requests wait for it, and the load
of a second copy takes 1 to 2 s. Callers disconnect after 2 s without a first event, and
retry once when they are refused.
"""

import pytest

from arbutuspulley.pool.copies import index_copies
from arbutuspulley.pool.demand import get_copy_token_rate
from arbutuspulley.pool.grants import Refusal, plan_grants
from arbutuspulley.pool.waits import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    estimate_retry_after,
    estimate_wait,
    list_copy_ready_times,
)
from tests.pools import add_run, add_waiting, build_pool, build_server


@pytest.mark.parametrize(
    ("seconds", "ready_times", "expected_ms"),
    [
        (1, [0], 1_000),
        (1, [0, 0], 500),
        (2, [0, 1_000], 1_500),
        (1, [0, 1_000], 1_000),
        (1, [400], 1_400),
        (0, [400], 400),
        (3, [0, 1_000, 2_000], 2_000),
        (6, [0, 1_000, 2_000], 3_000),
    ],
)
def test_copy_reduces_the_wait_once_it_is_ready(seconds, ready_times, expected_ms):
    """``seconds``: time that one copy takes for the waiting prompts."""
    pool = build_pool()
    tokens = int(get_copy_token_rate(pool, "m0") * seconds)
    wait_ms = estimate_wait(pool, "m0", tokens, ready_times)
    assert wait_ms == pytest.approx(expected_ms, abs=1)


def test_ready_time_includes_the_unload_wait():
    loading = build_server("s1", loading="m0", loading_until=700)
    unloading = build_server("s2", "m1", planned="m0", unloading="m1")
    add_run(unloading, "r", "m1", expected=100)
    pool = build_pool(build_server("s0", "m0"), loading, unloading)
    first, second, third = list_copy_ready_times(
        pool, "m0", index_copies(pool, now=100)
    )
    assert (first, second) == (0, 600)
    assert third > pool.spec.models["m0"].load_ms + 1_000


def test_retry_after_includes_the_time_until_a_copy_is_ready():
    """A copy that becomes ready in three seconds counted as ready: refused callers
    retried after 0.2 s, met the same queue and were lost."""
    loading = build_server("s0", loading="m0", loading_until=3_000)
    pool = build_pool(loading)
    add_waiting(pool, "r0", "m0", give_up_at=5)
    (refused,) = plan_grants(pool, now=10)
    assert isinstance(refused, Refusal)
    assert refused.retry_after_ms == pytest.approx(2_990, abs=1)


@pytest.mark.parametrize(
    ("seconds", "ready_times", "expected"),
    [
        (0, [0], MIN_RETRY_AFTER_MS),
        (60, [0], MAX_RETRY_AFTER_MS),
        (1, [0], 1_000),
        (1, [], 1_200),
    ],
)
def test_retry_after_is_the_estimated_wait_within_bounds(
    seconds, ready_times, expected
):
    pool = build_pool()
    tokens = int(get_copy_token_rate(pool, "m0") * seconds)
    assert estimate_retry_after(pool, "m0", tokens, ready_times) == pytest.approx(
        expected, abs=1
    )
