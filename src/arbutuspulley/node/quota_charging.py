"""Charging of requests to their teams' quotas on an instance."""

from arbutuspulley.admission.quota import (
    LocalQuota,
    QuotaTolerance,
    get_cost,
    get_disconnected_fraction,
)
from arbutuspulley.data import Value
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import QuotaExceeded
from arbutuspulley.node.progress import RETRY_AFTER_MS, RequestFailedError
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import InboundRequest, NodeSettings, Team


class QuotaCharge(Value, frozen=True):
    """Cost that was charged for a request.

    :param is_local: whether this instance charged it by itself, without a coordinator.
    """

    team: str
    cost: int
    is_local: bool


def build_tolerance(settings: NodeSettings) -> QuotaTolerance:
    """Return by how much teams may exceed their quotas."""
    return QuotaTolerance(
        window_ms=settings.quota_window_ms,
        overage=settings.quota_overage,
        extra=settings.quota_extra,
    )


class QuotaCharger:
    """Charges requests to their teams' quotas.

    The coordinator charges a request when it receives the grant request. Requests that
    need no grant are charged afterwards: the instance reports their cost to the
    coordinator, which announces the teams that have exceeded their quota. Without a
    coordinator the instance charges its own share of the quota, once a coordinator has
    told it how many instances there are.
    """

    __slots__ = ("_link", "_local", "_refused_until", "_state")

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._local = LocalQuota(
            tolerance=build_tolerance(state.settings),
            now=state.clock.now(),
            rng=state.rng,
        )
        self._refused_until: dict[str, int] = {}
        link.on_quota_exceeded = self._apply_quota_exceeded

    def get_cost(self, team: Team | None, request: InboundRequest) -> int:
        """Return the cost of a request; 0: its team has no quota."""
        if team is None or not team.rate_per_s:
            return 0
        return get_cost(team, request.usage_tokens)

    def charge(self, team: Team, cost: int, *, attempt_id: str) -> QuotaCharge:
        """Charge a request for which no grant is requested.

        :raises RequestFailedError: if the team has used up its quota, or if this
            instance's share of it is not known yet.
        """
        now = self._state.clock.now()
        if self._link.is_up:
            self._local.record_coordinated(now)
            wait_ms = self._refused_until.get(team.name, now) - now
            if wait_ms > 0:
                raise self.build_refusal(team.name, attempt_id, wait_ms)
            self._link.report_usage(team.name, cost)
            return QuotaCharge(team=team.name, cost=cost, is_local=False)
        if not self._state.instances:
            # Other instances may have started at the same moment.
            raise RequestFailedError(
                status=503,
                reason="this instance's share of the team's quota is not known yet",
                retry_after_ms=RETRY_AFTER_MS,
            )
        fraction = get_disconnected_fraction(
            self._local.get_uncoordinated_ms(now),
            decay_ms=self._state.settings.revocation_ms,
        )
        fraction /= max(1.0, self._state.share_divisor)
        self._local.tolerance = build_tolerance(self._state.settings)
        wait_ms = self._local.charge(team, cost, fraction=fraction, now=now)
        if wait_ms:
            raise self.build_refusal(team.name, attempt_id, wait_ms)
        return QuotaCharge(team=team.name, cost=cost, is_local=True)

    def record_coordinated(self) -> None:
        """Record that a coordinator currently charges the quotas."""
        self._local.record_coordinated(self._state.clock.now())

    def refund(self, quota_charge: QuotaCharge) -> None:
        """Refund the charge of a request that did not run."""
        if quota_charge.is_local:
            self._local.refund(quota_charge.team, quota_charge.cost)
        else:
            self._link.report_usage(quota_charge.team, -quota_charge.cost)

    def build_refusal(
        self, team: str, attempt_id: str, wait_ms: int
    ) -> RequestFailedError:
        """Build the refusal of a request over its team's quota.

        :param wait_ms: time until the team's quota suffices for it, in ms.
        """
        self._state.metrics.count_refusal(team, "quota")
        log_event(
            Event.QUOTA_EXCEEDED,
            id=attempt_id,
            team=team,
            version=self._state.configuration_version,
            retry_after_ms=wait_ms,
            by="coordinator" if self._link.is_up else "instance",
        )
        return RequestFailedError(
            status=429, reason="the team's quota is used up", retry_after_ms=wait_ms
        )

    def _apply_quota_exceeded(self, message: QuotaExceeded) -> None:
        self._refused_until[message.team] = self._state.clock.now() + message.wait_ms
