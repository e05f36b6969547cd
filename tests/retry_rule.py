"""The rule that a service's retry budget has to keep to, for all instances together.

In any window a service may get at most ``ratio`` times its requests, and ``extra``
more, as arrivals beyond the first of each request. The requests are those of that
window, of the one before it, or of the one half a window before it, whichever has most.
"""

from bisect import bisect_left, bisect_right

import msgspec


class Excess(msgspec.Struct, frozen=True, kw_only=True):
    """The window in which most retries were beyond what is allowed.

    :param at: begin of the window.
    :param requests: requests that count for the window.
    """

    at: float
    retries: int
    allowed: float
    requests: int

    @property
    def is_broken(self):
        return self.retries > self.allowed


def list_retries(arrivals):
    """Return the times of all arrivals beyond the first of each request, in order.

    :param arrivals: pairs of time and request, in any order.
    """
    seen = set()
    retries = []
    for at, request in sorted(arrivals):
        if request in seen:
            retries.append(at)
        seen.add(request)
    return retries


def find_excess(requests, retries, *, ratio, extra, window):
    """Return the window with the largest excess; ``None`` without any retry.

    :param requests: times at which callers sent requests, in order.
    :param retries: times of the arrivals beyond the first of each request, in order.
    """

    def count(times, begin):
        return bisect_right(times, begin + window) - bisect_left(times, begin)

    worst = None
    for begin in sorted({*retries, *(at - window for at in retries)}):
        counted = max(
            count(requests, begin - earlier) for earlier in (0, window / 2, window)
        )
        excess = Excess(
            at=begin,
            retries=count(retries, begin),
            allowed=ratio * counted + extra,
            requests=counted,
        )
        if worst is None or (
            excess.retries - excess.allowed > worst.retries - worst.allowed
        ):
            worst = excess
    return worst
