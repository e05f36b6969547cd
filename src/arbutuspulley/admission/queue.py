"""Admission: which request may go to a server now, which waits, which is refused.

All functions take the state of one entry and return effects; the shell calls
:func:`note_capacity` with each view, :func:`submit` for each request,
:func:`assign` once the server is chosen, :func:`note_first_token`,
:func:`finish` or :func:`withdraw` as the request goes on, and :func:`tick` every
:data:`TICK_MS`.
"""

import msgspec

from arbutuspulley.admission import drain_rate, shares
from arbutuspulley.admission.limits import ServerLimit, compute_limit, count_active
from arbutuspulley.admission.tickets import Admit, Effect, Refuse, Ticket
from arbutuspulley.data import State
from arbutuspulley.results import Code
from arbutuspulley.routing.load import ServerLoad, add_change, observe_report
from arbutuspulley.rpc.messages import CallerUsage, View

__all__ = [
    "AdmissionState",
    "Admit",
    "Effect",
    "Refuse",
    "Ticket",
    "assign",
    "finish",
    "list_full",
    "list_usage",
    "note_capacity",
    "note_first_token",
    "submit",
    "tick",
    "withdraw",
]

TICK_MS = 50
"""How often the shell should call :func:`tick`."""

MOST_WAITING = 256
"""Requests that wait at one entry at most."""

LOAD_RETRY_MS = 3_000
"""Told to a caller whose model is not loaded anywhere right now."""

AGEING_MS = 10_000
"""A summary that has waited this long goes like a live request."""


class Running(State):
    """An admitted request.

    :param server: the server that it counts at; until :func:`assign` the one that
        had room for it.
    """

    ticket: Ticket
    server: str
    admitted_at: int


class AdmissionState(State):
    """What one entry knows about waiting and running requests.

    :param own: address of this entry.
    :param holders: servers that may take an item, by item.
    :param limits: what this entry may use of each server.
    :param loads: what it uses of each server.
    :param waiting: by request id, in order of arrival.
    """

    own: str = ""
    holders: dict[str, tuple[str, ...]] = {}
    limits: dict[str, ServerLimit] = {}
    loads: dict[str, ServerLoad] = {}
    waiting: dict[str, Ticket] = {}
    running: dict[str, Running] = {}
    accounts: shares.SharesState = msgspec.field(default_factory=shares.SharesState)
    drain: drain_rate.DrainState = msgspec.field(default_factory=drain_rate.DrainState)


def note_capacity(state: AdmissionState, *, view: View, now: int) -> tuple[Effect, ...]:
    """Take up a new view: servers, entries and what callers use elsewhere."""
    entries = count_active(view.entries, own=state.own)
    holders: dict[str, list[str]] = {}
    limits: dict[str, ServerLimit] = {}
    for summary in view.servers:
        if summary.leaving or not summary.alive:
            continue
        load = state.loads.setdefault(summary.server, ServerLoad())
        observe_report(load, report=summary, now=now)
        limits[summary.server] = compute_limit(
            load, slots=summary.slots, entries=entries
        )
        for item in summary.items:
            holders.setdefault(item, []).append(summary.server)
    state.limits = limits
    state.holders = {item: tuple(names) for item, names in holders.items()}
    shares.note_usage(state.accounts, usage=view.usage, now=now)
    return _admit_ready(state, now)


def submit(state: AdmissionState, ticket: Ticket, *, now: int) -> tuple[Effect, ...]:
    """Take a request: it is admitted, waits or is refused.

    :return: what to do now, for this request and for others.
    """
    if not state.holders.get(ticket.item):
        return (
            Refuse(
                request_id=ticket.request_id,
                code=Code.MODEL_NOT_LOADED,
                retry_after_ms=LOAD_RETRY_MS,
            ),
        )
    shares.find_share(state.accounts, ticket.caller, weight=ticket.weight, now=now)
    state.waiting[ticket.request_id] = ticket
    effects = list(_admit_ready(state, now))
    if ticket.request_id in state.waiting:
        effects += _refuse_hopeless(state, ticket, now)
    return tuple(effects)


def assign(state: AdmissionState, request_id: str, *, server: str, now: int) -> None:
    """Count an admitted request at the server that was chosen for it."""
    running = state.running.get(request_id)
    if running is None or running.server == server:
        return
    _move(state, running.server, -1, -running.ticket.cost, now)
    _move(state, server, 1, running.ticket.cost, now)
    running.server = server


def list_full(state: AdmissionState, request_id: str) -> frozenset[str]:
    """Return servers that this entry should not use more of for a request now."""
    running = state.running.get(request_id)
    own = running.server if running else ""
    return frozenset(
        name
        for name in state.limits
        if name != own and not _has_slot(state, name, cost=0)
    )


def note_first_token(state: AdmissionState, request_id: str, *, now: int) -> None:
    """Learn how long after its admission a request's first token came."""
    running = state.running.get(request_id)
    if running is not None:
        drain_rate.note_first_token(state.drain, elapsed_ms=now - running.admitted_at)


def finish(
    state: AdmissionState, request_id: str, *, tokens: int, now: int
) -> tuple[Effect, ...]:
    """Account for a request that is over and admit who is next.

    :param tokens: its cost as it is known now.
    """
    running = state.running.pop(request_id, None)
    if running is None:
        return ()
    ticket = running.ticket
    _move(state, running.server, -1, -ticket.cost, now)
    share = shares.find_share(
        state.accounts, ticket.caller, weight=ticket.weight, now=now
    )
    shares.settle(share, estimated=ticket.cost, actual=tokens)
    drain_rate.note_finished(
        state.drain,
        server=running.server,
        cost=tokens,
        duration_ms=now - running.admitted_at,
    )
    return _admit_ready(state, now)


