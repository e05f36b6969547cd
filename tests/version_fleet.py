"""A fleet whose servers run several versions of their software, and its callers."""

import asyncio
import re
import signal

import aiohttp

from arbutuspulley.standins.fleet_server import DEFAULT_VERSION, ServerStandin
from scripts.platform_testbed import HOST

OTHER_VERSION = "v2"
LAST_EVENT = 6

PAUSE_S = 0.06
"""Time between two events, in s: a node is killed in the middle of all streams."""

DEADLINE_MS = 4_000

_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+(?: by (\S+))?\n\n")


class VersionedStream:
    """A stream as its caller has received it, over all attempts.

    :param attempt: id of the attempt that brought the first event.
    :ivar has_ended: whether an answer of status 200 has ended, and not broken off.
    """

    def __init__(self, *, attempt):
        self.attempt = attempt
        self.numbers = []
        self.versions = []
        self.statuses = []
        self.has_ended = False

    @property
    def is_complete(self):
        return self.numbers == list(range(1, LAST_EVENT + 1))

    @property
    def is_mixed(self):
        return len(set(self.versions)) > 1

    async def read(self, session, address, *, model="m0", path="/resumed/", **headers):
        """Send an attempt and read events until the answer ends or breaks off."""
        attempt = self.attempt
        if self.numbers:
            attempt = f"{self.attempt}-{len(self.statuses)}"
            headers = {
                "Last-Event-Id": str(self.numbers[-1]),
                "Resumes": self.attempt,
                **headers,
            }
        sent = {
            "Host": HOST,
            "X-Arbutuspulley-Attempt-Id": attempt,
            "X-Arbutuspulley-Deadline-Ms": str(DEADLINE_MS),
            "X-Arbutuspulley-Model": model,
            "X-Arbutuspulley-Token-Usage": "100,20",
            **{name: value for name, value in headers.items() if value is not None},
        }
        url = f"http://{address}{path}{self.attempt}"
        status = None
        try:
            async with session.post(url, headers=sent) as answer:
                status = answer.status
                await self._read_events(answer)
                self.has_ended = status == 200
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            pass
        self.statuses.append(status)
        return status

    async def _read_events(self, answer):
        pending = b""
        async for part in answer.content.iter_any():
            pending += part
            if answer.status != 200:
                continue
            for found in _EVENT.finditer(pending):
                self.numbers.append(int(found[1]))
                self.versions.append((found[2] or DEFAULT_VERSION.encode()).decode())
            pending = pending[pending.rfind(b"\n\n") + 2 :]


async def add_versions(fleet, *, other=2):
    """Let servers of another version run beside the two of the default one.

    :param other: number of servers of the other version, all with model ``m0``.
    """
    for number in range(other):
        server = ServerStandin(
            incarnation=f"e{number + 3}", service="llm", models=("m0",)
        )
        server.version = OTHER_VERSION
        await fleet.add_server(server)


def list_engines(fleet):
    """Return the servers that run models."""
    return [server for server in fleet.servers if server.service == "llm"]


def slow_down(fleet):
    """Let streams last for some time."""
    for server in list_engines(fleet):
        server.pause_s = PAUSE_S


async def begin_streams(fleet, session, name, *, count):
    """Begin streams at a node, and wait until each has brought two events.

    :return: the streams, and the tasks that read them.
    """
    address = fleet.addresses[name]["Frontend"]
    streams = [VersionedStream(attempt=f"{name}-s{number}") for number in range(count)]
    tasks = [asyncio.create_task(stream.read(session, address)) for stream in streams]
    async with asyncio.timeout(5):
        while not all(len(stream.numbers) > 1 for stream in streams):
            await asyncio.sleep(0.005)
    return streams, tasks


async def kill_all(fleet):
    """Kill all nodes at the same moment, and wait until they are gone."""
    for node in fleet.nodes.values():
        node.send_signal(signal.SIGKILL)
    for node in fleet.nodes.values():
        await node.wait()
