"""Retry budgets on an instance: settings, shares, reports, and what requests charge."""

import msgspec

from arbutuspulley.membership.server_reach import ServerReach
from arbutuspulley.node.server_paths import ServerPaths
from arbutuspulley.platform.transport import BrokenError, NotSentError
from arbutuspulley.ports.answers import AnswerEnd
from tests.lone_exchanges import (
    SERVICE,
    WINDOW_MS,
    LoneNode,
    build_node_with_retries,
    run_exchange,
)


def test_the_share_follows_the_statuses_of_the_coordinator():
    """Guards against a sixth of the allowance at an instance that knows no fleet."""
    node = LoneNode(retry_extra=60)
    assert not node.charge_all()
    node.follow_coordinator(for_ms=WINDOW_MS)
    assert not node.charge_all()
    node.follow_coordinator(for_ms=500)
    assert len(node.charge_all()) in (9, 10)


def test_reloaded_settings_apply_to_what_was_charged_before():
    """Guards against a reload that renews the budget or is ignored by it."""
    node = LoneNode(retry_ratio=0.0, retry_extra=60)
    node.follow_coordinator(for_ms=WINDOW_MS + 500)
    assert len(node.charge_all()) in (9, 10)
    node.state.settings = msgspec.structs.replace(
        node.state.settings, retry_extra=120, retry_ratio=1.0
    )
    assert len(node.charge_all()) in (9, 10)
    for _ in range(20):
        node.retries.record_request(SERVICE)
    assert len(node.charge_all()) in (17, 18)


def test_the_budget_is_reported_once_a_second(caplog):
    """Guards against a shortage of retries that can't be told from one of servers."""
    node = LoneNode(retry_ratio=1.0)
    for _ in range(20):
        node.retries.record_request(SERVICE)
    with caplog.at_level("INFO"):
        charged = len(node.charge_all())
        node.now = 1_000
        node.charge_all()
    assert charged in (17, 18)
    lines = [one.event_fields for one in caplog.records if one.msg == "retry_budget"]
    assert len(lines) == 2
    assert lines[1]["requests"] == 20
    assert lines[1]["spent"] == lines[1]["in_flight"] == charged
    assert (lines[1]["left"], lines[1]["share"]) == (0, 0)
    assert lines[1]["denied"] == 2
    assert node.read_metric("arbutus_retries_total", how="charged") == charged
    assert node.read_metric("arbutus_retries_total", how="denied") == 2
    assert node.read_metric("arbutus_retry_budget", what="allowed") == 20
    assert node.read_metric("arbutus_retry_budget", what="spent") == charged
    assert node.read_metric("arbutus_retry_budget", what="left") == 0


def test_a_server_is_not_blamed_while_the_own_network_is_suspected(monkeypatch):
    """Guards against reports of servers that only this instance can't connect to."""
    node = build_node_with_retries()
    run_exchange(monkeypatch, node, outcomes=[NotSentError("1"), NotSentError("2")])
    registry = node.state.metrics.registry

    def count(how):
        return registry.get_sample_value("arbutus_attempts_total", {"how": how})

    assert (count("unreached"), count("unused")) == (1, 1)


def test_a_retry_that_could_not_be_sent_keeps_its_charge_for_the_next_server(
    monkeypatch,
):
    """Guards against a retry that is charged twice, or sent without a charge."""
    node = build_node_with_retries()
    status, in_flight = run_exchange(
        monkeypatch,
        node,
        outcomes=[
            BrokenError("1", end=AnswerEnd.RESET),
            NotSentError("2"),
            BrokenError("3", end=AnswerEnd.RESET),
        ],
    )
    assert status == 502
    assert [len(charges) for charges in in_flight] == [0, 1, 1]
    assert in_flight[1] == in_flight[2]
    assert in_flight[2][0].settled_at is not None


def test_a_retry_that_finds_no_server_is_given_back(monkeypatch):
    """Guards against a budget used up by requests that were not sent again."""
    node = build_node_with_retries()
    status, in_flight = run_exchange(
        monkeypatch, node, outcomes=[BrokenError("1", end=AnswerEnd.RESET)]
    )
    assert status == 502
    assert len(in_flight) == 1
    assert not node.retries._services[SERVICE].budget.in_flight
    assert node.read_metric("arbutus_retries_total", how="charged") == 1
    assert node.read_metric("arbutus_retries_total", how="refunded") == 1


def test_a_request_that_was_not_sent_needs_no_retry(monkeypatch):
    """Guards against a budget used up by servers that nothing has reached."""
    node = LoneNode(retry_ratio=0.0, retry_extra=0)
    status, in_flight = run_exchange(
        monkeypatch,
        node,
        outcomes=[NotSentError("1"), BrokenError("2", end=AnswerEnd.RESET)],
    )
    assert status == 502
    assert len(in_flight) == 2
    assert node.read_metric("arbutus_retries_total", how="charged") is None
    assert node.read_metric("arbutus_retries_total", how="denied") == 1


def test_a_crash_counts_while_other_servers_can_not_be_connected_to(monkeypatch):
    """Guards against a request that goes on crashing servers because those that crashed
    before it was sent are taken for a fault of the own network."""
    node = build_node_with_retries()
    node.state.server_reach = ServerReach(known=12, heard_at=1)
    broken = BrokenError("reset", end=AnswerEnd.RESET)
    monkeypatch.setattr(ServerPaths, "check", lambda _self, _address: None)
    run_exchange(
        monkeypatch, node, outcomes=[NotSentError("1"), NotSentError("2"), broken]
    )
    registry = node.state.metrics.registry
    assert registry.get_sample_value("arbutus_break_offs_total", {"how": "counted"})
