"""How fast servers read prompts, learnt from how long first events take.

No server tells its reading speed, and it differs by model: on the same servers some
models are read four times as fast as others. Among requests that started on a server
that was reading nothing else, the time until the first event grows with the prompt
by the time that a token takes; what is the same for all, such as a step and the way
there, does not change that slope. The median of the slopes between pairs of requests
(Theil and Sen's estimate) stands even if a quarter of the times are off, as they are
on servers that a coordinator has just taken over with unknown work.
"""

import statistics
from collections import deque

import msgspec

from arbutuspulley.data import State

DEFAULT_SPEED = 20.0
"""Prompt tokens that a server reads in a ms, until enough was seen: about what one
accelerator reads of a model of 70 GB, so that the first prompts don't stop streams."""

MIN_SPEED = 5.0
MAX_SPEED = 80.0
"""Bounds of what is believed, in tokens a ms: beyond, a prompt of 1,000 tokens takes
less than the scatter of first events, and the slope is an accident of their times."""

MAX_SAMPLES = 64
"""Requests that are kept: some seconds of a busy model's."""

MIN_TOKEN_DIFFERENCE = 300
"""Fewest tokens by which two prompts differ for their slope to count: times scatter by
some 10 ms, which is the reading time of as many tokens."""

PRIOR_SLOPES = 60
"""How many pairs the first guess weighs as much as: those of about 15 requests."""

REFRESH_SAMPLES = 4
"""New requests after which the speed is worked out anew: 2,000 slopes take 0.3 ms."""


class PrefillSpeedState(State):
    """What was seen of one kind of model.

    :param guess: what is believed before, in tokens a ms.
    :param samples: prompt tokens and ms to the first event of the newest requests.
    :param speed: as last worked out, in tokens a ms; 0: not yet.
    :param fresh: requests since then.
    """

    prior: float = DEFAULT_SPEED
    samples: deque[tuple[int, float]] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    speed: float = 0
    new_samples: int = 0


def add_sample(state: PrefillSpeedState, *, tokens: int, took_ms: float) -> None:
    """Count a request that started on a server that read nothing else.

    :param tokens: of its prompt.
    :param took_ms: from sending it to its first event.
    """
    state.samples.append((tokens, took_ms))
    state.new_samples += 1


def get_speed(state: PrefillSpeedState) -> float:
    """Return the prompt tokens that a server reads in a ms."""
    if not state.samples:
        return state.prior
    if not state.speed or state.new_samples >= REFRESH_SAMPLES:
        state.new_samples = 0
        state.speed = _compute_speed(state)
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
