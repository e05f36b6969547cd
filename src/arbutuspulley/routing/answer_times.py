"""How long servers take for the requests of each route."""

from collections import OrderedDict, deque

MAX_ROUTES = 1_000
"""Maximum number of routes whose times are kept, some 1 MB."""

MAX_TIMES = 64
"""Number of the last answers of a route whose times are kept."""


class AnswerTimes:
    """Times of the last answers, and of the requests in flight, by route."""

    __slots__ = ("_in_flight", "_recent")

    def __init__(self) -> None:
        self._recent: OrderedDict[str, deque[int]] = OrderedDict()
        # When each was sent, in ms, the first one first.
        self._in_flight: dict[str, dict[object, int]] = {}

    def record_sent(self, route: str, request: object, *, now: int) -> None:
        """Record that a request is sent to a server."""
        sent = self._in_flight.setdefault(route, {})
        sent.pop(request, None)
        sent[request] = now

    def record_ended(
        self, route: str, request: object, *, took_ms: int | None = None
    ) -> None:
        """Record that a server works on a request no longer.

        :param took_ms: time until its complete answer, in ms; ``None``: it gave none.
        """
        sent = self._in_flight.get(route, {})
        sent.pop(request, None)
        if not sent:
            self._in_flight.pop(route, None)
        if took_ms is None:
            return
        self._recent.setdefault(route, deque(maxlen=MAX_TIMES)).append(took_ms)
        self._recent.move_to_end(route)
        if len(self._recent) > MAX_ROUTES:
            self._recent.popitem(last=False)

    def get_longest_ms(self, route: str, *, now: int) -> int | None:
        """Return the longest time of the last answers and the requests in flight.

        :return: the time in ms; ``None``: none is known.
        """
        times = list(self._recent.get(route, ()))
        sent = self._in_flight.get(route)
        if sent:
            times.append(now - next(iter(sent.values())))
        return max(times, default=None)
