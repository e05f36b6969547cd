"""Versions of the configuration, and updates from one to the next.

An operator changes a route or two of thousands. Sent whole to each instance, every
change would take as much of the coordinator's link as all routes take.
"""

import zlib
from collections.abc import Iterable

from arbutuspulley.node.messages import ConfigurationDelta, DeltaStep

_SEPARATOR = b"},"
"""Ends a part. Entries of the operator's JSON end so, but any cut gives right results:
parts are only compared and joined again."""

MAX_VERSIONS = 8
"""Versions that are kept at most: instances are told a new one before another few have
come, and one that is further behind is sent the whole."""

MAX_OLDER_BYTES = 4_000_000
"""Most bytes of these beside the newest, of the 128 MB that control may take."""

MAX_BODY_BYTES = 64_000_000
"""Longest text of an update, in bytes, that is unpacked."""

_COMPRESSION_LEVEL = 3
"""Level of compression: an update is sent to many, and built while they wait."""


class Versions:
    """The newest versions, as the store holds them."""

    __slots__ = ("_bodies", "_deltas")

    def __init__(self) -> None:
        self._bodies: dict[int, bytes] = {}
        self._deltas: dict[int, ConfigurationDelta] = {}

    @property
    def newest(self) -> int:
        """The newest version; 0: none is known."""
        return max(self._bodies, default=0)

    def add(self, version: int, body: bytes) -> None:
        """Keep a version that is newer than all others."""
        self._bodies[version] = body
        self._deltas.clear()
        while len(self._bodies) > 1 and self._exceeds_limits(version):
            del self._bodies[min(self._bodies)]

    def _exceeds_limits(self, newest: int) -> bool:
        older = [len(body) for one, body in self._bodies.items() if one != newest]
        return len(older) >= MAX_VERSIONS or sum(older) > MAX_OLDER_BYTES

    def build_delta(self, base: int) -> ConfigurationDelta:
        """Return what leads from a version to the newest one.

        :param base: the version that the receiver has; if it is not known here, the
            update carries the whole.
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
        """Return the version that an update leads to.

        :return: ``None`` if its base is not known here or it was not made for it.
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
    """Return steps that lead from old parts to new ones, and the parts they add.

    Takes time in proportion to the parts, whatever is repeated among them.
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
