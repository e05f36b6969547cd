"""Schedule of an instance's long polls, so that a silent store is noticed early.

A long poll without changes is answered when its wait is over. While the store is
silent, the poll that ends first is the first to show it. The polls for the tables
therefore end by turns, half a wait apart.
"""

from arbutuspulley.platform.store import FEED_WAIT_MS

MAX_GAP_MS = FEED_WAIT_MS // 2
"""Longest time from one answer of a store that is well to the next one, in ms."""

MIN_WAIT_MS = 100
"""Shortest wait of a poll, in ms; shorter ones would become a series of calls."""


class FeedSchedule:
    """When the long polls of an instance end, by table."""

    __slots__ = ("_answered_at", "_ends")

    def __init__(self) -> None:
        self._ends: dict[str, int] = {}
        self._answered_at: int | None = None

    def begin(self, table: str, *, now: int) -> int:
        """Record that a poll is sent.

        If no other poll is in flight, the next one adapts to this one.

        :return: how long the store may hold it, in ms.
        """
        ends = [end for other, end in self._ends.items() if other != table]
        answered_at = now if self._answered_at is None else self._answered_at
        due_at = answered_at + MAX_GAP_MS
        end = now + FEED_WAIT_MS
        if ends:
            first = min(ends)
            end = min(end, first + MAX_GAP_MS) if first <= due_at else due_at
        wait_ms = max(MIN_WAIT_MS, end - now)
        self._ends[table] = now + wait_ms
        return wait_ms

    def finish(self, table: str) -> None:
        """Record that a poll is over, answered or not."""
        self._ends.pop(table, None)

    def record_answer(self, *, now: int) -> None:
        """Record that the store has answered."""
        self._answered_at = now
