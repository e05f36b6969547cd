"""Choice of the server for an attempt, from the controller's latest view.

A poison request crashes each server that runs it, and its caller may send it through
several entries at the same time, before the first crash is reported. Each request is
therefore mapped to a pair of servers by a hash of caller and body: all entries compute
the same pair and use the less busy server of it, so at most these two servers crash
before the first death is known. The pairs of different requests are effectively random,
so the load is balanced as well as with the usual choice of two random servers.
"""

from collections.abc import Sequence

import xxhash

from arbutuspulley.admission import queue
from arbutuspulley.entry.state import OngoingRequest, Runtime
from arbutuspulley.routing import choice
from arbutuspulley.rpc.messages import ServerSummary

PAIR_SIZE = 2
"""Servers that a request is sent to unless both fail or are full. This is also the
maximum number of servers that one request may crash."""


def choose_server(
    runtime: Runtime, ongoing: OngoingRequest, *, avoid: frozenset[str]
) -> str | None:
    """Return the server for the next attempt, if there is one.

    :param avoid: servers to exclude, unless they are alive and no other has the item.
    """
    full = queue.list_full_servers(
        runtime.state.admission, ongoing.call.request_id, now=runtime.clock.now()
    )
    holders = _list_holders(runtime, ongoing)
    pair = _list_usable_pair(runtime, holders)
    for servers, excluded in (
        (pair, avoid | full),
        (holders, avoid | full),
        (pair, avoid),
        (holders, avoid),
        # A server that broke a stream off but still answers may be the only holder.
        (holders, avoid - ongoing.alive_servers),
    ):
        server = _choose_among(runtime, ongoing, servers, excluded)
        if server is not None:
            return server
    return None


def choose_trial_server(
    runtime: Runtime,
    ongoing: OngoingRequest,
    *,
    avoid: frozenset[str],
    busy: frozenset[str],
) -> str | None:
    """Return the server for the trial of a suspect request, if one is free.

    If a server of the request's pair is busy, the trial waits for it and no third
    server is used: other entries may have sent copies of the request to it before they
    were notified of the death, and a trial elsewhere could crash a third server.

    :param busy: servers that are reserved for trials of other suspects.
    """
    holders = _list_holders(runtime, ongoing)
    remaining = [
        summary
        for summary in _list_usable_pair(runtime, holders)
        if summary.server not in avoid
    ]
    for excluded in (avoid, avoid - ongoing.alive_servers):
        server = _choose_among(runtime, ongoing, remaining or holders, excluded | busy)
        if server is not None:
            return server
    return None


def _list_holders(runtime: Runtime, ongoing: OngoingRequest) -> list[ServerSummary]:
    """Return the servers that have the item, ordered by a hash of the request."""
    view, item = runtime.state.view, ongoing.item.key
    servers = view.servers if view else ()
    holders = [summary for summary in servers if item in summary.items]
    return sorted(
        holders,
        key=lambda summary: xxhash.xxh64_intdigest(
            f"{ongoing.fingerprint}|{summary.server}".encode()
        ),
    )


def _list_usable_pair(
    runtime: Runtime, holders: Sequence[ServerSummary]
) -> list[ServerSummary]:
    """Return the servers of the request's pair that are not known to be unusable."""
    known = runtime.state.routing.servers
    return [
        summary
        for summary in holders[:PAIR_SIZE]
        if summary.alive
        and not summary.leaving
        and not (summary.server in known and known[summary.server].failures)
    ]


def _choose_among(
    runtime: Runtime,
    ongoing: OngoingRequest,
    servers: Sequence[ServerSummary],
    avoid: frozenset[str],
) -> str | None:
    return choice.choose_server(
        runtime.state.routing,
        servers=servers,
        item=ongoing.item.key,
        cost=ongoing.cost,
        avoid=avoid,
        now=runtime.clock.now(),
        rng=runtime.rng,
    )
