"""Rate limits of servers: exchange between instances, and enforcement."""

import asyncio

import msgspec
import pytest

from arbutuspulley.admission.rate_limits import MAX_RECHECK_MS
from arbutuspulley.clock import Clock
from arbutuspulley.membership.coordinator_lease import CoordinatorLeaseState
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    CoordinatorStatus,
    Granted,
    Hello,
    PermissionRequest,
    Refused,
    ServerLimit,
    ServerLimits,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.requests import decode_request
from tests.node_states import build_info, build_state
from tests.pools import build_pool, build_server
from tests.test_local_choice import A

LIMITED = {names.SERVER_LIMIT: "2"}

REQUEST = decode_request(
    method="GET", path="/", headers=[("X-Arbutuspulley-Attempt-Id", "r0")]
)


class Instance:
    """An instance with its link; ``sent`` is what it sent to its coordinator."""

    def __init__(self, *, is_linked=True):
        self.now = [100_000]
        self.state = build_state(clock=Clock(read=lambda: self.now[0]))
        self.state.by_incarnation = {A.incarnation: A}
        self.link = Link(state=self.state)
        self.sent = []
        if is_linked:
            self.link.deliver_local = self.sent.extend
        self.guard = LimitGuard(state=self.state, link=self.link)

    def update_from_answer(self, headers, *, sent_ago=0):
        self.guard.update_from_answer(A, headers, sent_at=self.now[0] - sent_ago)

    def ask(self):
        return asyncio.run(self.guard.request_permission(A, REQUEST))


def build_coordinator(*, limits=()):
    """Build an active coordinator of one pool, and the list of messages that it sends
    to its own instance."""
    state = build_state()
    state.by_incarnation = {A.incarnation: A}
    for one in limits:
        state.limits.update_from_coordinator(one.incarnation, one.per_s, now=0)
    sent = []
    coordinator = Coordinator(
        state=state,
        lease=CoordinatorLeaseState(name="own", link="own:1", boot="b", lease_ms=3_000),
        receive_local=sent.extend,
    )
    coordinator.is_active = True
    coordinator._rates.reset()
    coordinator._pools = {"llm": build_pool(build_server(A.incarnation, "m0"))}
    coordinator._rates.apply(coordinator._pools.values())
    return coordinator, sent


def get_limit(coordinator):
    server = coordinator._pools["llm"].servers[A.incarnation]
    return None if server.limit is None else server.limit.per_s


def test_a_limit_is_sent_until_the_coordinator_confirms_it():
    """Guards against a limit that is lost with a link and never sent again."""
    instance = Instance()
    limit = ServerLimit(incarnation=A.incarnation, per_s=2.0)
    instance.update_from_answer(LIMITED)
    instance.update_from_answer(LIMITED)
    assert instance.sent == [limit, limit]
    instance.link.receive([ServerLimits(limits=(limit,))])
    instance.update_from_answer(LIMITED)
    assert instance.sent == [limit, limit]
    instance.now[0] += 10
    instance.update_from_answer({})
    assert instance.sent[2:] == [ServerLimit(incarnation=A.incarnation)]


def test_an_invalid_limit_changes_nothing():
    instance = Instance()
    instance.update_from_answer(LIMITED)
    instance.now[0] += 10
    instance.update_from_answer({names.SERVER_LIMIT: "many"})
    assert instance.state.limits.get(A.incarnation) == 2.0


def test_an_instance_receives_limits_that_others_have_read():
    instance = Instance()
    limit = ServerLimit(incarnation=A.incarnation, per_s=3.0)
    instance.link.receive([ServerLimits(limits=(limit,))])
    assert instance.state.limits.get(A.incarnation) == 3.0
    instance.link.receive([ServerLimits(limits=(), are_all=True)])
    assert instance.state.limits.get(A.incarnation) is None


def test_an_instance_without_a_coordinator_uses_only_its_own_share():
    """Guards against instances that each use the full limit without a coordinator."""
    instance = Instance(is_linked=False)
    instance.update_from_answer(LIMITED)
    assert instance.ask() == MAX_RECHECK_MS
    instance.state.instances = 2
    assert instance.ask() > 0
    waits = []
    for _ in range(10):
        instance.now[0] += 500
        waits.append(instance.ask())
    assert 4 <= waits.count(0) <= 5


