"""Which servers have a copy of each model, found without looking at all servers.

Made anew for each pass of decisions and corrected as the pass changes a server. So a
pass looks at each server once, not once for each model and each waiting request.
"""

import msgspec

from arbutuspulley.data import State
from arbutuspulley.pool.state import (
    PoolState,
    ServerState,
    get_rate_limit_wait,
    is_usable,
)


class CopyIndex(State):
    """The usable servers of each model.

    :param now: as of when, in ms.
    :param copies: servers that have a model, or will have it soon, by model.
    :param limited: servers that have a model, but that the rate limit which they name
        holds back, by model. They count as no copies.
    :param least_per_s: requests a second that a limited server must take to count as a
        copy; ``None``: it counts while it may get one now.
    :param listed: under which models a server is listed, by incarnation.
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

    :param least_per_s: see :class:`CopyIndex`.
    """
    index = CopyIndex(now=now, min_requests_per_s=min_requests_per_s)
    for server in pool.servers.values():
        _add_server(index, server)
    return index


def get_copies(index: CopyIndex, model: str) -> list[ServerState]:
    """Return the usable servers that have a model, or will have it soon."""
    return index.copies.get(model, [])


def reindex_server(index: CopyIndex, server: ServerState) -> None:
    """Correct the index after something was planned or ordered at a server."""
    for model in index.models_by_server.pop(server.incarnation, ()):
        copies = index.copies[model]
        index.copies[model] = [one for one in copies if one is not server]
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
