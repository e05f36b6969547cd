"""Stand-ins of the second review: store, servers and clients, and the project's nodes.

They use the standard library alone, listen on loopback addresses and free ports, and
follow the users' pages. What goes wrong is set by each case.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HOST = "shop.example"
ATTEMPT_ID = "X-Arbutuspulley-Attempt-Id"
SEAL = "X-Arbutuspulley-Server-Seal"

CONTACT_S = 3.0
"""``ContactMs`` of the small deployments' sheets."""

HEARTBEAT_S = 1.2
"""``HeartbeatMs`` of the settings: how often a server writes its entry."""

SILENCES = 3
"""Heartbeat intervals of silence after which the store removes an entry."""

STORE_S = 0.004
"""How long the store takes for an answer."""

RESTART_S = 0.5
"""Delay after which the platform starts a killed process again."""

LIMIT_S = 110
"""A case that takes longer could not run."""

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    """Return the time in s, by the steady clock."""
    return time.monotonic()


async def read_message(reader):
    """Read one HTTP message; return its first line, headers by lower name, and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def build_answer(status, body=b"", headers=()):
    """Build an answer with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer):
    """Reset a connection."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except OSError:
        pass  # it is closed already
    writer.transport.abort()


class Listener:
    """Serves HTTP/1.1 on a loopback port of its own."""

    def __init__(self):
        self.address = ""
        self.listening = None
        self.writers = set()
        self.is_dark = False
        self._serving = set()
        self._kept = []

    async def open(self, port=0):
        """Listen on a port; 0: a free one."""
        self.listening = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self.listening.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self):
        """Stop listening, and reset all connections."""
        self.listening.close()
        for writer in list(self.writers):
            reset(writer)

    async def go_dark(self):
        """Lose power: all connections go silent, and new ones hang."""
        self.is_dark = True
        kept = socket.socket(fileno=os.dup(self.listening.sockets[0].fileno()))
        self.listening.close()
        kept.listen(0)
        self._kept = [kept]
        for _ in range(4):
            # They fill the queue, so that the system answers no further one.
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(kept.getsockname())
            self._kept.append(filling)
        for task in list(self._serving):
            task.cancel()
        await asyncio.sleep(0)

    def end_dark(self):
        """Have power again: what was open is unknown, and reset."""
        for one in self._kept:
            one.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        self._kept = []
        self.is_dark = False

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self._serving.add(task)
        try:
            while True:
                await self.answer(writer, *await read_message(reader))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._serving.discard(task)
            if not self.is_dark:
                self.writers.discard(writer)
                writer.close()


class Store(Listener):
    """The platform's store: rows, transactions and feeds. It is never disturbed."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.feed = []
        self.version = 0
        self.changed = asyncio.Event()

    def write(self, changes):
        """Write or remove (``None``) rows in one transaction."""
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.version, value)
            self.feed.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Write one row, as the operator or a server does."""
        self.write([(table, key, json.dumps(value).encode())])

    async def answer(self, writer, first, _headers, body):
        """Answer one call."""
        path, _, query = first.split(" ")[1].partition("?")
        parsed = urllib.parse.parse_qs(query, keep_blank_values=True)
        fields = {name: values[0] for name, values in parsed.items()}
        await asyncio.sleep(STORE_S)
        status, rows, more = 404, [], False
        if path == "/rows-tx":
            status, rows = self._transact(json.loads(body))
        elif path == "/rows-get":
            status, (rows, more) = 200, self._read(fields)
        elif path == "/rows-feed":
            status, rows = await self._wait(fields)
        answer = {
            "Rows": rows,
            "Ver": self.version,
            "NowMs": now() * 1000,
            "MorePages": more,
        }
        headers = [("Content-Type", "application/json")]
        writer.write(build_answer(status, json.dumps(answer).encode(), headers))

    def _transact(self, call):
        current, is_met = [], True
        for row in call.get("Expected", ()):
            version, value = self.rows.get((row["Table"], row["Key"]), (0, None))
            is_met = is_met and version == row["Ver"]
            if version:
                current.append(_encode(version, row["Table"], row["Key"], value))
        if not is_met:
            return 412, current
        put = [
            (row["Table"], row["Key"], base64.b64decode(row["Value"]))
            for row in call.get("Put", ())
        ]
        removed = [(row["Table"], row["Key"], None) for row in call.get("Remove", ())]
        self.write(put + removed)
        return 200, []

    def _read(self, fields):
        low, high = fields.get("From", ""), fields.get("To", "\U0010ffff")
        found = [
            _encode(version, table, key, value)
            for (table, key), (version, value) in sorted(self.rows.items())
            if table == fields["Table"] and low <= key < high
        ]
        most = min(500, int(fields.get("Limit", 500)))
        return found[:most], len(found) > most

    async def _wait(self, fields):
        after, until = int(fields["after"]), now() + int(fields["WaitMs"]) / 1000
        while True:
            if after > self.version:
                return 410, []
            rows = [
                _encode(*change)
                for change in self.feed
                if change[0] > after and change[1] == fields["Table"]
            ]
            if rows or now() >= until:
                return 200, rows
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except TimeoutError:
                pass


def _encode(version, table, key, value):
    row = {"Table": table, "part": "", "Key": key, "Ver": version}
    if value is None:
        return {**row, "Removed": True}
    return {**row, "Value": base64.b64encode(value).decode()}


class Server(Listener):
    """A server of a service without models. It is sound but for its crashes.

    :param is_streaming: whether it answers with a stream of ``events`` events.
    :param crashes_on: it crashes as it begins to run a request with this body.
    """

    def __init__(self, fleet, name, service, *, version="v1", is_streaming=False):
        super().__init__()
        self.fleet, self.name, self.service = fleet, name, service
        self.version, self.is_streaming = version, is_streaming
        self.events, self.pause_s = 30, 0.2
        self.crashes_on, self.on_crash = None, None
        self.born = int(time.time() * 1000)
        self.is_up, self.next_beat, self.last_beat = True, now(), now()
        self._written = None
        self.beating = None

    async def beat(self):
        """Write the entry about each HEARTBEAT_S, if it differs from the last one.

        The store removes it after three intervals of silence.
        """
        store = self.fleet.store
        while True:
            await asyncio.sleep(0.01)
            is_listed = ("servers", self.name) in store.rows
            if self.is_up and now() >= self.next_beat:
                self.next_beat += HEARTBEAT_S
                self.write_entry(is_forced=not is_listed)
            elif is_listed and now() - self.last_beat > SILENCES * HEARTBEAT_S:
                store.write([("servers", self.name, None)])
                self.fleet.note("entry removed", server=self.name)

    def write_entry(self, *, is_forced=True):
        """Write the entry; unless it is forced, only if it has changed."""
        self.last_beat = now()
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "hall-a",
            "Version": self.version,
            "Slots": 32,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Models": self.list_models(),
            "Sequence": 0,
            "born": self.born,
        }
        if is_forced or entry != self._written:
            self._written = entry
            self.fleet.store.put("servers", self.name, entry)
            self.fleet.note(
                "entry written", server=self.name, version=self.version, born=self.born
            )

    def list_models(self):
        """Return the models that it holds."""
        return []

    async def crash(
        self, *, down_s, first_beat_s, version=None, name=None, is_silent=False
    ):
        """Crash, and start again at the same address, knowing nothing of before.

        :param is_silent: whether nothing is sent as it crashes, as without power; else
            its connections are reset.
        :param first_beat_s: how long after the start the first heartbeat comes.
        :param version: version of the software from then on; ``None``: as before.
        :param name: id from then on; ``None``: the id that it had.
        """
        self.is_up = False
        self.fleet.note("crash", server=self.name, version=self.version, born=self.born)
        if is_silent:
            await self.go_dark()
        else:
            self.close()
        await asyncio.sleep(down_s)
        if is_silent:
            self.end_dark()
        if name is not None:
            # The entry of the start before stays until the store removes it.
            self.fleet.forget_later(self.name, self.last_beat)
            self.name, self._written = name, None
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        await self.open(int(self.address.partition(":")[2]))
        self.next_beat, self.is_up = now() + first_beat_s, True
        self.last_beat = now() if name is not None else self.last_beat
        self.fleet.note(
            "started again", server=self.name, version=self.version, born=self.born
        )

    async def answer(self, writer, first, headers, body):
        """Answer one request."""
        method, target, _ = first.split(" ")
        attempt = headers.get(ATTEMPT_ID.lower(), "")
        named = [(ATTEMPT_ID, attempt)] if attempt else []
        if headers.get("x-arbutuspulley-expect-instance") not in (None, self.name):
            writer.write(build_answer(421, b"", named))
            return
        if target == "/healthz":
            healthy = [("X-Arbutuspulley-Instance-Id", self.name)]
            writer.write(build_answer(200, b"", healthy))
            return
        if target.startswith(("/report", "/kv-")):
            # A service without models has neither.
            writer.write(build_answer(404, b"", named))
            return
        self.fleet.note(
            "run",
            server=self.name,
            version=self.version,
            born=self.born,
            id=attempt,
            target=f"{method} {target}",
            after=headers.get("last-event-id"),
        )
        if self.crashes_on is not None and body == self.crashes_on:
            self.fleet.spawn(self.on_crash(self))
            await asyncio.sleep(LIMIT_S)
        sealed = [*named, (SEAL, f"seal.{self.name}.{self.born}")]
        if self.is_streaming:
            await self._stream(writer, headers, sealed)
            return
        await asyncio.sleep(0.02)
        writer.write(build_answer(200, b"done " + attempt.encode(), sealed))

    async def _stream(self, writer, headers, sealed):
        """Send the events after the last one that the client has."""
        version = self.version
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in sealed]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            event = f"id: {number}\ndata: {version} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


def build_route(prefix, service, kind, **changes):
    """Build a route of the configuration."""
    return {
        "Name": prefix.strip("/"),
        "Hostname": HOST,
        "Prefix": prefix,
        "Type": kind,
        "TimeoutMs": 15_000,
        "TargetLatencyMs": 500,
        "TargetGapMs": 250,
        "Priority": 1,
        "MaxAttempts": 1,
        "Service": service,
        **changes,
    }


CONFIGURATION = {
    "Version": 1,
    "Routes": [
        build_route("/feed/", "feed", "streaming", Resumable=True, MaxAttempts=2),
        build_route("/book/", "desk", "unsafe", TimeoutMs=2_000),
    ],
    "Services": [
        {"Name": "feed", "MaxConnections": 360, "HealthPath": "/healthz"},
        {"Name": "desk", "MaxConnections": 96, "HealthPath": "/healthz"},
    ],
    "Limits": {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 4_194_304,
        "HeaderTimeoutMs": 10_000,
        "IdleTimeoutMs": 20_000,
    },
}


class Fleet:
    """Store, servers and nodes, and a record of what was sent, answered and run."""

    def __init__(self):
        self.store = Store()
        self.servers = {}
        self.nodes = {}
        self.record = []
        self.closing = []
        self._settings = {}
        self._changes = {}
        self._began = now()
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._ports = []
        self._tasks = set()

    def note(self, what, **fields):
        """Add a line to the record."""
        self.record.append((now() - self._began, what, fields))

    def list(self, what):
        """Return time and fields of all lines of a kind."""
        return [(at, fields) for at, kind, fields in self.record if kind == what]

    def spawn(self, coroutine):
        """Run something until it ends or the fleet is closed."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def open(self):
        """Start the store, with the first configuration."""
        await self.store.open()
        self.store.put("op", "config", CONFIGURATION)

    async def add_server(self, name, service, **options):
        """Start a server; it writes its entry at once."""
        server = self.servers[name] = Server(self, name, service, **options)
        await server.open()
        server.write_entry()
        # The servers' heartbeats are spread over the interval.
        server.next_beat = now() + HEARTBEAT_S * (len(self.servers) % 5 + 1) / 5
        server.beating = self.spawn(server.beat())
        return server

    def forget_later(self, name, last_beat):
        """Remove the entry of a start that is over, after three silences."""

        async def forget():
            await asyncio.sleep(last_beat + SILENCES * HEARTBEAT_S - now())
            if ("servers", name) in self.store.rows:
                self.store.write([("servers", name, None)])
                self.note("entry removed", server=name)

        self.spawn(forget())

    async def start(self, *names):
        """Start nodes by the deploy file's command, and wait until they are ready."""
        for name in names:
            await self._start(name)
        until = now() + 20
        for name in names:
            while not await self._is_ready(name):
                if now() > until or self.nodes[name].returncode is not None:
                    raise RuntimeError(f"{name} isn't ready: {self.read_log(name)}")
                await asyncio.sleep(0.05)

    async def _start(self, name):
        path = self._folder / f"{name}.yaml"
        if name not in self._settings:
            self._settings[name] = self._build_settings(name)
            path.write_text(json.dumps(self._settings[name]))  # JSON is YAML
        with (self._folder / f"{name}.log").open("ab") as log:
            self.nodes[name] = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/run_node.py",
                # Nodes of one machine can't all have the port of the metrics.
                "--metrics-port",
                "0",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self._folder),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ARBUTUSPULLEY_BOOT": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.note("node started", node=name)

    def _build_settings(self, name):
        kinds = ("Frontend", "Ready", "ControlPlane", "DirectoryService")
        listens = {kind: f"127.0.0.1:{self._reserve_port()}" for kind in kinds}
        known = [one["Listen"]["ControlPlane"] for one in self._settings.values()]
        store, bounds = self._changes.get(name, (self.store.address, {}))
        return {
            "NodeName": name,
            "Role": "arbutus-node",
            "MachineClass": "edge",
            "Ip": "127.0.0.1",
            "Zone": "hall-a",
            "Region": "riga",
            "Zones": {"hall-a": "riga"},
            "Listen": listens,
            "Seeds": [*known, listens["ControlPlane"]][:3],
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4_100,
                "LinkMbps": 1_000.0,
            },
            "Bounds": {
                "ContactMs": int(CONTACT_S * 1000),
                "DrainMs": 2_000,
                "GraceS": 8,
                "ConfigApplyMs": 2_000,
                "RetryBudgetRatio": 0.2,
                "RetryBudgetExtra": 52,
                "BudgetWindowS": 10,
                "LeaseMs": 3_000,
                "RequireFencing": True,
                "ttl_max_s": 5,
                **bounds,
            },
            "Platform": {"Address": store},
        }

    def change_settings(self, name, *, store, bounds):
        """Let a node that has not started reach the store elsewhere, by other bounds."""
        self._changes[name] = (store, bounds)

    def _reserve_port(self):
        """Return a free port; a socket that doesn't listen keeps it free for a node."""
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        self._ports.append(held)
        return held.getsockname()[1]

    async def _is_ready(self, name):
        address = self._settings[name]["Listen"]["Ready"]
        try:
            status, _, _ = await ask(
                address, b"GET /readyz HTTP/1.1\r\nHost: -\r\n\r\n"
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200

    def get_front(self, name):
        """Return the address of a node for clients."""
        return self._settings[name]["Listen"]["Frontend"]

    def read_log(self, name):
        """Return the end of a node's log."""
        return (self._folder / f"{name}.log").read_text(errors="replace")[-1500:]

    def kill(self, name):
        """Kill a node."""
        self.note("node killed", node=name)
        self.nodes[name].send_signal(signal.SIGKILL)

    async def close(self):
        """End all that was started."""
        for node in self.nodes.values():
            if node.returncode is None:
                node.kill()
            await node.wait()
        for task in list(self._tasks):
            task.cancel()
        for one in (self.store, *self.servers.values(), *self.closing):
            if one.listening is not None:
                one.close()
        for held in self._ports:
            held.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def build_request(path, attempt, *, deadline_ms, body=b"", headers=()):
    """Build a client's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT_ID}: {attempt}",
        f"X-Arbutuspulley-Deadline-Ms: {int(deadline_ms)}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(address, request, *, timeout_s=8):
    """Send a request on a new connection; return its answer, which has a length."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        async with asyncio.timeout(timeout_s):
            first, headers, body = await read_message(reader)
        return int(first.split(" ")[1]), headers, body
    finally:
        writer.close()


class Stream:
    """A client's stream, over all its attempts.

    :ivar events: (id, version of the server's software) of each event that came.
    :ivar is_done: whether it has come to its end.
    """

    def __init__(self, fleet, number, *, deadline_s, last_id=30):
        self.fleet, self.number, self.last_id = fleet, number, last_id
        self.until = now() + deadline_s
        self.events = []
        self.first_attempt = ""
        self.is_done = False

    async def attempt(self, node, name, *, leave_after=None):
        """Make one attempt, which takes the stream up if an event has come before.

        :param leave_after: number of events after which the client's connection breaks.
        :return: status, 0 if there was none, and ``Retry-After`` in s or ``None``.
        """
        fleet, before = self.fleet, len(self.events)
        headers = []
        if self.events:
            headers = [("Last-Event-Id", str(self.events[-1][0]))]
            headers += [("Resumes", self.first_attempt)]
        fleet.note("sent", id=name, node=node, stream=self.number, headers=headers)
        status, retry_after, why = 0, None, ""
        writer = None
        try:
            host, _, port = fleet.get_front(node).partition(":")
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
            left_ms = (self.until - now()) * 1000
            writer.write(
                build_request(
                    f"/feed/{self.number}", name, deadline_ms=left_ms, headers=headers
                )
            )
            async with asyncio.timeout(max(0.1, self.until - now())):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                status = int(head.split(" ")[1])
                found = re.search(r"(?i)\nretry-after: *([\d.]+)", head)
                retry_after = float(found[1]) if found else None
                if status == 200:
                    await self._read(reader, name, before, leave_after)
                else:
                    why = (await reader.readline()).decode().strip()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            why = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        came = self.events[before:]
        fleet.note(
            "answered",
            id=name,
            stream=self.number,
            status=status,
            first=came[0] if came else None,
            last=came[-1] if came else None,
            is_done=self.is_done,
            why=why,
        )
        return status, retry_after

    async def _read(self, reader, name, before, leave_after):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            chunk = (await reader.readexactly(size + 2)).decode()
            for number, version in re.findall(r"id: (\d+)\ndata: (\S+) ", chunk):
                if not self.events:
                    self.first_attempt = name
                self.events.append((int(number), version))
            if leave_after is not None and len(self.events) - before >= leave_after:
                return
        self.is_done = bool(self.events) and self.events[-1][0] == self.last_id


def run_case(play, folder):
    """Play a case, write its record, and exit with its result.

    :param play: coroutine function that gets a fleet, and returns whether the rule was
        broken, and lines for the record.
    """
    result, notes = NOT_RUN, []

    async def run():
        fleet = Fleet()
        try:
            async with asyncio.timeout(LIMIT_S):
                return fleet, await play(fleet)
        except Exception:
            return fleet, (None, traceback.format_exc().splitlines())
        finally:
            await fleet.close()

    try:
        fleet, (is_broken, notes) = asyncio.run(run())
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    if is_broken is not None:
        result = BROKEN if is_broken else HELD
    word = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result]
    with (Path(folder) / "record.txt").open("w") as record:
        print(f"TROUBLE={int(TROUBLE)}", file=record)
        for at, what, fields in fleet.record:
            print(f"{at:8.3f} {what} {json.dumps(fields)}", file=record)
        print(*notes, f"result: {word}", sep="\n", file=record)
    print(*notes, f"result: {word}", sep="\n")
    sys.exit(result)
