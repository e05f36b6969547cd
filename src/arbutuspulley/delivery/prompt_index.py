"""Software versions of the servers that keep a part of prompts, by part.

After the loss of all processes this tells where a stream began that no record names, as
long as it is collected before other prompts displace that of the stream.
"""

import hashlib
from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.ports.fleet import SoftwareVersion

MAX_PARTS = 100_000
"""Maximum number of parts, about 10 MB; further ones are not added."""

RETENTION_MS = 60 * SECOND_MS
"""Time for which parts are kept, in ms: streams that broke off before are resumed by
then."""

_KEY_BYTES = 8


def build_part_key(part: str) -> int:
    """Return the key of a part of prompts; 0 if the id is empty."""
    if not part:
        return 0
    digest = hashlib.blake2b(part.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


class PromptIndex:
    """What servers have answered when they were asked which parts they keep."""

    __slots__ = ("_expires_at", "_parts", "_silent", "_size")

    def __init__(self) -> None:
        self._expires_at = 0
        # By service and part; ``None``: servers of several versions keep it.
        self._parts: dict[str, dict[int, SoftwareVersion | None]] = {}
        self._silent: dict[str, set[SoftwareVersion]] = {}
        self._size = 0

    @property
    def is_full(self) -> bool:
        """Whether no more parts are added."""
        return self._size >= MAX_PARTS

    def restart(self, *, now: int) -> None:
        """Forget everything; what is added from now on is kept for a while."""
        self._expires_at = now + RETENTION_MS
        self._parts.clear()
        self._silent.clear()
        self._size = 0

    def add(
        self, service: str, version: SoftwareVersion, parts: Iterable[str] | None
    ) -> None:
        """Add the parts that a server keeps.

        :param parts: their ids; ``None``: it did not answer.
        """
        if parts is None or self.is_full:
            # What it keeps is unknown, so that its version may keep any part.
            self._silent.setdefault(service, set()).add(version)
            return
        known = self._parts.setdefault(service, {})
        before = len(known)
        for part in parts:
            key = build_part_key(part)
            known[key] = version if known.get(key, version) == version else None
        self._size += len(known) - before

    def find(self, service: str, key: int, *, now: int) -> SoftwareVersion | None:
        """Return the version whose servers alone keep a part.

        :param key: key of the part; 0: the request states none.
        :return: ``None`` if there is none, or it is not certain.
        """
        if not key or now >= self._expires_at:
            return None
        version = self._parts.get(service, {}).get(key)
        if version is None or not self._silent.get(service, set()) <= {version}:
            return None
        return version
