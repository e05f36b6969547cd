"""Parsing and validation of callers' requests."""

import uuid
from collections.abc import Mapping

import msgspec

from arbutuspulley.data import Message, Value
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry.index import Identity, SiteIndex
from arbutuspulley.results import Code

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"

MAX_KEY_CHARACTERS = 255
"""Maximum length of an idempotency key."""

MAX_OFFSET = 10_000_000
"""Upper bound of the event offset in ``Last-Event-ID``."""

MAX_CHOICES = 16
"""Maximum number of choices in one answer."""

MAX_TOKENS = 1_000_000
"""Maximum number of tokens that a request can ask for."""


class Call(Value, frozen=True):
    """One validated request of a caller.

    :param request_id: generated for each call; never taken from the caller.
    :param arrived_at: time of arrival in ms.
    :param key: the caller's idempotency key; empty if it sent none.
    :param unrepeatable: whether it must run at most once.
    :param path: ``/v1/...`` of the inference API, or method, path and query of a call
        to a plain service.
    :param model: name of the model or adapter; empty for a plain service.
    :param streamed: whether the caller asked for a stream of events.
    :param offset: index of the first event to send.
    :param traceparent: ``traceparent`` header for the next hop.
    """

    request_id: str
    index: SiteIndex
    identity: Identity
    path: str
    body: bytes
    arrived_at: int
    key: str = ""
    unrepeatable: bool = False
    model: str = ""
    streamed: bool = False
    offset: int = 0
    traceparent: str = ""


class _StreamOptions(Message, frozen=True):
    include_usage: bool | None = None


class _Body(Message, frozen=True):
    """The body fields that the entry needs; the engine parses the others."""

    model: str
    messages: list[dict[str, msgspec.Raw]] | None = None
    prompt: msgspec.Raw = msgspec.Raw(b"")
    stream: bool | None = None
    stream_options: _StreamOptions | None = None
    n: int | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_BODY_DECODER = msgspec.json.Decoder(_Body)
_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_TRUE = msgspec.Raw(b"true")
_INCLUDE_USAGE = msgspec.Raw(b'{"include_usage":true}')


def build_request_id() -> str:
    """Return a new random request id."""
    return uuid.uuid4().hex


def parse_inference(
    *,
    index: SiteIndex,
    identity: Identity,
    request_id: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    traceparent: str,
    now: int,
) -> Call:
    """Parse and validate a request to a model.

    :raises RequestError: ``MALFORMED_BODY``, ``BAD_PARAMETER``, ``BAD_EVENT_ID`` or
        ``KEY_REQUIRED``.
    """
    parsed = _parse_body(body, path)
    streamed = bool(parsed.stream)
    return Call(
        request_id=request_id,
        index=index,
        identity=identity,
        path=path,
        body=body if streamed else _enable_streaming(body),
        arrived_at=now,
        key=read_idempotency_key(headers),
        unrepeatable=is_unrepeatable(headers),
        model=parsed.model,
        streamed=streamed,
        offset=_read_offset(headers) if streamed else 0,
        traceparent=traceparent,
    )


def read_idempotency_key(headers: Mapping[str, str]) -> str:
    """Return the idempotency key.

    :raises RequestError: ``KEY_REQUIRED`` if an unrepeatable request has none,
        ``BAD_PARAMETER`` if it is too long.
    """
    key = headers.get("Idempotency-Key", "")
    if not key and is_unrepeatable(headers):
        detail = "an unrepeatable request needs an Idempotency-Key"
        raise build_failure(Code.KEY_REQUIRED, detail)
    if len(key) > MAX_KEY_CHARACTERS:
        detail = f"Idempotency-Key is over {MAX_KEY_CHARACTERS} characters"
        raise build_failure(Code.BAD_PARAMETER, detail)
    return key


def is_unrepeatable(headers: Mapping[str, str]) -> bool:
    """Return whether a request is marked as unrepeatable.

    :raises RequestError: ``BAD_PARAMETER`` if the header is neither true nor false;
        a wrong guess could run a booking twice.
    """
    mark = headers.get("X-Arbutus-Unrepeatable", "false").strip().lower()
    if mark not in ("true", "false"):
        detail = "X-Arbutus-Unrepeatable must be true or false"
        raise build_failure(Code.BAD_PARAMETER, detail)
    return mark == "true"


def _parse_body(body: bytes, path: str) -> _Body:
    try:
        parsed = _BODY_DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise build_failure(Code.BAD_PARAMETER, str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise build_failure(Code.MALFORMED_BODY, "the body is not JSON") from None
    _check_bounds(parsed)
    if path == CHAT_PATH and not parsed.messages:
        raise build_failure(Code.BAD_PARAMETER, "messages is missing or empty")
    if path == COMPLETIONS_PATH and not bytes(parsed.prompt):
        raise build_failure(Code.BAD_PARAMETER, "prompt is missing")
    return parsed


def _check_bounds(parsed: _Body) -> None:
    bounds = {
        "n": (parsed.n, MAX_CHOICES),
        "max_tokens": (parsed.max_tokens, MAX_TOKENS),
        "max_completion_tokens": (parsed.max_completion_tokens, MAX_TOKENS),
    }
    for name, (value, maximum) in bounds.items():
        if value is not None and not 1 <= value <= maximum:
            detail = f"{name} is not between 1 and {maximum}"
            raise build_failure(Code.BAD_PARAMETER, detail)


def _enable_streaming(body: bytes) -> bytes:
    """Return the body of an unstreamed request with streaming enabled.

    Engines always stream to the entry, because only events with offsets can be
    resumed.
    """
    fields = _FIELDS_DECODER.decode(body)
    fields["stream"] = _TRUE
    fields["stream_options"] = _INCLUDE_USAGE
    return msgspec.json.encode(fields)


def _read_offset(headers: Mapping[str, str]) -> int:
    """Return the offset that follows the last event the caller received.

    No stored answer is looked up by the id: the request is run again from the offset
    with the caller's own body, so a guessed id reveals nothing of another caller.
    """
    event_id = headers.get("Last-Event-ID", "")
    if not event_id:
        return 0
    request_id, _, offset = event_id.rpartition(":")
    if not request_id or not offset.isascii() or not offset.isdigit():
        raise build_failure(Code.BAD_EVENT_ID, "Last-Event-ID is not one of ours")
    if len(offset) > len(str(MAX_OFFSET)) or int(offset) >= MAX_OFFSET:
        raise build_failure(Code.BAD_EVENT_ID, "Last-Event-ID is out of range")
    return int(offset) + 1
