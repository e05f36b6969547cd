"""Quarantine of requests that crash backend servers.

Callers retry such a request, through any instance. A request that was in flight when
its server broke off is suspect, and all instances are informed. A harmless request that
was in flight beside the cause completes when it is retried, which clears it; its caller
sends it at most twice. A request that was in flight at three crashes, and was sent each
time after the previous crash was known, is quarantined. The coordinator's instance
tries it again later, since a harmless request may have been at each of them.

Requests that are never alike may crash servers by one part of their prompts. Such a
part is quarantined for all of them; the others that travel with it are not.

What counts as a crash, and what takes it back, is decided in
:mod:`arbutuspulley.delivery.crash_records`; which part of a prompt is the cause in
:mod:`arbutuspulley.delivery.part_records`.
"""

import asyncio
from collections import deque
from collections.abc import Iterator

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.delivery.crash_records import (
    MAX_CRASHES,
    TRIAL_MS,
    count_crashes,
    count_servers,
)
from arbutuspulley.delivery.part_records import is_established
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.fingerprints import get_fingerprint
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import SuspicionUpdate, Trial
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import InboundRequest
from arbutuspulley.rpc.messages import Suspicion

TRIAL_RETRY_MS = 300
"""Retry delay while another copy of a request is on trial, in ms."""

TRIAL_SPREAD_MS = 200
"""Time over which copies that would be sent at once are spread, in ms, so that the
first one is known to the other instances before they send theirs."""

LOGGED_FINGERPRINT_LENGTH = 12
"""Length to which fingerprints are truncated in log lines."""

LOGGED_PART_LENGTH = 16
"""Length to which ids of parts of prompts are truncated in log lines."""

MAX_SILENT_ATTEMPTS = 256
"""Maximum number of attempts that ended without an answer and are remembered, as they
may have crashed their servers."""

SILENT_ATTEMPT_MS = 10 * SECOND_MS
"""How long that is remembered, in ms: entries of servers that crashed lapse within 4 s.
"""

MAX_LOGGED_REQUESTS = 10
"""Maximum number of requests that a log line names; it also has their count."""


PART_KEY_PREFIX = "part "
"""Prefix by which a part of prompts on trial differs from a request on trial."""


class KnownCrashes(Value, frozen=True):
    """Crashes that were known as a request was sent.

    :param request: crashes with the request in flight.
    :param parts: crashes with each shared part of its prompt in flight, in order.
    """

    request: int = 0
    parts: tuple[int, ...] = ()


class _SilentAttempt(Value, frozen=True):
    """An attempt that ended before its server had answered.

    :param ended_at: when it ended, in ms.
    """

    incarnation: str
    request: InboundRequest
    known: KnownCrashes
    sent_at: int
    ended_at: int


class PoisonRefusal(Value, frozen=True):
    """Why a request is not sent to a server now.

    :param retry_after_ms: when it may be retried, in ms.
    """

    reason: str
    retry_after_ms: int


