"""Which requests crash backend servers, from the answers that servers broke off.

An instance whose connection to a server breaks can't tell whether the server crashed,
whether the request crashed it, or whether the network between them broke. So each break
counts as a crash under the request, and later evidence takes it back: the same
incarnation of the server answers a request that was sent afterwards, or the request
completes anywhere. What an instance believes about its own network takes nothing back.

Crashes count one after the other: copies of a request that were sent before an earlier
crash was known count as one with it, since a power failure or a network partition ends
them all at once.
"""

import itertools
from collections.abc import Callable, Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.suspects import (
    QUARANTINE_MS,
    SUSPICION_MS,
    build_mark,
    merge_suspicions,
)
from arbutuspulley.rpc.messages import Suspicion

MAX_CRASHES = 3
"""Number of crashes after which a request is quarantined. A harmless request, which is
sent at most twice, can be in flight at two crashes: with a limit of two, one that was
twice in flight beside the cause was quarantined with it."""

RETRIAL_DELAY_MS = 5 * SECOND_MS
"""Time after which a quarantined request that is likely harmless is tried once more, in
ms, doubled for the second time."""

MAX_SOON_RETRIALS = 2
RARE_RETRIAL_DELAY_MS = 600 * SECOND_MS
"""Number of times that such a request is tried again soon, and the delay of any further
time, in ms."""

UNEXPLAINED_RETRIAL_DELAY_MS = 60 * SECOND_MS
"""The same time for a request that nothing speaks for, in ms."""

FIRST_RETRIAL_DELAY_MS = 3 * SECOND_MS // 2
"""The same time before the first try of one that was on several servers that crashed at
once, as in a power failure, in ms."""

AT_ONCE_MS = 50
"""Longest time between the reports of two crashes that happened at once, in ms."""

MAX_RETRIALS = 1
"""Number of times that a quarantined request is tried again if it has never completed.
"""

MAX_COMPLETED = 4_096
"""Number of the requests that completed last that are known by their fingerprints, some
0.2 MB."""

RETRIAL_SPREAD = 1.0
"""Share of that delay over which retrials are spread, so that those of requests that
were at the same crashes do not run together."""

RETRIAL_POLL_MS = SECOND_MS
"""Retry delay while another instance is to try a quarantined request once more, in
ms."""

MIN_SERVERS_FOR_TRIAL = 2
"""Number of servers that have crashed under a request from which on its copies are sent
one at a time."""

TRIAL_MS = 2 * SECOND_MS
"""Longest time for which copies of a request wait for the one that is on trial, in
ms."""

MAX_SUSPECTS = 2_000
"""Maximum number of suspects; a server that crashes adds 64 at once."""

EVICTED_SHARE = 0.1
"""Share of the suspects that are evicted at once when there are too many."""

MAX_MARKS = 32
"""Maximum number of crashes that are kept of one request."""

EVICT_INTERVAL_MS = 10 * SECOND_MS
"""Interval of evicting old suspects, in ms: a scan of 2,000 takes 7 ms, and a server
that crashes adds 64 suspects at once."""

_COMPLETED_MARK = "completed"
"""Entry among the cleared crashes of a request that completed before it was at one."""

_UNSTATED_DEPTH = 1_000
"""Depth of a crash of an instance that states none: it counts by itself."""

_MAX_DEPTH_DIGITS = 9
"""Number of digits of a depth that is read; a longer one counts as not stated."""


def count_crashes(suspicion: Suspicion | None) -> int:
    """Return the number of crashes, one after the other, that are not taken back."""
    if suspicion is None:
        return 0
    return count_in_turn(list_crashes(suspicion).values())


def count_in_turn(depths: Iterable[int]) -> int:
    """Return how many crashes came one after the other.

    :param depths: for each crash, how many were known when the request was sent.
    """
    count = 0
    for depth in sorted(depths):
        if depth >= count:
            count += 1
    return count


def count_servers(suspicion: Suspicion | None) -> int:
    """Return the number of servers that have crashed, at once or one by one."""
    return 0 if suspicion is None else len(list_crashes(suspicion))


