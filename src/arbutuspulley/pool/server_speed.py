"""Relative speeds of individual servers, learnt from their answers.

Two observations are compared with what is expected for the model's size class and the
number of concurrent streams: the time to the first event of prompts that met no other
prefill, and the decode time of stream events. Expectations are learnt from all servers,
with each observation scaled by the speed of its server, so a full server counts as full
and not as slow.

The speed of a server is the median of its recent observations. Servers take much
longer in short phases; the median ignores these, and follows a lasting change once it
shows in half of the observations. How far first events deviate from the expectation is
kept for all servers together, see :mod:`arbutuspulley.pool.gap_risk`.
"""

import bisect
import math
import statistics
from collections import deque
from collections.abc import Iterable
from typing import Protocol

import msgspec

from arbutuspulley.data import State

MIN_SERVER_SPEED = 0.25
MAX_SERVER_SPEED = 4.0
"""Bounds of the estimate: beyond them, an observation is more likely wrong."""

DEADBAND = 0.15
"""Deviation from 1 up to which a server counts as being as fast as its class. First
events vary by about that much, and decisions must not follow random variation."""

WINDOW_MS = 1_600
"""Time span of the newest observations, in ms. A lasting change shows in half of them
after 0.8 s, and a slow phase of 600 ms never does."""

WINDOW_SAMPLES = 5
"""Least number of the newest observations, however old: two slow ones in five don't
change their median."""

RECOVERY_SAMPLES = 2
"""Newest observations that show that a slow server has become faster. Slow phases only
lengthen answers, so a fast one says more than a slow one; and a slow server gets few
requests, so waiting for more of them took 4 s."""

CHANGE = 0.25
CHANGED_FRACTION = 0.6
"""Fraction of the newest observations that deviate by how much from the median of all
kept ones, from which their median is used instead: less is random variation, with which
copies of a model would move between servers."""

MIN_SAMPLES = 3
"""Observations before a server counts as faster or slower than its class: the median
of three ignores a single slow answer."""

MAX_SAMPLES = 32
"""Observations that are kept for each server: a full one gives ten a second."""

SHRINKAGE_SAMPLES = 2
"""Weight of the prior speed of 1, in observations."""

REFERENCE_SMOOTHING = 0.1
"""Part of the way that the reference moves to the median of all servers at a time: with
half of the servers slow, the median jumps between two values."""

REFERENCE_SAMPLES = 8
"""Observations of all servers after which the reference is updated."""

STREAMS_PER_BUCKET = 4
"""Width of the classes of concurrent streams: a third of a server with 12 slots."""

MIN_BASELINE_SAMPLES = 6
"""Observations of a class before others are compared with it."""

BASELINE_SMOOTHING = 0.03
"""Weight of the newest observation in an expectation: about the last 30 count."""

MAX_BASELINE_STEP = 0.5
"""Bound of an observation's deviation from the expectation, as a logarithm, so that
slow phases raise the expectation little."""

MAX_FACTORS = 256
"""Deviations that are kept: with slow phases in 15% of the time, 38 of them are slow.
"""

REFRESH_FACTORS = 8
"""New deviations after which they are sorted again."""

PRIOR_FACTORS = (0.9, 1.0, 1.0, 1.1, 1.5)
"""Deviations that are assumed before any observation."""

MAX_PROMPTS = 16
"""Recent prompts that stand for those to come."""

SLOW_FACTOR = 1.6
"""Deviation from which a first event shows a slow phase: first events otherwise vary by
less than that."""

CHANGED_RATIO = 1.25
"""Change of a server's speed that is reported."""


class ServerSpeedState(State):
    """Relative speed of one server incarnation.

    :param value: estimated speed; 1: that of its class.
    :param log_value: logarithm of the speed relative to the expectations, which may
        have drifted from the reference.
    :param samples: time in ms and logarithm of the speed of recent observations.
    :param count: number of observations so far.
    :param slow_at: time of the last first event that showed a slow phase, in ms.
    :param slow_factor: deviation of that first event; 0: there was none, or a later one
        was on time.
    :param reported: speed that was last reported.
    """

    value: float = 1.0
    log_value: float = 0
    samples: deque[tuple[float, float]] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    count: int = 0
    slow_at: int = 0
    slow_factor: float = 0
    reported: float = 1.0


