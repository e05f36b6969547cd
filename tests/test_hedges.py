"""Second attempts: what must still hold when two servers work on one request."""

import asyncio
import time

import msgspec
import pytest

from arbutuspulley.admission import hedge_budget
from arbutuspulley.delivery.hedging import (
    MAX_SAMPLES,
    MIN_DELAY_MS,
    MIN_SAMPLES,
    SAMPLE_WINDOW_MS,
    FirstByteTimes,
    Situation,
    Withheld,
    find_reason,
    get_hedge_delay,
    record_first_byte,
)
from arbutuspulley.membership.server_reach import record_failed
from arbutuspulley.node import exchange as exchange_module
from arbutuspulley.node.hedges import Hedge
from arbutuspulley.node.progress import MAX_UNREACHABLE, RequestFailedError
from arbutuspulley.platform import names
from arbutuspulley.platform.transport import BrokenError, NotSentError
from arbutuspulley.ports.answers import AnswerEnd
from arbutuspulley.ports.fleet import RetryPolicy, SoftwareVersion
from arbutuspulley.routing.local_choice import get_stats, record_refused
from tests.hedged_exchanges import (
    ANY_ROUTE,
    DELAY_MS,
    FakeResponse,
    Servers,
    build_hedged,
    build_hedging_node,
    check_paired,
    count_events,
    run_hedged,
)
from tests.lone_exchanges import SERVICE, WINDOW_MS, build_request

LONG_S = 5.0


def broken():
    return BrokenError("reset", end=AnswerEnd.RESET)


def not_run():
    return FakeResponse("s1", status=503, headers={names.NOT_EXECUTED: "1"})


def test_a_silent_first_attempt_is_overtaken_and_closed(monkeypatch, caplog):
    """Guards against waiting for a slow server, and against work that goes on there."""
    servers = Servers((LONG_S, FakeResponse("s0")), (0, FakeResponse("s1")))
    started = time.monotonic()
    with caplog.at_level("INFO"):
        answer, exchange, node = run_hedged(monkeypatch, servers)
    assert time.monotonic() - started < 1
    assert answer.body == b"body of s1"
    assert answer.headers[names.SEAL] == "seal of s1"
    assert servers.closed == servers.sent[:1]
    assert count_events(caplog, "second_attempt_begun") == 1
    assert count_events(caplog, "second_attempt_won") == 1
    assert exchange.progress.server == node.state.by_service[SERVICE][1].incarnation
    check_paired(node, exchange)


def test_the_first_attempt_may_still_win(monkeypatch, caplog):
    """Guards against an answer made of two servers', and a loser that stays open."""
    servers = Servers((0.06, FakeResponse("s0")), (LONG_S, FakeResponse("s1")))
    with caplog.at_level("INFO"):
        answer, exchange, node = run_hedged(monkeypatch, servers)
    assert answer.body == b"body of s0"
    assert answer.headers[names.SEAL] == "seal of s0"
    assert servers.closed == servers.sent[1:]
    assert count_events(caplog, "second_attempt_lost") == 1
    check_paired(node, exchange)


def test_answers_at_the_same_moment_leave_one_of_them(monkeypatch):
    """Guards against a held answer that nobody reads and an open connection to it."""
    both = FakeResponse("s0"), FakeResponse("s1")
    servers = Servers((0.05, both[0]), (0.05 - DELAY_MS / 1_000, both[1]))
    answer, exchange, node = run_hedged(monkeypatch, servers)
    taken = [one for one in both if one.body == answer.body]
    others = [one for one in both if one.body != answer.body]
    assert len(taken) == 1
    assert all(one.is_closed or servers.cut for one in others)
    assert not any(one.read for one in others)
    check_paired(node, exchange)


@pytest.mark.parametrize(
    ("policy", "is_stream"), [(RetryPolicy.ONCE, False), (RetryPolicy.RESUME, False)]
)
def test_what_may_not_be_repeated_has_one_attempt(monkeypatch, policy, is_stream):
    """Guards against an unrepeatable request that runs twice."""
    route = msgspec.structs.replace(ANY_ROUTE, retry_policy=policy, is_stream=is_stream)
    servers = Servers((0.1, FakeResponse("s0")), (0, FakeResponse("s1")))
    answer, _, _ = run_hedged(monkeypatch, servers, route=route)
    assert answer.body == b"body of s0"
    assert len(servers.sent) == 1


