"""A fleet whose backend servers crash under a request and start again."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from arbutuspulley.standins.fleet_server import ServerStandin
from scripts.platform_testbed import send_request
from tests.cut_fleet import CutFleet

POISON = b"poison"
"""Body of a request that crashes the servers that run it."""

POISON_PART, OTHER_POISON_PART = "bad0", "bad1"
"""Ids of parts of prompts that crash the servers that answer a request with them."""

CRASH_DELAY_S = 0.1
"""Time for which a server runs such a request before it crashes, in s."""

LAPSE_S = 2.4
"""Time after a crash at which the row of the server is removed, in s."""


class CrashFleet(CutFleet):
    """A fleet whose servers crash under :data:`POISON`.

    They also crash under a prompt that has :data:`POISON_PART`, or the other one, after
    ``events_before_crash`` events of its answer. A server that crashes resets all its
    connections and refuses new ones. After a while it starts at the same address as
    another incarnation.

    :param down_s: time from a crash to the next start, in s.
    """

    def __init__(self, folder, *, down_s):
        super().__init__(folder)
        self._down_s = down_s
        self._handlers = {}
        self._starts = 0
        self._tasks = []
        self.events_before_crash = 0
        # Time of each crash, in s of the event loop's clock.
        self.crashes = []

    async def add_server(self, server):
        """Start a server and register it."""
        self.servers.append(server)
        await self._start(server)

    async def add_servers(self, names, **options):
        """Start some servers; the options are those of :class:`ServerStandin`."""
        for name in names:
            await self.add_server(ServerStandin(incarnation=name, **options))

    def crash(self, server):
        """Crash a server that is running."""
        if server not in self._handlers:
            return
        self.crashes.append(asyncio.get_running_loop().time())
        handler, listener = self._handlers.pop(server)
        listener.close()
        for connection in list(handler.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._tasks.append(asyncio.create_task(self._restart(server)))

    async def _restart(self, server):
        loop = asyncio.get_running_loop()
        loop.call_later(LAPSE_S, self.store.remove, "servers", server.incarnation)
        await asyncio.sleep(self._down_s)
        self._starts += 1
        server.incarnation = f"{server.incarnation.partition('.')[0]}.{self._starts}"
        await self._start(server)

    async def _start(self, server):
        host, _, port = (server.address or "127.0.0.1:0").partition(":")
        handler = web.Server(server.handle, access_log=None)
        listener = await asyncio.get_running_loop().create_server(
            handler, host, int(port)
        )
        server.address = f"{host}:{listener.sockets[0].getsockname()[1]}"
        server.crashes_on = POISON
        server.crashing_parts = frozenset((POISON_PART, OTHER_POISON_PART))
        server.events_before_crash = self.events_before_crash
        server.crash_delay_s = CRASH_DELAY_S
        server.on_break = lambda: self.crash(server)
        self._handlers[server] = handler, listener
        self.store.put("servers", server.incarnation, server.describe())

    async def ask(self, session, name, path, *, attempt, body, model="", **headers):
        """Send a request through a node; ``None`` if it broke off."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, ConnectionError):
            async with asyncio.timeout(6):
                status, _, _ = await send_request(
                    session,
                    self.addresses[name]["Frontend"],
                    path,
                    attempt=attempt,
                    body=body,
                    model=model,
                    **headers,
                )
                return status
        return None

    async def close(self):
        """Kill all nodes and stop all servers."""
        for task in self._tasks:
            task.cancel()
        await super().close()
        for _, listener in self._handlers.values():
            listener.close()
