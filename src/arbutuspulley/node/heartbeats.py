"""Age of the coordinator's status, measured by the heartbeats that it acknowledges.

Status messages that arrive at their usual intervals do not show how long each was in
transit: behind a full link all of them are equally late, and the clocks of two
instances can't be compared. The time since the newest acknowledged heartbeat was sent
is an upper bound.
"""


class HeartbeatTracker:
    """Heartbeats that the coordinator has not acknowledged yet, by number.

    :param now: when the link was opened, in ms.
    """

    __slots__ = ("_acknowledged_sent_at", "_number", "_sent_at")

    def __init__(self, *, now: int) -> None:
        self._number = 0
        self._sent_at: dict[int, int] = {}
        self._acknowledged_sent_at = now

    def record_sent(self, now: int) -> int:
        """Return the number of a heartbeat that is sent now; numbers count from 1."""
        self._number += 1
        self._sent_at[self._number] = now
        return self._number

    def record_acknowledged(self, number: int) -> None:
        """Record that the coordinator acknowledges a heartbeat and all before it."""
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
        """Return the maximum age of the coordinator's last status, in ms."""
        return now - self._acknowledged_sent_at