def test_without_a_ratio_nothing_of_it_runs(monkeypatch):
    """Guards against second attempts, timers or figures where they are not enabled."""
    node = build_hedging_node(hedge_ratio=0.0)
    servers = Servers((0.1, FakeResponse("s0")), (0, FakeResponse("s1")))
    monkeypatch.setattr(asyncio, "timeout", _refuse_second_call(asyncio.timeout))
    answer, exchange, _ = run_hedged(monkeypatch, servers, node=node)
    assert answer.body == b"body of s0"
    assert len(servers.sent) == 1
    assert not exchange._hedges._budgets
    assert b"arbutus_second_attempts_total{" not in node.state.metrics.write()


def _refuse_second_call(call):
    calls = []

    def call_once(delay):
        calls.append(delay)
        assert len(calls) == 1
        return call(delay)

    return call_once


def _call_soon(call):
    """Call after the request was counted and before its second attempt may begin."""
    asyncio.get_running_loop().call_later(0.01, call)


def _take_budget(exchange):
    budget = exchange._hedges.get_budget(SERVICE)

    def take():
        while hedge_budget.try_charge(budget, now=0):
            pass

    _call_soon(take)


def _take_retry_budget(exchange):
    def take():
        while exchange._retries.try_charge(SERVICE):
            pass

    _call_soon(take)


def _set_limit(exchange):
    exchange._state.limits.update_from_answer("s1", 5.0, sent_at=0, now=0)


def _set_brittle(exchange):
    exchange._state.brittle.update_from_answer("s1", 5.0, sent_at=0, now=0)


def _replace_second(exchange, **changes):
    state = exchange._state
    first, second = state.by_service[SERVICE]
    second = msgspec.structs.replace(second, **changes)
    state.by_service[SERVICE] = [first, second]
    state.by_incarnation["s1"] = second


def _set_leaving(exchange):
    _replace_second(exchange, is_leaving=True)


def _set_cooldown(exchange):
    exchange._state.cooldowns.extend("s1", 60_000)


def _bind_to_version(exchange):
    exchange.progress.version = SoftwareVersion(name="1")
    _replace_second(exchange, software_version=SoftwareVersion(name="2"))
    state = exchange._state
    first = msgspec.structs.replace(
        state.by_service[SERVICE][0], software_version=SoftwareVersion(name="1")
    )
    state.by_service[SERVICE][0] = state.by_incarnation["s0"] = first


def _fill_second(exchange):
    state = exchange._state
    second = state.by_service[SERVICE][1]
    get_stats(state.server_stats, second).in_flight = 2
    # The service is far from full, but the request may not go to its largest server.
    large = msgspec.structs.replace(second, incarnation="large", slots=60)
    state.by_service[SERVICE].append(large)
    exchange.progress.avoid.add("large")


def _refuse_at_second(exchange):
    state = exchange._state
    record_refused(state.server_stats, state.by_service[SERVICE][1], now=0)


def _use_most_slots(exchange):
    state = exchange._state
    first = state.by_service[SERVICE][0]
    get_stats(state.server_stats, first).in_flight = 2


def _cut_off(exchange):
    reach = exchange._state.server_reach
    reach.known = 2
    entries = exchange._state.by_service[SERVICE]

    def fail():
        for entry in entries:
            record_failed(reach, entry.address, now=0)

    _call_soon(fail)


def _lose_often(exchange):
    budget = exchange._hedges.get_budget(SERVICE)
    for _ in range(hedge_budget.MIN_OUTCOMES):
        hedge_budget.record_outcome(budget, has_won=False, now=0)


def _end_soon(exchange):
    exchange.progress.ends_at = 180


def _suspect(exchange):
    exchange._poison.record_crash(
        exchange._request,
        incarnation="other",
        known=exchange._poison.begin_attempt(exchange._request),
    )


def _suspect_later(exchange):
    _call_soon(lambda: _suspect(exchange))


