"""Watches the operator's configuration and the server entries in the store.

Few instances call the store; the coordinator relays its changes to all others, see
:mod:`arbutuspulley.node.relay`. An instance without a relay calls the store itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from arbutuspulley.admission.keys import build_key_table
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.decoding import UndecodableError
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import ConfigurationDelta, StoreUpdate
from arbutuspulley.node.server_rows import LAPSED_ENTRY_GRACE_MS, apply_server_rows
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform import names
from arbutuspulley.platform.messages import decode_configuration
from arbutuspulley.platform.store import (
    FEED_TIMEOUT_MARGIN_S,
    FEED_WAIT_MS,
    HistoryLostError,
    RowsAnswer,
    StoredRow,
)
from arbutuspulley.ports.store_position import NO_POSITION, StorePosition
from arbutuspulley.results import ConfigurationError, PlatformUnavailableError
from arbutuspulley.routing.route_table import build_route_table

INITIAL_BACKOFF_MS = 250
"""First backoff after a failed call to the store, in ms; doubled up to the maximum."""

MAX_BACKOFF_MS = 1_000
"""Maximum backoff, in ms: a configuration must be active 2 s after it was accepted,
also right after the store has recovered."""

CHANGE_BATCH_MS = 400
"""Delay after changes of server entries before the next call, in ms. Entries change one
after another when servers are ordered to load models, and each answer would contain
only one. The delay does no harm: a leaving server may get requests for 2 s more, and a
new one takes 1.2 s to load its first model."""

MIN_OUTAGE_MS = 1_000
"""After an outage longer than this, in ms, entries of running servers may have lapsed:
the servers could not write to the store either."""

FOLLOW_TIMEOUT_MS = (
    FEED_WAIT_MS + int(FEED_TIMEOUT_MARGIN_S * SECOND_MS) + CHANGE_BATCH_MS
)
"""A table without an answer of the store for this long, in ms, is not followed: a call
that waits for changes is answered or times out within this time."""

RELAY_POLL_MS = 150
"""Poll interval of whether the store's changes are still relayed, in ms."""

MIN_FALLBACK_DELAY_MS = 150
MAX_FALLBACK_DELAY_MS = 600
"""Bounds of the random delay after which an instance that lost its relay calls the
store itself, in ms. A coordinator that stops usually has a successor within that time,
and the jitter spreads the calls of all instances. The lower bound does not apply if the
coordinator itself wants this instance to follow the store."""

FALLBACK_DELAY_PER_INSTANCE_MS = 10
"""Increase of the upper bound per instance, in ms. It limits the calls to about a
hundred per second, which is little for the store, and small fleets need not wait
long."""


REWRITE_GRACE_MS = 2_000
"""Time after the store has come back from a copy during which rows that it lacks may be
written again, in ms. Its answers do not confirm the active configuration meanwhile: a
newer one may be lost."""

FIRST_ERA = 1
"""Era of a store that has never come back from a copy."""

NO_WAIT_MS = 1
"""Wait of a call that only asks for the changes so far, in ms."""

FIRST_COORDINATOR_WAIT_MS = 1_000
"""How long a process that has just started waits for a coordinator's first status
before it asks the store for changes, in ms. Most find a coordinator within half a
second, and it sends them what has changed since they read the store."""


async def _assume_up_to_date() -> bool:
    return True


async def follow_configuration(
    state: NodeState,
    *,
    is_store_relayed: Callable[[], bool] = lambda: False,
    is_starting: Callable[[], bool] = lambda: False,
    update_from_neighbours: Callable[[], Awaitable[bool]] = _assume_up_to_date,
) -> None:
    """Keep the newest configuration active; never returns.

    :param is_store_relayed: returns whether another instance relays the store's
        changes.
    :param is_starting: returns whether this process still waits for a coordinator's
        first status.
    :param update_from_neighbours: activates the newest configuration that other
        instances have, and returns whether one of them knows what was newest at some
        time. Called once, before an answer of the store first counts as confirmation.
    """
    await _TableFollower(
        state=state,
        table=names.OPERATOR_TABLE,
        apply_rows=lambda state, rows, **_how: apply_configuration_rows(state, rows),
        get_position=lambda: None,
        is_store_relayed=is_store_relayed,
        is_starting=is_starting,
        batch_ms=0,
        wants_newest_only=True,
        record_confirmed=lambda at: state.freshness.confirm(at, source="store"),
        update_from_neighbours=update_from_neighbours,
    ).follow()


