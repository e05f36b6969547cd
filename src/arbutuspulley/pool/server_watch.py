"""When servers were last lost, and which refused requests still call for a load."""

from collections.abc import Set

import msgspec

from arbutuspulley.data import State, Value

RESTART_MS = 8_000
"""How long after its loss a server may still come back with the weights on its disk, in
ms: crashed servers have come back after 4 to 6 s."""

MAX_UNSERVED = 5_000
"""Maximum number of refused requests that call for a load: far more than the demand at
which another one changes the planned loads."""


class UnservedRequest(Value, frozen=True):
    """A request that was refused at once, as no load could be completed in time.

    :param until: until when it would have waited, in ms.
    """

    model: str
    until: int


class ServerWatch(State):
    """What decides whether a model without a copy can be loaded in time.

    :param incarnations: known servers.
    :param lost_at: when a server was last lost, in ms; ``None`` before the first
        observation. A new coordinator doesn't know of earlier losses, so its first
        observation counts as one.
    :param unserved: refused requests by fingerprint, or by key if it is not known. The
        loads of their models are planned as if they waited; otherwise a rarely used
        model would never be loaded, and its callers would be refused each time.
    """

    incarnations: frozenset[str] = frozenset()
    lost_at: int | None = None
    unserved: dict[int | str, UnservedRequest] = msgspec.field(default_factory=dict)


def observe_servers(watch: ServerWatch, incarnations: Set[str], *, now: int) -> None:
    """Update when a server was last lost.

    :param incarnations: servers that are known now.
    """
    if watch.lost_at is None or watch.incarnations - incarnations:
        watch.lost_at = now
    if watch.incarnations != incarnations:
        watch.incarnations = frozenset(incarnations)


def may_servers_return(watch: ServerWatch, *, now: int) -> bool:
    """Tell whether a lost server may still come back."""
    return watch.lost_at is None or now < watch.lost_at + RESTART_MS


def record_unserved(
    watch: ServerWatch, key: int | str, *, model: str, until: int
) -> None:
    """Record a request that was refused at once.

    :param key: its fingerprint, or its key if that is not known.
    :param until: until when it would have waited, in ms.
    """
    if key in watch.unserved or len(watch.unserved) < MAX_UNSERVED:
        watch.unserved[key] = UnservedRequest(model=model, until=until)


def list_unserved(
    watch: ServerWatch, *, waiting: Set[int | str], now: int
) -> list[str]:
    """Return the models of refused requests that would still wait.

    :param waiting: fingerprints of the requests that wait, which are left out.
    """
    for key in [key for key, one in watch.unserved.items() if one.until <= now]:
        del watch.unserved[key]
    return [one.model for key, one in watch.unserved.items() if key not in waiting]
