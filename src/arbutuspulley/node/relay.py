"""Relays store updates, so that few instances have to call the store.

The coordinator follows the store and relays all changes to the other instances. Two
instances of other data centres follow it as well and send changes to the coordinator: a
network fault between it and the store then delays nothing, and need not be detected
first. Each row carries the store's position at which it was written, and each instance
keeps the newest position of a row, so that rows which arrive twice, late or by several
ways do no harm.
"""

from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.messages import Hello, NodeInfo, RelayedRow, StoreUpdate
from arbutuspulley.node.server_rows import build_rows, list_row_keys
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.store_position import StorePosition

FOLLOWERS = 2
"""Number of instances that follow the store in addition to the coordinator: with the
loss of a data centre one of the three is left."""

DEFERRED_INTERVAL_MS = 3 * SECOND_MS
"""Interval between batches of deferred rows, in ms. Rows that change only which models
a server has loaded are deferred: they change with each load, and instances use them
only while there is no coordinator. Sent at once, they alone would take more of each
link than all control traffic may."""

DEFERRED_BATCH_BYTES = 6_000
"""Maximum size of a batch of deferred rows, in bytes: 2 KB a second of the 4 that an
instance may spend on control traffic. The rest waits for the next batch, the oldest
first."""


class Relay:
    """The coordinator's part of the relay.

    :param state: state of the process.
    """

    __slots__ = ("_deferred", "_flushed_at", "_state", "followers")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._deferred: dict[str, RelayedRow] = {}
        self._flushed_at = 0
        self.followers: tuple[str, ...] = ()

    def reset(self) -> None:
        """Start with no deferred rows and no followers."""
        self._deferred.clear()
        self._flushed_at = self._state.clock.now()
        self.followers = ()

    @property
    def store_position(self) -> StorePosition:
        """Position of the store up to which all rows have been sent."""
        before = (
            StorePosition(era=row.era, version=row.version - 1)
            for row in self._deferred.values()
        )
        return min(before, default=self._state.store_position)

    def select_urgent(self, update: StoreUpdate) -> StoreUpdate | None:
        """Return the part of a store update to be sent at once, and defer the rest."""
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
        """Return a batch of deferred rows, if one is due."""
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

    def list_missing_rows(self, hello: Hello) -> list[str]:
        """Return the keys of the rows that a newly linked instance is missing."""
        return list_row_keys(self._state, after=hello.store_position)

    def build_rows(self, keys: Iterable[str]) -> StoreUpdate:
        """Return the newest known rows of servers, for an instance that lacks them."""
        return StoreUpdate(rows=build_rows(self._state, keys))

    def build_full_configuration(self, _base: int) -> StoreUpdate:
        """Return the configuration for an instance that does not understand deltas."""
        return StoreUpdate(configuration=self._state.configuration_body)

    def choose_followers(self, peers: Iterable[NodeInfo]) -> None:
        """Choose the followers: instances with most capacity, in other data centres.

        A follower is kept as long as it is reachable and reaches the store.

        :param peers: instances that may be chosen.
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