async def follow_servers(
    state: NodeState,
    *,
    is_store_relayed: Callable[[], bool] = lambda: False,
    is_starting: Callable[[], bool] = lambda: False,
) -> None:
    """Keep the server entries up to date; never returns.

    :param is_store_relayed: as for :func:`follow_configuration`.
    :param is_starting: likewise.
    """
    follower = _TableFollower(
        state=state,
        table=names.SERVERS_TABLE,
        apply_rows=apply_server_rows,
        get_position=lambda: (
            None if state.store_position == NO_POSITION else state.store_position
        ),
        is_store_relayed=is_store_relayed,
        is_starting=is_starting,
        batch_ms=CHANGE_BATCH_MS,
        wants_newest_only=False,
        record_confirmed=lambda at: state.server_view.confirm(at),
    )
    state.server_view.fetch = follower.fetch
    await follower.follow()


def is_following_store(state: NodeState) -> bool:
    """Return whether this process receives all changes from the store."""
    now = state.clock.now()
    tables = (names.OPERATOR_TABLE, names.SERVERS_TABLE)
    return all(
        now - state.followed_at.get(table, -FOLLOW_TIMEOUT_MS) < FOLLOW_TIMEOUT_MS
        for table in tables
    )


def get_max_fallback_delay_ms(instances: int) -> int:
    """Return the maximum delay before an instance calls the store itself, in ms.

    :param instances: number of instances.
    """
    spread = FALLBACK_DELAY_PER_INSTANCE_MS * max(1, instances)
    return min(MAX_FALLBACK_DELAY_MS, MIN_FALLBACK_DELAY_MS + spread)


class ApplyRows(Protocol):
    """Applies rows of a table.

    ``is_full_read`` is whether these are all rows of the table as of ``position``,
    ``was_unavailable`` whether the store was unavailable shortly before.
    """

    def __call__(
        self,
        state: NodeState,
        rows: list[StoredRow],
        *,
        is_full_read: bool,
        was_unavailable: bool,
        position: StorePosition,
    ) -> StoreUpdate:
        """Apply the rows and return the ones that were newer than the known rows."""


class _PollTimeoutError(PlatformUnavailableError):
    """A long poll was not answered in time."""


