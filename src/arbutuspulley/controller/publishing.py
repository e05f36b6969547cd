"""Builds the state that entries, peers and the console receive."""

import asyncio

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.activation import is_ready
from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.configuration.schema import EMPTY, Configuration, Server
from arbutuspulley.controller.demand import list_demand, sum_usage
from arbutuspulley.controller.entries import evict_timed_out
from arbutuspulley.controller.exchange import is_unreachable, record_changes
from arbutuspulley.controller.reports import build_summary
from arbutuspulley.controller.sessions import get_owned
from arbutuspulley.controller.state import Controller, is_store_up
from arbutuspulley.controller.views import (
    SUMMARY_RETENTION_MS,
    merge_entries,
    merge_servers,
    merge_usage,
    update_view,
)
from arbutuspulley.data import Value
from arbutuspulley.membership.lease import may_order
from arbutuspulley.placement.records import LedgerEntryState
from arbutuspulley.rpc.messages import (
    CallerUsage,
    EntryAddress,
    FleetStatus,
    InstanceStatus,
    ServerSummary,
    View,
)

MAX_SUMMARY_WAIT_MS = 3 * SECOND_MS
"""Longest wait of a new instance for summaries of all servers before it serves."""

_NO_VIEW = View(number=0, ready=False, store_up=False, configuration=EMPTY)


class _ServerSite(Value, frozen=True):
    server: Server
    site: str


def publish(controller: Controller) -> None:
    """Update the state for peers and the view; wake the view's watchers on a change."""
    now = controller.clock.now()
    evict_timed_out(controller.entries, now=now)
    own = _build_summaries(controller, now=now)
    suspicions = tuple(controller.suspects.suspicions.values())
    record_changes(
        controller.outgoing_updates,
        servers=own,
        suspicions=suspicions,
        demand=list_demand(controller.demand, now=now),
    )
    peers = controller.peers.values()
    servers = _merge_summaries(controller, own, now=now)
    changed = update_view(
        controller.views,
        ready=_update_serving(controller, servers, now=now),
        store_up=is_store_up(controller),
        configuration=controller.activation.configuration,
        servers=servers,
        entries=merge_entries(list_own_entries(controller), peers, now=now),
        suspicions=suspicions,
        usage=merge_usage(peers, now=now),
        now=now,
    )
    if changed:
        controller.view_changed.set()
        controller.view_changed = asyncio.Event()


def publish_immediately(controller: Controller) -> None:
    """Publish, and send the view without waiting for the minimum interval."""
    publish(controller)
    controller.view_urgent.set()
    controller.view_urgent = asyncio.Event()


async def wait_for_view_interval(controller: Controller, interval_ms: int) -> None:
    """Wait for the interval between two views, or until the next one is urgent."""
    try:
        async with asyncio.timeout(interval_ms / SECOND_MS):
            await controller.view_urgent.wait()
    except TimeoutError:
        return


def get_view(controller: Controller, address: str) -> View:
    """Return the current view for one entry of this instance.

    Usage by callers through its sibling entries counts as usage elsewhere.
    """
    view = controller.views.view or _NO_VIEW
    siblings = [
        state.report.usage
        for other, state in controller.entries.items()
        if other != address and state.report is not None
    ]
    if not siblings:
        return view
    usage = sum_usage((view.usage, *siblings))
    return msgspec.structs.replace(view, usage=usage)


async def wait_for_view(controller: Controller, number: int) -> None:
    """Wait until there is a view with another number than this one."""
    while not controller.stopping:
        view = controller.views.view
        if view is not None and view.number != number:
            return
        await controller.view_changed.wait()


def list_own_entries(controller: Controller) -> tuple[EntryAddress, ...]:
    """Return the entries of this instance."""
    return tuple(state.entry for state in controller.entries.values())


def sum_own_usage(controller: Controller) -> tuple[CallerUsage, ...]:
    """Return the usage of each caller through the entries of this instance."""
    return sum_usage(
        state.report.usage for state in controller.entries.values() if state.report
    )


