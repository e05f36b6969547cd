"""Message bodies on the wire, and their decoding into the ports' types."""

import hashlib
import re
from typing import Any

import msgspec

from arbutuspulley.decoding import (
    Count,
    Integer,
    Milliseconds,
    Number,
    UndecodableError,
    guard_decoding,
)
from arbutuspulley.platform.incarnations import build_incarnation
from arbutuspulley.ports.fleet import (
    EngineSpec,
    FleetConfiguration,
    Limits,
    LoadedModel,
    ModelSpec,
    RetryPolicy,
    Route,
    ServerEntry,
    ServerReport,
    ServiceSpec,
    Share,
    SoftwareVersion,
    Team,
)
from arbutuspulley.results import Code, ConfigurationError

DEFAULT_TIMEOUT_MS = 15_000
"""Timeout of a route that sets none, in ms: callers rarely wait longer."""

DEFAULT_LATENCY_TARGET_MS = 1_000
"""Latency target of a route that sets none, in ms: a second feels immediate to a
person who reads text."""

MAX_VERSION_LENGTH = 64
"""Length of a software version, in characters, above which its digest replaces it."""

READY = "ready"
DRAINING = "draining"
"""``State`` of a server that accepts requests, and of one that is draining."""

REQUESTS = "requests"
TOKENS = "tokens"
"""``Unit`` of a team's quota."""

MAX_SERVER_ID_LENGTH = 256
"""Maximum length of a server's id, in characters; it is sent in a header."""

MAX_OCTET = 255
MAX_PORT = 65_535

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}", re.ASCII)


class InvalidServerEntryError(UndecodableError):
    """A server's row can be decoded but has invalid values."""


class _Wire(msgspec.Struct, rename="pascal"):
    """Base of bodies with the platform's field names; unknown fields are ignored."""


class WireShare(_Wire):
    """One backend of a route that is split by weights."""

    service: str
    weight: Number = 1


class WireRoute(_Wire):
    """A route.

    :param type: ``safe``, ``unsafe`` or ``streaming``.
    """

    hostname: str
    prefix: str
    name: str = ""
    type: str = "unsafe"
    timeout_ms: Number = DEFAULT_TIMEOUT_MS
    target_latency_ms: Number = DEFAULT_LATENCY_TARGET_MS
    target_gap_ms: Number = 0
    priority: Integer = 5
    max_attempts: Integer = 1
    service: str = ""
    backends: list[WireShare] = msgspec.field(default_factory=list)
    resumable: bool = False
    public: bool = False


class WireModel(_Wire):
    """A model of a service. ``Adapters``, a number here, is ignored."""

    name: str
    weights_mb: Number
    load_s: Number = 1
    adapter_mb: Number = 0
    warm_s: Number = 0
    disk_s: Number = 0


class WireEngine(_Wire):
    """Model servers of a service."""

    slots: Integer = 1
    kv_capacity: Integer = 0
    weights_mb: Number = 0
    adapter_slots: Integer = 0
    loads_per_s: Number = 1
    models: list[WireModel] = msgspec.field(default_factory=list)


class WireService(_Wire):
    """A service."""

    name: str
    max_connections: Integer = 0
    engine: WireEngine | None = None


class WireLimits(_Wire):
    """Limits of clients' requests."""

    max_header_bytes: Integer = 16_384
    max_body_bytes: Integer = 4 * 1_024 * 1_024
    header_timeout_ms: Integer = 10_000
    idle_timeout_ms: Integer = 75_000


class WireTeam(_Wire):
    """A team.

    :param unit: unit of ``RatePerS`` and ``Burst``: ``requests`` (also if empty) or
        ``tokens``.
    """

    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: Integer | None = None
    rate_per_s: Number = 0
    burst: Number = 0
    unit: str = REQUESTS
    plain_tokens: Number = 0


class WireConfiguration(_Wire):
    """The operator's configuration, in full."""

    version: Integer
    routes: list[WireRoute] = msgspec.field(default_factory=list)
    services: list[WireService] = msgspec.field(default_factory=list)
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTeam] | None = None


class WireLoadedModel(_Wire):
    """A loaded model; ``Adapters`` lists its loaded adapters."""

    name: str
    adapters: list[Any] = msgspec.field(default_factory=list)


class WireServer(_Wire):
    """A server's row in the store.

    Other writers may write rows, too. A row that lacks any of the fields without a
    default is not a server's.

    :param born: start time of the server, in Unix ms; 0 if unknown.
    :param version: of its software; other writers may write anything here.
    """

    service: str
    address: str
    zone: str
    slots: Count
    state: str
    born: Count = msgspec.field(default=0, name="born")
    models: list[WireLoadedModel] = msgspec.field(default_factory=list)
    version: Any = None


