"""Deaths of servers, and trials of the requests that were in flight there.

A first death is recorded before the retry is dispatched, and the retry is a trial
that the controller grants. Without the controller no suspect is run: the bound of
two servers for a poison request could not be kept.
"""

import asyncio
import logging
import uuid
from collections.abc import Callable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery import request as life
from arbutuspulley.delivery import suspects
from arbutuspulley.delivery.suspects import Judgement
from arbutuspulley.entry.state import (
    REQUEST_LIFE_MS,
    Attempt,
    Holder,
    Ongoing,
    Runtime,
    Trial,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import Code
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import (
    AcquittalReport,
    DeathReport,
    SuspicionsReply,
)

TRIAL_POLL_MS = 500
"""How often a suspect asks again for a server that another instance's holds."""

TRIAL_WAIT_MS = 30 * SECOND_MS
"""How long a suspect waits for a server that no other suspect holds."""

TRIAL_EXPIRY_MS = REQUEST_LIFE_MS + 30 * SECOND_MS
"""After this time a trial is over for certain, although its entry died."""

ACQUITTAL_TRIES = 8
"""How often an acquittal is told to a controller that doesn't answer."""

ACQUITTAL_PAUSE_MS = 500
"""Pause after the first try; it doubles."""

_STORE_RETRY_MS = 5 * SECOND_MS

Choose = Callable[..., str | None]
"""Chooses a server; see :func:`arbutuspulley.entry.dispatch.choose_server`."""


async def report_death(runtime: Runtime, ongoing: Ongoing, attempt: Attempt) -> None:
    """Record that a server died under a request, and under all others there.

    The first request that notices reports for all; the rest wait for that report.
    """
    state = runtime.state
    mark = suspects.build_mark(server=attempt.server, boot_id=attempt.boot_id)
    if ongoing.trial is not None:
        state.trials.pop(ongoing.trial.server, None)
        ongoing.trial = None
    running = state.reports.get(mark)
    known = state.suspects.suspicions.get(ongoing.fingerprint)
    if running is None or known is None or mark not in known.deaths:
        others = _list_in_flight(runtime, attempt)
        running = asyncio.ensure_future(
            _record(runtime, attempt, (ongoing.fingerprint, *others))
        )
        state.reports[mark] = running
        running.add_done_callback(lambda _: state.reports.pop(mark, None))
    await asyncio.shield(running)


async def arrange_trial(
    runtime: Runtime, ongoing: Ongoing, *, avoid: frozenset[str], choose: Choose
) -> str | life.Event:
    """Get the right to run a suspect on some server.

    :return: the server, or why the request must not be dispatched.
    """
    state = runtime.state
    if not await _flush(runtime, ongoing.fingerprint):
        return _bar_unrecorded()
    give_up_at = runtime.clock.now() + TRIAL_WAIT_MS
    while True:
        known = state.suspects.suspicions.get(ongoing.fingerprint)
        if suspects.judge(known) is Judgement.QUARANTINED:
            return _bar_quarantined(runtime, ongoing)
        if runtime.clock.now() >= give_up_at:
            return life.NoServer(code=Code.OVERLOADED)
        busy = _list_busy(runtime)
        server = choose(runtime, ongoing, avoid=avoid, barred=busy)
        if server is not None:
            granted = await _ask_for_trial(runtime, ongoing, server)
            if granted is None:
                return _bar_unrecorded()
            if granted:
                return server
        elif not busy:
            return life.NoServer()
        await asyncio.sleep(TRIAL_POLL_MS / SECOND_MS)


def acquit(runtime: Runtime, ongoing: Ongoing) -> None:
    """Acquit a request that ran whole, on trial or not."""
    if ongoing.trial is not None:
        end_trial(runtime, ongoing, ran=True)
        return
    state = runtime.state
    known = state.suspects.suspicions.get(ongoing.fingerprint)
    if suspects.judge(known) is Judgement.CLEAR:
        return
    # It was reported as in flight on a server that seemed dead and was not.
    suspects.acquit(state.suspects, ongoing.fingerprint, now=runtime.clock.now())
    report = AcquittalReport(fingerprint=ongoing.fingerprint)
    keep(asyncio.ensure_future(_tell_acquittal(runtime, report)))


def end_trial(runtime: Runtime, ongoing: Ongoing, *, ran: bool) -> None:
    """Free the server of a trial that did not kill it.

    :param ran: whether the request ran whole, which acquits it.
    """
    trial, ongoing.trial = ongoing.trial, None
    if trial is None:
        return
    state = runtime.state
    state.trials.pop(trial.server, None)
    _clear_locally(runtime, ongoing.fingerprint, trial, ran)
    report = AcquittalReport(
        fingerprint=ongoing.fingerprint,
        server=trial.server,
        boot_id=trial.boot_id,
        trial_id=trial.trial_id,
        ran=ran,
    )
    keep(asyncio.ensure_future(_tell_acquittal(runtime, report)))


async def flush_unrecorded(runtime: Runtime) -> None:
    """Report the deaths that the controller has not recorded yet."""
    for report in list(runtime.state.unrecorded.values()):
        if not await _flush(runtime, report.fingerprints[0]):
            return


_KEPT: set[asyncio.Future] = set()


def keep(task: asyncio.Future) -> None:
    """Keep a task from being collected before it has ended."""
    _KEPT.add(task)
    task.add_done_callback(_KEPT.discard)


def _clear_locally(runtime: Runtime, fingerprint: str, trial: Trial, ran: bool) -> None:
    known = runtime.state.suspects.suspicions.get(fingerprint)
    if known is None:
        return
    mark = suspects.build_mark(
        server=trial.server, boot_id=trial.boot_id, trial_id=trial.trial_id
    )
    cleared = suspects.clear_deaths(known, known.deaths if ran else (mark,))
    suspects.merge(runtime.state.suspects, (cleared,), now=runtime.clock.now())


def _list_busy(runtime: Runtime) -> frozenset[str]:
    """Return servers that another suspect holds, as far as that is known now."""
    state, now = runtime.state, runtime.clock.now()
    held = {
        server
        for server, holder in state.holders.items()
        if now - holder.asked_at < TRIAL_POLL_MS
    }
    return frozenset(state.trials) | held


def _list_in_flight(runtime: Runtime, attempt: Attempt) -> tuple[str, ...]:
    return tuple(
        {
            other.fingerprint
            for other in runtime.state.ongoing.values()
            if other.attempt is not None
            and other.attempt.server == attempt.server
            and other.attempt.boot_id == attempt.boot_id
        }
    )


async def _record(
    runtime: Runtime, attempt: Attempt, fingerprints: tuple[str, ...]
) -> None:
    state, now = runtime.state, runtime.clock.now()
    unique = tuple(dict.fromkeys(fingerprints))
    runtime.metrics.deaths.inc()
    log_event(
        Event.SUSPECT_RECORDED,
        level=logging.WARNING,
        server=attempt.server,
        suspects=len(unique),
    )
    for fingerprint in unique:
        suspects.note_death(
            state.suspects,
            fingerprint=fingerprint,
            server=attempt.server,
            boot_id=attempt.boot_id,
            now=now,
        )
        state.unrecorded[_name(fingerprint, attempt)] = DeathReport(
            server=attempt.server, boot_id=attempt.boot_id, fingerprints=(fingerprint,)
        )
    report = DeathReport(
        server=attempt.server, boot_id=attempt.boot_id, fingerprints=unique
    )
    reply = await _call(runtime, report)
    if reply is not None and reply.recorded:
        for fingerprint in unique:
            state.unrecorded.pop(_name(fingerprint, attempt), None)


def _name(fingerprint: str, where: Attempt | DeathReport) -> str:
    return f"{fingerprint} {where.server} {where.boot_id}"


async def _flush(runtime: Runtime, fingerprint: str) -> bool:
    """Report what the controller has not recorded of one request."""
    unrecorded = runtime.state.unrecorded
    for report in list(unrecorded.values()):
        if report.fingerprints != (fingerprint,):
            continue
        reply = await _call(runtime, report)
        if reply is None or not reply.recorded:
            return False
        unrecorded.pop(_name(fingerprint, report), None)
    return True


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
        reply = await _call(runtime, report)
    except asyncio.CancelledError:
        # The caller left; the trial may have been granted meanwhile.
        ongoing.trial = trial
        raise
    if reply is None or not reply.recorded:
        ongoing.trial = trial if reply is None else None
        state.trials.pop(server, None)
        return None
    if reply.granted:
        ongoing.trial = trial
        return True
    state.trials.pop(server, None)
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


async def _call(runtime: Runtime, report: DeathReport) -> SuspicionsReply | None:
    try:
        reply = await runtime.controller.report_death(report)
    except PeerUnavailableError:
        return None
    suspects.merge(runtime.state.suspects, reply.suspicions, now=runtime.clock.now())
    return reply


async def _tell_acquittal(runtime: Runtime, report: AcquittalReport) -> None:
    for tried in range(ACQUITTAL_TRIES):
        try:
            await runtime.controller.acquit(report)
        except PeerUnavailableError:
            bound = ACQUITTAL_PAUSE_MS << tried
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


def _bar_quarantined(runtime: Runtime, ongoing: Ongoing) -> life.Barred:
    log_event(
        Event.REQUEST_QUARANTINED,
        level=logging.WARNING,
        request=ongoing.call.request_id,
        fingerprint=ongoing.fingerprint,
    )
    return life.Barred(
        code=Code.QUARANTINED,
        detail="servers died while they ran this request; it is not run for now",
        retry_after_ms=suspects.QUARANTINE_MS,
    )
