"""End-to-end tests on the users' platform: real instances, stand-ins on loopback."""

import asyncio
import functools
import signal
import time

import aiohttp
import pytest

from arbutuspulley.membership.coordinator_lease import FENCES_PER_ERA
from arbutuspulley.standins.fleet_server import ServerStandin
from scripts.platform_testbed import (
    FULL_STREAM,
    Fleet,
    build_configuration,
    send_request,
    wait_until,
)
from tests.node_load import RETRIES_AFTER_S, RETRIES_AT_ONCE

INTERPRETER_START_S = 0.15
"""Time in which the interpreter starts before it runs the first line, in s."""


def play(folder, scenario, *, nodes=("n1",), has_retries=False, **options):
    """Run a scenario on a fleet of two model servers and two plain ones.

    :param has_retries: whether the nodes may retry requests from the start.
    :param options: those of :meth:`Fleet.start_node`.
    """
    bounds = {**options, **(RETRIES_AT_ONCE if has_retries else {})}

    async def run():
        fleet = Fleet(folder)
        try:
            await fleet.open()
            await fleet.start_nodes(nodes, **bounds)
            if has_retries:
                await asyncio.sleep(RETRIES_AFTER_S)
            async with aiohttp.ClientSession() as session:
                await scenario(fleet, session)
        finally:
            await fleet.close()

    asyncio.run(run())


def test_requests_of_each_kind_are_answered(tmp_path):
    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        status, body, headers = await send_request(
            session, front, "/chat/x?y=1", attempt="a1", model="m0"
        )
        assert (status, body) == (200, FULL_STREAM)
        assert headers["X-Arbutuspulley-Server-Seal"].startswith("seal.e")
        status, body, _ = await send_request(
            session, front, "/book/1", attempt="a2", body=b"night"
        )
        assert (status, body) == (200, b"done:night")
        status, _, _ = await send_request(session, front, "/nowhere/", attempt="a3")
        assert status == 404

    play(tmp_path, scenario)


def test_missing_models_are_loaded_within_memory(tmp_path):
    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        answers = await asyncio.gather(
            *(
                send_request(session, front, "/chat/x", attempt=f"a{n}", model=f"m{n}")
                for n in (0, 1, 2, 3)
            )
        )
        assert [(status, body) for status, body, _ in answers] == [
            (200, FULL_STREAM)
        ] * 4
        assert sum(server.overcommitted for server in fleet.servers) == 0

    play(tmp_path, scenario)


def test_an_adapter_is_loaded_on_demand(tmp_path):
    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="a1", model="m0/a7"
        )
        assert (status, body) == (200, FULL_STREAM)

    play(tmp_path, scenario)


def test_a_broken_stream_is_resumed_at_another_server(tmp_path):
    """A caller reads a resumable stream; its server resets in the middle of event 4.

    Guards against a truncated event, or event 4 twice, when the stream is resumed at
    the other server: only complete events may be relayed.
    """

    async def scenario(fleet, session):
        engines = fleet.servers[:2]

        def mend():
            for server in engines:
                server.breaks_after = None

        for server in engines:
            server.breaks_after = 3
            server.on_break = mend
        front = fleet.addresses["n1"]["Frontend"]
        status, body, _ = await send_request(
            session, front, "/resumed/x", attempt="a1", model="m0"
        )
        assert sorted(server.runs["a1"] for server in engines) == [1, 1]
        assert (status, body) == (200, FULL_STREAM)

    play(tmp_path, scenario, has_retries=True)


@pytest.mark.parametrize(
    ("path", "expected", "runs"),
    [("/resumed/x", (200, FULL_STREAM), [1, 1]), ("/chat/x", (500, b""), [0, 1])],
)
def test_only_a_retryable_stream_is_retried_after_a_server_error(
    tmp_path, path, expected, runs
):
    """A server answers every other request with an error while its health check passes.
    Guards against callers of retryable streams that get the error although another
    healthy server has the model."""

    async def scenario(fleet, session):
        engines = fleet.servers[:2]

        def mend_the_other():
            for server in engines:
                server.fails = bool(server.runs["a1"])

        for server in engines:
            server.fails = True
            server.on_break = mend_the_other
        front = fleet.addresses["n1"]["Frontend"]
        status, body, _ = await send_request(
            session, front, path, attempt="a1", model="m0"
        )
        assert (status, body) == expected
        assert sorted(server.runs["a1"] for server in engines) == runs

    play(tmp_path, scenario, has_retries=True)


