"""State of one service's model servers and of the requests that wait for them."""

import msgspec

from arbutuspulley.admission.rate_limits import RateLimit, get_wait
from arbutuspulley.clock import compute_backoff_ms
from arbutuspulley.data import State, Value
from arbutuspulley.pool.duration import DurationState, estimate_left, note_run_time
from arbutuspulley.pool.prefill_speed import (
    DEFAULT_SPEED,
    SpeedState,
    add_sample,
    get_speed,
)
from arbutuspulley.pool.stream_gaps import StreamGapState, record_stream
from arbutuspulley.ports.fleet import AttemptOutcome, EngineSpec, ModelNeed, ServerEntry

DEFAULT_ADAPTER_MS = 25
"""First guess of how long an adapter takes to load, in ms: adapters of some ten MB
take 5 to 15, and the order's way there. Corrected by refusals, see
:func:`record_not_run`."""

SUSPECT_MS = 1_000
"""How long a server that could not be reached gets no work, in ms; doubled at each
further failure."""

LONGEST_SUSPECT_MS = 4_000
"""Most of that, in ms: crashed servers are back after 4 to 6 s."""


FAILURE_MEMORY = 0.1
"""Weight of the newest run in a server's share of failures: about the last ten."""


TYPICAL_TOKENS = 1_200
"""Prompt tokens of a request before any was seen: a page or two of text."""


