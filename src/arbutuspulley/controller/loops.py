"""The controller's loops: each on its own, so that none waits for another."""

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
from arbutuspulley.controller.configuration_sync import Following, follow_configuration
from arbutuspulley.controller.ledgers import Ledgers
from arbutuspulley.controller.publishing import publish
from arbutuspulley.controller.reports import ServerState
from arbutuspulley.controller.state import Controller
from arbutuspulley.controller.store_watch import follow_instances, follow_rows
from arbutuspulley.controller.suspicion_sync import SuspectRows, follow_suspects
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.lease import may_order
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.rpc import channel

PUBLISH_MS = 200
"""Time between looks at whether entries and peers must be told something."""

INSTANCES_MS = 5 * SECOND_MS
"""Time between reads of the instance list, which lags anyway."""

SUSPECTS_MS = 5 * SECOND_MS
"""Time between reads of suspicions; peers tell of new ones sooner."""

SWEEP_MS = 60 * SECOND_MS
"""Time between looks for rows of instances that are gone for good."""

PLACE_MS = 200
"""Time between looks at whether a step of placement can begin."""

FOLLOW_FASTER = 4
"""How many times as often rows are read while loads wait for their turn."""

RETRY_MS = 500
"""Time between tries to get a lease while there is none."""

JITTER = 0.1
"""Part by which each pause varies, so that instances do not fall into step."""

WORK_WAIT_MS = 4 * SECOND_MS
"""Longest wait for orders on their way and claims being settled, as the process
stops; a little longer than an unload waits for its order."""

Step = Callable[[], Awaitable[object]]


class ControllerLoops:
    """A controller at work.

    :param controller: its state; touched on the loop only.
    """

    __slots__ = (
        "_controller",
        "_renewing",
        "_server",
        "_sharing",
        "_tasks",
        "_work",
    )

    def __init__(self, *, controller: Controller) -> None:
        self._controller = controller
        self._work = Ledgers()
        self._tasks: set[asyncio.Task[object]] = set()
        self._server: grpc.aio.Server | None = None
        self._renewing = asyncio.Lock()
        self._sharing = asyncio.Lock()

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
        following = Following()
        suspect_rows = SuspectRows()
        memory = planning.Placing()
        self._repeat(self._choose_renewal_pause, self._renew)
        self._repeat(lambda: self._choose_follow_pause(memory), self._follow)
        self._repeat_every(
            settings.follow_ms, lambda: follow_configuration(controller, following)
        )
        self._repeat_every(INSTANCES_MS, lambda: follow_instances(controller))
        self._repeat_every(SWEEP_MS, lambda: sessions.sweep_sessions(controller))
        self._repeat_every(
            SUSPECTS_MS, lambda: follow_suspects(controller, suspect_rows)
        )
        self._repeat_every(settings.report_ms, self._read_reports)
        self._repeat_every(
            settings.exchange_ms, lambda: peers.exchange_with_all(controller)
        )
        self._repeat_every(
            PLACE_MS, lambda: planning.place(controller, self._work, memory)
        )
        self._repeat_every(PUBLISH_MS, self._publish)

    async def stop(self) -> None:
        """Finish orders on their way, release servers and lease, stop listening.

        A renewal or a claim still on its way would change the rows that the release
        expects, and its conflict would leave the others waiting for the lease to
        lapse; so both are let finish first.
        """
        self._controller.stopping = True
        self._controller.view_changed.set()
        await self._wait_for_work()
        async with self._renewing, self._sharing:
            await sessions.release_all(self._controller)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.stop(0.5)
        await peers.close_all(self._controller)

    async def _renew(self) -> None:
        async with self._renewing:
            if not self._controller.stopping:
                await sessions.renew_lease(self._controller)

    async def _follow(self) -> None:
        await follow_rows(self._controller)
        busy = frozenset(self._work.busy)
        async with self._sharing:
            await sessions.balance_servers(self._controller, busy=busy)

    async def _read_reports(self) -> None:
        controller = self._controller
        for name in polling.choose_read(controller):
            self._spawn(polling.read_report(controller, name, heard=self._hear))

    async def _hear(self, state: ServerState) -> None:
        await orders.take_report(self._controller, self._work, state)

    async def _publish(self) -> None:
        controller = self._controller
        publish(controller)
        now = controller.clock.now()
        controller.metrics.lease_held.set(may_order(controller.lease, now=now))
        controller.metrics.owned_servers.set(len(sessions.get_owned(controller)))

    async def _wait_for_work(self) -> None:
        controller = self._controller
        deadline = controller.clock.now() + WORK_WAIT_MS
        while controller.clock.now() < deadline:
            if not self._work.busy and not controller.settling:
                return
            await asyncio.sleep(0.02)

    def _choose_renewal_pause(self) -> int:
        controller = self._controller
        held = may_order(controller.lease, now=controller.clock.now())
        return controller.settings.renew_ms if held else RETRY_MS

    def _choose_follow_pause(self, memory: planning.Placing) -> int:
        pause_ms = self._controller.settings.follow_ms
        if planning.has_loads(self._controller, memory):
            return pause_ms // FOLLOW_FASTER
        return pause_ms

    def _repeat_every(self, pause_ms: int, step: Step) -> None:
        self._repeat(lambda: pause_ms, step)

    def _repeat(self, choose_pause: Callable[[], int], step: Step) -> None:
        self._spawn(self._run(choose_pause, step))

    async def _run(self, choose_pause: Callable[[], int], step: Step) -> None:
        chance = self._controller.chance
        while True:
            await _guard(step)
            factor = 1 + chance.uniform(-JITTER, JITTER)
            await asyncio.sleep(choose_pause() * factor / SECOND_MS)

    def _spawn(self, coroutine: Coroutine[Any, Any, object]) -> None:
        task: asyncio.Task[object] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def is_serving(controller: Controller) -> bool:
    """Tell whether a configuration is in force, for ``/readyz``."""
    return is_ready(controller.activation) and not controller.stopping


async def _guard(step: Step) -> None:
    """Run one step; a fault in it must not end its loop."""
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
