"""The console's HTTP server and its connection to the controller."""

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.loop import LoopThread
from arbutuspulley.programs.console_http import WebRoot, render_error
from arbutuspulley.rpc.channel import STATUS, Client, PeerUnavailableError
from arbutuspulley.rpc.messages import FleetStatus, StatusRequest
from arbutuspulley.web import Limits, WebServer, build_application

STATUS_TIMEOUT_MS = 3_000
"""Timeout for the controller's status, in ms."""

STOP_TIMEOUT_MS = 10 * SECOND_MS
"""Time that a stopping console waits for requests in flight, in ms."""

THREADS = 16
"""Worker threads, and so the maximum of concurrent requests."""

MAX_HEADER_BYTES = 16 * 1024
"""Maximum size of a request's header section."""

SOCKET_TIMEOUT_MS = 20 * SECOND_MS
"""Time that a client may stall while it sends a request, in ms."""


def build_server(*, root: WebRoot, host: str, port: int) -> WebServer:
    """Return the console's HTTP server.

    :param root: root object of the application.
    :param host: IP address to listen on.
    :param port: port to listen on; 0: a free one.
    """
    limits = Limits(
        threads=THREADS,
        stop_timeout_ms=STOP_TIMEOUT_MS,
        socket_timeout_ms=SOCKET_TIMEOUT_MS,
        header_bytes=MAX_HEADER_BYTES,
    )
    application = build_application(root, render_error=render_error)
    return WebServer(application=application, host=host, port=port, limits=limits)


class ControllerLink:
    """Connection to this instance's controller.

    :param address: ``host:port`` of the controller's RPC.
    :param key: the shared key of the processes.
    """

    __slots__ = ("_address", "_client", "_key", "_loop")

    def __init__(self, *, address: str, key: str, loop: LoopThread) -> None:
        self._address = address
        self._key = key
        self._loop = loop
        self._client = loop.call(lambda: Client(address=address, key=key))

    def fetch_status(self, version: int) -> FleetStatus:
        """Request the status, with the active configuration if it is newer.

        :param version: the configuration is included if its version is above this.
        :raises PeerUnavailableError: if the controller does not respond in time.
        """
        request = StatusRequest(configuration_after=version)
        call = self._client.call(STATUS, request, timeout_ms=STATUS_TIMEOUT_MS)
        limit_s = 2 * STATUS_TIMEOUT_MS / SECOND_MS
        try:
            reply = self._loop.wait_for(call, timeout_s=limit_s)
        except TimeoutError:
            detail = f"{self._address}: no response in time"
            raise PeerUnavailableError(detail=detail, sent=True) from None
        assert isinstance(reply, FleetStatus)
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._loop.wait_for(self._client.close())
