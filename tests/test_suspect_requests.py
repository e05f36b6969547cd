"""What becomes of a request under which servers crashed before."""

import asyncio

import msgspec
import pytest
from multidict import CIMultiDict

from arbutuspulley.delivery.crash_records import MAX_CRASHES
from arbutuspulley.membership.server_starts import ENTRY_DELAY_MS
from arbutuspulley.node import poison as poison_module
from arbutuspulley.node import server_paths as paths_module
from arbutuspulley.node.acquisition import Acquisition
from arbutuspulley.node.poison import TRIAL_SPREAD_MS, KnownCrashes
from arbutuspulley.node.progress import RequestFailedError
from arbutuspulley.platform import names
from arbutuspulley.platform.transport import BrokenError
from arbutuspulley.ports.answers import AnswerEnd
from arbutuspulley.ports.fleet import AttemptOutcome, RetryPolicy
from tests.lone_exchanges import (
    ROUTE,
    build_entry,
    build_exchange,
    build_node_with_retries,
    build_request,
)

BROKEN = BrokenError("reset", end=AnswerEnd.RESET)

LONG_MS = 60_000
"""A retry delay that no shortage of servers would give, in ms."""


class Answer:
    """A complete answer of a server."""

    method = "GET"
    reason = "stated"
    content_length = 2
    total_bytes = 0

    def __init__(self, status):
        self.status = status
        self.headers = CIMultiDict(
            {names.ATTEMPT_ID: "r0", names.SEAL: "s", "Content-Length": "2"}
        )

        self.content = self
        self._parts = [b"ok", b""]

    async def readany(self):
        return self._parts.pop(0)

    def close(self):
        pass


def record_crashes(node, *, count, request=None, at_once=False):
    """Record crashes of servers under a request, one after the other or at once."""
    for number in range(count):
        node.poison.record_crash(
            request or build_request(),
            incarnation=f"lost{number}",
            known=KnownCrashes(request=0 if at_once else number),
        )


def run_refused(exchange):
    with pytest.raises(RequestFailedError) as failed:
        asyncio.run(exchange.run())
    return failed.value


def record_ends(monkeypatch):
    """Return a list to which the outcome of each attempt is added."""
    ends = []
    monkeypatch.setattr(
        Acquisition,
        "report_end",
        lambda _self, _incarnation, outcome: ends.append(outcome),
    )
    return ends


def test_it_is_refused_at_once_and_not_for_want_of_servers(monkeypatch):
    """Guards against callers who wait for a server that they do not get."""
    node = build_node_with_retries()
    record_crashes(node, count=MAX_CRASHES)
    exchange, sent = build_exchange(monkeypatch, node, outcomes=[])
    failure = run_refused(exchange)
    assert (failure.status, sent) == (503, [])
    assert failure.retry_after_ms > LONG_MS


def test_one_that_waited_while_servers_crashed_is_not_sent(monkeypatch):
    """Guards against copies that reach servers once these are back, and against places
    at servers that such copies hold for ever."""
    node = build_node_with_retries()
    ends = record_ends(monkeypatch)
    exchange, sent = build_exchange(monkeypatch, node, outcomes=[BROKEN])

    async def get_server(_self):
        record_crashes(node, count=MAX_CRASHES)
        return build_entry(0)

    monkeypatch.setattr(Acquisition, "get_server", get_server)
    failure = run_refused(exchange)
    assert (failure.status, sent) == (503, [])
    assert failure.retry_after_ms > LONG_MS
    assert ends == [AttemptOutcome.UNUSED]


def test_the_place_of_one_whose_caller_leaves_before_it_is_sent_is_given_back(
    monkeypatch,
):
    """Guards against places at servers that are held for callers who have left."""
    node = build_node_with_retries()
    ends = record_ends(monkeypatch)
    exchange, sent = build_exchange(monkeypatch, node, outcomes=[BROKEN])

    async def leave(_request):
        raise asyncio.CancelledError

    monkeypatch.setattr(type(node.poison), "delay_trial", lambda _self, it: leave(it))
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(exchange.run())
    assert (ends, sent) == ([AttemptOutcome.UNUSED], [])


def test_copies_go_on_after_the_one_on_trial_has_ended(monkeypatch):
    """Guards against harmless copies that wait for one that has ended."""
    node = build_node_with_retries()
    record_crashes(node, count=2, at_once=True)
    exchange, sent = build_exchange(monkeypatch, node, outcomes=[BROKEN])
    run_refused(exchange)
    assert len(sent) == 1
    assert node.poison.get_refusal(build_request()) is None


