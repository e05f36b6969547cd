"""Search for the software version at which a resumed stream has to go on.

This instance may know it, or the coordinator tells it with a grant. Else the records in
the store name it, or the servers that keep the prompt of the stream tell.
"""

import asyncio
from collections.abc import Callable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.progress import Progress
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.stream_versions import (
    UNNAMED_STREAM,
    resume_stream,
    set_version,
)
from arbutuspulley.ports.fleet import InboundRequest, Route

VERSION_WAIT_MS = 250
"""How long a request that resumes a stream waits for the stream's version to become
known, in ms: the message of another instance may be delayed by a retransmission."""

VERSION_POLL_MS = 50
"""Interval at which such a request is repeated, in ms."""


class VersionSearch:
    """Searches for the version of one request's stream; sets it in the progress.

    :param get_max_view_age: returns the maximum age of the view of the servers from
        which this instance may conclude that there are no others, in ms; ``None``: the
        coordinator concludes that.
    """

    __slots__ = ("_get_max_view_age", "_progress", "_request", "_route", "_state")

    def __init__(
        self,
        *,
        state: NodeState,
        route: Route,
        request: InboundRequest,
        progress: Progress,
        get_max_view_age: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._get_max_view_age = get_max_view_age
        self._state = state
        self._route = route
        self._request = request
        self._progress = progress

    @property
    def may_lack_versions(self) -> bool:
        """Whether further versions of the service may have been in service."""
        return self._is_settling() or self._state.software_versions.is_incomplete(
            self._progress.service, now=self._state.clock.now()
        )

    @property
    def is_view_outdated(self) -> bool:
        """Whether other versions may have servers of which this instance can't know."""
        max_age_ms = self._get_max_view_age()
        if max_age_ms is None:
            return False
        return not self._state.server_view.is_current(
            max_age_ms, since=self._progress.started_at
        )

    def update_unknown(self) -> None:
        """Take the version for unknown if another one may have appeared meanwhile."""
        progress = self._progress
        if progress.resumed_stream is None or progress.version is not None:
            return
        progress.is_version_unknown |= (
            self._state.software_versions.is_mixed(
                progress.service, now=self._state.clock.now()
            )
            or self.is_view_outdated
        )

    def find(self, *, source: str = "coordinator") -> None:
        """Look for it among the streams that this instance knows by now.

        :param source: who has told it, if it is known now.
        :raises RequestFailedError: if the route has no share at the service that began
            the stream.
        """
        if self._progress.version is None:
            resume_stream(self._state, self._request, self._route, self._progress)
            if self._progress.version is not None:
                self._progress.version_source = source
            else:
                self.update_unknown()

    async def look_up(self) -> None:
        """Look for it in the store."""
        progress = self._progress
        is_unnamed = progress.resumed_stream == UNNAMED_STREAM
        if is_unnamed and self._is_known_mixed():
            return
        is_read = await self._state.look_up_streams()
        self.find(source="store")
        progress.is_store_read = (
            is_read and not self._is_settling() and not self.is_view_outdated
        )

    async def wait_for_coordinator(self, retry_after_ms: int) -> bool:
        """Wait until the coordinator may know it.

        :param retry_after_ms: when it may know, in ms; 0: it should know now.
        :return: whether to ask it again, as it may know or the version is known.
        """
        progress = self._progress
        self.find()
        if progress.version is not None:
            return True
        waited_ms = self._state.clock.now() - progress.started_at
        is_late = not retry_after_ms and waited_ms >= VERSION_WAIT_MS
        if is_late and not self._awaits_servers():
            return await self.ask_servers()
        await asyncio.sleep((retry_after_ms or VERSION_POLL_MS) / SECOND_MS)
        return True

    async def ask_servers(self) -> bool:
        """Look for it at the servers, which keep the prompt of the stream.

        :return: whether it was not known before, and is now.
        """
        progress = self._progress
        if progress.version is not None or self._awaits_servers():
            return False
        # A server that is not known here may keep it, too.
        if not await self._state.server_view.check(since=progress.started_at):
            return False
        version = await self._state.find_kept_version(progress.service, self._request)
        if version is None:
            return False
        set_version(progress, version, source="servers")
        return True

    def _is_known_mixed(self) -> bool:
        """Return whether the service certainly has several versions."""
        return not self._is_settling() and self._state.software_versions.is_mixed(
            self._progress.service, now=self._state.clock.now()
        )

    def _awaits_servers(self) -> bool:
        """Return whether servers may still write their rows again.

        They do so after the store has come back from an older copy. Until then those
        that could contradict the others are not known.
        """
        return self._is_settling() and not self._state.software_versions.awaits_history

    def _is_settling(self) -> bool:
        """Return whether the versions of the service may not be complete yet."""
        return self._state.software_versions.is_settling(
            self._progress.service, now=self._state.clock.now()
        )