def test_a_broken_stream_without_retry_never_looks_complete(tmp_path):
    """A stream that may run only once breaks; the caller must see the truncation."""

    async def scenario(fleet, session):
        for server in fleet.servers[:2]:
            server.breaks_after = 3
        front = fleet.addresses["n1"]["Frontend"]
        with pytest.raises(aiohttp.ClientError):
            await send_request(session, front, "/chat/x", attempt="a1", model="m0")
        assert sum(server.runs["a1"] for server in fleet.servers) == 1

    play(tmp_path, scenario)


def test_a_timeout_after_sending_does_not_claim_not_run(tmp_path):
    """A booking reaches its server, whose answer does not arrive in time.

    Guards against answering the timeout with 503, which claims that the booking did not
    run: the caller books again although the server has run it.
    """

    async def scenario(fleet, session):
        for server in fleet.servers[2:]:
            server.delay_s = 2
        front = fleet.addresses["n1"]["Frontend"]
        status, _, _ = await send_request(
            session,
            front,
            "/book/1",
            attempt="a1",
            **{"X-Arbutuspulley-Deadline-Ms": "500"},
        )
        assert status == 504
        assert sum(server.runs["a1"] for server in fleet.servers) == 1

    play(tmp_path, scenario)


def test_requests_that_servers_refuse_are_refused_with_retry_after(tmp_path):
    async def scenario(fleet, session):
        for server in fleet.servers[2:]:
            server.sheds = True
        front = fleet.addresses["n1"]["Frontend"]
        status, _, headers = await send_request(session, front, "/book/1", attempt="a1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert sum(server.runs["a1"] for server in fleet.servers) == 0

    play(tmp_path, scenario)


def test_a_server_that_refuses_is_backed_off(tmp_path):
    """One of two plain servers is full, and the other takes 50 ms per answer. Guards
    against a choice by requests in flight only, which prefers the full server for each
    request until the refusals have used up the retry budget."""

    async def scenario(fleet, session):
        full, sound = fleet.servers[2:]
        full.sheds, sound.delay_s = True, 0.05
        front = fleet.addresses["n1"]["Frontend"]
        begun_s = time.monotonic()
        for number in range(12):
            status, _, _ = await send_request(
                session, front, "/book/1", attempt=f"a{number}"
            )
            assert status == 200
        # Refusals are expected after 0, 0.1, 0.3 and 0.7 s, then every 0.8 s.
        most = 4 + (time.monotonic() - begun_s) / 0.8
        assert fleet.read_log("n1").count("refused as not run") <= most

    play(tmp_path, scenario, has_retries=True)


def test_slow_servers_get_fewer_concurrent_requests(tmp_path):
    """Each answer takes longer than its latency target. Requests that would only queue
    at the servers are refused with a retry delay and have not run."""

    async def scenario(fleet, session):
        for server in fleet.servers[2:]:
            server.delay_s = 1.2
        front = fleet.addresses["n1"]["Frontend"]
        answers = []
        for wave in range(3):
            answers = await asyncio.gather(
                *(
                    send_request(session, front, "/book/1", attempt=f"a{wave}.{number}")
                    for number in range(20)
                )
            )
        refused = [number for number in range(20) if answers[number][0] == 503]
        assert 5 <= len(refused) < 20
        for number in refused:
            assert float(answers[number][2]["Retry-After"]) > 0
            assert not any(one.runs[f"a2.{number}"] for one in fleet.servers)

    play(tmp_path, scenario)


def test_callers_cannot_set_internal_headers(tmp_path):
    """A caller sends a hold of its own, and an incarnation that no server has.

    If forwarded, the first would use memory reserved for others, and the second would
    make every server refuse.
    """

    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        status, body, _ = await send_request(
            session,
            front,
            "/book/1",
            attempt="a1",
            **{"X-Arbutuspulley-Expect-Instance": "x", "X-Arbutuspulley-Hold": "h"},
        )
        assert (status, body) == (200, b"done:")

    play(tmp_path, scenario)


def test_requests_over_the_size_limits_are_refused(tmp_path):
    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        limits = {"MaxHeaderBytes": 1_000, "MaxBodyBytes": 2_000}
        fleet.store.put("op", "config", {**build_configuration(2), "Limits": limits})

        async def send(attempt, *, header=0, body=0):
            status, _, _ = await send_request(
                session,
                front,
                "/book/1",
                attempt=attempt,
                body=b"x" * body,
                **{"X-Long": "x" * header},
            )
            return status

        async def is_in_force():
            return await send("a0", header=1_000) == 431

        await wait_until(is_in_force, "the limits")
        assert await send("a1", header=500, body=2_000) == 200
        assert await send("a2", body=2_001) == 413
        assert await send("a3") == 200

    play(tmp_path, scenario)


def test_a_request_that_crashes_servers_is_quarantined(tmp_path):
    """A caller retries a request through any instance, and each server that runs it
    crashes. Guards against a request that takes down one server after another while all
    other requests wait for the remaining servers."""

    async def scenario(fleet, session):
        await fleet.add_server(ServerStandin(incarnation="p3", service="plain"))
        plain = [one for one in fleet.servers if one.service == "plain"]

        def restart(server):
            fleet.store.remove("servers", server.incarnation)
            server.incarnation += "x"
            fleet.store.put("servers", server.incarnation, server.describe())

        for server in plain:
            server.crashes_on = b"poison"
            server.on_break = functools.partial(restart, server)
        fronts = [fleet.addresses[name]["Frontend"] for name in ("n1", "n2")]

        async def send(number, body=b"poison"):
            address, attempt = fronts[number % 2], f"{body.decode()}{number}"
            return await send_request(
                session, address, "/book/1", attempt=attempt, body=body
            )

        seen = []
        for number in range(7):
            seen.append(await send(number))
            await asyncio.sleep(0.6)
        assert [status for status, _, _ in seen] == [502] * 3 + [503] * 4
        assert float(seen[-1][2]["Retry-After"]) > 1
        assert sum(sum(one.runs.values()) for one in plain) == 3
        assert (await send(0, b"fine"))[0] == 200

    play(tmp_path, scenario, nodes=("n1", "n2"))


def test_only_a_newer_configuration_is_activated(tmp_path):
    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        added = dict(build_configuration(1)["Routes"][2], Prefix="/new/")
        fleet.store.put("op", "config", build_configuration(5, routes=[added]))

        async def is_there():
            status, _, _ = await send_request(session, front, "/new/1", attempt="a1")
            return status == 200

        await wait_until(is_there, "the new route")
        fleet.store.put("op", "config", build_configuration(4))
        await fleet.wait_log("n1", "older_configuration_ignored")
        assert await is_there()

    play(tmp_path, scenario)


def test_serving_continues_during_a_store_outage_and_after_lost_history(tmp_path):
    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        fleet.store.is_down = True
        fleet.store.discard_history()
        fleet.store.put("op", "config", build_configuration(9))
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="a1", model="m0"
        )
        assert (status, body) == (200, FULL_STREAM)
        fleet.store.discard_history()
        fleet.store.is_down = False
        await fleet.wait_log("n1", '"version":9')

    play(tmp_path, scenario)


