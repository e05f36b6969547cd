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
    find_name,
    is_present,
    list_missing_adapters,
    measure_bundle,
    measure_extra,
    measure_free_mib,
    rank_place,
)
from arbutuspulley.placement.missing_copies import list_candidates, measure_shortage
from arbutuspulley.placement.records import EntryState, LedgerEntry


class Unit(Value, frozen=True):
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


class Clearing(Value, frozen=True):
    """A way to make room at a place."""

    place: str
    cost_mib: int
    steps: tuple[Action, ...]


def make_room(layout: Layout, item: Item) -> tuple[Action, ...]:
    """Return the next steps towards room for an item, or what blocks it.

    The place chosen is counted as taken, so that smaller items do not fill the room
    while it is being made.
    """
    clearings = [
        clearing
        for place in list_candidates(layout, item)
        if (clearing := _clear(layout, place, item)) is not None
    ]
    if not clearings:
        return (_explain(layout, item),)
    best = min(
        clearings,
        key=lambda way: (way.cost_mib, len(way.steps), rank_place(item.key, way.place)),
    )
    _count_loads(layout, best.steps)
    add_planned(layout, layout.servers[best.place], item)
    return best.steps


def is_removable(layout: Layout, place: ServerLayout, entry: LedgerEntry) -> bool:
    """Tell whether enough other copies of a configured item answer."""
    item = layout.items.get(entry.item)
    if item is None or entry.state is not EntryState.LOADED:
        return False
    if entry.base != item.base_key:
        return False
    others = layout.answering[item.key] & layout.reliable.get(item.key, set())
    return len(others - {place.name}) >= item.copies


def _clear(layout: Layout, place: ServerLayout, item: Item) -> Clearing | None:
    """Return the cheapest way found to make room for an item at one place.

    What there is enough of goes first. Relocations are added one by one, each against
    the room that the ones before it leave, or two could count on the same room.
    """
    short = measure_shortage(layout, place, item) - _measure_pending(layout, place)
    chosen: list[Unit] = []
    trial = copy_layout(layout)
    while short > 0:
        units = [
            unit
            for unit in _list_units(trial, trial.servers[place.name], item)
            if not _overlaps(place, unit, chosen)
        ]
        unit = _choose_unit(units, short)
        if unit is None:
            return None
        chosen.append(unit)
        short -= unit.freed_mib
        for part in unit.moved:
            add_planned(trial, trial.servers[unit.target], part)
    return Clearing(
        place=place.name,
        cost_mib=sum(unit.cost_mib for unit in chosen),
        steps=tuple(step for unit in chosen for step in unit.steps),
    )


def _choose_unit(units: list[Unit], short: int) -> Unit | None:
    """Choose the cheapest unit that is enough; if none is, the one that frees most."""
    enough = [unit for unit in units if unit.freed_mib >= short]
    if enough:
        return min(enough, key=lambda unit: (unit.cost_mib, unit.freed_mib, unit.key))
    free = [unit for unit in units if unit.cost_mib == 0]
    return max(free or units, key=lambda unit: (unit.freed_mib, unit.key), default=None)


def _measure_pending(layout: Layout, place: ServerLayout) -> int:
    """Return the MiB that unloads under way, or soon due, will free."""
    return sum(
        _measure_freed(place, entry)
        for entry in place.entries.values()
        if entry.state is EntryState.UNLOADING or _is_retiring(layout, entry)
    )


def _is_retiring(layout: Layout, entry: LedgerEntry) -> bool:
    """Tell whether no site configures anything under the entry's name any more."""
    if entry.state is not EntryState.LOADED:
        return False
    names = {item.name for item in layout.items.values()}
    return find_name(entry.item) not in names


def _measure_freed(place: ServerLayout, entry: LedgerEntry) -> int:
    """Return what unloading frees: nothing if a load may still arrive late."""
    if not place.checks_orders and entry.late_loads > 0:
        return 0
    return entry.memory_mib


def _list_units(layout: Layout, place: ServerLayout, item: Item) -> Iterator[Unit]:
    for key in sorted(place.entries):
        entry = place.entries[key]
        wanted = layout.items.get(key)
        if wanted is None or entry.state is not EntryState.LOADED:
            continue
        if entry.base != wanted.base_key or key == item.base_key:
            continue
        unit = _build_unit(layout, place, wanted)
        if unit is not None:
            yield unit


def _overlaps(place: ServerLayout, unit: Unit, chosen: list[Unit]) -> bool:
    keys = {known.key for known in chosen}
    bases = {place.entries[key].base for key in keys}
    return bool(keys & {unit.key, place.entries[unit.key].base}) or unit.key in bases