class WaitingRequest(State):
    """A request that waits for a server.

    :param origin: the instance that asked.
    :param arrived_at: when it came, in ms.
    :param late_at: after this it can hardly be on time any more.
    :param give_up_at: after this it is refused.
    :param priority: rank of its route; 0 is the most urgent.
    :param avoid: incarnations that refused or failed it.
    :param is_repeat: whether a server has refused it before.
    :param pause_ms: the longest pause between its events that is on time; 0: any.
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


class Run(State):
    """A request that was granted a server and has not ended.

    :param first_at: when the first part of its answer came, ``None`` before.
    :param was_free: whether its server read nothing as it was granted.
    :param is_repeat: whether a server has refused it before.
    :param pause_ms: the longest pause between its events that is on time; 0: any, as of
        one that is late already.
    :param read_before_ms: what its server had read when its first event came.
    """

    origin: str
    need: ModelNeed
    granted_at: int
    gap_target_ms: int = 0
    prefill_before_ms: float = 0
    first_at: int | None = None
    was_free: bool = False
    is_repeat: bool = False


class LateLoad(Value, frozen=True):
    """A load without an answer that the server's next start may still carry out.

    :param expected: after so many accepted orders it is carried out, and only then.
    :param until: when it has come at the latest, in ms.
    """

    expected: int
    until: int


class ServerState(State):
    """One model server as its coordinator believes it.

    :param server_id: the id under which it may start again.
    :param models: what is ready, model to adapters.
    :param orders: orders accepted since its start; ``None`` if a report is needed
        before the next order.
    :param loading: the model that is being loaded, empty if none.
    :param loading_until: when that should be done, in ms.
    :param planned: the model that is to be loaded once another has left.
    :param planned_gain: what that load was worth, in requests; a model that is worth
        more by far takes its place.
    :param planned_until: until when that plan stands, in ms.
    :param unconfirmed: the model whose load should be done but has not answered.
    :param unloading: the model that leaves once its runs have ended.
    :param adapters_due: adapters on their way and when they should be there.
    :param adapters_leaving: adapters whose unload has not been seen done.
    :param refusing_until: models whose requests it has just refused as not run, and
        until when none is sent to it, in ms.
    :param order_busy: whether an order's answer is awaited.
    :param order_again_at: no order before this time, in ms.
    :param conflicts: orders in a row that the server could not take.
    :param unknowns: orders in a row that got no answer.
    :param unanswered_loads: loads without an answer, by model.
    :param late_loads: those of the start before, if it went by the same id.
    :param unanswered_load: the model of a load without an answer; it was counted.
    :param read_until: when the prompts granted so far should be read, in ms.
    :param pauses: what it reads between events of its streams.
    :param suspect_until: no new work before this time, in ms.
    :param failures: failures in a row.
    :param failure_share: moving share of requests that failed.
    :param limit: the rate limit that it names, ``None`` if it names none.
    """

    incarnation: str
    address: str
    zone: str
    slots: int
    server_id: str = ""
    is_leaving: bool = False
    models: dict[str, set[str]] = msgspec.field(default_factory=dict)
    orders: int | None = None
    loading: str = ""
    loading_until: int = 0
    planned: str = ""
    planned_until: int = 0
    planned_gain: float = 0
    unconfirmed: str = ""
    unloading: str = ""
    adapters_due: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)
    adapters_leaving: set[tuple[str, str]] = msgspec.field(default_factory=set)
    refusing_until: dict[str, int] = msgspec.field(default_factory=dict)
    order_busy: bool = False
    order_again_at: int = 0
    conflicts: int = 0
    unknowns: int = 0
    unanswered_load: str = ""
    unanswered_loads: dict[str, LateLoad] = msgspec.field(default_factory=dict)
    late_loads: dict[str, LateLoad] = msgspec.field(default_factory=dict)
    ordered_at: int = 0
    prefill_until: float = 0
    stream_gaps: StreamGapState = msgspec.field(default_factory=StreamGapState)
    suspect_until: int = 0
    failures: int = 0
    failure_share: float = 0
    limit: RateLimit | None = None
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    runs: dict[str, Run] = msgspec.field(default_factory=dict)
    adapter_used_at: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)


class Demand(State):
    """Prompt tokens a second asked for of a model, as moving means.

    :param steady: over the last seconds.
    :param swift: over about the last one.
    """

    steady: float = 0
    swift: float = 0


class PoolState(State):
    """All model servers of a service.

    :param demand: what each model was asked for.
    :param demand_at: when ``demand`` was last brought up to date.
    :param demand_since: since when it is counted, in ms; ``None``: not yet.
    :param mean_tokens: moving mean of a request's prompt tokens.
    :param missed_at: models without a copy, and since when one is waited for, in ms.
    :param loads: when loads from the weight store were ordered, in ms.
    :param next_start: when the first of those that wait for a server to have read may
        start, in ms; ``None`` if none does.
    :param speeds: what is known of the servers' reading speed, by kind of model;
        see :func:`get_kind`.
    :param durations: what is known of how long runs last.
    """

    service: str
    spec: EngineSpec
    servers: dict[str, ServerState] = msgspec.field(default_factory=dict)
    waiting: dict[str, WaitingRequest] = msgspec.field(default_factory=dict)
    demand: dict[str, Demand] = msgspec.field(default_factory=dict)
    demand_at: int = 0
    demand_since: int | None = None
    mean_tokens: float = TYPICAL_TOKENS
    missed_at: dict[str, int] = msgspec.field(default_factory=dict)
    loads: list[int] = msgspec.field(default_factory=list)
    next_start: float | None = None
    adapter_ms: float = DEFAULT_ADAPTER_MS
    speeds: dict[str, SpeedState] = msgspec.field(default_factory=dict)
    durations: DurationState = msgspec.field(default_factory=DurationState)


def update_servers(pool: PoolState, entries: list[ServerEntry]) -> None:
    """Bring the servers up to date with the registered entries.

    Holdings are taken from the entry only for a server that is new here: later
    the own orders are known sooner and reports correct them.
    """
    listed = {one.incarnation: one for one in entries if one.service == pool.service}
    gone: dict[str, ServerState] = {}
    for incarnation in [one for one in pool.servers if one not in listed]:
        left = pool.servers.pop(incarnation)
        gone[left.server_id] = left
    for incarnation, entry in listed.items():
        server = pool.servers.get(incarnation)
        if server is None:
            server = _build_server(entry)
            pool.servers[incarnation] = server
            if entry.server_id in gone:
                # All else that was believed belongs to the start before. An order
                # names the id only, so one that is carried out late meets this start.
                server.late_loads = gone[entry.server_id].unanswered_loads
        server.is_leaving = entry.is_leaving
        server.address = entry.address


def _build_server(entry: ServerEntry) -> ServerState:
    return ServerState(
        incarnation=entry.incarnation,
        server_id=entry.server_id,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        models={one.model: set(one.adapters) for one in entry.loaded_models},
    )


def is_usable(server: ServerState, *, now: int) -> bool:
    """Tell whether a server may get new work."""
    return not server.is_leaving and now >= server.suspect_until


def get_limit_wait(server: ServerState, *, now: int) -> int:
    """Return in how many ms a server's rate limit allows it a request; 0: now."""
    return 0 if server.limit is None else get_wait(server.limit, now=now)


