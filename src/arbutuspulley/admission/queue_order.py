"""The order in which waiting requests will be admitted."""

from collections.abc import Iterable

from arbutuspulley.admission.shares import SharesState, find_start
from arbutuspulley.admission.tickets import Ticket
from arbutuspulley.data import Value

AGEING_MS = 10_000
"""A summary that has waited this long goes like a live request."""


class Place(Value, frozen=True):
    """A waiting request with what its order follows from.

    :param later: whether it lets live requests go first.
    :param start: virtual time at which its caller's turn for it comes.
    """

    ticket: Ticket
    later: bool
    start: float


def order_waiting(
    tickets: Iterable[Ticket], accounts: SharesState, *, now: int
) -> list[Place]:
    """Return waiting requests in the order in which they will be admitted.

    Live requests go before summaries; among them, callers take turns by their
    shares; among one caller's, the earliest deadline goes first.
    """
    by_caller: dict[str, list[Ticket]] = {}
    for ticket in tickets:
        by_caller.setdefault(ticket.caller, []).append(ticket)
    places: list[Place] = []
    for caller, own in by_caller.items():
        places += _place(own, start=find_start(accounts, caller), now=now)
    places.sort(key=_rank)
    return places


def goes_later(ticket: Ticket, *, now: int) -> bool:
    """Return whether a request lets live ones go first.

    Without an end to that, summaries would never be admitted as long as live
    requests fill the servers; once old enough, they take their caller's turns.
    """
    return not ticket.live and now - ticket.arrived_at < AGEING_MS


def _place(own: list[Ticket], *, start: float, now: int) -> list[Place]:
    own.sort(key=lambda one: (goes_later(one, now=now), one.deadline))
    places = []
    for ticket in own:
        later = goes_later(ticket, now=now)
        places.append(Place(ticket=ticket, later=later, start=start))
        start += ticket.cost / ticket.weight
    return places


def _rank(place: Place) -> tuple[bool, float, int, str]:
    ticket = place.ticket
    return place.later, place.start, ticket.deadline, ticket.request_id