class PoisonGuard:
    """Tracks suspect requests and parts of prompts, and refuses quarantined ones.

    :param link: link by which suspicions are shared with all instances.
    """

    __slots__ = (
        "_guilty",
        "_link",
        "_own_trials",
        "_parts",
        "_records",
        "_silent",
        "_state",
    )

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._records = state.crash_records
        self._parts = state.part_records
        self._records.on_crash = state.server_starts.record_break
        self._parts.records.on_crash = state.server_starts.record_break
        state.server_starts.on_end = self._count_silent
        self._silent: deque[_SilentAttempt] = deque(maxlen=MAX_SILENT_ATTEMPTS)
        # Quarantined parts that were logged.
        self._guilty: frozenset[str] = frozenset()
        # Requests of this instance that are on trial, and until when that counts, by
        # their fingerprints and the parts of their prompts.
        self._own_trials: dict[str, tuple[InboundRequest, int]] = {}
        link.on_suspicions = self.merge_update

    def count_crashes(self, request: InboundRequest) -> int:
        """Return the number of known crashes with the request in flight."""
        if not len(self._records):
            return 0
        return count_crashes(self._records.find(get_fingerprint(request)))

    def is_suspect(self, request: InboundRequest) -> bool:
        """Return whether a request, or a part of its prompt, was at a known crash."""
        if not self._has_suspects():
            return False
        return bool(
            self.count_crashes(request)
            or any(self._parts.count_crashes(request.shared_parts))
        )

    def get_refusal(self, request: InboundRequest) -> PoisonRefusal | None:
        """Return why a request is not to be sent now; ``None``: it may be sent."""
        if not self._has_suspects():
            return None
        now = self._state.clock.now()
        may_retry = self._state.is_coordinator
        # First, as it decides which crashes parts explain.
        quarantined = self._parts.find_quarantined(
            request.shared_parts, may_retry=may_retry, now=now
        )
        if quarantined is not None:
            part = quarantined.part[:LOGGED_PART_LENGTH]
            return PoisonRefusal(
                reason=f"part {part} of its prompt crashed the servers that answered",
                retry_after_ms=quarantined.wait_ms,
            )
        wait_ms = self._records.get_wait_ms(
            get_fingerprint(request), may_retry=may_retry, now=now
        )
        if wait_ms:
            return PoisonRefusal(
                reason="it crashed the servers that ran it", retry_after_ms=wait_ms
            )
        if any(
            self._is_on_trial(key, request, now=now)
            for key in self._list_trial_keys(request)
        ):
            return PoisonRefusal(
                reason="another copy of it runs after it was at crashes of servers",
                retry_after_ms=TRIAL_RETRY_MS,
            )
        return None

    def _has_suspects(self) -> bool:
        return bool(len(self._records) or len(self._parts))

    def _list_trial_keys(self, request: InboundRequest) -> Iterator[str]:
        """Return for what the request is to be sent alone, itself or parts of it."""
        fingerprint = get_fingerprint(request)
        if self._records.needs_trial(fingerprint):
            yield fingerprint
        for part in request.shared_parts:
            if self._parts.needs_trial(part):
                yield PART_KEY_PREFIX + part

    def _is_on_trial(self, key: str, request: InboundRequest, *, now: int) -> bool:
        own, until = self._own_trials.get(key, (request, 0))
        if own is not request and now < until:
            return True
        return self._records.is_on_trial(key, now=now)

    def needs_trial(self, request: InboundRequest) -> bool:
        """Return whether a request is to be sent alone, itself or by its prompt."""
        return self._has_suspects() and any(self._list_trial_keys(request))

    async def delay_trial(self, request: InboundRequest) -> None:
        """Wait for a random time before a request whose copies run one at a time."""
        if self.needs_trial(request):
            delay_ms = self._state.rng.random() * TRIAL_SPREAD_MS
            await asyncio.sleep(delay_ms / SECOND_MS)

    def begin_attempt(self, request: InboundRequest) -> KnownCrashes:
        """Record that a request is about to be sent to a server.

        :return: the crashes that are known.
        """
        if not self._has_suspects():
            return KnownCrashes()
        until = self._state.clock.now() + TRIAL_MS
        for key in self._list_trial_keys(request):
            self._own_trials[key] = (request, until)
            self._send_trial(key)
        return KnownCrashes(
            request=self.count_crashes(request),
            parts=self._parts.count_crashes(request.shared_parts),
        )

    def end_attempt(self, request: InboundRequest) -> None:
        """Record that a server does not work on a request any more."""
        ended = [key for key, (own, _) in self._own_trials.items() if own is request]
        for key in ended:
            del self._own_trials[key]
            self._send_trial(key, has_ended=True)

    def _send_trial(self, key: str, *, has_ended: bool = False) -> None:
        trial = Trial(
            fingerprint=key,
            instance=self._state.settings.name,
            has_ended=has_ended,
        )
        self._link.send(SuspicionUpdate(trials=(trial,)))

    def record_crash(
        self,
        request: InboundRequest,
        *,
        incarnation: str,
        known: KnownCrashes,
        heard_at: int | None = None,
        begun_at: int | None = None,
    ) -> None:
        """Record that a server broke off with the request in flight.

        :param heard_at: when the server was last heard on that connection, or the
            request was sent, in ms; ``None``: not known.
        :param known: crashes that were known when the request was sent. If more are
            known now, several copies of the request were in flight, or several servers
            failed at once; that counts as one crash.
        :param begun_at: when the answer's first event arrived, in ms; ``None``: none
            had.
        """
        self._state.server_starts.record_break(incarnation, heard_at=heard_at)
        before = self.count_crashes(request)
        fingerprint = get_fingerprint(request)
        now = self._state.clock.now()
        suspicion = self._records.record(
            fingerprint, incarnation=incarnation, known=known.request, now=now
        )
        parts: tuple[Suspicion, ...] = ()
        if not is_established(begun_at, now=now):
            parts = self._parts.record(
                request.shared_parts,
                incarnation=incarnation,
                known=known.parts,
                now=now,
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
            known=known.request,
            deaths=deaths,
            servers=count_servers(suspicion),
            parts=[part[:LOGGED_PART_LENGTH] for part in request.shared_parts],
            begun_ms=None if begun_at is None else now - begun_at,
        )
        how = "counted" if is_counted else "ignored"
        self._state.metrics.break_offs.labels(how).inc()
        self._link.send(SuspicionUpdate(suspicions=(suspicion,), parts=parts))
        self._log_quarantines()

    def record_silence(
        self,
        request: InboundRequest,
        *,
        incarnation: str,
        known: KnownCrashes,
        sent_at: int,
    ) -> None:
        """Record that the time of a request was up before its server had answered.

        It counts as at a crash if the server is found to have ended, and has not been
        heard since.

        :param sent_at: when it was sent, in ms.
        """
        get_fingerprint(request)  # Its body is dropped as it ends.
        self._silent.append(
            _SilentAttempt(
                incarnation=incarnation,
                request=request,
                known=known,
                sent_at=sent_at,
                ended_at=self._state.clock.now(),
            )
        )
        self._state.server_starts.watched.add(incarnation)

    def _count_silent(self, incarnation: str) -> None:
        """Count a crash under the last requests of a server that has ended."""
        self._state.server_starts.watched.discard(incarnation)
        attempts = [one for one in self._silent if one.incarnation == incarnation]
        for attempt in attempts:
            self._silent.remove(attempt)
        if incarnation in self._state.leaving:
            return
        now = self._state.clock.now()
        starts = self._state.server_starts
        for attempt in attempts:
            is_recent = now - attempt.ended_at <= SILENT_ATTEMPT_MS
            was_heard = starts.was_heard(incarnation, since=attempt.ended_at)
            if is_recent and not was_heard:
                self.record_crash(
                    attempt.request,
                    incarnation=incarnation,
                    known=attempt.known,
                    heard_at=attempt.sent_at,
                )

    def record_answer(self, incarnation: str, *, sent_at: int) -> None:
        """Take back crashes of a server that has answered; it was not it that failed.

        Until it is proven that the same start has answered, nothing is taken back.

        :param sent_at: when the request was sent that it answered, in ms.
        """
        proven_at = self._state.server_starts.record_answer(
            incarnation, sent_at=sent_at
        )
        if proven_at is None:
            return
        now = self._state.clock.now()
        cleared = self._records.clear_server(incarnation, sent_at=proven_at, now=now)
        parts = self._parts.clear_server(incarnation, sent_at=proven_at, now=now)
        if not cleared and not parts:
            return
        log_event(
            Event.SUSPECTS_RETRACTED,
            count=len(cleared),
            server=incarnation,
            answered_ms=now - proven_at,
            requests=[
                one.fingerprint[:LOGGED_FINGERPRINT_LENGTH]
                for one in cleared[:MAX_LOGGED_REQUESTS]
            ],
            parts=len(parts),
        )
        self._link.send(SuspicionUpdate(suspicions=cleared, parts=parts))
        self._log_quarantines()

    def clear(self, request: InboundRequest) -> None:
        """Clear a request that completed; it caused no crash."""
        cleared = self._records.clear(
            get_fingerprint(request), now=self._state.clock.now()
        )
        if cleared is not None:
            self._link.send(SuspicionUpdate(suspicions=(cleared,)))

    def clear_parts(self, request: InboundRequest) -> None:
        """Acquit the parts of a prompt that a server answered."""
        cleared = self._parts.clear(request.shared_parts, now=self._state.clock.now())
        if cleared:
            self._link.send(SuspicionUpdate(parts=cleared))
            self._log_quarantines()

    def merge_update(self, update: SuspicionUpdate) -> None:
        """Merge what another instance has recorded."""
        now = self._state.clock.now()
        self._records.merge(update.suspicions, ages_ms=update.ages_ms, now=now)
        self._parts.merge(update.parts, ages_ms=update.part_ages_ms, now=now)
        self._attest_harmless(update, now=now)
        self._log_quarantines()
        for trial in update.trials:
            if trial.instance == self._state.settings.name:
                continue
            if trial.has_ended:
                self._records.end_trial(trial.fingerprint, trial.instance)
            else:
                self._records.record_trial(trial.fingerprint, trial.instance, now=now)

    def _attest_harmless(self, update: SuspicionUpdate, *, now: int) -> None:
        """Tell all instances which suspects completed here before they were suspect."""
        requests = self._records.attest_completed(update.suspicions)
        parts = self._parts.attest_answered(update.parts)
        if not requests and not parts:
            return
        self._records.merge(requests, now=now)
        self._parts.merge(parts, now=now)
        self._link.send(SuspicionUpdate(suspicions=requests, parts=parts))

    def _log_quarantines(self) -> None:
        """Log which parts are quarantined from now on, and which no longer are."""
        guilty = self._parts.list_guilty()
        before, self._guilty = self._guilty, frozenset(guilty)
        self._state.metrics.quarantined_parts.set(len(guilty))
        for part in sorted(self._guilty - before):
            log_event(
                Event.PART_QUARANTINED,
                part=part[:LOGGED_PART_LENGTH],
                deaths=guilty[part],
                was_answered=self._parts.was_answered(part),
                position=self._parts.get_position(part),
            )
        for part in sorted(before - self._guilty):
            log_event(Event.PART_RELEASED, part=part[:LOGGED_PART_LENGTH])
