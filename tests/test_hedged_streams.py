"""Second attempts of streams, and the coordinator's grants for them."""

import asyncio

import msgspec
import pytest

from arbutuspulley.membership.server_reach import record_failed
from arbutuspulley.node.acquisition import Acquisition
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    SECOND_KEY_SUFFIX,
    AttemptEnded,
    CancelRequest,
    CoordinatorStatus,
    Granted,
    GrantRequest,
    Refused,
    ResponseStarted,
)
from arbutuspulley.node.poison import PoisonGuard
from arbutuspulley.node.pool_updates import apply_progress, cancel_request
from arbutuspulley.node.quotas import Quotas
from arbutuspulley.node.server_choice import ServerChoice
from arbutuspulley.platform import names
from arbutuspulley.platform.transport import BrokenError
from arbutuspulley.pool.grants import grant_at_once, plan_grants
from arbutuspulley.ports.answers import AnswerEnd
from arbutuspulley.ports.fleet import AttemptOutcome, ModelNeed, RetryPolicy
from tests.hedged_exchanges import (
    ANY_ROUTE,
    FakeStream,
    Servers,
    build_hedging_node,
    check_paired,
    patch_answer,
    run_hedged,
)
from tests.node_states import build_state
from tests.pools import add_run, add_waiting, build_pool, build_server
from tests.test_coordinator import build_coordinator

ROUTE = msgspec.structs.replace(
    ANY_ROUTE, retry_policy=RetryPolicy.RESUME, is_stream=True
)
NEED = ModelNeed(model="m0", adapter="", prompt_tokens=100, output_tokens=10)
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
LONG_S = 5.0


def test_a_stream_without_an_event_is_overtaken(monkeypatch):
    """Guards against headers that are sent at once and count as an answer, and against
    a stream made of two servers' events."""
    answer = patch_answer(monkeypatch)
    first = FakeStream("s0", first_s=LONG_S)
    servers = Servers((0, first), (0, FakeStream("s1", first_s=0.01)))
    _, exchange, node = run_hedged(monkeypatch, servers, route=ROUTE)
    assert answer.written == EVENTS
    assert first.is_cancelled and first.is_closed
    assert exchange.progress.server == "s1"
    check_paired(node, exchange)


def test_a_server_that_is_overtaken_may_have_said_that_it_leaves(monkeypatch):
    """Guards against further requests to a server whose statement nobody read, as
    another one sent the first event."""
    patch_answer(monkeypatch)
    leaving = {names.SERVER_LEAVING: "1"}
    first = FakeStream("s0", first_s=LONG_S, headers=leaving)
    servers = Servers((0, first), (0, FakeStream("s1")))
    _, _, node = run_hedged(monkeypatch, servers, route=ROUTE)
    assert node.state.leaving.list_all() == ("s0",)


def test_a_stream_that_has_begun_has_no_second_attempt(monkeypatch):
    """Guards against a second attempt after the first byte has gone to the caller."""
    answer = patch_answer(monkeypatch)
    # A suspect would have none anyway.
    monkeypatch.setattr(PoisonGuard, "record_crash", lambda *_one, **_other: None)
    first = FakeStream("s0", events=())
    first.parts = [b"id: 1\ndata: x\n\n", BrokenError("1", end=AnswerEnd.RESET)]
    second = FakeStream("s1", first_s=0.1, events=(b"2",))
    servers = Servers((0, first), (0, second), (0, FakeStream("s2")))
    run_hedged(monkeypatch, servers, route=ROUTE)
    assert answer.written == EVENTS
    assert len(servers.sent) == 2


def test_parts_of_both_streams_are_counted_and_let_go(monkeypatch):
    """Guards against memory of held answers that is not counted or never let go."""
    patch_answer(monkeypatch)
    second = FakeStream("s1", first_s=0.02)
    servers = Servers((0.01, FakeStream("s0", first_s=0.04)), (0.0, second))
    _, exchange, node = run_hedged(monkeypatch, servers, route=ROUTE)
    assert not exchange._hedge._first_parts
    check_paired(node, exchange)
    node = build_hedging_node()
    monkeypatch.setattr("arbutuspulley.platform.held_bytes.MAX_HELD_BYTES", 3)
    servers = Servers((0, FakeStream("s0")), (0, FakeStream("s1")))
    error, exchange, _ = run_hedged(monkeypatch, servers, node=node, route=ROUTE)
    assert error.status == 502
    check_paired(node, exchange)


