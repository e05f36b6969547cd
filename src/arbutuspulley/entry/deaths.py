"""Detection and recording of server deaths.

The first death during a request is recorded before its retry is dispatched. While the
controller is unreachable or the table cannot be written, a request during which a
server died is not retried: otherwise the limit of two crashed servers per poison
request could not be kept.
"""

import asyncio
import logging

from arbutuspulley.delivery import suspects
from arbutuspulley.entry.state import (
    Attempt,
    EntryState,
    OngoingRequest,
    Runtime,
    Trial,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import DeathReport, SuspicionsReply


async def report_death(
    runtime: Runtime, ongoing: OngoingRequest, attempt: Attempt
) -> None:
    """Record that a server died while it ran a request and all others in flight on it.

    The first request that detects the death reports for all; the others wait for that
    report.
    """
    state = runtime.state
    mark = suspects.build_mark(server=attempt.server, boot_id=attempt.boot_id)
    if ongoing.trial is not None:
        release_trial_server(state, ongoing.trial)
        ongoing.trial = None
    report_task = state.death_reports.get(mark)
    suspicion = state.suspects.suspicions.get(ongoing.fingerprint)
    if report_task is None or suspicion is None or mark not in suspicion.deaths:
        fingerprints = _list_in_flight_fingerprints(runtime, attempt)
        report_task = asyncio.ensure_future(
            _record_death(runtime, attempt, (ongoing.fingerprint, *fingerprints))
        )
        state.death_reports[mark] = report_task
        report_task.add_done_callback(lambda _: state.death_reports.pop(mark, None))
    await asyncio.shield(report_task)


async def flush_unrecorded_deaths(runtime: Runtime) -> None:
    """Report all deaths that the controller has not recorded yet."""
    for report in list(runtime.state.unrecorded_deaths.values()):
        if not await record_pending_deaths(runtime, report.fingerprints[0]):
            return


async def record_pending_deaths(runtime: Runtime, fingerprint: str) -> bool:
    """Report the unrecorded deaths of one request.

    :return: whether all of them are recorded now.
    """
    unrecorded_deaths = runtime.state.unrecorded_deaths
    for report in list(unrecorded_deaths.values()):
        if report.fingerprints != (fingerprint,):
            continue
        reply = await send_death_report(runtime, report)
        if reply is None or not reply.recorded:
            return False
        unrecorded_deaths.pop(_build_key(fingerprint, report), None)
    return True


async def send_death_report(
    runtime: Runtime, report: DeathReport
) -> SuspicionsReply | None:
    """Report a death or request a trial.

    :return: the reply, or ``None`` if the controller is unreachable.
    """
    try:
        reply = await runtime.controller.report_death(report)
    except PeerUnavailableError:
        return None
    suspects.merge(runtime.state.suspects, reply.suspicions, now=runtime.clock.now())
    return reply


def release_trial_server(state: EntryState, trial: Trial) -> None:
    """Release the server of a trial for other suspects of this entry."""
    if state.trials.get(trial.server) == trial.trial_id:
        del state.trials[trial.server]


def _list_in_flight_fingerprints(runtime: Runtime, attempt: Attempt) -> tuple[str, ...]:
    return tuple(
        {
            other.fingerprint
            for other in runtime.state.ongoing.values()
            if other.attempt is not None
            and other.attempt.server == attempt.server
            and other.attempt.boot_id == attempt.boot_id
        }
    )


async def _record_death(
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
        suspects.record_death(
            state.suspects,
            fingerprint=fingerprint,
            server=attempt.server,
            boot_id=attempt.boot_id,
            now=now,
        )
        state.unrecorded_deaths[_build_key(fingerprint, attempt)] = DeathReport(
            server=attempt.server, boot_id=attempt.boot_id, fingerprints=(fingerprint,)
        )
    report = DeathReport(
        server=attempt.server, boot_id=attempt.boot_id, fingerprints=unique
    )
    reply = await send_death_report(runtime, report)
    if reply is not None and reply.recorded:
        for fingerprint in unique:
            state.unrecorded_deaths.pop(_build_key(fingerprint, attempt), None)


def _build_key(fingerprint: str, source: Attempt | DeathReport) -> str:
    return f"{fingerprint} {source.server} {source.boot_id}"
