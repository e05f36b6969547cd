"""Order in which waiting requests are admitted."""

from collections.abc import Iterable

from arbutuspulley.admission.shares import SharesState, get_start_time
from arbutuspulley.admission.tickets import Ticket
from arbutuspulley.data import Value

AGEING_MS = 10_000
"""Wait after which a summary request is treated like a live request."""


class QueuePosition(Value, frozen=True):
    """A waiting request with its sort keys.

    :param yields: whether live requests go before it.
    :param start: virtual start time in weighted fair queueing.
    """

    ticket: Ticket
    yields: bool
    start: float


def order_waiting(
    tickets: Iterable[Ticket], accounts: SharesState, *, now: int
) -> list[QueuePosition]:
    """Return waiting requests in the order in which they will be admitted.

    Live requests go before summaries. Within each group, callers take turns by
    their shares; requests of one caller go by earliest deadline.
    """
    by_caller: dict[str, list[Ticket]] = {}
    for ticket in tickets:
        by_caller.setdefault(ticket.caller, []).append(ticket)
    positions: list[QueuePosition] = []
    for caller, caller_tickets in by_caller.items():
        positions += _build_positions(
            caller_tickets, start=get_start_time(accounts, caller), now=now
        )
    positions.sort(key=_rank)
    return positions


def yields_to_live(ticket: Ticket, *, now: int) -> bool:
    """Return whether live requests go before a request.

    Without ageing, summaries would starve while live requests fill the servers. After
    :data:`AGEING_MS` they take part in their caller's turns like live requests.
    """
    return not ticket.live and now - ticket.arrived_at < AGEING_MS


def _build_positions(
    caller_tickets: list[Ticket], *, start: float, now: int
) -> list[QueuePosition]:
    caller_tickets.sort(
        key=lambda ticket: (yields_to_live(ticket, now=now), ticket.deadline)
    )
    positions = []
    for ticket in caller_tickets:
        yields = yields_to_live(ticket, now=now)
        positions.append(QueuePosition(ticket=ticket, yields=yields, start=start))
        start += ticket.cost / ticket.weight
    return positions


def _rank(position: QueuePosition) -> tuple[bool, float, int, str]:
    ticket = position.ticket
    return position.yields, position.start, ticket.deadline, ticket.request_id
