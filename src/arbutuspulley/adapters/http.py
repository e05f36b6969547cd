"""The shared set-up of the HTTP client: bounded waits and no hidden retries."""

import urllib3
from urllib3.exceptions import ConnectTimeoutError, EmptyPoolError, HTTPError

from arbutuspulley.settings import split_address

MAX_IDLE_CONNECTIONS = 32
"""Idle connections kept open to one address."""


def build_pool(
    *,
    address: str,
    connect_timeout_ms: int = 2_000,
    read_timeout_ms: int = 2_000,
    connections: int = MAX_IDLE_CONNECTIONS,
) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to one address, safe to use from all threads.

    The pool never retries and never follows a redirect: only the caller knows
    whether sending the same bytes again is allowed. Its ``urlopen`` raises
    :class:`urllib3.exceptions.HTTPError`; see :func:`is_not_sent`.

    :param address: ``host:port`` with an IP number as host.
    :param connect_timeout_ms: longest wait for a new connection.
    :param read_timeout_ms: longest wait for the next bytes of an answer.
    :param connections: idle connections to keep; more are opened when needed.
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
    """Tell whether no byte of the request left this process.

    Only a connection that was never established proves it. A connection that
    breaks later may have carried the request, however early it breaks: a reset
    while sending shows up here after the kernel took the bytes, and the server
    may have read them.

    :param error: what a call of a pool from :func:`build_pool` raised.
    """
    return isinstance(error, ConnectTimeoutError | EmptyPoolError)
