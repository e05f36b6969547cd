"""What servers' answers to orders and their reports mean."""

from arbutuspulley.data import Value
from arbutuspulley.pool.load_rate import remove_last_load
from arbutuspulley.pool.state import (
    PoolState,
    ServerState,
    UnansweredLoad,
    remove_model,
)
from arbutuspulley.ports.fleet import ModelSpec, OrderAnswer, OrderKind, ServerReport

LOAD_MARGIN_MS = 30
"""Added to a model's load time before it counts as done, in ms: one way there and
the server's own timer."""

MAX_REPORT_AGE_MS = 600
"""Reports are this old at most, in ms: servers make them every few hundred. An
older belief than this gives way to a report."""

CONFLICT_BACKOFF_MS = 60
"""Pause before the next order to a server that is still busy, in ms."""

MAX_CONFLICTS = 3
"""Conflicts in a row after which a report is asked for. Before, the server probably
still carries out the order before."""

UNLOAD_DELAY_MS = 30
"""Pause after an unload was taken, in ms: an order that follows at once meets a server
that is still busy with it, and then waits twice as long."""

MAX_UNKNOWNS = 4
"""Orders without an answer in a row after which a report is asked for."""

MAX_ORDER_DELAY_MS = 13_000
"""How long an order without an answer may still be carried out, in ms: servers are
known to do so up to 12 s later."""

NEVER = 1 << 60
"""A time that does not come, in ms: an order's answer is awaited first."""


class PlannedOrder(Value, frozen=True):
    """An order to be sent now; its holder and fence are the coordinator's.

    :param used_mb: memory that the server was believed to use as it was planned.
    :param is_counted: whether it was counted as a load from the weight store.
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
    """Take in how a server took an order."""
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
        _apply_accepted_order(pool, server, order, answer, now=now)
        return
    if answer is OrderAnswer.HELD_ALREADY and order.kind is OrderKind.UNLOAD:
        remove_model(server, order.model)
        server.accepted_orders = None
        return
    if answer is OrderAnswer.HELD_ALREADY:
        # The count did not move: the server had it, or has it on its way.
        server.models.setdefault(order.model, set())
        if order.adapter:
            server.models[order.model].add(order.adapter)
        return
    if answer is OrderAnswer.CONFLICT and server.conflicts < MAX_CONFLICTS:
        # It was not carried out. The server is probably busy with the one before.
        server.conflicts += 1
        server.next_order_at = now + CONFLICT_BACKOFF_MS
        return
    if answer is OrderAnswer.UNKNOWN and server.unknowns < MAX_UNKNOWNS:
        # Whatever became of it: the next order expects the same number, so that only
        # one of the two is ever carried out. A conflict then means that it was this.
        server.unknowns += 1
        server.conflicts = MAX_CONFLICTS
        if order.kind is OrderKind.LOAD and not order.adapter:
            server.unanswered_model = order.model
            server.unanswered_loads[order.model] = UnansweredLoad(
                expected_orders=order.expected_orders,
                expires_at=now + MAX_ORDER_DELAY_MS,
            )
        return
    # What a refused or doubtful order has changed is only known from a report that
    # was made after it.
    server.conflicts = server.unknowns = 0
    server.accepted_orders = None
    server.next_order_at = now + CONFLICT_BACKOFF_MS


def apply_report(
    pool: PoolState, incarnation: str, report: ServerReport, *, asked_at: int
) -> None:
    """Take in a server's own account, unless what is known is newer.

    :param asked_at: when the report was asked for, in ms.
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
        one.model: set(one.adapters)
        for one in report.loaded_models
        if not (report.is_busy and one.model == server.unloading)
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
    """Return the servers whose report is needed before they get another order."""
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
    """Tell whether a load that was counted has certainly not begun."""
    if order.kind is not OrderKind.LOAD or order.adapter or not order.is_store_load:
        return False
    # The same load may have been ordered before without an answer, and be under way.
    is_in_doubt = (
        answer is OrderAnswer.UNKNOWN or server.unanswered_model == order.model
    )
    return answer is not OrderAnswer.ACCEPTED and not is_in_doubt


def _is_completed_at_once(order: PlannedOrder, answer: OrderAnswer) -> bool:
    # An adapter that no request uses is unloaded at once, which answers 200 too.
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
        # Taken but not done: it waits for runs to end. A model's runs are known; an
        # adapter keeps its place until a report no longer shows it.
        if order.adapter and answer is OrderAnswer.ACCEPTED:
            return
        if order.adapter:
            _remove_unloaded(server, order)
        elif not _has_runs(server, order.model):
            _remove_unloaded(server, order)
            server.next_order_at = now + UNLOAD_DELAY_MS
        return
    if order.adapter:
        due = now + int(pool.adapter_load_ms)
        server.adapters_due[order.model, order.adapter] = due
        return
    load_ms = get_load_ms(server, pool.spec.models[order.model])
    server.planned = ""
    server.loading_until = now + int(load_ms) + LOAD_MARGIN_MS


def get_load_ms(server: ServerState, spec: ModelSpec) -> float:
    """Return how long a server takes to load a model, by where its weights are."""
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
    """An order was not taken: all is as before."""
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
    """Count a model as gone once the runs that its unload waited for have ended."""
    model = server.unloading
    if model and not server.is_order_in_flight and not _has_runs(server, model):
        remove_model(server, model)


def _has_runs(server: ServerState, model: str) -> bool:
    return any(run.need.model == model for run in server.runs.values())
