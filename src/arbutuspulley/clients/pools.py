"""All connections of a process's clients: which may be opened, and which are closed.

One rule holds for all ports. A connection is closed if its client takes too long; if
there are too many, those that wait for a request, the longest first, make room for new
ones; if too much is held for clients, :mod:`arbutuspulley.platform.memory_bound` says
which of them has to give way.
"""

import asyncio
import enum
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING

from arbutuspulley.clients.limits import Port, Timeouts
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.platform.held_bytes import HeldBytes

if TYPE_CHECKING:
    from arbutuspulley.clients.connections import ClientConnection

MAX_HEADER_LINE_BYTES = 65_536
"""Maximum length of a header line, in bytes; configurations set lower limits."""

HEAD_MARGIN_BYTES = MAX_HEADER_LINE_BYTES
"""What a head may have beside its headers, for the line with the path, in bytes."""

SWEEP_INTERVAL_MS = 500
"""Interval at which all connections are checked, in ms."""

MAX_SWEEP_MS = 2 * SWEEP_INTERVAL_MS
"""How much one sweep counts at most, in ms: a process that was frozen does not take the
time for its clients' delay."""

MIN_EVICTED_MS = 1_000
"""How long a connection has waited for a request before it makes room for others."""

UNREAD_TIMEOUT_MS = 30_000
"""How long a client may take no byte of an answer, in ms; deadlines are shorter."""

CROWDED_STALL_MS = 5_000
"""How long a client may take no byte of an answer, or send none of a body, while its
port has hardly any room for further connections, in ms."""

ANSWER_TIMEOUT_MS = 120_000
"""How long the sending of an answer that is complete may take, in ms."""

CLOSE_TIMEOUT_MS = 5_000
"""How long a closed connection may take to send what is left, in ms."""

CROWDED_FRACTION = 0.9
"""Fraction of its connections from which a port counts as crowded."""


class CloseReason(enum.StrEnum):
    """Why a connection was closed or a request refused.

    ``FULL``: not accepted, as its port has no room. ``EVICTED``: closed to make room
    while it waited for a request. ``IDLE``: it waited too long. ``HEAD_TIMEOUT`` and
    ``HEAD_SIZE``: the head of its request. ``STALLED``: it sent no further byte of a
    body while its port had hardly any room. ``UNREAD``: it took no byte of an answer.
    ``SLOW``: it took too long for one. ``MEMORY``: closed to stay within the bound on
    held bytes. ``BODY``: a request refused likewise while its body arrived.
    """

    FULL = "full"
    EVICTED = "evicted"
    IDLE = "idle"
    HEAD_TIMEOUT = "head_timeout"
    HEAD_SIZE = "head_size"
    STALLED = "stalled"
    UNREAD = "unread"
    SLOW = "slow"
    MEMORY = "memory"
    BODY = "body"


class Pool:
    """The connections of one port.

    :ivar count: sockets that were accepted and are not closed.
    :ivar connections: all connections.
    :ivar unused: those without any request so far, the longest waiting first.
    :ivar idle: those that wait for a further request, likewise.
    :ivar heads: those of which a part of a head was received, likewise.
    """

    __slots__ = ("connections", "count", "heads", "idle", "port", "unused")

    def __init__(self, *, port: Port) -> None:
        self.port = port
        self.count = 0
        self.connections: dict[ClientConnection, None] = {}
        self.unused: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.heads: dict[ClientConnection, None] = {}

    @property
    def is_answering(self) -> bool:
        """Whether a request is handled on any, or its answer is being sent."""
        return any(connection.is_answering for connection in self.connections)


