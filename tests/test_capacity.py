"""Capacity of instances and the order in which they claim a free lease."""

import pytest

from arbutuspulley.membership.capacity import (
    CLAIM_DELAY_PER_RANK_MS,
    MAX_CLAIM_DELAY_MS,
    get_capacity,
    get_claim_delay_ms,
    has_much_more_capacity,
)


@pytest.mark.parametrize(
    ("cores", "link_mbps", "expected"),
    [(2.15, 100, 2.15), (0.516, 5, 0.125), (1.07, 1_000, 1.07), (4, 40, 1)],
    ids=["large", "small link", "like all others", "link binds"],
)
def test_capacity_is_the_lower_of_processor_and_bandwidth(cores, link_mbps, expected):
    assert get_capacity(cores, link_mbps) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("own", "known", "expected"),
    [
        (2.0, [2.0, 0.1, 0.1], 0),
        (0.1, [2.0, 2.0, 0.1], 2 * CLAIM_DELAY_PER_RANK_MS),
        (0.1, [2.0] * 50, MAX_CLAIM_DELAY_MS),
        (2.0, [], 0),
        (0.25, [], int(0.75 * MAX_CLAIM_DELAY_MS)),
    ],
    ids=["best", "third", "one of many", "first start, large", "first start, small"],
)
def test_instances_with_more_capacity_claim_first(own, known, expected):
    """Guards against a coordinator without enough bandwidth. 72 instances start at
    once; six of them have four times the processor and twenty times the bandwidth. One
    of the others took the lease and its messages saturated its link: callers waited for
    grants, and renewals came too late."""
    assert get_claim_delay_ms(own, known) == expected


@pytest.mark.parametrize(
    ("other", "own", "expected"),
    [(2.1, 0.1, True), (0.15, 0.1, False), (4.0, 2.0, False), (0, 0.1, False)],
    ids=["much", "a little", "own is enough", "none"],
)
def test_a_coordinator_hands_over_only_for_much_more_capacity(other, own, expected):
    assert has_much_more_capacity(other, own) is expected
