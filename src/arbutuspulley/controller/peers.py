"""Polls peer controllers for changes of their state."""

import asyncio
import logging

import msgspec

from arbutuspulley.configuration.activation import activate_if_newer, is_ready
from arbutuspulley.controller.configuration_sync import log_activation
from arbutuspulley.controller.exchange import (
    PeerState,
    apply_reply,
    build_request,
    choose_configuration_source,
    is_unreachable,
)
from arbutuspulley.controller.state import Controller
from arbutuspulley.delivery import suspects
from arbutuspulley.events import Event, log_event
from arbutuspulley.rpc.channel import EXCHANGE, Client, PeerUnavailableError
from arbutuspulley.rpc.messages import ExchangeReply

EXCHANGE_TIMEOUT_MS = 2_000
"""Timeout of a call to a peer."""

INITIAL_BACKOFF_MS = 250
"""Maximum backoff after a first failure; doubles up to :data:`MAX_BACKOFF_MS`."""

MAX_BACKOFF_MS = 4_000
"""Maximum backoff between two calls to a peer that does not answer."""


async def exchange_with_all(controller: Controller) -> None:
    """Poll every peer that is due, concurrently, and apply their replies."""
    await _update_peers(controller)
    now = controller.clock.now()
    due = [peer for peer in controller.peers.values() if now >= peer.next_call_at]
    version = controller.activation.configuration.version
    source = choose_configuration_source(
        due, version=version, now=now, rng=controller.rng
    )
    await asyncio.gather(
        *(
            _exchange(controller, peer, version=version if peer is source else None)
            for peer in due
        )
    )


async def close_all(controller: Controller) -> None:
    """Close the connections to all peers."""
    for client in controller.clients.values():
        await client.close()


async def _update_peers(controller: Controller) -> None:
    """Keep one peer for each session row and each address in the settings.

    A peer that is in neither is removed once it is unreachable.
    """
    settings = controller.settings
    wanted = set(settings.peers)
    for row in controller.sessions.rows.values():
        if row.record is not None and row.instance != settings.instance:
            wanted.add(row.record.address)
    wanted -= {settings.listen, settings.advertise}
    for address in wanted - controller.peers.keys():
        controller.peers[address] = PeerState(address=address)
        controller.clients[address] = Client(address=address, key=settings.peer_key)
    now = controller.clock.now()
    for address in controller.peers.keys() - wanted:
        if is_unreachable(controller.peers[address], now=now):
            del controller.peers[address]
            await controller.clients.pop(address).close()


async def _exchange(
    controller: Controller, peer: PeerState, *, version: int | None
) -> None:
    request = build_request(
        peer,
        instance=controller.settings.instance,
        configuration_version=version,
        items=(),
    )
    sent_at = controller.clock.now()
    client = controller.clients[peer.address]
    try:
        reply = await client.call(EXCHANGE, request, timeout_ms=EXCHANGE_TIMEOUT_MS)
    except PeerUnavailableError as error:
        _record_failure(controller, peer, error.detail)
        return
    assert isinstance(reply, ExchangeReply)
    _apply(controller, peer, reply, sent_at=sent_at)


def _apply(
    controller: Controller, peer: PeerState, reply: ExchangeReply, *, sent_at: int
) -> None:
    now = controller.clock.now()
    controller.metrics.exchanges.labels("ok").inc()
    controller.metrics.exchange_bytes.inc(len(msgspec.msgpack.encode(reply)))
    if apply_reply(peer, reply, now=sent_at):
        log_event(Event.PEER_UP, peer=reply.instance, address=peer.address)
    suspects.merge(controller.suspects, reply.suspicions, now=now)
    if reply.configuration is None:
        return
    was_ready = is_ready(controller.activation)
    result = activate_if_newer(controller.activation, reply.configuration)
    log_activation(controller, result)
    if result.applied and not was_ready:
        version = controller.activation.configuration.version
        log_event(Event.CONFIGURATION_FROM_PEER, peer=reply.instance, version=version)


def _record_failure(controller: Controller, peer: PeerState, detail: str) -> None:
    controller.metrics.exchanges.labels("failed").inc()
    now = controller.clock.now()
    peer.failures += 1
    if peer.failures == 2 and peer.replied_at is not None:
        log_event(
            Event.PEER_DOWN, level=logging.WARNING, peer=peer.instance, detail=detail
        )
    backoff_ms = min(
        MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** min(peer.failures - 1, 8)
    )
    peer.next_call_at = now + controller.rng.randint(backoff_ms // 2, backoff_ms)
