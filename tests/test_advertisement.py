"""Instances that are advertised to callers, and their shares of common limits."""

import msgspec
import pytest

from arbutuspulley.admission.service_retry_budget import build_budget, try_charge
from arbutuspulley.membership.limit_shares import get_instance_share
from arbutuspulley.node.advertisement import (
    count_advertised,
    get_share_divisor,
    select_advertised,
)
from arbutuspulley.node.directory import MAX_ADDRESSES, Directory
from arbutuspulley.routing.local_choice import get_max_in_flight
from tests.node_states import build_info, build_state
from tests.test_directory import build_ready

LARGE, SMALL = 2.15, 0.125


def build_area(*capacities, site="a1", coordinator=None):
    return [
        build_info(
            f"{site}-{number}",
            site=site,
            capacity=capacity,
            coordinates=number == coordinator,
        )
        for number, capacity in enumerate(capacities)
    ]


@pytest.mark.parametrize(
    ("area", "expected"),
    [
        (build_area(1, 1), [0, 1]),
        (build_area(LARGE, LARGE, *[SMALL] * 20), [0, 1]),
        (build_area(LARGE, *[SMALL] * 20), list(range(21))),
        (build_area(LARGE, LARGE, *[SMALL] * 200), list(range(202))),
        (build_area(LARGE, LARGE, LARGE, *[SMALL] * 20, coordinator=1), [0, 2]),
        (build_area(LARGE, LARGE, *[SMALL] * 20, coordinator=1), [0, 1]),
        (build_area(1), [0]),
        ([], []),
    ],
    ids=[
        "all alike",
        "two large ones",
        "one large one",
        "too few large ones",
        "past the coordinator",
        "the coordinator is needed",
        "one",
        "none",
    ],
)
def test_largest_instances_are_advertised_if_they_suffice(area, expected):
    """Guards against spreading callers over all instances: half the streams went
    through links of 5 Mbit/s, and 72 instances kept hardly any connection to a server
    in use until its next request."""
    assert select_advertised(area) == [area[number] for number in expected]


def test_advertised_instances_are_counted_per_data_centre():
    fleet = build_area(LARGE, LARGE, *[SMALL] * 20)
    fleet += build_area(1, 1, 1, site="b1")
    fleet += [msgspec.structs.replace(build_area(9, site="b1")[0], is_ready=False)]
    assert count_advertised(fleet) == 5


@pytest.mark.parametrize("advertised", [6, 15, 40])
def test_shares_of_all_instances_do_not_exceed_the_limit(advertised):
    """Callers with an outdated answer use any instance. The connections that a server
    accepts and the retry budget must hold even if all instances use up their shares."""
    instances = 72
    counts = [
        get_share_divisor(
            is_advertised=number < advertised,
            advertised=advertised,
            instances=instances,
        )
        for number in range(instances)
    ]
    assert sum(1 / one for one in counts) <= 1.0001


@pytest.mark.parametrize(
    ("advertised", "instances", "expected"),
    [(0, 72, 72), (72, 72, 72), (0, 0, 0)],
    ids=["not known", "all", "nothing known"],
)
def test_without_a_selection_all_instances_have_equal_shares(
    advertised, instances, expected
):
    for is_advertised in (True, False):
        found = get_share_divisor(
            is_advertised=is_advertised, advertised=advertised, instances=instances
        )
        assert found == expected


def test_advertised_instances_get_a_larger_share():
    """Six of 72 instances served all callers, and each counted its share as one of 72:
    five requests at a server with 490 connections. One in ten bookings was refused
    while the servers were free, and retries that the budget allowed were not made."""
    state = build_state()
    state.settings = msgspec.structs.replace(state.settings, cores=2.15, link_mbps=100)
    state.nodes = tuple(build_area(LARGE, *[SMALL] * 20))
    state.instances, state.advertised = 72, 6
    assert get_max_in_flight(490, share_divisor=state.share_divisor) >= 50
    budget = build_budget(ratio=0.2, window_ms=10_000, phase=0.0)
    limit = get_instance_share(184, share_divisor=state.share_divisor)
    charges = [try_charge(budget, extra_limit=limit, now=1) for _ in range(100)]
    assert 100 - charges.count(None) >= 20
    state.settings = msgspec.structs.replace(state.settings, cores=0.5, link_mbps=5)
    state.nodes = tuple(build_area(LARGE, LARGE, *[SMALL] * 20))
    assert get_max_in_flight(490, share_divisor=state.share_divisor) == 1


def test_directory_limits_the_number_of_addresses():
    state = build_ready(now=[10])
    state.nodes, state.nodes_updated_at = tuple(build_area(*[1.0] * 100)), 10
    named = Directory(state=state).list_addresses(site="a1", region="a")
    assert len(named) == MAX_ADDRESSES
