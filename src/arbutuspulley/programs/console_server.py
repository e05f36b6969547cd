"""The console's connections: the server for operators, the link to its controller."""

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.loop import LoopThread
from arbutuspulley.programs.console_http import Site, render_error
from arbutuspulley.rpc.channel import STATUS, Client, PeerUnavailableError
from arbutuspulley.rpc.messages import FleetStatus, StatusRequest
from arbutuspulley.web import Limits, WebServer, build_application

STATUS_TIMEOUT_MS = 3_000
"""Longest wait for the controller's status."""

STOP_TIMEOUT_MS = 10 * SECOND_MS
"""How long a stopping console waits for requests in flight."""

THREADS = 16
"""Requests handled at once."""

MAX_HEADER_BYTES = 16 * 1024
"""Largest request head taken."""

SOCKET_TIMEOUT_MS = 20 * SECOND_MS
"""How long a client may stall while it sends a request."""


def build_server(*, site: Site, host: str, port: int) -> WebServer:
    """Return the console's HTTP server.

    :param site: what it answers.
    :param host: IP number to listen on.
    :param port: 0 takes a free one.
    """
    limits = Limits(
        threads=THREADS,
        stop_timeout_ms=STOP_TIMEOUT_MS,
        socket_timeout_ms=SOCKET_TIMEOUT_MS,
        header_bytes=MAX_HEADER_BYTES,
    )
    application = build_application(site, render_error=render_error)
    return WebServer(application=application, host=host, port=port, limits=limits)


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
