"""Which parts of prompts crash backend servers.

Requests that crash servers may never be alike and yet share one part of their prompts,
among parts that harmless ones have, too. So a server that breaks off counts as crashed
under each part of the prompts that it had not begun to answer. What acquits a part is
an answer to any prompt with it that is complete, or has been coming for a while: the
cause crashes each server that begins one.

Parts of one prompt are at the same crashes, and so are whole requests. The crashes are
explained by as few causes as possible: by what was never answered before what was, by
what was at more crashes in turn, and by what fewer requests share, which is a request
itself, then the parts that come late in the prompt. What is at no other crashes than
those is not blamed.

What counts as crashes in turn, and what takes one back for a server that is heard
again, is decided in :mod:`arbutuspulley.delivery.crash_records`.
"""

import heapq
from collections.abc import Iterable, Sequence

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.delivery.crash_records import (
    MAX_CRASHES,
    MIN_SERVERS_FOR_TRIAL,
    CrashRecords,
    count_crashes,
    count_in_turn,
    count_servers,
)
from arbutuspulley.rpc.messages import Suspicion

MAX_CRASHES_OF_ANSWERED = 5
"""Number of crashes in turn after which a part is quarantined that was answered before.
It is at crashes by chance more often, as more requests share it."""

ESTABLISHED_MS = SECOND_MS // 2
"""Time after its first event from which on an answer acquits the parts of its prompt,
in ms. A server that the prompt crashes may still send the first events."""


def is_established(begun_at: int | None, *, now: int) -> bool:
    """Return whether an answer has been coming long enough to acquit its prompt.

    :param begun_at: when its first event arrived, in ms; ``None``: none has.
    """
    return begun_at is not None and now - begun_at >= ESTABLISHED_MS


class QuarantinedPart(Value, frozen=True):
    """A part that is not to be sent to servers now.

    :param wait_ms: for how long, in ms.
    """

    part: str
    wait_ms: int


class Verdicts(Value, frozen=True):
    """Which parts explain the crashes that one instance knows of.

    :param guilty: quarantined parts, with the number of crashes in turn that only they
        explain.
    :param based_on: changes of the records from which this was concluded.
    """

    guilty: dict[str, int] = {}
    based_on: tuple[int, int] = (0, 0)


class _Suspect(Value, frozen=True):
    """A request, by its fingerprint, or a part of prompts."""

    name: str
    is_part: bool = True


class _Rank(Value, frozen=True):
    """How likely a suspect is a cause: the likeliest is the least.

    :param count: crashes in turn that nothing else explains.
    """

    was_answered: bool
    count: int
    is_part: bool
    position: int
    name: str

    def __lt__(self, other: "_Rank") -> bool:
        return self._build_key() < other._build_key()

    def _build_key(self) -> tuple[bool, int, bool, int, str]:
        return (
            self.was_answered,
            -self.count,
            self.is_part,
            -self.position,
            self.name,
        )


