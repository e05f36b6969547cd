"""How often the coordinator decides, so that deciding leaves time for all else.

A pass of decisions costs the same whether one message has come or a hundred. Under load
it would follow each message, and the coordinator's own links, renewals and callers
would wait behind it.
"""

MAX_BUSY_RATIO = 0.25
"""Part of the time that passes of one kind may take."""

MAX_PAUSE_S = 0.03
"""Longest pause after a pass, in s: callers that wait for a decision see it as delay,
against aims of 400 ms and more."""


class Pacer:
    """When the next pass of one kind may begin, on the loop's clock in s."""

    __slots__ = ("next_at",)

    def __init__(self) -> None:
        self.next_at = 0.0

    def record_cycle(self, started_at: float, ended_at: float) -> None:
        """A pass was made; the next one comes after a pause in proportion to it."""
        pause = (ended_at - started_at) * (1 - MAX_BUSY_RATIO) / MAX_BUSY_RATIO
        self.next_at = ended_at + min(MAX_PAUSE_S, pause)

    def get_delay(self, now: float) -> float:
        """Return how long until the next pass may begin, in s."""
        return max(0.0, self.next_at - now)
