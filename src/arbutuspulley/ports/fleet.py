"""Types of the serving path: configuration, backend servers, requests and settings.

An adapter decodes its wire formats into these types once. Sizes are in tokens or
megabytes and times in milliseconds; the field name has the unit.
"""

import enum

from arbutuspulley.data import State, Value


class RetryPolicy(enum.StrEnum):
    """Whether a request that may have run may be retried.

    ``ANY``: idempotent, may be retried. ``ONCE``: runs at most once. ``RESUME``: a
    stream that may be resumed after the last event that reached the caller.
    """

    ANY = "any"
    ONCE = "once"
    RESUME = "resume"


class Share(Value, frozen=True):
    """The share of a route's requests that one service gets."""

    service: str
    weight: float


class Route(Value, frozen=True):
    """One route of a configuration.

    :param host: host name it serves.
    :param prefix: path prefix; begins and ends with a slash.
    :param is_stream: whether answers are event streams.
    :param timeout_ms: longest time until the complete answer.
    :param latency_target_ms: latency target for the answer, or for the first part of
        a stream; an answer within it earns full credit.
    :param gap_target_ms: longest gap between events of a stream that meets its target.
    :param priority: rank, 0 is the most urgent.
    :param max_attempts: maximum number of servers that one request is sent to.
    :param is_public: whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    is_stream: bool
    timeout_ms: int
    latency_target_ms: int
    gap_target_ms: int
    priority: int
    max_attempts: int
    shares: tuple[Share, ...]
    is_public: bool = False


class Team(Value, frozen=True):
    """A team that callers belong to.

    :param keys: API keys of its callers.
    :param priority: rank of its requests; ``None``: their route's priority.
    :param rate_per_s: its quota over all instances; 0: no quota.
    :param burst: capacity of its token bucket beyond the rate.
    :param counts_tokens: whether rate and burst are in tokens, not in requests.
    :param default_tokens: cost of a request that does not state its token usage.
    :param weight: weight of its share of contended model servers; the platform's
        configuration states none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    counts_tokens: bool = False
    default_tokens: int = 0
    weight: float = 1.0


class ModelSpec(Value, frozen=True):
    """Size and load time of a model.

    :param size_mb: memory for its weights.
    :param adapter_mb: memory for one of its adapters.
    :param load_ms: load time from the weight store.
    :param disk_load_ms: load time from the server's disk.
    :param warm_load_ms: load time from the server's host memory.
    """

    name: str
    size_mb: float
    adapter_mb: float
    load_ms: float
    disk_load_ms: float
    warm_load_ms: float


class EngineSpec(Value, frozen=True):
    """Capacity of each model server of a service.

    :param slots: maximum requests in one batch.
    :param cache_tokens: KV cache capacity.
    :param memory_mb: memory for weights and adapters.
    :param adapter_slots: maximum number of loaded adapters.
    :param loads_per_s: rate limit of loads from the weight store, over all servers.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec]


class ServiceSpec(Value, frozen=True):
    """One service.

    :param max_connections: maximum connections that one server accepts in total.
    :param engine: present if the service's servers run models.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


class Limits(Value, frozen=True):
    """Limits of a caller's request.

    :param header_bytes: maximum size of its headers, in bytes.
    :param body_bytes: maximum size of its body, in bytes.
    :param header_timeout_ms: time from the first byte of its head to the last, in ms.
    :param idle_timeout_ms: time between two requests on a connection, in ms.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1_024 * 1_024
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


class FleetConfiguration(Value, frozen=True):
    """One version of the operators' configuration.

    :param teams: only callers of these teams are served; ``None``: all callers are.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: Limits = Limits()
    teams: tuple[Team, ...] | None = None


class LoadedModel(Value, frozen=True):
    """A model in a server's memory, with its loaded adapters."""

    model: str
    adapters: tuple[str, ...] = ()


class SoftwareVersion(Value, frozen=True):
    """Version of a backend server's software, not of the weights that it has loaded.

    Versions are equal or not; they have no order.

    :param name: as the server states it; empty: it states none.
    """

    name: str


UNSTATED_VERSION = SoftwareVersion(name="")
"""Version of servers that state none."""


class ServerEntry(Value, frozen=True):
    """A backend server's entry in the platform's registry, as last read.

    :param server_id: its id, which it keeps when it restarts.
    :param incarnation: identifies one start of the server.
    :param started_ms: when it started, in Unix ms by its own clock; 0 if unknown.
    :param is_leaving: whether it is draining.
    """

    server_id: str
    incarnation: str
    started_ms: int
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    loaded_models: tuple[LoadedModel, ...]
    software_version: SoftwareVersion = UNSTATED_VERSION


class ServerReport(Value, frozen=True):
    """A model server's report of its state, some hundred milliseconds old.

    :param incarnation: the start of the server that sent the report.
    :param is_busy: whether an order is being carried out.
    :param accepted_orders: number of orders accepted since its start.
    :param pending: adapters that are being loaded, as ``(model, adapter)``.
    :param in_memory: models whose weights are in host memory.
    :param on_disk: models whose weights are on disk.
    :param is_leaving: whether the server is draining.
    """

    incarnation: str
    is_busy: bool
    accepted_orders: int
    loaded_models: tuple[LoadedModel, ...]
    pending: tuple[tuple[str, str], ...]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    is_leaving: bool = False


