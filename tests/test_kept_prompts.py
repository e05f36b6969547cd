"""Versions of streams as told by the prompts that servers keep."""

import asyncio

import pytest

from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.delivery.begun_streams import BegunStream
from arbutuspulley.delivery.prompt_index import build_part_key
from arbutuspulley.node.kept_prompts import (
    MAX_AGE_MS,
    MAX_CALLS,
    READ_POLL_MS,
    KeptPrompts,
    PromptCollector,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.messages import decode_kept_parts
from arbutuspulley.platform.requests import MAX_PROMPT_PARTS, decode_request
from arbutuspulley.ports.fleet import LoadedModel, SoftwareVersion
from tests.node_states import build_entry, build_state

V1, V2 = SoftwareVersion(name="v1"), SoftwareVersion(name="v2")

PART, OTHER_PART = "a1", "b2"

KEEPING, LACKING, SILENT = frozenset((PART, OTHER_PART)), frozenset((OTHER_PART,)), None


def build_request(*, model="m0", prompt=f"{OTHER_PART}:10,{PART}:90"):
    headers = [(names.MODEL, model), (names.TOKEN_USAGE, "100,20")]
    if prompt:
        headers.append((names.PROMPT_PREFIX, prompt))
    return decode_request(method="POST", path="/resumed/1", headers=headers)


class Servers:
    """Servers of one service, and what they answer.

    :param answers: what each one answers, by its entry.
    """

    def __init__(self, answers):
        self.asked = []
        self.state = build_state(clock=Clock(read=lambda: 10_000))
        self.state.by_service["llm"] = list(answers)
        self._answers = {entry.incarnation: kept for entry, kept in answers.items()}
        self.prompts = KeptPrompts(state=self.state, fetch=self.fetch)

    async def fetch(self, entry):
        self.asked.append(entry.incarnation)
        await asyncio.sleep(0)
        return self._answers[entry.incarnation]

    async def find(self, **changes):
        return await self.prompts.find_version("llm", build_request(**changes))


def build_servers(*answers, **changes):
    """Build servers of the versions v1 and v2 in turn."""
    entries = [
        build_entry(f"s{number}", software_version=(V1, V2)[number % 2], **changes)
        for number in range(len(answers))
    ]
    return Servers(dict(zip(entries, answers, strict=True)))


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([KEEPING, LACKING], V1),
        ([LACKING, KEEPING], V2),
        ([KEEPING, LACKING, KEEPING], V1),
        ([KEEPING, LACKING, SILENT], V1),
        ([LACKING, LACKING], None),
        ([KEEPING, KEEPING], None),
        ([KEEPING, SILENT], None),
        ([SILENT, SILENT], None),
        ([], None),
    ],
)
def test_a_version_is_told_only_by_its_own_servers(answers, expected):
    """Guards against a stream that goes on at a version whose servers keep its prompt
    where those of another one keep it, or may keep it, too."""
    servers = build_servers(*answers)
    assert asyncio.run(servers.find()) == expected


def test_no_server_is_asked_that_can_not_tell():
    """Guards against calls to servers that have not got the model, or want no requests
    for a time."""
    answers = {
        build_entry("other", loaded_models=(LoadedModel(model="m1"),)): KEEPING,
        build_entry("resting", software_version=V1): KEEPING,
        build_entry("ready", software_version=V1): KEEPING,
    }
    servers = Servers(answers)
    servers.state.cooldowns.extend("resting", 12_000)
    assert asyncio.run(servers.find()) == V1
    assert servers.asked == ["ready"]


@pytest.mark.parametrize("state", ["leaving", "resting"])
def test_a_server_that_takes_no_requests_may_keep_a_prompt(state):
    """Guards against a stream that goes on at another version, which keeps its prompt
    of an earlier request of the session or of a second attempt, as the servers that
    began it are leaving or want no requests for a time."""
    answers = {
        build_entry(state, is_leaving=state == "leaving", software_version=V1): KEEPING,
        build_entry("ready", software_version=V2): KEEPING,
    }
    servers = Servers(answers)
    if state == "resting":
        servers.state.cooldowns.extend(state, 12_000)
    assert asyncio.run(servers.find()) is None
    assert servers.asked == ["ready"] if state == "resting" else [state, "ready"]


@pytest.mark.parametrize("prompt", ["", "no id:10", f"{PART}:1,"])
def test_a_request_without_a_prompt_of_its_own_asks_nobody(prompt):
    servers = build_servers(KEEPING, LACKING)
    assert asyncio.run(servers.find(prompt=prompt)) is None
    assert servers.asked == []


def test_the_last_part_of_a_long_prompt_is_not_mistaken():
    """Guards against a shared part that is taken for the request's own, as only the
    first parts of a long prompt are read."""
    parts = [f"{number:x}:10" for number in range(MAX_PROMPT_PARTS + 1)]
    assert build_request(prompt=",".join(parts[:-1])).own_part == "1f"
    assert build_request(prompt=",".join(parts)).own_part == ""


