"""Prefill speed of servers, estimated from the time to the first event."""

import random

import pytest

from arbutuspulley.pool.grants import plan_grants
from arbutuspulley.pool.prefill_speed import (
    DEFAULT_SPEED,
    PrefillSpeedState,
    add_sample,
    get_speed,
)
from arbutuspulley.pool.runs import record_first_event, record_run_end
from arbutuspulley.pool.state import (
    get_prefill_speed,
    inherit_prefill_speeds,
    list_prefill_speeds,
)
from arbutuspulley.ports.fleet import AttemptOutcome, ModelSpec
from tests.pools import add_waiting, build_pool, build_server, build_spec


def estimate_speed(true_speed, *, requests, outliers=0.0, seed=1):
    """Estimate the speed from requests of 100 to 3,800 tokens.

    Their first events take 20 to 40 ms in addition to prefill.

    :param outliers: share of requests that take up to 400 ms longer.
    """
    rng = random.Random(seed)
    speed = PrefillSpeedState()
    for _ in range(requests):
        tokens = int(min(3_800, rng.lognormvariate(6.8, 0.8)) + 100)
        took = 20 + rng.random() * 20 + tokens / true_speed
        if rng.random() < outliers:
            took += rng.random() * 400
        add_sample(speed, tokens=tokens, took_ms=took)
    return get_speed(speed)


@pytest.mark.parametrize("true_speed", [12.0, 19.2, 25.8, 40.0])
def test_speed_converges_within_some_hundred_requests(true_speed):
    assert estimate_speed(true_speed, requests=400) == pytest.approx(
        true_speed, rel=0.15
    )


def test_default_speed_applies_before_any_request():
    assert get_speed(PrefillSpeedState()) == DEFAULT_SPEED


@pytest.mark.parametrize("seed", range(8))
def test_outliers_do_not_distort_the_speed(seed):
    """A few short prompts take long for other reasons. The estimated slope
    was near zero, the speed at its upper bound, and prompts were no longer rate-limited
    at all."""
    assert 14 < estimate_speed(25.8, requests=60, outliers=0.15, seed=seed) < 45


@pytest.mark.parametrize("seed", range(8))
def test_unknown_prefills_after_a_takeover_do_not_distort_the_speed(seed):
    """A coordinator that has just taken over does not know the prefills in progress on
    its servers. Every fourth request waits there behind unknown prompts, longer prompts
    for longer. The estimated speed was a third of the true one, prompts were delayed
    for 20 s, and 300 requests were refused that the servers could have served."""
    rng = random.Random(seed)
    speed = PrefillSpeedState()
    for number in range(60):
        tokens = int(min(3_800, rng.lognormvariate(6.8, 0.8)) + 100)
        took = 20 + rng.random() * 20 + tokens / 25.8
        if number % 4 == 0:
            took += rng.random() * 0.3 * tokens
        add_sample(speed, tokens=tokens, took_ms=took)
    assert get_speed(speed) == pytest.approx(25.8, rel=0.25)


def build_two_size_classes():
    sizes = {"large": 60, "small": 20}
    models = {
        name: ModelSpec(
            name=name,
            size_mb=size,
            adapter_mb=0,
            load_ms=1_200,
            disk_load_ms=800,
            warm_load_ms=600,
        )
        for name, size in sizes.items()
    }
    spec = build_spec(memory_mb=100, slots=64, cache_tokens=1_000_000, models=models)
    return build_pool(build_server("s1", "large", "small"), spec=spec)


def serve(pool, model, *, count, tokens_per_ms, start):
    """Serve one prompt after another on an idle server; return the time afterwards."""
    rng = random.Random(3)
    now = start
    for number in range(count):
        key = f"{model}-{number}"
        tokens = rng.randint(300, 3_000)
        add_waiting(pool, key, model, tokens=tokens, now=now)
        plan_grants(pool, now=now)
        took = 15 + int(tokens / tokens_per_ms)
        record_first_event(pool, key, "s1", took_ms=took, now=now + took)
        record_run_end(pool, key, "s1", how=AttemptOutcome.DONE, now=now + took)
        now += 1_000
    return now


def test_prefill_speed_differs_by_size_class():
    """Prefill of small models is three to four times as fast as that of large ones.
    With one speed for all models, that of the large ones, callers of small models
    waited for servers that could have served them."""
    pool = build_two_size_classes()
    now = serve(pool, "large", count=40, tokens_per_ms=19.2, start=0)
    now = serve(pool, "small", count=40, tokens_per_ms=66, start=now)
    assert get_prefill_speed(pool, "large") == pytest.approx(19.2, rel=0.15)
    assert get_prefill_speed(pool, "small") == pytest.approx(66, rel=0.2)
    add_waiting(pool, "next", "small", tokens=2_000, now=now)
    plan_grants(pool, now=now)
    assert pool.servers["s1"].prefill_until - now < 60


def test_unknown_size_class_has_the_slowest_known_speed():
    pool = build_two_size_classes()
    now = serve(pool, "small", count=40, tokens_per_ms=66, start=0)
    assert get_prefill_speed(pool, "large") == get_prefill_speed(pool, "small")
    serve(pool, "large", count=40, tokens_per_ms=10, start=now)
    assert get_prefill_speed(pool, "large") == pytest.approx(10, rel=0.15)


def test_successor_inherits_the_prefill_speeds():
    """A new coordinator started with the default speed. On faster servers, callers
    waited for some seconds after each change of the coordinator."""
    before = build_two_size_classes()
    serve(before, "small", count=40, tokens_per_ms=66, start=0)
    after = build_two_size_classes()
    inherit_prefill_speeds(after, list_prefill_speeds(before))
    assert get_prefill_speed(after, "small") == get_prefill_speed(before, "small")
    assert get_prefill_speed(after, "large") == get_prefill_speed(before, "large")
