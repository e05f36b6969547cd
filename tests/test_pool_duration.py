"""Estimated remaining time of runs, and its effect on the choice of evictions."""

import pytest

from arbutuspulley.pool.answers import apply_order_answer
from arbutuspulley.pool.demand import record_demand
from arbutuspulley.pool.duration import (
    DEFAULT_TOKEN_MS,
    DurationState,
    estimate_remaining_time,
    record_run_time,
)
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.ports.fleet import ModelNeed, OrderAnswer
from tests.pools import add_run, add_waiting, build_pool, build_server


def build_need(*, model="m0", expected=100, output=400):
    return ModelNeed(
        model=model,
        adapter="",
        prompt_tokens=1_000,
        output_tokens=output,
        expected_tokens=expected,
    )


@pytest.mark.parametrize(
    ("expected", "output", "ran_ms", "remaining"),
    [
        (100, 400, 0, 100 * DEFAULT_TOKEN_MS),
        (100, 400, 400, 1_000),
        (0, 400, 0, 120 * DEFAULT_TOKEN_MS),
        (10, 400, 100, 200),
        (100, 400, 5_000, 1_500),
    ],
    ids=[
        "expected",
        "begun",
        "only output limit",
        "nearly done",
        "longer than expected",
    ],
)
def test_remaining_time_of_a_run(expected, output, ran_ms, remaining):
    need = build_need(expected=expected, output=output)
    assert estimate_remaining_time(
        DurationState(), need, ran_ms=ran_ms
    ) == pytest.approx(remaining)


def test_token_time_is_estimated_from_ended_runs():
    state = DurationState()
    for _ in range(200):
        record_run_time(state, build_need(expected=100), took_ms=3_000)
    remaining = estimate_remaining_time(state, build_need(expected=50), ran_ms=0)
    assert remaining == pytest.approx(1_500, rel=0.05)


def add_demand(pool, model, *, now, waiting=3):
    for number in range(waiting):
        record_demand(pool, model, 1_200, now=now)
        add_waiting(pool, f"{model}-{number}", model, now=now)


def test_model_whose_runs_end_soonest_is_evicted():
    """A model without a copy is requested. One server has models with a single run each
    that has just started to generate 400 tokens, the other one models with two runs
    each that are nearly complete. If the number of runs decides, the first server is
    chosen and accepts no order for 6 s."""
    long, short = build_server("s0", "m0", "m1"), build_server("s1", "m2", "m3")
    pool = build_pool(long, short)
    for model in ("m0", "m1"):
        add_run(long, f"r-{model}", model, expected=400)
    for model in ("m2", "m3"):
        add_run(short, f"a-{model}", model, expected=20)
        add_run(short, f"b-{model}", model, expected=20)
    add_demand(pool, "m4", now=10)
    assert [one.incarnation for one in plan_orders(pool, now=10)] == ["s1"]


def test_model_is_loaded_elsewhere_if_the_unload_waits_for_a_long_stream():
    """The busiest model is planned on a server whose unload waits for a long stream. It
    counted as a copy, so for 7 s no other server was ordered to load it, although some
    had free memory within a second, and 103 of its requests were refused."""
    chosen, other = build_server("s0", "m0", "m1"), build_server("s1", "m2", "m3")
    pool = build_pool(chosen, other)
    for model in ("m2", "m3"):
        add_run(other, f"r-{model}", model, expected=250)
    add_demand(pool, "m4", now=10)
    (order,) = plan_orders(pool, now=10)
    assert order.incarnation == "s0"
    # A stream that was in flight to the server runs for longer than all others.
    add_run(chosen, "late", order.model, expected=400, granted_at=10)
    apply_order_answer(pool, order, OrderAnswer.ACCEPTED, now=12)
    assert plan_orders(pool, now=100) == []
    other.runs.clear()
    assert [one.incarnation for one in plan_orders(pool, now=200)] == ["s1"]
    assert chosen.planned == ""
