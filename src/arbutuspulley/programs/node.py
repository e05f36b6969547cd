"""``arbutus-node``: process of an instance on the users' platform."""

import asyncio
import random
import signal
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
from aiohttp import web

from arbutuspulley.clients.connections import ClientServer
from arbutuspulley.clients.limits import Port
from arbutuspulley.clients.listeners import OpenListener, open_listener
from arbutuspulley.clock import Clock
from arbutuspulley.events import Event, log_event, set_up_stdout_logging
from arbutuspulley.membership.coordinator_lease import CoordinatorLeaseState
from arbutuspulley.node.background import run_forever
from arbutuspulley.node.bootstrap import (
    SNAPSHOT_PATH,
    bootstrap_from_neighbours,
    build_snapshot,
    update_from_neighbours,
)
from arbutuspulley.node.client_limits import build_clients, get_max_server_connections
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.crash_store import CrashStore
from arbutuspulley.node.directory import Directory
from arbutuspulley.node.election import Election
from arbutuspulley.node.extra_answers import build_extra_recorder
from arbutuspulley.node.frontend import Frontend
from arbutuspulley.node.kept_prompts import KeptPrompts, PromptCollector, build_fetch
from arbutuspulley.node.link import LINK_PATH, Link
from arbutuspulley.node.link_server import serve_link
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.poison import PoisonGuard
from arbutuspulley.node.server_paths import ServerPaths
from arbutuspulley.node.server_relay import ServerRelay
from arbutuspulley.node.settings_reload import Reloader
from arbutuspulley.node.shutdown import stop_gracefully
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.stopping import begin_stop
from arbutuspulley.node.store_watch import follow_configuration, follow_servers
from arbutuspulley.node.stream_store import StreamStore
from arbutuspulley.platform import names
from arbutuspulley.platform.settings import find_settings, read_settings
from arbutuspulley.platform.store import StoreClient
from arbutuspulley.platform.transport import open_order_session, open_session
from arbutuspulley.ports.fleet import NodeSettings
from arbutuspulley.results import SettingError
from arbutuspulley.settings import (
    SettingsError,
    check_all,
    check_choice,
    check_range,
    exit_with_errors,
    split_address,
)
from arbutuspulley.startup import LOG_LEVELS

PROGRAM = "arbutus-node"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

app = cyclopts.App(
    name=PROGRAM,
    help="Serve callers on the users' platform.",
    config=cyclopts.config.Env("ARBUTUS_NODE_"),
)


@app.default
def run(
    *,
    metrics_port: Annotated[
        int, cyclopts.Parameter(help="Port of /metrics; 0: no metrics server.")
    ] = 9464,
    log_level: Annotated[
        str, cyclopts.Parameter(help="debug, info, warning or error.")
    ] = "info",
    log_lines_per_s: Annotated[
        int, cyclopts.Parameter(help="Maximum of ordinary log lines per second.")
    ] = 50,
    server_speeds: Annotated[
        bool, cyclopts.Parameter(help="Estimate the speed of each model server.")
    ] = False,
    hedge_ratio: Annotated[
        float,
        cyclopts.Parameter(
            help="Second attempts per request while the first is silent; 0: none."
        ),
    ] = 0.0,
) -> None:
    """Serve callers until SIGTERM, with the settings of the platform's file."""
    try:
        check_all(
            (
                check_range("--metrics-port", metrics_port, least=0, most=65_535),
                check_choice("--log-level", log_level, choices=LOG_LEVELS),
                check_range("--log-lines-per-s", log_lines_per_s, least=1, most=10_000),
                check_range("--hedge-ratio", hedge_ratio, least=0, most=1),
            )
        )
        path = find_settings()

        def read(path: Path) -> NodeSettings:
            return msgspec.structs.replace(
                read_settings(path),
                learns_server_speeds=server_speeds,
                hedge_ratio=hedge_ratio,
            )

        settings = read(path)
    except SettingsError as error:
        exit_with_errors(error)
    except SettingError as error:
        exit_with_errors(SettingsError("settings refused", [error]))
    metrics = NodeMetrics()
    set_up_stdout_logging(
        level=log_level,
        instance=settings.name,
        lines_per_s=log_lines_per_s,
        count_line=lambda fate: metrics.log_lines.labels(fate).inc(),
    )
    asyncio.run(
        serve(settings, path, read=read, metrics=metrics, metrics_port=metrics_port)
    )


