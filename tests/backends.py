"""Backend server stand-ins in this process, and helpers that call them."""

import contextlib
import json
import time

import urllib3

from arbutuspulley.ports.engines import InferenceRequest, Order, OrderKind
from arbutuspulley.standins.engine import EngineSettings, EngineStandin
from arbutuspulley.standins.routes import build_root
from arbutuspulley.standins.server import build_standin_server

BOUND_S = 10
ITEM = "m@1"


@contextlib.contextmanager
def run_engine(**settings):
    """Yield an engine; the default settings make it fast."""
    fast = {"name": "e1", "memory_mib": 100, "load_ms": 0, "token_ms": 1}
    chosen = EngineSettings(**{**fast, "first_token_ms": 1, **settings})
    engine = EngineStandin(settings=chosen)
    engine.start()
    try:
        yield engine
    finally:
        engine.stop()


@contextlib.contextmanager
def run_routes(routes):
    """Yield the address of a server with these routes."""
    server = build_standin_server(root=build_root(routes))
    server.start()
    try:
        yield server.address
    finally:
        server.stop()


def wait_until(condition):
    """Return the first true value of a condition."""
    deadline = time.monotonic() + BOUND_S
    while not (value := condition()):
        assert time.monotonic() < deadline, "the condition never came true"
        time.sleep(0.005)
    return value


def set_faults(address, **faults):
    """Set faults of a stand-in."""
    body = json.dumps(faults)
    assert urllib3.request("POST", f"http://{address}/control", body=body).status == 200


def read_counters(address):
    """Return the counters of a stand-in."""
    return urllib3.request("GET", f"http://{address}/control/counters").json()


def build_order(kind="load", item=ITEM, *, number=1, fence=1, mib=60, base=""):
    """Return an order."""
    return Order(
        kind=OrderKind(kind),
        item=item,
        memory_mib=mib,
        fence=fence,
        number=number,
        base=base,
    )


def build_request(*, attempt="a", tokens=4, offset=0, text="hello", path="chat/"):
    """Return an attempt at a request."""
    messages = [{"role": "user", "content": text}]
    body = {"model": "m", "messages": messages, "prompt": text, "max_tokens": tokens}
    return InferenceRequest(
        request_id="r",
        attempt_id=attempt,
        path=f"/v1/{path}completions",
        item=ITEM,
        body=json.dumps(body).encode(),
        offset=offset,
    )


def load(engines, address, **order):
    """Load an item and wait until it answers."""
    engines.order(address, build_order(**order))
    wait_until(lambda: _has_loaded(engines.report(address)))


def _has_loaded(report):
    return any(item.state == "loaded" for item in report.items)
