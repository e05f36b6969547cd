"""Admission: which request may go to a server now, which waits, which is refused.

All functions take the state of one entry and return effects; the shell calls
:func:`apply_view` with each view, :func:`submit` for each request,
:func:`assign` once the server is chosen, :func:`record_first_token`,
:func:`finish` or :func:`cancel` as the request goes on, and :func:`tick` every
:data:`TICK_MS`.
"""

from arbutuspulley.admission import drain_rate, shares
from arbutuspulley.admission.decision import decide, has_slot, refuse_overflow
from arbutuspulley.admission.slot_limits import (
    SlotLimit,
    compute_limit,
    list_active_entries,
)
from arbutuspulley.admission.state import AdmissionState, RunningRequest, add_load
from arbutuspulley.admission.tickets import Admit, Effect, Refuse, Ticket
from arbutuspulley.admission.usage_class import (
    classify_callers,
    has_remote_modest_waiter,
)
from arbutuspulley.results import Code
from arbutuspulley.routing.choice import is_usable
from arbutuspulley.routing.load import ServerLoad, observe_report
from arbutuspulley.rpc.messages import CallerUsage, View

__all__ = [
    "AdmissionState",
    "Admit",
    "Effect",
    "Refuse",
    "Ticket",
    "apply_view",
    "assign",
    "cancel",
    "finish",
    "list_full_servers",
    "list_usage",
    "record_first_token",
    "submit",
    "tick",
]

TICK_MS = 50
"""How often the shell should call :func:`tick` while requests wait."""

NOT_LOADED_RETRY_MS = 3_000
"""Told to a caller whose model is not loaded anywhere right now."""


def apply_view(state: AdmissionState, *, view: View, now: int) -> tuple[Effect, ...]:
    """Take up a new view: servers, entries and what callers use elsewhere."""
    shares.set_remote_usage(state.accounts, usage=view.usage, now=now)
    state.usage_classes = classify_callers(state.accounts, now=now)
    contended = has_remote_modest_waiter(state.accounts, state.usage_classes)
    active = list_active_entries(view.entries, own=state.own)
    holders: dict[str, list[str]] = {}
    limits: dict[str, SlotLimit] = {}
    for summary in view.servers:
        if summary.leaving or not summary.alive:
            continue
        load = state.loads.setdefault(summary.server, ServerLoad())
        observe_report(load, report=summary, now=now)
        limits[summary.server] = compute_limit(
            load,
            report=summary,
            own=state.own,
            active=active,
            contended=contended,
        )
        for item in summary.items:
            holders.setdefault(item, []).append(summary.server)
    state.limits = limits
    state.holders = {item: tuple(names) for item, names in holders.items()}
    _evict_servers(state, {summary.server for summary in view.servers})
    return decide(state, now=now)


def submit(state: AdmissionState, ticket: Ticket, *, now: int) -> tuple[Effect, ...]:
    """Take a request: it is admitted, waits or is refused.

    :return: what to do now, for this request and for others.
    """
    if not state.holders.get(ticket.item):
        return (
            Refuse(
                request_id=ticket.request_id,
                code=Code.MODEL_NOT_LOADED,
                retry_after_ms=NOT_LOADED_RETRY_MS,
            ),
        )
    shares.get_or_create_share(
        state.accounts, ticket.caller, weight=ticket.weight, now=now
    )
    if ticket.caller not in state.usage_classes:
        state.usage_classes = classify_callers(state.accounts, now=now)
    state.waiting[ticket.request_id] = ticket
    effects = decide(state, now=now, newest=ticket.request_id)
    return effects + refuse_overflow(state, now=now)


def assign(state: AdmissionState, request_id: str, *, server: str, now: int) -> None:
    """Count an admitted request at the server that was chosen for it."""
    running = state.running.get(request_id)
    if running is None or running.server == server:
        return
    _release_server(state, running, now=now)
    add_load(state, server, requests=1, tokens=running.ticket.cost, now=now)
    running.server = server


def list_full_servers(
    state: AdmissionState, request_id: str, *, now: int | None = None
) -> frozenset[str]:
    """Return servers that this entry should not use more of for a request now.

    :param now: if given, suspects and leaving servers count as full too.
    """
    running = state.running.get(request_id)
    if running is None:
        return frozenset()
    return frozenset(
        name
        for name in state.limits
        if (name != running.server and not has_slot(state, name, running.ticket))
        or (now is not None and not is_usable(state.routing, name, now=now))
    )


def record_first_token(state: AdmissionState, request_id: str, *, now: int) -> None:
    """Learn how long after its admission a request's first token came."""
    running = state.running.get(request_id)
    if running is not None:
        drain_rate.record_first_token(state.drain, elapsed_ms=now - running.admitted_at)


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
    _release_server(state, running, now=now)
    share = shares.get_or_create_share(
        state.accounts, ticket.caller, weight=ticket.weight, now=now
    )
    shares.settle(share, estimated=ticket.cost, actual=tokens)
    drain_rate.record_finished(
        state.drain,
        server=running.server,
        duration_ms=now - running.admitted_at,
    )
    return decide(state, now=now)


def cancel(state: AdmissionState, request_id: str, *, now: int) -> tuple[Effect, ...]:
    """Forget a request whose caller has left or that was not run."""
    if state.waiting.pop(request_id, None) is not None:
        return ()
    running = state.running.pop(request_id, None)
    if running is None:
        return ()
    ticket = running.ticket
    _release_server(state, running, now=now)
    share = shares.get_or_create_share(
        state.accounts, ticket.caller, weight=ticket.weight, now=now
    )
    shares.settle(share, estimated=ticket.cost, actual=0)
    return decide(state, now=now)


def tick(state: AdmissionState, *, now: int) -> tuple[Effect, ...]:
    """Charge remote usage, admit who can be, refuse who cannot be in time."""
    waiting = {ticket.caller for ticket in state.waiting.values()}
    shares.charge_remote_usage(state.accounts, waiting=waiting, now=now)
    shares.evict_idle(state.accounts, now=now)
    state.usage_classes = classify_callers(state.accounts, now=now)
    return decide(state, now=now)


def list_usage(state: AdmissionState) -> tuple[CallerUsage, ...]:
    """Return what callers use here, for the report to the controller."""
    waiting: dict[str, int] = {}
    for ticket in state.waiting.values():
        waiting[ticket.caller] = waiting.get(ticket.caller, 0) + 1
    return shares.list_usage(state.accounts, waiting=waiting)


def _evict_servers(state: AdmissionState, known: set[str]) -> None:
    """Drop what was kept of servers that are gone and run nothing any more."""
    for name in [name for name in state.loads if name not in known]:
        if not state.loads[name].requests:
            del state.loads[name]
            state.drain.durations.pop(name, None)


def _release_server(
    state: AdmissionState, running: RunningRequest, *, now: int
) -> None:
    cost = running.ticket.cost
    add_load(state, running.server, requests=-1, tokens=-cost, now=now)
