"""An instance as its coordinator sees it."""

import asyncio

from arbutuspulley.node.messages import NodeInfo, ToNode


class Peer:
    """An instance that is linked to this coordinator.

    :param heard_at: when it was last heard, in ms.
    """

    __slots__ = ("heard_at", "info", "misses_store", "outgoing", "wake")

    def __init__(self, *, info: NodeInfo, heard_at: int) -> None:
        self.info = info
        self.heard_at = heard_at
        self.outgoing: list[ToNode] = []
        self.wake = asyncio.Event()
        self.misses_store = False

    def send(self, message: ToNode) -> None:
        """Send a message soon."""
        self.outgoing.append(message)
        self.wake.set()
