"""How old the word is that no newer configuration than the one in force exists.

A key that a newer configuration withdraws must stop working everywhere within a bound,
also at an instance that can't hear of it. So each instance keeps the latest moment, on
its own clock, *before* which it asked for the confirmation that it last got. When the
answer came does not count: it may have waited in a socket or a frozen process.

Instances confirm to each other without comparing clocks. A says when it has heard B's
message number n; whatever A asks the store after that is newer than the sending of n.
"""

from collections import deque

MAX_MESSAGE_TIMES = 40
"""Messages whose times are kept, per link: those of 10 s, longer than any bound."""

CLOCK_DRIFT_MARGIN_MS = 100
"""Kept back from the bound of a withdrawal, in ms: clocks of two machines drift apart
by less within some seconds."""


class Freshness:
    """The word on which the present configuration is believed to be the newest.

    :param source: who gave the newest one: ``store`` or ``coordinator``.
    """

    __slots__ = ("confirmed_at", "source")

    def __init__(self) -> None:
        self.confirmed_at: int | None = None
        self.source = ""

    def confirm(self, asked_at: int, *, source: str) -> None:
        """Take in that the configuration in force was the newest at a moment.

        :param asked_at: that moment, in ms of the own clock; the latest one counts.
        """
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at
            self.source = source

    def get_age(self, now: int) -> int | None:
        """Return the age of the word, in ms; ``None`` if there is none."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def is_within(self, limit_ms: int, *, now: int) -> bool:
        """Tell whether the word is younger than a limit, in ms."""
        age = self.get_age(now)
        return age is not None and age < limit_ms


class MessageTimes:
    """When the last messages of one link went or came, by their numbers."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[tuple[int, int]] = deque(maxlen=MAX_MESSAGE_TIMES)

    def record(self, number: int, *, at: int) -> None:
        """Note a message; numbers and times grow."""
        self._times.append((number, at))

    def find_time(self, number: int) -> int | None:
        """Return when a message went or came, in ms; ``None`` if that is not kept."""
        return next((at for recorded, at in self._times if recorded == number), None)

    def find_number(self, until: int | None) -> int:
        """Return the number of the last message up to a moment; 0: none is kept."""
        if until is None:
            return 0
        return max((recorded for recorded, at in self._times if at <= until), default=0)
