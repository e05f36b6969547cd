"""What a coordinator concludes from instances that can't connect to a server."""

import pytest

from arbutuspulley.node.messages import AttemptEnded, ResponseStarted
from arbutuspulley.node.pool_updates import apply_progress, remove_instance
from arbutuspulley.pool.contact import (
    WITNESS_MS,
    apply_reaching,
    record_heard,
    record_unreachable,
)
from arbutuspulley.pool.grants import Refusal, find_next_wakeup, plan_grants
from arbutuspulley.ports.fleet import AttemptOutcome
from tests.pools import add_waiting, build_pool, build_server

ALL = frozenset(("n1", "n2", "n3"))


def build_watched_pool():
    server = build_server("s0", "m0")
    return build_pool(server, reaching=ALL), server


def report(pool, *origins, now=0):
    for origin in origins:
        record_unreachable(pool, "r", "s0", origin=origin, now=now)


def grant(pool, origin, *, now):
    """Return the server that a request of an instance is granted, if any."""
    add_waiting(pool, "asks", "m0", origin=origin, now=now)
    (decision, *_rest) = plan_grants(pool, now=now) or [None]
    pool.waiting.clear()
    return None if decision is None or isinstance(decision, Refusal) else decision


def test_a_server_that_one_instance_can_not_reach_is_granted_to_the_others():
    """Guards against an instance without a network that takes all servers away."""
    pool, server = build_watched_pool()
    report(pool, "n1")
    assert grant(pool, "n2", now=1) is not None
    assert grant(pool, "n1", now=1) is None
    assert server.accepted_orders == 0


def test_a_server_that_two_instances_can_not_reach_is_granted_to_nobody():
    pool, server = build_watched_pool()
    report(pool, "n1", "n2")
    assert server.backoff_until == 1_000
    assert grant(pool, "n3", now=1) is None
    assert server.accepted_orders is None


def test_a_server_that_has_answered_since_is_not_down():
    """Guards against old failures of one instance that count with those of another."""
    pool, server = build_watched_pool()
    report(pool, "n1", now=0)
    record_heard(pool, "s0", origin="n3", now=5)
    report(pool, "n2", now=10)
    assert server.backoff_until == 0
    assert grant(pool, "n3", now=11) is not None


def test_reports_of_long_ago_do_not_count():
    pool, server = build_watched_pool()
    report(pool, "n1", now=0)
    report(pool, "n2", now=WITNESS_MS + 1)
    assert server.backoff_until == 0


def test_instances_that_reach_no_servers_are_no_witnesses():
    """Guards against a data centre without a network that takes all servers away."""
    pool, server = build_watched_pool()
    report(pool, "n1", "n2")
    assert grant(pool, "n3", now=1) is None
    apply_reaching(pool, frozenset(("n3",)), now=2)
    assert server.backoff_until == 0
    assert grant(pool, "n3", now=3) is not None
    assert grant(pool, "n1", now=100) is not None
    report(pool, "n1", "n2", now=101)
    assert server.backoff_until == 0


def test_the_only_instance_that_reaches_servers_is_believed():
    pool, server = build_watched_pool()
    apply_reaching(pool, frozenset(("n3",)), now=0)
    report(pool, "n3")
    assert server.backoff_until == 1_000


def test_a_withheld_server_is_granted_when_its_time_ends():
    pool, _server = build_watched_pool()
    report(pool, "n1")
    add_waiting(pool, "r1", "m0", origin="n1")
    assert plan_grants(pool, now=1) == []
    assert find_next_wakeup(pool, now=1) <= 1_000
    assert [one.key for one in plan_grants(pool, now=1_000)] == ["r1"]


@pytest.mark.parametrize(
    "answer",
    [
        ResponseStarted(key="r", incarnation="s0", took_ms=1),
        AttemptEnded(key="r", incarnation="s0", how=AttemptOutcome.DONE),
        AttemptEnded(key="r", incarnation="s0", how=AttemptOutcome.NOT_RUN),
    ],
    ids=["started", "done", "refused"],
)
def test_any_answer_shows_that_a_server_is_up(answer):
    pool, server = build_watched_pool()
    report(pool, "n1", "n2")
    apply_progress({"llm": pool}, answer, origin="n3", now=5)
    assert server.backoff_until == 0
    assert grant(pool, "n3", now=200) is not None


@pytest.mark.parametrize("how", [AttemptOutcome.FAILED, AttemptOutcome.LEFT])
def test_an_attempt_without_an_answer_shows_nothing(how):
    pool, server = build_watched_pool()
    report(pool, "n1", "n2")
    ended = AttemptEnded(key="r", incarnation="s0", how=how)
    apply_progress({"llm": pool}, ended, origin="n3", now=5)
    assert server.backoff_until == 1_000


def test_an_instance_whose_link_is_lost_is_no_witness():
    pool, server = build_watched_pool()
    report(pool, "n1")
    remove_instance({"llm": pool}, "n1")
    report(pool, "n2")
    assert server.backoff_until == 0
