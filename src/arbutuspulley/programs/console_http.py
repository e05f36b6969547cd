"""The console's HTTP layer: routing, authentication, limits, errors and metrics.

CherryPy's worker threads read the body, find the route and write the response. The
operations behind the routes are in :mod:`.console_api`.
"""

import hashlib
import hmac
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TypeVar

import cherrypy
import msgspec
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from arbutuspulley.data import Message, Value
from arbutuspulley.events import Event, log_event
from arbutuspulley.programs.console_errors import build_error_reply
from arbutuspulley.programs.console_messages import ErrorLine, ErrorReply
from arbutuspulley.programs.console_page import Page
from arbutuspulley.results import ArbutusError, Code
from arbutuspulley.tracing import TRACEPARENT, open_span

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a request body, which holds a base file and all overlays."""

RETRY_AFTER_S = 2
"""Value of ``Retry-After`` on responses with status 503, in s."""

_BEARER = "Bearer "
_JSON = "application/json"
_ANY = "*"

_Request = TypeVar("_Request", bound=Message)


class Call(Value, frozen=True):
    """An authenticated request.

    :param names: values of the path's wildcards, in order.
    :param query: query parameters.
    """

    operator: str
    names: tuple[str, ...]
    query: Mapping[str, str]
    body: bytes


class Route(Value, frozen=True):
    """An operation below ``/api``.

    :param path: segments of the path; ``*`` matches any one.
    :param name: label of the operation in metrics, spans and logs.
    """

    method: str
    path: tuple[str, ...]
    name: str
    handle: Callable[[Call], Message]


class Metrics:
    """The console's metrics.

    :param registry: registry for the metrics; ``None``: a new one.
    """

    __slots__ = ("_registry", "duration", "requests")

    def __init__(self, *, registry: CollectorRegistry | None = None) -> None:
        self._registry = registry or CollectorRegistry()
        self.requests = Counter(
            "arbutus_console_requests",
            "Requests of operators.",
            ("operation", "status"),
            registry=self._registry,
        )
        self.duration = Histogram(
            "arbutus_console_request_seconds",
            "How long requests of operators took.",
            ("operation",),
            registry=self._registry,
        )

    def write(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class WebRoot:
    """CherryPy's root object: the page, the API, health and metrics.

    :param routes: operations below ``/api``.
    :param operators: hex SHA-256 of each operator's key, by name.
    :param find_unready: returns the reasons why the console is not ready, one line
        each; none if it is ready.
    """

    __slots__ = ("_find_unready", "_metrics", "_operators", "_page", "_routes")

    def __init__(
        self,
        *,
        routes: tuple[Route, ...],
        operators: Mapping[str, str],
        page: Page,
        metrics: Metrics,
        find_unready: Callable[[], tuple[str, ...]],
    ) -> None:
        self._routes = routes
        self._operators = operators
        self._page = page
        self._metrics = metrics
        self._find_unready = find_unready

    @cherrypy.expose
    def index(self) -> bytes:
        """Serve the operators' page."""
        _set_headers("text/html; charset=utf-8", self._page.headers)
        return self._page.body

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Serve the liveness check."""
        _set_headers("text/plain")
        return b"ok\n"

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Serve the readiness check: store and controller have to be reachable."""
        reasons = self._find_unready()
        if reasons:
            cherrypy.response.status = HTTPStatus.SERVICE_UNAVAILABLE.value
        _set_headers("text/plain")
        return "".join(f"{reason}\n" for reason in reasons or ("ready",)).encode()

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Serve the metrics."""
        _set_headers("text/plain; version=0.0.4")
        return self._metrics.write()

    @cherrypy.expose
    def api(self, *names: str, **query: str) -> bytes:
        """Route an API request to its operation."""
        started = time.monotonic()
        route: Route | None = None
        try:
            route, opened = _find_route(self._routes, cherrypy.request.method, names)
            operator = authenticate(
                self._operators, cherrypy.request.headers.get("Authorization", "")
            )
            call = Call(operator=operator, names=opened, query=query, body=_read_body())
            parent = cherrypy.request.headers.get(TRACEPARENT, "")
            with open_span(f"console.{route.name}", parent=parent):
                reply = route.handle(call)
            status = HTTPStatus.OK
        except Exception as error:
            reply, status = build_error_reply(error)
        operation = route.name if route else "none"
        if isinstance(reply, ErrorReply):
            code = reply.errors[0].code
            log_event(Event.REQUEST_REFUSED, operation=operation, code=code)
        self._metrics.requests.labels(operation, str(status.value)).inc()
        self._metrics.duration.labels(operation).observe(time.monotonic() - started)
        return _write(reply, status)


def authenticate(operators: Mapping[str, str], authorization: str) -> str:
    """Return the name of the operator whose key was sent.

    The hashes of all operators are compared in constant time, so that the duration
    does not reveal how close a guess was.

    :param operators: hex SHA-256 of each operator's key, by name.
    :param authorization: value of the ``Authorization`` header.
    :raises ArbutusError: if the key belongs to no operator.
    """
    key = authorization.removeprefix(_BEARER)
    shown = hashlib.sha256(key.encode()).hexdigest()
    found = [
        name
        for name, expected in operators.items()
        if hmac.compare_digest(shown, expected)
    ]
    if not found or not authorization.startswith(_BEARER):
        raise ArbutusError(
            code=Code.BAD_KEY, detail="the operator's key is missing or unknown"
        )
    return found[0]


def decode_body(body: bytes, kind: type[_Request]) -> _Request:
    """Decode a request body.

    :param kind: type of the request.
    :raises ArbutusError: if the body is not valid JSON of that type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as error:
        raise ArbutusError(code=Code.BAD_PARAMETER, detail=str(error)) from None
    except msgspec.DecodeError as error:
        raise ArbutusError(code=Code.MALFORMED_BODY, detail=str(error)) from None


