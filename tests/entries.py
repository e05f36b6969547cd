"""Entries in the test process, with a fake controller and backend server stand-ins."""

import asyncio
import contextlib
import json
import random
import subprocess
import sys
from typing import NamedTuple

import msgspec
import openai
import urllib3

from arbutuspulley.adapters.engines import connect_engines
from arbutuspulley.clock import Clock
from arbutuspulley.configuration import schema
from arbutuspulley.configuration.lookup import hash_key
from arbutuspulley.delivery import claims, trials
from arbutuspulley.entry.admission_queue import tick_regularly
from arbutuspulley.entry.controller_client import ControllerClient
from arbutuspulley.entry.controller_sync import describe_entry, update_view
from arbutuspulley.entry.metrics import build_metrics
from arbutuspulley.entry.server import build_server
from arbutuspulley.entry.state import EntryState, Runtime, Settings
from arbutuspulley.loop import LoopThread
from arbutuspulley.ports.engines import NotSentError
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import Acknowledged, ServerSummary, View
from tests.backends import ITEM, load, run_engine, set_faults, wait_until
from tests.fakes import FakePlatform
from tests.ports import find_free_address

ENGINES = connect_engines(connect_timeout_ms=1_000, read_timeout_ms=5_000)
CHAT = "/v1/chat/completions"
MAX_BODY_BYTES = 4_096
UNREPEATABLE = {"X-Arbutus-Unrepeatable": "true", "Idempotency-Key": "k"}


class FakeController:
    """Acts as the controller of all entries, with one fake platform.

    If ``down`` is set it does not respond; ``lost_replies`` is the number of next calls
    that take effect but lose their replies; ``after_death_report`` is called once,
    after the next death is recorded.
    """

    def __init__(self):
        self.fake = FakePlatform()
        self.down = False
        self.lost_replies = 0
        self.after_death_report = None
        self.reports = []
        self.settled = []
        self.port = ControllerClient(
            watch=None,
            report=self._report,
            claim=self._claim,
            settle=self._settle,
            report_death=self._report_death,
            clear_suspicion=self._clear_suspicion,
        )

    def _answer(self, work):
        if self.down:
            raise PeerUnavailableError(detail="down", sent=False)
        result = work()
        if self.lost_replies:
            self.lost_replies -= 1
            raise PeerUnavailableError(detail="reply lost", sent=True)
        return result

    async def _report(self, report):
        return self._answer(lambda: self.reports.append(report))

    async def _claim(self, request):
        platform = self.fake.platform
        return self._answer(
            lambda: claims.make_claim(platform.table, request, objects=platform.objects)
        )

    async def _settle(self, request):
        platform = self.fake.platform
        self._answer(
            lambda: claims.settle_claim(
                platform.table, request, objects=platform.objects
            )
        )
        self.settled.append(request.state)
        return Acknowledged()

    async def _report_death(self, report):
        hook, self.after_death_report = self.after_death_report, None
        table = self.fake.platform.table
        reply = self._answer(lambda: trials.record_deaths(table, report))
        if hook:
            await run_in_executor(hook)
        return reply

    async def _clear_suspicion(self, report):
        table = self.fake.platform.table
        return self._answer(lambda: trials.record_clearance(table, report))

    def list_suspicions(self):
        if self.fake.down:
            return ()
        return trials.read_suspicions(self.fake.platform.table, after=0).suspicions


