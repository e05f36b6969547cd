"""``arbutus-entry``: accepts callers' requests and relays them to servers."""

import asyncio
import random
import signal
import threading
import uuid
from types import FrameType
from typing import Annotated

import cyclopts

from arbutuspulley.adapters.engines import connect_engines
from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.entry.admission_queue import tick_regularly
from arbutuspulley.entry.background import run_with_restarts
from arbutuspulley.entry.controller_client import connect_controller
from arbutuspulley.entry.controller_sync import report_regularly, watch_controller
from arbutuspulley.entry.draining import drain
from arbutuspulley.entry.metrics import build_metrics
from arbutuspulley.entry.server import SPARE_THREADS, build_server
from arbutuspulley.entry.state import EntryState, Runtime, Settings
from arbutuspulley.events import Event, log_event
from arbutuspulley.loop import LoopThread
from arbutuspulley.rpc.channel import Client
from arbutuspulley.settings import (
    check_address,
    check_present,
    check_range,
    split_address,
)
from arbutuspulley.startup import set_up_process
from arbutuspulley.tracing import set_up_tracing

PROGRAM = "arbutus-entry"

app = cyclopts.App(
    name=PROGRAM,
    help="Accept callers' requests and relay them to backend servers.",
    config=cyclopts.config.Env("ARBUTUS_ENTRY_"),
)


@app.default
def run(
    *,
    instance: Annotated[str, cyclopts.Parameter(help="Name of this instance.")] = "",
    site: Annotated[str, cyclopts.Parameter(help="Data centre of the instance.")] = "",
    listen: Annotated[
        str, cyclopts.Parameter(help="host:port to listen on for callers.")
    ] = "127.0.0.1:8080",
    advertise: Annotated[
        str, cyclopts.Parameter(help="host:port given to callers; default: --listen.")
    ] = "",
    controller: Annotated[
        str, cyclopts.Parameter(help="host:port of the instance's controller.")
    ] = "127.0.0.1:7000",
    peer_key: Annotated[
        str, cyclopts.Parameter(help="Key that all processes of the system share.")
    ] = "",
    max_body_bytes: Annotated[
        int, cyclopts.Parameter(help="Maximum size of a request body.")
    ] = 1024 * 1024,
    threads: Annotated[
        int, cyclopts.Parameter(help="Worker threads; each request occupies one.")
    ] = 100,
    log_format: Annotated[str, cyclopts.Parameter(help="json or text.")] = "json",
    log_level: Annotated[
        str, cyclopts.Parameter(help="debug, info, warning or error.")
    ] = "info",
    trace: Annotated[
        str, cyclopts.Parameter(help="Where spans go: off, stderr or a file.")
    ] = "off",
) -> None:
    """Accept callers' requests and relay them to backend servers."""
    checks = [
        check_present("--instance", instance),
        check_present("--site", site),
        check_address("--listen", listen),
        check_address("--advertise", advertise or listen),
        check_address("--controller", controller),
        check_present("--peer-key", peer_key),
        check_range("--max-body-bytes", max_body_bytes, least=1_024, most=1 << 26),
        check_range("--threads", threads, least=SPARE_THREADS + 1, most=2_000),
    ]
    set_up_process(checks, log_format=log_format, log_level=log_level)
    set_up_tracing(program=PROGRAM, instance=instance, target=trace)
    settings = Settings(
        instance=instance,
        site=site,
        address=advertise or listen,
        boot_id=uuid.uuid4().hex,
        max_body_bytes=max_body_bytes,
        max_in_flight=threads - SPARE_THREADS,
    )
    host, port = split_address(listen)
    _serve(settings, controller, peer_key, host=host, port=port, threads=threads)


def main() -> None:
    """Run the program."""
    app()


def _serve(
    settings: Settings,
    controller: str,
    peer_key: str,
    *,
    host: str,
    port: int,
    threads: int,
) -> None:
    """Serve until SIGTERM or SIGINT, then drain and stop."""
    stopping = threading.Event()

    def stop(_number: int, _frame: FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    loop = LoopThread(name="entry", workers=32)
    loop.start()
    client = loop.wait_for(_connect(controller, peer_key))
    runtime = build_runtime(settings, loop=loop, client=client)
    for work in (watch_controller, report_regularly, tick_regularly):
        loop.spawn(run_with_restarts(work, runtime))
    server = build_server(runtime=runtime, host=host, port=port, threads=threads)
    server.start()
    log_event(Event.STARTED, program=PROGRAM, instance=settings.instance)
    stopping.wait()
    loop.wait_for(drain(runtime), timeout_s=None)
    server.stop()
    loop.wait_for(_close(client))
    loop.stop()
    log_event(Event.STOPPED, program=PROGRAM, instance=settings.instance)


def build_runtime(settings: Settings, *, loop: LoopThread, client: Client) -> Runtime:
    """Build the runtime that the entry's functions share."""
    state = EntryState()
    state.admission.own = settings.address
    state.routing.site = settings.site
    state.admission.routing = state.routing
    return Runtime(
        settings=settings,
        state=state,
        loop=loop,
        clock=Clock(),
        engines=connect_engines(),
        controller=connect_controller(client),
        metrics=build_metrics(),
        rng=random.Random(),
    )


async def _connect(controller: str, peer_key: str) -> Client:
    return Client(address=controller, key=peer_key)


async def _close(client: Client) -> None:
    await asyncio.wait_for(client.close(), timeout=2 * SECOND_MS / SECOND_MS)


if __name__ == "__main__":
    main()
