"""Claims on unrepeatable requests: each runs at most once over all entries."""

import asyncio
import hashlib
import logging
from collections.abc import Iterator
from contextlib import contextmanager

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.delivery.claims import ClaimState
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry.background import keep_reference
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.state import REQUEST_TIMEOUT_MS, Runtime
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code, RequestError, RunState
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import ClaimReply, ClaimRequest, SettleRequest

MAX_CLAIM_ATTEMPTS = 2
"""Attempts per claim; the retry after a lost reply keeps the attempt id."""

SETTLE_WAIT_MS = SECOND_MS
"""Longest time that an answer waits for its settlement before it is sent anyway."""

SETTLE_INITIAL_BACKOFF_MS = 500
"""Backoff after the first failed settlement; it doubles with each attempt."""

SETTLE_MAX_BACKOFF_MS = 10 * SECOND_MS
"""Maximum backoff between settlement attempts."""

MAX_SETTLE_ATTEMPTS = 60
"""Attempts per settlement; they cover an outage of about ten minutes."""

MAX_PENDING_SETTLEMENTS = 64
"""Maximum number of settlements in progress; an answer beyond them is not stored, and
a retry of its request gets ``OUTCOME_UNKNOWN``."""

STORE_RETRY_AFTER_MS = 2 * SECOND_MS
"""``Retry-After`` while claims cannot be made."""

MAX_OPEN_CLAIM_MS = REQUEST_TIMEOUT_MS + 30 * SECOND_MS
"""An open claim older than any request can be has an unknown outcome."""

_OPEN_CLAIM_RETENTION_MS = 2 * MAX_OPEN_CLAIM_MS

IN_PROGRESS_RETRY_AFTER_MS = SECOND_MS
"""``Retry-After`` while an earlier run of the same request is in progress."""


class StoredAnswer(Value, frozen=True):
    """Stored answer of an earlier run of the same request."""

    status: int
    content_type: str
    body: bytes


async def claim(runtime: Runtime, call: Call) -> StoredAnswer | None:
    """Claim the right to run an unrepeatable request.

    :return: ``None`` if the claim is granted and the request must run now, or the
        stored answer of an earlier run.
    :raises RequestError: if the claim is not granted and no answer is stored.
    """
    reply = await _request_claim(runtime, call)
    runtime.metrics.claims.labels(reply.state).inc()
    if reply.state == ClaimState.GRANTED:
        return None
    if reply.state == ClaimState.ANSWERED:
        return StoredAnswer(
            status=reply.status, content_type=reply.content_type, body=reply.body
        )
    raise _build_error(runtime, call, reply)


async def settle(
    runtime: Runtime, call: Call, state: ClaimState, answer: StoredAnswer | None = None
) -> None:
    """Record the outcome of a claimed request.

    Returns after at most ``SETTLE_WAIT_MS``, even if the store is down; the settlement
    then continues in the background. The caller gets its answer anyway, and a retry in
    the meantime gets ``IN_PROGRESS``.
    """
    request = SettleRequest(
        caller=call.identity.name,
        key=call.key,
        attempt_id=call.request_id,
        state=state,
        status=answer.status if answer else 0,
        content_type=answer.content_type if answer else "",
        body=answer.body if answer else b"",
    )
    if runtime.state.pending_settlements >= MAX_PENDING_SETTLEMENTS:
        return
    runtime.state.pending_settlements += 1
    task = asyncio.ensure_future(_settle_with_retries(runtime, request))
    keep_reference(task)
    await asyncio.wait({task}, timeout=SETTLE_WAIT_MS / SECOND_MS)


async def settle_failure(runtime: Runtime, call: Call, error: RequestError) -> None:
    """Record that a claimed request ended without an answer."""
    was_not_run = error.run_state is RunState.NOT_RUN
    state = ClaimState.NOT_RUN if was_not_run else ClaimState.UNKNOWN
    await settle(runtime, call, state)


