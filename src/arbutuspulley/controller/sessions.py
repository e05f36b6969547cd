"""Renews the session lease; claims servers, hands them over and releases them."""

import asyncio
import logging
import uuid

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.controller.platform_calls import call_platform, transact
from arbutuspulley.controller.state import Controller
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership import lease as leases
from arbutuspulley.membership.lease import Renewal
from arbutuspulley.membership.observation import list_stale_rows
from arbutuspulley.membership.ownership import (
    OwnerRow,
    build_claim,
    build_release,
    choose_claims,
    choose_poller,
    choose_reclaims,
    choose_releases,
    list_owned,
)
from arbutuspulley.membership.records import (
    build_session_key,
    decode_session,
    encode,
)
from arbutuspulley.ports.platform import (
    ABSENT,
    Committed,
    Conflict,
    Precondition,
    Transaction,
    Write,
)
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

MAX_RENEWALS_PER_ROUND = 2
"""Maximum number of renewals sent in one round."""

RELEASE_TIMEOUT_MS = 3 * SECOND_MS
"""Timeout of the release at shutdown; a lease that isn't released expires."""


def may_order(controller: Controller, server: str) -> bool:
    """Return whether this instance certainly owns a server now."""
    if not leases.may_order(controller.lease, now=controller.clock.now()):
        return False
    row = controller.rows.owners.get(server)
    return row is not None and row.record.session == controller.lease.session


def get_owned(controller: Controller) -> dict[str, OwnerRow]:
    """Return the owned servers; none if the lease may have expired."""
    if not leases.may_order(controller.lease, now=controller.clock.now()):
        return {}
    return list_owned(controller.rows.owners, session=controller.lease.session)


async def renew_lease(controller: Controller) -> None:
    """Renew the lease, under a new session if it expired.

    A renewal that conflicts with an earlier one whose reply was lost is sent again.
    """
    if controller.lease.revision is None:
        await _read_own_row(controller)
    for _ in range(MAX_RENEWALS_PER_ROUND):
        if await _renew_once(controller):
            return


async def _renew_once(controller: Controller) -> bool:
    """Send one renewal.

    :return: whether no immediate retry is needed.
    """
    lease = controller.lease
    now = controller.clock.now()
    was_held = lease.sent_at is not None
    before = lease.session
    renewal = leases.begin_renewal(lease, now=now, rng=controller.rng)
    if renewal is None:
        controller.metrics.renewals.labels("kept_out").inc()
        return True
    if was_held and renewal.session != before:
        log_event(Event.LEASE_LAPSED, level=logging.WARNING, session=before)
    try:
        outcome = await _send_renewal(controller, renewal)
    except (PlatformUnavailableError, OutcomeUnknownError):
        controller.metrics.renewals.labels("unknown").inc()
        raise
    if isinstance(outcome, Conflict):
        controller.metrics.renewals.labels("conflict").inc()
        await _resolve_conflict(controller)
        return lease.displaced_at is not None
    was_new = lease.sent_at is None
    leases.confirm_renewal(lease, renewal, revision=outcome.revision)
    controller.metrics.renewals.labels("confirmed").inc()
    if was_new and lease.sent_at is not None:
        log_event(Event.LEASE_TAKEN, session=lease.session)
    return True


async def balance_servers(controller: Controller, *, busy: frozenset[str]) -> None:
    """Claim servers for this instance, or hand over those beyond its share.

    :param busy: servers with an order in flight, which are not handed over now.
    """
    if controller.stopping:
        return
    now = controller.clock.now()
    if not leases.may_order(controller.lease, now=now):
        return
    servers = tuple(list_servers(controller.activation.configuration))
    reclaims = choose_reclaims(get_owned(controller), fences=controller.rows.fences)
    claims = reclaims or choose_claims(
        instance=controller.settings.instance,
        servers=servers,
        owners=controller.rows.owners,
        sessions=controller.sessions,
    )
    if claims:
        await _claim(controller, claims)
        return
    releases = choose_releases(
        instance=controller.settings.instance,
        servers=servers,
        owned=[name for name in get_owned(controller) if name not in busy],
        live=controller.live,
        unchanged_ms=now - controller.live_since,
        lease_ms=controller.settings.lease_ms,
    )
    if releases:
        await _hand_over(controller, releases)