def withdraw(state: AdmissionState, request_id: str, *, now: int) -> tuple[Effect, ...]:
    """Forget a request whose caller has left or that was not run."""
    if state.waiting.pop(request_id, None) is not None:
        return ()
    running = state.running.pop(request_id, None)
    if running is None:
        return ()
    ticket = running.ticket
    _move(state, running.server, -1, -ticket.cost, now)
    share = shares.find_share(
        state.accounts, ticket.caller, weight=ticket.weight, now=now
    )
    shares.settle(share, estimated=ticket.cost, actual=0)
    return _admit_ready(state, now)


def tick(state: AdmissionState, *, now: int) -> tuple[Effect, ...]:
    """Charge remote usage, refuse who cannot be in time, admit who can."""
    waiting = {ticket.caller for ticket in state.waiting.values()}
    shares.charge_remote(state.accounts, waiting=waiting, now=now)
    shares.forget_absent(state.accounts, now=now)
    effects = list(_admit_ready(state, now))
    for ticket in list(state.waiting.values()):
        if now + state.drain.first_token_ms > ticket.deadline:
            effects.append(_refuse(state, ticket, Code.DEADLINE_OUT_OF_REACH, now=now))
    return tuple(effects)


def list_usage(state: AdmissionState) -> tuple[CallerUsage, ...]:
    """Return what callers use here, for the report to the controller."""
    waiting: dict[str, int] = {}
    for ticket in state.waiting.values():
        waiting[ticket.caller] = waiting.get(ticket.caller, 0) + 1
    return shares.list_usage(state.accounts, waiting=waiting)


def _admit_ready(state: AdmissionState, now: int) -> tuple[Effect, ...]:
    effects: list[Effect] = []
    while (ticket := _find_next(state, now)) is not None:
        server = _find_room(state, ticket)
        del state.waiting[ticket.request_id]
        state.running[ticket.request_id] = Running(
            ticket=ticket, server=server, admitted_at=now
        )
        _move(state, server, 1, ticket.cost, now)
        share = state.accounts.callers[ticket.caller]
        shares.charge(state.accounts, share, cost=ticket.cost)
        effects.append(Admit(request_id=ticket.request_id))
    return tuple(effects)


def _find_next(state: AdmissionState, now: int) -> Ticket | None:
    ready = [ticket for ticket in state.waiting.values() if _find_room(state, ticket)]
    if not ready:
        return None
    return min(ready, key=lambda ticket: _rank(state, ticket, now))


def _rank(state: AdmissionState, ticket: Ticket, now: int) -> tuple[bool, float, int]:
    share = state.accounts.callers[ticket.caller]
    return (
        not _is_urgent(ticket, now),
        shares.rank_share(state.accounts, share),
        ticket.deadline,
    )


def _is_urgent(ticket: Ticket, now: int) -> bool:
    return ticket.live or now - ticket.arrived_at >= AGEING_MS


def _find_room(state: AdmissionState, ticket: Ticket) -> str:
    """Return the holder with most room for a request, or an empty name."""
    names = [
        name
        for name in state.holders.get(ticket.item, ())
        if _has_slot(state, name, cost=ticket.cost)
    ]
    if not names:
        return ""
    return min(
        names, key=lambda name: state.loads[name].requests / state.limits[name].slots
    )


def _has_slot(state: AdmissionState, server: str, *, cost: int) -> bool:
    limit = state.limits.get(server)
    if limit is None:
        return False
    load = state.loads[server]
    if load.requests >= limit.slots:
        return False
    return load.tokens == 0 or load.tokens + cost <= limit.tokens


def _move(
    state: AdmissionState, server: str, requests: int, tokens: int, now: int
) -> None:
    load = state.loads.setdefault(server, ServerLoad())
    add_change(load, requests=requests, tokens=tokens, now=now)


def _refuse_hopeless(state: AdmissionState, ticket: Ticket, now: int) -> list[Effect]:
    if len(state.waiting) > MOST_WAITING:
        return [_refuse(state, ticket, Code.OVERLOADED, now=now)]
    wait_ms = _estimate_wait(state, ticket)
    if now + wait_ms + state.drain.first_token_ms <= ticket.deadline:
        return []
    return [_refuse(state, ticket, Code.DEADLINE_OUT_OF_REACH, now=now)]


def _refuse(state: AdmissionState, ticket: Ticket, code: Code, *, now: int) -> Refuse:
    wait_ms = _estimate_wait(state, ticket)
    state.waiting.pop(ticket.request_id, None)
    retry_after_ms = drain_rate.book_return(
        state.drain,
        request_id=ticket.request_id,
        cost=ticket.cost,
        wait_ms=wait_ms,
        rate=_measure_rate(state, ticket.item),
        now=now,
    )
    return Refuse(
        request_id=ticket.request_id, code=code, retry_after_ms=retry_after_ms
    )


def _estimate_wait(state: AdmissionState, ticket: Ticket) -> int:
    holders = frozenset(state.holders.get(ticket.item, ()))
    ahead = sum(
        other.cost
        for other in state.waiting.values()
        if other.request_id != ticket.request_id
        and holders.intersection(state.holders.get(other.item, ()))
    )
    rate = _measure_rate(state, ticket.item)
    return int((ahead + ticket.cost) / max(rate, 1.0) * 1_000)


def _measure_rate(state: AdmissionState, item: str) -> float:
    return sum(
        drain_rate.measure_rate(
            state.drain, server=name, slots=state.limits[name].slots
        )
        for name in state.holders.get(item, ())
        if name in state.limits
    )
