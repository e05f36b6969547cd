"""What the serving path sees of its surroundings: configuration, servers, requests.

An adapter decodes its wire formats into these types once. Sizes are in tokens or
megabytes and times in milliseconds; the field says which.
"""

import enum

from arbutuspulley.data import State, Value


class RetryPolicy(enum.StrEnum):
    """How often a request may run.

    ``ANY``: idempotent, it may run again. ``ONCE``: at most once. ``RESUME``: a
    stream that may run again from the last event that reached the caller.
    """

    ANY = "any"
    ONCE = "once"
    RESUME = "resume"


class Share(Value, frozen=True):
    """The part of a route's requests that one service gets."""

    service: str
    weight: float


class Route(Value, frozen=True):
    """One route of a configuration.

    :param host: host name it serves.
    :param prefix: path prefix; begins and ends with a slash.
    :param is_stream: whether answers are event streams.
    :param timeout_ms: longest time until the final answer.
    :param latency_target_ms: time until the (first part of the) answer that earns full
        credit.
    :param gap_target_ms: longest pause between events of a stream that is still on
        time.
    :param priority: rank, 0 is the most urgent.
    :param max_attempts: most servers that may get one request.
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

    :param keys: each proves that a caller belongs to it.
    :param priority: rank of its requests instead of their routes'; ``None``: theirs.
    :param rate_per_s: its quota over all instances; 0: none.
    :param burst: what it may use beyond the rate after a pause.
    :param counts_tokens: whether rate and burst are in tokens, not in requests.
    :param default_tokens: what a request costs that does not say how many it uses.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    counts_tokens: bool = False
    default_tokens: int = 0


class ModelSpec(Value, frozen=True):
    """Size and load time of a model.

    :param size_mb: memory of its weights.
    :param adapter_mb: memory of one of its adapters.
    :param load_ms: from the weight store.
    :param disk_load_ms: from the server's disk.
    :param warm_load_ms: from the server's host memory.
    """

    name: str
    size_mb: float
    adapter_mb: float
    load_ms: float
    disk_load_ms: float
    warm_load_ms: float


class EngineSpec(Value, frozen=True):
    """What each model server of a service can do.

    :param slots: requests that one batch holds.
    :param cache_tokens: KV cache memory.
    :param memory_mb: memory for weights and adapters.
    :param adapter_slots: most adapters at once.
    :param loads_per_s: loads from the weight store, over all servers.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec]


class ServiceSpec(Value, frozen=True):
    """One service.

    :param max_connections: connections that one server accepts from all callers.
    :param engine: present if the service's servers run models.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


class Limits(Value, frozen=True):
    """What a caller may send."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1_024 * 1_024


class FleetConfiguration(Value, frozen=True):
    """One version of what operators want.

    :param teams: only their callers are served; ``None``: whoever asks is.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: Limits = Limits()
    teams: tuple[Team, ...] | None = None


class LoadedModel(Value, frozen=True):
    """A model that a server has in memory, with its adapters."""

    model: str
    adapters: tuple[str, ...] = ()


class ServerEntry(Value, frozen=True):
    """What a backend server last told of itself.

    :param server_id: the id that it goes by; it may start again under the same one.
    :param incarnation: names this start of the server.
    :param started_ms: when it started, in Unix ms by its own clock; 0 if it does not
        say.
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


class ServerReport(Value, frozen=True):
    """A model server's own account of itself, some hundred milliseconds old.

    :param incarnation: the start of the server that tells it.
    :param is_busy: whether an order is being carried out.
    :param accepted_orders: number of orders accepted since its start.
    :param pending: adapters on their way, as ``(model, adapter)``.
    :param warm: models whose weights are in host memory or on disk.
    """

    incarnation: str
    is_busy: bool
    accepted_orders: int
    loaded_models: tuple[LoadedModel, ...]
    pending: tuple[tuple[str, str], ...]
    in_memory: frozenset[str]
    on_disk: frozenset[str]


class OrderKind(enum.StrEnum):
    """What a model server is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


class ServerOrder(Value, frozen=True):
    """An order to a model server.

    :param expected_orders: the server carries it out only if it has accepted
        exactly this many orders, so a late or doubled order has no effect.
    :param fence: fencing token of the holder.
    """

    kind: OrderKind
    model: str
    adapter: str
    expected_orders: int
    holder: str
    fence: int


class OrderAnswer(enum.Enum):
    """How a server took an order."""

    ACCEPTED = "accepted"
    HELD_ALREADY = "held_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    WRONG_SERVER = "wrong_server"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class AttemptOutcome(enum.StrEnum):
    """How a try at a server ended.

    ``DONE``: with a whole answer. ``FAILED``: the server broke off. ``NOT_RUN``: the
    server proved that it did not run the request. ``UNREACHED``: it could not be
    connected to. ``LEFT``: the caller left or the time was up, which says nothing of
    the server. ``UNUSED``: nothing was sent.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNREACHED = "unreached"
    LEFT = "left"
    UNUSED = "unused"


class ModelNeed(Value, frozen=True):
    """What a request needs of a model server.

    :param adapter: empty if it needs none.
    :param output_tokens: most tokens that it may generate.
    :param expected_tokens: how many the caller expects; 0 if it did not say.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int = 0


class InboundRequest(State):
    """A caller's request, decoded.

    :param path: as sent, with its query.
    :param headers: as forwarded to a server: end-to-end headers of the caller
        without those that only the system may set.
    :param wait_ms: how long the caller waits; ``None`` if it did not say.
    :param resumes: whether the caller goes on with a broken stream.
    :param fingerprint: the same whenever it is sent again; empty until it is needed,
        which is after the body was read.
    :param key: the caller's only key, until it was looked up; empty if it sent none or
        several. It is never logged.
    :param usage_tokens: tokens that the caller says it uses; ``None``: it does not say.
    """

    attempt_id: str
    method: str
    host: str
    path: str
    headers: list[tuple[str, str]]
    wait_ms: int | None
    need: ModelNeed | None
    resumes: bool = False
    body: bytes = b""
    fingerprint: str = ""
    key: str = ""
    usage_tokens: int | None = None


class NodeSettings(Value, frozen=True):
    """Settings of one instance's process, from the platform's file.

    :param name: name of the instance.
    :param site: its data centre.
    :param frontend: where callers connect, ``host:port``.
    :param ready: where its readiness is asked for.
    :param directory: where callers ask which address to use.
    :param link: where other instances connect.
    :param seeds: links of some instances, perhaps stale.
    :param grace_ms: time between SIGTERM and SIGKILL.
    :param lease_ms: no two holders may give orders within this time.
    :param checks_fences: whether servers refuse an order with an older fencing token.
    :param apply_ms: within this time a configuration is in force everywhere.
    :param revocation_ms: within this time a key that was withdrawn works nowhere any
        more, also at an instance that can't hear of it; ``None``: no such bound.
    :param quota_window_ms: the time over which quotas are judged.
    :param quota_overage: part by which they may be exceeded in it.
    :param quota_extra: beside that, in their unit.
    :param cores: processor that this instance has, in cores.
    :param link_mbps: what its network link carries, in Mbit/s.
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
    revocation_ms: int | None = None
    quota_window_ms: int = 10_000
    quota_overage: float = 0.0
    quota_extra: float = 0.0
    cores: float = 1.0
    link_mbps: float = 1_000.0
