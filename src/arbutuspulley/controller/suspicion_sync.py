"""Synchronises this instance's suspicions with the table and with its peers."""

import asyncio
from collections.abc import Iterable

from arbutuspulley.controller.exchange import is_unreachable
from arbutuspulley.controller.platform_calls import call_platform
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.delivery import suspects
from arbutuspulley.delivery.trials import delete_suspicion, read_suspicions
from arbutuspulley.membership.ownership import choose_poller
from arbutuspulley.rpc.channel import NOTIFY_SUSPICIONS, Client, PeerUnavailableError
from arbutuspulley.rpc.messages import Suspicion, SuspicionsReply

NOTIFY_TIMEOUT_MS = 300
"""Timeout of a call that sends suspicions to a peer."""


class SuspicionCursor(State):
    """Position in the table after which the next read of suspicions starts."""

    revision: int = 0
    table_id: str = ""


async def follow_suspicions(controller: Controller, cursor: SuspicionCursor) -> None:
    """Read suspicions that changed, and delete those that have expired.

    :raises PlatformUnavailableError: if the platform did not answer.
    """
    if cursor.table_id != controller.rows.table_id:
        cursor.revision, cursor.table_id = 0, controller.rows.table_id
    table, after = controller.platform.table, cursor.revision
    page = await call_platform(controller, lambda: read_suspicions(table, after=after))
    cursor.revision = page.revision
    now = controller.clock.now()
    suspects.merge(controller.suspects, page.suspicions, now=now)
    stored = dict(controller.suspects.suspicions)
    for fingerprint in suspects.evict_expired(controller.suspects, now=now):
        await _delete_row(controller, stored[fingerprint])


async def notify_peers(controller: Controller, suspicions: Iterable[Suspicion]) -> None:
    """Send suspicions to all reachable peers and wait until they have applied them.

    The caller of a request under which a server died may resend it as soon as it gets
    its error, through an entry that doesn't know the suspicion yet and lets it run: one
    more server would be lost at each such entry. So the peers are notified before the
    reply is sent, not by the next exchange up to a second later. A disconnected peer
    gets the suspicion from the table or an exchange; the wait for it is bounded by the
    timeout.
    """
    update = SuspicionsReply(suspicions=tuple(suspicions))
    if not update.suspicions:
        return
    now = controller.clock.now()
    clients = [
        controller.clients[address]
        for address, peer in controller.peers.items()
        if address in controller.clients and not is_unreachable(peer, now=now)
    ]
    await asyncio.gather(*(_notify(client, update) for client in clients))


async def _notify(client: Client, update: SuspicionsReply) -> None:
    try:
        await client.call(NOTIFY_SUSPICIONS, update, timeout_ms=NOTIFY_TIMEOUT_MS)
    except PeerUnavailableError:
        return


async def _delete_row(controller: Controller, suspicion: Suspicion) -> None:
    """Delete a suspicion's row on one chosen instance, as all expire it together."""
    chosen = choose_poller(suspicion.fingerprint, candidates=controller.live)
    if chosen != controller.settings.instance:
        return
    table = controller.platform.table
    await call_platform(
        controller,
        lambda: delete_suspicion(table, suspicion.fingerprint, seen=suspicion),
    )
