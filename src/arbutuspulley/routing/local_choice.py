"""Chooses servers from this instance's own observations alone.

Used for plain services, and for model servers while no coordinator answers. Servers
are ranked by the expected duration of one more request: own requests in flight, mean
duration, and failure rate. Health checks are not used, since a failing server may well
pass them.
"""

from collections.abc import Iterable

import msgspec

from arbutuspulley.clock import compute_backoff_ms
from arbutuspulley.data import State
from arbutuspulley.membership.limit_shares import get_instance_share
from arbutuspulley.ports.fleet import ModelNeed, ServerEntry
from arbutuspulley.routing.local_shares import (
    TeamUsage,
    is_within_share,
    record_begun,
    record_denied,
    record_ended,
)

UNREACHABLE_BACKOFF_MS = 500
"""Backoff after a connection to a server fails, in ms; it doubles with each further
failure."""

MAX_UNREACHABLE_BACKOFF_MS = 4_000
"""Longest such backoff, in ms: crashed servers have restarted after 4 to 6 s."""

REFUSED_BACKOFF_MS = 100
"""Backoff after a server refuses a request as not run, in ms; it doubles with each
further refusal. By then a full server has processed some of its queue. It refuses at
once, and with its few requests in flight it would rank first: it would get the next
request, too, while other servers have free slots."""

MAX_REFUSED_BACKOFF_MS = 800
"""Longest such backoff, in ms: a server with free slots is used within a second."""

EWMA_WEIGHT = 0.15
"""Weight of the newest sample in a server's moving averages: about the last seven
count."""

FAILURE_WEIGHT = 20.0
"""Factor on the expected duration at a server that fails all requests, less one."""

DEFAULT_DURATION_MS = 30.0
"""Assumed mean duration at a server that has not answered yet, in ms."""

TARGET_FRACTION = 0.6
"""Mean duration at a server, as a fraction of the latency target, above which this
instance lowers its concurrency limit there. Durations vary by half of the mean and
more, and a late answer is worth half or nothing. Lowering the limit costs no
throughput: a server processes requests at the same rate however many are queued."""

DECREASE_FACTOR = 0.8
"""Factor by which the concurrency limit of such a server is lowered at a time."""

DECREASE_INTERVAL_MS = 100
"""Least time between two decreases, in ms: requests sent before the last decrease must
complete before it has an effect."""

MIN_LIMIT_PER_SLOT = 2.0
"""Lower bound of the concurrency limits of all instances together, in multiples of a
server's slots. It keeps the server at full throughput although instances do not know
each other's load on it."""

UNLIMITED = 1 << 30
"""Number of requests that an instance never reaches."""

CONNECTION_FRACTION = 0.8
"""Fraction of a server's connections that is used: others are idle or about to close. A
server resets connections beyond its limit, and a request on one that is reset may have
run."""


class ServerStats(State):
    """Statistics of this instance on one server.

    :param in_flight: own requests in flight.
    :param duration_ms: moving average of the answer duration.
    :param failure_share: moving average of the failure rate, from 0 to 1.
    :param failures: failed connections since its last answer.
    :param refusals: requests refused as not run since its last answer.
    :param backoff_until: time until which other servers are preferred, in ms.
    :param concurrency_limit: requests in flight of this instance with which answers are
        expected within the latency target.
    :param decreased_at: time of the last decrease of that limit, in ms.
    :param rate_limited_until: time until which its rate limit excludes the server, in
        ms.
    :param teams: own requests by team.
    """

    in_flight: int = 0
    duration_ms: float = DEFAULT_DURATION_MS
    failure_share: float = 0
    failures: int = 0
    refusals: int = 0
    backoff_until: int = 0
    concurrency_limit: float = UNLIMITED
    decreased_at: int = -DECREASE_INTERVAL_MS
    rate_limited_until: int = 0
    teams: TeamUsage = msgspec.field(default_factory=TeamUsage)


class LocalServerStats(State):
    """Statistics of all servers, by incarnation."""

    servers: dict[str, ServerStats] = msgspec.field(default_factory=dict)


def choose_server(
    stats: LocalServerStats,
    entries: Iterable[ServerEntry],
    *,
    zone: str,
    need: ModelNeed | None,
    avoid: frozenset[str],
    max_in_flight: int,
    share_divisor: float = 1,
    team: str | None = None,
    now: int,
) -> ServerEntry | None:
    """Return the best server, or ``None`` if none is eligible.

    :param zone: own data centre, which is preferred.
    :param need: the model that must be loaded; ``None`` for plain services.
    :param avoid: incarnations that have refused or failed this request.
    :param max_in_flight: requests that this instance may have in flight at one server.
    :param share_divisor: number by which an instance divides a shared limit.
    :param team: team that may use only its share of ``max_in_flight`` while others
        want theirs; ``None``: teams have no shares.
    """
    usable = [
        entry
        for entry in entries
        if not entry.is_leaving
        and entry.incarnation not in avoid
        and get_stats(stats, entry).rate_limited_until <= now
        and (
            _is_below_limit(get_stats(stats, entry), entry, share_divisor)
            if need is None
            else any(loaded.model == need.model for loaded in entry.loaded_models)
        )
        and get_stats(stats, entry).in_flight < max_in_flight
        and (
            team is None
            or is_within_share(
                get_stats(stats, entry).teams, team, limit=max_in_flight, now=now
            )
        )
    ]
    available = [
        entry for entry in usable if get_stats(stats, entry).backoff_until <= now
    ]
    return min(
        available or usable,
        key=lambda entry: _rank(get_stats(stats, entry), entry, zone),
        default=None,
    )