async def delete_stale_sessions(controller: Controller) -> None:
    """Delete session rows of instances that are gone; one instance deletes each row."""
    referenced = frozenset(
        row.record.session for row in controller.rows.owners.values()
    )
    for row in list_stale_rows(controller.sessions, referenced=referenced):
        chosen = choose_poller(row.instance, candidates=controller.live)
        if chosen != controller.settings.instance:
            continue
        key = build_session_key(controller.settings.group, row.instance)
        transaction = Transaction(
            token=uuid.uuid4().hex,
            preconditions=(Precondition(key=key, revision=row.revision),),
            writes=(Write(key=key, value=None),),
        )
        await transact(controller, transaction)


async def release_all(controller: Controller) -> None:
    """Release the owned servers and the lease at shutdown, with a timeout.

    Other instances can then claim the servers at once. If the store is down, they wait
    until the lease expires instead; the process ends nevertheless.
    """
    lease = controller.lease
    rows = list(get_owned(controller).values())
    if lease.revision is None or lease.sent_at is None:
        return
    transaction = build_release(
        rows,
        group=controller.settings.group,
        token=uuid.uuid4().hex,
        session_row=(lease.instance, lease.revision),
    )
    session = lease.session
    leases.abandon(lease)
    try:
        outcome = await asyncio.wait_for(
            transact(controller, transaction), RELEASE_TIMEOUT_MS / SECOND_MS
        )
    except (PlatformUnavailableError, OutcomeUnknownError, TimeoutError):
        log_event(
            Event.LEASE_RELEASED,
            level=logging.WARNING,
            session=session,
            detail="the store did not answer; the lease will expire",
        )
        return
    done = isinstance(outcome, Committed)
    log_event(Event.LEASE_RELEASED, session=session, servers=len(rows), committed=done)


async def _read_own_row(controller: Controller) -> None:
    key = build_session_key(controller.settings.group, controller.lease.instance)
    row = await call_platform(controller, lambda: controller.platform.table.read(key))
    leases.adopt_row(controller.lease, revision=row.revision if row else ABSENT)


async def _send_renewal(
    controller: Controller, renewal: Renewal
) -> Committed | Conflict:
    settings = controller.settings
    key = build_session_key(settings.group, settings.instance)
    record = leases.build_record(
        renewal,
        instance=settings.instance,
        site=settings.site,
        address=settings.advertise or settings.listen,
        entries=tuple(sorted(controller.entries)),
    )
    transaction = Transaction(
        token=uuid.uuid4().hex,
        preconditions=(Precondition(key=key, revision=renewal.revision),),
        writes=(Write(key=key, value=encode(record)),),
    )
    return await transact(
        controller, transaction, pool=controller.pools.lease, max_attempts=1
    )


async def _resolve_conflict(controller: Controller) -> None:
    key = build_session_key(controller.settings.group, controller.lease.instance)
    row = await call_platform(controller, lambda: controller.platform.table.read(key))
    leases.resolve_conflict(
        controller.lease,
        decode_session(row.value) if row else None,
        revision=row.revision if row else ABSENT,
        now=controller.clock.now(),
    )
    if controller.lease.displaced_at is not None:
        log_event(
            Event.LEASE_LAPSED,
            level=logging.ERROR,
            detail="another process uses this instance's name",
        )


async def _claim(controller: Controller, servers: tuple[str, ...]) -> None:
    transaction = build_claim(
        servers,
        group=controller.settings.group,
        token=uuid.uuid4().hex,
        lease=controller.lease,
        owners=controller.rows.owners,
        sessions=controller.sessions,
        fences=controller.rows.fences,
    )
    outcome = await transact(controller, transaction)
    if isinstance(outcome, Conflict):
        return
    controller.metrics.claims.inc(len(servers))
    for server in servers:
        fence = controller.rows.owners[server].record.fence
        log_event(Event.SERVER_CLAIMED, server=server, fence=fence)


async def _hand_over(controller: Controller, servers: tuple[str, ...]) -> None:
    transaction = build_release(
        [controller.rows.owners[server] for server in servers],
        group=controller.settings.group,
        token=uuid.uuid4().hex,
    )
    outcome = await transact(controller, transaction)
    if isinstance(outcome, Conflict):
        return
    controller.metrics.releases.inc(len(servers))
    for server in servers:
        log_event(Event.SERVER_RELEASED, server=server)