class WireAvailable(_Wire):
    """Weights that a server can load without the weight store."""

    in_memory: list[str] = msgspec.field(default_factory=list)
    on_disk: list[str] = msgspec.field(default_factory=list)


class WireReport(_Wire):
    """A model server's report. ``Sequence`` counts accepted orders.

    :param born: start time of the server, in Unix ms; 0 if unknown.
    :param state: ``draining`` if the server is leaving; empty if it does not say.
    """

    born: Count = msgspec.field(default=0, name="born")
    state: str = ""
    models: list[WireLoadedModel] = msgspec.field(default_factory=list)
    busy: bool = False
    sequence: Integer = 0
    pending: list[str] = msgspec.field(default_factory=list)
    available: WireAvailable = msgspec.field(default_factory=WireAvailable)


class WireKeptPart(msgspec.Struct, array_like=True):
    """A part of prompts that a model server keeps; further elements are ignored."""

    text: str
    part: str


class WireKeptParts(_Wire):
    """A model server's list of the parts of prompts that it keeps."""

    held: list[WireKeptPart] = msgspec.field(default_factory=list, name="held")


class WireRow(_Wire):
    """A row of the store; ``Value`` is base64. The ``part`` of keys is always empty."""

    table: str = ""
    key: str = ""
    ver: Count = 0
    value: bytes = b""
    removed: bool = False


class WireRows(_Wire):
    """The store's answer with rows. ``NowMs`` is its monotonic clock."""

    rows: list[WireRow] = msgspec.field(default_factory=list)
    ver: Count = 0
    now_ms: Milliseconds = 0
    more_pages: bool = False


_CONFIGURATION = msgspec.json.Decoder(WireConfiguration)
_SERVER = msgspec.json.Decoder(WireServer)
_KEPT_PARTS = msgspec.json.Decoder(WireKeptParts)
_REPORT = msgspec.json.Decoder(WireReport)
_ROWS = msgspec.json.Decoder(WireRows)


@guard_decoding
def decode_rows(body: bytes) -> WireRows:
    """Decode the store's answer with rows.

    :raises UndecodableError: if it is malformed.
    """
    return _ROWS.decode(body)


@guard_decoding
def decode_configuration(body: bytes) -> FleetConfiguration:
    """Decode the operator's configuration.

    :raises UndecodableError: if it is malformed.
    :raises ConfigurationError: if a team in it has invalid values.
    """
    wire = _CONFIGURATION.decode(body)
    limits = wire.limits
    return FleetConfiguration(
        version=wire.version,
        routes=tuple(_decode_route(route) for route in wire.routes),
        services={service.name: _decode_service(service) for service in wire.services},
        limits=Limits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        ),
        teams=None
        if wire.tenants is None
        else tuple(_decode_team(team) for team in wire.tenants),
    )


@guard_decoding
def decode_server(server_id: str, body: bytes) -> ServerEntry:
    """Decode a server's row.

    :param server_id: the row's key.
    :raises UndecodableError: if it is malformed.
    :raises InvalidServerEntryError: if it has invalid values.
    """
    wire = _SERVER.decode(body)
    _check_server(server_id, wire)
    return ServerEntry(
        server_id=server_id,
        incarnation=build_incarnation(server_id, wire.born),
        started_ms=wire.born,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=wire.slots,
        is_leaving=wire.state == DRAINING,
        loaded_models=_decode_loaded_models(wire.models),
        software_version=_decode_software_version(wire.version),
    )


def _decode_software_version(value: Any) -> SoftwareVersion:
    """Decode a software version; whatever a row states identifies one."""
    text = "" if value is None else str(value)
    if len(text) > MAX_VERSION_LENGTH:
        digest = hashlib.sha256(text.encode(errors="replace")).hexdigest()
        text = f"sha256:{digest[:16]}"
    return SoftwareVersion(name=text)


def _check_server(server_id: str, wire: WireServer) -> None:
    is_name = server_id.isprintable() and 0 < len(server_id) <= MAX_SERVER_ID_LENGTH
    if not is_name:
        raise InvalidServerEntryError("the key is not a server's id")
    if wire.state not in (READY, DRAINING):
        raise InvalidServerEntryError(f"unknown state {wire.state[:40]!r}")
    if not _is_address(wire.address):
        raise InvalidServerEntryError(f"invalid address: {wire.address[:40]!r}")
    if wire.slots < 1:
        raise InvalidServerEntryError(f"out of range: slots {wire.slots}")


def _is_address(text: str) -> bool:
    if _ADDRESS.fullmatch(text) is None:
        return False
    host, _, port = text.partition(":")
    octets = (int(octet) for octet in host.split("."))
    return max(octets) <= MAX_OCTET and 0 < int(port) <= MAX_PORT


