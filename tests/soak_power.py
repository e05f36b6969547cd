"""Streams that callers of a soak take up after all nodes were killed at once."""

import asyncio
import random
from typing import Any

import aiohttp

from arbutuspulley.data import State, Value
from arbutuspulley.standins.fleet_server import ServerStandin
from tests.soak_plan import Fault
from tests.version_fleet import VersionedStream

STREAMS = 24
"""Streams that are begun before a power failure."""

EARLY_STEP = 5
"""One stream in so many is taken up as soon as the nodes run again."""

EARLY_ATTEMPTS, EARLY_PAUSE_S = 5, 0.4
"""Attempts at such a stream, and the time between two of them, in s."""

EVENT_PAUSE_S, STREAM_PAUSE_S = 0.005, 0.2
"""Time between two events of a stream, and of one that is to break off, in s."""

BEGIN_S = 0.4
"""Time within which the streams begin, in s."""

STORE_S = 0.4
"""Time within which a begun stream is in the store, in s."""

DEADLINE_MS = 30_000
"""Deadline of the callers: they may take up their streams until then, in ms."""

LEAST_TAKEN_UP = 12
LEAST_SHARE = 0.5
"""Least share of the streams that go on, relative to the share of new streams that
begin, if at least so many are taken up."""

LEAST_SERVERS = 2
"""Servers of a version without which its streams need not go on."""


class Outcome(Value, frozen=True):
    """What became of an attempt at a stream.

    :param version: software version that began it; empty: none has.
    :param goes_on: whether it brought an event.
    """

    version: str
    goes_on: bool


class PowerFailure(State):
    """All nodes are killed at the same moment, in series at times.

    :param begun_at: time at which the first stream is begun, in s of the event loop's
        clock, as are the others.
    :param killed_at: when the nodes are killed for the first time.
    :param ready_at: when all nodes are ready after the last time.
    :param ended_at: when the last stream has been taken up.
    :param versions: versions with enough servers from begin to end.
    :param taken_up: outcome of each stream that was taken up after a calm time.
    :param begun: outcome of each new stream at the same time.
    """

    begun_at: float
    killed_at: float = 0.0
    ready_at: float = 0.0
    ended_at: float = 0.0
    versions: frozenset[str] = frozenset()
    taken_up: list[Outcome] = []
    begun: list[Outcome] = []

    def describe_loss(self) -> str:
        """Describe that too few streams went on; empty: enough did."""
        counted = [one.goes_on for one in self.taken_up if one.version in self.versions]
        new = [one.goes_on for one in self.begun]
        if len(counted) < LEAST_TAKEN_UP or not new:
            return ""
        if sum(counted) / len(counted) >= LEAST_SHARE * sum(new) / len(new):
            return ""
        return f"{sum(counted)} of {len(counted)}, new {sum(new)} of {len(new)}"

    def describe(self) -> str:
        """Describe how many streams went on and began."""
        on = sum(one.goes_on for one in self.taken_up)
        counted = sum(one.version in self.versions for one in self.taken_up)
        begun = sum(one.goes_on for one in self.begun)
        return (
            f"{on} of {len(self.taken_up)} streams went on, {counted} count;"
            f" {begun} of {len(self.begun)} new ones began"
        )


def list_outages(fault: Fault) -> list[tuple[float, float]]:
    """Return how long the nodes are off and then on, in s, each time."""
    if fault.target % 3:
        return [(fault.for_s, 0.0)]
    return [(fault.for_s, 0.5 + fault.target % 5 / 2), (2.3 - fault.for_s, 0.0)]


def list_served_versions(servers: list[ServerStandin]) -> frozenset[str]:
    """Return the software versions that have enough of these servers."""
    versions = [one.version for one in servers if one.service == "llm"]
    return frozenset(
        version for version in versions if versions.count(version) >= LEAST_SERVERS
    )


async def read_stream(
    stream: VersionedStream,
    session: aiohttp.ClientSession,
    address: str,
    *,
    timeout_s: float,
) -> Outcome:
    """Send an attempt at a stream, and read it until it ends or breaks off."""
    known = len(stream.numbers)
    headers: dict[str, Any] = {"X-Arbutuspulley-Deadline-Ms": str(DEADLINE_MS)}
    try:
        async with asyncio.timeout(timeout_s):
            await stream.read(session, address, **headers)
    except TimeoutError:
        stream.statuses.append(None)
    return Outcome(
        version=stream.versions[0] if stream.versions else "",
        goes_on=len(stream.numbers) > known,
    )


async def wait_begun(
    streams: list[VersionedStream], *, rng: random.Random
) -> list[VersionedStream]:
    """Wait until streams have begun, and until these are stored.

    :return: those that began in time.
    """
    for _ in range(int(BEGIN_S / 0.02)):
        if all(stream.numbers for stream in streams):
            break
        await asyncio.sleep(0.02)
    begun = [stream for stream in streams if stream.numbers]
    await asyncio.sleep(STORE_S + rng.uniform(0.0, 0.2))
    return begun
