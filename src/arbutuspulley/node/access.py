"""Admission of requests by the caller's API key."""

from arbutuspulley.admission.keys import find_team, redact_key
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.progress import RETRY_AFTER_MS, RequestFailedError
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import InboundRequest, Route, Team


class Access:
    """Admission of one request by its API key.

    The key is the one that the caller sent; empty if it sent none or several.
    """

    __slots__ = ("_attempt_id", "_key", "_route", "_state", "team")

    def __init__(
        self, *, state: NodeState, route: Route, request: InboundRequest
    ) -> None:
        self._state = state
        self._route = route
        self._attempt_id = request.attempt_id
        self._key, request.key = request.key, ""
        self.team: Team | None = None

    def check(self) -> None:
        """Find the caller's team in the active configuration.

        Called again before the request is sent to a server: in the meantime the key may
        have been revoked, or the confirmation of the configuration may have expired.

        :raises RequestFailedError: if the key is unknown, or if it is not known at
            present whether the key is still valid.
        """
        state = self._state
        if self._route.is_public or state.keys is None:
            return
        now = state.clock.now()
        if not state.may_admit:
            self._record_refusal(Event.WORD_TOO_OLD, now)
            raise self._build_unavailable("the configuration may be out of date")
        self.team = find_team(state.keys, self._key)
        if self.team is not None:
            return
        self._record_refusal(Event.KEY_REFUSED, now)
        # A key that was just added is not active on all instances yet. Only a
        # confirmation that is younger than the time for applying a configuration proves
        # that there is no such key.
        if state.settings.revocation_ms is not None and not state.freshness.is_within(
            state.settings.apply_ms, now=now
        ):
            raise self._build_unavailable("the key may be new")
        raise RequestFailedError(status=401, reason="unknown or missing key")

    def _build_unavailable(self, reason: str) -> RequestFailedError:
        return RequestFailedError(
            status=503, reason=reason, retry_after_ms=RETRY_AFTER_MS
        )

    def _record_refusal(self, event: Event, now: int) -> None:
        state = self._state
        why = "age" if event is Event.WORD_TOO_OLD else "key"
        state.metrics.refusals.labels("", why).inc()
        log_event(
            event,
            id=self._attempt_id,
            key=redact_key(self._key) if self._key else "",
            version=state.configuration_version,
            age_ms=state.freshness.get_age(now),
            source=state.freshness.source,
        )
