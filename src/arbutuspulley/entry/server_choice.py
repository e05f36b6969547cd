"""Choice of the server for an attempt, out of the controller's latest view.

A request may crash each server that runs it, and its caller may send it through
several entries at once, before the first death shows what it is. So each request
has a pair of servers of its own, drawn by a hash of caller and body: all entries
draw the same pair and take the less busy one of it. Whatever happens before the
death is known happens to these two. For requests that differ the pairs are as good
as random, so two draws spread the load as well as ever.
"""

from collections.abc import Sequence

import xxhash

from arbutuspulley.admission import queue
from arbutuspulley.entry.state import OngoingRequest, Runtime
from arbutuspulley.routing import choice
from arbutuspulley.rpc.messages import ServerSummary

PAIR_SIZE = 2
"""Servers that a request goes to unless both fail or are full; as many as may be lost
to one request."""


def choose_server(
    runtime: Runtime, ongoing: OngoingRequest, *, avoid: frozenset[str]
) -> str | None:
    """Return the server for the next attempt, if there is one.

    :param avoid: servers to leave out, unless they are alive and the only ones.
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
        # A server that broke off and yet answers may be the only one.
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
    """Return the server to try a suspect on, if one is free.

    The other server of its pair is waited for: copies that other entries sent before
    they knew may run there, and anywhere else a third server could be lost.

    :param busy: servers that other suspects hold.
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
    """Return the servers that have the item, in the order drawn for the request."""
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
    """Return those of the request's pair that can be used as far as is known."""
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
        chance=runtime.chance,
    )
