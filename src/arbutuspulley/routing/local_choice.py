"""Which server gets a request, by what this instance alone has seen.

Used for plain services, and for model servers while no coordinator answers. A
server's rank is the time that one more request would probably take there: own
requests in flight, its usual duration, and how many of its requests failed. Health
answers play no part, since a failing server may well give good ones.
"""

from collections.abc import Iterable

import msgspec

from arbutuspulley.clock import compute_backoff_ms
from arbutuspulley.data import State
from arbutuspulley.membership.limit_shares import get_instance_share
from arbutuspulley.ports.fleet import ModelNeed, ServerEntry

SUSPECT_MS = 500
"""How long a server that could not be connected to gets no work, in ms; doubled at
each further failure."""

LONGEST_SUSPECT_MS = 4_000
"""Most of that, in ms: crashed servers are back after 4 to 6 s."""

FULL_MS = 100
"""How long a server that refused a request as not run gets no more, in ms; doubled at
each further refusal up to the longest. A full server has worked off some of what waits
there by then. It refuses at once, and by its few requests in flight it would seem the
best of all: it would get the next one, too, while others have room."""

LONGEST_FULL_MS = 800
"""Most of that, in ms: a server that has room again is asked within a second."""

MEMORY = 0.15
"""Weight of the newest outcome in a server's moving means: about the last seven."""

FAILURE_WEIGHT = 20.0
"""How many times longer a request seems at a server that fails all of them."""

FIRST_DURATION_MS = 30.0
"""Assumed duration at a server that has answered nothing yet, in ms."""


IN_TIME_PART = 0.6
"""Part of its aim that an answer may take on average at a server before this instance
sends less there. Answers scatter by half of that and more, and a late one is worth half
or nothing: a server works at the same pace however many wait there."""

CUT = 0.8
"""By how much the requests that an instance has at such a server are cut at a time."""

DECREASE_INTERVAL_MS = 100
"""Least time between two cuts, in ms: what was sent before the last one has to come
back before it shows."""

QUEUED = 2.0
"""A server gets so many times its slots all the same, from all instances together. It
then works at its full pace, though instances do not know what others send there."""

UNLIMITED = 1 << 30
"""More requests than an instance ever has."""

CONNECTION_PART = 0.8
"""Part of a server's connections that is used: others are idle, or about to close. A
server resets what comes beyond, and a request that it resets may have run."""


class ServerStats(State):
    """What this instance has seen of one server.

    :param failures: connections that failed since it last answered.
    :param refusals: requests that it refused as not run since then.
    :param suspect_until: until when others are asked if there are any.
    :param most: requests that this instance may have there so that answers come in
        time, as it seems by now.
    :param cut_at: when that was last cut.
    :param limited_until: until when the rate limit that it names keeps it from more.
    """

    in_flight: int = 0
    duration_ms: float = FIRST_DURATION_MS
    failure_share: float = 0
    failures: int = 0
    refusals: int = 0
    backoff_until: int = 0
    concurrency_limit: float = UNLIMITED
    decreased_at: int = -DECREASE_INTERVAL_MS
    rate_limited_until: int = 0


class LocalServerStats(State):
    """Records of all servers by incarnation."""

    servers: dict[str, ServerStats] = msgspec.field(default_factory=dict)


def choose_server(
    records: LocalServerStats,
    entries: Iterable[ServerEntry],
    *,
    zone: str,
    need: ModelNeed | None,
    avoid: frozenset[str],
    max_in_flight: int,
    sharing_instances: float = 1,
    now: int,
) -> ServerEntry | None:
    """Return the best server, or ``None`` if none may be asked.

    :param need: the model that it must hold; ``None`` at plain services.
    :param avoid: incarnations that have refused or failed this request.
    :param max_in_flight: requests that this instance may have at one server.
    :param sharing_instances: instances that use plain servers, as far as is known.
    """
    usable = [
        entry
        for entry in entries
        if not entry.is_leaving
        and entry.incarnation not in avoid
        and get_stats(records, entry).rate_limited_until <= now
        and (
            _has_room(get_stats(records, entry), entry, sharing_instances)
            if need is None
            else any(one.model == need.model for one in entry.loaded_models)
        )
        and get_stats(records, entry).in_flight < max_in_flight
    ]
    sound = [one for one in usable if get_stats(records, one).backoff_until <= now]
    return min(
        sound or usable,
        key=lambda entry: _rank(get_stats(records, entry), entry, zone),
        default=None,
    )


