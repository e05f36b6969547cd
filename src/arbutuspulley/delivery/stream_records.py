"""Records in the platform's store of the software versions that began streams.

A record outlives all processes, which may be killed at the same moment. Each row holds
the streams of one interval, and no caller waits for it to be written: a stream that
began just before all processes were killed has no record and is refused.
"""

import itertools
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from arbutuspulley.data import Message, State, Value
from arbutuspulley.decoding import UndecodableError, WholeMilliseconds, decode_msgpack
from arbutuspulley.delivery.begun_streams import (
    MAX_RETENTION_MS,
    MAX_STREAMS,
    BegunStream,
)
from arbutuspulley.ports.fleet import SoftwareVersion

MAX_ROW_STREAMS = 4_000
MAX_ROW_BYTES = 36_000
"""Maximum number of streams in a row, and its maximum size: a row of the store holds 64
KB, and a transaction 1 MB with all rows in base64."""

GROUP_BYTES = 40
"""Maximum size of a group in a row without its names and keys."""

MAX_BATCH_ROWS = 20
"""Maximum number of rows in a transaction: it holds 1 MB and 100 rows."""

MAX_REMOVED_ROWS = 60
"""Maximum number of rows that a transaction removes."""

REMOVAL_MARGIN_MS = 5_000
"""Time for which a row is kept after its streams have expired, in ms: the store's clock
may go back when the store comes back from a copy."""

MIN_EXTENSION_MS = 1_000
"""Minimum time by which a stream must be resumable for longer than its row states to be
recorded again, in ms: less than the margin for which streams are kept."""

KEY_BYTES = 8
"""Size of a stream's key in a row."""


class RecordGroup(Message, frozen=True):
    """Streams of one software version in a row.

    :param keys: their keys, big-endian, one after another.
    """

    service: str
    version: str
    keys: bytes


class RecordRow(Message, frozen=True):
    """A row of records.

    :param expires_at: when the last of its streams expires, in ms of the store's clock.
    """

    groups: tuple[RecordGroup, ...]
    expires_at: WholeMilliseconds


class RecordBatch(Value, frozen=True):
    """Rows to write and to remove in one transaction.

    :param put: values by key.
    :param remove: keys of rows whose streams have expired.
    """

    put: dict[str, bytes]
    remove: tuple[str, ...]


class _KnownRow(State):
    """A row as this process knows it.

    :param is_sent: whether it may be in the store.
    :param until: when the last of its streams expires, in ms of the own clock.
    """

    row: RecordRow
    until: int
    is_sent: bool


class StreamJournal:
    """The records that a process writes, and those that it has taken over.

    ``awaits_records`` is whether records of other processes have not been read yet
    that this process has to know as the coordinator.

    :param writer: identifies this process; its rows' keys begin with it.
    """

    __slots__ = (
        "_number",
        "_pending",
        "_removed",
        "_rows",
        "_stored",
        "_unwritten",
        "_writer",
        "awaits_records",
    )

    def __init__(self, *, writer: str) -> None:
        self.awaits_records = False
        self._number = 0
        self._pending: dict[int, BegunStream] = {}
        # Keys of expired rows that may still be in the store, oldest first.
        self._removed: dict[str, None] = {}
        self._rows: dict[str, _KnownRow] = {}
        self._stored: dict[int, _KnownRow] = {}
        # Keys of rows that the store has not acknowledged, in order.
        self._unwritten: dict[str, None] = {}
        self._writer = writer

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def has_unwritten(self) -> bool:
        """Whether a row has to be written, beside those of streams added since."""
        return bool(self._unwritten)

    def add(self, key: int, stream: BegunStream) -> bool:
        """Add a stream to the next row.

        :return: ``False`` if it is in a row, or about to be, already.
        """
        if self._is_stored(key, stream):
            return False
        pending = self._pending.get(key)
        if pending is None or pending.expires_at < stream.expires_at:
            self._pending[key] = stream
        return pending is None

    def take_batch(self, *, now: int, store_now: int) -> RecordBatch | None:
        """Return what to write next; ``None``: nothing.

        The same rows are returned until :meth:`confirm` is called.

        :param store_now: reading of the store's clock at ``now``, in ms.
        """
        self._seal(now=now, store_now=store_now)
        self._expire(now)
        remove = tuple(itertools.islice(self._removed, MAX_REMOVED_ROWS))
        put: dict[str, bytes] = {}
        for key in itertools.islice(self._unwritten, MAX_BATCH_ROWS):
            known = self._rows[key]
            known.is_sent = True
            # The store's clock may be another one than when the row was built.
            row = msgspec.structs.replace(
                known.row, expires_at=known.until - now + store_now
            )
            put[key] = msgspec.msgpack.encode(row)
        return RecordBatch(put=put, remove=remove) if put or remove else None

    def confirm(self, batch: RecordBatch) -> None:
        """Record that a batch has been written."""
        for key in batch.put:
            self._unwritten.pop(key, None)
        for key in batch.remove:
            self._removed.pop(key, None)

    def restart(self) -> None:
        """Let all rows be written again: the store has come back from an older copy."""
        self._unwritten = dict.fromkeys(self._rows)

    def adopt(self, rows: Mapping[str, RecordRow], *, now: int, store_now: int) -> None:
        """Take over rows that another process has written.

        :param store_now: reading of the store's clock at ``now``, in ms.
        """
        for key, row in rows.items():
            # The row may have been written by another clock.
            until = now + min(row.expires_at - store_now, MAX_RETENTION_MS)
            known = _KnownRow(row=row, until=until, is_sent=True)
            if self._rows.setdefault(key, known) is known:
                self._index(known)
        self._pending = {
            key: stream
            for key, stream in self._pending.items()
            if not self._is_stored(key, stream)
        }
        self.awaits_records = False

    def release(self) -> None:
        """Leave the written rows to another process, which takes them over."""
        self._rows = {key: self._rows[key] for key in self._unwritten}
        self._stored.clear()
        for known in self._rows.values():
            self._index(known)
        self.awaits_records = True

    def _is_stored(self, key: int, stream: BegunStream) -> bool:
        """Return whether a row names a stream for as long as it can be resumed."""
        known = self._stored.get(key)
        return known is not None and stream.expires_at < known.until + MIN_EXTENSION_MS

    def _index(self, known: _KnownRow) -> None:
        for key in _list_keys(known.row):
            other = self._stored.get(key)
            if other is None or other.until < known.until:
                self._stored[key] = known

    def _expire(self, now: int) -> None:
        """Forget rows whose streams have expired, and let them be removed.

        The oldest ones are forgotten, too, beyond the number of streams that a process
        remembers.
        """
        expired = [
            key
            for key, known in self._rows.items()
            if known.until + REMOVAL_MARGIN_MS <= now
        ]
        for key in expired:
            self._forget(key)
        while len(self._stored) > MAX_STREAMS:
            self._forget(next(iter(self._rows)))

    def _forget(self, key: str) -> None:
        known = self._rows.pop(key)
        self._unwritten.pop(key, None)
        for stream in _list_keys(known.row):
            if self._stored.get(stream) is known:
                del self._stored[stream]
        if known.is_sent:
            self._removed[key] = None

    def _seal(self, *, now: int, store_now: int) -> None:
        """Put the pending streams into rows."""
        pending = [
            (key, stream)
            for key, stream in self._pending.items()
            if stream.expires_at > now
        ]
        self._pending.clear()
        for part in _split_streams(pending):
            self._number += 1
            row = build_row(part, now=now, store_now=store_now)
            key = f"{self._writer}-{self._number}"
            until = row.expires_at - store_now + now
            known = _KnownRow(row=row, until=until, is_sent=False)
            self._rows[key] = known
            self._unwritten[key] = None
            self._index(known)


