"""RPC handlers for entries, the console and peer controllers."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from typing import TypeVar

from arbutuspulley.controller import entries
from arbutuspulley.controller.demand import add_demand
from arbutuspulley.controller.exchange import build_reply
from arbutuspulley.controller.publishing import (
    build_fleet_status,
    build_instance_status,
    get_view,
    list_own_entries,
    publish,
    publish_immediately,
    sum_own_usage,
    wait_for_view,
    wait_for_view_interval,
)
from arbutuspulley.controller.state import Controller, is_store_up
from arbutuspulley.controller.suspicion_sync import notify_peers
from arbutuspulley.delivery import suspects
from arbutuspulley.delivery.claims import ClaimState, make_claim, settle_claim
from arbutuspulley.delivery.trials import record_clearance, record_deaths
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.outage import record_failure
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.rpc import channel
from arbutuspulley.rpc.messages import (
    Acknowledged,
    ClaimReply,
    ClaimRequest,
    ClearanceReport,
    DeathReport,
    EntryReport,
    ExchangeReply,
    ExchangeRequest,
    FleetStatus,
    SettleRequest,
    StatusRequest,
    SuspicionsReply,
    View,
    WatchRequest,
)
from arbutuspulley.tracing import open_span

MIN_VIEW_INTERVAL_MS = 200
"""Minimum time between two views sent to one entry."""

MAX_SETTLE_ATTEMPTS = 30
"""Maximum number of attempts to record a claim's outcome, about one a second."""

_Result = TypeVar("_Result")


def build_unary(controller: Controller) -> dict[channel.Method, channel.UnaryHandler]:
    """Return the handlers of unary methods."""
    return {
        channel.REPORT: lambda request: _apply_report(controller, request),
        channel.CLAIM: lambda request: _claim(controller, request),
        channel.SETTLE: lambda request: _settle(controller, request),
        channel.REPORT_DEATH: lambda request: _record_deaths(controller, request),
        channel.CLEAR_SUSPICION: lambda request: _clear_suspicion(controller, request),
        channel.NOTIFY_SUSPICIONS: lambda update: _apply_suspicions(controller, update),
        channel.EXCHANGE: lambda request: _exchange(controller, request),
        channel.STATUS: lambda request: _get_status(controller, request),
    }


def build_streaming(
    controller: Controller,
) -> dict[channel.Method, channel.StreamingHandler]:
    """Return the handlers of streaming methods."""
    return {channel.WATCH: lambda request: _watch(controller, request)}


async def _watch(controller: Controller, request: WatchRequest) -> AsyncIterator[View]:
    entries.begin_watch(controller.entries, request.entry, now=controller.clock.now())
    publish(controller)
    sent = -1
    try:
        while not controller.stopping:
            view = get_view(controller, request.entry.address)
            if view.number != sent:
                sent = view.number
                controller.metrics.views.inc()
                yield view
                await wait_for_view_interval(controller, MIN_VIEW_INTERVAL_MS)
            await wait_for_view(controller, sent)
    finally:
        entries.end_watch(controller.entries, request.entry)


async def _apply_report(controller: Controller, report: EntryReport) -> Acknowledged:
    now = controller.clock.now()
    entries.apply_report(controller.entries, report, now=now)
    add_demand(controller.demand, report, now=now)
    return Acknowledged()


async def _claim(controller: Controller, request: ClaimRequest) -> ClaimReply:
    """Make a claim for an entry, or refuse it at once while the store is down.

    Waiting for the store would block the caller, and claims would pile up and all reach
    the store together at the end of the outage.
    """
    if not is_store_up(controller):
        return ClaimReply(state=ClaimState.UNAVAILABLE)
    platform = controller.platform
    with open_span("claim", caller=request.caller, attempt=request.attempt_id):
        reply = await _run_in_delivery_pool(
            controller,
            lambda: make_claim(platform.table, request, objects=platform.objects),
        )
    if reply.state == ClaimState.UNAVAILABLE:
        now = controller.clock.now()
        record_failure(controller.write_outage, now=now, rng=controller.rng)
    return reply


