"""In-memory model of the servers and items of a group, from which plans are made."""

from collections.abc import Collection, Iterable, Mapping

import msgspec
import xxhash

from arbutuspulley.configuration.lookup import Item, list_configured_items
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import State
from arbutuspulley.placement.ledger import get_reserved_mib, measure_occupied_mib
from arbutuspulley.placement.records import (
    LedgerEntry,
    LedgerEntryState,
    ServerLedger,
    is_reliable,
)

_PRESENT_OR_LOADING = (LedgerEntryState.LOADED, LedgerEntryState.LOADING)


class ServerLayout(State):
    """One server that can be given loads.

    :param capacity_mib: memory of the server.
    :param checks_orders: whether it refuses an order with an old fencing token.
    :param occupied_mib: memory occupied according to its ledger, plus planned loads.
    :param entries: its ledger entries by item.
    :param planned: keys of items that the current plan loads there.
    :param adapter_reserve_mib: memory reserved for adapters of its models that are not
        loaded yet; ``None`` if it has to be recomputed.
    """

    name: str
    site: str
    slots: int
    capacity_mib: int
    checks_orders: bool
    occupied_mib: int
    entries: dict[str, LedgerEntry]
    planned: set[str]
    adapter_reserve_mib: int | None = None


class Layout(State):
    """Servers, configured items and the servers on which the items are loaded.

    :param servers: servers that are alive and not leaving, by name.
    :param items: configured items by key.
    :param adapters: adapters of each model by the model's key, sorted by key.
    :param ready: servers where an item is loaded with its configured base.
    :param holding: servers where it is loaded, is being loaded, or is planned to be.
    :param reliable: servers whose loaded copy no order in flight can unload, whatever
        its base.
    :param unreachable_copies: copies on servers that became unreachable recently; they
        are not replaced yet.
    """

    servers: dict[str, ServerLayout]
    items: dict[str, Item]
    adapters: dict[str, tuple[Item, ...]]
    ready: dict[str, set[str]]
    holding: dict[str, set[str]]
    reliable: dict[str, set[str]]
    unreachable_copies: dict[str, int]


def build_layout(
    *,
    configuration: Configuration,
    ledgers: Mapping[str, ServerLedger],
    usable: Collection[str],
    recently_down: Collection[str] = (),
) -> Layout:
    """Build the layout from the ledgers.

    :param usable: servers that are alive and not leaving.
    :param recently_down: servers that became unreachable recently.
    """
    items = list_configured_items(configuration)
    layout = Layout(
        servers=_build_servers(configuration, ledgers, usable),
        items=items,
        adapters=_group_adapters(items),
        ready={key: set() for key in items},
        holding={key: set() for key in items},
        reliable={},
        unreachable_copies=_count_unreachable_copies(ledgers, recently_down),
    )
    for server in layout.servers.values():
        for entry in server.entries.values():
            _index_entry(layout, server, entry)
    return layout


def is_present(server: ServerLayout, key: str) -> bool:
    """Return whether an item is on a server in any state and can't be loaded there."""
    entry = server.entries.get(key)
    present = entry is not None and entry.state is not LedgerEntryState.ABSENT
    return present or key in server.planned


def measure_free_mib(layout: Layout, server: ServerLayout) -> int:
    """Return the free memory of a server in MiB, less the reserve for adapters."""
    if server.adapter_reserve_mib is None:
        server.adapter_reserve_mib = sum(
            measure_additional_mib(server, adapter)
            for model in (*server.entries, *sorted(server.planned))
            for adapter in list_missing_adapters(layout, server, model)
        )
    return server.capacity_mib - server.occupied_mib - server.adapter_reserve_mib


def list_missing_adapters(
    layout: Layout, server: ServerLayout, model: str
) -> list[Item]:
    """Return the adapters that are still to be loaded for a model on a server."""
    adapters = layout.adapters.get(model, ())
    if not adapters or server.name not in layout.holding[model]:
        return []
    return [
        adapter
        for adapter in adapters
        if not is_present(server, adapter.key)
        and len(layout.holding[adapter.key]) < adapter.copies
    ]


