"""Frees memory for an item that fits on no server, by unloading or relocating items.

Items with redundant copies are unloaded. A relocation first loads another copy of an
item on a different server. Once that copy is ready, the item has one copy more than
configured, and the next plan unloads the one that occupies the needed memory.
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
from arbutuspulley.placement.records import LedgerEntry, LedgerEntryState


class EvictionUnit(Value, frozen=True):
    """Items of one server evicted together: an adapter, or a model and its adapters.

    :param key: key of the adapter or the model.
    :param freed_mib: memory that is free once they are unloaded.
    :param cost_mib: memory of the items that must be loaded on another server first.
    :param steps: next actions; empty to wait for earlier actions.
    :param target: server on which items must be loaded first; empty if none must.
    :param moved: the items to load there.
    """

    key: str
    freed_mib: int
    cost_mib: int
    steps: tuple[Action, ...]
    target: str = ""
    moved: tuple[Item, ...] = ()


class EvictionPlan(Value, frozen=True):
    """Evictions that free enough memory on a server."""

    server: str
    cost_mib: int
    steps: tuple[Action, ...]


def plan_eviction(layout: Layout, item: Item) -> tuple[Action, ...]:
    """Return the next steps that free memory for an item, or why it is blocked.

    The item is counted as planned on the chosen server, so that smaller items do not
    use the memory while it is being freed.
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
    """Return whether enough other copies of a configured item are ready."""
    item = layout.items.get(entry.item)
    if item is None or entry.state is not LedgerEntryState.LOADED:
        return False
    if entry.base != item.base_key:
        return False
    others = layout.ready[item.key] & layout.reliable.get(item.key, set())
    return len(others - {server.name}) >= item.copies


def _plan_server_eviction(
    layout: Layout, server: ServerLayout, item: Item
) -> EvictionPlan | None:
    """Return the cheapest evictions found for an item on one server.

    Items with redundant copies are evicted first. Relocations are added one by one,
    each against the memory that the previous ones leave free; otherwise two of them
    could rely on the same memory.
    """
    shortage_mib = measure_shortage_mib(layout, server, item) - _measure_pending(
        layout, server
    )
    chosen: list[EvictionUnit] = []
    tentative = copy_layout(layout)
    while shortage_mib > 0:
        units = [
            unit
            for unit in _list_units(tentative, tentative.servers[server.name], item)
            if not _overlaps(server, unit, chosen)
        ]
        unit = _choose_unit(units, shortage_mib)
        if unit is None:
            return None
        chosen.append(unit)
        shortage_mib -= unit.freed_mib
        for part in unit.moved:
            add_planned(tentative, tentative.servers[unit.target], part)
    return EvictionPlan(
        server=server.name,
        cost_mib=sum(unit.cost_mib for unit in chosen),
        steps=tuple(step for unit in chosen for step in unit.steps),
    )


def _choose_unit(units: list[EvictionUnit], shortage_mib: int) -> EvictionUnit | None:
    """Return the cheapest unit that frees enough, or else the one that frees most."""
    enough = [unit for unit in units if unit.freed_mib >= shortage_mib]
    if enough:
        return min(enough, key=lambda unit: (unit.cost_mib, unit.freed_mib, unit.key))
    free = [unit for unit in units if unit.cost_mib == 0]
    return max(free or units, key=lambda unit: (unit.freed_mib, unit.key), default=None)


def _measure_pending(layout: Layout, server: ServerLayout) -> int:
    """Return the memory in MiB that running and upcoming unloads will free."""
    return sum(
        _measure_freed(server, entry)
        for entry in server.entries.values()
        if entry.state is LedgerEntryState.UNLOADING or _is_retiring(layout, entry)
    )


def _is_retiring(layout: Layout, entry: LedgerEntry) -> bool:
    """Return whether no site configures the entry's name any more."""
    if entry.state is not LedgerEntryState.LOADED:
        return False
    names = {item.name for item in layout.items.values()}
    return get_item_name(entry.item) not in names


def _measure_freed(server: ServerLayout, entry: LedgerEntry) -> int:
    """Return the memory that an unload frees: none if a late load may still arrive."""
    if not server.checks_orders and entry.late_loads > 0:
        return 0
    return entry.memory_mib


def _list_units(
    layout: Layout, server: ServerLayout, item: Item
) -> Iterator[EvictionUnit]:
    for key in sorted(server.entries):
        entry = server.entries[key]
        wanted = layout.items.get(key)
        if wanted is None or entry.state is not LedgerEntryState.LOADED:
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
    """Return the unit that removes an item and its adapters from a server.

    :return: ``None`` if they cannot be removed now, or if no memory would be freed.
    """
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
    if any(entry.state is not LedgerEntryState.LOADED for entry in entries):
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
    """Return whether enough other copies are ready or being loaded."""
    return len(layout.holding[item.key] - {server.name}) >= item.copies


def _build_unloads(
    layout: Layout, server: ServerLayout, parts: list[Item]
) -> tuple[Action, ...]:
    """Return the unloads that are possible now; adapters go before their model."""
    adapters = parts[1:]
    unloadable = [
        part for part in adapters or parts if _can_unload(layout, server, part)
    ]
    return tuple(
        Unload(server=server.name, item=part.key, min_copies=part.copies)
        for part in unloadable
    )


def _can_unload(layout: Layout, server: ServerLayout, item: Item) -> bool:
    return is_removable(layout, server, server.entries[item.key])


def _find_target(
    layout: Layout, source: ServerLayout, parts: list[Item]
) -> ServerLayout | None:
    """Return the server with the least free memory on which all parts fit."""
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
    """Return whether an adapter's model is being loaded on another server.

    The relocation then waits for that copy.
    """
    if not item.base_key:
        return False
    elsewhere = layout.holding[item.base_key] - {source.name}
    return bool(elsewhere - layout.ready[item.base_key])


def _fits(layout: Layout, server: ServerLayout, parts: list[Item]) -> bool:
    if any(is_present(server, part.key) for part in parts):
        return False
    first = parts[0]
    if first.base_key and server.name not in layout.ready.get(first.base_key, ()):
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
        detail = f"no server can load another copy of {item.key}{base}"
        return Blocked(item=item.key, detail=detail)
    largest = max(sorted(free_mib), key=lambda name: free_mib[name])
    needed = measure_bundle_mib(layout, layout.servers[largest], item)
    suffix = " with its adapters" if needed > item.memory_mib else ""
    detail = (
        f"{item.key}{suffix} needs {needed} MiB; the most room is"
        f" {free_mib[largest]} MiB on {largest}, {sum(free_mib.values())} MiB on all"
        f" {len(free_mib)} servers together, and nothing on them can be relocated"
    )
    return Blocked(item=item.key, detail=detail)