class Grants:
    """A coordinator that grants servers in order, or refuses second attempts."""

    def __init__(self, *granted, delay_s=0.0):
        self.granted = list(granted)
        self.delay_s = delay_s
        self.asked = []
        self.sent = []

    def patch(self, monkeypatch, node):
        async def request_grant(link, request):
            self.asked.append(request)
            if request.is_second:
                await asyncio.sleep(self.delay_s)
            incarnation = self.granted.pop(0)
            return Granted(
                key=request.key, incarnation=incarnation, address="", is_late=False
            )

        monkeypatch.setattr(Link, "request_grant", request_grant)
        monkeypatch.setattr(ServerChoice, "has_models", lambda _self: True)
        node.link.deliver_local = self.sent.extend
        node.link.status = CoordinatorStatus(is_holder=True, grants_second=True)

    def list_ends(self):
        return {
            (one.key, one.incarnation): one.how
            for one in self.sent
            if isinstance(one, AttemptEnded)
        }


def run_granted(monkeypatch, grants, servers, *, change=None):
    patch_answer(monkeypatch)
    node = build_hedging_node()
    grants.patch(monkeypatch, node)

    def prepare(exchange):
        exchange._request.need = NEED
        if change is not None:
            change(exchange)

    answer, exchange, node = run_hedged(
        monkeypatch, servers, node=node, route=ROUTE, change=prepare
    )
    return answer, exchange, node


SECOND = "r0" + SECOND_KEY_SUFFIX


def test_each_attempt_at_a_model_server_has_its_own_grant(monkeypatch):
    """Guards against the end of one attempt that frees the slot of the other."""
    grants = Grants("s0", "s1")
    servers = Servers((LONG_S, FakeStream("s0")), (0, FakeStream("s1")))
    _, exchange, node = run_granted(monkeypatch, grants, servers)
    first, second = grants.asked
    assert (first.key, second.key) == ("r0", SECOND)
    assert second.is_second and not second.cost and "s0" in second.avoid
    assert grants.list_ends() == {
        ("r0", "s0"): AttemptOutcome.LEFT,
        (SECOND, "s1"): AttemptOutcome.DONE,
    }
    (started,) = [one for one in grants.sent if isinstance(one, ResponseStarted)]
    assert (started.key, started.run) == ("r0", SECOND)
    check_paired(node, exchange)


def test_a_grant_that_comes_too_late_is_returned(monkeypatch):
    """Guards against a slot that stays taken for a second attempt that never begins."""
    grants = Grants("s0", "s1", delay_s=0.05)
    servers = Servers((0.04, FakeStream("s0")), (0, FakeStream("s1")))
    _, exchange, node = run_granted(monkeypatch, grants, servers)
    assert len(grants.asked) == 2
    assert len(servers.sent) == 1
    check_paired(node, exchange)


def test_a_grant_of_a_server_that_is_out_of_reach_is_returned(monkeypatch):
    """Guards against second attempts that other instances would have to send, and
    against a slot that stays taken for one that is not sent."""

    def lose_second(exchange):
        state = exchange._state
        state.server_reach.known = 12
        record_failed(state.server_reach, state.by_incarnation["s1"].address, now=0)

    grants = Grants("s0", "s1")
    servers = Servers((0.1, FakeStream("s0")), (0, FakeStream("s1")))
    _, exchange, node = run_granted(monkeypatch, grants, servers, change=lose_second)
    assert len(servers.sent) == 1
    assert grants.list_ends() == {
        ("r0", "s0"): AttemptOutcome.DONE,
        (SECOND, "s1"): AttemptOutcome.UNUSED,
    }
    check_paired(node, exchange)


def test_an_older_coordinator_is_not_asked(monkeypatch):
    """Guards against second attempts that wait in the queue of a coordinator that
    takes them for first ones."""
    grants = Grants("s0", "s1")

    def remove(exchange):
        exchange._link.status = CoordinatorStatus(is_holder=True)

    servers = Servers((0.1, FakeStream("s0")), (0, FakeStream("s1")))
    run_granted(monkeypatch, grants, servers, change=remove)
    assert len(grants.asked) == 1


