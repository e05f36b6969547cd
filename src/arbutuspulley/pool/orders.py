"""Planning of load and unload orders for the model servers.

Each order names the number of orders that the server has accepted so far, and the
server carries it out only if that number matches. A lost, late or duplicate order is
therefore never applied to a state that it was not planned for: of two orders with the
same number, the first to arrive makes the other one fail. No memory has to be reserved
for lost orders.
"""

import heapq

import msgspec

from arbutuspulley.pool.answers import (
    NEVER,
    PlannedOrder,
    complete_unload,
    get_load_ms,
)
from arbutuspulley.pool.copies import get_copies
from arbutuspulley.pool.demand import estimate_excess_requests, get_copy_token_rate
from arbutuspulley.pool.eviction import (
    PlanningCycle,
    begin_cycle,
    choose_adapter_to_evict,
    count_used_mb,
    plan_eviction,
    rate_speed_fit,
    update_cycle,
)
from arbutuspulley.pool.gap_risk import get_harm
from arbutuspulley.pool.load_rate import may_load, record_load
from arbutuspulley.pool.server_speed import sum_speeds
from arbutuspulley.pool.state import (
    PoolState,
    ServerState,
    WaitingRequest,
    estimate_unload_wait,
    get_rate_limit_wait,
    has_local_weights,
    has_model,
    has_version,
    is_usable,
)
from arbutuspulley.ports.fleet import OrderKind, SoftwareVersion

MIN_GAIN = 1.5
"""Minimum net gain of another copy, in requests: the requests that no longer have to
wait, less the requests that have to wait for the evicted models. Loads cost money, and
below this value models of similar demand evict each other."""

MISSING_GAIN_PER_S = 1.0
"""Growth of the gain of a model without a copy for each second that requests wait for
it, in requests; so rarely used models are served, too."""

MAX_MISSING_GAIN = 8.0
"""Maximum of that growth, in requests."""

COPY_BACKLOG_MS = 250
"""Backlog that one copy can work off within latency targets, in ms: the rest of
targets of some 600 ms after a prompt's own prefill and the order of a load."""

HARM_HORIZON_S = 5.0
"""Time over which a copy on a faster server is counted to save streams from too long
gaps, in s. Speeds last longer than the demand for a model; with a longer time, loads
follow demand that has moved on."""

MIN_SPEED_RATIO = 1.2
"""Ratio of a server's speed to that of a model's copies from which it counts as faster:
estimates vary by less than that."""

MAX_USED_FRACTION = 0.5
"""Fraction of a server's slots in use from which a copy there saves no streams from too
long gaps, however fast it is. Otherwise models evict each other from full servers."""

RUN_COST = 0.05
"""Cost of each request that runs on a server when a model is loaded there, in requests:
all models of a server share its batch."""

LOCAL_WEIGHTS_GAIN = 0.3
"""Gain of a server that has the weights in host memory or on disk, in requests: the
load takes half as long and costs nothing."""

PLAN_LIFETIME_MS = 6_000
"""How long a server stays reserved for a planned load, in ms: the unloads before it may
wait for streams that take some seconds."""

GAIN_HORIZON_MS = 3_000
"""Delay after which another copy helps no waiting caller any more, in ms: callers
disconnect after 2 to 4 s without a first event."""

MAX_UNLOAD_WAIT_MS = 1_000
"""Maximum wait of an unload, in ms, for its server to count as a copy of the model that
is planned there. Otherwise a model without a copy would be loaded nowhere else while
its server waits for one stream to end, and its callers would be refused."""

ADAPTER_BACKLOG_MS = 150
"""Backlog of the servers with an adapter from which it is loaded on another one, in ms;
an adapter load takes a tenth of that."""


def plan_orders(pool: PoolState, *, now: int) -> list[PlannedOrder]:
    """Plan the next orders, at most one for each server.

    :param now: in ms.
    """
    planned: list[PlannedOrder] = []
    _plan_adapters(pool, planned, now=now)
    cycle = begin_cycle(pool, now=now)
    for server in pool.servers.values():
        if server.planned and now >= server.planned_until:
            _set_planned(cycle, server, planned="")
        if not server.planned:
            server.planned_gain = 0
        order = _plan_next_step(cycle, server)
        if order is not None:
            planned.append(order)
    _plan_version_copies(cycle, planned)
    _plan_models(cycle, planned)
    return planned


