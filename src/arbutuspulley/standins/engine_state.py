"""State of the engine stand-in: memory, batch, cache, reports and faults.

The functions are pure: no I/O and no clock reads. :mod:`.engine_runtime` calls them.
"""

import random

import msgspec

from arbutuspulley.data import State, Value
from arbutuspulley.ports.engines import Order, OrderReply, Report
from arbutuspulley.standins import engine_batch, engine_cache, engine_memory
from arbutuspulley.standins.control import apply_set_fields, consume_fault
from arbutuspulley.standins.engine_batch import BatchState, Run, Token
from arbutuspulley.standins.engine_cache import CacheState
from arbutuspulley.standins.engine_control import (
    Control,
    Counters,
    Faults,
    RunCount,
)
from arbutuspulley.standins.engine_memory import MemoryState

SNAPSHOTS_PER_LAG = 4
"""Number of report snapshots taken per report lag."""


class Snapshot(Value, frozen=True):
    """A report and the time in ms at which it was taken."""

    taken_at: int
    report: Report


class DeferredOrder(Value, frozen=True):
    """An order that is applied later.

    :param due_at: time in ms; ``None`` if the order is held until it is released.
    """

    order: Order
    due_at: int | None


class Refusal(Value, frozen=True):
    """Reason why an attempt was not admitted.

    :param retry_after_ms: time after which a slot is expected to be free.
    :param leaving: whether the engine is leaving.
    :param missing: whether the item is not loaded on this engine.
    """

    message: str
    retry_after_ms: int | None = None
    leaving: bool = False
    missing: bool = False


class EngineState(State):
    """The full state of an engine; lost when the engine restarts.

    :param boot_id: id of this start of the engine.
    :param report_lag_ms: minimum age of the reports that are sent.
    :param stopping: whether the engine refuses requests and stops after its runs.
    :param crashed: whether a request or an order has crashed the engine.
    :param deferred_orders: orders that were held or delayed by a fault.
    :param snapshots: one report that is old enough to be sent, followed by newer ones.
    :param sequence: sequence number of the last report.
    :param tokens: number of tokens produced.
    :param refused: number of requests refused before admission.
    :param runs: counters by request id.
    :param begun_by_prompt: runs that started at the first token, by prompt digest.
    """

    server: str
    boot_id: str
    memory: MemoryState
    batch: BatchState
    rng: random.Random
    report_lag_ms: int = 0
    cache: CacheState = msgspec.field(default_factory=CacheState)
    faults: Faults = msgspec.field(default_factory=Faults)
    stopping: bool = False
    crashed: bool = False
    deferred_orders: list[DeferredOrder] = msgspec.field(default_factory=list)
    snapshots: list[Snapshot] = msgspec.field(default_factory=list)
    sequence: int = 0
    tokens: int = 0
    refused: int = 0
    runs: dict[str, RunCount] = msgspec.field(default_factory=dict)
    begun_by_prompt: dict[str, int] = msgspec.field(default_factory=dict)


def boot(state: EngineState, *, now: int) -> None:
    """Initialise the reports with one of the empty memory, old enough to be sent."""
    empty = _build_snapshot(state, now)
    state.snapshots = [
        Snapshot(taken_at=now - state.report_lag_ms, report=empty.report)
    ]


def receive_order(state: EngineState, order: Order, *, now: int) -> OrderReply | None:
    """Apply an order, subject to the faults that are set.

    :return: the reply, or ``None`` if a fault suppresses it.
    """
    faults = state.faults
    if consume_fault(faults, "drop_orders"):
        return None
    if consume_fault(faults, "hold_orders"):
        state.deferred_orders.append(DeferredOrder(order=order, due_at=None))
        return None
    if consume_fault(faults, "delay_orders"):
        due_at = now + faults.delay_orders_ms
        state.deferred_orders.append(DeferredOrder(order=order, due_at=due_at))
        return None
    reply = _apply_order(state, order, now)
    return None if consume_fault(faults, "lose_order_replies") else reply


def admit(state: EngineState, run: Run) -> Refusal | None:
    """Admit an attempt and queue its run.

    An attempt whose offset lies behind the last token is admitted, but not run.

    :return: the refusal, or ``None`` if the attempt was admitted.
    """
    refusal = _find_refusal(state, run)
    if refusal is not None:
        state.refused += 1
        return refusal
    _count_run(state, run.request_id, "admitted")
    if run.offset < run.tokens:
        run.poison = state.faults.crash_marker in run.words
        engine_batch.enqueue(state.batch, run)
    return None


def cancel(state: EngineState, attempt_id: str) -> bool:
    """Cancel an attempt that is queued or running.

    :return: whether there was such an attempt.
    """
    run = engine_batch.cancel(state.batch, attempt_id)
    if run is None:
        return False
    _count_run(state, run.request_id, "withdrawn")
    return True


def advance(state: EngineState, *, now: int) -> tuple[Token, ...]:
    """Do all work that is due: delayed orders, loads, unloads and one batch step."""
    _apply_due_orders(state, now)
    _finish_transitions(state, now)
    _fill_batch(state, now)
    ready = [run for run in state.batch.batch if run.ready_at <= now]
    state.crashed |= state.memory.died or any(run.poison for run in ready)
    if state.crashed:
        return ()
    tokens = engine_batch.step(state.batch, now=now)
    state.tokens += len(tokens)
    for token in tokens:
        if token.last:
            _count_run(state, token.request_id, "finished")
    _record_snapshot(state, now)
    return tokens


