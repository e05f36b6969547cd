"""Suspects: requests that were in flight on a server as it died.

One of them may be the cause and would kill the next server, too. After a first
death a suspect is retried only on trial: alone of its kind on one server, with the
death written down beforehand and taken back if it runs whole. After a second death
it is quarantined. So a request costs two servers at most, and a bystander of a
first death, which then runs whole, is cleared.

All functions are pure; :mod:`.trials` keeps the records in the table.
"""

import enum
import hashlib
from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.rpc.messages import Suspicion

DEATHS_TO_QUARANTINE = 2
"""Servers that one request may cost before it is no longer run."""

SUSPICION_MS = 900 * SECOND_MS
"""How long a first death is remembered without news; longer than any request lives."""

QUARANTINE_MS = 6 * 3_600 * SECOND_MS
"""How long a request stays quarantined: a caller that comes back on time for ever
costs two servers in this time, and no more."""

_TRIAL_SEPARATOR = "#"


class Judgement(enum.StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    ON_TRIAL = "on_trial"
    QUARANTINED = "quarantined"


class SuspectState(State):
    """The suspicions that one process knows.

    :param changed_at: when each was last changed, in milliseconds of its own clock.
    """

    suspicions: dict[str, Suspicion] = {}
    changed_at: dict[str, int] = {}


def build_fingerprint(*, caller: str, path: str, body: bytes) -> str:
    """Return the name of a request that is the same whenever it is sent again."""
    digest = hashlib.sha256(f"{caller}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()[:32]


def build_mark(*, server: str, boot_id: str, trial_id: str = "") -> str:
    """Return how one death is written down; a trial's is marked as such."""
    mark = f"{server}/{boot_id}"
    return f"{mark}{_TRIAL_SEPARATOR}{trial_id}" if trial_id else mark


def judge(
    suspicion: Suspicion | None,
    *,
    ignoring: str = "",
    max_deaths: int = DEATHS_TO_QUARANTINE,
) -> Judgement:
    """Say what may be done with a request.

    :param ignoring: the mark of the asker's own trial.
    :param max_deaths: after so many it is no longer run.
    """
    if suspicion is None:
        return Judgement.CLEAR
    marks = set(suspicion.deaths) - set(suspicion.cleared) - {ignoring}
    certain = {mark for mark in marks if _TRIAL_SEPARATOR not in mark}
    if len(certain) >= max_deaths:
        return Judgement.QUARANTINED
    deaths = {mark.partition(_TRIAL_SEPARATOR)[0] for mark in marks}
    if len(deaths) >= max_deaths:
        return Judgement.ON_TRIAL
    return Judgement.SUSPECT if deaths else Judgement.CLEAR


def add_death(suspicion: Suspicion | None, fingerprint: str, mark: str) -> Suspicion:
    """Return the suspicion with one death more."""
    return merge_suspicions(
        suspicion, Suspicion(fingerprint=fingerprint, deaths=(mark,))
    )


def clear_deaths(suspicion: Suspicion, marks: Iterable[str]) -> Suspicion:
    """Return the suspicion without these deaths."""
    cleared = Suspicion(fingerprint=suspicion.fingerprint, cleared=tuple(marks))
    return merge_suspicions(suspicion, cleared)


def merge_suspicions(first: Suspicion | None, second: Suspicion) -> Suspicion:
    """Merge two accounts of one request; the order does not matter."""
    if first is None:
        first = Suspicion(fingerprint=second.fingerprint)
    deaths = set(first.deaths) | set(second.deaths)
    cleared = set(first.cleared) | set(second.cleared)
    return Suspicion(
        fingerprint=second.fingerprint,
        deaths=tuple(sorted(deaths)),
        cleared=tuple(sorted(cleared)),
        clear=deaths <= cleared,
    )


def count_deaths(suspicion: Suspicion | None) -> int:
    """Return how many servers died with a request in flight that was not cleared."""
    if suspicion is None:
        return 0
    return len(set(suspicion.deaths) - set(suspicion.cleared))


def record_death(
    state: SuspectState, *, fingerprint: str, server: str, boot_id: str, now: int
) -> Suspicion:
    """Write down that a server died while a request was in flight there."""
    mark = build_mark(server=server, boot_id=boot_id)
    suspicion = add_death(state.suspicions.get(fingerprint), fingerprint, mark)
    merge(state, (suspicion,), now=now)
    return suspicion


def clear_suspicion(state: SuspectState, fingerprint: str, *, now: int) -> None:
    """Clear a request that ran whole of all deaths written down so far."""
    suspicion = state.suspicions.get(fingerprint)
    if suspicion is not None:
        merge(state, (clear_deaths(suspicion, suspicion.deaths),), now=now)


def merge(state: SuspectState, suspicions: Iterable[Suspicion], *, now: int) -> None:
    """Take in what another process or the table knows."""
    for suspicion in suspicions:
        known = state.suspicions.get(suspicion.fingerprint)
        merged = merge_suspicions(known, suspicion)
        if merged != known:
            state.suspicions[suspicion.fingerprint] = merged
            state.changed_at[suspicion.fingerprint] = now


def evict_expired(state: SuspectState, *, now: int) -> tuple[str, ...]:
    """Drop what has had no news for its time.

    :return: the fingerprints dropped, so that their rows can be deleted.
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
    """Return after how long a suspicion is dropped if there is no news."""
    judgement = judge(state.suspicions[fingerprint])
    is_quarantined = judgement is Judgement.QUARANTINED
    life_ms = QUARANTINE_MS if is_quarantined else SUSPICION_MS
    return state.changed_at[fingerprint] + life_ms - now