def get_stats(stats: LocalServerStats, entry: ServerEntry) -> ServerStats:
    """Return the statistics of a server; new ones if there are none."""
    server = stats.servers.get(entry.incarnation)
    if server is None:
        server = stats.servers[entry.incarnation] = ServerStats()
    return server


def get_max_in_flight(connections: int, *, share_divisor: float) -> int:
    """Return how many requests one instance may have in flight at one server.

    :param connections: connections that a server accepts from all instances; 0 if
        unknown.
    :param share_divisor: number by which an instance divides them.
    """
    if not connections:
        return UNLIMITED
    return max(
        1,
        int(
            get_instance_share(
                CONNECTION_FRACTION * connections, share_divisor=share_divisor
            )
        ),
    )


def record_team_denied(
    stats: LocalServerStats,
    entries: Iterable[ServerEntry],
    *,
    need: ModelNeed,
    team: str,
    max_in_flight: int,
    now: int,
) -> bool:
    """Record that a team's request found no server of its model free.

    :return: whether only the team's share excluded it from one.
    """
    is_over_share = False
    for entry in entries:
        server = get_stats(stats, entry)
        if all(loaded.model != need.model for loaded in entry.loaded_models):
            continue
        if server.in_flight >= max_in_flight:
            record_denied(server.teams, team, now=now)
        elif not is_within_share(server.teams, team, limit=max_in_flight, now=now):
            is_over_share = True
    return is_over_share


def record_sent(stats: LocalServerStats, entry: ServerEntry, *, team: str = "") -> None:
    """Record that a request is sent.

    :param team: team of its caller.
    """
    server = get_stats(stats, entry)
    server.in_flight += 1
    record_begun(server.teams, team)


def record_done(
    stats: LocalServerStats,
    entry: ServerEntry,
    *,
    took_ms: int | None,
    failed: bool,
    team: str = "",
) -> None:
    """Record that a request has ended.

    :param took_ms: duration of the answer; ``None`` if there is none.
    :param failed: whether the server failed the request.
    :param team: as it was given to :func:`record_sent`.
    """
    server = get_stats(stats, entry)
    record_ended(server.teams, team)
    server.in_flight = max(0, server.in_flight - 1)
    if took_ms is not None:
        server.duration_ms += EWMA_WEIGHT * (took_ms - server.duration_ms)
    if failed or took_ms is not None:
        server.failure_share += EWMA_WEIGHT * (float(failed) - server.failure_share)
    if not failed and took_ms is not None:
        server.failures = server.refusals = 0


def adjust_concurrency_limit(
    stats: LocalServerStats, entry: ServerEntry, *, latency_target_ms: int, now: int
) -> None:
    """Adjust a plain server's concurrency limit; called after each answer.

    :param latency_target_ms: latency target of the answered request.
    """
    server = get_stats(stats, entry)
    if server.duration_ms > TARGET_FRACTION * latency_target_ms:
        if now - server.decreased_at >= DECREASE_INTERVAL_MS:
            # The request that has just been answered counts as in flight.
            server.concurrency_limit = max(
                1.0,
                min(server.concurrency_limit, server.in_flight + 1) * DECREASE_FACTOR,
            )
            server.decreased_at = now
    elif server.in_flight + 1 >= server.concurrency_limit:
        server.concurrency_limit += 1 / server.concurrency_limit


def record_unreachable(
    stats: LocalServerStats, entry: ServerEntry, *, now: int
) -> None:
    """Start a backoff for a server to which the connection failed."""
    server = get_stats(stats, entry)
    server.failures += 1
    server.backoff_until = now + compute_backoff_ms(
        UNREACHABLE_BACKOFF_MS,
        max_ms=MAX_UNREACHABLE_BACKOFF_MS,
        count=server.failures,
    )


def record_refused(stats: LocalServerStats, entry: ServerEntry, *, now: int) -> None:
    """Start a backoff for a full server, which refused a request as not run.

    Refusals of requests that were in flight at the first refusal are ignored.
    """
    server = get_stats(stats, entry)
    if now < server.backoff_until:
        return
    server.refusals += 1
    server.backoff_until = now + compute_backoff_ms(
        REFUSED_BACKOFF_MS, max_ms=MAX_REFUSED_BACKOFF_MS, count=server.refusals
    )


def set_rate_limited(
    stats: LocalServerStats, entry: ServerEntry, *, until: int
) -> None:
    """Exclude a server until a time at which its rate limit may allow a request.

    :param until: time in ms.
    """
    get_stats(stats, entry).rate_limited_until = until


def clear_rate_limited(stats: LocalServerStats, incarnation: str) -> None:
    """Stop excluding a server whose rate limit has changed."""
    server = stats.servers.get(incarnation)
    if server is not None:
        server.rate_limited_until = 0


def evict_unlisted(stats: LocalServerStats, entries: Iterable[ServerEntry]) -> None:
    """Remove the statistics of servers that are not listed."""
    listed = {entry.incarnation for entry in entries}
    for incarnation in [name for name in stats.servers if name not in listed]:
        del stats.servers[incarnation]


def _is_below_limit(
    server: ServerStats, entry: ServerEntry, share_divisor: float
) -> bool:
    minimum = get_instance_share(
        MIN_LIMIT_PER_SLOT * entry.slots, share_divisor=share_divisor
    )
    return server.in_flight < max(1.0, minimum, server.concurrency_limit)


def _rank(server: ServerStats, entry: ServerEntry, zone: str) -> float:
    queue = 1 + server.in_flight
    expected = queue * max(1.0, server.duration_ms)
    expected *= 1 + FAILURE_WEIGHT * server.failure_share
    return expected + (entry.zone != zone)
