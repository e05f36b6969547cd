"""The retry budget."""

import random

import pytest

from arbutuspulley.admission import retry_budget
from arbutuspulley.admission.retry_budget import (
    RetryBudget,
    record_success,
    try_spend_retry,
)


def test_an_idle_system_may_retry_only_its_first_failure():
    state = RetryBudget()
    assert try_spend_retry(state, now=5)
    assert not try_spend_retry(state, now=6)
    assert try_spend_retry(state, now=retry_budget.FLOOR_REFILL_MS)


def test_successes_earn_retries_up_to_a_bound():
    state = RetryBudget(credit=0)
    for _ in range(10):
        record_success(state)
    assert try_spend_retry(state, now=5)
    assert not try_spend_retry(state, now=6)
    for _ in range(100_000):
        record_success(state)
    assert (
        sum(try_spend_retry(state, now=0) for _ in range(1_000))
        == retry_budget.MAX_CREDIT // retry_budget.RETRY_COST
    )


def test_a_retry_is_not_retried_and_earns_no_credit():
    state = RetryBudget(credit=500)
    assert not try_spend_retry(state, now=0, retried=True)
    record_success(state, retried=True)
    assert state.credit == 500


@pytest.mark.parametrize(("failing", "most"), [(0.1, 1.1), (0.5, 1.1), (1.0, 1.02)])
def test_failing_servers_do_not_multiply_the_load(failing, most):
    """A tenth of the attempts fail, then half, then all.

    With three attempts per request, the attempts would grow to 1.11, 1.75 and 3 times
    the requests, when there is the least capacity for them.
    """
    rng = random.Random(1)
    state = RetryBudget()
    attempts = requests = 0
    for now in range(0, 100_000, 50):
        requests += 1
        attempts += 1
        if rng.random() >= failing:
            record_success(state)
            continue
        if try_spend_retry(state, now=now):
            attempts += 1
            if rng.random() >= failing:
                record_success(state, retried=True)
    assert attempts / requests <= most
