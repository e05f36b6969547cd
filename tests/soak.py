"""A randomized soak of the real programs.

Nodes run as processes of their own; the platform's store and the backend servers are
stand-ins in this process. A plan that depends on the seed alone injects faults from
outside: signals, a proxy between each node and the store, a store that misbehaves and
comes back from copies, servers that leave, refuse, break off, fall silent or are
brittle, nodes that reach no server, answers too many and heads of answers that end
early, odd rows, versions that join while a node is out of touch, crowds of clients that
keep to no limit. Callers keep using
open connections; some speak HTTP/1.0 and get answers without chunks; some resume
streams at other nodes while servers of two software versions serve, also after all
nodes were killed at the same moment. The promises are checked from what callers and
servers see.

``power.txt`` beside the logs tells how many streams went on after each power failure,
and ``joins.txt`` how many did as a version had joined.

Run it with ``python -m tests.soak --seed 1 --minutes 1 --processes 4``.
"""

import asyncio
import contextlib
import functools
import itertools
import random
import re
import signal
import sys
import tempfile
import time
from math import inf
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import cyclopts

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State, Value
from arbutuspulley.ports.answers import Framing
from arbutuspulley.standins.fleet_server import DEFAULT_VERSION, ServerStandin
from arbutuspulley.standins.scripted_answer import AnswerScript
from scripts.platform_testbed import (
    FULL_STREAM,
    build_configuration,
    build_route,
    send_request,
    wait_until,
)
from tests.cut_fleet import CutFleet
from tests.faulty_servers import build_odd_rows
from tests.proxy import Direction, FaultProxy
from tests.raw_callers import ask_raw
from tests.retry_rule import find_excess, list_retries
from tests.soak_answers import disturb_answers
from tests.soak_crowds import LIMITS, send_crowd
from tests.soak_joins import (
    Join,
    add_servers,
    build_join_route,
    build_join_service,
    play_join,
)
from tests.soak_plan import (
    ANSWER_FAULTS,
    CONTACT_S,
    CROWD_FAULTS,
    CUT_MODES,
    DRAIN_S,
    NODE_FAULTS,
    REACH_FAULTS,
    RECOVERY_S,
    STORE_FAULTS,
    Fault,
    build_last_failure,
    build_plan,
)
from tests.soak_power import (
    EARLY_ATTEMPTS,
    EARLY_PAUSE_S,
    EARLY_STEP,
    EVENT_PAUSE_S,
    STREAM_PAUSE_S,
    STREAMS,
    Outcome,
    PowerFailure,
    list_outages,
    list_served_versions,
    read_stream,
    wait_begun,
)
from tests.version_fleet import OTHER_VERSION, VersionedStream

APPLY_S = 2.0
"""Time after which calm nodes apply a configuration, in s."""

REWRITE_S = 1.5
"""Time after the store's return within which operator and servers write again, in s."""

HEARTBEAT_S = 0.5
"""Interval at which each server writes its row, in s: a copy lacks many versions."""

RETRY_RATIO, RETRY_EXTRA, RETRY_WINDOW_S = 0.2, 50, 10.0
"""Retry budget of each service; the nodes' settings have the same defaults."""

EXIT_S = 0.1
"""Time in which a process that a signal ends has ended, in s."""

STORM_KILLS = 3
"""How often all nodes are killed within a storm, in which all servers of a service
fail."""

NOTICED_S = 1.0
"""Time after a cut from which on callers are served all the same, in s."""

LEAST_RATIO = 2 / 3
ALLOWED_FAILURES = 10
"""Least ratio of what is served at nodes that reach no server to what is served at the
others, if more requests than these fail there."""

ODD_ROW_S = 10.0
"""How long odd rows are left in the table of servers, in s."""

LISTED_S = 3.0
"""Time after which calm nodes list a server that has joined, in s."""

SILENCE_S = 1.5
BRITTLE_REFUSALS = 2.0
ALLOWED_FALLS = 2

RESUMERS = 4
RESUME_ATTEMPTS = 3
RESUME_TIMEOUT_S = 3.0
"""Callers that resume streams, attempts at one stream, and the time for each, in s."""

STREAM_OF_OTHER_VERSION = re.sub(
    rb"(piece \d+)", rb"\1 by " + OTHER_VERSION.encode(), FULL_STREAM
)

CALLERS_PER_NODE = 3
CALL_PAUSE_S = 0.08
LEASE_MS = 3_000
GRACE_S = 3.0

REFUSED = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""

OLD_CALLER_FRACTION = 0.2
"""Fraction of the requests that are sent by HTTP/1.0, on connections of their own."""

REPEATABLE_PATHS = ("/sync/", "/v")
"""Paths of routes whose requests may run more than once."""

POWER_CALLER = "power"
"""Beginning of the attempt ids of callers whose streams a power failure breaks off."""

KINDS = (("/book/", ""), ("/sync/", ""), ("/chat/", "m0"), ("/chat/", "m1"))


def _build_torn_stream(server: ServerStandin, last_event: int) -> AnswerScript:
    """Return a stream whose server closes the connection inside its fourth event, or
    inside the next one of a caller who has that already.

    :param last_event: number of the last event that the caller has.
    """
    is_other = server.version == OTHER_VERSION
    stream = STREAM_OF_OTHER_VERSION if is_other else FULL_STREAM
    stream = stream[stream.index(b"id: %d\n" % (last_event + 1)) :]
    cut = stream.index(b"id: %d\n" % max(4, last_event + 1))
    before = max(0, cut - 3)
    return AnswerScript(
        parts=tuple(filter(None, (stream[:before], stream[before : cut + 7]))),
        pause_s=0.01,
        framing=Framing.CLOSE,
    )


