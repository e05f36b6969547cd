"""Choice of a server for a request from the local state of this instance."""

import asyncio
from collections.abc import Callable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import RunningRequest
from arbutuspulley.node.progress import Progress
from arbutuspulley.node.server_notices import list_excluded
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.stream_versions import get_doubt_end, is_allowed
from arbutuspulley.ports.fleet import (
    InboundRequest,
    ModelNeed,
    Route,
    ServerEntry,
    ServiceSpec,
)
from arbutuspulley.routing.local_choice import (
    choose_server,
    get_max_in_flight,
    get_stats,
    record_team_denied,
    set_rate_limited,
)

COORDINATOR_WAIT_MS = 1_500
"""How long a request without a server waits for a coordinator, in ms: another one takes
over within that time, unless the store is unavailable."""

FIRST_COORDINATOR_WAIT_FRACTION = 0.6
"""Fraction of its latency target for which a request waits for the first coordinator
status after this process has started. After a power failure of all instances, the
first ones that have restarted would send prompts to the same servers without knowing of
each other's, and all streams there would stall. A status arrives within about 0.3 s."""

SLOT_WAIT_FRACTION = 0.25
"""Fraction of its latency target for which a request waits for a free slot at a server
of a service without models. Requests arrive in bursts; after a longer wait a request
would miss its target."""

SLOT_POLL_MS = 10
"""Poll interval for a free slot, in ms: short against the time to serve a request."""

LINK_POLL_MS = 50
"""Poll interval for a new coordinator, in ms."""


class CoordinatorFoundError(Exception):
    """A coordinator has been found and must be asked for a grant."""


