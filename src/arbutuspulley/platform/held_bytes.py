"""Bytes that a process holds for its callers, and the bound on them."""

import asyncio
import contextlib
import functools
from collections.abc import Callable, Iterator
from typing import Any

from arbutuspulley.platform.memory_bound import (
    MAX_PAUSE_MS,
    AnswerKind,
    Held,
    HeldAnswer,
    HeldConnection,
    choose_aborted,
    compute_bound,
    may_read,
)
from arbutuspulley.ports.answers import AnswerEnd

MAX_HELD_BYTES = 8 * 1_024 * 1_024
"""Maximum size of what is held of one answer until it can be forwarded, in bytes: a
body that is read as a whole, or an event."""

MAX_ALL_HELD_BYTES = 64 * 1_024 * 1_024
"""Maximum size of what is held for all clients, in bytes."""

MEASURE_INTERVAL_S = 0.05
"""How often all answers are measured while the total is within the bound, in s."""

MAX_STALL_STEP_S = 0.05
"""How much one turn of the event loop counts at most for the time in which a caller
takes nothing, in s. Connections are written once in a turn. On a machine with other
load a turn took up to 1.9 s, after which callers that read looked like others."""

PAUSE_POLL_S = 0.02
"""Interval at which an answer that is not read yet looks for room, in s."""


class BrokenError(Exception):
    """The connection failed after bytes may have been sent; it may have run.

    :param end: how the answer ended.
    """

    def __init__(self, detail: str, *, end: AnswerEnd) -> None:
        super().__init__(detail)
        self.end = end


class AnswerAbandonedError(Exception):
    """This process gave up an answer to stay within its memory."""


