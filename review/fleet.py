"""A small deployment on loopback for the cases of this review.

Nodes are separate processes that are started with the command of the deploy file. The
platform's store is the project's own stand-in; the servers are small ones of this
review. Everything that is sent, answered and run is written to a record.
"""

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src")]

import aiohttp  # noqa: E402
import yaml  # noqa: E402
from aiohttp import web  # noqa: E402

from arbutuspulley.standins.fleet_store import StoreStandin  # noqa: E402

HOST = "shop.example"
HEARTBEAT_S = 1.2
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeSlackMs": 250,
    "MaxStretchMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetExtra": 52,
    "RecoverS": 12,
    "PassMs": 120,
    "RetryAfterS": 0,
    "RequireFencing": True,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "CeilingWindowS": 5,
    "CeilingOverage": 1.1,
    "ttl_max_s": 5,
}
"""Bounds of the sheet of lestari-lets."""

REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected Request", 503: "Unavailable"}


class CannotRunError(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.now():9.3f} s  {text}\n")
        self._file.flush()

    def say(self, text):
        """Write a line, and print it."""
        self.write(text)
        print(text, flush=True)


class PlainServer:
    """A sound server of a service without models.

    It keeps connections, serves one request at a time on each of them, and drops a
    request when its connection closes. ``runs`` lists the times at which each attempt
    began to run.
    """

    def __init__(self, name, *, record, service="plain", work_s=0.045):
        self.name = name
        self.record = record
        self.service = service
        self.work_s = work_s
        self.address = ""
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.state = "ready"
        self.beats = 0
        self._server = None

    def describe(self):
        """Return the server's entry in the store."""
        self.beats += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "semarang-a",
            "Version": "1",
            "Slots": 6,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.beats,
            "born": self.born,
        }

    async def open(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def before_answer(self, writer, context):
        """Called when a request has been read; ``context`` lasts for the connection."""

    def after_answer(self, attempt, context):
        """Called when an answer has been sent."""

    async def _serve(self, reader, writer):
        context = {}
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(reader, writer, head, context)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer, head, context):
        lines = head.decode("latin-1").split("\r\n")
        path = lines[0].split()[1]
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        attempt = headers.get("x-arbutuspulley-attempt-id", "")
        expected = headers.get("x-arbutuspulley-expect-instance", self.name)
        await self.before_answer(writer, context)
        if expected != self.name:
            writer.write(build_answer(421, attempt))
            await writer.drain()
            return
        self.runs.setdefault(attempt, []).append(self.record.now())
        self.record.write(f"run      {attempt} begins at server {self.name} ({path})")
        await self.work(attempt)
        seal = f"seal.{self.name}.{attempt}"
        answer = build_answer(200, attempt, body=b"done:" + body, seal=seal)
        writer.write(answer)
        await writer.drain()
        self.record.write(f"result   {attempt} is answered 200 by server {self.name}")
        self.after_answer(attempt, context)

    async def work(self, attempt):
        """Work on a request."""
        await asyncio.sleep(self.work_s)


def build_answer(status, attempt, *, body=b"", seal="", not_executed=False):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines.append(f"X-Arbutuspulley-Attempt-Id: {attempt}")
    if seal:
        lines.append(f"X-Arbutuspulley-Server-Seal: {seal}")
    if not_executed:
        lines.append("X-Arbutuspulley-Not-Executed: 1")
    lines.append("Content-Type: application/octet-stream")
    lines.append("Keep-Alive: timeout=30")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def build_route(prefix, service, kind, **changes):
    """Return a route in the operator's format."""
    return {
        "Name": prefix.strip("/"),
        "Hostname": HOST,
        "Prefix": prefix,
        "Type": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 200,
        "TargetGapMs": 0,
        "Priority": 1,
        "MaxAttempts": 2,
        "Service": service,
        **changes,
    }


def build_configuration(version, routes, services):
    """Return a configuration in the operator's format."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 10000,
            "IdleTimeoutMs": 60000,
        },
    }


class Store(StoreStandin):
    """The project's stand-in of the store, in which other writers write, too."""

    __slots__ = ()

    def put_bytes(self, table, key, value):
        """Write a row with any bytes as its value."""
        self._write([(table, key, value)])


