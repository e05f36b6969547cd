"""Typed requests and replies for stand-ins, in place of CherryPy's globals.

A stand-in defines a table of routes. Its handlers are plain functions that take an
:class:`Incoming` and return an :class:`Outgoing`. :func:`build_root` converts the table
to the root object for
:func:`~arbutuspulley.standins.server.build_standin_server`.
"""

from collections.abc import Callable, Generator, Mapping
from http import HTTPStatus

import cherrypy

from arbutuspulley.data import Value
from arbutuspulley.standins.server import break_connection, read_body

ANY = "*"
"""Wildcard method or path of a route; more specific routes have precedence."""


class Incoming(Value, frozen=True):
    """A request to a stand-in.

    :param path: path without the query, URL-decoded.
    :param target: path and query exactly as the caller sent them.
    :param headers: headers by lower-case name.
    """

    method: str
    path: str
    target: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Outgoing(Value, frozen=True):
    """The reply to a request.

    :param body: the full body, or a generator of chunks that are streamed; the
        generator is closed early if the caller disconnects.
    :param cut: whether to close the connection without a reply.
    """

    status: int = HTTPStatus.OK
    body: bytes | Generator[bytes, None, None] = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    cut: bool = False


Handler = Callable[[Incoming], Outgoing]
"""Function that answers a request; called on a worker thread."""

Routes = Mapping[tuple[str, str], Handler]
"""Handlers by method and path; see :data:`ANY`."""


def build_root(routes: Routes) -> object:
    """Return the CherryPy root object for a table of routes."""
    return _Root(routes=routes)


class _Root:
    """CherryPy root object that dispatches every request to its route."""

    def __init__(self, *, routes: Routes) -> None:
        self._routes = routes

    @cherrypy.expose
    def default(self, *_segments: str, **_params: str) -> object:
        """Dispatch a request for any path."""
        incoming = _read_incoming()
        handler = _find_handler(self._routes, incoming)
        if handler is None:
            return _write(Outgoing(status=HTTPStatus.NOT_FOUND))
        return _write(handler(incoming))


def _find_handler(routes: Routes, incoming: Incoming) -> Handler | None:
    for path in (incoming.path, ANY):
        for method in (incoming.method, ANY):
            handler = routes.get((method, path))
            if handler is not None:
                return handler
    return None


def _read_incoming() -> Incoming:
    request = cherrypy.serving.request
    return Incoming(
        method=request.method,
        path=request.path_info,
        target=request.wsgi_environ["REQUEST_URI"],
        query={name: str(value) for name, value in request.params.items()},
        headers={name.lower(): value for name, value in request.header_list},
        body=read_body(),
    )


def _write(outgoing: Outgoing) -> object:
    response = cherrypy.serving.response
    if outgoing.cut:
        break_connection()
    response.status = int(outgoing.status)
    response.headers["Content-Type"] = outgoing.content_type
    for name, value in outgoing.headers:
        response.headers[name] = value
    if isinstance(outgoing.body, bytes):
        response.headers["Content-Length"] = str(len(outgoing.body))
        return outgoing.body
    response.stream = True
    return outgoing.body
