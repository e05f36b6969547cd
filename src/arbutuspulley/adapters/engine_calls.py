"""HTTP calls to a backend server, and the errors that they fail with.

An error must state correctly whether the failed request may have run: :func:`send`
decides this for connection failures, :func:`build_status_error` for statuses.
"""

from collections.abc import Mapping

import msgspec
from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from arbutuspulley.adapters.engine_messages import LEAVING, RETRY_AFTER_MS, RUN_STATE
from arbutuspulley.adapters.http import Target, is_not_sent, send_once
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Message
from arbutuspulley.decoding import UndecodableError, guard_decoding
from arbutuspulley.ports.engines import BrokenError, NotSentError, RefusedError
from arbutuspulley.results import RunState

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Maximum size of a reply from a service, or to an order or a report request."""

MAX_DETAIL_CHARACTERS = 300
"""Maximum length of the part of a server's error message that is kept."""

_BAD_REQUEST_STATUSES = frozenset({400, 404, 405, 413, 422})


class _ErrorDetail(Message, frozen=True):
    message: str = ""


class _ErrorBody(Message, frozen=True):
    """An error body in the format of the chat completions API."""

    error: _ErrorDetail = _ErrorDetail()


_decode_error_body = guard_decoding(msgspec.json.Decoder(_ErrorBody).decode)


def send(
    server: Target,
    method: str,
    path: str,
    *,
    body: bytes | None,
    headers: Mapping[str, str],
) -> BaseHTTPResponse:
    """Send a request once, on a new connection, and return the response.

    Its body is unread; the connection is closed when it has been read or is closed.

    :param path: path and query.
    :raises NotSentError: if no byte of the request was sent.
    :raises BrokenError: if part of it may have been sent and no response arrived.
    """
    try:
        return send_once(server, method, path, body=body, headers=headers)
    except HTTPError as error:
        detail = f"{server.address}: {describe(error)}"
        if is_not_sent(error):
            raise NotSentError(detail=detail) from error
        raise BrokenError(detail=detail) from error


def read_body(response: BaseHTTPResponse) -> bytes:
    """Return the body and release the connection.

    :raises BrokenError: if the body is incomplete or larger than
        :data:`MAX_REPLY_BYTES`.
    """
    try:
        body = response.read(MAX_REPLY_BYTES + 1)
    except HTTPError as error:
        raise BrokenError(detail=f"reply interrupted: {describe(error)}") from error
    if len(body) > MAX_REPLY_BYTES:
        response.close()
        raise BrokenError(detail=f"reply over {MAX_REPLY_BYTES} bytes")
    response.release_conn()
    return body


def build_status_error(response: BaseHTTPResponse) -> RefusedError | BrokenError:
    """Return the error for a response with a status other than 200.

    Only the server's own header that it did not admit the request, or a status for an
    invalid request, proves that the request did not run. A plain 500 or 503 may come
    from a server that failed while it ran the request.
    """
    was_not_admitted = is_not_admitted(response)
    is_invalid = response.status in _BAD_REQUEST_STATUSES
    detail = _read_detail(response)
    if not was_not_admitted and not is_invalid:
        return BrokenError(detail=detail)
    # A server without the item answers 404, too, but another server may have it.
    lacks_item = response.status == 404 and was_not_admitted
    return RefusedError(
        detail=detail,
        retry_after_ms=_read_retry_after(response),
        leaving=response.headers.get(LEAVING) == "true",
        final=is_invalid and not lacks_item,
    )


def is_not_admitted(response: BaseHTTPResponse) -> bool:
    """Return whether the server's headers say that it did not run the request."""
    return response.headers.get(RUN_STATE) == RunState.NOT_RUN.value


def describe(error: HTTPError) -> str:
    """Return an error's class name; its message has addresses and object ids."""
    return type(error).__name__


def _read_detail(response: BaseHTTPResponse) -> str:
    fallback = f"backend server answered with status {response.status}"
    try:
        body = _decode_error_body(read_body(response))
    except (BrokenError, UndecodableError):
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
