"""Which start of a server an answer comes from.

A server may start again under its id and address. Its answers name the id only, and its
entry, which states the start, is written up to a heartbeat after the server has begun
to serve. So until then an answer may be one of a new start, while the entry still names
the one before.

A connection that breaks is the sign that a start may have ended. What answers after it
counts as the same start only once that is proven:

* A request that was sent before the connection was last heard is answered after the
  break: both connections were to one process.
* The entry, read a heartbeat after the answer, still names the start, and no other
  connection broke meanwhile. A new start would have written it by then.
* The entry still names it three heartbeats after the answer, or after the break. The
  start has written it meanwhile, as the store drops entries that nobody writes.
"""

from collections import deque
from collections.abc import Callable, Collection

from arbutuspulley.clock import Clock
from arbutuspulley.data import State

ENTRY_DELAY_MS = 300
"""How much later than its heartbeat a server may write its entry, in ms."""

LAPSE_HEARTBEATS = 3
"""Number of heartbeats after which the store drops an entry that nobody writes."""

SETTLE_MS = 100
"""Time after a break in which bytes that had arrived before may still be read, in ms.
"""

MAX_SILENCE_MS = 3_500
"""Longest time that a connection to a server that has ended seems open, in ms."""

SAMPLE_INTERVAL_MS = 100
MAX_SAMPLES = 100
"""Interval of the answers that are kept until they are proven, in ms, and the maximum
number of them: those of ten seconds."""


class _Break(State):
    """The last break of a connection to a start.

    :param broken_at: when the connection broke, in ms.
    :param heard_at: when the first connection that broke was last heard, or its request
        was sent, in ms.
    :param answers: when requests were sent that were answered since the first break,
        and when their answers arrived, in ms.
    :param is_down: whether the server could not be connected to since.
    :param proven_at: when the last request was sent whose answer is proven to be of
        this start, in ms; ``None``: none.
    """

    broken_at: int
    heard_at: int
    answers: deque[tuple[int, int]]
    is_down: bool = False
    proven_at: int | None = None


class ServerStarts:
    """The starts of servers to which a connection has broken.

    :param get_heartbeat_ms: returns the interval at which servers write their entries,
        in ms.
    :param get_view_at: returns the time as of which all entries are known, in ms of the
        clock; ``None``: none is known.

    :ivar watched: starts whose end is to be told.
    :ivar on_end: called with a watched start that can't be connected to, or that no
        entry names any more.
    """

    __slots__ = (
        "_breaks",
        "_clock",
        "_get_heartbeat_ms",
        "_get_view_at",
        "_heard_at",
        "_listed",
        "on_end",
        "watched",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        get_heartbeat_ms: Callable[[], int],
        get_view_at: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._get_heartbeat_ms = get_heartbeat_ms
        self._get_view_at = get_view_at
        self._breaks: dict[str, _Break] = {}
        self._heard_at: dict[str, int] = {}
        self._listed: Collection[str] | None = None
        self.watched: set[str] = set()
        self.on_end: Callable[[str], None] = _ignore

    def __len__(self) -> int:
        return len(self._breaks)

    def set_listed(self, incarnations: Collection[str]) -> None:
        """Set which starts the entries name."""
        self._listed = incarnations
        for incarnation in [one for one in self._breaks if one not in incarnations]:
            del self._breaks[incarnation]
        for incarnation in [one for one in self._heard_at if one not in incarnations]:
            del self._heard_at[incarnation]
        for incarnation in [one for one in self.watched if one not in incarnations]:
            self.on_end(incarnation)

    def record_break(self, incarnation: str, *, heard_at: int | None = None) -> None:
        """Record that a connection to a start broke.

        :param heard_at: when it was last heard, or its request was sent, in ms;
            ``None``: not known, as another instance had it.
        """
        if not self._is_listed(incarnation):
            return
        now = self._clock.now()
        if heard_at is None:
            heard_at = now - MAX_SILENCE_MS
        known = self._breaks.get(incarnation)
        if known is not None:
            # The connection may have been one to the next start.
            known.broken_at = now
            return
        self._breaks[incarnation] = _Break(
            broken_at=now, heard_at=heard_at, answers=deque(maxlen=MAX_SAMPLES)
        )

    def record_down(self, incarnation: str) -> None:
        """Record that a server could not be connected to."""
        self.record_break(incarnation)
        if incarnation in self._breaks:
            self._breaks[incarnation].is_down = True
        if incarnation in self.watched:
            self.on_end(incarnation)

    def was_heard(self, incarnation: str, *, since: int) -> bool:
        """Return whether the server that has a start's id was heard since a time.

        :param since: that time, in ms.
        """
        heard_at = self._heard_at.get(incarnation)
        return heard_at is not None and heard_at >= since

    def record_answer(self, incarnation: str, *, sent_at: int) -> int | None:
        """Record an answer, or a part of one, of the server that has a start's id.

        :param sent_at: when its request was sent, in ms.
        :return: when the last request was sent that is proven to be answered by this
            start, in ms; ``None``: none is.
        """
        if not self._is_listed(incarnation):
            return None
        now = self._heard_at[incarnation] = self._clock.now()
        last = self._breaks.get(incarnation)
        if last is None:
            return sent_at
        if sent_at < last.heard_at and now - last.broken_at > SETTLE_MS:
            del self._breaks[incarnation]
            return sent_at
        answers = last.answers
        if sent_at >= last.heard_at and (
            not answers or now - answers[-1][1] >= SAMPLE_INTERVAL_MS
        ):
            answers.append((sent_at, now))
        self._prove(incarnation, last)
        return last.proven_at

    def is_doubtful(self, incarnation: str) -> bool:
        """Return whether a server has likely started again since its entry was read.

        One that could be connected to all the while has not: a start takes seconds.
        """
        last = self._breaks.get(incarnation)
        if last is None or not last.is_down:
            return False
        self._prove(incarnation, last)
        return incarnation in self._breaks

    def get_doubt_end(self, incarnation: str) -> int:
        """Return when it is likely known whether a server has started again, in ms.

        :return: 0 if it is known.
        """
        if not self.is_doubtful(incarnation):
            return 0
        last = self._breaks[incarnation]
        heartbeat_ms = self._get_heartbeat_ms()
        ends = [last.broken_at + LAPSE_HEARTBEATS * heartbeat_ms]
        ends += [at + heartbeat_ms for _, at in last.answers if at > last.broken_at]
        return max(min(ends) + ENTRY_DELAY_MS, self._clock.now())

    def _is_listed(self, incarnation: str) -> bool:
        return self._listed is None or incarnation in self._listed

    def _prove(self, incarnation: str, last: _Break) -> None:
        """Apply what the newest entries prove."""
        view_at = self._get_view_at()
        if view_at is None:
            return
        heartbeat_ms = self._get_heartbeat_ms()
        alive_at = view_at - LAPSE_HEARTBEATS * heartbeat_ms - ENTRY_DELAY_MS
        same_at = view_at - heartbeat_ms - ENTRY_DELAY_MS
        for sent_at, at in reversed(last.answers):
            if at <= alive_at or last.broken_at < at <= same_at:
                last.proven_at = sent_at
                alive_at = max(alive_at, at)
                break
        while last.answers and last.answers[0][1] <= alive_at:
            last.answers.popleft()
        if last.broken_at < alive_at:
            del self._breaks[incarnation]


def _ignore(_incarnation: str) -> None:
    """Do nothing; default of the callback."""
