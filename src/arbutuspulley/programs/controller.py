"""``arbutus-controller``: manages an instance's lease, servers and configuration."""

import os
import random
import signal
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor
from types import FrameType
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from arbutuspulley.adapters.engines import connect_engines
from arbutuspulley.adapters.platform import connect_platform
from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.controller.exchange import OutgoingUpdates
from arbutuspulley.controller.health import start_health
from arbutuspulley.controller.loops import ControllerLoops, is_serving
from arbutuspulley.controller.metrics import build_metrics
from arbutuspulley.controller.rows import GroupRows
from arbutuspulley.controller.state import Controller, ControllerSettings, Pools
from arbutuspulley.events import Event, log_event
from arbutuspulley.loop import LoopThread
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.observation import ObservationState
from arbutuspulley.membership.outage import OutageState, choose_max_backoff_ms
from arbutuspulley.settings import (
    Check,
    check_address,
    check_addresses,
    check_present,
    check_range,
)
from arbutuspulley.startup import set_up_process
from arbutuspulley.tracing import set_up_tracing

PROGRAM = "arbutus-controller"

STORE_TIMEOUT_MS = 2_000
"""Maximum timeout of a call to the platform, in ms."""

MIN_STORE_TIMEOUTS_PER_LEASE = 5
"""The timeout of a call to the platform is at most the lease over this number, so that
a renewal whose reply is lost can be read back and retried before the lease expires."""

REPORT_TIMEOUT_MS = 2_000
"""Timeout for a report or for the reply to an order, in ms."""

STOP_TIMEOUT_MS = 15 * SECOND_MS
"""Time after which a stopping process exits even if a thread is blocked, in ms."""


app = cyclopts.App(
    name=PROGRAM,
    help="Manage one instance's lease and servers, and carry out placement.",
    config=cyclopts.config.Env("ARBUTUS_CONTROLLER_"),
)


def build_controller(settings: ControllerSettings) -> Controller:
    """Build the initial state of a controller."""
    metrics = build_metrics()
    return Controller(
        settings=settings,
        clock=Clock(),
        rng=random.Random(uuid.uuid4().int),
        platform=connect_platform(
            address=settings.platform, timeout_ms=_choose_store_timeout(settings)
        ),
        engines=connect_engines(order_timeout_ms=REPORT_TIMEOUT_MS),
        pools=_build_pools(),
        metrics=metrics,
        lease=LeaseState(instance=settings.instance, lease_ms=settings.lease_ms),
        sessions=ObservationState(lease_ms=settings.lease_ms),
        rows=GroupRows(group=settings.group),
        read_outage=OutageState(
            max_backoff_ms=choose_max_backoff_ms(settings.lease_ms)
        ),
        write_outage=OutageState(
            max_backoff_ms=choose_max_backoff_ms(settings.lease_ms)
        ),
        outgoing_updates=OutgoingUpdates(epoch=uuid.uuid4().hex),
    )