class HeldBytes:
    """Bytes that are held for clients, and the bound on them.

    It counts what is unread from servers, what is unsent to clients and what has been
    received from them. What gives way over the bound is chosen by
    :func:`choose_aborted`.

    :param get_memory_mb: returns the memory of the process, in MB; 0: unknown.
    :param on_abort: called with each answer that is aborted for the bound.
    :param on_pause: called with each answer that was not read for a while, and how long
        that was, in ms.

    :ivar total: size of all of them.
    """

    __slots__ = (
        "_answers",
        "_connections",
        "_get_memory_mb",
        "_has_turned",
        "_measured_at",
        "_on_abort",
        "_on_pause",
        "_stall_clock",
        "_turned_at",
        "total",
    )

    def __init__(
        self,
        *,
        get_memory_mb: Callable[[], float] = lambda: 0.0,
        on_abort: Callable[[HeldAnswer], None] = lambda _: None,
        on_pause: Callable[[HeldAnswer, int], None] = lambda _, __: None,
    ) -> None:
        self._answers: dict[HeldAnswer, None] = {}
        # By the identity of their transports.
        self._connections: dict[int, HeldConnection] = {}
        self._get_memory_mb = get_memory_mb
        self._has_turned = True
        self._measured_at = 0.0
        self._on_abort = on_abort
        self._on_pause = on_pause
        self._stall_clock = 0.0
        self._turned_at = 0.0
        self.total = 0

    @property
    def bound(self) -> int:
        """Maximum size of what is held for all clients, in bytes."""
        return compute_bound(self._get_memory_mb(), most=MAX_ALL_HELD_BYTES)

    def change(self, *, before: int, now: int) -> None:
        """Record how much is held of one answer that can't be aborted.

        :raises BrokenError: if that has become too much.
        """
        self.total += now - before
        is_excess = now > MAX_HELD_BYTES or self.total > self.bound
        if now > before and is_excess:
            raise BrokenError(
                f"{now} bytes to hold, beside {self.total - now} of other answers",
                end=AnswerEnd.INVALID,
            )

    def add_connection(self, connection: HeldConnection) -> None:
        """Count a client's connection, which is open."""
        self._connections[id(connection.transport)] = connection
        self._measure(connection, self._read_stall_clock())

    def remove_connection(self, connection: HeldConnection) -> None:
        """Stop to count a client's connection."""
        if self._is_counted(connection):
            del self._connections[id(connection.transport)]
            self.total -= connection.size
            connection.size = 0
        connection.answer = None

    def record_received(self, connection: HeldConnection) -> None:
        """Measure a connection on which bytes were received."""
        if not self._is_counted(connection):
            return
        now = self._read_stall_clock()
        connection.received_at = now
        self._measure(connection, now)
        self._enforce(now)

    def enforce(self) -> None:
        """Measure all, and abort what exceeds the bound."""
        now = self._read_stall_clock()
        self._measure_all(now)
        self._make_room(now)

    def find_room(self, size: int) -> bool:
        """Return whether there is room for further bytes of a client.

        What is held for clients that don't go on makes room for them.
        """
        if self.total + size > self.bound:
            now = self._read_stall_clock()
            self._measure_all(now)
            self._abort_excess(self.total + size - self.bound, now, is_stalled=True)
        return self.total + size <= self.bound

    @contextlib.contextmanager
    def reading(self, answer: HeldAnswer) -> Iterator[None]:
        """Count an answer while this task reads it.

        :raises AnswerAbandonedError: if it was aborted for the bound.
        """
        task = asyncio.current_task()
        if task is not None:
            answer.abort = functools.partial(_cancel, task)
        self._add(answer)
        try:
            yield
        except BaseException as error:
            self.remove(answer)
            if not isinstance(error, asyncio.CancelledError) or not answer.is_aborted:
                raise
            # If the time is up or the caller has left as well, that comes first.
            if task is not None and task.uncancel() > 0:
                raise
            raise AnswerAbandonedError("out of memory for answers") from None

    def update(self, answer: HeldAnswer, held: int) -> None:
        """Record how much is held of an answer that this task reads.

        :param held: bytes that were read and have not been forwarded.
        :raises BrokenError: if that is too much for one answer.
        :raises AnswerAbandonedError: if the answer has to be aborted for the bound.
        """
        answer.held = held
        if answer not in self._answers:
            return
        now = self._read_stall_clock()
        answer.moved_at = now
        self._measure(answer, now)
        if held > MAX_HELD_BYTES:
            raise BrokenError(f"{held} bytes to hold", end=AnswerEnd.INVALID)
        if held > self.bound // 2:
            self._abort(answer)
            raise AnswerAbandonedError("out of memory for this answer")
        self._enforce(now, current=answer)

    def complete(self, answer: HeldAnswer) -> None:
        """Count an answer that was received until it is sent.

        Its task may have ended; the caller's connection tells when nothing is left.
        """
        answer.content, answer.is_received = None, True
        transport = answer.transport
        if transport is not None:
            answer.abort = transport.abort
        self.record_unsent(answer)

    def record_unsent(self, answer: HeldAnswer) -> None:
        """Measure an answer of which a further slice is being sent."""
        if answer in self._answers:
            answer.moved_at = self._read_stall_clock()
            self._measure(answer, answer.moved_at)

    def remove(self, answer: HeldAnswer) -> None:
        """Stop to count an answer, but for what is unsent of a complete one."""
        if answer not in self._answers:
            return
        answer.held = answer.planned = 0
        answer.content = None
        if answer.is_received and not answer.is_aborted:
            answer.get_kind = _get_complete
            self._measure(answer, self._read_stall_clock())
            if answer.size:
                return
        self._drop(answer)

    async def wait_for_room(self, answer: HeldAnswer, *, expected: int) -> None:
        """Wait until a new answer may be read, but no longer than servers let it wait.

        :param expected: its length in bytes; 0: unknown.
        :raises AnswerAbandonedError: if it has to be aborted for the bound.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while True:
            now = self._read_stall_clock()
            self._measure_all(now)
            self._make_room(now, current=answer)
            answers = list(self._answers)
            # What is held of requests and connections is not there for answers.
            others = self.total - sum(one.size for one in answers)
            bound = self.bound - others
            if may_read(answer, answers, expected=expected, bound=bound):
                break
            if loop.time() - began_at > MAX_PAUSE_MS / 1_000:
                break
            await asyncio.sleep(PAUSE_POLL_S)
        answer.planned = expected
        paused_ms = int((loop.time() - began_at) * 1_000)
        if paused_ms >= PAUSE_POLL_S * 1_000:
            self._on_pause(answer, paused_ms)

    def _read_stall_clock(self) -> float:
        """Return the clock by which callers that take nothing are told, in s.

        It advances only as this process has had turns in which it could write to them.
        """
        if self._has_turned:
            loop = asyncio.get_running_loop()
            now = loop.time()
            self._stall_clock += min(MAX_STALL_STEP_S, now - self._turned_at)
            self._turned_at = now
            self._has_turned = False
            loop.call_soon(self._record_turn)
        return self._stall_clock

    def _record_turn(self) -> None:
        self._has_turned = True

    def _enforce(self, now: float, *, current: HeldAnswer | None = None) -> None:
        """Abort what exceeds the bound; all is measured again now and then."""
        time = asyncio.get_running_loop().time()
        if self.total > self.bound or time - self._measured_at > MEASURE_INTERVAL_S:
            self._measured_at = time
            self._measure_all(now)
            self._make_room(now, current=current)

    def _make_room(self, now: float, *, current: HeldAnswer | None = None) -> None:
        """Abort what exceeds the bound.

        :param current: answer that this task reads.
        :raises AnswerAbandonedError: if that is aborted.
        """
        self._abort_excess(self.total - self.bound, now, current=current)
        if current is not None and current.is_aborted:
            raise AnswerAbandonedError("out of memory for answers")

    def _abort_excess(
        self,
        excess: int,
        now: float,
        *,
        current: HeldAnswer | None = None,
        is_stalled: bool = False,
    ) -> None:
        if excess <= 0:
            return
        held: list[Held] = [*self._answers, *self._connections.values()]
        chosen = choose_aborted(held, excess=excess, now=now, is_stalled=is_stalled)
        for one in chosen:
            abort = one.abort
            if isinstance(one, HeldAnswer):
                self._abort(one)
            if one is not current:
                abort()
            if isinstance(one, HeldConnection) and self._is_counted(one):
                self._measure(one, now)

    def _is_counted(self, connection: HeldConnection) -> bool:
        return id(connection.transport) in self._connections

    def _abort(self, answer: HeldAnswer) -> None:
        self._on_abort(answer)
        answer.is_aborted = True
        self._drop(answer)

    def _measure_all(self, now: float) -> None:
        for answer in list(self._answers):
            transport = answer.transport
            is_gone = transport is None or transport.is_closing()
            self._measure(answer, now)
            if answer.is_received and (is_gone or not answer.size):
                self._drop(answer)
        for connection in self._connections.values():
            self._measure(connection, now)

    def _measure(self, held: Held, now: float) -> None:
        before = held.size
        held.measure(now=now)
        self.total += held.size - before

    def _add(self, answer: HeldAnswer) -> None:
        self._answers[answer] = None
        connection = self._connections.get(id(answer.transport))
        if connection is not None:
            connection.answer = answer

    def _drop(self, answer: HeldAnswer) -> None:
        del self._answers[answer]
        self.total -= answer.size
        answer.size = 0
        connection = self._connections.get(id(answer.transport))
        if connection is not None and connection.answer is answer:
            connection.answer = None
        # The functions that it calls may refer to it in turn, so that what it refers to
        # would stay until the next collection of cycles.
        answer.content = answer.transport = None
        answer.abort, answer.get_kind = _do_nothing, _get_complete


def _cancel(task: "asyncio.Task[Any]") -> None:
    task.cancel()


def _do_nothing() -> None:
    pass


def _get_complete() -> AnswerKind:
    return AnswerKind.COMPLETE