class Call(State):
    """One request of a caller, and what became of it.

    :param node: name of the node that it was sent to.
    :param status: ``None`` if there was no complete answer.
    """

    attempt: str
    node: str
    path: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    body: bytes = b""


class BrokenPromise(Value, frozen=True):
    """A promise that did not hold.

    :param attempt: id of the request; empty: it concerns none.
    :param at: seconds from the start of the load.
    """

    promise: str
    attempt: str
    at: float
    detail: str


class Soak:
    """One run of the soak.

    :param folder: directory for settings and logs.
    """

    def __init__(self, *, seed: int, folder: Path, processes: int) -> None:
        self._rng = random.Random(f"{seed}-callers")
        self.fleet = CutFleet(folder)
        self.names = [f"n{number + 1}" for number in range(processes)]
        self.proxies: dict[str, FaultProxy] = {}
        self.calls: list[Call] = []
        self.streams: list[VersionedStream] = []
        self.broken: list[BrokenPromise] = []
        self._disturbances: dict[str, list[tuple[float, float]]] = {}
        self._drained_at: dict[str, float] = {}
        self._removed: set[str] = set()
        self._replaced: set[int] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._watches: set[asyncio.Task[None]] = set()
        self._version = 1
        self._numbers = itertools.count()
        self._begun_at = 0.0
        self._is_over = False
        self._copies: list[Any] = []
        self._cuts: list[tuple[frozenset[str], float, float]] = []
        self._last_failure = build_last_failure(seed)
        self._power = asyncio.Lock()
        self.failures: list[PowerFailure] = []
        self.joins: list[Join] = []
        self._join_count = 0
        self._joined: list[tuple[ServerStandin, float, float]] = []

    async def run(self, plan: list[Fault], *, seconds: float) -> list[BrokenPromise]:
        """Carry out a plan under load and return the broken promises."""
        self._join_count = sum(fault.kind == "version joins" for fault in plan)
        joins = itertools.count()
        with contextlib.ExitStack() as stack:
            try:
                await self._start(stack)
                async with aiohttp.ClientSession() as session:
                    callers = [
                        asyncio.create_task(self._keep_calling(session, name))
                        for name in self.names * CALLERS_PER_NODE
                    ]
                    callers += [
                        asyncio.create_task(self._keep_resuming(session, number))
                        for number in range(RESUMERS)
                    ]
                    writing = asyncio.create_task(self._keep_writing())
                    self._copies = [self.fleet.store.copy()]
                    for fault in plan:
                        await self._sleep_until(fault.at)
                        self._copies = [*self._copies[-3:], self.fleet.store.copy()]
                        number = next(joins) if fault.kind == "version joins" else 0
                        self._spawn(self._inject(session, fault, number))
                    await self._sleep_until(seconds - RECOVERY_S)
                    await asyncio.gather(*self._tasks)
                    await asyncio.sleep(max(RECOVERY_S, GRACE_S))
                    await self._check_recovery(session)
                    await self._fail_power(session, self._last_failure)
                    await asyncio.gather(*self._tasks)
                    self._is_over = True
                    await asyncio.gather(writing, *callers)
                self._check_calls()
                self._check_streams()
                self._check_failures()
                self._check_joins()
                self._check_joined()
                self._check_drains()
                self._check_fences()
                self._check_errors()
                self._check_retries()
                self._check_cuts()
                self._check_falls()
            finally:
                await self.fleet.close()
        return self.broken

    async def _start(self, stack: contextlib.ExitStack) -> None:
        await self.fleet.open()
        self._put_configuration()
        for number in (3, 4):
            for service, models in (("llm", ("m0", "m1")), ("plain", ())):
                name = f"{service[0]}x{number}"
                server = ServerStandin(incarnation=name, service=service, models=models)
                if models:
                    server.version = OTHER_VERSION
                await self.fleet.add_server(server)
        for name in self.names:
            proxy = FaultProxy(target=self.fleet.store_address)
            self.proxies[name] = stack.enter_context(proxy)
            await self._start_node(name)
        for name in self.names:
            await self.fleet.wait_ready(name)
        await self.fleet.wait_coordinator()
        await asyncio.sleep(CONTACT_S)
        self._begun_at = asyncio.get_running_loop().time()

    async def _start_node(self, name: str) -> None:
        seeds = tuple(one for one in self.names if one in self.fleet.addresses)[:2]
        await self.fleet.start_node(
            name,
            seeds=tuple(one for one in seeds if one != name),
            store=self.proxies[name].address,
            lease_ms=LEASE_MS,
            limits=LIMITS,
        )
        self._spawn_watch(name, self.fleet.nodes[name])

    def _spawn_watch(self, name: str, node: asyncio.subprocess.Process) -> None:
        watching = asyncio.create_task(self._watch(name, node))
        self._watches.add(watching)

    async def _watch(self, name: str, node: asyncio.subprocess.Process) -> None:
        """Check that no signal but those of the faults ends a node."""
        code = await node.wait()
        if code not in (0, -signal.SIGKILL, -signal.SIGHUP):
            self._break("processes run on", at=self._now, detail=f"{name}: {code}")

    @property
    def _shared_servers(self) -> list[ServerStandin]:
        """The servers of the services that callers use all the time."""
        return [one for one in self.fleet.servers if one.service in ("llm", "plain")]

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._begun_at + at - self._now))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    def _break(
        self, promise: str, *, attempt: str = "", at: float, detail: str
    ) -> None:
        self.broken.append(
            BrokenPromise(
                promise=promise,
                attempt=attempt,
                at=round(at - self._begun_at, 3),
                detail=detail,
            )
        )

    # Calls

    async def _keep_calling(self, session: aiohttp.ClientSession, name: str) -> None:
        while not self._is_over:
            path, model = self._rng.choice(KINDS)
            await self._call(session, name, path, model)
            await asyncio.sleep(CALL_PAUSE_S)

    async def _keep_resuming(self, session: aiohttp.ClientSession, number: int) -> None:
        """Read streams, and resume each that breaks off at another node."""
        rng = random.Random(f"{number}-resumes")
        while not self._is_over:
            stream = VersionedStream(attempt=f"r{number}-{next(self._numbers)}")
            self.streams.append(stream)
            for _ in range(RESUME_ATTEMPTS):
                address = self.fleet.addresses[rng.choice(self.names)]["Frontend"]
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RESUME_TIMEOUT_S):
                        await stream.read(session, address)
                if stream.is_complete or not stream.numbers:
                    break
            await asyncio.sleep(CALL_PAUSE_S)

    async def _call(
        self, session: aiohttp.ClientSession, name: str, path: str, model: str = ""
    ) -> Call:
        attempt = f"{name}-{next(self._numbers)}"
        call = Call(attempt=attempt, node=name, path=path, sent_at=self._now)
        self.calls.append(call)
        address = self.fleet.addresses[name]["Frontend"]
        try:
            async with asyncio.timeout(8):
                if self._rng.random() < OLD_CALLER_FRACTION:
                    await self._call_once(call, address, model)
                else:
                    call.status, call.body, _ = await send_request(
                        session, address, path, attempt=attempt, model=model
                    )
        except (
            aiohttp.ClientError,
            asyncio.IncompleteReadError,
            ConnectionError,
            TimeoutError,
        ) as error:
            call.body = type(error).__name__.encode()
        call.ended_at = self._now
        return call

    async def _call_once(self, call: Call, address: str, model: str) -> None:
        answer = await ask_raw(
            address, call.path, attempt=call.attempt, model=model, version="1.0"
        )
        if answer.looks_complete:
            call.status, call.body = answer.status, answer.body

    async def _keep_writing(self) -> None:
        """Write the rows of the servers that run, one after the other."""
        while not self._is_over:
            running = [
                one.incarnation
                for one in self.fleet.servers
                if one.incarnation not in self._removed
            ]
            for name in running:
                await asyncio.sleep(HEARTBEAT_S / len(running))
                if not (self.fleet.store.is_away or name in self._removed):
                    self._put_server(name)

    # Faults

    async def _inject(
        self, session: aiohttp.ClientSession, fault: Fault, number: int = 0
    ) -> None:
        """Inject a fault.

        :param number: of the service that a version joins.
        """
        name = self.names[fault.target % len(self.names)]
        if fault.kind in REACH_FAULTS:
            await self._disturb_reach(fault)
        elif fault.kind in NODE_FAULTS:
            with self._disturb(name):
                await self._disturb_node(name, fault)
        elif fault.kind in STORE_FAULTS:
            with self._disturb("store"):
                await self._disturb_store(fault)
        elif fault.kind == "change":
            await self._change_configuration(session)
        elif fault.kind == "drain":
            await self._drain_server(fault)
        elif fault.kind == "storm":
            await self._kill_all_while_servers_fail(fault)
        elif fault.kind == "power":
            await self._fail_power(session, fault)
        elif fault.kind == "release":
            await self._release_version(fault)
        elif fault.kind == "version joins":
            await self._join_version(session, fault, number)
        elif fault.kind == "odd row":
            await self._leave_odd_rows(session, fault)
        elif fault.kind in CROWD_FAULTS:
            await self._send_crowds(fault)
        elif fault.kind in ANSWER_FAULTS:
            with self._disturb("servers"):
                await disturb_answers(fault, self._list_ready_servers())
        else:
            with self._disturb("servers"):
                await self._disturb_server(fault)

    @contextlib.contextmanager
    def _disturb(self, what: str) -> Any:
        begun = self._now
        spans = self._disturbances.setdefault(what, [])
        spans.append((begun, float("inf")))
        index = len(spans) - 1
        try:
            yield
        finally:
            spans[index] = (begun, self._now)

    def _is_calm(self, what: str, *, begin: float, end: float) -> bool:
        spans = self._disturbances.get(what, ())
        return all(stop < begin or start > end for start, stop in spans)

    async def _disturb_node(self, name: str, fault: Fault) -> None:
        node, proxy = self.fleet.nodes[name], self.proxies[name]
        if node.returncode is not None:
            return
        if fault.kind in ("kill", "term"):
            node.send_signal(signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM)
            async with asyncio.timeout(GRACE_S + 10):
                code = await node.wait()
            if fault.kind == "term" and code not in (0, -signal.SIGKILL):
                self._break("stops with 0", at=self._now, detail=f"{name}: {code}")
            await self._replace_node(name, node)
            return
        if fault.kind == "hup":
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(EXIT_S)
            if node.returncode == -signal.SIGHUP:
                # It came before the interpreter had run the program's first line.
                await self._replace_node(name, node)
            return
        if fault.kind == "freeze":
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            if node.returncode is None:
                node.send_signal(signal.SIGCONT)
            return
        if fault.kind == "reset":
            await asyncio.to_thread(proxy.reset)
            return
        acts = {
            "cut": proxy.cut,
            "deafen": lambda: proxy.drop(Direction.TO_CLIENT),
            "mute": lambda: proxy.drop(Direction.TO_TARGET),
            "slow": lambda: proxy.delay(200),
        }
        await asyncio.to_thread(acts[fault.kind])
        await asyncio.sleep(fault.for_s)
        await asyncio.to_thread(proxy.heal)

    async def _disturb_reach(self, fault: Fault) -> None:
        if fault.kind == "silent":
            servers = self._shared_servers
            server = servers[fault.target % len(servers)]
            server.is_silent = True
            await asyncio.sleep(min(SILENCE_S, fault.for_s))
            server.is_silent = False
            return
        if fault.kind == "brittle":
            servers = [one for one in self.fleet.servers if one.service == "plain"]
            for server in servers:
                server.refusals_per_s = BRITTLE_REFUSALS
            await asyncio.sleep(fault.for_s)
            for server in servers:
                server.refusals_per_s = None
            return
        first = fault.target % len(self.names)
        count = 1 + fault.target % (len(self.names) - 1)
        if fault.kind == "coordinator alone":
            first, count = self.names.index(self.fleet.find_coordinator()), 1
        ring = [*self.names[first:], *self.names[:first]]
        cut = frozenset(ring[:count])
        with contextlib.ExitStack() as stack:
            for name in cut:
                stack.enter_context(self._disturb(f"links of {name}"))
            begun = self._now
            self.fleet.cut(cut, CUT_MODES[fault.kind])
            await asyncio.sleep(fault.for_s)
            self.fleet.heal(cut)
            self._cuts.append((cut, begun, self._now))
            # Requests on silent connections end by now.
            await asyncio.sleep(CONTACT_S)

    async def _send_crowds(self, fault: Fault) -> None:
        """Let a crowd come to one node, or to two."""
        first = fault.target % len(self.names)
        names = [*self.names[first:], *self.names[:first]][: 1 + fault.target % 2]
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(self._disturb(name))
            found = await asyncio.gather(
                *(send_crowd(self.fleet, name, fault) for name in names)
            )
            # Those of the crowd that are closed make room for callers.
            await asyncio.sleep(CONTACT_S)
        for name, exceeded in zip(names, found, strict=True):
            if exceeded:
                self._break(
                    "stays within its limits",
                    at=self._now,
                    detail=f"{name}, {fault.kind}: {exceeded}",
                )

    async def _replace_node(self, name: str, ended: asyncio.subprocess.Process) -> None:
        """Start a node again that has ended, once, however many faults wait for it."""
        if self.fleet.nodes[name] is ended and ended.pid not in self._replaced:
            self._replaced.add(ended.pid)
            async with self._power:
                await self._start_node(name)
            node = self.fleet.nodes[name]
            try:
                await self.fleet.wait_ready(name)
            except AssertionError:
                if self.fleet.nodes[name] is not node:
                    # Who has started it again meanwhile waits for it.
                    return
                if node.returncode == -signal.SIGHUP:
                    # It came before the interpreter had run the program's first line.
                    await self._replace_node(name, node)
                # Who killed it meanwhile starts it again.
                elif node.returncode != -signal.SIGKILL:
                    raise

    async def _kill_all_while_servers_fail(self, fault: Fault) -> None:
        service = ("llm", "plain")[fault.target % 2]
        servers = [one for one in self.fleet.servers if one.service == service]
        with contextlib.ExitStack() as stack:
            for what in ("servers", *self.names):
                stack.enter_context(self._disturb(what))
            for server in servers:
                server.fails = True
            for _ in range(STORM_KILLS):
                kill = Fault(at=fault.at, kind="kill", target=0, for_s=0.0)
                await asyncio.gather(
                    *(self._disturb_node(name, kill) for name in self.names)
                )
                await asyncio.sleep(fault.for_s)
            for server in servers:
                server.fails = False

    async def _fail_power(self, session: aiohttp.ClientSession, fault: Fault) -> None:
        """Kill all nodes at the same moment, and let callers take up their streams."""
        rng = random.Random(f"{fault.target}-{fault.for_s}")
        failure = PowerFailure(begun_at=self._now)
        servers = [*self.fleet.servers]
        with self._disturb(POWER_CALLER):
            streams = await self._break_streams(session, fault, failure, rng=rng)
            await asyncio.sleep(CONTACT_S)
            begun = [self._add_stream() for _ in streams]
            failure.taken_up, failure.begun = await asyncio.gather(
                self._read_all(session, streams, rng=rng),
                self._read_all(session, begun, rng=rng),
            )
        failure.ended_at = self._now
        failure.versions = list_served_versions(
            [one for one in servers if one.incarnation not in self._drained_at]
        )
        self.failures.append(failure)

    async def _break_streams(
        self,
        session: aiohttp.ClientSession,
        fault: Fault,
        failure: PowerFailure,
        *,
        rng: random.Random,
    ) -> list[VersionedStream]:
        """Kill all nodes while callers read streams, and start them again.

        :return: the streams that have begun and that no caller has taken up yet.
        """
        broken: list[VersionedStream] = []
        streams = [self._add_stream() for _ in range(STREAMS)]
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._slow_down_streams())
            reading = asyncio.create_task(self._read_all(session, streams, rng=rng))
            begun = await wait_begun(streams, rng=rng)
            failure.killed_at = self._now
            for name in self.names:
                stack.enter_context(self._disturb(name))
            for off_s, on_s in list_outages(fault):
                await self._cut_power(session, off_s)
                if not broken:
                    await reading
                    broken = [one for one in begun if not one.is_complete]
                    for stream in broken[::EARLY_STEP]:
                        self._spawn(self._take_up_early(session, stream))
                await asyncio.sleep(on_s)
        failure.ready_at = self._now
        early = broken[::EARLY_STEP]
        return [one for one in broken if one not in early]

    async def _cut_power(self, session: aiohttp.ClientSession, off_s: float) -> None:
        async with self._power:
            ended = dict(self.fleet.nodes)
            for node in ended.values():
                if node.returncode is None:
                    node.send_signal(signal.SIGKILL)
            await asyncio.gather(*(node.wait() for node in ended.values()))
            await asyncio.sleep(off_s)
        await asyncio.gather(
            *(self._replace_node(name, node) for name, node in ended.items())
        )

        await self._wait_ready(session)

    async def _wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until all nodes are ready at the same moment."""

        async def look() -> bool:
            return all(
                [await self.fleet.is_ready(session, name) for name in self.names]
            )

        while True:
            nodes = dict(self.fleet.nodes)
            try:
                await wait_until(look, "nodes that are ready after a power failure")
                return
            except AssertionError:
                # A storm that kills the nodes meanwhile starts them again.
                if self.fleet.nodes == nodes:
                    raise

    @contextlib.contextmanager
    def _slow_down_streams(self) -> Any:
        servers = [*self.fleet.servers]
        for server in servers:
            server.pause_s = STREAM_PAUSE_S
        try:
            yield
        finally:
            for server in servers:
                server.pause_s = EVENT_PAUSE_S

    def _add_stream(self) -> VersionedStream:
        stream = VersionedStream(attempt=f"{POWER_CALLER}-{next(self._numbers)}")
        self.streams.append(stream)
        return stream

    async def _read_all(
        self,
        session: aiohttp.ClientSession,
        streams: list[VersionedStream],
        *,
        rng: random.Random,
    ) -> list[Outcome]:
        return await asyncio.gather(
            *(
                self._read_at(session, stream, rng.choice(self.names))
                for stream in streams
            )
        )

    async def _read_at(
        self, session: aiohttp.ClientSession, stream: VersionedStream, name: str
    ) -> Outcome:
        address = self.fleet.addresses[name]["Frontend"]
        return await read_stream(stream, session, address, timeout_s=RESUME_TIMEOUT_S)

    async def _take_up_early(
        self, session: aiohttp.ClientSession, stream: VersionedStream
    ) -> None:
        rng = random.Random(stream.attempt)
        for _ in range(EARLY_ATTEMPTS):
            await self._read_at(session, stream, rng.choice(self.names))
            if stream.is_complete:
                break
            await asyncio.sleep(EARLY_PAUSE_S)

    async def _disturb_store(self, fault: Fault) -> None:
        store = self.fleet.store
        if fault.kind in ("copy", "away"):
            copy = self._copies[fault.target % len(self._copies)]
            await store.leave(fault.for_s, copy=copy if fault.kind == "copy" else None)
            if fault.kind == "copy":
                self._copies = []
                await self._write_again()
            return
        if fault.kind == "forget":
            store.discard_history()
            return
        changes: dict[str, Any] = {
            "refuse": ("is_down", True, False),
            "lose": ("loses_answers", True, False),
            "late": ("late_write_s", fault.for_s, None),
            "lag": ("delay_s", 0.2, 0.0),
        }
        field, value, normal = changes[fault.kind]
        setattr(store, field, value)
        await asyncio.sleep(fault.for_s)
        setattr(store, field, normal)

    async def _write_again(self) -> None:
        """Write what the operator and the servers had written, in any order."""
        # Running servers write their own rows.
        rows = [("op", "config"), *(("servers", name) for name in self._removed)]
        self._rng.shuffle(rows)
        for table, key in rows:
            await asyncio.sleep(REWRITE_S / len(rows))
            if table == "op":
                self._put_configuration()
            else:
                self._put_server(key)

    def _put_server(self, name: str, *, state: str = "ready") -> None:
        server = self.fleet.get_server(name)
        if name in self._removed:
            self.fleet.store.remove("servers", name)
            return
        if name in self._drained_at:
            state = "draining"
        row = {**server.describe(state=state), "Sequence": next(self._numbers)}
        self.fleet.store.put("servers", name, row)

    async def _disturb_server(self, fault: Fault) -> None:
        servers = self._shared_servers
        if fault.kind == "tear":
            servers = [one for one in servers if one.service == "llm"]
        server = servers[fault.target % len(servers)]
        changes: dict[str, Any] = {
            "shed": {"sheds": True, "rest_s": 0.5},
            "limit": {"limit_per_s": 5.0},
            "break": {"breaks_after": 3},
            "tear": {"script": functools.partial(_build_torn_stream, server)},
            "fail": {"fails": True},
            "orders": {"loses_order_answers": True},
        }[fault.kind]
        normal = {field: getattr(server, field) for field in changes}
        for field, value in changes.items():
            setattr(server, field, value)
        await asyncio.sleep(fault.for_s)
        for field, value in normal.items():
            setattr(server, field, value)

    def _list_ready_servers(self) -> list[ServerStandin]:
        return [
            one
            for one in self._shared_servers
            if one.incarnation not in self._drained_at
        ]

    async def _drain_server(self, fault: Fault) -> None:
        """Replace a server by one of any software version."""
        ready = self._list_ready_servers()
        old = ready[fault.target % len(ready)]
        version = OTHER_VERSION if next(self._numbers) % 2 else DEFAULT_VERSION
        await self._replace_server(old, version=version)

    async def _release_version(self, fault: Fault) -> None:
        """Replace all servers of one of two versions, or half of those of the only one,
        by servers of the other version."""
        engines = [one for one in self._list_ready_servers() if one.service == "llm"]
        versions = sorted({one.version for one in engines})
        version = versions[fault.target % len(versions)]
        leaving = [one for one in engines if one.version == version]
        if len(versions) == 1:
            leaving = leaving[::2]
        other = DEFAULT_VERSION if version == OTHER_VERSION else OTHER_VERSION
        await asyncio.gather(
            *(self._replace_server(one, version=other) for one in leaving)
        )

    def _list_servers_of(self, service: str) -> list[ServerStandin]:
        return [one for one in self.fleet.servers if one.service == service]

    async def _leave_odd_rows(
        self, session: aiohttp.ClientSession, fault: Fault
    ) -> None:
        """Let another writer leave odd rows, and a server join beside them."""
        store, key = self.fleet.store, f"odd-{next(self._numbers)}"
        while store.is_away or store.is_down:
            await asyncio.sleep(0.05)
        await self._wait_ready(session)
        plain = self._list_servers_of("plain")
        rows = build_odd_rows(plain[0], fault.target)
        for index, row in enumerate(rows):
            store.put("servers", f"{key}-{index}", row)
        ready = [one for one in self._list_ready_servers() if not one.models]
        replaced = asyncio.create_task(
            self._replace_server(ready[0], version=DEFAULT_VERSION)
        )
        await asyncio.sleep(ODD_ROW_S)
        await replaced
        for index in range(len(rows)):
            store.remove("servers", f"{key}-{index}")

    async def _join_version(
        self, session: aiohttp.ClientSession, fault: Fault, number: int
    ) -> None:
        await add_servers(self.fleet, number, is_first=True)
        await asyncio.sleep(CONTACT_S)
        first = fault.target % len(self.names)
        if fault.target % 2:
            first = self.names.index(self.fleet.find_coordinator())
        names = [*self.names[first:], *self.names[:first]]
        await self._wait_ready(session)
        with self._disturb(names[0]):
            join, streams = await play_join(
                self.fleet, session, fault, number=number, names=names
            )
        self.joins.append(join)
        self.streams += streams
        for server in self._list_servers_of(f"join{number}"):
            self._removed.add(server.incarnation)
            self._put_server(server.incarnation)

    async def _replace_server(self, old: ServerStandin, *, version: str) -> None:
        """Replace a server: a new one registers, the old one drains and goes.

        :param version: version of the new server's software, if it runs models.
        """
        number = next(self._numbers)
        new = ServerStandin(
            incarnation=f"{old.service[0]}y{number}",
            service=old.service,
            models=("m0", "m1") if old.service == "llm" else (),
        )
        if new.models:
            new.version = version
        await self.fleet.add_server(new)
        self._joined.append((new, self._now, time.time() * SECOND_MS))
        await asyncio.sleep(1.0)
        store = self.fleet.store
        while store.is_away or store.is_down:
            await asyncio.sleep(0.05)
        self._put_server(old.incarnation, state="draining")
        self._drained_at[old.incarnation] = self._now
        await asyncio.sleep(DRAIN_S + 1.5)
        self._removed.add(old.incarnation)
        self._put_server(old.incarnation)

    def _put_configuration(self) -> None:
        routes = tuple(
            build_route(f"/v{number}/", "plain", "safe")
            for number in range(2, self._version + 1)
        )
        joins = range(self._join_count)
        routes += tuple(map(build_join_route, joins))
        body = build_configuration(self._version, routes=routes)
        engine = body["Services"][0]["Engine"]
        body["Services"] += [build_join_service(number, engine) for number in joins]
        self.fleet.store.put("op", "config", body)

    async def _change_configuration(self, session: aiohttp.ClientSession) -> None:
        """Add a route, and check that each calm node serves it in time."""
        store = self.fleet.store
        while store.is_away or store.is_down:
            await asyncio.sleep(0.05)
        self._version += 1
        path, written_at = f"/v{self._version}/", self._now
        self._put_configuration()
        await asyncio.sleep(APPLY_S)
        for name in self.names:
            call = await self._call(session, name, path)
            window = {"begin": written_at - CONTACT_S, "end": call.ended_at}
            if not all(self._is_calm(what, **window) for what in (name, "store")):
                continue
            if call.status in (404, None):
                self._break(
                    "a change is active in time",
                    attempt=call.attempt,
                    at=call.sent_at,
                    detail=f"{path} at {name}: {call.status} {call.body!r}",
                )

    # Promises

    async def _check_recovery(self, session: aiohttp.ClientSession) -> None:
        for name, (path, model) in itertools.product(self.names, KINDS):
            call = await self._call(session, name, path, model)
            if call.status != 200:
                self._break(
                    "everything is served again",
                    attempt=call.attempt,
                    at=call.sent_at,
                    detail=f"{path} at {name}: {call.status} {call.body!r}",
                )
        for name, node in self.fleet.nodes.items():
            if node.returncode is not None:
                self._break("processes run on", at=self._now, detail=name)

    def _count_runs(self, attempt: str) -> int:
        return sum(server.runs[attempt] for server in self.fleet.servers)

    def _check_calls(self) -> None:
        reached = {
            attempt for server in self.fleet.servers for attempt in server.attempts
        }
        for call in self.calls:
            detail = f"{call.path} at {call.node}: {call.status} {call.body[:80]!r}"
            runs = self._count_runs(call.attempt)
            is_repeatable = call.path.startswith(REPEATABLE_PATHS)
            checks = {
                "whole answers": call.status != 200 or self._is_whole(call),
                "unrepeatable requests run once": is_repeatable or runs <= 1,
                "refused requests have not run": (
                    is_repeatable or call.status not in REFUSED or not runs
                ),
                "requests are not cut off": not self._is_cut_off(call, reached),
            }
            for promise, holds in checks.items():
                if not holds:
                    self._break(
                        promise, attempt=call.attempt, at=call.sent_at, detail=detail
                    )

    def _check_streams(self) -> None:
        for stream in self.streams:
            checks = {
                "streams are of one version": not stream.is_mixed,
                "streams go on after their last event": (
                    stream.numbers == list(range(1, len(stream.numbers) + 1))
                ),
            }
            for promise, holds in checks.items():
                if not holds:
                    detail = f"{stream.numbers} {stream.versions} {stream.statuses}"
                    self._break(
                        promise,
                        attempt=stream.attempt,
                        at=self._begun_at,
                        detail=detail,
                    )

    def _check_failures(self) -> None:
        """Check that streams go on after power failures."""
        with (self.fleet.folder / "power.txt").open("w") as log:
            for failure in self.failures:
                is_calm = self._is_failure_calm(failure)
                at = failure.killed_at - self._begun_at
                calm = "calm" if is_calm else "not calm"
                log.write(f"{at:.3f} s, {calm}: {failure.describe()}\n")
                loss = failure.describe_loss()
                if is_calm and loss:
                    self._break(
                        "streams go on after a power failure",
                        at=failure.killed_at,
                        detail=loss,
                    )

    def _check_joins(self) -> None:
        """Check that streams go on at nodes in touch after a version has joined."""
        with (self.fleet.folder / "joins.txt").open("w") as log:
            for join in self.joins:
                window = {"begin": join.begun_at - CONTACT_S, "end": join.ended_at}
                calm = [
                    name
                    for name in self.names
                    if self._is_calm(name, **window)
                    and self._is_calm(f"links of {name}", **window)
                    and self._is_calm("store", **window)
                ]
                at = join.begun_at - self._begun_at
                log.write(f"{at:.3f} s, calm: {calm}, {join.describe()}\n")
                loss = join.describe_loss(calm)
                if loss:
                    self._break(
                        "streams go on after a version has joined",
                        at=join.begun_at,
                        detail=loss,
                    )

    def _check_joined(self) -> None:
        """Check that calm nodes list servers that have joined."""
        for server, joined_at, joined_ms in self._joined:
            window = {"begin": joined_at - CONTACT_S, "end": joined_at + LISTED_S}
            for name in self.names:
                calm = all(self._is_calm(what, **window) for what in ("store", name))
                listed = self.fleet.list_times(
                    name, "server_listed", server=server.incarnation
                )
                if calm and min(listed, default=inf) > joined_ms + LISTED_S * SECOND_MS:
                    self._break(
                        "servers that join are listed",
                        at=joined_at,
                        detail=f"{server.incarnation} at {name}",
                    )

    def _is_failure_calm(self, failure: PowerFailure) -> bool:
        """Return whether nothing but the failure disturbed its streams."""
        begin, end = failure.begun_at - CONTACT_S, failure.ended_at
        links = (f"links of {name}" for name in self.names)
        calm = ("store", "servers", *links)
        if not all(self._is_calm(what, begin=begin, end=end) for what in calm):
            return False
        # The failure itself disturbs the nodes between these two spans.
        spans = ((begin, failure.killed_at - 0.001), (failure.ready_at + 0.001, end))
        return all(
            self._is_calm(name, begin=start, end=stop)
            for name in self.names
            for start, stop in spans
        )

    def _is_whole(self, call: Call) -> bool:
        if call.path.startswith("/chat/"):
            return call.body in (FULL_STREAM, STREAM_OF_OTHER_VERSION)
        return call.body == b"done:"

    def _is_cut_off(self, call: Call, reached: set[str]) -> bool:
        """Return whether a request that reached a sound server got no answer.

        A node that was killed, frozen or otherwise disturbed is excused; one that was
        told to stop is not.
        """
        if call.status is not None or call.attempt not in reached:
            return False
        window = {"begin": call.sent_at - CONTACT_S, "end": call.ended_at}
        links = (f"links of {name}" for name in self.names)
        calm = (call.node, "servers", *links)
        return all(self._is_calm(what, **window) for what in calm)

    def _check_drains(self) -> None:
        for server in self.fleet.servers:
            drained_at = self._drained_at.get(server.incarnation)
            if drained_at is None:
                continue
            arrivals = zip(server.arrivals, server.attempts, strict=True)
            for at, attempt in arrivals:
                node = attempt.partition("-")[0]
                late_s = at - drained_at - DRAIN_S
                begin = min(drained_at, at) - CONTACT_S
                is_calm = all(
                    self._is_calm(what, begin=begin, end=at) for what in (node, "store")
                )
                if late_s > 0 and is_calm:
                    self._break(
                        "leaving servers get nothing more",
                        attempt=attempt,
                        at=at,
                        detail=f"{server.incarnation}: {late_s:.3f} s too late",
                    )

    def _check_retries(self) -> None:
        for service in ("llm", "plain"):
            arrivals = [
                pair
                for server in self.fleet.servers
                if server.service == service
                for pair in zip(server.arrivals, server.attempts, strict=True)
            ]
            requests = [
                call.sent_at
                for call in self.calls
                if call.path.startswith("/chat/") == (service == "llm")
            ]
            excess = find_excess(
                sorted(requests),
                list_retries(arrivals),
                ratio=RETRY_RATIO,
                extra=RETRY_EXTRA,
                window=RETRY_WINDOW_S,
            )
            if excess is not None and excess.is_broken:
                self._break(
                    "retries stay within the budget",
                    at=excess.at,
                    detail=f"{service}: {excess}",
                )

    def _check_cuts(self) -> None:
        """Check that callers of nodes that reach no server are served like others."""
        for cut, begun, ended in self._cuts:
            window = {"begin": begun - CONTACT_S, "end": ended}
            calm = ("store", "servers", *self.names)
            if not all(self._is_calm(what, **window) for what in calm):
                continue
            served: dict[bool, list[bool]] = {True: [], False: []}
            for call in self.calls:
                if begun + NOTICED_S <= call.sent_at < ended:
                    served[call.node in cut].append(call.status == 200)
            there, others = served[True], served[False]
            failed = there.count(False)
            if failed <= ALLOWED_FAILURES or not others:
                continue
            if sum(there) / len(there) < LEAST_RATIO * sum(others) / len(others):
                self._break(
                    "callers of nodes that reach no server are served",
                    at=begun,
                    detail=f"{sorted(cut)}: {sum(there)} of {len(there)}, others"
                    f" {sum(others)} of {len(others)}",
                )

    def _check_falls(self) -> None:
        falls = sum(server.falls for server in self.fleet.servers)
        if falls > ALLOWED_FALLS:
            self._break("brittle servers stand", at=self._now, detail=f"{falls} falls")

    def _check_errors(self) -> None:
        """Check that nodes have met no error that nothing in them expects."""
        for name in self.names:
            errors = self.fleet.read_log(name).count('"name":"internal_error"')
            if errors:
                self._break(
                    "nodes meet no internal errors",
                    at=self._now,
                    detail=f"{name}: {errors}",
                )

    def _check_fences(self) -> None:
        holders: dict[str, set[str]] = {}
        for name in self.names:
            log = self.fleet.read_log(name)
            started = log.split('"name":"started"')
            for boot, part in enumerate(started):
                for line in part.splitlines():
                    if '"name":"lease_taken"' in line:
                        fence = line.partition('"fence":')[2].partition(",")[0]
                        holders.setdefault(fence, set()).add(f"{name}, start {boot}")
        for fence, names in holders.items():
            if len(names) > 1:
                self._break(
                    "a fence has one holder",
                    at=self._now,
                    detail=f"{fence}: {sorted(names)}",
                )


async def run_soak(
    folder: Path, *, seed: int, seconds: float, processes: int
) -> list[BrokenPromise]:
    """Run the soak with one seed and return the broken promises."""
    soak = Soak(seed=seed, folder=folder, processes=processes)
    return await soak.run(build_plan(seed, seconds=seconds), seconds=seconds)


app = cyclopts.App(name="soak", help="Soak the real programs with random faults.")


@app.default
def run(
    *,
    seed: Annotated[int, cyclopts.Parameter(help="First seed.")] = 1,
    seeds: Annotated[int, cyclopts.Parameter(help="Number of seeds.")] = 1,
    minutes: Annotated[float, cyclopts.Parameter(help="Duration of each seed.")] = 1,
    processes: Annotated[int, cyclopts.Parameter(help="Number of nodes.")] = 4,
    logs: Annotated[Path | None, cyclopts.Parameter(help="Keeps logs here.")] = None,
) -> None:
    """Run some seeds and print each broken promise; exit 1 if there is any."""
    has_failed = False
    for number in range(seed, seed + seeds):
        folder = (logs or Path(tempfile.mkdtemp())) / f"seed-{number}"
        if folder.exists():
            # Logs of two runs would be taken for one.
            sys.exit(f"soak: {folder} exists; choose another --logs")
        folder.mkdir(parents=True)
        broken = asyncio.run(
            run_soak(folder, seed=number, seconds=60 * minutes, processes=processes)
        )
        print(f"seed {number}: {len(broken)} broken promises; logs in {folder}")
        for one in broken:
            has_failed = True
            print(f"  {one.at:9.3f} s  {one.promise}  {one.attempt}  {one.detail}")
        sys.stdout.flush()
    sys.exit(has_failed)


if __name__ == "__main__":
    app()
