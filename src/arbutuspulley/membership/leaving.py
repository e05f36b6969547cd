"""Backend servers that have stated in an answer that they are leaving."""

from collections.abc import Container

from arbutuspulley.membership.unlisted import evict_unlisted


class LeavingServers:
    """Leaving servers by incarnation, oldest first.

    A server that has begun to leave never returns. If it starts again, it is another
    incarnation.
    """

    __slots__ = ("_incarnations",)

    def __init__(self) -> None:
        self._incarnations: dict[str, None] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._incarnations

    def add(self, incarnation: str) -> bool:
        """Add a server.

        :return: whether it was unknown before.
        """
        if incarnation in self._incarnations:
            return False
        self._incarnations[incarnation] = None
        return True

    def list_all(self) -> tuple[str, ...]:
        """Return the incarnations."""
        return tuple(self._incarnations)

    def evict_unlisted(self, listed: Container[str]) -> None:
        """Evict the oldest servers that are not listed.

        :param listed: incarnations of listed servers, which are kept.
        """
        evict_unlisted(self._incarnations, listed)