def _set_planned(cycle: PlanningCycle, server: ServerState, *, planned: str) -> None:
    """Set the planned model of a server, or clear it, and update the cycle.

    :param planned: name of the model; empty: none.
    """
    before = server.planned
    server.planned = planned
    update_cycle(cycle, server, {before, planned})


def _may_order(server: ServerState, *, now: int) -> bool:
    complete_unload(server)
    if server.unloading:
        return False
    return (
        server.accepted_orders is not None
        and not server.is_order_in_flight
        and now >= server.next_order_at
        and is_usable(server, now=now)
    )


def _plan_adapters(pool: PoolState, planned: list[PlannedOrder], *, now: int) -> None:
    wanted: dict[tuple[str, str, SoftwareVersion | None], WaitingRequest] = {}
    for waiting in pool.waiting.values():
        need = waiting.need
        if need.adapter:
            wanted.setdefault((need.model, need.adapter, waiting.version), waiting)
    ordered: set[str] = set()
    for waiting in wanted.values():
        if _is_adapter_available(pool, waiting, now=now):
            continue
        server = _choose_adapter_server(pool, waiting, ordered, now=now)
        if server is None:
            continue
        ordered.add(server.incarnation)
        need = waiting.need
        order = _build_adapter_order(pool, server, need.model, need.adapter)
        if order is not None:
            planned.append(order)


def _is_adapter_available(
    pool: PoolState, waiting: WaitingRequest, *, now: int
) -> bool:
    pair = (waiting.need.model, waiting.need.adapter)
    for server in pool.servers.values():
        if not is_usable(server, now=now):
            continue
        if not has_version(server, waiting.version):
            continue
        if pair in server.adapters_due:
            return True
        is_free = server.prefill_until - now < ADAPTER_BACKLOG_MS
        is_free = is_free and not get_rate_limit_wait(server, now=now)
        if is_free and has_model(server, waiting.need, now=now):
            return True
    return False


def _choose_adapter_server(
    pool: PoolState, waiting: WaitingRequest, ordered: set[str], *, now: int
) -> ServerState | None:
    model, adapter = waiting.need.model, waiting.need.adapter
    candidates = [
        server
        for server in pool.servers.values()
        if model in server.models
        and has_version(server, waiting.version)
        and adapter not in server.models[model]
        and server.unloading != model
        and now >= server.model_backoff_until.get(model, 0)
        and server.incarnation not in ordered
        and _may_order(server, now=now)
        and not server.loading
        and not get_rate_limit_wait(server, now=now)
    ]
    return min(
        candidates,
        key=lambda server: (
            server.limit is not None,
            server.prefill_until,
            len(server.runs),
        ),
        default=None,
    )


def _build_adapter_order(
    pool: PoolState, server: ServerState, model: str, adapter: str
) -> PlannedOrder | None:
    spec = pool.spec
    count = sum(len(adapters) for adapters in server.models.values())
    count += len(server.adapters_due) + len(server.adapters_unloading)
    needed = spec.models[model].adapter_mb
    has_memory = count_used_mb(spec, server) + needed <= spec.memory_mb
    if count < spec.adapter_slots and has_memory:
        return _build_order(pool, server, OrderKind.LOAD, model, adapter)
    victim = choose_adapter_to_evict(pool, server)
    if victim is None:
        return None
    return _build_order(pool, server, OrderKind.UNLOAD, *victim)


def _plan_models(cycle: PlanningCycle, planned: list[PlannedOrder]) -> None:
    """Choose servers for the models that need another copy, highest gain first.

    A model that needs several copies gets them before models with a lower gain. With
    one copy for each model in turn, every free server would go to a model with a single
    waiting request, and the busiest model would wait seconds for its next copy.
    """
    wanted: list[tuple[float, str]] = []
    pool = cycle.pool
    for model in {*cycle.waiting, *pool.demand}:
        if model in pool.spec.models:
            gain = _compute_gain(cycle, model)
            if gain > 0:
                heapq.heappush(wanted, (-gain, model))
    while wanted:
        gain, model = heapq.heappop(wanted)
        server = _choose_server(cycle, model, -gain)
        if server is None:
            continue
        order = _plan_next_step(cycle, server)
        if order is not None:
            planned.append(order)
        gain = _compute_gain(cycle, model)
        if gain > 0:
            heapq.heappush(wanted, (-gain, model))