def _suspect_before(exchange):
    _suspect(exchange)
    _call_soon(lambda: exchange._poison.clear(exchange._request))


def _suspect_part(exchange):
    part = "ab" * 8
    request = build_request()
    request.path = "/other"
    request.shared_parts = exchange._request.shared_parts = (part,)
    exchange._poison.record_crash(
        request, incarnation="other", known=exchange._poison.begin_attempt(request)
    )


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (_take_budget, Withheld.BUDGET),
        (_take_retry_budget, Withheld.RETRY_BUDGET),
        (_set_limit, Withheld.NO_SERVER),
        (_set_brittle, Withheld.NO_SERVER),
        (_set_leaving, Withheld.NO_SERVER),
        (_set_cooldown, Withheld.NO_SERVER),
        (_bind_to_version, Withheld.NO_SERVER),
        (_fill_second, Withheld.NO_SERVER),
        (_refuse_at_second, Withheld.FULL),
        (_use_most_slots, Withheld.FULL),
        (_cut_off, Withheld.CUT_OFF),
        (_lose_often, Withheld.LOSING),
        (_end_soon, Withheld.LATE),
        (_suspect_later, Withheld.SUSPECT),
        (_suspect_before, Withheld.SUSPECT),
        (_suspect_part, Withheld.SUSPECT),
    ],
)
def test_a_second_attempt_is_withheld(monkeypatch, caplog, change, why):
    """Guards against second attempts that break another guarantee, one for each."""
    servers = Servers((0.08, FakeResponse("s0")), (0, FakeResponse("s1")))
    with caplog.at_level("INFO"):
        answer, exchange, node = run_hedged(monkeypatch, servers, change=change)
    assert answer.body == b"body of s0"
    assert len(servers.sent) == 1
    withheld = [
        record.event_fields["why"]
        for record in caplog.records
        if record.msg == "second_attempt_withheld"
    ]
    assert withheld == [why.value]
    unpaired = _take_budget, _take_retry_budget, _fill_second, _use_most_slots
    if change not in unpaired:
        check_paired(node, exchange)


def test_a_route_of_one_attempt_has_no_second(monkeypatch):
    """Guards against more servers for a request than its route allows."""
    route = msgspec.structs.replace(ANY_ROUTE, max_attempts=1)
    servers = Servers((0.08, FakeResponse("s0")), (0, FakeResponse("s1")))
    run_hedged(monkeypatch, servers, route=route)
    assert len(servers.sent) == 1


def test_second_attempts_are_charged_to_both_budgets(monkeypatch):
    """Guards against more repeated requests at servers than the retry budget allows."""
    node = build_hedging_node()
    servers = Servers((LONG_S, FakeResponse("s0")), (0, FakeResponse("s1")))
    _, exchange, _ = run_hedged(monkeypatch, servers, node=node)
    assert node.read_metric("arbutus_retries_total", how="charged") == 1
    assert node.read_metric("arbutus_retries_total", how="refunded") is None
    earned = exchange._hedges.get_budget(SERVICE).budget.earned
    assert sum(one.is_used for one in earned) == 1


def test_a_second_attempt_that_did_not_run_is_given_back(monkeypatch):
    """Guards against budgets used up by second attempts at servers that refuse.

    What a server refused has still arrived there, so the retry stays charged; what was
    not sent returns both.
    """
    for outcome, refunded in ((not_run(), None), (NotSentError("1"), 1)):
        node = build_hedging_node()
        servers = Servers((0.1, FakeResponse("s0")), (0, outcome))
        answer, exchange, _ = run_hedged(monkeypatch, servers, node=node)
        assert answer.body == b"body of s0"
        earned = exchange._hedges.get_budget(SERVICE).budget.earned
        assert not any(one.is_used for one in earned)
        assert node.read_metric("arbutus_retries_total", how="refunded") == refunded
        assert exchange.progress.may_have_run == 1
        check_paired(node, exchange)


