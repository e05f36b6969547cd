"""State of the model servers of one service and of the requests that wait for them."""

import msgspec

from arbutuspulley.admission.rate_limits import RateLimit, get_wait
from arbutuspulley.data import State, Value
from arbutuspulley.pool.duration import (
    DurationState,
    estimate_remaining_time,
)
from arbutuspulley.pool.fair_shares import FairShares
from arbutuspulley.pool.prefill_speed import (
    DEFAULT_SPEED,
    PrefillSpeedState,
    get_speed,
)
from arbutuspulley.pool.returns import ReturnedCaller, ReturnState
from arbutuspulley.pool.server_watch import ServerWatch
from arbutuspulley.pool.stream_gaps import StreamGapState
from arbutuspulley.ports.fleet import (
    UNSTATED_VERSION,
    EngineSpec,
    ModelNeed,
    ServerEntry,
    SoftwareVersion,
)

DEFAULT_ADAPTER_LOAD_MS = 25
"""Initial estimate of an adapter's load time, in ms: adapters of some ten MB take 5 to
15 ms, plus the network delay of the order. Refusals raise it, see
:func:`arbutuspulley.pool.runs.record_not_run`."""


DEFAULT_UNLOAD_MS = 30
"""Initial and least estimate of the duration of an unload without runs, in ms."""

DEFAULT_PROMPT_TOKENS = 1_200
"""Assumed prompt tokens of a request before the first one: a page or two of text."""


class WaitingRequest(State):
    """A request that waits for a server.

    :param origin: the instance that the request came from.
    :param priority: rank of its route; 0 is the most urgent.
    :param arrived_at: when it arrived, in ms.
    :param late_at: after this time it can hardly meet its latency target, in ms.
    :param give_up_at: after this time it is refused, in ms.
    :param gap_target_ms: longest gap between its events that is on time; 0: any.
    :param avoid: incarnations of servers that refused or failed it.
    :param is_repeat: whether a server has refused it before.
    :param version: software version that its server must have; ``None``: any.
    :param fingerprint: identical when its caller sends it again; 0: not known.
    :param ends_at: until when its caller waits for the answer, in ms; 0: not known.
    :param returned: record of its earlier refusal; ``None``: it was not refused.
    :param team: team that its share counts for; all without one have one share.
    """

    key: str
    origin: str
    need: ModelNeed
    zone: str
    priority: int
    arrived_at: int
    late_at: int
    give_up_at: int
    gap_target_ms: int = 0
    avoid: tuple[str, ...] = ()
    is_repeat: bool = False
    version: SoftwareVersion | None = None
    fingerprint: int = 0
    ends_at: int = 0
    returned: ReturnedCaller | None = None
    team: str = ""


class Run(State):
    """A request that was granted a server and has not ended.

    :param origin: the instance that the request came from.
    :param granted_at: when it was granted, in ms.
    :param gap_target_ms: longest gap between its events that is on time; 0: any, also
        for a request that is late already.
    :param prefill_before_ms: total prefill time of its server at its first event.
    :param first_at: when the first part of its answer arrived, in ms; ``None`` before.
    :param was_prefill_idle: whether its server had no prefill in progress when it was
        granted.
    :param is_repeat: whether a server has refused it before.
    :param team: team whose share it is charged to.
    :param priority: rank in which it is charged.
    :param charged: cost that its team was charged, in prompt tokens; 0: none.
    """

    origin: str
    need: ModelNeed
    granted_at: int
    gap_target_ms: int = 0
    prefill_before_ms: float = 0
    first_at: int | None = None
    was_prefill_idle: bool = False
    is_repeat: bool = False
    team: str = ""
    priority: int = 0
    charged: float = 0


class UnreachableReport(State):
    """Failed connections of one instance to a server since it last heard from it.

    :param since: first failure, in ms.
    :param failures: number of failures.
    :param withheld_until: until when the server is not granted to the instance, in ms.
    """

    since: int
    failures: int = 0
    withheld_until: int = 0


class UnansweredLoad(Value, frozen=True):
    """An unanswered load that the server's next incarnation may still carry out.

    :param expected_orders: number of accepted orders at which it is carried out, and
        only then.
    :param expires_at: latest time at which it may arrive, in ms.
    """

    expected_orders: int
    expires_at: int


