"""How every program serves HTTP: CherryPy on a server of its own, quiet.

CherryPy's global engine allows one server a process and takes over signals; each
program, and each stand-in within a test, mounts its application on its own server
instead. The log has the numbered events only, so CherryPy writes none of its lines.
"""

import logging
import socket
import threading
from collections.abc import Callable
from typing import Any

import cherrypy
from cheroot import wsgi

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value

ErrorRenderer = Callable[..., str | bytes]
"""Renders CherryPy's own errors; called with ``status`` and ``message``."""

_CONNECTION_KEY = "arbutus.connection"


class Limits(Value, frozen=True):
    """Bounds of a server.

    :param threads: requests handled at once.
    :param stop_timeout_ms: how long a stopping server waits for what is in flight.
    :param socket_timeout_ms: a client that stalls for this long counts as gone.
    :param header_bytes: largest request line and headers taken.
    :param body_bytes: largest body read, 0 for any; handlers check their own limit.
    :param backlog: connections that may wait to be taken.
    :param idle_connections: idle connections kept open; they hold no thread.
    :param poll_ms: how often an idle server looks whether it was stopped.
    """

    threads: int
    stop_timeout_ms: int
    socket_timeout_ms: int = 10 * SECOND_MS
    header_bytes: int = 64 * 1024
    body_bytes: int = 0
    backlog: int = 128
    idle_connections: int = 1_000
    poll_ms: int = 500


class WebServer:
    """An application's server on a thread of its own.

    :param port: 0 takes a free one; see :attr:`address`.
    """

    __slots__ = ("_limits", "_server", "_thread", "address")

    def __init__(
        self, *, application: cherrypy.Application, host: str, port: int, limits: Limits
    ) -> None:
        self._limits = limits
        self._server = _build_server(application, (host, port), limits)
        self._server.prepare()
        bound = self._server.bind_addr
        self.address = f"{bound[0]}:{bound[1]}"
        self._thread = threading.Thread(
            target=self._server.serve, name="http", daemon=True
        )

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening, finish what is in flight and end the thread."""
        self._server.stop()
        self._thread.join(self._limits.stop_timeout_ms / SECOND_MS)


def build_application(
    root: object, *, show_error: ErrorRenderer | None = None
) -> cherrypy.Application:
    """Return a quiet application that leaves bodies to its handlers.

    :param root: CherryPy handlers.
    :param show_error: renders what CherryPy itself refuses.
    """
    settings: dict[str, Any] = {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "tools.trailing_slash.on": False,
    }
    if show_error is not None:
        settings["error_page.default"] = show_error
    application = cherrypy.Application(root, "", {"/": settings})
    application.log.screen = False
    application.log.error_log.setLevel(logging.CRITICAL)
    # Silenced by level alone, CherryPy would still put each line together.
    application.log.access = lambda: None
    return application


def get_connection() -> socket.socket:
    """Return the connection of the request that this thread handles."""
    connection: socket.socket = cherrypy.serving.request.wsgi_environ[_CONNECTION_KEY]
    return connection


class _Gateway(wsgi.Gateway_10):
    """Lets a handler reach its connection."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()
        environ[_CONNECTION_KEY] = self.req.conn.socket
        return environ


def _build_server(
    application: cherrypy.Application, address: tuple[str, int], limits: Limits
) -> wsgi.Server:
    server = wsgi.Server(
        address,
        application,
        numthreads=limits.threads,
        request_queue_size=limits.backlog,
        timeout=limits.socket_timeout_ms // SECOND_MS,
        shutdown_timeout=limits.stop_timeout_ms // SECOND_MS,
    )
    server.gateway = _Gateway
    server.keep_alive_conn_limit = limits.idle_connections
    server.max_request_header_size = limits.header_bytes
    server.max_request_body_size = limits.body_bytes
    server.expiration_interval = limits.poll_ms / SECOND_MS
    return server
