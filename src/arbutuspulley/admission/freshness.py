"""Age of the confirmation that the active configuration is the newest one.

A key that a newer configuration revokes must stop working everywhere within a bound,
also at an instance that cannot receive that configuration. So each instance keeps the
time, on its own clock, at which it asked for the latest confirmation that it got. The
time of the answer does not count: it may have waited in a socket or a frozen process.

Instances confirm to each other without comparing clocks. A reports that it has
received B's message number n; whatever A asks the store after that is newer than the
sending of n.
"""

from collections import deque

MAX_MESSAGE_TIMES = 40
"""Messages per link whose times are kept: the messages of 10 s, longer than any
bound."""

CLOCK_DRIFT_MARGIN_MS = 100
"""Safety margin subtracted from the revocation bound, in ms: the clocks of two machines
drift apart by less than this within a few seconds."""


class Freshness:
    """Latest confirmation that the active configuration is the newest.

    :param confirmed_at: time as of which it is confirmed, in ms of the own clock;
        ``None`` before the first confirmation.
    :param source: origin of the confirmation: ``store``, ``coordinator`` or
        ``follower``.
    """

    __slots__ = ("confirmed_at", "source")

    def __init__(self) -> None:
        self.confirmed_at: int | None = None
        self.source = ""

    def confirm(self, asked_at: int, *, source: str) -> None:
        """Record that the active configuration was the newest at a given time.

        :param asked_at: that time, in ms of the own clock; the latest one counts.
        :param source: origin of the confirmation.
        """
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at
            self.source = source

    def get_age(self, now: int) -> int | None:
        """Return the age of the confirmation, in ms; ``None`` if there is none."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def is_within(self, limit_ms: int, *, now: int) -> bool:
        """Return whether the confirmation is younger than a limit, in ms."""
        age = self.get_age(now)
        return age is not None and age < limit_ms


class MessageTimes:
    """Times at which the last messages of one link were sent or received, by number."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[tuple[int, int]] = deque(maxlen=MAX_MESSAGE_TIMES)

    def record(self, number: int, *, at: int) -> None:
        """Record the time of a message, in ms; numbers and times increase."""
        self._times.append((number, at))

    def find_time(self, number: int) -> int | None:
        """Return the time of a message, in ms; ``None`` if it is no longer kept."""
        return next((at for recorded, at in self._times if recorded == number), None)

    def find_number(self, until: int | None) -> int:
        """Return the number of the last message up to a time; 0 if none is kept.

        :param until: time in ms; ``None`` gives 0.
        """
        if until is None:
            return 0
        return max((recorded for recorded, at in self._times if at <= until), default=0)