class ServerState(State):
    """State of one model server as its coordinator knows it.

    :param server_id: id of the server; it keeps it when it restarts.
    :param version: version of its software.
    :param models: loaded models, each with its loaded adapters.
    :param accepted_orders: orders accepted since its start; ``None`` if a report is
        needed before the next order.
    :param loading: model that is being loaded; empty if none.
    :param loading_until: expected end of that load, in ms.
    :param planned: model that is to be loaded, perhaps after an unload; empty if none.
    :param planned_until: when that plan expires, in ms.
    :param planned_gain: net gain of that load, in requests; a model with a far higher
        gain replaces it.
    :param unconfirmed_load: model whose load should be complete, but that has not
        answered a request yet.
    :param unloading: model that is unloaded once its runs have ended; empty if none.
    :param adapters_due: expected end of adapter loads in progress, in ms, by model and
        adapter.
    :param adapters_unloading: adapters whose unload is not confirmed yet.
    :param model_backoff_until: until when no request for a model is sent to the server,
        in ms, by model; set when it refuses one as not run.
    :param is_order_in_flight: whether an order has not been answered yet.
    :param next_order_at: earliest time of the next order, in ms.
    :param conflicts: consecutive orders that the server rejected as conflicts.
    :param unknowns: consecutive orders without an answer.
    :param unanswered_model: model of the last unanswered load; that load counts against
        the rate of the weight store.
    :param unanswered_loads: unanswered loads by model.
    :param previous_loads: unanswered loads of the previous incarnation with the same
        server id, by model.
    :param unloaded_at: when a server without runs of the model accepted an unload, in
        ms; ``None`` once another order was answered.
    :param order_answered_at: when the last order was answered or timed out, in ms.
    :param prefill_until: expected end of the prefill of all granted prompts, in ms.
    :param stream_gaps: prefill between events of its streams.
    :param backoff_until: no new requests or orders before this time, in ms.
    :param failures: consecutive failures to connect since it counts as down.
    :param failure_share: moving average of the share of requests that failed.
    :param unreachable_from: failed connections by instance.
    :param heard_at: when it last answered an instance, in ms.
    :param cooldowns: until when the server wants no requests from an instance, in ms,
        by instance.
    :param limit: rate limit that the server states; ``None`` if it states none.
    :param in_memory: models whose weights are in the server's host memory.
    :param on_disk: models whose weights are on the server's disk.
    :param runs: requests in flight, by key.
    :param adapter_used_at: last use of adapters, in ms, by model and adapter.
    """

    incarnation: str
    address: str
    zone: str
    slots: int
    server_id: str = ""
    version: SoftwareVersion = UNSTATED_VERSION
    is_leaving: bool = False
    models: dict[str, set[str]] = msgspec.field(default_factory=dict)
    accepted_orders: int | None = None
    loading: str = ""
    loading_until: int = 0
    planned: str = ""
    planned_until: int = 0
    planned_gain: float = 0
    unconfirmed_load: str = ""
    unloading: str = ""
    adapters_due: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)
    adapters_unloading: set[tuple[str, str]] = msgspec.field(default_factory=set)
    model_backoff_until: dict[str, int] = msgspec.field(default_factory=dict)
    is_order_in_flight: bool = False
    next_order_at: int = 0
    conflicts: int = 0
    unknowns: int = 0
    unanswered_model: str = ""
    unanswered_loads: dict[str, UnansweredLoad] = msgspec.field(default_factory=dict)
    previous_loads: dict[str, UnansweredLoad] = msgspec.field(default_factory=dict)
    unloaded_at: int | None = None
    order_answered_at: int = 0
    prefill_until: float = 0
    stream_gaps: StreamGapState = msgspec.field(default_factory=StreamGapState)
    backoff_until: int = 0
    failures: int = 0
    failure_share: float = 0
    unreachable_from: dict[str, UnreachableReport] = msgspec.field(default_factory=dict)
    heard_at: int = -1
    cooldowns: dict[str, int] = msgspec.field(default_factory=dict)
    limit: RateLimit | None = None
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    runs: dict[str, Run] = msgspec.field(default_factory=dict)
    adapter_used_at: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)


