"""Fair shares of what is granted: between teams of one rank, and for the lowest rank.

Each team has a virtual clock in each rank: the cost that it was granted there, divided
by its weight. The waiting team with the lowest clock goes first, so that teams which
ask for more than the others get equal parts of what those leave (weighted max-min
fairness).

A clock decays. What a team may gain over others by being idle is therefore at most
their grants of about one time constant, however long it was idle, and a team that used
spare capacity has no lasting debt. For the same reason a coordinator without any clocks
soon has those of its predecessor. Clocks that start at that of the other waiting teams
don't suit a pool whose servers have different models: a team that is served beside a
busy team at one model would be delayed by it at all others.

A rank has precedence over lower ones. At each server for which requests of several
ranks wait, a fraction of what is granted is reserved for the lowest of them.
"""

import math
from collections.abc import Iterable

import msgspec

from arbutuspulley.data import State
from arbutuspulley.ports.fleet import Team

CLOCK_TIME_CONSTANT_MS = 2_000
"""Time constant with which clocks decay, in ms: a successor's clocks must have
converged within about 2 s."""

MIN_RANK_FRACTION = 0.05
"""Fraction of a server's granted cost that the lowest waiting rank gets at least: one
request in twenty of equal cost. A server that starts ten requests a second so starts
one of that rank within 2 s, the time for which one with a target of 3 s is in time."""

MIN_CLOCK = 1.0
"""Clock below which a team is forgotten, in prompt tokens."""


class TeamClock(State):
    """Virtual clock of a team in a rank.

    :param cost: decayed granted cost over weight, in prompt tokens, at ``updated_at``.
    :param updated_at: in ms.
    """

    cost: float = 0.0
    updated_at: int = 0


class FairShares(State):
    """Clocks of a pool's teams, and what is reserved for its lowest ranks.

    :param clocks: by rank and team.
    :param weights: weights of teams other than 1, by team.
    :param lowest_ranks: lowest rank that waits for a server beside higher ones, by the
        server's incarnation, as of the last ordering.
    :param credits: cost reserved for that rank and not yet granted, by incarnation.
    :param preferred: keys of the requests that the last ordering has put before those
        of higher ranks.
    """

    clocks: dict[tuple[int, str], TeamClock] = msgspec.field(default_factory=dict)
    weights: dict[str, float] = msgspec.field(default_factory=dict)
    lowest_ranks: dict[str, int] = msgspec.field(default_factory=dict)
    credits: dict[str, float] = msgspec.field(default_factory=dict)
    preferred: set[str] = msgspec.field(default_factory=set)


def list_weights(teams: Iterable[Team]) -> dict[str, float]:
    """Return the weights that the configuration states, without those of 1."""
    return {team.name: team.weight for team in teams if team.weight != 1}


def get_weight(shares: FairShares, team: str) -> float:
    """Return a team's weight."""
    return shares.weights.get(team, 1.0)


def get_clock(shares: FairShares, rank: int, team: str, *, now: int) -> float:
    """Return a team's clock in a rank, in prompt tokens.

    :param now: in ms.
    """
    clock = shares.clocks.get((rank, team))
    return 0.0 if clock is None else _decay(clock.cost, now - clock.updated_at)


def charge(shares: FairShares, rank: int, team: str, *, cost: float, now: int) -> None:
    """Advance a team's clock by a grant.

    :param cost: in prompt tokens.
    :param now: in ms.
    """
    reached = get_clock(shares, rank, team, now=now)
    shares.clocks[rank, team] = TeamClock(
        cost=reached + cost / get_weight(shares, team), updated_at=now
    )


def refund(
    shares: FairShares,
    rank: int,
    team: str,
    *,
    cost: float,
    charged_at: int,
    now: int,
) -> None:
    """Return the charge of a grant that did not run.

    :param cost: cost that was charged, in prompt tokens.
    :param charged_at: when it was charged, in ms.
    :param now: in ms.
    """
    left = _decay(cost / get_weight(shares, team), now - charged_at)
    reached = get_clock(shares, rank, team, now=now)
    shares.clocks[rank, team] = TeamClock(cost=max(0.0, reached - left), updated_at=now)


def evict_clocks(shares: FairShares, *, now: int) -> None:
    """Forget the clocks that have decayed."""
    for rank, team in list(shares.clocks):
        if get_clock(shares, rank, team, now=now) < MIN_CLOCK:
            del shares.clocks[rank, team]


def set_lowest_ranks(shares: FairShares, lowest_ranks: dict[str, int]) -> None:
    """Set the lowest rank that waits for each server beside higher ones.

    What was reserved at a server lapses once its lowest rank no longer waits; what was
    granted ahead of its time there stays on account.

    :param lowest_ranks: by incarnation.
    """
    for incarnation, credit in list(shares.credits.items()):
        if incarnation not in lowest_ranks and credit >= 0:
            del shares.credits[incarnation]
    shares.lowest_ranks = lowest_ranks


def evict_credits(shares: FairShares, incarnations: Iterable[str]) -> None:
    """Forget the credits of servers that no longer exist.

    :param incarnations: those that exist.
    """
    for incarnation in shares.credits.keys() - set(incarnations):
        del shares.credits[incarnation]


def cap_credit(shares: FairShares, incarnation: str, cost: float) -> bool:
    """Let credit lapse beyond the cost of the request that is going to use it.

    :param cost: in prompt tokens.
    :return: whether the credit suffices for the request.
    """
    credit = shares.credits.get(incarnation, 0.0)
    if credit < cost:
        return False
    shares.credits[incarnation] = cost
    return True


def record_granted(
    shares: FairShares, incarnation: str, rank: int, *, key: str, cost: float
) -> None:
    """Record what a server granted while requests of several ranks waited for it."""
    lowest = shares.lowest_ranks.get(incarnation)
    if lowest is None:
        return
    credit = shares.credits.get(incarnation, 0.0)
    if rank < lowest:
        credit += cost * MIN_RANK_FRACTION / (1 - MIN_RANK_FRACTION)
    elif key in shares.preferred:
        credit -= cost
    else:
        # It was granted in its turn. Nobody was delayed, so it leaves no debt.
        credit = max(min(credit, 0.0), credit - cost)
    shares.credits[incarnation] = credit


def _decay(cost: float, elapsed_ms: int) -> float:
    return cost * math.exp(-max(0, elapsed_ms) / CLOCK_TIME_CONSTANT_MS)
