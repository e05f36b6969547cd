"""Copies that the configuration asks for and that are not there yet."""

import enum
import math
from collections.abc import Callable, Collection, Iterable, Mapping

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.data import Value
from arbutuspulley.placement.layout import (
    Layout,
    ServerLayout,
    add_planned,
    get_item_name,
    is_present,
    list_missing_adapters,
    measure_additional_mib,
    measure_bundle_mib,
    measure_free_mib,
    rank_server,
)

MIN_DEMAND_TOKENS_PER_S = 0.01
"""Tokens a second below which an item counts as not asked for."""

_NO_DEMAND_RANK = 1_000
_MAX_OWN_SERVERS = 3


class Priority(enum.IntEnum):
    """Which loads go first.

    ``LOST``: nothing answers under the name; ``SHORT``: fewer copies than configured;
    ``DEMAND``: more copies than configured, because callers ask for them.
    """

    LOST = 0
    SHORT = 1
    DEMAND = 2


class Grade(enum.IntEnum):
    """How well a place suits a model that has adapters.

    ``MIXED``: it holds one of them for the model's former version, which would have to
    go before it can be loaded again; ``CRAMPED``: it has no room for them.
    """

    GOOD = 0
    MIXED = 1
    CRAMPED = 2


class MissingCopy(Value, frozen=True):
    """One copy to load.

    :param size_mib: what it needs with its adapters, to place the largest first.
    """

    item: Item
    priority: Priority
    size_mib: int


class PlannedCopy(Value, frozen=True):
    """A missing copy and where it is to go."""

    missing: MissingCopy
    server: str


Prefer = Callable[[Layout, ServerLayout, Item], tuple[int, ...]]
"""Ranks a place for an item; the lowest is taken."""


def list_missing(layout: Layout) -> list[MissingCopy]:
    """Return all missing copies, in the sequence in which they get a place.

    An adapter is listed once its model answers somewhere. The largest go first within
    a priority, because they fit in the fewest places.
    """
    names = _list_answering_names(layout)
    missing = [
        MissingCopy(item=item, priority=priority, size_mib=_measure_size(layout, item))
        for item in layout.items.values()
        if not item.base_key or layout.answering.get(item.base_key)
        for priority in _list_priorities(layout, item, names)
    ]
    missing.sort(key=lambda copy: (copy.priority, -copy.size_mib, copy.item.key))
    return missing


def find_server(
    layout: Layout, copy: MissingCopy, prefer: Prefer
) -> ServerLayout | None:
    """Return the preferred place where a copy fits, or ``None``.

    The first place in sequence of preference that also has room for the item's
    adapters is taken. If there is none, a lost model goes where only it fits; another
    one waits for room, as its adapters could never follow it.
    """
    item = copy.item
    candidates = list_candidates(layout, item)
    candidates.sort(key=lambda server: prefer(layout, server, item))
    best: ServerLayout | None = None
    worst_taken = Grade.CRAMPED if copy.priority is Priority.LOST else Grade.MIXED
    best_grade = worst_taken + 1
    for server in candidates:
        if (
            _measure_shortage_mib(
                layout, server, item, measure_additional_mib(server, item)
            )
            > 0
        ):
            continue
        grade = _grade_server(layout, server, item)
        if grade < best_grade:
            best, best_grade = server, grade
        if grade is Grade.GOOD:
            break
    return best


def list_candidates(layout: Layout, item: Item) -> list[ServerLayout]:
    """Return the places that may hold an item, whether or not it fits now."""
    names: Iterable[str] = layout.servers
    if item.base_key:
        names = sorted(layout.answering.get(item.base_key, ()))
    servers = [layout.servers[name] for name in names]
    return [
        server
        for server in servers
        if not is_present(server, item.key)
        and not _would_lack_adapters(layout, server, item)
    ]


def measure_shortage_mib(layout: Layout, server: ServerLayout, item: Item) -> int:
    """Return how many MiB an item and its adapters lack; 0 or less if they fit."""
    needed = measure_bundle_mib(layout, server, item)
    return _measure_shortage_mib(layout, server, item, needed)


def prefer_other_sites(
    layout: Layout, server: ServerLayout, item: Item
) -> tuple[int, ...]:
    """Prefer other sites than those that have a copy."""
    return (_count_in_site(layout, server, item), rank_server(item.key, server.name))


def build_prefer_targets(target_servers: Mapping[str, Collection[str]]) -> Prefer:
    """Return a preference for given places, then for the one with the least room.

    :param homes: places by item, see :func:`.fit.find_target_servers`.
    """

    def prefer(layout: Layout, server: ServerLayout, item: Item) -> tuple[int, ...]:
        away = server.name not in target_servers.get(item.key, ())
        room = measure_free_mib(layout, server)
        return (int(away), room, rank_server(item.key, server.name))

    return prefer


