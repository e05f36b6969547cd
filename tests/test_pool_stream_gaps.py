"""Bounds on prefill between two events of a server's streams.

Workload: 48 streams a server with an event in some 60 ms and a gap target of 250 ms,
and prompts of 500 to 7,000 tokens at 38 tokens a ms, so 13 to 180 ms of prefill each.
Two or three prompts in a row within one gap make all streams of the server late.
"""

import itertools
import random

import pytest

from arbutuspulley.pool.grants import Grant, find_next_wakeup, plan_grants
from arbutuspulley.pool.stream_gaps import (
    DEFAULT_EVENT_MS,
    EVENT_SMOOTHING,
    GAP_MARGIN_MS,
    MIN_PREFILL_FRACTION,
    StreamGapState,
    find_start,
    record_prefill,
    record_stream,
)
from tests.pools import add_run, add_waiting, build_pool, build_server

GAP_TARGET_MS = 250
MAX_PREFILL_MS = GAP_TARGET_MS - DEFAULT_EVENT_MS - GAP_MARGIN_MS


def sum_prefill_ms(state, begin, end):
    return sum(
        max(0.0, min(one.end, end) - max(one.begin, begin)) for one in state.prefills
    )


@pytest.mark.parametrize(
    ("prefills", "prefill_ms", "expected"),
    [
        ([], 100, 0),
        ([(0, 100)], 75, 100),
        ([(0, 100)], 100, 175),
        ([(0, 100)], 175, 175),
        ([(0, 100)], 240, 110),
        ([(0, 100)], 400, 100),
        ([(0, 20), (20, 100)], 75, 195),
    ],
)
def test_prompt_starts_once_it_fits_into_one_gap(prefills, prefill_ms, expected):
    state = StreamGapState()
    for begin, length in prefills:
        record_prefill(state, length, retention_ms=1_000, now=begin)
    now = int(max((one.end for one in state.prefills), default=0))
    start = find_start(
        state, prefill_ms=prefill_ms, gap_target_ms=GAP_TARGET_MS, now=now
    )
    assert start == max(now, expected)


def test_prefill_per_gap_stays_bounded_while_prompts_keep_arriving():
    """Prompts keep arriving, each of which fits into one gap. Whatever their sizes, no
    window of the length of the gap target contains more prefill than the bound."""
    rng = random.Random(7)
    state = StreamGapState()
    now = 0
    spans = []
    for _ in range(400):
        prefill_ms = rng.uniform(5, MAX_PREFILL_MS)
        start = find_start(
            state, prefill_ms=prefill_ms, gap_target_ms=GAP_TARGET_MS, now=now
        )
        now = max(now, int(start) + 1)
        record_prefill(state, prefill_ms, retention_ms=1_000, now=now)
        end = state.prefills[-1].end
        spans.append(sum_prefill_ms(state, end - GAP_TARGET_MS, end))
    assert max(spans) <= MAX_PREFILL_MS + 1


def test_prompts_are_not_delayed_without_streams_that_have_a_gap_target():
    state = StreamGapState()
    record_prefill(state, 500, retention_ms=1_000, now=0)
    assert find_start(state, prefill_ms=100, gap_target_ms=0, now=10) == 10


def test_event_time_excludes_prefill_time():
    state = StreamGapState()
    record_stream(state, events=11, took_ms=1_500, prefill_ms=500)
    expected = DEFAULT_EVENT_MS + EVENT_SMOOTHING * (100 - DEFAULT_EVENT_MS)
    assert state.event_ms == pytest.approx(expected)
    record_stream(state, events=2, took_ms=9_000, prefill_ms=0)
    assert state.event_ms == pytest.approx(expected)


def test_some_prefill_is_allowed_when_events_alone_fill_the_gap():
    state = StreamGapState(event_ms=400)
    record_prefill(state, 10, retention_ms=1_000, now=0)
    least = MIN_PREFILL_FRACTION * GAP_TARGET_MS
    assert (
        find_start(state, prefill_ms=least - 10, gap_target_ms=GAP_TARGET_MS, now=10)
        == 10
    )


def test_burst_of_prompts_does_not_exceed_the_gap_target():
    """Ten prompts reach a server whose streams all meet their gap target. Limited by
    the average prefill rate alone, two prompts of 100 ms started within 155 ms, and all
    streams had a gap of 260 ms."""
    server = build_server("s0", "m0")
    add_run(server, "r", "m0")
    server.runs["r"].gap_target_ms = GAP_TARGET_MS
    pool = build_pool(server)
    for number in range(10):
        add_waiting(pool, f"r{number}", "m0", tokens=2_000, gap_target_ms=GAP_TARGET_MS)
    now, starts = 1, []
    while len(starts) < 5 and now < 2_000:
        granted = [one for one in plan_grants(pool, now=now) if isinstance(one, Grant)]
        starts += [now] * len(granted)
        now = find_next_wakeup(pool, now=now)
    gaps = [later - earlier for earlier, later in itertools.pairwise(starts)]
    assert min(gaps) >= 175


def test_long_prompt_is_not_overtaken_by_short_ones():
    """A long prompt waits until it fits into a gap of the streams. Short ones that
    arrived later kept fitting in at once, so the long one never started."""
    server = build_server("s0", "m0")
    add_run(server, "r", "m0")
    server.runs["r"].gap_target_ms = GAP_TARGET_MS
    pool = build_pool(server)
    record_prefill(server.stream_gaps, 100, retention_ms=1_000, now=0)
    add_waiting(pool, "long", "m0", tokens=3_400, arrived_at=1)
    add_waiting(pool, "short", "m0", tokens=400, arrived_at=2)
    now, order = 101, []
    while len(order) < 2:
        decided = plan_grants(pool, now=now)
        order += [one.key for one in decided if isinstance(one, Grant)]
        now += 1
    assert order == ["long", "short"]
