"""Estimates how fast servers complete requests, and derives waits and retry times.

A waiting request needs a slot, so the relevant rate is how often slots become free:
slots in use divided by the mean duration of recently completed requests.
"""

import math

import xxhash

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State

DEFAULT_DURATION_MS = 5_000.0
"""Assumed request duration at a server that has not completed a request yet."""

EWMA_WEIGHT = 0.1
"""Weight of the newest sample in the moving averages."""

DEFAULT_FIRST_TOKEN_MS = 150.0
"""Assumed time from admission to the first token."""

DEVIATION_FACTOR = 2.0
"""Mean deviations added to the mean time to first token in the prediction."""

MIN_RETRY_MS = SECOND_MS
"""Shortest retry time sent to a refused caller."""

MAX_RETRY_MS = 60 * SECOND_MS
"""Longest retry time sent to a refused caller."""

MAX_JITTER = 0.25
"""Largest jitter, as a fraction of the retry time; it desynchronises retries."""


class DurationEstimate(State):
    """Moving average of the request duration at one server.

    :param finished: number of completed requests.
    """

    duration_ms: float = DEFAULT_DURATION_MS
    finished: int = 0


class DrainState(State):
    """Measurements of one entry.

    :param durations: request durations by server.
    :param first_token_ms: mean time from admission to the first token.
    :param deviation_ms: mean deviation of that time.
    """

    durations: dict[str, DurationEstimate] = {}
    first_token_ms: float = DEFAULT_FIRST_TOKEN_MS
    deviation_ms: float = 0.0


def record_finished(state: DrainState, *, server: str, duration_ms: int) -> None:
    """Update a server's mean request duration."""
    estimate = state.durations.setdefault(server, DurationEstimate())
    estimate.finished += 1
    weight = max(EWMA_WEIGHT, 1 / estimate.finished)
    estimate.duration_ms += weight * (max(1, duration_ms) - estimate.duration_ms)


def record_first_token(state: DrainState, *, elapsed_ms: int) -> None:
    """Update the mean and the deviation of the time to first token.

    :param elapsed_ms: time from admission to the first token.
    """
    error = elapsed_ms - state.first_token_ms
    state.first_token_ms += EWMA_WEIGHT * error
    state.deviation_ms += EWMA_WEIGHT * (abs(error) - state.deviation_ms)


def predict_first_token(state: DrainState) -> float:
    """Return a conservative time from admission to the first token, in ms.

    With the mean alone, half of the requests that are admitted close to their
    deadline would be late, and under overload most are admitted close to it.
    """
    return state.first_token_ms + DEVIATION_FACTOR * state.deviation_ms


def estimate_rate(state: DrainState, *, server: str, slots: int) -> float:
    """Return the requests per ms that a number of slots completes."""
    estimate = state.durations.get(server)
    return slots / (estimate.duration_ms if estimate else DEFAULT_DURATION_MS)


def schedule_retry(
    reserved_until: float, *, request_id: str, wait_ms: float, rate: float, now: int
) -> tuple[float, int]:
    """Return when a refused request should be retried.

    Each refused request reserves a slot after those refused before it. Otherwise all
    requests that are refused in one overload would get the same retry time and
    overload the entry again at that time.

    :param reserved_until: end of the reservations of earlier refused requests, in ms.
    :param wait_ms: estimated time until a slot is free.
    :param rate: requests per ms that are completed for the caller.
    :return: the new end of the reservations, and the retry time to send in ms.
    """
    start = max(reserved_until, now + wait_ms)
    start = min(start, now + MAX_RETRY_MS)
    jitter = xxhash.xxh32_intdigest(request_id.encode()) / 2**32
    retry_after_ms = math.ceil((start - now) * (1 + MAX_JITTER * jitter))
    reserved = start + (1 / rate if rate > 0 else MAX_RETRY_MS)
    return reserved, min(MAX_RETRY_MS, max(MIN_RETRY_MS, retry_after_ms))
