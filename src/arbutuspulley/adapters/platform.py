"""HTTP client for the platform's table, objects and instance list."""

from collections.abc import Mapping
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from urllib3.exceptions import HTTPError

from arbutuspulley.adapters.http import Target, is_not_sent, send_once
from arbutuspulley.adapters.platform_messages import (
    INSTANCES_PATH,
    OBJECTS_PATH,
    ROW_PATH,
    SCAN_PATH,
    TRANSACT_PATH,
    Envelope,
    InstanceList,
    TransactRequest,
)
from arbutuspulley.data import Value
from arbutuspulley.decoding import UndecodableError, decode_json, decode_msgpack
from arbutuspulley.ports.platform import (
    Committed,
    Conflict,
    InstanceListing,
    Objects,
    Page,
    Platform,
    Row,
    Table,
    Transaction,
    Write,
)
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503

_Reply = TypeVar("_Reply")
_JSON_HEADERS = {"Content-Type": "application/json"}
_BINARY_HEADERS = {"Content-Type": "application/octet-stream"}


class _Response(Value, frozen=True):
    """Status and body of a complete HTTP response."""

    status: int
    body: bytes


def connect_platform(*, address: str, timeout_ms: int = 2_000) -> Platform:
    """Return the implementation of the platform port; nothing is sent yet.

    Reads have no effect, so they raise
    :class:`~arbutuspulley.results.PlatformUnavailableError` for every failure.
    ``transact`` and ``put_if_absent`` raise it only if they certainly had no effect,
    and :class:`~arbutuspulley.results.OutcomeUnknownError` otherwise.

    :param address: ``host:port`` of the platform.
    :param timeout_ms: timeout of opening a connection, and then of the response.
    """
    target = Target(
        address=address, connect_timeout_ms=timeout_ms, read_timeout_ms=timeout_ms
    )
    return Platform(
        table=_build_table(target),
        objects=_build_objects(target),
        list_instances=lambda: _list_instances(target),
    )


def _build_table(target: Target) -> Table:
    return Table(
        read=lambda key: _read_row(target, key),
        scan=lambda prefix, after, limit: _scan(target, prefix, after, limit),
        transact=lambda transaction: _transact(target, transaction),
    )


def _build_objects(target: Target) -> Objects:
    return Objects(
        get=lambda name: _get_object(target, name),
        put_if_absent=lambda name, data: _put_object(target, name, data),
    )


def _read_row(target: Target, key: str) -> Row | None:
    response = _fetch(target, ROW_PATH, {"key": key})
    if response.status == _NOT_FOUND:
        return None
    return _unwrap_row(_decode(response, Row))


def _scan(target: Target, prefix: str, after: int, limit: int) -> Page:
    parameters = {"prefix": prefix, "after": str(after), "limit": str(limit)}
    page = _decode(_fetch(target, SCAN_PATH, parameters), Page)
    rows = tuple(_unwrap_row(row) for row in page.rows)
    return msgspec.structs.replace(page, rows=rows)


def _transact(target: Target, transaction: Transaction) -> Committed | Conflict:
    body = msgspec.json.encode(_wrap_values(transaction))
    response = _write(target, "POST", TRANSACT_PATH, body, _JSON_HEADERS)
    if response.status == _CONFLICT:
        return _decode_outcome(response, Conflict)
    return _decode_outcome(response, Committed)


def _get_object(target: Target, name: str) -> bytes | None:
    response = _fetch(target, OBJECTS_PATH, {"name": name})
    return None if response.status == _NOT_FOUND else response.body


def _put_object(target: Target, name: str, data: bytes) -> bool:
    path = _build_path(OBJECTS_PATH, {"name": name})
    return _write(target, "PUT", path, data, _BINARY_HEADERS).status == _CREATED


def _list_instances(target: Target) -> tuple[InstanceListing, ...]:
    return _decode(_fetch(target, INSTANCES_PATH, {}), InstanceList).instances


def _fetch(target: Target, path: str, parameters: Mapping[str, str]) -> _Response:
    """Send a read; no failure of it can have changed anything."""
    try:
        response = _send(target, "GET", _build_path(path, parameters), None, {})
    except HTTPError as error:
        raise PlatformUnavailableError(detail=_describe(error)) from error
    if response.status not in (_OK, _NOT_FOUND):
        raise PlatformUnavailableError(detail=f"platform answered {response.status}")
    return response


def _write(
    target: Target,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
) -> _Response:
    """Send a write; its errors distinguish "had no effect" from "may have had one".

    A reply that is lost, truncated or late proves nothing: the platform may have
    written before the failure, and a caller that assumed "no effect" would write
    twice. Only a connection that was never established, or the platform's own refusal
    (503 and any 4xx except a conflict), proves that nothing was written.
    """
    try:
        response = _send(target, method, path, body, headers)
    except HTTPError as error:
        if is_not_sent(error):
            raise PlatformUnavailableError(detail=_describe(error)) from error
        raise OutcomeUnknownError(detail=_describe(error)) from error
    if response.status in (_OK, _CREATED, _CONFLICT):
        return response
    detail = f"platform answered {response.status}"
    if response.status == _UNAVAILABLE or 400 <= response.status < 500:
        raise PlatformUnavailableError(detail=detail)
    raise OutcomeUnknownError(detail=detail)


def _send(
    target: Target,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
) -> _Response:
    response = send_once(target, method, path, body=body, headers=headers)
    return _Response(status=response.status, body=response.read())


def _build_path(path: str, parameters: Mapping[str, str]) -> str:
    return f"{path}?{urlencode(parameters)}" if parameters else path


def _describe(error: HTTPError) -> str:
    return f"platform: {type(error).__name__}"


def _decode(response: _Response, kind: type[_Reply]) -> _Reply:
    try:
        return decode_json(response.body, kind)
    except UndecodableError as error:
        raise PlatformUnavailableError(detail="platform reply malformed") from error


def _decode_outcome(response: _Response, kind: type[_Reply]) -> _Reply:
    try:
        return decode_json(response.body, kind)
    except UndecodableError as error:
        raise OutcomeUnknownError(detail="platform reply malformed") from error


def _wrap_values(transaction: Transaction) -> TransactRequest:
    expected = {part.key: part.revision for part in transaction.preconditions}
    return TransactRequest(
        preconditions=transaction.preconditions,
        writes=tuple(
            _wrap_value(write, transaction.token, expected.get(write.key))
            for write in transaction.writes
        ),
    )


def _wrap_value(write: Write, token: str, replaces: int | None) -> Write:
    if write.value is None:
        return write
    envelope = Envelope(value=write.value, token=token, replaces=replaces)
    return Write(key=write.key, value=msgspec.msgpack.encode(envelope))


def _unwrap_row(row: Row) -> Row:
    """Return a row with the content of its envelope as value, token and replaces."""
    if row.deleted:
        return row
    try:
        envelope = decode_msgpack(row.value, Envelope)
    except UndecodableError as error:
        raise PlatformUnavailableError(detail=f"row {row.key} malformed") from error
    return msgspec.structs.replace(
        row, value=envelope.value, token=envelope.token, replaces=envelope.replaces
    )
