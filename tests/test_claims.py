"""Claims: an unrepeatable request runs at most once, even if it is sent again."""

import pytest

from arbutuspulley.delivery import claims
from arbutuspulley.delivery.claims import (
    INLINE_ANSWER_BYTES,
    MAX_ANSWER_BYTES,
    ClaimState,
    make_claim,
    settle_claim,
)
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.rpc.messages import ClaimRequest, SettleRequest
from tests.fakes import FakePlatform

KEY = claims.build_claim_key("desk", "k")


@pytest.fixture
def fake():
    return FakePlatform()


def claim(fake, attempt="a1", body="b"):
    request = ClaimRequest(
        caller="desk", key="k", body_sha256=body, attempt_id=attempt, claimant="e1"
    )
    return make_claim(fake.platform.table, request, objects=fake.platform.objects)


def settle(fake, state="answered", attempt="a1", body=b"whole"):
    request = SettleRequest(
        caller="desk",
        key="k",
        attempt_id=attempt,
        state=state,
        status=201,
        content_type="text/plain",
        body=body,
    )
    settle_claim(fake.platform.table, request, objects=fake.platform.objects)


@pytest.mark.parametrize(
    ("settled", "attempt", "body", "state"),
    [
        (None, "a2", "b", "in_progress"),
        (None, "a1", "b", "granted"),
        (None, "a2", "other", "reused"),
        ("answered", "a2", "b", "answered"),
        ("answered", "a1", "b", "answered"),
        ("answered", "a2", "other", "reused"),
        ("unknown", "a2", "b", "unknown"),
        ("unknown", "a1", "b", "unknown"),
        ("not_run", "a2", "b", "granted"),
        ("not_run", "a2", "other", "granted"),
        ("not_run", "a1", "b", "unavailable"),
    ],
)
def test_claim_of_a_used_key(fake, settled, attempt, body, state):
    """A caller receives no answer to a confirmation and sends it again.

    The first request ran, may have run, is still running, or certainly did not run;
    only in the last case may the second one run. A late duplicate of the first claim,
    which its entry withdrew, must not get the key either.
    """
    assert claim(fake).state == "granted"
    if settled:
        settle(fake, settled)
    assert claim(fake, attempt, body).state == state


@pytest.mark.parametrize("size", [0, INLINE_ANSWER_BYTES, INLINE_ANSWER_BYTES + 1])
def test_a_stored_answer_is_returned_complete(fake, size):
    claim(fake)
    settle(fake, body=b"x" * size)
    reply = claim(fake, "a2")
    assert (reply.status, reply.content_type) == (201, "text/plain")
    assert reply.body == b"x" * size
    assert bool(fake.stored) == (size > INLINE_ANSWER_BYTES)


@pytest.mark.parametrize("lost", ["object", "size"])
def test_an_answer_that_is_not_stored_is_unknown(fake, lost):
    """An answer is too large to store, or its object has been deleted.

    An empty answer in its place would look complete.
    """
    claim(fake)
    settle(fake, body=b"x" * (MAX_ANSWER_BYTES + (lost == "size")))
    fake.stored.clear()
    assert claim(fake, "a2").state == "unknown"


@pytest.mark.parametrize(
    ("fault", "value", "first", "uncertain", "second"),
    [
        ("down", True, "unavailable", False, "granted"),
        ("lost_replies", 1, "granted", False, "in_progress"),
        ("lost_requests", 1, "granted", False, "in_progress"),
        ("down_after_lost_reply", True, "unavailable", True, "in_progress"),
    ],
)
def test_a_claim_during_store_faults(fake, fault, value, first, uncertain, second):
    """The reply to a claim is lost after the row was written.

    If the claim were treated as refused and made again, the row would look like that of
    another claim. If it were treated as granted without reading the row, two entries
    could run the same booking.
    """
    setattr(fake, fault, value)
    fake.lost_replies = 1 if fault.startswith("down_") else fake.lost_replies
    reply = claim(fake)
    assert (reply.state, reply.uncertain) == (first, uncertain)
    fake.down = False
    assert claim(fake, "a2").state == second


def test_two_entries_claim_concurrently(fake):
    """A caller with an unstable connection sends a booking to two entries at once.

    Both read that there is no row; the second write must fail.
    """
    replies = []
    fake.before_transact = lambda: replies.append(claim(fake, "a2").state)
    replies.append(claim(fake, "a1").state)
    assert replies == ["granted", "in_progress"]


@pytest.mark.parametrize(
    ("first", "attempt", "second", "kept"),
    [
        ("answered", "a1", "unknown", "answered"),
        ("answered", "a1", "not_run", "answered"),
        ("answered", "a2", "answered", "answered"),
        ("unknown", "a1", "answered", "answered"),
        ("unknown", "a1", "not_run", "unknown"),
        ("not_run", "a1", "answered", "granted"),
        (None, "a2", "answered", "in_progress"),
        (None, "a2", "not_run", "in_progress"),
    ],
)
def test_a_settlement_is_not_overwritten(fake, first, attempt, second, kept):
    """A settlement is duplicate or late, or from an entry that lost the claim."""
    claim(fake)
    if first:
        settle(fake, first)
    settle(fake, second, attempt, body=b"later")
    reply = claim(fake, "a3")
    assert reply.state == kept
    if first == kept == "answered":
        assert reply.body == b"whole"


def test_a_settlement_raises_if_it_is_not_recorded(fake):
    claim(fake)
    fake.down = True
    with pytest.raises(PlatformUnavailableError):
        settle(fake)
    fake.down, fake.lost_replies, fake.down_after_lost_reply = False, 1, True
    with pytest.raises(OutcomeUnknownError):
        settle(fake)
    fake.down = False
    settle(fake)
    assert claim(fake, "a2").state == ClaimState.ANSWERED


@pytest.mark.parametrize("state", ["answered", "unknown"])
def test_settling_without_a_claim_writes_nothing(fake, state):
    settle(fake, state)
    assert fake.platform.table.read(KEY) is None


def test_a_withdrawn_claim_that_arrives_late_is_refused(fake):
    """A claim is delayed by a slow store; its entry gives up and withdraws it.

    If the claim were granted afterwards, it would hold the key for a request that is
    not running, and the caller would wait for ever.
    """
    settle(fake, "not_run")
    assert claim(fake, "a1").state == "unavailable"
    assert claim(fake, "a2").state == "granted"
    assert claim(fake, "a1").state == "in_progress"
