"""Requests at an instance without a coordinator."""

import asyncio

import pytest

from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import CoordinatorStatus
from arbutuspulley.node.progress import Progress
from arbutuspulley.node.server_choice import ServerChoice
from arbutuspulley.ports.fleet import (
    FleetConfiguration,
    InboundRequest,
    ModelNeed,
    ServiceSpec,
)
from arbutuspulley.routing.local_choice import record_done, record_sent
from tests.node_states import build_entry, build_state, build_stream_route

NEED = ModelNeed(model="m0", adapter="", prompt_tokens=1_000, output_tokens=50)

ROUTE = build_stream_route("llm")


def put_connections(state, connections):
    """Set how many connections a server accepts from all instances."""
    spec = ServiceSpec(name="llm", max_connections=connections)
    state.configuration = FleetConfiguration(
        version=1, routes=(), services={"llm": spec}
    )


def build_choice(state, link, *, waited_ms=0, **changes):
    entry = build_entry("s0")
    state.by_service = {"llm": [entry]}
    request = InboundRequest(
        attempt_id="r0",
        method="POST",
        host="h",
        path="/",
        headers=[],
        wait_ms=None,
        need=NEED,
    )
    now = state.clock.now()
    return ServerChoice(
        state=state,
        link=link,
        limits=LimitGuard(state=state, link=link),
        route=ROUTE,
        request=request,
        progress=Progress(
            started_at=now - waited_ms, ends_at=now + 5_000, service="llm"
        ),
        first_part_timeout_ms=2_000,
        **changes,
    )


def test_after_start_a_request_waits_for_the_first_coordinator():
    """All instances restart together after a power failure. Without the wait, those
    that are ready first send all their prompts at once to the listed servers, and every
    stream there stalls for half a second; the coordinator is available 0.2 s later."""

    async def scenario():
        state = build_state()
        link = Link(state=state)
        choice = build_choice(state, link)
        waiting = asyncio.create_task(choice.wait_for_coordinator())
        await asyncio.sleep(0.06)
        assert not waiting.done()
        link.receive([CoordinatorStatus(is_holder=True)])
        return await waiting

    assert asyncio.run(scenario())


def test_without_a_coordinator_a_request_is_sent_within_its_latency_target():
    async def scenario():
        state = build_state()
        started_at = state.clock.now()
        choice = build_choice(state, Link(state=state))
        entry = await choice.choose_uncoordinated(NEED)
        return entry, state.clock.now() - started_at

    entry, waited_ms = asyncio.run(scenario())
    assert entry.incarnation == "s0"
    assert waited_ms < ROUTE.latency_target_ms


def test_the_next_coordinator_counts_requests_sent_without_one():
    """Guards against a coordinator that knows only 20 of the 40 requests at a server
    and grants it twice its capacity."""

    async def scenario():
        state = build_state()
        link = Link(state=state)
        link.receive([CoordinatorStatus(is_holder=True)])
        await build_choice(state, link).choose_uncoordinated(NEED)
        return link.runs.list_all()

    (run,) = asyncio.run(scenario())
    assert (run.key, run.incarnation, run.pause_ms) == ("r0", "s0", 250)


@pytest.mark.parametrize("shares_contended", [False, True])
def test_a_team_waits_for_its_share_while_others_find_nothing_free(shares_contended):
    """Guards against a team that takes each slot of a server that another team's
    request waits for, and deployments without fair shares against such waits."""

    async def scenario():
        state = build_state(shares_contended=shares_contended)
        put_connections(state, 60)
        entry = build_entry("s0")
        for _ in range(8):
            record_sent(state.server_stats, entry, team="busy")
        waiting, busy = (
            build_choice(state, Link(state=state), team=team, waited_ms=5_000)
            for team in ("other", "busy")
        )
        task = asyncio.create_task(waiting.choose_uncoordinated(NEED))
        await asyncio.sleep(0.01)
        for _ in range(2):
            record_done(
                state.server_stats, entry, took_ms=10, failed=False, team="busy"
            )
        chosen = busy.choose(is_plain=False)
        return chosen, await task

    chosen, entry = asyncio.run(scenario())
    assert (chosen is None) is shares_contended
    assert (entry is not None) is shares_contended
