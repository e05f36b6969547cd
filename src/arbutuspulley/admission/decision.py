"""Decides which waiting requests of an entry are admitted, kept waiting or refused."""

from collections.abc import Mapping, Sequence

from arbutuspulley.admission import drain_rate, shares
from arbutuspulley.admission.queue_order import order_waiting
from arbutuspulley.admission.slot_limits import TOKENS_PER_SLOT
from arbutuspulley.admission.state import (
    AdmissionState,
    RunningRequest,
    add_load,
    get_usage_class,
    list_holders,
)
from arbutuspulley.admission.tickets import Admit, Effect, Refuse, Ticket
from arbutuspulley.results import Code

MAX_WAITING = 256
"""Largest number of requests waiting at one entry."""


def decide(state: AdmissionState, *, now: int, newest: str = "") -> tuple[Effect, ...]:
    """Admit requests that have a free slot and refuse those that miss their deadline.

    Requests are taken in queue order. One that is certain to miss its deadline is
    refused before that, so that its caller can be answered at once and no server
    does useless work.

    :param newest: id of a request that has just arrived, which is refused if its
        estimated wait is too long. A request that already waits is refused only when
        it is certain to be late: the estimate fluctuates, and would sooner or later
        refuse most of them.
    """
    effects: list[Effect] = []
    ahead: dict[str, float] = {}
    positions = order_waiting(state.waiting.values(), state.accounts, now=now)
    for position in positions:
        ticket = position.ticket
        holders = list_holders(state, ticket.item, now=now)
        server = _find_free_server(state, ticket, holders)
        if server:
            effects.append(_admit(state, ticket, server, now=now))
            continue
        wait_ms = _estimate_wait(state, ahead, holders)
        expected_ms = wait_ms if ticket.request_id == newest else 0.0
        if _would_miss_deadline(state, ticket, now + expected_ms):
            code = Code.DEADLINE_OUT_OF_REACH
            effects.append(_refuse(state, ticket, code, wait_ms=wait_ms, now=now))
            continue
        for name in holders:
            ahead[name] = ahead.get(name, 0.0) + 1 / len(holders)
    return tuple(effects)


def refuse_overflow(state: AdmissionState, *, now: int) -> tuple[Effect, ...]:
    """Refuse a request of the caller with the most queued cost if the queue is full.

    If the newest request were refused instead, a flood that fills the queue would
    starve the callers that send little.
    """
    if len(state.waiting) <= MAX_WAITING:
        return ()
    usage: dict[str, float] = {}
    for ticket in state.waiting.values():
        weighted_cost = ticket.cost / ticket.weight
        usage[ticket.caller] = usage.get(ticket.caller, 0.0) + weighted_cost
    largest = max(usage, key=lambda caller: (usage[caller], caller))
    positions = order_waiting(state.waiting.values(), state.accounts, now=now)
    last = [
        position.ticket for position in positions if position.ticket.caller == largest
    ][-1]
    holders = list_holders(state, last.item, now=now)
    ahead = dict.fromkeys(holders, float(MAX_WAITING))
    wait_ms = _estimate_wait(state, ahead, holders)
    return (_refuse(state, last, Code.OVERLOADED, wait_ms=wait_ms, now=now),)


def has_slot(state: AdmissionState, server: str, ticket: Ticket) -> bool:
    """Return whether this entry may send a request to a server now."""
    limit = state.limits.get(server)
    if limit is None:
        return False
    load = state.loads[server]
    slots = limit.get(get_usage_class(state, ticket.caller))
    if load.requests >= slots:
        return False
    # A request larger than the limit runs alone; it would otherwise never run.
    return load.tokens == 0 or load.tokens + ticket.cost <= slots * TOKENS_PER_SLOT


def _find_free_server(
    state: AdmissionState, ticket: Ticket, holders: Sequence[str]
) -> str:
    """Return the least used holder with a free slot, or an empty name."""
    names = [name for name in holders if has_slot(state, name, ticket)]
    if not names:
        return ""
    return min(
        names,
        key=lambda name: state.loads[name].requests / state.limits[name].ordinary,
    )


def _admit(state: AdmissionState, ticket: Ticket, server: str, *, now: int) -> Admit:
    del state.waiting[ticket.request_id]
    state.running[ticket.request_id] = RunningRequest(
        ticket=ticket, server=server, admitted_at=now
    )
    add_load(state, server, requests=1, tokens=ticket.cost, now=now)
    shares.charge(state.accounts, ticket.caller, cost=ticket.cost)
    return Admit(request_id=ticket.request_id)


def _would_miss_deadline(
    state: AdmissionState, ticket: Ticket, admitted_at: float
) -> bool:
    first_token_ms = drain_rate.predict_first_token(state.drain)
    return admitted_at + first_token_ms > ticket.deadline


def _refuse(
    state: AdmissionState, ticket: Ticket, code: Code, *, wait_ms: float, now: int
) -> Refuse:
    del state.waiting[ticket.request_id]
    share = state.accounts.callers[ticket.caller]
    share.refused_at = now
    share_fraction = _compute_share(state, ticket.caller)
    share.reserved_until, retry_after_ms = drain_rate.schedule_retry(
        share.reserved_until,
        request_id=ticket.request_id,
        wait_ms=wait_ms,
        rate=_estimate_rate(state, list_holders(state, ticket.item, now=now))
        * share_fraction,
        now=now,
    )
    if _is_above_share(state, ticket.caller, share_fraction):
        code = Code.SHARE_EXCEEDED
    return Refuse(
        request_id=ticket.request_id, code=code, retry_after_ms=retry_after_ms
    )


def _estimate_wait(
    state: AdmissionState, ahead: Mapping[str, float], holders: Sequence[str]
) -> float:
    """Return how long a request waits for a slot, in ms.

    :param ahead: requests queued before it, by server; a request that may go to
        several servers is divided among them.
    :param holders: servers that the request may go to.
    """
    before = sum(ahead.get(name, 0.0) for name in holders)
    rate = _estimate_rate(state, holders)
    return (1 + before) / rate if rate > 0 else float(drain_rate.MAX_RETRY_MS)


def _estimate_rate(state: AdmissionState, holders: Sequence[str]) -> float:
    """Return the requests per ms that this entry's slots at the holders complete."""
    return sum(
        drain_rate.estimate_rate(
            state.drain, server=name, slots=state.limits[name].ordinary
        )
        for name in holders
        if name in state.limits
    )


def _compute_share(state: AdmissionState, caller: str) -> float:
    """Return a caller's weight as a fraction of that of all callers active here."""
    active = {ticket.caller for ticket in state.waiting.values()}
    active.update(running.ticket.caller for running in state.running.values())
    active.add(caller)
    weights = {name: state.accounts.callers[name].weight for name in active}
    return weights[caller] / sum(weights.values())


def _is_above_share(state: AdmissionState, caller: str, share_fraction: float) -> bool:
    in_flight = sum(running.ticket.cost for running in state.running.values())
    own = state.accounts.callers[caller].in_flight
    return share_fraction < 1 and own > share_fraction * in_flight
