"""Stand-in for the platform: ``arbutus-standin-platform``.

It keeps a table, objects, an instance list and a weight store in memory; they are lost
when the process ends. The paths of the platform are described in
:mod:`arbutuspulley.adapters.platform_messages`. In addition:

``POST /control``
    Set faults, limits and the instance list; the JSON keys are those of
    :class:`~arbutuspulley.standins.platform_control.Control`. Answers 400 and changes
    nothing if the body is invalid.

``GET /control/counters``
    Return :class:`~arbutuspulley.standins.platform_control.Counters`.
"""

import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar

import cherrypy
import cyclopts
import msgspec

from arbutuspulley.adapters.platform_messages import (
    InstanceList,
    LoadReply,
    LoadRequest,
    TransactRequest,
)
from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.events import Event, log_event
from arbutuspulley.ports.platform import Committed, Conflict
from arbutuspulley.settings import (
    check_address,
    split_address,
)
from arbutuspulley.standins.platform_control import (
    Control,
    Counters,
    PlatformState,
    apply_control,
    consume_reply_loss,
    increment,
)
from arbutuspulley.standins.platform_state import (
    RestoreError,
    TableState,
    begin_load,
    build_table_id,
    get_load_wait_ms,
    list_instances,
    read_row,
    scan_rows,
    transact,
)
from arbutuspulley.standins.server import (
    break_connection,
    build_standin_server,
    read_body,
    run_until_stopped,
)
from arbutuspulley.startup import set_up_process
from arbutuspulley.web import WebServer

DEFAULT_SCAN_LIMIT = 1_000
"""Maximum number of rows in a page if the reader sets no limit."""

_Result = TypeVar("_Result")

app = cyclopts.App(
    name="arbutus-standin-platform",
    help="Stand-in for the platform, for demos and tests.",
    config=cyclopts.config.Env("ARBUTUS_STANDIN_PLATFORM_", command=False),
)


class PlatformStandin:
    """The CherryPy handlers of a stand-in, and its state behind a lock.

    :param clock: clock of the instance list's lag and of the weight store.
    """

    def __init__(self, *, clock: Clock | None = None) -> None:
        table = TableState(name=f"{time.time_ns():x}")
        self._clock = clock or Clock()
        self._lock = threading.Lock()
        self._state = PlatformState(table=table)
        self.table = _TablePaths(self)
        self.control = _ControlPaths(self)

    @cherrypy.expose
    def objects(self, name: str) -> bytes:
        """Return an object (GET), or store it unless it exists (PUT)."""
        if cherrypy.request.method == "PUT":
            return self._put_object(name, self.read_counted_body())
        found = self.run_with_faults(
            lambda state, _now: state.objects.get(name), "reads"
        )
        if found is None:
            raise cherrypy.HTTPError(HTTPStatus.NOT_FOUND)
        return self.send_body(found)

    @cherrypy.expose
    def instances(self) -> bytes:
        """Return the instance list, delayed by the configured lag."""
        listing = self.run_with_faults(
            lambda state, now: list_instances(state.instances, now=now), "reads"
        )
        return self.send_json(InstanceList(instances=listing))

    @cherrypy.expose
    def weights(self, item: str) -> bytes:
        """Admit a load of an item, or answer 429 with the time to retry after."""
        request = _decode(self.read_counted_body(), LoadRequest)
        reply = self.run_with_faults(
            lambda state, now: _admit_load(state, request, now)
        )
        if reply.retry_after_ms:
            seconds = -(-reply.retry_after_ms // SECOND_MS)
            cherrypy.response.status = HTTPStatus.TOO_MANY_REQUESTS
            cherrypy.response.headers["Retry-After"] = str(seconds)
        return self.send_json(reply)

    def run_with_faults(
        self, work: Callable[[PlatformState, int], _Result], counter: str = ""
    ) -> _Result:
        """Call a function with the state and the time in ms, under the lock.

        Applies the faults ``outage`` and ``slow_ms``.

        :param counter: name of the counter to increment if the call succeeds.
        :raises cherrypy.HTTPError: 503 during an outage.
        """
        with self._lock:
            faults = self._state.faults
            if faults.outage:
                increment(self._state, "refused")
                raise cherrypy.HTTPError(HTTPStatus.SERVICE_UNAVAILABLE)
            result = work(self._state, self._clock.now())
            if counter:
                increment(self._state, counter)
            slow_ms = faults.slow_ms
        if slow_ms:
            time.sleep(slow_ms / SECOND_MS)
        return result

    def run_locked(self, work: Callable[[PlatformState, int], _Result]) -> _Result:
        """Call a function with the state and the time in ms, ignoring faults."""
        with self._lock:
            return work(self._state, self._clock.now())

    def read_counted_body(self) -> bytes:
        """Return the request's body and add its size to the counters."""
        body = read_body()
        self.run_locked(lambda state, _now: increment(state, "bytes_in", len(body)))
        return body

    def send_body(self, body: bytes) -> bytes:
        """Return a reply's body and add its size to the counters."""
        self.run_locked(lambda state, _now: increment(state, "bytes_out", len(body)))
        return body

    def send_json(self, value: Any) -> bytes:
        """Return a reply's body in JSON and add its size to the counters."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return self.send_body(msgspec.json.encode(value))

    def _put_object(self, name: str, data: bytes) -> bytes:
        def put(state: PlatformState, _now: int) -> tuple[bool, bool]:
            new = name not in state.objects
            state.objects.setdefault(name, data)
            if new:
                increment(state, "writes")
            return new, consume_reply_loss(state)

        new, lost = self.run_with_faults(put)
        if lost:
            break_connection()
        cherrypy.response.status = HTTPStatus.CREATED if new else HTTPStatus.OK
        return b""


class _TablePaths:
    """Paths below ``/table``."""

    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    @cherrypy.expose
    def row(self, key: str) -> bytes:
        """Return a row."""
        row = self._standin.run_with_faults(
            lambda state, _now: read_row(state.table, key), "reads"
        )
        if row is None:
            raise cherrypy.HTTPError(HTTPStatus.NOT_FOUND)
        return self._standin.send_json(row)

    @cherrypy.expose
    def scan(self, prefix: str, after: str = "0", limit: str = "") -> bytes:
        """Return a page of the rows that changed after a revision."""
        min_revision = _parse_number(after)
        max_rows = _parse_number(limit) if limit else DEFAULT_SCAN_LIMIT
        page = self._standin.run_with_faults(
            lambda state, _now: scan_rows(
                state.table, prefix=prefix, after=min_revision, limit=max_rows
            ),
            "reads",
        )
        return self._standin.send_json(page)

    @cherrypy.expose
    def transactions(self) -> bytes:
        """Apply a transaction atomically."""
        request = _decode(self._standin.read_counted_body(), TransactRequest)

        def write(state: PlatformState, _now: int) -> tuple[Committed | Conflict, bool]:
            outcome = transact(state.table, request)
            if isinstance(outcome, Conflict):
                increment(state, "conflicts")
                return outcome, False
            increment(state, "writes")
            return outcome, consume_reply_loss(state)

        outcome, lost = self._standin.run_with_faults(write)
        if lost:
            break_connection()
        if isinstance(outcome, Conflict):
            cherrypy.response.status = HTTPStatus.CONFLICT
        return self._standin.send_json(outcome)


class _ControlPaths:
    """Paths below ``/control``."""

    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin

    @cherrypy.expose
    def index(self) -> bytes:
        """Set faults and limits."""
        control = _decode(read_body(), Control)

        def apply(state: PlatformState, now: int) -> None:
            apply_control(state, control, now=now)

        try:
            self._standin.run_locked(apply)
        except RestoreError as error:
            raise cherrypy.HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        return b"{}"

    @cherrypy.expose
    def counters(self) -> bytes:
        """Return the counters."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return msgspec.json.encode(
            self._standin.run_locked(lambda state, _now: _count(state))
        )