def list_crashes(suspicion: Suspicion) -> dict[str, int]:
    """Return the crashes that are not taken back, by the server's incarnation.

    :return: how many were known when the request was sent that was in flight at each.
    """
    depths: dict[str, int] = {}
    for mark in set(suspicion.deaths) - set(suspicion.cleared):
        incarnation, depth = _parse_mark(mark)
        depths[incarnation] = max(depth, depths.get(incarnation, 0))
    return depths


def _parse_mark(mark: str) -> tuple[str, int]:
    incarnation, _, depth = mark.rpartition("/")
    is_stated = depth.isdecimal() and len(depth) <= _MAX_DEPTH_DIGITS
    return incarnation, int(depth) if is_stated else _UNSTATED_DEPTH


class CrashRecords:
    """Crashes that one instance knows of, its own and those of others.

    Times are in ms of the instance's clock. It keeps at most :data:`MAX_SUSPECTS`
    requests, one that is quarantined for :data:`QUARANTINE_MS` and any other for
    :data:`SUSPICION_MS` after its last change.

    ``on_change`` is called with the fingerprint of each one that changes or is dropped,
    ``on_crash`` with the incarnation of each server at a crash that was not known.
    """

    __slots__ = (
        "_changed_at",
        "_completed",
        "_evict_at",
        "_explained",
        "_known_at",
        "_suspects",
        "_suspicions",
        "_trials",
        "changes",
        "on_change",
        "on_crash",
    )

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}
        self._changed_at: dict[str, int] = {}
        # When each crash became known here, by incarnation and fingerprint.
        self._known_at: dict[str, dict[str, int]] = {}
        # Other instances that run a request on trial, and until when that counts.
        self._trials: dict[str, tuple[str, int]] = {}
        # Requests that completed here, the last one at the end.
        self._completed: dict[str, None] = {}
        self._evict_at = 0
        # Those at enough crashes for a quarantine.
        self._suspects: set[str] = set()
        # Incarnations of servers that crashed by something else.
        self._explained: frozenset[str] = frozenset()
        # Number of changes so far.
        self.changes = 0
        self.on_change: Callable[[str], None] = _ignore
        self.on_crash: Callable[[str], None] = _ignore

    def __len__(self) -> int:
        return len(self._suspicions)

    def find(self, fingerprint: str) -> Suspicion | None:
        """Return what is known of a request; ``None``: nothing."""
        return self._suspicions.get(fingerprint)

    def record(
        self, fingerprint: str, *, incarnation: str, known: int, now: int
    ) -> Suspicion:
        """Record that a server broke off a request.

        :param known: number of crashes that were known when the request was sent.
        """
        suspicion = self.build_crash(fingerprint, incarnation=incarnation, known=known)
        self.merge((suspicion,), now=now)
        return self._suspicions.get(fingerprint, suspicion)

    def build_crash(
        self, fingerprint: str, *, incarnation: str, known: int, position: int = 0
    ) -> Suspicion:
        """Build what is to be merged, here and elsewhere, to record one crash."""
        mark = build_mark(server=incarnation, boot_id=str(known))
        return Suspicion(
            fingerprint=fingerprint,
            deaths=(mark,),
            cleared=(_COMPLETED_MARK,) if fingerprint in self._completed else (),
            position=position,
        )

    def clear(self, fingerprint: str, *, now: int) -> Suspicion | None:
        """Record that a request completed, and take back all crashes under it.

        :return: what other instances have to know; ``None``: nothing.
        """
        self._completed.pop(fingerprint, None)
        self._completed[fingerprint] = None
        if len(self._completed) > MAX_COMPLETED:
            del self._completed[next(iter(self._completed))]
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return None
        marks = tuple(set(suspicion.deaths) - set(suspicion.cleared))
        if not marks:
            return None
        cleared = Suspicion(fingerprint=fingerprint, deaths=marks, cleared=marks)
        self.merge((cleared,), now=now)
        return cleared

    def clear_server(
        self, incarnation: str, *, sent_at: int, now: int
    ) -> tuple[Suspicion, ...]:
        """Take back crashes of a server that has answered.

        :param sent_at: when the request was sent that it answered; crashes that became
            known later are not taken back.
        :return: what other instances have to know.
        """
        known = self._known_at.get(incarnation)
        if known is None:
            return ()
        cleared = tuple(
            self._build_cleared(fingerprint, incarnation)
            for fingerprint, known_at in known.items()
            if known_at < sent_at
        )
        self.merge(cleared, now=now)
        return cleared

    def _build_cleared(self, fingerprint: str, incarnation: str) -> Suspicion:
        marks = [
            mark
            for mark in self._suspicions[fingerprint].deaths
            if _parse_mark(mark)[0] == incarnation
        ]
        return Suspicion(
            fingerprint=fingerprint, deaths=tuple(marks), cleared=tuple(marks)
        )

    def merge(
        self,
        suspicions: Iterable[Suspicion],
        *,
        ages_ms: Iterable[int] = (),
        now: int,
    ) -> tuple[Suspicion, ...]:
        """Merge suspicions; the order in which they are merged makes no difference.

        :param ages_ms: how long ago each one changed last, as far as stated.
        :return: those that have changed.
        """
        self._evict_expired(now)
        ages = iter(ages_ms)
        changed = []
        for suspicion in suspicions:
            at = now - max(0, next(ages, 0))
            known = self._suspicions.get(suspicion.fingerprint)
            merged = self._merge_one(suspicion)
            if merged != known:
                self._store(merged, at=at, now=now)
                changed.append(merged)
        self._evict_excess()
        return tuple(changed)

    def _store(self, suspicion: Suspicion, *, at: int, now: int) -> None:
        self.changes += 1
        fingerprint = suspicion.fingerprint
        before = self._suspicions.get(fingerprint)
        self._suspicions[fingerprint] = suspicion
        self._changed_at[fingerprint] = max(at, self._changed_at.get(fingerprint, at))
        crashed = list_crashes(suspicion)
        for mark in () if before is None else before.deaths:
            incarnation, _ = _parse_mark(mark)
            if incarnation not in crashed:
                self._forget_mark(incarnation, fingerprint)
        if count_in_turn(crashed.values()) >= MAX_CRASHES:
            self._suspects.add(fingerprint)
        else:
            self._suspects.discard(fingerprint)
        for incarnation in crashed:
            known = self._known_at.setdefault(incarnation, {})
            if fingerprint not in known:
                known[fingerprint] = now
                self.on_crash(incarnation)
        self.on_change(fingerprint)

    def list_names(self) -> list[str]:
        """Return the fingerprints of all suspects."""
        return list(self._suspicions)

    def list_worst(self, count: int) -> list[Suspicion]:
        """Return the requests with the most crashes, and those that changed last.

        Those of which all crashes were taken back come last; an instance that has not
        heard of that has to.
        """
        ranked = sorted(
            self._suspicions.values(),
            key=lambda one: (count_crashes(one), self._changed_at[one.fingerprint]),
            reverse=True,
        )
        return ranked[:count]

    def attest_completed(
        self, suspicions: Iterable[Suspicion]
    ) -> tuple[Suspicion, ...]:
        """Return what others have to know of suspects that completed here before.

        :param suspicions: as told by another instance, which may not know of it.
        """
        return tuple(
            Suspicion(fingerprint=one.fingerprint, cleared=(_COMPLETED_MARK,))
            for one in suspicions
            if one.deaths
            and one.fingerprint in self._completed
            and not self.has_completed(one.fingerprint)
        )

    def get_age_ms(self, fingerprint: str, *, now: int) -> int:
        """Return how long ago the suspicion changed last, in ms."""
        return now - self._changed_at.get(fingerprint, now)

    def list_suspects(self) -> dict[str, dict[str, int]]:
        """Return the crashes of those that were at enough of them for a quarantine."""
        return {
            fingerprint: list_crashes(self._suspicions[fingerprint])
            for fingerprint in self._suspects
        }

    def set_explained(self, incarnations: frozenset[str]) -> None:
        """Set which servers crashed by something else."""
        self._explained = incarnations

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is not to be run any more."""
        return fingerprint in self._suspects

    def get_wait_ms(self, fingerprint: str, *, may_retry: bool, now: int) -> int:
        """Return for how long a request is not to be run, in ms; 0: it may run.

        :param may_retry: whether this instance may try a quarantined request once more;
            only one may, as others would do so at the same time.

        A harmless request that many callers send may be in flight at each crash that
        another one, or a power failure, causes. Only a further run tells them apart.
        """
        if not self.is_quarantined(fingerprint):
            return 0
        suspicion = self._suspicions[fingerprint]
        return self.get_retrial_wait_ms(
            fingerprint,
            retrials=count_crashes(suspicion) - MAX_CRASHES,
            is_explained=self._is_explained(suspicion),
            may_retry=may_retry,
            now=now,
        )

    def get_retrial_wait_ms(
        self,
        fingerprint: str,
        *,
        retrials: int,
        is_explained: bool,
        may_retry: bool,
        now: int,
    ) -> int:
        """Return for how long a suspect that is quarantined is not to be run, in ms.

        :param retrials: how often it was tried again.
        :param is_explained: whether others explain its crashes.
        :param may_retry: whether this instance may try it once more.
        """
        expiry_ms = max(0, self.get_time_to_expiry_ms(fingerprint, now=now))
        is_likely_harmless = is_explained or self.has_completed(fingerprint)
        may_be_outage = self._was_on_several(fingerprint)
        max_retrials = MAX_RETRIALS + may_be_outage
        if retrials >= max_retrials and not is_likely_harmless:
            return expiry_ms
        if retrials >= MAX_SOON_RETRIALS:
            delay_ms = RARE_RETRIAL_DELAY_MS
        elif retrials == 0 and may_be_outage and not is_explained:
            # One that others explain waits longer, until they have been tried again.
            delay_ms = FIRST_RETRIAL_DELAY_MS
        elif is_likely_harmless:
            delay_ms = RETRIAL_DELAY_MS << retrials
        else:
            delay_ms = UNEXPLAINED_RETRIAL_DELAY_MS
        retrial_at = self._changed_at[fingerprint] + _spread(delay_ms, fingerprint)
        least_ms = 0 if may_retry else RETRIAL_POLL_MS
        return min(expiry_ms, max(least_ms, retrial_at - now))

    def _was_on_several(self, fingerprint: str) -> bool:
        """Return whether servers that crashed at once had a suspect in flight.

        It may be the cause on each of them, or a power failure may have ended them all.
        """
        crashes = sorted(
            (depth, self._known_at[incarnation][fingerprint])
            for incarnation, depth in list_crashes(
                self._suspicions[fingerprint]
            ).items()
        )
        return any(
            depth == later_depth and later - earlier <= AT_ONCE_MS
            for (depth, earlier), (later_depth, later) in itertools.pairwise(crashes)
        )

    def has_completed(self, fingerprint: str) -> bool:
        """Return whether a suspect completed before it was at a crash."""
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and _COMPLETED_MARK in suspicion.cleared

    def select_news(self, suspicions: Iterable[Suspicion]) -> tuple[Suspicion, ...]:
        """Return those that :meth:`merge` would change something by."""
        return tuple(
            one
            for one in suspicions
            if self._merge_one(one) != self._suspicions.get(one.fingerprint)
        )

    def _merge_one(self, suspicion: Suspicion) -> Suspicion:
        known = self._suspicions.get(suspicion.fingerprint)
        return _truncate(merge_suspicions(known, suspicion))

    def _is_explained(self, suspicion: Suspicion) -> bool:
        """Return whether each of its crashes is that of something else.

        That is another quarantined request, or what :meth:`set_explained` names.
        """
        return all(
            incarnation in self._explained
            or any(
                self.is_quarantined(other)
                for other in self._known_at.get(incarnation, ())
                if other != suspicion.fingerprint
            )
            for incarnation in list_crashes(suspicion)
        )

    def needs_trial(self, fingerprint: str) -> bool:
        """Return whether copies of a request are to be sent one at a time."""
        servers = count_servers(self._suspicions.get(fingerprint))
        return servers >= MIN_SERVERS_FOR_TRIAL

    def record_trial(self, fingerprint: str, instance: str, *, now: int) -> None:
        """Record that another instance sends a copy of a request."""
        if len(self._trials) < MAX_SUSPECTS:
            self._trials[fingerprint] = (instance, now + TRIAL_MS)

    def end_trial(self, fingerprint: str, instance: str) -> None:
        """Record that another instance's copy of a request has ended."""
        if self._trials.get(fingerprint, ("", 0))[0] == instance:
            del self._trials[fingerprint]

    def is_on_trial(self, fingerprint: str, *, now: int) -> bool:
        """Return whether another instance runs a copy of a request."""
        return now < self._trials.get(fingerprint, ("", 0))[1]

    def get_time_to_expiry_ms(self, fingerprint: str, *, now: int) -> int:
        """Return the time in ms until a suspicion expires if unchanged."""
        life_ms = QUARANTINE_MS if self.is_quarantined(fingerprint) else SUSPICION_MS
        return self._changed_at[fingerprint] + life_ms - now

    def _evict_expired(self, now: int) -> None:
        if now < self._evict_at:
            return
        self._evict_at = now + EVICT_INTERVAL_MS
        for fingerprint in list(self._suspicions):
            if self.get_time_to_expiry_ms(fingerprint, now=now) <= 0:
                self._forget(fingerprint)
        for fingerprint, (_, until) in list(self._trials.items()):
            if until <= now:
                del self._trials[fingerprint]

    def _evict_excess(self) -> None:
        """Evict the oldest of those requests that have been at the fewest crashes."""
        if len(self._suspicions) <= MAX_SUSPECTS:
            return
        ranked = sorted(
            self._suspicions,
            key=lambda one: (
                count_crashes(self._suspicions[one]),
                self._changed_at[one],
            ),
        )
        excess = len(ranked) - MAX_SUSPECTS
        for fingerprint in ranked[: excess + int(MAX_SUSPECTS * EVICTED_SHARE)]:
            self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        self.changes += 1
        suspicion = self._suspicions.pop(fingerprint)
        self._suspects.discard(fingerprint)
        del self._changed_at[fingerprint]
        self._trials.pop(fingerprint, None)
        for mark in suspicion.deaths:
            self._forget_mark(_parse_mark(mark)[0], fingerprint)
        self.on_change(fingerprint)

    def _forget_mark(self, incarnation: str, fingerprint: str) -> None:
        known = self._known_at.get(incarnation)
        if known is None:
            return
        known.pop(fingerprint, None)
        if not known:
            del self._known_at[incarnation]


def _ignore(_name: str) -> None:
    """Do nothing; default of the callbacks."""


def _spread(delay_ms: int, fingerprint: str) -> int:
    """Prolong a delay by a share that depends on the request, alike everywhere."""
    share = int(fingerprint[:4], 16) / 0xFFFF
    return int(delay_ms * (1 + RETRIAL_SPREAD * share))


def _truncate(suspicion: Suspicion) -> Suspicion:
    """Keep only so many crashes of a request, those that count most."""
    if len(suspicion.deaths) <= MAX_MARKS and len(suspicion.cleared) <= MAX_MARKS:
        return suspicion
    cleared = set(suspicion.cleared)
    ranked = sorted(
        suspicion.deaths, key=lambda mark: (mark in cleared, -_parse_mark(mark)[1])
    )
    kept = ranked[:MAX_MARKS]
    return Suspicion(
        fingerprint=suspicion.fingerprint,
        deaths=tuple(sorted(kept)),
        cleared=tuple(sorted(cleared.intersection((*kept, _COMPLETED_MARK)))),
        clear=cleared.issuperset(kept),
        position=suspicion.position,
    )
