"""Headers of clients' requests and of servers' answers: decoding and building."""

import hashlib
import math
import re
from collections.abc import Iterable, Mapping

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.decoding import MAX_NUMBER, MAX_TIME_MS
from arbutuspulley.platform import names
from arbutuspulley.platform.incarnations import get_server_id
from arbutuspulley.ports.fleet import InboundRequest, ModelNeed

PLATFORM_EVENT_FIELDS = frozenset((names.WEIGHT_VERSIONS.lower().encode(),))
"""Fields of an event beside those of the standard."""

MAX_REFUSALS_PER_S = 10_000
"""Largest number of refusals per second that a server may state."""

MAX_TOKENS = 1_000_000_000
"""Largest number of tokens that a request can state; a larger one counts as this. No
model has as long a context, and the sum of a billion requests fits into 64 bits."""

MAX_NAME_LENGTH = 256
"""Longest name by which a client's attempt, model or adapter is known, in characters.
"""

_DIGEST_LENGTH = 32
"""Length of the digest that replaces the end of a longer one, in characters."""

MAX_PROMPT_PARTS = 32
"""Maximum number of parts of a prompt that are read; further ones are only forwarded.
"""

_PART_ID = re.compile(r"[0-9a-f]{1,64}")

_MISDIRECTED = 421
"""Status of an answer by another server than the request is meant for."""

_EVENT_STREAM = "text/event-stream"

_COOLDOWN_STATUSES = frozenset((429, 503))
"""Statuses of an answer by which a server may ask for a time without requests."""

_PROMISE_STATUSES = frozenset((408, _MISDIRECTED, 429, 503))
"""Statuses that promise a caller that its request has not run and never will."""

_NOT_RUN_STATUSES = frozenset((400, _MISDIRECTED, 429, 503))
"""Statuses with which a server may prove that it did not run a request."""


def decode_request(
    *, method: str, path: str, headers: Iterable[tuple[str, str]]
) -> InboundRequest:
    """Decode a client's request, without its body."""
    listed = list(headers)
    found = {name.lower(): value for name, value in listed}
    dropped = _list_dropped_headers(found.get("connection", ""))
    kept = [
        (name, value)
        for name, value in listed
        if name.lower() not in dropped
        and _normalise_name(name) not in names.RESERVED_HEADERS
    ]
    keys = _list_values(listed, names.KEY)
    shared_parts, own_part = _read_parts(_list_values(listed, names.PROMPT_PREFIX))
    return InboundRequest(
        attempt_id=shorten_name(found.get(names.ATTEMPT_ID.lower(), "")),
        method=method,
        host=found.get("host", "").partition(":")[0].lower(),
        path=path,
        headers=kept,
        wait_ms=_read_number(found.get(names.DEADLINE.lower()), most=MAX_TIME_MS),
        need=_decode_model_need(found),
        resumes=names.LAST_EVENT_ID.lower() in found,
        resumed_attempt=_read_resumed_attempt(_list_values(listed, names.RESUMES)),
        key=keys[0].strip() if len(keys) == 1 else "",
        usage_tokens=_sum_token_usage(found.get(names.TOKEN_USAGE.lower())),
        shared_parts=shared_parts,
        own_part=own_part,
    )


def shorten_name(name: str) -> str:
    """Return a name of bounded length that differs as its original does.

    Names are kept in tables, sent to other instances and written to the store and logs.
    What a server receives is the original.
    """
    if len(name) <= MAX_NAME_LENGTH:
        return name
    digest = hashlib.sha256(name.encode(errors="surrogateescape")).hexdigest()
    return name[: MAX_NAME_LENGTH - _DIGEST_LENGTH] + digest[:_DIGEST_LENGTH]


def find_undecodable(headers: Iterable[tuple[str, str]]) -> str:
    """Return a header that names a request or its model and is not UTF-8.

    Messages to other instances can't carry it.

    :return: empty if there is none.
    """
    checked = {names.ATTEMPT_ID.lower(), names.MODEL.lower()}
    for name, value in headers:
        if name.lower() in checked and not _is_encodable(value):
            return name
    return ""


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def build_headers(
    request: InboundRequest,
    *,
    remaining_ms: int,
    incarnation: str,
    priority: int | None,
    last_event_id: str = "",
    team: str = "",
) -> list[tuple[str, str]]:
    """Build the headers of a request to a server.

    :param remaining_ms: time until the request's deadline.
    :param incarnation: the only start of the server that may run the request.
    :param priority: rank at a model server, ``None`` for a plain service.
    :param last_event_id: event after which a stream is resumed; empty for none.
    :param team: the caller's team; empty if it needs no key.
    """
    headers = list(request.headers)
    headers.append((names.DEADLINE, str(remaining_ms)))
    headers.append((names.EXPECT_INSTANCE, get_server_id(incarnation)))
    if team:
        headers.append((names.TEAM, team))
    if priority is not None:
        headers.append((names.REQUEST_PRIORITY, str(priority)))
    if last_event_id:
        headers = [header for header in headers if header[0].lower() != "last-event-id"]
        headers.append((names.LAST_EVENT_ID, last_event_id))
    return headers


