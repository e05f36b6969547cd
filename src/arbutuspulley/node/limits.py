"""Enforcement of the limits of servers on an instance."""

from collections.abc import Mapping

from arbutuspulley.admission.brittle_servers import SETTLE_MS, get_local_wait
from arbutuspulley.admission.rate_limits import LocalRateLimits
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    AttemptEnded,
    PermissionRequest,
    ServerLimit,
    ServerLimits,
)
from arbutuspulley.node.pending_requests import LinkLostError, RefusedError
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.requests import read_server_brittle, read_server_limit
from arbutuspulley.ports.fleet import AttemptOutcome, InboundRequest, ServerEntry
from arbutuspulley.routing.local_choice import clear_rate_limited, get_stats


class LimitGuard:
    """Keeps this instance's requests within the servers' limits.

    The coordinator counts requests of all instances: requests to model servers when it
    grants them, requests to plain servers when it is asked for permission. An instance
    without a coordinator keeps to its own share of each limit. Places at brittle
    servers are counted in the same way.
    """

    __slots__ = (
        "_confirmed",
        "_link",
        "_local",
        "_places",
        "_refused",
        "_state",
        "_uncoordinated_since",
    )

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._local = LocalRateLimits()
        self._confirmed: dict[str, ServerLimit] = {}
        # Servers at which the coordinator has given a request a place, by attempt id.
        self._places: dict[str, str] = {}
        # Since when no coordinator has answered, in ms.
        self._uncoordinated_since: int | None = None
        # Statements that were refused, as last logged, by server.
        self._refused: dict[str, str] = {}
        link.on_rate_limits = self._apply_server_limits
        state.on_change.append(self._evict_unlisted)

    def update_from_answer(
        self, entry: ServerEntry, headers: Mapping[str, str], *, sent_at: int
    ) -> None:
        """Update the server's rate limit from the headers of its answer.

        :param sent_at: when the request was sent, in ms.
        """
        state, now = self._state, self._state.clock.now()
        incarnation = entry.incarnation
        try:
            per_s = read_server_limit(headers)
        except ValueError as error:
            log_event(Event.SERVER_LIMIT_REFUSED, server=incarnation, why=str(error))
            return
        refusals_per_s = self._read_brittle(incarnation, headers)
        before = state.limits.get(incarnation)
        if state.limits.update_from_answer(
            incarnation, per_s, sent_at=sent_at, now=now
        ):
            self._record_change(incarnation, before, by="answer")
        if state.brittle.update_from_answer(
            incarnation, refusals_per_s, sent_at=sent_at, now=now
        ):
            self._record_brittle(incarnation, by="answer")
        stated = ServerLimit(
            incarnation=incarnation, per_s=per_s, refusals_per_s=refusals_per_s
        )
        # Sent until the coordinator confirms it, as messages are lost with a link.
        none = ServerLimit(incarnation=incarnation)
        confirmed = self._confirmed.get(incarnation, none)
        if stated == self._get_known(incarnation) != confirmed:
            self._link.send(stated)

    def _get_known(self, incarnation: str) -> ServerLimit:
        return ServerLimit(
            incarnation=incarnation,
            per_s=self._state.limits.get(incarnation),
            refusals_per_s=self._state.brittle.get(incarnation),
        )

    def _read_brittle(
        self, incarnation: str, headers: Mapping[str, str]
    ) -> float | None:
        """Return what a server states; an invalid value is logged once and ignored."""
        try:
            stated = read_server_brittle(headers)
        except ValueError as error:
            if self._refused.get(incarnation) != str(error):
                self._refused[incarnation] = str(error)
                log_event(
                    Event.SERVER_NOTICE_REFUSED, server=incarnation, why=str(error)
                )
            return self._state.brittle.get(incarnation)
        self._refused.pop(incarnation, None)
        return stated

    async def request_permission(
        self, entry: ServerEntry, request: InboundRequest
    ) -> int:
        """Ask for permission to send a request that was not granted by a coordinator.

        :return: 0 if it may be sent now, else the time after which to ask again, in ms.
        """
        incarnation = entry.incarnation
        is_brittle = self._state.brittle.get(incarnation) is not None
        if not is_brittle and self._state.limits.get(incarnation) is None:
            return 0
        key = request.attempt_id
        try:
            await self._link.request_permission(
                PermissionRequest(key=key, incarnation=incarnation)
            )
        except RefusedError as error:
            self._uncoordinated_since = None
            return error.retry_after_ms
        except LinkLostError:
            return self._charge_local(entry, attempt_id=key)
        self._uncoordinated_since = None
        if is_brittle:
            self._places[key] = incarnation
        return 0

    def record_end(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        """Give back the place that an attempt had at a brittle server, if any."""
        incarnation = self._places.pop(attempt_id, "")
        if incarnation:
            self._link.send(
                AttemptEnded(key=attempt_id, incarnation=incarnation, how=outcome)
            )

    def _charge_local(self, entry: ServerEntry, *, attempt_id: str) -> int:
        state, incarnation = self._state, entry.incarnation
        if self._uncoordinated_since is None:
            self._uncoordinated_since = state.clock.now()
        if state.brittle.get(incarnation) is not None:
            settles_at = self._uncoordinated_since + SETTLE_MS
            if state.clock.now() < settles_at:
                return settles_at - state.clock.now()
            stats = get_stats(state.server_stats, entry)
            wait_ms = get_local_wait(
                in_flight=stats.in_flight,
                slots=entry.slots,
                share_divisor=state.share_divisor,
                duration_ms=stats.duration_ms,
                rng=state.rng,
            )
            if wait_ms:
                return wait_ms
        per_s = state.limits.get(incarnation)
        if per_s is None:
            return 0
        # The number of instances is unknown until a coordinator's first status.
        fraction = 1 / max(1.0, state.share_divisor) if state.instances else 0.0
        now = state.clock.now()
        wait_ms = self._local.charge(incarnation, per_s, fraction=fraction, now=now)
        if wait_ms:
            log_event(
                Event.SERVER_LIMIT_REACHED,
                id=attempt_id,
                server=incarnation,
                retry_after_ms=wait_ms,
                part=fraction,
            )
        return wait_ms

    def _apply_server_limits(self, message: ServerLimits) -> None:
        """Apply rate limits that the coordinator sent."""
        limits, brittle = self._state.limits, self._state.brittle
        received = {limit.incarnation: limit for limit in message.limits}
        if message.are_all:
            for incarnation in limits.list_limits() | brittle.list_limits():
                received.setdefault(incarnation, ServerLimit(incarnation=incarnation))
            self._confirmed.clear()
        now = self._state.clock.now()
        for incarnation, limit in received.items():
            self._confirmed[incarnation] = limit
            before = limits.get(incarnation)
            if limits.update_from_coordinator(incarnation, limit.per_s, now=now):
                self._record_change(incarnation, before, by="coordinator")
            if brittle.update_from_coordinator(
                incarnation, limit.refusals_per_s, now=now
            ):
                self._record_brittle(incarnation, by="coordinator")

    def _evict_unlisted(self) -> None:
        state = self._state
        state.limits.evict_unlisted(state.by_incarnation)
        state.brittle.evict_unlisted(state.by_incarnation)
        for incarnation in self._confirmed.keys() - state.by_incarnation.keys():
            del self._confirmed[incarnation]
        self._local.evict_unlisted(state.by_incarnation)
        self._update_gauge()

    def _record_change(
        self, incarnation: str, before: float | None, *, by: str
    ) -> None:
        limits = self._state.limits
        clear_rate_limited(self._state.server_stats, incarnation)
        self._update_gauge()
        log_event(
            Event.SERVER_LIMIT_CHANGED,
            server=incarnation,
            per_s=limits.get(incarnation),
            before_per_s=before,
            by=by,
        )

    def _record_brittle(self, incarnation: str, *, by: str) -> None:
        clear_rate_limited(self._state.server_stats, incarnation)
        log_event(
            Event.SERVER_BRITTLE,
            server=incarnation,
            refusals_per_s=self._state.brittle.get(incarnation),
            by=by,
        )

    def _update_gauge(self) -> None:
        state = self._state
        listed = [
            incarnation
            for incarnation in state.limits.list_limits()
            if incarnation in state.by_incarnation
        ]
        state.metrics.limited_servers.set(len(listed))