def test_a_refused_second_attempt_is_not_charged(monkeypatch):
    """Guards against budgets used up where the coordinator grants nothing."""
    monkeypatch.setattr(Acquisition, "request_second", _return_none)
    servers = Servers((0.1, FakeStream("s0")), (0, FakeStream("s1")))
    _, exchange, node = run_granted(monkeypatch, Grants("s0"), servers)
    assert len(servers.sent) == 1
    check_paired(node, exchange)
    assert node.read_metric("arbutus_retries_total", how="refunded") == 1


async def _return_none(_self):
    return None


def _build_waiting(pool, **changes):
    add_waiting(pool, "second", "m0", **changes)
    return pool.waiting.pop("second")


@pytest.mark.parametrize("waits_for", ["m0", "m1"])
def test_a_second_attempt_is_refused_while_a_request_waits(waits_for):
    """Guards against second attempts that take a slot, or keep the memory, that a first
    attempt waits for."""
    pool = build_pool(build_server("s0", "m0"), build_server("s1", "m0"))
    second = _build_waiting(pool, avoid=("s0",))
    add_waiting(pool, "first", waits_for)
    assert grant_at_once(pool, second, now=10) is None
    plan_grants(pool, now=10)
    pool.waiting.clear()
    assert grant_at_once(pool, second, now=200).incarnation == "s1"
    assert not pool.waiting


@pytest.mark.parametrize(
    "changes", [{"prefill_until": 100}, {"slots": 1}, {"is_leaving": True}]
)
def test_a_second_attempt_starts_at_once_or_is_refused(changes):
    """Guards against second attempts that delay the prompts of first ones."""
    server = build_server("s1", "m0", **changes)
    add_run(server, "r1", "m0")
    pool = build_pool(build_server("s0", "m0"), server)
    second = _build_waiting(pool, avoid=("s0",), late_at=0)
    assert grant_at_once(pool, second, now=90) is None
    assert not pool.waiting


def _ask(coordinator, **changes):
    request = GrantRequest(
        key=SECOND,
        service="llm",
        need=NEED,
        zone="z1",
        priority=1,
        aim_ms=100,
        left_ms=1_000,
        is_second=True,
        **changes,
    )
    coordinator._handle_message("own", request, now=10)


def test_the_coordinator_answers_a_second_attempt_at_once(monkeypatch):
    """Guards against second attempts that are charged, counted as demand, queued, or
    sent to a server with a rate limit."""
    sent = []
    charged = []
    monkeypatch.setattr(Quotas, "charge", lambda *one, **_: charged.append(one))
    state = build_state()
    coordinator = build_coordinator(state, receive_local=sent.extend)
    coordinator.is_active = True
    pool = build_pool(build_server("s0", "m0"), build_server("s1", "m0"))
    coordinator._pools = {"llm": pool}
    state.limits.update_from_answer("s1", 5.0, sent_at=0, now=0)
    coordinator.is_active = False
    _ask(coordinator, team="t", cost=50)
    coordinator.is_active = True
    assert sent.pop() == Refused(key=SECOND, retry_after_ms=0)
    _ask(coordinator, avoid=("s0",), team="t", cost=50)
    assert sent == [Refused(key=SECOND, retry_after_ms=0)]
    _ask(coordinator, team="t", cost=50)
    assert (sent[-1].key, sent[-1].incarnation) == (SECOND, "s0")
    assert not pool.waiting
    assert not pool.demand
    assert not charged


def test_the_runs_of_both_attempts_are_told_apart():
    """Guards against a withdrawn second attempt that frees the first one's slot."""
    servers = build_server("s0", "m0"), build_server("s1", "m0")
    pools = {"llm": build_pool(*servers)}
    for server, key in zip(servers, ("r0", SECOND), strict=True):
        add_run(server, key, "m0")
    started = ResponseStarted(key="r0", incarnation="s1", took_ms=5, run=SECOND)
    apply_progress(pools, started, origin="n1", now=10)
    assert servers[1].runs[SECOND].first_at == 10
    cancel_request(pools, CancelRequest(key=SECOND, service="llm"))
    assert set(servers[0].runs) == {"r0"}
    assert not servers[1].runs
