"""Bound on what is held for clients, and which of them give way over it.

Decisions only: nothing here reads or writes a connection.
"""

import asyncio
import enum
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar

BYTES_PER_MB = 1_000_000

PROCESS_MB = 80.0
"""Memory that the process needs beside what is held for clients, in MB. A node without
load took 47 MB, and 20 KB more for each request in flight; the rest is for the state of
a coordinator."""

HELD_FRACTION = 1 / 3
"""Fraction of the other memory that may be held. A counted byte occupies more than one:
buffers grow in steps, and parts are copied on their way."""

CONNECTION_BYTES = 16 * 1_024
"""What a connection of a client counts for beside what is held of its requests and
answers, in bytes: its buffers, its task, and a request in flight."""

MIN_BOUND_BYTES = 8_000_000
"""Least bound on what is held, in bytes, also where the memory is less than the
process needs: with none, each answer would be aborted."""

NEAR_FRACTION = 0.75
"""Fraction of the bound from which large new answers are not read yet."""

SMALL_ANSWER_BYTES = 256 * 1_024
"""Answers up to this length may use what is left below the bound."""

MIN_PAUSED_BYTES = 64 * 1_024
"""Answers are read without delay up to this size."""

MIN_ABORTED_BYTES = 64 * 1_024
"""Answers below this size are not aborted for the bound: their loss would free little.
A caller that stops reading leaves more: the write buffer alone takes this much before
writing pauses."""

STALL_S = 0.25
"""Time after which a caller that has taken no byte counts as one that does not read, in
s: the gap between two events that callers accept."""

COMPLETE_STALL_S = 5.0
"""Likewise for a caller that can't ask for its answer again, in s."""

MAX_PAUSE_MS = 1_500
"""Longest time for which an answer is not read, in ms; servers abort one that stays
unread for some seconds."""


class AnswerKind(enum.StrEnum):
    """Kinds of answers by what their loss costs, from least to most.

    ``RESUMABLE``: a stream that its caller can resume. ``REPEATABLE``: the answer to a
    request that may run again. ``ONCE``: one that may not, whose answer is incomplete.
    ``COMPLETE``: likewise, and the answer has been received; it is aborted only if its
    caller has taken nothing for :data:`COMPLETE_STALL_S`.
    """

    RESUMABLE = "resumable"
    REPEATABLE = "repeatable"
    ONCE = "once"
    COMPLETE = "complete"


class _Group(enum.IntEnum):
    """What is held, by the order in which it gives way; the largest of each come first.

    What doesn't move comes before what does, and what a client can ask for again before
    what it can't. Answers whose callers read, or that have not been sent yet, are not
    told apart by kind: a stream holds little while its caller reads, so many would be
    aborted for one large answer. ``RECEIVING``: bodies, which are refused as not run.
    """

    STALLED_CONNECTION = 0
    STALLED_RESUMABLE = 1
    STALLED_REPEATABLE = 2
    RECEIVING = 3
    OTHER_REPEATABLE = 4
    HANDLING = 5
    ONCE = 6
    STALLED_COMPLETE = 7


_STALLED = frozenset(
    (
        _Group.STALLED_CONNECTION,
        _Group.STALLED_RESUMABLE,
        _Group.STALLED_REPEATABLE,
        _Group.STALLED_COMPLETE,
    )
)


class ReceivedBytes(Protocol):
    """The part of a server's answer that counts what has been received of it."""

    total_bytes: int


class HeldAnswer:
    """What is held of one answer, from the first byte received to the last one sent.

    :param attempt_id: of its request.
    :param get_kind: returns its kind, which may change while it arrives.
    :param content: counts the bytes received from the server; ``None``: not counted.
    :param transport: connection to the caller; ``None``: unsent bytes don't count.

    :ivar held: bytes that were read and have not been given to the caller's connection.
    :ivar taken: bytes of the body that were read.
    :ivar size: bytes that count for it, as last measured.
    :ivar unsent: bytes in the write buffer of the caller's connection, likewise.
    :ivar moved_at: when the caller last took bytes, or had none to take, in s of the
        clock that :meth:`measure` is given.
    :ivar planned: expected length of the answer, once it is read; 0: unknown.
    :ivar abort: ends the answer; called over the bound.
    :ivar is_aborted: whether it was aborted for the bound.
    :ivar is_received: whether it was received from the server to its end.
    """

    __slots__ = (
        "abort",
        "attempt_id",
        "content",
        "get_kind",
        "held",
        "is_aborted",
        "is_received",
        "moved_at",
        "planned",
        "size",
        "taken",
        "transport",
        "unsent",
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        get_kind: Callable[[], AnswerKind],
        content: ReceivedBytes | None = None,
        transport: asyncio.WriteTransport | None = None,
    ) -> None:
        self.attempt_id = attempt_id
        self.get_kind = get_kind
        self.content = content
        self.transport = transport
        self.held = 0
        self.taken = 0
        self.size = 0
        self.unsent = 0
        self.moved_at = 0.0
        self.planned = 0
        self.abort: Callable[[], None] = lambda: None
        self.is_aborted = False
        self.is_received = False

    def measure(self, *, now: float) -> None:
        """Count the bytes held now: unread, not yet forwarded, and unsent."""
        unread = 0
        if self.content is not None:
            unread = max(0, self.content.total_bytes - self.taken)
        unsent = self._count_unsent()
        if not unsent or unsent < self.unsent:
            self.moved_at = now
        self.unsent = unsent
        self.size = unread + self.held + unsent

    def _count_unsent(self) -> int:
        if self.transport is None or self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()


