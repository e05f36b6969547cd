"""Choice and cost of the models and adapters to evict from a server."""

from collections import Counter

import msgspec

from arbutuspulley.data import State, Value
from arbutuspulley.pool.copies import (
    CopyIndex,
    get_copies,
    index_copies,
    reindex_server,
)
from arbutuspulley.pool.demand import estimate_excess_requests, get_copy_request_rate
from arbutuspulley.pool.server_watch import list_unserved
from arbutuspulley.pool.state import PoolState, ServerState, estimate_unload_wait
from arbutuspulley.ports.fleet import EngineSpec

LAST_COPY_COST = 0.3
"""Cost of evicting the last copy of a model in addition to its demand, in requests: it
has to be loaded again before it can be served."""

UNLOAD_WAIT_COST_PER_S = 0.5
"""Cost of each second that an unload waits for runs, in requests: the server accepts no
other order meanwhile, so that no adapter can be loaded there."""

UNLOAD_COST = 0.1
"""Fixed cost of each unload, in requests: it takes an order and removes a copy."""


LIMITED_COPY_FRACTION = 0.5
"""Fraction of the usual request rate of a copy that a server's rate limit must allow
for it to count as a copy of its models. If it counted whenever its limit allows a
request right now, the number of copies would alternate, and other copies would be
unloaded."""


class EvictionCandidate(Value, frozen=True):
    """A model that may be evicted from a server.

    :param cost: in requests that would have to wait.
    :param wait_ms: how long its unload would wait for runs, in ms.
    :param size_mb: memory that it would free, including its adapters, in MB.
    """

    model: str
    cost: float
    wait_ms: float
    size_mb: float


class EvictionPlan(Value, frozen=True):
    """Models to unload from a server so that another one fits.

    :param victims: names of the models, in order of their unloads.
    :param cost: in requests that will have to wait.
    :param wait_ms: how long the unloads wait for runs, in ms.
    """

    victims: tuple[str, ...]
    cost: float
    wait_ms: float = 0


class EvictionOptions(Value, frozen=True):
    """Free memory of a server and its eviction candidates.

    :param free_mb: free memory once the unload in progress is complete, in MB.
    :param wait_ms: how long that unload still takes, in ms.
    :param candidates: in order of cost, cheapest first.
    """

    free_mb: float
    wait_ms: float
    candidates: tuple[EvictionCandidate, ...]


class PlanningCycle(State):
    """Cached results of one planning cycle that many models and servers share.

    Without the cache, the eviction cost of each model would be computed for each pair
    of a model to load and a server.

    :param waiting: number of waiting requests by model.
    :param eviction_costs: results of :func:`compute_eviction_cost` by model.
    :param options: eviction options of servers, by incarnation.
    """

    pool: PoolState
    index: CopyIndex
    waiting: Counter[str]
    eviction_costs: dict[str, float] = msgspec.field(default_factory=dict)
    options: dict[str, EvictionOptions] = msgspec.field(default_factory=dict)


def begin_cycle(pool: PoolState, *, now: int) -> PlanningCycle:
    """Start a planning cycle.

    :param now: in ms.
    """
    min_requests_per_s: float | None = None
    if any(server.limit is not None for server in pool.servers.values()):
        min_requests_per_s = LIMITED_COPY_FRACTION * get_copy_request_rate(pool)
    waiting = Counter(request.need.model for request in pool.waiting.values())
    if pool.shares_contended:
        fingerprints = {request.fingerprint for request in pool.waiting.values()}
        waiting.update(list_unserved(pool.server_watch, waiting=fingerprints, now=now))
    return PlanningCycle(
        pool=pool,
        index=index_copies(pool, now=now, min_requests_per_s=min_requests_per_s),
        waiting=waiting,
    )


def update_cycle(cycle: PlanningCycle, server: ServerState, models: set[str]) -> None:
    """Update a cycle after a load or unload was planned or ordered at a server.

    :param models: models whose copies have changed.
    """
    reindex_server(cycle.index, server)
    cycle.options.pop(server.incarnation, None)
    for model in models:
        cycle.eviction_costs.pop(model, None)
    for incarnation in list(cycle.options):
        if not models.isdisjoint(cycle.pool.servers[incarnation].models):
            del cycle.options[incarnation]


