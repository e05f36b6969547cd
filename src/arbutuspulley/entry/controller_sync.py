"""Applies the controller's views, and reports demand and load to the controller."""

import asyncio
import logging
from typing import NoReturn

import msgspec

from arbutuspulley.admission.queue import apply_view, list_usage
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.delivery import suspects
from arbutuspulley.entry.admission_queue import apply_effects
from arbutuspulley.entry.deaths import flush_unrecorded_deaths
from arbutuspulley.entry.index import build_index
from arbutuspulley.entry.state import EntryState, Runtime
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

REPORT_INTERVAL_MS = SECOND_MS
"""Interval at which an entry reports demand, usage and load."""

SERVER_RETENTION_MS = 5 * SECOND_MS
"""How long servers are retained after a reconnection, until the controller has received
reports of all of them."""

SUSPICION_GRACE_MS = 10 * SECOND_MS
"""Longest time until a suspicion that this entry reported appears in a view."""

RECONNECT_INITIAL_BACKOFF_MS = 200
"""Maximum backoff before the first reconnection attempt; it doubles."""

RECONNECT_MAX_BACKOFF_MS = 2 * SECOND_MS
"""Maximum backoff between reconnection attempts."""


async def watch_controller(runtime: Runtime) -> NoReturn:
    """Apply views as they arrive; the last one stays active while none arrives."""
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
                update_view(runtime, view, now=now)
        except PeerUnavailableError as error:
            if not failures:
                log_event(
                    Event.PEER_DOWN,
                    level=logging.WARNING,
                    peer="controller",
                    detail=error.detail,
                )
        failures += 1
        # Jitter prevents the entries of a site from reconnecting simultaneously.
        bound = min(
            RECONNECT_MAX_BACKOFF_MS, RECONNECT_INITIAL_BACKOFF_MS << min(failures, 8)
        )
        await asyncio.sleep(bound * (0.5 + runtime.rng.random() / 2) / SECOND_MS)


async def report_regularly(runtime: Runtime) -> NoReturn:
    """Send a report to the controller every ``REPORT_INTERVAL_MS``."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_MS / SECOND_MS)
        if await send_report(runtime):
            await flush_unrecorded_deaths(runtime)


async def send_report(runtime: Runtime) -> bool:
    """Send one report; if that fails, its demand is added to the next report.

    :return: whether the controller received it.
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
                requests=item_demand.requests,
                tokens=item_demand.tokens,
                refused=item_demand.refused,
            )
            for item, item_demand in demand.items()
        ),
        usage=list_usage(state.admission),
    )
    try:
        await runtime.controller.report(report)
    except PeerUnavailableError:
        for item, item_demand in demand.items():
            retained = state.demand.setdefault(item, item_demand)
            if retained is not item_demand:
                retained.requests += item_demand.requests
                retained.tokens += item_demand.tokens
                retained.refused += item_demand.refused
        return False
    return True


def describe_entry(runtime: Runtime) -> EntryAddress:
    """Return the address, load and status of this entry for other processes."""
    settings, state = runtime.settings, runtime.state
    return EntryAddress(
        instance=settings.instance,
        site=settings.site,
        address=settings.address,
        draining=state.draining,
        load=round(state.in_flight / settings.max_in_flight, 3),
        boot_id=settings.boot_id,
    )


def update_view(runtime: Runtime, view: View, *, now: int) -> None:
    """Apply a view.

    A controller that has just been replaced has no state yet, or an older
    configuration. Neither may replace newer state: the entry keeps its configuration,
    its complete last view until the controller is ready, and for
    ``SERVER_RETENTION_MS`` the servers that have not reported to the controller yet.
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
        _activate_configuration(runtime, view)
    view = _retain_servers(state, view, now)
    state.view, state.view_received_at = view, now
    state.summaries = {summary.server: summary for summary in view.servers}
    apply_reports(state.routing, servers=view.servers, now=now)
    _update_suspicions(state, view, now)
    apply_effects(runtime, apply_view(state.admission, view=view, now=now))


def is_ready(state: EntryState) -> bool:
    """Return whether a configuration that contains this site is active."""
    return (
        state.view is not None and state.view.ready and bool(state.index.site.callers)
    )


def list_entries(runtime: Runtime) -> tuple[EntryAddress, ...]:
    """Return the entries that callers may use, including this one's current state."""
    own = describe_entry(runtime)
    view = runtime.state.view
    others = [
        entry
        for entry in (view.entries if view else ())
        if entry.address != own.address
    ]
    return (own, *others)


def _retain_servers(state: EntryState, view: View, now: int) -> View:
    since = state.reconnected_at
    if state.view is None or since is None or now - since >= SERVER_RETENTION_MS:
        return view
    listed = {summary.server for summary in view.servers}
    configured = list_servers(view.configuration)
    retained = tuple(
        summary
        for summary in state.view.servers
        if summary.server not in listed and summary.server in configured
    )
    return msgspec.structs.replace(view, servers=view.servers + retained)


def _update_suspicions(state: EntryState, view: View, now: int) -> None:
    """Merge the controller's suspicions, and drop those that it no longer lists."""
    suspects.merge(state.suspects, view.suspicions, now=now)
    listed = {suspicion.fingerprint for suspicion in view.suspicions}
    unrecorded = {report.fingerprints[0] for report in state.unrecorded_deaths.values()}
    for fingerprint, seen_at in list(state.suspects.changed_at.items()):
        known = fingerprint in listed or fingerprint in unrecorded
        if not known and now - seen_at >= SUSPICION_GRACE_MS:
            del state.suspects.suspicions[fingerprint]
            del state.suspects.changed_at[fingerprint]


def _activate_configuration(runtime: Runtime, view: View) -> None:
    state = runtime.state
    state.index = build_index(view.configuration, site=runtime.settings.site)
    runtime.metrics.configuration_version.set(state.index.version)
    log_event(Event.CONFIGURATION_IN_FORCE, version=state.index.version)
