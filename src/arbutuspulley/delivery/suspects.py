"""Suspects: requests that were in flight on a server when it died.

One of them may be the cause and would kill the next server as well. After a first death
a suspect is retried only in a trial: as the only suspect on its server, with the death
recorded beforehand and cleared if the request completes. After a second death it is
quarantined. A request therefore costs at most two servers, and a harmless request that
was in flight during a first death is cleared when it completes.

The functions do no I/O; :mod:`.trials` stores the records in the table.
"""

import enum
import hashlib
from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.rpc.messages import Suspicion

DEATHS_TO_QUARANTINE = 2
"""Deaths of servers after which a request is quarantined."""

SUSPICION_MS = 900 * SECOND_MS
"""Time for which an unchanged first death is kept; longer than any request lives."""

QUARANTINE_MS = 6 * 3_600 * SECOND_MS
"""Time for which a request stays quarantined: a caller that keeps retrying costs at
most two servers in this time."""

_TRIAL_SEPARATOR = "#"


class Judgement(enum.StrEnum):
    """Whether and how a request may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    ON_TRIAL = "on_trial"
    QUARANTINED = "quarantined"


class SuspectState(State):
    """Suspicions known to one process, by fingerprint.

    :param changed_at: time of the last change of each suspicion, in milliseconds of the
        process's clock.
    """

    suspicions: dict[str, Suspicion] = {}
    changed_at: dict[str, int] = {}


def build_fingerprint(*, caller: str, path: str, body: bytes) -> str:
    """Return an id of a request that is the same for each retry by its caller."""
    digest = hashlib.sha256(f"{caller}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()[:32]


def build_mark(*, server: str, boot_id: str, trial_id: str = "") -> str:
    """Return the death mark that identifies one death, and its trial if it has one."""
    mark = f"{server}/{boot_id}"
    return f"{mark}{_TRIAL_SEPARATOR}{trial_id}" if trial_id else mark


def judge(suspicion: Suspicion | None, *, ignoring: str = "") -> Judgement:
    """Return whether and how a request may be run.

    :param ignoring: death mark to leave out: that of the requester's own trial.
    """
    if suspicion is None:
        return Judgement.CLEAR
    marks = set(suspicion.deaths) - set(suspicion.cleared) - {ignoring}
    certain = {mark for mark in marks if _TRIAL_SEPARATOR not in mark}
    if len(certain) >= DEATHS_TO_QUARANTINE:
        return Judgement.QUARANTINED
    deaths = {mark.partition(_TRIAL_SEPARATOR)[0] for mark in marks}
    if len(deaths) >= DEATHS_TO_QUARANTINE:
        return Judgement.ON_TRIAL
    return Judgement.SUSPECT if deaths else Judgement.CLEAR


def add_death(suspicion: Suspicion | None, fingerprint: str, mark: str) -> Suspicion:
    """Return the suspicion with one more death."""
    return merge_suspicions(
        suspicion, Suspicion(fingerprint=fingerprint, deaths=(mark,))
    )


def clear_deaths(suspicion: Suspicion, marks: Iterable[str]) -> Suspicion:
    """Return the suspicion with these deaths cleared."""
    cleared = Suspicion(fingerprint=suspicion.fingerprint, cleared=tuple(marks))
    return merge_suspicions(suspicion, cleared)


def merge_suspicions(first: Suspicion | None, second: Suspicion) -> Suspicion:
    """Merge two suspicions of the same request; the merge is commutative."""
    if first is None:
        first = Suspicion(fingerprint=second.fingerprint)
    deaths = set(first.deaths) | set(second.deaths)
    cleared = set(first.cleared) | set(second.cleared)
    return Suspicion(
        fingerprint=second.fingerprint,
        deaths=tuple(sorted(deaths)),
        cleared=tuple(sorted(cleared)),
        clear=deaths <= cleared,
        position=max(first.position, second.position),
    )


def record_death(
    state: SuspectState, *, fingerprint: str, server: str, boot_id: str, now: int
) -> Suspicion:
    """Record that a server died while a request was in flight on it."""
    mark = build_mark(server=server, boot_id=boot_id)
    suspicion = add_death(state.suspicions.get(fingerprint), fingerprint, mark)
    merge(state, (suspicion,), now=now)
    return suspicion


def clear_suspicion(state: SuspectState, fingerprint: str, *, now: int) -> None:
    """Clear all deaths recorded so far for a request that completed."""
    suspicion = state.suspicions.get(fingerprint)
    if suspicion is not None:
        merge(state, (clear_deaths(suspicion, suspicion.deaths),), now=now)


def merge(state: SuspectState, suspicions: Iterable[Suspicion], *, now: int) -> None:
    """Merge suspicions from another process or from the table into the state."""
    for suspicion in suspicions:
        known = state.suspicions.get(suspicion.fingerprint)
        merged = merge_suspicions(known, suspicion)
        if merged != known:
            state.suspicions[suspicion.fingerprint] = merged
            state.changed_at[suspicion.fingerprint] = now


def evict_expired(state: SuspectState, *, now: int) -> tuple[str, ...]:
    """Remove the suspicions that have expired without a change.

    :return: their fingerprints, so that their rows can be deleted.
    """
    old = tuple(
        fingerprint
        for fingerprint in state.suspicions
        if get_time_to_expiry_ms(state, fingerprint, now=now) <= 0
    )
    for fingerprint in old:
        del state.suspicions[fingerprint]
        del state.changed_at[fingerprint]
    return old


def get_time_to_expiry_ms(state: SuspectState, fingerprint: str, *, now: int) -> int:
    """Return the time in milliseconds until a suspicion expires if unchanged."""
    judgement = judge(state.suspicions[fingerprint])
    is_quarantined = judgement is Judgement.QUARANTINED
    life_ms = QUARANTINE_MS if is_quarantined else SUSPICION_MS
    return state.changed_at[fingerprint] + life_ms - now
