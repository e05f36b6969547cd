"""A linked instance as the coordinator sees it."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from arbutuspulley.admission.freshness import MessageTimes
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.frames import encode_frame
from arbutuspulley.node.messages import (
    CoordinatorEstimates,
    CoordinatorStatus,
    NodeInfo,
    ToNode,
)

WRITE_TIMEOUT_S = 2.0
"""Time for which an instance may accept no bytes, in s. Its link is then closed: it
receives nothing from the coordinator anyway, and the messages queued for it take
memory."""


ROWS_PER_FRAME = 100
"""Maximum number of rows in a frame to an instance that lacks rows, about 50 KB."""


class Peer:
    """An instance that is linked to this coordinator.

    :param last_message_at: when its last message arrived, in ms.
    :param last_heartbeat: number of its last heartbeat; 0: none arrived.
    :param heartbeats: when its heartbeats arrived, by number.
    :param statuses: when status messages were sent to it, by number.
    :param last_status: number of the last status that was sent to it.
    :param configuration: version of its active configuration, as last reported; 0:
        none.
    :param sent_version: newest version that it has or was sent; 0: none.
    :param build_configuration: returns the message that leads from a version to the
        newest.
    :param misses_store: whether the store gives it no usable answer; ``None``: it has
        not called the store recently.
    :param follows_store: whether it has recently received all changes from the store.
    :param roster_sent_at: when it was last sent the full roster, in ms; negative: not
        yet.
    :param is_closed: whether the link is to be closed.
    """

    __slots__ = (
        "_build_rows",
        "_due_version",
        "_missing_rows",
        "build_configuration",
        "configuration",
        "follows_store",
        "heartbeats",
        "info",
        "is_closed",
        "last_heartbeat",
        "last_message_at",
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
        last_message_at: int,
        configuration: int,
        build_configuration: Callable[[int], ToNode],
    ) -> None:
        self.info = info
        self.last_message_at = last_message_at
        self.last_heartbeat = 0
        self.heartbeats = MessageTimes()
        self.last_status = 0
        self.statuses = MessageTimes()
        self.configuration = self.sent_version = configuration
        self.build_configuration = build_configuration
        self._build_rows: Callable[[list[str]], ToNode] | None = None
        self._due_version = 0
        self._missing_rows: list[str] = []
        self.outgoing: list[ToNode] = []
        self.wake = asyncio.Event()
        self.misses_store: bool | None = None
        self.follows_store = False
        self.is_closed = False
        self.roster_sent_at = -1 << 30

    def close(self) -> None:
        """Close the link once all queued messages have been sent."""
        self.is_closed = True
        self.wake.set()

    def send(self, message: ToNode) -> None:
        """Queue a message.

        A newer status or newer estimates replace the ones that are still queued: on a
        slow link, old ones would delay grants. The new message is queued last, since a
        status refers to all messages that were sent before it.
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

    def send_rows(
        self, keys: list[str], build_rows: Callable[[list[str]], ToNode]
    ) -> None:
        """Send the server rows that the instance lacks, some in each frame.

        All at once, the rows of thousands of servers for hundreds of instances that
        link up together would take hundreds of MB, and the write of one frame longer
        than :data:`WRITE_TIMEOUT_S`.

        :param build_rows: returns a message with rows as they are when it is called.
        """
        self._missing_rows, self._build_rows = keys, build_rows
        if keys:
            self.wake.set()

    def pop_outgoing(self) -> list[ToNode]:
        """Return the messages to be sent now, in their order.

        The configuration comes first: status messages and grants may refer to it. While
        rows are missing, a status does not tell up to where they were sent.
        """
        messages, self.outgoing = self.outgoing, []
        if self._missing_rows and self._build_rows is not None:
            keys = self._missing_rows[:ROWS_PER_FRAME]
            self._missing_rows = self._missing_rows[ROWS_PER_FRAME:]
            if self._missing_rows:
                messages = [_remove_position(message) for message in messages]
                self.wake.set()
            messages.insert(0, self._build_rows(keys))
        if self._due_version > self.sent_version:
            messages.insert(0, self.build_configuration(self.sent_version))
            self.sent_version = self._due_version
        return messages


def _remove_position(message: ToNode) -> ToNode:
    if not isinstance(message, CoordinatorStatus):
        return message
    return msgspec.structs.replace(message, store_version=0, store_era=0, view_beat=0)


async def write_frames(
    peer: Peer, socket: web.WebSocketResponse, transport: asyncio.Transport | None
) -> None:
    """Send queued messages to an instance until its link is closed."""
    try:
        while not peer.is_closed:
            await peer.wake.wait()
            peer.wake.clear()
            frame = peer.pop_outgoing()
            if frame:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await socket.send_bytes(encode_frame(frame))
        # Instances look for the next coordinator as soon as they see the link closed.
        await socket.close()
    except TimeoutError:
        log_event(Event.PEER_BEHIND, instance=peer.info.name, queued=len(peer.outgoing))
        if transport is not None:
            transport.abort()
    except (aiohttp.ClientError, ConnectionError):
        return
