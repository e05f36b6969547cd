"""Prefill speed of servers, estimated from the time to the first event.

Servers do not report their prefill speed, and it differs by model: on the same servers
some models are four times as fast as others. Among requests that started on a server
without other prefill, the time to the first event grows with the prompt by the prefill
time of each token; constant parts, such as an engine step and network delay, do not
change that slope. The median of the slopes between pairs of requests (the Theil-Sen
estimator) is robust even if a quarter of the times are outliers, as they are on servers
with unknown work that a coordinator has just taken over.
"""

import statistics
from collections import deque

import msgspec

from arbutuspulley.data import State

DEFAULT_SPEED = 20.0
"""Prefill speed in tokens a ms until enough requests were observed: about that of one
accelerator with a model of 70 GB, so that the first prompts don't stall streams."""

MIN_SPEED = 5.0
MAX_SPEED = 80.0
"""Bounds of the estimate, in tokens a ms: beyond the upper one, the prefill of 1,000
tokens takes less than the random variation of first events, which then determines the
slope."""

MAX_SAMPLES = 64
"""Number of requests that are kept: for a busy model, the requests of some seconds."""

MIN_TOKEN_DIFFERENCE = 300
"""Minimum difference of two prompts in tokens for their slope to count: times vary by
some 10 ms, which is the prefill time of as many tokens."""

PRIOR_SLOPES = 60
"""Weight of the prior estimate, in slopes between pairs: as many as about 15 requests
have."""

REFRESH_SAMPLES = 4
"""New requests after which the speed is computed again: 2,000 slopes take 0.3 ms."""


class PrefillSpeedState(State):
    """Observed first events and estimated prefill speed of one size class of models.

    :param prior: estimate before any request, in tokens a ms.
    :param samples: prompt tokens and time to the first event in ms of recent requests.
    :param speed: last computed estimate, in tokens a ms; 0: not computed yet.
    :param new_samples: requests since then.
    :param overhead_ms: part of the time to the first event that does not depend on the
        prompt.
    """

    prior: float = DEFAULT_SPEED
    samples: deque[tuple[int, float]] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    speed: float = 0
    new_samples: int = 0
    overhead_ms: float = 0


def add_sample(state: PrefillSpeedState, *, tokens: int, took_ms: float) -> None:
    """Add a request that started on a server without other prefill in progress.

    :param tokens: tokens of its prompt.
    :param took_ms: time from sending it to its first event.
    """
    state.samples.append((tokens, took_ms))
    state.new_samples += 1


def get_speed(state: PrefillSpeedState) -> float:
    """Return the estimated prefill speed, in tokens a ms."""
    if not state.samples:
        return state.prior
    if not state.speed or state.new_samples >= REFRESH_SAMPLES:
        state.new_samples = 0
        state.speed = _compute_speed(state)
        state.overhead_ms = _compute_overhead(state)
    return state.speed


def _compute_speed(state: PrefillSpeedState) -> float:
    slopes = [1 / state.prior] * PRIOR_SLOPES
    samples = sorted(state.samples)
    for index, (tokens, took) in enumerate(samples):
        slopes.extend(
            (longer - took) / (more - tokens)
            for more, longer in samples[index + 1 :]
            if more - tokens >= MIN_TOKEN_DIFFERENCE
        )
    slope = max(1 / MAX_SPEED, statistics.median(slopes))
    return max(MIN_SPEED, 1 / slope)


def _compute_overhead(state: PrefillSpeedState) -> float:
    return max(
        0.0, statistics.median(took - n / state.speed for n, took in state.samples)
    )
