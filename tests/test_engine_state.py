"""State of the engine stand-in: memory, orders, batch, cache and reports."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.ports.engines import ItemState, OrderOutcome
from arbutuspulley.standins.engine_batch import BatchState, Run
from arbutuspulley.standins.engine_cache import (
    BLOCK_WORDS,
    EVENT_LAG_MS,
    EVENT_LOSS_RATE,
    CacheState,
    cache_prompt,
    evict_item,
    read_events,
)
from arbutuspulley.standins.engine_control import Control
from arbutuspulley.standins.engine_memory import (
    MemoryState,
    OnOvercommit,
    begin_load,
    list_waiting_loads,
    sum_memory,
)
from arbutuspulley.standins.engine_state import (
    EngineState,
    admit,
    advance,
    apply_control,
    boot,
    build_counters,
    cancel,
    read_report,
    receive_order,
)
from tests.backends import ITEM, build_order

TOKEN_MS = 10
FIRST_TOKEN_MS = 100


def build_engine(*, loaded=(ITEM,), checks=False, lag_ms=0, **batch):
    limits = {"max_batch": 64, "max_waiting": 8, "first_token_ms": FIRST_TOKEN_MS}
    state = EngineState(
        server="e1",
        boot_id="b1",
        memory=MemoryState(total_mib=100, checks_orders=checks),
        batch=BatchState(token_ms=TOKEN_MS, **{**limits, **batch}),
        rng=random.Random(0),
        report_lag_ms=lag_ms,
    )
    boot(state, now=0)
    for number, item in enumerate(loaded, start=1):
        order(state, item=item, number=number, mib=10)
    settle_loads(state, now=0)
    return state


def order(state, kind="load", *, now=0, **fields):
    return receive_order(state, build_order(kind, **fields), now=now)


def settle_loads(state, *, now, duration_ms=0):
    for held in list_waiting_loads(state.memory):
        begin_load(
            state.memory,
            item=held.item,
            number=held.number,
            now=now,
            duration_ms=duration_ms,
        )
    advance(state, now=now)


def build_run(name, *, words=(), tokens=10, offset=0, priority=0, item=ITEM):
    return Run(
        request_id=name,
        attempt_id=name,
        item=item,
        digest=name,
        words=tuple(words),
        tokens=tokens,
        offset=offset,
        priority=priority,
    )


def run_until(state, end, *, start=0):
    """Return all tokens produced until ``end``, each with its time."""
    return [
        (now, token)
        for now in range(start, end + 1)
        for token in advance(state, now=now)
    ]


def get_state(state, item):
    held = state.memory.held.get(item)
    return held.state if held else None


ADAPTER = {"item": "a@1", "base": ITEM, "mib": 5}


@pytest.mark.parametrize(
    ("loaded", "kind", "fields", "outcome", "left"),
    [
        ((), "load", {}, "accepted", {ITEM}),
        ((), "load", {"mib": 101}, "refused", set()),
        ((), "load", ADAPTER, "refused", set()),
        ((ITEM,), "load", ADAPTER, "accepted", {ITEM, "a@1"}),
        ((ITEM,), "load", {"item": "n@1", "mib": 91}, "refused", {ITEM}),
        ((ITEM,), "load", {"mib": 91}, "accepted", {ITEM}),
        ((ITEM,), "unload", {}, "accepted", set()),
        ((), "unload", {}, "accepted", set()),
    ],
)
def test_orders_and_memory(loaded, kind, fields, outcome, left):
    state = build_engine(loaded=loaded)
    reply = order(state, kind, number=9, **fields)
    advance(state, now=1)
    assert reply.outcome.value == outcome
    assert set(state.memory.held) == left
    assert read_report(state, now=1).last_order == 9


def test_unloading_a_model_with_a_loaded_adapter_is_refused():
    state = build_engine()
    order(state, number=2, **ADAPTER)
    assert order(state, "unload", number=3).outcome is OrderOutcome.REFUSED


@pytest.mark.parametrize(
    ("policy", "outcome", "worst_mib", "crashed"),
    [
        (OnOvercommit.REFUSE, "refused", 10, False),
        (OnOvercommit.FLAG, "accepted", 105, False),
        (OnOvercommit.DIE, "accepted", 105, True),
    ],
)
def test_overcommitment_is_counted_and_handled_by_its_policy(
    policy, outcome, worst_mib, crashed
):
    state = build_engine()
    apply_control(state, Control(on_overcommit=policy), now=0)
    assert order(state, item="n@1", number=2, mib=95).outcome.value == outcome
    advance(state, now=1)
    counted = build_counters(state)
    assert (counted.overcommitted, counted.worst_memory_mib) == (1, worst_mib)
    assert state.crashed is crashed


def test_a_load_occupies_memory_at_once_and_serves_when_finished():
    state = build_engine(loaded=())
    order(state, number=1, mib=60)
    settle_loads(state, now=0, duration_ms=50)
    assert sum_memory(state.memory) == 60
    assert admit(state, build_run("r")).missing
    run_until(state, 49)
    assert get_state(state, ITEM) is ItemState.LOADING
    run_until(state, 50, start=50)
    assert admit(state, build_run("r")) is None


def test_permission_for_a_replaced_load_is_ignored():
    state = build_engine(loaded=())
    order(state, number=1)
    order(state, "unload", number=2)
    advance(state, now=0)
    order(state, number=3)
    begin_load(state.memory, item=ITEM, number=1, now=0, duration_ms=0)
    assert list_waiting_loads(state.memory)


def test_an_unload_waits_for_runs_and_refuses_new_ones():
    state = build_engine()
    admit(state, build_run("r", tokens=2))
    order(state, "unload", number=2)
    assert admit(state, build_run("s")).missing
    advance(state, now=0)
    assert get_state(state, ITEM) is ItemState.UNLOADING
    tokens = run_until(state, 500)
    assert [token.last for _, token in tokens] == [False, True]
    assert get_state(state, ITEM) is None


ORDERS = st.lists(
    st.builds(
        build_order,
        st.sampled_from(["load", "unload"]),
        st.sampled_from(["a@1", "b@1", "c@1"]),
        number=st.integers(1, 8),
        fence=st.integers(0, 3),
        mib=st.integers(1, 60),
    ),
    max_size=12,
)


@given(orders=ORDERS, checks=st.booleans())
def test_memory_is_not_exceeded_and_checked_orders_are_monotonic(orders, checks):
    state = build_engine(loaded=(), checks=checks)
    for each in orders:
        receive_order(state, each, now=0)
        advance(state, now=0)
        assert sum_memory(state.memory) <= 100
    seen = [
        each
        for each in state.memory.recorded_orders
        if each.outcome is not OrderOutcome.STALE
    ]
    if checks:
        marks = [(each.fence, each.number) for each in seen]
        assert marks == sorted(marks)


def measure_gaps(streams):
    state = build_engine(first_token_ms=1)
    for index in range(streams):
        admit(state, build_run(f"r{index}", tokens=60))
    produced = run_until(state, 2_000)
    times = [now for now, token in produced if token.request_id == "r0"]
    return (times[-1] - times[-10]) / 9


def test_a_larger_batch_slows_each_stream_and_raises_throughput():
    gaps = [measure_gaps(streams) for streams in (1, 17, 33)]
    assert gaps == [TOKEN_MS, 2 * TOKEN_MS, 3 * TOKEN_MS]
    assert 33 / gaps[2] > 17 / gaps[1] > 1 / gaps[0]


@pytest.mark.parametrize(
    ("words", "offset", "first_at"), [(0, 0, 100), (512, 0, 200), (0, 512, 200)]
)
def test_the_first_token_waits_for_the_prefill(words, offset, first_at):
    state = build_engine()
    run = build_run("r", words=map(str, range(words)), offset=offset, tokens=600)
    admit(state, run)
    assert run_until(state, 1_000)[0][0] == first_at


def test_the_queue_is_ordered_by_priority_and_bounded():
    state = build_engine(max_batch=1, max_waiting=2)
    assert admit(state, build_run("first", tokens=1)) is None
    assert admit(state, build_run("low", tokens=1)) is None
    assert admit(state, build_run("high", tokens=1, priority=5)) is None
    refusal = admit(state, build_run("late"))
    assert refusal.retry_after_ms is not None
    order_of = [token.request_id for _, token in run_until(state, 1_000)]
    assert order_of == ["high", "first", "low"]
    assert "late" not in state.runs


@pytest.mark.parametrize(("started", "begun"), [(False, 0), (True, 1)])
def test_a_cancelled_run_produces_no_more_tokens(started, begun):
    state = build_engine()
    admit(state, build_run("r"))
    if started:
        run_until(state, FIRST_TOKEN_MS)
    assert cancel(state, "r")
    assert not cancel(state, "r")
    assert run_until(state, 1_000, start=FIRST_TOKEN_MS + 1) == []
    counted = state.runs["r"]
    assert (counted.begun, counted.withdrawn, counted.finished) == (begun, 1, 0)


def test_a_poison_request_crashes_the_engine_after_its_prefill():
    state = build_engine()
    apply_control(state, Control(crash_marker="poison"), now=0)
    admit(state, build_run("good"))
    admit(state, build_run("bad", words=("a", "poison")))
    tokens = run_until(state, 1_000)
    assert state.crashed
    assert {token.request_id for _, token in tokens} == {"good"}


def test_held_orders_wait_for_release_and_delayed_ones_for_their_delay():
    state = build_engine(loaded=())
    apply_control(
        state, Control(hold_orders=1, delay_orders=1, delay_orders_ms=30), now=0
    )
    assert order(state, item="held@1", number=1, mib=1) is None
    assert order(state, item="late@1", number=2, mib=1) is None
    run_until(state, 29)
    assert set(state.memory.held) == set()
    run_until(state, 30, start=30)
    assert set(state.memory.held) == {"late@1"}
    apply_control(state, Control(release_orders=True), now=31)
    assert set(state.memory.held) == {"late@1", "held@1"}


@pytest.mark.parametrize("lag_ms", [1, 40, 1_000])
def test_a_report_is_never_younger_than_its_lag(lag_ms):
    state = build_engine(loaded=(), lag_ms=lag_ms)
    order(state, number=1, now=0)
    for now in range(2 * lag_ms + 5):
        advance(state, now=now)
        report = read_report(state, now=now)
        assert lag_ms <= report.age_ms <= 2 * lag_ms
        assert bool(report.items) <= (now >= lag_ms)
    assert report.items


@pytest.mark.parametrize("lag_ms", [0, 20])
def test_frozen_reports_do_not_change(lag_ms):
    state = build_engine(loaded=(), lag_ms=lag_ms)
    apply_control(state, Control(freeze_reports=True), now=0)
    order(state, number=1)
    run_until(state, 100)
    frozen = read_report(state, now=100)
    assert (frozen.items, frozen.age_ms) == ((), 100 + lag_ms)
    apply_control(state, Control(freeze_reports=False), now=100)
    run_until(state, 200, start=101)
    assert read_report(state, now=200).items


def cache_words(cache, words, *, now=0, rng=None):
    rng = rng or random.Random(0)
    return cache_prompt(cache, item=ITEM, words=words, now=now, rng=rng)


def test_a_cached_prefix_is_reused_until_it_is_evicted():
    cache = CacheState(limit=3)
    words = [str(index) for index in range(2 * BLOCK_WORDS + 3)]
    assert cache_words(cache, words) == 0
    assert cache_words(cache, words) == 2 * BLOCK_WORDS
    assert cache_words(cache, [*words[:BLOCK_WORDS], *words]) == BLOCK_WORDS
    assert len(cache.blocks) == 3
    evict_item(cache, ITEM, now=0, rng=random.Random(0))
    assert cache.blocks == {}


def test_cache_events_are_delayed_and_some_are_lost():
    cache = CacheState()
    cache_words(cache, list(map(str, range(400 * BLOCK_WORDS))), rng=random.Random(1))
    assert read_events(cache, after=0, now=EVENT_LAG_MS - 1) == ()
    events = read_events(cache, after=0, now=EVENT_LAG_MS)
    lost = cache.sequence - len(events)
    assert 0 < lost < 5 * EVENT_LOSS_RATE * cache.sequence
    assert read_events(cache, after=cache.sequence, now=EVENT_LAG_MS) == ()