def test_the_budget_bounds_second_attempts_of_many_requests():
    """Guards against more second attempts in a window than the ratio of the requests,
    over several instances, when all first attempts are silent."""
    budgets = [
        hedge_budget.build_hedge_budget(
            ratio=0.05, window_ms=WINDOW_MS, phase=number / 10
        )
        for number in range(10)
    ]
    begun = []
    requests = 0
    for now in range(0, 3 * WINDOW_MS, 5):
        budget = budgets[now % 10 - now % 5]
        requests += 1
        hedge_budget.record_request(budget, now=now)
        charge = hedge_budget.try_charge(budget, now=now)
        if charge is not None:
            begun.append(now)
            hedge_budget.settle(budget, charge, now=now)
    per_window = requests / 3
    for start in range(0, 2 * WINDOW_MS, 500):
        count = sum(start <= at < start + WINDOW_MS for at in begun)
        assert 0.6 * 0.05 * per_window <= count <= 0.05 * per_window


def test_a_service_whose_second_attempts_lose_tries_again_later():
    """Guards against twice the work for nothing, and against giving up for ever."""
    budget = hedge_budget.build_hedge_budget(ratio=1, window_ms=WINDOW_MS, phase=0)
    for _ in range(18):
        hedge_budget.record_outcome(budget, has_won=False, now=0)
    assert not hedge_budget.is_losing(budget, now=0)
    for _ in range(2):
        hedge_budget.record_outcome(budget, has_won=True, now=0)
    assert not hedge_budget.is_losing(budget, now=0)
    hedge_budget.record_outcome(budget, has_won=False, now=0)
    assert hedge_budget.is_losing(budget, now=0)
    assert not hedge_budget.is_losing(budget, now=hedge_budget.OUTCOME_WINDOW_MS)


def test_not_run_is_said_only_if_neither_attempt_may_have_run(monkeypatch):
    """Guards against a caller who repeats a request that a server may have run."""
    route = msgspec.structs.replace(ANY_ROUTE, max_attempts=2, timeout_ms=300)
    for acts, status in (
        (((0.05, not_run()), (LONG_S, FakeResponse("s1"))), 504),
        (((LONG_S, FakeResponse("s0")), (0, not_run())), 504),
        (((0.05, not_run()), (0.05, not_run())), 503),
        (((0.05, broken()), (0.01, not_run())), 502),
        (((0.05, not_run()), (0.04, broken())), 502),
    ):
        node = build_hedging_node(retry_ratio=0.15)
        node.retries.record_request(SERVICE)
        servers = Servers(*acts)
        error, exchange, _ = run_hedged(
            monkeypatch, servers, node=node, route=route, change=_keep_one_retry
        )
        assert isinstance(error, RequestFailedError)
        assert error.status == status, acts
        assert len(servers.sent) == 2
        check_paired(node, exchange)


def _keep_one_retry(exchange):
    def take():
        charges = []
        while charge := exchange._retries.try_charge(SERVICE):
            charges.append(charge)
        exchange._retries.refund(SERVICE, charges.pop())
        for charge in charges:
            exchange._retries.settle(SERVICE, charge)

    _call_soon(take)


@pytest.mark.parametrize("outcome", [broken(), NotSentError("1"), not_run()])
def test_the_second_attempt_goes_on_after_the_first_has_failed(monkeypatch, outcome):
    """Guards against a third server while the second one works on the request."""
    servers = Servers(
        (0.05, outcome), (0.1, FakeResponse("s1")), (0, FakeResponse("s2"))
    )
    answer, exchange, node = run_hedged(monkeypatch, servers)
    assert answer.body == b"body of s1"
    assert len(servers.sent) == 2
    assert node.read_metric("arbutus_retries_total", how="charged") == 1
    check_paired(node, exchange)


def test_the_charge_of_an_unsent_second_attempt_pays_for_the_next_one(monkeypatch):
    """Guards against a request that arrives again without a charge to the retry budget,
    after the first server has failed and the second one could not be reached."""
    acts = (0.05, broken()), (0.1, NotSentError("1"))
    servers = Servers(*acts, (0, FakeResponse("s2")))
    answer, exchange, node = run_hedged(monkeypatch, servers)
    assert answer.body == b"body of s2"
    assert node.read_metric("arbutus_retries_total", how="charged") == 1
    assert node.read_metric("arbutus_retries_total", how="refunded") is None
    check_paired(node, exchange)
    error, exchange, node = run_hedged(monkeypatch, Servers(*acts))
    assert error.status == 502
    assert node.read_metric("arbutus_retries_total", how="refunded") == 1
    check_paired(node, exchange)


