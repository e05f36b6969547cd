"""Hands on what the store tells, so that few instances have to ask it.

The coordinator follows the store and tells all others what is new. Two instances of
other data centres follow it as well and tell the coordinator: a cut between it and the
store then delays nothing, and nobody has to notice it first. Each row bears the version
of the store that wrote it, and each instance keeps the newest of a row, so that what
comes twice, late or by several ways does no harm.
"""

from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.messages import Hello, NodeInfo, RelayedRow, StoreUpdate
from arbutuspulley.node.server_rows import list_rows
from arbutuspulley.node.state import NodeState

FOLLOWERS = 2
"""Instances that follow the store beside the coordinator: with the loss of a data
centre one of the three is left."""

DEFERRED_INTERVAL_MS = 3 * SECOND_MS
"""How long a row is held back that says only which models a server holds, in ms: those
change with each load, and instances use them only while nobody coordinates. Told at
once, they alone would take more of each link than all control may."""

DEFERRED_BATCH_BYTES = 6_000
"""Most bytes of such rows that are told at a time: 2 KB a second of the 4 that an
instance may spend on control. The rest waits for the next time, the oldest first."""


class Relay:
    """The coordinator's part in it.

    :param state: the process's own.
    """

    __slots__ = ("_deferred", "_flushed_at", "_state", "followers")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._deferred: dict[str, RelayedRow] = {}
        self._flushed_at = 0
        self.followers: tuple[str, ...] = ()

    def reset(self) -> None:
        """Begin with nothing held back and no followers."""
        self._deferred.clear()
        self._flushed_at = self._state.clock.now()
        self.followers = ()

    @property
    def store_version(self) -> int:
        """Up to which version of the store all rows have been told."""
        versions = (row.version - 1 for row in self._deferred.values())
        return min(versions, default=self._state.store_version)

    def select_urgent(self, update: StoreUpdate) -> StoreUpdate | None:
        """Return what of some news is to be told at once; the rest is held back."""
        urgent: list[RelayedRow] = []
        for row in update.rows:
            if row.key in self._state.deferrable_rows and row.value:
                self._deferred[row.key] = row
            else:
                self._deferred.pop(row.key, None)
                urgent.append(row)
        if not urgent:
            return None
        return StoreUpdate(rows=tuple(urgent), was_away=update.was_away)

    def flush(self, now: int) -> StoreUpdate | None:
        """Return what was held back, once its time has come."""
        if now - self._flushed_at < DEFERRED_INTERVAL_MS:
            return None
        self._flushed_at = now
        rows: list[RelayedRow] = []
        remaining_bytes = DEFERRED_BATCH_BYTES
        for row in list(self._deferred.values()):
            remaining_bytes -= len(row.value)
            if remaining_bytes < 0:
                break
            rows.append(self._deferred.pop(row.key))
        return StoreUpdate(rows=tuple(rows)) if rows else None

    def build_catch_up(self, hello: Hello) -> StoreUpdate | None:
        """Return what rows an instance misses that has just linked up."""
        rows = list_rows(self._state, after=hello.store_version)
        return StoreUpdate(rows=rows) if rows else None

    def build_full_configuration(self, _base: int) -> StoreUpdate:
        """Return the configuration for an instance that understands no updates."""
        return StoreUpdate(configuration=self._state.configuration_body)

    def choose_followers(self, peers: Iterable[NodeInfo]) -> None:
        """Choose who else follows the store: the best placed, in other data centres.

        Whoever does so goes on as long as it is heard and reaches the store.

        :param peers: instances that may.
        """
        ready = {info.name: info for info in peers if info.is_ready}
        kept = [name for name in self.followers if name in ready]
        sites = {self._state.settings.site, *(ready[name].site for name in kept)}
        rest = sorted(ready.values(), key=lambda info: (-info.capacity, info.name))
        for is_new_site in (True, False):
            for info in rest:
                if len(kept) >= FOLLOWERS:
                    break
                if info.name in kept or is_new_site == (info.site in sites):
                    continue
                kept.append(info.name)
                sites.add(info.site)
        self.followers = tuple(kept)
