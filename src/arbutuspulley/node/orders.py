"""Sends the coordinator's orders to model servers."""

import asyncio
import functools
from collections.abc import Callable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.coordinator_lease import (
    UNANSWERED_ORDER_WAIT_MS,
    CoordinatorLeaseState,
)
from arbutuspulley.node.pool_log import log_order
from arbutuspulley.node.server_notices import read_answer
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.engines import ORDER_TIMEOUT_MS, send_order
from arbutuspulley.pool.answers import PlannedOrder
from arbutuspulley.ports.fleet import OrderAnswer, ServerOrder

DRAIN_TIMEOUT_MS = ORDER_TIMEOUT_MS + 50
"""Time to wait for orders that are being sent, in ms: as long as one takes."""


class OrderSender:
    """Orders that have no answer yet.

    :param lease: the lease whose fencing token they carry.
    :ivar ordered_at: when an order was last sent or answered, in ms; ``None``: none
        was sent.
    """

    __slots__ = ("_lease", "_state", "_tasks", "_unanswered_at", "ordered_at")

    def __init__(self, *, state: NodeState, lease: CoordinatorLeaseState) -> None:
        self._state = state
        self._lease = lease
        self._tasks: set[asyncio.Task[None]] = set()
        self._unanswered_at = -UNANSWERED_ORDER_WAIT_MS
        self.ordered_at: int | None = None

    def send(
        self,
        planned: PlannedOrder,
        *,
        get_remaining_ms: Callable[[], int],
        on_answer: Callable[[PlannedOrder, OrderAnswer], None],
    ) -> None:
        """Send an order soon.

        :param get_remaining_ms: returns for how much longer orders may be sent, in ms.
        :param on_answer: called with the order and the server's answer.
        """
        task = asyncio.get_running_loop().create_task(
            self._send(planned, get_remaining_ms, on_answer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    async def drain(self) -> bool:
        """Wait for the orders that are being sent, and cancel those that take too long.

        Only an answer proves that an order has arrived. A connection reset drops data
        that this process has not sent yet, but not data that is queued in a full link:
        an order of a holder that had stepped down reached its server 11 ms after its
        successor's.

        :return: whether all recent orders were answered.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=DRAIN_TIMEOUT_MS / SECOND_MS)
        is_timed_out = bool(self._tasks)
        self.cancel_all()
        return not is_timed_out and not self._has_recent_unanswered()

    def cancel_all(self) -> None:
        """Cancel the orders that are being sent."""
        for task in list(self._tasks):
            task.cancel()

    def _has_recent_unanswered(self) -> bool:
        """Tell whether an unanswered order may still be in transit."""
        return self._state.clock.now() - self._unanswered_at < UNANSWERED_ORDER_WAIT_MS

    async def _send(
        self,
        planned: PlannedOrder,
        get_remaining_ms: Callable[[], int],
        on_answer: Callable[[PlannedOrder, OrderAnswer], None],
    ) -> None:
        order = ServerOrder(
            kind=planned.kind,
            model=planned.model,
            adapter=planned.adapter,
            expected_orders=planned.expected_orders,
            holder=self._state.settings.name,
            fence=self._lease.fence,
        )
        try:
            answer = await send_order(
                self._state.order_session,
                order,
                address=planned.address,
                incarnation=planned.incarnation,
                read_answer=functools.partial(
                    read_answer, self._state, planned.incarnation
                ),
                within_ms=get_remaining_ms(),
            )
        finally:
            self.ordered_at = self._state.clock.now()
        if answer is OrderAnswer.UNKNOWN:
            self._unanswered_at = self._state.clock.now()
        if answer in (OrderAnswer.UNKNOWN, OrderAnswer.REFUSED):
            self._state.notify_unanswered(planned.address)
        log_order(planned, answer, fence=order.fence)
        self._state.metrics.orders.labels(planned.kind.value, answer.value).inc()
        on_answer(planned, answer)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.INTERNAL_ERROR, detail=repr(task.exception()))
