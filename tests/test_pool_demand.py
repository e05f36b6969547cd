"""Demand estimates while demand moves between models.

Workload: a busy model gets 10 to 50 requests a second of 1,000 tokens each, and demand
moves to other models within 4 to 6 s. A load takes 1.2 to 2 s and waits for the streams
of the evicted models, so for each second that a rise is not detected, a queue builds up
at too few copies.
"""

import random

import pytest

from arbutuspulley.pool.demand import (
    estimate_excess_requests,
    estimate_token_cost,
    get_copy_token_rate,
    get_demand,
    inherit_demand,
    list_demand,
    record_demand,
)
from arbutuspulley.pool.duration import estimate_run_time
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.ports.fleet import ModelNeed
from tests.pools import add_run, build_pool, build_server, build_spec


def send_requests(pool, *, per_s, begin, end, rng, model="m0"):
    now = begin
    while True:
        now += rng.expovariate(per_s / 1_000)
        if now >= end:
            return
        record_demand(pool, model, 1_000, now=int(now))


def test_rising_demand_is_detected_within_a_second():
    """Demand for a model suddenly rises fivefold. A moving average with a half-life of
    3 s showed twice the former demand after one second, and was too low for nine."""
    rng = random.Random(3)
    pool = build_pool(mean_tokens=1_000.0)
    send_requests(pool, per_s=10, begin=0, end=20_000, rng=rng)
    before = get_demand(pool, "m0")
    send_requests(pool, per_s=50, begin=20_000, end=21_200, rng=rng)
    assert before < 16_000
    assert get_demand(pool, "m0") > 25_000


def test_random_variation_does_not_change_the_estimate():
    rng = random.Random(5)
    pool = build_pool(mean_tokens=1_000.0)
    send_requests(pool, per_s=20, begin=0, end=10_000, rng=rng)
    estimates = []
    for second in range(10, 60):
        begin = second * 1_000
        send_requests(pool, per_s=20, begin=begin, end=begin + 1_000, rng=rng)
        estimates.append(get_demand(pool, "m0"))
    outliers = [demand for demand in estimates if not 10_000 < demand < 30_000]
    assert len(outliers) <= 3


@pytest.mark.parametrize("seconds", [1, 2, 4, 8])
def test_demand_is_not_underestimated_after_a_start(seconds):
    """All instances restart. Averages that started at zero showed 10 requests a second
    after one second instead of 50, and the model had no second copy for three."""
    pool = build_pool(mean_tokens=1_000.0)
    send_requests(pool, per_s=50, begin=0, end=seconds * 1_000, rng=random.Random(1))
    assert get_demand(pool, "m0") == pytest.approx(50_000, rel=0.4)


def test_successor_inherits_the_demand_estimates():
    pool, successor = build_pool(), build_pool()
    send_requests(pool, per_s=30, begin=0, end=9_000, rng=random.Random(2))
    inherit_demand(successor, list_demand(pool), now=77)
    known = get_demand(pool, "m0")
    assert get_demand(successor, "m0") == pytest.approx(known)


@pytest.mark.parametrize(
    ("slots", "prompt", "expected", "binds"),
    [(12, 800, 290, "slots"), (64, 1_460, 120, "prefill"), (12, 2_400, 27, "prefill")],
    ids=["few slots, long streams", "many slots", "short answers to long prompts"],
)
def test_token_cost_is_set_by_the_scarcer_of_slots_and_prefill(
    slots, prompt, expected, binds
):
    """With streams of two seconds, twelve slots admit six requests a second, while the
    prefill speed allows thirty prompts a second."""
    pool = build_pool(spec=build_spec(slots=slots))
    need = ModelNeed(
        model="m0",
        adapter="",
        prompt_tokens=prompt,
        output_tokens=460,
        expected_tokens=expected,
    )
    token_cost = estimate_token_cost(pool, need)
    assert (token_cost > prompt) == (binds == "slots")
    prefill_ms = token_cost * 1_000 / get_copy_token_rate(pool, "m0")
    assert slots * prefill_ms >= estimate_run_time(pool.durations, need)


def test_model_with_full_slots_gets_another_copy():
    """The twelve slots of the only copy are full of long streams, and ten requests a
    second arrive. By prefill alone the copy was a third utilised, and no other copy was
    loaded: 35 requests waited, and a third of them were refused."""
    busy = build_server("s0", "m0", slots=12)
    pool = build_pool(busy, build_server("s1"), spec=build_spec(slots=12))
    for number in range(12):
        add_run(busy, f"r{number}", "m0", expected=290)
    need = busy.runs["r0"].need
    now = 0
    for _ in range(30):
        now += 100
        record_demand(pool, "m0", estimate_token_cost(pool, need), now=now)
    assert estimate_excess_requests(pool, "m0", 1) > estimate_excess_requests(
        pool, "m0", 2
    )
    (order,) = plan_orders(pool, now=now)
    assert (order.incarnation, order.model) == ("s1", "m0")
