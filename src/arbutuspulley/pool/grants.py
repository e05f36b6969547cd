"""Which waiting requests start now, and on which server.

Prompts that reach one server together stall every stream there: an engine step that
includes a chunk of prefill takes far longer than one of decode only, and an event of a
stream spans several steps. So the prompts of one server are started one after another,
at a rate below the server's prefill speed.
"""

from collections import Counter

import msgspec

from arbutuspulley.admission.rate_limits import consume
from arbutuspulley.data import Value
from arbutuspulley.pool.contact import get_withheld_until, list_withheld_ends
from arbutuspulley.pool.copies import CopyIndex, get_copies, index_copies
from arbutuspulley.pool.demand import get_copy_token_rate
from arbutuspulley.pool.retry_times import RefusedRequest, spread_retry_times
from arbutuspulley.pool.returns import ReturnedCaller, forget_request
from arbutuspulley.pool.servability import estimate_min_load_wait
from arbutuspulley.pool.server_watch import observe_servers, record_unserved
from arbutuspulley.pool.start_order import charge_grant, order_waiting
from arbutuspulley.pool.state import (
    PoolState,
    Run,
    ServerState,
    WaitingRequest,
    complete_due_loads,
    get_prefill_speed,
    get_rate_limit_wait,
    has_model,
    is_usable,
    is_version_gone,
)
from arbutuspulley.pool.stream_gaps import find_start, record_prefill
from arbutuspulley.pool.waits import (
    estimate_cooldown,
    estimate_rate_limit_wait,
    estimate_retry_after,
    estimate_wait,
    list_copy_ready_times,
)
from arbutuspulley.ports.fleet import ModelNeed, SoftwareVersion

CACHE_FRACTION = 0.95
"""Fraction of the KV cache that is granted; beyond it requests preempt each other."""

LATE_HEAD_START_MS = 40
"""How far ahead of the prefill rate a late request may start, in ms, on a server
without waiting requests that can still meet their latency target. If late requests
start at once, they make others late, which costs most where a late answer is of little
use."""

RUN_COST_MS = 2.0
"""Cost of each request that runs on a server, in ms of waiting. It only breaks ties
between servers without prefill in progress."""

ZONE_COST_MS = 1.0
"""Cost of a server in another data centre, in ms of waiting: traffic between data
centres costs money, and answers take 0.5 to 0.9 ms longer."""

FAILURE_COST_MS = 2_000.0
"""Cost of a server that fails all its requests, in ms of waiting."""

LIMITED_COST_MS = 500.0
"""Cost of a server with a rate limit, in ms of waiting. The few requests that it takes
are reserved for models that no other server has."""

MIN_PREFILL_RETENTION_MS = 1_000
"""Minimum time for which prefills of a server are kept, in ms: callers of streams
notice gaps of some hundred ms."""


class _Usage(Value, frozen=True):
    """Totals over a server's runs, summed once for each planning cycle and server.

    :param tokens: tokens that they may occupy in the KV cache.
    :param gap_target_ms: lowest gap target of their streams; 0: none has a target.
    """

    tokens: int
    gap_target_ms: int


class _Queue(Value, frozen=True):
    """What waiting requests need alike: a model, and a software version if any."""

    model: str
    version: SoftwareVersion | None


class Grant(Value, frozen=True):
    """Decision that a waiting request is sent to a server now.

    :param origin: instance that the request came from.
    :param is_late: whether it can hardly meet its latency target any more; it then has
        lower priority at the server.
    :param waited_ms: how long it waited.
    :param runs: requests in flight at the server.
    :param returned: record of the request's earlier refusal; ``None``: it was not
        refused.
    :param is_preferred: whether it was granted before requests of higher ranks.
    """

    key: str
    origin: str
    incarnation: str
    address: str
    is_late: bool
    waited_ms: int
    runs: int
    returned: ReturnedCaller | None = None
    is_preferred: bool = False


