"""Times for which backend servers want no requests from an instance.

A server that refuses a request may state how long it wants no further one from the
instance that sent it. Other instances may still send requests to it.
"""

from collections.abc import Container

MAX_UNLISTED = 50
"""Largest number of servers without an entry whose cooldowns are kept: an entry may
lapse while its server is alive."""


class Cooldowns:
    """Until when servers want no requests from one instance, by incarnation."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, int] = {}

    def extend(self, incarnation: str, until: int) -> bool:
        """Start or extend a server's cooldown.

        :param until: its end, in ms.
        :return: whether it now ends later than before.
        """
        if until <= self._until.get(incarnation, until - 1):
            return False
        self._until[incarnation] = until
        return True

    def get_end(self, incarnation: str) -> int:
        """Return when a server's cooldown ends or ended, in ms; 0: it had none."""
        return self._until.get(incarnation, 0)

    def list_active(self, *, now: int) -> dict[str, int]:
        """Return the remaining time of active cooldowns, in ms by incarnation."""
        return {
            incarnation: until - now
            for incarnation, until in self._until.items()
            if until > now
        }

    def evict(self, listed: Container[str], *, now: int) -> None:
        """Evict cooldowns that are over, and the oldest ones of unlisted servers.

        :param listed: incarnations of listed servers.
        """
        for incarnation in [
            name for name, until in self._until.items() if until <= now
        ]:
            del self._until[incarnation]
        unlisted = [name for name in self._until if name not in listed]
        for incarnation in unlisted[:-MAX_UNLISTED]:
            del self._until[incarnation]
