"""Listeners and connections in memory, with delays, cuts and resets."""

import asyncio
import contextvars
import enum
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.simulation.party import Party, get_party

if TYPE_CHECKING:
    from arbutuspulley.simulation.loop import VirtualLoop

Address = tuple[str, int]

DELAY_MS = (0.2, 1.5)
"""Shortest and longest time that bytes take one way, in ms."""

ORDER_S = 1e-6
"""Least time between two arrivals at one end, in s: timers of one time have no order.
"""

SILENCE_S = 2.5
"""Time after which an end that a cut has silenced gives its connection up, in s."""

MAX_UNREAD_BYTES = 65_536
"""Bytes that a receiver does not read after which its sender is told to wait."""

FIRST_PORT = 20_000
"""First of the ports that are handed out."""


class Cut(enum.Enum):
    """What happens to connections between two parties that are cut off."""

    RESET = enum.auto()
    SILENT = enum.auto()


class _Socket:
    """The socket of an accepted connection or a listener, of which options are kept."""

    __slots__ = ("_address", "_options", "family", "proto", "type")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._options: dict[tuple[int, int], Any] = {}
        self.family = socket.AF_INET
        self.type = socket.SOCK_STREAM
        self.proto = socket.IPPROTO_TCP

    def getsockname(self) -> Address:
        return self._address

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        self._options[level, option] = value

    def getsockopt(self, level: int, option: int, _size: int = 0) -> Any:
        return self._options.get((level, option), bytes(struct.calcsize("ii")))

    def close(self) -> None:
        pass


class Listener(asyncio.AbstractServer):
    """A port that accepts connections for a party."""

    def __init__(
        self,
        *,
        network: "Network",
        factory: Callable[[], asyncio.BaseProtocol],
        address: Address,
        party: Party | None,
    ) -> None:
        self._network = network
        self.factory = factory
        self.address = address
        self.party = party
        self.context = contextvars.copy_context()
        self.sockets = (_Socket(address),)

    def close(self) -> None:
        """Accept no further connections."""
        self._network.stop_listening(self)

    def is_serving(self) -> bool:
        """Return whether connections are accepted."""
        return self._network.find_listener(self.address) is self

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """Return the simulation's loop."""
        return asyncio.get_running_loop()

    async def start_serving(self) -> None:
        """Return at once: a listener accepts connections from the start."""

    async def serve_forever(self) -> None:
        """Wait until cancelled."""
        await asyncio.get_running_loop().create_future()

    async def wait_closed(self) -> None:
        """Return at once: open connections are not waited for."""