class Refusal(Value, frozen=True):
    """Decision that a waiting request is refused; it has not run.

    :param origin: instance that the request came from.
    :param retry_after_ms: delay after which a retry may succeed.
    :param tokens_ahead: prompt tokens of requests for the same model that would have
        started earlier.
    :param copies: servers that have the model loaded, loading or planned.
    :param limited: servers that have the model, but whose rate limits allow no request.
    :param waited_ms: how long it waited.
    :param is_version_gone: whether no server of the software version that it needs is
        left.
    :param is_promised: whether it is expected to be served if it is sent again then.
    :param is_unservable: whether it was refused at once as its model has no copy, and
        none can be loaded in time.
    :param returned: record of its earlier refusal; ``None``: it was not refused.
    """

    key: str
    origin: str
    retry_after_ms: int
    model: str
    tokens_ahead: int
    copies: int
    limited: int
    waited_ms: int
    is_version_gone: bool = False
    is_promised: bool = False
    is_unservable: bool = False
    returned: ReturnedCaller | None = None


def plan_grants(pool: PoolState, *, now: int) -> list[Grant | Refusal]:
    """Decide which waiting requests start or are refused, in order of urgency.

    The order is that of :func:`~arbutuspulley.pool.start_order.order_waiting`.

    :param now: in ms.
    """
    for server in pool.servers.values():
        complete_due_loads(server, now=now)
    decisions: list[Grant | Refusal] = []
    tokens_ahead: Counter[_Queue] = Counter()
    requests_ahead: Counter[str] = Counter()
    index = index_copies(pool, now=now)
    ready_times = {
        queue: list_copy_ready_times(pool, queue.model, index, queue.version)
        for queue in {_get_queue(request) for request in pool.waiting.values()}
    }
    load_waits = _estimate_load_waits(pool, ready_times, now=now)
    refused: dict[int, RefusedRequest] = {}
    reserved_ms: dict[str, float] = {}
    usages: dict[str, _Usage] = {}
    pool.next_start_at = None
    for waiting in order_waiting(pool, now=now):
        queue = _get_queue(waiting)
        model = queue.model
        times = ready_times[queue]
        limited_ms = 0.0
        if not times:
            limited_ms = estimate_rate_limit_wait(index, model, requests_ahead[model])
        cooldown_ms = estimate_cooldown(index, model, waiting.origin)
        min_wait_ms = max(
            _get_min_wait(pool, model, tokens_ahead[queue], times)
            or limited_ms
            or load_waits.get(queue, 0.0),
            cooldown_ms,
        )
        is_gone = is_version_gone(pool, waiting.version)
        if is_gone or now + min_wait_ms >= waiting.give_up_at:
            del pool.waiting[waiting.key]
            is_unservable = queue in load_waits and now < waiting.give_up_at
            if is_unservable:
                record_unserved(
                    pool.server_watch,
                    waiting.fingerprint or waiting.key,
                    model=model,
                    until=waiting.give_up_at,
                )
            if not is_gone:
                refused[len(decisions)] = RefusedRequest(
                    waiting=waiting,
                    ready_times=times,
                    delay_ms=max(limited_ms, cooldown_ms),
                )
            decisions.append(
                Refusal(
                    key=waiting.key,
                    origin=waiting.origin,
                    retry_after_ms=estimate_retry_after(
                        pool,
                        model,
                        tokens_ahead[queue],
                        times,
                        limited_ms=limited_ms,
                        cooldown_ms=cooldown_ms,
                    ),
                    model=model,
                    tokens_ahead=tokens_ahead[queue],
                    copies=len(times),
                    limited=len(index.limited.get(model, ())),
                    waited_ms=now - waiting.arrived_at,
                    is_version_gone=is_gone,
                    is_unservable=is_unservable,
                    returned=waiting.returned,
                )
            )
            continue
        grant = _try_grant(pool, waiting, index, reserved_ms, usages)
        if grant is None:
            tokens_ahead[queue] += waiting.need.prompt_tokens
            requests_ahead[model] += 1
        else:
            del pool.waiting[waiting.key]
            forget_request(pool.returns, waiting.fingerprint)
            decisions.append(grant)
    if pool.shares_contended:
        for position, retry in spread_retry_times(pool, refused, index).items():
            decisions[position] = msgspec.structs.replace(
                decisions[position],
                retry_after_ms=retry.retry_after_ms,
                is_promised=retry.is_promised,
            )
    return decisions


