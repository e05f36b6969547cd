"""What has to leave a server so that a model fits, and what that costs."""

from arbutuspulley.data import Value
from arbutuspulley.pool.demand import find_copies, get_excess
from arbutuspulley.pool.state import PoolState, ServerState, estimate_unload
from arbutuspulley.ports.fleet import EngineSpec

SOLE_COST = 0.3
"""What unloading the only copy of a model costs beside its demand, in requests; it has
to be loaded again before it can be served."""

BLOCK_COST = 0.5
"""What each second costs for which an unload waits for runs, in requests: the server
takes no other order meanwhile, so that no adapter gets onto it."""

STEP_COST = 0.1
"""What each unload costs by itself, in requests: an order, and a copy less."""


class Victim(Value, frozen=True):
    """A model that may leave a server.

    :param cost: in requests that would have to wait.
    :param wait_ms: how long its unload would wait for runs.
    """

    model: str
    cost: float
    wait_ms: float


class RoomPlan(Value, frozen=True):
    """Models to unload, in order, before another fits.

    :param cost: in requests that will have to wait.
    :param wait_ms: how long the unloads wait for runs.
    """

    victims: tuple[str, ...]
    cost: float
    wait_ms: float = 0


def count_used_mb(spec: EngineSpec, server: ServerState) -> float:
    """Return the memory that a server's models and adapters take, in MB.

    What is on its way counts in full, and a model that is leaving until it has left.
    """
    models = set(server.models) | ({server.loading} - {""})
    models |= {server.unloading} - {""}
    accepted = server.orders or 0
    models |= {
        model for model, late in server.late_loads.items() if late.expected >= accepted
    }
    used = sum(spec.models[one].size_mb for one in models if one in spec.models)
    for model, adapters in server.models.items():
        if model in spec.models:
            used += len(adapters) * spec.models[model].adapter_mb
    for model, _adapter in [*server.adapters_due, *server.adapters_leaving]:
        if model in spec.models:
            used += spec.models[model].adapter_mb
    return used


def plan_room(
    pool: PoolState,
    server: ServerState,
    model: str,
    *,
    now: int,
    losses: dict[str, float] | None = None,
) -> RoomPlan | None:
    """Choose what leaves a server so that a model fits, at the least cost.

    :param losses: what :func:`compute_loss` returned before, by model; added to.
    :return: ``None`` if it can't be made to fit.
    """
    losses = {} if losses is None else losses
    spec = pool.spec
    free = spec.memory_mb - count_used_mb(spec, server)
    needed = spec.models[model].size_mb
    cost = wait_ms = 0.0
    leaving = server.unloading
    if leaving in spec.models:
        free += spec.models[leaving].size_mb
        wait_ms = estimate_unload(pool, server, leaving, now=now)
    if free >= needed:
        return RoomPlan(victims=(), cost=0.0, wait_ms=wait_ms)
    victims: list[str] = []
    rated = [
        rate_victim(pool, server, held, now=now, losses=losses)
        for held in server.models
        if held != leaving
    ]
    for victim in sorted(rated, key=lambda one: (one.cost, one.model)):
        if free >= needed:
            break
        victims.append(victim.model)
        cost += victim.cost + STEP_COST
        wait_ms += victim.wait_ms
        held_spec = spec.models.get(victim.model)
        if held_spec is not None:
            free += held_spec.size_mb
            free += held_spec.adapter_mb * len(server.models[victim.model])
    if free < needed:
        return None
    return RoomPlan(victims=tuple(victims), cost=cost, wait_ms=wait_ms)


def rate_victim(
    pool: PoolState,
    server: ServerState,
    model: str,
    *,
    now: int,
    losses: dict[str, float],
) -> Victim:
    """Work out what it would cost if a model left a server."""
    if model not in losses:
        losses[model] = compute_loss(pool, model, now=now)
    wait_ms = estimate_unload(pool, server, model, now=now)
    cost = losses[model] + BLOCK_COST * wait_ms / 1_000
    return Victim(model=model, cost=cost, wait_ms=wait_ms)


def compute_loss(pool: PoolState, model: str, *, now: int) -> float:
    """Return what one copy less of a model would cost, in requests that wait."""
    copies = len(find_copies(pool, model, now=now))
    cost = get_excess(pool, model, copies - 1) - get_excess(pool, model, copies)
    waiting = sum(one.need.model == model for one in pool.waiting.values())
    cost += waiting / max(1, copies)
    if copies <= 1:
        cost += SOLE_COST
    return cost


def choose_adapter_victim(
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