async def _settle(controller: Controller, request: SettleRequest) -> Acknowledged:
    """Record how a claimed request ended; retry in the background if the store is down.

    The entry need not wait for it: the claim stays open until the outcome is recorded,
    and a request with an open claim is never run again.
    """
    task = asyncio.create_task(_settle_with_retries(controller, request))
    controller.settling.add(task)
    task.add_done_callback(controller.settling.discard)
    await asyncio.wait((task,), timeout=1)
    return Acknowledged()


async def _settle_with_retries(controller: Controller, request: SettleRequest) -> None:
    platform = controller.platform
    for _ in range(MAX_SETTLE_ATTEMPTS):
        try:
            await _run_in_delivery_pool(
                controller,
                lambda: settle_claim(platform.table, request, objects=platform.objects),
            )
            return
        except (PlatformUnavailableError, OutcomeUnknownError):
            await asyncio.sleep(controller.rng.uniform(0.5, 1.5))
    log_event(
        Event.CLAIM_UNSETTLED,
        level=logging.ERROR,
        caller=request.caller,
        attempt=request.attempt_id,
    )


async def _record_deaths(
    controller: Controller, report: DeathReport
) -> SuspicionsReply:
    now = controller.clock.now()
    if is_store_up(controller):
        reply = await _run_in_delivery_pool(
            controller, lambda: record_deaths(controller.platform.table, report)
        )
    else:
        reply = _record_deaths_locally(controller, report)
    suspects.merge(controller.suspects, reply.suspicions, now=now)
    for suspicion in reply.suspicions:
        log_event(Event.SUSPECT_RECORDED, fingerprint=suspicion.fingerprint)
    publish_immediately(controller)
    await notify_peers(controller, reply.suspicions)
    return reply


async def _apply_suspicions(
    controller: Controller, update: SuspicionsReply
) -> Acknowledged:
    now = controller.clock.now()
    suspects.merge(controller.suspects, update.suspicions, now=now)
    publish_immediately(controller)
    return Acknowledged()


def _record_deaths_locally(
    controller: Controller, report: DeathReport
) -> SuspicionsReply:
    """Record deaths in memory while the store is down; peers are notified as usual.

    A trial is not granted: another instance could run the same request concurrently.
    """
    if report.trial_id:
        return SuspicionsReply()
    now = controller.clock.now()
    suspicions = tuple(
        suspects.record_death(
            controller.suspects,
            fingerprint=fingerprint,
            server=report.server,
            boot_id=report.boot_id,
            now=now,
        )
        for fingerprint in report.fingerprints
    )
    return SuspicionsReply(suspicions=suspicions)


async def _clear_suspicion(
    controller: Controller, report: ClearanceReport
) -> Acknowledged:
    try:
        suspicion = await _run_in_delivery_pool(
            controller, lambda: record_clearance(controller.platform.table, report)
        )
    except (PlatformUnavailableError, OutcomeUnknownError):
        suspicion = None
    if suspicion is not None:
        now = controller.clock.now()
        suspects.merge(controller.suspects, (suspicion,), now=now)
        publish(controller)
    return Acknowledged()


async def _exchange(controller: Controller, request: ExchangeRequest) -> ExchangeReply:
    return build_reply(
        controller.outgoing_updates,
        request,
        instance=controller.settings.instance,
        configuration=controller.activation.configuration,
        entries=list_own_entries(controller),
        usage=sum_own_usage(controller),
        status=build_instance_status(controller),
    )


async def _get_status(controller: Controller, request: StatusRequest) -> FleetStatus:
    return build_fleet_status(controller, after=request.configuration_after)


async def _run_in_delivery_pool(
    controller: Controller, function: Callable[[], _Result]
) -> _Result:
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(controller.pools.delivery, function)
