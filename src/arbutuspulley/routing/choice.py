"""Choice of the server that gets a request.

Each entry decides alone, from reports that are old and that other entries read
too. Three guards follow from this: a report is corrected by what this entry has
begun and ended since (:mod:`.load`), the better of two servers drawn at random is
taken, and a server that fails is left out for a short while.

Servers are compared by requests in flight over slots. Token cost breaks ties only:
adding it to the comparison made more requests wait, because it is the slots that
run out first and because costs are guesses.
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

SAMPLE_SIZE = 2
"""Servers drawn at random, of which the better one is taken."""

BACKOFF_MS = 1_000
"""How long a server is left out after its first failure; doubles with each more."""

MAX_BACKOFF_MS = 30_000
"""Longest time that a failing server is left out before it is probed again."""

LEAVING_TTL_MS = 15_000
"""How long a server's own word that it is leaving outweighs lagging reports."""

OTHER_SITE_PENALTY = 0.02
"""Added to the score of a server in another data centre; it only breaks ties."""


class ServerHealth(State):
    """What this entry has seen of one server.

    :param failures: failures in a row; above 0 it is a suspect.
    :param failed_at: when the last one was seen.
    :param suspect_until: when one request may probe it.
    :param probing: whether that request is under way.
    :param left_at: when it said that it is leaving, or ``None``.
    :param boot_id: the engine's start that these belong to.
    """

    load: ServerLoad = msgspec.field(default_factory=ServerLoad)
    failures: int = 0
    failed_at: int = 0
    backoff_until: int = 0
    probing: bool = False
    leaving_since: int | None = None
    boot_id: str = ""


class RoutingState(State):
    """What one entry remembers for its choices.

    :param site: the entry's own data centre.
    :param servers: by name.
    """

    site: str = ""
    servers: dict[str, ServerHealth] = {}


def apply_reports(
    state: RoutingState, *, servers: Sequence[ServerSummary], now: int
) -> None:
    """Take up the reports of a new view and forget servers that are gone.

    :param now: when the view was received; ages of reports count from here.
    """
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
        if item in summary.items and _is_eligible(state, summary, avoid, now)
    ]
    if not candidates:
        return None
    available = [
        summary
        for summary in candidates
        if _is_available(_get_health(state, summary), now)
    ]
    if not available:
        # Every holder has failed lately. Leaving all of them out would make a
        # model unreachable over a passing fault, so the one whose time is up
        # first is tried.
        return min(
            candidates, key=lambda summary: _get_health(state, summary).backoff_until
        ).server
    # The least loaded of all by a report would be the same server for every entry
    # until the next report: all would send there at once and its queue would swing.
    sampled = (
        chance.sample(available, SAMPLE_SIZE)
        if len(available) > SAMPLE_SIZE
        else available
    )
    return min(sampled, key=lambda summary: _score(state, summary, cost=cost)).server


def begin_attempt(state: RoutingState, server: str, cost: int, *, now: int) -> None:
    """Account for an attempt that is sent to a server."""
    health = state.servers.setdefault(server, ServerHealth())
    add_change(health.load, requests=1, tokens=cost, now=now)
    if health.failures:
        # This attempt is the probe; the next one waits for its outcome or for
        # another pause, so that a server that still fails costs one request each.
        health.backoff_until = now + _compute_backoff(health.failures)
        health.probing = True


def end_attempt(
    state: RoutingState,
    server: str,
    cost: int,
    *,
    now: int,
    succeeded: bool = False,
    began_at: int | None = None,
) -> None:
    """Account for an attempt that is over, however it ended.

    :param cost: the same estimate that the attempt began with.
    :param succeeded: whether the server answered it whole.
    :param began_at: when the attempt began, if known.
    """
    health = state.servers.setdefault(server, ServerHealth())
    add_change(health.load, requests=-1, tokens=-cost, now=now)
    if succeeded:
        record_success(state, server, began_at=began_at)


def record_success(
    state: RoutingState, server: str, *, began_at: int | None = None
) -> None:
    """Clear a server's failures, for example at an attempt's first token.

    :param began_at: when the attempt began, if known. A stream that is older than
        the failure says nothing of whether new requests are taken again.
    """
    health = state.servers.setdefault(server, ServerHealth())
    if began_at is not None and began_at < health.failed_at:
        return
    health.failures = 0
    health.backoff_until = 0
    health.probing = False


def record_failure(state: RoutingState, server: str, now: int) -> None:
    """Leave a server out for a short while, longer with each failure in a row."""
    health = state.servers.setdefault(server, ServerHealth())
    if health.probing or now >= health.backoff_until:
        # Requests that fail together, as their server dies, are one failure.
        health.failures += 1
    health.probing = False
    health.failed_at = now
    health.backoff_until = now + _compute_backoff(health.failures)


def record_leaving(state: RoutingState, server: str, now: int) -> None:
    """Record that the server itself refused a request because it is leaving."""
    state.servers.setdefault(server, ServerHealth()).leaving_since = now


def is_usable(state: RoutingState, server: str, *, now: int) -> bool:
    """Return whether a server is neither a suspect nor leaving by its own word.

    Admission must not count the free slots of one that is not: a server that fails
    each request at once always has some, and would have requests admitted that no
    other server has room for.
    """
    health = state.servers.get(server)
    return health is None or (_is_available(health, now) and _is_staying(health, now))


def _compute_backoff(failures: int) -> int:
    return min(BACKOFF_MS << min(max(failures, 1) - 1, 10), MAX_BACKOFF_MS)


def _get_health(state: RoutingState, summary: ServerSummary) -> ServerHealth:
    return state.servers.setdefault(summary.server, ServerHealth())


def _observe(state: RoutingState, summary: ServerSummary, now: int) -> None:
    health = _get_health(state, summary)
    if summary is health.load.report:
        return
    observe_report(health.load, report=summary, now=now)
    if summary.boot_id != health.boot_id:
        # It has restarted: what was seen of its earlier start is over, but the
        # next request is still a probe.
        health.boot_id = summary.boot_id
        health.leaving_since = None
        health.backoff_until = min(health.backoff_until, now)


def _is_eligible(
    state: RoutingState, summary: ServerSummary, avoid: frozenset[str], now: int
) -> bool:
    if summary.server in avoid or summary.leaving or not summary.alive:
        return False
    _observe(state, summary, now)
    return _is_staying(_get_health(state, summary), now)


def _is_staying(health: ServerHealth, now: int) -> bool:
    # The instance list and the reports lag: they still call a server live for
    # seconds after it began to leave. Its own refusal is newer.
    return health.leaving_since is None or now - health.leaving_since >= LEAVING_TTL_MS


def _is_available(health: ServerHealth, now: int) -> bool:
    # A server that fails fast looks idle and would draw ever more requests. After
    # the pause a single probe decides, see begin_attempt.
    return health.failures == 0 or now >= health.backoff_until


def _score(
    state: RoutingState, summary: ServerSummary, *, cost: int
) -> tuple[float, int, str]:
    """Return how busy the server would be with the request; lower is better."""
    load = _get_health(state, summary).load
    utilisation = (estimate_requests(load) + 1) / summary.slots
    penalty = 0.0 if summary.site == state.site else OTHER_SITE_PENALTY
    return utilisation + penalty, estimate_tokens(load) + cost, summary.server
