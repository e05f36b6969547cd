"""A fleet of real instances in virtual time, in one process."""

import asyncio
import collections
import gc
import logging

import aiohttp
import msgspec
import yaml
from aiohttp import web

from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.platform.names import ORDER_PATH, REPORT_PATH
from arbutuspulley.platform.settings import read_settings
from arbutuspulley.programs.node import serve
from arbutuspulley.simulation import (
    Network,
    Party,
    VirtualLoop,
    get_party,
    simulate_sources,
)
from arbutuspulley.standins.fleet_server import DEFAULT_VERSION, ServerStandin
from arbutuspulley.standins.fleet_store import StoreStandin
from scripts.platform_testbed import build_configuration, send_request

HOST = "127.0.0.1"
LISTENERS = ("Frontend", "Ready", "ControlPlane", "DirectoryService")

DELAY_S = 0.05
"""Time before a server's answer begins, in s."""

SLOTS = 8
"""Room of a model server: number of requests that it runs at a time."""

CLOSING_S = 0.02
"""Time within which a server notices that a connection is closed, in s: another
instance may be granted the slot earlier."""

LAPSE_S = 2.4
"""Time after a crash at which the row of a server is removed, in s."""

DRAIN_S = 2.0
"""Time for which a server announces in its row that it leaves, in s."""

LEAVING_S = 0.3
"""Time for which a server goes on serving after its row was removed, in s."""

ANNOUNCE_S = 0.5
"""Time after the store came back at which servers write their rows again, in s."""

ANSWER_TIMEOUT_S = 6
"""How long a caller waits for an answer, in s."""


class _Recorder(logging.Handler):
    """Keeps the events of all instances, in order."""

    def __init__(self, fleet):
        super().__init__()
        self._fleet = fleet

    def emit(self, record):
        party = get_party()
        self._fleet.events.append(
            (
                round(self._fleet.now_s * 1_000, 3),
                party.name if party else "",
                record.getMessage(),
                getattr(record, "event_fields", {}),
            )
        )


