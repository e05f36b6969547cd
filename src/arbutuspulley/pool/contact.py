"""Which instances can connect to a model server, as they report it.

An instance that can't connect to a server may itself be disconnected from the network.
Its report withholds the server from its own requests only. The server counts as down
once several instances report it and none has heard from it since.
"""

from arbutuspulley.clock import compute_backoff_ms
from arbutuspulley.pool.state import PoolState, ServerState, UnreachableReport

INITIAL_BACKOFF_MS = 1_000
"""Backoff of a server that could not be reached, in ms; doubled at each further
failure."""

MAX_BACKOFF_MS = 4_000
"""Maximum backoff, in ms: crashed servers have restarted after 4 to 6 s."""

MIN_WITNESSES = 2
"""Number of instances that have to report a server before it counts as down, unless
fewer instances reach servers at all."""

WITNESS_MS = 4_000
"""Maximum age of a report that counts, in ms: as long as the longest backoff."""


def record_unreachable(
    pool: PoolState, key: str, incarnation: str, *, origin: str, now: int
) -> None:
    """Record that an instance could not connect to a server.

    :param origin: the instance.
    """
    server = pool.servers.get(incarnation)
    if server is None:
        return
    server.runs.pop(key, None)
    report = server.unreachable_from.get(origin)
    if report is None or now - report.since > WITNESS_MS:
        report = server.unreachable_from[origin] = UnreachableReport(since=now)
    report.failures += 1
    report.withheld_until = now + _get_backoff(report.failures)
    if not _is_down(pool, server, now=now):
        return
    server.failures += 1
    server.backoff_until = now + _get_backoff(server.failures)
    server.accepted_orders = None


def record_heard(pool: PoolState, incarnation: str, *, origin: str, now: int) -> None:
    """Record that a server has answered an instance; it is not down.

    :param origin: the instance.
    """
    server = pool.servers.get(incarnation)
    if server is None:
        return
    server.unreachable_from.pop(origin, None)
    server.heard_at = now
    server.failures = 0
    server.backoff_until = 0


def apply_reaching(pool: PoolState, reaching: frozenset[str], *, now: int) -> None:
    """Apply which instances reach servers, and discard the reports of all others.

    :param reaching: names of the linked instances that reach servers.
    """
    if reaching == pool.reaching:
        return
    pool.reaching = reaching
    for server in pool.servers.values():
        for origin in server.unreachable_from.keys() - reaching:
            del server.unreachable_from[origin]
        if now < server.backoff_until and not _is_down(pool, server, now=now):
            server.failures = 0
            server.backoff_until = 0


def get_withheld_until(server: ServerState, origin: str) -> int:
    """Return until when a server is not granted to an instance, in ms."""
    cooldown_end = server.cooldowns.get(origin, 0)
    report = server.unreachable_from.get(origin)
    return cooldown_end if report is None else max(cooldown_end, report.withheld_until)


def list_withheld_ends(server: ServerState) -> list[int]:
    """Return until when a server is not granted to single instances, in ms."""
    reports = server.unreachable_from.values()
    return [*server.cooldowns.values(), *(report.withheld_until for report in reports)]


def _is_down(pool: PoolState, server: ServerState, *, now: int) -> bool:
    witnesses = [
        origin
        for origin, report in server.unreachable_from.items()
        if report.since > server.heard_at and now - report.since <= WITNESS_MS
    ]
    if pool.reaching:
        witnesses = [origin for origin in witnesses if origin in pool.reaching]
    return len(witnesses) >= max(1, min(MIN_WITNESSES, len(pool.reaching)))


def _get_backoff(failures: int) -> int:
    return compute_backoff_ms(INITIAL_BACKOFF_MS, max_ms=MAX_BACKOFF_MS, count=failures)
