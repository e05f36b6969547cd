"""The typed schema of configuration files and of the merged configuration.

An operator writes one base file and one overlay for each site, in YAML. The system
uses the merged configuration; see :mod:`.merge`.
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
    """Latency targets of a model.

    :param first_token_ms: maximum time to first token.
    :param between_tokens_ms: maximum mean time between tokens.
    """

    first_token_ms: Positive = 1_100
    between_tokens_ms: Positive = 37


class Model(Document, frozen=True):
    """One version of a model that the system keeps available.

    :param version: any name; a new version is loaded in addition to the old one before
        requests are switched over.
    :param size_mib: memory of the weights (unit to be confirmed by the users).
    :param kv_floor_mib: minimum KV cache needed to answer one request.
    :param copies: minimum number of servers that should have it loaded.
    :param target: latency targets.
    """

    version: Name
    size_mib: Positive
    kv_floor_mib: NonNegative = 0
    copies: Positive = 1
    target: Target = Target()


class Adapter(Document, frozen=True):
    """An adapter, which callers request by its own name like a model.

    :param model: the model that it extends.
    """

    model: Name
    version: Name
    size_mib: Positive


class Caller(Document, frozen=True):
    """A client that may send requests, for example a host's desk or an organiser.

    :param key_sha256: hex SHA-256 of the key that it sends as
        ``Authorization: Bearer``.
    :param weight: its share of the hardware, relative to other callers.
    :param models: names of the models and adapters that it may use; empty for all.
    :param live: whether its requests have priority over those of callers that are not
        live, such as summaries.
    """

    key_sha256: Sha256
    weight: Positive = 1
    models: tuple[Name, ...] = ()
    live: bool = True


class Server(Document, frozen=True):
    """A backend server with a model engine.

    :param checks_orders: whether it refuses orders with an outdated fencing token.
    :param slots: number of concurrent requests that it runs within the latency targets.
    """

    address: Address
    memory_mib: Positive
    checks_orders: bool = False
    slots: Positive = 16


class Service(Document, frozen=True):
    """An HTTP service other than a model, available as ``/services/<name>/...``.

    :param addresses: addresses of its servers.
    :param repeatable_methods: HTTP methods that may be retried after a failure.
    """

    addresses: tuple[Address, ...]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")


class WeightStore(Document, frozen=True):
    """Limits of the weight store, shared by all sites.

    :param loads_per_minute: maximum number of loads started per minute.
    :param loads_at_once: maximum number of concurrent loads served at full speed.
    """

    loads_per_minute: Positive = 60
    loads_at_once: Positive = 2


class Policy(Document, frozen=True):
    """Trade-offs and lifetimes, shared by all sites.

    :param moves_weight: weight of avoiding moves in placement: 0 considers attainment
        of latency targets only, 1 avoids moves the most.
    :param address_lifetime_s: time for which callers may cache an address list, in s.
    :param answer_lifetime_s: time for which answers to requests that cannot be repeated
        are stored, in s.
    """

    moves_weight: Fraction = 0.5
    address_lifetime_s: Positive = 10
    answer_lifetime_s: Positive = 86_400


class Base(Document, frozen=True):
    """The base file: settings of all sites, which an overlay may override."""

    models: dict[Name, Model] = {}
    adapters: dict[Name, Adapter] = {}
    callers: dict[Name, Caller] = {}
    weight_store: WeightStore = WeightStore()
    policy: Policy = Policy()


class ModelOverlay(Document, frozen=True):
    """Settings of a model that a site may override."""

    copies: Positive | None = None
    target: Target | None = None


class CallerOverlay(Document, frozen=True):
    """Settings of a caller that a site may override."""

    weight: Positive | None = None
    live: bool | None = None


class Overlay(Document, frozen=True):
    """The overlay file of a site: its servers, its services and its overrides."""

    site: Name
    servers: dict[Name, Server] = {}
    services: dict[Name, Service] = {}
    models: dict[Name, ModelOverlay] = {}
    callers: dict[Name, CallerOverlay] = {}


class Site(Document, frozen=True):
    """The merged configuration of one site: the base with its overlay applied."""

    models: dict[Name, Model] = {}
    adapters: dict[Name, Adapter] = {}
    callers: dict[Name, Caller] = {}
    servers: dict[Name, Server] = {}
    services: dict[Name, Service] = {}


class Configuration(Document, frozen=True):
    """One merged version of the configuration of all sites.

    :param version: number of the accepted change, from 1; 0 is the empty configuration.
    """

    version: NonNegative = 0
    weight_store: WeightStore = WeightStore()
    policy: Policy = Policy()
    sites: dict[Name, Site] = {}


EMPTY = Configuration()
"""The configuration before the first change is accepted."""
