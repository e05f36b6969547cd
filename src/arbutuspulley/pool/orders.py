"""Which orders the model servers get next, and what their answers mean.

Each order names the number of orders that the server has accepted so far. A
server carries it out only if that still holds, so an order that is lost, late or
doubled never meets a state it was not planned for: whichever of two orders comes
first makes the other fail. No reservation for lost orders is needed.
"""

from collections import Counter

import msgspec

from arbutuspulley.data import Value
from arbutuspulley.pool.demand import find_copies, get_excess, get_rate
from arbutuspulley.pool.loads import forget_load, may_load, note_load
from arbutuspulley.pool.room import (
    choose_adapter_victim,
    count_used_mb,
    plan_room,
)
from arbutuspulley.pool.state import (
    PoolState,
    ServerState,
    Waiting,
    estimate_unload,
    forget_model,
    holds,
    is_usable,
)
from arbutuspulley.ports.fleet import (
    OrderAnswer,
    OrderKind,
    ServerReport,
)

LOAD_SLACK_MS = 30
"""Added to a model's load time before it counts as done, in ms: one way there and
the server's own timer."""

REPORT_LAG_MS = 600
"""Reports are this old at most, in ms; the sheets say some hundred. An older belief
than this gives way to a report."""

CONFLICT_PAUSE_MS = 60
"""Pause before the next order to a server that is still busy, in ms."""

LEAST_GAIN = 1.5
"""Requests that another copy must spare a wait, beyond those that wait for what has to
leave. Loads are priced, and below this models of like demand push each other out."""

MISSED_PER_S = 1.0
"""By how many requests the need of a model without a copy grows for each second that
it has been missed, so that rarely used ones are served, too."""

MOST_MISSED = 8.0
"""Most of that, in requests."""

MOST_CONFLICTS = 3
"""Conflicts in a row after which a report is asked for. Before, the server probably
still carries out the order before."""

HOT_BACKLOG_MS = 250
"""Wait of a model's prompts that one copy works off in time, in ms: a third of the
shortest aims on the sheets."""

UNLOAD_MS = 30
"""Pause after an unload was taken, in ms: an order that follows at once meets a server
that is still busy with it, and then waits twice as long."""

RUN_SHARE = 0.05
"""What each request that runs on a server counts against loading there, in requests:
all that a server holds shares its batch."""

NEAR_GAIN = 0.3
"""What it counts for a server that it has the weights in memory or on disk, in
requests: the load takes half as long and costs nothing."""

MOST_UNKNOWNS = 4
"""Orders without an answer in a row after which a report is asked for."""

PLAN_MS = 6_000
"""How long a server is kept for a model that is to be loaded there, in ms: what leaves
may wait for streams that take some seconds."""

PATIENCE_MS = 3_000
"""After so long a copy no longer spares anybody a wait, in ms: callers leave after 2 to
4 s without a first event."""

STUCK_MS = 1_000
"""A server whose unload will wait for longer, in ms, does not count as about to have
the model that it was chosen for: a model that nobody had was once not loaded for 7 s,
and 103 of its requests were refused, as its server waited for one stream to end."""

NEVER = 1 << 60
"""A time that does not come, in ms: an order's answer is awaited first."""

SPREAD_BACKLOG_MS = 150
"""Backlog of the servers with an adapter that is worth loading it elsewhere, in ms;
an adapter takes a tenth of that."""


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
    is_counted: bool = False


def plan_orders(pool: PoolState, *, now: int) -> list[PlannedOrder]:
    """Decide the next orders, at most one a server."""
    planned: list[PlannedOrder] = []
    _plan_adapters(pool, planned, now=now)
    for server in pool.servers.values():
        if server.planned and now >= server.planned_until:
            server.planned = ""
        order = _go_on(pool, server, now=now)
        if order is not None:
            planned.append(order)
    for model, gain in _list_wanted(pool, now=now):
        order = _plan_model(pool, model, gain, now=now)
        if order is not None:
            planned.append(order)
    return planned


