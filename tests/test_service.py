"""Calls to plain services: what was run, and what a failure says about the run."""

import msgspec
import pytest

from arbutuspulley.adapters.engines import connect_engines
from arbutuspulley.ports.engines import (
    BrokenError,
    NotSentError,
    RefusedError,
    ServiceRequest,
)
from arbutuspulley.standins.service import build_service
from tests.backends import read_counters, set_faults
from tests.ports import find_free_address

ENGINES = connect_engines(read_timeout_ms=10_000)
HEADERS = (("Idempotency-Key", "k1"), ("Connection", "close"), ("X-Guest", "a"))


def call(address, *, method="POST", path="/bookings", body=b"{}", traceparent=""):
    request = ServiceRequest(
        method=method, path=path, headers=HEADERS, body=body, traceparent=traceparent
    )
    return ENGINES.call_service(address, request)


@pytest.fixture
def service():
    server = build_service(name="booking")
    server.start()
    yield server.address
    server.stop()


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize(
    ("fault", "error", "status", "runs"),
    [
        ("refuse", RefusedError, None, 0),
        ("cut_before_run", BrokenError, None, 0),
        ("cut_after_run", BrokenError, None, 1),
        ("fail", None, 500, 1),
    ],
)
def test_only_a_refusal_proves_that_a_failed_call_was_not_run(
    service, method, fault, error, status, runs
):
    """A client library that retries on its own runs a booking twice.

    If a service closes the connection after the run, the caller sees an error although
    the booking was made. Each call must reach the service exactly once, and only an
    explicit refusal by the service proves that nothing ran.
    """
    call(service, method="GET", path="/warm-up")
    set_faults(service, **{fault: 1})
    if error:
        with pytest.raises(error):
            call(service, method=method)
    else:
        assert call(service, method=method).status == status
    counted = read_counters(service)
    assert counted["runs"] == 1 + runs
    assert counted["bookings"] == (runs if method == "POST" else 0)
    assert call(service, method=method).status in (200, 201)


def test_a_refusal_carries_its_retry_delay(service):
    set_faults(service, refuse=1)
    with pytest.raises(RefusedError) as caught:
        call(service)
    assert caught.value.retry_after_ms == 1_000


def test_duplicate_bookings_are_counted(service):
    for expected in (1, 2):
        assert msgspec.json.decode(call(service).body)["runs"] == expected
    counted = read_counters(service)
    assert counted["by_key"] == {"k1": 2}
    assert list(counted["by_body"].values()) == [2]


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "PATCH"])
@pytest.mark.parametrize("path", ["/", "/a%20b//c?x=1&x=%2F", "/bookings?y"])
def test_a_call_is_forwarded_unchanged(service, method, path):
    reply = call(service, method=method, path=path, body=b"text", traceparent="t")
    seen = msgspec.json.decode(reply.body)
    assert (reply.status, seen["method"], seen["target"]) == (200, method, path)
    assert seen["body"] == "text"
    assert (seen["headers"]["x-guest"], seen["headers"]["traceparent"]) == ("a", "t")
    assert seen["headers"].get("connection") != "close"
    names = {name.lower() for name, _ in reply.headers}
    assert "content-type" in names
    assert not names & {"connection", "transfer-encoding", "content-length"}


def test_a_refused_connection_proves_that_nothing_ran():
    with pytest.raises(NotSentError):
        call(find_free_address())
