"""How fast servers finish this entry's requests, and what follows for those that
wait: how long they will, and when a refused caller should come back.

A waiting request needs a slot, so what counts is how often slots become free: the
slots in use over the mean duration of the requests that finished lately.
"""

import math

import xxhash

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State

DEFAULT_DURATION_MS = 5_000.0
"""Assumed duration of a request at a server that has not yet finished one."""

EWMA_WEIGHT = 0.1
"""Weight of the newest request in the means."""

DEFAULT_FIRST_TOKEN_MS = 150.0
"""Assumed time from admission to the first token."""

DEVIATION_FACTOR = 2.0
"""Mean deviations added to that time when a request must be in time."""

MIN_RETRY_MS = SECOND_MS
"""Shortest time told to a refused caller."""

MAX_RETRY_MS = 60 * SECOND_MS
"""Longest time told to a refused caller."""

MAX_JITTER = 0.25
"""Largest part added to the time told, so that callers do not return together."""


class DurationEstimate(State):
    """Requests finished lately at one server.

    :param finished: how many have been.
    """

    duration_ms: float = DEFAULT_DURATION_MS
    finished: int = 0


class DrainState(State):
    """What this entry has measured.

    :param paces: by server.
    :param first_token_ms: mean time from admission to the first token.
    :param deviation_ms: its mean deviation.
    """

    durations: dict[str, DurationEstimate] = {}
    first_token_ms: float = DEFAULT_FIRST_TOKEN_MS
    deviation_ms: float = 0.0


def record_finished(state: DrainState, *, server: str, duration_ms: int) -> None:
    """Learn from a request that a server finished."""
    estimate = state.durations.setdefault(server, DurationEstimate())
    estimate.finished += 1
    weight = max(EWMA_WEIGHT, 1 / estimate.finished)
    estimate.duration_ms += weight * (max(1, duration_ms) - estimate.duration_ms)


def record_first_token(state: DrainState, *, elapsed_ms: int) -> None:
    """Learn from the time between an admission and its first token."""
    error = elapsed_ms - state.first_token_ms
    state.first_token_ms += EWMA_WEIGHT * error
    state.deviation_ms += EWMA_WEIGHT * (abs(error) - state.deviation_ms)


def predict_first_token(state: DrainState) -> float:
    """Return how long after its admission a request's first token comes at most.

    The mean alone would admit requests that are late half of the time: under
    overload, most of them are admitted close to their deadline.
    """
    return state.first_token_ms + DEVIATION_FACTOR * state.deviation_ms


def estimate_rate(state: DrainState, *, server: str, slots: int) -> float:
    """Return how many requests a millisecond a number of slots finishes."""
    estimate = state.durations.get(server)
    return slots / (estimate.duration_ms if estimate else DEFAULT_DURATION_MS)


def schedule_retry(
    reserved_until: float, *, request_id: str, wait_ms: float, rate: float, now: int
) -> tuple[float, int]:
    """Return when a refused caller should come back.

    Each refused request books a slot after those refused before it. Without that,
    all that are refused in one overload would be told the same time and would
    overload the entry again when it comes.

    :param booked_until: until when earlier refused requests have booked.
    :param wait_ms: when the first slot would be free for it.
    :param rate: requests a millisecond that are finished for its caller.
    :return: until when is booked now, and the milliseconds to tell.
    """
    start = max(reserved_until, now + wait_ms)
    start = min(start, now + MAX_RETRY_MS)
    jitter = xxhash.xxh32_intdigest(request_id.encode()) / 2**32
    retry_after_ms = math.ceil((start - now) * (1 + MAX_JITTER * jitter))
    reserved = start + (1 / rate if rate > 0 else MAX_RETRY_MS)
    return reserved, min(MAX_RETRY_MS, max(MIN_RETRY_MS, retry_after_ms))