def test_a_request_to_a_server_without_a_limit_needs_no_permission():
    instance = Instance()
    assert instance.ask() == 0
    assert instance.sent == []


@pytest.mark.parametrize(
    ("answer", "wait_ms"),
    [
        (Granted(key="r0", incarnation="a", address="", is_late=False), 0),
        (Refused(key="r0", retry_after_ms=300), 300),
    ],
    ids=["granted", "refused"],
)
def test_a_plain_request_to_a_limited_server_asks_the_coordinator(answer, wait_ms):
    instance = Instance()

    def reply(messages):
        if isinstance(messages[0], PermissionRequest):
            loop = asyncio.get_running_loop()
            loop.call_soon(instance.link.receive, [answer])

    instance.update_from_answer(LIMITED)
    instance.link.deliver_local = reply
    assert instance.ask() == wait_ms


def test_a_coordinator_that_does_not_answer_is_treated_as_missing():
    """Guards against plain requests that wait for a coordinator of another version."""
    instance = Instance()
    instance.update_from_answer(LIMITED)
    assert instance.ask() == MAX_RECHECK_MS


def test_an_instance_whose_link_was_closed_uses_its_own_share():
    instance = Instance(is_linked=False)
    instance.link.receive([CoordinatorStatus(is_holder=True, instances=1)])
    instance.update_from_answer(LIMITED)
    instance.link.disconnect()
    assert instance.ask() == 500
    instance.now[0] += 500
    assert instance.ask() == 0


def test_the_coordinator_enforces_a_limit_that_any_instance_has_read():
    coordinator, sent = build_coordinator()
    limit = ServerLimit(incarnation=A.incarnation, per_s=2.0)
    coordinator._handle_message("x", limit, now=0)
    assert get_limit(coordinator) == 2.0
    coordinator._apply_linked([build_info("own")])
    assert sent == [ServerLimits(limits=(limit,))]
    coordinator._apply_linked([build_info("own")])
    assert len(sent) == 1


def test_all_permissions_use_one_token_bucket():
    """Guards against a plain server that gets its full limit from each instance."""
    coordinator, sent = build_coordinator()
    coordinator.add_peer([Hello(info=build_info("x"))])
    limit = ServerLimit(incarnation=A.incarnation, per_s=2.0)
    coordinator._handle_message("own", limit, now=0)
    coordinator._rates._ledger.get(A.incarnation).balance = 1.0
    for key in ("r0", "r1"):
        message = PermissionRequest(key=key, incarnation=A.incarnation)
        coordinator._handle_message("own", message, now=0)
    assert [type(one) for one in sent] == [Granted, Refused]


def test_the_next_coordinator_enforces_limits_that_it_knows_or_receives():
    """Guards against an overloaded server that gets all requests again after a
    takeover."""
    limit = ServerLimit(incarnation=A.incarnation, per_s=2.0)
    knows, _ = build_coordinator(limits=(limit,))
    assert get_limit(knows) == 2.0
    receives, _ = build_coordinator()
    receives.add_peer([Hello(info=build_info("x"), limits=(limit,))])
    assert get_limit(receives) == 2.0
    again = msgspec.structs.replace(limit, per_s=9.0)
    receives.add_peer([Hello(info=build_info("y"), limits=(again,))])
    assert get_limit(receives) == 2.0


def test_an_instance_that_connects_receives_all_limits():
    limit = ServerLimit(incarnation=A.incarnation, per_s=2.0)
    coordinator, _ = build_coordinator(limits=(limit,))
    peer = coordinator.add_peer([Hello(info=build_info("x"))])
    assert ServerLimits(limits=(limit,), are_all=True) in peer.outgoing


def test_a_removed_limit_is_sent_to_all():
    limit = ServerLimit(incarnation=A.incarnation, per_s=2.0)
    coordinator, sent = build_coordinator(limits=(limit,))
    over = ServerLimit(incarnation=A.incarnation)
    coordinator._handle_message("x", over, now=0)
    assert get_limit(coordinator) is None
    coordinator._apply_linked([build_info("own")])
    assert sent == [ServerLimits(limits=(over,))]
