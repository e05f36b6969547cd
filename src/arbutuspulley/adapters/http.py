"""HTTP client with timeouts, without implicit retries and without kept connections.

The heads of the answers that it reads name no request. So an answer, and above all a
refusal, belongs to a request only if its connection has carried no other one.
"""

from collections.abc import Mapping

import urllib3
from urllib3 import BaseHTTPResponse
from urllib3.exceptions import ConnectTimeoutError, EmptyPoolError, HTTPError

from arbutuspulley.data import Value
from arbutuspulley.settings import split_address


class Target(Value, frozen=True):
    """A server to call, and the timeouts of a call.

    :param address: ``host:port`` with an IP address as host.
    :param connect_timeout_ms: timeout of opening a connection.
    :param read_timeout_ms: timeout of the next bytes of a response.
    """

    address: str
    connect_timeout_ms: int = 2_000
    read_timeout_ms: int = 2_000


def send_once(
    target: Target,
    method: str,
    path: str,
    *,
    body: bytes | None,
    headers: Mapping[str, str],
) -> BaseHTTPResponse:
    """Send a request once, on a new connection, and return the response.

    Its body is unread; the connection is closed when it has been read or is closed.
    Nothing is retried and no redirect is followed: only the caller knows whether it may
    send the same request again.

    :param path: path and query.
    :raises urllib3.exceptions.HTTPError: if no response arrived; see
        :func:`is_not_sent`.
    """
    host, port = split_address(target.address)
    # A closed pool keeps no connection, so the one in use is closed on release.
    with urllib3.HTTPConnectionPool(
        host,
        port,
        retries=False,
        timeout=urllib3.Timeout(
            connect=target.connect_timeout_ms / 1000,
            read=target.read_timeout_ms / 1000,
        ),
    ) as pool:
        return pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )


def is_not_sent(error: HTTPError) -> bool:
    """Return whether no byte of the request was sent.

    Only a connection that was never established proves this. One that breaks later
    may have carried the request, however early it breaks: a reset during sending is
    reported after the kernel accepted the bytes, and the server may have read them.

    :param error: error raised by :func:`send_once`.
    """
    return isinstance(error, ConnectTimeoutError | EmptyPoolError)
