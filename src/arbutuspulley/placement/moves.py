"""Loads extra copies, beyond the configured ones, where demand justifies the move.

A move is worthwhile if the additional tokens served within the latency target over
:data:`HORIZON_S` exceed its cost: the risk that the server stalls during the load, plus
a cost that grows with the operators' weight on moves. It must stay worthwhile for some
time, so that a burst of demand causes no move. An extra copy is unloaded only when its
memory is needed, never because of low demand, so that fluctuating demand causes no
moves either.
"""

from collections.abc import Iterator, Mapping

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.data import State, Value
from arbutuspulley.placement.actions import Load, Unload
from arbutuspulley.placement.eviction import is_removable
from arbutuspulley.placement.layout import (
    Layout,
    ServerLayout,
    is_present,
    measure_additional_mib,
    measure_free_mib,
    rank_server,
)

HALF_LIFE_MS = 30_000
"""Half-life of the moving average of demand."""

SLOT_TOKENS_PER_S = 27.0
"""Token rate of one slot within the target of 37 ms between tokens."""

MAX_UTILISATION = 0.8
"""Fraction of a server's capacity above which requests miss the latency target."""

HORIZON_S = 600
"""Time over which gain and cost are compared; demand that changes tenfold in an hour
changes by half in this time."""

LOAD_STALL_S = 5
"""Time for which a load may stall the requests that run on its server."""

MIN_MOVE_COST = 0.1
"""Cost of a load or unload at moves weight 0, as a fraction of server capacity."""

MAX_MOVE_COST = 0.2
"""Cost of a load or unload at moves weight 1, as a fraction of server capacity."""

MIN_MOVE_DELAY_MS = 5_000
"""Time for which a move must stay worthwhile at moves weight 0."""

MAX_MOVE_DELAY_MS = 60_000
"""Time for which a move must stay worthwhile at moves weight 1."""


class MoveState(State):
    """Demand and candidate moves that an instance keeps between plans.

    :param smoothed: moving average of demand by item, in tokens per second.
    :param updated_at: time of the last update, in milliseconds.
    :param worthwhile_since: time since which a move has been worthwhile, by item.
    """

    smoothed: dict[str, float] = {}
    updated_at: int = 0
    worthwhile_since: dict[str, int] = {}


class Move(Value, frozen=True):
    """A candidate for one more copy of an item.

    :param item: the item in demand; an adapter may need its model loaded first.
    :param gain: additional tokens per second served within the latency target.
    :param net_gain: gain less cost, in the same unit; worthwhile if above 0.
    """

    item: Item
    server: str
    gain: float
    net_gain: float


def smooth_demand(state: MoveState, demand: Mapping[str, float], *, now: int) -> None:
    """Update the moving average with current demand, in tokens per second by item."""
    passed = now - state.updated_at if state.smoothed else 10 * HALF_LIFE_MS
    kept = 0.5 ** (passed / HALF_LIFE_MS)
    state.smoothed = {
        key: kept * state.smoothed.get(key, 0.0) + (1 - kept) * demand.get(key, 0.0)
        for key in state.smoothed.keys() | demand.keys()
    }
    state.updated_at = now


def propose_move(
    state: MoveState, layout: Layout, *, moves_weight: float, now: int
) -> tuple[Load | Unload, ...]:
    """Return the steps of the move with the highest net gain.

    Only moves that have been worthwhile long enough are considered.

    :param moves_weight: 0 considers attainment of the target only, 1 avoids moves most.
    """
    loads = measure_loads(layout, state.smoothed)
    worthwhile = _list_worthwhile_moves(layout, state.smoothed, loads, moves_weight)
    state.worthwhile_since = {
        move.item.key: state.worthwhile_since.get(move.item.key, now)
        for move in worthwhile
    }
    delay_ms = _interpolate(MIN_MOVE_DELAY_MS, MAX_MOVE_DELAY_MS, moves_weight)
    for move in worthwhile:
        if now - state.worthwhile_since[move.item.key] < delay_ms:
            continue
        steps = _list_steps(layout, move, loads, state.smoothed)
        if steps:
            return steps
    return ()


def measure_loads(layout: Layout, demand: Mapping[str, float]) -> dict[str, float]:
    """Return the tokens per second of each server; copies share demand evenly."""
    loads = dict.fromkeys(layout.servers, 0.0)
    for key, holders in layout.holding.items():
        for name in holders:
            loads[name] += demand.get(key, 0.0) / len(holders)
    return loads


def measure_token_capacity(server: ServerLayout) -> float:
    """Return the tokens per second that a server yields within the latency target."""
    return server.slots * SLOT_TOKENS_PER_S


