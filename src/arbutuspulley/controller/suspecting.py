"""Keeps this instance's suspicions in step with the table."""

import asyncio
from collections.abc import Iterable

from arbutuspulley.controller.asking import ask
from arbutuspulley.controller.exchange import is_silent
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.delivery import suspects
from arbutuspulley.delivery.trials import delete_suspicion, read_suspicions
from arbutuspulley.membership.ownership import choose_poller
from arbutuspulley.rpc.channel import TELL_SUSPICIONS, Client, PeerUnavailableError
from arbutuspulley.rpc.messages import Suspicion, SuspicionsReply

TELL_TIMEOUT_MS = 300
"""Longest wait for peers to take in suspicions."""


class SuspectRows(State):
    """Where reading of suspicions goes on."""

    revision: int = 0
    table_id: str = ""


async def follow_suspects(controller: Controller, rows: SuspectRows) -> None:
    """Read suspicions that changed, and drop those that are over.

    :raises PlatformUnavailableError: if the platform did not answer.
    """
    if rows.table_id != controller.rows.table_id:
        rows.revision, rows.table_id = 0, controller.rows.table_id
    table, after = controller.platform.table, rows.revision
    page = await ask(controller, lambda: read_suspicions(table, after=after))
    rows.revision = page.revision
    now = controller.clock.now()
    suspects.merge(controller.suspects, page.suspicions, now=now)
    known = dict(controller.suspects.suspicions)
    for fingerprint in suspects.evict_expired(controller.suspects, now=now):
        await _forget_row(controller, known[fingerprint])


async def tell_peers(controller: Controller, suspicions: Iterable[Suspicion]) -> None:
    """Tell all peers that answer of suspicions, and wait until they know.

    The caller of a request that a server died under may send it again as soon as it
    has its answer, through an entry that has heard nothing and takes it for harmless:
    one more server would be lost at each. So the peers are told before the answer
    goes out, not by the next exchange up to a second later. A peer that is cut off
    learns from the table or an exchange; nobody waits longer than the timeout for it.
    """
    told = SuspicionsReply(suspicions=tuple(suspicions))
    if not told.suspicions:
        return
    now = controller.clock.now()
    clients = [
        controller.clients[address]
        for address, peer in controller.peers.items()
        if address in controller.clients and not is_silent(peer, now=now)
    ]
    await asyncio.gather(*(_tell(client, told) for client in clients))


async def _tell(client: Client, told: SuspicionsReply) -> None:
    try:
        await client.call(TELL_SUSPICIONS, told, timeout_ms=TELL_TIMEOUT_MS)
    except PeerUnavailableError:
        return


async def _forget_row(controller: Controller, suspicion: Suspicion) -> None:
    """Delete a suspicion's row; one instance does, since all drop it together."""
    chosen = choose_poller(suspicion.fingerprint, candidates=controller.live)
    if chosen != controller.settings.instance:
        return
    table = controller.platform.table
    await ask(
        controller,
        lambda: delete_suspicion(table, suspicion.fingerprint, seen=suspicion),
    )