def count_used_mb(spec: EngineSpec, server: ServerState) -> float:
    """Return the memory that a server's models and adapters use, in MB.

    Loads in progress count in full, as do unloads in progress until they are complete,
    and unanswered loads for the previous incarnation that may still be carried out.
    """
    models = set(server.models) | ({server.loading} - {""})
    models |= {server.unloading} - {""}
    accepted = server.accepted_orders or 0
    models |= {
        model
        for model, load in server.previous_loads.items()
        if load.expected_orders >= accepted
    }
    used = sum(spec.models[model].size_mb for model in models if model in spec.models)
    for model, adapters in server.models.items():
        if model in spec.models:
            used += len(adapters) * spec.models[model].adapter_mb
    for model, _adapter in [*server.adapters_due, *server.adapters_unloading]:
        if model in spec.models:
            used += spec.models[model].adapter_mb
    return used


def plan_eviction(
    cycle: PlanningCycle, server: ServerState, model: str
) -> EvictionPlan | None:
    """Choose which models to evict from a server so that a model fits, cheapest first.

    :return: ``None`` if the model does not fit even if all candidates are evicted.
    """
    options = cycle.options.get(server.incarnation)
    if options is None:
        options = cycle.options[server.incarnation] = _build_options(cycle, server)
    free = options.free_mb
    needed = cycle.pool.spec.models[model].size_mb
    cost, wait_ms = 0.0, options.wait_ms
    victims: list[str] = []
    for candidate in options.candidates:
        if free >= needed:
            break
        victims.append(candidate.model)
        cost += candidate.cost + UNLOAD_COST
        wait_ms += candidate.wait_ms
        free += candidate.size_mb
    if free < needed:
        return None
    return EvictionPlan(victims=tuple(victims), cost=cost, wait_ms=wait_ms)


def _build_options(cycle: PlanningCycle, server: ServerState) -> EvictionOptions:
    pool, spec = cycle.pool, cycle.pool.spec
    free = spec.memory_mb - count_used_mb(spec, server)
    wait_ms = 0.0
    unloading = server.unloading
    if unloading in spec.models:
        free += spec.models[unloading].size_mb
        wait_ms = estimate_unload_wait(pool, server, unloading, now=cycle.index.now)
    candidates = [
        rate_candidate(cycle, server, model)
        for model in server.models
        if model != unloading
    ]
    candidates.sort(key=lambda candidate: (candidate.cost, candidate.model))
    return EvictionOptions(free_mb=free, wait_ms=wait_ms, candidates=tuple(candidates))


def rate_candidate(
    cycle: PlanningCycle, server: ServerState, model: str
) -> EvictionCandidate:
    """Compute the cost of evicting a model from a server."""
    if model not in cycle.eviction_costs:
        cycle.eviction_costs[model] = compute_eviction_cost(cycle, model)
    wait_ms = estimate_unload_wait(cycle.pool, server, model, now=cycle.index.now)
    spec = cycle.pool.spec.models.get(model)
    size_mb = 0.0
    if spec is not None:
        size_mb = spec.size_mb + spec.adapter_mb * len(server.models[model])
    return EvictionCandidate(
        model=model,
        cost=cycle.eviction_costs[model] + UNLOAD_WAIT_COST_PER_S * wait_ms / 1_000,
        wait_ms=wait_ms,
        size_mb=size_mb,
    )


def compute_eviction_cost(cycle: PlanningCycle, model: str) -> float:
    """Return the cost of one copy less of a model, in requests that have to wait."""
    pool = cycle.pool
    copies = len(get_copies(cycle.index, model))
    cost = estimate_excess_requests(pool, model, copies - 1) - estimate_excess_requests(
        pool, model, copies
    )
    cost += cycle.waiting[model] / max(1, copies)
    if copies <= 1:
        cost += LAST_COPY_COST
    return cost


def choose_adapter_to_evict(
    pool: PoolState, server: ServerState
) -> tuple[str, str] | None:
    """Return the least recently used adapter that no request uses or waits for.

    Adapters with waiting requests stay: if there are more of them than adapter slots,
    they would otherwise evict each other before any was used.

    :return: model and adapter; ``None`` if none can be evicted.
    """
    in_use = {(run.need.model, run.need.adapter) for run in server.runs.values()}
    in_use |= {
        (request.need.model, request.need.adapter) for request in pool.waiting.values()
    }
    evictable = [
        (model, adapter)
        for model, adapters in server.models.items()
        for adapter in adapters
        if (model, adapter) not in in_use
    ]
    return min(
        evictable, key=lambda pair: server.adapter_used_at.get(pair, 0), default=None
    )
