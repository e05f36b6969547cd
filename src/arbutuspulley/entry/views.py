"""Follows the controller's view and reports to the controller."""

import asyncio
import logging
from typing import NoReturn

import msgspec

from arbutuspulley.admission.queue import apply_view, list_usage
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.delivery import suspects
from arbutuspulley.entry.deaths import flush_unrecorded
from arbutuspulley.entry.index import build_index
from arbutuspulley.entry.state import EntryState, Runtime
from arbutuspulley.entry.turns import apply_effects
from arbutuspulley.events import Event, log_event
from arbutuspulley.routing.choice import apply_reports
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import (
    EntryAddress,
    EntryReport,
    ItemDemand,
    View,
    WatchRequest,
)

REPORT_EVERY_MS = SECOND_MS
"""How often an entry reports demand, usage and load."""

SERVERS_KEPT_MS = 5 * SECOND_MS
"""How long a controller that was just found again may take to hear of all servers."""

SUSPICION_LAG_MS = 10 * SECOND_MS
"""How long an own suspicion may take to come back in a view."""

RECONNECT_FIRST_MS = 200
"""Longest pause before the first try to reach the controller again; it doubles."""

RECONNECT_MOST_MS = 2 * SECOND_MS
"""Longest pause between tries."""


async def watch_controller(runtime: Runtime) -> NoReturn:
    """Take up views for ever; the last one stays in force while none comes."""
    failures = 0
    while True:
        try:
            request = WatchRequest(entry=describe_entry(runtime))
            async for view in runtime.controller.watch(request):
                now = runtime.clock.now()
                if failures:
                    log_event(Event.PEER_UP, peer="controller")
                    runtime.state.reconnected_at = now
                failures = 0
                take_view(runtime, view, now=now)
        except PeerUnavailableError as error:
            if not failures:
                log_event(
                    Event.PEER_DOWN,
                    level=logging.WARNING,
                    peer="controller",
                    detail=error.detail,
                )
        failures += 1
        # Jitter keeps the entries of a site from coming back in step.
        bound = min(RECONNECT_MOST_MS, RECONNECT_FIRST_MS << min(failures, 8))
        await asyncio.sleep(bound * (0.5 + runtime.chance.random() / 2) / SECOND_MS)


async def report_regularly(runtime: Runtime) -> NoReturn:
    """Tell the controller about every second what callers want and use."""
    while True:
        await asyncio.sleep(REPORT_EVERY_MS / SECOND_MS)
        if await send_report(runtime):
            await flush_unrecorded(runtime)


async def send_report(runtime: Runtime) -> bool:
    """Send one report; demand that it could not deliver goes into the next.

    :return: whether the controller took it.
    """
    state = runtime.state
    demand, state.demand = state.demand, {}
    report = EntryReport(
        entry=describe_entry(runtime),
        configuration_version=state.index.version,
        in_flight=state.in_flight,
        demand=tuple(
            ItemDemand(
                item=item,
                requests=one.requests,
                tokens=one.tokens,
                refused=one.refused,
            )
            for item, one in demand.items()
        ),
        usage=list_usage(state.admission),
    )
    try:
        await runtime.controller.report(report)
    except PeerUnavailableError:
        for item, one in demand.items():
            kept = state.demand.setdefault(item, one)
            if kept is not one:
                kept.requests += one.requests
                kept.tokens += one.tokens
                kept.refused += one.refused
        return False
    return True


def describe_entry(runtime: Runtime) -> EntryAddress:
    """Return what the others are told of this entry."""
    settings, state = runtime.settings, runtime.state
    return EntryAddress(
        instance=settings.instance,
        site=settings.site,
        address=settings.address,
        draining=state.draining,
        load=round(state.in_flight / settings.most_in_flight, 3),
        boot_id=settings.boot_id,
    )


def take_view(runtime: Runtime, view: View, *, now: int) -> None:
    """Take up a view.

    A controller that has just been replaced knows nothing yet, or an older
    configuration. Neither may undo what is in force: the entry keeps its own
    configuration, its whole last view until the controller is ready, and for a while
    the servers that the controller has not heard of yet.
    """
    state = runtime.state
    if state.view is not None and state.view.ready and not view.ready:
        return
    if view.configuration.version < state.index.version and state.view is not None:
        log_event(
            Event.OLDER_CONFIGURATION_IGNORED,
            level=logging.WARNING,
            version=view.configuration.version,
            in_force=state.index.version,
        )
        view = msgspec.structs.replace(view, configuration=state.view.configuration)
    if view.configuration.version > state.index.version:
        _put_in_force(runtime, view)
    view = _keep_servers(state, view, now)
    state.view, state.viewed_at = view, now
    state.summaries = {summary.server: summary for summary in view.servers}
    apply_reports(state.routing, servers=view.servers, now=now)
    _take_suspicions(state, view, now)
    apply_effects(runtime, apply_view(state.admission, view=view, now=now))


def is_ready(state: EntryState) -> bool:
    """Tell whether a configuration that knows this site is in force."""
    return (
        state.view is not None and state.view.ready and bool(state.index.site.callers)
    )


def list_entries(runtime: Runtime) -> tuple[EntryAddress, ...]:
    """Return the entries that callers may be told of, this one as it is now."""
    own = describe_entry(runtime)
    view = runtime.state.view
    others = [
        entry
        for entry in (view.entries if view else ())
        if entry.address != own.address
    ]
    return (own, *others)


def _keep_servers(state: EntryState, view: View, now: int) -> View:
    since = state.reconnected_at
    if state.view is None or since is None or now - since >= SERVERS_KEPT_MS:
        return view
    told = {summary.server for summary in view.servers}
    configured = list_servers(view.configuration)
    kept = tuple(
        summary
        for summary in state.view.servers
        if summary.server not in told and summary.server in configured
    )
    return msgspec.structs.replace(view, servers=view.servers + kept)


def _take_suspicions(state: EntryState, view: View, now: int) -> None:
    """Take up what the controller suspects, and drop what it has forgotten."""
    suspects.merge(state.suspects, view.suspicions, now=now)
    told = {suspicion.fingerprint for suspicion in view.suspicions}
    unrecorded = {one.fingerprints[0] for one in state.unrecorded.values()}
    for fingerprint, seen_at in list(state.suspects.changed_at.items()):
        known = fingerprint in told or fingerprint in unrecorded
        if not known and now - seen_at >= SUSPICION_LAG_MS:
            del state.suspects.suspicions[fingerprint]
            del state.suspects.changed_at[fingerprint]


def _put_in_force(runtime: Runtime, view: View) -> None:
    state = runtime.state
    state.index = build_index(view.configuration, site=runtime.settings.site)
    runtime.metrics.configuration_version.set(state.index.version)
    log_event(Event.CONFIGURATION_IN_FORCE, version=state.index.version)
