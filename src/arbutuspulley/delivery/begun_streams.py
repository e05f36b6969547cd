"""Streams that callers may resume, and the software versions that began them.

What two versions of a server's software write doesn't fit together, so a stream may go
on only at the version whose server sent its first event. A stream is remembered under a
key that is built from the id of the attempt that brought this event.
"""

import hashlib

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.ports.fleet import SoftwareVersion

MAX_RETENTION_MS = 600_000
"""Maximum time for which a stream is remembered, in ms, whatever deadline its caller
states."""

MIN_RETENTION_MS = 15_000
"""Minimum time for which a stream is remembered, in ms: callers come back with a later
deadline until the system has to serve again, 12 s after a failure, and an instance that
was cut off is in touch 3 s after that."""

RETENTION_MARGIN_MS = 2_000
"""Time for which a stream is remembered after its caller's deadline, in ms: the caller
counts from when it sent the request."""

MAX_STREAMS = 100_000
"""Maximum number of streams that are remembered, about 20 MB; the oldest are dropped
first. Only first events of servers add streams, so invented ids can't displace any."""

EVICT_INTERVAL_MS = 5_000
"""Interval of evicting expired streams, in ms: a scan of 50,000 takes some 8 ms."""

_KEY_BYTES = 8


class BegunStream(Value, frozen=True):
    """A stream that has brought its caller an event.

    :param version: version of the server that sent the first event.
    :param expires_at: until when the caller may resume it, in ms.
    """

    service: str
    version: SoftwareVersion
    expires_at: int


def build_stream_key(attempt_id: str) -> int:
    """Return the key of the stream whose first event an attempt brought; never 0."""
    encoded = attempt_id.encode(errors="surrogateescape")
    digest = hashlib.blake2b(encoded, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


def compute_retention_ms(remaining_ms: int) -> int:
    """Return for how long a stream is remembered, in ms, in whole seconds.

    :param remaining_ms: time until its caller's deadline.
    """
    retention_ms = max(remaining_ms + RETENTION_MARGIN_MS, MIN_RETENTION_MS)
    retention_ms = min(retention_ms, MAX_RETENTION_MS)
    return -(-retention_ms // SECOND_MS) * SECOND_MS


class BegunStreams:
    """The streams that are remembered, by key, oldest first."""

    __slots__ = ("_evict_at", "_streams")

    def __init__(self) -> None:
        self._evict_at = 0
        self._streams: dict[int, BegunStream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def add(self, key: int, stream: BegunStream, *, now: int) -> None:
        """Remember a stream.

        What is known of a stream stays: another caller that sends the same attempt id
        can't change the version that a stream goes on at.
        """
        known = self.find(key, now=now)
        if known is not None:
            if (known.service, known.version) != (stream.service, stream.version):
                return
            if stream.expires_at <= known.expires_at:
                return
        self._evict(now)
        self._streams.pop(key, None)
        self._streams[key] = stream

    def find(self, key: int, *, now: int) -> BegunStream | None:
        """Return a stream; ``None`` if it is not known."""
        stream = self._streams.get(key)
        return None if stream is None or stream.expires_at <= now else stream

    def list_newest(self, count: int, *, now: int) -> dict[int, BegunStream]:
        """Return the newest streams that have not expired.

        :param count: maximum number of streams.
        """
        alive = [
            (key, stream)
            for key, stream in self._streams.items()
            if stream.expires_at > now
        ]
        return dict(alive[-count:])

    def _evict(self, now: int) -> None:
        if now >= self._evict_at:
            self._evict_at = now + EVICT_INTERVAL_MS
            expired = [
                key for key, stream in self._streams.items() if stream.expires_at <= now
            ]
            for key in expired:
                del self._streams[key]
        if len(self._streams) >= MAX_STREAMS:
            del self._streams[next(iter(self._streams))]
