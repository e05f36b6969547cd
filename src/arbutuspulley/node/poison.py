"""Quarantine of requests that crash backend servers.

Callers retry such a request, through any instance. A request that was in flight when
its server broke off is suspect, and all instances are informed. A harmless request that
was in flight beside the cause completes when it is retried, which clears it; its caller
sends it at most twice. A request that was in flight at three crashes, and was sent each
time after the previous crash was known, is quarantined and not run again.
"""

from collections import deque

from arbutuspulley.delivery.suspects import (
    Judgement,
    SuspectState,
    build_fingerprint,
    build_mark,
    clear_deaths,
    clear_suspicion,
    count_deaths,
    evict_expired,
    get_time_to_expiry_ms,
    judge,
    merge,
    record_death,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import SuspicionUpdate
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import InboundRequest
from arbutuspulley.rpc.messages import Suspicion

MAX_CRASHES = 3
"""Number of crashes after which a request is quarantined. A harmless request, which is
sent at most twice, can be in flight at two crashes: with a limit of two, one that was
twice in flight beside the cause was quarantined with it."""

MAX_SUSPECTS = 2_000
"""Maximum number of suspects; a server that crashes adds 64 at once."""

RETRACT_MS = 4_000
"""Age up to which crashes are retracted when this instance finds that it reaches no
server, in ms: its connections break up to 3 s after a network partition begins."""

MAX_RECENT = 1_000
"""Maximum number of recent crashes that can be retracted."""

LOGGED_FINGERPRINT_LENGTH = 12
"""Length to which fingerprints are truncated in log lines."""

MAX_LOGGED_REQUESTS = 10
"""Maximum number of requests that a log line names; it also has their count."""

EVICT_INTERVAL_MS = 10_000
"""Interval of evicting old suspects, in ms: a scan of 2,000 takes 7 ms, and a server
that crashes adds 64 suspects at once."""


class PoisonGuard:
    """Tracks suspect requests and refuses quarantined ones.

    :param link: link by which suspicions are shared with all instances.
    """

    __slots__ = ("_evict_at", "_link", "_recent", "_state", "_suspects")

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._evict_at = 0
        # Crashes that this instance has recorded: when, fingerprint, and death mark.
        self._recent: deque[tuple[int, str, str]] = deque(maxlen=MAX_RECENT)
        self._suspects = SuspectState(suspicions={}, changed_at={})
        link.on_suspicions = self.merge_suspicions

    def count_crashes(self, request: InboundRequest) -> int:
        """Return the number of known crashes with the request in flight."""
        return count_deaths(self._find(request))

    def get_refusal(self, request: InboundRequest) -> int | None:
        """Return when a quarantined request may be retried, in ms.

        :return: ``None`` if the request is not quarantined and may run.
        """
        suspicion = self._find(request)
        judgement = judge(suspicion, max_deaths=MAX_CRASHES)
        if suspicion is None or judgement is not Judgement.QUARANTINED:
            return None
        now = self._state.clock.now()
        return get_time_to_expiry_ms(self._suspects, suspicion.fingerprint, now=now)

    def record_crash(
        self, request: InboundRequest, *, incarnation: str, known: int
    ) -> None:
        """Record that a server broke off with the request in flight.

        :param known: number of crashes that were known when the request was sent. If
            more are known now, several copies of the request were in flight, or several
            servers failed at once; that counts as one crash.
        """
        if self.count_crashes(request) != known:
            self.record_ignored(
                request,
                incarnation=incarnation,
                known=known,
                why="sent before an earlier crash was known",
            )
            return
        now = self._state.clock.now()
        self._evict_old(now)
        if len(self._suspects.suspicions) >= MAX_SUSPECTS:
            self.record_ignored(
                request,
                incarnation=incarnation,
                known=known,
                why="too many suspects",
            )
            return
        fingerprint = _get_fingerprint(request)
        mark = build_mark(server=incarnation, boot_id="")
        self._recent.append((now, fingerprint, mark))
        suspicion = record_death(
            self._suspects,
            fingerprint=fingerprint,
            server=incarnation,
            boot_id="",
            now=now,
        )
        deaths = count_deaths(suspicion)
        event = Event.SUSPECT_RECORDED
        if deaths >= MAX_CRASHES:
            event = Event.REQUEST_QUARANTINED
        log_event(
            event,
            id=request.attempt_id,
            request=fingerprint[:LOGGED_FINGERPRINT_LENGTH],
            server=incarnation,
            known=known,
            deaths=deaths,
        )
        self._state.metrics.break_offs.labels("counted").inc()
        self._link.send(SuspicionUpdate(suspicions=(suspicion,)))

    def record_ignored(
        self, request: InboundRequest, *, incarnation: str, known: int, why: str
    ) -> None:
        """Record that a server broke off a request and that no crash is counted.

        :param known: number of crashes that were known when the request was sent.
        """
        log_event(
            Event.BREAK_OFF_IGNORED,
            id=request.attempt_id,
            request=_get_fingerprint(request)[:LOGGED_FINGERPRINT_LENGTH],
            server=incarnation,
            known=known,
            deaths=self.count_crashes(request),
            why=why,
        )
        self._state.metrics.break_offs.labels("ignored").inc()

    def retract_recent(self) -> None:
        """Retract recent crashes: the network of this instance broke, not servers.

        Several instances may lose it at once. Each of them recorded a crash of another
        server, and a harmless request that was in flight at three was quarantined.
        """
        now = self._state.clock.now()
        retracted = []
        while self._recent:
            at, fingerprint, mark = self._recent.pop()
            suspicion = self._suspects.suspicions.get(fingerprint)
            if now - at <= RETRACT_MS and suspicion is not None:
                retracted.append(clear_deaths(suspicion, (mark,)))
        if not retracted:
            return
        merge(self._suspects, retracted, now=now)
        log_event(
            Event.SUSPECTS_RETRACTED,
            count=len(retracted),
            requests=[
                one.fingerprint[:LOGGED_FINGERPRINT_LENGTH]
                for one in retracted[:MAX_LOGGED_REQUESTS]
            ],
        )
        self._link.send(SuspicionUpdate(suspicions=tuple(retracted)))

    def clear(self, request: InboundRequest) -> None:
        """Clear a request that completed; it caused no crash."""
        suspicion = self._find(request)
        if suspicion is None or not count_deaths(suspicion):
            return
        fingerprint = suspicion.fingerprint
        clear_suspicion(self._suspects, fingerprint, now=self._state.clock.now())
        cleared = self._suspects.suspicions[fingerprint]
        self._link.send(SuspicionUpdate(suspicions=(cleared,)))

    def merge_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Merge suspicions from another instance."""
        now = self._state.clock.now()
        self._evict_old(now)
        merge(self._suspects, suspicions[:MAX_SUSPECTS], now=now)

    def _evict_old(self, now: int) -> None:
        if now >= self._evict_at:
            self._evict_at = now + EVICT_INTERVAL_MS
            evict_expired(self._suspects, now=now)

    def _find(self, request: InboundRequest) -> Suspicion | None:
        if not self._suspects.suspicions:
            return None
        return self._suspects.suspicions.get(_get_fingerprint(request))


def _get_fingerprint(request: InboundRequest) -> str:
    if not request.fingerprint:
        request.fingerprint = build_fingerprint(
            caller=request.host,
            path=f"{request.method} {request.path}",
            body=request.body,
        )
    return request.fingerprint
