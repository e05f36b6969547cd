"""Elects one coordinator: claims, renews and releases the lease in the store."""

import asyncio

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.capacity import (
    MAX_CLAIM_DELAY_MS,
    get_claim_delay_ms,
    has_much_more_capacity,
)
from arbutuspulley.membership.coordinator_lease import (
    CoordinatorLeaseState,
    LeaseRow,
    build_claim,
    build_release,
    confirm_claim,
    get_claim_wait_ms,
    get_free_ms,
    get_inherited_loads,
    get_renew_interval_ms,
    get_turn_wait_ms,
    is_copied,
    is_holder,
    is_own_row,
    mark_lost,
    update_era,
    update_row,
    update_store_clock,
)
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import ToCoordinator
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.store import RowsAnswer, WriteAnswer
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

LEASE_TABLE = "arbutus-lease"
LEASE_KEY = "coordinator"

ERA_KEY_PREFIX = "era-"
"""Prefix of the key of an era's own row; the number of the era follows."""

TICK_MS = 100
"""Interval between checks of the lease and the link, in ms."""

MIN_READ_INTERVAL_MS = 400
"""Minimum interval between reads of the lease without a reachable coordinator, in
ms."""

READ_INTERVAL_PER_INSTANCE_MS = 20
"""Minimum interval between reads for each known instance, in ms: up to a hundred
instances together read the lease 50 times a second; in a larger fleet each reads it at
the maximum interval."""

MAX_READ_INTERVAL_MS = 2_000
"""Maximum interval between reads, in ms: a lease is free half its duration after its
last renewal, and an instance that finds the new holder late serves callers without a
coordinator."""

MIN_SCHEDULED_READ_MS = 20
"""Minimum interval between two reads, in ms, when the time of the next one is known."""

READ_JITTER_MS = 40
"""Maximum jitter of reads, in ms: instances of equal capacity that read a free lease at
the same moment would all claim it."""

ISOLATION_TIMEOUT_MS = 2_000
"""Time after which a coordinator that reaches no other instance releases the lease, in
ms: the network fault is probably on its side."""

CLAIM_COOLDOWN_MS = 1_500
"""Time for which an instance that has handed over the lease does not claim it, in ms.
If no other instance claims it meanwhile, an isolated one really is alone, and keeps the
lease the next time."""

RELEASE_READ_TIMEOUT_MS = 500
"""Timeout of the read that precedes the release of the lease at a planned stop, in ms:
it is repeated, and callers with an old address are served meanwhile."""

HANDOVER_DELAY_MS = 3_000
"""Time for which an instance with much more capacity must have been linked before the
lease is handed over to it, in ms: one that has just started may stop again soon."""

CUT_OFF_HANDOVER_MS = 500
"""Time for which a coordinator must reach no server before it hands the lease over to
an instance that does, in ms: without orders no model is loaded."""

CUT_OFF_CLAIM_DELAY_MS = 1_000
"""Additional delay before an instance that reaches no server claims the lease, in ms,
which lets others go first. It claims it in the end: grants need no path to servers."""