class _TableFollower:
    """Follows the changes of one table.

    The store sends each change of a row with its full value. If only the newest value
    counts, a reader that has missed changes reads the row instead: fetching all missed
    changes may take longer than writing new ones.

    :param get_position: returns the position after which to ask for changes once a
        relay or a call has failed; ``None``: all rows have to be read.
    :param batch_ms: delay after changes, in ms, so that one answer contains several.
    :param wants_newest_only: whether a row's newer value makes the older ones obsolete.
    :param record_confirmed: called after an answer was applied with the time when its
        call was sent, in ms: the known state is at least as new as that. Not called
        while the store may lack changes that it had accepted.
    :param update_from_neighbours: as for :func:`follow_configuration`.
    """

    __slots__ = (
        "_apply_rows",
        "_batch_ms",
        "_called_at",
        "_era",
        "_era_seen_at",
        "_failed_at",
        "_get_position",
        "_has_asked_neighbours",
        "_has_missed_versions",
        "_is_starting",
        "_is_store_relayed",
        "_record_confirmed",
        "_recovered_at",
        "_state",
        "_table",
        "_update_from_neighbours",
        "_wants_newest_only",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        table: str,
        apply_rows: ApplyRows,
        get_position: Callable[[], StorePosition | None],
        is_store_relayed: Callable[[], bool],
        is_starting: Callable[[], bool],
        batch_ms: int,
        wants_newest_only: bool,
        record_confirmed: Callable[[int], None] = lambda _at: None,
        update_from_neighbours: Callable[[], Awaitable[bool]] = _assume_up_to_date,
    ) -> None:
        self._state = state
        self._has_asked_neighbours = False
        self._update_from_neighbours = update_from_neighbours
        self._record_confirmed = record_confirmed
        self._has_missed_versions = False
        self._wants_newest_only = wants_newest_only
        self._get_position = get_position
        self._is_store_relayed = is_store_relayed
        self._is_starting = is_starting
        self._batch_ms = batch_ms
        self._table = table
        self._apply_rows = apply_rows
        self._called_at = 0
        self._era: int | None = None
        self._era_seen_at = -REWRITE_GRACE_MS
        self._failed_at: int | None = None
        self._recovered_at = -LAPSED_ENTRY_GRACE_MS

    async def follow(self) -> None:
        """Read all rows, then wait for changes; start over whenever that fails."""
        backoff_ms = INITIAL_BACKOFF_MS
        is_history_lost = False
        position: StorePosition | None = None
        began_at = self._state.clock.now()
        while True:
            if self._is_store_relayed() and not self._awaits_rewrites():
                await self._wait_while_relayed()
                position = self._get_position()
            try:
                read_after, position = position, await self._read_changes(position)
                if read_after is not None:
                    is_history_lost = False
                if not is_history_lost:
                    backoff_ms = INITIAL_BACKOFF_MS
                await self._wait_for_coordinator(since=began_at)
                await self._ask_neighbours()
                self._confirm(self._called_at)
                await asyncio.sleep(self._batch_ms / SECOND_MS)
            except HistoryLostError:
                self._log_history_lost(position)
                position = None
                if is_history_lost:
                    backoff_ms = await self._back_off(backoff_ms)
                is_history_lost = True
            except _PollTimeoutError as error:
                # No backoff: the store may have recovered since it took the poll.
                self._record_failure(error.detail)
                position = self._get_position()
            except PlatformUnavailableError as error:
                self._record_failure(error.detail)
                backoff_ms = await self._back_off(backoff_ms)
                position = self._get_position()

    async def fetch(self) -> bool:
        """Read the changes so far, beside a call that waits for further ones.

        :return: whether the known state is confirmed as of now.
        """
        position = self._state.store_position
        if position == NO_POSITION:
            return False
        asked_at = self._state.clock.now()
        try:
            answer = await self._state.store.wait_for_changes(
                self._table, after=position, wait_ms=NO_WAIT_MS
            )
        except PlatformUnavailableError:
            return False
        self._record_era(answer.position.era)
        self._apply(answer, is_full_read=False)
        return self._confirm(asked_at)

    def _log_history_lost(self, position: StorePosition | None) -> None:
        position = position or NO_POSITION
        log_event(
            Event.HISTORY_LOST,
            table=self._table,
            era=position.era,
            version=position.version,
        )

    async def _back_off(self, backoff_ms: int) -> int:
        """Wait before the next attempt, with jitter.

        :param backoff_ms: maximum wait, in ms.
        :return: maximum wait before the attempt after that, in ms.
        """
        jitter = self._state.rng.uniform(0.5, 1.0)
        await asyncio.sleep(backoff_ms * jitter / SECOND_MS)
        return min(MAX_BACKOFF_MS, backoff_ms * 2)

    async def _wait_for_coordinator(self, *, since: int) -> None:
        """Wait briefly for the first coordinator status.

        :param since: when this process started to follow the table, in ms.
        """
        until = since + FIRST_COORDINATOR_WAIT_MS
        while self._is_starting() and self._state.clock.now() < until:
            await asyncio.sleep(RELAY_POLL_MS / SECOND_MS)

    async def _wait_while_relayed(self) -> None:
        """Return once the relay has been lost for the fallback delay."""
        self._state.followed_at.pop(self._table, None)
        self._failed_at = None
        while self._is_store_relayed():
            while self._is_store_relayed():
                await self._wait_for_follow_request(RELAY_POLL_MS)
            longest = get_max_fallback_delay_ms(self._state.instances)
            wait = self._state.rng.uniform(MIN_FALLBACK_DELAY_MS, longest)
            if self._state.follow_requested.is_set():
                wait -= MIN_FALLBACK_DELAY_MS
            log_event(Event.RELAY_LOST, table=self._table, wait_ms=int(wait))
            await asyncio.sleep(wait / SECOND_MS)

    async def _wait_for_follow_request(self, timeout_ms: int) -> None:
        """Wait until the coordinator wants this instance to follow the store.

        :param timeout_ms: longest wait, in ms.
        """
        try:
            async with asyncio.timeout(timeout_ms / SECOND_MS):
                await self._state.follow_requested.wait()
        except TimeoutError:
            pass

    async def _poll(self, position: StorePosition) -> RowsAnswer:
        """Make a long poll.

        :param position: position after which to ask for changes.
        :raises _PollTimeoutError: if the store did not answer in time.
        """
        state = self._state
        schedule = state.feed_schedule
        sent_at = state.clock.now()
        wait_ms = schedule.begin(self._table, now=sent_at)
        try:
            answer = await state.store.wait_for_changes(
                self._table, after=position, wait_ms=wait_ms
            )
        except HistoryLostError:
            raise
        except PlatformUnavailableError as error:
            if state.clock.now() - sent_at > wait_ms:
                raise _PollTimeoutError(detail=error.detail) from error
            raise
        finally:
            schedule.finish(self._table)
        schedule.record_answer(now=state.clock.now())
        return answer

    async def _read_changes(
        self, position: StorePosition | None
    ) -> StorePosition | None:
        """Make one call to the store and apply its answer.

        :param position: position after which to ask for changes; ``None``: all rows are
            read.
        :return: the position for the next call.
        """
        store = self._state.store
        self._called_at = self._state.clock.now()
        if position is None:
            answer = await store.read(self._table)
        else:
            answer = await self._poll(position)
        self._record_answer()
        self._state.followed_at[self._table] = self._state.clock.now()
        self._record_era(answer.position.era)
        update = self._apply(answer, is_full_read=position is None)
        if self._wants_newest_only and self._check_missed_versions(
            answer, update, position
        ):
            return None
        return answer.position

    def _apply(self, answer: RowsAnswer, *, is_full_read: bool) -> StoreUpdate:
        now = self._state.clock.now()
        update = self._apply_rows(
            self._state,
            answer.rows,
            is_full_read=is_full_read,
            was_unavailable=now - self._recovered_at < LAPSED_ENTRY_GRACE_MS,
            position=answer.position,
        )
        if update.configuration or update.rows:
            self._state.notify_store_update(update)
        return update

    def _record_era(self, era: int) -> None:
        if self._era is not None and era != self._era:
            self._era_seen_at = self._state.clock.now()
        self._era = era

    async def _ask_neighbours(self) -> None:
        """Ask other instances for what a copy may lack; done once.

        A process that has just started does not know how long the store has been back
        from a copy. Others have what the copy lacks; if none of them is there, the
        store counts as back since the first answer.
        """
        if self._has_asked_neighbours:
            return
        self._has_asked_neighbours = True
        is_up_to_date = await self._update_from_neighbours()
        if not is_up_to_date and (self._era or 0) > FIRST_ERA:
            self._era_seen_at = max(self._era_seen_at, self._called_at)

    def _confirm(self, asked_at: int) -> bool:
        """Confirm the known state as of a call, unless a copy may lack changes.

        :return: whether it is confirmed.
        """
        is_complete = asked_at - self._era_seen_at >= REWRITE_GRACE_MS
        if is_complete:
            self._record_confirmed(asked_at)
        return is_complete

    def _awaits_rewrites(self) -> bool:
        """Return whether rows that a copy lacks may still be written again.

        An instance that has read the copy itself does not rely on the relay for them.
        Others that read it after such a row was written again find the row as they knew
        it, and relay nothing.
        """
        return self._state.clock.now() - self._era_seen_at < REWRITE_GRACE_MS

    def _check_missed_versions(
        self, answer: RowsAnswer, update: StoreUpdate, position: StorePosition | None
    ) -> bool:
        """Return whether several versions were missed, so that the row must be read.

        Reads then repeat until one returns nothing newer.
        """
        if position is not None:
            self._has_missed_versions = len(answer.rows) > 1
        elif not update.configuration:
            self._has_missed_versions = False
        return self._has_missed_versions

    def _record_failure(self, detail: str) -> None:
        if self._state.followed_at.pop(self._table, None) is not None:
            self._state.notify_store_lost()
        if self._failed_at is None:
            self._failed_at = self._state.clock.now()
            log_event(Event.PLATFORM_DOWN, table=self._table, detail=detail)

    def _record_answer(self) -> None:
        if self._failed_at is None:
            return
        now = self._state.clock.now()
        away_ms = now - self._failed_at
        self._failed_at = None
        if away_ms >= MIN_OUTAGE_MS:
            self._recovered_at = now
        log_event(Event.PLATFORM_UP, table=self._table, away_ms=away_ms)


