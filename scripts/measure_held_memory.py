"""Measures the memory of a node without load, with requests in flight, and with slow
readers, and the gaps of streams that are read beside these.

Run it as ``python -m scripts.measure_held_memory [MEMORY_MB]``; it starts stand-ins and
one node on loopback, and prints resident memory in MB.
"""

import asyncio
import contextlib
import json
import socket
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from arbutuspulley.ports.answers import Framing
from arbutuspulley.standins.fleet_server import ServerStandin
from arbutuspulley.standins.scripted_answer import AnswerScript, ConnectionEnd
from scripts.platform_testbed import (
    HOST,
    Fleet,
    build_configuration,
    build_route,
    send_request,
)

SERVICE_SLOTS = 2_000

RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of slow readers, so that bytes stay at the node."""

BIG_EVENT = b"id: 1\ndata: " + b"x" * 32_000 + b"\n\n"


def read_resident_mb(pid: int, *, field: str = "VmRSS") -> float:
    """Return the resident memory of a process, or its peak (``VmHWM``), in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) / 1_000
    raise ValueError(field)


async def open_reader(
    front: str, path: str, *, attempt: str, headers: tuple[str, ...] = ()
) -> socket.socket:
    """Send a request on a connection of its own and read nothing."""
    host, _, port = front.partition(":")
    loop = asyncio.get_running_loop()
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    opened.setblocking(False)
    await loop.sock_connect(opened, (host, int(port)))
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Arbutuspulley-Attempt-Id: {attempt}",
        "X-Arbutuspulley-Deadline-Ms: 60000",
        "Content-Length: 0",
        *headers,
    ]
    await loop.sock_sendall(opened, "\r\n".join([*lines, "", ""]).encode())
    return opened


async def _measure(
    folder: Path,
    memory_mb: float,
    script: AnswerScript,
    path: str,
    counts: tuple[int, ...],
) -> None:
    fleet = Fleet(folder)
    opened: list[socket.socket] = []
    try:
        await fleet.open()
        fleet.store.put(
            "op",
            "config",
            build_configuration(
                2,
                routes=(
                    build_route(
                        "/events/",
                        "plain",
                        "streaming",
                        Resumable=True,
                        TimeoutMs=60_000,
                    ),
                    build_route("/whole/", "plain", "safe", TimeoutMs=60_000),
                ),
            ),
        )
        for number in range(12):
            await fleet.add_server(
                ServerStandin(incarnation=f"q{number}", service="plain")
            )
        for server in fleet.servers:
            server.script = script
        await fleet.start_nodes(("n1",), limits={"MemoryMb": memory_mb})
        pid = fleet.nodes["n1"].pid
        front = fleet.addresses["n1"]["Frontend"]
        await asyncio.sleep(1)
        before = read_resident_mb(pid)
        print(f"  {0:5} readers {before:7.1f} MB", flush=True)
        for count in counts:
            while len(opened) < count:
                opened.append(await open_reader(front, path, attempt=f"a{len(opened)}"))
            await asyncio.sleep(2.5)
            now = read_resident_mb(pid)
            peak = read_resident_mb(pid, field="VmHWM")
            print(
                f"  {count:5} readers {now:7.1f} MB, peak {peak:7.1f} MB,"
                f" {(now - before) / count * 1_000:7.1f} KB each",
                flush=True,
            )
    finally:
        for one in opened:
            with contextlib.suppress(OSError):
                one.close()
        await fleet.close()


async def _measure_gaps(folder: Path, memory_mb: float, *, slow: int) -> None:
    """Print the longest gaps of 16 streams that are read beside slow readers."""
    fleet = Fleet(folder)
    opened: list[socket.socket] = []
    headers: dict[str, Any] = {"X-Arbutuspulley-Deadline-Ms": "30000"}
    script = AnswerScript(
        parts=(BIG_EVENT,) * 200, framing=Framing.CHUNKS, pause_s=0.005
    )
    try:
        await fleet.open()
        route = build_route(
            "/events/", "plain", "streaming", Resumable=True, TimeoutMs=60_000
        )
        fleet.store.put("op", "config", build_configuration(2, routes=(route,)))
        for number in range(12):
            await fleet.add_server(
                ServerStandin(incarnation=f"q{number}", service="plain")
            )
        for server in fleet.servers:
            server.script = script
        await fleet.start_nodes(("n1",), limits={"MemoryMb": memory_mb})
        front = fleet.addresses["n1"]["Frontend"]
        for number in range(slow):
            opened.append(await open_reader(front, "/events/x", attempt=f"s{number}"))
        await asyncio.sleep(4)
        async with aiohttp.ClientSession() as session:
            for turn in range(4):
                # The stand-in closes each connection after its answer.
                await asyncio.sleep(0.3)
                await asyncio.gather(
                    *(
                        send_request(
                            session,
                            front,
                            "/events/x",
                            attempt=f"f{turn}.{number}",
                            **headers,
                        )
                        for number in range(4)
                    ),
                    return_exceptions=True,
                )
        # The node writes its lines with a delay.
        await asyncio.sleep(0.5)
        lines = [json.loads(line) for line in fleet.read_log("n1").splitlines()]
        gaps = [
            line["longest_pause_ms"]
            for line in lines
            if line["name"] == "request_ended" and line["id"].startswith("f")
        ]
        print(
            f"  {slow} slow: {len(gaps)} of 16 complete, longest gap of each: median"
            f" {statistics.median(gaps or [0])} ms, most {max(gaps, default=0)} ms",
            flush=True,
        )
    finally:
        for one in opened:
            one.close()
        await fleet.close()


def main() -> None:
    """Print all measurements."""
    memory_mb = float(sys.argv[1]) if len(sys.argv) > 1 else 0
    silent = AnswerScript(parts=(b"",), end=ConnectionEnd.SILENT)
    stream = AnswerScript(
        parts=(BIG_EVENT,) * 200,
        end=ConnectionEnd.SILENT,
        framing=Framing.CHUNKS,
        pause_s=0.005,
    )
    body = AnswerScript(parts=(b"x" * 4_000_000,), framing=Framing.LENGTH)
    for name, script, path, counts in (
        ("requests in flight, no answer bytes", silent, "/events/x", (100, 200, 300)),
        (
            "slow readers of streams with events of 32 KB",
            stream,
            "/events/x",
            (20, 40, 80),
        ),
        ("slow readers of bodies of 4 MB", body, "/whole/x", (10, 20, 40)),
    ):
        print(name)
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_measure(Path(folder), memory_mb, script, path, counts))
    print("streams that are read, of events of 32 KB")
    for slow in (0, 40):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_measure_gaps(Path(folder), memory_mb, slow=slow))


if __name__ == "__main__":
    main()
