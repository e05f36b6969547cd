"""Limits how often the coordinator plans, so that other work gets its share of time.

A planning cycle takes the same time for one message as for a hundred. Under load, one
would follow each message, and the coordinator's own links, lease renewals and callers
would be delayed.
"""

MAX_BUSY_RATIO = 0.25
"""Maximum share of time that planning cycles of one kind may take."""

MAX_PAUSE_S = 0.03
"""Maximum pause after a cycle, in s: callers that wait for a decision see it as delay,
against latency targets of 400 ms and more."""


class Pacer:
    """When the next cycle of one kind may start, on the event loop's clock in s."""

    __slots__ = ("next_at",)

    def __init__(self) -> None:
        self.next_at = 0.0

    def record_cycle(self, started_at: float, ended_at: float) -> None:
        """Record a cycle; the pause until the next is in proportion to its duration."""
        pause = (ended_at - started_at) * (1 - MAX_BUSY_RATIO) / MAX_BUSY_RATIO
        self.next_at = ended_at + min(MAX_PAUSE_S, pause)

    def get_delay(self, now: float) -> float:
        """Return how long until the next cycle may start, in s."""
        return max(0.0, self.next_at - now)