def note_answer(
    pool: PoolState, order: PlannedOrder, answer: OrderAnswer, *, now: int
) -> None:
    """Take in how a server took an order."""
    server = pool.servers.get(order.incarnation)
    if server is None:
        return
    server.order_busy = False
    server.ordered_at = now
    if answer is not OrderAnswer.ACCEPTED:
        _take_back(server, order, answer)
    if _has_not_begun(server, order, answer):
        forget_load(pool)
    if answer is OrderAnswer.ACCEPTED or _is_done_at_once(order, answer):
        server.orders = order.expected_orders + 1
        server.conflicts = server.unknowns = 0
        server.unanswered_load = ""
        _apply(pool, server, order, answer, now=now)
        return
    if answer is OrderAnswer.HELD_ALREADY and order.kind is OrderKind.UNLOAD:
        forget_model(server, order.model)
        server.orders = None
        return
    if answer is OrderAnswer.HELD_ALREADY:
        # The count did not move: the server had it, or has it on its way.
        server.models.setdefault(order.model, set())
        if order.adapter:
            server.models[order.model].add(order.adapter)
        return
    if answer is OrderAnswer.CONFLICT and server.conflicts < MOST_CONFLICTS:
        # It was not carried out. The server is probably busy with the one before.
        server.conflicts += 1
        server.order_again_at = now + CONFLICT_PAUSE_MS
        return
    if answer is OrderAnswer.UNKNOWN and server.unknowns < MOST_UNKNOWNS:
        # Whatever became of it: the next order expects the same number, so that only
        # one of the two is ever carried out. A conflict then means that it was this.
        server.unknowns += 1
        server.conflicts = MOST_CONFLICTS
        if order.kind is OrderKind.LOAD and not order.adapter:
            server.unanswered_load = order.model
        return
    # What a refused or doubtful order has changed is only known from a report that
    # was made after it.
    server.conflicts = server.unknowns = 0
    server.orders = None
    server.order_again_at = now + CONFLICT_PAUSE_MS


def note_report(
    pool: PoolState, incarnation: str, report: ServerReport, *, asked_at: int
) -> None:
    """Take in a server's own account, unless what is known is newer.

    :param asked_at: when the report was asked for, in ms.
    """
    server = pool.servers.get(incarnation)
    if server is None or server.order_busy:
        return
    server.in_memory = report.in_memory
    server.on_disk = report.on_disk
    is_older = asked_at - server.ordered_at < REPORT_LAG_MS
    if is_older and server.orders is not None:
        return
    if is_older and asked_at - server.ordered_at < REPORT_LAG_MS // 2:
        return
    if server.loading and report.is_busy and server.loading_until != NEVER:
        server.orders = report.orders
        return
    server.orders = None if report.is_busy else report.orders
    if report.is_busy:
        server.order_again_at = asked_at + CONFLICT_PAUSE_MS
    server.models = {
        one.model: set(one.adapters)
        for one in report.holdings
        if not (report.is_busy and one.model == server.unloading)
    }
    if not report.is_busy:
        server.loading = ""
        server.unloading = ""
    server.adapters_leaving.clear()
    server.adapters_due = {
        pair: asked_at + int(pool.adapter_ms) for pair in report.pending
    }
    for model, adapter in report.pending:
        server.models.get(model, set()).discard(adapter)


def list_unsure(pool: PoolState, *, now: int) -> list[ServerState]:
    """Return the servers whose report is needed before they get another order."""
    return [
        server
        for server in pool.servers.values()
        if server.orders is None
        and not server.order_busy
        and not server.is_leaving
        and now >= server.suspect_until
        and now - server.ordered_at >= REPORT_LAG_MS // 2
    ]


def _has_not_begun(
    server: ServerState, order: PlannedOrder, answer: OrderAnswer
) -> bool:
    """Tell whether a load that was counted has certainly not begun."""
    if order.kind is not OrderKind.LOAD or order.adapter or not order.is_counted:
        return False
    # The same load may have been ordered before without an answer, and be under way.
    is_in_doubt = answer is OrderAnswer.UNKNOWN or server.unanswered_load == order.model
    return answer is not OrderAnswer.ACCEPTED and not is_in_doubt


def _is_done_at_once(order: PlannedOrder, answer: OrderAnswer) -> bool:
    # An adapter that no request uses is unloaded at once, which answers 200 too.
    is_adapter_unload = order.kind is OrderKind.UNLOAD and bool(order.adapter)
    return answer is OrderAnswer.HELD_ALREADY and is_adapter_unload


