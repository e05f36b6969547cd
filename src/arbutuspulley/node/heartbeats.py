"""How old what the coordinator tells is, from beats that it acknowledges.

Digests that come at their usual intervals say nothing of how long each was on its
way: behind a full link all of them are late alike, and clocks of two instances can't
be compared. The time since the sending of the newest beat that a digest acknowledges
bounds it.
"""


class HeartbeatTracker:
    """Beats on their way to the coordinator, by number.

    :param now: when the link was opened, in ms.
    """

    __slots__ = ("_acknowledged_sent_at", "_number", "_sent_at")

    def __init__(self, *, now: int) -> None:
        self._number = 0
        self._sent_at: dict[int, int] = {}
        self._acknowledged_sent_at = now

    def record_sent(self, now: int) -> int:
        """Return the number of a beat that is sent now; numbers count from 1."""
        self._number += 1
        self._sent_at[self._number] = now
        return self._number

    def record_acknowledged(self, number: int) -> None:
        """The coordinator acknowledges a beat, and so all before it."""
        sent_at = self._sent_at.get(number)
        if sent_at is None:
            return
        self._acknowledged_sent_at = max(self._acknowledged_sent_at, sent_at)
        self._sent_at = {
            sent_number: at
            for sent_number, at in self._sent_at.items()
            if sent_number > number
        }

    def get_age(self, now: int) -> int:
        """Return how old what was last told can be, in ms."""
        return now - self._acknowledged_sent_at
