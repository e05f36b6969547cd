"""Copies beyond the configured ones, where demand makes them worth their move.

A move is worth it if the tokens that it brings within the target over the next while
are more than what it costs: the risk that the server stalls while it loads, and a price
that grows with the operators' weight on moves. It must stay worth it for a while, so
that a burst moves nothing. An extra copy is never unloaded for low demand, only for
room; so demand that goes up and down moves nothing either.
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
"""Time after which a change of demand counts by half."""

SLOT_TOKENS_PER_S = 27.0
"""Tokens a second that one slot yields within the target of 37 ms between tokens."""

MAX_UTILISATION = 0.8
"""Share of its capacity that a server carries before requests come late."""

HORIZON_S = 600
"""How far ahead gain and cost are compared; demand moves by half in that time if it
moves tenfold in an hour."""

LOAD_STALL_S = 5
"""Time for which a load may hold up what its server runs."""

MIN_MOVE_COST = 0.1
"""Price of a load or unload at moves weight 0, as share of a server's capacity."""

MAX_MOVE_COST = 0.2
"""Price of a load or unload at moves weight 1."""

MIN_MOVE_DELAY_MS = 5_000
"""Time for which a move must be worth it at moves weight 0."""

MAX_MOVE_DELAY_MS = 60_000
"""Time for which a move must be worth it at moves weight 1."""


class DemandState(State):
    """What an instance remembers of demand between plans.

    :param smoothed: tokens a second by item.
    :param updated_at: when it was last updated.
    :param worth_since: when a move was first seen to be worth it, by item.
    """

    smoothed: dict[str, float] = {}
    updated_at: int = 0
    worthwhile_since: dict[str, int] = {}


class Move(Value, frozen=True):
    """One more copy of an item.

    :param item: what callers ask for; an adapter may first need its model.
    :param gain: tokens a second brought within the target.
    :param surplus: gain less cost, in the same unit; worth it if above 0.
    """

    item: Item
    server: str
    gain: float
    net_gain: float


def smooth_demand(state: DemandState, demand: Mapping[str, float], *, now: int) -> None:
    """Take in demand as now measured, in tokens a second by item."""
    passed = now - state.updated_at if state.smoothed else 10 * HALF_LIFE_MS
    kept = 0.5 ** (passed / HALF_LIFE_MS)
    state.smoothed = {
        key: kept * state.smoothed.get(key, 0.0) + (1 - kept) * demand.get(key, 0.0)
        for key in state.smoothed.keys() | demand.keys()
    }
    state.updated_at = now


def propose_move(
    state: DemandState, layout: Layout, *, moves_weight: float, now: int
) -> tuple[Load | Unload, ...]:
    """Return the steps of the one move that is worth most, if any has been for long.

    :param moves_weight: 0 looks at attainment alone, 1 avoids moves the most.
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
    """Return the tokens a second that each server gets, copies sharing evenly."""
    loads = dict.fromkeys(layout.servers, 0.0)
    for key, holders in layout.holding.items():
        for name in holders:
            loads[name] += demand.get(key, 0.0) / len(holders)
    return loads


def measure_capacity(server: ServerLayout) -> float:
    """Return the tokens a second that a server yields within the target."""
    return server.slots * SLOT_TOKENS_PER_S


def _list_worthwhile_moves(
    layout: Layout,
    demand: Mapping[str, float],
    loads: Mapping[str, float],
    moves_weight: float,
) -> list[Move]:
    """Return all moves worth their cost, the best one first."""
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
    cost = _interpolate(MIN_MOVE_COST, MAX_MOVE_COST, moves_weight) * measure_capacity(
        server
    )
    cost *= _count_steps(layout, item, server)
    stall = loads[server.name] * LOAD_STALL_S / HORIZON_S
    return Move(item=item, server=server.name, gain=gain, net_gain=gain - cost - stall)


def _count_steps(layout: Layout, item: Item, server: ServerLayout) -> int:
    """Return how many loads and unloads a move takes."""
    steps = 1
    needed = measure_additional_mib(server, item)
    if item.base_key and not is_present(server, item.base_key):
        steps += 1
        needed += measure_additional_mib(server, layout.items[item.base_key])
    return steps + int(needed > measure_free_mib(layout, server))


def _measure_overload(server: ServerLayout, load: float) -> float:
    return max(0.0, load - MAX_UTILISATION * measure_capacity(server))


def _interpolate(low: float, high: float, weight: float) -> float:
    return low + (high - low) * weight


def _list_steps(
    layout: Layout, move: Move, loads: Mapping[str, float], demand: Mapping[str, float]
) -> tuple[Load | Unload, ...]:
    """Return the next step of a move: its model first, or room for it."""
    server = layout.servers[move.server]
    item = move.item
    if item.base_key and server.name not in layout.answering.get(item.base_key, ()):
        if is_present(server, item.base_key):
            return ()
        item = layout.items[item.base_key]
    short = measure_additional_mib(server, item) - measure_free_mib(layout, server)
    if short <= 0:
        return (Load(server=server.name, item=item),)
    for loss, removable in sorted(
        _list_removable_copies(layout, server, loads, demand)
    ):
        entry = server.entries[removable]
        if entry.memory_mib >= short and loss < move.net_gain / 2:
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
    """Yield extra copies at a place, with the tokens a second made late without."""
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
