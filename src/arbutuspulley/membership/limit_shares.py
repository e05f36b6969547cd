"""Each instance's share of limits that apply to all instances together."""

from collections import deque

MIN_INSTANCES = 6
"""Smallest divisor of a shared limit: an instance that knows of fewer instances
probably does not know of all."""


def get_instance_share(limit: float, *, share_divisor: float) -> float:
    """Return the share of a limit that one instance may use without coordination.

    :param share_divisor: number by which the limit is divided, if it is larger than
        :data:`MIN_INSTANCES`.
    """
    return limit / max(MIN_INSTANCES, share_divisor)


SHARE_TIMEOUT_MS = 4_000
"""Time for which a share is used without a status of the coordinator, in ms: a lost
coordinator is replaced within a lease of 3 s."""


class SettledShare:
    """An instance's share of what all instances together may use in a window.

    Instances learn at different times that the fleet has changed, and some not at all
    while they are cut off. So a smaller share applies at once, and a larger one only
    when any instance that is cut off has not used its share for a window: it uses none
    from a timeout after the last status on. An instance that joins, or is back, waits
    for a window, in which the others may have used its share.
    """

    __slots__ = ("_changes", "_updated_at")

    def __init__(self) -> None:
        # Shares with the times since which they hold, oldest first.
        self._changes: deque[tuple[int, float]] = deque()
        self._updated_at: int | None = None

    def update(self, share: float, *, window_ms: int, now: int) -> None:
        """Apply a share that follows from a status of the coordinator.

        :param share: fraction of the limit, from 0 to 1.
        :param window_ms: window in which what is used is limited.
        """
        if not self._is_up_to_date(now):
            # The others use less as soon as this instance is back.
            back_at = now - SHARE_TIMEOUT_MS
            self._changes.extend(((back_at, 0.0), (back_at, share)))
        elif share != self._changes[-1][1]:
            self._changes.append((now, share))
        self._updated_at = now
        self._evict_settled(window_ms=window_ms, now=now)

    def get(self, *, window_ms: int, now: int) -> float:
        """Return the share that may be used now.

        :param window_ms: window in which what is used is limited.
        """
        if not self._is_up_to_date(now):
            return 0.0
        self._evict_settled(window_ms=window_ms, now=now)
        return min(share for _at, share in self._changes)

    def _evict_settled(self, *, window_ms: int, now: int) -> None:
        """Evict the shares that a later one has replaced for long enough."""
        since = now - window_ms - SHARE_TIMEOUT_MS
        while len(self._changes) > 1 and self._changes[1][0] <= since:
            self._changes.popleft()

    def _is_up_to_date(self, now: int) -> bool:
        updated_at = self._updated_at
        return updated_at is not None and now - updated_at <= SHARE_TIMEOUT_MS
