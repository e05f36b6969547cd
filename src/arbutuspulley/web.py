"""HTTP servers of all programs: CherryPy applications on separate servers.

CherryPy's global engine allows only one server per process and handles signals.
Therefore each program, and each stand-in in a test, mounts its application on a server
of its own. The log contains numbered events only, so CherryPy's own logging is
disabled.
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
"""Renders errors raised by CherryPy itself; called with ``status`` and ``message``."""

_CONNECTION_KEY = "arbutus.connection"


class Limits(Value, frozen=True):
    """Limits and timeouts of a server.

    :param threads: maximum number of requests handled concurrently.
    :param stop_timeout_ms: time for which a stopping server waits for requests in
        flight.
    :param socket_timeout_ms: a client that stalls for this long is considered
        disconnected.
    :param header_bytes: maximum size of request line and headers.
    :param body_bytes: maximum size of a body, 0 for no limit; handlers enforce their
        own limits.
    :param backlog: maximum number of connections waiting to be accepted.
    :param idle_connections: maximum number of idle keep-alive connections; they occupy
        no thread.
    :param poll_ms: interval at which an idle server checks whether it was stopped.
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
    """An HTTP server that runs an application on a thread of its own.

    :param port: 0 selects a free port; see :attr:`address`.
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
        """Start to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening, finish requests in flight and end the thread."""
        self._server.stop()
        self._thread.join(self._limits.stop_timeout_ms / SECOND_MS)


def build_application(
    root: object, *, render_error: ErrorRenderer | None = None
) -> cherrypy.Application:
    """Return an application without logging whose handlers read the bodies.

    :param root: CherryPy handlers.
    :param render_error: renders errors raised by CherryPy itself.
    """
    settings: dict[str, Any] = {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "tools.trailing_slash.on": False,
    }
    if render_error is not None:
        settings["error_page.default"] = render_error
    application = cherrypy.Application(root, "", {"/": settings})
    application.log.screen = False
    application.log.error_log.setLevel(logging.CRITICAL)
    # With the level alone, CherryPy would still format each access log line.
    application.log.access = lambda: None
    return application


def get_connection() -> socket.socket:
    """Return the socket of the request that the current thread handles."""
    connection: socket.socket = cherrypy.serving.request.wsgi_environ[_CONNECTION_KEY]
    return connection


class _Gateway(wsgi.Gateway_10):
    """Adds the socket of the connection to the WSGI environment."""

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