class ServerChoice:
    """Chooses servers for one request.

    :param limits: rate limits of the servers.
    :param first_part_timeout_ms: how long the caller waits for the first part of the
        answer, in ms.
    :param team: name of the caller's team; empty: none.
    """

    __slots__ = (
        "_first_part_timeout_ms",
        "_limits",
        "_link",
        "_progress",
        "_request",
        "_route",
        "_state",
        "_team",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        link: Link,
        limits: LimitGuard,
        route: Route,
        request: InboundRequest,
        progress: Progress,
        first_part_timeout_ms: int,
        team: str = "",
    ) -> None:
        self._state = state
        self._link = link
        self._limits = limits
        self._route = route
        self._request = request
        self._progress = progress
        self._first_part_timeout_ms = first_part_timeout_ms
        self._team = team

    def has_models(self) -> bool:
        """Return whether the request's service runs models."""
        service = self._get_service()
        return service is not None and service.engine is not None

    def _get_service(self) -> ServiceSpec | None:
        configuration = self._state.configuration
        if configuration is None:
            return None
        return configuration.services.get(self._progress.service)

    def choose(
        self,
        *,
        is_plain: bool,
        is_eligible: Callable[[ServerEntry], bool] | None = None,
    ) -> ServerEntry | None:
        """Return the best server; ``None``: no server is eligible.

        :param is_plain: whether the service runs no models.
        :param is_eligible: further condition that the server has to meet.
        """
        avoid = self._progress.avoid | self._progress.avoid_uncoordinated
        avoid |= list_excluded(self._state)
        avoid |= self._list_doubtful()
        has_shares = self._state.settings.shares_contended and not is_plain
        return choose_server(
            self._state.server_stats,
            filter(is_eligible, self._list_allowed())
            if is_eligible is not None
            else self._list_allowed(),
            zone=self._state.settings.site,
            need=None if is_plain else self._request.need,
            avoid=frozenset(avoid),
            max_in_flight=self._get_max_in_flight(),
            share_divisor=self._state.share_divisor,
            team=self._team if has_shares else None,
            now=self._state.clock.now(),
        )

    def _get_max_in_flight(self) -> int:
        service = self._get_service()
        connections = service.max_connections if service else 0
        return get_max_in_flight(connections, share_divisor=self._state.share_divisor)

    async def _choose_within_limits(self, *, is_plain: bool) -> ServerEntry | None:
        """Choose the best server whose rate limit permits the request."""
        while True:
            entry = self.choose(is_plain=is_plain)
            if entry is None:
                return None
            wait_ms = await self._limits.request_permission(entry, self._request)
            if not wait_ms:
                return entry
            now = self._state.clock.now()
            set_rate_limited(self._state.server_stats, entry, until=now + wait_ms)

    def get_retry_after(self) -> int | None:
        """Return when a server may accept the request, in ms from now.

        :return: ``None`` if neither rate limits nor cooldowns exclude all servers.
        """
        now = self._state.clock.now()
        ends = [self._get_exclusion_end(entry) for entry in self._list_staying()]
        return max(0, min(ends, default=0) - now) or None

    def _list_exclusion_ends(self) -> list[int]:
        """Return until when each server that has not failed the request is excluded."""
        return [
            self._get_exclusion_end(entry)
            for entry in self._list_staying()
            if entry.incarnation not in self._progress.avoid
        ]

    def _list_staying(self) -> list[ServerEntry]:
        return [entry for entry in self._list_allowed() if not entry.is_leaving]

    def _list_allowed(self) -> list[ServerEntry]:
        """Return the servers of the software version that the request needs, if any."""
        entries = self._state.by_service.get(self._progress.service, ())
        return [entry for entry in entries if is_allowed(self._progress, entry)]

    def _get_exclusion_end(self, entry: ServerEntry) -> int:
        """Return until when its rate limit or a cooldown excludes a server, in ms."""
        return max(
            get_stats(self._state.server_stats, entry).rate_limited_until,
            self._state.cooldowns.get_end(entry.incarnation),
            get_doubt_end(self._state, self._route, entry),
        )

    def _list_doubtful(self) -> set[str]:
        """Return the servers that may have started again with another version."""
        if not len(self._state.server_starts):
            return set()
        return {
            entry.incarnation
            for entry in self._list_allowed()
            if get_doubt_end(self._state, self._route, entry)
        }

    async def choose_plain(self) -> ServerEntry | None:
        """Choose a server of a service without models, or wait for a free slot."""
        until = self._state.clock.now() + int(
            self._route.latency_target_ms * SLOT_WAIT_FRACTION
        )
        while True:
            entry = await self._choose_within_limits(is_plain=True)
            if entry is not None or self._state.clock.now() >= until:
                return entry
            if all(end > until for end in self._list_exclusion_ends()):
                return None
            await asyncio.sleep(SLOT_POLL_MS / SECOND_MS)

    async def choose_uncoordinated(self, need: ModelNeed) -> ServerEntry | None:
        """Choose a server without a coordinator, or wait for a coordinator.

        Only a coordinator can have a missing model loaded.

        :raises CoordinatorFoundError: if a coordinator can be asked now.
        """
        if await self.wait_for_coordinator():
            raise CoordinatorFoundError
        entry = await self._choose_within_limits(is_plain=False)
        if entry is None:
            entry = await self._wait_for_server(need)
        if entry is not None:
            self._link.runs.add(
                RunningRequest(
                    key=self._request.attempt_id,
                    incarnation=entry.incarnation,
                    need=need,
                    pause_ms=self._route.gap_target_ms,
                )
            )
            # Whether the server has the adapter is unknown here. If it refuses, it gets
            # this request again only by a coordinator's grant, as the coordinator can
            # have the adapter loaded.
            self._progress.avoid_uncoordinated.add(entry.incarnation)
        return entry

    async def _wait_for_server(self, need: ModelNeed) -> ServerEntry | None:
        """Wait for a coordinator, or for this team's share of a server.

        :raises CoordinatorFoundError: if a coordinator can be asked now.
        """
        has_shares = self._state.settings.shares_contended
        until = self._state.clock.now() + min(
            COORDINATOR_WAIT_MS, self._first_part_timeout_ms
        )
        if has_shares:
            self._record_denied(need, is_first=True)
        while not self._link.can_request and self._state.clock.now() < until:
            await asyncio.sleep(LINK_POLL_MS / SECOND_MS)
            if has_shares and not self._link.can_request:
                entry = await self._choose_within_limits(is_plain=False)
                if entry is not None:
                    return entry
                self._record_denied(need)
        if self._link.can_request:
            raise CoordinatorFoundError
        return None

    def _record_denied(self, need: ModelNeed, *, is_first: bool = False) -> None:
        """Record that no server is free for the team.

        :param is_first: whether to log and count it.
        """
        is_over_share = record_team_denied(
            self._state.server_stats,
            self._list_allowed(),
            need=need,
            team=self._team,
            max_in_flight=self._get_max_in_flight(),
            now=self._state.clock.now(),
        )
        if is_first and is_over_share:
            self._state.metrics.share_denials.inc()
            log_event(
                Event.SHARE_USED_UP,
                id=self._request.attempt_id,
                team=self._team,
                model=need.model,
            )

    async def wait_for_coordinator(self) -> bool:
        """Wait briefly if no coordinator status has arrived since this process started.

        :return: whether a coordinator can be asked now.
        """
        until = (
            self._progress.started_at
            + self._route.latency_target_ms * FIRST_COORDINATOR_WAIT_FRACTION
        )
        while self._link.status is None and self._state.clock.now() < until:
            await asyncio.sleep(LINK_POLL_MS / SECOND_MS)
            if self._link.can_request:
                return True
        return False
