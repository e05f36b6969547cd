"""Retry budget of a service on one instance."""

import pytest

from arbutuspulley.admission.service_retry_budget import (
    build_budget,
    count_available,
    record_request,
    refund,
    settle,
    try_charge,
)
from arbutuspulley.membership.limit_shares import get_instance_share

WINDOW_MS = 10_000

LIFETIME_MS = 1_000
"""How long a retry that requests have earned can be used, in ms."""


def build(*, ratio=0.2, phase=0.0):
    return build_budget(ratio=ratio, window_ms=WINDOW_MS, phase=phase)


def charge_all(budget, *, now, extra_limit=0.0):
    """Charge retries until one is denied and return their charges."""
    charges = []
    while charge := try_charge(budget, extra_limit=extra_limit, now=now):
        charges.append(charge)
    return charges


def record_requests(budget, count, *, now):
    for _ in range(count):
        record_request(budget, now=now)


def test_all_instances_together_stay_within_the_budget():
    """All requests of six instances fail for 10 s. Servers may see at most a fifth of
    the requests plus 52 as retries."""
    budgets = [build(phase=number / 6) for number in range(6)]
    limit = get_instance_share(52, share_divisor=6)
    retries = requests = 0
    for now in range(0, WINDOW_MS, 20):
        for budget in budgets:
            record_request(budget, now=now)
            requests += 1
            charge = try_charge(budget, extra_limit=limit, now=now)
            if charge is not None:
                retries += 1
                settle(budget, charge, now=now)
    assert 0.1 * requests < retries <= 0.2 * requests + 52


def test_an_isolated_instance_spends_only_its_share():
    limit = get_instance_share(60, share_divisor=1)
    assert len(charge_all(build(), now=0, extra_limit=limit)) == 9


def test_retries_expire_from_the_window():
    budget = build(ratio=0.0)
    (charge,) = charge_all(budget, now=0, extra_limit=1.2)
    settle(budget, charge, now=0)
    assert not charge_all(budget, now=WINDOW_MS - 1, extra_limit=1.2)
    assert charge_all(budget, now=WINDOW_MS, extra_limit=1.2)


def test_requests_earn_retries_that_are_used_once_and_expire():
    """Guards against retries by the requests of a window that has ended."""
    budget = build()
    record_requests(budget, 100, now=0)
    charges = charge_all(budget, now=LIFETIME_MS - 1)
    assert len(charges) == 17
    for charge in charges:
        settle(budget, charge, now=LIFETIME_MS - 1)
    assert not charge_all(budget, now=LIFETIME_MS - 1)
    record_requests(budget, 100, now=2_000)
    assert not charge_all(budget, now=2_000 + LIFETIME_MS)


def test_retries_in_flight_occupy_what_is_earned_later():
    """Guards against retries that a cut holds back and that arrive with later ones."""
    budget = build()
    record_requests(budget, 100, now=0)
    charges = charge_all(budget, now=0)
    assert len(charges) == 17
    for now in (LIFETIME_MS, 2 * LIFETIME_MS, 3 * LIFETIME_MS):
        record_requests(budget, 100, now=now)
        assert not charge_all(budget, now=now)
    for charge in charges:
        settle(budget, charge, now=3 * LIFETIME_MS)
    assert not charge_all(budget, now=3 * LIFETIME_MS)
    record_requests(budget, 100, now=3 * LIFETIME_MS + 1)
    assert len(charge_all(budget, now=3 * LIFETIME_MS + 1)) == 17


def test_a_retry_that_arrives_late_occupies_what_was_earned_meanwhile():
    """Guards against the same failure where nothing happens before they arrive."""
    budget = build()
    record_requests(budget, 100, now=0)
    charges = charge_all(budget, now=0)
    record_requests(budget, 100, now=LIFETIME_MS // 2)
    for charge in charges:
        settle(budget, charge, now=LIFETIME_MS)
    assert not charge_all(budget, now=LIFETIME_MS)


def test_a_share_in_flight_is_occupied_for_a_window_after_it_has_arrived():
    """Guards against the same failure where the allowance beyond the ratio is used."""
    budget = build(ratio=0.0)
    (charge,) = charge_all(budget, now=0, extra_limit=1.2)
    assert not charge_all(budget, now=WINDOW_MS, extra_limit=1.2)
    settle(budget, charge, now=WINDOW_MS)
    assert not charge_all(budget, now=2 * WINDOW_MS - 1, extra_limit=1.2)
    assert charge_all(budget, now=2 * WINDOW_MS, extra_limit=1.2)


@pytest.mark.parametrize("extra_limit", [0.0, 20.0], ids=["earned", "share"])
def test_a_retry_that_was_not_sent_is_given_back(extra_limit):
    """Guards against a budget used up by retries for which no server was found."""
    budget = build()
    if not extra_limit:
        record_requests(budget, 100, now=0)
    before = count_available(budget, extra_limit=extra_limit, now=0)
    charges = charge_all(budget, now=0, extra_limit=extra_limit)
    assert len(charges) == sum(before) > 0
    for charge in charges:
        refund(budget, charge)
    assert count_available(budget, extra_limit=extra_limit, now=0) == before


def test_charges_are_told_apart_though_they_are_alike():
    """Guards against an error when one of two retries in flight is given back and the
    other one arrives, after what they had occupied has expired."""
    budget = build()
    record_requests(budget, 100, now=0)
    first, second, *_ = charge_all(budget, now=0)
    record_request(budget, now=LIFETIME_MS)
    assert first.earned is second.earned is None
    refund(budget, second)
    settle(budget, first, now=LIFETIME_MS)
    assert len(budget.in_flight) == 15


def test_fractions_of_a_retry_add_up_over_many_instances():
    """Guards against a budget that is lost where each instance has few requests: 360
    instances used a tenth of it."""
    phases = [(number + 0.5) / 360 for number in range(360)]
    for limit, requests in ((0.5, 0), (0.0, 3)):
        total = 0
        for phase in phases:
            budget = build(phase=phase)
            record_requests(budget, requests, now=0)
            total += len(charge_all(budget, now=0, extra_limit=limit))
        allowed = 360 * (limit + 0.2 * requests)
        assert 0.8 * allowed <= total <= allowed
