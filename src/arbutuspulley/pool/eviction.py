"""What has to leave a server so that a model fits, and what that costs."""

from collections import Counter

import msgspec

from arbutuspulley.data import State, Value
from arbutuspulley.pool.copies import (
    CopyIndex,
    get_copies,
    index_copies,
    refresh_copies,
)
from arbutuspulley.pool.demand import estimate_excess_requests, get_copy_request_rate
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


LIMITED_PART = 0.5
"""A server that names a rate limit counts as a copy of its models if it takes this part
of what one usually takes. By whether it may get a request right now it would count as
one copy more and one less by turns, and others would be unloaded for it."""


class Victim(Value, frozen=True):
    """A model that may leave a server.

    :param cost: in requests that would have to wait.
    :param wait_ms: how long its unload would wait for runs.
    :param size_mb: the memory that it would leave, its adapters' included.
    """

    model: str
    cost: float
    wait_ms: float
    size_mb: float


class RoomPlan(Value, frozen=True):
    """Models to unload, in order, before another fits.

    :param cost: in requests that will have to wait.
    :param wait_ms: how long the unloads wait for runs.
    """

    victims: tuple[str, ...]
    cost: float
    wait_ms: float = 0


class ServerRoom(Value, frozen=True):
    """What a server has free, and what could leave it, the cheapest first.

    :param free_mb: once the model that is leaving has left.
    :param wait_ms: how long that takes.
    """

    free_mb: float
    wait_ms: float
    victims: tuple[Victim, ...]


class RoomPass(State):
    """What one pass of orders has worked out, the same for many models and servers.

    Without it, the cost of each model's leaving would be worked out for each pair of a
    wanted model and a server.

    :param waiting: how many requests wait for each model.
    :param losses: what :func:`compute_loss` returned, by model.
    :param rooms: by incarnation.
    """

    pool: PoolState
    index: CopyIndex
    waiting: Counter[str]
    losses: dict[str, float] = msgspec.field(default_factory=dict)
    rooms: dict[str, ServerRoom] = msgspec.field(default_factory=dict)


def begin_pass(pool: PoolState, *, now: int) -> RoomPass:
    """Begin a pass of orders."""
    least_per_s: float | None = None
    if any(one.limit is not None for one in pool.servers.values()):
        least_per_s = LIMITED_PART * get_copy_request_rate(pool)
    return RoomPass(
        pool=pool,
        index=index_copies(pool, now=now, least_per_s=least_per_s),
        waiting=Counter(one.need.model for one in pool.waiting.values()),
    )


def note_change(state: RoomPass, server: ServerState, models: set[str]) -> None:
    """Correct what the pass knows after something was planned or ordered at a server.

    :param models: those whose copies have changed by that.
    """
    refresh_copies(state.index, server)
    state.rooms.pop(server.incarnation, None)
    for model in models:
        state.losses.pop(model, None)
    for incarnation in list(state.rooms):
        if not models.isdisjoint(state.pool.servers[incarnation].models):
            del state.rooms[incarnation]


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


def plan_room(state: RoomPass, server: ServerState, model: str) -> RoomPlan | None:
    """Choose what leaves a server so that a model fits, at the least cost.

    :return: ``None`` if it can't be made to fit.
    """
    room = state.rooms.get(server.incarnation)
    if room is None:
        room = state.rooms[server.incarnation] = _find_room(state, server)
    free = room.free_mb
    needed = state.pool.spec.models[model].size_mb
    cost, wait_ms = 0.0, room.wait_ms
    victims: list[str] = []
    for victim in room.victims:
        if free >= needed:
            break
        victims.append(victim.model)
        cost += victim.cost + STEP_COST
        wait_ms += victim.wait_ms
        free += victim.size_mb
    if free < needed:
        return None
    return RoomPlan(victims=tuple(victims), cost=cost, wait_ms=wait_ms)


def _find_room(state: RoomPass, server: ServerState) -> ServerRoom:
    pool, spec = state.pool, state.pool.spec
    free = spec.memory_mb - count_used_mb(spec, server)
    wait_ms = 0.0
    leaving = server.unloading
    if leaving in spec.models:
        free += spec.models[leaving].size_mb
        wait_ms = estimate_unload(pool, server, leaving, now=state.index.now)
    rated = [
        rate_victim(state, server, held) for held in server.models if held != leaving
    ]
    rated.sort(key=lambda one: (one.cost, one.model))
    return ServerRoom(free_mb=free, wait_ms=wait_ms, victims=tuple(rated))


def rate_victim(state: RoomPass, server: ServerState, model: str) -> Victim:
    """Work out what it would cost if a model left a server."""
    if model not in state.losses:
        state.losses[model] = compute_loss(state, model)
    wait_ms = estimate_unload(state.pool, server, model, now=state.index.now)
    spec = state.pool.spec.models.get(model)
    size_mb = 0.0
    if spec is not None:
        size_mb = spec.size_mb + spec.adapter_mb * len(server.models[model])
    return Victim(
        model=model,
        cost=state.losses[model] + BLOCK_COST * wait_ms / 1_000,
        wait_ms=wait_ms,
        size_mb=size_mb,
    )


def compute_loss(state: RoomPass, model: str) -> float:
    """Return what one copy less of a model would cost, in requests that wait."""
    pool = state.pool
    copies = len(get_copies(state.index, model))
    cost = estimate_excess_requests(pool, model, copies - 1) - estimate_excess_requests(
        pool, model, copies
    )
    cost += state.waiting[model] / max(1, copies)
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
