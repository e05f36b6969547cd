"""Stand-in for a model engine: ``arbutus-standin-engine``.

Memory, batch and counters are kept in the process and lost when it ends. HTTP paths
are described in :mod:`.engine_http`, faults in :mod:`.engine_control`.
"""

import random
import secrets
from collections.abc import Callable

import cyclopts

from arbutuspulley.data import Value
from arbutuspulley.events import Event, log_event
from arbutuspulley.settings import (
    check_address,
    check_choice,
    check_present,
    check_range,
    split_address,
)
from arbutuspulley.standins.engine_batch import BatchState
from arbutuspulley.standins.engine_http import build_routes
from arbutuspulley.standins.engine_memory import MemoryState, OnOvercommit
from arbutuspulley.standins.engine_runtime import EngineRuntime
from arbutuspulley.standins.engine_state import EngineState
from arbutuspulley.standins.routes import build_root
from arbutuspulley.standins.server import build_standin_server, run_until_stopped
from arbutuspulley.startup import set_up_process

DRAIN_MS = 60_000
"""Maximum time to wait for runs in flight after SIGTERM."""

SPARE_THREADS = 16
"""Worker threads in addition to one per admitted run."""

_MAX_MS = 3_600_000
_MAX_COUNT = 1_000_000_000

app = cyclopts.App(
    name="arbutus-standin-engine",
    help="Stand-in for a model engine, for demos and tests.",
    config=cyclopts.config.Env("ARBUTUS_STANDIN_ENGINE_", command=False),
)


class EngineSettings(Value, frozen=True):
    """Settings of an engine; the fields are documented as flags of :func:`run`."""

    name: str
    memory_mib: int = 81_920
    checks_orders: bool = False
    on_overcommit: OnOvercommit = OnOvercommit.REFUSE
    platform: str = ""
    load_ms: int = 200
    first_token_ms: int = 40
    token_ms: int = 10
    max_batch: int = 16
    max_waiting: int = 32
    report_lag_ms: int = 0
    seed: int = 0


class EngineStandin:
    """An engine stand-in that serves from the current process.

    :param port: port to listen on; 0 picks a free one, see :attr:`address`.
    :param crash: called when a fault crashes the engine; by default the process
        exits.
    """

    __slots__ = ("address", "boot_id", "runtime", "server")

    def __init__(
        self,
        *,
        settings: EngineSettings,
        host: str = "127.0.0.1",
        port: int = 0,
        crash: Callable[[], None] | None = None,
    ) -> None:
        self.boot_id = secrets.token_hex(6)
        self.runtime = EngineRuntime(
            state=_build_state(settings, self.boot_id),
            platform=settings.platform,
            load_ms=settings.load_ms,
            crash=crash,
        )
        self.server = build_standin_server(
            root=build_root(build_routes(self.runtime)),
            host=host,
            port=port,
            threads=settings.max_batch + settings.max_waiting + SPARE_THREADS,
        )
        self.address = self.server.address
        self.runtime.start()

    def start(self) -> None:
        """Start to accept requests."""
        self.server.start()

    def stop(self) -> None:
        """Stop without waiting for runs in flight."""
        self.server.stop()
        self.runtime.stop()


def _build_state(settings: EngineSettings, boot_id: str) -> EngineState:
    return EngineState(
        server=settings.name,
        boot_id=boot_id,
        memory=MemoryState(
            total_mib=settings.memory_mib,
            checks_orders=settings.checks_orders,
            on_overcommit=settings.on_overcommit,
        ),
        batch=BatchState(
            max_batch=settings.max_batch,
            max_waiting=settings.max_waiting,
            token_ms=settings.token_ms,
            first_token_ms=settings.first_token_ms,
        ),
        rng=random.Random(settings.seed),
        report_lag_ms=settings.report_lag_ms,
    )


@app.default
def run(
    *,
    name: str = "",
    listen: str = "127.0.0.1:7500",
    memory_mib: int = 81_920,
    checks_orders: bool = False,
    on_overcommit: str = OnOvercommit.REFUSE,
    platform: str = "",
    load_ms: int = 200,
    first_token_ms: int = 40,
    token_ms: int = 10,
    max_batch: int = 16,
    max_waiting: int = 32,
    report_lag_ms: int = 0,
    seed: int = 0,
    log_format: str = "text",
    log_level: str = "info",
) -> None:
    """Serve until SIGTERM; then finish the runs in flight and stop.

    :param name: name of the server in the configuration.
    :param listen: ``host:port`` to listen on.
    :param memory_mib: memory for items, in MiB.
    :param checks_orders: reject orders with a stale fencing token or order number.
    :param on_overcommit: reaction to a load that exceeds the memory: ``refuse`` the
        order, ``die`` (crash the engine), or only ``flag`` it in the counters.
    :param platform: ``host:port`` of the weight store; without one, a load takes
        ``--load-ms``.
    :param load_ms: duration of a load without a weight store, in ms.
    :param first_token_ms: prefill time of a short prompt, in ms.
    :param token_ms: time between the tokens of a stream that runs alone, in ms.
    :param max_batch: maximum number of concurrent streams.
    :param max_waiting: maximum number of queued requests.
    :param report_lag_ms: minimum age of load reports, in ms.
    :param seed: random seed that selects which cache events are lost.
    :param log_format: ``json`` or ``text``.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    checks = [
        check_present("--name", name),
        check_address("--listen", listen),
        check_range("--memory-mib", memory_mib, least=1, most=_MAX_COUNT),
        check_choice("--on-overcommit", on_overcommit, choices=list(OnOvercommit)),
        *([check_address("--platform", platform)] if platform else []),
        check_range("--load-ms", load_ms, least=0, most=_MAX_MS),
        check_range("--first-token-ms", first_token_ms, least=0, most=_MAX_MS),
        check_range("--token-ms", token_ms, least=1, most=_MAX_MS),
        check_range("--max-batch", max_batch, least=1, most=256),
        check_range("--max-waiting", max_waiting, least=0, most=256),
        check_range("--report-lag-ms", report_lag_ms, least=0, most=_MAX_MS),
    ]
    set_up_process(checks, log_format=log_format, log_level=log_level)
    host, port = split_address(listen)
    settings = EngineSettings(
        name=name,
        memory_mib=memory_mib,
        checks_orders=checks_orders,
        on_overcommit=OnOvercommit(on_overcommit),
        platform=platform,
        load_ms=load_ms,
        first_token_ms=first_token_ms,
        token_ms=token_ms,
        max_batch=max_batch,
        max_waiting=max_waiting,
        report_lag_ms=report_lag_ms,
        seed=seed,
    )
    engine = EngineStandin(settings=settings, host=host, port=port)
    log_event(Event.STARTED, program=app.name[0], server=name, listen=engine.address)
    run_until_stopped(
        engine.server, drain=lambda: engine.runtime.drain(timeout_ms=DRAIN_MS)
    )
    engine.runtime.stop()
    log_event(Event.STOPPED, program=app.name[0], server=name)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
