"""Promises to callers, judged on a play from outside."""

from scripts.platform_testbed import FULL_STREAM
from tests.virtual_plans import END_S, PATHS

CONTACT_S = 3.0
"""Time after a trouble, and after the fifth crash, from which on requests count, in s.
"""

COUNTED_CRASHES = 5
MAX_LATE = 3
"""Number of that crash, and of the requests that may reach servers late."""

QUIET_S = 5.0
"""Time at the end of a play in which all harmless requests are served, in s."""

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""


def find_repeated(play):
    """Return unsafe requests that ran more than once (TWICE)."""
    return [
        attempt
        for attempt, sent in play.sent.items()
        if sent.path == PATHS[1] and play.fleet.count_runs(attempt) > 1
    ]


def find_run_though_refused(play):
    """Return unsafe requests that ran though their answer says not (REFUSED)."""
    return [
        attempt
        for attempt, sent in play.sent.items()
        if sent.path == PATHS[1]
        and sent.status in NOT_RUN
        and play.fleet.count_runs(attempt)
    ]


def find_incomplete(play):
    """Return streams that ended as complete and are not (MIXED, ORDER)."""
    return [
        attempt
        for attempt, sent in play.sent.items()
        if sent.path == PATHS[0] and sent.status == 200 and sent.body != FULL_STREAM
    ]


def find_late_guilty(play):
    """Return requests with a guilty part that servers got late (BUDGET)."""
    crashes = sorted(play.fleet.guilty_crashes)
    if len(crashes) < COUNTED_CRASHES:
        return []
    counts_at = crashes[COUNTED_CRASHES - 1] + CONTACT_S
    return [
        attempt
        for at, attempt in play.fleet.list_arrivals()
        if attempt in play.sent
        and play.sent[attempt].is_guilty
        and at > counts_at
        and at > play.troubled_until[play.sent[attempt].name] + CONTACT_S
    ]


def find_unserved(play):
    """Return harmless requests that were not served long after all troubles."""
    return [
        (attempt, sent.path, sent.status)
        for attempt, sent in play.sent.items()
        if sent.at_s > END_S - QUIET_S and not sent.is_guilty and sent.status != 200
    ]


def find_cut_by_planned_work(play):
    """Return requests that broke off though instances only stopped in order (LOST)."""
    if any(trouble.kind != "terminate" for trouble in play.plan.troubles):
        return []
    return [
        attempt
        for attempt, sent in play.sent.items()
        if sent.status is None and not sent.is_guilty
    ]


def find_unanswered(play):
    """Return requests whose callers gave up waiting, after their deadline."""
    return [attempt for attempt, sent in play.sent.items() if not sent.is_over]


LIMITS = {
    find_repeated: 0,
    find_run_though_refused: 0,
    find_incomplete: 0,
    find_late_guilty: MAX_LATE,
    find_unserved: 0,
    find_cut_by_planned_work: 0,
    find_unanswered: 0,
}
"""Each promise, with the number of requests that may break it."""


def list_broken(play):
    """Return the promises that a play broke, with what broke each."""
    broken = {}
    for find, limit in LIMITS.items():
        found = find(play)
        if len(found) > limit:
            broken[find.__name__] = found
    return broken
