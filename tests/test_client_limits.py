"""How many connections clients may have, by the settings of an instance."""

import pytest

from arbutuspulley.clients.limits import (
    FILE_DESCRIPTORS,
    MIN_DESCRIPTORS,
    Port,
    compute_connection_limits,
    compute_server_connection_limit,
)
from arbutuspulley.platform.held_bytes import MAX_ALL_HELD_BYTES
from arbutuspulley.platform.memory_bound import CONNECTION_BYTES, compute_bound

SITE_MEMORY_MB = (160, 200, 300, 376, 552, 4_096)

SITE_DESCRIPTORS = (600, 1_638, 4_100, 4_200, 8_192, 10_250, 1_048_576)


@pytest.mark.parametrize("memory_mb", [0, *SITE_MEMORY_MB])
@pytest.mark.parametrize("descriptors", [0, 100, *SITE_DESCRIPTORS])
def test_clients_leave_descriptors_for_servers_and_the_store(memory_mb, descriptors):
    """Guards against clients that take the descriptors by which they are served."""
    bound = compute_bound(memory_mb, most=MAX_ALL_HELD_BYTES)
    limits = compute_connection_limits(descriptors, bound=bound)
    assert min(limits.values()) >= 1
    free = max(MIN_DESCRIPTORS, descriptors - FILE_DESCRIPTORS)
    callers = sum(limits.values()) - limits[Port.LINK]
    # A request takes one descriptor more, for its server.
    assert 2 * callers + limits[Port.LINK] < free
    outgoing = compute_server_connection_limit(descriptors, bound=bound)
    assert outgoing + sum(limits.values()) <= free
    assert outgoing > callers
    assert free - 2 * callers - limits[Port.LINK] >= free // 20 or free > 8_000
    assert limits[Port.LINK] < free // 4


@pytest.mark.parametrize("memory_mb", SITE_MEMORY_MB)
def test_connections_without_requests_leave_memory_for_answers(memory_mb):
    """Guards against idle connections that use up the bound on what is held."""
    bound = compute_bound(memory_mb, most=MAX_ALL_HELD_BYTES)
    limits = compute_connection_limits(10**6, bound=bound)
    callers = sum(limits.values()) - limits[Port.LINK]
    assert callers * CONNECTION_BYTES <= bound // 2


def test_an_instance_of_a_site_serves_hundreds_of_callers():
    """Guards against limits that ordinary load reaches."""
    bound = compute_bound(160, most=MAX_ALL_HELD_BYTES)
    assert compute_connection_limits(1_638, bound=bound)[Port.FRONTEND] >= 400
