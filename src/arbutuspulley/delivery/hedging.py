"""When a second attempt of a request begins while its first one is silent.

A second attempt begins at another server once the first has been silent for longer than
the running 95th percentile of its route's time to first byte, so about one request in
twenty is considered for it. Everything here is without I/O.

Such requests are known as hedged requests: Dean and Barroso, "The Tail at Scale", 2013.
"""

import bisect
import enum
import math
from collections import deque

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State, Value
from arbutuspulley.ports.fleet import RetryPolicy, Route

PERCENTILE = 0.95
"""Percentile of the time to first byte after which a second attempt begins."""

SAMPLE_WINDOW_MS = 60 * SECOND_MS
"""How long a time to first byte counts, in ms."""

MIN_SAMPLES = 20
"""Fewest times from which the percentile is computed."""

MAX_SAMPLES = 1_000
"""Maximum number of times that are kept of a route, the newest ones; 16 KB."""

MIN_DELAY_MS = 10
"""Shortest silence of the first attempt before a second one, in ms: below it, an event
loop that is busy for a moment looks like a slow server."""

MIN_TARGETS_LEFT = 0.5
"""Least time to the deadline at which a second attempt begins, in latency targets."""


MAX_LOAD = 0.75
"""Fraction of its share of a plain service's slots that an instance may have in use as
a second attempt begins. In a simulation (scripts/compare_hedging.py), second attempts
at a load of 0.9 made first ones wait longer without this rule."""


class Withheld(enum.StrEnum):
    """Why no second attempt begins although the first one is silent.

    ``SUSPECT``: servers have crashed under the request or a part of its prompt.
    ``ATTEMPTS``: the route allows no further server. ``LATE``: too little time is left.
    ``CUT_OFF``: the own network is the likelier cause of the silence.
    ``LOSING``: too few of the latest second attempts have won.
    ``FULL``: servers refuse requests as full, or requests wait for them.
    ``NO_SERVER``: no other server may run it and has a free slot.
    ``BUDGET``: the budget of second attempts is used up.
    ``RETRY_BUDGET``: the retry budget is used up.
    """

    SUSPECT = "suspect"
    ATTEMPTS = "attempts"
    LATE = "late"
    CUT_OFF = "cut_off"
    LOSING = "losing"
    FULL = "full"
    NO_SERVER = "no_server"
    BUDGET = "budget"
    RETRY_BUDGET = "retry_budget"


class Situation(Value, frozen=True):
    """What is known as the first attempt has been silent for long enough.

    :param has_crashed_servers: whether the request or a part of it is suspected.
    :param attempts: number of servers that may have run the request.
    :param max_attempts: largest such number.
    :param left_ms: time to the deadline.
    :param latency_target_ms: latency target of its route.
    :param is_cut_off: whether the own network is suspected.
    :param is_losing: whether too few of the latest second attempts have won.
    :param is_full: whether servers of the service refuse requests as full.
    :param has_server: whether another server may run it now.
    """

    has_crashed_servers: bool
    attempts: int
    max_attempts: int
    left_ms: int
    latency_target_ms: int
    is_cut_off: bool
    is_losing: bool
    is_full: bool
    has_server: bool


class FirstByteTimes(State):
    """Times to first byte of one route within the window.

    :param times: when each was measured and how long it was, both in ms, oldest first.
    :param ordered: the durations in ascending order.
    """

    times: deque[tuple[int, int]] = msgspec.field(default_factory=deque)
    ordered: list[int] = msgspec.field(default_factory=list)


def may_hedge(route: Route) -> bool:
    """Return whether requests of a route may run at two servers at a time."""
    if route.retry_policy is RetryPolicy.RESUME:
        return route.is_stream
    return route.retry_policy is RetryPolicy.ANY


def record_first_byte(times: FirstByteTimes, took_ms: int, *, now: int) -> None:
    """Record how long a first attempt was silent.

    :param took_ms: time to its first byte. If the second attempt came first, the time
        until then: leaving such requests out would lower the percentile, and with it
        the delay, again and again.
    """
    times.times.append((now, took_ms))
    bisect.insort(times.ordered, took_ms)
    if len(times.times) > MAX_SAMPLES:
        _evict_oldest(times)


def get_hedge_delay(times: FirstByteTimes, *, now: int) -> int | None:
    """Return after which silence a second attempt begins, in ms.

    :return: ``None`` if too few times are known.
    """
    while times.times and times.times[0][0] <= now - SAMPLE_WINDOW_MS:
        _evict_oldest(times)
    count = len(times.ordered)
    if count < MIN_SAMPLES:
        return None
    return max(MIN_DELAY_MS, times.ordered[math.ceil(PERCENTILE * count) - 1])


def find_reason(situation: Situation) -> Withheld | None:
    """Return why no second attempt begins; ``None``: the budgets decide."""
    if situation.has_crashed_servers:
        return Withheld.SUSPECT
    if situation.attempts >= situation.max_attempts:
        return Withheld.ATTEMPTS
    if situation.left_ms < MIN_TARGETS_LEFT * situation.latency_target_ms:
        return Withheld.LATE
    if situation.is_cut_off:
        return Withheld.CUT_OFF
    if situation.is_losing:
        return Withheld.LOSING
    if situation.is_full:
        return Withheld.FULL
    if not situation.has_server:
        return Withheld.NO_SERVER
    return None


def _evict_oldest(times: FirstByteTimes) -> None:
    _at, took_ms = times.times.popleft()
    del times.ordered[bisect.bisect_left(times.ordered, took_ms)]
