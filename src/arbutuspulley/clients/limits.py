"""Limits on clients' connections; decisions without I/O."""

import enum

from arbutuspulley.data import Value
from arbutuspulley.platform.memory_bound import CONNECTION_BYTES

FILE_DESCRIPTORS = 200
"""Descriptors of the process's limit that are for files."""

MIN_DESCRIPTORS = 64
"""Least number of descriptors that are divided up, also where the limit is lower."""

SYSTEM_FRACTION = 1 / 4
"""Fraction of the other descriptors that neither clients nor the connections to servers
on their behalf can take: for other instances, the store, orders and reports."""

MAX_SYSTEM_DESCRIPTORS = 1_024
"""Maximum number of these."""

LINK_FRACTION = 2 / 3
"""Fraction of these that connections from other instances may take. The rest is for
those that this process opens."""

DIRECTORY_FRACTION = 1 / 8
"""Fraction of the clients' connections for queries of the directory."""

PROBE_CONNECTIONS = 16
"""Number of connections for readiness probes, and for readers of metrics."""

MEMORY_FRACTION = 1 / 2
"""Fraction of the bound on held bytes that connections may take without a request."""


class Port(enum.StrEnum):
    """Ports of a process, by who connects to them."""

    FRONTEND = "frontend"
    DIRECTORY = "directory"
    READY = "ready"
    METRICS = "metrics"
    LINK = "link"


class Timeouts(Value, frozen=True):
    """How long clients may take, in ms.

    :param head_ms: for the head of a request, from its first byte.
    :param idle_ms: between two requests on a connection, or before the first one.
    """

    head_ms: int
    idle_ms: int


def compute_connection_limits(descriptors: int, *, bound: int) -> dict[Port, int]:
    """Return how many connections each port accepts.

    A request takes two descriptors: its client's connection, and one to a server.

    :param descriptors: limit of the process.
    :param bound: on the bytes that are held for clients.
    """
    free = _count_free(descriptors)
    system = min(int(free * SYSTEM_FRACTION), MAX_SYSTEM_DESCRIPTORS)
    most = int(bound * MEMORY_FRACTION) // CONNECTION_BYTES
    clients = min((free - system) // 2, most)
    probes = min(PROBE_CONNECTIONS, clients // 8)
    directory = int(clients * DIRECTORY_FRACTION)
    return {
        Port.FRONTEND: clients - directory - 2 * probes,
        Port.DIRECTORY: directory,
        Port.READY: probes,
        Port.METRICS: probes,
        Port.LINK: int(system * LINK_FRACTION),
    }


def compute_server_connection_limit(descriptors: int, *, bound: int) -> int:
    """Return how many connections to servers may be open, idle ones included.

    :param descriptors: limit of the process.
    :param bound: on the bytes that are held for clients.
    """
    accepted = compute_connection_limits(descriptors, bound=bound)
    return _count_free(descriptors) - sum(accepted.values())


def _count_free(descriptors: int) -> int:
    return max(MIN_DESCRIPTORS, descriptors - FILE_DESCRIPTORS)
