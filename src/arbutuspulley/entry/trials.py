"""Trials of suspects: the retries of requests that a server died under.

A trial is granted by the controller, which writes its death down beforehand; see
:mod:`arbutuspulley.delivery.trials`.
"""

import asyncio
import logging
import uuid

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery import request as life
from arbutuspulley.delivery import suspects
from arbutuspulley.delivery.suspects import Judgement
from arbutuspulley.entry.background import keep
from arbutuspulley.entry.choosing import choose_for_trial
from arbutuspulley.entry.deaths import call_controller, record_all, release_server
from arbutuspulley.entry.state import (
    REQUEST_LIFE_MS,
    Holder,
    Ongoing,
    Runtime,
    Trial,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import ClearanceReport, DeathReport

TRIAL_POLL_MS = 500
"""How often a suspect asks again for a server that another instance's holds."""

LOOK_EVERY_MS = 50
"""How often a suspect looks whether a server that it could use is free."""

TRIAL_WAIT_MS = 30 * SECOND_MS
"""How long a suspect waits for a server that no other suspect holds."""

TRIAL_EXPIRY_MS = REQUEST_LIFE_MS + 30 * SECOND_MS
"""After this time a trial is over for certain, although its entry died."""

CLEARANCE_TRIES = 8
"""How often a clearance is told to a controller that doesn't answer."""

CLEARANCE_PAUSE_MS = 500
"""Pause after the first try; it doubles."""

_STORE_RETRY_MS = 5 * SECOND_MS


async def arrange_trial(
    runtime: Runtime, ongoing: Ongoing, *, avoid: frozenset[str]
) -> str | life.Event:
    """Get the right to run a suspect on some server.

    :return: the server, or why the request must not be dispatched.
    """
    state = runtime.state
    if not await record_all(runtime, ongoing.fingerprint):
        return _bar_unrecorded()
    give_up_at = runtime.clock.now() + TRIAL_WAIT_MS
    while True:
        known = state.suspects.suspicions.get(ongoing.fingerprint)
        if suspects.judge(known) is Judgement.QUARANTINED:
            return bar_quarantined(runtime, ongoing)
        if runtime.clock.now() >= give_up_at:
            return life.NoServer(code=Code.OVERLOADED)
        busy = _list_busy(runtime)
        server = choose_for_trial(runtime, ongoing, avoid=avoid, busy=busy)
        if server is not None:
            granted = await _ask_for_trial(runtime, ongoing, server)
            if granted is None:
                return _bar_unrecorded()
            if granted:
                return server
            await asyncio.sleep(TRIAL_POLL_MS / SECOND_MS)
        elif not busy:
            return life.NoServer()
        await asyncio.sleep(LOOK_EVERY_MS / SECOND_MS)


def clear_suspicion(runtime: Runtime, ongoing: Ongoing) -> None:
    """Clear a request that ran whole, on trial or not."""
    if ongoing.trial is not None:
        end_trial(runtime, ongoing, ran=True)
        return
    state = runtime.state
    known = state.suspects.suspicions.get(ongoing.fingerprint)
    if suspects.judge(known) is Judgement.CLEAR:
        return
    # It was reported as in flight on a server that seemed dead and was not.
    suspects.clear_suspicion(
        state.suspects, ongoing.fingerprint, now=runtime.clock.now()
    )
    report = ClearanceReport(fingerprint=ongoing.fingerprint)
    keep(asyncio.ensure_future(_tell_clearance(runtime, report)))


def end_trial(runtime: Runtime, ongoing: Ongoing, *, ran: bool) -> None:
    """Free the server of a trial that did not kill it.

    :param ran: whether the request ran whole, which clears it.
    """
    trial, ongoing.trial = ongoing.trial, None
    if trial is None:
        return
    state = runtime.state
    release_server(state, trial)
    _clear_locally(runtime, ongoing.fingerprint, trial, ran)
    report = ClearanceReport(
        fingerprint=ongoing.fingerprint,
        server=trial.server,
        boot_id=trial.boot_id,
        trial_id=trial.trial_id,
        ran=ran,
    )
    keep(asyncio.ensure_future(_tell_clearance(runtime, report)))


def bar_quarantined(runtime: Runtime, ongoing: Ongoing) -> life.Barred:
    """Say that a request is not run for now, and when to come back."""
    log_event(
        Event.REQUEST_QUARANTINED,
        level=logging.WARNING,
        request=ongoing.call.request_id,
        fingerprint=ongoing.fingerprint,
    )
    return life.Barred(
        code=Code.QUARANTINED,
        detail="servers died while they ran this request; it is not run for now",
        retry_after_ms=suspects.get_time_to_expiry_ms(
            runtime.state.suspects, ongoing.fingerprint, now=runtime.clock.now()
        ),
    )


async def _ask_for_trial(
    runtime: Runtime, ongoing: Ongoing, server: str
) -> bool | None:
    """Ask for a trial on a server; ``None`` means that it cannot be recorded."""
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
        reply = await call_controller(runtime, report)
    except asyncio.CancelledError:
        # The caller left; the trial may have been granted meanwhile.
        ongoing.trial = trial
        raise
    if reply is None or not reply.recorded:
        # It may be recorded all the same; whoever gives up takes it back.
        ongoing.trial = trial
        return None
    if reply.granted:
        ongoing.trial = trial
        return True
    release_server(state, trial)
    if reply.holder:
        seen = state.holders.get(server)
        is_same = seen is not None and seen.trial_id == reply.holder
        state.holders[server] = Holder(
            trial_id=reply.holder,
            seen_at=seen.seen_at if seen is not None and is_same else now,
            asked_at=now,
        )
    return False


def _find_expired(runtime: Runtime, server: str) -> str:
    holder = runtime.state.holders.get(server)
    if holder is None or runtime.clock.now() - holder.seen_at < TRIAL_EXPIRY_MS:
        return ""
    return holder.trial_id


def _list_busy(runtime: Runtime) -> frozenset[str]:
    """Return servers that another suspect holds, as far as that is known now."""
    state, now = runtime.state, runtime.clock.now()
    held = {
        server
        for server, holder in state.holders.items()
        if now - holder.asked_at < TRIAL_POLL_MS
    }
    return frozenset(state.trials) | held


def _clear_locally(runtime: Runtime, fingerprint: str, trial: Trial, ran: bool) -> None:
    known = runtime.state.suspects.suspicions.get(fingerprint)
    if known is None:
        return
    mark = suspects.build_mark(
        server=trial.server, boot_id=trial.boot_id, trial_id=trial.trial_id
    )
    cleared = suspects.clear_deaths(known, known.deaths if ran else (mark,))
    suspects.merge(runtime.state.suspects, (cleared,), now=runtime.clock.now())


async def _tell_clearance(runtime: Runtime, report: ClearanceReport) -> None:
    for tried in range(CLEARANCE_TRIES):
        try:
            await runtime.controller.clear_suspicion(report)
        except PeerUnavailableError:
            bound = CLEARANCE_PAUSE_MS << tried
            pause_ms = bound * (0.5 + runtime.chance.random() / 2)
            await asyncio.sleep(pause_ms / SECOND_MS)
        else:
            return


def _bar_unrecorded() -> life.Barred:
    return life.Barred(
        code=Code.STORE_UNAVAILABLE,
        detail="a server died under this request, which cannot be recorded now",
        retry_after_ms=_STORE_RETRY_MS,
    )
