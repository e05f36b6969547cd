"""The coordinator's side of servers' rate limits: permissions and distribution."""

from collections.abc import Iterable

from arbutuspulley.admission.rate_limits import RateLimitLedger
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import (
    Granted,
    PermissionRequest,
    Refused,
    ServerLimit,
    ServerLimits,
)
from arbutuspulley.node.state import NodeState
from arbutuspulley.pool.state import PoolState


class Rates:
    """The ledger, and the changes of limits that have not been sent yet."""

    __slots__ = ("_changed", "_ledger", "_state")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._ledger = RateLimitLedger()
        self._changed: set[str] = set()

    def reset(self) -> None:
        """Start as a coordinator to which no instance is linked yet."""
        known = self._state.limits.list_limits()
        self._ledger.reset(known, now=self._state.clock.now())
        self._changed.clear()

    def record(self, limits: Iterable[ServerLimit], *, now: int) -> bool:
        """Record limits that an instance has read.

        :return: whether any was new.
        """
        is_new = False
        for limit in limits:
            if self._ledger.set_limit(limit.incarnation, limit.per_s, now=now):
                self._changed.add(limit.incarnation)
                is_new = True
        return is_new

    def record_initial(self, limits: Iterable[ServerLimit], *, now: int) -> bool:
        """Record limits of an instance that links up, except those of known servers.

        :return: whether any was new.
        """
        unknown = [
            limit for limit in limits if self._ledger.get(limit.incarnation) is None
        ]
        return self.record(unknown, now=now)

    def apply(self, pools: Iterable[PoolState]) -> None:
        """Apply the limits to the servers of pools."""
        self._ledger.evict_unlisted(self._state.by_incarnation)
        for pool in pools:
            for server in pool.servers.values():
                server.limit = self._ledger.get(server.incarnation)

    def answer(self, message: PermissionRequest, *, now: int) -> Granted | Refused:
        """Grant or refuse an instance permission to send a request now."""
        wait_ms = self._ledger.charge(message.incarnation, now=now)
        if wait_ms:
            log_event(
                Event.SERVER_LIMIT_REACHED,
                id=message.key,
                server=message.incarnation,
                retry_after_ms=wait_ms,
            )
            return Refused(key=message.key, retry_after_ms=wait_ms)
        entry = self._state.by_incarnation.get(message.incarnation)
        return Granted(
            key=message.key,
            incarnation=message.incarnation,
            address=entry.address if entry is not None else "",
            is_late=False,
        )

    def set_share(self, share: float) -> None:
        """Set the share of each limit that may be granted here."""
        self._ledger.set_refill_fraction(share, now=self._state.clock.now())

    def pop_changes(self) -> ServerLimits | None:
        """Return the changed limits to be sent to all instances, if there are any."""
        if not self._changed:
            return None
        known = self._ledger.list_limits()
        limits = tuple(
            ServerLimit(incarnation=incarnation, per_s=known.get(incarnation))
            for incarnation in sorted(self._changed)
        )
        self._changed.clear()
        return ServerLimits(limits=limits)

    def build_full_limits(self) -> ServerLimits:
        """Return all limits, for an instance that links up."""
        known = self._ledger.list_limits()
        limits = tuple(
            ServerLimit(incarnation=incarnation, per_s=per_s)
            for incarnation, per_s in known.items()
        )
        return ServerLimits(limits=limits, are_all=True)
