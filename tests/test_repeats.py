"""Retry budget that all instances share without communication."""

from arbutuspulley.admission.service_retry_budget import (
    ServiceRetryBudget,
    record_request,
    try_spend_retry,
)


def test_all_instances_together_stay_within_the_budget():
    """All requests of six instances fail for 10 s. Servers may see at most a fifth of
    the requests plus 52 as retries."""
    budgets = [
        ServiceRetryBudget(ratio=0.2, extra=52, window_ms=10_000) for _ in range(6)
    ]
    retries = requests = 0
    for now in range(0, 10_000, 20):
        for budget in budgets:
            record_request(budget, now=now)
            requests += 1
            retries += try_spend_retry(budget, share_divisor=6, now=now)
    assert 0.1 * requests < retries <= 0.2 * requests + 52


def test_an_isolated_instance_spends_only_its_share():
    budget = ServiceRetryBudget(ratio=0.2, extra=60, window_ms=10_000)
    taken = [try_spend_retry(budget, share_divisor=1, now=0) for _ in range(60)]
    assert sum(taken) == 8


def test_retries_expire_from_the_window():
    budget = ServiceRetryBudget(ratio=0.0, extra=12, window_ms=10_000)
    assert try_spend_retry(budget, share_divisor=6, now=0)
    assert not try_spend_retry(budget, share_divisor=6, now=9_999)
    assert try_spend_retry(budget, share_divisor=6, now=10_000)