class Fleet:
    """Store, servers and nodes."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.store_address = ""
        self.servers = []
        self.nodes = {}
        self.listens = {}
        self.settings = {}
        self._listeners = []
        self._reserved = []
        self._tasks = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["arbutus-node"]["run"].split(" ")

    async def open(self, configuration):
        """Start the store with a configuration."""
        listener = await asyncio.get_running_loop().create_server(
            web.Server(self.store.handle, access_log=None), "127.0.0.1", 0
        )
        self._listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        self.store_address = f"127.0.0.1:{port}"
        self.store.put("op", "config", configuration)
        self.record.write(f"operator writes configuration {configuration['Version']}")

    async def add_server(self, server):
        """Start a server, which writes its entry from then on."""
        await server.open()
        self.servers.append(server)
        self._tasks.append(asyncio.create_task(self._beat(server)))

    async def _beat(self, server):
        while True:
            self.store.put("servers", server.name, server.describe())
            await asyncio.sleep(HEARTBEAT_S)

    def _reserve_port(self):
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._reserved.append(reserved)
        return reserved.getsockname()[1]

    def add_node(self, name, *, zone="semarang-a", store="", seeds=(), **bounds):
        """Write the settings of a node."""
        names = ("Frontend", "Ready", "ControlPlane", "DirectoryService")
        listens = {one: f"127.0.0.1:{self._reserve_port()}" for one in names}
        self.listens[name] = listens
        path = self.folder / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump(
                {
                    "NodeName": name,
                    "Role": "arbutus-node",
                    "MachineClass": "edge",
                    "Serves": ["edge", "control_plane", "registry"],
                    "Ip": "127.0.0.1",
                    "Zone": zone,
                    "Region": "jawa-tengah",
                    "Zones": {zone: "jawa-tengah"},
                    "Listen": listens,
                    "Seeds": [self.listens[seed]["ControlPlane"] for seed in seeds],
                    "Bootstrap": True,
                    "Limits": {
                        "CpuShare": 0.537,
                        "Cores": 2,
                        "MemoryMb": 300,
                        "MaxFds": 4100,
                        "LinkMbps": 1000.0,
                        "DiskMb": 0,
                    },
                    "Discovery": "platform",
                    "Entry": "registry",
                    "HeartbeatMs": int(HEARTBEAT_S * 1000),
                    "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
                    "Bounds": BOUNDS | bounds,
                    "Platform": {
                        "Address": store or self.store_address,
                        "form": "table",
                        "WritesPerS": 400,
                        "ReadsPerS": 2000,
                    },
                }
            )
        )
        self.settings[name] = (path, str(self._reserve_port()))

    def set_seeds(self, name, seeds):
        """Name the seeds in the settings of a node that has not started yet."""
        path, _port = self.settings[name]
        settings = yaml.safe_load(path.read_text())
        settings["Seeds"] = [self.listens[seed]["ControlPlane"] for seed in seeds]
        path.write_text(yaml.safe_dump(settings))

    async def start_node(self, name):
        """Start a node's process."""
        path, metrics_port = self.settings[name]
        kept = ("PATH", "HOME", "LANG", "PYENV_VERSION")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.nodes[name] = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env={
                    **{key: os.environ[key] for key in kept if key in os.environ},
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "ARBUTUSPULLEY_BOOT": str(path),
                    # All nodes have the same address here, so each needs a port.
                    "ARBUTUS_NODE_METRICS_PORT": metrics_port,
                },
                stdout=log,
                stderr=log,
            )
        self.record.write(f"node {name} is started")

    def signal_node(self, name, number):
        """Send a signal to a node's process."""
        self.record.write(f"node {name} gets {signal.Signals(number).name}")
        self.nodes[name].send_signal(number)

    async def wait_ready(self, session, name, *, for_s=15.0):
        """Wait until a node says that it is ready.

        :raises CannotRunError: if it does not in time.
        """
        url = f"http://{self.listens[name]['Ready']}/readyz"
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            if self.nodes[name].returncode is not None:
                raise CannotRunError(f"{name} ended: {self.read_log(name)[-600:]}")
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{name} was not ready in {for_s} s")

    def read_log(self, name):
        """Return what a node has printed."""
        return (self.folder / f"{name}.log").read_text()

    async def send(self, session, name, path, attempt, *, deadline_ms=2500, **headers):
        """Send one request as a client; return the status, 0 without an answer."""
        self.record.write(f"sent     {attempt} to node {name} ({path})")
        url = f"http://{self.listens[name]['Frontend']}{path}"
        sent = {
            "Host": HOST,
            "X-Arbutuspulley-Attempt-Id": attempt,
            "X-Arbutuspulley-Deadline-Ms": str(deadline_ms),
            **headers,
        }
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000, sock_connect=1.0)
        try:
            async with session.post(
                url, headers=sent, data=attempt.encode(), timeout=timeout
            ) as answer:
                await answer.read()
                status = answer.status
                has_seal = "X-Arbutuspulley-Server-Seal" in answer.headers
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            self.record.write(f"answered {attempt} nothing: {type(error).__name__}")
            return 0
        self.record.write(f"answered {attempt} {status}")
        return 200 if status == 200 and has_seal else status

    async def close(self):
        """End all processes, and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            if node.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.send_signal(signal.SIGCONT)
                    node.kill()
            await node.wait()
        for server in self.servers:
            server.close()
        for listener in self._listeners:
            listener.close()
        for reserved in self._reserved:
            reserved.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


BROKEN_STATUS = 101
"""Exit status of a case in which the rule was broken; ``run.sh`` turns it into 1. The
interpreter itself exits with 1 after an error."""


def run_case(folder, scenario, *, has_trouble):
    """Run a scenario and exit: 101: the rule was broken, 0: it held, 2: it did not run.

    :param scenario: called with the fleet and whether there is trouble; returns whether
        the rule was broken.
    :param has_trouble: whether the disruption happens.
    """
    record = Record(Path(folder) / "record.txt")
    record.say(f"trouble: {'yes' if has_trouble else 'no'}")

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(100):
                return await scenario(fleet, has_trouble)
        finally:
            await fleet.close()

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    record.say("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN_STATUS if is_broken else 0)