def can_change_all(layout: Layout) -> bool:
    """Tell whether one more version of each model would fit somewhere, one at a time.

    If a model has one copy and adapters, it must be another place than its own, as an
    adapter cannot be loaded twice on one server.
    """
    servers = sorted(
        layout.servers.values(),
        key=lambda server: -measure_free_mib(layout, server),
    )[: _MAX_OWN_SERVERS + 1]
    for item in layout.items.values():
        if item.base_key:
            continue
        needs_other_server = item.copies == 1 and item.key in layout.adapters
        own = layout.holding[item.key] if needs_other_server else ()
        free_mib = [
            measure_free_mib(layout, server)
            for server in servers
            if server.name not in own
        ]
        if max(free_mib, default=0) < _measure_size(layout, item):
            return False
    return True


def place_copies(
    layout: Layout, missing: Iterable[MissingCopy], prefer: Prefer
) -> tuple[list[PlannedCopy], list[MissingCopy]]:
    """Find places for missing copies and count them there.

    :return: those with a place, and those that fit nowhere.
    """
    planned: list[PlannedCopy] = []
    left: list[MissingCopy] = []
    for copy in missing:
        server = find_server(layout, copy, prefer)
        if server is None:
            left.append(copy)
            continue
        add_planned(layout, server, copy.item)
        planned.append(PlannedCopy(missing=copy, server=server.name))
    return planned, left


def sort_planned(
    layout: Layout, planned: Iterable[PlannedCopy], demand: Mapping[str, float]
) -> list[PlannedCopy]:
    """Return planned copies in the sequence in which they are to be loaded.

    :param demand: tokens a second by item; a model is asked for by its adapters too.
    """

    def rank(load: PlannedCopy) -> tuple[int, int, int, str]:
        item = load.missing.item
        keys = [item.key, *(known.key for known in layout.adapters.get(item.key, ()))]
        demanded = sum(demand.get(key, 0.0) for key in keys)
        step, size = rank_demand(demanded, item.memory_mib)
        return load.missing.priority, step, size, item.key

    return sorted(planned, key=rank)


def rank_demand(demand: float, size: int) -> tuple[int, int]:
    """Return the key by which loads of one priority are ordered, lowest first.

    What is asked for most goes first, for the time that it takes to load; this keeps
    the requests that find nothing loaded fewest. ``scripts/compare_load_order.py``
    compares it with first-come and with smallest-first. Demand counts in steps of two,
    because the figures of two instances differ a little.
    """
    if demand < MIN_DEMAND_TOKENS_PER_S:
        return _NO_DEMAND_RANK, size
    return -math.floor(math.log2(demand / size)), size


def _would_lack_adapters(layout: Layout, server: ServerLayout, item: Item) -> bool:
    """Tell whether a model's adapters could never follow it to a place.

    They are there for its former version, and nowhere else, so they cannot be unloaded
    there to be loaded again for this one.
    """
    return any(
        is_present(server, adapter.key)
        and not layout.reliable.get(adapter.key, set()) - {server.name}
        for adapter in layout.adapters.get(item.key, ())
    )


def _list_answering_names(layout: Layout) -> set[str]:
    return {get_item_name(key) for key, names in layout.reliable.items() if names}


def _list_priorities(layout: Layout, item: Item, names: set[str]) -> Iterable[Priority]:
    there = len(layout.holding[item.key]) + layout.unreachable_copies.get(item.key, 0)
    short = item.copies - there
    if short <= 0:
        return
    lost = there == 0 and item.name not in names
    yield Priority.LOST if lost else Priority.SHORT
    for _ in range(short - 1):
        yield Priority.SHORT


def _measure_size(layout: Layout, item: Item) -> int:
    adapters = layout.adapters.get(item.key, ())
    return item.memory_mib + sum(adapter.memory_mib for adapter in adapters)


def _measure_shortage_mib(
    layout: Layout, server: ServerLayout, item: Item, needed: int
) -> int:
    return needed - _measure_free_for(layout, server, item)


def _measure_free_for(layout: Layout, server: ServerLayout, item: Item) -> int:
    """Return the room at a place for an item.

    An adapter may use what its model's adapters are due there, also where that is more
    than there is.
    """
    adapter_reserve_mib = sum(
        measure_additional_mib(server, adapter)
        for adapter in list_missing_adapters(layout, server, item.base_key)
    )
    return measure_free_mib(layout, server) + adapter_reserve_mib


def _grade_server(layout: Layout, server: ServerLayout, item: Item) -> Grade:
    if measure_bundle_mib(layout, server, item) > measure_free_mib(layout, server):
        return Grade.CRAMPED if not item.base_key else Grade.GOOD
    adapters = layout.adapters.get(item.key, ())
    if any(is_present(server, adapter.key) for adapter in adapters):
        return Grade.MIXED
    return Grade.GOOD


def _count_in_site(layout: Layout, server: ServerLayout, item: Item) -> int:
    holders = layout.holding[item.key]
    if not holders:
        return 0
    return sum(layout.servers[name].site == server.site for name in holders)
