"""The coordinator's side of teams' quotas: charges, and teams over their quota."""

from collections.abc import Sequence

from arbutuspulley.admission.quota import (
    QuotaLedger,
    build_limits,
    get_disconnected_fraction,
)
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.advertisement import (
    count_advertised,
    get_share_divisor,
    select_advertised,
)
from arbutuspulley.node.messages import (
    GrantRequest,
    NodeInfo,
    QuotaExceeded,
    QuotaUsage,
    Refused,
)
from arbutuspulley.node.quota_charging import build_tolerance
from arbutuspulley.node.state import NodeState

LOST_INSTANCE_TTL_MS = 20 * SECOND_MS
"""Time for which an instance whose link is lost is assumed to continue on its own, in
ms: network faults mostly last some seconds, and a share that is reserved for an
instance that no longer runs serves nobody."""

RECONNECT_GRACE_MS = 2 * SECOND_MS
"""Time for which a new coordinator waits for the instances that it knows of, in ms;
they link up within half a second."""


class Quotas:
    """The ledger, and the share of each quota that it may grant.

    An instance that is not linked continues with its own share of each quota, see
    :class:`~arbutuspulley.node.quota_charging.QuotaCharger`. That share is not granted
    here as long as the instance may use it.
    """

    __slots__ = ("_expected", "_ledger", "_linked", "_lost", "_started_at", "_state")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._ledger = QuotaLedger()
        self._lost: dict[str, tuple[NodeInfo, int]] = {}
        self._linked: Sequence[NodeInfo] = ()
        self._expected = 0
        self._started_at = 0

    def reset(self) -> None:
        """Start as a coordinator to which no instance is linked yet."""
        self._ledger.reset()
        self._lost.clear()
        self._linked = ()
        self._expected = self._state.instances
        self._started_at = self._state.clock.now()

    def apply_configuration(self) -> None:
        """Apply the quotas of the active configuration."""
        state = self._state
        teams = state.configuration.teams if state.configuration else None
        limits = build_limits(teams or (), build_tolerance(state.settings))
        self._ledger.set_limits(limits, now=state.clock.now())

    def charge(self, request: GrantRequest, *, now: int) -> Refused | None:
        """Charge a request to its team.

        :return: the refusal, if the team's balance is too low.
        """
        if not request.cost:
            return None
        wait_ms = self._ledger.charge(request.team, request.cost, now=now)
        if not wait_ms:
            return None
        return Refused(key=request.key, retry_after_ms=wait_ms, is_over_quota=True)

    def charge_usage(self, usage: QuotaUsage, *, now: int) -> QuotaExceeded | None:
        """Charge the usage that an instance reports.

        :return: the message to that instance if the team is now over its quota.
        """
        wait_ms = self._ledger.record_usage(usage.team, usage.cost, now=now)
        if not wait_ms or usage.cost <= 0:
            return None
        return QuotaExceeded(team=usage.team, wait_ms=wait_ms)

    def mark_linked(self, name: str) -> None:
        """Record that an instance is linked: its share is granted here."""
        self._lost.pop(name, None)

    def mark_lost(self, info: NodeInfo) -> None:
        """Record that a link is lost; a ready instance continues on its own."""
        if info.is_ready:
            self._lost[info.name] = info, self._state.clock.now()

    def update_linked(
        self, linked: Sequence[NodeInfo], *, is_holder: bool = True
    ) -> None:
        """Update the share of each quota that may be granted; call at intervals.

        :param linked: the linked instances, including this one.
        :param is_holder: whether no other instance can hold the lease. Otherwise
            another coordinator may charge for the instances that have left.
        """
        share = self.compute_share(
            linked, decay_ms=self._state.settings.revocation_ms, is_holder=is_holder
        )
        self._ledger.set_refill_fraction(
            share,
            now=self._state.clock.now(),
            may_be_replaced=self._is_on_lost_side(len(linked), is_holder=is_holder),
        )

    def _is_on_lost_side(self, linked: int, *, is_holder: bool) -> bool:
        """Tell whether the next coordinator may be among the instances that left."""
        return len(self._lost) > linked or (bool(self._lost) and not is_holder)

    def compute_share(
        self,
        linked: Sequence[NodeInfo],
        *,
        decay_ms: int | None,
        is_holder: bool = True,
    ) -> float:
        """Return the share of a limit not reserved for instances without a link.

        :param decay_ms: time after which an instance without a link uses nothing any
            more, in ms; ``None``: it continues.
        :param is_holder: see :meth:`update_linked`.
        """
        now = self._state.clock.now()
        self._mark_unreachable(linked, now=now)
        self._lost = {
            name: (info, at)
            for name, (info, at) in self._lost.items()
            if now - at < LOST_INSTANCE_TTL_MS
        }
        lost = [info for info, _at in self._lost.values()]
        among = [*linked, *lost]
        expected_ms = RECONNECT_GRACE_MS if decay_ms is None else decay_ms
        if self._is_on_lost_side(len(linked), is_holder=is_holder):
            # This coordinator is on the disconnected side; on the other side, the next
            # coordinator grants the rest.
            decay_ms = None
        share = 1.0
        for info, at in self._lost.values():
            reserved = get_disconnected_fraction(now - at, decay_ms=decay_ms)
            share -= reserved * get_local_share(info, among=among)
        counted = len(linked) + len(lost)
        if now - self._started_at < expected_ms and self._expected > counted:
            # Some may be linked to a coordinator that has lost the store, and use their
            # shares until they can't confirm keys any more.
            share *= counted / self._expected
        return max(0.0, share)

    def _mark_unreachable(self, linked: Sequence[NodeInfo], *, now: int) -> None:
        """Count unreachable instances as lost, since their links may end later."""
        names = {info.name for info in linked}
        for info in self._linked:
            if info.is_ready and info.name not in names:
                self._lost.setdefault(info.name, (info, now))
        for name in names:
            self._lost.pop(name, None)
        self._linked = linked


def get_local_share(info: NodeInfo, *, among: Sequence[NodeInfo]) -> float:
    """Return the share of a common limit that an instance uses on its own."""
    ready = [instance for instance in among if instance.is_ready]
    near = [instance for instance in ready if instance.site == info.site]
    return 1 / get_share_divisor(
        is_advertised=info in select_advertised(near),
        advertised=count_advertised(ready),
        instances=len(ready),
    )
