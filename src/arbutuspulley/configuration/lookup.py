"""Lookup functions for items, servers and callers of a configuration."""

import hashlib

from arbutuspulley.configuration.schema import (
    Adapter,
    Caller,
    Configuration,
    Model,
    Server,
    Site,
)
from arbutuspulley.data import Value


class Item(Value, frozen=True):
    """A model or an adapter, which is loaded into a server's memory.

    :param name: the name that callers use.
    :param key: ``name@version``, as servers report it.
    :param base_key: for an adapter, the key of the model that it extends.
    :param memory_mib: memory that it occupies, minimum KV cache included.
    :param copies: minimum number of servers that should have it loaded.
    """

    name: str
    key: str
    memory_mib: int
    copies: int = 1
    base_key: str = ""


def build_item_key(*, name: str, version: str) -> str:
    """Return the key by which servers identify an item."""
    return f"{name}@{version}"


def list_items(site: Site) -> dict[str, Item]:
    """Return all items of a site by the name that callers use."""
    items = {name: _build_model(name, model) for name, model in site.models.items()}
    for name, adapter in site.adapters.items():
        items[name] = _build_adapter(name, adapter, site.models[adapter.model])
    return items


def list_servers(configuration: Configuration) -> dict[str, Server]:
    """Return the servers of all sites by name."""
    return {
        name: server
        for site in configuration.sites.values()
        for name, server in site.servers.items()
    }


def list_configured_items(configuration: Configuration) -> dict[str, Item]:
    """Return the items of all sites by key, with the largest ``copies`` of any site."""
    items: dict[str, Item] = {}
    for site in configuration.sites.values():
        for item in list_items(site).values():
            existing = items.get(item.key)
            if existing is None or existing.copies < item.copies:
                items[item.key] = item
    return items


def hash_key(key: str) -> str:
    """Return the hex SHA-256 of an API key, as configuration files contain it."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_caller(site: Site, key: str) -> tuple[str, Caller] | None:
    """Return name and settings of the caller with this API key, or ``None``."""
    digest = hash_key(key)
    for name, caller in site.callers.items():
        if caller.key_sha256 == digest:
            return name, caller
    return None


def _build_model(name: str, model: Model) -> Item:
    return Item(
        name=name,
        key=build_item_key(name=name, version=model.version),
        memory_mib=model.size_mib + model.kv_floor_mib,
        copies=model.copies,
    )


def _build_adapter(name: str, adapter: Adapter, model: Model) -> Item:
    return Item(
        name=name,
        key=build_item_key(name=name, version=adapter.version),
        memory_mib=adapter.size_mib,
        copies=model.copies,
        base_key=build_item_key(name=adapter.model, version=model.version),
    )
