"""Versions of the servers' software that are, or were recently, in service."""

from collections.abc import Iterable, Mapping

from arbutuspulley.data import Message
from arbutuspulley.decoding import Count, WholeMilliseconds
from arbutuspulley.delivery.begun_streams import MAX_RETENTION_MS, BegunStream
from arbutuspulley.ports.fleet import ServerEntry, SoftwareVersion

TIME_TOLERANCE_MS = 5_000
"""Difference between two times at which a version left that needs no new row, in ms:
the store's clock is known to within the time of a call."""

HISTORY_SETTLING_MS = 3_000
"""Time for which a row of versions that may be incomplete is not relied on, in ms:
servers write theirs again within two seconds of the store's return."""


class VersionHistory(Message, frozen=True):
    """Versions of one service, as they are kept in the store.

    :param current: names of the versions that servers have.
    :param left: when the last server of each other version left, in ms of the store's
        clock, by name.
    :param era: era of the store in which the row was written. In a later one, the store
        has come back from a copy, which may lack newer versions, and no process was
        left to write them again.
    :param incomplete_until: until when streams of versions may be resumed that such a
        copy lacked, in ms of the store's clock.
    """

    current: tuple[str, ...] = ()
    left: dict[str, WholeMilliseconds] = {}
    era: Count = 0
    incomplete_until: WholeMilliseconds = 0

    def lists_same(self, other: "VersionHistory | None") -> bool:
        """Return whether the other one, as stored, needs no update by this one.

        Both are of one era and list the same versions as current and as left. The
        stored times may be later, but not earlier.
        """
        return (
            other is not None
            and self.era == other.era
            and self.incomplete_until - other.incomplete_until <= TIME_TOLERANCE_MS
            and set(self.current) == set(other.current)
            and self.left.keys() == other.left.keys()
            and all(
                left_at - other.left[name] <= TIME_TOLERANCE_MS
                for name, left_at in self.left.items()
            )
        )