def _apply(
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
            _forget(server, order)
        elif not _has_runs(server, order.model):
            _forget(server, order)
            server.order_again_at = now + UNLOAD_MS
        return
    if order.adapter:
        due = now + int(pool.adapter_ms)
        server.adapters_due[order.model, order.adapter] = due
        return
    spec = pool.spec.models[order.model]
    if order.model in server.in_memory:
        takes = spec.warm_load_ms
    elif order.model in server.on_disk:
        takes = spec.disk_load_ms
    else:
        takes = spec.load_ms
    server.planned = ""
    server.loading_until = now + int(takes) + LOAD_SLACK_MS


def _forget(server: ServerState, order: PlannedOrder) -> None:
    if order.adapter:
        server.models.get(order.model, set()).discard(order.adapter)
        server.adapters_leaving.discard((order.model, order.adapter))
        return
    forget_model(server, order.model)


def _take_back(server: ServerState, order: PlannedOrder, answer: OrderAnswer) -> None:
    """An order was not taken: all is as before."""
    if order.kind is OrderKind.LOAD:
        if order.adapter:
            server.adapters_due.pop((order.model, order.adapter), None)
        elif server.loading == order.model:
            server.loading = ""
    elif not order.adapter:
        server.unloading = ""
    elif answer is OrderAnswer.CONFLICT:
        server.adapters_leaving.discard((order.model, order.adapter))
        if order.model in server.models:
            server.models[order.model].add(order.adapter)


def finish_unload(server: ServerState) -> None:
    """Count a model as gone once the runs that its unload waited for have ended."""
    model = server.unloading
    if model and not server.order_busy and not _has_runs(server, model):
        forget_model(server, model)


def _has_runs(server: ServerState, model: str) -> bool:
    return any(run.need.model == model for run in server.runs.values())


def _may_order(server: ServerState, *, now: int) -> bool:
    finish_unload(server)
    if server.unloading:
        return False
    return (
        server.orders is not None
        and not server.order_busy
        and now >= server.order_again_at
        and is_usable(server, now=now)
    )


def _plan_adapters(pool: PoolState, planned: list[PlannedOrder], *, now: int) -> None:
    wanted: dict[tuple[str, str], Waiting] = {}
    for waiting in pool.waiting.values():
        if waiting.need.adapter:
            pair = (waiting.need.model, waiting.need.adapter)
            wanted.setdefault(pair, waiting)
    taken: set[str] = set()
    for (model, adapter), waiting in wanted.items():
        if _is_adapter_near(pool, waiting, now=now):
            continue
        server = _find_adapter_server(pool, model, adapter, taken, now=now)
        if server is None:
            continue
        taken.add(server.incarnation)
        order = _order_adapter(pool, server, model, adapter)
        if order is not None:
            planned.append(order)


def _is_adapter_near(pool: PoolState, waiting: Waiting, *, now: int) -> bool:
    pair = (waiting.need.model, waiting.need.adapter)
    for server in pool.servers.values():
        if not is_usable(server, now=now):
            continue
        if pair in server.adapters_due:
            return True
        is_free = server.read_until - now < SPREAD_BACKLOG_MS
        if is_free and holds(server, waiting.need, now=now):
            return True
    return False


def _find_adapter_server(
    pool: PoolState, model: str, adapter: str, taken: set[str], *, now: int
) -> ServerState | None:
    candidates = [
        server
        for server in pool.servers.values()
        if model in server.models
        and adapter not in server.models[model]
        and server.unloading != model
        and now >= server.refusing_until.get(model, 0)
        and server.incarnation not in taken
        and _may_order(server, now=now)
        and not server.loading
    ]
    return min(
        candidates, key=lambda one: (one.read_until, len(one.runs)), default=None
    )


def _order_adapter(
    pool: PoolState, server: ServerState, model: str, adapter: str
) -> PlannedOrder | None:
    spec = pool.spec
    count = sum(len(held) for held in server.models.values())
    count += len(server.adapters_due) + len(server.adapters_leaving)
    needed = spec.models[model].adapter_mb
    is_room = count_used_mb(spec, server) + needed <= spec.memory_mb
    if count < spec.adapter_slots and is_room:
        return _build(pool, server, OrderKind.LOAD, model, adapter)
    victim = choose_adapter_victim(pool, server)
    if victim is None:
        return None
    return _build(pool, server, OrderKind.UNLOAD, *victim)


def _list_wanted(pool: PoolState, *, now: int) -> list[tuple[str, float]]:
    """Return the models that may need another copy and how many requests it spares."""
    waiting = Counter(one.need.model for one in pool.waiting.values())
    wanted: list[tuple[str, float]] = []
    for model in {*waiting, *pool.demand}:
        if model not in pool.spec.models:
            continue
        found = find_copies(pool, model, now=now)
        copies = sum(not _is_stuck(pool, one, model, now=now) for one in found)
        gain = get_excess(pool, model, copies) - get_excess(pool, model, copies + 1)
        gain += _count_relieved(pool, model, waiting[model], copies)
        gain += _count_missed(pool, model, waiting[model], copies, now=now)
        if gain > 0:
            wanted.append((model, gain))
    return sorted(wanted, key=lambda one: -one[1])


def _is_stuck(pool: PoolState, server: ServerState, model: str, *, now: int) -> bool:
    """Tell whether a server that is to load a model waits long to unload another."""
    if server.planned != model or not server.unloading:
        return False
    return estimate_unload(pool, server, server.unloading, now=now) > STUCK_MS


def _count_relieved(pool: PoolState, model: str, waiting: int, copies: int) -> float:
    """Return how many of a model's waiting requests another copy would take over."""
    at_once = get_rate(pool, model) * HOT_BACKLOG_MS / 1_000 / pool.mean_tokens
    return max(0.0, waiting - at_once * copies) / (copies + 1)


def _count_missed(
    pool: PoolState, model: str, waiting: int, copies: int, *, now: int
) -> float:
    if copies:
        pool.missed_at.pop(model, None)
        return 0.0
    if not waiting:
        return 0.0
    since = pool.missed_at.setdefault(model, now)
    missed = MISSED_PER_S * (now - since) / 1_000
    return LEAST_GAIN + min(MOST_MISSED, missed)


def _plan_model(
    pool: PoolState, model: str, gain: float, *, now: int
) -> PlannedOrder | None:
    best: ServerState | None = None
    most = 0.0
    is_store_free = may_load(pool, now=now)
    for server in pool.servers.values():
        if model in server.models or server.loading or server.planned:
            continue
        if not _may_order(server, now=now):
            continue
        is_near = model in server.in_memory or model in server.on_disk
        if not is_near and not is_store_free:
            continue
        plan = plan_room(pool, server, model, now=now)
        if plan is None:
            continue
        left = gain * max(0.0, 1 - plan.wait_ms / PATIENCE_MS)
        if left - plan.cost < LEAST_GAIN:
            continue
        worth = left - plan.cost - RUN_SHARE * len(server.runs) + NEAR_GAIN * is_near
        if best is None or worth > most:
            best, most = server, worth
    if best is None:
        return None
    for server in pool.servers.values():
        if _is_stuck(pool, server, model, now=now):
            server.planned = ""
    best.planned = model
    best.planned_until = now + PLAN_MS
    return _go_on(pool, best, now=now)


def _go_on(pool: PoolState, server: ServerState, *, now: int) -> PlannedOrder | None:
    """Take the next step towards the model that a server is to get."""
    model = server.planned
    if not model or server.loading or not _may_order(server, now=now):
        return None
    if model in server.models:
        server.planned = ""
        return None
    plan = plan_room(pool, server, model, now=now)
    if plan is None:
        server.planned = ""
        return None
    if plan.victims:
        return _build(pool, server, OrderKind.UNLOAD, plan.victims[0], "")
    is_near = model in server.in_memory or model in server.on_disk
    is_counted = not is_near and model != server.unanswered_load
    if is_counted:
        if not may_load(pool, now=now):
            return None
        note_load(pool, now=now)
    order = _build(pool, server, OrderKind.LOAD, model, "")
    return msgspec.structs.replace(order, is_counted=is_counted)


def _build(
    pool: PoolState, server: ServerState, kind: OrderKind, model: str, adapter: str
) -> PlannedOrder:
    used_mb = int(count_used_mb(pool.spec, server))
    server.order_busy = True
    if kind is OrderKind.UNLOAD:
        # Nothing more is sent to what leaves, but it counts until it has left.
        if adapter:
            server.models[model].discard(adapter)
            server.adapters_leaving.add((model, adapter))
        else:
            server.unloading = model
    elif adapter:
        server.adapters_due[model, adapter] = NEVER
    else:
        server.loading = model
        server.loading_until = NEVER
    return PlannedOrder(
        kind=kind,
        incarnation=server.incarnation,
        address=server.address,
        model=model,
        adapter=adapter,
        expected_orders=server.orders or 0,
        used_mb=used_mb,
    )
