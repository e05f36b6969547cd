"""Age of what this instance knows of the servers and their software versions.

An instance that is cut off or was suspended does not hear of servers that join. What it
concludes from knowing nothing else holds only as of the time at which its view was last
confirmed: when a call to the store was sent whose answer has been applied, or a
heartbeat that the coordinator has received before it sent such a call.
"""

import asyncio
from collections.abc import Awaitable, Callable

from arbutuspulley.admission.freshness import Freshness
from arbutuspulley.clock import Clock

MAX_CHECKED_AGE_MS = 200
"""Maximum age of a view, in ms, from which it is concluded that a stream that nobody
knows began at the only version in service, or that a version has no server left. An
older one is confirmed first by a call to the store: servers can't join, begin streams
and break them off within this time."""

MAX_FOLLOWED_AGE_MS = 3_500
"""The same where no coordinator decides, as long as this instance follows the store or
another one relays its changes to it, in ms. Two long polls, the delay between them, a
heartbeat and a status take up to 3.24 s, so an instance in touch makes no call."""

MIN_RETRY_MS = 200
"""Minimum time between two calls after one that failed, in ms."""


class ServerView:
    """When the known servers were last confirmed to be all.

    :ivar fetch: reads the changes since the known state from the store and confirms the
        view; returns whether it did.
    """

    __slots__ = ("_clock", "_confirmed", "_failed_at", "_fetching", "fetch")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._confirmed = Freshness()
        self._failed_at: int | None = None
        self._fetching: asyncio.Task[bool] | None = None
        self.fetch: Callable[[], Awaitable[bool]] = _fetch_nothing

    @property
    def confirmed_at(self) -> int | None:
        """Time as of which the view is confirmed, in ms; ``None``: it never was."""
        return self._confirmed.confirmed_at

    @property
    def has_failed(self) -> bool:
        """Whether the last call that was to confirm the view has failed just now."""
        now = self._clock.now()
        return self._failed_at is not None and now - self._failed_at < MIN_RETRY_MS

    def confirm(self, asked_at: int, *, source: str) -> None:
        """Record that the view was complete at a given time.

        :param asked_at: that time, in ms of the own clock.
        :param source: origin of the confirmation.
        """
        self._confirmed.confirm(asked_at, source=source)

    def is_current(self, limit_ms: int, *, since: int) -> bool:
        """Return whether the view is new enough for a request.

        :param limit_ms: age up to which it is, in ms.
        :param since: when the request arrived, in ms: a view that was confirmed later
            is new enough, however long the call took.
        """
        confirmed_at = self.confirmed_at
        if confirmed_at is None:
            return False
        return confirmed_at >= min(since, self._clock.now() - limit_ms)

    async def check(self, *, since: int) -> bool:
        """Confirm the view if it is not new enough for a request.

        All that ask at the same time share a call.

        :param since: when the request arrived, in ms.
        :return: whether it is new enough now.
        """
        if self.is_current(MAX_CHECKED_AGE_MS, since=since):
            return True
        if self.has_failed:
            return False
        return await asyncio.shield(self.start_check())

    def start_check(self) -> "asyncio.Task[bool]":
        """Start the call that confirms the view, unless it is in flight."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.create_task(self._fetch())
        return self._fetching

    async def _fetch(self) -> bool:
        is_confirmed = await self.fetch()
        self._failed_at = None if is_confirmed else self._clock.now()
        return is_confirmed


async def _fetch_nothing() -> bool:
    return False