class ServiceVersions:
    """Versions by service.

    A version counts until no stream that its servers began can be resumed any more.
    """

    __slots__ = (
        "_confirmed",
        "_current",
        "_gone_at",
        "_incomplete_until",
        "_others_incomplete_until",
        "_settled_at",
        "awaits_history",
        "has_listed",
    )

    def __init__(self) -> None:
        # Services whose history is complete.
        self._confirmed: frozenset[str] = frozenset()
        self._current: dict[str, frozenset[SoftwareVersion]] = {}
        self._settled_at = 0
        self._gone_at: dict[str, dict[SoftwareVersion, int]] = {}
        # Until when versions may count that no process and no row knows, by service,
        # and for services without a row.
        self._incomplete_until: dict[str, int] = {}
        self._others_incomplete_until = 0
        # Whether the store has not said yet which versions were in service before this
        # process started.
        self.awaits_history = False
        # Whether any server has been registered here: else their rows are unread.
        self.has_listed = False

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
                self._gone_at.setdefault(service, {})[version] = now
        self._gone_at = {
            service: gone
            for service in self._gone_at
            if (gone := self._list_gone(service, now=now))
        }
        self._current = current
        self.has_listed |= bool(current)

    def add_history(
        self,
        histories: Mapping[str, VersionHistory],
        *,
        now: int,
        store_now: int,
        era: int = 0,
    ) -> None:
        """Add the versions that were in service before this process started.

        One that was current when its row was written may have left just now.

        :param histories: as stored, by service.
        :param store_now: reading of the store's clock at ``now``, in ms.
        :param era: era of the store in which they were read.
        """
        if self.awaits_history:
            self.awaits_history = False
            # No rows at all: no process has run here before.
            self._settled_at = now + HISTORY_SETTLING_MS if histories else now
            self._confirmed = frozenset(
                name for name, history in histories.items() if history.era == era
            )
            self._set_incomplete(histories, now=now, store_now=store_now)
        else:
            self._confirm_written(histories, now=now, store_now=store_now, era=era)
        for service, history in histories.items():
            left = dict.fromkeys(history.current, store_now)
            if history.era == era:
                left |= history.left
            else:
                # The store's clock may be another one.
                left |= dict.fromkeys(history.left, store_now)
            for name, left_at in left.items():
                gone = self._gone_at.setdefault(service, {})
                version = SoftwareVersion(name=name)
                gone_at = now - max(0, store_now - left_at)
                gone[version] = max(gone_at, gone.get(version, gone_at))

    def _set_incomplete(
        self, histories: Mapping[str, VersionHistory], *, now: int, store_now: int
    ) -> None:
        """Find the services of which the store has lost what nobody wrote again."""
        unknown_until = now + MAX_RETENTION_MS
        if histories and not self._confirmed:
            self._others_incomplete_until = unknown_until
        for service, history in histories.items():
            stated_until = now + history.incomplete_until - store_now
            is_confirmed = service in self._confirmed
            self._incomplete_until[service] = (
                min(stated_until, unknown_until) if is_confirmed else unknown_until
            )

    def _confirm_written(
        self,
        histories: Mapping[str, VersionHistory],
        *,
        now: int,
        store_now: int,
        era: int,
    ) -> None:
        """Apply what a process has written since that knows which versions there were.

        It had not ended as the store came back from an older copy, or it states itself
        until when versions may be missing.
        """
        written = {
            service: now + history.incomplete_until - store_now
            for service, history in histories.items()
            if history.era == era
        }
        self._confirmed |= written.keys()
        for service, until in written.items():
            if until < self._get_incomplete_until(service):
                self._incomplete_until[service] = until

    def has_incomplete(self, *, now: int) -> bool:
        """Return whether any service is incomplete; see :meth:`is_incomplete`."""
        latest = max(
            self._incomplete_until.values(), default=self._others_incomplete_until
        )
        return now < max(latest, self._others_incomplete_until)

    def is_incomplete(self, service: str, *, now: int) -> bool:
        """Return whether versions may count of which nothing is known any more.

        All processes had ended as the store came back from an older copy.
        """
        return now < self._get_incomplete_until(service)

    def _get_incomplete_until(self, service: str) -> int:
        return self._incomplete_until.get(service, self._others_incomplete_until)

    def add_streams(self, streams: Iterable[BegunStream], *, now: int) -> None:
        """Add the versions of recorded streams, which the history may lack.

        One that is not known otherwise may have left just now.
        """
        for service, version in {
            (stream.service, stream.version) for stream in streams
        }:
            self._gone_at.setdefault(service, {}).setdefault(version, now)

    def is_settling(self, service: str, *, now: int) -> bool:
        """Return whether the versions of a service may not be complete yet."""
        if self.awaits_history:
            return True
        return now < self._settled_at and service not in self._confirmed

    def build_history(
        self, *, now: int, store_now: int, era: int = 0
    ) -> dict[str, VersionHistory]:
        """Return what the store has to keep, by service, as far as it is complete.

        :param era: era of the store.
        """
        return {
            service: self._build_history(service, now=now, store_now=store_now, era=era)
            for service in self._list_services()
            if not self.is_settling(service, now=now)
        }

    def _build_history(
        self, service: str, *, now: int, store_now: int, era: int
    ) -> VersionHistory:
        current = self._current.get(service, frozenset())
        return VersionHistory(
            current=tuple(sorted(version.name for version in current)),
            left={
                version.name: gone_at - now + store_now
                for version, gone_at in self._list_gone(service, now=now).items()
                if version not in current
            },
            era=era,
            incomplete_until=(
                self._get_incomplete_until(service) - now + store_now
                if self.is_incomplete(service, now=now)
                else 0
            ),
        )

    def list_known(self, service: str, *, now: int) -> frozenset[SoftwareVersion]:
        """Return the versions whose streams may still be resumed."""
        gone = self._list_gone(service, now=now)
        return self._current.get(service, frozenset()).union(gone)

    def is_mixed(self, service: str, *, now: int) -> bool:
        """Return whether streams of several versions may be resumed at a service.

        That counts as so as long as it is not known which ones were in service before.
        """
        return self.is_settling(service, now=now) or self.needs_records(
            service, now=now
        )

    def needs_records(self, service: str, *, now: int) -> bool:
        """Return whether the streams of a service have to be recorded.

        They are where several versions are known, or may have been in service.
        """
        return len(self.list_known(service, now=now)) > 1 or self.is_incomplete(
            service, now=now
        )

    def list_recorded(self, *, now: int) -> frozenset[str]:
        """Return the services whose streams have to be recorded."""
        return frozenset(
            service
            for service in self._list_services()
            if self.needs_records(service, now=now)
        )

    def _list_services(self) -> set[str]:
        return {*self._current, *self._gone_at}

    def _list_gone(self, service: str, *, now: int) -> dict[SoftwareVersion, int]:
        """Return when the versions left whose streams may still be resumed."""
        return {
            version: gone_at
            for version, gone_at in self._gone_at.get(service, {}).items()
            if now - gone_at < MAX_RETENTION_MS
        }
