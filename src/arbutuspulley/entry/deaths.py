"""Deaths of servers, as an entry notices and records them.

A first death is recorded before the retry is dispatched. Without the controller, or
while the table cannot take the record, no request that a server died under is run
again: the bound of two servers for a poison request could not be kept.
"""

import asyncio
import logging

from arbutuspulley.delivery import suspects
from arbutuspulley.entry.state import Attempt, EntryState, Ongoing, Runtime, Trial
from arbutuspulley.events import Event, log_event
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import DeathReport, SuspicionsReply


async def report_death(runtime: Runtime, ongoing: Ongoing, attempt: Attempt) -> None:
    """Record that a server died under a request, and under all others there.

    The first request that notices reports for all; the rest wait for that report.
    """
    state = runtime.state
    mark = suspects.build_mark(server=attempt.server, boot_id=attempt.boot_id)
    if ongoing.trial is not None:
        release_server(state, ongoing.trial)
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


async def flush_unrecorded(runtime: Runtime) -> None:
    """Report the deaths that the controller has not recorded yet."""
    for report in list(runtime.state.unrecorded.values()):
        if not await record_all(runtime, report.fingerprints[0]):
            return


async def record_all(runtime: Runtime, fingerprint: str) -> bool:
    """Report what the controller has not recorded of one request.

    :return: whether all of it is recorded now.
    """
    unrecorded = runtime.state.unrecorded
    for report in list(unrecorded.values()):
        if report.fingerprints != (fingerprint,):
            continue
        reply = await call_controller(runtime, report)
        if reply is None or not reply.recorded:
            return False
        unrecorded.pop(_name(fingerprint, report), None)
    return True


async def call_controller(
    runtime: Runtime, report: DeathReport
) -> SuspicionsReply | None:
    """Report a death or ask for a trial; ``None`` means that no answer came."""
    try:
        reply = await runtime.controller.report_death(report)
    except PeerUnavailableError:
        return None
    suspects.merge(runtime.state.suspects, reply.suspicions, now=runtime.clock.now())
    return reply


def release_server(state: EntryState, trial: Trial) -> None:
    """Let other suspects of this entry have the server of a trial."""
    if state.trials.get(trial.server) == trial.trial_id:
        del state.trials[trial.server]


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
        suspects.record_death(
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
    reply = await call_controller(runtime, report)
    if reply is not None and reply.recorded:
        for fingerprint in unique:
            state.unrecorded.pop(_name(fingerprint, attempt), None)


def _name(fingerprint: str, where: Attempt | DeathReport) -> str:
    return f"{fingerprint} {where.server} {where.boot_id}"
