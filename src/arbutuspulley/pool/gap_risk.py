"""Expected number of streams whose gap between events a prompt would make too long.

A server runs one batch: an engine step with the prefill of a prompt delays the next
event of all its streams by that prefill. Usually the gap stays below the target, but
servers have phases in which everything takes much longer. How often and by how much is
learnt from first events, see :mod:`arbutuspulley.pool.server_speed`.
"""

from arbutuspulley.pool.server_speed import (
    PoolSpeedState,
    ServerSpeedState,
    get_slower_share,
)
from arbutuspulley.pool.stream_gaps import GAP_MARGIN_MS

PHASE_HALF_LIFE_MS = 300
"""Time after a slow first event at which it is as likely as not that the slow phase
goes on, in ms: phases of 600 ms have been observed."""

MIN_TARGET_FRACTION = 0.1
"""Least part of the gap target that remains after the margin."""


def estimate_gap_risk(
    pool_speeds: PoolSpeedState,
    speed: ServerSpeedState,
    *,
    streams: int,
    gap_target_ms: int,
    event_ms: float,
    prefill_ms: float,
    now: int,
) -> float:
    """Return how many streams of a server a prompt is expected to delay too much.

    :param streams: streams on the server that have a gap target.
    :param gap_target_ms: their lowest gap target; 0: none has one.
    :param event_ms: time of an event there, without prefill.
    :param prefill_ms: prefill time within the gap, with that of the prompt.
    :param now: in ms.
    """
    if not streams or not gap_target_ms:
        return 0.0
    return streams * _estimate_share(
        pool_speeds, speed, gap_target_ms, event_ms + prefill_ms, now=now
    )


def estimate_stream_risk(
    pool_speeds: PoolSpeedState,
    speed: ServerSpeedState,
    *,
    prompts: int,
    gap_target_ms: int,
    event_ms: float,
) -> float:
    """Return the probability that later prompts delay a new stream too much.

    :param prompts: prompts that are expected to start on the server during its run;
        about as many as run there now.
    :param gap_target_ms: its gap target; 0: none.
    :param event_ms: time of an event there, without prefill.
    """
    if not gap_target_ms or not prompts or not pool_speeds.prompts:
        return 0.0
    target_ms = _get_usable_target(gap_target_ms)
    shares = [
        get_slower_share(pool_speeds, target_ms / (event_ms + prompt_ms / speed.value))
        for prompt_ms in pool_speeds.prompts
    ]
    return 1 - (1 - sum(shares) / len(shares)) ** prompts


def _estimate_share(
    pool_speeds: PoolSpeedState,
    speed: ServerSpeedState,
    gap_target_ms: int,
    expected_ms: float,
    *,
    now: int,
) -> float:
    """Return the probability that a gap exceeds its target."""
    target_ms = _get_usable_target(gap_target_ms)
    share = get_slower_share(pool_speeds, target_ms / max(1.0, expected_ms))
    if speed.slow_factor * expected_ms > target_ms:
        persistence = 0.5 ** (max(0, now - speed.slow_at) / PHASE_HALF_LIFE_MS)
        share = max(share, persistence)
    return share


def _get_usable_target(gap_target_ms: int) -> float:
    return max(MIN_TARGET_FRACTION * gap_target_ms, gap_target_ms - GAP_MARGIN_MS)
