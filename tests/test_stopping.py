"""Which requests a stopping instance still sends, by how long servers take."""

import asyncio

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node.exchange import Exchange
from arbutuspulley.node.stopping import begin_stop, may_send
from arbutuspulley.ports.fleet import RetryPolicy
from arbutuspulley.routing.answer_times import MAX_ROUTES, MAX_TIMES, AnswerTimes
from tests.lone_exchanges import ROUTE as LONE_ROUTE
from tests.node_states import build_state

ROUTE = msgspec.structs.replace(LONE_ROUTE, retry_policy=RetryPolicy.ONCE)


@pytest.fixture
def now():
    return [1_000]


@pytest.fixture
def state(now):
    state = build_state(clock=Clock(read=lambda: now[0]), grace_ms=4_000)
    for took_ms in (300, 1_000, 400):
        state.answer_times.record_ended(ROUTE.name, object(), took_ms=took_ms)
    return state


def test_a_request_is_sent_as_long_as_its_answer_comes_before_the_exit(state, now):
    """Guards against requests that run without an answer, and against refusals of those
    that can be answered."""
    assert may_send(state, ROUTE, ends_at=100_000)
    begin_stop(state)
    now[0] = 1_000 + 3_800 - 1_350
    assert may_send(state, ROUTE, ends_at=100_000)
    now[0] += 1
    assert not may_send(state, ROUTE, ends_at=100_000)
    assert may_send(state, ROUTE, ends_at=1_000 + 3_800)


def test_requests_in_flight_tell_how_long_a_service_takes(state, now):
    """Guards against requests that are sent to a service which has slowed down, as no
    answer has told so yet."""
    state.answer_times.record_sent(ROUTE.name, "r", now=now[0])
    begin_stop(state)
    now[0] += 2_000
    assert not may_send(state, ROUTE, ends_at=100_000)
    state.answer_times.record_ended(ROUTE.name, "r")
    assert may_send(state, ROUTE, ends_at=100_000)


def test_a_route_without_answers_is_expected_to_reach_its_latency_target(state, now):
    route = msgspec.structs.replace(ROUTE, name="other", latency_target_ms=1_000)
    begin_stop(state)
    now[0] = 1_000 + 3_800 - 1_350
    assert may_send(state, route, ends_at=100_000)
    now[0] += 1
    assert not may_send(state, route, ends_at=100_000)


def test_a_stream_that_may_be_resumed_is_sent(state, now):
    """Guards against refusals of streams that go on at another instance."""
    route = msgspec.structs.replace(ROUTE, retry_policy=RetryPolicy.RESUME)
    begin_stop(state)
    now[0] += 3_700
    assert may_send(state, route, ends_at=100_000)


def test_a_reload_does_not_change_the_grace_that_has_begun(state, now):
    """Guards against requests that are sent as SIGHUP has brought a longer grace."""
    begin_stop(state)
    state.settings = msgspec.structs.replace(state.settings, grace_ms=60_000)
    now[0] += 3_700
    assert not may_send(state, ROUTE, ends_at=100_000)


def test_a_request_whose_time_is_just_up_does_not_disturb_the_exit():
    """Guards against a process that ends with an error instead of its answers."""

    async def run():
        exchange = Exchange.__new__(Exchange)
        async with asyncio.timeout(0) as exchange._timeout:
            try:
                await asyncio.sleep(1)
            finally:
                exchange.end_for_exit()

    with pytest.raises(TimeoutError):
        asyncio.run(run())


def test_times_of_answers_are_bounded():
    times = AnswerTimes()
    times.record_ended("first", "r", took_ms=9_000)
    for _ in range(MAX_TIMES):
        times.record_ended("first", "r", took_ms=10)
    assert times.get_longest_ms("first", now=0) == 10
    for number in range(MAX_ROUTES):
        times.record_ended(f"other{number}", "r", took_ms=10)
    assert times.get_longest_ms("first", now=0) is None