def test_the_second_attempt_goes_on_after_the_last_unreachable_server(monkeypatch):
    """Guards against a request that fails while a server works on it."""
    servers = Servers((0.05, NotSentError("1")), (0.1, FakeResponse("s1")))

    def fail_before(exchange):
        exchange.progress.unreached = MAX_UNREACHABLE

    answer, _, _ = run_hedged(monkeypatch, servers, change=fail_before)
    assert answer.body == b"body of s1"


def test_a_server_error_of_either_does_not_win(monkeypatch):
    """Guards against an error that is returned while the other server would answer."""
    for acts, body in (
        (((0.1, FakeResponse("s0")), (0, FakeResponse("s1", status=500))), "s0"),
        (((0.05, FakeResponse("s0", status=500)), (0.1, FakeResponse("s1"))), "s1"),
    ):
        servers = Servers(*acts)
        answer, exchange, node = run_hedged(monkeypatch, servers)
        assert answer.body == f"body of {body}".encode()
        check_paired(node, exchange)


def test_an_answer_to_another_request_does_not_win(monkeypatch):
    """Guards against ids and seals that don't belong to the answer."""
    other = FakeResponse("s1", attempt_id="r9")
    servers = Servers((0.1, FakeResponse("s0")), (0, other))
    answer, exchange, node = run_hedged(monkeypatch, servers)
    assert answer.body == b"body of s0"
    assert other.is_closed
    check_paired(node, exchange)


def test_a_crash_of_both_servers_counts_once(monkeypatch):
    """Guards against a request that is quarantined for crashes at the same time."""
    servers = Servers((0.05, broken()), (0.04, broken()))
    _, exchange, node = run_hedged(monkeypatch, servers)
    assert len(servers.sent) == 2
    assert node.poison.count_crashes(exchange._request) == 1
    check_paired(node, exchange)


def test_both_attempts_end_at_the_deadline(monkeypatch):
    """Guards against a second attempt that outlives its request."""
    route = msgspec.structs.replace(ANY_ROUTE, timeout_ms=300, latency_target_ms=100)
    servers = Servers((LONG_S, FakeResponse("s0")), (LONG_S, FakeResponse("s1")))
    error, exchange, node = run_hedged(monkeypatch, servers, route=route)
    assert error.status == 504
    assert sorted(servers.closed) == sorted(servers.sent)
    assert len(servers.sent) == 2
    for headers in servers.headers:
        assert int(dict(headers)[names.DEADLINE]) <= 300
    # The time was up; that says nothing about the second attempt.
    assert not exchange._hedges.get_budget(SERVICE).outcomes
    check_paired(node, exchange)


def test_a_caller_that_leaves_ends_both_attempts(monkeypatch):
    """Guards against work for nobody."""
    node = build_hedging_node()
    servers = Servers((LONG_S, FakeResponse("s0")), (LONG_S, FakeResponse("s1")))

    async def run():
        exchange = build_hedged(monkeypatch, node, servers)
        task = asyncio.create_task(exchange.run())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(0.01)
        servers.closed = list(servers.cut)
        return exchange

    exchange = asyncio.run(run())
    assert sorted(servers.closed) == sorted(servers.sent)
    assert len(servers.sent) == 2
    check_paired(node, exchange)


def test_a_caller_that_leaves_as_the_answer_arrives_leaves_no_connection(monkeypatch):
    """Guards against an answer that nobody reads or closes."""
    node = build_hedging_node()
    second = FakeResponse("s1")
    servers = Servers((0.05, NotSentError("1")), (0.1, second))
    handle_done = Hedge._handle_done

    async def run():
        exchange = build_hedged(monkeypatch, node, servers)
        request = asyncio.create_task(exchange.run())

        def leave(hedge, attempt, task):
            handle_done(hedge, attempt, task)
            request.cancel()

        monkeypatch.setattr(Hedge, "_handle_done", leave)
        await asyncio.wait({request})
        assert request.cancelled()
        return exchange

    exchange = asyncio.run(run())
    assert second.is_closed
    check_paired(node, exchange)


