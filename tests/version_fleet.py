"""A fleet whose servers run several versions of their software, and its callers."""

import asyncio
import re
import signal

import aiohttp

from arbutuspulley.standins.fleet_server import DEFAULT_VERSION, ServerStandin
from scripts.platform_testbed import HOST

OTHER_VERSION = "v2"
THIRD_VERSION = "v3"
LAST_EVENT = 6

PAUSE_S = 0.06
"""Time between two events, in s: a node is killed in the middle of all streams."""

DEADLINE_MS = 4_000

LONG_DEADLINE_MS = 60_000
"""Deadline of a caller who outlasts several failures, in ms."""

_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+(?: by (\S+))?\n\n")


class VersionedStream:
    """A stream as its caller has received it, over all attempts.

    ``refusals`` holds the code and the ``Retry-After`` header of each answer without
    events.

    :param attempt: id of the attempt that brought the first event.
    :param has_prompt: whether the caller states the parts of its prompt.
    :ivar has_ended: whether an answer of status 200 has ended, and not broken off.
    """

    def __init__(self, *, attempt, deadline_ms=DEADLINE_MS, has_prompt=False):
        self.attempt = attempt
        self.prompt = f"{attempt.encode().hex()}:100" if has_prompt else None
        self.deadline_ms = deadline_ms
        self.numbers = []
        self.versions = []
        self.statuses = []
        self.refusals = []
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
            "X-Arbutuspulley-Deadline-Ms": str(self.deadline_ms),
            "X-Arbutuspulley-Model": model,
            "X-Arbutuspulley-Token-Usage": "100,20",
            **headers,
        }
        if self.prompt is not None:
            sent["X-Arbutuspulley-Prompt-Prefix"] = self.prompt
        sent = {name: value for name, value in sent.items() if value is not None}
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
        if answer.status != 200:
            code = pending.split()[0].decode() if pending else ""
            self.refusals.append((code, answer.headers.get("Retry-After")))


async def add_versions(fleet, *, other=2, version=OTHER_VERSION):
    """Let servers of another version run beside those of the default one.

    :param other: number of servers of the other version, all with model ``m0``.
    """
    first = len(list_engines(fleet)) + 1
    for number in range(first, first + other):
        server = ServerStandin(incarnation=f"e{number}", service="llm", models=("m0",))
        server.version = version
        await fleet.add_server(server)


def list_engines(fleet):
    """Return the servers that run models."""
    return [server for server in fleet.servers if server.service == "llm"]


def slow_down(fleet, *, pause_s=PAUSE_S):
    """Let streams last for some time.

    :param pause_s: time between two events, in s.
    """
    for server in list_engines(fleet):
        server.pause_s = pause_s


async def begin_streams(fleet, session, name, *, count, events=2, prefix="", **options):
    """Begin streams at a node, and wait until each has brought some events.

    :param prefix: put before the attempt ids.
    :param options: those of :class:`VersionedStream`.
    :return: the streams, and the tasks that read them.
    """
    address = fleet.addresses[name]["Frontend"]
    streams = [
        VersionedStream(attempt=f"{prefix}{name}-s{number}", **options)
        for number in range(count)
    ]
    tasks = [asyncio.create_task(stream.read(session, address)) for stream in streams]
    async with asyncio.timeout(5):
        while not all(len(stream.numbers) >= events for stream in streams):
            await asyncio.sleep(0.005)
    return streams, tasks


async def kill_all(fleet):
    """Kill all nodes at the same moment, and wait until they are gone."""
    for node in fleet.nodes.values():
        if node.returncode is None:
            node.send_signal(signal.SIGKILL)
    for node in fleet.nodes.values():
        await node.wait()