def select_relayed_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of a request that another instance wants to be forwarded."""
    return [
        header
        for header in headers
        if header[0].lower() not in names.CONNECTION_HEADERS
    ]


def is_misdirected(status: int) -> bool:
    """Return whether another server answered than the request was meant for."""
    return status == _MISDIRECTED


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an answer proves that the server did not run the request."""
    if is_misdirected(status):
        return True
    return status in _NOT_RUN_STATUSES and names.NOT_EXECUTED in headers


def is_promise(status: int) -> bool:
    """Return whether a status promises a caller that its request never runs."""
    return status in _PROMISE_STATUSES


def is_valid_status(status: int) -> bool:
    """Return whether a status is one of HTTP's; any other is a server's error.

    RFC 9110, section 15.
    """
    return 100 <= status <= 599


def is_server_error(status: int) -> bool:
    """Return whether an answer reports an error of the server, not of the request.

    A refusal is one as well, unless the server states that it did not run the request.
    """
    return status >= 500 or is_promise(status)


def is_success(status: int) -> bool:
    """Return whether an answer is what the request asked for."""
    return 200 <= status < 300


def is_answer_to(request: InboundRequest, headers: Mapping[str, str]) -> bool:
    """Return whether an answer comes from a server and belongs to this request."""
    if shorten_name(headers.get(names.ATTEMPT_ID, "")) != request.attempt_id:
        return False
    return names.SEAL in headers


def is_event_stream(headers: Mapping[str, str]) -> bool:
    """Return whether an answer on a streaming route is an event stream.

    One without a content type is taken for what the route names.
    """
    content_type = headers.get("Content-Type", _EVENT_STREAM)
    return content_type.partition(";")[0].strip().lower() == _EVENT_STREAM


def select_answer_headers(
    headers: Iterable[tuple[str, str]], *, has_body: bool = True
) -> list[tuple[str, str]]:
    """Return the headers of a server's answer that are forwarded to the client.

    :param has_body: if not, the length is that of the body of another answer, which
        only the server knows.
    """
    listed = list(headers)
    connection = ",".join(
        value for name, value in listed if name.lower() == "connection"
    )
    dropped = names.CONNECTION_HEADERS | _split_connection_tokens(connection)
    if not has_body:
        dropped -= {"content-length"}
    return [header for header in listed if header[0].lower() not in dropped]


def read_server_limit(headers: Mapping[str, str]) -> float | None:
    """Return a server's rate limit from its answer's headers, in requests per second.

    :return: ``None`` if the server states no limit.
    :raises ValueError: if the limit is not a finite number >= 0.
    """
    text = headers.get(names.SERVER_LIMIT)
    if text is None:
        return None
    limit = _read_finite(text)
    if limit is None:
        raise ValueError(f"server limit {text!r} is not a finite number >= 0")
    return min(limit, MAX_NUMBER)


def read_server_brittle(headers: Mapping[str, str]) -> float | None:
    """Return how many requests a second a server may refuse before it falls over.

    :return: ``None`` if the server states none.
    :raises ValueError: if the number is not above 0, or too large to be meant.
    """
    text = headers.get(names.SERVER_BRITTLE)
    if text is None:
        return None
    number = _read_finite(text)
    if not number or number > MAX_REFUSALS_PER_S:
        raise ValueError(
            f"{names.SERVER_BRITTLE} {text!r} is not a number above 0 and up to"
            f" {MAX_REFUSALS_PER_S}"
        )
    return number


