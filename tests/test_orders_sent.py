"""Orders in transit while their holder steps down."""

import asyncio

import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.membership.coordinator_lease import (
    UNANSWERED_ORDER_WAIT_MS,
    CoordinatorLeaseState,
)
from arbutuspulley.node import orders
from arbutuspulley.node.orders import OrderSender
from arbutuspulley.pool.answers import PlannedOrder
from arbutuspulley.ports.fleet import OrderAnswer, OrderKind
from tests.node_states import build_state

PLANNED = PlannedOrder(
    kind=OrderKind.LOAD,
    incarnation="s0",
    address="s0:1",
    model="m0",
    adapter="",
    expected_orders=0,
    used_mb=0,
)

LEASE = CoordinatorLeaseState(name="own", link="own:1", boot="b", lease_ms=3_000)


def step_down(monkeypatch, *, answer_ms, answer, wait_ms=0):
    """Send an order, step down, and return whether the drain was clean and the
    answers."""
    monkeypatch.setattr(orders, "DRAIN_TIMEOUT_MS", 50)
    now = [0]

    async def send_order(*_given, **_named):
        await asyncio.sleep(answer_ms / 1_000)
        return answer

    monkeypatch.setattr(orders, "send_order", send_order)
    answers = []

    async def scenario():
        sent = OrderSender(
            state=build_state(clock=Clock(read=lambda: now[0])), lease=LEASE
        )
        sent.send(
            PLANNED,
            get_remaining_ms=lambda: 200,
            on_answer=lambda _planned, how: answers.append(how),
        )
        if wait_ms:
            await asyncio.sleep(0.02)
            now[0] += wait_ms
        return await sent.drain()

    return asyncio.run(scenario()), answers


@pytest.mark.parametrize(
    ("answer_ms", "answer", "wait_ms", "is_clean"),
    [
        (5, OrderAnswer.ACCEPTED, 0, True),
        (5, OrderAnswer.CONFLICT, 0, True),
        (5, OrderAnswer.UNKNOWN, 0, False),
        (5_000, OrderAnswer.ACCEPTED, 0, False),
        (5, OrderAnswer.UNKNOWN, UNANSWERED_ORDER_WAIT_MS - 1, False),
        (5, OrderAnswer.UNKNOWN, UNANSWERED_ORDER_WAIT_MS, True),
    ],
    ids=[
        "accepted",
        "refused",
        "lost",
        "no answer yet",
        "lost of late",
        "lost long ago",
    ],
)
def test_drain_is_clean_only_if_all_recent_orders_were_answered(
    monkeypatch, answer_ms, answer, wait_ms, is_clean
):
    """A coordinator hands over its lease while an order is queued in its full link. The
    successor sent orders at once; the older order reached its server 11 ms later."""
    found, answers = step_down(
        monkeypatch, answer_ms=answer_ms, answer=answer, wait_ms=wait_ms
    )
    assert found is is_clean
    assert answers == ([answer] if answer_ms < 50 else [])
