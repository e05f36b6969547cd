"""HTTP server of the stand-ins."""

import json
import signal
import socket
import threading
from collections.abc import Callable
from http import HTTPStatus
from types import FrameType

import cherrypy
import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.web import Limits, WebServer, build_application, get_connection

STOP_TIMEOUT_MS = 2 * SECOND_MS
"""Maximum time that a stopping server waits for requests in flight."""

STOP_POLL_MS = 50
"""Interval at which an idle server checks whether it was stopped."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum size of a request body."""

_LIMITS = Limits(threads=32, stop_timeout_ms=STOP_TIMEOUT_MS, poll_ms=STOP_POLL_MS)


def build_standin_server(
    *, root: object, host: str = "127.0.0.1", port: int = 0, threads: int = 32
) -> WebServer:
    """Return the HTTP server of a stand-in.

    :param root: CherryPy root object with the handlers.
    :param port: port to listen on; 0 picks a free one.
    :param threads: maximum number of requests handled concurrently.
    """
    return WebServer(
        application=build_application(root, render_error=_render_error),
        host=host,
        port=port,
        limits=msgspec.structs.replace(_LIMITS, threads=threads),
    )


def run_until_stopped(
    server: WebServer, *, drain: Callable[[], None] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT.

    :param drain: called after the signal, before the server stops; returns once no
        request is in flight.
    """
    stopping = threading.Event()

    def stop(_number: int, _frame: FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    server.start()
    stopping.wait()
    if drain is not None:
        drain()
    server.stop()


def read_body() -> bytes:
    """Return the body of the current request.

    :raises cherrypy.HTTPError: 413 if the declared size exceeds
        :data:`MAX_BODY_BYTES`.
    """
    declared = cherrypy.request.headers.get("Content-Length", "0")
    if int(declared) > MAX_BODY_BYTES:
        raise cherrypy.HTTPError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
    body: bytes = cherrypy.request.rfile.read()
    return body


def break_connection() -> None:
    """Close the connection of the current request without a reply."""
    get_connection().shutdown(socket.SHUT_RDWR)


def _render_error(*, status: str, message: str, **_unused: str) -> str:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps({"status": status, "message": message})
