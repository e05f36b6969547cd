"""Lookup tables for requests, built once per configuration version."""

from arbutuspulley.configuration.lookup import Item, hash_key, list_items
from arbutuspulley.configuration.schema import (
    Caller,
    Configuration,
    Policy,
    Site,
    Target,
)
from arbutuspulley.data import Value
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.results import Code


class SiteIndex(Value, frozen=True):
    """One configuration version as it applies to one site.

    A request keeps the index that it was admitted under, so that a configuration
    change during the request cannot mix two versions.

    :param items: items by the model or adapter name that callers use.
    :param callers: caller names by the hash of their keys.
    """

    version: int = 0
    site: Site = Site()
    policy: Policy = Policy()
    items: dict[str, Item] = {}
    callers: dict[str, str] = {}


class Identity(Value, frozen=True):
    """An authenticated caller."""

    name: str
    caller: Caller


def build_index(configuration: Configuration, *, site: str) -> SiteIndex:
    """Return the index of a site; it is empty if the configuration lacks the site."""
    merged = configuration.sites.get(site, Site())
    return SiteIndex(
        version=configuration.version,
        site=merged,
        policy=configuration.policy,
        items=list_items(merged),
        callers={caller.key_sha256: name for name, caller in merged.callers.items()},
    )


def identify(index: SiteIndex, authorization: str) -> Identity:
    """Return the caller whose key an ``Authorization`` header contains.

    :raises RequestError: ``BAD_KEY``.
    """
    scheme, _, key = authorization.partition(" ")
    name = index.callers.get(hash_key(key.strip()))
    if scheme.lower() != "bearer" or name is None:
        raise build_failure(Code.BAD_KEY, "the key is missing or not known")
    return Identity(name=name, caller=index.site.callers[name])


def find_item(index: SiteIndex, identity: Identity, model: str) -> Item:
    """Return the item of a model or adapter name.

    :raises RequestError: ``UNKNOWN_MODEL`` or ``MODEL_NOT_ALLOWED``.
    """
    item = index.items.get(model)
    if item is None:
        raise build_failure(Code.UNKNOWN_MODEL, "there is no such model")
    if not may_call(identity, model):
        raise build_failure(
            Code.MODEL_NOT_ALLOWED, "this caller may not use this model"
        )
    return item


def may_call(identity: Identity, model: str) -> bool:
    """Return whether a caller may use a model or adapter."""
    allowed = identity.caller.models
    return not allowed or model in allowed


def find_target(index: SiteIndex, model: str) -> Target:
    """Return the latency target of a model; an adapter has that of its model."""
    adapter = index.site.adapters.get(model)
    base = adapter.model if adapter is not None else model
    found = index.site.models.get(base)
    return found.target if found is not None else Target()


EMPTY_INDEX = SiteIndex()
"""Index in use before the first configuration arrives."""