class OrderKind(enum.StrEnum):
    """What an order asks a model server to do."""

    LOAD = "load"
    UNLOAD = "unload"


class ServerOrder(Value, frozen=True):
    """An order to a model server.

    :param expected_orders: the server carries it out only if it has accepted
        exactly this many orders, so a late or duplicate order has no effect.
    :param fence: fencing token of the holder.
    """

    kind: OrderKind
    model: str
    adapter: str
    expected_orders: int
    holder: str
    fence: int


class OrderAnswer(enum.Enum):
    """How a server answered an order."""

    ACCEPTED = "accepted"
    HELD_ALREADY = "held_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    WRONG_SERVER = "wrong_server"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class AttemptOutcome(enum.StrEnum):
    """How an attempt at a server ended.

    ``DONE``: with a complete answer. ``FAILED``: the server broke off. ``NOT_RUN``: the
    server proved that it did not run the request. ``UNREACHED``: the connection could
    not be opened. ``LEFT``: the caller disconnected or its deadline passed, which says
    nothing about the server. ``UNUSED``: nothing was sent.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNREACHED = "unreached"
    LEFT = "left"
    UNUSED = "unused"


class ModelNeed(Value, frozen=True):
    """Model and tokens that a request needs from a model server.

    :param adapter: empty if it needs none.
    :param output_tokens: maximum number of tokens that it may generate.
    :param expected_tokens: output tokens that the caller expects; 0 if unknown.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int = 0


class InboundRequest(State):
    """A caller's request, decoded.

    :param path: as sent, with its query.
    :param headers: as forwarded to a server: the caller's end-to-end headers without
        those that only the system may set.
    :param wait_ms: how long the caller waits; ``None`` if unknown.
    :param resumes: whether the caller resumes a broken stream.
    :param resumed_attempt: id of the attempt that brought the first event of the stream
        that the caller resumes; empty if it names none or several.
    :param fingerprint: identical for every retry of the request; empty until it is
        needed, which is after the body has been read.
    :param key: the caller's API key, until it has been looked up; empty if it sent
        none or several. It is never logged.
    :param usage_tokens: token usage that the caller states; ``None`` if it states none.
    :param shared_parts: ids of the parts of its prompt that other requests may have,
        too, in the order of the prompt.
    :param own_part: id of the last part of its prompt, which belongs to the request or
        its session; empty if it has none.
    """

    attempt_id: str
    method: str
    host: str
    path: str
    headers: list[tuple[str, str]]
    wait_ms: int | None
    need: ModelNeed | None
    resumes: bool = False
    resumed_attempt: str = ""
    body: bytes = b""
    fingerprint: str = ""
    key: str = ""
    usage_tokens: int | None = None
    shared_parts: tuple[str, ...] = ()
    own_part: str = ""


class NodeSettings(Value, frozen=True):
    """Settings of one instance's process, from the platform's file.

    :param name: name of the instance.
    :param site: its data centre.
    :param frontend: address that callers connect to, ``host:port``.
    :param ready: address of its readiness endpoint.
    :param directory: address of the endpoint that tells callers which instance to use.
    :param link: address that other instances connect to.
    :param seeds: links of some instances, possibly stale.
    :param grace_ms: time between SIGTERM and SIGKILL.
    :param lease_ms: no two holders may give orders within this time.
    :param checks_fences: whether servers refuse an order with an older fencing token.
    :param apply_ms: within this time a configuration is active on all instances.
    :param heartbeat_ms: interval at which servers write their entries.
    :param revocation_ms: within this time a revoked key is refused by all instances,
        even by one that can't receive the change; ``None``: no such bound.
    :param quota_window_ms: window over which quotas are enforced.
    :param quota_overage: fraction by which they may be exceeded in a window.
    :param quota_extra: further allowance per window, in the quota's unit.
    :param cores: processor capacity of this instance, in cores.
    :param link_mbps: bandwidth of its network link, in Mbit/s.
    :param memory_mb: memory of this instance's process, in MB; 0: unknown.
    :param descriptors: file descriptors that it may have open; 0: unknown.
    :param shares_contended: whether teams and ranks get fair shares of model servers,
        and refused callers that return keep their place.
    :param learns_server_speeds: whether each server's speed is estimated by itself.
    :param hedge_ratio: second attempts allowed for each request of a service while the
        first one is silent; 0: none.
    """

    name: str
    site: str
    region: str
    frontend: str
    ready: str
    directory: str
    link: str
    seeds: tuple[str, ...]
    store: str
    grace_ms: int
    lease_ms: int
    retry_ratio: float
    retry_extra: float
    retry_window_ms: int
    directory_ttl_s: float
    checks_fences: bool = False
    apply_ms: int = 2_000
    heartbeat_ms: int = 1_200
    revocation_ms: int | None = None
    quota_window_ms: int = 10_000
    quota_overage: float = 0.0
    quota_extra: float = 0.0
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float = 0.0
    descriptors: int = 0
    shares_contended: bool = False
    learns_server_speeds: bool = False
    hedge_ratio: float = 0.0