def _split_streams(
    streams: Iterable[tuple[int, BegunStream]],
) -> Iterator[dict[int, BegunStream]]:
    """Split streams into parts that fit a row each."""
    part: dict[int, BegunStream] = {}
    groups: set[tuple[str, SoftwareVersion]] = set()
    size = 0
    for key, stream in streams:
        group = (stream.service, stream.version)
        size += KEY_BYTES + (0 if group in groups else _measure_group(*group))
        if size > MAX_ROW_BYTES or len(part) == MAX_ROW_STREAMS:
            yield part
            part, groups = {}, set()
            size = KEY_BYTES + _measure_group(*group)
        part[key] = stream
        groups.add(group)
    if part:
        yield part


def _measure_group(service: str, version: SoftwareVersion) -> int:
    return GROUP_BYTES + len(service.encode()) + len(version.name.encode())


def build_row(
    streams: Mapping[int, BegunStream], *, now: int, store_now: int
) -> RecordRow:
    """Build the row of some streams.

    :param store_now: reading of the store's clock at ``now``, in ms.
    """
    groups: dict[tuple[str, SoftwareVersion], list[int]] = {}
    for key, stream in streams.items():
        groups.setdefault((stream.service, stream.version), []).append(key)
    latest = max(stream.expires_at for stream in streams.values())
    return RecordRow(
        groups=tuple(
            RecordGroup(
                service=service,
                version=version.name,
                keys=b"".join(key.to_bytes(KEY_BYTES, "big") for key in keys),
            )
            for (service, version), keys in groups.items()
        ),
        expires_at=latest - now + store_now,
    )


def decode_row(value: bytes) -> RecordRow | None:
    """Return a row that was read from the store; ``None`` if it can't be read."""
    try:
        row = decode_msgpack(value, RecordRow)
    except UndecodableError:
        return None
    if any(len(group.keys) % KEY_BYTES for group in row.groups):
        return None
    return row


def list_streams(
    rows: Iterable[RecordRow], *, now: int, store_now: int
) -> dict[int, BegunStream]:
    """Return the streams of some rows that have not expired.

    Of several rows that name a stream, the one that expires last counts.

    :param store_now: reading of the store's clock at ``now``, in ms.
    """
    streams: dict[int, BegunStream] = {}
    for row in rows:
        remaining_ms = min(row.expires_at - store_now, MAX_RETENTION_MS)
        if remaining_ms <= 0:
            continue
        for group in row.groups:
            stream = BegunStream(
                service=group.service,
                version=SoftwareVersion(name=group.version),
                expires_at=now + remaining_ms,
            )
            for key in _split_keys(group.keys):
                known = streams.setdefault(key, stream)
                if known.expires_at < stream.expires_at:
                    streams[key] = stream
    return streams


def _list_keys(row: RecordRow) -> list[int]:
    return [key for group in row.groups for key in _split_keys(group.keys)]


def _split_keys(keys: bytes) -> list[int]:
    return [
        int.from_bytes(keys[start : start + KEY_BYTES], "big")
        for start in range(0, len(keys), KEY_BYTES)
    ]
