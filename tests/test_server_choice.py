"""Choice of a server for requests without a model."""

import asyncio

import msgspec
import pytest

from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.link import Link
from arbutuspulley.node.progress import Progress
from arbutuspulley.node.server_choice import ServerChoice
from arbutuspulley.ports.fleet import RetryPolicy, SoftwareVersion
from arbutuspulley.routing.local_choice import get_stats
from tests.node_states import build_state
from tests.test_local_choice import A, B
from tests.test_without_coordinator import ROUTE


def build_choice(state, *, avoid=()):
    route = msgspec.structs.replace(ROUTE, is_stream=False, latency_target_ms=120)
    now = state.clock.now()
    progress = Progress(started_at=now, ends_at=now + 2_000)
    progress.service = "s"
    progress.avoid.update(avoid)
    link = Link(state=state)
    return ServerChoice(
        state=state,
        link=link,
        limits=LimitGuard(state=state, link=link),
        route=route,
        request=None,
        progress=progress,
        first_part_timeout_ms=2_000,
    )


def build_full(*, entries):
    """Return the state of an instance that uses all its slots at some servers."""
    state = build_state()
    state.by_service = {"s": list(entries)}
    for entry in entries:
        record = get_stats(state.server_stats, entry)
        record.in_flight, record.concurrency_limit = 4, 1.0
    return state


@pytest.mark.parametrize(
    ("free_after_s", "expected"), [(0.0, "b"), (0.015, "b"), (30, None)]
)
def test_a_request_waits_for_a_slot_for_a_fraction_of_its_latency_target(
    free_after_s, expected
):
    async def scenario():
        state = build_full(entries=(A, B))
        loop = asyncio.get_running_loop()
        record = get_stats(state.server_stats, B)
        loop.call_later(free_after_s, lambda: setattr(record, "in_flight", 0))
        await asyncio.sleep(0 if free_after_s else 0.001)
        return await build_choice(state).choose_plain()

    entry = asyncio.run(scenario())
    assert (entry.incarnation if entry else None) == expected


def test_a_request_does_not_wait_for_servers_in_cooldown():
    """Guards against requests that wait in vain while all servers shed load."""

    async def scenario():
        state = build_state()
        state.by_service = {"s": [A, B]}
        now = state.clock.now()
        state.cooldowns.extend("a", now + 3_000)
        state.cooldowns.extend("b", now + 2_000)
        choice = build_choice(state, avoid=("b",))
        async with asyncio.timeout(0.01):
            return await choice.choose_plain(), choice.get_retry_after()

    entry, retry_after_ms = asyncio.run(scenario())
    assert entry is None
    assert 1_900 <= retry_after_ms <= 2_000


def test_a_server_in_cooldown_is_not_chosen():
    state = build_state()
    state.by_service = {"s": [A, B]}
    state.cooldowns.extend("a", state.clock.now() + 3_000)
    choice = build_choice(state)
    assert choice.choose(is_plain=True) is B
    assert choice.get_retry_after() is None


def test_a_request_does_not_wait_for_servers_that_refused_it():
    async def scenario():
        choice = build_choice(build_full(entries=(A, B)), avoid=("a", "b"))
        async with asyncio.timeout(0.01):
            return await choice.choose_plain()

    assert asyncio.run(scenario()) is None


def build_mixed(*, policy, versions=("v1", "v2")):
    """Return a choice among two servers, of which the second may have restarted."""
    state = build_state()
    entries = [
        msgspec.structs.replace(entry, software_version=SoftwareVersion(name=version))
        for entry, version in zip((A, B), versions, strict=True)
    ]
    state.by_service = {"s": entries}
    state.software_versions.update(state.by_service, now=state.clock.now())
    state.server_starts.record_down("b")
    choice = build_choice(state, avoid=("a",))
    choice._route = msgspec.structs.replace(choice._route, retry_policy=policy)
    return choice


def test_a_stream_goes_to_no_server_that_may_have_another_version_by_now():
    """Guards against streams of two versions, as a server that has started again with
    another one is taken for its start before until its entry is written."""

    async def scenario():
        choice = build_mixed(policy=RetryPolicy.RESUME)
        assert await choice.choose_plain() is None
        choice._progress.avoid.clear()
        state = choice._state
        state.by_service["s"] = state.by_service["s"][1:]
        assert 0 < choice.get_retry_after() <= 4_000

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "changes",
    [
        {"policy": RetryPolicy.ONCE},
        {"policy": RetryPolicy.RESUME, "versions": ("v1", "v1")},
    ],
    ids=["not resumed", "one version"],
)
def test_requests_that_no_version_matters_to_go_to_it(changes):
    """Guards against servers that get no requests after a connection has broken."""

    async def scenario():
        entry = await build_mixed(**changes).choose_plain()
        assert entry.incarnation == "b"

    asyncio.run(scenario())
