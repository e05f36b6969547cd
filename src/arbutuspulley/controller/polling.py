"""Polls servers for reports, each independently, so that a frozen one delays none."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.configuration.schema import Server
from arbutuspulley.controller.exchange import is_unreachable
from arbutuspulley.controller.reports import (
    ServerState,
    apply_report,
    is_alive,
    is_polled_here,
    record_refused,
    replace_address,
)
from arbutuspulley.controller.rows import record_fence
from arbutuspulley.controller.state import Controller
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.ownership import choose_poller
from arbutuspulley.ports.engines import BrokenError, NotSentError, Report

ReportHandler = Callable[[ServerState], Awaitable[None]]
"""Called with a server's state after each poll, also after a failed one."""


def choose_polled_servers(controller: Controller) -> tuple[str, ...]:
    """Return the servers that this instance polls, and update the dict of states."""
    now = controller.clock.now()
    servers = list_servers(controller.activation.configuration)
    orphans = _list_orphans(controller, servers, now=now)
    names: list[str] = []
    for name, server in servers.items():
        state = controller.servers.get(name)
        is_owned = _find_owner(controller, name) == controller.settings.instance
        if not is_polled_here(state, owned=is_owned, chosen=name in orphans, now=now):
            controller.servers.pop(name, None)
            continue
        if state is None:
            state = ServerState(name=name, address=server.address)
        state = replace_address(state, server.address)
        controller.servers[name] = state
        if is_owned:
            state.owned_at = now
        names.append(name)
    for name in controller.servers.keys() - servers.keys():
        del controller.servers[name]
    return tuple(names)


async def poll_report(
    controller: Controller, name: str, *, on_report: ReportHandler
) -> None:
    """Poll one server unless a poll of it is still in progress."""
    state = controller.servers.get(name)
    if state is None or state.polling:
        return
    state.polling = True
    was_alive = is_alive(state, now=controller.clock.now())
    try:
        await _read(controller, state)
    finally:
        state.polling = False
    _log_change(controller, state, was_alive=was_alive)
    if controller.servers.get(name) is state:
        await on_report(state)


async def _read(controller: Controller, state: ServerState) -> None:
    loop = asyncio.get_running_loop()
    report = controller.engines.report
    try:
        answer: Report = await loop.run_in_executor(
            controller.pools.reports, lambda: report(state.address)
        )
    except NotSentError:
        record_refused(state)
        controller.metrics.reports.labels("refused").inc()
        return
    except BrokenError:
        controller.metrics.reports.labels("broken").inc()
        return
    was_leaving = state.report is not None and state.report.leaving
    if not apply_report(state, answer, now=controller.clock.now()):
        return
    controller.metrics.reports.labels("ok").inc()
    record_fence(controller.rows, state.name, answer.fence)
    if answer.leaving and not was_leaving:
        log_event(Event.SERVER_LEAVING, server=state.name, source="report")


def _log_change(controller: Controller, state: ServerState, *, was_alive: bool) -> None:
    alive = is_alive(state, now=controller.clock.now())
    if was_alive and not alive:
        log_event(Event.SERVER_DOWN, level=logging.WARNING, server=state.name)
    if alive and not was_alive:
        log_event(Event.SERVER_UP, server=state.name)


def _list_orphans(
    controller: Controller, servers: dict[str, Server], *, now: int
) -> frozenset[str]:
    """Return the servers without a reachable owner that this instance has to poll."""
    reachable = {
        peer.instance: peer
        for peer in controller.peers.values()
        if not is_unreachable(peer, now=now)
    }
    own = controller.settings.instance
    orphans: list[str] = []
    for name in servers:
        owner = _find_owner(controller, name)
        if owner == own or owner in reachable:
            continue
        if choose_poller(name, candidates=(own, *reachable)) == own:
            orphans.append(name)
    return frozenset(orphans)


def _find_owner(controller: Controller, server: str) -> str:
    """Return the instance that owns or last owned a server; empty if it was released.

    Whether the owner's lease is still valid doesn't matter here: in a store outage all
    leases expire, and servers must be polled nevertheless.
    """
    row = controller.rows.owners.get(server)
    return row.record.instance if row is not None and row.record.session else ""
