"""Index of the servers that have a copy of each model.

It is built for each planning cycle and updated when the cycle changes a server. So a
cycle scans all servers once, not once for each model and each waiting request.
"""

import msgspec

from arbutuspulley.data import State
from arbutuspulley.pool.state import (
    PoolState,
    ServerState,
    get_rate_limit_wait,
    is_usable,
)
from arbutuspulley.ports.fleet import SoftwareVersion


class CopyIndex(State):
    """Usable servers by model.

    :param now: time for which the index is valid, in ms.
    :param copies: servers that have a model loaded, loading or planned, by model.
    :param limited: servers that have a model but can't serve it because of their rate
        limit, by model. They don't count as copies.
    :param min_requests_per_s: rate limit from which a limited server counts as a copy;
        ``None``: it counts if its limit allows a request now.
    :param models_by_server: models under which a server is indexed, by incarnation.
    """

    now: int
    copies: dict[str, list[ServerState]] = msgspec.field(default_factory=dict)
    limited: dict[str, list[ServerState]] = msgspec.field(default_factory=dict)
    models_by_server: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)
    min_requests_per_s: float | None = None


def index_copies(
    pool: PoolState, *, now: int, min_requests_per_s: float | None = None
) -> CopyIndex:
    """Build the index of a pool's servers.

    :param now: in ms.
    :param min_requests_per_s: see :class:`CopyIndex`.
    """
    index = CopyIndex(now=now, min_requests_per_s=min_requests_per_s)
    for server in pool.servers.values():
        _add_server(index, server)
    return index


def get_copies(
    index: CopyIndex, model: str, version: SoftwareVersion | None = None
) -> list[ServerState]:
    """Return the usable servers that have a model loaded, loading or planned.

    :param version: of their software; ``None``: any.
    """
    copies = index.copies.get(model, [])
    if version is None:
        return copies
    return [server for server in copies if server.version == version]


def reindex_server(index: CopyIndex, server: ServerState) -> None:
    """Update the index after a load or unload was planned or ordered at a server."""
    for model in index.models_by_server.pop(server.incarnation, ()):
        copies = index.copies[model]
        index.copies[model] = [copy for copy in copies if copy is not server]
    _add_server(index, server)


def _add_server(index: CopyIndex, server: ServerState) -> None:
    if not is_usable(server, now=index.now):
        return
    if _is_rate_limited(index, server):
        for model in server.models:
            index.limited.setdefault(model, []).append(server)
        return
    models = {*server.models, server.loading, server.planned}
    models -= {"", server.unloading}
    index.models_by_server[server.incarnation] = tuple(models)
    for model in models:
        index.copies.setdefault(model, []).append(server)


def _is_rate_limited(index: CopyIndex, server: ServerState) -> bool:
    if index.min_requests_per_s is None or server.limit is None:
        return get_rate_limit_wait(server, now=index.now) > 0
    return server.limit.per_s < index.min_requests_per_s