def _get_queue(waiting: WaitingRequest) -> _Queue:
    return _Queue(model=waiting.need.model, version=waiting.version)


def find_next_wakeup(pool: PoolState, *, now: int) -> int | None:
    """Return when :func:`plan_grants` has to run again, in ms.

    :return: ``None`` if no request waits; the next event then triggers it.
    """
    if not pool.waiting:
        return None
    times = [] if pool.next_start_at is None else [pool.next_start_at]
    times += [
        server.loading_until for server in pool.servers.values() if server.loading
    ]
    for server in pool.servers.values():
        times.extend(server.adapters_due.values())
        limited_ms = get_rate_limit_wait(server, now=now)
        if limited_ms:
            times.append(now + limited_ms)
        times.extend(until for until in list_withheld_ends(server) if until > now)
    times += [
        until
        for server in pool.servers.values()
        for until in server.model_backoff_until.values()
        if until > now
    ]
    times.extend(
        request.late_at for request in pool.waiting.values() if request.late_at > now
    )
    times.extend(request.give_up_at for request in pool.waiting.values())
    return max(now + 1, int(min(times, default=now + 50)))


def _estimate_load_waits(
    pool: PoolState, ready_times: dict[_Queue, list[float]], *, now: int
) -> dict[_Queue, float]:
    """Return how long loads of the models without a copy take at least, in ms.

    :return: only queues whose model can't be loaded at once. The servers of a software
        version that a stream needs may be few, and are not considered.
    """
    if not pool.shares_contended:
        return {}
    observe_servers(pool.server_watch, pool.servers.keys(), now=now)
    waits = {
        queue: estimate_min_load_wait(pool, queue.model, now=now)
        for queue, times in ready_times.items()
        if not times and queue.version is None
    }
    return {queue: wait_ms for queue, wait_ms in waits.items() if wait_ms}


def _get_min_wait(
    pool: PoolState, model: str, tokens: float, ready_times: list[float]
) -> float:
    """Return a lower bound of a request's wait, in ms.

    A request is only refused if its wait is certainly too long. When planned copies
    become ready is an estimate; judged by it, callers would be refused who could still
    be served, if late. If no server has the model, the wait is unknown and counts as 0.

    :param tokens: prompt tokens of the requests ahead.
    :param ready_times: see :func:`list_copy_ready_times`.
    """
    if not ready_times:
        return 0.0
    return estimate_wait(pool, model, tokens, [0.0] * len(ready_times))


def _try_grant(
    pool: PoolState,
    waiting: WaitingRequest,
    index: CopyIndex,
    reserved_ms: dict[str, float],
    usages: dict[str, _Usage],
) -> Grant | None:
    """Grant the best server, if it may start a prompt now.

    :param reserved_ms: prefill time of the prompts that wait for a server, by its
        incarnation, in ms; only of requests that can still meet their latency target.
        This request is added if it has to wait.
    :param usages: cache of servers' usages by incarnation; filled on demand.
    """
    now = index.now
    best: ServerState | None = None
    best_cost = best_start = 0.0
    for server in get_copies(index, waiting.need.model, waiting.version):
        if not _can_start_at(server, waiting, now=now):
            continue
        usage = usages.get(server.incarnation)
        if usage is None:
            usage = usages[server.incarnation] = _sum_usage(server)
        if not _has_memory(pool, server, usage, waiting):
            continue
        start = _find_start(pool, server, usage, waiting, now=now)
        cost = start - now + reserved_ms.get(server.incarnation, 0.0)
        cost += _compute_cost(server, waiting)
        if best is None or cost < best_cost:
            best, best_cost, best_start = server, cost, start
    if best is None:
        return None
    is_late = now >= waiting.late_at
    is_reserved = best.incarnation in reserved_ms
    head_start_ms = LATE_HEAD_START_MS if is_late and not is_reserved else 0
    if is_reserved or best_start > now + head_start_ms:
        if not is_reserved:
            _record_next_start(pool, best_start - head_start_ms)
        if not is_late:
            ahead_ms = reserved_ms.get(best.incarnation, 0.0)
            reserved_ms[best.incarnation] = ahead_ms + _get_prefill_ms(
                pool, waiting.need
            )
        return None
    usage = usages.pop(best.incarnation)
    return _grant(pool, best, waiting, usage, now=now, is_late=is_late)


