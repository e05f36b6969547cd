"""Enforcement of servers' rate limits on an instance."""

from collections.abc import Mapping

from arbutuspulley.admission.rate_limits import LocalRateLimits
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import PermissionRequest, ServerLimit, ServerLimits
from arbutuspulley.node.pending_requests import LinkLostError, RefusedError
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.requests import read_server_limit
from arbutuspulley.ports.fleet import InboundRequest, ServerEntry
from arbutuspulley.routing.local_choice import clear_rate_limited


class LimitGuard:
    """Keeps this instance's requests within the servers' rate limits.

    The coordinator counts requests of all instances: requests to model servers when it
    grants them, requests to plain servers when it is asked for permission. An instance
    without a coordinator keeps to its own share of each limit.
    """

    __slots__ = ("_confirmed", "_link", "_local", "_state")

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._local = LocalRateLimits()
        self._confirmed: dict[str, float] = {}
        link.on_rate_limits = self._apply_server_limits
        state.on_change.append(self._evict_unlisted)

    def update_from_answer(
        self, entry: ServerEntry, headers: Mapping[str, str], *, sent_at: int
    ) -> None:
        """Update the server's rate limit from the headers of its answer.

        :param sent_at: when the request was sent, in ms.
        """
        limits, now = self._state.limits, self._state.clock.now()
        try:
            per_s = read_server_limit(headers)
        except ValueError as error:
            log_event(
                Event.SERVER_LIMIT_REFUSED, server=entry.incarnation, why=str(error)
            )
            return
        incarnation = entry.incarnation
        before = limits.get(incarnation)
        if limits.update_from_answer(incarnation, per_s, sent_at=sent_at, now=now):
            self._record_change(incarnation, before, by="answer")
        # Sent until the coordinator confirms it, as messages are lost with a link.
        if per_s == limits.get(incarnation) != self._confirmed.get(incarnation):
            self._link.send(ServerLimit(incarnation=incarnation, per_s=per_s))

    async def request_permission(
        self, entry: ServerEntry, request: InboundRequest
    ) -> int:
        """Ask for permission to send a request that was not granted by a coordinator.

        :return: 0 if it may be sent now, else the time after which to ask again, in ms.
        """
        per_s = self._state.limits.get(entry.incarnation)
        if per_s is None:
            return 0
        attempt_id = request.attempt_id
        message = PermissionRequest(key=attempt_id, incarnation=entry.incarnation)
        try:
            await self._link.request_permission(message)
        except RefusedError as error:
            return error.retry_after_ms
        except LinkLostError:
            return self._charge_local(entry.incarnation, per_s, attempt_id=attempt_id)
        return 0

    def _charge_local(self, incarnation: str, per_s: float, *, attempt_id: str) -> int:
        state = self._state
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
        limits = self._state.limits
        received = {limit.incarnation: limit.per_s for limit in message.limits}
        if message.are_all:
            received = dict.fromkeys(limits.list_limits()) | received
            self._confirmed.clear()
        now = self._state.clock.now()
        for incarnation, per_s in received.items():
            if per_s is None:
                self._confirmed.pop(incarnation, None)
            else:
                self._confirmed[incarnation] = per_s
            before = limits.get(incarnation)
            if limits.update_from_coordinator(incarnation, per_s, now=now):
                self._record_change(incarnation, before, by="coordinator")

    def _evict_unlisted(self) -> None:
        state = self._state
        state.limits.evict_unlisted(state.by_incarnation)
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

    def _update_gauge(self) -> None:
        state = self._state
        listed = [
            incarnation
            for incarnation in state.limits.list_limits()
            if incarnation in state.by_incarnation
        ]
        state.metrics.limited_servers.set(len(listed))
