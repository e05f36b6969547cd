"""Choice of the server that gets a request.

Each entry decides alone, from reports that are old and that other entries read
too. Three guards follow from this: the report is corrected by what this entry has
begun since (:mod:`.load`), the better of two servers drawn at random is taken, and
a server that fails is left out for a short while.
"""

import random
from collections.abc import Sequence

import msgspec

from arbutuspulley.data import State
from arbutuspulley.routing.load import (
    ServerLoad,
    add_change,
    estimate_requests,
    estimate_tokens,
    observe_report,
)
from arbutuspulley.rpc.messages import ServerSummary

DRAWN = 2
"""Servers drawn at random, of which the better one is taken."""

SUSPECT_MS = 1_000
"""How long a server is left out after its first failure; doubles with each more."""

SUSPECT_MOST_MS = 30_000
"""Longest time that a failing server is left out before it is probed again."""

PROBES = 1
"""Own requests in flight at once at a server that failed and has not yet answered."""

LEAVING_MS = 15_000
"""How long a server's own word that it is leaving outweighs lagging reports."""

OTHER_SITE_PENALTY = 0.02
"""Added to the score of a server in another data centre; it only breaks ties."""

DEFAULT_TOKENS_PER_S = 500.0
"""Assumed rate of a server that has not yet been seen at work."""

RATE_DECAY = 0.98
"""What is kept of the best seen rate at each new report."""


class ServerHealth(State):
    """What this entry has seen of one server.

    :param failures: failures in a row.
    :param suspect_until: when it may be probed again.
    :param left_at: when it said that it is leaving, or ``None``.
    :param tokens_per_s: best rate seen lately; an idle server reports none.
    """

    load: ServerLoad = msgspec.field(default_factory=ServerLoad)
    failures: int = 0
    suspect_until: int = 0
    left_at: int | None = None
    tokens_per_s: float = 0.0
    boot_id: str = ""


class RoutingState(State):
    """What one entry remembers for its choices.

    :param site: the entry's own data centre.
    """

    site: str = ""
    servers: dict[str, ServerHealth] = {}


def note_reports(
    state: RoutingState, *, servers: Sequence[ServerSummary], now: int
) -> None:
    """Take up the reports of a new view and forget servers that are gone."""
    names = {summary.server for summary in servers}
    for summary in servers:
        _observe(state, summary, now)
    gone = [
        name
        for name, health in state.servers.items()
        if name not in names and not health.load.requests
    ]
    for name in gone:
        del state.servers[name]


def choose_server(
    state: RoutingState,
    *,
    servers: Sequence[ServerSummary],
    item: str,
    cost: int,
    now: int,
    chance: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> str | None:
    """Return the server that should get a request.

    :param servers: all servers of the latest view.
    :param item: key of the item that must be loaded there.
    :param cost: estimated token cost of the request.
    :param avoid: servers that must not get it, whatever the others' state.
    :param chance: source of the random draw.
    :return: the server's name, or ``None`` if none may take it.
    """
    candidates = [
        summary
        for summary in servers
        if item in summary.items and _may_take(state, summary, avoid, now)
    ]
    if not candidates:
        return None
    sound = [summary for summary in candidates if _is_sound(state, summary, now)]
    if not sound:
        # Every holder has failed lately. Leaving all of them out would make a
        # model unreachable over a passing fault, so the one whose time is up
        # first is tried.
        return min(candidates, key=lambda one: _find(state, one).suspect_until).server
    drawn = chance.sample(sound, DRAWN) if len(sound) > DRAWN else sound
    return min(
        drawn, key=lambda one: (_score(state, one, cost=cost), one.server)
    ).server


def begin_attempt(state: RoutingState, server: str, cost: int, *, now: int) -> None:
    """Account for an attempt that is sent to a server."""
    health = state.servers.setdefault(server, ServerHealth())
    add_change(health.load, requests=1, tokens=cost, now=now)


def end_attempt(
    state: RoutingState, server: str, cost: int, *, now: int, succeeded: bool = True
) -> None:
    """Account for an attempt that is over.

    :param cost: the same estimate that the attempt began with.
    :param succeeded: whether the server answered; clears its failures.
    """
    health = state.servers.setdefault(server, ServerHealth())
    add_change(health.load, requests=-1, tokens=-cost, now=now)
    if succeeded:
        note_success(state, server)


def note_success(state: RoutingState, server: str) -> None:
    """Clear a server's failures, for example at its first token."""
    health = state.servers.setdefault(server, ServerHealth())
    health.failures = 0
    health.suspect_until = 0


def note_failure(state: RoutingState, server: str, now: int) -> None:
    """Leave a server out for a short while, longer with each failure in a row."""
    health = state.servers.setdefault(server, ServerHealth())
    health.failures += 1
    pause = min(SUSPECT_MS << min(health.failures - 1, 10), SUSPECT_MOST_MS)
    health.suspect_until = now + pause


def note_leaving(state: RoutingState, server: str, now: int) -> None:
    """Record that the server itself refused a request because it is leaving."""
    state.servers.setdefault(server, ServerHealth()).left_at = now


def _find(state: RoutingState, summary: ServerSummary) -> ServerHealth:
    return state.servers.setdefault(summary.server, ServerHealth())


def _observe(state: RoutingState, summary: ServerSummary, now: int) -> None:
    health = _find(state, summary)
    if summary is health.load.report:
        return
    observe_report(health.load, report=summary, now=now)
    health.tokens_per_s = max(health.tokens_per_s * RATE_DECAY, summary.tokens_per_s)
    if summary.boot_id != health.boot_id:
        health.boot_id = summary.boot_id
        health.left_at = None
        health.suspect_until = min(health.suspect_until, now)


def _may_take(
    state: RoutingState, summary: ServerSummary, avoid: frozenset[str], now: int
) -> bool:
    if summary.server in avoid or summary.leaving or not summary.alive:
        return False
    _observe(state, summary, now)
    left_at = _find(state, summary).left_at
    # The instance list and the reports lag: they still call a server live for
    # seconds after it began to leave. Its own refusal is newer.
    return left_at is None or now - left_at >= LEAVING_MS


def _is_sound(state: RoutingState, summary: ServerSummary, now: int) -> bool:
    health = _find(state, summary)
    if health.failures == 0:
        return True
    # A server that fails fast looks idle and would draw ever more requests. After
    # the pause a single probe decides, so that it costs one request and no more.
    return now >= health.suspect_until and health.load.requests < PROBES


def _score(state: RoutingState, summary: ServerSummary, *, cost: int) -> float:
    """Return how busy the server would be with the request; lower is better."""
    health = _find(state, summary)
    filled = (estimate_requests(health.load) + 1) / summary.slots
    rate = health.tokens_per_s or DEFAULT_TOKENS_PER_S
    backlog_s = (estimate_tokens(health.load) + cost) / rate
    penalty = 0.0 if summary.site == state.site else OTHER_SITE_PENALTY
    return filled + backlog_s + penalty
