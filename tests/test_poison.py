"""Quarantine of requests that crash servers."""

import pytest

from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.node.messages import SuspicionUpdate
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.poison import MAX_CRASHES, MAX_SUSPECTS, RETRACT_MS, PoisonGuard
from arbutuspulley.platform.requests import decode_request


class Instance:
    """An instance that sends to its group's guards unless it is disconnected."""

    def __init__(self, group):
        self.now = 0
        self.clock = Clock(read=lambda: self.now)
        self.metrics = NodeMetrics()
        self.is_disconnected = False
        self.group = group
        group.append(self)
        self.guard = PoisonGuard(state=self, link=self)

    def send(self, message):
        assert isinstance(message, SuspicionUpdate)
        if self.is_disconnected:
            return
        for other in self.group:
            if not other.is_disconnected:
                other.guard.merge_suspicions(message.suspicions)


def build_group(count=2):
    group = []
    return [Instance(group) for _ in range(count)]


def build_request(body=b"poison", path="/chat/"):
    request = decode_request(method="POST", path=path, headers=[("Host", "x")])
    request.body = body
    return request


def crash(instance, server, request):
    """Send a request to a server that crashes."""
    known = instance.guard.count_crashes(request)
    instance.guard.record_crash(request, incarnation=server, known=known)


def test_a_request_is_quarantined_on_all_instances_after_three_crashes():
    first, second = build_group()
    request = build_request()
    for number, instance in enumerate((first, second, first)):
        assert instance.guard.get_refusal(request) is None
        crash(instance, f"s{number}", request)
    for instance in (first, second):
        assert instance.guard.get_refusal(request) > 60 * SECOND_MS
        assert instance.guard.get_refusal(build_request(b"other")) is None


def test_a_request_that_three_instances_lost_with_their_network_is_not_quarantined():
    """Guards against a harmless request that is refused for hours because instances
    that lost their network at once each counted a crash of another server."""
    group = build_group(4)
    request = build_request()
    for number, instance in enumerate(group[:3]):
        crash(instance, f"s{number}", request)
        # Each has recorded its crash before it hears of the others.
        instance.is_disconnected = True
    for instance in group[:3]:
        instance.is_disconnected = False
        for suspicion in instance.guard._suspects.suspicions.values():
            instance.send(SuspicionUpdate(suspicions=(suspicion,)))
    assert group[3].guard.get_refusal(request) is not None
    for instance in group[:3]:
        instance.guard.retract_recent()
    for instance in group:
        assert instance.guard.get_refusal(request) is None
        assert instance.guard.count_crashes(request) == 0


def test_only_recent_crashes_are_retracted():
    (only,) = build_group(1)
    request = build_request()
    crash(only, "s0", request)
    only.now = RETRACT_MS + 1
    crash(only, "s1", request)
    only.guard.retract_recent()
    assert only.guard.count_crashes(request) == 1


def test_concurrent_copies_of_a_request_count_as_one_crash():
    """All servers of a service fail at once in a power failure, each with a copy of one
    request in flight that a caller sent several times. The request is not the cause."""
    first, second = build_group()
    request = build_request()
    sent = [
        (instance, instance.guard.count_crashes(request))
        for instance in (first, second, first, second)
    ]
    for number, (instance, known) in enumerate(sent):
        instance.guard.record_crash(request, incarnation=f"s{number}", known=known)
    assert first.guard.count_crashes(request) == 1


def test_a_harmless_request_is_cleared_once_it_completes():
    first, second = build_group()
    request = build_request(b"bystander")
    for number in range(MAX_CRASHES - 1):
        crash(first, f"s{number}", request)
    second.guard.clear(request)
    assert first.guard.count_crashes(request) == 0
    for number in range(MAX_CRASHES - 1):
        crash(second, f"t{number}", request)
    assert first.guard.get_refusal(request) is None


def test_an_instance_without_a_coordinator_uses_its_own_suspicions():
    first, second = build_group()
    first.is_disconnected = True
    request = build_request()
    for number in range(MAX_CRASHES):
        crash(first, f"s{number}", request)
    assert first.guard.get_refusal(request) is not None
    assert second.guard.get_refusal(request) is None


@pytest.mark.parametrize("passed_ms", [0, 24 * 3_600 * SECOND_MS])
def test_suspects_are_bounded_and_evicted(passed_ms):
    (only,) = build_group(1)
    for number in range(MAX_SUSPECTS + 10):
        crash(only, "s1", build_request(b"%d" % number))
    only.now += passed_ms
    crash(only, "s1", build_request(b"last"))
    assert only.guard.count_crashes(build_request(b"last")) == int(passed_ms > 0)
