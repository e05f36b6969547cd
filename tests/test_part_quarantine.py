"""What instances do with prompts of which a part was in flight at crashes."""

import asyncio

import pytest

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.crash_records import MAX_CRASHES, RETRIAL_DELAY_MS
from arbutuspulley.delivery.part_records import ESTABLISHED_MS
from arbutuspulley.membership.coordinator_lease import CoordinatorLeaseState
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.messages import Hello, SuspicionUpdate
from arbutuspulley.node.poison import TRIAL_RETRY_MS, KnownCrashes
from arbutuspulley.node.suspects import (
    build_suspects,
    drop_known_parts,
    relay_suspects,
)
from arbutuspulley.platform.requests import decode_request
from arbutuspulley.rpc.messages import Suspicion
from tests.guard_groups import answer_until_proven, build_group
from tests.node_states import build_info, build_state


def build_request(prompt, number=0):
    """Build a request; no two numbers are alike."""
    headers = [("Host", "x"), ("X-Arbutuspulley-Prompt-Prefix", prompt)]
    request = decode_request(method="POST", path="/chat/", headers=headers)
    request.body = b"%d" % number
    return request


def crash(instance, prompt, number, *, begun_at=None):
    """Send a prompt to a server that crashes."""
    request = build_request(prompt, number)
    known = instance.guard.begin_attempt(request)
    instance.guard.record_crash(
        request, incarnation=f"s{number}", known=known, begun_at=begun_at
    )
    instance.guard.end_attempt(request)


def crash_all(instance, prompt="a:1,f:1,0:1"):
    for number in range(MAX_CRASHES):
        crash(instance, prompt, number)


def test_prompts_are_refused_at_all_instances():
    """Guards against requests that are never alike and crash servers for ever."""
    first, second = build_group()
    for number, instance in enumerate((first, second, first)):
        assert second.guard.get_refusal(build_request("a:1,f:1,1:1")) is None
        crash(instance, "a:1,f:1,0:1", number)
    for instance in (first, second):
        refusal = instance.guard.get_refusal(build_request("b:9,f:1,1:1"))
        assert refusal.retry_after_ms > 60 * SECOND_MS
        assert "part f " in refusal.reason
        for harmless in ("a:1,b:1,1:1", "a:1,f:1", ""):
            assert instance.guard.get_refusal(build_request(harmless)) is None
        assert read_quarantined(instance) == 1


def read_quarantined(instance):
    return instance.metrics.registry.get_sample_value("arbutus_quarantined_parts")


def test_an_answer_releases_a_part_at_all_instances():
    """Guards against harmless prompts that stay refused at some instances."""
    first, second = build_group()
    crash_all(first)
    second.guard.clear_parts(build_request("a:1,f:1,1:1"))
    for instance in (first, second):
        assert instance.guard.get_refusal(build_request("a:1,f:1,1:1")) is None
        assert read_quarantined(instance) == 0


@pytest.mark.parametrize(
    ("begun_ms", "is_blamed"),
    [(None, True), (0, True), (ESTABLISHED_MS - 1, True), (ESTABLISHED_MS, False)],
)
def test_a_prompt_whose_answer_has_been_coming_is_not_blamed(begun_ms, is_blamed):
    """Guards against blaming prompts that servers had answered for a while, and against
    acquitting those that crash servers after their first event."""
    (only,) = build_group(1)
    only.now = 10_000
    for number in range(MAX_CRASHES):
        begun_at = None if begun_ms is None else only.now - begun_ms
        crash(only, "f:1,0:1", number, begun_at=begun_at)
    refusal = only.guard.get_refusal(build_request("f:1,1:1", 9))
    assert (refusal is not None) == is_blamed


def test_prompts_with_a_suspect_part_are_sent_one_at_a_time():
    """Guards against requests that crash several more servers at once by a part."""
    first, second = build_group()
    for number in range(MAX_CRASHES - 1):
        crash(first, "a:1,f:1,0:1", number)
    sent, other = build_request("f:1,1:1", 7), build_request("f:1,2:1", 8)
    assert second.guard.get_refusal(other) is None
    first.guard.begin_attempt(sent)
    assert first.guard.get_refusal(sent) is None
    for instance in (first, second):
        assert instance.guard.get_refusal(other).retry_after_ms == TRIAL_RETRY_MS
    first.guard.end_attempt(sent)
    for instance in (first, second):
        assert instance.guard.get_refusal(other) is None


def test_instances_tell_which_suspect_parts_they_saw_answered():
    """Guards against blaming a part as early as one that was never answered, because
    the instance that counts the crashes is not the one that saw the answers."""
    first, second = build_group()
    second.guard.clear_parts(build_request("f:1,1:1"))
    crash_all(first)
    for instance in (first, second):
        assert instance.part_records.was_answered("f")
        assert instance.guard.get_refusal(build_request("f:1,2:1")) is None


