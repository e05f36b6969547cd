"""The limits on clients of a node, from its settings and the configuration."""

import functools
import resource

from arbutuspulley.clients.limits import (
    Port,
    Timeouts,
    compute_connection_limits,
    compute_server_connection_limit,
)
from arbutuspulley.clients.pools import Clients, CloseReason, Pool
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import Limits

_DEFAULTS = Limits()


def build_clients(state: NodeState) -> Clients:
    """Return the clients of a node, none so far.

    Their limits follow the settings and the configuration as these change.
    """

    def get_limits() -> Limits:
        configuration = state.configuration
        return _DEFAULTS if configuration is None else configuration.limits

    def get_connection_limits() -> dict[Port, int]:
        descriptors = state.settings.descriptors or _get_descriptor_limit()
        return compute_connection_limits(descriptors, bound=state.held_bytes.bound)

    def get_timeouts() -> Timeouts:
        limits = get_limits()
        return Timeouts(
            head_ms=limits.header_timeout_ms, idle_ms=limits.idle_timeout_ms
        )

    def record_closed(port: Port, reason: CloseReason, count: int) -> None:
        state.metrics.closed_clients.labels(port.value, reason.value).inc(count)
        if reason is CloseReason.IDLE:
            return  # Ordinary clients leave connections behind all the time.
        log_event(
            Event.CLIENTS_CLOSED,
            port=port.value,
            reason=reason.value,
            count=count,
            connections=clients.pools[port].count,
            held=state.held_bytes.total,
            bound=state.held_bytes.bound,
        )

    clients = Clients(
        held=state.held_bytes,
        get_limits=get_connection_limits,
        get_timeouts=get_timeouts,
        get_header_bytes=lambda: get_limits().header_bytes,
        on_closed=record_closed,
    )
    for port, pool in clients.pools.items():
        gauge = state.metrics.client_connections.labels(port.value)
        gauge.set_function(functools.partial(_get_count, pool))
    return clients


def get_max_server_connections(state: NodeState) -> int:
    """Return how many connections to servers a node may have open."""
    descriptors = state.settings.descriptors or _get_descriptor_limit()
    return compute_server_connection_limit(descriptors, bound=state.held_bytes.bound)


def _get_count(pool: Pool) -> int:
    return pool.count


def _get_descriptor_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
