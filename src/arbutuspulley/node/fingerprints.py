"""Fingerprints by which requests are recognised when callers send them again."""

import hashlib

from arbutuspulley.delivery.suspects import build_fingerprint
from arbutuspulley.ports.fleet import InboundRequest

RETURN_FINGERPRINT_BYTES = 8
"""Size of a fingerprint on the link. Among 20,000 records, two requests have the same
one with a probability of about 1 in 10 ** 11."""


def get_fingerprint(request: InboundRequest) -> str:
    """Return a request's fingerprint, and compute it if that is not done yet."""
    if not request.fingerprint:
        request.fingerprint = build_fingerprint(
            caller=request.host,
            path=f"{request.method} {request.path}",
            body=request.body,
        )
    return request.fingerprint


def build_return_fingerprint(request: InboundRequest, *, team: str) -> int:
    """Return the fingerprint by which the coordinator recognises a refused request.

    The team is included: a request that another team sends alike has not been refused.

    :param team: name of the caller's team; empty: none.
    :return: an integer of 8 bytes, never 0.
    """
    digest = hashlib.sha256(f"{team}\0{get_fingerprint(request)}".encode()).digest()
    return int.from_bytes(digest[:RETURN_FINGERPRINT_BYTES]) or 1
