"""Quarantine of requests that crash backend servers.

Callers retry such a request, through any instance. A request that was in flight when
its server broke off is suspect, and all instances are informed. A harmless request that
was in flight beside the cause completes when it is retried, which clears it; its caller
sends it at most twice. A request that was in flight at three crashes, and was sent each
time after the previous crash was known, is quarantined. The coordinator's instance
tries it again later, since a harmless request may have been at each of them.

What counts as a crash, and what takes it back, is decided in
:mod:`arbutuspulley.delivery.crash_records`.
"""

import asyncio

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.delivery.crash_records import (
    MAX_CRASHES,
    TRIAL_MS,
    count_crashes,
    count_servers,
)
from arbutuspulley.delivery.suspects import build_fingerprint
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import SuspicionUpdate, Trial
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import InboundRequest

TRIAL_RETRY_MS = 300
"""Retry delay while another copy of a request is on trial, in ms."""

TRIAL_SPREAD_MS = 200
"""Time over which copies that would be sent at once are spread, in ms, so that the
first one is known to the other instances before they send theirs."""

LOGGED_FINGERPRINT_LENGTH = 12
"""Length to which fingerprints are truncated in log lines."""

LOGGED_PART_LENGTH = 16
"""Length to which ids of parts of prompts are truncated in log lines."""

MAX_LOGGED_REQUESTS = 10
"""Maximum number of requests that a log line names; it also has their count."""


class PoisonRefusal(Value, frozen=True):
    """Why a request is not sent to a server now.

    :param retry_after_ms: when it may be retried, in ms.
    """

    reason: str
    retry_after_ms: int