def build_instance_status(controller: Controller) -> InstanceStatus:
    """Return the status of this instance."""
    now = controller.clock.now()
    return InstanceStatus(
        instance=controller.settings.instance,
        site=controller.settings.site,
        configuration_version=controller.activation.configuration.version,
        lease_held=may_order(controller.lease, now=now),
        store_up=is_store_up(controller),
        owned=tuple(sorted(get_owned(controller))),
        entry_versions={
            address: state.report.configuration_version if state.report else 0
            for address, state in controller.entries.items()
        },
        draining=controller.stopping,
    )


def build_fleet_status(
    controller: Controller, *, after: int | None = None
) -> FleetStatus:
    """Return the known status of all instances; those without replies are unreachable.

    :param after: if set, include the active configuration if its version is newer.
    """
    now = controller.clock.now()
    instances = {controller.settings.instance: build_instance_status(controller)}
    accepted = controller.activation.accepted_version
    for peer in controller.peers.values():
        accepted = max(accepted, peer.configuration_version)
        if peer.status is None or not peer.instance:
            continue
        known = instances.get(peer.instance)
        if known is not None and known.reachable:
            continue
        reachable = not is_unreachable(peer, now=now)
        is_known = peer.instance in controller.sessions.rows
        if (
            not reachable
            and not is_known
            and now - (peer.replied_at or 0) > SUMMARY_RETENTION_MS
        ):
            continue
        instances[peer.instance] = msgspec.structs.replace(
            peer.status, reachable=reachable
        )
    for row in controller.sessions.rows.values():
        if row.record is not None and row.instance not in instances:
            instances[row.instance] = InstanceStatus(
                instance=row.instance,
                site=row.record.site,
                configuration_version=0,
                reachable=False,
            )
    own = _build_summaries(controller, now=now)
    return FleetStatus(
        accepted_version=accepted,
        instances=tuple(instances[name] for name in sorted(instances)),
        servers=_merge_summaries(controller, own, now=now),
        configuration=_select_newer(controller.activation.configuration, after),
    )


def _update_serving(
    controller: Controller, servers: tuple[ServerSummary, ...], *, now: int
) -> bool:
    """Update and return whether entries may serve; once true, it stays true.

    A new instance has the configuration before it has a summary of every server. An
    entry that served at that point would refuse loaded models as not loaded anywhere.
    A server that this instance polls but has not read yet has no summary either: while
    the store is unavailable the instance knows no owners, and may choose to poll a
    server itself before its first report. The wait for servers without a summary ends
    after :data:`MAX_SUMMARY_WAIT_MS`.
    """
    if controller.serving or not is_ready(controller.activation):
        return controller.serving
    if controller.configured_at is None:
        controller.configured_at = now
    known = {summary.server for summary in servers if summary.boot_id}
    configured = list_servers(controller.activation.configuration).keys()
    waited = now - controller.configured_at >= MAX_SUMMARY_WAIT_MS
    controller.serving = waited or configured <= known
    return controller.serving


def _select_newer(
    configuration: Configuration, after: int | None
) -> Configuration | None:
    if after is None or configuration.version <= after:
        return None
    return configuration


def _merge_summaries(
    controller: Controller, own: dict[str, ServerSummary], *, now: int
) -> tuple[ServerSummary, ...]:
    return merge_servers(
        controller.activation.configuration,
        own=own,
        peers=controller.peers.values(),
        leaving=controller.listed_leaving,
        now=now,
    )


def _build_summaries(controller: Controller, *, now: int) -> dict[str, ServerSummary]:
    """Return summaries of the servers that this instance polls."""
    server_sites = {
        name: _ServerSite(server=server, site=site_name)
        for site_name, site in controller.activation.configuration.sites.items()
        for name, server in site.servers.items()
    }
    summaries: dict[str, ServerSummary] = {}
    for name, state in controller.servers.items():
        server_site = server_sites.get(name)
        if server_site is None:
            continue
        summaries[name] = build_summary(
            state,
            server=server_site.server,
            site=server_site.site,
            leaving_items=_list_leaving_items(controller, name),
            now=now,
        )
    return summaries


def _list_leaving_items(controller: Controller, server: str) -> frozenset[str]:
    stored = controller.rows.ledgers.get(server)
    if stored is None:
        return frozenset()
    return frozenset(
        entry.item
        for entry in stored.ledger.entries
        if entry.state is LedgerEntryState.UNLOADING
    )
