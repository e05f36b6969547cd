"""Fair shares of teams in this instance's in-flight limit at a server.

Used for model servers while no coordinator answers. A team may use the whole limit
until requests of another team find none of it free. From then on, each team has its
max-min share: a team that uses less than an equal part leaves the rest to the others.
"""

import msgspec

from arbutuspulley.data import State

DENIED_MS = 1_000
"""Time for which a team counts as waiting after one of its requests found nothing
free, in ms: about as long as a request without a server waits for a coordinator."""


class TeamUsage(State):
    """This instance's use of one server, by team.

    :param in_flight: requests in flight.
    :param denied_at: when a request last found nothing free, in ms.
    """

    in_flight: dict[str, int] = msgspec.field(default_factory=dict)
    denied_at: dict[str, int] = msgspec.field(default_factory=dict)


def record_begun(usage: TeamUsage, team: str) -> None:
    """Record that a request of a team is sent."""
    usage.in_flight[team] = usage.in_flight.get(team, 0) + 1


def record_ended(usage: TeamUsage, team: str) -> None:
    """Record that a request of a team has ended."""
    left = usage.in_flight.pop(team, 0) - 1
    if left > 0:
        usage.in_flight[team] = left


def record_denied(usage: TeamUsage, team: str, *, now: int) -> None:
    """Record that a request of a team found nothing free.

    :param now: in ms.
    """
    usage.denied_at[team] = now
    for other, at in list(usage.denied_at.items()):
        if now - at >= DENIED_MS:
            del usage.denied_at[other]


def is_within_share(usage: TeamUsage, team: str, *, limit: int, now: int) -> bool:
    """Tell whether a team may use one more of this instance's requests in flight.

    :param limit: requests that this instance may have in flight at the server.
    :param now: in ms.
    """
    share = _compute_share(usage, team, limit=limit, now=now)
    return usage.in_flight.get(team, 0) < share


def _compute_share(usage: TeamUsage, team: str, *, limit: int, now: int) -> float:
    waiting = {
        other
        for other, at in usage.denied_at.items()
        if other != team and now - at < DENIED_MS
    }
    if not waiting:
        return limit
    used = sorted(
        count
        for other, count in usage.in_flight.items()
        if other != team and other not in waiting
    )
    teams, left = 1 + len(waiting) + len(used), float(limit)
    for count in used:
        if count >= left / teams:
            break
        left -= count
        teams -= 1
    return max(1.0, left / teams)
