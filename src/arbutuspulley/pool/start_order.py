"""The order in which waiting requests are granted servers.

Requests that can still meet their latency target come before late ones, which are worth
little to callers of live streams, and ranks keep their order. With fair shares, teams
share what their rank gets, and the lowest rank gets a small fraction beside higher
ones, see :mod:`arbutuspulley.pool.fair_shares`. Late requests get neither: they never
go before a request in time.
"""

from collections.abc import Iterable

from arbutuspulley.data import Value
from arbutuspulley.pool.demand import estimate_token_cost
from arbutuspulley.pool.fair_shares import (
    cap_credit,
    charge,
    evict_clocks,
    evict_credits,
    get_clock,
    get_weight,
    record_granted,
    refund,
    set_lowest_ranks,
)
from arbutuspulley.pool.state import (
    PoolState,
    Run,
    ServerState,
    WaitingRequest,
    is_usable,
)

MAX_LEAD = 4.0
"""Lead of a team's clock over another's within which due times decide, in requests of
mean cost. Without it, requests with time left go before urgent ones of a team that was
granted one request more: at a load of 0.8, a fraction of 0.02 of the lowest rank was
late just because of that. Unequal parts follow from it: one of three teams that all
wanted more got 34 of the 90 grants of a server."""


def order_waiting(pool: PoolState, *, now: int) -> list[WaitingRequest]:
    """Return the waiting requests in the order in which they may start.

    :param now: in ms.
    """
    ordered = sorted(
        pool.waiting.values(), key=lambda request: _get_start_order(request, now)
    )
    if not pool.shares_contended:
        return ordered
    in_time = [request for request in ordered if now < request.late_at]
    servers = _list_servers(pool, in_time, now=now)
    in_time = _order_by_shares(pool, in_time, servers, now=now)
    preferred = _prefer_lowest_rank(pool, in_time, servers)
    pool.shares.preferred = {request.key for request in preferred}
    return [
        *preferred,
        *(one for one in in_time if one.key not in pool.shares.preferred),
        *(request for request in ordered if now >= request.late_at),
    ]


def charge_grant(
    pool: PoolState, server: ServerState, waiting: WaitingRequest, *, now: int
) -> bool:
    """Charge a request's team for its grant, which must be in the server's runs.

    :param now: in ms.
    :return: whether the request was granted before requests of higher ranks.
    """
    if not pool.shares_contended:
        return False
    cost = estimate_token_cost(pool, waiting.need)
    run = server.runs[waiting.key]
    run.team, run.priority, run.charged = waiting.team, waiting.priority, cost
    charge(pool.shares, waiting.priority, waiting.team, cost=cost, now=now)
    if now >= waiting.late_at:
        return False
    record_granted(
        pool.shares, server.incarnation, waiting.priority, key=waiting.key, cost=cost
    )
    return waiting.key in pool.shares.preferred


def refund_grant(pool: PoolState, run: Run, *, now: int) -> None:
    """Return the charge of a grant whose request did not run.

    :param now: in ms.
    """
    if not run.charged:
        return
    refund(
        pool.shares,
        run.priority,
        run.team,
        cost=run.charged,
        charged_at=run.granted_at,
        now=now,
    )
    run.charged = 0.0


def evict_unused_shares(pool: PoolState, *, now: int) -> None:
    """Forget clocks that have decayed and credits of servers that are gone."""
    evict_clocks(pool.shares, now=now)
    evict_credits(pool.shares, pool.servers)


class _Servers(Value, frozen=True):
    """Usable servers that have a model loaded, and its waiting ranks.

    :param incarnations: of the servers.
    :param ranks: ranks of the requests in time that wait for the model.
    """

    incarnations: list[str]
    ranks: set[int]


def _get_start_order(waiting: WaitingRequest, now: int) -> tuple[bool, int, int, int]:
    """Return the sort key of a request; the lowest starts first.

    Requests that can still meet their latency target start in order of their latest
    start time, late ones in order of arrival. One that has come back as it was told
    counts from its first arrival.
    """
    is_late = now >= waiting.late_at
    credit_ms = waiting.returned.credit_ms if waiting.returned else 0
    due_at = 0 if is_late else waiting.late_at - credit_ms
    return is_late, waiting.priority, due_at, waiting.arrived_at - credit_ms


def _list_servers(
    pool: PoolState, requests: Iterable[WaitingRequest], *, now: int
) -> dict[str, _Servers]:
    """Return the servers of each model for which requests wait, by model."""
    found: dict[str, _Servers] = {}
    for request in requests:
        servers = found.setdefault(
            request.need.model, _Servers(incarnations=[], ranks=set())
        )
        servers.ranks.add(request.priority)
    for server in pool.servers.values():
        if is_usable(server, now=now):
            for model in found.keys() & server.models.keys():
                found[model].incarnations.append(server.incarnation)
    return found


def _order_by_shares(
    pool: PoolState,
    requests: list[WaitingRequest],
    servers: dict[str, _Servers],
    *,
    now: int,
) -> list[WaitingRequest]:
    """Order requests by rank, then by their teams' clocks.

    Each request counts from the clock that its team will have reached when the team's
    earlier requests have been granted.

    :param requests: in the order in which those of one team start.
    """
    shares = pool.shares
    reached: dict[tuple[int, str], float] = {}
    clocks: dict[str, float] = {}
    for request in requests:
        account = request.priority, request.team
        clock = reached.get(account)
        if clock is None:
            clock = get_clock(shares, *account, now=now)
        clocks[request.key] = clock
        # A request whose model is not loaded can't be granted now, and must not delay
        # the others of its team.
        if servers[request.need.model].incarnations:
            cost = estimate_token_cost(pool, request.need)
            clock += cost / get_weight(shares, request.team)
        reached[account] = clock
    lead = MAX_LEAD * pool.mean_tokens
    return sorted(requests, key=lambda one: (one.priority, clocks[one.key] // lead))


def _prefer_lowest_rank(
    pool: PoolState, requests: list[WaitingRequest], servers: dict[str, _Servers]
) -> list[WaitingRequest]:
    """Return the requests that go before those of higher ranks.

    A request may be granted any server that has its model. So it goes first only if its
    rank has enough credit at each of them for which higher ranks wait, and only one
    request does so at each server at a time.

    :param requests: requests in time, by rank and share.
    """
    ranks: dict[str, set[int]] = {}
    for found in servers.values():
        for incarnation in found.incarnations:
            ranks.setdefault(incarnation, set()).update(found.ranks)
    lowest = {name: max(waiting) for name, waiting in ranks.items() if len(waiting) > 1}
    set_lowest_ranks(pool.shares, lowest)
    preferred: list[WaitingRequest] = []
    # The first request of the lowest rank at a server decides for it; a later one that
    # costs less would otherwise delay it for ever.
    taken: set[str] = set()
    for request in requests:
        contended = [
            name for name in servers[request.need.model].incarnations if name in lowest
        ]
        if not contended or any(lowest[name] != request.priority for name in contended):
            continue
        is_first = taken.isdisjoint(contended)
        taken.update(contended)
        if not is_first:
            continue
        cost = estimate_token_cost(pool, request.need)
        if all(cap_credit(pool.shares, name, cost) for name in contended):
            preferred.append(request)
    return preferred
