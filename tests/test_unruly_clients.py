"""Clients that keep to no limit: the process stays within its memory and descriptors.

Each test starts real nodes. Its bounds are the limits in their settings.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from scripts.measure_held_memory import read_resident_mb
from scripts.platform_testbed import send_request
from tests.answer_fleet import BODY, list_events, open_fleet
from tests.client_crowds import (
    MAX_BODY_BYTES,
    Crowd,
    ask_ahead,
    ask_once,
    build_head,
    send_bodies_ahead,
    send_endless_chunks,
    send_long_heads,
    send_long_names,
    send_malformed,
    send_nothing,
    send_requests_ahead,
    send_tiny_chunks,
    send_unfinished_body,
    send_unfinished_head,
    watch_connections,
)
from tests.raw_callers import RawCaller, read_raw

READ_TIMEOUT_S = 20
"""How long a client inside the limits waits for an answer, in s."""

pytestmark = pytest.mark.alone

LIMITS = {"MemoryMb": 120, "MaxFds": 600}

RESERVED_DESCRIPTORS = 200
"""Descriptors of the limit that are for files."""

CROWD_S = 6
"""How long a crowd stays, in s."""

ORDINARY_TRIES = 20
ORDINARY_PAUSE_S = 0.5
"""How often an ordinary client tries, and time between two tries, in s."""


async def ask_ordinary(fleet, node="n1"):
    """Check that an ordinary client, which tries again if it is refused, is served."""
    front = fleet.addresses[node]["Frontend"]
    for number in range(ORDINARY_TRIES):
        with contextlib.suppress(aiohttp.ClientError):
            async with aiohttp.ClientSession() as session:
                attempt = f"ordinary-{node}-{number}"
                status, _, _ = await send_request(
                    session, front, "/sync/x", attempt=attempt, body=b"x" * 1_000
                )
            if status == 200:
                return
        await asyncio.sleep(ORDINARY_PAUSE_S)
    raise AssertionError("no ordinary request was answered")


@contextlib.asynccontextmanager
async def watch_limits(fleet, limits, *, nodes=("n1",)):
    """Check that nodes live, and keep within their limits, until the block ends."""
    watched = {name: fleet.nodes[name] for name in nodes}
    async with contextlib.AsyncExitStack() as stack:
        most = {
            name: await stack.enter_async_context(watch_connections(node.pid))
            for name, node in watched.items()
        }
        yield
        for name, node in watched.items():
            assert node.returncode is None, name
            peak_mb = read_resident_mb(node.pid, field="VmHWM")
            print(f"{name}: peak {peak_mb} MB, {most[name][-1]} connections")
            assert peak_mb < limits["MemoryMb"]
            assert most[name][-1] <= limits["MaxFds"] - RESERVED_DESCRIPTORS


def run_crowd(folder, *crowds, limits=LIMITS, listener="Frontend"):
    """Let crowds come to a node at the same time, and check what must hold.

    :param crowds: options of each.
    """

    async def scenario():
        async with open_fleet(folder, limits) as (fleet, metrics_port):
            address = (
                f"127.0.0.1:{metrics_port}"
                if listener == "metrics"
                else fleet.addresses["n1"][listener]
            )
            async with watch_limits(fleet, limits):
                present = [Crowd(address=address, **options) for options in crowds]
                await asyncio.sleep(CROWD_S)
                for crowd in present:
                    await crowd.leave()
                await ask_ordinary(fleet)

    asyncio.run(scenario())


def test_bodies_that_are_never_complete(tmp_path):
    """Guards against request bodies that are held without a bound."""
    run_crowd(tmp_path, {"count": 120, "build": send_unfinished_body})


def test_bodies_in_chunks_that_never_end(tmp_path):
    """Guards against bodies without a stated length that are held without a bound."""
    run_crowd(tmp_path, {"count": 120, "build": send_endless_chunks})


def test_bodies_in_chunks_of_one_byte(tmp_path):
    """Guards against chunks that take more memory than their bytes."""
    run_crowd(tmp_path, {"count": 120, "build": send_tiny_chunks})


def test_large_requests_sent_ahead(tmp_path):
    """Guards against bodies of requests that wait behind an unread answer."""
    run_crowd(tmp_path, {"count": 24, "build": send_bodies_ahead})


def test_small_requests_sent_ahead(tmp_path):
    """Guards against requests, and answers to them, that pile up unread."""
    run_crowd(tmp_path, {"count": 600, "build": send_requests_ahead})


def test_malformed_requests_sent_ahead(tmp_path):
    """Guards against refusals that pile up unread."""
    run_crowd(tmp_path, {"count": 600, "build": send_malformed})


def test_heads_that_are_never_complete(tmp_path):
    """Guards against heads that are held without a bound in time and together."""
    run_crowd(tmp_path, {"count": 500, "build": send_unfinished_head})


def test_heads_of_many_long_lines(tmp_path):
    """Guards against a head whose size is checked only when it is complete."""
    run_crowd(tmp_path, {"count": 120, "build": send_long_heads})


def test_names_of_great_length(tmp_path):
    """Guards against tables that keep what clients call their requests."""
    run_crowd(tmp_path, {"count": 60, "build": send_long_names})


def test_connections_that_send_nothing(tmp_path):
    """Guards against clients that take all descriptors."""
    run_crowd(tmp_path, {"count": 900, "build": send_nothing})


@pytest.mark.parametrize(
    ("path", "read_bytes"),
    [
        ("/events/x", 1_000),
        ("/events/x", 0),
        ("/safe/x", 1_000),
        ("/safe/x", 0),
        ("/unsafe/x", 1_000),
        ("/unsafe/x", 0),
    ],
)
def test_long_answers_read_slowly_or_not_at_all(tmp_path, path, read_bytes):
    """Guards against answers that are held for clients that don't take them."""
    options = {"count": 250, "build": ask_once(path), "read_bytes": read_bytes}
    run_crowd(tmp_path, options)


