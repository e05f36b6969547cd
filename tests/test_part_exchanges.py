"""What an exchange tells of the parts of its prompt, as its attempts end."""

import asyncio

import msgspec
import pytest

from arbutuspulley.delivery.crash_records import MAX_CRASHES
from arbutuspulley.delivery.part_records import ESTABLISHED_MS
from arbutuspulley.node.poison import KnownCrashes
from arbutuspulley.ports.fleet import RetryPolicy
from tests.lone_exchanges import (
    ROUTE,
    build_exchange,
    build_node_with_retries,
    build_request,
)
from tests.test_suspect_requests import BROKEN, Answer, run_refused

PARTS = ("a0", "f0")


def blame_parts(node, *, count):
    """Crash servers under the parts of prompts that others sent."""
    for number in range(count):
        request = build_request()
        request.body, request.shared_parts = b"%d" % number, PARTS
        known = KnownCrashes(parts=node.state.part_records.count_crashes(PARTS))
        node.poison.record_crash(request, incarnation=f"lost{number}", known=known)


def count_crashes(node):
    return node.state.part_records.count_crashes(PARTS)


def build_prompt_exchange(monkeypatch, node, *, outcomes):
    route = msgspec.structs.replace(ROUTE, retry_policy=RetryPolicy.ONCE)
    exchange, sent = build_exchange(monkeypatch, node, outcomes=outcomes, route=route)
    exchange._request.shared_parts = PARTS
    return exchange, sent


def test_a_prompt_with_a_quarantined_part_is_refused_at_once(monkeypatch):
    """Guards against callers who wait for a server that they do not get."""
    node = build_node_with_retries()
    blame_parts(node, count=MAX_CRASHES)
    exchange, sent = build_prompt_exchange(monkeypatch, node, outcomes=[])
    failure = run_refused(exchange)
    assert (failure.status, sent) == (503, [])
    assert "part f0 " in failure.reason


@pytest.mark.parametrize(("status", "left"), [(200, 0), (404, 1), (500, 1)])
def test_only_what_the_prompt_was_answered_with_acquits_its_parts(
    monkeypatch, status, left
):
    """Guards against parts that are acquitted by an error for which no server began an
    answer on the prompt."""
    node = build_node_with_retries()
    blame_parts(node, count=1)
    exchange, _ = build_prompt_exchange(monkeypatch, node, outcomes=[Answer(status)])
    node.now = 100
    asyncio.run(exchange.run())
    assert count_crashes(node) == (left, left)


@pytest.mark.parametrize(
    ("ms_of_events", "left"),
    [((0,), 1), ((0, ESTABLISHED_MS - 1), 1), ((0, 200, ESTABLISHED_MS), 0)],
)
def test_an_answer_that_has_been_coming_acquits_the_parts(
    monkeypatch, ms_of_events, left
):
    """Guards against a part that all share and that stays suspect until the first long
    answer is complete, and against acquitting one by events before a crash."""
    node = build_node_with_retries()
    blame_parts(node, count=1)
    exchange, _ = build_prompt_exchange(monkeypatch, node, outcomes=[])
    for number, at in enumerate(ms_of_events, start=1):
        node.now = 1_000 + at
        exchange._record_events(number)
    assert count_crashes(node) == (left, left)


@pytest.mark.parametrize(("began_before_ms", "blamed"), [(ESTABLISHED_MS, 0), (1, 1)])
def test_a_broken_answer_that_had_been_coming_blames_no_part(
    monkeypatch, began_before_ms, blamed
):
    """Guards against blaming the prompts that a server was answering as another one
    crashed it."""
    node = build_node_with_retries()
    exchange, _ = build_prompt_exchange(monkeypatch, node, outcomes=[BROKEN])
    node.now = 1_000

    async def begin_and_break(*_args, **_kwargs):
        exchange._record_events(1)
        node.now += began_before_ms
        raise BROKEN

    monkeypatch.setattr(type(exchange._paths), "send", begin_and_break)
    run_refused(exchange)
    assert count_crashes(node) == (blamed, blamed)


def test_an_earlier_attempt_that_began_does_not_excuse_the_next(monkeypatch):
    """Guards against a part that is not blamed because another server had sent events
    of the same answer long before."""
    node = build_node_with_retries()
    exchange, _ = build_prompt_exchange(monkeypatch, node, outcomes=[BROKEN])
    exchange.progress.begun_at = 0
    exchange.progress.is_established = True
    node.now = 10_000
    run_refused(exchange)
    assert count_crashes(node) == (1, 1)