def _record_next_start(pool: PoolState, start: float) -> None:
    if pool.next_start_at is None or start < pool.next_start_at:
        pool.next_start_at = start


def _find_start(
    pool: PoolState,
    server: ServerState,
    usage: _Usage,
    waiting: WaitingRequest,
    *,
    now: int,
) -> float:
    """Return when a prompt may start on a server, in ms.

    Both the prefill rate and the gap targets of the server's streams limit that.
    """
    start = find_start(
        server.stream_gaps,
        prefill_ms=_get_prefill_ms(pool, waiting.need),
        gap_target_ms=usage.gap_target_ms,
        now=now,
    )
    return max(start, server.prefill_until)


def _get_prefill_ms(pool: PoolState, need: ModelNeed) -> float:
    return need.prompt_tokens / get_prefill_speed(pool, need.model)


def _sum_usage(server: ServerState) -> _Usage:
    runs = server.runs.values()
    return _Usage(
        tokens=sum(run.need.prompt_tokens + run.need.output_tokens for run in runs),
        gap_target_ms=min(
            (run.gap_target_ms for run in runs if run.gap_target_ms), default=0
        ),
    )


def _can_start_at(server: ServerState, waiting: WaitingRequest, *, now: int) -> bool:
    """Tell whether a server has a request's model and adapter and a free slot."""
    if not is_usable(server, now=now) or server.incarnation in waiting.avoid:
        return False
    if get_withheld_until(server, waiting.origin) > now:
        return False
    if not has_model(server, waiting.need, now=now):
        return False
    if len(server.runs) >= server.slots or get_rate_limit_wait(server, now=now):
        return False
    return server.unconfirmed_load != waiting.need.model or not any(
        run.need.model == server.unconfirmed_load for run in server.runs.values()
    )


def _has_memory(
    pool: PoolState, server: ServerState, usage: _Usage, waiting: WaitingRequest
) -> bool:
    needed = waiting.need.prompt_tokens + waiting.need.output_tokens
    max_tokens = pool.spec.cache_tokens * CACHE_FRACTION
    return not server.runs or usage.tokens + needed <= max_tokens


def _compute_cost(server: ServerState, waiting: WaitingRequest) -> float:
    """Return the cost of a server in addition to the wait for it, in ms of waiting."""
    cost = RUN_COST_MS * len(server.runs)
    cost += FAILURE_COST_MS * server.failure_share
    if server.zone != waiting.zone:
        cost += ZONE_COST_MS
    if server.limit is not None:
        cost += LIMITED_COST_MS
    return cost


def _grant(
    pool: PoolState,
    server: ServerState,
    waiting: WaitingRequest,
    usage: _Usage,
    *,
    now: int,
    is_late: bool,
) -> Grant:
    need = waiting.need
    runs = len(server.runs)
    if server.limit is not None:
        consume(server.limit)
    server.runs[waiting.key] = Run(
        origin=waiting.origin,
        need=need,
        granted_at=now,
        was_prefill_idle=server.prefill_until <= now,
        is_repeat=waiting.is_repeat,
        gap_target_ms=0 if is_late else waiting.gap_target_ms,
    )
    record_prefill(
        server.stream_gaps,
        _get_prefill_ms(pool, need),
        retention_ms=max(
            MIN_PREFILL_RETENTION_MS, usage.gap_target_ms, waiting.gap_target_ms
        ),
        now=now,
    )
    begin = max(float(now), server.prefill_until)
    server.prefill_until = begin + need.prompt_tokens * 1_000 / get_copy_token_rate(
        pool, need.model
    )
    if need.adapter:
        server.adapter_used_at[need.model, need.adapter] = now
    return Grant(
        key=waiting.key,
        origin=waiting.origin,
        incarnation=server.incarnation,
        address=server.address,
        is_late=is_late,
        waited_ms=now - waiting.arrived_at,
        runs=runs,
        returned=waiting.returned,
        is_preferred=charge_grant(pool, server, waiting, now=now),
    )
