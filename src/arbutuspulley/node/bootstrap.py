"""Start-up with the help of other instances' snapshots.

A process that starts during an outage of the store has no configuration, and without
one it can't serve callers. One that starts as the store has come back from an older
copy reads an older configuration there. Other instances still have the newest one.
"""

import asyncio

import aiohttp
import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Message
from arbutuspulley.decoding import decode_msgpack
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.link import Link
from arbutuspulley.node.server_rows import load_entries
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_watch import activate_configuration

SNAPSHOT_PATH = "/snapshot"
"""Path at an instance's link address."""

STORE_HEAD_START_MS = 600
"""How long only the store is called after the start, in ms; it usually answers within a
few ms."""

POLL_INTERVAL_MS = 700
"""Time between rounds of snapshot requests, in ms."""

REQUEST_TIMEOUT_S = 0.5
"""Timeout of a snapshot request, in s."""


class Snapshot(Message, frozen=True):
    """Snapshot of an instance's configuration and server entries.

    :param configuration: configuration as stored; empty: none.
    :param servers: server entries as stored, by server id.
    :param coordinator: link address of the coordinator; empty: unknown.
    :param is_confirmed: whether it was ever confirmed that no newer configuration
        existed than that one, or one before it.
    """

    configuration: bytes
    servers: dict[str, bytes]
    coordinator: str
    is_confirmed: bool = False


def build_snapshot(state: NodeState, link: Link) -> bytes:
    """Encode a snapshot of this instance."""
    own = state.settings.link if link.deliver_local is not None else ""
    snapshot = Snapshot(
        configuration=state.configuration_body,
        servers=state.entry_bodies,
        coordinator=own or link.address,
        is_confirmed=state.freshness.confirmed_at is not None,
    )
    return msgspec.msgpack.encode(snapshot)


async def bootstrap_from_neighbours(state: NodeState, link: Link) -> None:
    """Request snapshots from the configured seeds until a configuration is active."""
    await asyncio.sleep(STORE_HEAD_START_MS / SECOND_MS)
    while state.configuration is None:
        for address in state.settings.seeds:
            if address == state.settings.link or state.configuration is not None:
                continue
            snapshot = await _fetch(state, address)
            if snapshot is not None:
                _apply_snapshot(state, link, snapshot, address)
        await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS)


async def update_from_neighbours(state: NodeState) -> bool:
    """Activate the newest configuration that the configured seeds have.

    :return: whether one of them knows what was newest at some time.
    """
    addresses = [one for one in state.settings.seeds if one != state.settings.link]
    snapshots = await asyncio.gather(*(_fetch(state, one) for one in addresses))
    confirmed = [one for one in snapshots if one is not None and one.is_confirmed]
    for snapshot in confirmed:
        if snapshot.configuration:
            activate_configuration(state, snapshot.configuration, by="neighbour")
    return bool(confirmed)


def _apply_snapshot(
    state: NodeState, link: Link, snapshot: Snapshot, address: str
) -> None:
    if not snapshot.configuration:
        return
    activate_configuration(state, snapshot.configuration, by="neighbour")
    load_entries(state, snapshot.servers)
    log_event(Event.CONFIGURATION_FROM_PEER, link=address)
    if snapshot.coordinator and not link.is_up:
        link.connect_to(snapshot.coordinator)


async def _fetch(state: NodeState, address: str) -> Snapshot | None:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    url = f"http://{address}{SNAPSHOT_PATH}"
    try:
        async with state.session.get(
            url, timeout=timeout, allow_redirects=False
        ) as answer:
            body = await answer.read()
            return decode_msgpack(body, Snapshot)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        log_event(Event.PEER_DOWN, link=address, detail=type(error).__name__)
        return None
