"""Quarantine of requests that crash servers."""

import itertools

import pytest

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.crash_records import (
    MAX_CRASHES,
    TRIAL_MS,
    UNEXPLAINED_RETRIAL_DELAY_MS,
    CrashRecords,
)
from arbutuspulley.node.messages import SuspicionUpdate
from arbutuspulley.node.poison import (
    MAX_SILENT_ATTEMPTS,
    SILENT_ATTEMPT_MS,
    TRIAL_RETRY_MS,
    KnownCrashes,
)
from arbutuspulley.platform.requests import decode_request
from tests.guard_groups import HEARTBEAT_MS, answer_until_proven, build_group


def build_request(body=b"poison", path="/chat/"):
    request = decode_request(method="POST", path=path, headers=[("Host", "x")])
    request.body = body
    return request


def crash(instance, server, request):
    """Send a request to a server that crashes."""
    known = instance.guard.begin_attempt(request)
    instance.guard.record_crash(request, incarnation=server, known=known)
    instance.guard.end_attempt(request)


def crash_at_once(instances, request, *, servers="s"):
    """Send a copy at each instance, and crash all their servers.

    Each instance records its crash before it hears of the others.
    """
    sent = [(one, one.guard.begin_attempt(request)) for one in instances]
    for number, (instance, known) in enumerate(sent):
        instance.guard.record_crash(
            request, incarnation=f"{servers}{number}", known=known
        )
        instance.guard.end_attempt(request)


def test_a_request_is_quarantined_on_all_instances_after_three_crashes():
    first, second = build_group()
    request = build_request()
    for number, instance in enumerate((first, second, first)):
        assert instance.guard.get_refusal(request) is None
        crash(instance, f"s{number}", request)
    for instance in (first, second):
        refusal = instance.guard.get_refusal(request)
        assert refusal.retry_after_ms > 60 * SECOND_MS
        assert instance.guard.get_refusal(build_request(b"other")) is None


def test_a_request_that_three_instances_lost_with_their_network_is_not_quarantined():
    """Guards against a harmless request that is refused for hours because instances
    that lost their network at once each counted a crash of another server."""
    group = build_group(4)
    request = build_request()
    for instance in group[:3]:
        instance.is_disconnected = True
    crash_at_once(group[:3], request)
    for instance in group[:3]:
        instance.is_disconnected = False
        suspicion = instance.crash_records.find(build_fingerprint_of(request))
        instance.send(SuspicionUpdate(suspicions=(suspicion,)))
    for instance in group:
        assert instance.guard.count_crashes(request) == 1
        assert instance.guard.get_refusal(request) is None


def build_fingerprint_of(request):
    guard = build_group(1)[0].guard
    guard.record_crash(request, incarnation="x", known=KnownCrashes())
    return request.fingerprint


def test_an_answer_of_a_server_takes_back_that_it_crashed():
    """Guards against a harmless request that is refused because connections broke, not
    servers, and against one that stays refused once servers are heard again."""
    first, second = build_group()
    request = build_request()
    for number in range(MAX_CRASHES):
        crash(first, f"s{number}", request)
    assert second.guard.get_refusal(request) is not None
    answer_until_proven((first, second), second, "s1")
    for instance in (first, second):
        assert instance.guard.get_refusal(request) is None
        assert instance.guard.count_crashes(request) == MAX_CRASHES - 1