def apply_configuration_rows(state: NodeState, rows: list[StoredRow]) -> StoreUpdate:
    """Activate a configuration from the store if it is newer than the active one."""
    body = b""
    for row in rows:
        if row.key != names.CONFIGURATION_KEY or row.value is None:
            continue
        if activate_configuration(state, row.value, by="store"):
            body = row.value
    return StoreUpdate(configuration=body)


def activate_configuration(state: NodeState, body: bytes, *, by: str) -> bool:
    """Activate a configuration if it is newer than the active one.

    :param by: source: ``store``, ``coordinator``, ``follower`` or ``neighbour``.
    :return: whether it was activated.
    """
    try:
        configuration = decode_configuration(body)
        teams = configuration.teams
        keys = None if teams is None else build_key_table(teams, previous=state.keys)
    except UndecodableError as error:
        _reject_configuration(state, str(error))
        return False
    except ConfigurationError as error:
        _reject_configuration(state, error.show(), code=error.code)
        return False
    state.rejected_rows.forget(names.OPERATOR_TABLE, names.CONFIGURATION_KEY)
    current = state.configuration
    if current is not None and configuration.version <= current.version:
        if configuration.version < current.version:
            log_event(
                Event.OLDER_CONFIGURATION_IGNORED,
                offered=configuration.version,
                in_force=current.version,
                by=by,
            )
        return False
    state.configuration = configuration
    state.keys = keys
    state.configuration_body = body
    state.versions.add(configuration.version, body)
    state.table = build_route_table(configuration)
    state.metrics.version.set(configuration.version)
    log_event(
        Event.CONFIGURATION_IN_FORCE,
        version=configuration.version,
        routes=len(configuration.routes),
        bytes=len(body),
        by=by,
    )
    state.metrics.configurations.labels(by).inc()
    state.notify_change()
    return True


