"""The soak's crowds of clients that keep to no limit."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from scripts.measure_held_memory import read_resident_mb
from scripts.platform_testbed import Fleet
from tests.client_crowds import (
    Crowd,
    count_connections,
    send_malformed,
    send_nothing,
    send_unfinished_body,
    send_unfinished_head,
)
from tests.soak_plan import Fault

LIMITS = {"MemoryMb": 160, "MaxFds": 1_000}
"""Limits of each node."""

RESERVED_DESCRIPTORS = 200
"""Descriptors of the limit that are for files."""

SAMPLE_S = 0.1
"""Interval at which a node's sockets are counted, in s."""

_CROWDS = {
    "bodies": (60, send_unfinished_body),
    "heads": (200, send_unfinished_head),
    "idlers": (900, send_nothing),
    "requests ahead": (100, send_malformed),
}
"""Number of clients, and what each sends, by kind."""


async def send_crowd(fleet: Fleet, name: str, fault: Fault) -> str:
    """Let a crowd come to a node for a while.

    :return: which limit of its process it has exceeded; empty: none.
    """
    node = fleet.nodes[name]
    if node.returncode is not None:
        return ""
    count, build = _CROWDS[fault.kind]
    address = fleet.addresses[name]["Frontend"]
    crowd = Crowd(address=address, count=count, build=build)
    try:
        async with asyncio.timeout(fault.for_s):
            async for exceeded in _watch(node.pid):
                if exceeded:
                    return exceeded
    except TimeoutError:
        pass
    finally:
        await crowd.leave()
    return ""


async def _watch(pid: int) -> AsyncIterator[str]:
    """Yield which limit a process exceeds, again and again until it ends."""
    most = LIMITS["MaxFds"] - RESERVED_DESCRIPTORS
    with contextlib.suppress(FileNotFoundError, ProcessLookupError, ValueError):
        while True:
            connections = count_connections(pid)
            peak_mb = read_resident_mb(pid, field="VmHWM")
            if connections > most:
                yield f"{connections} sockets and pipes of {most}"
            if peak_mb > LIMITS["MemoryMb"]:
                yield f"{peak_mb} MB of {LIMITS['MemoryMb']}"
            yield ""
            await asyncio.sleep(SAMPLE_S)
