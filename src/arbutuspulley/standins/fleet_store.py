"""Minimal stand-in for the users' metadata store: rows, conditional writes, feeds.

Rows are kept in memory, in a single part, with a bounded history of changes. Tests set
attributes to inject faults.
"""

import asyncio
import base64
import time
import weakref
from collections import Counter
from collections.abc import Callable

import msgspec
from aiohttp import web

from arbutuspulley.data import Value
from arbutuspulley.platform import names

MAX_ROWS = 500
"""Maximum number of rows in an answer; the limit of the users' store."""

MAX_WAIT_S = 30.0
"""Maximum wait of a feed call, in s; the limit of the users' store."""


class StoreCopy(Value, frozen=True):
    """A copy of the store's data."""

    version: int
    rows: dict[tuple[str, str], tuple[int, bytes]]
    feed: list[tuple[int, str, str, bytes | None]]


class StoreStandin:
    """An in-memory metadata store.

    :param history: maximum number of changes kept for feeds.

    Tests set these attributes to inject faults:

    - ``is_down``: answer every call with 503.
    - ``is_away``: reset the connection of every call.
    - ``loses_answers``: apply a write and reset its connection.
    - ``late_write_s``: reset a write's connection and perform the write this many
      seconds later, if its condition holds then; ``None``: perform it at once.
    - ``delay_s``: delay before each call is handled.
    - ``on_read``: called after each page that is read.
    - ``era``: sent in each answer; ``None``: not sent. :meth:`restore` increments it.
    - ``clock_offset_ms``: added to the store's clock.
    - ``unreadable``: table whose reads and feeds are answered with 503; empty: none.

    Tests read ``calls`` (number of calls) and ``writes`` (number of rows that calls
    have written or removed, by table).
    """

    __slots__ = (
        "_changed",
        "_connections",
        "_feed",
        "_history",
        "_last_discarded",
        "_rows",
        "calls",
        "clock_offset_ms",
        "delay_s",
        "era",
        "is_away",
        "is_down",
        "late_write_s",
        "loses_answers",
        "on_read",
        "unreadable",
        "version",
        "writes",
    )

    def __init__(self, *, history: int = 1_000) -> None:
        self._rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._feed: list[tuple[int, str, str, bytes | None]] = []
        self._last_discarded = 0
        self._history = history
        self._changed = asyncio.Event()
        # In order: a simulation resets them alike in each run.
        self._connections: weakref.WeakKeyDictionary[asyncio.Transport, None] = (
            weakref.WeakKeyDictionary()
        )
        self.version = 0
        self.calls = 0
        self.writes: Counter[str] = Counter()
        self.era: int | str | None = 1
        self.clock_offset_ms = 0
        self.is_away = False
        self.is_down = False
        self.late_write_s: float | None = None
        self.loses_answers = False
        self.delay_s = 0.0
        self.unreadable = ""
        self.on_read: Callable[[], None] = lambda: None

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row unconditionally, as the operator or a server does."""
        self._write([(table, key, msgspec.json.encode(value))])

    def remove(self, table: str, key: str) -> None:
        """Remove a row unconditionally."""
        self._write([(table, key, None)])

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or ``None`` if there is no such row."""
        row = self._rows.get((table, key))
        return row[1] if row else None

    def list_rows(self, table: str) -> dict[str, bytes]:
        """Return the values of a table's rows, by key."""
        return {
            key: value
            for (named, key), (_version, value) in self._rows.items()
            if named == table
        }

    def discard_history(self) -> None:
        """Discard all kept changes; feeds that need them are answered with 410."""
        self._feed.clear()
        self._last_discarded = self.version

    def copy(self) -> StoreCopy:
        """Return a copy of the rows and of the history."""
        return StoreCopy(
            version=self.version, rows=dict(self._rows), feed=list(self._feed)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Begin a new era with an older copy; open connections are reset.

        Versions above the copy's are given out again.
        """
        self.version = copy.version
        self._rows = dict(copy.rows)
        self._feed = list(copy.feed)
        if isinstance(self.era, int):
            self.era += 1
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections; calls under way get no answer."""
        for transport in list(self._connections):
            transport.abort()

    async def leave(self, for_s: float, *, copy: StoreCopy | None = None) -> None:
        """Be away for some time, and come back from a copy if one is given.

        :param for_s: time without answers, in s.
        """
        self.is_away = True
        self.reset_connections()
        await asyncio.sleep(for_s)
        if copy is not None:
            self.restore(copy)
        self.is_away = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call, and state the era in the answer."""
        transport = request.transport
        if transport is not None:
            self._connections[transport] = None
        if self.is_away and transport is not None:
            transport.abort()
        answer = await self._answer(request)
        self._state_era(answer)
        return answer

    def _state_era(self, answer: web.StreamResponse) -> None:
        if self.era is not None:
            answer.headers.setdefault(names.STORE_ERA, str(self.era))

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a read, feed or transaction call."""
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_down or request.query.get("Table") == self.unreadable:
            return web.Response(status=503)
        if request.path == names.STORE_TRANSACT_PATH:
            body = msgspec.json.decode(await request.read())
            if self.late_write_s is not None and request.transport is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(self.late_write_s, self._transact, body)
                request.transport.abort()
                return web.Response(status=503)
            answer = self._transact(body)
            if self.loses_answers and request.transport is not None:
                request.transport.abort()
            return answer
        if request.path == names.STORE_READ_PATH:
            return self._read(request)
        if request.path == names.STORE_FEED_PATH:
            return await self._answer_feed(request)
        return web.Response(status=404)

    def _write(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (self.version, value)
            self._feed.append((self.version, table, key, value))
        while len(self._feed) > self._history:
            self._last_discarded = self._feed.pop(0)[0]
        self._changed.set()
        self._changed = asyncio.Event()

    def _transact(self, body: dict) -> web.Response:
        for row in body["Expected"]:
            found = self._rows.get((row["Table"], row["Key"]), (0, b""))[0]
            if found != row["Ver"]:
                return self._build_answer([], status=412)
        changes: list[tuple[str, str, bytes | None]] = [
            (row["Table"], row["Key"], base64.b64decode(row["Value"]))
            for row in body["Put"]
        ]
        changes += [(row["Table"], row["Key"], None) for row in body["Remove"]]
        self.writes.update(table for table, _key, _value in changes)
        self._write(changes)
        return self._build_answer([])

    def _read(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        first, end = query.get("From", ""), query.get("To", "\U0010ffff")
        rows = [
            _encode(version, table, key, value)
            for (table, key), (version, value) in sorted(self._rows.items())
            if table == query["Table"] and first <= key < end
        ]
        max_rows = int(query.get("Limit", MAX_ROWS))
        answer = self._build_answer(rows[:max_rows], more=len(rows) > max_rows)
        self.on_read()
        return answer

    async def _answer_feed(self, request: web.BaseRequest) -> web.Response:
        table, after = request.query["Table"], int(request.query["after"])
        limit = min(MAX_WAIT_S, int(request.query["WaitMs"]) / 1_000)
        try:
            async with asyncio.timeout(limit):
                while True:
                    if after < self._last_discarded or after > self.version:
                        return web.Response(status=410)
                    rows = [
                        _encode(version, changed_table, key, value)
                        for version, changed_table, key, value in self._feed
                        if changed_table == table and version > after
                    ]
                    if rows:
                        return self._build_answer(rows)
                    await self._changed.wait()
        except TimeoutError:
            return self._build_answer([])

    def _build_answer(
        self, rows: list[dict], *, status: int = 200, more: bool = False
    ) -> web.Response:
        body = {
            "Rows": rows,
            "Ver": self.version,
            "NowMs": time.monotonic() * 1_000 + self.clock_offset_ms,
            "MorePages": more,
        }
        answer = web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type="application/json",
        )
        self._state_era(answer)
        return answer


def _encode(version: int, table: str, key: str, value: bytes | None) -> dict:
    row = {"Table": table, "part": "", "Key": key, "Ver": version}
    if value is None:
        return {**row, "Removed": True}
    return {**row, "Value": base64.b64encode(value).decode()}