def _count(state: PlatformState) -> Counters:
    return Counters(
        **state.counts,
        loads_peak=state.weights.peak,
        revision=state.table.revision,
        table_id=build_table_id(state.table),
    )


def _admit_load(state: PlatformState, request: LoadRequest, now: int) -> LoadReply:
    reply = begin_load(state.weights, memory_mib=request.memory_mib, now=now)
    if reply is not None:
        increment(state, "loads")
        return reply
    increment(state, "loads_refused")
    return LoadReply(retry_after_ms=get_load_wait_ms(state.weights, now=now))


def _decode(body: bytes, kind: type[_Result]) -> _Result:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise cherrypy.HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error


def _parse_number(text: str) -> int:
    if not text.isdigit():
        raise cherrypy.HTTPError(HTTPStatus.BAD_REQUEST, "not a whole number")
    return int(text)


def build_server(
    *, host: str = "127.0.0.1", port: int = 0, clock: Clock | None = None
) -> WebServer:
    """Return a stand-in that can be started in this process.

    :param port: port to listen on; 0 picks a free one.
    :param clock: clock of the instance list's lag and of the weight store.
    """
    return build_standin_server(root=PlatformStandin(clock=clock), host=host, port=port)


@app.default
def run(
    *, listen: str = "127.0.0.1:7400", log_format: str = "text", log_level: str = "info"
) -> None:
    """Serve until SIGTERM.

    :param listen: ``host:port`` to listen on.
    :param log_format: ``json`` or ``text``.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    checks = [
        check_address("--listen", listen),
    ]
    set_up_process(checks, log_format=log_format, log_level=log_level)
    host, port = split_address(listen)
    server = build_server(host=host, port=port)
    log_event(Event.STARTED, program=app.name[0], listen=server.address)
    run_until_stopped(server)
    log_event(Event.STOPPED, program=app.name[0])


def main() -> None:
    """Run the program."""
    app()
