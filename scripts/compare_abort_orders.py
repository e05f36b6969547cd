"""Compares in which order answers are aborted for the bound on memory.

Run it as ``python -m scripts.compare_abort_orders [SEED]``. The same arrivals are
played for each order, without a network, in steps of 50 ms: answers of several kinds
and sizes, a third of them to callers that don't read. It prints how many of each were
aborted.
"""

import random
import sys
from collections import Counter
from collections.abc import Callable

from arbutuspulley.platform.memory_bound import AnswerKind, HeldAnswer, choose_aborted

BOUND = 26_666_666

STEP_S = 0.05

STEPS = 2_400

READ_BYTES = 256 * 1_024
"""Bytes that arrive for an answer in each step."""

UNREAD_BYTES = 900_000
"""What a stream whose caller doesn't read leaves at the node before reading pauses."""

STALL_STEPS = 100
"""Steps after which a caller that doesn't read leaves."""

KINDS = (AnswerKind.RESUMABLE, AnswerKind.REPEATABLE, AnswerKind.ONCE)

Choose = Callable[[list[HeldAnswer], HeldAnswer, int, float], list[HeldAnswer]]


class _Played:
    """One answer of the arrivals, and its caller."""

    __slots__ = ("answer", "is_slow", "kind", "length", "received", "steps")

    def __init__(self, rng: random.Random, number: int) -> None:
        self.kind = rng.choices(KINDS, (6, 3, 1))[0]
        self.is_slow = rng.random() < 1 / 3
        is_stream = self.kind is AnswerKind.RESUMABLE
        self.length = rng.choice((1, 4, 8) if is_stream else (1, 2, 4)) * 1_000_000
        self.received = self.steps = 0
        self.answer = HeldAnswer(attempt_id=str(number), get_kind=self.get_kind)

    def get_kind(self) -> AnswerKind:
        is_complete = self.received >= self.length
        if self.kind is AnswerKind.ONCE and is_complete:
            return AnswerKind.COMPLETE
        return self.kind

    def advance(self, now: float) -> bool:
        """Play one step; return whether the answer has ended."""
        answer = self.answer
        self.steps += 1
        is_stream = self.kind is AnswerKind.RESUMABLE
        if not is_stream or not self.is_slow or self.received < UNREAD_BYTES:
            self.received = min(self.length, self.received + READ_BYTES)
        is_complete = self.received >= self.length
        if is_stream:
            answer.size = self.received if self.is_slow else READ_BYTES // 2
        else:
            answer.size = self.received
        answer.unsent = (
            answer.size if self.is_slow and (is_stream or is_complete) else 0
        )
        if not answer.unsent or self.steps * READ_BYTES <= self.length:
            answer.moved_at = now
        return (is_complete and not self.is_slow) or self.steps > STALL_STEPS


def _choose_growing(
    _answers: list[HeldAnswer], grown: HeldAnswer, _excess: int, _now: float
) -> list[HeldAnswer]:
    return [grown]


def _choose_largest(
    answers: list[HeldAnswer], _grown: HeldAnswer, excess: int, _now: float
) -> list[HeldAnswer]:
    return _take(sorted(answers, key=lambda one: -one.size), excess)


def _choose_by_kind(
    answers: list[HeldAnswer], _grown: HeldAnswer, excess: int, _now: float
) -> list[HeldAnswer]:
    able = [one for one in answers if one.get_kind() is not AnswerKind.COMPLETE]
    able.sort(key=lambda one: (KINDS.index(one.get_kind()), -one.size))
    return _take(able, excess)


def _choose_stalled(
    answers: list[HeldAnswer], _grown: HeldAnswer, excess: int, now: float
) -> list[HeldAnswer]:
    return choose_aborted(answers, excess=excess, now=now)


def _take(answers: list[HeldAnswer], excess: int) -> list[HeldAnswer]:
    taken = []
    for answer in answers:
        if excess <= 0:
            break
        taken.append(answer)
        excess -= answer.size
    return taken


def _play(choose: Choose, seed: int) -> tuple[Counter[str], int]:
    rng = random.Random(seed)
    active: dict[str, _Played] = {}
    aborted: Counter[str] = Counter()
    most = 0
    for step in range(STEPS):
        now = step * STEP_S
        for _ in range(rng.randrange(4)):
            played = _Played(rng, len(aborted) + step * 10 + rng.randrange(10**9))
            active[played.answer.attempt_id] = played
        for name, played in list(active.items()):
            if name not in active:
                continue
            if played.advance(now):
                del active[name]
                continue
            total = sum(one.answer.size for one in active.values())
            if total <= BOUND:
                continue
            answers = [one.answer for one in active.values()]
            for answer in choose(answers, played.answer, total - BOUND, now):
                lost = active.pop(answer.attempt_id)
                pace = "slow" if lost.is_slow else "fast"
                aborted[f"{lost.get_kind().value}, {pace}"] += 1
        most = max(most, sum(one.answer.size for one in active.values()))
    return aborted, most


def main() -> None:
    """Print the aborted answers for each order."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for name, choose in (
        ("the answer that grows", _choose_growing),
        ("the largest", _choose_largest),
        ("by kind, then the largest", _choose_by_kind),
        ("callers that don't read, by kind", _choose_stalled),
    ):
        aborted, most = _play(choose, seed)
        shown = ", ".join(f"{kind}: {aborted[kind]}" for kind in sorted(aborted))
        fast = sum(count for kind, count in aborted.items() if kind.endswith("fast"))
        print(f"{name}: {sum(aborted.values())}, fast {fast}, most held {most} bytes")
        print(f"  {shown}")


if __name__ == "__main__":
    main()
