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
    measure_extra,
    measure_free_mib,
    rank_place,
)

HALF_LIFE_MS = 30_000
"""Time after which a change of demand counts by half."""

SLOT_TOKENS_PER_S = 27.0
"""Tokens a second that one slot yields within the target of 37 ms between tokens."""

BUSY_SHARE = 0.8
"""Share of its capacity that a server carries before requests come late."""

HORIZON_S = 600
"""How far ahead gain and cost are compared; demand moves by half in that time if it
moves tenfold in an hour."""

STALL_S = 5
"""Time for which a load may hold up what its server runs."""

LOWEST_PRICE = 0.1
"""Price of a load or unload at moves weight 0, as share of a server's capacity."""

HIGHEST_PRICE = 0.2
"""Price of a load or unload at moves weight 1."""

SHORTEST_WAIT_MS = 5_000
"""Time for which a move must be worth it at moves weight 0."""

LONGEST_WAIT_MS = 60_000
"""Time for which a move must be worth it at moves weight 1."""


class DemandState(State):
    """What an instance remembers of demand between plans.

    :param smoothed: tokens a second by item.
    :param updated_at: when it was last updated.
    :param worth_since: when a move was first seen to be worth it, by item.
    """

    smoothed: dict[str, float] = {}
    updated_at: int = 0
    worth_since: dict[str, int] = {}


class Move(Value, frozen=True):
    """One more copy of an item.

    :param item: what callers ask for; an adapter may first need its model.
    :param gain: tokens a second brought within the target.
    :param surplus: gain less cost, in the same unit; worth it if above 0.
    """

    item: Item
    server: str
    gain: float
    surplus: float


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
    worth = _list_worth(layout, state.smoothed, loads, moves_weight)
    state.worth_since = {
        move.item.key: state.worth_since.get(move.item.key, now) for move in worth
    }
    wait_ms = _blend(SHORTEST_WAIT_MS, LONGEST_WAIT_MS, moves_weight)
    for move in worth:
        if now - state.worth_since[move.item.key] < wait_ms:
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


def measure_capacity(place: ServerLayout) -> float:
    """Return the tokens a second that a server yields within the target."""
    return place.slots * SLOT_TOKENS_PER_S


def _list_worth(
    layout: Layout,
    demand: Mapping[str, float],
    loads: Mapping[str, float],
    moves_weight: float,
) -> list[Move]:
    """Return all moves worth their cost, the best one first."""
    late = {name for name in loads if _measure_late(layout.servers[name], loads[name])}
    moves = [
        _weigh(layout, item, place, demand, loads, moves_weight)
        for key, item in layout.items.items()
        if demand.get(key, 0.0) > 0 and late & layout.holding[key]
        for place in layout.servers.values()
        if not is_present(place, key)
    ]
    return sorted(
        (move for move in moves if move.surplus > 0),
        key=lambda move: (
            -move.surplus,
            move.item.key,
            rank_place(move.item.key, move.server),
        ),
    )


def _weigh(
    layout: Layout,
    item: Item,
    place: ServerLayout,
    demand: Mapping[str, float],
    loads: Mapping[str, float],
    moves_weight: float,
) -> Move:
    holders = layout.holding[item.key]
    before = demand[item.key] / len(holders)
    after = demand[item.key] / (len(holders) + 1)
    gain = sum(
        _measure_late(layout.servers[name], loads[name])
        - _measure_late(layout.servers[name], loads[name] - before + after)
        for name in holders
    )
    gain += _measure_late(place, loads[place.name])
    gain -= _measure_late(place, loads[place.name] + after)
    price = _blend(LOWEST_PRICE, HIGHEST_PRICE, moves_weight) * measure_capacity(place)
    price *= _count_steps(layout, item, place)
    stall = loads[place.name] * STALL_S / HORIZON_S
    return Move(item=item, server=place.name, gain=gain, surplus=gain - price - stall)


def _count_steps(layout: Layout, item: Item, place: ServerLayout) -> int:
    """Return how many loads and unloads a move takes."""
    steps = 1
    needed = measure_extra(place, item)
    if item.base_key and not is_present(place, item.base_key):
        steps += 1
        needed += measure_extra(place, layout.items[item.base_key])
    return steps + int(needed > measure_free_mib(layout, place))


def _measure_late(place: ServerLayout, load: float) -> float:
    return max(0.0, load - BUSY_SHARE * measure_capacity(place))


def _blend(least: float, most: float, weight: float) -> float:
    return least + (most - least) * weight


def _list_steps(
    layout: Layout, move: Move, loads: Mapping[str, float], demand: Mapping[str, float]
) -> tuple[Load | Unload, ...]:
    """Return the next step of a move: its model first, or room for it."""
    place = layout.servers[move.server]
    item = move.item
    if item.base_key and place.name not in layout.answering.get(item.base_key, ()):
        if is_present(place, item.base_key):
            return ()
        item = layout.items[item.base_key]
    short = measure_extra(place, item) - measure_free_mib(layout, place)
    if short <= 0:
        return (Load(server=place.name, item=item),)
    for loss, spare in sorted(_list_spares(layout, place, loads, demand)):
        entry = place.entries[spare]
        if entry.memory_mib >= short and loss < move.surplus / 2:
            return (
                Unload(
                    server=place.name, item=spare, min_copies=layout.items[spare].copies
                ),
            )
    return ()


def _list_spares(
    layout: Layout,
    place: ServerLayout,
    loads: Mapping[str, float],
    demand: Mapping[str, float],
) -> Iterator[tuple[float, str]]:
    """Yield extra copies at a place, with the tokens a second made late without."""
    for key, entry in place.entries.items():
        if not is_removable(layout, place, entry):
            continue
        if any(known.base == key for known in place.entries.values()):
            continue
        if not place.checks_orders and entry.late_loads > 0:
            continue
        yield _measure_loss(layout, place, key, loads, demand), key


def _measure_loss(
    layout: Layout,
    place: ServerLayout,
    key: str,
    loads: Mapping[str, float],
    demand: Mapping[str, float],
) -> float:
    others = layout.holding[key] - {place.name}
    share = demand.get(key, 0.0) / len(layout.holding[key])
    more = share / len(others)
    return sum(
        _measure_late(layout.servers[name], loads[name] + more)
        - _measure_late(layout.servers[name], loads[name])
        for name in others
    )
