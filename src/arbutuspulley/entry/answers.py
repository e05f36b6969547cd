"""Answers to callers: JSON and server-sent events in the OpenAI format."""

from collections.abc import Generator, Iterable
from typing import Any

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Message, State, Value
from arbutuspulley.decoding import decode_json
from arbutuspulley.results import Code, RequestError, RunState

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream; charset=utf-8"

MAX_CLIENT_RETRY_AFTER_MS = 60 * SECOND_MS
"""Longest ``Retry-After`` that common client libraries obey."""

END_EVENT = b"data: [DONE]\n\n"
"""Last event of a complete stream; a stream without it is incomplete."""

REQUEST_ID_HEADER = "X-Arbutus-Request-Id"
RUN_STATE_HEADER = "X-Arbutus-Run-State"
RESULT_CODE_HEADER = "X-Arbutus-Code"

_ERROR_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    429: "rate_limit_error",
}
_REPLACED_KEYS = frozenset({"id", "index", "name", "role", "type"})


class Outcome(State):
    """Outcome of an answer; that of a stream is known only at its end."""

    code: Code = Code.OK
    run_state: RunState = RunState.RUN


class Answer(Value, frozen=True):
    """An HTTP answer to a caller.

    :param body: the whole body, or a generator of its events.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | Generator[bytes, None, None]
    outcome: Outcome


class ErrorDetail(Message, frozen=True, omit_defaults=False):
    """The OpenAI error object with additional fields."""

    message: str
    type: str
    code: str
    arbutus_code: int
    run_state: RunState
    param: str | None = None
    retry_after_ms: int | None = None
    addresses: tuple[str, ...] = ()


class ErrorBody(Message, frozen=True, omit_defaults=False):
    """Body of each error answer."""

    error: ErrorDetail


class Assembly(State):
    """An unstreamed answer under construction from the events of a stream.

    :param fields: top-level fields except the choices; later events overwrite them.
    :param choices: merged choices by index.
    """

    fields: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}


def build_error_body(error: RequestError) -> bytes:
    """Return the JSON body of an error in the OpenAI format."""
    default = "invalid_request_error" if error.status < 500 else "server_error"
    detail = ErrorDetail(
        message=error.detail,
        type=_ERROR_TYPES.get(error.status, default),
        code=error.code.name.lower(),
        arbutus_code=error.code.value,
        run_state=error.run_state,
        retry_after_ms=error.retry_after_ms,
        addresses=error.addresses,
    )
    return msgspec.json.encode(ErrorBody(error=detail))


def build_error(error: RequestError) -> Answer:
    """Return the answer for an error, with its headers."""
    headers = [
        ("Content-Type", JSON_TYPE),
        (RUN_STATE_HEADER, error.run_state.value),
        (RESULT_CODE_HEADER, str(error.code.value)),
    ]
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // SECOND_MS)
        headers.append(("Retry-After", str(max(1, seconds))))
    if error.retry_after_ms is None or error.retry_after_ms > MAX_CLIENT_RETRY_AFTER_MS:
        # Client libraries retry some statuses on their own, and immediately if
        # Retry-After is longer than they are willing to wait.
        headers.append(("X-Should-Retry", "false"))
    return Answer(
        status=error.status,
        headers=tuple(headers),
        body=build_error_body(error),
        outcome=Outcome(code=error.code, run_state=error.run_state),
    )


def build_success(
    body: bytes | Generator[bytes, None, None],
    *,
    content_type: str = JSON_TYPE,
    status: int = 200,
    run_state: RunState = RunState.RUN,
    headers: Iterable[tuple[str, str]] = (),
    outcome: Outcome | None = None,
) -> Answer:
    """Return an answer that is not an error of the entry.

    :param outcome: updated when a stream ends.
    """
    return Answer(
        status=status,
        headers=(
            ("Content-Type", content_type),
            (RUN_STATE_HEADER, run_state.value),
            (RESULT_CODE_HEADER, str(Code.OK.value)),
            *headers,
        ),
        body=body,
        outcome=outcome or Outcome(run_state=run_state),
    )


def build_event(prefix: bytes, offset: int, data: bytes) -> bytes:
    """Return one event; only joins bytes, because it is called for each token.

    :param prefix: ``b"id: <request id>:"``.
    """
    return b"%b%d\ndata: %b\n\n" % (prefix, offset, data)


def build_event_prefix(request_id: str) -> bytes:
    """Return the prefix that all events of one answer share."""
    return b"id: " + request_id.encode() + b":"


def build_error_event(error: RequestError) -> bytes:
    """Return the error event that ends an interrupted stream; it has no id."""
    return b"data: " + build_error_body(error) + b"\n\n"


def add_event(assembly: Assembly, data: bytes) -> None:
    """Merge the data of the next event into an answer.

    :raises UndecodableError: if it is not a JSON object.
    """
    event = decode_json(data, dict[str, Any])
    for choice in event.pop("choices", ()):
        merged = assembly.choices.setdefault(choice.get("index", 0), {})
        message = choice.pop("delta", None)
        if message is not None:
            choice["message"] = message
        _merge(merged, choice)
    assembly.fields.update(
        (key, value) for key, value in event.items() if value is not None
    )


def build_plain_body(assembly: Assembly) -> bytes:
    """Return the JSON body of the assembled answer, as if it had not been streamed."""
    fields = dict(assembly.fields)
    object_type = str(fields.get("object", "")).removesuffix(".chunk")
    choices = [assembly.choices[index] for index in sorted(assembly.choices)]
    return msgspec.json.encode({**fields, "object": object_type, "choices": choices})


def _merge(merged: dict[str, Any], added: dict[str, Any]) -> None:
    """Merge the fields of an event into those of earlier events."""
    for key, value in added.items():
        previous = merged.get(key)
        if previous is None or key in _REPLACED_KEYS:
            merged[key] = value if value is not None else previous
        elif isinstance(previous, str) and isinstance(value, str):
            merged[key] = previous + value if key != "finish_reason" else value
        elif isinstance(previous, dict) and isinstance(value, dict):
            _merge(previous, value)
        elif isinstance(previous, list) and isinstance(value, list):
            _merge_lists(previous, value)
        elif value is not None:
            merged[key] = value


def _merge_lists(merged: list[Any], added: list[Any]) -> None:
    """Append list items; items with an index, such as tool calls, merge by index."""
    for item in added:
        index = item.get("index") if isinstance(item, dict) else None
        matches = [
            existing
            for existing in merged
            if index is not None
            and isinstance(existing, dict)
            and existing.get("index") == index
        ]
        if matches:
            _merge(matches[0], item)
        else:
            merged.append(item)
