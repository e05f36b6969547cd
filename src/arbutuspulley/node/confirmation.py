"""Confirmation over a link that no newer configuration, and no other server, exists.

See :mod:`arbutuspulley.admission.freshness`.
"""

from arbutuspulley.admission.freshness import MessageTimes
from arbutuspulley.node.messages import CoordinatorStatus
from arbutuspulley.node.state import NodeState

RELAY_FRESHNESS_RATIO = 0.7
"""Share of the time within which a revoked key has to stop working. An instance whose
confirmation is older calls the store itself; the rest of the time suffices for that."""


class Confirmation:
    """Heartbeats and status messages of one link, by number."""

    __slots__ = ("_heartbeats", "_state", "_statuses")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._heartbeats = MessageTimes()
        self._statuses = MessageTimes()

    @property
    def confirmed_status(self) -> int:
        """Number of the last status before this instance's confirmation; 0: none."""
        return self._statuses.find_number(self._state.freshness.confirmed_at)

    @property
    def is_fresh(self) -> bool:
        """Whether the relay confirms the active configuration often enough."""
        state = self._state
        revocation_ms = state.settings.revocation_ms
        if revocation_ms is None:
            return True
        limit_ms = int(revocation_ms * RELAY_FRESHNESS_RATIO)
        return state.freshness.is_within(limit_ms, now=state.clock.now())

    def record_heartbeat(self, number: int, *, at: int) -> None:
        """Record that a heartbeat is sent."""
        self._heartbeats.record(number, at=at)

    def record_status(self, status: CoordinatorStatus, *, at: int) -> None:
        """Record a status message, and the confirmation that it contains, if any."""
        state = self._state
        self._statuses.record(status.number, at=at)
        sent_at = self._heartbeats.find_time(status.fresh_beat)
        if sent_at is not None and status.configuration <= state.configuration_version:
            state.freshness.confirm(sent_at, source="coordinator")
        viewed_at = self._heartbeats.find_time(status.view_beat)
        if viewed_at is not None:
            state.server_view.confirm(viewed_at, source="coordinator")
