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
    :param beat: number of its last beat; 0: none came.
    :param beats: when its beats came, by number.
    :param digests: when digests were sent to it, by number.
    :param digest: number of the last of them.
    :param configuration: version that it has in force, as it last said; 0: none.
    :param told: version that it has or was sent last; 0: none.
    :param build_configuration: returns what leads from that version to the newest.
    :param misses_store: whether the store gives it no usable answer; ``None``: it has
        not asked lately.
    :param follows_store: whether the store has lately told it all changes.
    :param roster_at: when it was last sent the whole list of instances, in ms;
        negative: not yet.
    :param is_ended: whether the link is to be closed.
    """

    __slots__ = (
        "_due",
        "beat",
        "beats",
        "build_configuration",
        "configuration",
        "digest",
        "digests",
        "follows_store",
        "heard_at",
        "info",
        "is_ended",
        "misses_store",
        "outgoing",
        "roster_at",
        "told",
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
        self.beat = 0
        self.beats = MessageTimes()
        self.digest = 0
        self.digests = MessageTimes()
        self.configuration = self.told = configuration
        self.build_configuration = build_configuration
        self._due = 0
        self.outgoing: list[ToNode] = []
        self.wake = asyncio.Event()
        self.misses_store: bool | None = None
        self.follows_store = False
        self.is_ended = False
        self.roster_at = -1 << 30

    def end(self) -> None:
        """Close the link once all has been sent that waits."""
        self.is_ended = True
        self.wake.set()

    def send(self, message: ToNode) -> None:
        """Send a message soon.

        A newer digest takes the place of one that still waits: on a slow link, old ones
        would queue up before what callers wait for. It goes to the end, since it speaks
        of all that was sent before it.
        """
        if isinstance(message, CoordinatorStatus | CoordinatorEstimates):
            kind = type(message)
            self.outgoing = [one for one in self.outgoing if type(one) is not kind]
        self.outgoing.append(message)
        self.wake.set()

    def tell_configuration(self, version: int) -> None:
        """Send the newest configuration soon, unless the instance has it.

        Versions that are replaced before the link is free are never sent.
        """
        self._due = version
        if version > self.told:
            self.wake.set()

    def take_outgoing(self) -> list[ToNode]:
        """Return what is to be sent now, in its order.

        The configuration goes first: digests and grants may speak of it.
        """
        taken, self.outgoing = self.outgoing, []
        if self._due > self.told:
            taken.insert(0, self.build_configuration(self.told))
            self.told = self._due
        return taken


async def write_frames(
    peer: Peer, socket: web.WebSocketResponse, transport: asyncio.Transport | None
) -> None:
    """Send what waits for an instance until its link ends."""
    try:
        while not peer.is_ended:
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