def test_a_leaving_server_gets_no_new_requests(tmp_path):
    async def scenario(fleet, session):
        front = fleet.addresses["n1"]["Frontend"]
        leaving = fleet.get_server("p1")
        fleet.store.put("servers", "p1", leaving.describe(state="draining"))
        await fleet.wait_log("n1", "server_leaving")
        for number in range(6):
            status, _, _ = await send_request(
                session, front, "/sync/", attempt=f"b{number}"
            )
            assert status == 200
        assert not leaving.runs

    play(tmp_path, scenario)


def test_another_instance_takes_over_from_a_killed_coordinator(tmp_path):
    """The coordinator is killed; a model that no server has is requested at once.

    The other instance serves loaded models, takes the lease once it has expired, and
    loads the model with a higher fencing token.
    """

    async def scenario(fleet, session):
        old = fleet.find_coordinator()
        new = "n2" if old == "n1" else "n1"
        second_fence = fleet.read_fence(old) + 1
        fleet.nodes[old].send_signal(signal.SIGKILL)
        front = fleet.addresses[new]["Frontend"]
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="a1", model="m0"
        )
        assert (status, body) == (200, FULL_STREAM)
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="a2", model="m3"
        )
        assert (status, body) == (200, FULL_STREAM)
        assert second_fence > fleet.store.era * FENCES_PER_ERA + 1
        assert max(server.fence for server in fleet.servers) == second_fence

    play(tmp_path, scenario, nodes=("n1", "n2"))


