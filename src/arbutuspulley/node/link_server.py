"""The coordinator's end of the links of other instances."""

import asyncio

import aiohttp
from aiohttp import web

from arbutuspulley.decoding import UndecodableError
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.frames import decode_from_node
from arbutuspulley.node.peer import Peer, write_frames
from arbutuspulley.node.state import NodeState

MAX_FRAME_BYTES = 1 << 20


async def serve_link(
    state: NodeState, coordinator: Coordinator, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve one instance's link until it is closed."""
    socket = web.WebSocketResponse(compress=False, max_msg_size=MAX_FRAME_BYTES)
    await socket.prepare(request)
    if not coordinator.is_active:
        await socket.close()
        return socket
    peer: Peer | None = None
    writer: asyncio.Task[None] | None = None
    try:
        async for message in socket:
            is_frame = message.type is aiohttp.WSMsgType.BINARY
            if not is_frame or not coordinator.is_active:
                break
            messages = decode_from_node(message.data)
            if peer is None:
                peer = coordinator.add_peer(messages)
                if peer is None:
                    break
                writer = asyncio.create_task(
                    write_frames(peer, socket, request.transport)
                )
            peer.last_message_at = state.clock.now()
            coordinator.handle_messages(peer.info.name, messages)
    except UndecodableError as error:
        log_event(Event.PEER_DOWN, detail=f"unreadable frame: {error}")
    finally:
        if writer is not None:
            writer.cancel()
        if peer is not None:
            coordinator.remove_peer(peer)
    return socket
