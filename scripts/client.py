"""HTTP client that follows address lists, run states and ``Retry-After``.

Used by the demo and by the integration tests. Each request ends in one of three ways:
a complete response, a refusal as not run, or an unknown outcome.
"""

import enum
import json
import time

import urllib3

from arbutuspulley.adapters.sse import EventBuffer, SentEvent, feed
from arbutuspulley.data import State, Value
from scripts.launcher import fetch

END_MARKER = b"[DONE]"
IN_PROGRESS = 3001
"""Result code: the same unrepeatable request is still running."""

RETRY_DELAY_S = 0.2
"""Delay before the next attempt if the response has no ``Retry-After``, in s."""

_TIMEOUT = urllib3.Timeout(connect=1.0, read=30.0)
_READ_BYTES = 4_096
_WHOLE_STATUSES = (200, 201)


class ClientRequest(Value, frozen=True):
    """A request.

    :param name: unique name of the request; also its idempotency key.
    :param key: API key of the caller.
    :param method: HTTP method; requests to models use ``POST``.
    :param model: requested model or adapter; empty for a plain service.
    :param timeout_s: time after which no further attempt starts, in s.
    """

    name: str
    path: str
    body: bytes
    key: str
    method: str = "POST"
    model: str = ""
    streamed: bool = False
    unrepeatable: bool = False
    timeout_s: float = 20.0


class AttemptResult(Value, frozen=True):
    """Result of one attempt.

    :param status: HTTP status; 0 if no response began.
    :param sent: whether a connection was established, so that the request may have
        run.
    :param code: result code of the system; 0 if there is none.
    :param events: events of a stream, without the end marker.
    :param ended: whether the response was received completely.
    """

    status: int = 0
    sent: bool = True
    code: int = 0
    run_state: str = "unknown"
    retry_after_s: float | None = None
    body: bytes = b""
    events: tuple[SentEvent, ...] = ()
    ended: bool = False