class Election:
    """The part of one process in the election."""

    __slots__ = (
        "_accepts_isolation",
        "_claim_delay_ms",
        "_cooldown_until",
        "_coordinator",
        "_cut_off_since",
        "_lease",
        "_link",
        "_next_read_at",
        "_obsolete_keys",
        "_outranked_since",
        "_state",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        lease: CoordinatorLeaseState,
        link: Link,
        coordinator: Coordinator,
    ) -> None:
        self._state = state
        self._lease = lease
        self._link = link
        self._coordinator = coordinator
        self._outranked_since: int | None = None
        self._cut_off_since: int | None = None
        self._claim_delay_ms = 0
        self._next_read_at: int | None = None
        self._cooldown_until = 0
        self._accepts_isolation = False
        self._obsolete_keys: tuple[str, ...] = ()

    async def run(self) -> None:
        """Take part until cancelled; a process that is stopping only follows others."""
        while True:
            try:
                await self._tick()
            except (PlatformUnavailableError, OutcomeUnknownError) as error:
                # The next read resolves an unknown outcome: the row shows whether the
                # claim was written.
                log_event(Event.LEASE_UNSETTLED, detail=error.detail)
                self._lease.version = -1
            await asyncio.sleep(TICK_MS / SECOND_MS)

    async def release_lease(self, *, is_final: bool) -> bool:
        """Release the lease at a planned stop.

        :param is_final: whether to stop coordinating even if the store is unavailable,
            so that no other instance can take the lease.
        :return: whether this instance has stopped coordinating.
        """
        was_active = self._coordinator.is_active
        if was_active and not is_final and not await self._reaches_store():
            return False
        if is_holder(self._lease, now=self._state.clock.now()):
            await self._release()
        if was_active:
            self._step_down("stopping")
        return True

    async def _reaches_store(self) -> bool:
        """Return whether the lease can be read now."""
        try:
            async with asyncio.timeout(RELEASE_READ_TIMEOUT_MS / SECOND_MS):
                await self._read()
        except PlatformUnavailableError as error:
            detail = error.detail
        except TimeoutError:
            detail = "the store did not answer in time"
        else:
            return True
        log_event(Event.LEASE_UNSETTLED, detail=detail)
        return False

    async def _tick(self) -> None:
        now = self._state.clock.now()
        self._link.check_timeout()
        if self._coordinator.is_active and self._is_isolated(now):
            self._accepts_isolation = True
            await self._hand_over("alone", now=now)
            return
        if is_holder(self._lease, now=now) and self._coordinator.is_active:
            if (
                self._state.stopping_at is None
                and now - self._lease.renewed_at >= get_renew_interval_ms(self._lease)
            ):
                await self._renew()
            elif self._is_outranked(now):
                await self._hand_over("better placed", now=now)
            elif self._is_cut_off(now):
                await self._hand_over("no server reached", now=now)
            return
        if self._link.is_up and not self._coordinator.is_active:
            status = self._link.status
            if status is not None and status.is_holder:
                self._next_read_at = None
                return
        if self._next_read_at is None:
            self._claim_delay_ms = self._draw_claim_delay()
            self._next_read_at = now + self._claim_delay_ms
        if now >= self._next_read_at:
            self._next_read_at = now + self._get_read_interval()
            await self._check_lease()
            self._next_read_at = self._get_next_read_time()

    def _draw_claim_delay(self) -> int:
        """Return how long instances with more capacity go first plus jitter, in ms."""
        state = self._state
        others = [
            info.capacity
            for info in state.nodes
            if info.is_ready and info.name != state.settings.name
        ]
        delay = get_claim_delay_ms(state.capacity, others)
        if others:
            delay += self._get_turn_delay()
        if not state.reaches_servers:
            delay += CUT_OFF_CLAIM_DELAY_MS
        return delay + state.rng.randrange(READ_JITTER_MS)

    def _get_turn_delay(self) -> int:
        """Return how long instances that may order at once go first, in ms."""
        wait_ms = get_turn_wait_ms(self._lease, now=self._state.clock.now())
        return MAX_CLAIM_DELAY_MS if wait_ms > MAX_CLAIM_DELAY_MS else 0

    def _get_read_interval(self) -> int:
        fleet_ms = READ_INTERVAL_PER_INSTANCE_MS * self._state.instances
        return min(MAX_READ_INTERVAL_MS, max(MIN_READ_INTERVAL_MS, fleet_ms))

    def _get_next_read_time(self) -> int:
        """Return when the lease is to be read again, in ms.

        That is once it has been free for this instance's claim delay. An instance that
        reads it just as it becomes free would claim it before one with more capacity.
        """
        now = self._state.clock.now()
        wait = get_claim_wait_ms(self._lease, now=now)
        if wait is None:
            return now + self._get_read_interval()
        self._claim_delay_ms = self._draw_claim_delay()
        if wait:
            return now + max(MIN_SCHEDULED_READ_MS, wait + self._claim_delay_ms)
        remaining = self._claim_delay_ms - get_free_ms(self._lease, now=now)
        return now + (
            max(MIN_SCHEDULED_READ_MS, remaining)
            if remaining > 0
            else self._get_read_interval()
        )

    def _is_outranked(self, now: int) -> bool:
        """Tell whether a much larger instance has been linked long enough."""
        best = self._coordinator.find_largest_capacity()
        if not has_much_more_capacity(best, self._state.capacity):
            self._outranked_since = None
            return False
        if self._outranked_since is None:
            self._outranked_since = now
        return now - self._outranked_since >= HANDOVER_DELAY_MS

    def _is_cut_off(self, now: int) -> bool:
        """Tell whether only other instances have reached servers for long enough."""
        if self._state.reaches_servers or not self._coordinator.has_reaching_peer():
            self._cut_off_since = None
            return False
        if self._cut_off_since is None:
            self._cut_off_since = now
        return now - self._cut_off_since >= CUT_OFF_HANDOVER_MS

    async def _hand_over(self, why: str, *, now: int) -> None:
        self._outranked_since = self._cut_off_since = None
        self._cooldown_until = now + CLAIM_COOLDOWN_MS
        await self._release()
        self._step_down(why)

    def _is_isolated(self, now: int) -> bool:
        since = self._coordinator.isolated_since
        if since is None:
            self._accepts_isolation = False
            return False
        return not self._accepts_isolation and now - since >= ISOLATION_TIMEOUT_MS

    async def _read(self) -> None:
        """Read the lease's row and the era's own row."""
        answer = await self._state.store.read(LEASE_TABLE)
        self._apply_answer(answer)
        rows = {row.key: row for row in answer.rows}
        row = rows.pop(LEASE_KEY, None)
        era_row = rows.pop(self._era_key, None)
        self._obsolete_keys = tuple(rows)
        is_lease = update_row(
            self._lease,
            row.value if row else None,
            version=row.position.version if row else 0,
            era_row_version=era_row.position.version if era_row else 0,
            store_ms=answer.now_ms,
        )
        if not is_lease:
            self._state.rejected_rows.log(LEASE_TABLE, LEASE_KEY)

    @property
    def _era_key(self) -> str:
        return f"{ERA_KEY_PREFIX}{self._lease.era}"

    def _apply_answer(self, answer: RowsAnswer | WriteAnswer) -> bool:
        """Apply the era and the clock of an answer.

        :return: whether a new era has begun.
        """
        now = self._state.clock.now()
        is_new_era = update_era(self._lease, answer.position.era, now=now)
        update_store_clock(self._lease, answer.now_ms, now=now)
        return is_new_era

    async def _check_lease(self) -> None:
        """Read the lease, follow its holder, and claim it if it is free."""
        await self._read()
        now = self._state.clock.now()
        self._follow_holder()
        if self._get_turn_delay() > self._claim_delay_ms:
            # What was drawn before the read did not count the own turn.
            self._claim_delay_ms = self._draw_claim_delay()
        is_free = get_claim_wait_ms(self._lease, now=now) == 0
        may_claim = now >= self._cooldown_until and self._state.stopping_at is None
        is_due = get_free_ms(self._lease, now=now) >= self._claim_delay_ms
        if is_free and may_claim and is_due:
            await self._claim()

    def _follow_holder(self) -> None:
        """Step down if another process holds the lease as read, and link to it."""
        row = self._lease.row
        if row is None or not row.boot or row.boot == self._lease.boot:
            return
        is_linked = self._coordinator.is_active or self._link.is_up
        if is_linked and is_copied(self._lease):
            # The row names a previous holder.
            return
        if self._coordinator.is_active:
            self._step_down("replaced")
        if row.holder != self._lease.name:
            self._accepts_isolation = False
            self._link.connect_to(row.link)

    async def _claim(self) -> None:
        inherited = get_inherited_loads(self._lease)
        claim = build_claim(
            self._lease,
            now=self._state.clock.now(),
            loads=self._coordinator.list_loads(),
        )
        if not await self._write(claim):
            # Another instance claimed the lease first; read its row and follow it.
            await self._read()
            self._follow_holder()
            return
        log_event(
            Event.LEASE_TAKEN,
            fence=claim.fence,
            version=self._lease.version,
            orders_in_ms=max(0, int(claim.orders_from_ms - claim.renewed_ms)),
            turns=claim.turns,
        )
        if not self._coordinator.is_active:
            self._link.disconnect()
            self._link.deliver_local = self._deliver_locally
            self._coordinator.activate(inherited)
            # The coordinator has no link to its own instance, which reports its running
            # requests here.
            self._deliver_locally([self._link.build_hello()])
            # The claim's row has only the loads that the previous row had. A successor
            # also has to count those that the previous holder may have ordered since.
            await self._renew()

    def _deliver_locally(self, messages: list[ToCoordinator]) -> None:
        self._coordinator.handle_messages(self._state.settings.name, messages)

    async def _renew(self) -> None:
        if self._lease.version < 0:
            await self._check_lease()
            return
        claim = build_claim(
            self._lease,
            now=self._state.clock.now(),
            loads=self._coordinator.list_loads(),
        )
        if await self._write(claim):
            return
        if not is_copied(self._lease):
            mark_lost(self._lease)
            log_event(Event.LEASE_LAPSED, fence=claim.fence)
        await self._check_lease()

    async def _write(self, claim: LeaseRow) -> bool:
        sent_at = self._state.clock.now()
        lease = self._lease
        put = {LEASE_KEY: msgspec.json.encode(claim)}
        expected = {LEASE_KEY: lease.version}
        obsolete: tuple[str, ...] = ()
        if lease.era:
            expected[self._era_key] = lease.era_row_version
        if is_copied(lease):
            put[self._era_key] = b"{}"
            obsolete = self._obsolete_keys
        answer = await self._state.store.write(
            LEASE_TABLE, expected=expected, put=put, remove=obsolete
        )
        if self._apply_answer(answer):
            # What this process knows of the row is of an earlier era.
            return False
        if answer.is_applied:
            confirm_claim(
                self._lease,
                claim,
                version=answer.position.version,
                sent_at=sent_at,
                store_ms=answer.now_ms,
            )
        return answer.is_applied

    async def _release(self) -> None:
        fence = self._lease.fence
        mark_lost(self._lease)
        # The successor may send orders as soon as the row is free.
        has_unanswered_order = not await self._coordinator.drain_orders()
        try:
            if self._lease.version < 0:
                await self._read()
            if not is_own_row(self._lease) or is_copied(self._lease):
                return
            release = build_release(
                self._lease,
                now=self._state.clock.now(),
                loads=self._coordinator.list_loads(),
                ordered_at=self._coordinator.ordered_at,
                has_unanswered_order=has_unanswered_order,
            )
            await self._write(release)
            log_event(Event.LEASE_RELEASED, fence=fence)
        except (PlatformUnavailableError, OutcomeUnknownError) as error:
            log_event(Event.LEASE_UNSETTLED, detail=error.detail)
            self._lease.version = -1
        finally:
            mark_lost(self._lease)

    def _step_down(self, why: str) -> None:
        log_event(Event.COORDINATION_ENDED, why=why)
        self._coordinator.deactivate()
        self._link.deliver_local = None
        self._link.fail_pending()