@pytest.mark.parametrize("path", ["/events/x", "/safe/x", "/unsafe/x"])
def test_long_answers_asked_for_ahead(tmp_path, path):
    """Guards against clients that ask for the next long answer before they take one,
    at an instance whose memory is large."""
    options = {"count": 250, "build": ask_ahead(path, 20), "read_bytes": 1_000}
    run_crowd(tmp_path, options, limits={"MemoryMb": 300, "MaxFds": 600})


@pytest.mark.parametrize("build", [send_unfinished_body, send_bodies_ahead])
def test_bodies_at_an_instance_of_more_memory(tmp_path, build):
    """Guards against a bound that holds only for small instances."""
    limits = {"MemoryMb": 300, "MaxFds": 600}
    run_crowd(tmp_path, {"count": 120, "build": build}, limits=limits)


def test_several_crowds_at_once(tmp_path):
    """Guards against bounds that hold each, but not together."""
    run_crowd(
        tmp_path,
        {"count": 40, "build": send_unfinished_body},
        {"count": 40, "build": ask_once("/unsafe/x")},
        {"count": 40, "build": ask_once("/events/x"), "read_bytes": 1_000},
        {"count": 100, "build": send_unfinished_head},
        {"count": 200, "build": send_nothing},
    )


@pytest.mark.parametrize(
    "listener", ["Ready", "DirectoryService", "metrics", "ControlPlane"]
)
@pytest.mark.parametrize(
    ("count", "build"),
    [
        (900, send_nothing),
        (500, send_unfinished_head),
        (300, send_unfinished_body),
        (600, send_requests_ahead),
    ],
)
def test_crowds_at_other_ports(tmp_path, listener, count, build):
    """Guards against ports with no bound beside that of the callers."""
    run_crowd(tmp_path, {"count": count, "build": build}, listener=listener)


def send_crowds(fleet, name):
    """Let crowds of several kinds come to a node."""
    return [
        Crowd(address=fleet.addresses[name]["Frontend"], count=count, build=build)
        for count, build in (
            (60, send_unfinished_body),
            (60, ask_once("/safe/x")),
            (300, send_nothing),
        )
    ]


async def run_beside_crowds(fleet, names, trouble):
    """Let crowds come to nodes while they have a trouble.

    :param trouble: returns further crowds.
    """
    crowds = [crowd for name in names for crowd in send_crowds(fleet, name)]
    await asyncio.sleep(CROWD_S / 2)
    crowds += await trouble()
    await asyncio.sleep(CROWD_S / 2)
    for crowd in crowds:
        await crowd.leave()