def decode_number(name: str, text: str) -> int:
    """Parse a version number from a path or a query.

    :param name: name of the parameter, for the error.
    :raises ArbutusError: if the text is not a decimal number of up to 10 digits.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        raise ArbutusError(
            code=Code.BAD_PARAMETER, detail=f"{name} must be a whole number"
        )
    return int(text)


def render_error(*, status: str, message: str, **_unused: str) -> bytes:
    """Format an error that CherryPy raised as a reply of the API."""
    code = Code.NOT_FOUND if status.startswith("404") else Code.BAD_PARAMETER
    _set_headers(_JSON)
    line = ErrorLine(code=code.value, name=code.name.lower(), detail=message)
    return msgspec.json.encode(ErrorReply(errors=(line,)))


def _find_route(
    routes: tuple[Route, ...], method: str, names: tuple[str, ...]
) -> tuple[Route, tuple[str, ...]]:
    for route in routes:
        if route.method != method or len(route.path) != len(names):
            continue
        pairs = list(zip(route.path, names, strict=True))
        if all(part in (_ANY, name) for part, name in pairs):
            return route, tuple(name for part, name in pairs if part == _ANY)
    raise ArbutusError(code=Code.NOT_FOUND, detail="there is no such operation")


def _read_body() -> bytes:
    """Read the request's body; it has to be sent with ``Content-Length``."""
    text = cherrypy.request.headers.get("Content-Length", "0")
    if "Transfer-Encoding" in cherrypy.request.headers:
        raise ArbutusError(
            code=Code.MALFORMED_BODY, detail="send the body with Content-Length"
        )
    if not text.isdigit() or int(text) > MAX_BODY_BYTES:
        raise ArbutusError(
            code=Code.BODY_TOO_LARGE,
            detail=f"the body must have at most {MAX_BODY_BYTES} bytes",
        )
    length = int(text)
    body: bytes = cherrypy.request.rfile.read(length) if length else b""
    if len(body) != length:
        raise ArbutusError(code=Code.MALFORMED_BODY, detail="the body is truncated")
    return body


def _write(reply: Message, status: HTTPStatus) -> bytes:
    headers = {"Cache-Control": "no-store"}
    if isinstance(reply, ErrorReply):
        headers["X-Arbutus-Code"] = str(reply.errors[0].code)
        headers["Connection"] = "close"
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    cherrypy.response.status = status.value
    _set_headers(_JSON, headers)
    return msgspec.json.encode(reply)


def _set_headers(content_type: str, others: Mapping[str, str] | None = None) -> None:
    cherrypy.response.headers["Content-Type"] = content_type
    cherrypy.response.headers["X-Content-Type-Options"] = "nosniff"
    cherrypy.response.headers.update(others or {})