class SpeedBaseline(State):
    """What is expected for a size class and a number of concurrent streams.

    :param level: logarithm of the expected time, at a server of speed 1.
    :param count: number of observations.
    """

    level: float = 0
    count: int = 0


class PoolSpeedState(State):
    """What the speeds of a pool's servers are compared with.

    :param first_events: ratio of first events to the expected prefill time, by size
        class and class of concurrent streams.
    :param events: decode times of stream events, by the same.
    :param factors: deviations of recent first events from the expectation.
    :param sorted_factors: the same, with those assumed before, in order.
    :param new_factors: deviations since these were sorted.
    :param prompts: prefill times of recent prompts at a server of speed 1, in ms.
    :param reference: median of the servers' ``log_value``, smoothed. Speeds and
        expectations are only known relative to each other; without it, both drift.
    :param new_samples: observations since the reference was updated.
    :param is_uneven: whether many servers are faster or slower than others, as of the
        last planning cycle.
    :param inherited: speeds that the previous coordinator has estimated, by
        incarnation.
    :param by_model: mean speed of a model's copies in the current planning cycle.
    """

    first_events: dict[tuple[str, int], SpeedBaseline] = msgspec.field(
        default_factory=dict
    )
    events: dict[tuple[str, int], SpeedBaseline] = msgspec.field(default_factory=dict)
    factors: deque[float] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_FACTORS)
    )
    sorted_factors: list[float] = msgspec.field(
        default_factory=lambda: list(PRIOR_FACTORS)
    )
    new_factors: int = 0
    prompts: deque[float] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_PROMPTS)
    )
    reference: float = 0
    new_samples: int = 0
    is_uneven: bool = False
    inherited: dict[str, float] = msgspec.field(default_factory=dict)
    by_model: dict[str, float] = msgspec.field(default_factory=dict)


class HasSpeed(Protocol):
    """A server with a relative speed."""

    speed: ServerSpeedState


def record_first_event_time(
    pool_speeds: PoolSpeedState,
    server: ServerSpeedState,
    *,
    size_class: str,
    streams: int,
    expected_ms: float,
    took_ms: float,
    now: int,
) -> None:
    """Record the first event of a prompt that met no other prefill.

    :param streams: concurrent streams of the server.
    :param expected_ms: expected time at a server of speed 1.
    :param now: in ms.
    """
    ratio = max(1.0, took_ms) / max(1.0, expected_ms)
    key = size_class, streams // STREAMS_PER_BUCKET
    level = _update_baseline(pool_speeds.first_events, key, ratio * server.value)
    if level is None:
        return
    factor = ratio * server.value / math.exp(level)
    pool_speeds.factors.append(factor)
    pool_speeds.new_factors += 1
    if pool_speeds.new_factors >= REFRESH_FACTORS:
        pool_speeds.new_factors = 0
        pool_speeds.sorted_factors = sorted([*PRIOR_FACTORS, *pool_speeds.factors])
    server.slow_factor = factor if factor >= SLOW_FACTOR else 0
    server.slow_at = now
    _add_sample(pool_speeds, server, level - math.log(ratio), at=now)


def record_event_time(
    pool_speeds: PoolSpeedState,
    server: ServerSpeedState,
    *,
    size_class: str,
    streams: int,
    event_ms: float,
    at: float,
) -> None:
    """Record the decode time of a stream's events.

    :param streams: concurrent streams of the server.
    :param event_ms: mean time between events, without prefill.
    :param at: middle of the stream, in ms, which is what its mean stands for.
    """
    if event_ms <= 0:
        return
    key = size_class, streams // STREAMS_PER_BUCKET
    level = _update_baseline(pool_speeds.events, key, event_ms * server.value)
    if level is not None:
        _add_sample(pool_speeds, server, level - math.log(event_ms), at=at)


