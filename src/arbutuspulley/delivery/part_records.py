"""Which parts of prompts crash backend servers.

Requests that crash servers may never be alike and yet share one part of their prompts,
among parts that harmless ones have, too. So a server that breaks off counts as crashed
under each part of the prompts that it had not begun to answer. What acquits a part is
an answer to any prompt with it that is complete, or has been coming for a while: the
cause crashes each server that begins one.

Parts of one prompt are at the same crashes. The crashes are explained by as few causes
as possible: first by requests that are quarantined themselves, then by parts that were
never answered before those that were, by those that are at more crashes in turn, and by
those later in the prompt, which fewer requests share. A part of which the crashes are
explained by others is not blamed.

What counts as crashes in turn, and what takes one back for a server that is heard
again, is decided in :mod:`arbutuspulley.delivery.crash_records`.
"""

from collections.abc import Iterable, Sequence

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.delivery.crash_records import (
    MAX_CRASHES,
    MIN_SERVERS_FOR_TRIAL,
    CrashRecords,
    count_crashes,
    count_in_turn,
    list_crashes,
)
from arbutuspulley.rpc.messages import Suspicion

MAX_CRASHES_OF_ANSWERED = 5
"""Number of crashes in turn after which a part is quarantined that was answered before.
It is at crashes by chance more often, as more requests share it."""

ESTABLISHED_MS = SECOND_MS // 2
"""Time after its first event from which on an answer acquits the parts of its prompt,
in ms. A server that the prompt crashes may still send the first events."""


class QuarantinedPart(Value, frozen=True):
    """A part that is not to be sent to servers now.

    :param wait_ms: for how long, in ms.
    """

    part: str
    wait_ms: int


class Verdicts(Value, frozen=True):
    """What explains the crashes that one instance knows of.

    :param guilty: quarantined parts, with the number of crashes in turn that only they
        explain.
    :param explained: incarnations of servers whose crashes are explained, by these or
        by quarantined requests.
    :param based_on: changes of the records from which this was concluded.
    """

    guilty: dict[str, int] = {}
    explained: frozenset[str] = frozenset()
    based_on: tuple[int, int] = (0, 0)


class PartRecords:
    """Crashes under parts of prompts that one instance knows of.

    Bounds and times are those of :class:`CrashRecords`.

    :param requests: crashes under whole requests.
    """

    __slots__ = ("_records", "_requests", "_suspects", "_verdicts")

    def __init__(self, *, requests: CrashRecords) -> None:
        self._requests = requests
        self._records = CrashRecords()
        # Parts at so many crashes that they may be quarantined.
        self._suspects: set[str] = set()
        self._verdicts = Verdicts()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, part: str) -> Suspicion | None:
        """Return what is known of a part; ``None``: nothing."""
        return self._records.find(part)

    def was_answered(self, part: str) -> bool:
        """Return whether a suspect part was answered before it was at a crash."""
        return self._records.has_completed(part)

    def get_position(self, part: str) -> int:
        """Return the last place of a suspect part in the prompts that had it."""
        suspicion = self._records.find(part)
        return 0 if suspicion is None else suspicion.position

    def count_crashes(self, parts: Iterable[str]) -> tuple[int, ...]:
        """Return how many crashes in turn are known under each part."""
        return tuple(count_crashes(self._records.find(part)) for part in parts)

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
            self._records.build_crash(
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
        cleared = [self._records.clear(part, now=now) for part in parts]
        known = tuple(one for one in cleared if one is not None)
        self._update_suspects(known)
        return known

    def clear_server(
        self, incarnation: str, *, sent_at: int, now: int
    ) -> tuple[Suspicion, ...]:
        """Take back crashes of a server, as :meth:`CrashRecords.clear_server` does."""
        cleared = self._records.clear_server(incarnation, sent_at=sent_at, now=now)
        self._update_suspects(cleared)
        return cleared

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
        news = self._records.select_news(listed)
        self._records.merge(listed, ages_ms=ages_ms, now=now)
        self._update_suspects(news)
        return news

    def _update_suspects(self, changed: Iterable[Suspicion]) -> None:
        for one in changed:
            part = one.fingerprint
            if count_crashes(self._records.find(part)) >= MAX_CRASHES:
                self._suspects.add(part)
            else:
                self._suspects.discard(part)

    def select_news(self, suspicions: Iterable[Suspicion]) -> tuple[Suspicion, ...]:
        """Return those that tell something new."""
        return self._records.select_news(suspicions)

    def list_worst(self, count: int) -> list[Suspicion]:
        """Return the parts with the most crashes, and those that changed last."""
        return self._records.list_worst(count)

    def get_age_ms(self, part: str, *, now: int) -> int:
        """Return how long ago the suspicion changed last, in ms."""
        return self._records.get_age_ms(part, now=now)

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
            wait_ms = self._records.get_retrial_wait_ms(
                part,
                retrials=guilty[part] - self._get_limit(part),
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
        suspicion = self._records.find(part)
        if suspicion is None:
            return False
        verdicts = self._judge()
        if part in verdicts.guilty:
            return True
        unexplained = list_crashes(suspicion).keys() - verdicts.explained
        is_suspect = len(unexplained) >= MIN_SERVERS_FOR_TRIAL
        return is_suspect and not self.was_answered(part)

    def _get_limit(self, part: str) -> int:
        """Return the number of crashes in turn after which a part is quarantined."""
        if self.was_answered(part):
            return MAX_CRASHES_OF_ANSWERED
        return MAX_CRASHES

    def _judge(self) -> Verdicts:
        """Return the verdicts on what is known now."""
        based_on = (self._records.changes, self._requests.changes)
        if self._verdicts.based_on != based_on:
            guilty, explained = self._explain_crashes()
            self._verdicts = Verdicts(
                guilty=guilty, explained=frozenset(explained), based_on=based_on
            )
        return self._verdicts

    def _explain_crashes(self) -> tuple[dict[str, int], set[str]]:
        """Find the fewest parts that explain what no quarantined request does."""
        found = (self._records.find(part) for part in self._suspects)
        suspects = {one.fingerprint: list_crashes(one) for one in found if one}
        incarnations = {one for crashes in suspects.values() for one in crashes}
        explained = {
            one for one in incarnations if self._requests.is_crash_explained(one)
        }
        guilty: dict[str, int] = {}
        while suspects:
            counts = {
                part: count_in_turn(
                    depth for one, depth in crashes.items() if one not in explained
                )
                for part, crashes in suspects.items()
            }
            suspects = {
                part: crashes
                for part, crashes in suspects.items()
                if counts[part] >= self._get_limit(part)
            }
            if not suspects:
                break
            worst = max(suspects, key=lambda part: self._rank(part, counts[part]))
            guilty[worst] = counts[worst]
            explained.update(suspects.pop(worst))
        return guilty, explained

    def _rank(self, part: str, count: int) -> tuple[bool, int, int, str]:
        position = self.get_position(part)
        return not self.was_answered(part), count, position, part
