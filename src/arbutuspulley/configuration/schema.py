"""The typed schema of configuration files and of the merged configuration.

An operator writes one base file and one overlay for each site, in YAML. The
merge of both is what the system runs on; see :mod:`.merge`.
"""

from typing import Annotated

import msgspec

from arbutuspulley.data import Document

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Positive = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Target(Document, frozen=True):
    """When a request counts as answered in time.

    :param first_token_ms: longest time to the first token.
    :param between_tokens_ms: longest mean time between tokens.
    """

    first_token_ms: Positive = 1_100
    between_tokens_ms: Positive = 37


class Model(Document, frozen=True):
    """One version of a model to keep reachable.

    :param version: any name; a new one is loaded beside the old before a switch.
    :param size_mib: memory of its weights (unit to be confirmed by the users).
    :param kv_floor_mib: least KV cache it needs to answer one request.
    :param copies: how many servers should hold it, at least.
    :param target: when an answer counts as in time.
    """

    version: Name
    size_mib: Positive
    kv_floor_mib: NonNegative = 0
    copies: Positive = 1
    target: Target = Target()


class Adapter(Document, frozen=True):
    """An adapter, called like a model by its own name.

    :param model: the model that it extends.
    """

    model: Name
    version: Name
    size_mib: Positive


class Caller(Document, frozen=True):
    """Someone who may call: a host's desk, an organiser.

    :param key_sha256: hex SHA-256 of the key it sends as ``Authorization: Bearer``.
    :param weight: its part of shared hardware, relative to other callers.
    :param models: names it may call; empty means all.
    :param live: whether its requests go before summaries.
    """

    key_sha256: Sha256
    weight: Positive = 1
    models: tuple[Name, ...] = ()
    live: bool = True


class Server(Document, frozen=True):
    """A model engine.

    :param checks_orders: whether it refuses an order with an old fencing number.
    :param slots: requests it runs at once within the targets.
    """

    address: Address
    memory_mib: Positive
    checks_orders: bool = False
    slots: Positive = 16


class Service(Document, frozen=True):
    """A plain service, reached by name as ``/services/<name>/...``.

    :param addresses: its servers.
    :param repeatable_methods: methods that may be sent again after a failure.
    """

    addresses: tuple[Address, ...]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")


class WeightStore(Document, frozen=True):
    """What the weight store allows, for the whole configuration.

    :param loads_per_minute: loads it allows to begin.
    :param loads_at_once: loads it serves at full speed.
    """

    loads_per_minute: Positive = 60
    loads_at_once: Positive = 2


class Policy(Document, frozen=True):
    """What is weighed against what.

    :param moves_weight: 0 looks at attainment alone, 1 avoids moves the most.
    :param address_lifetime_s: how long callers may keep an address answer.
    :param answer_lifetime_s: how long stored answers to unrepeatable requests stay.
    """

    moves_weight: Fraction = 0.5
    address_lifetime_s: Positive = 10
    answer_lifetime_s: Positive = 86_400


class Base(Document, frozen=True):
    """The base file: what holds at every site, unless its overlay says otherwise."""

    models: dict[Name, Model] = {}
    adapters: dict[Name, Adapter] = {}
    callers: dict[Name, Caller] = {}
    weight_store: WeightStore = WeightStore()
    policy: Policy = Policy()


class ModelOverlay(Document, frozen=True):
    """What a site may set differently for a model."""

    copies: Positive | None = None
    target: Target | None = None


class CallerOverlay(Document, frozen=True):
    """What a site may set differently for a caller."""

    weight: Positive | None = None
    live: bool | None = None


class Overlay(Document, frozen=True):
    """A site's file: its servers and services, and what differs there."""

    site: Name
    servers: dict[Name, Server] = {}
    services: dict[Name, Service] = {}
    models: dict[Name, ModelOverlay] = {}
    callers: dict[Name, CallerOverlay] = {}


class Site(Document, frozen=True):
    """The merged view of one site: the base with its overlay applied."""

    models: dict[Name, Model] = {}
    adapters: dict[Name, Adapter] = {}
    callers: dict[Name, Caller] = {}
    servers: dict[Name, Server] = {}
    services: dict[Name, Service] = {}


class Configuration(Document, frozen=True):
    """One accepted version, merged.

    :param version: counts accepted changes from 1; 0 is the empty configuration.
    """

    version: NonNegative = 0
    weight_store: WeightStore = WeightStore()
    policy: Policy = Policy()
    sites: dict[Name, Site] = {}


EMPTY = Configuration()
"""What is in force before the first change is accepted."""
