"""One node or more in front of servers of long streams and of bodies of 4 MB."""

import contextlib
import json
import socket

import aiohttp

from arbutuspulley.ports.answers import Framing
from arbutuspulley.standins.fleet_server import ServerStandin
from arbutuspulley.standins.scripted_answer import AnswerScript
from scripts.measure_held_memory import BIG_EVENT
from scripts.platform_testbed import Fleet, build_configuration, build_route

BODY = bytes(range(256)) * 16_000

EVENTS = 200


def build_fleet_configuration(*, limits=None):
    routes = (
        build_route("/events/", "events", "streaming", Resumable=True),
        build_route("/safe/", "bodies", "safe"),
        build_route("/unsafe/", "bodies", "unsafe"),
    )
    for route in routes:
        route["TimeoutMs"] = 60_000
    built = build_configuration(2, routes=routes)
    built["Limits"] = limits or {}
    built["Services"] += [
        {"Name": name, "MaxConnections": 1_000} for name in ("events", "bodies")
    ]
    return built


@contextlib.asynccontextmanager
async def open_fleet(folder, limits, *, names=("n1",), client_limits=None):
    """Start nodes, and servers of streams and of bodies of 4 MB.

    :param limits: limits of a node's instance, as in the settings file.
    :param client_limits: limits of clients, as in the configuration.
    """
    fleet = Fleet(folder)
    scripts = {
        "events": AnswerScript(
            parts=(BIG_EVENT,) * EVENTS, framing=Framing.CHUNKS, pause_s=0.005
        ),
        "bodies": AnswerScript(parts=(BODY,), framing=Framing.LENGTH),
    }
    with contextlib.ExitStack() as stack:
        ports = [stack.enter_context(reserve_port()) for _ in names]
        try:
            await fleet.open()
            fleet.store.put(
                "op", "config", build_fleet_configuration(limits=client_limits)
            )
            for number in range(24):
                service = "events" if number % 2 else "bodies"
                server = ServerStandin(incarnation=f"s{number}", service=service)
                server.script = scripts[service]
                await fleet.add_server(server)
            for name, port in zip(names, ports, strict=True):
                await fleet.start_node(name, limits=limits, metrics_port=port)
            for name in names:
                await fleet.wait_ready(name)
            await fleet.wait_coordinator()
            yield fleet, ports[0]
        finally:
            await fleet.close()


@contextlib.contextmanager
def reserve_port():
    """Reserve a free port of loopback, on which a node can listen."""
    with socket.socket() as reserved:
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        yield reserved.getsockname()[1]


async def read_metrics(port):
    """Return the node's metrics by name and labels."""
    url = f"http://127.0.0.1:{port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        lines = (await answer.text()).splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    return {name: float(value) for name, value in pairs}


def list_events(fleet, name, *, node="n1"):
    lines = [json.loads(line) for line in fleet.read_log(node).splitlines()]
    return [line for line in lines if line["name"] == name]
