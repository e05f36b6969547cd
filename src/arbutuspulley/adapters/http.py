"""Connection pools of the HTTP client: with timeouts and without implicit retries."""

import urllib3
from urllib3.exceptions import ConnectTimeoutError, EmptyPoolError, HTTPError

from arbutuspulley.settings import split_address

MAX_IDLE_CONNECTIONS = 32
"""Maximum number of idle connections to one address."""


def build_pool(
    *,
    address: str,
    connect_timeout_ms: int = 2_000,
    read_timeout_ms: int = 2_000,
    connections: int = MAX_IDLE_CONNECTIONS,
) -> urllib3.HTTPConnectionPool:
    """Return a thread-safe pool of connections to one address.

    The pool never retries and never follows a redirect: only the caller knows whether
    it may send the same request again. Its ``urlopen`` raises
    :class:`urllib3.exceptions.HTTPError`; see :func:`is_not_sent`.

    :param address: ``host:port`` with an IP address as host.
    :param connect_timeout_ms: timeout of opening a connection.
    :param read_timeout_ms: timeout of the next bytes of a response.
    :param connections: maximum number of idle connections; more are opened on demand.
    """
    host, port = split_address(address)
    return urllib3.HTTPConnectionPool(
        host,
        port,
        maxsize=connections,
        block=False,
        retries=False,
        timeout=urllib3.Timeout(
            connect=connect_timeout_ms / 1000, read=read_timeout_ms / 1000
        ),
    )


def is_not_sent(error: HTTPError) -> bool:
    """Return whether no byte of the request was sent.

    Only a connection that was never established proves this. One that breaks later
    may have carried the request, however early it breaks: a reset during sending is
    reported after the kernel accepted the bytes, and the server may have read them.

    :param error: error raised by a pool from :func:`build_pool`.
    """
    return isinstance(error, ConnectTimeoutError | EmptyPoolError)