def run(settings: ControllerSettings) -> None:
    """Run until SIGTERM or SIGINT, then release lease and servers and return."""
    stopping = threading.Event()

    def stop(_number: int, _frame: FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    loop = LoopThread(name="controller")
    loop.start()
    controller = loop.call(lambda: build_controller(settings))
    loops = ControllerLoops(controller=controller)
    loop.wait_for(loops.start())
    stop_health = start_health(
        address=settings.http,
        is_ready=lambda: is_serving(controller),
        registry=controller.metrics.registry,
    )
    log_event(Event.STARTED, program=PROGRAM, instance=settings.instance)
    stopping.wait()
    log_event(Event.DRAINING, program=PROGRAM, instance=settings.instance)
    _start_exit_timer()
    loop.wait_for(loops.stop())
    stop_health()
    loop.stop()
    log_event(Event.STOPPED, program=PROGRAM, instance=settings.instance)


@app.default
def start(
    *,
    instance: str,
    site: str,
    listen: str,
    http: str,
    platform: str,
    peer_key: str,
    group: str = "main",
    advertise: str = "",
    peers: str = "",
    lease_ms: int = 10_000,
    renew_ms: int = 2_500,
    report_ms: int = 500,
    exchange_ms: int = 1_000,
    follow_ms: int = 1_000,
    log_format: Annotated[str, Parameter(help="json or text")] = "text",
    log_level: str = "info",
    trace: str = "off",
) -> None:
    """Run the controller of one instance.

    :param instance: unique name of this instance.
    :param site: data centre of this instance.
    :param listen: host:port for entries, console and peer controllers.
    :param http: host:port for health and metrics.
    :param platform: host:port of the platform.
    :param peer_key: key that all processes of the system share.
    :param group: group whose servers are divided among its instances.
    :param advertise: host:port at which peers reach it; default: --listen.
    :param peers: host:port of other controllers, separated by commas.
    :param lease_ms: duration of a session lease without a renewal, in ms.
    :param renew_ms: interval of renewals in ms, at most a third of the lease.
    :param report_ms: interval of polling each server's report, in ms.
    :param exchange_ms: interval of exchanges with each peer, in ms.
    :param follow_ms: interval of polling the table for changes, in ms.
    :param log_level: debug, info, warning or error.
    :param trace: where finished spans go: off, stderr or a file.
    """
    settings = ControllerSettings(
        instance=instance,
        site=site,
        group=group,
        listen=listen,
        advertise=advertise,
        http=http,
        platform=platform,
        peers=tuple(part.strip() for part in peers.split(",") if part.strip()),
        peer_key=peer_key,
        lease_ms=lease_ms,
        renew_ms=renew_ms,
        report_ms=report_ms,
        exchange_ms=exchange_ms,
        follow_ms=follow_ms,
    )
    checks = _list_checks(settings)
    set_up_process(checks, log_format=log_format, log_level=log_level)
    set_up_tracing(program=PROGRAM, instance=instance, target=trace)
    run(settings)


def main() -> None:
    """Run the program."""
    app()


def _list_checks(settings: ControllerSettings) -> list[Check]:
    return [
        check_present("--instance", settings.instance),
        check_present("--site", settings.site),
        check_present("--group", settings.group),
        check_present("--peer-key", settings.peer_key),
        check_address("--listen", settings.listen),
        check_address("--advertise", settings.advertise or settings.listen),
        check_address("--http", settings.http),
        check_address("--platform", settings.platform),
        *check_addresses("--peers", settings.peers),
        check_range("--lease-ms", settings.lease_ms, least=1_000, most=600_000),
        check_range(
            "--renew-ms", settings.renew_ms, least=100, most=settings.lease_ms // 3
        ),
        check_range("--report-ms", settings.report_ms, least=50, most=60_000),
        check_range("--exchange-ms", settings.exchange_ms, least=50, most=60_000),
        check_range("--follow-ms", settings.follow_ms, least=50, most=60_000),
    ]


def _choose_store_timeout(settings: ControllerSettings) -> int:
    return min(STORE_TIMEOUT_MS, settings.lease_ms // MIN_STORE_TIMEOUTS_PER_LEASE)


def _build_pools() -> Pools:
    def build(name: str, threads: int) -> ThreadPoolExecutor:
        return ThreadPoolExecutor(max_workers=threads, thread_name_prefix=name)

    return Pools(
        lease=build("lease", 2),
        store=build("store", 6),
        delivery=build("delivery", 32),
        reports=build("reports", 32),
        orders=build("orders", 16),
    )


def _start_exit_timer() -> None:
    """Exit the process after :data:`STOP_TIMEOUT_MS` even if threads are blocked.

    Python waits for I/O threads at exit; a thread that is blocked on a frozen server or
    store would delay the replacement of the instance.
    """
    timer = threading.Timer(STOP_TIMEOUT_MS / SECOND_MS, lambda: os._exit(0))
    timer.daemon = True
    timer.start()


if __name__ == "__main__":
    main()