class Clients:
    """All clients of a process.

    :param held: account of what is held for them.
    :param get_limits: returns how many connections each port accepts.
    :param get_timeouts: returns how long clients may take.
    :param get_header_bytes: returns the maximum size of a request's headers, in bytes.
    :param on_closed: called after each sweep for each kind of client that was closed
        or refused since the last one: its port, the reason, and how many.

    :ivar now: time, in ms, for which the process has run.
    """

    __slots__ = (
        "_closed",
        "_get_header_bytes",
        "_get_limits",
        "_get_timeouts",
        "_on_closed",
        "_swept_at",
        "held",
        "now",
        "pools",
    )

    def __init__(
        self,
        *,
        held: HeldBytes,
        get_limits: Callable[[], dict[Port, int]],
        get_timeouts: Callable[[], Timeouts],
        get_header_bytes: Callable[[], int],
        on_closed: Callable[[Port, CloseReason, int], None] = lambda *_: None,
    ) -> None:
        self.held = held
        self._get_limits = get_limits
        self._get_timeouts = get_timeouts
        self._get_header_bytes = get_header_bytes
        self._on_closed = on_closed
        self._closed: Counter[tuple[Port, CloseReason]] = Counter()
        self._swept_at: float | None = None
        self.now = 0
        self.pools = {port: Pool(port=port) for port in Port}

    @property
    def max_head_bytes(self) -> int:
        """Maximum size of an incomplete head, in bytes."""
        return self._get_header_bytes() + HEAD_MARGIN_BYTES

    async def watch(self) -> None:
        """Check all connections again and again; never returns."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / SECOND_MS)
            self.sweep(asyncio.get_running_loop().time())

    def admit(self, pool: Pool) -> bool:
        """Return whether a port has room for a further connection.

        A connection that has waited for a request makes room for it.
        """
        if pool.count < self._get_limits()[pool.port]:
            return True
        since = self.now - MIN_EVICTED_MS + 1
        for waiting in (pool.unused, pool.idle):
            for oldest in _list_older(waiting, since):
                # What is unsent would keep its descriptor, and may yet be read.
                if not oldest.count_unsent():
                    oldest.close_for(CloseReason.EVICTED)
                    return True
        self.count_closed(pool.port, CloseReason.FULL)
        return False

    def count_closed(self, port: Port, reason: CloseReason) -> None:
        """Count a client that was closed or refused."""
        self._closed[port, reason] += 1

    def sweep(self, now: float) -> None:
        """Close what takes too long, and report what was closed.

        :param now: time, in s of the event loop's clock.
        """
        if self._swept_at is not None:
            elapsed_ms = int((now - self._swept_at) * SECOND_MS)
            self.now += min(MAX_SWEEP_MS, max(0, elapsed_ms))
        self._swept_at = now
        timeouts = self._get_timeouts()
        limits = self._get_limits()
        self.held.enforce()
        for pool in self.pools.values():
            self._close_late(pool, timeouts)
            is_crowded = pool.count >= CROWDED_FRACTION * limits[pool.port]
            for connection in list(pool.connections):
                connection.note_idle()
                self._check_progress(connection, is_crowded=is_crowded)
            self._close_surplus(pool, limits[pool.port])
        closed, self._closed = self._closed, Counter()
        for (port, reason), count in closed.items():
            self._on_closed(port, reason, count)

    def _close_late(self, pool: Pool, timeouts: Timeouts) -> None:
        for waiting in (pool.unused, pool.idle):
            for connection in _list_older(waiting, self.now - timeouts.idle_ms):
                connection.close_for(CloseReason.IDLE)
        late = [
            connection
            for connection in pool.heads
            if self.now - connection.head_since > timeouts.head_ms
        ]
        for connection in late:
            connection.refuse_head(CloseReason.HEAD_TIMEOUT, HTTPStatus.REQUEST_TIMEOUT)

    def _check_progress(
        self, connection: "ClientConnection", *, is_crowded: bool
    ) -> None:
        """Close a connection whose client does not take what it is sent."""
        unsent = connection.count_unsent()
        if unsent == 0 or unsent != connection.unsent:
            connection.unsent, connection.unsent_since = unsent, self.now
        unread_ms = self.now - connection.unsent_since
        most_ms = CROWDED_STALL_MS if is_crowded else UNREAD_TIMEOUT_MS
        if connection.is_closing:
            if unread_ms >= CLOSE_TIMEOUT_MS:
                connection.abort_for(CloseReason.UNREAD)
        elif unsent and unread_ms >= most_ms:
            connection.abort_for(CloseReason.UNREAD)
        elif is_crowded and connection.is_stalled(self.now - CROWDED_STALL_MS):
            connection.give_way(CloseReason.STALLED)
        elif connection.is_late(self.now - ANSWER_TIMEOUT_MS):
            connection.abort_for(CloseReason.SLOW)

    def _close_surplus(self, pool: Pool, limit: int) -> None:
        """Close waiting connections over a limit that has fallen."""
        surplus = pool.count - limit
        for connection in [*pool.unused, *pool.idle][: max(0, surplus)]:
            connection.close_for(CloseReason.EVICTED)


def _list_older(
    waiting: "dict[ClientConnection, None]", since: int
) -> "Iterator[ClientConnection]":
    """Yield the connections that have waited since before a time, the oldest first."""
    return itertools.takewhile(lambda one: one.waiting_since < since, list(waiting))