class VirtualFleet:
    """The store, servers and instances of one simulation.

    :param folder: directory for settings files.
    :ivar pause_s: time between two events of a stream of servers that start, in s.
    :ivar settings: further fields of the settings files of instances that start.
    :ivar bounds: bounds of the platform for instances that start.
    :ivar learns_server_speeds: whether instances that start learn servers' speeds.
    :ivar speeds: speeds of servers by name, relative to the others; 1 if absent.
    :ivar crowded: when a model server ran more requests than its room, in s, its name
        and the number of requests.
    """

    def __init__(self, folder, *, loop, network):
        self.folder = folder
        self.loop = loop
        self.network = network
        self.store = StoreStandin()
        self.events = []
        self.guilty_crashes = []
        self.pause_s = 0.05
        self.settings = {}
        self.bounds = {}
        self.learns_server_speeds = False
        self.speeds = {}
        self.crowded = []
        self._leaving = set()
        self._left = set()
        self._all_servers = []
        self._options = {}
        self.servers = {}
        self.instances = {}
        self.addresses = {}
        self.parties = {}
        self._starts = 0
        self._started_s = loop.time()

    @property
    def now_s(self):
        """Virtual time since the start, in s."""
        return self.loop.time() - self._started_s

    async def open(self, *, servers=6):
        """Start the store, servers with a model, and two plain ones."""
        party = self._add_party("store")
        self._store_address = await self._listen(self.store.handle, party)
        self.store.put("op", "config", build_configuration(1))
        for number in range(servers):
            await self.start_server(f"e{number}", service="llm", models=("m0",))
        for number in range(2):
            await self.start_server(f"p{number}", service="plain")

    async def start_server(
        self,
        name,
        *,
        port=0,
        incarnation=None,
        version=DEFAULT_VERSION,
        **options,
    ):
        """Start a server and register it.

        :param version: version of its software.
        """
        party = self._add_party(name)
        server = ServerStandin(incarnation=incarnation or name, **options)
        server.version = version
        server.address = await self._listen(
            self._watch_room(name, server), party, port=port
        )
        server.on_break = lambda: self._crash_by_request(name)
        self.servers[name] = server
        self.set_speed(name, self.speeds.get(name, 1.0))
        self._all_servers.append(server)
        self._options[name] = {"version": version, **options}
        self.store.put("servers", server.incarnation, server.describe())

    def set_speed(self, name, speed):
        """Let a server answer faster or slower than others, also after a restart.

        :param speed: 1: as fast as the others.
        """
        self.speeds[name] = speed
        server = self.servers[name]
        server.delay_s, server.pause_s = DELAY_S / speed, self.pause_s / speed

    def _watch_room(self, name, server):
        """Return a server's handler that notes when it has more than its room.

        Requests whose connection closes within :data:`CLOSING_S` don't count.
        """
        running = {}

        def check():
            count = sum(_is_open(one) for one in running.values())
            if count > SLOTS:
                self.crowded.append((self.now_s, name, count))

        async def handle(request):
            if not server.models or request.path in (REPORT_PATH, ORDER_PATH):
                return await server.handle(request)
            running[id(request)] = request
            if len(running) > SLOTS:
                self.run_later(CLOSING_S, check)
            try:
                return await server.handle(request)
            finally:
                del running[id(request)]

        return handle

    def _crash_by_request(self, name):
        self.guilty_crashes.append(self.now_s)
        self.crash(name)

    def count_runs(self, attempt):
        """Return how often servers ran a request."""
        return sum(server.runs[attempt] for server in self._all_servers)

    def list_arrivals(self):
        """Return when each request arrived at a server, in s, and its attempt id."""
        return [
            (at - self._started_s, attempt)
            for server in self._all_servers
            for at, attempt in zip(server.arrivals, server.attempts, strict=True)
        ]

    def count_arrivals(self):
        """Return how many requests arrived at each server, by its name."""
        counts = collections.Counter()
        for server in self._all_servers:
            counts[server.incarnation.partition(".")[0]] += len(server.arrivals)
        return counts

    def list_model_arrivals(self):
        """Return when requests arrived at each model server, in s, by its name."""
        arrivals = {}
        for server in self._all_servers:
            if server.models:
                # Each start of a server has an incarnation of its own.
                times = arrivals.setdefault(server.incarnation.partition(".")[0], [])
                times += [at - self._started_s for at in server.arrivals]
        return arrivals

    def crash(self, name, *, down_s=1.2):
        """Crash a server; after a while it starts again at its address."""
        if self.parties[name].is_dead:
            return
        self.loop.kill(self.parties[name])
        server = self.servers[name]
        self.run_later(LAPSE_S, self.store.remove, "servers", server.incarnation)
        self.run_later(down_s, self._restart, name)

    def _restart(self, name):
        if name in self._leaving:
            return
        self._starts += 1
        port = int(self.servers[name].address.rpartition(":")[2])
        crashing = self.servers[name].crashing_parts
        incarnation = f"{name}.{self._starts}"

        async def start():
            await self.start_server(
                name, port=port, incarnation=incarnation, **self._options[name]
            )
            self.servers[name].crashing_parts = crashing

        asyncio.get_running_loop().create_task(start())

    def list_serving(self, version):
        """Return the servers of a version that run models and don't leave."""
        return [
            name
            for name, server in self.servers.items()
            if server.service == "llm"
            and server.version == version
            and name not in self._leaving
            and not self.parties[name].is_dead
        ]

    def drain(self, name):
        """Let a server announce that it leaves, and leave."""
        self._leaving.add(name)
        self._announce(name)
        self.run_later(DRAIN_S, self._remove, name)
        self.run_later(DRAIN_S + LEAVING_S, self.loop.kill, self.parties[name])

    def _remove(self, name):
        self._left.add(name)
        self.store.remove("servers", self.servers[name].incarnation)

    def _announce(self, name):
        """Write a server's row, as servers do from time to time."""
        if not self._is_registered(name):
            return
        server = self.servers[name]
        state = "draining" if name in self._leaving else "ready"
        self.store.put("servers", server.incarnation, server.describe(state=state))

    def _is_registered(self, name):
        return name not in self._left and not self.parties[name].is_dead

    async def roll_back(self, for_s, copy):
        """Let the store be away for some time, and come back from an older copy."""
        await self.store.leave(for_s, copy=copy)
        await asyncio.sleep(ANNOUNCE_S)
        for name in self.servers:
            self._announce(name)
        await asyncio.sleep(LAPSE_S)
        registered = [
            server for name, server in self.servers.items() if self._is_registered(name)
        ]
        for server in self._all_servers:
            if server not in registered:
                self.store.remove("servers", server.incarnation)

    def start_instance(self, name, **bounds):
        """Start an instance, at the addresses that it had before."""
        if name not in self.addresses:
            self.addresses[name] = {
                listener: f"{HOST}:{self.network.find_port()}" for listener in LISTENERS
            }
        settings = {
            "NodeName": name,
            "Zone": "hall-a",
            "Region": "riga",
            "Listen": self.addresses[name],
            "Seeds": [],
            "Bounds": {
                "GraceS": 3,
                "LeaseMs": 1_500,
                "RequireFencing": True,
                **self.bounds,
                **bounds,
            },
            "Platform": {"Address": self._store_address},
            **self.settings,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        party = self._add_party(name)
        self.instances[name] = self.loop.create_task(
            serve(
                self._read_settings(path),
                path,
                read=self._read_settings,
                metrics=NodeMetrics(),
                metrics_port=0,
                listen=self._open_client_listener,
            ),
            context=party.build_context(),
            name=name,
        )

    def _read_settings(self, path):
        return msgspec.structs.replace(
            read_settings(path), learns_server_speeds=self.learns_server_speeds
        )

    def kill(self, name):
        """Kill an instance."""
        self.loop.kill(self.parties[name])

    def find_coordinator(self):
        """Return the instance that took the lease last."""
        return [event[1] for event in self.events if event[2] == "lease_taken"][-1]

    def list_events(self, name):
        """Return the events of a name."""
        return [event for event in self.events if event[2] == name]

    async def ask(self, session, name, path, *, attempt, model="", body=b"", **headers):
        """Send a request through an instance.

        :return: status and body; status 0 if no connection was opened, and ``None``
            if it broke off.
        :raises TimeoutError: if there is no answer within :data:`ANSWER_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, body, _ = await send_request(
                    session,
                    self.addresses[name]["Frontend"],
                    path,
                    attempt=attempt,
                    model=model,
                    body=body,
                    **headers,
                )
                return status, body
        except aiohttp.ClientConnectorError:
            return 0, b""
        except (aiohttp.ClientError, ConnectionError):
            return None

    def run_later(self, delay_s, function, *args):
        """Call a function later, whatever happens to the parties."""
        self.loop.call_later(delay_s, function, *args, context=self.build_context())

    def build_context(self):
        """Return a context that belongs to none of the parties."""
        return Party(name="world").build_context()

    def _add_party(self, name):
        self.parties[name] = Party(name=name)
        return self.parties[name]

    async def _open_client_listener(self, *, address, server, clients):
        def build():
            server.pool.count += 1
            return server()

        host, _, port = address.rpartition(":")
        return await self.loop.create_server(build, host, int(port))

    async def _listen(self, handler, party, *, port=0):
        def factory():
            return web.Server(handler, access_log=None)

        context = party.build_context()
        server = context.run(factory)
        listener = context.run(self.network.listen, server, (HOST, port))
        return f"{HOST}:{listener.address[1]}"


def _is_open(request):
    return request.transport is not None and not request.transport.is_closing()


def run_fleet(folder, scenario, *, seed, servers=6):
    """Run a scenario on a fleet, and return the fleet after it.

    :param scenario: coroutine function that takes the fleet and a caller's session.
    :param servers: number of servers with a model.
    """
    network = Network(seed=seed)
    loop = VirtualLoop(network=network)
    fleet = VirtualFleet(folder, loop=loop, network=network)
    logger = logging.getLogger("arbutuspulley")
    # The stand-ins' own connections break when they crash.
    logging.getLogger("aiohttp.server").disabled = True
    recorder = _Recorder(fleet)
    level = logger.level
    logger.addHandler(recorder)
    logger.setLevel(logging.INFO)

    async def run():
        await fleet.open(servers=servers)
        async with aiohttp.ClientSession() as session:
            await scenario(fleet, session)

    asyncio.set_event_loop(loop)
    try:
        with simulate_sources(loop, seed=seed):
            loop.run_until_complete(
                loop.create_task(run(), context=Party(name="callers").build_context())
            )
    finally:
        logger.removeHandler(recorder)
        logger.setLevel(level)
        logging.disable(logging.CRITICAL)
        loop.dispose()
        # What is collected later would log what it finds unclosed.
        gc.collect()
        logging.disable(logging.NOTSET)
        logging.getLogger("aiohttp.server").disabled = False
        asyncio.set_event_loop(None)
    return fleet
