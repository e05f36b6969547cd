"""How fast servers finish work for this entry, and when a refused caller should
come back.

The rate follows from the mean cost and duration of what finished lately and from
the slots in use, so that a few long requests give a usable number.
"""

import math

import xxhash

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State

DEFAULT_DURATION_MS = 5_000.0
"""Assumed duration of a request at a server that has not yet finished one."""

DEFAULT_COST = 200.0
"""Assumed cost of such a request."""

LEARNING = 0.1
"""Weight of the newest finished request in the means."""

DEFAULT_FIRST_TOKEN_MS = 150.0
"""Assumed time from admission to the first token."""

LEAST_RETRY_MS = 1_000
"""Shortest time told to a refused caller."""

MOST_RETRY_MS = 60_000
"""Longest time told to a refused caller."""

SPREAD = 0.25
"""Largest part added to the time told, so that callers do not return together."""


class Pace(State):
    """Means over requests finished lately at one server."""

    cost: float = DEFAULT_COST
    duration_ms: float = DEFAULT_DURATION_MS
    finished: int = 0


class DrainState(State):
    """What this entry has measured.

    :param paces: by server.
    :param first_token_ms: mean time from admission to the first token.
    :param booked_until: when the work of callers told to come back is done.
    """

    paces: dict[str, Pace] = {}
    first_token_ms: float = DEFAULT_FIRST_TOKEN_MS
    booked_until: float = 0.0


def note_finished(
    state: DrainState, *, server: str, cost: int, duration_ms: int
) -> None:
    """Learn from a request that a server finished."""
    pace = state.paces.setdefault(server, Pace())
    pace.finished += 1
    learning = max(LEARNING, 1 / pace.finished)
    pace.cost += learning * (cost - pace.cost)
    pace.duration_ms += learning * (max(1, duration_ms) - pace.duration_ms)


def note_first_token(state: DrainState, *, elapsed_ms: int) -> None:
    """Learn from the time between an admission and its first token."""
    state.first_token_ms += LEARNING * (elapsed_ms - state.first_token_ms)


def measure_rate(state: DrainState, *, server: str, slots: int) -> float:
    """Return the token cost a second that a number of slots works off."""
    pace = state.paces.get(server) or Pace()
    return slots * pace.cost / pace.duration_ms * SECOND_MS


def book_return(
    state: DrainState,
    *,
    request_id: str,
    cost: int,
    wait_ms: int,
    rate: float,
    now: int,
) -> int:
    """Return after how many milliseconds a refused caller should come back.

    Each refused request books its cost after those refused before it. Without
    that, all callers refused in one overload would be told the same time and
    would overload the entry again when it comes.

    :param wait_ms: how long the work that waits already takes.
    :param rate: token cost a second that is worked off.
    """
    start = max(state.booked_until, now + wait_ms)
    state.booked_until = start + cost / max(rate, 1.0) * SECOND_MS
    state.booked_until = min(state.booked_until, now + MOST_RETRY_MS)
    drawn = xxhash.xxh32_intdigest(request_id.encode()) / 2**32
    told = (start - now) * (1 + SPREAD * drawn)
    return min(MOST_RETRY_MS, max(LEAST_RETRY_MS, math.ceil(told)))
