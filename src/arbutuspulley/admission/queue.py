"""Admission queue of one entry: admits, queues and refuses requests.

All functions take the state of one entry and return effects. The caller calls
:func:`apply_view` with each view, :func:`submit` for each request,
:func:`assign` once the server is chosen, :func:`record_first_token`,
:func:`finish` or :func:`cancel` as the request proceeds, and :func:`tick` every
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
"""Interval between calls of :func:`tick` while requests wait."""

NOT_LOADED_RETRY_MS = 3_000
"""Retry time sent to a caller whose model is not loaded on any server."""


def apply_view(state: AdmissionState, *, view: View, now: int) -> tuple[Effect, ...]:
    """Apply a new view: servers, entries and the callers' remote usage.

    :return: decisions on waiting requests.
    """
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
    """Queue a request; it is admitted, waits or is refused.

    :return: decisions on this and on other requests.
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
    """Count an admitted request at the server chosen for it."""
    running = state.running.get(request_id)
    if running is None or running.server == server:
        return
    _release_server(state, running, now=now)
    add_load(state, server, requests=1, tokens=running.ticket.cost, now=now)
    running.server = server


def list_full_servers(
    state: AdmissionState, request_id: str, *, now: int | None = None
) -> frozenset[str]:
    """Return the servers that have no free slot for an admitted request.

    :param now: if given, servers in backoff and leaving servers count as full too.
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
    """Record the time from a request's admission to its first token."""
    running = state.running.get(request_id)
    if running is not None:
        drain_rate.record_first_token(state.drain, elapsed_ms=now - running.admitted_at)


def finish(
    state: AdmissionState, request_id: str, *, tokens: int, now: int
) -> tuple[Effect, ...]:
    """Account for a completed request and admit waiting ones.

    :param tokens: actual token cost of the request.
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
    """Remove a request whose caller has disconnected or that did not run."""
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
    """Charge remote usage, then admit requests and refuse ones that would be late."""
    waiting = {ticket.caller for ticket in state.waiting.values()}
    shares.charge_remote_usage(state.accounts, waiting=waiting, now=now)
    shares.evict_idle(state.accounts, now=now)
    state.usage_classes = classify_callers(state.accounts, now=now)
    return decide(state, now=now)


def list_usage(state: AdmissionState) -> tuple[CallerUsage, ...]:
    """Return the callers' usage at this entry, for the report to the controller."""
    waiting: dict[str, int] = {}
    for ticket in state.waiting.values():
        waiting[ticket.caller] = waiting.get(ticket.caller, 0) + 1
    return shares.list_usage(state.accounts, waiting=waiting)


def _evict_servers(state: AdmissionState, known: set[str]) -> None:
    """Remove the state of unlisted servers that have no requests in flight."""
    for name in [name for name in state.loads if name not in known]:
        if not state.loads[name].requests:
            del state.loads[name]
            state.drain.durations.pop(name, None)


def _release_server(
    state: AdmissionState, running: RunningRequest, *, now: int
) -> None:
    cost = running.ticket.cost
    add_load(state, running.server, requests=-1, tokens=-cost, now=now)