def holds(server: ServerState, need: ModelNeed, *, now: int) -> bool:
    """Tell whether a server has the model and the adapter that a request needs."""
    adapters = server.models.get(need.model)
    if adapters is None or server.unloading == need.model:
        return False
    if now < server.refusing_until.get(need.model, 0):
        return False
    if not need.adapter:
        return True
    if need.adapter in adapters:
        return True
    due = server.adapters_due.get((need.model, need.adapter))
    return due is not None and now >= due


def has_weights(server: ServerState, model: str) -> bool:
    """Tell whether a server can load a model without the weight store."""
    return model in server.in_memory or model in server.on_disk


def settle_due(server: ServerState, *, now: int) -> None:
    """Count loads as done whose time has come.

    A load that is late shows by a refusal of the first request that tries it; see
    :func:`record_not_run`. Only one request tries, until it was answered.
    """
    if server.loading and now >= server.loading_until:
        server.models.setdefault(server.loading, set())
        server.unconfirmed = server.loading
        # A load leaves copies of the weights in the server's memory and on its disk.
        server.in_memory |= {server.loading}
        server.on_disk |= {server.loading}
        server.loading = ""
    for model, late in list(server.late_loads.items()):
        if now >= late.until:
            del server.late_loads[model]
    for (model, adapter), due in list(server.adapters_due.items()):
        if now >= due:
            del server.adapters_due[model, adapter]
            if model in server.models:
                server.models[model].add(adapter)


def forget_model(server: ServerState, model: str) -> None:
    """A model has left a server, and its adapters with it."""
    server.models.pop(model, None)
    if server.unloading == model:
        server.unloading = ""
    if server.unconfirmed == model:
        server.unconfirmed = ""
    for pair in [pair for pair in server.adapters_due if pair[0] == model]:
        del server.adapters_due[pair]
    server.adapters_leaving = {
        pair for pair in server.adapters_leaving if pair[0] != model
    }


def record_first_event(
    pool: PoolState, key: str, incarnation: str, *, took_ms: int, now: int
) -> None:
    """The first part of an answer came: the prompt is read, the load confirmed.

    :param took_ms: since the request was sent to the server.
    """
    server = pool.servers.get(incarnation)
    run = server.runs.get(key) if server else None
    if server is None or run is None:
        return
    run.first_at = now
    run.prefill_before_ms = server.stream_gaps.prefill_ms
    if run.was_free:
        add_sample(
            _get_speed_state(pool, run.need.model),
            tokens=run.need.prompt_tokens,
            took_ms=took_ms,
        )
    server.failures = 0
    server.suspect_until = 0
    if server.unconfirmed == run.need.model:
        server.unconfirmed = ""


def get_kind(spec: EngineSpec, model: str) -> str:
    """Name the models that are taken to be read equally fast: those of one size.

    Few requests come for a rarely used model; those for its like tell as much.
    """
    found = spec.models.get(model)
    return f"{found.size_mb:g}/{found.adapter_mb:g}" if found else ""


def get_prefill_speed(pool: PoolState, model: str) -> float:
    """Return the prompt tokens of a model that a server reads in a ms.

    Of a kind that was not seen yet, the slowest of the others is assumed.
    """
    state = pool.speeds.get(get_kind(pool.spec, model))
    if state is not None:
        return get_speed(state)
    known = (get_speed(one) for one in pool.speeds.values())
    return min(known, default=DEFAULT_SPEED)


