"""``arbutus-console``: HTTP server of the operators' page and API."""

import signal
import sys
import threading
from types import FrameType
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from arbutuspulley.adapters.platform import connect_platform
from arbutuspulley.data import Value
from arbutuspulley.events import Event, log_event
from arbutuspulley.loop import LoopThread
from arbutuspulley.programs.console_api import ApiContext
from arbutuspulley.programs.console_routes import build_web_root
from arbutuspulley.programs.console_server import ControllerLink, build_server
from arbutuspulley.results import SettingError
from arbutuspulley.settings import (
    SETTINGS_EXIT_STATUS,
    Check,
    check_address,
    check_present,
    split_address,
)
from arbutuspulley.startup import LOG_LEVELS, set_up_process
from arbutuspulley.tracing import set_up_tracing

_SHA256_CHARACTERS = 64
_HEX = frozenset("0123456789abcdef")

app = cyclopts.App(
    name="arbutus-console",
    help="Serve the operators' page and API of one instance.",
    config=cyclopts.config.Env("ARBUTUS_CONSOLE_", command=False),
)


class Settings(Value, frozen=True):
    """Validated settings of a console."""

    instance: str
    listen: str
    controller: str
    platform: str
    peer_key: str
    operators: str
    log_format: str = "text"
    log_level: str = "info"
    trace: str = "off"


def parse_operators(text: str) -> dict[str, str]:
    """Parse ``name=hash,name=hash`` into key hashes by operator name.

    :raises SettingError: if the text is malformed or names no operator.
    """
    operators: dict[str, str] = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, digest = part.partition("=")
        is_hash = len(digest) == _SHA256_CHARACTERS and not set(digest) - _HEX
        if not name or not is_hash or name in operators:
            raise SettingError(
                setting="--operators",
                detail=f"{name!r} is not one name with the hex SHA-256 of its key",
            )
        operators[name] = digest
    if not operators:
        raise SettingError(setting="--operators", detail="names no operator")
    return operators


def run(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT."""
    loop = LoopThread(name="console")
    loop.start()
    link = ControllerLink(address=settings.controller, key=settings.peer_key, loop=loop)
    context = ApiContext(
        platform=connect_platform(address=settings.platform),
        fetch_status=link.fetch_status,
    )
    host, port = split_address(settings.listen)
    root = build_web_root(context, parse_operators(settings.operators))
    server = build_server(root=root, host=host, port=port)
    stopping = threading.Event()

    def stop(_number: int, _frame: FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    server.start()
    log_event(Event.STARTED, program="arbutus-console", listen=server.address)
    stopping.wait()
    log_event(Event.DRAINING, program="arbutus-console")
    server.stop()
    link.close()
    loop.stop()
    log_event(Event.STOPPED, program="arbutus-console")


@app.default
def serve(
    *,
    instance: Annotated[str, Parameter(help="Name of this instance.")] = "",
    listen: Annotated[
        str, Parameter(help="host:port to listen on for operators.")
    ] = "",
    controller: Annotated[
        str, Parameter(help="host:port of this instance's controller.")
    ] = "",
    platform: Annotated[str, Parameter(help="host:port of the platform.")] = "",
    peer_key: Annotated[
        str, Parameter(help="Key that all processes of the system share.")
    ] = "",
    operators: Annotated[
        str,
        Parameter(help="Comma-separated name=SHA-256 (hex) of each operator's key."),
    ] = "",
    log_format: Annotated[str, Parameter(help="json or text.")] = "text",
    log_level: Annotated[str, Parameter(help=f"{', '.join(LOG_LEVELS)}.")] = "info",
    trace: Annotated[
        str, Parameter(help="Where spans go: off, stderr or a file.")
    ] = "off",
) -> None:
    """Serve the operators' page and API of one instance."""
    settings = Settings(
        instance=instance,
        listen=listen,
        controller=controller,
        platform=platform,
        peer_key=peer_key,
        operators=operators,
        log_format=log_format,
        log_level=log_level,
        trace=trace,
    )
    set_up_process(_list_checks(settings), log_format=log_format, log_level=log_level)
    set_up_tracing(program="arbutus-console", instance=instance, target=trace)
    run(settings)


def main() -> None:
    """Run the program."""
    try:
        app(exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        sys.exit(SETTINGS_EXIT_STATUS)


def _list_checks(settings: Settings) -> list[Check]:
    return [
        check_present("--instance", settings.instance),
        check_address("--listen", settings.listen),
        check_address("--controller", settings.controller),
        check_address("--platform", settings.platform),
        check_present("--peer-key", settings.peer_key),
        _check_operators(settings.operators),
    ]


def _check_operators(text: str) -> Check:
    def check() -> None:
        parse_operators(text)

    return check


if __name__ == "__main__":
    main()