def get_stats(records: LocalServerStats, entry: ServerEntry) -> ServerStats:
    """Return what is known of a server; a new record if nothing is."""
    record = records.servers.get(entry.incarnation)
    if record is None:
        record = records.servers[entry.incarnation] = ServerStats()
    return record


def get_max_in_flight(connections: int, *, instances: float) -> int:
    """Return how many requests one instance may have at one server.

    :param connections: that a server accepts from all instances; 0 if not known.
    """
    if not connections:
        return UNLIMITED
    return max(
        1, int(get_instance_share(CONNECTION_PART * connections, instances=instances))
    )


def record_sent(records: LocalServerStats, entry: ServerEntry) -> None:
    """A request was sent."""
    get_stats(records, entry).in_flight += 1


def record_done(
    records: LocalServerStats, entry: ServerEntry, *, took_ms: int | None, failed: bool
) -> None:
    """A request came back or was given up.

    :param took_ms: how long the answer took; ``None`` if that says nothing.
    """
    record = get_stats(records, entry)
    record.in_flight = max(0, record.in_flight - 1)
    if took_ms is not None:
        record.duration_ms += MEMORY * (took_ms - record.duration_ms)
    if failed or took_ms is not None:
        record.failure_share += MEMORY * (float(failed) - record.failure_share)
    if not failed and took_ms is not None:
        record.failures = record.refusals = 0


def adjust_concurrency_limit(
    records: LocalServerStats, entry: ServerEntry, *, latency_target_ms: int, now: int
) -> None:
    """Take in whether answers of a plain server come in time; after each answer.

    :param latency_target_ms: within which the answer was to come.
    """
    record = get_stats(records, entry)
    if record.duration_ms > IN_TIME_PART * latency_target_ms:
        if now - record.decreased_at >= DECREASE_INTERVAL_MS:
            # The answer that has just come counts as there.
            record.concurrency_limit = max(
                1.0, min(record.concurrency_limit, record.in_flight + 1) * CUT
            )
            record.decreased_at = now
    elif record.in_flight + 1 >= record.concurrency_limit:
        record.concurrency_limit += 1 / record.concurrency_limit


def record_unreachable(
    records: LocalServerStats, entry: ServerEntry, *, now: int
) -> None:
    """A server could not be connected to."""
    record = get_stats(records, entry)
    record.failures += 1
    record.backoff_until = now + compute_backoff_ms(
        SUSPECT_MS, max_ms=LONGEST_SUSPECT_MS, count=record.failures
    )


def record_refused(records: LocalServerStats, entry: ServerEntry, *, now: int) -> None:
    """A server refused a request as not run: it is full.

    What was on its way as it refused the first says nothing new.
    """
    record = get_stats(records, entry)
    if now < record.backoff_until:
        return
    record.refusals += 1
    record.backoff_until = now + compute_backoff_ms(
        FULL_MS, max_ms=LONGEST_FULL_MS, count=record.refusals
    )


def set_rate_limited(
    records: LocalServerStats, entry: ServerEntry, *, until: int
) -> None:
    """A server may get no more for a while by the rate limit that it names."""
    get_stats(records, entry).rate_limited_until = until


def clear_rate_limited(records: LocalServerStats, incarnation: str) -> None:
    """What a server's rate limit was is not what it is now."""
    record = records.servers.get(incarnation)
    if record is not None:
        record.rate_limited_until = 0


def evict_unlisted(records: LocalServerStats, entries: Iterable[ServerEntry]) -> None:
    """Drop the records of servers that are gone."""
    listed = {entry.incarnation for entry in entries}
    for incarnation in [one for one in records.servers if one not in listed]:
        del records.servers[incarnation]


def _has_room(
    record: ServerStats, entry: ServerEntry, sharing_instances: float
) -> bool:
    at_least = get_instance_share(QUEUED * entry.slots, instances=sharing_instances)
    return record.in_flight < max(1.0, at_least, record.concurrency_limit)


def _rank(record: ServerStats, entry: ServerEntry, zone: str) -> float:
    queue = 1 + record.in_flight
    expected = queue * max(1.0, record.duration_ms)
    expected *= 1 + FAILURE_WEIGHT * record.failure_share
    return expected + (entry.zone != zone)