async def serve(
    settings: NodeSettings,
    path: Path,
    *,
    read: Callable[[Path], NodeSettings] = read_settings,
    metrics: NodeMetrics,
    metrics_port: int,
    listen: OpenListener = open_listener,
) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully.

    :param path: file that the settings were read from; it is watched for changes.
    :param read: reads and validates that file.
    :param metrics_port: port of ``/metrics``; 0: no metrics server.
    :param listen: accepts clients' connections.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    clock = Clock()
    record_extra = build_extra_recorder(metrics)
    session = open_session(
        on_extra=record_extra,
        # Defined below: the session is part of the state.
        get_max_open=lambda: get_max_server_connections(state),
    )
    order_session = open_order_session(on_extra=record_extra)
    state = NodeState(
        settings=settings,
        clock=clock,
        session=session,
        order_session=order_session,
        store=StoreClient(
            session=session,
            address=settings.store,
            clock=clock,
            count_call=lambda call: metrics.store_calls.labels(call).inc(),
            # Defined below: what it updates needs the state.
            on_era=lambda era: apply_era(era),
        ),
        metrics=metrics,
        rng=random.Random(),
    )
    streams = StreamStore(state=state)
    fetch_parts = build_fetch(state)
    state.find_kept_version = KeptPrompts(state=state, fetch=fetch_parts).find_version
    prompts = PromptCollector(state=state, fetch=fetch_parts)

    def apply_era(era: int) -> None:
        metrics.store_era.set(era)
        streams.restart(era)
        crashes.restart(era)

    link = Link(state=state)
    lease = CoordinatorLeaseState(
        name=settings.name,
        link=settings.link,
        boot=uuid.uuid4().hex,
        lease_ms=settings.lease_ms,
    )
    coordinator = Coordinator(state=state, lease=lease, receive_local=link.receive)
    election = Election(state=state, lease=lease, link=link, coordinator=coordinator)
    poison = PoisonGuard(state=state, link=link)
    crashes = CrashStore(state=state, merge=poison.merge_update)
    paths = ServerPaths(
        state=state, on_change=lambda: link.send(link.build_heartbeat())
    )
    frontend = Frontend(state=state, link=link, poison=poison, paths=paths)
    clients = build_clients(state)
    listeners = [
        await listen(
            address=address,
            server=ClientServer(handler, clients=clients, port=port),
            clients=clients,
        )
        for port, address, handler in _list_served(
            state, link, coordinator, frontend, metrics_port
        )
    ]
    log_event(
        Event.STARTED, program=PROGRAM, boot=lease.boot, frontend=settings.frontend
    )
    reloader = Reloader(state=state, path=path, read=read)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)

    def is_store_relayed() -> bool:
        return link.is_store_relayed

    def is_starting() -> bool:
        return link.status is None

    tasks = [
        loop.create_task(run_forever(work))
        for work in (
            lambda: follow_configuration(
                state,
                is_store_relayed=is_store_relayed,
                is_starting=is_starting,
                update_from_neighbours=lambda: update_from_neighbours(state),
            ),
            lambda: follow_servers(
                state, is_store_relayed=is_store_relayed, is_starting=is_starting
            ),
            lambda: bootstrap_from_neighbours(state, link),
            election.run,
            streams.run,
            prompts.run,
            crashes.run,
            paths.watch,
            reloader.watch,
            clients.watch,
        )
    ]
    await stopping.wait()
    begin_stop(state)
    log_event(Event.DRAINING, in_flight=state.in_flight)
    await stop_gracefully(
        state,
        link=link,
        election=election,
        listeners=listeners,
        end_requests=frontend.end_requests,
        is_answering=lambda: clients.pools[Port.FRONTEND].is_answering,
    )
    for task in tasks:
        task.cancel()
    link.disconnect()
    await session.close()
    await order_session.close()
    log_event(Event.STOPPED, in_flight=state.in_flight)


def main() -> None:
    """Run the program."""
    app()


def _list_served(
    state: NodeState,
    link: Link,
    coordinator: Coordinator,
    frontend: Frontend,
    metrics_port: int,
) -> list[tuple[Port, str, Handler]]:
    """Return the ports of the process, their addresses and what answers there."""
    settings = state.settings
    directory = Directory(state=state)
    relay = ServerRelay(state=state, link=link)

    async def handle_link(request: web.BaseRequest) -> web.StreamResponse:
        if names.RELAY_TO in request.headers:
            return await relay.handle(request)
        if request.path == LINK_PATH:
            return await serve_link(state, coordinator, request)
        if request.path == SNAPSHOT_PATH:
            return web.Response(body=build_snapshot(state, link))
        return web.Response(status=404)

    async def handle_metrics(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=state.metrics.write(), content_type="text/plain")

    served: list[tuple[Port, str, Handler]] = [
        (Port.LINK, settings.link, handle_link),
        (Port.DIRECTORY, settings.directory, directory.handle),
        (Port.READY, settings.ready, directory.handle_ready),
        (Port.FRONTEND, settings.frontend, frontend.handle),
    ]
    if metrics_port:
        host, _port = split_address(settings.frontend)
        served.append((Port.METRICS, f"{host}:{metrics_port}", handle_metrics))
    return served


if __name__ == "__main__":
    main()
