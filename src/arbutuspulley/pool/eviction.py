"""What has to leave a server so that a model fits, and what that costs."""

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
from arbutuspulley.pool.state import PoolState, ServerState, estimate_unload_wait
from arbutuspulley.ports.fleet import EngineSpec

LAST_COPY_COST = 0.3
"""What unloading the only copy of a model costs beside its demand, in requests; it has
to be loaded again before it can be served."""

UNLOAD_WAIT_COST_PER_S = 0.5
"""What each second costs for which an unload waits for runs, in requests: the server
takes no other order meanwhile, so that no adapter gets onto it."""

UNLOAD_COST = 0.1
"""What each unload costs by itself, in requests: an order, and a copy less."""


LIMITED_COPY_FRACTION = 0.5
"""A server that names a rate limit counts as a copy of its models if it takes this part
of what one usually takes. By whether it may get a request right now it would count as
one copy more and one less by turns, and others would be unloaded for it."""


class EvictionCandidate(Value, frozen=True):
    """A model that may leave a server.

    :param cost: in requests that would have to wait.
    :param wait_ms: how long its unload would wait for runs.
    :param size_mb: the memory that it would leave, its adapters' included.
    """

    model: str
    cost: float
    wait_ms: float
    size_mb: float


class EvictionPlan(Value, frozen=True):
    """Models to unload, in order, before another fits.

    :param cost: in requests that will have to wait.
    :param wait_ms: how long the unloads wait for runs.
    """

    victims: tuple[str, ...]
    cost: float
    wait_ms: float = 0


class EvictionOptions(Value, frozen=True):
    """What a server has free, and what could leave it, the cheapest first.

    :param free_mb: once the model that is leaving has left.
    :param wait_ms: how long that takes.
    """

    free_mb: float
    wait_ms: float
    candidates: tuple[EvictionCandidate, ...]


class PlanningCycle(State):
    """What one pass of orders has worked out, the same for many models and servers.

    Without it, the cost of each model's leaving would be worked out for each pair of a
    wanted model and a server.

    :param waiting: how many requests wait for each model.
    :param losses: what :func:`compute_eviction_cost` returned, by model.
    :param rooms: by incarnation.
    """

    pool: PoolState
    index: CopyIndex
    waiting: Counter[str]
    eviction_costs: dict[str, float] = msgspec.field(default_factory=dict)
    options: dict[str, EvictionOptions] = msgspec.field(default_factory=dict)


def begin_cycle(pool: PoolState, *, now: int) -> PlanningCycle:
    """Begin a pass of orders."""
    min_requests_per_s: float | None = None
    if any(one.limit is not None for one in pool.servers.values()):
        min_requests_per_s = LIMITED_COPY_FRACTION * get_copy_request_rate(pool)
    return PlanningCycle(
        pool=pool,
        index=index_copies(pool, now=now, min_requests_per_s=min_requests_per_s),
        waiting=Counter(one.need.model for one in pool.waiting.values()),
    )


def update_cycle(cycle: PlanningCycle, server: ServerState, models: set[str]) -> None:
    """Correct what the pass knows after something was planned or ordered at a server.

    :param models: those whose copies have changed by that.
    """
    reindex_server(cycle.index, server)
    cycle.options.pop(server.incarnation, None)
    for model in models:
        cycle.eviction_costs.pop(model, None)
    for incarnation in list(cycle.options):
        if not models.isdisjoint(cycle.pool.servers[incarnation].models):
            del cycle.options[incarnation]


def count_used_mb(spec: EngineSpec, server: ServerState) -> float:
    """Return the memory that a server's models and adapters take, in MB.

    What is on its way counts in full, and a model that is leaving until it has left.
    """
    models = set(server.models) | ({server.loading} - {""})
    models |= {server.unloading} - {""}
    accepted = server.accepted_orders or 0
    models |= {
        model
        for model, late in server.previous_loads.items()
        if late.expected_orders >= accepted
    }
    used = sum(spec.models[one].size_mb for one in models if one in spec.models)
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
    """Choose what leaves a server so that a model fits, at the least cost.

    :return: ``None`` if it can't be made to fit.
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
        rate_candidate(cycle, server, held)
        for held in server.models
        if held != unloading
    ]
    candidates.sort(key=lambda one: (one.cost, one.model))
    return EvictionOptions(free_mb=free, wait_ms=wait_ms, candidates=tuple(candidates))


def rate_candidate(
    cycle: PlanningCycle, server: ServerState, model: str
) -> EvictionCandidate:
    """Work out what it would cost if a model left a server."""
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
    """Return what one copy less of a model would cost, in requests that wait."""
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
    """Return the adapter that was used least recently and that nobody needs now.

    What a request waits for stays: if more adapters are waited for than there are
    places, they would otherwise push each other out before any was used.
    """
    in_use = {(run.need.model, run.need.adapter) for run in server.runs.values()}
    in_use |= {(one.need.model, one.need.adapter) for one in pool.waiting.values()}
    held = [
        (model, adapter)
        for model, adapters in server.models.items()
        for adapter in adapters
        if (model, adapter) not in in_use
    ]
    return min(held, key=lambda pair: server.adapter_used_at.get(pair, 0), default=None)