def _build_unit(layout: Layout, place: ServerLayout, item: Item) -> Unit | None:
    """Return what it takes to take an item, and adapters with it, off a place."""
    adapters = {adapter.key for adapter in layout.adapters.get(item.key, ())}
    if adapters & place.planned or list_missing_adapters(layout, place, item.key):
        return None
    parts = [
        layout.items[key]
        for key, entry in sorted(place.entries.items())
        if entry.base == item.key and key in layout.items
    ]
    parts.insert(0, item)
    entries = [place.entries[part.key] for part in parts]
    if any(entry.state is not EntryState.LOADED for entry in entries):
        return None
    freed = sum(_measure_freed(place, entry) for entry in entries)
    kept = [part for part in parts if not _is_spare(layout, place, part)]
    if freed == 0:
        return None
    if not kept:
        steps = _build_unloads(layout, place, parts)
        return Unit(key=item.key, freed_mib=freed, cost_mib=0, steps=steps)
    cost = sum(part.memory_mib for part in kept)
    if _is_base_coming(layout, place, kept[0]):
        return Unit(key=item.key, freed_mib=freed, cost_mib=cost, steps=())
    target = _find_target(layout, place, kept)
    if target is None:
        return None
    return Unit(
        key=item.key,
        freed_mib=freed,
        cost_mib=cost,
        steps=(Load(server=target.name, item=kept[0]),),
        target=target.name,
        moved=tuple(kept),
    )


def _is_spare(layout: Layout, place: ServerLayout, item: Item) -> bool:
    """Tell whether enough other copies answer, or are being loaded."""
    return len(layout.holding[item.key] - {place.name}) >= item.copies


def _build_unloads(
    layout: Layout, place: ServerLayout, parts: list[Item]
) -> tuple[Action, ...]:
    """Return the unloads that can be ordered now; adapters go before their model."""
    adapters = parts[1:]
    ready = [part for part in adapters or parts if _can_unload(layout, place, part)]
    return tuple(
        Unload(server=place.name, item=part.key, min_copies=part.copies)
        for part in ready
    )


def _can_unload(layout: Layout, place: ServerLayout, item: Item) -> bool:
    return is_removable(layout, place, place.entries[item.key])


def _find_target(
    layout: Layout, source: ServerLayout, parts: list[Item]
) -> ServerLayout | None:
    """Return the place with the least room that takes all parts."""
    fitting = [
        place
        for place in layout.servers.values()
        if place is not source and _takes(layout, place, parts)
    ]
    return min(
        fitting,
        key=lambda place: (
            measure_free_mib(layout, place),
            rank_place(parts[0].key, place.name),
        ),
        default=None,
    )


def _is_base_coming(layout: Layout, source: ServerLayout, item: Item) -> bool:
    """Tell whether an adapter's model is being loaded elsewhere: then wait for it."""
    if not item.base_key:
        return False
    elsewhere = layout.holding[item.base_key] - {source.name}
    return bool(elsewhere - layout.answering[item.base_key])


def _takes(layout: Layout, place: ServerLayout, parts: list[Item]) -> bool:
    if any(is_present(place, part.key) for part in parts):
        return False
    first = parts[0]
    if first.base_key and place.name not in layout.answering.get(first.base_key, ()):
        return False
    needed = sum(measure_extra(place, part) for part in parts)
    return needed <= measure_free_mib(layout, place)


def _count_loads(layout: Layout, steps: tuple[Action, ...]) -> None:
    for step in steps:
        if isinstance(step, Load):
            add_planned(layout, layout.servers[step.server], step.item)


def _explain(layout: Layout, item: Item) -> Blocked:
    rooms = {
        place.name: measure_free_mib(layout, place)
        for place in list_candidates(layout, item)
    }
    if not rooms:
        base = f" beside {item.base_key}" if item.base_key else ""
        detail = f"no server may take another copy of {item.key}{base}"
        return Blocked(item=item.key, detail=detail)
    roomiest = max(sorted(rooms), key=lambda name: rooms[name])
    needed = measure_bundle(layout, layout.servers[roomiest], item)
    beside = " with its adapters" if needed > item.memory_mib else ""
    detail = (
        f"{item.key}{beside} needs {needed} MiB; the most room is"
        f" {rooms[roomiest]} MiB on {roomiest}, {sum(rooms.values())} MiB on all"
        f" {len(rooms)} servers together, and nothing on them can be relocated"
    )
    return Blocked(item=item.key, detail=detail)
