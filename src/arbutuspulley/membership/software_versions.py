"""Versions of the servers' software that are, or were recently, in service."""

from collections.abc import Iterable, Mapping

from arbutuspulley.delivery.begun_streams import MAX_RETENTION_MS
from arbutuspulley.ports.fleet import ServerEntry, SoftwareVersion


class ServiceVersions:
    """Versions by service.

    A version counts until no stream that its servers began can be resumed any more.
    """

    __slots__ = ("_current", "_gone_at")

    def __init__(self) -> None:
        self._current: dict[str, frozenset[SoftwareVersion]] = {}
        self._gone_at: dict[tuple[str, SoftwareVersion], int] = {}

    def update(
        self, by_service: Mapping[str, Iterable[ServerEntry]], *, now: int
    ) -> None:
        """Apply which servers are registered, by service."""
        current = {
            service: frozenset(entry.software_version for entry in entries)
            for service, entries in by_service.items()
        }
        for service, versions in self._current.items():
            for version in versions - current.get(service, frozenset()):
                self._gone_at[service, version] = now
        self._gone_at = {
            pair: gone_at
            for pair, gone_at in self._gone_at.items()
            if now - gone_at < MAX_RETENTION_MS
        }
        self._current = current

    def list_known(self, service: str, *, now: int) -> frozenset[SoftwareVersion]:
        """Return the versions whose streams may still be resumed."""
        gone = {
            version
            for (name, version), gone_at in self._gone_at.items()
            if name == service and now - gone_at < MAX_RETENTION_MS
        }
        return self._current.get(service, frozenset()) | gone

    def is_mixed(self, service: str, *, now: int) -> bool:
        """Return whether streams of several versions may be resumed at a service."""
        return len(self.list_known(service, now=now)) > 1
