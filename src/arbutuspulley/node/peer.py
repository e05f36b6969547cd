"""An instance as its coordinator sees it."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from arbutuspulley.admission.freshness import MessageTimes
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import (
    CoordinatorEstimates,
    CoordinatorStatus,
    NodeInfo,
    ToNode,
    encode_frame,
)

WRITE_TIMEOUT_S = 2.0
"""How long an instance may take no bytes, in s. Its link is cut then: it hears nothing
of the coordinator anyway, and what waits for it takes memory."""


class Peer:
    """An instance that is linked to this coordinator.

    :param heard_at: when it was last heard, in ms.
    :param last_heartbeat: number of its last beat; 0: none came.
    :param heartbeats: when its beats came, by number.
    :param statuses: when digests were sent to it, by number.
    :param last_status: number of the last of them.
    :param configuration: version that it has in force, as it last said; 0: none.
    :param sent_version: version that it has or was sent last; 0: none.
    :param build_configuration: returns what leads from that version to the newest.
    :param misses_store: whether the store gives it no usable answer; ``None``: it has
        not asked lately.
    :param follows_store: whether the store has lately told it all changes.
    :param roster_sent_at: when it was last sent the whole list of instances, in ms;
        negative: not yet.
    :param is_closed: whether the link is to be closed.
    """

    __slots__ = (
        "_due_version",
        "build_configuration",
        "configuration",
        "follows_store",
        "heard_at",
        "heartbeats",
        "info",
        "is_closed",
        "last_heartbeat",
        "last_status",
        "misses_store",
        "outgoing",
        "roster_sent_at",
        "sent_version",
        "statuses",
        "wake",
    )

    def __init__(
        self,
        *,
        info: NodeInfo,
        heard_at: int,
        configuration: int,
        build_configuration: Callable[[int], ToNode],
    ) -> None:
        self.info = info
        self.heard_at = heard_at
        self.last_heartbeat = 0
        self.heartbeats = MessageTimes()
        self.last_status = 0
        self.statuses = MessageTimes()
        self.configuration = self.sent_version = configuration
        self.build_configuration = build_configuration
        self._due_version = 0
        self.outgoing: list[ToNode] = []
        self.wake = asyncio.Event()
        self.misses_store: bool | None = None
        self.follows_store = False
        self.is_closed = False
        self.roster_sent_at = -1 << 30

    def close(self) -> None:
        """Close the link once all has been sent that waits."""
        self.is_closed = True
        self.wake.set()

    def send(self, message: ToNode) -> None:
        """Send a message soon.

        A newer digest takes the place of one that still waits: on a slow link, old ones
        would queue up before what callers wait for. It goes to the end, since it speaks
        of all that was sent before it.
        """
        if isinstance(message, CoordinatorStatus | CoordinatorEstimates):
            kind = type(message)
            self.outgoing = [
                queued for queued in self.outgoing if type(queued) is not kind
            ]
        self.outgoing.append(message)
        self.wake.set()

    def send_configuration(self, version: int) -> None:
        """Send the newest configuration soon, unless the instance has it.

        Versions that are replaced before the link is free are never sent.
        """
        self._due_version = version
        if version > self.sent_version:
            self.wake.set()

    def take_outgoing(self) -> list[ToNode]:
        """Return what is to be sent now, in its order.

        The configuration goes first: digests and grants may speak of it.
        """
        messages, self.outgoing = self.outgoing, []
        if self._due_version > self.sent_version:
            messages.insert(0, self.build_configuration(self.sent_version))
            self.sent_version = self._due_version
        return messages


async def write_frames(
    peer: Peer, socket: web.WebSocketResponse, transport: asyncio.Transport | None
) -> None:
    """Send what waits for an instance until its link ends."""
    try:
        while not peer.is_closed:
            await peer.wake.wait()
            peer.wake.clear()
            frame = peer.take_outgoing()
            if frame:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await socket.send_bytes(encode_frame(frame))
        # Instances look for the next coordinator as soon as they know of the end.
        await socket.close()
    except TimeoutError:
        log_event(Event.PEER_BEHIND, instance=peer.info.name, queued=len(peer.outgoing))
        if transport is not None:
            transport.abort()
    except (aiohttp.ClientError, ConnectionError):
        return
