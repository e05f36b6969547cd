"""Fingerprints by which the coordinator recognises refused requests."""

import msgspec
import pytest

from arbutuspulley.node.fingerprints import build_return_fingerprint
from arbutuspulley.ports.fleet import InboundRequest

REQUEST = InboundRequest(
    attempt_id="a1",
    method="POST",
    host="h",
    path="/chat/",
    headers=[],
    wait_ms=None,
    need=None,
    body=b"one",
)


def build(*, team="t1", **changes):
    request = msgspec.structs.replace(REQUEST, **changes)
    return build_return_fingerprint(request, team=team)


def test_retry_of_a_request_has_its_fingerprint():
    """Each sending has an attempt id of its own, and its own remaining time."""
    assert build() == build(attempt_id="a2", wait_ms=7)


@pytest.mark.parametrize(
    "changes", [{"team": "t2"}, {"body": b"two"}, {"host": "g"}, {"method": "PUT"}]
)
def test_other_requests_have_other_fingerprints(changes):
    """A request of another team took the turn of a refused one."""
    assert build(**changes) != build()