def test_a_graceful_shutdown_drops_no_request(tmp_path):
    """SIGTERM arrives while a booking is in flight, and callers with an old address
    still connect afterwards. All are answered, the instance leaves the directory at
    once, and it exits by itself with status 0."""

    async def scenario(fleet, session):
        fleet.servers[2].delay_s = fleet.servers[3].delay_s = 0.5
        front = fleet.addresses["n1"]["Frontend"]
        before = asyncio.create_task(
            send_request(session, front, "/book/1", attempt="a1")
        )
        await asyncio.sleep(0.2)
        fleet.nodes["n1"].send_signal(signal.SIGTERM)
        await fleet.wait_log("n1", "draining")
        assert not await fleet.is_ready(session, "n1")

        async def is_out():
            url = f"http://{fleet.addresses['n2']['DirectoryService']}/resolve"
            async with session.get(url, params={"Name": "x"}) as answer:
                return front not in (await answer.json())["Addresses"]

        await wait_until(is_out, "the other node's directory")
        after = await send_request(session, front, "/book/2", attempt="a2")
        assert (await before)[:2] == (200, b"done:")
        assert after[:2] == (200, b"done:")
        assert await asyncio.wait_for(fleet.nodes["n1"].wait(), 5) == 0

    play(tmp_path, scenario, nodes=("n1", "n2"))


@pytest.mark.alone
def test_a_stopping_coordinator_connects_to_its_successor(tmp_path):
    """The coordinator gets SIGTERM, and a caller with an old address asks it for a
    model that has to be loaded. Guards against a stopping process that no longer looks
    for a coordinator, so that the caller waits until it gives up."""

    async def scenario(fleet, session):
        old = fleet.find_coordinator()
        fleet.nodes[old].send_signal(signal.SIGTERM)
        await fleet.wait_log(old, "coordination_ended")
        front = fleet.addresses[old]["Frontend"]
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="a1", model="m3"
        )
        assert (status, body) == (200, FULL_STREAM)

    play(tmp_path, scenario, nodes=("n1", "n2"))


def test_requests_still_waiting_at_the_end_of_shutdown_are_refused(tmp_path):
    """A request waits at SIGTERM for a model that can't be loaded, as all servers
    refuse orders. Guards against a process that exits while the request waits: its
    caller sees a closed connection instead of a refusal after which it can retry
    elsewhere at once.
    """

    async def scenario(fleet, session):
        for server in fleet.servers:
            server.is_busy = True
        patient = {"Prefix": "/patient/", "TargetLatencyMs": 2_000}
        route = {**build_configuration(1)["Routes"][0], **patient}
        fleet.store.put("op", "config", build_configuration(2, routes=[route]))
        await fleet.wait_log("n1", '"version":2')
        front = fleet.addresses["n1"]["Frontend"]
        waiting = asyncio.create_task(
            send_request(session, front, "/patient/x", attempt="a1", model="m3")
        )
        await asyncio.sleep(0.3)
        fleet.nodes["n1"].send_signal(signal.SIGTERM)
        status, _, headers = await waiting
        assert status == 503
        assert float(headers["Retry-After"]) < 1
        assert await asyncio.wait_for(fleet.nodes["n1"].wait(), 5) == 0

    play(tmp_path, scenario)


def test_an_instance_that_starts_without_the_store_bootstraps_from_another(tmp_path):
    """An instance is replaced while the store is down. Guards against an instance that
    has no configuration until the store recovers, and refuses every caller."""

    async def scenario(fleet, session):
        fleet.store.is_down = True
        await fleet.start_node("n2", seeds=("n1",))
        await fleet.wait_ready("n2")
        front = fleet.addresses["n2"]["Frontend"]
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="a1", model="m0"
        )
        assert (status, body) == (200, FULL_STREAM)

    play(tmp_path, scenario)


