"""HTTP endpoints for the controller's health and metrics."""

from collections.abc import Callable

import cherrypy
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.settings import split_address
from arbutuspulley.web import Limits, WebServer, build_application

THREADS = 4
"""Worker threads; the only clients are probes and the metrics collector."""


class _Root:
    """CherryPy handlers.

    :param is_ready: called for each ``/readyz``.
    """

    def __init__(
        self, *, is_ready: Callable[[], bool], registry: CollectorRegistry
    ) -> None:
        self._is_ready = is_ready
        self._registry = registry

    @cherrypy.expose
    def healthz(self) -> str:
        """Answer 200 as long as the process runs."""
        return "ok\n"

    @cherrypy.expose
    def readyz(self) -> str:
        """Answer 503 until a configuration is active."""
        if self._is_ready():
            return "ready\n"
        cherrypy.response.status = 503
        return "no configuration is in force\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return generate_latest(self._registry)


def start_health(
    *, address: str, is_ready: Callable[[], bool], registry: CollectorRegistry
) -> Callable[[], None]:
    """Serve health and metrics on a separate thread.

    :param address: ``host:port`` to listen on.
    :return: a function that stops serving.
    :raises OSError: if the address cannot be listened on.
    """
    host, port = split_address(address)
    server = WebServer(
        application=build_application(_Root(is_ready=is_ready, registry=registry)),
        host=host,
        port=port,
        limits=Limits(threads=THREADS, stop_timeout_ms=SECOND_MS),
    )
    server.start()
    return server.stop