@pytest.mark.parametrize(("crashes", "is_spread"), [(0, False), (1, False), (2, True)])
def test_copies_that_run_one_at_a_time_do_not_begin_together(
    monkeypatch, crashes, is_spread
):
    """Guards against copies at several instances that are all sent before any instance
    has heard of the others."""
    node = build_node_with_retries()
    record_crashes(node, count=crashes, at_once=True)
    slept = []

    async def sleep(delay_s):
        slept.append(delay_s)

    monkeypatch.setattr(poison_module.asyncio, "sleep", sleep)
    for _ in range(20):
        asyncio.run(node.poison.delay_trial(build_request()))
    assert len(set(slept)) == (20 if is_spread else 0)
    assert all(0 <= delay_s <= TRIAL_SPREAD_MS / 1_000 for delay_s in slept)


def answer_after_crash(monkeypatch, node, answer, *, at=100, **changes):
    """Get an answer to a request under which a server crashed before."""
    route = msgspec.structs.replace(ROUTE, **changes)
    exchange, _ = build_exchange(monkeypatch, node, outcomes=[answer], route=route)
    node.now = at
    return asyncio.run(exchange.run())


@pytest.mark.parametrize(("status", "left"), [(200, 0), (404, 0), (500, 1)])
def test_only_an_answer_that_is_no_error_of_the_server_clears_it(
    monkeypatch, status, left
):
    """Guards against a request whose crashes are forgotten because one server answered
    it with an error of its own before it crashed."""
    node = build_node_with_retries()
    record_crashes(node, count=1)
    answer_after_crash(monkeypatch, node, Answer(status), retry_policy=RetryPolicy.ONCE)
    assert node.poison.count_crashes(build_request()) == left


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_that_would_be_a_false_promise_clears_it_neither(monkeypatch, status):
    """Guards against a request whose crashes are forgotten, or whose caller is promised
    that it has not run, as one server answered it with such a status of its own."""
    node = build_node_with_retries()
    record_crashes(node, count=1)
    answer = Answer(status)
    with pytest.raises(RequestFailedError) as raised:
        answer_after_crash(monkeypatch, node, answer, retry_policy=RetryPolicy.ONCE)
    assert raised.value.status == 502
    assert node.poison.count_crashes(build_request()) == 1


@pytest.mark.parametrize("status", [200, 500])
def test_any_answer_shows_that_its_server_has_not_crashed(monkeypatch, status):
    """Guards against other requests that stay suspect though their server lives, and
    against answers of its next start that count as ones of the start that crashed."""
    node = build_node_with_retries()
    other = build_request()
    other.path = "/other"
    node.poison.record_crash(other, incarnation="s0", known=KnownCrashes())
    once = {"retry_policy": RetryPolicy.ONCE}
    answer_after_crash(monkeypatch, node, Answer(status), **once)
    assert node.poison.count_crashes(other) == 1
    later = 100 + node.state.settings.heartbeat_ms + ENTRY_DELAY_MS
    node.state.server_view.confirm(later)
    answer_after_crash(monkeypatch, node, Answer(status), at=later, **once)
    assert node.poison.count_crashes(other) == 0


@pytest.mark.parametrize("is_heard", [False, True])
def test_a_request_whose_time_is_up_counts_once_its_server_is_down(
    monkeypatch, is_heard
):
    """Guards against a request that crashes servers silently, and is never quarantined
    as its time is up before the silence is noticed."""
    node = build_node_with_retries()
    exchange, _ = build_exchange(monkeypatch, node, outcomes=[None])
    starts, began = node.state.server_starts, node.now

    async def fall_silent(*_args, **_named):
        node.now = began + 2_000
        if is_heard:
            starts.record_answer("s0", sent_at=began)
        exchange.end_for_exit()
        await asyncio.sleep(1)

    monkeypatch.setattr(paths_module, "send_request", fall_silent)
    monkeypatch.setattr(paths_module.ServerPaths, "check", lambda *_: None)
    with pytest.raises(RequestFailedError) as failed:
        asyncio.run(exchange.run())
    assert failed.value.status == 504
    node.now += 100
    starts.record_down("s0")
    assert node.poison.count_crashes(build_request()) == (not is_heard)
