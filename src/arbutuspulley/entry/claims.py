"""Claims of unrepeatable requests, as an entry makes and settles them."""

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
"""A claim whose reply was lost is asked for once more; it keeps its attempt id."""

SETTLE_WAIT_MS = SECOND_MS
"""How long an answer waits for its settlement before it goes out anyway."""

SETTLE_INITIAL_BACKOFF_MS = 500
"""Pause after the first try to settle; it doubles."""

SETTLE_MAX_BACKOFF_MS = 10 * SECOND_MS
"""Longest pause between tries."""

MAX_SETTLE_ATTEMPTS = 60
"""How often a settlement is tried, for about ten minutes of an outage."""

MAX_PENDING_SETTLEMENTS = 64
"""Settlements kept back at once; beyond them an answer is not stored, and a repeat
of its request is told that the outcome is unknown."""

STORE_RETRY_AFTER_MS = 2 * SECOND_MS
"""When to come back while claims cannot be made."""

MAX_OPEN_CLAIM_MS = REQUEST_TIMEOUT_MS + 30 * SECOND_MS
"""A claim that is seen open for longer than any request lives is unknown."""

_OPEN_CLAIM_RETENTION_MS = 2 * MAX_OPEN_CLAIM_MS

IN_PROGRESS_RETRY_AFTER_MS = SECOND_MS
"""When to ask again for an answer that is still being made."""


class StoredAnswer(Value, frozen=True):
    """The answer that an earlier run of the same request gave."""

    status: int
    content_type: str
    body: bytes


async def claim(runtime: Runtime, call: Call) -> StoredAnswer | None:
    """Claim the right to run an unrepeatable request.

    :return: ``None`` if it must be run now, or the answer that it got already.
    :raises RequestError: in all other cases.
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
    """Record how a claimed request ended; returns soon even if the store is down.

    The settlement goes on in the background then. The caller gets its answer
    anyway; a repeat meanwhile is told that the request is in progress.
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
    """Settle, from a worker, the claim of a request that ends without an answer."""
    try:
        yield
    except RequestError as error:
        runtime.loop.wait_for(settle_failure(runtime, call, error))
        raise
    except Exception:
        runtime.loop.wait_for(settle(runtime, call, ClaimState.UNKNOWN))
        raise


def hash_request(call: Call) -> str:
    """Return the hash that tells whether a key is used for the same request."""
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
        # The row may be there all the same. It is taken back, since the request is
        # certainly not run now; else its key would seem in progress for ever.
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
    """Tell whether an open claim may still get its answer.

    An entry that died, or that could not settle through a long outage, leaves its
    claim open for ever. To call it in progress would make the caller ask in vain; it
    is unknown then, and never run again.
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
                pause_ms = bound * (0.5 + runtime.chance.random() / 2)
                await asyncio.sleep(pause_ms / SECOND_MS)
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
