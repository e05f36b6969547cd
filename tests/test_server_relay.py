"""Requests that one instance sends to a server for another."""

import asyncio

import pytest
from aiohttp import web

from arbutuspulley.membership.server_reach import record_failed
from arbutuspulley.node import server_relay
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import AttemptEnded
from arbutuspulley.node.server_relay import ServerRelay
from arbutuspulley.platform import names
from arbutuspulley.platform.requests import decode_request
from arbutuspulley.platform.transport import (
    BrokenError,
    open_session,
    read_body,
    send_request,
)
from arbutuspulley.ports.answers import Framing
from arbutuspulley.ports.fleet import AttemptOutcome, ServerEntry
from arbutuspulley.ports.relaying import RelayOutcome
from arbutuspulley.standins.fleet_server import ServerStandin
from arbutuspulley.standins.scripted_answer import AnswerScript, ConnectionEnd
from scripts.platform_testbed import listen
from tests.node_states import build_state

PARTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
BODY = b"".join(PARTS)
CLOSED_PORT = "127.0.0.1:9"


class Relay:
    """An instance that relays requests to one server."""

    def __init__(self):
        self.state = build_state()
        self.sent = []
        link = Link(state=self.state)
        link.deliver_local = self.sent.extend
        self.relay = ServerRelay(state=self.state, link=link)
        self.server = ServerStandin(incarnation="s0", service="plain")
        self.address = ""

    async def ask(self, method="POST", *, to="s0", body=b"night"):
        """Send a request as the instance that can't reach the server."""
        request = decode_request(
            method=method, path="/book/1?x=1", headers=[(names.ATTEMPT_ID, "a1")]
        )
        request.body = body if method == "POST" else b""
        headers = [*request.headers, (names.RELAY_TO, to)]
        return await send_request(
            self.state.session, request, address=self.address, headers=headers
        )

    async def get_outcome(self, **request):
        answer = await self.ask(**request)
        await answer.read()
        return answer.headers.get(names.RELAY_OUTCOME)


def run_relay(scenario, *, server_address=""):
    asyncio.run(run_relay_to(scenario, server_address=server_address))


async def run_relay_to(scenario, *, server_address=""):
    relay = Relay()
    server, address = await listen(relay.server.handle)
    relaying = web.Server(relay.relay.handle, handler_cancellation=True)
    listener = await asyncio.get_running_loop().create_server(relaying, "127.0.0.1", 0)
    relay.address = "{}:{}".format(*listener.sockets[0].getsockname())
    relay.state.by_incarnation["s0"] = ServerEntry(
        server_id="s0",
        incarnation="s0",
        started_ms=0,
        service="plain",
        address=server_address or address,
        zone="a1",
        slots=8,
        is_leaving=False,
        loaded_models=(),
    )
    relay.state.session = open_session()
    async with relay.state.session, server, listener:
        await scenario(relay)
    assert relay.state.in_flight == 0


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS, Framing.CLOSE])
def test_a_complete_answer_is_forwarded_unchanged(framing):
    async def scenario(relay):
        relay.server.script = AnswerScript(parts=PARTS, framing=framing)
        answer = await relay.ask()
        assert answer.status == 200
        assert answer.headers[names.SEAL] == "seal.s0"
        assert answer.headers[names.RELAY_OUTCOME] == RelayOutcome.ANSWERED
        assert await read_body(answer) == BODY
        assert relay.server.runs == {"a1": 1}

    run_relay(scenario)


@pytest.mark.parametrize(
    "script",
    [
        AnswerScript(parts=PARTS, framing=Framing.LENGTH, is_short=True),
        AnswerScript(parts=PARTS, framing=Framing.CHUNKS, is_short=True),
        AnswerScript(parts=PARTS, framing=Framing.CLOSE, end=ConnectionEnd.RESET),
        AnswerScript(
            parts=PARTS,
            framing=Framing.CHUNKS,
            is_short=True,
            end=ConnectionEnd.RESET,
        ),
    ],
    ids=["short-length", "no-last-chunk", "reset-close", "reset-chunks"],
)
def test_a_truncated_answer_does_not_look_complete(script):
    """Guards against an answer that its server broke off and that looks complete to the
    instance that asked for it."""

    async def scenario(relay):
        relay.server.script = script
        with pytest.raises(BrokenError):
            await read_body(await relay.ask())

    run_relay(scenario)


def test_an_answer_to_head_keeps_its_length():
    async def scenario(relay):
        relay.server.script = AnswerScript(
            parts=(), framing=Framing.LENGTH, unsent=17, content_type=""
        )
        answer = await relay.ask("HEAD")
        assert answer.headers["Content-Length"] == "17"

    run_relay(scenario)


def test_the_request_reaches_the_server_as_it_was_sent():
    async def scenario(relay):
        assert await read_body(await relay.ask()) == b"done:night"
        headers = relay.server.headers["a1"]
        assert names.RELAY_TO not in headers

    run_relay(scenario)


