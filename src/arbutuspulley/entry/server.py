"""The HTTP server of an entry: CherryPy handlers on CherryPy's own server.

CherryPy runs each request on a worker thread, which reads the request, waits for
decisions of the event loop, and writes the answer.
"""

import logging
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace
from typing import Any
from urllib.parse import urlsplit, urlunsplit

import cherrypy
import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry import answers, handlers
from arbutuspulley.entry.calls import build_request_id
from arbutuspulley.entry.handlers import Handler, HttpRequest
from arbutuspulley.entry.relay import CallerLeftError
from arbutuspulley.entry.state import Runtime
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code, RequestError, RunState
from arbutuspulley.tracing import open_span
from arbutuspulley.web import Limits, WebServer, build_application, get_connection

STOP_TIMEOUT_MS = 5 * SECOND_MS
"""How long a stopping server waits until the last bytes are sent."""

SOCKET_TIMEOUT_MS = 30 * SECOND_MS
"""A caller that reads no byte for this long counts as disconnected."""

DRAINED_BODY_FACTOR = 16
"""A body over the limit times this factor is not read, not even to discard it."""

BACKLOG = 1_024
"""Connections that may wait to be accepted."""

IDLE_CONNECTIONS = 2_000
"""Maximum number of idle connections kept open; they occupy no thread."""

SPARE_THREADS = 10
"""Threads in addition to those of calls in flight, for refusals and health checks."""

_UNLOGGED_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})


def build_server(*, runtime: Runtime, host: str, port: int, threads: int) -> WebServer:
    """Return the HTTP server of the entry.

    :param port: 0 selects a free port.
    """
    limits = Limits(
        threads=threads,
        stop_timeout_ms=STOP_TIMEOUT_MS,
        socket_timeout_ms=SOCKET_TIMEOUT_MS,
        body_bytes=runtime.settings.max_body_bytes * DRAINED_BODY_FACTOR,
        backlog=BACKLOG,
        idle_connections=IDLE_CONNECTIONS,
    )
    return WebServer(
        application=_build_application(runtime), host=host, port=port, limits=limits
    )


def _build_application(runtime: Runtime) -> cherrypy.Application:
    def expose(handler: Handler, *, counted: bool = False) -> Callable[..., Any]:
        return _expose(runtime, handler, counted=counted)

    completion = expose(handlers.answer_completion, counted=True)
    root = SimpleNamespace(
        healthz=expose(handlers.answer_health),
        readyz=expose(handlers.answer_readiness),
        metrics=expose(handlers.answer_metrics),
        services=expose(handlers.answer_plain_service, counted=True),
        v1=SimpleNamespace(
            addresses=expose(handlers.answer_addresses),
            models=expose(handlers.answer_models),
            completions=completion,
            chat=SimpleNamespace(completions=completion),
        ),
    )
    return build_application(root, render_error=_render_error)


def _expose(runtime: Runtime, handler: Handler, *, counted: bool) -> Callable[..., Any]:
    """Return a CherryPy handler that runs a handler of the entry.

    :param counted: whether its calls count as in flight, so that draining waits for
        them.
    """

    @cherrypy.expose
    def handle(*_path: str, **_query: str) -> Any:
        http_request = _build_http_request(runtime)
        attach = cherrypy.serving.request.hooks.attach
        started_at = runtime.clock.now()
        if counted:
            _change_in_flight(runtime, 1)
            attach("on_end_request", lambda: _change_in_flight(runtime, -1))
        answer = _answer(runtime, http_request, handler)
        attach(
            "on_end_request", lambda: _finish(runtime, http_request, answer, started_at)
        )
        return _build_response(runtime, http_request, answer)

    return handle


def _answer(
    runtime: Runtime, http_request: HttpRequest, handler: Handler
) -> answers.Answer:
    parent = http_request.headers.get("Traceparent", "")
    try:
        with open_span(
            "entry.request", parent=parent, request=http_request.request_id
        ) as traceparent:
            return handler(
                runtime, msgspec.structs.replace(http_request, traceparent=traceparent)
            )
    except RequestError as error:
        return answers.build_error(error)
    except CallerLeftError:
        return answers.build_error(
            build_failure(
                Code.ANSWER_INCOMPLETE, "the caller left", run_state=RunState.UNKNOWN
            )
        )
    except Exception as error:
        # An internal error must not reveal details to the caller, nor claim that the
        # request was not run.
        log_event(
            Event.INTERNAL_ERROR,
            level=logging.ERROR,
            request=http_request.request_id,
            error=repr(error),
        )
        return answers.build_error(
            build_failure(
                Code.INTERNAL, "an internal error", run_state=RunState.UNKNOWN
            )
        )


