"""Sends an order only to the boot of an engine that it is meant for.

The ledger frees memory reserved for orders of an earlier boot as soon as the engine
reports a new boot. That is safe only if no such order can arrive later: an order must
fail with the connection, and so with the engine process, to which it was sent.
"""

from http.client import HTTPException, NotConnected

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.decoding import UndecodableError, guard_decoding
from arbutuspulley.ports.engines import (
    BrokenError,
    NotSentError,
    Order,
    OrderReply,
    Report,
)
from arbutuspulley.settings import split_address

_decode_report = guard_decoding(msgspec.json.Decoder(Report).decode)
_decode_reply = guard_decoding(msgspec.json.Decoder(OrderReply).decode)
_HEADERS = {"Content-Type": "application/json"}
_FAILURES = (HTTPError, HTTPException, OSError, UndecodableError)


def send_order(
    address: str, order: Order, *, connect_timeout_ms: int, timeout_ms: int
) -> OrderReply:
    """Check the engine's boot id and send the order on the same connection.

    :param timeout_ms: timeout of each of the two replies.
    :raises NotSentError: if no byte of the order was sent; also if the engine's boot id
        differs from the order's.
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
        # If the engine closes the connection and restarts before the order is sent, an
        # automatic reconnect would send the order to the next boot, where no memory is
        # reserved for it. With this setting the order fails instead.
        connection.auto_open = 0
        connection.request("GET", "/report", headers=_HEADERS)
        report = _decode_report(connection.getresponse().data)
    except _FAILURES as error:
        detail = f"cannot read the report before the order: {type(error).__name__}"
        raise NotSentError(detail=detail) from error
    if order.boot_id and report.boot_id != order.boot_id:
        raise NotSentError(detail="the engine has restarted since the order was built")


def _send(connection: HTTPConnection, order: Order) -> OrderReply:
    body = msgspec.json.encode(order)
    try:
        connection.request("POST", "/orders", body=body, headers=_HEADERS)
        response = connection.getresponse()
        if response.status == 200:
            return _decode_reply(response.data)
    except NotConnected as error:
        raise NotSentError(detail="the engine closed the connection") from error
    except _FAILURES as error:
        detail = f"order interrupted: {type(error).__name__}"
        raise BrokenError(detail=detail) from error
    raise BrokenError(detail=f"order answered with status {response.status}")