def test_changed_settings_are_reloaded_and_invalid_ones_rejected(tmp_path):
    async def scenario(fleet, session):
        path = tmp_path / "n1.yaml"
        good = path.read_text()
        path.write_text("Listen: 3")
        fleet.nodes["n1"].send_signal(signal.SIGHUP)
        await fleet.wait_log("n1", "settings_refused")
        path.write_text(good.replace("GraceS: 3", "GraceS: 4"))
        await fleet.wait_log("n1", '"changed":["grace_ms"]')
        front = fleet.addresses["n1"]["Frontend"]
        status, _, _ = await send_request(session, front, "/book/1", attempt="a1")
        assert status == 200

    play(tmp_path, scenario)


def test_models_are_loaded_while_the_store_is_unavailable_to_all(tmp_path):
    """The store is unavailable to all instances and the lease has expired. A model that
    no server has is requested and must be loaded before the store recovers. Callers
    keep both instances busy meanwhile: heartbeats must be sent all the same."""

    async def scenario(fleet, session):
        fleet.store.is_down = True
        fronts = [fleet.addresses[name]["Frontend"] for name in ("n1", "n2")]

        async def keep_busy(front):
            for number in range(250):
                await send_request(
                    session, front, "/chat/x", attempt=f"{number}", model="m0"
                )

        busy = [asyncio.create_task(keep_busy(front)) for front in fronts * 3]
        await asyncio.sleep(3)
        status, body, _ = await send_request(
            session, fronts[0], "/chat/x", attempt="a1", model="m3"
        )
        for task in busy:
            task.cancel()
        assert (status, body) == (200, FULL_STREAM)
        first_fence = fleet.store.era * FENCES_PER_ERA + 1
        assert max(server.fence for server in fleet.servers) == first_fence

    play(tmp_path, scenario, nodes=("n1", "n2"))


@pytest.mark.alone
def test_a_stopping_coordinator_stays_active_while_it_has_no_successor(tmp_path):
    """The store is unavailable, and the coordinator gets SIGTERM. Guards against
    stepping down at once although no other instance can take the lease: until the store
    recovers, callers of models that have to be loaded wait until they disconnect."""

    async def scenario(fleet, session):
        old = fleet.find_coordinator()
        other = "n2" if old == "n1" else "n1"
        fleet.store.is_down = True
        # Wait for a failed renewal; a call that waits for changes may last 20 s more.
        await fleet.wait_log(old, "lease_unsettled")
        fleet.nodes[old].send_signal(signal.SIGTERM)
        await fleet.wait_log(old, "draining")
        front = fleet.addresses[other]["Frontend"]
        status, body, _ = await send_request(
            session, front, "/chat/x", attempt="a1", model="m3"
        )
        assert (status, body) == (200, FULL_STREAM)
        fleet.store.is_down = False
        await fleet.wait_log(other, "lease_taken")
        assert await asyncio.wait_for(fleet.nodes[old].wait(), 5) == 0

    play(tmp_path, scenario, nodes=("n1", "n2"))


@pytest.mark.alone
def test_without_a_coordinator_a_request_is_refused_quickly(tmp_path):
    """The store is unavailable and the coordinator is killed. A caller of a model that
    no server has must be refused with a retry delay instead of waiting until it
    disconnects."""

    async def scenario(fleet, session):
        old = fleet.find_coordinator()
        other = "n2" if old == "n1" else "n1"
        configuration = build_configuration(2)
        for route in configuration["Routes"]:
            route["TargetGapMs"] = 1_000
        fleet.store.put("op", "config", configuration)
        await fleet.wait_log(other, '"version":2')
        fleet.store.is_down = True
        fleet.nodes[old].send_signal(signal.SIGKILL)
        front = fleet.addresses[other]["Frontend"]
        begun = asyncio.get_running_loop().time()
        status, _, headers = await send_request(
            session, front, "/chat/x", attempt="a1", model="m3"
        )
        took = asyncio.get_running_loop().time() - begun
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert took < 3

    play(tmp_path, scenario, nodes=("n1", "n2"))


def test_a_node_that_starts_survives_sighup(tmp_path):
    """Guards against a process that is ended by a change of its settings file because
    it has not installed its handler yet."""

    async def run():
        fleet = Fleet(tmp_path)
        try:
            await fleet.open()
            await fleet.start_node("n1")
            await asyncio.sleep(INTERPRETER_START_S)
            async with aiohttp.ClientSession() as session:
                while not await fleet.is_ready(session, "n1"):
                    assert fleet.nodes["n1"].returncode is None
                    fleet.nodes["n1"].send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.02)
        finally:
            await fleet.close()

    asyncio.run(run())
