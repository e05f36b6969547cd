"""State changes that follow from servers' answers to orders and from their reports."""

from arbutuspulley.data import Value
from arbutuspulley.pool.load_rate import remove_last_load
from arbutuspulley.pool.state import (
    DEFAULT_UNLOAD_MS,
    PoolState,
    ServerState,
    UnansweredLoad,
    remove_model,
)
from arbutuspulley.ports.fleet import ModelSpec, OrderAnswer, OrderKind, ServerReport

LOAD_MARGIN_MS = 30
"""Added to a model's load time before the load is assumed complete, in ms: covers the
one-way network delay and the server's own timer."""

MAX_REPORT_AGE_MS = 600
"""Maximum age of a report, in ms: servers make one every few hundred ms. A report
overrides state that is older than this."""

CONFLICT_BACKOFF_MS = 60
"""Backoff before the next order to a server that is still busy, in ms."""

MAX_CONFLICTS = 3
"""Consecutive conflicts after which a report is requested. Up to then, the server is
probably still carrying out the previous order."""

MAX_UNLOAD_MS = 150
"""Longest expected duration of an unload without runs, in ms."""

UNLOAD_GROWTH = 1.5
"""Factor on the expected duration of unloads after a conflict with one."""

UNLOAD_DECAY = 0.99
"""Factor on it after an order that was accepted as soon as it was due. Each conflict
costs an order and some tens of ms, a longer delay a few ms, so it falls slowly."""

UNLOAD_CONFLICT_MS = 300
"""Time after an unload within which a conflict is attributed to it, in ms. A server
that is busy for longer carries out another order."""

MAX_UNKNOWNS = 4
"""Consecutive unanswered orders after which a report is requested."""

MAX_ORDER_DELAY_MS = 13_000
"""How long an unanswered order may still be carried out, in ms: servers do so up to 12
s later."""

NEVER = 1 << 60
"""Placeholder for a completion time that is unknown until the order is answered, in
ms."""


class PlannedOrder(Value, frozen=True):
    """An order to be sent now; the coordinator adds its holder name and fencing token.

    :param expected_orders: accepted orders at the server for which the order is valid.
    :param used_mb: estimated memory use of the server at planning time, in MB.
    :param is_store_load: whether it counts against the rate of the weight store.
    """

    kind: OrderKind
    incarnation: str
    address: str
    model: str
    adapter: str
    expected_orders: int
    used_mb: int
    is_store_load: bool = False


def apply_order_answer(
    pool: PoolState, order: PlannedOrder, answer: OrderAnswer, *, now: int
) -> None:
    """Update a server's state with its answer to an order.

    :param now: in ms.
    """
    server = pool.servers.get(order.incarnation)
    if server is None:
        return
    server.is_order_in_flight = False
    server.order_answered_at = now
    if answer is not OrderAnswer.ACCEPTED:
        _revert_order(server, order, answer)
    if _has_certainly_not_started(server, order, answer):
        remove_last_load(pool)
    if answer is OrderAnswer.ACCEPTED or _is_completed_at_once(order, answer):
        server.accepted_orders = order.expected_orders + 1
        server.conflicts = server.unknowns = 0
        server.unanswered_model = ""
        _adjust_unload_time(pool, server, UNLOAD_DECAY, now=now)
        _apply_accepted_order(pool, server, order, answer, now=now)
        return
    if answer is OrderAnswer.HELD_ALREADY and order.kind is OrderKind.UNLOAD:
        remove_model(server, order.model)
        server.accepted_orders = None
        return
    if answer is OrderAnswer.HELD_ALREADY:
        # Not counted as accepted: the model or adapter is loaded or being loaded.
        server.models.setdefault(order.model, set())
        if order.adapter:
            server.models[order.model].add(order.adapter)
        return
    if answer is OrderAnswer.CONFLICT and server.conflicts < MAX_CONFLICTS:
        # Not carried out: the server is probably busy with the previous order.
        server.conflicts += 1
        server.next_order_at = now + CONFLICT_BACKOFF_MS
        _adjust_unload_time(pool, server, UNLOAD_GROWTH, now=now)
        return
    if answer is OrderAnswer.UNKNOWN and server.unknowns < MAX_UNKNOWNS:
        # The next order expects the same count, so at most one of the two is carried
        # out. If the next one meets a conflict, this one was carried out.
        server.unknowns += 1
        server.conflicts = MAX_CONFLICTS
        if order.kind is OrderKind.LOAD and not order.adapter:
            server.unanswered_model = order.model
            server.unanswered_loads[order.model] = UnansweredLoad(
                expected_orders=order.expected_orders,
                expires_at=now + MAX_ORDER_DELAY_MS,
            )
        return
    # Only a report made later shows what a refused or unanswered order has changed.
    server.conflicts = server.unknowns = 0
    server.accepted_orders = None
    server.next_order_at = now + CONFLICT_BACKOFF_MS


