"""Times for which backend servers want no requests from an instance.

A server that refuses a request may state how long it wants no further one from the
instance that sent it. Other instances may still send requests to it.
"""

from collections.abc import Container

from arbutuspulley.membership.unlisted import evict_unlisted


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
        if until <= self.get_end(incarnation):
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
        active = self.list_active(now=now)
        self._until = {name: self._until[name] for name in active}
        evict_unlisted(self._until, listed)