@pytest.mark.parametrize("writes_entry", [True, False], ids=["returns", "lapses"])
def test_the_next_start_of_a_server_takes_no_crash_back(writes_entry):
    """Guards against a request that is never quarantined, as servers that start again
    under their ids answer others before their entries name the new start."""
    first, second = build_group()
    request = build_request()
    for instance in (first, second):
        instance.server_starts.set_listed({f"s{number}@1" for number in range(3)})
    for number in range(MAX_CRASHES):
        crash(first, f"s{number}@1", request)
    for late_ms in range(0, HEARTBEAT_MS, 50):
        for instance in (first, second):
            instance.now = 2_000 + late_ms
            instance.guard.record_answer("s1@1", sent_at=instance.now - 20)
        assert second.guard.get_refusal(request) is not None
    for instance in (first, second):
        instance.server_starts.set_listed({"s1@3200"} if writes_entry else {})
        instance.now += 10_000
        instance.guard.record_answer("s1@1", sent_at=instance.now - 10_005)
        instance.guard.record_answer("s1@3200", sent_at=instance.now - 5)
    for instance in (first, second):
        assert instance.guard.count_crashes(request) == MAX_CRASHES


def test_an_answer_that_was_under_way_at_the_crash_takes_nothing_back():
    """Guards against crashes that are forgotten because an answer that a server had
    sent before it crashed was read afterwards."""
    first, second = build_group()
    request = build_request()
    for instance in (first, second):
        instance.now = 100
    crash(first, "s0", request)
    for sent_at in (50, 100):
        second.guard.record_answer("s0", sent_at=sent_at)
        assert first.guard.count_crashes(request) == 1
    second.guard.record_answer("other", sent_at=500)
    assert first.guard.count_crashes(request) == 1


def test_a_server_that_crashes_after_it_was_heard_counts_again():
    """Guards against a request that may crash a server for ever because a connection to
    it had broken under that request before."""
    (only,) = build_group(1)
    request = build_request()
    crash(only, "s0", request)
    answer_until_proven((only,), only, "s0")
    assert not only.guard.count_crashes(request)
    for number in range(MAX_CRASHES):
        crash(only, f"t{number}", request)
    assert only.guard.get_refusal(request) is not None


def test_concurrent_copies_of_a_request_count_as_one_crash():
    """All servers of a service fail at once in a power failure, each with a copy of one
    request in flight that a caller sent several times. The request is not the cause."""
    group = build_group(4)
    request = build_request()
    crash_at_once(group, request)
    assert {one.guard.count_crashes(request) for one in group} == {1}


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_crashes_count_alike_in_whatever_order_they_become_known(order):
    """Guards against instances of which some refuse a request and others send it."""
    group = build_group(3)
    request = build_request()
    updates = []
    for number, instance in enumerate(group):
        known = instance.guard.begin_attempt(request)
        instance.guard.record_crash(request, incarnation=f"s{number}", known=known)
        updates.append(instance.crash_records.find(request.fingerprint))
    late = CrashRecords()
    late.merge([updates[number] for number in order], now=0)
    assert late.is_quarantined(request.fingerprint)


def test_one_crash_that_several_instances_see_counts_once():
    """Guards against a harmless request of which three copies were on one server."""
    first, second, third = build_group(3)
    request = build_request()
    crash(first, "s0", request)
    second.guard.record_crash(request, incarnation="s0", known=KnownCrashes())
    third.guard.record_crash(request, incarnation="s0", known=KnownCrashes(request=1))
    assert third.guard.count_crashes(request) == 1


def test_copies_of_a_request_are_sent_one_at_a_time_after_two_crashes():
    """Guards against copies that crash several more servers at once."""
    first, second = build_group()
    request, copy = build_request(), build_request()
    crash_at_once((first, second), request)
    assert second.guard.get_refusal(copy) is None
    known = first.guard.begin_attempt(request)
    assert first.guard.get_refusal(request) is None
    for instance in (first, second):
        assert instance.guard.get_refusal(copy).retry_after_ms == TRIAL_RETRY_MS
    first.guard.record_crash(request, incarnation="t", known=known)
    first.guard.end_attempt(request)
    assert second.guard.get_refusal(copy) is None
    crash(second, "u", copy)
    assert first.guard.get_refusal(request).retry_after_ms > TRIAL_RETRY_MS


