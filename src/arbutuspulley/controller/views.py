"""What an entry is told: one summary a server, one address an entry.

Several instances may speak of one server while its ownership changes hands or its
owner is gone, so the liveliest and freshest account is taken.
"""

from collections.abc import Iterable, Mapping

import msgspec

from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.controller.exchange import PeerState, is_unreachable
from arbutuspulley.data import State
from arbutuspulley.rpc.messages import (
    CallerUsage,
    EntryAddress,
    ServerSummary,
    Suspicion,
    View,
)

SUMMARY_RETENTION_MS = 60_000
"""How long a server's last account is told on, as not alive, once nobody renews it."""


REFRESH_INTERVAL_MS = 2_000
"""A view whose numbers still hold is sent again after this, with their new ages."""


class ViewState(State):
    """The view that was last sent to entries.

    :param view: ``None`` before the first.
    :param built_at: when it was built.
    """

    view: View | None = None
    built_at: int = 0


def merge_servers(
    configuration: Configuration,
    *,
    own: Mapping[str, ServerSummary],
    peers: Iterable[PeerState],
    leaving: frozenset[str],
    now: int,
) -> tuple[ServerSummary, ...]:
    """Return one summary for each configured server that anyone speaks of.

    A leaving server shows in the instance list, in its reports or in both, and
    either may lag: the first sign counts. A server that the list no longer has is
    still alive if it reports.

    :param own: summaries from reports that this instance read itself.
    :param leaving: servers that the instance list calls leaving.
    """
    summaries: dict[str, list[ServerSummary]] = {}
    for name, summary in own.items():
        summaries.setdefault(name, []).append(summary)
    for peer in peers:
        for name, summary in peer.servers.items():
            summaries.setdefault(name, []).append(_add_age(summary, peer, now=now))
    merged = []
    for name, server in sorted(list_servers(configuration).items()):
        candidates = [
            one for one in summaries.get(name, ()) if one.address == server.address
        ]
        if not candidates:
            continue
        best = min(candidates, key=lambda one: (not one.alive, one.age_ms))
        if name in leaving and not best.leaving:
            best = msgspec.structs.replace(best, leaving=True)
        merged.append(best)
    return tuple(merged)


def merge_entries(
    own: Iterable[EntryAddress], peers: Iterable[PeerState], *, now: int
) -> tuple[EntryAddress, ...]:
    """Return the entries that callers may be told of, by address.

    The entries of a peer that has fallen silent are left out at once, and come
    back with its first answer: an address too few costs callers nothing.
    """
    entries = {one.address: one for one in own}
    for peer in peers:
        if not is_unreachable(peer, now=now):
            entries |= {one.address: one for one in peer.entries}
    return tuple(entries[address] for address in sorted(entries))


def merge_usage(peers: Iterable[PeerState], *, now: int) -> tuple[CallerUsage, ...]:
    """Return what callers use through all other instances together."""
    tokens: dict[str, float] = {}
    waiting: dict[str, int] = {}
    for peer in peers:
        if is_unreachable(peer, now=now):
            continue
        for usage in peer.usage:
            name = usage.caller
            tokens[name] = tokens.get(name, 0.0) + usage.tokens_per_s
            waiting[name] = waiting.get(name, 0) + usage.waiting
    return tuple(
        CallerUsage(caller=name, tokens_per_s=tokens[name], waiting=waiting[name])
        for name in sorted(tokens)
    )


def update_view(
    state: ViewState,
    *,
    ready: bool,
    store_up: bool,
    configuration: Configuration,
    servers: tuple[ServerSummary, ...],
    entries: tuple[EntryAddress, ...],
    suspicions: tuple[Suspicion, ...],
    usage: tuple[CallerUsage, ...],
    now: int,
) -> bool:
    """Build the next view if anything changed but the age of load numbers.

    :return: whether there is a new view to send.
    """
    view = View(
        number=state.view.number if state.view else 0,
        ready=ready,
        store_up=store_up,
        configuration=configuration,
        servers=servers,
        entries=entries,
        suspicions=suspicions,
        usage=usage,
    )
    is_due = now - state.built_at >= REFRESH_INTERVAL_MS
    if not is_due and state.view and _strip_ages(view) == _strip_ages(state.view):
        return False
    state.built_at = now
    state.view = msgspec.structs.replace(view, number=view.number + 1)
    return True


def _add_age(summary: ServerSummary, peer: PeerState, *, now: int) -> ServerSummary:
    """Add the time since the peer last confirmed a summary.

    A peer that has fallen silent can't vouch that the server is alive, nor that it
    is dead: its last word stands, and grows older, for :data:`SUMMARY_RETENTION_MS`.
    """
    silent_ms = now - (peer.replied_at or 0)
    age = summary.age_ms + silent_ms
    alive = summary.alive and silent_ms <= SUMMARY_RETENTION_MS
    return msgspec.structs.replace(summary, age_ms=age, alive=alive)


def _strip_ages(view: View) -> View:
    servers = tuple(msgspec.structs.replace(one, age_ms=0) for one in view.servers)
    return msgspec.structs.replace(view, servers=servers)