@contextmanager
def settle_on_failure(runtime: Runtime, call: Call) -> Iterator[None]:
    """Settle the claim if the body raises; runs on a worker thread."""
    try:
        yield
    except RequestError as error:
        runtime.loop.wait_for(settle_failure(runtime, call, error))
        raise
    except Exception:
        runtime.loop.wait_for(settle(runtime, call, ClaimState.UNKNOWN))
        raise


def hash_request(call: Call) -> str:
    """Return a hash of path and body; it detects a key reused for another request."""
    digest = hashlib.sha256(f"{call.path}\0".encode())
    digest.update(call.body)
    return digest.hexdigest()


async def _request_claim(runtime: Runtime, call: Call) -> ClaimReply:
    request = ClaimRequest(
        caller=call.identity.name,
        key=call.key,
        body_sha256=hash_request(call),
        attempt_id=call.request_id,
        claimant=runtime.settings.boot_id,
    )
    reply = ClaimReply(state=ClaimState.UNAVAILABLE, uncertain=True)
    for _ in range(MAX_CLAIM_ATTEMPTS):
        try:
            reply = await runtime.controller.claim(request)
            break
        except PeerUnavailableError:
            continue
    if reply.uncertain:
        # The claim may have been stored although its reply was lost. The request does
        # not run, so the claim is settled as not run; otherwise its key would stay in
        # progress forever.
        keep_reference(asyncio.ensure_future(settle(runtime, call, ClaimState.NOT_RUN)))
    return reply


def _build_error(runtime: Runtime, call: Call, reply: ClaimReply) -> RequestError:
    if reply.state == ClaimState.REUSED:
        detail = "the Idempotency-Key was used for another request"
        return build_failure(Code.KEY_REUSED, detail)
    if reply.state == ClaimState.IN_PROGRESS and _may_be_running(runtime, call, reply):
        return build_failure(
            Code.IN_PROGRESS,
            "the same request is in progress",
            run_state=RunState.UNKNOWN,
            retry_after_ms=IN_PROGRESS_RETRY_AFTER_MS,
        )
    if reply.state in (ClaimState.IN_PROGRESS, ClaimState.UNKNOWN):
        detail = "the request may have run; its outcome is not known"
        return build_failure(Code.OUTCOME_UNKNOWN, detail, run_state=RunState.UNKNOWN)
    return build_failure(
        Code.STORE_UNAVAILABLE,
        "the store that keeps unrepeatable requests from running twice is down",
        retry_after_ms=STORE_RETRY_AFTER_MS,
    )


def _may_be_running(runtime: Runtime, call: Call, reply: ClaimReply) -> bool:
    """Return whether the run that holds an open claim may still finish.

    An entry that died, or that could not settle during a long outage, leaves its claim
    open forever. Reporting it as in progress would make the caller retry in vain, so
    its outcome counts as unknown, and the request is never run again.
    """
    state, now = runtime.state, runtime.clock.now()
    claim_id = (call.identity.name, call.key)
    seen_at = state.open_claims.setdefault(claim_id, now)
    for expired in [
        claim_id
        for claim_id, first_seen_at in state.open_claims.items()
        if now - first_seen_at > _OPEN_CLAIM_RETENTION_MS
    ]:
        del state.open_claims[expired]
    if now - seen_at > MAX_OPEN_CLAIM_MS:
        return False
    entries = state.view.entries if state.view else ()
    alive = {entry.boot_id for entry in entries} | {runtime.settings.boot_id}
    return reply.claimant in alive


async def _settle_with_retries(runtime: Runtime, request: SettleRequest) -> None:
    try:
        for attempt in range(MAX_SETTLE_ATTEMPTS):
            try:
                await runtime.controller.settle(request)
            except PeerUnavailableError:
                bound = min(
                    SETTLE_MAX_BACKOFF_MS, SETTLE_INITIAL_BACKOFF_MS << min(attempt, 8)
                )
                backoff_ms = bound * (0.5 + runtime.rng.random() / 2)
                await asyncio.sleep(backoff_ms / SECOND_MS)
            else:
                return
        log_event(
            Event.CLAIM_SETTLED,
            level=logging.WARNING,
            caller=request.caller,
            attempt=request.attempt_id,
            state="given up",
        )
    finally:
        runtime.state.pending_settlements -= 1