class MemoryTransport(asyncio.Transport):
    """One end of a connection.

    :param sock: where its options are kept.
    """

    def __init__(
        self,
        *,
        network: "Network",
        party: Party | None,
        context: contextvars.Context,
        sock: Any,
        addresses: tuple[Address, Address],
    ) -> None:
        super().__init__(
            {"socket": sock, "sockname": addresses[0], "peername": addresses[1]}
        )
        self._network = network
        self._protocol: Any = None
        self._sock = sock
        self._is_paused = False
        self._is_closing = False
        self._is_lost = False
        self._has_sent_eof = False
        # What has arrived and was not handed over; ``None``: the other end closed.
        self._arrived: deque[bytes | None] = deque()
        self._arrived_bytes = 0
        self.party = party
        self.context = context
        self.peer: MemoryTransport = self
        # When the bytes sent last arrive.
        self.arrival_s = 0.0
        # What is due at the other end and kept from it by a cut.
        self.held: deque[tuple[Callable[..., None], object]] = deque()

    def start(self, protocol: asyncio.BaseProtocol) -> None:
        """Begin to hand over what arrives."""
        self._protocol = protocol
        protocol.connection_made(self)
        self._network.call(self, self._hand_over)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def is_closing(self) -> bool:
        """Return whether this end is closed or being closed."""
        return self._is_closing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the other end."""
        if data and not self._is_closing and not self._has_sent_eof:
            self._network.carry(self, self.peer.receive, bytes(data))

    def can_write_eof(self) -> bool:
        """Return ``True``: one direction may be closed alone."""
        return True

    def write_eof(self) -> None:
        """Close the sending direction."""
        if not self._has_sent_eof:
            self._has_sent_eof = True
            self._network.carry(self, self.peer.receive, None)

    def close(self) -> None:
        """Close this end; what was sent still arrives, unless the socket resets."""
        if self._is_closing:
            return
        if self._resets_on_close():
            self.abort()
            return
        self.write_eof()
        self._is_closing = True
        self._network.call(self, self.lose, None)

    def abort(self) -> None:
        """Reset the connection."""
        if self._is_lost:
            return
        self._is_closing = True
        self._network.carry(self, self.peer.lose, ConnectionResetError("reset"))
        self._network.call(self, self.lose, None)

    def pause_reading(self) -> None:
        """Hand over nothing until reading is resumed."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Hand over what has arrived."""
        self._is_paused = False
        self._network.call(self, self._hand_over)

    def is_reading(self) -> bool:
        """Return whether what arrives is handed over."""
        return not self._is_paused and not self._is_closing

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Ignore the limits: those of the network are the same for all."""

    def get_write_buffer_size(self) -> int:
        """Return how much the other end has not read, in bytes."""
        return self.peer._arrived_bytes

    def receive(self, data: bytes | None) -> None:
        """Take what the other end sent; ``None``: it closed its direction."""
        if self._is_lost:
            if data:
                # As TCP does: bytes for a closed end are answered by a reset.
                self._network.carry(self, self.peer.lose, ConnectionResetError("reset"))
            return
        before = self._arrived_bytes
        self._arrived.append(data)
        self._arrived_bytes += len(data or b"")
        if before <= MAX_UNREAD_BYTES < self._arrived_bytes:
            self._network.call(self.peer, self.peer.pause_writer)
        self._network.call(self, self._hand_over)

    def _hand_over(self) -> None:
        while self._arrived and not self._is_paused and self._protocol is not None:
            if self._is_closing:
                self._arrived.clear()
                return
            data = self._arrived.popleft()
            if data is None:
                if not self._protocol.eof_received():
                    self.close()
                continue
            before = self._arrived_bytes
            self._arrived_bytes -= len(data)
            if self._arrived_bytes <= MAX_UNREAD_BYTES < before:
                self._network.call(self.peer, self.peer.resume_writer)
            self._protocol.data_received(data)

    def pause_writer(self) -> None:
        """Tell the protocol that the other end does not read."""
        if not self._is_lost and self._protocol is not None:
            self._protocol.pause_writing()

    def resume_writer(self) -> None:
        """Tell the protocol that the other end reads again."""
        if not self._is_lost and self._protocol is not None:
            self._protocol.resume_writing()

    def lose(self, error: Exception | None) -> None:
        """End this end of the connection."""
        if self._is_lost:
            return
        self._is_closing = self._is_lost = True
        self._network.forget(self)
        self._sock.close()
        if self._protocol is not None:
            self._network.call(self, self._protocol.connection_lost, error)

    def close_socket(self) -> None:
        """Close the socket that stands for the connection."""
        self._sock.close()

    def _resets_on_close(self) -> bool:
        linger = self._sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.calcsize("ii")
        )
        is_on, seconds = struct.unpack("ii", linger)
        return bool(is_on) and seconds == 0


class Network:
    """All listeners and connections of a simulation.

    Bytes of one direction arrive in order, each after a random delay.

    :param seed: from which the delays are drawn.
    """

    __slots__ = (
        "_connecting",
        "_cuts",
        "_ends",
        "_listeners",
        "_loop",
        "_port",
        "_rng",
    )

    def __init__(self, *, seed: int) -> None:
        self._rng = random.Random(seed)
        self._listeners: dict[Address, Listener] = {}
        # Client ends that have no protocol yet, by their sockets' descriptors.
        self._connecting: dict[int, MemoryTransport] = {}
        self._ends: dict[MemoryTransport, None] = {}
        self._cuts: dict[frozenset[str], Cut] = {}
        self._port = FIRST_PORT

    def attach(self, loop: "VirtualLoop") -> None:
        """Use a loop, once, before anything else."""
        self._loop = loop

    def listen(
        self, factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> Listener:
        """Accept connections at an address.

        :raises OSError: if another listener has it.
        """
        host, port = address
        address = (host, port or self.find_port())
        if address in self._listeners:
            raise OSError(f"{address} is in use")
        listener = Listener(
            network=self, factory=factory, address=address, party=get_party()
        )
        self._listeners[address] = listener
        return listener

    def find_port(self) -> int:
        """Return a port that nobody uses."""
        self._port += 1
        return self._port

    def find_listener(self, address: Address) -> Listener | None:
        """Return who listens at an address."""
        return self._listeners.get(address)

    def stop_listening(self, listener: Listener) -> None:
        """Accept no further connections for a listener."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    async def connect(self, sock: socket.socket, address: Address) -> None:
        """Open a connection, which :meth:`adopt` hands over.

        :raises ConnectionRefusedError: if nobody listens, or a cut resets.
        """
        await asyncio.sleep(self._draw_delay_s())
        listener = self._listeners.get(address)
        party = get_party()
        cut = None if listener is None else self._find_cut(party, listener.party)
        if cut is Cut.SILENT:
            await self._loop.create_future()
        await asyncio.sleep(self._draw_delay_s())
        if listener is None or cut is Cut.RESET or not listener.is_serving():
            raise ConnectionRefusedError(f"{address} refuses connections")
        own = (address[0], self.find_port())
        near, far = (
            MemoryTransport(
                network=self,
                party=of,
                context=context,
                sock=opened,
                addresses=addresses,
            )
            for of, context, opened, addresses in (
                (party, contextvars.copy_context(), sock, (own, address)),
                (
                    listener.party,
                    listener.context.copy(),
                    _Socket(address),
                    (address, own),
                ),
            )
        )
        near.peer, far.peer = far, near
        self._ends[near] = self._ends[far] = None
        self._connecting[sock.fileno()] = near
        self.call(far, lambda: far.start(listener.factory()))

    def adopt(
        self, sock: socket.socket, protocol: asyncio.BaseProtocol
    ) -> MemoryTransport:
        """Return the transport of a socket that was connected, and start it."""
        transport = self._connecting.pop(sock.fileno())
        transport.start(protocol)
        return transport

    def carry(
        self, sender: MemoryTransport, receive: Callable[..., None], item: object
    ) -> None:
        """Let something arrive at the other end, after all that was sent before."""
        earliest_s = sender.arrival_s + ORDER_S
        arrival_s = max(self._loop.time() + self._draw_delay_s(), earliest_s)
        sender.arrival_s = arrival_s
        self._call_at(arrival_s, self._arrive, sender, receive, item)

    def _arrive(
        self, sender: MemoryTransport, receive: Callable[..., None], item: object
    ) -> None:
        sender.held.append((receive, item))
        if len(sender.held) == 1:
            self._release(sender)

    def _release(self, sender: MemoryTransport) -> None:
        """Hand over what is due, in order, or wait for the end of a cut."""
        if self._find_cut(sender.party, sender.peer.party) is Cut.SILENT:
            again_s = self._loop.time() + DELAY_MS[1] / SECOND_MS
            self._call_at(again_s, self._release, sender)
            return
        while sender.held:
            receive, item = sender.held.popleft()
            receive(item)

    def _call_at(
        self, at_s: float, callback: Callable[..., object], *args: object
    ) -> None:
        """Call something for the kernel, which runs although a party is frozen."""
        self._loop.call_at(at_s, callback, *args, context=contextvars.Context())

    def call(
        self, end: MemoryTransport, callback: Callable[..., object], *args: object
    ) -> None:
        """Call something soon on behalf of the party of an end."""
        self._loop.call_soon(callback, *args, context=end.context)

    def forget(self, end: MemoryTransport) -> None:
        """Forget an end that is lost."""
        self._ends.pop(end, None)

    def clear(self) -> None:
        """Close the sockets that stand for connections."""
        for end in [*self._ends, *self._connecting.values()]:
            end.close_socket()

    def drop(self, party: Party) -> None:
        """End all that a party has open, as the system does when a process ends."""
        for listener in list(self._listeners.values()):
            if listener.party is party:
                self.stop_listening(listener)
        for end in self._list_ends(party):
            self.forget(end)
            self.carry(end, end.peer.lose, ConnectionResetError("reset"))

    def cut(self, first: str, second: str, how: Cut) -> None:
        """Cut the parties of two names off from each other, until :meth:`heal`."""
        self._cuts[frozenset((first, second))] = how
        for end in list(self._ends):
            if self._find_cut(end.party, end.peer.party) is how:
                self._break(end, how)

    def _break(self, end: MemoryTransport, how: Cut) -> None:
        delay_s = SILENCE_S if how is Cut.SILENT else 0.0
        self._call_at(self._loop.time() + delay_s, self._lose_if_cut, end)

    def _lose_if_cut(self, end: MemoryTransport) -> None:
        if self._find_cut(end.party, end.peer.party) is not None:
            end.lose(ConnectionResetError("cut off"))

    def heal(self, first: str, second: str) -> None:
        """End a cut between the parties of two names."""
        self._cuts.pop(frozenset((first, second)), None)

    def _find_cut(self, first: Party | None, second: Party | None) -> Cut | None:
        if not self._cuts or first is None or second is None:
            return None
        return self._cuts.get(frozenset((first.name, second.name)))

    def _list_ends(self, party: Party) -> list[MemoryTransport]:
        return [end for end in self._ends if end.party is party]

    def _draw_delay_s(self) -> float:
        return self._rng.uniform(*DELAY_MS) / SECOND_MS