def test_requests_share_the_answers_of_servers():
    """Guards against a call to each server for each stream that is resumed after a
    power failure."""

    async def scenario():
        servers = build_servers(KEEPING, LACKING)
        found = await asyncio.gather(*(servers.find() for _ in range(100)))
        assert found == [V1] * 100
        assert await servers.find() == V1
        assert sorted(servers.asked) == ["s0", "s1"]
        await asyncio.sleep(MAX_AGE_MS / SECOND_MS + 0.05)
        await servers.find()
        assert len(servers.asked) == 4

    asyncio.run(scenario())


def test_many_servers_are_asked_in_turn():
    """Guards against thousands of connections that an instance opens at once as a
    stream of a model is resumed that all servers of a large fleet have."""
    running = most = 0

    async def fetch(_entry):
        nonlocal running, most
        running += 1
        most = max(most, running)
        await asyncio.sleep(0.001)
        running -= 1
        return KEEPING

    servers = build_servers(*[KEEPING] * (3 * MAX_CALLS))
    prompts = KeptPrompts(state=servers.state, fetch=fetch)
    asyncio.run(prompts.find_version("llm", build_request()))
    assert most == MAX_CALLS


def test_a_caller_who_leaves_ends_no_call_of_others():
    """Guards against callers who get no answer as the first one that asked has gone."""

    async def scenario():
        servers = build_servers(KEEPING, LACKING)
        first = asyncio.create_task(servers.find())
        await asyncio.sleep(0)
        second = asyncio.create_task(servers.find())
        await asyncio.sleep(0)
        first.cancel()
        assert await second == V1

    asyncio.run(scenario())


def test_parts_are_read_from_what_servers_answer():
    body = b'{"epoch":7,"Next":3,"held":[["","A1",90,"m0"],["","b2",10,"m0","more"]]}'
    assert decode_kept_parts(body) == {PART, OTHER_PART}


def collect(servers, *, knows_stream=False):
    """Let a coordinator take over, and return what it has collected."""

    async def scenario():
        state = servers.state
        if knows_stream:
            stream = BegunStream(service="llm", version=V1, expires_at=20_000)
            state.begun_streams.add(1, stream, now=10_000)
        collector = PromptCollector(state=state, fetch=servers.fetch)
        running = asyncio.create_task(collector.run())
        for call in state.on_coordinating:
            call()
        await asyncio.sleep(0.02)
        state.software_versions.update(state.by_service, now=10_000)
        await asyncio.sleep(2 * READ_POLL_MS / SECOND_MS)
        running.cancel()
        return state.prompt_index

    return asyncio.run(scenario())


def test_a_coordinator_that_knows_no_stream_asks_once_it_has_read_the_servers():
    """Guards against prompts that others have displaced by the time at which callers
    resume their streams, after all processes have ended."""
    servers = build_servers(KEEPING, LACKING)
    index = collect(servers)
    assert sorted(servers.asked) == ["s0", "s1"]
    assert index.find("llm", build_part_key(PART), now=10_001) == V1


@pytest.mark.parametrize(("late", "expected"), [(KEEPING, None), (LACKING, V1)])
def test_a_coordinator_goes_by_no_answer_before_all_have_arrived(late, expected):
    """Guards against a stream that goes on at the version whose servers answer first,
    while those of the other one, which keep its prompt, too, still have to."""

    async def scenario():
        servers = build_servers(KEEPING, late)
        state = servers.state
        is_released = asyncio.Event()

        async def fetch(entry):
            if entry.software_version == V2:
                await is_released.wait()
            return await servers.fetch(entry)

        def find():
            return state.prompt_index.find("llm", build_part_key(PART), now=10_001)

        collector = PromptCollector(state=state, fetch=fetch)
        state.software_versions.update(state.by_service, now=10_000)
        running = asyncio.create_task(collector.run())
        for call in state.on_coordinating:
            call()
        await asyncio.sleep(0.02)
        assert servers.asked == ["s0"]
        assert find() is None
        is_released.set()
        await asyncio.sleep(0.02)
        assert find() == expected
        running.cancel()

    asyncio.run(scenario())


def test_a_coordinator_asks_no_servers_that_can_not_tell():
    """Guards against calls to each server at each change of the coordinator, and to
    those that have no models or want no requests for a time."""
    known = build_servers(KEEPING, LACKING)
    collect(known, knows_stream=True)
    one_version = Servers({build_entry("s0", software_version=V1): KEEPING})
    collect(one_version)
    empty = build_servers(KEEPING, LACKING, loaded_models=())
    collect(empty)
    resting = build_servers(KEEPING, LACKING)
    resting.state.cooldowns.extend("s0", 12_000)
    collect(resting)
    asked = [one.asked for one in (known, one_version, empty, resting)]
    assert asked == [[], [], [], ["s1"]]