class Entry:
    """A running entry, with helpers for tests."""

    def __init__(self, runtime, server):
        self.runtime, self.server = runtime, server
        self.address = server.address

    def ask(self, body, path=CHAT, method="POST", key="key-of-desk", **headers):
        """Send a request and return the response; ``_`` in a header becomes ``-``."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        return urllib3.request(
            method,
            f"http://{self.address}{path}",
            body=body if isinstance(body, bytes) else json.dumps(body),
            headers={"Authorization": f"Bearer {key}", **sent},
            retries=False,
            timeout=30,
        )

    def connect(self):
        """Return an OpenAI client for this entry."""
        return openai.OpenAI(
            base_url=f"http://{self.address}/v1", api_key="key-of-desk", max_retries=0
        )

    def call(self, function):
        return self.runtime.loop.call(lambda: function(self.runtime.state))


class EngineProcess(NamedTuple):
    """An engine stand-in in its own process."""

    address: str
    boot_id: str
    process: subprocess.Popen


class EntryHarness:
    """Entries, engines and their common fake controller."""

    def __init__(self, stack):
        self.stack = stack
        self.controller = FakeController()
        self.engines, self.entries, self.services = {}, [], []
        self.number = 0

    def add_engine(self, name, **settings):
        engine = self.stack.enter_context(run_engine(name=name, **settings))
        load(ENGINES, engine.address)
        self.engines[name] = engine
        return engine

    def add_engine_process(self, name, marker):
        """Start an engine process that crashes on a request with the marker."""
        address = find_free_address()
        command = [sys.executable, "-m", "arbutuspulley.standins.engine"]
        flags = ["--name", name, "--listen", address, "--load-ms", "0"]
        process = subprocess.Popen([*command, *flags])
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        wait_until(lambda: _try_report(address))
        load(ENGINES, address)
        set_faults(address, crash_marker=marker)
        boot_id = ENGINES.report(address).boot_id
        self.engines[name] = EngineProcess(address, boot_id, process)

    def add_entry(self, **settings):
        entry = self.stack.enter_context(_run_entry(self, settings))
        self.entries.append(entry)
        return entry

    def push_view(self, *entries, **changes):
        """Push the controller's current view to the given entries, by default all."""
        self.number += 1
        view = View(
            number=self.number,
            ready=True,
            store_up=True,
            configuration=build_configuration(services=self.services),
            servers=self.list_servers(*self.engines),
            entries=tuple(describe_entry(entry.runtime) for entry in self.entries),
            suspicions=self.controller.list_suspicions(),
        )
        view = msgspec.structs.replace(view, **changes)
        for entry in entries or self.entries:
            runtime = entry.runtime
            runtime.loop.call(
                lambda runtime=runtime: update_view(
                    runtime, view, now=runtime.clock.now()
                )
            )

    def list_servers(self, *names):
        return tuple(_summarise(name, self.engines[name]) for name in names)


def build_configuration(*, version=1, services=()):
    """Build the tests' configuration, with one model."""
    target = schema.Target(first_token_ms=20_000)
    callers = {
        "desk": schema.Caller(key_sha256=hash_key("key-of-desk")),
        "hosts": schema.Caller(key_sha256=hash_key("key-of-hosts")),
        "narrow": schema.Caller(key_sha256=hash_key("key-of-narrow"), models=("x",)),
    }
    site = schema.Site(
        models={"m": schema.Model(version="1", size_mib=60, target=target)},
        callers=callers,
        services={"booking": schema.Service(addresses=tuple(services))},
        servers={"e1": schema.Server(address="127.0.0.1:1", memory_mib=100)},
    )
    policy = schema.Policy(address_lifetime_s=1)
    return schema.Configuration(version=version, sites={"a": site}, policy=policy)


@contextlib.contextmanager
def run_entries(*, engines=("e1",), entries=1, services=(), **settings):
    """Yield engines that have the model loaded, and entries that know them."""
    with contextlib.ExitStack() as stack:
        bench = EntryHarness(stack)
        bench.services = list(services)
        for name in engines:
            bench.add_engine(name, **settings)
        for _ in range(entries):
            bench.add_entry()
        bench.push_view()
        yield bench


async def run_in_executor(function):
    """Run a function that waits for the event loop in a thread, without a deadlock."""
    await asyncio.get_running_loop().run_in_executor(None, function)


def build_chat(text="hello", tokens=4, **more):
    messages = [{"role": "user", "content": text}]
    return {"model": "m", "messages": messages, "max_tokens": tokens, **more}


def build_runtime(controller, *, number=1, loop=None, clock=None, **settings):
    """Build the runtime of an entry, without starting its tasks or server."""
    return Runtime(
        settings=Settings(
            instance=f"i{number}",
            site="a",
            address=f"127.0.0.1:{number}",
            boot_id=f"boot-{number}",
            max_body_bytes=MAX_BODY_BYTES,
            **settings,
        ),
        state=EntryState(),
        loop=loop,
        clock=clock or Clock(),
        engines=ENGINES,
        controller=controller,
        metrics=build_metrics(),
        rng=random.Random(number),
    )


@contextlib.contextmanager
def _run_entry(bench, settings):
    loop = LoopThread(name="entry", workers=8)
    loop.start()
    number = len(bench.entries) + 1
    runtime = build_runtime(bench.controller.port, number=number, loop=loop, **settings)
    loop.spawn(tick_regularly(runtime))
    server = build_server(runtime=runtime, host="127.0.0.1", port=0, threads=40)
    server.start()
    try:
        yield Entry(runtime, server)
    finally:
        server.stop()
        loop.stop()


def _try_report(address):
    try:
        return ENGINES.report(address)
    except NotSentError:
        return None


def _summarise(name, engine):
    return ServerSummary(
        server=name,
        site="a",
        address=engine.address,
        items=(ITEM,),
        boot_id=engine.boot_id,
    )
