"""A fleet on loopback: stand-ins for the platform and servers, and real nodes."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import yaml
from aiohttp import web

from arbutuspulley.standins.fleet_server import ServerStandin
from arbutuspulley.standins.fleet_store import StoreStandin

ROOT = Path(__file__).parents[1]

NODE_PROGRAM = ROOT / "deploy" / "run_node.py"

HOST = "shop.example"
"""Host name of all routes."""

WAIT_TIMEOUT_S = 15
"""Timeout of every wait, in s."""

ROLE_EVENTS = (
    "started",
    "lease_taken",
    "coordination_ended",
    "coordinator_followed",
    "coordinator_unreachable",
)
"""Events that tell a node's part in the election."""

LOG_EXCERPT = 2_000
"""Characters of a node's log that are shown if it exits while it starts."""

FULL_STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 7))
"""A complete stream of a model."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def listen(handler: Handler) -> tuple[asyncio.Server, str]:
    """Listen on a free port of loopback and return the listener and its address."""
    server = await asyncio.get_running_loop().create_server(
        web.Server(handler, access_log=None), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


def build_route(prefix: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Build a route in the operator's format."""
    return {
        "Name": prefix,
        "Hostname": HOST,
        "Prefix": prefix,
        "Type": kind,
        "TimeoutMs": 5_000,
        "TargetLatencyMs": 500,
        "TargetGapMs": 250,
        "Priority": 1,
        "MaxAttempts": 2,
        "Service": service,
        **changes,
    }


def build_configuration(
    version: int, *, routes: tuple[dict[str, Any], ...] = ()
) -> dict[str, Any]:
    """Build a configuration in the operator's format.

    :param routes: additional routes.
    """
    engine = {
        "Slots": 8,
        "KvCapacity": 100_000,
        "WeightsMb": 20,
        "AdapterSlots": 4,
        "LoadsPerS": 5,
        "Models": [
            {"Name": name, "WeightsMb": 10, "LoadS": 0.1, "AdapterMb": 0}
            for name in ("m0", "m1", "m2", "m3")
        ],
    }
    return {
        "Version": version,
        "Routes": [
            build_route("/chat/", "llm", "streaming"),
            build_route("/resumed/", "llm", "streaming", Resumable=True),
            build_route("/book/", "plain", "unsafe"),
            build_route("/sync/", "plain", "safe"),
            *routes,
        ],
        "Services": [
            {"Name": "llm", "MaxConnections": 100, "Engine": engine},
            {"Name": "plain", "MaxConnections": 100},
        ],
        "Limits": {},
    }