def apply_report(
    pool: PoolState, incarnation: str, report: ServerReport, *, asked_at: int
) -> None:
    """Update a server's state from its report, unless the state is newer.

    :param asked_at: when the report was requested, in ms.
    """
    server = pool.servers.get(incarnation)
    if server is None or server.is_order_in_flight:
        return
    server.in_memory = report.in_memory
    server.on_disk = report.on_disk
    is_older = asked_at - server.order_answered_at < MAX_REPORT_AGE_MS
    if is_older and server.accepted_orders is not None:
        return
    if is_older and asked_at - server.order_answered_at < MAX_REPORT_AGE_MS // 2:
        return
    if server.loading and report.is_busy and server.loading_until != NEVER:
        server.accepted_orders = report.accepted_orders
        return
    server.accepted_orders = None if report.is_busy else report.accepted_orders
    if report.is_busy:
        server.next_order_at = asked_at + CONFLICT_BACKOFF_MS
    server.models = {
        loaded.model: set(loaded.adapters)
        for loaded in report.loaded_models
        if not (report.is_busy and loaded.model == server.unloading)
    }
    if not report.is_busy:
        server.loading = ""
        server.unloading = ""
    server.adapters_unloading.clear()
    server.adapters_due = {
        pair: asked_at + int(pool.adapter_load_ms) for pair in report.pending
    }
    for model, adapter in report.pending:
        server.models.get(model, set()).discard(adapter)


def list_servers_needing_report(pool: PoolState, *, now: int) -> list[ServerState]:
    """Return the servers that need a new report before they get another order.

    :param now: in ms.
    """
    return [
        server
        for server in pool.servers.values()
        if server.accepted_orders is None
        and not server.is_order_in_flight
        and not server.is_leaving
        and now >= server.backoff_until
        and now - server.order_answered_at >= MAX_REPORT_AGE_MS // 2
    ]


def _has_certainly_not_started(
    server: ServerState, order: PlannedOrder, answer: OrderAnswer
) -> bool:
    """Tell whether a counted load from the weight store has certainly not started."""
    if order.kind is not OrderKind.LOAD or order.adapter or not order.is_store_load:
        return False
    # An earlier unanswered order for the same load may be in progress.
    is_in_doubt = (
        answer is OrderAnswer.UNKNOWN or server.unanswered_model == order.model
    )
    return answer is not OrderAnswer.ACCEPTED and not is_in_doubt


def _is_completed_at_once(order: PlannedOrder, answer: OrderAnswer) -> bool:
    # Unloading an idle adapter completes at once; the server then also answers 200.
    is_adapter_unload = order.kind is OrderKind.UNLOAD and bool(order.adapter)
    return answer is OrderAnswer.HELD_ALREADY and is_adapter_unload


def _apply_accepted_order(
    pool: PoolState,
    server: ServerState,
    order: PlannedOrder,
    answer: OrderAnswer,
    *,
    now: int,
) -> None:
    if order.kind is OrderKind.UNLOAD:
        # Accepted, but it waits for runs to end. The runs of a model are known here;
        # an adapter keeps its slot until a report no longer lists it.
        if order.adapter and answer is OrderAnswer.ACCEPTED:
            return
        if order.adapter:
            _remove_unloaded(server, order)
        elif not _has_runs(server, order.model):
            _remove_unloaded(server, order)
            server.next_order_at = now + int(pool.unload_ms)
            server.unloaded_at = now
        return
    if order.adapter:
        due = now + int(pool.adapter_load_ms)
        server.adapters_due[order.model, order.adapter] = due
        return
    load_ms = get_load_ms(server, pool.spec.models[order.model])
    server.planned = ""
    server.loading_until = now + int(load_ms) + LOAD_MARGIN_MS


def _adjust_unload_time(
    pool: PoolState, server: ServerState, factor: float, *, now: int
) -> None:
    """Adjust the expected duration of unloads by the next order's answer.

    An order that is sent too early finds the server still busy and then waits twice as
    long; how long an unload takes differs between services.
    """
    unloaded_at, server.unloaded_at = server.unloaded_at, None
    if unloaded_at is None or now - unloaded_at > UNLOAD_CONFLICT_MS:
        return
    pool.unload_ms = max(DEFAULT_UNLOAD_MS, min(MAX_UNLOAD_MS, pool.unload_ms * factor))


def get_load_ms(server: ServerState, spec: ModelSpec) -> float:
    """Return how long a server takes to load a model, in ms.

    That depends on where its weights are: in host memory, on disk or in the store.
    """
    if spec.name in server.in_memory:
        return spec.warm_load_ms
    if spec.name in server.on_disk:
        return spec.disk_load_ms
    return spec.load_ms


def _remove_unloaded(server: ServerState, order: PlannedOrder) -> None:
    if order.adapter:
        server.models.get(order.model, set()).discard(order.adapter)
        server.adapters_unloading.discard((order.model, order.adapter))
        return
    remove_model(server, order.model)


def _revert_order(
    server: ServerState, order: PlannedOrder, answer: OrderAnswer
) -> None:
    """Undo the state changes of an order that was not accepted."""
    if order.kind is OrderKind.LOAD:
        if order.adapter:
            server.adapters_due.pop((order.model, order.adapter), None)
        elif server.loading == order.model:
            server.loading = ""
    elif not order.adapter:
        server.unloading = ""
    elif answer is OrderAnswer.CONFLICT:
        server.adapters_unloading.discard((order.model, order.adapter))
        if order.model in server.models:
            server.models[order.model].add(order.adapter)


def complete_unload(server: ServerState) -> None:
    """Remove a model that is being unloaded once none of its runs is left."""
    model = server.unloading
    if model and not server.is_order_in_flight and not _has_runs(server, model):
        remove_model(server, model)


def _has_runs(server: ServerState, model: str) -> bool:
    return any(run.need.model == model for run in server.runs.values())
