"""Which backend servers one instance can't connect to, by its own connections.

A failed connection does not tell whether the server is down or the network between
them. If connections to several servers fail, the network of this instance is the likely
cause, and another instance may still reach them.
"""

from collections.abc import Iterable

import msgspec

from arbutuspulley.data import State

MIN_UNREACHABLE = 2
"""Number of unreachable servers from which on this instance's network is suspected."""

UNREACHABLE_SHARE = 0.5
"""Share of all servers that are unreachable from which on an instance counts as cut off
even if it hears from others, on connections that are still open."""

DOWN_MS = 1_000
"""How long a server counts as down after another instance could not reach it either, in
ms."""


class ServerReach(State):
    """Connections of one instance to the servers.

    :param known: number of registered servers; 0: unknown.
    :param heard_at: when the last bytes of any server arrived, in ms.
    :param unreachable_since: since when connections fail, in ms, by server address.
    :param down_until: until when servers count as down, in ms, by address.
    """

    known: int = 0
    heard_at: int = 0
    unreachable_since: dict[str, int] = msgspec.field(default_factory=dict)
    down_until: dict[str, int] = msgspec.field(default_factory=dict)


def record_heard(reach: ServerReach, address: str, *, now: int) -> None:
    """Record that bytes of a server have arrived.

    While this instance's network is suspected, they prove nothing for new connections:
    they may have come on one that was still open.
    """
    reach.heard_at = now
    if not is_suspect(reach):
        reach.unreachable_since.pop(address, None)


def record_connected(reach: ServerReach, address: str, *, now: int) -> None:
    """Record that a new connection to a server was opened."""
    reach.heard_at = now
    reach.unreachable_since.pop(address, None)
    reach.down_until.pop(address, None)


def record_failed(reach: ServerReach, address: str, *, now: int) -> None:
    """Record that no connection to a server could be opened."""
    reach.unreachable_since.setdefault(address, now)


def record_down(reach: ServerReach, address: str, *, now: int) -> None:
    """Record that another instance can't connect to a server either.

    It is no evidence against this instance's network.
    """
    reach.unreachable_since.pop(address, None)
    reach.down_until[address] = now + DOWN_MS


def update_servers(reach: ServerReach, addresses: Iterable[str]) -> None:
    """Forget servers that are not registered any more."""
    listed = set(addresses)
    reach.known = len(listed)
    for known in (reach.unreachable_since, reach.down_until):
        for address in known.keys() - listed:
            del known[address]


def is_suspect(reach: ServerReach) -> bool:
    """Return whether this instance's network may be the cause of failed connections."""
    least = min(MIN_UNREACHABLE, reach.known) or MIN_UNREACHABLE
    return len(reach.unreachable_since) >= least


def is_cut_off(reach: ServerReach) -> bool:
    """Return whether this instance reaches no servers, or few."""
    if not is_suspect(reach):
        return False
    if len(reach.unreachable_since) >= UNREACHABLE_SHARE * reach.known:
        return True
    return reach.heard_at <= min(reach.unreachable_since.values())


def is_reachable(reach: ServerReach, address: str) -> bool:
    """Return whether to connect to a server from this instance."""
    if not is_suspect(reach):
        return True
    return address not in reach.unreachable_since and not is_cut_off(reach)


def is_down(reach: ServerReach, address: str, *, now: int) -> bool:
    """Return whether no instance is known to reach a server now."""
    return now < reach.down_until.get(address, 0)
