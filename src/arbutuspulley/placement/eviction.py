"""Room for an item that fits nowhere: unload what there is enough of, or relocate.

A relocation loads another copy of something elsewhere first. Once that copy answers,
there is one more than configured, and the next plan unloads the one in the way.
"""

from collections.abc import Iterator

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.data import Value
from arbutuspulley.placement.actions import Action, Blocked, Load, Unload
from arbutuspulley.placement.layout import (
    Layout,
    ServerLayout,
    add_planned,
    copy_layout,
    get_item_name,
    is_present,
    list_missing_adapters,
    measure_additional_mib,
    measure_bundle_mib,
    measure_free_mib,
    rank_server,
)
from arbutuspulley.placement.missing_copies import list_candidates, measure_shortage_mib
from arbutuspulley.placement.records import EntryState, LedgerEntry


class EvictionUnit(Value, frozen=True):
    """Entries of one place that go together: an adapter, or a model with its adapters.

    :param freed_mib: what is free once they are gone.
    :param cost_mib: what has to be loaded elsewhere first.
    :param steps: the next actions towards it; empty to wait for earlier ones.
    :param target: where parts have to be loaded first; empty if none has.
    :param moved: those parts.
    """

    key: str
    freed_mib: int
    cost_mib: int
    steps: tuple[Action, ...]
    target: str = ""
    moved: tuple[Item, ...] = ()


class EvictionPlan(Value, frozen=True):
    """A way to make room at a place."""

    server: str
    cost_mib: int
    steps: tuple[Action, ...]


def plan_eviction(layout: Layout, item: Item) -> tuple[Action, ...]:
    """Return the next steps towards room for an item, or what blocks it.

    The place chosen is counted as taken, so that smaller items do not fill the room
    while it is being made.
    """
    plans = [
        plan
        for server in list_candidates(layout, item)
        if (plan := _plan_server_eviction(layout, server, item)) is not None
    ]
    if not plans:
        return (_build_blocked(layout, item),)
    best = min(
        plans,
        key=lambda plan: (
            plan.cost_mib,
            len(plan.steps),
            rank_server(item.key, plan.server),
        ),
    )
    _add_planned_loads(layout, best.steps)
    add_planned(layout, layout.servers[best.server], item)
    return best.steps


def is_removable(layout: Layout, server: ServerLayout, entry: LedgerEntry) -> bool:
    """Tell whether enough other copies of a configured item answer."""
    item = layout.items.get(entry.item)
    if item is None or entry.state is not EntryState.LOADED:
        return False
    if entry.base != item.base_key:
        return False
    others = layout.answering[item.key] & layout.reliable.get(item.key, set())
    return len(others - {server.name}) >= item.copies


def _plan_server_eviction(
    layout: Layout, server: ServerLayout, item: Item
) -> EvictionPlan | None:
    """Return the cheapest way found to make room for an item at one place.

    What there is enough of goes first. Relocations are added one by one, each against
    the room that the ones before it leave, or two could count on the same room.
    """
    short = measure_shortage_mib(layout, server, item) - _measure_pending(
        layout, server
    )
    chosen: list[EvictionUnit] = []
    trial = copy_layout(layout)
    while short > 0:
        units = [
            unit
            for unit in _list_units(trial, trial.servers[server.name], item)
            if not _overlaps(server, unit, chosen)
        ]
        unit = _choose_unit(units, short)
        if unit is None:
            return None
        chosen.append(unit)
        short -= unit.freed_mib
        for part in unit.moved:
            add_planned(trial, trial.servers[unit.target], part)
    return EvictionPlan(
        server=server.name,
        cost_mib=sum(unit.cost_mib for unit in chosen),
        steps=tuple(step for unit in chosen for step in unit.steps),
    )


def _choose_unit(units: list[EvictionUnit], short: int) -> EvictionUnit | None:
    """Choose the cheapest unit that is enough; if none is, the one that frees most."""
    enough = [unit for unit in units if unit.freed_mib >= short]
    if enough:
        return min(enough, key=lambda unit: (unit.cost_mib, unit.freed_mib, unit.key))
    free = [unit for unit in units if unit.cost_mib == 0]
    return max(free or units, key=lambda unit: (unit.freed_mib, unit.key), default=None)


def _measure_pending(layout: Layout, server: ServerLayout) -> int:
    """Return the MiB that unloads under way, or soon due, will free."""
    return sum(
        _measure_freed(server, entry)
        for entry in server.entries.values()
        if entry.state is EntryState.UNLOADING or _is_retiring(layout, entry)
    )


def _is_retiring(layout: Layout, entry: LedgerEntry) -> bool:
    """Tell whether no site configures anything under the entry's name any more."""
    if entry.state is not EntryState.LOADED:
        return False
    names = {item.name for item in layout.items.values()}
    return get_item_name(entry.item) not in names


def _measure_freed(server: ServerLayout, entry: LedgerEntry) -> int:
    """Return what unloading frees: nothing if a load may still arrive late."""
    if not server.checks_orders and entry.late_loads > 0:
        return 0
    return entry.memory_mib


