"""Routes by host and longest prefix."""

import random

import pytest

from arbutuspulley.ports.fleet import FleetConfiguration, RetryPolicy, Route, Share
from arbutuspulley.routing.route_table import (
    build_route_table,
    choose_service,
    find_route,
)


def build_route(prefix, *, host="a.example", shares=(("s", 1),)):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        retry_policy=RetryPolicy.ONCE,
        is_stream=False,
        timeout_ms=1_000,
        latency_target_ms=100,
        gap_target_ms=0,
        priority=1,
        max_attempts=1,
        shares=tuple(Share(service=name, weight=weight) for name, weight in shares),
    )


TABLE = build_route_table(
    FleetConfiguration(
        version=1,
        routes=(
            build_route("/a/"),
            build_route("/a/b/"),
            build_route("/", host="b.example"),
        ),
        services={},
    )
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/a/x", "/a/"),
        ("a.example", "/a/b/x", "/a/b/"),
        ("a.example", "/a/b", "/a/"),
        ("a.example", "/a", None),
        ("a.example", "/ab/", None),
        ("a.example", "/a/?p=/a/b/", "/a/"),
        ("a.example", "/", None),
        ("b.example", "/any/where", "/"),
        ("c.example", "/a/", None),
        ("a.example", "", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, expected):
    route = find_route(TABLE, host=host, path=path)
    assert (route.prefix if route else None) == expected


def test_requests_are_distributed_by_weight():
    route = build_route("/", shares=(("x", 90), ("y", 10)))
    rng = random.Random(1)
    drawn = [choose_service(route, rng=rng) for _ in range(2_000)]
    assert 0.07 < drawn.count("y") / 2_000 < 0.13


def test_zero_weights_choose_the_first_service():
    route = build_route("/", shares=(("x", 0), ("y", 0)))
    assert choose_service(route, rng=random.Random(1)) == "x"
