"""Stand-in for a plain service: ``arbutus-standin-service``.

``POST /bookings``
    Run a booking and count it by ``Idempotency-Key`` and by body. Duplicates are not
    suppressed, so that tests can detect duplicate runs. Answers 201 with
    :class:`Booking`.

``POST /control``
    Set faults; the JSON keys are those of :class:`Control`. Answers 400 and changes
    nothing if the body is invalid.

``GET /control/counters``
    Return :class:`Counters`.

Any other path and method
    Answer 200 with :class:`Echo`.
"""

import hashlib
import threading
import time
from http import HTTPStatus
from typing import Annotated, Any

import cyclopts
import msgspec

from arbutuspulley.adapters.engine_messages import RUN_STATE
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Document, Message, State
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import RunState
from arbutuspulley.settings import (
    check_address,
    check_present,
    split_address,
)
from arbutuspulley.standins.control import apply_set_fields, consume_fault
from arbutuspulley.standins.routes import ANY, Incoming, Outgoing, Routes, build_root
from arbutuspulley.standins.server import build_standin_server, run_until_stopped
from arbutuspulley.startup import set_up_process
from arbutuspulley.web import WebServer

NonNegative = Annotated[int, msgspec.Meta(ge=0)]

app = cyclopts.App(
    name="arbutus-standin-service",
    help="Stand-in for a plain service, for demos and tests.",
    config=cyclopts.config.Env("ARBUTUS_STANDIN_SERVICE_", command=False),
)


class Control(Document, frozen=True):
    """Body of ``POST /control``; fields that are left out keep their value.

    Except for ``slow_ms``, a number sets how many of the next requests (bookings and
    others) the fault applies to.

    :param refuse: answer 503 with run state "not run", without running the request.
    :param cut_before_run: close the connection without running the request.
    :param cut_after_run: run the request and close the connection without a reply.
    :param fail: run the request and answer 500.
    :param slow_ms: delay in ms before each request is handled.
    """

    refuse: NonNegative | None = None
    cut_before_run: NonNegative | None = None
    cut_after_run: NonNegative | None = None
    fail: NonNegative | None = None
    slow_ms: NonNegative | None = None


class Booking(Message, frozen=True, omit_defaults=False):
    """Reply to a booking.

    :param number: sequence number of the booking at this service.
    :param key: idempotency key of the booking.
    :param runs: number of bookings run with the same key.
    """

    service: str
    number: int
    key: str
    runs: int


class Echo(Message, frozen=True, omit_defaults=False):
    """Reply to any other request: the request as it was received.

    :param target: path and query exactly as the caller sent them.
    """

    service: str
    method: str
    target: str
    headers: dict[str, str]
    body: str


class Counters(Message, frozen=True, omit_defaults=False):
    """Counters of the service.

    :param runs: requests that were run, including bookings.
    :param refused: requests refused before the run.
    :param bookings: bookings that were run.
    :param by_key: number of bookings by idempotency key.
    :param by_body: number of bookings by hex SHA-256 of the body.
    """

    runs: int
    refused: int
    bookings: int
    by_key: dict[str, int]
    by_body: dict[str, int]


class ServiceState(State):
    """The faults that are set, and the counters."""

    name: str
    refuse: int = 0
    cut_before_run: int = 0
    cut_after_run: int = 0
    fail: int = 0
    slow_ms: int = 0
    runs: int = 0
    refused: int = 0
    by_key: dict[str, int] = msgspec.field(default_factory=dict)
    by_body: dict[str, int] = msgspec.field(default_factory=dict)


def build_service(*, name: str, host: str = "127.0.0.1", port: int = 0) -> WebServer:
    """Return a service that can be started in this process.

    :param port: port to listen on; 0 picks a free one.
    """
    root = build_root(build_routes(ServiceState(name=name)))
    return build_standin_server(root=root, host=host, port=port)


def build_routes(state: ServiceState) -> Routes:
    """Return the request handlers of a service."""
    lock = threading.Lock()

    def handle(incoming: Incoming) -> Outgoing:
        time.sleep(state.slow_ms / SECOND_MS)
        with lock:
            return _handle(state, incoming)

    def control(incoming: Incoming) -> Outgoing:
        with lock:
            return _control(state, incoming)

    def count(_incoming: Incoming) -> Outgoing:
        with lock:
            return _send_json(_count(state))

    return {
        ("POST", "/control"): control,
        ("GET", "/control/counters"): count,
        (ANY, ANY): handle,
    }


def _handle(state: ServiceState, incoming: Incoming) -> Outgoing:
    if consume_fault(state, "refuse"):
        state.refused += 1
        return Outgoing(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers=((RUN_STATE, RunState.NOT_RUN.value), ("Retry-After", "1")),
        )
    if consume_fault(state, "cut_before_run"):
        return Outgoing(cut=True)
    outgoing = _run(state, incoming)
    if consume_fault(state, "cut_after_run"):
        return Outgoing(cut=True)
    if consume_fault(state, "fail"):
        return Outgoing(status=HTTPStatus.INTERNAL_SERVER_ERROR)
    return outgoing


def _run(state: ServiceState, incoming: Incoming) -> Outgoing:
    state.runs += 1
    if (incoming.method, incoming.path) == ("POST", "/bookings"):
        return _book(state, incoming)
    return _send_json(
        Echo(
            service=state.name,
            method=incoming.method,
            target=incoming.target,
            headers=dict(incoming.headers),
            body=incoming.body.decode("utf-8", "replace"),
        )
    )


def _book(state: ServiceState, incoming: Incoming) -> Outgoing:
    key = incoming.headers.get("idempotency-key", "")
    body = hashlib.sha256(incoming.body).hexdigest()
    state.by_key[key] = state.by_key.get(key, 0) + 1
    state.by_body[body] = state.by_body.get(body, 0) + 1
    booking = Booking(
        service=state.name,
        number=sum(state.by_key.values()),
        key=key,
        runs=state.by_key[key],
    )
    return _send_json(booking, status=HTTPStatus.CREATED)


def _control(state: ServiceState, incoming: Incoming) -> Outgoing:
    try:
        control = msgspec.json.decode(incoming.body, type=Control)
    except msgspec.DecodeError:
        return Outgoing(status=HTTPStatus.BAD_REQUEST)
    apply_set_fields(control, state)
    return _send_json({})


def _count(state: ServiceState) -> Counters:
    return Counters(
        runs=state.runs,
        refused=state.refused,
        bookings=sum(state.by_key.values()),
        by_key=dict(state.by_key),
        by_body=dict(state.by_body),
    )


def _send_json(value: Any, *, status: int = HTTPStatus.OK) -> Outgoing:
    return Outgoing(status=status, body=msgspec.json.encode(value))


@app.default
def run(
    *,
    name: str = "",
    listen: str = "127.0.0.1:7600",
    log_format: str = "text",
    log_level: str = "info",
) -> None:
    """Serve until SIGTERM.

    :param name: name of the service in the configuration.
    :param listen: ``host:port`` to listen on.
    :param log_format: ``json`` or ``text``.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    checks = [
        check_present("--name", name),
        check_address("--listen", listen),
    ]
    set_up_process(checks, log_format=log_format, log_level=log_level)
    host, port = split_address(listen)
    server = build_service(name=name, host=host, port=port)
    log_event(Event.STARTED, program=app.name[0], service=name, listen=server.address)
    run_until_stopped(server)
    log_event(Event.STOPPED, program=app.name[0], service=name)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
