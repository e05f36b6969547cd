"""Open-loop load: requests are sent at their arrival times, whatever the latency."""

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
"""Maximum number of requests in flight."""

END_TIMEOUT_S = 60.0
"""Maximum time to wait for answers after the last arrival."""


class RequestRecord(State):
    """One request and all its attempts.

    :param due_at: arrival time in ms, on the clock of :func:`.client.read_clock`.
    :param ended: whether no further attempt will be made.
    """

    arrival: Arrival
    due_at: float
    attempts: list[CallerAttempt] = msgspec.field(default_factory=list)
    ended: bool = False

    def is_complete(self) -> bool:
        """Return whether the last attempt received a complete answer."""
        return bool(self.attempts) and self.attempts[-1].complete

    def is_lost(self) -> bool:
        """Return whether the request has neither a correct answer nor a clear error.

        A request that has not ended is lost, too.
        """
        if not self.ended or not self.attempts:
            return True
        last = self.attempts[-1]
        return not last.correct if last.complete else not (last.refused or last.code)

    def meets_targets(self, *, from_first: bool) -> bool:
        """Return whether the answer is correct and met the latency targets.

        :param from_first: time the first token from the first attempt; otherwise from
            the last one, because a refusal is returned at once and names the time
            of the retry.
        """
        if not self.is_complete() or not self.attempts[-1].correct:
            return False
        last = self.attempts[-1]
        assert last.first_at is not None
        since = self.due_at if from_first or len(self.attempts) == 1 else last.began_at
        between_ms = (last.ended_at - last.first_at) / self.arrival.tokens
        is_prompt = last.first_at - since <= FIRST_TOKEN_TARGET_MS
        return is_prompt and between_ms <= BETWEEN_TOKENS_TARGET_MS


class _Schedule:
    """Priority queue of requests by the time of their next attempt."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.due: list[tuple[float, int, RequestRecord]] = []
        self.open_requests = 0

    def add(self, at: float, record: RequestRecord) -> None:
        with self.lock:
            heapq.heappush(self.due, (at, record.arrival.number, record))
            self.lock.notify_all()


def offer_load(arrivals: Sequence[Arrival], send: SendAttempt) -> list[RequestRecord]:
    """Send all requests at their arrival times and return them when all have ended.

    Retries are sent at the time that the refusal names. No attempt starts later than
    :data:`END_TIMEOUT_S` after the last arrival; requests that have not ended by then
    are returned without further attempts.
    """
    start = read_clock()
    records = [
        RequestRecord(arrival=arrival, due_at=start + arrival.at)
        for arrival in arrivals
    ]
    schedule = _Schedule()
    schedule.open_requests = len(records)
    for record in records:
        schedule.add(record.due_at, record)
    deadline = (
        start + max(arrival.at for arrival in arrivals) + END_TIMEOUT_S * SECOND_MS
    )
    with ThreadPoolExecutor(WORKERS) as pool:
        while schedule.open_requests and read_clock() < deadline:
            chosen = _pop_due(schedule)
            if chosen is not None:
                pool.submit(_send, schedule, chosen, send)
    return records


def _pop_due(schedule: _Schedule) -> RequestRecord | None:
    with schedule.lock:
        if schedule.due:
            wait_ms = schedule.due[0][0] - read_clock()
            if wait_ms <= 0:
                return heapq.heappop(schedule.due)[2]
            schedule.lock.wait(min(wait_ms / SECOND_MS, 0.1))
        else:
            schedule.lock.wait(0.1)
    return None


def _send(schedule: _Schedule, record: RequestRecord, send: SendAttempt) -> None:
    attempt = CallerAttempt(began_at=read_clock())
    try:
        attempt = send(record.arrival, len(record.attempts))
    finally:
        record.attempts.append(attempt)
        retry_at = _get_retry_time(record, attempt)
        if retry_at is not None:
            schedule.add(retry_at, record)
        else:
            record.ended = True
            with schedule.lock:
                schedule.open_requests -= 1
                schedule.lock.notify_all()


def _get_retry_time(record: RequestRecord, attempt: CallerAttempt) -> float | None:
    """Return the time of the caller's retry, or ``None`` if it does not retry."""
    if (
        attempt.complete
        or attempt.retry_after_ms is None
        or len(record.attempts) >= MAX_ATTEMPTS
    ):
        return None
    retry_at = read_clock() + attempt.retry_after_ms
    return retry_at if retry_at <= record.due_at + RETRY_DEADLINE_MS else None