def _plan_version_copies(cycle: PlanningCycle, planned: list[PlannedOrder]) -> None:
    """Choose servers for models of which a software version has no copy.

    Requests that resume a stream wait for one: no other version may go on.
    """
    missing: dict[tuple[str, SoftwareVersion], list[WaitingRequest]] = {}
    for waiting in cycle.pool.waiting.values():
        model, version = waiting.need.model, waiting.version
        if version is None or model not in cycle.pool.spec.models:
            continue
        copies = get_copies(cycle.index, model, version)
        if all(_is_unload_delayed(cycle, server, model) for server in copies):
            missing.setdefault((model, version), []).append(waiting)
    for (model, version), requests in missing.items():
        waited_ms = cycle.index.now - min(one.arrived_at for one in requests)
        gain = _compute_waiting_gain(waited_ms) + len(requests)
        server = _choose_server(cycle, model, gain, version=version)
        if server is None:
            continue
        order = _plan_next_step(cycle, server)
        if order is not None:
            planned.append(order)


def _compute_gain(cycle: PlanningCycle, model: str) -> float:
    """Return how many requests no longer have to wait with another copy of a model."""
    pool, waiting = cycle.pool, cycle.waiting[model]
    found = get_copies(cycle.index, model)
    copies = sum_speeds(
        server for server in found if not _is_unload_delayed(cycle, server, model)
    )
    gain = estimate_excess_requests(pool, model, copies) - estimate_excess_requests(
        pool, model, copies + 1
    )
    gain += _estimate_relieved(pool, model, waiting, copies)
    gain += _compute_faster_gain(cycle, model)
    return gain + _compute_missing_gain(
        pool, model, waiting, copies, now=cycle.index.now
    )


def _compute_faster_gain(cycle: PlanningCycle, model: str) -> float:
    """Return how many streams a copy on a faster server saves from too long gaps."""
    pool = cycle.pool
    copies = get_copies(cycle.index, model)
    if not pool.learns_server_speeds or not copies:
        return 0.0
    mean_speed = sum_speeds(copies) / len(copies)
    if cycle.max_speed < MIN_SPEED_RATIO * mean_speed:
        return 0.0
    return HARM_HORIZON_S * get_harm(pool.gap_risk, model, now=cycle.index.now)


def _is_unload_delayed(cycle: PlanningCycle, server: ServerState, model: str) -> bool:
    """Tell whether a planned load is delayed by a long wait for an unload."""
    if server.planned != model or not server.unloading:
        return False
    now = cycle.index.now
    return (
        estimate_unload_wait(cycle.pool, server, server.unloading, now=now)
        > MAX_UNLOAD_WAIT_MS
    )


def _estimate_relieved(
    pool: PoolState, model: str, waiting: int, copies: float
) -> float:
    """Return how many of a model's waiting requests another copy would take over.

    :param copies: sum of the speeds of the servers with a copy.
    """
    requests_per_copy = (
        get_copy_token_rate(pool, model) * COPY_BACKLOG_MS / 1_000 / pool.mean_tokens
    )
    return max(0.0, waiting - requests_per_copy * copies) / (copies + 1)


def _compute_missing_gain(
    pool: PoolState, model: str, waiting: int, copies: float, *, now: int
) -> float:
    if copies:
        pool.missing_since.pop(model, None)
        return 0.0
    if not waiting:
        return 0.0
    since = pool.missing_since.setdefault(model, now)
    return _compute_waiting_gain(now - since)


def _compute_waiting_gain(waited_ms: int) -> float:
    """Return the gain of a copy for which requests have waited for some time."""
    missing_gain = MISSING_GAIN_PER_S * waited_ms / 1_000
    return MIN_GAIN + min(MAX_MISSING_GAIN, missing_gain)


