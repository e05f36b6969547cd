"""Records how granted requests proceed and end at the servers of a pool."""

from arbutuspulley.pool.duration import record_run_time
from arbutuspulley.pool.prefill_speed import PrefillSpeedState, add_sample, get_speed
from arbutuspulley.pool.server_speed import (
    record_event_time,
    record_first_event_time,
    update_reference,
)
from arbutuspulley.pool.state import (
    PoolState,
    Run,
    ServerState,
    get_prefill_speed,
    get_size_class,
)
from arbutuspulley.pool.stream_gaps import MIN_EVENTS, get_event_time, record_stream
from arbutuspulley.ports.fleet import AttemptOutcome

FAILURE_SMOOTHING = 0.1
"""Weight of the newest run in the moving average of a server's failures: about the last
ten runs count."""

RETRY_LOAD_MS = 150
"""Backoff before the next request for a model whose load takes longer than expected, in
ms."""

MODEL_BACKOFF_MS = 150
"""Backoff before the next request for a model to a server that refused one, in ms: it
may be unloading the model once its runs have ended, or be full."""

RETRY_ADAPTER_MS = 20
"""Backoff before the next request for an adapter whose load takes longer than expected,
in ms."""

MAX_ADAPTER_LOAD_MS = 120
"""Maximum expected load time of an adapter, in ms: ten times the usual one."""


def record_first_event(
    pool: PoolState, key: str, incarnation: str, *, took_ms: int, now: int
) -> None:
    """Record the first part of an answer, which ends the prefill and confirms the load.

    :param took_ms: time since the request was sent to the server.
    """
    server = pool.servers.get(incarnation)
    run = server.runs.get(key) if server else None
    if server is None or run is None:
        return
    run.first_at = now
    run.prefill_before_ms = server.stream_gaps.prefill_ms
    if run.was_prefill_idle:
        if pool.learns_server_speeds:
            _record_first_event_speed(pool, server, run, took_ms=took_ms, now=now)
        add_sample(
            _get_speed_state(pool, run.need.model),
            tokens=run.need.prompt_tokens,
            took_ms=took_ms * server.speed.value,
        )
    if server.unconfirmed_load == run.need.model:
        server.unconfirmed_load = ""


def record_run_end(
    pool: PoolState,
    key: str,
    incarnation: str,
    *,
    how: AttemptOutcome,
    now: int,
    events: int = 0,
) -> None:
    """Record the end of a run.

    :param events: number of events of its stream that this server generated.
    """
    server = pool.servers.get(incarnation)
    if server is None:
        return
    run = server.runs.pop(key, None)
    is_failed = how is AttemptOutcome.FAILED
    server.failure_share += FAILURE_SMOOTHING * (is_failed - server.failure_share)
    if run is not None and run.first_at is not None and how is AttemptOutcome.DONE:
        took_ms = now - run.first_at
        record_run_time(pool.durations, run.need, took_ms=took_ms)
        prefill_ms = server.stream_gaps.prefill_ms - run.prefill_before_ms
        record_stream(
            server.stream_gaps, events=events, took_ms=took_ms, prefill_ms=prefill_ms
        )
        if pool.learns_server_speeds:
            _record_event_speed(
                pool,
                server,
                run,
                events=events,
                took_ms=took_ms,
                prefill_ms=prefill_ms,
                now=now,
            )


def record_not_run(pool: PoolState, key: str, incarnation: str, *, now: int) -> None:
    """Record that a server refused a request as not run.

    It lacks the model or adapter, or is full. A load may still be in progress, so the
    server is tried again a little later, and a report is needed before the next order.
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
    if server.unconfirmed_load == need.model:
        # The load takes longer than usual, or other loads slow it down. The model is
        # not removed, because its memory is in use.
        server.model_backoff_until[need.model] = now + RETRY_LOAD_MS
        server.next_order_at = now + RETRY_LOAD_MS
        return
    server.accepted_orders = None
    if need.adapter and not run.is_repeat:
        adapters = server.models.get(need.model, set())
        adapters.discard(need.adapter)
        server.adapters_due[need.model, need.adapter] = now + RETRY_ADAPTER_MS
        pool.adapter_load_ms = min(MAX_ADAPTER_LOAD_MS, pool.adapter_load_ms * 1.25)
        return
    server.model_backoff_until[need.model] = now + MODEL_BACKOFF_MS


def _record_first_event_speed(
    pool: PoolState, server: ServerState, run: Run, *, took_ms: int, now: int
) -> None:
    if server.unconfirmed_load == run.need.model:
        # The rest of a load that takes longer than expected is part of this time.
        return
    state = _get_speed_state(pool, run.need.model)
    if not state.samples:
        # The expected time is only assumed. All later first events would be compared
        # with this one, and their servers would seem fast.
        return
    prefill_ms = run.need.prompt_tokens / get_speed(state)
    record_first_event_time(
        pool.server_speeds,
        server.speed,
        size_class=get_size_class(pool.spec, run.need.model),
        streams=run.streams or 0,
        expected_ms=state.overhead_ms + prefill_ms,
        took_ms=took_ms,
        now=now,
    )
    update_reference(pool.server_speeds, pool.servers.values())


def _record_event_speed(
    pool: PoolState,
    server: ServerState,
    run: Run,
    *,
    events: int,
    took_ms: int,
    prefill_ms: float,
    now: int,
) -> None:
    if run.streams is None or events < MIN_EVENTS:
        # Of a run that another coordinator granted, the first event is not known.
        return
    record_event_time(
        pool.server_speeds,
        server.speed,
        size_class=get_size_class(pool.spec, run.need.model),
        streams=(run.streams + len(server.runs)) // 2,
        event_ms=get_event_time(events=events, took_ms=took_ms, prefill_ms=prefill_ms),
        at=now - took_ms / 2,
    )
    update_reference(pool.server_speeds, pool.servers.values())


def _get_speed_state(pool: PoolState, model: str) -> PrefillSpeedState:
    size_class = get_size_class(pool.spec, model)
    state = pool.speeds.get(size_class)
    if state is None:
        state = pool.speeds[size_class] = PrefillSpeedState(
            prior=get_prefill_speed(pool, model)
        )
    return state
