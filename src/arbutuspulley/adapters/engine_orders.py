"""Sends an order to the one boot of an engine that it is meant for.

The ledger frees what was reserved for orders of an earlier boot as soon as the engine
reports a new one. That is safe only if no such order can arrive later: it must end
with the connection, and so with the process, to which it was sent.
"""

from http.client import HTTPException, NotConnected

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.ports.engines import (
    BrokenError,
    NotSentError,
    Order,
    OrderReply,
    Report,
)
from arbutuspulley.settings import split_address

_REPORT = msgspec.json.Decoder(Report)
_REPLY = msgspec.json.Decoder(OrderReply)
_HEADERS = {"Content-Type": "application/json"}
_FAILURES = (HTTPError, HTTPException, OSError, msgspec.DecodeError)


def send_order(
    address: str, order: Order, *, connect_timeout_ms: int, timeout_ms: int
) -> OrderReply:
    """Ask for the engine's boot and send the order on the same connection.

    :param timeout_ms: longest wait for each of both replies.
    :raises NotSentError: if no byte of the order left, also because the engine has
        another boot than the order names.
    :raises BrokenError: if the order may have arrived.
    """
    host, port = split_address(address)
    connection = HTTPConnection(host, port, timeout=connect_timeout_ms / SECOND_MS)
    try:
        _check_boot_id(connection, order, timeout_ms=timeout_ms)
        return _send(connection, order)
    finally:
        connection.close()


def _check_boot_id(
    connection: HTTPConnection, order: Order, *, timeout_ms: int
) -> None:
    try:
        connection.connect()
        connection.timeout = timeout_ms / SECOND_MS
        # If the engine closes the connection and restarts before the order goes out,
        # opening it anew would carry the order to the next boot, where nothing is
        # reserved for it. Without this the order fails instead.
        connection.auto_open = 0
        connection.request("GET", "/report", headers=_HEADERS)
        report = _REPORT.decode(connection.getresponse().data)
    except _FAILURES as error:
        detail = f"no report before the order: {type(error).__name__}"
        raise NotSentError(detail=detail) from error
    if order.boot_id and report.boot_id != order.boot_id:
        raise NotSentError(detail="the engine has restarted since the order was made")


def _send(connection: HTTPConnection, order: Order) -> OrderReply:
    body = msgspec.json.encode(order)
    try:
        connection.request("POST", "/orders", body=body, headers=_HEADERS)
        response = connection.getresponse()
        if response.status == 200:
            return _REPLY.decode(response.data)
    except NotConnected as error:
        raise NotSentError(detail="the engine closed the connection") from error
    except _FAILURES as error:
        detail = f"order broke off: {type(error).__name__}"
        raise BrokenError(detail=detail) from error
    raise BrokenError(detail=f"order answered with status {response.status}")