class Demand(State):
    """Moving averages of the demand for a model, in prompt tokens a second.

    :param slow: average over the last seconds.
    :param fast: average over about the last second.
    """

    slow: float = 0
    fast: float = 0


class PoolState(State):
    """All model servers of a service.

    :param servers: by incarnation.
    :param waiting: waiting requests by key.
    :param reaching: linked instances that reach servers.
    :param demand: demand by model.
    :param demand_at: time for which ``demand`` is valid, in ms.
    :param demand_since: when demand was first recorded, in ms; ``None``: not yet.
    :param mean_tokens: moving average of the cost of a request, in prompt tokens.
    :param missing_since: since when requests wait for a model without a copy, in ms, by
        model.
    :param loads: when loads from the weight store were ordered, in ms.
    :param next_start_at: earliest time at which a request that waits for prefill on a
        server may start, in ms; ``None`` if no request does.
    :param adapter_load_ms: expected load time of an adapter.
    :param unload_ms: expected duration of an unload without runs.
    :param speeds: estimated prefill speeds by size class, see :func:`get_size_class`.
    :param durations: estimated run times.
    :param shares_contended: whether teams and ranks get fair shares, see
        :class:`~arbutuspulley.ports.fleet.NodeSettings`.
    :param shares: what teams and ranks were granted.
    :param learns_server_speeds: whether each server's speed is estimated by itself.
    :param returns: refused requests whose callers may come back.
    :param server_watch: what decides whether a model without a copy can be loaded.
    """

    service: str
    spec: EngineSpec
    servers: dict[str, ServerState] = msgspec.field(default_factory=dict)
    waiting: dict[str, WaitingRequest] = msgspec.field(default_factory=dict)
    reaching: frozenset[str] = frozenset()
    demand: dict[str, Demand] = msgspec.field(default_factory=dict)
    demand_at: int = 0
    demand_since: int | None = None
    mean_tokens: float = DEFAULT_PROMPT_TOKENS
    missing_since: dict[str, int] = msgspec.field(default_factory=dict)
    loads: list[int] = msgspec.field(default_factory=list)
    next_start_at: float | None = None
    adapter_load_ms: float = DEFAULT_ADAPTER_LOAD_MS
    unload_ms: float = DEFAULT_UNLOAD_MS
    speeds: dict[str, PrefillSpeedState] = msgspec.field(default_factory=dict)
    durations: DurationState = msgspec.field(default_factory=DurationState)
    shares_contended: bool = False
    shares: FairShares = msgspec.field(default_factory=FairShares)
    learns_server_speeds: bool = False
    returns: ReturnState = msgspec.field(default_factory=ReturnState)
    server_watch: ServerWatch = msgspec.field(default_factory=ServerWatch)


def update_servers(pool: PoolState, entries: list[ServerEntry]) -> None:
    """Add, update and remove servers according to the registered entries.

    The loaded models of an entry are used only for a new server: for known servers, the
    coordinator's own orders are more recent, and reports correct them.
    """
    listed = {
        entry.incarnation: entry for entry in entries if entry.service == pool.service
    }
    removed_by_id: dict[str, ServerState] = {}
    for incarnation in [name for name in pool.servers if name not in listed]:
        removed = pool.servers.pop(incarnation)
        removed_by_id[removed.server_id] = removed
    for incarnation, entry in listed.items():
        server = pool.servers.get(incarnation)
        if server is None:
            server = _build_server(entry)
            pool.servers[incarnation] = server
            if entry.server_id in removed_by_id:
                # All other state belongs to the previous incarnation. An order names
                # only the id, so a late one may be carried out by this incarnation.
                server.previous_loads = removed_by_id[entry.server_id].unanswered_loads
        server.is_leaving = entry.is_leaving
        server.address = entry.address
        server.version = entry.software_version


def _build_server(entry: ServerEntry) -> ServerState:
    return ServerState(
        incarnation=entry.incarnation,
        server_id=entry.server_id,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        models={loaded.model: set(loaded.adapters) for loaded in entry.loaded_models},
    )


def has_version(server: ServerState, version: SoftwareVersion | None) -> bool:
    """Tell whether a server has a version of the software; ``None``: any."""
    return version is None or server.version == version


def is_version_gone(pool: PoolState, version: SoftwareVersion | None) -> bool:
    """Tell whether no server of a version is left."""
    return version is not None and not any(
        server.version == version and not server.is_leaving
        for server in pool.servers.values()
    )