class PoisonGuard:
    """Tracks suspect requests and refuses quarantined ones.

    :param link: link by which suspicions are shared with all instances.
    """

    __slots__ = ("_link", "_own_trials", "_records", "_state")

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._records = state.crash_records
        # Requests of this instance that are on trial, and until when that counts.
        self._own_trials: dict[str, tuple[InboundRequest, int]] = {}
        link.on_suspicions = self.merge_update

    def count_crashes(self, request: InboundRequest) -> int:
        """Return the number of known crashes with the request in flight."""
        if not len(self._records):
            return 0
        return count_crashes(self._records.find(_get_fingerprint(request)))

    def get_refusal(self, request: InboundRequest) -> PoisonRefusal | None:
        """Return why a request is not to be sent now; ``None``: it may be sent."""
        if not len(self._records):
            return None
        now = self._state.clock.now()
        fingerprint = _get_fingerprint(request)
        wait_ms = self._records.get_wait_ms(
            fingerprint, may_retry=self._state.is_coordinator, now=now
        )
        if wait_ms:
            return PoisonRefusal(
                reason="it crashed the servers that ran it", retry_after_ms=wait_ms
            )
        if self._is_on_trial(request, fingerprint, now=now):
            return PoisonRefusal(
                reason="another copy of it runs after it was at crashes of servers",
                retry_after_ms=TRIAL_RETRY_MS,
            )
        return None

    def _is_on_trial(
        self, request: InboundRequest, fingerprint: str, *, now: int
    ) -> bool:
        if not self._records.needs_trial(fingerprint):
            return False
        own, until = self._own_trials.get(fingerprint, (request, 0))
        if own is not request and now < until:
            return True
        return self._records.is_on_trial(fingerprint, now=now)

    async def delay_trial(self, request: InboundRequest) -> None:
        """Wait for a random time before a request whose copies run one at a time."""
        if not len(self._records):
            return
        if self._records.needs_trial(_get_fingerprint(request)):
            delay_ms = self._state.rng.random() * TRIAL_SPREAD_MS
            await asyncio.sleep(delay_ms / SECOND_MS)

    def begin_attempt(self, request: InboundRequest) -> int:
        """Record that a request is about to be sent to a server.

        :return: the number of crashes that are known with it in flight.
        """
        if not len(self._records):
            return 0
        fingerprint = _get_fingerprint(request)
        if self._records.needs_trial(fingerprint):
            until = self._state.clock.now() + TRIAL_MS
            self._own_trials[fingerprint] = (request, until)
            self._send_trial(fingerprint)
        return self.count_crashes(request)

    def end_attempt(self, request: InboundRequest) -> None:
        """Record that a server does not work on a request any more."""
        if not self._own_trials:
            return
        fingerprint = _get_fingerprint(request)
        if self._own_trials.get(fingerprint, (None, 0))[0] is request:
            del self._own_trials[fingerprint]
            self._send_trial(fingerprint, has_ended=True)

    def _send_trial(self, fingerprint: str, *, has_ended: bool = False) -> None:
        trial = Trial(
            fingerprint=fingerprint,
            instance=self._state.settings.name,
            has_ended=has_ended,
        )
        self._link.send(SuspicionUpdate(trials=(trial,)))

    def record_crash(
        self,
        request: InboundRequest,
        *,
        incarnation: str,
        known: int,
        begun_at: int | None = None,
    ) -> None:
        """Record that a server broke off with the request in flight.

        :param known: number of crashes that were known when the request was sent. If
            more are known now, several copies of the request were in flight, or several
            servers failed at once; that counts as one crash.
        :param begun_at: when the answer's first event arrived, in ms; ``None``: none
            had.
        """
        before = self.count_crashes(request)
        fingerprint = _get_fingerprint(request)
        now = self._state.clock.now()
        suspicion = self._records.record(
            fingerprint, incarnation=incarnation, known=known, now=now
        )
        deaths = count_crashes(suspicion)
        is_counted = deaths > before
        if not is_counted:
            event = Event.BREAK_OFF_IGNORED
        elif deaths >= MAX_CRASHES:
            event = Event.REQUEST_QUARANTINED
        else:
            event = Event.SUSPECT_RECORDED
        log_event(
            event,
            id=request.attempt_id,
            request=fingerprint[:LOGGED_FINGERPRINT_LENGTH],
            server=incarnation,
            known=known,
            deaths=deaths,
            servers=count_servers(suspicion),
            parts=[part[:LOGGED_PART_LENGTH] for part in request.shared_parts],
            begun_ms=None if begun_at is None else now - begun_at,
        )
        how = "counted" if is_counted else "ignored"
        self._state.metrics.break_offs.labels(how).inc()
        self._link.send(SuspicionUpdate(suspicions=(suspicion,)))

    def record_answer(self, incarnation: str, *, sent_at: int) -> None:
        """Take back crashes of a server that has answered; it was not it that failed.

        :param sent_at: when the request was sent that it answered, in ms.
        """
        cleared = self._records.clear_server(
            incarnation, sent_at=sent_at, now=self._state.clock.now()
        )
        if not cleared:
            return
        log_event(
            Event.SUSPECTS_RETRACTED,
            count=len(cleared),
            server=incarnation,
            requests=[
                one.fingerprint[:LOGGED_FINGERPRINT_LENGTH]
                for one in cleared[:MAX_LOGGED_REQUESTS]
            ],
        )
        self._link.send(SuspicionUpdate(suspicions=cleared))

    def clear(self, request: InboundRequest) -> None:
        """Clear a request that completed; it caused no crash."""
        cleared = self._records.clear(
            _get_fingerprint(request), now=self._state.clock.now()
        )
        if cleared is not None:
            self._link.send(SuspicionUpdate(suspicions=(cleared,)))

    def merge_update(self, update: SuspicionUpdate) -> None:
        """Merge what another instance has recorded."""
        now = self._state.clock.now()
        self._records.merge(update.suspicions, ages_ms=update.ages_ms, now=now)
        for trial in update.trials:
            if trial.instance == self._state.settings.name:
                continue
            if trial.has_ended:
                self._records.end_trial(trial.fingerprint, trial.instance)
            else:
                self._records.record_trial(trial.fingerprint, trial.instance, now=now)


def _get_fingerprint(request: InboundRequest) -> str:
    if not request.fingerprint:
        request.fingerprint = build_fingerprint(
            caller=request.host,
            path=f"{request.method} {request.path}",
            body=request.body,
        )
    return request.fingerprint
