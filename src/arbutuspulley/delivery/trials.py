"""Stores deaths and trials in the table, where all instances see them.

A trial reserves its server, so that only one suspect runs there: with two suspects on a
server, both would be blamed for a death that one caused. It also records its death
beforehand, so that a suspect runs on only one server: otherwise two instances could
lose one server each. Both happen in one transaction.

The functions block; the controller calls them on its I/O threads.
"""

import uuid

import msgspec

from arbutuspulley.data import Message, Value
from arbutuspulley.decoding import decode_json
from arbutuspulley.delivery.suspects import (
    Judgement,
    add_death,
    build_mark,
    clear_deaths,
    judge,
)
from arbutuspulley.ports.commit import commit
from arbutuspulley.ports.platform import (
    ABSENT,
    Committed,
    Precondition,
    Row,
    Table,
    Transaction,
    Write,
)
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.rpc.messages import (
    ClearanceReport,
    DeathReport,
    Suspicion,
    SuspicionsReply,
)

SUSPECT_PREFIX = "suspect/"
"""Key prefix of suspicions; one row per fingerprint."""

TRIAL_PREFIX = "trial/"
"""Key prefix of running trials; one row per server."""

_Change = tuple[str, Row | None, bytes | None]
"""Key of a row, the row as it was read, and its new value; ``None`` deletes it."""

_MAX_ATTEMPTS = 6
"""Maximum rounds of read and compare-and-set in competition with other writers."""


class TrialRecord(Message, frozen=True):
    """The trial that has reserved a server; void once the server's boot has changed."""

    boot_id: str
    trial_id: str
    fingerprint: str


class SuspicionsPage(Value, frozen=True):
    """Changed suspicions.

    :param deleted: fingerprints whose rows were deleted.
    :param revision: value of ``after`` that reads the next changes.
    """

    suspicions: tuple[Suspicion, ...]
    deleted: tuple[str, ...]
    revision: int


def is_trial_allowed(
    suspicion: Suspicion | None, holder: TrialRecord | None, report: DeathReport
) -> bool:
    """Return whether a trial may run, according to the existing rows."""
    own = build_mark(
        server=report.server, boot_id=report.boot_id, trial_id=report.trial_id
    )
    judgement = judge(suspicion, ignoring=own)
    if judgement in (Judgement.ON_TRIAL, Judgement.QUARANTINED):
        return False
    if holder is None or holder.boot_id != report.boot_id:
        return True
    return holder.trial_id in (report.trial_id, report.expired_trial_id)


def record_deaths(table: Table, report: DeathReport) -> SuspicionsReply:
    """Record a server's death, or a trial before it runs.

    :return: suspicions and outcome; ``recorded`` is false unless the table certainly
        stored the record. No suspect may be retried in that case.
    """
    try:
        if report.trial_id:
            return _record_trial(table, report)
        suspicions = tuple(
            _record_death(table, report, fingerprint)
            for fingerprint in report.fingerprints
        )
        return SuspicionsReply(suspicions=suspicions, recorded=True)
    except (PlatformUnavailableError, OutcomeUnknownError):
        return SuspicionsReply(suspicions=_build_unrecorded(report))


def record_clearance(table: Table, report: ClearanceReport) -> Suspicion | None:
    """Clear a suspect that completed, and release its trial's server.

    If the request did not run, only the death of its trial is cleared.

    :return: the updated suspicion, or ``None`` if there is none.
    :raises PlatformUnavailableError: if nothing was recorded.
    :raises OutcomeUnknownError: if the clearance may have been recorded; clear again.
    """
    for _ in range(_MAX_ATTEMPTS):
        row = table.read(SUSPECT_PREFIX + report.fingerprint)
        holder_row = table.read(TRIAL_PREFIX + report.server)
        suspicion = _decode_suspicion(row)
        changes: list[_Change] = []
        if row is not None and suspicion is not None:
            suspicion = clear_deaths(suspicion, _list_cleared(suspicion, report))
            changes.append((row.key, row, msgspec.json.encode(suspicion)))
        holder = _decode_trial(holder_row)
        if holder is not None and holder.trial_id == report.trial_id:
            changes.append((TRIAL_PREFIX + report.server, holder_row, None))
        if not changes or _commit(table, changes):
            return suspicion
    raise PlatformUnavailableError(
        detail="suspicion row has too many concurrent writers"
    )


