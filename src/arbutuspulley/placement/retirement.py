"""Unloads copies that the active configuration no longer needs."""

from collections.abc import Iterator

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.placement.actions import Unload
from arbutuspulley.placement.layout import (
    Layout,
    ServerLayout,
    get_item_name,
    rank_server,
)
from arbutuspulley.placement.records import LedgerEntry, LedgerEntryState


def list_unneeded(layout: Layout) -> list[Unload]:
    """Return the unloads of previous versions and of items that are not configured.

    A previous version is unloaded once the new one is ready, and only as long as both
    together have more than the configured copies. Adapters are unloaded before their
    model.
    """
    names = {item.name: item for item in layout.items.values()}
    former = _group_former(layout, names)
    unloads = [
        Unload(server=server.name, item=entry.item, min_copies=0)
        for server, entry in _list_loaded(layout)
        if get_item_name(entry.item) not in names
    ]
    for name in sorted(former):
        unloads += _retire_former(layout, names[name], former[name])
    return [unload for unload in unloads if not _is_base_in_use(layout, unload)]


def _list_loaded(layout: Layout) -> Iterator[tuple[ServerLayout, LedgerEntry]]:
    for server in layout.servers.values():
        for key in sorted(server.entries):
            if server.entries[key].state is LedgerEntryState.LOADED:
                yield server, server.entries[key]


def _group_former(
    layout: Layout, names: dict[str, Item]
) -> dict[str, list[tuple[ServerLayout, LedgerEntry]]]:
    """Return the loaded previous versions of each configured name.

    An adapter that was loaded for its model's previous version counts as a previous
    version, even if its own version is unchanged.
    """
    former: dict[str, list[tuple[ServerLayout, LedgerEntry]]] = {}
    for server, entry in _list_loaded(layout):
        item = names.get(get_item_name(entry.item))
        if item is None:
            continue
        if entry.item != item.key or entry.base != item.base_key:
            former.setdefault(item.name, []).append((server, entry))
    return former


def _retire_former(
    layout: Layout, item: Item, former: list[tuple[ServerLayout, LedgerEntry]]
) -> list[Unload]:
    ready_count = len(layout.ready[item.key])
    if ready_count == 0:
        return []
    extra_copies = ready_count + len(former) - item.copies
    # Servers that have both versions come last: the next copy of the new version needs
    # a server without one, and may fit there only once the old version is unloaded.
    former = sorted(
        former,
        key=lambda known: (
            known[0].name in layout.holding[item.key],
            rank_server(known[1].item, known[0].name),
        ),
    )
    steps = (_retire_copy(layout, item, server, entry) for server, entry in former)
    unload_groups = [step for step in steps if step is not None]
    return [unload for step in unload_groups[: max(0, extra_copies)] for unload in step]


def _retire_copy(
    layout: Layout, item: Item, server: ServerLayout, entry: LedgerEntry
) -> list[Unload] | None:
    """Return the next steps to retire one copy, or ``None`` if it must stay.

    A copy that adapters depend on stays, unless the new version still lacks a copy: the
    server at hand may be the only one left for it. The adapters are then unloaded first
    if each has another reliable copy, and for a while they have fewer copies than
    configured.
    """
    adapters = [
        known
        for known in server.entries.values()
        if known.base == entry.item and known.state is not LedgerEntryState.ABSENT
    ]
    if not adapters:
        return [_build_unload(item, server, entry)]
    lacks_copies = len(layout.holding[item.key]) < item.copies
    if not lacks_copies or not all(
        _is_redundant(layout, server, known) for known in adapters
    ):
        return None
    return [
        Unload(server=server.name, item=known.item)
        for known in adapters
        if known.state is LedgerEntryState.LOADED
    ]


def _is_redundant(layout: Layout, server: ServerLayout, entry: LedgerEntry) -> bool:
    if entry.state is LedgerEntryState.UNLOADING:
        return True
    others = layout.reliable.get(entry.item, set()) - {server.name}
    return entry.state is LedgerEntryState.LOADED and bool(others)


def _build_unload(item: Item, server: ServerLayout, entry: LedgerEntry) -> Unload:
    same = entry.item == item.key
    return Unload(
        server=server.name,
        item=entry.item,
        min_copies=int(same),
        successor="" if same else item.key,
    )


def _is_base_in_use(layout: Layout, unload: Unload) -> bool:
    entries = layout.servers[unload.server].entries.values()
    return any(
        entry.base == unload.item and entry.state is not LedgerEntryState.ABSENT
        for entry in entries
    )