def _list_units(
    layout: Layout, server: ServerLayout, item: Item
) -> Iterator[EvictionUnit]:
    for key in sorted(server.entries):
        entry = server.entries[key]
        wanted = layout.items.get(key)
        if wanted is None or entry.state is not EntryState.LOADED:
            continue
        if entry.base != wanted.base_key or key == item.base_key:
            continue
        unit = _build_unit(layout, server, wanted)
        if unit is not None:
            yield unit


def _overlaps(
    server: ServerLayout, unit: EvictionUnit, chosen: list[EvictionUnit]
) -> bool:
    keys = {known.key for known in chosen}
    bases = {server.entries[key].base for key in keys}
    return bool(keys & {unit.key, server.entries[unit.key].base}) or unit.key in bases


def _build_unit(
    layout: Layout, server: ServerLayout, item: Item
) -> EvictionUnit | None:
    """Return what it takes to take an item, and adapters with it, off a place."""
    adapters = {adapter.key for adapter in layout.adapters.get(item.key, ())}
    if adapters & server.planned or list_missing_adapters(layout, server, item.key):
        return None
    parts = [
        layout.items[key]
        for key, entry in sorted(server.entries.items())
        if entry.base == item.key and key in layout.items
    ]
    parts.insert(0, item)
    entries = [server.entries[part.key] for part in parts]
    if any(entry.state is not EntryState.LOADED for entry in entries):
        return None
    freed = sum(_measure_freed(server, entry) for entry in entries)
    relocated = [part for part in parts if not _has_enough_copies(layout, server, part)]
    if freed == 0:
        return None
    if not relocated:
        steps = _build_unloads(layout, server, parts)
        return EvictionUnit(key=item.key, freed_mib=freed, cost_mib=0, steps=steps)
    cost = sum(part.memory_mib for part in relocated)
    if _is_base_loading(layout, server, relocated[0]):
        return EvictionUnit(key=item.key, freed_mib=freed, cost_mib=cost, steps=())
    target = _find_target(layout, server, relocated)
    if target is None:
        return None
    return EvictionUnit(
        key=item.key,
        freed_mib=freed,
        cost_mib=cost,
        steps=(Load(server=target.name, item=relocated[0]),),
        target=target.name,
        moved=tuple(relocated),
    )


def _has_enough_copies(layout: Layout, server: ServerLayout, item: Item) -> bool:
    """Tell whether enough other copies answer, or are being loaded."""
    return len(layout.holding[item.key] - {server.name}) >= item.copies


def _build_unloads(
    layout: Layout, server: ServerLayout, parts: list[Item]
) -> tuple[Action, ...]:
    """Return the unloads that can be ordered now; adapters go before their model."""
    adapters = parts[1:]
    ready = [part for part in adapters or parts if _can_unload(layout, server, part)]
    return tuple(
        Unload(server=server.name, item=part.key, min_copies=part.copies)
        for part in ready
    )


def _can_unload(layout: Layout, server: ServerLayout, item: Item) -> bool:
    return is_removable(layout, server, server.entries[item.key])


def _find_target(
    layout: Layout, source: ServerLayout, parts: list[Item]
) -> ServerLayout | None:
    """Return the place with the least room that takes all parts."""
    fitting = [
        server
        for server in layout.servers.values()
        if server is not source and _fits(layout, server, parts)
    ]
    return min(
        fitting,
        key=lambda server: (
            measure_free_mib(layout, server),
            rank_server(parts[0].key, server.name),
        ),
        default=None,
    )


def _is_base_loading(layout: Layout, source: ServerLayout, item: Item) -> bool:
    """Tell whether an adapter's model is being loaded elsewhere: then wait for it."""
    if not item.base_key:
        return False
    elsewhere = layout.holding[item.base_key] - {source.name}
    return bool(elsewhere - layout.answering[item.base_key])


def _fits(layout: Layout, server: ServerLayout, parts: list[Item]) -> bool:
    if any(is_present(server, part.key) for part in parts):
        return False
    first = parts[0]
    if first.base_key and server.name not in layout.answering.get(first.base_key, ()):
        return False
    needed = sum(measure_additional_mib(server, part) for part in parts)
    return needed <= measure_free_mib(layout, server)


def _add_planned_loads(layout: Layout, steps: tuple[Action, ...]) -> None:
    for step in steps:
        if isinstance(step, Load):
            add_planned(layout, layout.servers[step.server], step.item)


def _build_blocked(layout: Layout, item: Item) -> Blocked:
    free_mib = {
        server.name: measure_free_mib(layout, server)
        for server in list_candidates(layout, item)
    }
    if not free_mib:
        base = f" beside {item.base_key}" if item.base_key else ""
        detail = f"no server may take another copy of {item.key}{base}"
        return Blocked(item=item.key, detail=detail)
    largest = max(sorted(free_mib), key=lambda name: free_mib[name])
    needed = measure_bundle_mib(layout, layout.servers[largest], item)
    beside = " with its adapters" if needed > item.memory_mib else ""
    detail = (
        f"{item.key}{beside} needs {needed} MiB; the most room is"
        f" {free_mib[largest]} MiB on {largest}, {sum(free_mib.values())} MiB on all"
        f" {len(free_mib)} servers together, and nothing on them can be relocated"
    )
    return Blocked(item=item.key, detail=detail)