def test_a_crowd_at_two_instances(tmp_path):
    """Guards against a coordinator that loses its lease to a crowd of clients."""

    async def wait_quietly():
        return []

    async def scenario():
        names = ("n1", "n2")
        async with open_fleet(tmp_path, LIMITS, names=names) as (fleet, _):
            coordinator = fleet.find_coordinator()
            fence = fleet.read_fence(coordinator)
            async with watch_limits(fleet, LIMITS, nodes=names):
                await run_beside_crowds(fleet, names, wait_quietly)
                for name in names:
                    await ask_ordinary(fleet, name)
            assert fleet.find_coordinator() == coordinator
            assert fleet.read_fence(coordinator) == fence

    asyncio.run(scenario())


def test_a_crowd_beside_a_restart(tmp_path):
    """Guards against a node that can't start again while clients press."""

    async def scenario():
        names = ("n1", "n2")
        async with open_fleet(tmp_path, LIMITS, names=names) as (fleet, _):

            async def restart():
                fleet.nodes["n2"].terminate()
                await fleet.nodes["n2"].wait()
                await fleet.start_node("n2", limits=LIMITS)
                crowds = send_crowds(fleet, "n2")
                await fleet.wait_ready("n2")
                return crowds

            async with watch_limits(fleet, LIMITS, nodes=("n1",)):
                await run_beside_crowds(fleet, names, restart)
                async with watch_limits(fleet, LIMITS, nodes=("n2",)):
                    for name in names:
                        await ask_ordinary(fleet, name)

    asyncio.run(scenario())


def test_a_crowd_beside_a_store_that_is_away(tmp_path):
    """Guards against clients that are held while the store does not answer."""

    async def scenario():
        async with open_fleet(tmp_path, LIMITS) as (fleet, _):

            async def lose_store():
                fleet.store.is_away = True
                await asyncio.sleep(CROWD_S / 2)
                fleet.store.is_away = False
                return []

            async with watch_limits(fleet, LIMITS):
                await run_beside_crowds(fleet, ("n1",), lose_store)
                await ask_ordinary(fleet)

    asyncio.run(scenario())


def test_clients_inside_the_limits_are_not_closed(tmp_path):
    """Guards against limits that ordinary clients meet: five of one address, many
    requests sent ahead, the largest body and head, a pause of a second in reading."""

    async def read_with_a_pause(front, number):
        reader = RawCaller()
        await reader.open(front)
        await reader.send(build_head("/safe/x", attempt=f"p{number}"))
        await asyncio.sleep(1.2)
        async with asyncio.timeout(READ_TIMEOUT_S):
            answer = await read_raw(reader)
        reader.close()
        return answer.status, len(answer.body)

    async def send_many(front, number):
        caller = RawCaller()
        await caller.open(front)
        heads = [build_head("/sync/x", attempt=f"o{number}.{n}") for n in range(50)]
        await caller.send(b"".join(heads))
        async with asyncio.timeout(READ_TIMEOUT_S):
            answers = [await read_raw(caller) for _ in heads]
        caller.close()
        return {answer.status for answer in answers}

    async def scenario():
        async with open_fleet(tmp_path, {"MemoryMb": 160, "MaxFds": 1_638}) as opened:
            fleet, _ = opened
            front = fleet.addresses["n1"]["Frontend"]
            async with aiohttp.ClientSession() as session:
                status, _, _ = await send_request(
                    session,
                    front,
                    "/sync/" + "p" * 4_000,
                    attempt="largest",
                    body=bytes(MAX_BODY_BYTES),
                    **{f"X-Long-{number}": "h" * 3_800 for number in range(4)},
                )
            assert status == 200
            many = await asyncio.gather(*(send_many(front, n) for n in range(5)))
            assert many == [{200}] * 5
            paused = await asyncio.gather(
                *(read_with_a_pause(front, n) for n in range(5))
            )
            assert paused == [(200, len(BODY))] * 5
            await asyncio.sleep(1)
            assert not list_events(fleet, "clients_closed")
            assert not list_events(fleet, "answer_aborted")

    asyncio.run(scenario())