def list_prefill_speeds(pool: PoolState) -> dict[str, float]:
    """Return the reading speeds by kind of model, for a successor."""
    return {kind: get_speed(one) for kind, one in pool.speeds.items()}


def inherit_prefill_speeds(pool: PoolState, speeds: dict[str, float]) -> None:
    """Begin with what a predecessor has learnt."""
    for kind, speed in speeds.items():
        pool.speeds.setdefault(kind, SpeedState(guess=speed))


def _get_speed_state(pool: PoolState, model: str) -> SpeedState:
    kind = get_kind(pool.spec, model)
    state = pool.speeds.get(kind)
    if state is None:
        state = pool.speeds[kind] = SpeedState(guess=get_prefill_speed(pool, model))
    return state


def record_run_end(
    pool: PoolState,
    key: str,
    incarnation: str,
    *,
    how: AttemptOutcome,
    now: int,
    events: int = 0,
) -> None:
    """A run ended.

    :param events: of its stream, as far as this server made them.
    """
    server = pool.servers.get(incarnation)
    if server is None:
        return
    run = server.runs.pop(key, None)
    is_failed = how is AttemptOutcome.FAILED
    server.failure_share += FAILURE_MEMORY * (is_failed - server.failure_share)
    if run is not None and run.first_at is not None and how is AttemptOutcome.DONE:
        took_ms = now - run.first_at
        note_run_time(pool.durations, run.need, took_ms=took_ms)
        record_stream(
            server.stream_gaps,
            events=events,
            took_ms=took_ms,
            prefill_ms=server.stream_gaps.prefill_ms - run.prefill_before_ms,
        )


def estimate_unload(
    pool: PoolState, server: ServerState, model: str, *, now: int
) -> float:
    """Return how long the unload of a model will wait for its runs, in ms."""
    return max(
        (
            estimate_left(pool.durations, run.need, ran_ms=now - run.granted_at)
            for run in server.runs.values()
            if run.need.model == model
        ),
        default=0.0,
    )


def record_unreachable(
    pool: PoolState, key: str, incarnation: str, *, now: int
) -> None:
    """A server could not be connected to; it gets no work for a while."""
    server = pool.servers.get(incarnation)
    if server is None:
        return
    server.runs.pop(key, None)
    server.failures += 1
    server.suspect_until = now + compute_backoff_ms(
        SUSPECT_MS, max_ms=LONGEST_SUSPECT_MS, count=server.failures
    )
    server.orders = None


def record_not_run(pool: PoolState, key: str, incarnation: str, *, now: int) -> None:
    """A server refused a request as not run: it lacks something, or is full.

    What was thought to be there may still be on its way; it is tried again a
    little later, and a report is asked for before the next order.
    """
    server = pool.servers.get(incarnation)
    if server is None:
        return
    run = server.runs.pop(key, None)
    if run is None:
        return
    need = run.need
    if server.unloading == need.model:
        return
    if server.unconfirmed == need.model:
        # The load takes longer than usual, or others slow it down. The model stays on
        # the books: its memory is taken.
        server.refusing_until[need.model] = now + RETRY_LOAD_MS
        server.order_again_at = now + RETRY_LOAD_MS
        return
    server.orders = None
    if need.adapter and not run.is_repeat:
        adapters = server.models.get(need.model, set())
        adapters.discard(need.adapter)
        server.adapters_due[need.model, need.adapter] = now + RETRY_ADAPTER_MS
        pool.adapter_ms = min(MOST_ADAPTER_MS, pool.adapter_ms * 1.25)
        return
    server.refusing_until[need.model] = now + REFUSING_MS


RETRY_LOAD_MS = 150
"""When a load that took longer than expected is tried again, in ms."""

REFUSING_MS = 150
"""How long a model's requests are kept from a server that refused one, in ms: it may
be unloading the model once its runs have ended, or be full."""

RETRY_ADAPTER_MS = 20
"""When an adapter that took longer than expected is tried again, in ms."""

MOST_ADAPTER_MS = 120
"""Largest expected time of an adapter load, in ms: ten times the usual."""
