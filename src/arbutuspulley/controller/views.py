"""Views for entries: one summary per server, one address per entry.

Several instances may report one server while its ownership moves or its owner is
gone. A summary with the server alive is preferred, then the one with the lowest age.
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
"""Time since a peer's last reply after which its last summaries count as not alive, and
its last status is dropped if it has no session row either."""


REFRESH_INTERVAL_MS = 2_000
"""Time after which an unchanged view is sent again, with the current ages."""


class ViewState(State):
    """The newest view for entries.

    :param view: ``None`` before the first one is built.
    :param built_at: when the view was built, in ms.
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
    """Return one summary for each configured server that any instance reports.

    A server is leaving as soon as either the instance list or its report says so, as
    either may lag behind the other. A server that is no longer in the instance list is
    still alive if it reports.

    :param own: summaries of the servers that this instance polls.
    :param leaving: servers that the instance list marks as leaving.
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
            summary
            for summary in summaries.get(name, ())
            if summary.address == server.address
        ]
        if not candidates:
            continue
        best = min(candidates, key=lambda summary: (not summary.alive, summary.age_ms))
        if name in leaving and not best.leaving:
            best = msgspec.structs.replace(best, leaving=True)
        merged.append(best)
    return tuple(merged)


def merge_entries(
    own: Iterable[EntryAddress], peers: Iterable[PeerState], *, now: int
) -> tuple[EntryAddress, ...]:
    """Return the entries whose addresses callers may be given, sorted by address.

    The entries of an unreachable peer are left out at once, and included again after
    its first reply: a missing address costs callers nothing.
    """
    entries = {entry.address: entry for entry in own}
    for peer in peers:
        if not is_unreachable(peer, now=now):
            entries |= {entry.address: entry for entry in peer.entries}
    return tuple(entries[address] for address in sorted(entries))


def merge_usage(peers: Iterable[PeerState], *, now: int) -> tuple[CallerUsage, ...]:
    """Return each caller's total usage through all other instances."""
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
    """Build the next view if anything except ages changed, or ages must be refreshed.

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
    """Add the time since the peer's last reply to the age of a summary.

    An unreachable peer can confirm neither that a server is alive nor that it is dead,
    so its last summary is kept, with growing age, for :data:`SUMMARY_RETENTION_MS`.
    """
    reply_age_ms = now - (peer.replied_at or 0)
    age = summary.age_ms + reply_age_ms
    alive = summary.alive and reply_age_ms <= SUMMARY_RETENTION_MS
    return msgspec.structs.replace(summary, age_ms=age, alive=alive)


def _strip_ages(view: View) -> View:
    servers = tuple(
        msgspec.structs.replace(summary, age_ms=0) for summary in view.servers
    )
    return msgspec.structs.replace(view, servers=servers)
