"""The controller's loops, each a separate task, so that none waits for another."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import grpc

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.activation import is_ready
from arbutuspulley.controller import (
    handlers,
    orders,
    peers,
    planning,
    polling,
    sessions,
)
from arbutuspulley.controller.configuration_sync import (
    ChangeCursor,
    follow_configuration,
)
from arbutuspulley.controller.ledgers import WorkingLedgers
from arbutuspulley.controller.publishing import publish
from arbutuspulley.controller.reports import ServerState
from arbutuspulley.controller.state import Controller
from arbutuspulley.controller.store_watch import follow_instances, follow_rows
from arbutuspulley.controller.suspicion_sync import SuspicionCursor, follow_suspicions
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.lease import may_order
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.rpc import channel

PUBLISH_INTERVAL_MS = 200
"""Time between updates of the state for entries and peers."""

INSTANCE_LIST_INTERVAL_MS = 5 * SECOND_MS
"""Time between reads of the instance list, which lags in any case."""

SUSPICION_INTERVAL_MS = 5 * SECOND_MS
"""Time between reads of suspicions; peers send new ones sooner."""

STALE_SESSION_INTERVAL_MS = 60 * SECOND_MS
"""Time between searches for session rows of instances that are gone."""

PLANNING_INTERVAL_MS = 200
"""Time between planning cycles."""

PENDING_LOADS_SPEEDUP = 4
"""Factor by which rows are read more often while loads wait for a load slot."""

LEASE_RETRY_INTERVAL_MS = 500
"""Time between attempts to obtain a lease while none is held."""

JITTER = 0.1
"""Fraction by which each interval varies, so that instances do not synchronise."""

MAX_DRAIN_MS = 4 * SECOND_MS
"""Longest wait at shutdown for orders in flight and for outcomes of claims; a little
longer than the time from an unload's intent to its order."""

Step = Callable[[], Awaitable[object]]


class ControllerLoops:
    """Runs the loops and the RPC server of a controller.

    :param controller: its state; accessed on the event loop only.
    """

    __slots__ = (
        "_controller",
        "_ownership_lock",
        "_renewal_lock",
        "_server",
        "_tasks",
        "_working",
    )

    def __init__(self, *, controller: Controller) -> None:
        self._controller = controller
        self._working = WorkingLedgers()
        self._tasks: set[asyncio.Task[object]] = set()
        self._server: grpc.aio.Server | None = None
        self._renewal_lock = asyncio.Lock()
        self._ownership_lock = asyncio.Lock()

    async def start(self) -> None:
        """Listen and start all loops.

        :raises OSError: if the address cannot be listened on.
        """
        controller, settings = self._controller, self._controller.settings
        self._server = await channel.serve(
            address=settings.listen,
            key=settings.peer_key,
            unary=handlers.build_unary(controller),
            streaming=handlers.build_streaming(controller),
        )
        change_cursor = ChangeCursor()
        suspicion_cursor = SuspicionCursor()
        planning_state = planning.PlanningState()
        self._start_loop(self._choose_renewal_interval, self._renew)
        self._start_loop(
            lambda: self._choose_sync_interval(planning_state),
            self._sync_rows_and_ownership,
        )
        self._start_loop_every(
            settings.follow_ms, lambda: follow_configuration(controller, change_cursor)
        )
        self._start_loop_every(
            INSTANCE_LIST_INTERVAL_MS, lambda: follow_instances(controller)
        )
        self._start_loop_every(
            STALE_SESSION_INTERVAL_MS,
            lambda: sessions.delete_stale_sessions(controller),
        )
        self._start_loop_every(
            SUSPICION_INTERVAL_MS,
            lambda: follow_suspicions(controller, suspicion_cursor),
        )
        self._start_loop_every(settings.report_ms, self._poll_servers)
        self._start_loop_every(
            settings.exchange_ms, lambda: peers.exchange_with_all(controller)
        )
        self._start_loop_every(
            PLANNING_INTERVAL_MS,
            lambda: planning.run_planning_cycle(
                controller, self._working, planning_state
            ),
        )
        self._start_loop_every(PUBLISH_INTERVAL_MS, self._publish)

    async def stop(self) -> None:
        """Finish orders in flight, release servers and lease, stop listening.

        A renewal or claim in flight would change the rows that the release expects; the
        release would fail with a conflict, and other instances would have to wait until
        the lease expires. So both are awaited first.
        """
        self._controller.stopping = True
        self._controller.view_changed.set()
        await self._wait_for_pending_work()
        async with self._renewal_lock, self._ownership_lock:
            await sessions.release_all(self._controller)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.stop(0.5)
        await peers.close_all(self._controller)

    async def _renew(self) -> None:
        async with self._renewal_lock:
            if not self._controller.stopping:
                await sessions.renew_lease(self._controller)

    async def _sync_rows_and_ownership(self) -> None:
        await follow_rows(self._controller)
        busy = frozenset(self._working.busy)
        async with self._ownership_lock:
            await sessions.balance_servers(self._controller, busy=busy)

    async def _poll_servers(self) -> None:
        controller = self._controller
        for name in polling.choose_polled_servers(controller):
            self._spawn(
                polling.poll_report(controller, name, on_report=self._handle_report)
            )

    async def _handle_report(self, state: ServerState) -> None:
        await orders.apply_report(self._controller, self._working, state)

    async def _publish(self) -> None:
        controller = self._controller
        publish(controller)
        now = controller.clock.now()
        controller.metrics.lease_held.set(may_order(controller.lease, now=now))
        controller.metrics.owned_servers.set(len(sessions.get_owned(controller)))

    async def _wait_for_pending_work(self) -> None:
        controller = self._controller
        deadline = controller.clock.now() + MAX_DRAIN_MS
        while controller.clock.now() < deadline:
            if not self._working.busy and not controller.settling:
                return
            await asyncio.sleep(0.02)

    def _choose_renewal_interval(self) -> int:
        controller = self._controller
        held = may_order(controller.lease, now=controller.clock.now())
        return controller.settings.renew_ms if held else LEASE_RETRY_INTERVAL_MS

    def _choose_sync_interval(self, planning_state: planning.PlanningState) -> int:
        interval_ms = self._controller.settings.follow_ms
        if planning.has_loads(self._controller, planning_state):
            return interval_ms // PENDING_LOADS_SPEEDUP
        return interval_ms

    def _start_loop_every(self, interval_ms: int, step: Step) -> None:
        self._start_loop(lambda: interval_ms, step)

    def _start_loop(self, choose_interval: Callable[[], int], step: Step) -> None:
        self._spawn(self._run(choose_interval, step))

    async def _run(self, choose_interval: Callable[[], int], step: Step) -> None:
        rng = self._controller.rng
        while True:
            await _run_step(step)
            factor = 1 + rng.uniform(-JITTER, JITTER)
            await asyncio.sleep(choose_interval() * factor / SECOND_MS)

    def _spawn(self, coroutine: Coroutine[Any, Any, object]) -> None:
        task: asyncio.Task[object] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def is_serving(controller: Controller) -> bool:
    """Return whether a configuration is active and shutdown has not begun."""
    return is_ready(controller.activation) and not controller.stopping


async def _run_step(step: Step) -> None:
    """Run one step of a loop; an exception in it must not end the loop."""
    try:
        await step()
    except (PlatformUnavailableError, OutcomeUnknownError):
        return
    except Exception as error:
        log_event(
            Event.INTERNAL_ERROR,
            level=logging.ERROR,
            error=type(error).__name__,
            trace=traceback.format_exc(limit=-4),
        )
