"""Clients of the bench: send a request to an entry or an engine and time it."""

import time
from collections.abc import Callable, Iterable
from http import HTTPStatus

import msgspec
import urllib3

from arbutuspulley.adapters.sse import EventBuffer, SentEvent, feed
from arbutuspulley.bench.workloads import Arrival
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import build_item_key
from arbutuspulley.data import State
from arbutuspulley.ports.engines import BrokenError, Engines, InferenceRequest
from arbutuspulley.results import ArbutusError
from arbutuspulley.standins import answer

VERSION = "1"
"""Version of all models and adapters."""

_END_MARKER = b"[DONE]"
_READ_BYTES = 4_096
_TIMEOUT = urllib3.Timeout(connect=1.0, read=30.0)


class CallerAttempt(State):
    """Result of one attempt of a caller to send a request. Times are in ms.

    :param code: numeric result code; 0 if there is none.
    :param refused: whether the request was certainly not run.
    :param first_at: time of the first token; ``None`` if there was none.
    :param complete: whether the answer was received up to its end.
    :param correct: whether the answer has exactly the expected tokens, each once.
    :param surplus_tokens: number of tokens received beyond the requested ones.
    """

    began_at: float
    code: int = 0
    refused: bool = False
    retry_after_ms: int | None = None
    first_at: float | None = None
    ended_at: float = 0.0
    complete: bool = False
    correct: bool = False
    surplus_tokens: int = 0


class _Choice(msgspec.Struct):
    text: str = ""


class _Event(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()


_DECODER = msgspec.json.Decoder(_Event)


def read_clock() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * SECOND_MS


def build_body(arrival: Arrival, *, run: str) -> bytes:
    """Return the JSON body of a request; the prompt is unique to the run and request.

    :param run: name of the run.
    """
    return msgspec.json.encode(
        {
            "model": arrival.model,
            "prompt": f"{run} request {arrival.number}",
            "max_tokens": arrival.tokens,
            "stream": True,
        }
    )


def send_to_entry(address: str, arrival: Arrival, *, run: str) -> CallerAttempt:
    """Send a request once to an entry."""
    attempt = CallerAttempt(began_at=read_clock())
    body = build_body(arrival, run=run)
    host, _, port = address.rpartition(":")
    headers = {
        "Authorization": f"Bearer key-of-{arrival.caller}",
        "Content-Type": "application/json",
    }
    with urllib3.HTTPConnectionPool(host, int(port), timeout=_TIMEOUT) as pool:
        try:
            response = pool.urlopen(
                "POST",
                answer.COMPLETION_PATH,
                body=body,
                headers=headers,
                retries=False,
                preload_content=False,
            )
            _read_response(attempt, response, arrival, body)
        except urllib3.exceptions.NewConnectionError:
            attempt.refused = True
        except urllib3.exceptions.HTTPError:
            pass
    attempt.ended_at = read_clock()
    return attempt


def send_to_engine(
    engines: Engines, address: str, arrival: Arrival, *, run: str, attempt_number: int
) -> CallerAttempt:
    """Send a request once directly to an engine.

    :param attempt_number: number of the attempt, unique per request.
    """
    attempt = CallerAttempt(began_at=read_clock())
    body = build_body(arrival, run=run)
    request = InferenceRequest(
        request_id=f"{run}-{arrival.number}",
        attempt_id=f"{run}-{arrival.number}-{attempt_number}",
        path=answer.COMPLETION_PATH,
        item=build_item_key(name=arrival.model, version=VERSION),
        body=body,
    )
    try:
        chunks = engines.infer(address, request)
        _collect(
            attempt, (chunk.data for chunk in chunks if not chunk.last), arrival, body
        )
        attempt.complete = True
    except BrokenError:
        pass
    except ArbutusError:
        attempt.refused = True
    attempt.ended_at = read_clock()
    return attempt


def _read_response(
    attempt: CallerAttempt,
    response: urllib3.BaseHTTPResponse,
    arrival: Arrival,
    body: bytes,
) -> None:
    attempt.code = int(response.headers.get("X-Arbutus-Code", "0"))
    if response.status != HTTPStatus.OK:
        attempt.refused = response.headers.get("X-Arbutus-Run-State") == "not_run"
        after = response.headers.get("Retry-After", "")
        attempt.retry_after_ms = int(after) * SECOND_MS if after.isdigit() else None
        return
    buffer = EventBuffer()
    events: list[SentEvent] = []

    def read() -> Iterable[bytes]:
        while part := response.read1(_READ_BYTES):
            for event in feed(buffer, part):
                events.append(event)
                if event.data != _END_MARKER:
                    yield event.data

    _collect(attempt, read(), arrival, body)
    attempt.complete = bool(events) and events[-1].data == _END_MARKER


def _collect(
    attempt: CallerAttempt, parts: Iterable[bytes], arrival: Arrival, body: bytes
) -> None:
    text = ""
    tokens = 0
    for data in parts:
        if attempt.first_at is None:
            attempt.first_at = read_clock()
        if data == _END_MARKER:
            continue
        part = "".join(choice.text for choice in _DECODER.decode(data).choices)
        text += part
        tokens += bool(part)
    prompt = answer.read_prompt(path=answer.COMPLETION_PATH, body=body)
    item = build_item_key(name=arrival.model, version=VERSION)
    attempt.surplus_tokens = max(0, tokens - arrival.tokens)
    attempt.correct = text == answer.build_answer(item=item, prompt=prompt)


SendAttempt = Callable[[Arrival, int], CallerAttempt]
"""Function that makes one attempt; takes the request and the number of earlier ones."""
