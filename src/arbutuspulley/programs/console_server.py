"""The console's connections: the server for operators, the link to its controller."""

import logging
import threading

import cherrypy
from cheroot import wsgi

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.loop import LoopThread
from arbutuspulley.programs.console_http import Site, show_error
from arbutuspulley.rpc.channel import STATUS, Client, PeerUnavailableError
from arbutuspulley.rpc.messages import FleetStatus, StatusRequest

STATUS_TIMEOUT_MS = 3_000
"""Longest wait for the controller's status."""

STOP_TIMEOUT_S = 10
"""How long a stopping console waits for requests in flight."""

THREADS = 16
"""Requests handled at once."""

MAX_HEADER_BYTES = 16 * 1024
"""Largest request head taken."""

SOCKET_TIMEOUT_S = 20
"""How long a client may stall while it sends a request."""


class Server:
    """The console's HTTP server.

    :param site: what it answers.
    :param host: IP number to listen on.
    :param port: 0 takes a free one; see :attr:`address`.
    """

    __slots__ = ("_server", "_thread", "address")

    def __init__(self, *, site: Site, host: str, port: int) -> None:
        self._server = wsgi.Server(
            (host, port),
            _build_application(site),
            numthreads=THREADS,
            shutdown_timeout=STOP_TIMEOUT_S,
            timeout=SOCKET_TIMEOUT_S,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.prepare()
        bound = self._server.bind_addr
        self.address = f"{bound[0]}:{bound[1]}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening, finish what is in flight and end."""
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)


class ControllerLink:
    """The connection to this instance's controller.

    :param address: ``host:port`` of its RPC.
    :param key: the shared key of the processes.
    """

    __slots__ = ("_address", "_client", "_key", "_loop")

    def __init__(self, *, address: str, key: str, loop: LoopThread) -> None:
        self._address = address
        self._key = key
        self._loop = loop
        self._client = loop.call(lambda: Client(address=address, key=key))

    def fetch_status(self, version: int) -> FleetStatus:
        """Ask for the status, and the configuration in force if above a version.

        :raises PeerUnavailableError: if the controller does not answer in time.
        """
        request = StatusRequest(configuration_after=version)
        call = self._client.call(STATUS, request, timeout_ms=STATUS_TIMEOUT_MS)
        limit_s = 2 * STATUS_TIMEOUT_MS / SECOND_MS
        try:
            reply = self._loop.wait_for(call, timeout_s=limit_s)
        except TimeoutError:
            detail = f"{self._address}: no answer in time"
            raise PeerUnavailableError(detail=detail, sent=True) from None
        assert isinstance(reply, FleetStatus)
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._loop.wait_for(self._client.close())


def _build_application(site: Site) -> cherrypy.Application:
    settings = {
        "/": {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "error_page.default": show_error,
        }
    }
    application = cherrypy.Application(site, "", settings)
    application.log.screen = False
    application.log.error_log.setLevel(logging.CRITICAL)
    application.log.access_log.setLevel(logging.CRITICAL)
    return application