def read_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether a server states in its answer's headers that it is leaving.

    :raises ValueError: if the statement is neither ``0`` nor ``1``.
    """
    text = headers.get(names.SERVER_LEAVING, "0").strip()
    if text not in ("0", "1"):
        raise ValueError(f"{names.SERVER_LEAVING} {text!r} is neither 0 nor 1")
    return text == "1"


def read_cooldown(status: int, headers: Mapping[str, str]) -> int | None:
    """Return for how long a server wants no requests from this instance, in ms.

    :param status: status of its answer.
    :return: ``None`` if it does not say.
    :raises ValueError: if the time is not a finite number of seconds >= 0.
    """
    text = headers.get(names.RETRY_AFTER)
    if text is None or status not in _COOLDOWN_STATUSES:
        return None
    seconds = _read_finite(text)
    if seconds is None:
        raise ValueError(f"{names.RETRY_AFTER} {text!r} is not a finite number >= 0")
    return math.ceil(min(seconds * SECOND_MS, MAX_TIME_MS))


def get_sent_attempt_id(request: InboundRequest) -> str:
    """Return the id that a client sent, or the one that its request was given."""
    named = _list_values(request.headers, names.ATTEMPT_ID)
    return named[-1] if named else request.attempt_id


def build_refusal_headers(
    *, attempt_id: str, retry_after_ms: int | None
) -> dict[str, str]:
    """Build the headers of an answer by which the system refuses a request."""
    headers = {names.ATTEMPT_ID: attempt_id} if attempt_id else {}
    if retry_after_ms is not None:
        headers[names.RETRY_AFTER] = f"{retry_after_ms / 1_000:.3f}"
    return headers


def _read_resumed_attempt(values: list[str]) -> str:
    """Return the one attempt that is named; empty if none, several or no id are."""
    named = {value.strip() for value in values}
    if len(named) != 1:
        return ""
    attempt = named.pop()
    is_id = attempt.isascii() and len(attempt) <= MAX_NAME_LENGTH
    return attempt if is_id else ""


def _read_parts(values: list[str]) -> tuple[tuple[str, ...], str]:
    """Return the ids of the parts of a prompt.

    Parts without a readable id are left out.

    :return: those that other requests may share, in order, which are all but the last
        one, and the last one; empty if there is none.
    """
    listed = ",".join(values).split(",", MAX_PROMPT_PARTS)
    ids = [part.partition(":")[0].strip().lower() for part in listed]
    *shared, last = ids[:MAX_PROMPT_PARTS]
    is_read = len(ids) <= MAX_PROMPT_PARTS and _PART_ID.fullmatch(last)
    readable = dict.fromkeys(part for part in shared if _PART_ID.fullmatch(part))
    return tuple(readable), last if is_read else ""


def _list_values(headers: Iterable[tuple[str, str]], name: str) -> list[str]:
    return [value for header, value in headers if header.lower() == name.lower()]


def _normalise_name(name: str) -> str:
    """Return a header's name in the spelling to which some servers normalise it."""
    return name.lower().replace("_", "-")


def _sum_token_usage(usage: str | None) -> int | None:
    """Return a request's token usage, prompt plus output; ``None`` if unknown."""
    if usage is None:
        return None
    numbers = [_read_tokens(part) for part in usage.split(",")]
    known = [number for number in numbers if number is not None]
    return sum(known) if known else None


def _list_dropped_headers(connection: str) -> frozenset[str]:
    return (
        names.RESERVED_HEADERS
        | names.CONNECTION_HEADERS
        | _split_connection_tokens(connection)
    )


def _split_connection_tokens(connection: str) -> frozenset[str]:
    tokens = (token.strip().lower() for token in connection.split(","))
    protected = {names.ATTEMPT_ID.lower(), "host"}
    return frozenset(token for token in tokens if token and token not in protected)


def _decode_model_need(found: Mapping[str, str]) -> ModelNeed | None:
    named = found.get(names.MODEL.lower(), "")
    if not named:
        return None
    model, _, adapter = map(shorten_name, named.partition("/"))
    prompt, _, output = found.get(names.TOKEN_USAGE.lower(), "").partition(",")
    return ModelNeed(
        model=model,
        adapter=adapter,
        prompt_tokens=_read_tokens(prompt) or 1,
        output_tokens=_read_tokens(output) or 1,
        expected_tokens=_read_tokens(found.get(names.LENGTH_HINT.lower())) or 0,
    )


def _read_finite(text: str) -> float | None:
    """Return a finite number >= 0; ``None`` if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _read_number(text: str | None, *, most: int) -> int | None:
    """Return a number without its fraction; ``None`` if the text is none.

    :param most: largest absolute value; a larger one counts as this.
    """
    try:
        number = int(float(text)) if text else None
    except (OverflowError, ValueError):
        return None
    return None if number is None else max(-most, min(most, number))


def _read_tokens(text: str | None) -> int | None:
    number = _read_number(text, most=MAX_TOKENS)
    return None if number is None else max(0, number)