def update_reference(pool_speeds: PoolSpeedState, servers: Iterable[HasSpeed]) -> None:
    """Update the speed that counts as 1, if there were enough observations."""
    if pool_speeds.new_samples < REFERENCE_SAMPLES:
        return
    pool_speeds.new_samples = 0
    speeds = [one.speed for one in servers if one.speed.count >= MIN_SAMPLES]
    if not speeds:
        return
    median = statistics.median(speed.log_value for speed in speeds)
    pool_speeds.reference += REFERENCE_SMOOTHING * (median - pool_speeds.reference)
    for speed in speeds:
        speed.value = _compute_value(speed.log_value - pool_speeds.reference)


def get_slower_share(pool_speeds: PoolSpeedState, factor: float) -> float:
    """Return how often servers take more than a multiple of the expected time."""
    factors = pool_speeds.sorted_factors
    return 1 - bisect.bisect_right(factors, factor) / len(factors)


def sum_speeds(servers: Iterable[HasSpeed]) -> float:
    """Return the capacity of some servers, in servers of speed 1."""
    return sum(server.speed.value for server in servers)


def build_inherited_speed(value: float) -> ServerSpeedState:
    """Build the state of a server whose speed the previous coordinator has estimated.

    The next observations replace the inherited speed as they would replace own ones.
    """
    value = min(MAX_SERVER_SPEED, max(MIN_SERVER_SPEED, value))
    state = ServerSpeedState(value=value, reported=value, count=MAX_SAMPLES)
    state.log_value = math.log(value)
    sample = 0.0, state.log_value / _get_confidence(MAX_SAMPLES)
    state.samples.extend([sample] * WINDOW_SAMPLES)
    return state


def has_changed(server: ServerSpeedState) -> bool:
    """Tell whether a server's speed is to be reported."""
    if (server.value == 1) != (server.reported == 1):
        return True
    return abs(math.log(server.value / server.reported)) >= math.log(CHANGED_RATIO)


def _update_baseline(
    baselines: dict[tuple[str, int], SpeedBaseline],
    key: tuple[str, int],
    value: float,
) -> float | None:
    """Add an observation to an expectation, and return the one before.

    :return: as a logarithm; ``None`` if there were too few observations.
    """
    baseline = baselines.get(key)
    if baseline is None:
        baseline = baselines[key] = SpeedBaseline(level=math.log(value))
    level = baseline.level if baseline.count >= MIN_BASELINE_SAMPLES else None
    baseline.count += 1
    deviation = math.log(value) - baseline.level
    deviation = min(MAX_BASELINE_STEP, max(-MAX_BASELINE_STEP, deviation))
    baseline.level += max(BASELINE_SMOOTHING, 1 / baseline.count) * deviation
    return level


def _add_sample(
    pool_speeds: PoolSpeedState,
    server: ServerSpeedState,
    log_speed: float,
    *,
    at: float,
) -> None:
    pool_speeds.new_samples += 1
    server.samples.append((at, log_speed))
    server.count += 1
    if server.count < MIN_SAMPLES:
        return
    samples = sorted(server.samples, reverse=True)
    since = samples[0][0] - WINDOW_MS
    values = [
        log_speed
        for index, (at, log_speed) in enumerate(samples)
        if index < WINDOW_SAMPLES or at >= since
    ]
    log_value = statistics.median(one for _at, one in samples)
    newest = statistics.median(values)
    direction = math.copysign(1, newest - log_value)
    deviating = sum(
        (one - log_value) * direction > math.log(1 + CHANGE) for one in values
    )
    recovered = values[:RECOVERY_SAMPLES]
    if deviating >= CHANGED_FRACTION * len(values):
        log_value = newest
    elif server.value < 1 and min(recovered) - log_value > math.log(1 + CHANGE):
        log_value = statistics.mean(recovered)
    server.log_value = log_value * _get_confidence(server.count)
    server.value = _compute_value(server.log_value - pool_speeds.reference)


def _compute_value(log_value: float) -> float:
    if abs(log_value) <= math.log(1 + DEADBAND):
        return 1.0
    return min(MAX_SERVER_SPEED, max(MIN_SERVER_SPEED, math.exp(log_value)))


def _get_confidence(count: int) -> float:
    return count / (count + SHRINKAGE_SAMPLES)
