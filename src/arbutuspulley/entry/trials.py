"""Trials of suspects: retries of requests during which a server died.

A trial is granted by the controller, which records the death of its server in advance;
see :mod:`arbutuspulley.delivery.trials`.
"""

import asyncio
import logging
import uuid

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery import request as lifecycle
from arbutuspulley.delivery import suspects
from arbutuspulley.delivery.suspects import Judgement
from arbutuspulley.entry.background import keep_reference
from arbutuspulley.entry.deaths import (
    record_pending_deaths,
    release_trial_server,
    send_death_report,
)
from arbutuspulley.entry.server_choice import choose_trial_server
from arbutuspulley.entry.state import (
    REQUEST_TIMEOUT_MS,
    OngoingRequest,
    Runtime,
    Trial,
    TrialHolder,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import ClearanceReport, DeathReport

TRIAL_POLL_MS = 500
"""Retry interval for a server that is reserved by another instance's suspect."""

BUSY_POLL_MS = 50
"""Interval at which a waiting suspect checks for a free server."""

TRIAL_WAIT_MS = 30 * SECOND_MS
"""Longest time that a suspect waits for a server that no other suspect has reserved."""

TRIAL_EXPIRY_MS = REQUEST_TIMEOUT_MS + 30 * SECOND_MS
"""Age at which a trial is certainly over, even if its entry died."""

MAX_CLEARANCE_ATTEMPTS = 8
"""Attempts to send a clearance to an unreachable controller."""

CLEARANCE_INITIAL_BACKOFF_MS = 500
"""Backoff after the first failed attempt; it doubles with each attempt."""

_STORE_RETRY_AFTER_MS = 5 * SECOND_MS


async def acquire_trial(
    runtime: Runtime, ongoing: OngoingRequest, *, avoid: frozenset[str]
) -> str | lifecycle.Event:
    """Acquire the right to run a suspect on a server.

    :param avoid: servers to exclude, unless they are alive and no other has the item.
    :return: the server, or the event that explains why the request is not dispatched.
    """
    state = runtime.state
    if not await record_pending_deaths(runtime, ongoing.fingerprint):
        return _build_unrecorded()
    deadline = runtime.clock.now() + TRIAL_WAIT_MS
    while True:
        suspicion = state.suspects.suspicions.get(ongoing.fingerprint)
        if suspects.judge(suspicion) is Judgement.QUARANTINED:
            return build_quarantined(runtime, ongoing)
        if runtime.clock.now() >= deadline:
            return lifecycle.NoServer(code=Code.OVERLOADED)
        busy = _list_busy_servers(runtime)
        server = choose_trial_server(runtime, ongoing, avoid=avoid, busy=busy)
        if server is not None:
            granted = await _request_trial(runtime, ongoing, server)
            if granted is None:
                return _build_unrecorded()
            if granted:
                return server
            await asyncio.sleep(TRIAL_POLL_MS / SECOND_MS)
        elif not busy:
            return lifecycle.NoServer()
        await asyncio.sleep(BUSY_POLL_MS / SECOND_MS)


def clear_suspicion(runtime: Runtime, ongoing: OngoingRequest) -> None:
    """Clear the suspicion of a request that ran to its end, on trial or not."""
    if ongoing.trial is not None:
        end_trial(runtime, ongoing, ran=True)
        return
    state = runtime.state
    suspicion = state.suspects.suspicions.get(ongoing.fingerprint)
    if suspects.judge(suspicion) is Judgement.CLEAR:
        return
    # It was reported as in flight on a server that was wrongly considered dead.
    suspects.clear_suspicion(
        state.suspects, ongoing.fingerprint, now=runtime.clock.now()
    )
    report = ClearanceReport(fingerprint=ongoing.fingerprint)
    keep_reference(asyncio.ensure_future(_send_clearance(runtime, report)))


def end_trial(runtime: Runtime, ongoing: OngoingRequest, *, ran: bool) -> None:
    """Release the server of a trial that did not kill it.

    :param ran: whether the request ran to its end, which clears its suspicion.
    """
    trial, ongoing.trial = ongoing.trial, None
    if trial is None:
        return
    state = runtime.state
    release_trial_server(state, trial)
    _clear_locally(runtime, ongoing.fingerprint, trial, ran)
    report = ClearanceReport(
        fingerprint=ongoing.fingerprint,
        server=trial.server,
        boot_id=trial.boot_id,
        trial_id=trial.trial_id,
        ran=ran,
    )
    keep_reference(asyncio.ensure_future(_send_clearance(runtime, report)))


def build_quarantined(runtime: Runtime, ongoing: OngoingRequest) -> lifecycle.Barred:
    """Return the refusal of a quarantined request, with its retry time."""
    log_event(
        Event.REQUEST_QUARANTINED,
        level=logging.WARNING,
        request=ongoing.call.request_id,
        fingerprint=ongoing.fingerprint,
    )
    return lifecycle.Barred(
        code=Code.QUARANTINED,
        detail="servers died while they ran this request; it is not run for now",
        retry_after_ms=suspects.get_time_to_expiry_ms(
            runtime.state.suspects, ongoing.fingerprint, now=runtime.clock.now()
        ),
    )


async def _request_trial(
    runtime: Runtime, ongoing: OngoingRequest, server: str
) -> bool | None:
    """Request a trial on a server.

    :return: whether it was granted, or ``None`` if it cannot be recorded.
    """
    state, now = runtime.state, runtime.clock.now()
    trial_id = uuid.uuid4().hex
    boot_id = state.summaries[server].boot_id
    state.trials[server] = trial_id
    report = DeathReport(
        server=server,
        boot_id=boot_id,
        fingerprints=(ongoing.fingerprint,),
        trial_id=trial_id,
        expired_trial_id=_find_expired(runtime, server),
    )
    trial = Trial(server=server, boot_id=boot_id, trial_id=trial_id)
    try:
        reply = await send_death_report(runtime, report)
    except asyncio.CancelledError:
        # The caller disconnected; the trial may have been granted in the meantime.
        ongoing.trial = trial
        raise
    if reply is None or not reply.recorded:
        # It may have been recorded nevertheless; ending the request releases it.
        ongoing.trial = trial
        return None
    if reply.granted:
        ongoing.trial = trial
        return True
    release_trial_server(state, trial)
    if reply.holder:
        previous = state.trial_holders.get(server)
        is_same = previous is not None and previous.trial_id == reply.holder
        state.trial_holders[server] = TrialHolder(
            trial_id=reply.holder,
            seen_at=previous.seen_at if previous is not None and is_same else now,
            requested_at=now,
        )
    return False


def _find_expired(runtime: Runtime, server: str) -> str:
    holder = runtime.state.trial_holders.get(server)
    if holder is None or runtime.clock.now() - holder.seen_at < TRIAL_EXPIRY_MS:
        return ""
    return holder.trial_id


def _list_busy_servers(runtime: Runtime) -> frozenset[str]:
    """Return the servers that are known to be reserved for other suspects."""
    state, now = runtime.state, runtime.clock.now()
    reserved = {
        server
        for server, holder in state.trial_holders.items()
        if now - holder.requested_at < TRIAL_POLL_MS
    }
    return frozenset(state.trials) | reserved


def _clear_locally(runtime: Runtime, fingerprint: str, trial: Trial, ran: bool) -> None:
    suspicion = runtime.state.suspects.suspicions.get(fingerprint)
    if suspicion is None:
        return
    mark = suspects.build_mark(
        server=trial.server, boot_id=trial.boot_id, trial_id=trial.trial_id
    )
    cleared = suspects.clear_deaths(suspicion, suspicion.deaths if ran else (mark,))
    suspects.merge(runtime.state.suspects, (cleared,), now=runtime.clock.now())


async def _send_clearance(runtime: Runtime, report: ClearanceReport) -> None:
    for attempt in range(MAX_CLEARANCE_ATTEMPTS):
        try:
            await runtime.controller.clear_suspicion(report)
        except PeerUnavailableError:
            bound = CLEARANCE_INITIAL_BACKOFF_MS << attempt
            backoff_ms = bound * (0.5 + runtime.rng.random() / 2)
            await asyncio.sleep(backoff_ms / SECOND_MS)
        else:
            return


def _build_unrecorded() -> lifecycle.Barred:
    return lifecycle.Barred(
        code=Code.STORE_UNAVAILABLE,
        detail="a server died under this request, which cannot be recorded now",
        retry_after_ms=_STORE_RETRY_AFTER_MS,
    )