@guard_decoding
def decode_report(server_id: str, body: bytes) -> ServerReport:
    """Decode a model server's report.

    :raises UndecodableError: if it is malformed.
    """
    wire = _REPORT.decode(body)
    return ServerReport(
        incarnation=build_incarnation(server_id, wire.born),
        is_leaving=wire.state == DRAINING,
        is_busy=wire.busy,
        accepted_orders=wire.sequence,
        loaded_models=_decode_loaded_models(wire.models),
        pending=tuple(_split_pending(name) for name in wire.pending),
        in_memory=frozenset(wire.available.in_memory),
        on_disk=frozenset(wire.available.on_disk),
    )


@guard_decoding
def decode_kept_parts(body: bytes) -> frozenset[str]:
    """Decode a model server's list of the parts of prompts that it keeps.

    :return: their ids.
    :raises UndecodableError: if it is malformed.
    """
    return frozenset(kept.part.lower() for kept in _KEPT_PARTS.decode(body).held)


def _decode_route(wire: WireRoute) -> Route:
    shares = [
        Share(service=backend.service, weight=backend.weight)
        for backend in wire.backends
    ]
    if not shares:
        shares = [Share(service=wire.service, weight=1)]
    return Route(
        name=wire.name,
        host=wire.hostname.lower(),
        prefix=wire.prefix,
        retry_policy=_decode_retry_policy(wire),
        is_stream=wire.type == "streaming",
        timeout_ms=int(wire.timeout_ms),
        latency_target_ms=int(wire.target_latency_ms),
        gap_target_ms=int(wire.target_gap_ms),
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        shares=tuple(shares),
        is_public=wire.public,
    )


def _decode_team(wire: WireTeam) -> Team:
    for field, value in (
        ("RatePerS", wire.rate_per_s),
        ("Burst", wire.burst),
        ("PlainTokens", wire.plain_tokens),
    ):
        if value < 0:
            raise _build_team_error(wire, f"{field} is {value:g}")
    if not wire.name.isprintable():
        raise _build_team_error(wire, "the name can't be sent in a header")
    if wire.unit not in ("", REQUESTS, TOKENS):
        raise _build_team_error(wire, f"unknown Unit {wire.unit!r}")
    return Team(
        name=wire.name,
        keys=tuple(wire.api_keys),
        priority=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
        counts_tokens=wire.unit == TOKENS,
        default_tokens=int(wire.plain_tokens),
    )


def _build_team_error(wire: WireTeam, detail: str) -> ConfigurationError:
    return ConfigurationError(
        code=Code.BAD_TEAM, detail=f"team {wire.name!r}: {detail}"
    )


def _decode_retry_policy(wire: WireRoute) -> RetryPolicy:
    if wire.type == "safe":
        return RetryPolicy.ANY
    if wire.type == "streaming" and wire.resumable:
        return RetryPolicy.RESUME
    return RetryPolicy.ONCE


def _decode_service(wire: WireService) -> ServiceSpec:
    engine = _decode_engine(wire.engine) if wire.engine else None
    return ServiceSpec(
        name=wire.name, max_connections=wire.max_connections, engine=engine
    )


def _decode_engine(wire: WireEngine) -> EngineSpec:
    models = {
        model.name: ModelSpec(
            name=model.name,
            size_mb=model.weights_mb,
            adapter_mb=model.adapter_mb,
            load_ms=model.load_s * 1_000,
            disk_load_ms=(model.disk_s or model.load_s) * 1_000,
            warm_load_ms=(model.warm_s or model.load_s) * 1_000,
        )
        for model in wire.models
    }
    return EngineSpec(
        slots=wire.slots,
        cache_tokens=wire.kv_capacity,
        memory_mb=wire.weights_mb,
        adapter_slots=wire.adapter_slots,
        loads_per_s=wire.loads_per_s,
        models=models,
    )


def _decode_loaded_models(wire: list[WireLoadedModel]) -> tuple[LoadedModel, ...]:
    return tuple(
        LoadedModel(
            model=model.name,
            adapters=tuple(_read_adapter_name(entry) for entry in model.adapters),
        )
        for model in wire
    )


def _read_adapter_name(entry: Any) -> str:
    # The platform's specification shows only empty lists; accept names and objects.
    if isinstance(entry, str):
        return entry.partition("@")[0]
    if isinstance(entry, dict):
        return str(entry.get("Name", ""))
    return str(entry)


def _split_pending(name: str) -> tuple[str, str]:
    model, _, adapter = name.partition("/")
    return model, adapter.partition("@")[0]