class Ending(enum.StrEnum):
    """How a request ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Outcome(Value, frozen=True):
    """How a request ended, as seen by its caller.

    :param body: body of a response that is not streamed.
    :param events: events of a streamed response, over all attempts.
    :param entries: address of the entry of each attempt.
    :param broken_attempts: number of attempts whose response broke off or never came.
    :param last: result of the last attempt.
    """

    request: ClientRequest
    ending: Ending
    body: bytes
    events: tuple[SentEvent, ...]
    entries: tuple[str, ...]
    last: AttemptResult
    broken_attempts: int = 0


class AddressBook(State):
    """A caller's cache of address lists.

    :param seeds: addresses of entries that the caller is configured with.
    :param cached: by model, addresses in order of preference and their expiry.
    """

    seeds: tuple[str, ...]
    cached: dict[str, tuple[tuple[str, ...], float]] = {}


def send(book: AddressBook, request: ClientRequest) -> Outcome:
    """Send a request, with retries until it is answered or times out."""
    deadline = time.monotonic() + request.timeout_s
    events: list[SentEvent] = []
    entries: list[str] = []
    broken_attempts = 0
    certain = True
    while True:
        address = _choose_address(book, request.model, attempt_count=len(entries))
        entries.append(address)
        last_id = events[-1].id if events else ""
        answer = send_once(address, request, last_event_id=last_id)
        events += answer.events
        broken_attempts += answer.sent and not answer.ended
        certain = certain and _is_certainly_not_run(answer)
        if answer.ended and answer.status in _WHOLE_STATUSES:
            ending = Ending.WHOLE
            break
        _demote_address(book, request.model, address, answer)
        delay_s = _choose_retry_delay(request, answer)
        if delay_s is None or time.monotonic() + delay_s > deadline:
            ending = Ending.REFUSED if certain else Ending.UNKNOWN
            break
        time.sleep(delay_s)
    return Outcome(
        request=request,
        ending=ending,
        body=answer.body,
        events=tuple(events),
        entries=tuple(entries),
        last=answer,
        broken_attempts=broken_attempts,
    )


def send_once(
    address: str, request: ClientRequest, *, last_event_id: str = ""
) -> AttemptResult:
    """Send one attempt to an entry and read its response."""
    headers = {
        "Authorization": f"Bearer {request.key}",
        "Content-Type": "application/json",
    }
    if request.unrepeatable:
        headers["X-Arbutus-Unrepeatable"] = "true"
        headers["Idempotency-Key"] = request.name
    if last_event_id:
        headers["Last-Event-ID"] = last_event_id
    host, _, port = address.rpartition(":")
    with urllib3.HTTPConnectionPool(host, int(port), timeout=_TIMEOUT) as pool:
        try:
            response = pool.urlopen(
                request.method,
                request.path,
                body=request.body,
                headers=headers,
                retries=False,
                preload_content=False,
            )
        except urllib3.exceptions.NewConnectionError:
            return AttemptResult(sent=False, run_state="not_run")
        except urllib3.exceptions.HTTPError:
            return AttemptResult()
        return _read(response, streamed=request.streamed)


def _read(response: urllib3.BaseHTTPResponse, *, streamed: bool) -> AttemptResult:
    body = b""
    events: list[SentEvent] = []
    buffer = EventBuffer()
    ended = False
    is_stream = streamed and response.status == 200
    try:
        while part := response.read1(_READ_BYTES):
            if is_stream:
                events += feed(buffer, part)
            else:
                body += part
        ended = not is_stream
    except urllib3.exceptions.HTTPError:
        pass
    if events and events[-1].data == END_MARKER:
        events.pop()
        ended = True
    return AttemptResult(
        status=response.status,
        code=int(response.headers.get("X-Arbutus-Code", "0")),
        run_state=response.headers.get("X-Arbutus-Run-State", "unknown"),
        retry_after_s=_read_retry_after(response),
        body=body,
        events=tuple(event for event in events if _is_token(event)),
        ended=ended,
    )


def _is_token(event: SentEvent) -> bool:
    return bool(event.id) and b'"error"' not in event.data[:12]


def _read_retry_after(response: urllib3.BaseHTTPResponse) -> float | None:
    value = response.headers.get("Retry-After", "")
    return float(value) if value.isdigit() else None


def _is_certainly_not_run(answer: AttemptResult) -> bool:
    return not answer.sent or answer.run_state == "not_run"


def _choose_address(book: AddressBook, model: str, *, attempt_count: int) -> str:
    addresses, until = book.cached.get(model, ((), 0.0))
    if not addresses or time.monotonic() > until:
        addresses = _fetch_addresses(book, model, attempt_count=attempt_count)
    return addresses[0]


def _fetch_addresses(
    book: AddressBook, model: str, *, attempt_count: int
) -> tuple[str, ...]:
    """Query the seeds in turn, starting at another one for each attempt."""
    first = attempt_count % len(book.seeds)
    seeds = book.seeds[first:] + book.seeds[:first]
    for seed in seeds:
        reply = fetch("GET", seed, f"/v1/addresses?model={model}")
        if reply is None or reply.status != 200:
            continue
        answer = json.loads(reply.data)
        addresses = tuple(answer["addresses"])
        if addresses:
            until = time.monotonic() + answer["lifetime_s"]
            book.cached[model] = (addresses, until)
            return addresses
    return seeds


def _demote_address(
    book: AddressBook, model: str, address: str, answer: AttemptResult
) -> None:
    """Move an address that failed to the end of the list, or evict the list."""
    addresses, until = book.cached.get(model, ((), 0.0))
    rest = tuple(one for one in addresses if one != address)
    if answer.sent and answer.retry_after_s:
        return
    if rest:
        book.cached[model] = ((*rest, address), until)
    else:
        book.cached.pop(model, None)


def _choose_retry_delay(request: ClientRequest, answer: AttemptResult) -> float | None:
    """Return the retry delay in s; ``None`` if a retry is useless or unsafe."""
    if answer.status and answer.status < 500 and answer.status not in (200, 409, 429):
        return None
    if answer.retry_after_s is not None:
        return answer.retry_after_s
    is_final = answer.status and answer.ended and answer.code != IN_PROGRESS
    if is_final and request.unrepeatable:
        return None
    return RETRY_DELAY_S
