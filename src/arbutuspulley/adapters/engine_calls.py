"""One HTTP call to a backend server, and what its failure proves.

The one question to answer without error is whether a failed request may have run:
:func:`send` answers it for connections, :func:`build_status_error` for statuses.
"""

from collections.abc import Mapping

import msgspec
import urllib3
from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from arbutuspulley.adapters.engine_messages import LEAVING, RETRY_AFTER_MS, RUN_STATE
from arbutuspulley.adapters.http import is_not_sent
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Message
from arbutuspulley.ports.engines import BrokenError, NotSentError, RefusedError
from arbutuspulley.results import RunState

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Largest reply taken from a plain service or to an order or a report."""

MAX_DETAIL_CHARACTERS = 300
"""Most letters taken over from a server's error message."""

_BAD_REQUEST_STATUSES = frozenset({400, 404, 405, 413, 422})


class _ErrorDetail(Message, frozen=True):
    message: str = ""


class _ErrorBody(Message, frozen=True):
    """An error in the usual protocol's shape."""

    error: _ErrorDetail = _ErrorDetail()


_ERROR_BODY = msgspec.json.Decoder(_ErrorBody)


def send(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    target: str,
    *,
    body: bytes | None,
    headers: Mapping[str, str],
) -> BaseHTTPResponse:
    """Send a request once and return the head of the answer.

    :param pool: from :func:`~arbutuspulley.adapters.http.build_pool`, which neither
        retries nor follows redirects.
    :raises NotSentError: if no byte left.
    :raises BrokenError: if some may have left and no answer came.
    """
    try:
        return pool.urlopen(
            method,
            target,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
    except HTTPError as error:
        detail = f"{pool.host}:{pool.port}: {describe(error)}"
        if is_not_sent(error):
            raise NotSentError(detail=detail) from error
        raise BrokenError(detail=detail) from error


def read_body(response: BaseHTTPResponse) -> bytes:
    """Return the body and give the connection back.

    :raises BrokenError: if it does not come whole or is too large.
    """
    try:
        body = response.read(MAX_REPLY_BYTES + 1)
    except HTTPError as error:
        raise BrokenError(detail=f"reply broke off: {describe(error)}") from error
    if len(body) > MAX_REPLY_BYTES:
        response.close()
        raise BrokenError(detail=f"reply over {MAX_REPLY_BYTES} bytes")
    response.release_conn()
    return body


def build_status_error(response: BaseHTTPResponse) -> RefusedError | BrokenError:
    """Tell what a status other than 200 proves.

    Only the server's own word that it did not admit the request, or a status by
    which it found the request wrong, proves that nothing ran. A bare 500 or 503
    may come from a server that failed halfway.
    """
    was_not_admitted = is_not_admitted(response)
    is_invalid = response.status in _BAD_REQUEST_STATUSES
    detail = _read_detail(response)
    if not was_not_admitted and not is_invalid:
        return BrokenError(detail=detail)
    # A server that lacks the item says 404 as well, but another one may have it.
    lacks_item = response.status == 404 and was_not_admitted
    return RefusedError(
        detail=detail,
        retry_after_ms=_read_retry_after(response),
        leaving=response.headers.get(LEAVING) == "true",
        final=is_invalid and not lacks_item,
    )


def is_not_admitted(response: BaseHTTPResponse) -> bool:
    """Tell whether the server itself says that it did not run the request."""
    return response.headers.get(RUN_STATE) == RunState.NOT_RUN.value


def describe(error: HTTPError) -> str:
    """Name an error without the addresses and objects in its own message."""
    return type(error).__name__


def _read_detail(response: BaseHTTPResponse) -> str:
    fallback = f"backend server answered with status {response.status}"
    try:
        body = _ERROR_BODY.decode(read_body(response))
    except (BrokenError, msgspec.DecodeError):
        return fallback
    return body.error.message[:MAX_DETAIL_CHARACTERS] or fallback


def _read_retry_after(response: BaseHTTPResponse) -> int | None:
    exact = response.headers.get(RETRY_AFTER_MS, "")
    if exact.isdecimal():
        return int(exact)
    seconds = response.headers.get("Retry-After", "")
    if seconds.isdecimal():
        return int(seconds) * SECOND_MS
    return None