def test_a_server_that_can_not_be_reached_is_reported_as_such():
    """Guards against a request that is taken for one that may have run."""

    async def scenario(relay):
        assert await relay.get_outcome() == RelayOutcome.UNREACHED
        (ended,) = relay.sent
        assert isinstance(ended, AttemptEnded)
        assert (ended.incarnation, ended.how) == ("s0", AttemptOutcome.UNREACHED)

    run_relay(scenario, server_address=CLOSED_PORT)


def test_an_instance_that_is_cut_off_itself_blames_no_server():
    """Guards against servers that count as down because both instances have lost their
    network, and against a request that is relayed in a circle."""

    async def scenario(relay):
        for address in ("other:1", "another:1"):
            record_failed(relay.state.server_reach, address, now=0)
        assert await relay.get_outcome() == RelayOutcome.CUT_OFF
        assert relay.sent == []

    run_relay(scenario, server_address=CLOSED_PORT)


def test_a_server_that_broke_off_may_have_run_the_request():
    async def scenario(relay):
        relay.server.crashes_on = b"night"
        with pytest.raises(BrokenError):
            await relay.ask()
        assert relay.server.runs == {"a1": 1}

    run_relay(scenario)


def _stop(relay):
    relay.state.stopping_at = 0


def _rest(relay):
    relay.state.cooldowns.extend("s0", relay.state.clock.now() + 5_000)


def _forget(relay):
    relay.state.by_incarnation.clear()


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (_stop, RelayOutcome.BUSY),
        (_rest, RelayOutcome.EXCLUDED),
        (_forget, RelayOutcome.UNKNOWN_SERVER),
    ],
)
def test_a_request_that_must_not_be_sent_does_not_reach_the_server(change, expected):
    async def scenario(relay):
        change(relay)
        assert await relay.get_outcome() == expected
        assert relay.server.arrivals == []

    run_relay(scenario)


def test_bodies_in_chunks_count_towards_what_is_relayed(monkeypatch):
    """Guards against bodies without a stated length that are held without a bound."""

    async def send_chunks():
        for _ in range(2):
            yield b"night"

    async def scenario(relay):
        async def ask(attempt):
            answer = await relay.state.session.post(
                f"http://{relay.address}/book/1",
                data=send_chunks(),
                headers={names.RELAY_TO: "s0", names.ATTEMPT_ID: attempt},
            )
            return answer.headers[names.RELAY_OUTCOME]

        monkeypatch.setattr(server_relay, "MAX_RELAYED_BYTES", 12)
        relay.server.delay_s = 0.2
        first = asyncio.create_task(ask("a1"))
        await asyncio.sleep(0.1)
        assert await ask("a2") == RelayOutcome.BUSY
        assert await first == RelayOutcome.ANSWERED
        assert await ask("a3") == RelayOutcome.ANSWERED

    run_relay(scenario)


@pytest.mark.parametrize("limit", ["MAX_RELAYED", "MAX_RELAYED_BYTES"])
def test_relayed_requests_are_bounded(monkeypatch, limit):
    """Guards against an instance that runs out of sockets or memory for others."""

    async def scenario(relay):
        monkeypatch.setattr(server_relay, limit, 0)
        assert await relay.get_outcome() == RelayOutcome.BUSY
        assert relay.server.arrivals == []

    run_relay(scenario)


def test_the_bodies_of_relayed_requests_are_bounded_together(monkeypatch):
    async def scenario(relay):
        monkeypatch.setattr(server_relay, "MAX_RELAYED_BYTES", 8)
        relay.server.delay_s = 0.2
        first = asyncio.create_task(relay.get_outcome())
        await asyncio.sleep(0.1)
        assert await relay.get_outcome() == RelayOutcome.BUSY
        assert await first == RelayOutcome.ANSWERED

    run_relay(scenario)


def test_a_server_that_wants_rest_gets_it_from_the_relaying_instance():
    """Guards against requests to a server from the instance that it has refused."""

    async def scenario(relay):
        relay.server.sheds, relay.server.rest_s = True, 3.0
        assert await relay.get_outcome() == RelayOutcome.ANSWERED
        assert await relay.get_outcome() == RelayOutcome.EXCLUDED
        assert len(relay.server.arrivals) == 1

    run_relay(scenario)


def test_work_ends_when_the_asking_instance_leaves():
    """Guards against servers that work for callers who have left."""

    async def scenario(relay):
        relay.server.delay_s = 5.0
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await relay.ask()
        await asyncio.sleep(0.1)
        assert relay.state.in_flight == 0

    run_relay(scenario)


def test_a_request_is_not_relayed_for_longer_than_its_deadline(monkeypatch):
    """Guards against an instance that holds the requests of another one that is
    frozen."""

    async def scenario(relay):
        monkeypatch.setattr(server_relay, "MAX_RELAY_MS", 100)
        relay.server.delay_s = 5.0
        with pytest.raises(BrokenError):
            await relay.ask()
        assert relay.state.in_flight == 0

    run_relay(scenario)


def test_callers_can_not_ask_for_a_relay():
    request = decode_request(
        method="GET",
        path="/",
        headers=[("arbutus-relay-to", "s0"), ("Arbutus-Relay-Outcome", "answered")],
    )
    assert request.headers == []