class PartRecords:
    """Crashes under parts of prompts that one instance knows of.

    Bounds and times are those of :class:`CrashRecords`.

    ``records`` are the crashes under each part by itself.

    :param requests: crashes under whole requests.
    """

    __slots__ = ("_requests", "_verdicts", "records")

    def __init__(self, *, requests: CrashRecords) -> None:
        self._requests = requests
        self.records = CrashRecords()
        self._verdicts = Verdicts()

    def __len__(self) -> int:
        return len(self.records)

    def was_answered(self, part: str) -> bool:
        """Return whether a suspect part was answered before it was at a crash."""
        return self.records.has_completed(part)

    def get_position(self, part: str) -> int:
        """Return the last place of a suspect part in the prompts that had it."""
        suspicion = self.records.find(part)
        return 0 if suspicion is None else suspicion.position

    def count_crashes(self, parts: Iterable[str]) -> tuple[int, ...]:
        """Return how many crashes in turn are known under each part."""
        return tuple(count_crashes(self.records.find(part)) for part in parts)

    def record(
        self,
        parts: Sequence[str],
        *,
        incarnation: str,
        known: Sequence[int],
        now: int,
    ) -> tuple[Suspicion, ...]:
        """Record that a server broke off a prompt that it had hardly begun to answer.

        :param parts: shared parts of the prompt, in order.
        :param known: crashes that were known under each of them when it was sent; none
            under those for which it is not stated.
        :return: what other instances have to know.
        """
        stated = [*known, *(0 for _ in parts)]
        crashes = tuple(
            self.records.build_crash(
                part,
                incarnation=incarnation,
                known=stated[position],
                position=position,
            )
            for position, part in enumerate(parts)
        )
        return self.merge(crashes, now=now)

    def clear(self, parts: Iterable[str], *, now: int) -> tuple[Suspicion, ...]:
        """Record that a server answered a prompt, which acquits all parts of it.

        :return: what other instances have to know.
        """
        cleared = [self.records.clear(part, now=now) for part in parts]
        return tuple(one for one in cleared if one is not None)

    def clear_server(
        self, incarnation: str, *, sent_at: int, now: int
    ) -> tuple[Suspicion, ...]:
        """Take back crashes of a server, as :meth:`CrashRecords.clear_server` does."""
        return self.records.clear_server(incarnation, sent_at=sent_at, now=now)

    def merge(
        self,
        suspicions: Iterable[Suspicion],
        *,
        ages_ms: Iterable[int] = (),
        now: int,
    ) -> tuple[Suspicion, ...]:
        """Merge what another instance knows; the order makes no difference.

        :param ages_ms: how long ago each suspicion changed last, as far as stated.
        :return: those that told something new.
        """
        listed = tuple(suspicions)
        merged = self.records.merge(listed, ages_ms=ages_ms, now=now)
        changed = {one.fingerprint for one in merged}
        return tuple(one for one in listed if one.fingerprint in changed)

    def attest_answered(self, suspicions: Iterable[Suspicion]) -> tuple[Suspicion, ...]:
        """Return what others have to know of suspect parts that were answered here."""
        return self.records.attest_completed(suspicions)

    def select_news(self, suspicions: Iterable[Suspicion]) -> tuple[Suspicion, ...]:
        """Return those that tell something new."""
        return self.records.select_news(suspicions)

    def list_worst(self, count: int) -> list[Suspicion]:
        """Return the parts with the most crashes, and those that changed last."""
        return self.records.list_worst(count)

    def get_age_ms(self, part: str, *, now: int) -> int:
        """Return how long ago the suspicion changed last, in ms."""
        return self.records.get_age_ms(part, now=now)

    def list_guilty(self) -> dict[str, int]:
        """Return the quarantined parts, with the crashes in turn that they explain."""
        return self._judge().guilty

    def find_quarantined(
        self, parts: Iterable[str], *, may_retry: bool, now: int
    ) -> QuarantinedPart | None:
        """Return the part of a prompt for which it is not to be sent now, if any.

        :param may_retry: whether this instance may try a quarantined part once more;
            only one may, as others would do so at the same time.
        """
        guilty = self._judge().guilty
        for part in parts:
            if part not in guilty:
                continue
            wait_ms = self.records.get_retrial_wait_ms(
                part,
                retrials=guilty[part] - self._get_limit(_Suspect(name=part)),
                is_explained=False,
                may_retry=may_retry,
                now=now,
            )
            if wait_ms:
                return QuarantinedPart(part=part, wait_ms=wait_ms)
        return None

    def needs_trial(self, part: str) -> bool:
        """Return whether prompts with a part are to be sent one at a time.

        One that was answered before is not, unless it is quarantined: many prompts may
        share it.
        """
        suspicion = self.records.find(part)
        if suspicion is None:
            return False
        if part in self._judge().guilty:
            return True
        is_suspect = count_servers(suspicion) >= MIN_SERVERS_FOR_TRIAL
        return is_suspect and not self.was_answered(part)

    def _judge(self) -> Verdicts:
        """Return the verdicts on what is known now."""
        based_on = (self.records.changes, self._requests.changes)
        if self._verdicts.based_on != based_on:
            guilty, explained = self._explain_crashes()
            self._verdicts = Verdicts(guilty=guilty, based_on=based_on)
            self._requests.set_explained(explained)
        return self._verdicts

    def _explain_crashes(self) -> tuple[dict[str, int], frozenset[str]]:
        """Find the fewest causes of all crashes, among requests and parts.

        :return: the parts among them, with the crashes in turn that each explains, and
            the servers that crashed by these.
        """
        suspects = {
            _Suspect(name=name, is_part=is_part): crashes
            for is_part, records in ((True, self.records), (False, self._requests))
            for name, crashes in records.list_suspects().items()
        }
        guilty: dict[str, int] = {}
        explained: set[str] = set()
        by_parts: set[str] = set()
        ranked = [
            (self._rank(suspect, count_in_turn(crashes.values())), suspect)
            for suspect, crashes in suspects.items()
        ]
        heapq.heapify(ranked)
        while ranked:
            rank, suspect = heapq.heappop(ranked)
            crashes = suspects[suspect]
            count = count_in_turn(
                depth for one, depth in crashes.items() if one not in explained
            )
            if count < self._get_limit(suspect):
                continue
            if count < rank.count:
                # Others have explained some since; it may not be the next one now.
                heapq.heappush(ranked, (self._rank(suspect, count), suspect))
                continue
            explained.update(crashes)
            if suspect.is_part:
                guilty[suspect.name] = count
                by_parts.update(crashes)
        return guilty, frozenset(by_parts)

    def _get_limit(self, suspect: _Suspect) -> int:
        """Return the number of crashes in turn after which it is quarantined."""
        if suspect.is_part and self.was_answered(suspect.name):
            return MAX_CRASHES_OF_ANSWERED
        return MAX_CRASHES

    def _rank(self, suspect: _Suspect, count: int) -> _Rank:
        records = self.records if suspect.is_part else self._requests
        return _Rank(
            was_answered=records.has_completed(suspect.name),
            count=count,
            is_part=suspect.is_part,
            position=self.get_position(suspect.name) if suspect.is_part else 0,
            name=suspect.name,
        )
