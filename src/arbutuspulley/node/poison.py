"""Keeps requests that crash the servers that run them from going on to others.

Such a request comes again, through any instance. One that was in flight as its server
broke off is a suspect, and all instances are told. A bystander runs whole when it is
sent again, which clears it; its caller sends it twice at most. A request that was in
flight at three breaks, each time sent after the last one was known, is not run again.
"""

from arbutuspulley.delivery.suspects import (
    Judgement,
    SuspectState,
    build_fingerprint,
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

MOST_DEATHS = 3
"""Servers that one request may cost. A bystander, sent twice at most, meets two: with
a limit of two, one that was twice beside the cause was condemned with it."""

MOST_KEPT = 2_000
"""Most suspects that are kept; a server that crashes makes 64 at once."""

FORGET_EVERY_MS = 10_000
"""Time between looks for suspects that are old, in ms: a look at 2,000 takes 7 ms, and
a server that crashes makes 64 at once."""


class PoisonGuard:
    """What this instance knows of such requests.

    :param link: by which all instances are told.
    """

    __slots__ = ("_forget_at", "_link", "_state", "_suspects")

    def __init__(self, *, state: NodeState, link: Link) -> None:
        self._state = state
        self._link = link
        self._forget_at = 0
        self._suspects = SuspectState(suspicions={}, changed_at={})
        link.on_suspicions = self.take

    def count_known(self, request: InboundRequest) -> int:
        """Return how many breaks with a request in flight are known."""
        return count_deaths(self._find(request))

    def get_refusal(self, request: InboundRequest) -> int | None:
        """Return when a request may come back, in ms, if it must not be run."""
        suspicion = self._find(request)
        judgement = judge(suspicion, max_deaths=MOST_DEATHS)
        if suspicion is None or judgement is not Judgement.QUARANTINED:
            return None
        now = self._state.clock.now()
        return get_time_to_expiry_ms(self._suspects, suspicion.fingerprint, now=now)

    def note_break(
        self, request: InboundRequest, *, incarnation: str, known: int
    ) -> None:
        """A server broke off with a request in flight.

        :param known: breaks that were known as it was sent. If there are more now,
            several copies of it were on their way at once, or several servers failed
            at once; that counts as one.
        """
        if self.count_known(request) != known:
            return
        now = self._state.clock.now()
        self._forget_old(now)
        if len(self._suspects.suspicions) >= MOST_KEPT:
            return
        suspicion = record_death(
            self._suspects,
            fingerprint=_get_fingerprint(request),
            server=incarnation,
            boot_id="",
            now=now,
        )
        deaths = count_deaths(suspicion)
        event = Event.SUSPECT_RECORDED
        if deaths >= MOST_DEATHS:
            event = Event.REQUEST_QUARANTINED
        log_event(event, id=request.attempt_id, server=incarnation, deaths=deaths)
        self._link.send(SuspicionUpdate(suspicions=(suspicion,)))

    def note_whole(self, request: InboundRequest) -> None:
        """A request ran whole; it is no cause of any break."""
        suspicion = self._find(request)
        if suspicion is None or not count_deaths(suspicion):
            return
        fingerprint = suspicion.fingerprint
        clear_suspicion(self._suspects, fingerprint, now=self._state.clock.now())
        cleared = self._suspects.suspicions[fingerprint]
        self._link.send(SuspicionUpdate(suspicions=(cleared,)))

    def take(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Take in what another instance found."""
        now = self._state.clock.now()
        self._forget_old(now)
        merge(self._suspects, suspicions[:MOST_KEPT], now=now)

    def _forget_old(self, now: int) -> None:
        if now >= self._forget_at:
            self._forget_at = now + FORGET_EVERY_MS
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