def read_report(state: EngineState, *, now: int) -> Report:
    """Return the newest report that is at least as old as the report lag."""
    if state.report_lag_ms == 0 and not state.faults.freeze_reports:
        state.snapshots = [_build_snapshot(state, now)]
    _drop_outdated_snapshots(state, now)
    oldest = state.snapshots[0]
    return msgspec.structs.replace(oldest.report, age_ms=now - oldest.taken_at)


def apply_control(state: EngineState, control: Control, *, now: int) -> None:
    """Set faults and limits, and apply deferred orders if they are released."""
    if control.freeze_reports:
        read_report(state, now=now)
    apply_set_fields(control, state.faults)
    apply_set_fields(control, state.memory)
    apply_set_fields(control, state.batch)
    if not control.release_orders:
        return
    released, state.deferred_orders = state.deferred_orders, []
    for held in released:
        _apply_order(state, held.order, now)


def build_counters(state: EngineState) -> Counters:
    """Return the counters."""
    memory = state.memory
    return Counters(
        server=state.server,
        boot_id=state.boot_id,
        memory_total_mib=memory.total_mib,
        memory_used_mib=engine_memory.sum_memory(memory),
        worst_memory_mib=memory.peak_mib,
        overcommitted=memory.overcommitted,
        loads=memory.loads,
        unloads=memory.unloads,
        tokens=state.tokens,
        refused=state.refused,
        runs=dict(state.runs),
        begun_by_prompt=dict(state.begun_by_prompt),
        orders=tuple(memory.recorded_orders),
    )


def _find_refusal(state: EngineState, run: Run) -> Refusal | None:
    if state.faults.leaving or state.stopping:
        return Refusal(message="leaving", leaving=True)
    if not engine_memory.is_loaded(state.memory, run.item):
        return Refusal(message=f"{run.item} is not loaded here", missing=True)
    if any(run.attempt_id == other.attempt_id for other in _list_runs(state)):
        return Refusal(message="the attempt is in flight")
    full = not engine_batch.has_room(state.batch)
    if full or consume_fault(state.faults, "refuse_requests"):
        wait_ms = engine_batch.estimate_wait_ms(state.batch)
        return Refusal(message="no room", retry_after_ms=wait_ms)
    return None


def _count_start(state: EngineState, run: Run) -> None:
    if run.offset > 0:
        _count_run(state, run.request_id, "resumed")
        return
    _count_run(state, run.request_id, "begun")
    begun = state.begun_by_prompt
    begun[run.digest] = begun.get(run.digest, 0) + 1


def _count_run(state: EngineState, request_id: str, name: str) -> None:
    known = state.runs.get(request_id, RunCount())
    raised = {name: getattr(known, name) + 1}
    state.runs[request_id] = msgspec.structs.replace(known, **raised)


def _list_runs(state: EngineState) -> list[Run]:
    return engine_batch.list_runs(state.batch)


def _apply_order(state: EngineState, order: Order, now: int) -> OrderReply:
    reply = engine_memory.apply_order(state.memory, order)
    # An item that no run uses is unloaded at once, so that the result of a sequence of
    # orders does not depend on the timing of the batch steps.
    _finish_transitions(state, now)
    return reply


def _finish_transitions(state: EngineState, now: int) -> None:
    in_use = {run.item for run in _list_runs(state)}
    for item in engine_memory.finish_transitions(state.memory, in_use=in_use, now=now):
        engine_cache.evict_item(state.cache, item, now=now, rng=state.rng)


def _apply_due_orders(state: EngineState, now: int) -> None:
    due = [
        held
        for held in state.deferred_orders
        if held.due_at is not None and held.due_at <= now
    ]
    for held in due:
        state.deferred_orders.remove(held)
        _apply_order(state, held.order, now)


def _fill_batch(state: EngineState, now: int) -> None:
    while (run := engine_batch.schedule_next(state.batch)) is not None:
        _count_start(state, run)
        cached = engine_cache.cache_prompt(
            state.cache, item=run.item, words=run.words, now=now, rng=state.rng
        )
        # A resumed run also needs a prefill of the tokens that exist already.
        uncached = len(run.words) - cached + run.offset
        engine_batch.begin_prefill(state.batch, run, uncached_words=uncached, now=now)


def _record_snapshot(state: EngineState, now: int) -> None:
    if state.faults.freeze_reports or state.report_lag_ms == 0:
        return
    spacing = state.report_lag_ms // SNAPSHOTS_PER_LAG
    if state.snapshots[-1].taken_at + spacing <= now:
        state.snapshots.append(_build_snapshot(state, now))
    _drop_outdated_snapshots(state, now)


def _drop_outdated_snapshots(state: EngineState, now: int) -> None:
    """Drop all snapshots older than the newest one that is old enough to be sent."""
    if state.faults.freeze_reports:
        return
    while len(state.snapshots) > 1:
        if state.snapshots[1].taken_at + state.report_lag_ms > now:
            return
        state.snapshots.pop(0)


def _build_snapshot(state: EngineState, now: int) -> Snapshot:
    state.sequence += 1
    memory, batch = state.memory, state.batch
    report = Report(
        server=state.server,
        boot_id=state.boot_id,
        sequence=state.sequence,
        items=engine_memory.list_items(memory),
        memory_total_mib=memory.total_mib,
        memory_used_mib=engine_memory.sum_memory(memory),
        running=len(batch.batch),
        waiting=len(batch.waiting),
        waiting_tokens=engine_batch.sum_tokens(batch),
        tokens_per_s=engine_batch.measure_rate(batch, now=now),
        fence=memory.fence,
        last_order=memory.last_order,
        leaving=state.faults.leaving or state.stopping,
    )
    return Snapshot(taken_at=now, report=report)