def _choose_server(
    cycle: PlanningCycle,
    model: str,
    gain: float,
    *,
    version: SoftwareVersion | None = None,
) -> ServerState | None:
    """Choose the server for another copy of a model, and plan the load there.

    :param gain: requests that no longer have to wait with the copy.
    :param version: software version of the server; ``None``: any.
    :return: ``None`` if no server is worth it.
    """
    pool, now = cycle.pool, cycle.index.now
    spec = pool.spec.models[model]
    max_factor = 1 + spec.load_ms / GAIN_HORIZON_MS
    if gain * max_factor < MIN_GAIN:
        # Too little even without evictions and with local weights.
        return None
    best: ServerState | None = None
    best_worth = 0.0
    may_load_from_store = may_load(pool, now=now)
    usable = [
        server
        for server in pool.servers.values()
        if is_usable(server, now=now) and has_version(server, version)
    ]
    copies = get_copies(cycle.index, model)
    mean_speed = sum_speeds(copies) / max(1, len(copies))
    faster_gain = _compute_faster_gain(cycle, model)
    gain -= faster_gain
    are_all_limited = all(server.limit is not None for server in usable)
    for server in usable:
        if server.limit is not None and not are_all_limited:
            continue
        if get_rate_limit_wait(server, now=now):
            continue
        if model in server.models or server.loading or server.planned == model:
            continue
        if not (server.planned or _may_order(server, now=now)):
            continue
        if server.is_order_in_flight:
            continue
        is_local = has_local_weights(server, model)
        if not is_local and not may_load_from_store:
            continue
        total_gain = gain
        if faster_gain and server.speed.value >= MIN_SPEED_RATIO * mean_speed:
            free = 1 - len(server.runs) / max(1, server.slots) / MAX_USED_FRACTION
            total_gain += faster_gain * max(0.0, free)
        if total_gain * max_factor < MIN_GAIN + server.planned_gain:
            continue
        plan = plan_eviction(cycle, server, model)
        if plan is None:
            continue
        saved_ms = spec.load_ms - get_load_ms(server, spec)
        discounted_gain = total_gain * max(
            0.0, 1 - (plan.wait_ms - saved_ms) / GAIN_HORIZON_MS
        )
        if discounted_gain - plan.cost < MIN_GAIN + server.planned_gain:
            continue
        worth = (
            discounted_gain
            - plan.cost
            - RUN_COST * len(server.runs)
            + LOCAL_WEIGHTS_GAIN * is_local
            + rate_speed_fit(cycle, server, model, new_copies=1)
        )
        if best is None or worth > best_worth:
            best, best_worth = server, worth
    if best is None:
        return None
    for server in pool.servers.values():
        if _is_unload_delayed(cycle, server, model):
            _set_planned(cycle, server, planned="")
    _set_planned(cycle, best, planned=model)
    best.planned_gain = best_worth
    best.planned_until = now + PLAN_LIFETIME_MS
    return best


def _plan_next_step(cycle: PlanningCycle, server: ServerState) -> PlannedOrder | None:
    """Return the next order that leads to a server's planned model, if one is due."""
    pool, now = cycle.pool, cycle.index.now
    model = server.planned
    if not model or server.loading or not _may_order(server, now=now):
        return None
    if model in server.models:
        _set_planned(cycle, server, planned="")
        return None
    # Runs may have ended since, and _may_order may have completed an unload.
    cycle.options.pop(server.incarnation, None)
    plan = plan_eviction(cycle, server, model)
    if plan is None:
        _set_planned(cycle, server, planned="")
        return None
    if plan.victims:
        order = _build_order(pool, server, OrderKind.UNLOAD, plan.victims[0], "")
        update_cycle(cycle, server, {model, plan.victims[0]})
        return order
    is_store_load = (
        not has_local_weights(server, model) and model != server.unanswered_model
    )
    if is_store_load:
        if not may_load(pool, now=now):
            return None
        record_load(pool, now=now)
    order = _build_order(pool, server, OrderKind.LOAD, model, "")
    update_cycle(cycle, server, {model})
    return msgspec.structs.replace(order, is_store_load=is_store_load)


def _build_order(
    pool: PoolState, server: ServerState, kind: OrderKind, model: str, adapter: str
) -> PlannedOrder:
    used_mb = int(count_used_mb(pool.spec, server))
    server.is_order_in_flight = True
    if kind is OrderKind.UNLOAD:
        # It gets no further requests, but its memory is in use until it is unloaded.
        if adapter:
            server.models[model].discard(adapter)
            server.adapters_unloading.add((model, adapter))
        else:
            server.unloading = model
    elif adapter:
        server.adapters_due[model, adapter] = NEVER
    else:
        server.loading = model
        server.loading_until = NEVER
    return PlannedOrder(
        kind=kind,
        incarnation=server.incarnation,
        address=server.address,
        model=model,
        adapter=adapter,
        expected_orders=server.accepted_orders or 0,
        used_mb=used_mb,
    )
