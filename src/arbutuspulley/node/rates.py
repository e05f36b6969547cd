"""The coordinator's side of the limits of servers: permissions and distribution."""

from collections.abc import Iterable

from arbutuspulley.admission.brittle_servers import BrittleLedger
from arbutuspulley.admission.rate_limits import RateLimitLedger
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import (
    AttemptEnded,
    Granted,
    PermissionRequest,
    Refused,
    ServerLimit,
    ServerLimits,
)
from arbutuspulley.node.server_notices import build_server_limits
from arbutuspulley.node.state import NodeState
from arbutuspulley.pool.state import PoolState
from arbutuspulley.ports.fleet import AttemptOutcome


class Rates:
    """The ledgers, and the changes of limits that have not been sent yet."""

    __slots__ = ("_brittle", "_changed", "_ledger", "_state")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._brittle = BrittleLedger()
        self._ledger = RateLimitLedger()
        self._changed: set[str] = set()

    def reset(self) -> None:
        """Start as a coordinator to which no instance is linked yet."""
        state, now = self._state, self._state.clock.now()
        self._ledger.reset(state.limits.list_limits(), now=now)
        slots = {name: entry.slots for name, entry in state.by_incarnation.items()}
        self._brittle.reset(state.brittle.list_limits(), slots, now=now)
        self._changed.clear()

    def record(self, limits: Iterable[ServerLimit], *, now: int) -> bool:
        """Record limits that an instance has read.

        :return: whether any was new.
        """
        is_new = False
        for limit in limits:
            has_changed = self._ledger.set_limit(
                limit.incarnation, limit.per_s, now=now
            )
            entry = self._state.by_incarnation.get(limit.incarnation)
            has_changed |= self._brittle.set_brittle(
                limit.incarnation,
                limit.refusals_per_s,
                slots=entry.slots if entry is not None else 1,
                now=now,
            )
            if has_changed:
                self._changed.add(limit.incarnation)
                is_new = True
        return is_new

    def record_initial(self, limits: Iterable[ServerLimit], *, now: int) -> bool:
        """Record limits of an instance that links up, except those of known servers.

        :return: whether any was new.
        """
        known = self._ledger.list_limits() | self._brittle.list_brittle()
        unknown = [limit for limit in limits if limit.incarnation not in known]
        return self.record(unknown, now=now)

    def apply(self, pools: Iterable[PoolState]) -> None:
        """Apply the limits to the servers of pools."""
        self._ledger.evict_unlisted(self._state.by_incarnation)
        self._brittle.evict_unlisted(self._state.by_incarnation)
        for pool in pools:
            for server in pool.servers.values():
                server.limit = self._ledger.get(server.incarnation)

    def answer(
        self, origin: str, message: PermissionRequest, *, now: int
    ) -> Granted | Refused:
        """Grant or refuse an instance permission to send a request now.

        :param origin: the instance.
        """
        incarnation = message.incarnation
        wait_ms = self._brittle.request_place(
            incarnation, message.key, origin=origin, now=now
        )
        if wait_ms:
            return Refused(key=message.key, retry_after_ms=wait_ms)
        wait_ms = self._ledger.charge(incarnation, now=now)
        if wait_ms:
            self._brittle.free_place(
                incarnation, message.key, was_refused=False, now=now
            )
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

    def record_end(self, message: AttemptEnded, *, now: int) -> None:
        """Record that an attempt for which permission was given has ended."""
        self._brittle.free_place(
            message.incarnation,
            message.key,
            was_refused=message.how is AttemptOutcome.NOT_RUN,
            now=now,
        )

    def release_instance(self, origin: str) -> None:
        """Free what an instance whose link is lost holds."""
        self._brittle.release_instance(origin, now=self._state.clock.now())

    def set_share(self, share: float) -> None:
        """Set the share of each limit that may be granted here."""
        self._brittle.set_share(share)
        self._ledger.set_refill_fraction(share, now=self._state.clock.now())

    def pop_changes(self) -> ServerLimits | None:
        """Return the changed limits to be sent to all instances, if there are any."""
        if not self._changed:
            return None
        limits = self._build_limits(sorted(self._changed))
        self._changed.clear()
        return ServerLimits(limits=limits)

    def build_full_limits(self) -> ServerLimits:
        """Return all limits, for an instance that links up."""
        known = self._ledger.list_limits() | self._brittle.list_brittle()
        return ServerLimits(limits=self._build_limits(known), are_all=True)

    def _build_limits(self, incarnations: Iterable[str]) -> tuple[ServerLimit, ...]:
        return build_server_limits(
            incarnations,
            limits=self._ledger.list_limits(),
            brittle=self._brittle.list_brittle(),
        )
