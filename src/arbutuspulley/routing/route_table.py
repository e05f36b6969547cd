"""Looks up the routes of a configuration by host and longest path prefix.

A lookup takes one dictionary access for each path segment, however many routes there
are.
"""

import random

from arbutuspulley.data import Value
from arbutuspulley.ports.fleet import FleetConfiguration, Route


class RouteTable(Value, frozen=True):
    """Routes by host and path prefix."""

    hosts: dict[str, dict[str, Route]]


def build_route_table(configuration: FleetConfiguration) -> RouteTable:
    """Index the routes of a configuration."""
    hosts: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        hosts.setdefault(route.host, {})[route.prefix] = route
    return RouteTable(hosts=hosts)


def find_route(table: RouteTable, *, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of the path, or ``None``.

    :param path: path, optionally with a query.
    """
    prefixes = table.hosts.get(host)
    if prefixes is None:
        return None
    path = path.partition("?")[0]
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(route: Route, *, rng: random.Random) -> str:
    """Choose the service for a request at random by the route's weights.

    :param rng: random number generator.
    """
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [max(0.0, share.weight) for share in shares]
    if not any(weights):
        return shares[0].service
    return rng.choices(shares, weights)[0].service