def read_suspicions(table: Table, *, after: int, limit: int = 500) -> SuspicionsPage:
    """Read the suspicions that changed after a revision."""
    page = table.scan(SUSPECT_PREFIX, after, limit)
    live = [row for row in page.rows if not row.deleted]
    return SuspicionsPage(
        suspicions=tuple(decode_json(row.value, Suspicion) for row in live),
        deleted=tuple(
            row.key.removeprefix(SUSPECT_PREFIX) for row in page.rows if row.deleted
        ),
        revision=page.revision,
    )


def delete_suspicion(table: Table, fingerprint: str, *, seen: Suspicion) -> None:
    """Delete the row of a suspicion if it is unchanged since it was read."""
    row = table.read(SUSPECT_PREFIX + fingerprint)
    if row is not None and _decode_suspicion(row) == seen:
        _commit(table, [(row.key, row, None)])


def _record_trial(table: Table, report: DeathReport) -> SuspicionsReply:
    (fingerprint,) = report.fingerprints
    key, holder_key = SUSPECT_PREFIX + fingerprint, TRIAL_PREFIX + report.server
    mark = build_mark(
        server=report.server, boot_id=report.boot_id, trial_id=report.trial_id
    )
    for _ in range(_MAX_ATTEMPTS):
        row, holder_row = table.read(key), table.read(holder_key)
        suspicion, holder = _decode_suspicion(row), _decode_trial(holder_row)
        if not is_trial_allowed(suspicion, holder, report):
            return SuspicionsReply(
                suspicions=(suspicion,) if suspicion else (),
                recorded=True,
                holder=holder.trial_id if holder else "",
            )
        marked = add_death(suspicion, fingerprint, mark)
        trial = TrialRecord(
            boot_id=report.boot_id, trial_id=report.trial_id, fingerprint=fingerprint
        )
        changes: list[_Change] = [
            (key, row, msgspec.json.encode(marked)),
            (holder_key, holder_row, msgspec.json.encode(trial)),
        ]
        if _commit(table, changes):
            return SuspicionsReply(suspicions=(marked,), recorded=True, granted=True)
    raise PlatformUnavailableError(
        detail="suspicion row has too many concurrent writers"
    )


def _record_death(table: Table, report: DeathReport, fingerprint: str) -> Suspicion:
    key, holder_key = SUSPECT_PREFIX + fingerprint, TRIAL_PREFIX + report.server
    mark = build_mark(server=report.server, boot_id=report.boot_id)
    for _ in range(_MAX_ATTEMPTS):
        row, holder_row = table.read(key), table.read(holder_key)
        marked = add_death(_decode_suspicion(row), fingerprint, mark)
        changes: list[_Change] = [(key, row, msgspec.json.encode(marked))]
        holder = _decode_trial(holder_row)
        if holder is not None and holder.fingerprint == fingerprint:
            changes.append((holder_key, holder_row, None))
        if _commit(table, changes):
            return marked
    raise PlatformUnavailableError(
        detail="suspicion row has too many concurrent writers"
    )


def _list_cleared(suspicion: Suspicion, report: ClearanceReport) -> tuple[str, ...]:
    if report.ran:
        return suspicion.deaths
    mark = build_mark(
        server=report.server, boot_id=report.boot_id, trial_id=report.trial_id
    )
    return (mark,)


def _build_unrecorded(report: DeathReport) -> tuple[Suspicion, ...]:
    if report.trial_id:
        return ()
    mark = build_mark(server=report.server, boot_id=report.boot_id)
    return tuple(
        add_death(None, fingerprint, mark) for fingerprint in report.fingerprints
    )


def _commit(table: Table, changes: list[_Change]) -> bool:
    transaction = Transaction(
        token=uuid.uuid4().hex,
        preconditions=tuple(
            Precondition(key=key, revision=row.revision if row else ABSENT)
            for key, row, _ in changes
        ),
        writes=tuple(Write(key=key, value=value) for key, _, value in changes),
    )
    return isinstance(commit(table, transaction), Committed)


def _decode_suspicion(row: Row | None) -> Suspicion | None:
    if row is None or row.deleted:
        return None
    return decode_json(row.value, Suspicion)


def _decode_trial(row: Row | None) -> TrialRecord | None:
    if row is None or row.deleted:
        return None
    return decode_json(row.value, TrialRecord)