def test_the_quota_is_charged_once(monkeypatch):
    """Guards against a team that pays for the attempts of the system."""
    charged = []
    monkeypatch.setattr(
        exchange_module.Acquisition,
        "_charge_once",
        lambda self: charged.append(self._request.attempt_id),
    )
    servers = Servers((LONG_S, FakeResponse("s0")), (0, FakeResponse("s1")))
    run_hedged(monkeypatch, servers)
    assert charged == ["r0"]


def test_a_place_at_a_brittle_server_ends_with_its_own_attempt(monkeypatch):
    """Guards against the second attempt giving back the first one's place."""
    servers = Servers((0.1, FakeResponse("s0")), (0, not_run()))
    places = []

    def watch(exchange):
        exchange._limits._places["r0"] = "s0"
        asyncio.get_running_loop().call_later(
            0.07, lambda: places.append(dict(exchange._limits._places))
        )

    _, exchange, _ = run_hedged(monkeypatch, servers, change=watch)
    assert places == [{"r0": "s0"}]
    assert not exchange._limits._places


@pytest.mark.parametrize(("relayed", "helper"), [("s0", ""), ("s1", "helper:1")])
def test_a_helper_is_noted_with_its_own_attempt(monkeypatch, relayed, helper):
    """Guards against an answer of the own connection that is noted as relayed."""
    servers = Servers((LONG_S, FakeResponse("s0")), (0, FakeResponse("s1")))

    async def send(self, request, entry, *, build_headers, on_helper):
        if entry.incarnation == relayed:
            on_helper("helper:1")
        return await servers.send(
            None, request, address=entry.address, headers=build_headers()
        )

    monkeypatch.setattr(exchange_module.ServerPaths, "send", send)
    answer, exchange, _ = run_hedged(monkeypatch, servers)
    assert answer.body == b"body of s1"
    assert exchange.progress.helper == helper


def test_an_overtaken_server_does_not_look_fast(monkeypatch):
    """Guards against a slow server that gets more requests as its answers, which are
    never awaited, don't count."""
    servers = Servers((LONG_S, FakeResponse("s0")), (0, FakeResponse("s1")))
    node = build_hedging_node()

    def advance(_exchange):
        _call_soon(lambda: setattr(node, "now", 900))

    _, exchange, _ = run_hedged(monkeypatch, servers, node=node, change=advance)
    entry = node.state.by_service[SERVICE][0]
    assert get_stats(node.state.server_stats, entry).duration_ms > 100
    times = exchange._hedges._times[ANY_ROUTE.name]
    assert times.ordered[-1] == 900


def test_the_delay_follows_the_percentile_of_the_last_minute():
    """Guards against a delay from few or old times, or below the floor."""
    times = FirstByteTimes()
    for number in range(MIN_SAMPLES - 1):
        record_first_byte(times, 100 + number, now=0)
    assert get_hedge_delay(times, now=0) is None
    record_first_byte(times, 500, now=0)
    assert get_hedge_delay(times, now=0) == 118
    for _ in range(MIN_SAMPLES):
        record_first_byte(times, 1, now=SAMPLE_WINDOW_MS)
    assert get_hedge_delay(times, now=SAMPLE_WINDOW_MS) == MIN_DELAY_MS
    for _ in range(2 * MAX_SAMPLES):
        record_first_byte(times, 30, now=SAMPLE_WINDOW_MS)
    assert len(times.ordered) == len(times.times) == MAX_SAMPLES


def test_the_request_comes_first_among_the_reasons():
    """Guards against a suspect that is sent on since another reason hides it."""
    bad = Situation(
        has_crashed_servers=True,
        attempts=2,
        max_attempts=2,
        left_ms=0,
        latency_target_ms=100,
        is_cut_off=True,
        is_losing=True,
        is_full=True,
        has_server=False,
    )
    assert find_reason(bad) is Withheld.SUSPECT