class Fleet:
    """Store, servers and nodes.

    :param folder: directory for settings files and logs.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StoreStandin()
        self.servers: list[ServerStandin] = []
        self.nodes: dict[str, asyncio.subprocess.Process] = {}
        self.addresses: dict[str, dict[str, str]] = {}
        self._listeners: list[asyncio.Server] = []
        self._reserved: list[socket.socket] = []
        self.store_address = ""

    async def open(self) -> None:
        """Start the store and four servers, two with models and two plain ones."""
        listener, self.store_address = await listen(self.store.handle)
        self._listeners.append(listener)
        self.store.put("op", "config", build_configuration(1))
        for name, models in (("e1", ("m0",)), ("e2", ("m0", "m1"))):
            await self.add_server(
                ServerStandin(incarnation=name, service="llm", models=models)
            )
        for name in ("p1", "p2"):
            await self.add_server(ServerStandin(incarnation=name, service="plain"))

    async def add_server(self, server: ServerStandin) -> None:
        """Start a server and register it."""
        listener, server.address = await listen(server.handle)
        self._listeners.append(listener)
        self.servers.append(server)
        self.store.put("servers", server.incarnation, server.describe())

    def get_server(self, incarnation: str) -> ServerStandin:
        """Return the server of an incarnation."""
        return next(one for one in self.servers if one.incarnation == incarnation)

    async def start_node(
        self,
        name: str,
        *,
        seeds: tuple[str, ...] = (),
        store: str = "",
        lease_ms: int = 1_500,
        program: Path = NODE_PROGRAM,
        environment: dict[str, str] | None = None,
        limits: dict[str, float] | None = None,
        metrics_port: int = 0,
        **bounds: Any,
    ) -> None:
        """Start a node.

        :param seeds: nodes that its settings name as seeds.
        :param store: address at which it reaches the store; empty: the store's own.
        :param lease_ms: duration of the coordinator's lease, in ms.
        :param program: program that runs the node.
        :param environment: additional environment variables.
        :param limits: limits of its instance, as in the settings file.
        :param metrics_port: port of its metrics; 0: none.
        :param bounds: additional bounds of the platform.
        """
        ports = [self._reserve_port() for _ in range(4)]
        names = ("Frontend", "Ready", "ControlPlane", "DirectoryService")
        listens = dict(zip(names, [f"127.0.0.1:{port}" for port in ports], strict=True))
        settings = {
            "NodeName": name,
            "Zone": "hall-a",
            "Region": "riga",
            "Listen": listens,
            "Seeds": [self.addresses[seed]["ControlPlane"] for seed in seeds],
            "Bounds": {
                "GraceS": 3,
                "LeaseMs": lease_ms,
                "RequireFencing": True,
                **bounds,
            },
            "Limits": limits or {},
            "Platform": {"Address": store or self.store_address},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.addresses[name] = listens
        with (self.folder / f"{name}.log").open("ab") as log:
            self.nodes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(program),
                "--metrics-port",
                str(metrics_port),
                env={
                    **os.environ,
                    "ARBUTUSPULLEY_BOOT": str(path),
                    **(environment or {}),
                },
                stdout=log,
                stderr=log,
            )

    async def start_nodes(self, names: Sequence[str], **options: Any) -> None:
        """Start nodes and wait until they are ready and follow a coordinator.

        :param options: those of :meth:`start_node`.
        """
        for name in names:
            await self.start_node(name, **options)
        for name in names:
            await self.wait_ready(name)
        await self.wait_coordinator()

    async def wait_ready(self, name: str) -> None:
        """Wait until a node is ready to serve callers.

        :raises AssertionError: if it is not ready in time, or has exited.
        """
        async with aiohttp.ClientSession() as session:

            async def look() -> bool:
                status = self.nodes[name].returncode
                if status is not None:
                    log = self.read_log(name)[-LOG_EXCERPT:]
                    raise AssertionError(f"{name} exited with {status}: {log}")
                return await self.is_ready(session, name)

            await wait_until(look, f"{name} ready")

    async def is_ready(self, session: aiohttp.ClientSession, name: str) -> bool:
        """Return whether a node reports that it is ready to serve callers."""
        url = f"http://{self.addresses[name]['Ready']}/readyz"
        try:
            async with session.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_log(self, name: str, word: str) -> None:
        """Wait until a node's log contains a word."""

        async def look() -> bool:
            return word in self.read_log(name)

        await wait_until(look, f"{word} in the log of {name}")

    async def wait_coordinator(self) -> None:
        """Wait until one running node is the coordinator and the others follow it.

        On a busy machine one that starts late may replace another, which acts as the
        coordinator until it finds that out.
        """

        async def look() -> bool:
            roles = [
                self._read_role(name)
                for name, node in self.nodes.items()
                if node.returncode is None
            ]
            followers = roles.count("coordinator_followed")
            return roles.count("lease_taken") == 1 and followers == len(roles) - 1

        await wait_until(look, "a coordinator")

    def find_coordinator(self) -> str:
        """Return the node that acquired the lease last."""
        return max(self.nodes, key=self._get_lease_time)

    def read_fence(self, name: str) -> int:
        """Return the fencing token with which a node last acquired the lease."""
        return int(self._list_events(name, "lease_taken")[-1]["fence"])

    def _get_lease_time(self, name: str) -> int:
        """Return when a node last acquired the lease, in Unix ms; 0: never."""
        taken = self._list_events(name, "lease_taken")
        return int(taken[-1]["time_ms"]) if taken else 0

    def _read_role(self, name: str) -> str:
        """Return the last event of a node that tells its part in the election."""
        events = self._list_events(name, *ROLE_EVENTS)
        return str(events[-1]["name"]) if events else ""

    def _list_events(self, name: str, *events: str) -> list[dict[str, Any]]:
        """Return the lines of a node's log that are some events, in order."""
        words = [f'"name":"{event}"' for event in events]
        return [
            msgspec.json.decode(line)
            for line in self.read_log(name).splitlines()
            if any(word in line for word in words)
        ]

    def read_log(self, name: str) -> str:
        """Return a node's log."""
        return (self.folder / f"{name}.log").read_text()

    async def close(self) -> None:
        """Kill all nodes and stop all servers."""
        for node in self.nodes.values():
            if node.returncode is None:
                node.send_signal(signal.SIGKILL)
            await node.wait()
        for listener in self._listeners:
            listener.close()
        for reserved in self._reserved:
            reserved.close()

    def _reserve_port(self) -> int:
        """Return a port that is reserved until this fleet is closed.

        A port that was merely free at the time of the search was taken by another
        connection before the node could listen on it, once in some hundred starts next
        to other test runs; the node then exited and the test timed out. A socket that
        is bound but does not listen reserves the port and lets the node listen on it.
        """
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._reserved.append(reserved)
        return int(reserved.getsockname()[1])


async def wait_until(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until a condition is true.

    :raises AssertionError: if it is still false after :data:`WAIT_TIMEOUT_S`.
    """
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f"waited {WAIT_TIMEOUT_S} s for {what}") from None


async def send_request(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    *,
    attempt: str,
    model: str = "",
    body: bytes = b"",
    method: str = "POST",
    **headers: str,
) -> tuple[int, bytes, dict[str, str]]:
    """Send a request as a caller and return status, body and headers."""
    sent = {
        "Host": HOST,
        "X-Arbutuspulley-Attempt-Id": attempt,
        "X-Arbutuspulley-Deadline-Ms": "5000",
        **headers,
    }
    if model:
        sent["X-Arbutuspulley-Model"] = model
        sent["X-Arbutuspulley-Token-Usage"] = "100,20"
    url = f"http://{address}{path}"
    async with session.request(method, url, headers=sent, data=body or None) as answer:
        return answer.status, await answer.read(), dict(answer.headers)
