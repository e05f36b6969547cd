"""Chooses the server for a request.

Each entry decides independently, from stale reports that other entries also read.
Three measures follow from this: a report is corrected by the attempts that this entry
has begun and ended since (:mod:`.load`), the better of two random servers is chosen,
and a server that fails is not used during a short backoff.

Servers are compared by requests in flight over slots. Token cost only breaks ties:
including it in the comparison made more requests wait, because slots run out first
and because costs are estimates.
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
"""Servers sampled at random, of which the best one is chosen."""

BACKOFF_MS = 1_000
"""Backoff after the first failure of a server; it doubles with each further one."""

MAX_BACKOFF_MS = 30_000
"""Longest backoff of a failing server before it is probed again."""

LEAVING_TTL_MS = 15_000
"""How long a refusal of a server as leaving overrides reports that lag behind it."""

OTHER_SITE_PENALTY = 0.02
"""Added to the score of a server in another data centre; it only breaks ties."""


class ServerHealth(State):
    """Health of one server as observed by this entry.

    :param load: load of this entry on the server.
    :param failures: consecutive failures.
    :param failed_at: time of the last failure, in ms.
    :param backoff_until: time from which one request may probe the server, in ms.
    :param probing: whether that request is in flight.
    :param leaving_since: time of its refusal as leaving in ms, or ``None``.
    :param boot_id: incarnation of the engine that this health applies to.
    """

    load: ServerLoad = msgspec.field(default_factory=ServerLoad)
    failures: int = 0
    failed_at: int = 0
    backoff_until: int = 0
    probing: bool = False
    leaving_since: int | None = None
    boot_id: str = ""


class RoutingState(State):
    """Routing state of one entry.

    :param site: the entry's own data centre.
    :param servers: health of the servers by name.
    """

    site: str = ""
    servers: dict[str, ServerHealth] = {}


def apply_reports(
    state: RoutingState, *, servers: Sequence[ServerSummary], now: int
) -> None:
    """Apply the reports of a new view and evict unlisted servers.

    :param now: time of receipt of the view, in ms; the age of a report is relative to
        this.
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
    rng: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> str | None:
    """Return the server for a request.

    :param servers: all servers of the latest view.
    :param item: key of the item that must be loaded on the server.
    :param cost: estimated token cost of the request.
    :param avoid: servers that must not be chosen, even if there are no others.
    :param rng: random number generator.
    :return: name of the server, or ``None`` if none is eligible.
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
        # All holders are in backoff after failures. Excluding all of them would make
        # the model unreachable over a transient fault, so the one whose backoff ends
        # first is used.
        return min(
            candidates, key=lambda summary: _get_health(state, summary).backoff_until
        ).server
    # The least loaded server would be the same one for every entry until the next
    # report: all entries would use it at once and its queue would oscillate.
    sampled = (
        rng.sample(available, SAMPLE_SIZE)
        if len(available) > SAMPLE_SIZE
        else available
    )
    return min(sampled, key=lambda summary: _score(state, summary, cost=cost)).server


def begin_attempt(state: RoutingState, server: str, cost: int, *, now: int) -> None:
    """Account for an attempt that is sent to a server.

    :param cost: estimated token cost.
    """
    health = state.servers.setdefault(server, ServerHealth())
    add_change(health.load, requests=1, tokens=cost, now=now)
    if health.failures:
        # This attempt is the probe. The next one waits for its outcome or for another
        # backoff, so that a server that still fails costs one request per backoff.
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

    :param cost: the estimated token cost that the attempt began with.
    :param succeeded: whether the answer is complete.
    :param began_at: time at which the attempt began in ms, if known.
    """
    health = state.servers.setdefault(server, ServerHealth())
    add_change(health.load, requests=-1, tokens=-cost, now=now)
    if succeeded:
        record_success(state, server, began_at=began_at)


def record_success(
    state: RoutingState, server: str, *, began_at: int | None = None
) -> None:
    """Reset a server's failures, for example at an attempt's first token.

    :param began_at: time at which the attempt began in ms, if known. The success of a
        stream that began before the last failure does not show that the server accepts
        new requests again.
    """
    health = state.servers.setdefault(server, ServerHealth())
    if began_at is not None and began_at < health.failed_at:
        return
    health.failures = 0
    health.backoff_until = 0
    health.probing = False


def record_failure(state: RoutingState, server: str, now: int) -> None:
    """Start a backoff for a server, longer with each consecutive failure."""
    health = state.servers.setdefault(server, ServerHealth())
    if health.probing or now >= health.backoff_until:
        # Requests that fail together, as their server dies, count as one failure.
        health.failures += 1
    health.probing = False
    health.failed_at = now
    health.backoff_until = now + _compute_backoff(health.failures)


def record_leaving(state: RoutingState, server: str, now: int) -> None:
    """Record that a server refused a request because it is leaving."""
    state.servers.setdefault(server, ServerHealth()).leaving_since = now


def is_usable(state: RoutingState, server: str, *, now: int) -> bool:
    """Return whether a server is neither in backoff nor has refused as leaving.

    Admission must not count the free slots of an unusable server: one that fails each
    request at once always has free slots, and requests would be admitted for which no
    other server has a slot.
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
        # The server has restarted: observations of its previous incarnation no longer
        # apply, but the next request is still a probe.
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
    # The instance list and the reports lag: they show a server as alive for seconds
    # after it began to leave. Its own refusal is newer.
    return health.leaving_since is None or now - health.leaving_since >= LEAVING_TTL_MS


def _is_available(health: ServerHealth, now: int) -> bool:
    # A server that fails fast looks idle and would attract ever more requests. After
    # the backoff a single probe decides, see begin_attempt.
    return health.failures == 0 or now >= health.backoff_until


def _score(
    state: RoutingState, summary: ServerSummary, *, cost: int
) -> tuple[float, int, str]:
    """Return the server's utilisation with the request; lower is better."""
    load = _get_health(state, summary).load
    utilisation = (estimate_requests(load) + 1) / summary.slots
    penalty = 0.0 if summary.site == state.site else OTHER_SITE_PENALTY
    return utilisation + penalty, estimate_tokens(load) + cost, summary.server
