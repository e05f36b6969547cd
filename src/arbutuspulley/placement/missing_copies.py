"""Configured copies that are not loaded yet, and the servers to load them on."""

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
"""Demand below which an item counts as unused."""

_NO_DEMAND_RANK = 1_000
_MAX_OWN_SERVERS = 3


class Priority(enum.IntEnum):
    """Priority of a load.

    ``LOST``: no version of the name is loaded; ``SHORT``: fewer copies are loaded than
    configured; ``DEMAND``: more copies than configured, because of demand.
    """

    LOST = 0
    SHORT = 1
    DEMAND = 2


class Grade(enum.IntEnum):
    """How suitable a server is for a model that has adapters.

    ``MIXED``: it has one of the adapters for the model's previous version, which would
    have to be unloaded before it can be loaded again; ``CRAMPED``: it lacks memory for
    the adapters.
    """

    GOOD = 0
    MIXED = 1
    CRAMPED = 2


class MissingCopy(Value, frozen=True):
    """One copy to load.

    :param size_mib: memory of the item with its adapters; the largest is placed first.
    """

    item: Item
    priority: Priority
    size_mib: int


class PlannedCopy(Value, frozen=True):
    """A missing copy and the server that is to load it."""

    missing: MissingCopy
    server: str


Prefer = Callable[[Layout, ServerLayout, Item], tuple[int, ...]]
"""Returns the rank of a server for an item; the lowest rank is preferred."""


def list_missing(layout: Layout) -> list[MissingCopy]:
    """Return all missing copies, in the sequence in which they are placed.

    An adapter is listed once its model is loaded on some server. Within a priority the
    largest go first, because they fit on the fewest servers.
    """
    names = _list_ready_names(layout)
    missing = [
        MissingCopy(item=item, priority=priority, size_mib=_measure_size(layout, item))
        for item in layout.items.values()
        if not item.base_key or layout.ready.get(item.base_key)
        for priority in _list_priorities(layout, item, names)
    ]
    missing.sort(key=lambda copy: (copy.priority, -copy.size_mib, copy.item.key))
    return missing


def find_server(
    layout: Layout, copy: MissingCopy, prefer: Prefer
) -> ServerLayout | None:
    """Return the preferred server on which a copy fits, or ``None``.

    The first server in order of preference that also has memory for the item's adapters
    is chosen. If there is none, a lost model goes to a server where only the model
    itself fits. Any other copy waits for memory, because its adapters could never be
    loaded on the same server.
    """
    item = copy.item
    candidates = list_candidates(layout, item)
    candidates.sort(key=lambda server: prefer(layout, server, item))
    best: ServerLayout | None = None
    worst_accepted = Grade.CRAMPED if copy.priority is Priority.LOST else Grade.MIXED
    best_grade = worst_accepted + 1
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
    """Return the servers that may load an item, whether or not it fits now."""
    names: Iterable[str] = layout.servers
    if item.base_key:
        names = sorted(layout.ready.get(item.base_key, ()))
    servers = [layout.servers[name] for name in names]
    return [
        server
        for server in servers
        if not is_present(server, item.key)
        and not _would_lack_adapters(layout, server, item)
    ]


def measure_shortage_mib(layout: Layout, server: ServerLayout, item: Item) -> int:
    """Return the memory in MiB that an item and its adapters lack; <= 0 if they fit."""
    needed = measure_bundle_mib(layout, server, item)
    return _measure_shortage_mib(layout, server, item, needed)


def prefer_other_sites(
    layout: Layout, server: ServerLayout, item: Item
) -> tuple[int, ...]:
    """Rank servers in sites without a copy of the item first."""
    return (_count_in_site(layout, server, item), rank_server(item.key, server.name))


def build_prefer_targets(target_servers: Mapping[str, Collection[str]]) -> Prefer:
    """Return a ranking that puts the target servers first, then the least free memory.

    :param target_servers: server names by item, see :func:`.fit.find_target_servers`.
    """

    def prefer(layout: Layout, server: ServerLayout, item: Item) -> tuple[int, ...]:
        is_other = server.name not in target_servers.get(item.key, ())
        free_mib = measure_free_mib(layout, server)
        return (int(is_other), free_mib, rank_server(item.key, server.name))

    return prefer