def is_usable(server: ServerState, *, now: int) -> bool:
    """Tell whether a server may get new requests and orders."""
    return not server.is_leaving and now >= server.backoff_until


def get_rate_limit_wait(server: ServerState, *, now: int) -> int:
    """Return in how many ms a server's rate limit allows a request; 0: now."""
    return 0 if server.limit is None else get_wait(server.limit, now=now)


def has_model(server: ServerState, need: ModelNeed, *, now: int) -> bool:
    """Tell whether a server has the model and the adapter that a request needs."""
    adapters = server.models.get(need.model)
    if adapters is None or server.unloading == need.model:
        return False
    if now < server.model_backoff_until.get(need.model, 0):
        return False
    if not need.adapter:
        return True
    if need.adapter in adapters:
        return True
    due = server.adapters_due.get((need.model, need.adapter))
    return due is not None and now >= due


def has_local_weights(server: ServerState, model: str) -> bool:
    """Tell whether a server can load a model without the weight store."""
    return model in server.in_memory or model in server.on_disk


def complete_due_loads(server: ServerState, *, now: int) -> None:
    """Mark loads as complete once their expected time has passed.

    If a load takes longer, the server refuses the first request for the model, see
    :func:`~arbutuspulley.pool.runs.record_not_run`. Only one request is sent until it
    is answered.
    """
    if server.loading and now >= server.loading_until:
        server.models.setdefault(server.loading, set())
        server.unconfirmed_load = server.loading
        # A load also leaves the weights in the server's host memory and on its disk.
        server.in_memory |= {server.loading}
        server.on_disk |= {server.loading}
        server.loading = ""
    for model, load in list(server.previous_loads.items()):
        if now >= load.expires_at:
            del server.previous_loads[model]
    for (model, adapter), due in list(server.adapters_due.items()):
        if now >= due:
            del server.adapters_due[model, adapter]
            if model in server.models:
                server.models[model].add(adapter)


def remove_model(server: ServerState, model: str) -> None:
    """Remove an unloaded model and its adapters from a server's state."""
    server.models.pop(model, None)
    if server.unloading == model:
        server.unloading = ""
    if server.unconfirmed_load == model:
        server.unconfirmed_load = ""
    for pair in [pair for pair in server.adapters_due if pair[0] == model]:
        del server.adapters_due[pair]
    server.adapters_unloading = {
        pair for pair in server.adapters_unloading if pair[0] != model
    }


def get_size_class(spec: EngineSpec, model: str) -> str:
    """Return the size class of a model; all models of one class share a prefill speed.

    A rarely used model gets too few requests for an estimate of its own; requests for
    models of the same size are as suitable.
    """
    found = spec.models.get(model)
    return f"{found.size_mb:g}/{found.adapter_mb:g}" if found else ""


def get_prefill_speed(pool: PoolState, model: str) -> float:
    """Return the prefill speed of a model, in tokens a ms.

    A size class without requests is assumed to be as slow as the slowest known one.
    """
    state = pool.speeds.get(get_size_class(pool.spec, model))
    if state is not None:
        return get_speed(state)
    known = (get_speed(speed) for speed in pool.speeds.values())
    return min(known, default=DEFAULT_SPEED)


def list_prefill_speeds(pool: PoolState) -> dict[str, float]:
    """Return the prefill speeds by size class in tokens a ms, for a successor."""
    return {size_class: get_speed(speed) for size_class, speed in pool.speeds.items()}


def inherit_prefill_speeds(pool: PoolState, speeds: dict[str, float]) -> None:
    """Start with the prefill speeds that the previous coordinator has estimated.

    :param speeds: tokens a ms by size class.
    """
    for size_class, speed in speeds.items():
        pool.speeds.setdefault(size_class, PrefillSpeedState(prior=speed))


def estimate_unload_wait(
    pool: PoolState, server: ServerState, model: str, *, now: int
) -> float:
    """Return how long the unload of a model has to wait for its runs, in ms."""
    return max(
        (
            estimate_remaining_time(
                pool.durations, run.need, ran_ms=now - run.granted_at
            )
            for run in server.runs.values()
            if run.need.model == model
        ),
        default=0.0,
    )
