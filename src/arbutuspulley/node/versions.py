"""Recent versions of the configuration, and deltas between them.

A change by an operator affects one or two of thousands of routes. If each change sent
the full configuration to every instance, it would use as much of the coordinator's
bandwidth as all routes.
"""

import zlib
from collections.abc import Iterable

from arbutuspulley.node.messages import ConfigurationDelta, DeltaStep

_SEPARATOR = b"},"
"""Separator of the parts. Entries of the operator's JSON end with it, but any separator
gives correct results: parts are only compared and joined again."""

MAX_VERSIONS = 8
"""Maximum number of older versions: instances usually lag a few versions behind at
most, and one that lags further is sent the full configuration."""

MAX_OLDER_BYTES = 4_000_000
"""Maximum size of the older versions together, in bytes, out of the 128 MB that control
data may use."""

MAX_BODY_BYTES = 64_000_000
"""Maximum decompressed size of a delta's text, in bytes."""

_COMPRESSION_LEVEL = 3
"""zlib compression level. A delta is sent to many instances and built while they
wait."""


class Versions:
    """The newest versions of the configuration, as stored."""

    __slots__ = ("_bodies", "_deltas")

    def __init__(self) -> None:
        self._bodies: dict[int, bytes] = {}
        self._deltas: dict[int, ConfigurationDelta] = {}

    @property
    def newest(self) -> int:
        """Number of the newest version; 0: none."""
        return max(self._bodies, default=0)

    def add(self, version: int, body: bytes) -> None:
        """Add a version that is newer than all others."""
        self._bodies[version] = body
        self._deltas.clear()
        while len(self._bodies) > 1 and self._exceeds_limits(version):
            del self._bodies[min(self._bodies)]

    def _exceeds_limits(self, newest: int) -> bool:
        older = [
            len(body) for version, body in self._bodies.items() if version != newest
        ]
        return len(older) >= MAX_VERSIONS or sum(older) > MAX_OLDER_BYTES

    def build_delta(self, base: int) -> ConfigurationDelta:
        """Return the delta from a version to the newest one.

        :param base: version that the receiver has; if it is unknown here, the delta
            contains the full configuration.
        """
        delta = self._deltas.get(base)
        if delta is None:
            delta = self._deltas[base] = self._build(base)
        return delta

    def _build(self, base: int) -> ConfigurationDelta:
        newest = self.newest
        body = self._bodies[newest]
        is_known = base in self._bodies
        old = self._bodies[base].split(_SEPARATOR) if is_known else []
        steps, added = _build_steps(old, body.split(_SEPARATOR))
        return ConfigurationDelta(
            version=newest,
            base=base if is_known else 0,
            steps=tuple(steps),
            text=zlib.compress(_SEPARATOR.join(added), _COMPRESSION_LEVEL),
            checksum=zlib.crc32(body),
        )

    def apply(self, delta: ConfigurationDelta) -> bytes | None:
        """Return the version that a delta produces.

        :return: ``None`` if the delta's base is unknown here or has other content.
        """
        base = self._bodies.get(delta.base)
        if base is None and delta.base:
            return None
        old = base.split(_SEPARATOR) if base is not None else []
        try:
            unpacked = zlib.decompressobj().decompress(delta.text, MAX_BODY_BYTES)
        except zlib.error:
            return None
        added = iter(unpacked.split(_SEPARATOR))
        body = _SEPARATOR.join(_apply_steps(delta.steps, old, added))
        return body if zlib.crc32(body) == delta.checksum else None


def _build_steps(
    old: list[bytes], new: list[bytes]
) -> tuple[list[DeltaStep], list[bytes]]:
    """Return the steps from old parts to new ones, and the parts that they add.

    Runs in time linear in the number of parts, even if parts repeat.
    """
    positions = {part: number for number, part in enumerate(old)}
    steps: list[DeltaStep] = []
    added: list[bytes] = []
    start = count = fresh = 0
    for part in new:
        next_position = start + count
        is_next = next_position < len(old) and old[next_position] == part
        if is_next and not fresh:
            count += 1
            continue
        found = next_position if is_next else positions.get(part)
        if found is None:
            fresh += 1
            added.append(part)
            continue
        steps.append(DeltaStep(start=start, count=count, fresh=fresh))
        start, count, fresh = found, 1, 0
    steps.append(DeltaStep(start=start, count=count, fresh=fresh))
    return steps, added


def _apply_steps(
    steps: Iterable[DeltaStep], old: list[bytes], added: Iterable[bytes]
) -> Iterable[bytes]:
    fresh = iter(added)
    for step in steps:
        yield from old[step.start : step.start + step.count]
        yield from (part for _, part in zip(range(step.fresh), fresh, strict=False))
