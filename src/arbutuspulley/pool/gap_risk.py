"""Expected number of streams whose gap between events a prompt would make too long.

A server runs one batch: an engine step with the prefill of a prompt delays the next
event of all its streams by that prefill. Usually the gap stays below the target, but
servers have phases in which everything takes much longer. How often and by how much is
learnt from first events, see :mod:`arbutuspulley.pool.server_speed`.
"""

import math

import msgspec

from arbutuspulley.data import State
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

HARM_HALF_LIFE_MS = 3_000
"""Half-life of the moving average of the streams that get too long gaps, in ms: that of
the demand for a model."""


class ModelHarm(State):
    """Moving average of the streams that a model's prompts delay too much.

    :param per_s: expected streams a second, as of ``at``.
    :param at: in ms.
    """

    per_s: float = 0
    at: int = 0


class GapRiskState(State):
    """What a pool's prompts are expected to do to its streams, by model."""

    harm: dict[str, ModelHarm] = msgspec.field(default_factory=dict)


def record_harm(state: GapRiskState, model: str, risk: float, *, now: int) -> None:
    """Record that a prompt has started.

    :param risk: number of streams that get too long a gap because of it.
    :param now: in ms.
    """
    harm = state.harm.get(model)
    if harm is None:
        harm = state.harm[model] = ModelHarm(at=now)
    harm.per_s = get_harm(state, model, now=now)
    harm.per_s += risk * 1_000 * math.log(2) / HARM_HALF_LIFE_MS
    harm.at = now


def get_harm(state: GapRiskState, model: str, *, now: int) -> float:
    """Return how many streams a second get too long gaps because of a model."""
    harm = state.harm.get(model)
    if harm is None:
        return 0.0
    return harm.per_s * 0.5 ** ((now - harm.at) / HARM_HALF_LIFE_MS)


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
