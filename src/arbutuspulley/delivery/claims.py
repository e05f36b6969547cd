"""Claims of idempotency keys, so that an unrepeatable request runs at most once.

Before its only dispatch, a request claims its caller's idempotency key with a row that
is inserted only if absent. A later request with the same key finds the row, with the
stored answer or still open. The request of an open claim is never run again, even if
the claimant died, because it may have run.

The functions block; the controller calls them on its I/O threads.
"""

import enum
import hashlib
import logging
import uuid

import msgspec

from arbutuspulley.data import Message
from arbutuspulley.decoding import decode_json
from arbutuspulley.events import Event, log_event
from arbutuspulley.ports.commit import commit
from arbutuspulley.ports.platform import (
    ABSENT,
    Committed,
    Objects,
    Precondition,
    Row,
    Table,
    Transaction,
    Write,
)
from arbutuspulley.results import (
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from arbutuspulley.rpc.messages import ClaimReply, ClaimRequest, SettleRequest

INLINE_ANSWER_BYTES = 16 * 1024
"""Largest answer stored in the table row; larger ones go to the object store."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer that is stored; it must fit into one message."""

_MAX_ATTEMPTS = 4
"""Maximum rounds of read and compare-and-set in competition with other writers."""


class ClaimState(enum.StrEnum):
    """State of a claim, as stored in its row and as returned to the entry."""

    GRANTED = "granted"
    CLAIMED = "claimed"
    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"


class ClaimRecord(Message, frozen=True):
    """The row of one idempotency key.

    :param state: ``claimed``, ``answered``, ``unknown`` or ``not_run``.
    :param attempt_id: id of the claim that holds or held the key.
    :param claimant: boot id of the entry that made the claim.
    :param body: the answer, if at most :data:`INLINE_ANSWER_BYTES` long.
    :param object_name: name of the stored object with a longer answer.
    """

    body_sha256: str
    attempt_id: str
    state: ClaimState
    claimant: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    object_name: str = ""


def build_claim_key(caller: str, key: str) -> str:
    """Return the key of a claim's row, which contains a hash of the idempotency key."""
    return f"claim/{caller}/{hashlib.sha256(key.encode()).hexdigest()}"


def decide_claim(record: ClaimRecord | None, request: ClaimRequest) -> ClaimState:
    """Decide on a claim by the existing row.

    :return: ``GRANTED`` if the row may be written, otherwise the state to return to the
        caller.
    """
    if record is None:
        return ClaimState.GRANTED
    if record.state is ClaimState.NOT_RUN:
        # The key was never used for a run. A late duplicate of the withdrawn claim
        # must not get it again, because its entry has already given up.
        if record.attempt_id == request.attempt_id:
            return ClaimState.UNAVAILABLE
        return ClaimState.GRANTED
    if record.body_sha256 != request.body_sha256:
        return ClaimState.REUSED
    if record.state is not ClaimState.CLAIMED:
        return record.state
    if record.attempt_id == request.attempt_id:
        # The reply to this claim was lost; its entry retries the claim and has not
        # dispatched the request yet.
        return ClaimState.GRANTED
    return ClaimState.IN_PROGRESS


def decide_settlement(record: ClaimRecord | None, request: SettleRequest) -> bool:
    """Return whether the settlement may replace the existing row.

    A claim that is withdrawn before its row exists writes a row as well: the claim may
    still be in flight, and would hold the key for ever if it arrived.
    """
    if record is None:
        return request.state == ClaimState.NOT_RUN
    if record.attempt_id != request.attempt_id:
        return False
    if record.state is ClaimState.CLAIMED:
        return True
    return record.state is ClaimState.UNKNOWN and request.state == ClaimState.ANSWERED


def make_claim(table: Table, request: ClaimRequest, *, objects: Objects) -> ClaimReply:
    """Claim the right to run a request.

    :return: ``granted`` only if the row was certainly written by this claim;
        ``unavailable`` if it was not, or if that is currently unknown.
    """
    try:
        return _try_claim(table, request, objects)
    except PlatformUnavailableError:
        return ClaimReply(state=ClaimState.UNAVAILABLE)
    except OutcomeUnknownError:
        return ClaimReply(state=ClaimState.UNAVAILABLE, uncertain=True)


def settle_claim(table: Table, request: SettleRequest, *, objects: Objects) -> None:
    """Record the outcome of a claimed request; idempotent.

    :raises PlatformUnavailableError: if nothing was recorded.
    :raises OutcomeUnknownError: if the outcome may have been recorded; settle again.
    """
    key = build_claim_key(request.caller, request.key)
    for _ in range(_MAX_ATTEMPTS):
        row = table.read(key)
        record = _decode(row)
        if not decide_settlement(record, request):
            return
        settled = _build_settled_record(
            record or _build_unclaimed(request), request, key, objects
        )
        if _write(table, key, row.revision if row else ABSENT, settled):
            log_event(
                Event.CLAIM_SETTLED,
                level=logging.DEBUG,
                caller=request.caller,
                attempt=request.attempt_id,
                state=request.state,
            )
            return
    raise PlatformUnavailableError(detail="claim row has too many concurrent writers")


def _build_unclaimed(request: SettleRequest) -> ClaimRecord:
    return ClaimRecord(
        body_sha256="", attempt_id=request.attempt_id, state=ClaimState.NOT_RUN
    )


def _try_claim(table: Table, request: ClaimRequest, objects: Objects) -> ClaimReply:
    key = build_claim_key(request.caller, request.key)
    for _ in range(_MAX_ATTEMPTS):
        row = table.read(key)
        record = _decode(row)
        state = decide_claim(record, request)
        if state is not ClaimState.GRANTED:
            return _build_reply(state, record, objects)
        if record is not None and record.state is ClaimState.CLAIMED:
            return ClaimReply(state=ClaimState.GRANTED)
        claimed = ClaimRecord(
            body_sha256=request.body_sha256,
            attempt_id=request.attempt_id,
            state=ClaimState.CLAIMED,
            claimant=request.claimant,
        )
        if _write(table, key, row.revision if row else ABSENT, claimed):
            log_event(
                Event.CLAIM_MADE,
                level=logging.DEBUG,
                caller=request.caller,
                attempt=request.attempt_id,
            )
            return ClaimReply(state=ClaimState.GRANTED)
    return ClaimReply(state=ClaimState.UNAVAILABLE)


def _write(table: Table, key: str, revision: int, record: ClaimRecord) -> bool:
    transaction = Transaction(
        token=uuid.uuid4().hex,
        preconditions=(Precondition(key=key, revision=revision),),
        writes=(Write(key=key, value=msgspec.json.encode(record)),),
    )
    return isinstance(commit(table, transaction), Committed)


def _decode(row: Row | None) -> ClaimRecord | None:
    if row is None or row.deleted:
        return None
    return decode_json(row.value, ClaimRecord)


def _build_settled_record(
    record: ClaimRecord, request: SettleRequest, key: str, objects: Objects
) -> ClaimRecord:
    state = ClaimState(request.state)
    if state is not ClaimState.ANSWERED or len(request.body) > MAX_ANSWER_BYTES:
        kept = ClaimState.UNKNOWN if state is ClaimState.ANSWERED else state
        return msgspec.structs.replace(record, state=kept)
    body, object_name = request.body, ""
    if len(body) > INLINE_ANSWER_BYTES:
        object_name = f"answers/{key}/{record.attempt_id}"
        objects.put_if_absent(object_name, body)
        body = b""
    return msgspec.structs.replace(
        record,
        state=state,
        status=request.status,
        content_type=request.content_type,
        body=body,
        object_name=object_name,
    )


def _build_reply(
    state: ClaimState, record: ClaimRecord | None, objects: Objects
) -> ClaimReply:
    if record is None or state is ClaimState.REUSED:
        return ClaimReply(state=state)
    if state is not ClaimState.ANSWERED:
        return ClaimReply(state=state, claimant=record.claimant)
    body: bytes | None = record.body
    if record.object_name:
        body = objects.get(record.object_name)
    if body is None:
        return ClaimReply(state=ClaimState.UNKNOWN)
    return ClaimReply(
        state=state,
        status=record.status,
        content_type=record.content_type,
        body=body,
    )