def _build_response(
    runtime: Runtime, http_request: HttpRequest, answer: answers.Answer
) -> Any:
    response = cherrypy.serving.response
    response.status = answer.status
    for name, value in answer.headers:
        response.headers[name] = value
    response.headers[answers.REQUEST_ID_HEADER] = http_request.request_id
    if runtime.state.draining:
        response.headers["Connection"] = "close"
    if isinstance(answer.body, bytes):
        return answer.body
    response.stream = True
    return answer.body


def _finish(
    runtime: Runtime, http_request: HttpRequest, answer: answers.Answer, started_at: int
) -> None:
    """Close a stream, whose caller may have disconnected, and record the outcome."""
    if not isinstance(answer.body, bytes):
        try:
            answer.body.close()
        except RequestError as error:
            answer.outcome.code, answer.outcome.run_state = error.code, error.run_state
    outcome, elapsed_ms = answer.outcome, runtime.clock.now() - started_at
    labels = (str(outcome.code.value), outcome.run_state.value)
    runtime.metrics.answers.labels(*labels).inc()
    if http_request.path in _UNLOGGED_PATHS:
        return
    runtime.metrics.duration.observe(elapsed_ms / SECOND_MS)
    log_event(
        Event.REQUEST_ENDED if outcome.code is Code.OK else Event.REQUEST_REFUSED,
        request=http_request.request_id,
        path=http_request.path,
        code=outcome.code.value,
        run_state=outcome.run_state.value,
        elapsed_ms=elapsed_ms,
    )


def _build_http_request(runtime: Runtime) -> HttpRequest:
    request = cherrypy.serving.request
    connection = get_connection()
    target = request.request_line.split(" ")[1]
    if not target.startswith("/"):
        parts = urlsplit(target)
        target = urlunsplit(("", "", parts.path or "/", parts.query, ""))
    return HttpRequest(
        request_id=build_request_id(),
        method=request.method,
        target=target,
        headers=request.headers,
        read_body=lambda: _read_body(runtime.settings.max_body_bytes),
        has_caller_left=lambda: _has_caller_left(connection),
    )


def _read_body(max_bytes: int) -> bytes:
    request = cherrypy.serving.request
    declared = request.headers.get("Content-Length", "")
    too_large = build_failure(
        Code.BODY_TOO_LARGE, f"the body is over {max_bytes} bytes"
    )
    if declared.isdigit() and int(declared) > max_bytes:
        raise too_large
    if not declared and "Transfer-Encoding" not in request.headers:
        return b""
    body: bytes = request.rfile.read(int(declared) if declared else max_bytes + 1)
    if len(body) > max_bytes:
        raise too_large
    return body


def _has_caller_left(connection: socket.socket) -> bool:
    """Return whether the peer has closed the connection, without consuming any byte.

    The socket has a timeout, with which ``recv`` blocks even with ``MSG_DONTWAIT``; so
    it is only called when there is something to read.
    """
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    try:
        return bool(poll.poll(0)) and connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


def _change_in_flight(runtime: Runtime, change: int) -> None:
    def add() -> None:
        runtime.state.in_flight += change

    with suppress(RuntimeError):
        runtime.loop.post(add)


def _render_error(*, status: str, message: str, **_unused: str) -> str:
    """Render CherryPy's own errors in the OpenAI format."""
    response = cherrypy.serving.response
    number = int(status.split(" ")[0])
    code = Code.INTERNAL if number >= 500 else Code.NOT_FOUND
    run_state = RunState.UNKNOWN if number >= 500 else RunState.NOT_RUN
    detail = "an internal error" if number >= 500 else message
    error = RequestError(code=code, detail=detail, status=number, run_state=run_state)
    for name, value in answers.build_error(error).headers:
        response.headers[name] = value
    response.headers[answers.REQUEST_ID_HEADER] = build_request_id()
    return answers.build_error_body(error).decode()