def measure_additional_mib(server: ServerLayout, item: Item) -> int:
    """Return the memory in MiB that loading an item would occupy additionally."""
    entry = server.entries.get(item.key)
    reserved = get_reserved_mib(entry) if entry is not None else 0
    return max(0, item.memory_mib - reserved)


def add_planned(layout: Layout, server: ServerLayout, item: Item) -> None:
    """Count an item as loaded on a server for the rest of the plan."""
    server.occupied_mib += measure_additional_mib(server, item)
    server.planned.add(item.key)
    server.adapter_reserve_mib = None
    layout.holding[item.key].add(server.name)
    for name in layout.holding.get(item.base_key, ()):
        layout.servers[name].adapter_reserve_mib = None


def measure_bundle_mib(layout: Layout, server: ServerLayout, item: Item) -> int:
    """Return the memory in MiB that an item and its missing adapters add."""
    adapters = sum(
        measure_additional_mib(server, adapter)
        for adapter in layout.adapters.get(item.key, ())
        if not is_present(server, adapter.key)
        and len(layout.holding[adapter.key]) < adapter.copies
    )
    return measure_additional_mib(server, item) + adapters


def copy_layout(layout: Layout) -> Layout:
    """Return a copy of the layout on which loads can be planned tentatively."""
    return Layout(
        servers={
            name: msgspec.structs.replace(server, planned=set(server.planned))
            for name, server in layout.servers.items()
        },
        items=layout.items,
        adapters=layout.adapters,
        ready=layout.ready,
        holding={key: set(names) for key, names in layout.holding.items()},
        reliable=layout.reliable,
        unreachable_copies=layout.unreachable_copies,
    )


def rank_server(key: str, server: str) -> int:
    """Return a server's rank for an item; the lowest rank is preferred.

    Rendezvous hashing: all instances agree without communicating, and a server that is
    added or removed changes the preference of few items.
    """
    return xxhash.xxh64_intdigest(f"{key}/{server}".encode())


def get_item_name(key: str) -> str:
    """Return the name that callers use for the item with a key."""
    return key.rpartition("@")[0]


def _build_servers(
    configuration: Configuration,
    ledgers: Mapping[str, ServerLedger],
    usable: Collection[str],
) -> dict[str, ServerLayout]:
    servers: dict[str, ServerLayout] = {}
    for site_name, site in configuration.sites.items():
        for name, server in site.servers.items():
            ledger = ledgers.get(name)
            if name not in usable or ledger is None or not ledger.boot_id:
                continue
            servers[name] = ServerLayout(
                name=name,
                site=site_name,
                slots=server.slots,
                capacity_mib=server.memory_mib,
                checks_orders=server.checks_orders,
                occupied_mib=measure_occupied_mib(ledger),
                entries={entry.item: entry for entry in ledger.entries},
                planned=set(),
            )
    return dict(sorted(servers.items()))


def _group_adapters(items: Mapping[str, Item]) -> dict[str, tuple[Item, ...]]:
    adapters: dict[str, tuple[Item, ...]] = {}
    for key in sorted(items):
        base = items[key].base_key
        if base:
            adapters[base] = (*adapters.get(base, ()), items[key])
    return adapters


def _count_unreachable_copies(
    ledgers: Mapping[str, ServerLedger], names: Iterable[str]
) -> dict[str, int]:
    unreachable_copies: dict[str, int] = {}
    for name in names:
        ledger = ledgers.get(name)
        for entry in ledger.entries if ledger is not None else ():
            if entry.state in _PRESENT_OR_LOADING:
                unreachable_copies[entry.item] = (
                    unreachable_copies.get(entry.item, 0) + 1
                )
    return unreachable_copies


def _index_entry(layout: Layout, server: ServerLayout, entry: LedgerEntry) -> None:
    if is_reliable(entry):
        layout.reliable.setdefault(entry.item, set()).add(server.name)
    item = layout.items.get(entry.item)
    if item is None or entry.base != item.base_key:
        return
    if entry.state in _PRESENT_OR_LOADING:
        layout.holding[entry.item].add(server.name)
    if entry.state is LedgerEntryState.LOADED:
        layout.ready[entry.item].add(server.name)