def _list_worthwhile_moves(
    layout: Layout,
    demand: Mapping[str, float],
    loads: Mapping[str, float],
    moves_weight: float,
) -> list[Move]:
    """Return all moves whose gain exceeds their cost, best first."""
    overloaded = {
        name for name in loads if _measure_overload(layout.servers[name], loads[name])
    }
    moves = [
        _evaluate_move(layout, item, server, demand, loads, moves_weight)
        for key, item in layout.items.items()
        if demand.get(key, 0.0) > 0 and overloaded & layout.holding[key]
        for server in layout.servers.values()
        if not is_present(server, key)
    ]
    return sorted(
        (move for move in moves if move.net_gain > 0),
        key=lambda move: (
            -move.net_gain,
            move.item.key,
            rank_server(move.item.key, move.server),
        ),
    )


def _evaluate_move(
    layout: Layout,
    item: Item,
    server: ServerLayout,
    demand: Mapping[str, float],
    loads: Mapping[str, float],
    moves_weight: float,
) -> Move:
    holders = layout.holding[item.key]
    before = demand[item.key] / len(holders)
    after = demand[item.key] / (len(holders) + 1)
    gain = sum(
        _measure_overload(layout.servers[name], loads[name])
        - _measure_overload(layout.servers[name], loads[name] - before + after)
        for name in holders
    )
    gain += _measure_overload(server, loads[server.name])
    gain -= _measure_overload(server, loads[server.name] + after)
    cost = _interpolate(
        MIN_MOVE_COST, MAX_MOVE_COST, moves_weight
    ) * measure_token_capacity(server)
    cost *= _count_steps(layout, item, server)
    stall = loads[server.name] * LOAD_STALL_S / HORIZON_S
    return Move(item=item, server=server.name, gain=gain, net_gain=gain - cost - stall)


def _count_steps(layout: Layout, item: Item, server: ServerLayout) -> int:
    """Return the number of loads and unloads of a move."""
    steps = 1
    needed = measure_additional_mib(server, item)
    if item.base_key and not is_present(server, item.base_key):
        steps += 1
        needed += measure_additional_mib(server, layout.items[item.base_key])
    return steps + int(needed > measure_free_mib(layout, server))


def _measure_overload(server: ServerLayout, load: float) -> float:
    return max(0.0, load - MAX_UTILISATION * measure_token_capacity(server))


def _interpolate(low: float, high: float, weight: float) -> float:
    return low + (high - low) * weight


def _list_steps(
    layout: Layout, move: Move, loads: Mapping[str, float], demand: Mapping[str, float]
) -> tuple[Load | Unload, ...]:
    """Return the next step of a move: load its model first, or free memory for it."""
    server = layout.servers[move.server]
    item = move.item
    if item.base_key and server.name not in layout.ready.get(item.base_key, ()):
        if is_present(server, item.base_key):
            return ()
        item = layout.items[item.base_key]
    shortage_mib = measure_additional_mib(server, item) - measure_free_mib(
        layout, server
    )
    if shortage_mib <= 0:
        return (Load(server=server.name, item=item),)
    for loss, removable in sorted(
        _list_removable_copies(layout, server, loads, demand)
    ):
        entry = server.entries[removable]
        if entry.memory_mib >= shortage_mib and loss < move.net_gain / 2:
            return (
                Unload(
                    server=server.name,
                    item=removable,
                    min_copies=layout.items[removable].copies,
                ),
            )
    return ()


def _list_removable_copies(
    layout: Layout,
    server: ServerLayout,
    loads: Mapping[str, float],
    demand: Mapping[str, float],
) -> Iterator[tuple[float, str]]:
    """Yield the loss and the item key of each removable copy of a server.

    The loss is the demand, in tokens per second, that would miss the latency target
    without the copy.
    """
    for key, entry in server.entries.items():
        if not is_removable(layout, server, entry):
            continue
        if any(known.base == key for known in server.entries.values()):
            continue
        if not server.checks_orders and entry.late_loads > 0:
            continue
        yield _estimate_loss(layout, server, key, loads, demand), key


def _estimate_loss(
    layout: Layout,
    server: ServerLayout,
    key: str,
    loads: Mapping[str, float],
    demand: Mapping[str, float],
) -> float:
    others = layout.holding[key] - {server.name}
    share = demand.get(key, 0.0) / len(layout.holding[key])
    more = share / len(others)
    return sum(
        _measure_overload(layout.servers[name], loads[name] + more)
        - _measure_overload(layout.servers[name], loads[name])
        for name in others
    )
