"""Who of the waiting requests starts now, and at which server.

Prompts that reach one server together stop every stream there: a step that also
reads a piece of a prompt takes far longer than one that only generates, and an
event of a stream spans several steps. So the prompts of one server are started
one after another, at a rate below the server's reading speed.
"""

from collections import Counter

from arbutuspulley.admission.rate_limits import consume
from arbutuspulley.data import Value
from arbutuspulley.pool.copies import CopyIndex, get_copies, index_copies
from arbutuspulley.pool.demand import get_copy_token_rate
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
)
from arbutuspulley.pool.stream_gaps import find_start, record_prefill
from arbutuspulley.pool.waits import (
    estimate_rate_limit_wait,
    estimate_retry_after,
    estimate_wait,
    list_copy_ready_times,
)
from arbutuspulley.ports.fleet import ModelNeed

CACHE_FRACTION = 0.95
"""Part of the KV cache that is granted; beyond it requests preempt each other."""

LATE_HEAD_START_MS = 40
"""How far ahead of the pace a request that is already late may start at a server that
nobody waits for who can still be in time, in ms. Started at once, late ones made
others late, too, which costs most where a late answer is next to useless."""

RUN_COST_MS = 2.0
"""What a running request adds to a server's rank, in ms of waiting. It only breaks
ties between servers that read nothing."""

ZONE_COST_MS = 1.0
"""What a server in another data centre adds to its rank, in ms of waiting: bytes
between data centres cost, and its answers travel 0.5 to 0.9 ms longer."""

FAILURE_COST_MS = 2_000.0
"""What a server that fails all its requests adds to its rank, in ms of waiting."""

LIMITED_COST_MS = 500.0
"""What a server that names a rate limit adds to its rank, in ms of waiting. The few
requests that it takes are left to models that no other server has."""

MIN_PREFILL_RETENTION_MS = 1_000
"""How long it is kept what a server has read, in ms: callers of streams notice
pauses of some hundred ms."""


class _Usage(Value, frozen=True):
    """What a server's runs take, summed once a pass and server.

    :param tokens: of the KV cache.
    :param pause_ms: the shortest pause that a stream has to keep; 0: none has.
    """

    tokens: int
    gap_target_ms: int


class Grant(Value, frozen=True):
    """A waiting request may be sent to a server now.

    :param is_late: whether it was past its aim; it then gives way at the server.
    :param waited_ms: how long it waited.
    :param runs: requests that ran at the server.
    """

    key: str
    origin: str
    incarnation: str
    address: str
    is_late: bool
    waited_ms: int
    runs: int


class Refusal(Value, frozen=True):
    """A waiting request is given up; it has not run.

    :param retry_after_ms: when coming back may help.
    :param tokens_ahead: prompts for the same model that would have started before.
    :param copies: servers that had the model or were to have it soon.
    :param limited: servers that had it, but were kept from it by their rate limits.
    :param waited_ms: how long it waited.
    """

    key: str
    origin: str
    retry_after_ms: int
    model: str
    tokens_ahead: int
    copies: int
    limited: int
    waited_ms: int


def plan_grants(pool: PoolState, *, now: int) -> list[Grant | Refusal]:
    """Decide who starts, in order of urgency; those who can still be in time first."""
    for server in pool.servers.values():
        complete_due_loads(server, now=now)
    decisions: list[Grant | Refusal] = []
    tokens_ahead: Counter[str] = Counter()
    requests_ahead: Counter[str] = Counter()
    index = index_copies(pool, now=now)
    ready_times = {
        model: list_copy_ready_times(pool, model, index)
        for model in {one.need.model for one in pool.waiting.values()}
    }
    reserved_ms: dict[str, float] = {}
    usages: dict[str, _Usage] = {}
    pool.next_start_at = None
    for waiting in sorted(
        pool.waiting.values(), key=lambda one: _get_start_order(one, now)
    ):
        model = waiting.need.model
        times = ready_times[model]
        limited_ms = 0.0
        if not times:
            limited_ms = estimate_rate_limit_wait(index, model, requests_ahead[model])
        min_wait_ms = (
            _get_min_wait(pool, model, tokens_ahead[model], times) or limited_ms
        )
        if now + min_wait_ms >= waiting.give_up_at:
            del pool.waiting[waiting.key]
            decisions.append(
                Refusal(
                    key=waiting.key,
                    origin=waiting.origin,
                    retry_after_ms=estimate_retry_after(
                        pool, model, tokens_ahead[model], times, limited_ms=limited_ms
                    ),
                    model=model,
                    tokens_ahead=tokens_ahead[model],
                    copies=len(times),
                    limited=len(index.limited.get(model, ())),
                    waited_ms=now - waiting.arrived_at,
                )
            )
            continue
        grant = _try_grant(pool, waiting, index, reserved_ms, usages)
        if grant is None:
            tokens_ahead[model] += waiting.need.prompt_tokens
            requests_ahead[model] += 1
        else:
            del pool.waiting[waiting.key]
            decisions.append(grant)
    return decisions


def find_next_wakeup(pool: PoolState, *, now: int) -> int | None:
    """Return when :func:`plan_grants` should look again, in ms; ``None``: on events."""
    if not pool.waiting:
        return None
    times = [] if pool.next_start_at is None else [pool.next_start_at]
    times += [one.loading_until for one in pool.servers.values() if one.loading]
    for server in pool.servers.values():
        times.extend(server.adapters_due.values())
        limited_ms = get_rate_limit_wait(server, now=now)
        if limited_ms:
            times.append(now + limited_ms)
    times += [
        t
        for one in pool.servers.values()
        for t in one.model_backoff_until.values()
        if t > now
    ]
    times.extend(one.late_at for one in pool.waiting.values() if one.late_at > now)
    times.extend(one.give_up_at for one in pool.waiting.values())
    return max(now + 1, int(min(times, default=now + 50)))


def _get_min_wait(
    pool: PoolState, model: str, tokens: float, ready_times: list[float]
) -> float:
    """Return the least time that a request must wait, in ms.

    Only a wait that is certainly too long is a reason to refuse: when what is planned
    will be there is a guess, and by that guess callers were refused who would have
    been served late. Where no server has the model, the wait is not known and counts
    as nothing.
    """
    if not ready_times:
        return 0.0
    return estimate_wait(pool, model, tokens, [0.0] * len(ready_times))


def _get_start_order(waiting: WaitingRequest, now: int) -> tuple[bool, int, int, int]:
    """Return the key by which requests start: the lowest first.

    Of those that can still be in time, whoever must start first; of late ones, whoever
    came first.
    """
    is_late = now >= waiting.late_at
    due_at = 0 if is_late else waiting.late_at
    return is_late, waiting.priority, due_at, waiting.arrived_at


def _try_grant(
    pool: PoolState,
    waiting: WaitingRequest,
    index: CopyIndex,
    reserved_ms: dict[str, float],
    usages: dict[str, _Usage],
) -> Grant | None:
    """Grant the best server, if it may start a prompt now.

    :param claimed: servers that a request waits for that can still be in time, and how
        long the prompts ahead take to read there, in ms; added to if this one does.
    :param loads: what servers' runs take, as far as it was asked for; added to.
    """
    now = index.now
    best: ServerState | None = None
    best_cost = best_start = 0.0
    for server in get_copies(index, waiting.need.model):
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
    """Return when a prompt may start at a server, by pace and by streams' pauses."""
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
    """Tell whether a server has what a request needs, and a slot."""
    if not is_usable(server, now=now) or server.incarnation in waiting.avoid:
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
    """Return what speaks against a server beside the wait for it, in ms of waiting."""
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
    )
