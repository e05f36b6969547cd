"""How a stand-in serves HTTP: CherryPy on its own server, quiet, several a process.

CherryPy's global engine allows one server a process; tests want several, so each
stand-in mounts its application on a server of its own.
"""

import json
import logging
import signal
import socket
import threading
from collections.abc import Callable
from http import HTTPStatus
from types import FrameType
from typing import Any

import cherrypy
from cheroot import wsgi

from arbutuspulley.clock import SECOND_MS

STOP_TIMEOUT_MS = 2_000
"""How long a stopping server waits for requests in flight."""

STOP_POLL_S = 0.05
"""How often an idle server looks whether it was stopped, in s."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest request body taken."""

_SOCKET = "arbutus.socket"


class _Gateway(wsgi.Gateway_10):
    """Lets a handler reach its connection, to break it on purpose."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()
        environ[_SOCKET] = self.req.conn.socket
        return environ


class StandinServer:
    """One stand-in's HTTP server on a thread of its own.

    :param root: CherryPy handlers.
    :param port: 0 takes a free one; see :attr:`address`.
    :param threads: requests handled at once.
    """

    __slots__ = ("_server", "_thread", "address")

    def __init__(
        self, *, root: object, host: str = "127.0.0.1", port: int = 0, threads: int = 32
    ) -> None:
        self._server = wsgi.Server(
            (host, port),
            _build_application(root),
            numthreads=threads,
            request_queue_size=128,
            shutdown_timeout=STOP_TIMEOUT_MS // SECOND_MS,
        )
        self._server.gateway = _Gateway
        self._server.keep_alive_conn_limit = 1_000
        self._server.expiration_interval = STOP_POLL_S
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and end the thread."""
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_MS / SECOND_MS)


def run_until_stopped(
    server: StandinServer, *, drain: Callable[[], None] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT.

    :param drain: called after the signal, before the server stops; it returns when
        no request is in flight any more.
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
    """Return the current request's body.

    :raises cherrypy.HTTPError: 413 if it is too large.
    """
    declared = cherrypy.request.headers.get("Content-Length", "0")
    if int(declared) > MAX_BODY_BYTES:
        raise cherrypy.HTTPError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
    body: bytes = cherrypy.request.rfile.read()
    return body


def break_connection() -> None:
    """Close the current request's connection without an answer."""
    connection: socket.socket = cherrypy.request.wsgi_environ[_SOCKET]
    connection.shutdown(socket.SHUT_RDWR)


def _build_application(root: object) -> cherrypy.Application:
    settings = {
        "/": {
            "request.process_request_body": False,
            "tools.trailing_slash.on": False,
            "error_page.default": _show_error,
        }
    }
    application = cherrypy.Application(root, "", settings)
    application.log.screen = False
    application.log.error_log.setLevel(logging.CRITICAL)
    # Silenced by level alone, CherryPy would still put each line together.
    application.log.access = lambda: None
    return application


def _show_error(*, status: str, message: str, **_unused: str) -> str:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps({"status": status, "message": message})
