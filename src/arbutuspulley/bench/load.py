"""Open-loop load: requests are asked when they arrive, however the others fare."""

import heapq
import threading
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import msgspec

from arbutuspulley.bench.client import CallerAttempt, SendAttempt, read_clock
from arbutuspulley.bench.workloads import (
    BETWEEN_TOKENS_TARGET_MS,
    FIRST_TOKEN_TARGET_MS,
    MAX_ATTEMPTS,
    RETRY_DEADLINE_MS,
    Arrival,
)
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State

WORKERS = 400
"""Requests that the load tool has open at most."""

END_TIMEOUT_S = 60.0
"""Longest wait for the last answers."""


class RequestRecord(State):
    """One request and all its tries.

    :param due_at: when it arrived, on the clock of the run.
    """

    arrival: Arrival
    due_at: float
    attempts: list[CallerAttempt] = msgspec.field(default_factory=list)
    ended: bool = False

    def is_whole(self) -> bool:
        """Whether its answer came."""
        return bool(self.attempts) and self.attempts[-1].whole

    def is_lost(self) -> bool:
        """Whether it ended neither whole and right nor with a plain refusal."""
        if not self.ended or not self.attempts:
            return True
        last = self.attempts[-1]
        return not last.correct if last.whole else not (last.refused or last.code)

    def meets_targets(self, *, from_first: bool) -> bool:
        """Whether its answer met the targets.

        :param from_first: count the first token from the first try; else from the
            last one, since a refused caller is answered at once and told when to
            come back.
        """
        if not self.is_whole() or not self.attempts[-1].correct:
            return False
        last = self.attempts[-1]
        assert last.first_at is not None
        since = self.due_at if from_first or len(self.attempts) == 1 else last.began_at
        between_ms = (last.ended_at - last.first_at) / self.arrival.tokens
        is_prompt = last.first_at - since <= FIRST_TOKEN_TARGET_MS
        return is_prompt and between_ms <= BETWEEN_TOKENS_TARGET_MS


class _Plan:
    """Requests that are due at some time, by time."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.due: list[tuple[float, int, RequestRecord]] = []
        self.open = 0

    def add(self, at: float, asked: RequestRecord) -> None:
        with self.lock:
            heapq.heappush(self.due, (at, asked.arrival.number, asked))
            self.lock.notify_all()


def offer_load(
    arrivals: Sequence[Arrival], attempt: SendAttempt
) -> list[RequestRecord]:
    """Ask all requests at their times and return them once the last has ended."""
    start = read_clock()
    everything = [RequestRecord(arrival=one, due_at=start + one.at) for one in arrivals]
    plan = _Plan()
    plan.open = len(everything)
    for asked in everything:
        plan.add(asked.due_at, asked)
    give_up_at = start + max(one.at for one in arrivals) + END_TIMEOUT_S * SECOND_MS
    with ThreadPoolExecutor(WORKERS) as pool:
        while plan.open and read_clock() < give_up_at:
            chosen = _take_due(plan)
            if chosen is not None:
                pool.submit(_ask, plan, chosen, attempt)
    return everything


def _take_due(plan: _Plan) -> RequestRecord | None:
    with plan.lock:
        if plan.due:
            wait_ms = plan.due[0][0] - read_clock()
            if wait_ms <= 0:
                return heapq.heappop(plan.due)[2]
            plan.lock.wait(min(wait_ms / SECOND_MS, 0.1))
        else:
            plan.lock.wait(0.1)
    return None


def _ask(plan: _Plan, asked: RequestRecord, attempt: SendAttempt) -> None:
    one = CallerAttempt(began_at=read_clock())
    try:
        one = attempt(asked.arrival, len(asked.attempts))
    finally:
        asked.attempts.append(one)
        again_at = _choose_return(asked, one)
        if again_at is not None:
            plan.add(again_at, asked)
        else:
            asked.ended = True
            with plan.lock:
                plan.open -= 1
                plan.lock.notify_all()


def _choose_return(asked: RequestRecord, one: CallerAttempt) -> float | None:
    """Return when the caller comes back, or ``None`` if it does not."""
    if one.whole or one.retry_after_ms is None or len(asked.attempts) >= MAX_ATTEMPTS:
        return None
    again_at = read_clock() + one.retry_after_ms
    return again_at if again_at <= asked.due_at + RETRY_DEADLINE_MS else None