def _reject_configuration(state: NodeState, why: str, **fields: Any) -> None:
    """Count and log a configuration that can't be used, once per reason."""
    if state.rejected_rows.record(
        names.OPERATOR_TABLE, names.CONFIGURATION_KEY, detail=why
    ):
        log_event(Event.CONFIGURATION_REFUSED, detail=why, **fields)


def apply_configuration_delta(
    state: NodeState, update: ConfigurationDelta, *, by: str
) -> bool:
    """Activate a newer configuration from a delta that another instance sent.

    :param by: source, as for :func:`activate_configuration`.
    :return: whether it was activated.
    """
    if update.version <= state.configuration_version:
        return False
    body = state.versions.apply(update)
    if body is None:
        log_event(
            Event.CONFIGURATION_MISSED,
            version=update.version,
            base=update.base,
            in_force=state.configuration_version,
            by=by,
        )
        return False
    return activate_configuration(state, body, by=by)


def apply_store_update(
    state: NodeState, update: StoreUpdate, *, by: str
) -> StoreUpdate:
    """Apply changes of the store that another instance relayed.

    :param by: source: ``coordinator`` or ``follower``.
    :return: the changes that were newer than the known state.
    """
    body = update.configuration
    era = state.store_position.era
    is_newer = bool(body) and activate_configuration(state, body, by=by)
    rows = [
        StoredRow(
            key=row.key,
            # A process of an earlier release states no era.
            position=row.position
            if row.era
            else StorePosition(era=era, version=row.version),
            value=row.value or None,
        )
        for row in update.rows
    ]
    applied = apply_server_rows(
        state, rows, is_full_read=False, was_unavailable=update.was_away, by=by
    )
    return msgspec.structs.replace(applied, configuration=body if is_newer else b"")