def test_an_instance_says_once_that_a_suspect_part_was_answered():
    """Guards against news that instances send each other for ever."""
    first, second = build_group()
    second.guard.clear_parts(build_request("f:1,e:1,1:1"))
    sent = []
    second.send = sent.append
    crash(first, "f:1,0:1", 0)
    assert len(sent) == 1
    second.guard.merge_update(build_suspects(first))
    cleared = Suspicion(fingerprint="e", cleared=("s9/0",))
    second.guard.merge_update(SuspicionUpdate(parts=(cleared,)))
    assert len(sent) == 1


def test_a_request_whose_crashes_a_part_explains_is_tried_again_soon():
    """Guards against a harmless request that is refused for minutes because it was on
    the servers that a part of others crashed."""
    (only,) = build_group(1)
    beside = build_request("", 99)
    for number in range(MAX_CRASHES):
        crash(only, "f:1,0:1", number)
        known = KnownCrashes(request=number)
        only.guard.record_crash(beside, incarnation=f"s{number}", known=known)
    crash(only, "f:1,0:1", MAX_CRASHES)
    assert only.guard.get_refusal(build_request("f:1,1:1")) is not None
    wait_ms = only.guard.get_refusal(beside).retry_after_ms
    assert wait_ms <= 2 * RETRIAL_DELAY_MS


def test_an_instance_that_links_up_is_told_of_parts_and_their_ages():
    """Guards against processes that start and send prompts that crash servers."""
    first, second = (build_group(1)[0] for _ in range(2))
    first.now = 100
    crash_all(first)
    first.now += 5_000
    update = build_suspects(first)
    second.now = 70_000
    second.guard.merge_update(update)
    assert second.guard.get_refusal(build_request("f:1,1:1")) is not None
    assert second.part_records.get_age_ms("f", now=second.now) == 5_000


def test_a_coordinator_relays_what_an_instance_that_links_up_knows_of_parts():
    """Guards against crashes that were counted while there was no coordinator and stay
    known to one instance."""
    (instance,), state = build_group(1), build_state()
    crash_all(instance)
    sent = []
    for _ in range(2):
        relay_suspects(state, build_suspects(instance), send=sent.append)
    assert [len(message.parts) for message in sent] == [2]
    assert list(state.part_records.list_guilty()) == ["f"]


def test_a_coordinator_relays_news_of_parts_once():
    """Guards against messages that grow with the square of the instances, each of which
    sees a crash under a part that all share, and an answer after it."""
    (instance,), state = build_group(1), build_state()
    updates = []
    instance.send = updates.append
    crash(instance, "a:1,0:1", 0)
    instance.guard.clear_parts(build_request("a:1,1:1"))
    for update in updates:
        assert drop_known_parts(state, update).parts == update.parts
        state.part_records.merge(update.parts, now=0)
        assert drop_known_parts(state, update).parts == ()


def test_a_coordinator_relays_what_it_has_recorded_itself():
    """Guards against crashes that the coordinator's own instance saw and told nobody
    else, as it knew of them already."""
    state, (instance,) = build_state(), build_group(1)
    coordinator = Coordinator(
        state=state,
        lease=CoordinatorLeaseState(name="own", link="l", boot="b", lease_ms=3_000),
        receive_local=lambda _messages: None,
    )
    coordinator.is_active = True
    peer = coordinator.add_peer([Hello(info=build_info("n1"))])
    updates = []
    instance.send = updates.append
    crash(instance, "a:1,0:1", 0)
    update = SuspicionUpdate(parts=updates[0].parts)
    state.part_records.merge(update.parts, now=0)

    async def handle(origin):
        coordinator.handle_messages(origin, [update])

    asyncio.run(handle("n1"))
    assert update not in peer.outgoing
    asyncio.run(handle(state.settings.name))
    assert update in peer.outgoing


def test_a_server_that_is_heard_again_releases_a_part_at_all_instances():
    """Guards against a part that stays refused although connections broke, not servers,
    where the requests that it was in were cleared before."""
    first, second = build_group()
    for number in range(MAX_CRASHES):
        crash(first, "f:1,0:1", number)
        first.guard.clear(build_request("f:1,0:1", number))
    assert second.guard.get_refusal(build_request("f:1,1:1")) is not None
    answer_until_proven((first, second), first, "s1")
    for instance in (first, second):
        assert instance.guard.get_refusal(build_request("f:1,1:1")) is None


def test_a_coordinator_relays_parts_although_it_knows_the_requests():
    """Guards against news of parts that only come with those of requests."""
    (instance,), state = build_group(1), build_state()
    crash_all(instance)
    update = build_suspects(instance)
    state.crash_records.merge(update.suspicions, now=state.clock.now())
    sent = []
    relay_suspects(state, update, send=sent.append)
    assert [len(message.parts) for message in sent] == [2]