def test_a_trial_that_never_ends_holds_up_no_other_copy_for_long():
    """Guards against harmless copies that wait for an instance that was killed."""
    first, second = build_group()
    request, copy = build_request(), build_request()
    crash_at_once((first, second), request)
    first.guard.begin_attempt(request)
    for instance in (first, second):
        instance.now += TRIAL_MS
        assert instance.guard.get_refusal(copy) is None


def test_the_end_of_another_trial_ends_none():
    """Guards against an instance whose trial ends the one of another instance."""
    first, second, third = build_group(3)
    request, copy = build_request(), build_request()
    crash_at_once((first, second), request)
    first.guard.begin_attempt(request)
    second.guard.begin_attempt(copy)
    first.guard.end_attempt(request)
    assert third.guard.get_refusal(build_request()) is not None
    second.guard.end_attempt(copy)
    assert third.guard.get_refusal(build_request()) is None


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


def test_the_coordinator_alone_tries_a_quarantined_request_again():
    """Guards against instances that all crash a server as the same time is over."""
    first, second = build_group()
    request = build_request()
    for number in range(MAX_CRASHES):
        crash(first, f"s{number}", request)
    first.is_coordinator = True
    for instance in (first, second):
        instance.now += 2 * UNEXPLAINED_RETRIAL_DELAY_MS
    assert second.guard.get_refusal(request) is not None
    assert first.guard.get_refusal(request) is None
    crash(first, "again", request)
    for instance in (first, second):
        assert instance.guard.get_refusal(request).retry_after_ms > 3_600 * SECOND_MS


def leave_silent(instance, request, *, server="s0", took_ms=2_000):
    """Send a request to a server, whose time is up before it has answered."""
    sent_at = instance.now
    known = instance.guard.begin_attempt(request)
    instance.now += took_ms
    instance.guard.record_silence(
        request, incarnation=server, known=known, sent_at=sent_at
    )
    instance.guard.end_attempt(request)


def test_a_request_counts_as_at_the_crash_of_a_server_that_was_silent():
    """Guards against a request that is never quarantined, as its time is up before its
    server is found to have crashed."""
    first, second = build_group()
    request = build_request()
    for number in range(MAX_CRASHES):
        assert second.guard.get_refusal(request) is None
        leave_silent(first, request, server=f"s{number}")
        assert second.guard.count_crashes(request) == number
        first.server_starts.record_down(f"s{number}")
        assert second.guard.count_crashes(request) == number + 1
    assert second.guard.get_refusal(request) is not None


@pytest.mark.parametrize("after_ms", [100, SILENT_ATTEMPT_MS + 1])
def test_a_start_that_no_entry_names_any_more_has_ended(after_ms):
    """Guards against a server that is replaced before anybody tries to connect to it,
    and against crashes long after a request that count as by it."""
    (only,) = build_group(1)
    request = build_request()
    only.server_starts.set_listed({"s0"})
    leave_silent(only, request)
    only.now += after_ms
    only.server_starts.set_listed({"s0@2"})
    assert only.guard.count_crashes(request) == (after_ms == 100)


@pytest.mark.parametrize("sign", ["heard", "leaving"])
def test_a_server_that_was_slow_or_left_has_not_crashed(sign):
    """Guards against harmless requests that are refused as slow servers leave."""
    (only,) = build_group(1)
    request = build_request()
    leave_silent(only, request)
    if sign == "heard":
        only.now += 10
        only.guard.record_answer("s0", sent_at=only.now)
    else:
        only.leaving.add("s0")
    only.now += 10
    only.server_starts.record_down("s0")
    assert only.guard.count_crashes(request) == 0


def test_attempts_at_silent_servers_are_bounded():
    (only,) = build_group(1)
    for number in range(3 * MAX_SILENT_ATTEMPTS):
        leave_silent(only, build_request(b"%d" % number), took_ms=1)
    assert len(only.guard._silent) == MAX_SILENT_ATTEMPTS