def can_change_all(layout: Layout) -> bool:
    """Return whether each model could be updated, one model at a time.

    An update needs free memory for one more version. If a model has one copy and
    adapters, this must be on a server other than its own, because an adapter cannot be
    loaded twice on one server.
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
    """Find servers for missing copies and add the copies to the layout.

    :return: copies with a server, and copies that fit on no server.
    """
    planned: list[PlannedCopy] = []
    unplaced: list[MissingCopy] = []
    for copy in missing:
        server = find_server(layout, copy, prefer)
        if server is None:
            unplaced.append(copy)
            continue
        add_planned(layout, server, copy.item)
        planned.append(PlannedCopy(missing=copy, server=server.name))
    return planned, unplaced


def sort_planned(
    layout: Layout, planned: Iterable[PlannedCopy], demand: Mapping[str, float]
) -> list[PlannedCopy]:
    """Return planned copies in the sequence in which they are to be loaded.

    :param demand: tokens per second by item; demand for an adapter also counts for its
        model.
    """

    def rank(load: PlannedCopy) -> tuple[int, int, int, str]:
        item = load.missing.item
        keys = [item.key, *(known.key for known in layout.adapters.get(item.key, ()))]
        demanded = sum(demand.get(key, 0.0) for key in keys)
        step, size = rank_demand(demanded, item.memory_mib)
        return load.missing.priority, step, size, item.key

    return sorted(planned, key=rank)


def rank_demand(demand: float, size: int) -> tuple[int, int]:
    """Return the sort key for loads of one priority, lowest first.

    Items with the most demand relative to their load time, which grows with size, go
    first. This minimises the requests whose item is not loaded.
    ``scripts/compare_load_order.py`` compares this order with first-come and
    smallest-first. Demand is rounded to powers of two, because the estimates of two
    instances differ slightly.

    :param demand: tokens per second.
    :param size: size of the item in MiB.
    """
    if demand < MIN_DEMAND_TOKENS_PER_S:
        return _NO_DEMAND_RANK, size
    return -math.floor(math.log2(demand / size)), size


def _would_lack_adapters(layout: Layout, server: ServerLayout, item: Item) -> bool:
    """Return whether a model's adapters could never be loaded with it on a server.

    That is so if an adapter is loaded there for the model's previous version and no
    other server has a reliable copy of it: it cannot be unloaded to be loaded again for
    this version.
    """
    return any(
        is_present(server, adapter.key)
        and not layout.reliable.get(adapter.key, set()) - {server.name}
        for adapter in layout.adapters.get(item.key, ())
    )


def _list_ready_names(layout: Layout) -> set[str]:
    return {get_item_name(key) for key, names in layout.reliable.items() if names}


def _list_priorities(layout: Layout, item: Item, names: set[str]) -> Iterable[Priority]:
    present = len(layout.holding[item.key]) + layout.unreachable_copies.get(item.key, 0)
    missing_count = item.copies - present
    if missing_count <= 0:
        return
    lost = present == 0 and item.name not in names
    yield Priority.LOST if lost else Priority.SHORT
    for _ in range(missing_count - 1):
        yield Priority.SHORT


def _measure_size(layout: Layout, item: Item) -> int:
    adapters = layout.adapters.get(item.key, ())
    return item.memory_mib + sum(adapter.memory_mib for adapter in adapters)


def _measure_shortage_mib(
    layout: Layout, server: ServerLayout, item: Item, needed: int
) -> int:
    return needed - _measure_free_for(layout, server, item)


def _measure_free_for(layout: Layout, server: ServerLayout, item: Item) -> int:
    """Return the free memory of a server for an item, in MiB.

    An adapter may use the memory that is reserved there for its model's adapters, even
    if the reserve exceeds the free memory.
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