class HeldConnection:
    """What is held of a client's connection beside the answer that is read for it.

    :param measure_request: brings the attributes of its requests up to date.

    :ivar transport: the connection; ``None``: it is not open yet.
    :ivar answer: the answer that counts what is unsent; ``None``: none does.
    :ivar partial_head: bytes received of a head that is not complete.
    :ivar head: size of the head of the request that is handled.
    :ivar body: bytes received of bodies, and of requests that wait.
    :ivar is_incomplete: whether a part of a request is missing.
    :ivar received_at: when bytes were last received, in s of the clock that
        :meth:`measure` is given.
    :ivar unsent: bytes in its write buffer that no answer counts, as last measured.
    :ivar moved_at: when the client last took bytes, or had none to take, likewise.
    :ivar size: bytes that count for it, likewise.
    :ivar abort: makes it give way; called over the bound.
    """

    __slots__ = (
        "abort",
        "answer",
        "body",
        "head",
        "is_incomplete",
        "measure_request",
        "moved_at",
        "partial_head",
        "received_at",
        "size",
        "transport",
        "unsent",
    )

    def __init__(self, *, measure_request: Callable[[], None]) -> None:
        self.measure_request = measure_request
        self.transport: asyncio.WriteTransport | None = None
        self.answer: HeldAnswer | None = None
        self.partial_head = 0
        self.head = 0
        self.body = 0
        self.is_incomplete = False
        self.received_at = 0.0
        self.unsent = 0
        self.moved_at = 0.0
        self.size = 0
        self.abort: Callable[[], None] = _do_nothing

    def measure(self, *, now: float) -> None:
        """Count the bytes held now: of requests, unsent, and for the connection."""
        self.measure_request()
        unsent = self._count_unsent()
        if not unsent or unsent < self.unsent:
            self.moved_at = now
        self.unsent = unsent
        held = self.partial_head + self.head + self.body + unsent
        self.size = CONNECTION_BYTES + held

    def _count_unsent(self) -> int:
        transport = self.transport
        if transport is None:
            return 0
        if self.answer is not None and not transport.is_closing():
            return 0
        return transport.get_write_buffer_size()


Held = HeldAnswer | HeldConnection

HeldT = TypeVar("HeldT", bound=Held)


def compute_bound(memory_mb: float, *, most: int) -> int:
    """Return how many bytes may be held for clients.

    :param memory_mb: memory of the process, in MB; 0: unknown.
    :param most: bound if the memory is unknown or large, in bytes.
    """
    if memory_mb <= 0:
        return most
    free_mb = memory_mb - PROCESS_MB
    share = int(free_mb * HELD_FRACTION * BYTES_PER_MB)
    return min(most, max(MIN_BOUND_BYTES, share))


def choose_aborted(
    held: Iterable[HeldT], *, excess: int, now: float, is_stalled: bool = False
) -> list[HeldT]:
    """Return what is to give way, so that the rest holds fewer bytes.

    See :class:`_Group` for the order.

    :param excess: by how many bytes.
    :param now: time, in s of the clock that they were measured by.
    :param is_stalled: whether only that gives way whose client does not go on.
    """
    groups: dict[_Group, list[HeldT]] = {group: [] for group in _Group}
    for one in held:
        group = (
            _get_answer_group(one, now)
            if isinstance(one, HeldAnswer)
            else _get_connection_group(one, now)
        )
        if group is not None and (group in _STALLED or not is_stalled):
            groups[group].append(one)
    chosen: list[HeldT] = []
    for members in groups.values():
        for one in sorted(members, key=_get_size, reverse=True):
            if excess <= 0:
                return chosen
            chosen.append(one)
            excess -= one.size
    return chosen


def may_read(
    answer: HeldAnswer, answers: Sequence[HeldAnswer], *, expected: int, bound: int
) -> bool:
    """Return whether a new answer may be read now.

    :param answers: all answers of which something is held.
    :param expected: length of the new one, in bytes; 0: unknown.
    """
    others = [other for other in answers if other is not answer]
    if not any(other.size for other in others):
        return True
    reserved = sum(max(other.size, other.planned) for other in others)
    is_small = 0 < expected <= SMALL_ANSWER_BYTES
    limit = bound if is_small else NEAR_FRACTION * bound
    return reserved + max(expected, answer.size) <= limit


def _get_answer_group(answer: HeldAnswer, now: float) -> _Group | None:
    kind = answer.get_kind()
    stalled_s = now - answer.moved_at if answer.unsent else 0.0
    is_stalled = answer.unsent > 0 and stalled_s >= STALL_S
    if kind is AnswerKind.COMPLETE:
        is_given_up = is_stalled and stalled_s >= COMPLETE_STALL_S
        return _Group.STALLED_COMPLETE if is_given_up else None
    if not is_stalled and answer.size < MIN_ABORTED_BYTES:
        return None
    if kind is AnswerKind.ONCE:
        return _Group.ONCE
    if not is_stalled:
        return _Group.OTHER_REPEATABLE
    if kind is AnswerKind.RESUMABLE:
        return _Group.STALLED_RESUMABLE
    return _Group.STALLED_REPEATABLE


def _get_connection_group(connection: HeldConnection, now: float) -> _Group | None:
    if connection.size <= CONNECTION_BYTES:
        return None
    if connection.answer and connection.size < CONNECTION_BYTES + MIN_ABORTED_BYTES:
        return None  # The connection is lost with its answer.
    if connection.unsent and now - connection.moved_at >= STALL_S:
        return _Group.STALLED_CONNECTION
    if not connection.is_incomplete:
        return _Group.HANDLING
    if now - connection.received_at >= STALL_S:
        return _Group.STALLED_CONNECTION
    return _Group.RECEIVING


def _do_nothing() -> None:
    pass


def _get_size(held: Held) -> int:
    return held.size
