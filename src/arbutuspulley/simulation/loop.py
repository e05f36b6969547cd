"""An asyncio event loop in virtual time.

Nothing waits: when no callback is ready, the clock jumps to the next timer. Connections
are those of a :class:`.network.Network`. What would leave the simulation, such as a
thread or a socket's readiness, fails.
"""

import asyncio
import contextvars
import functools
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from arbutuspulley.simulation.network import Listener, MemoryTransport, Network
from arbutuspulley.simulation.party import Party, get_party

START_S = 1_000.0
"""Reading of the clock as a simulation begins, in s."""

ENDING_TIMEOUT_S = 60.0
"""How long tasks may take to end once they are cancelled, in virtual s."""


class StalledError(Exception):
    """Nothing is ready or scheduled; a task waits for what is not simulated."""


class _Selector:
    """Takes the place of the selector on which an event loop waits."""

    __slots__ = ("_loop",)

    def __init__(self, loop: "VirtualLoop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[object]:
        if timeout is None:
            raise StalledError(f"tasks wait for ever: {self._loop.list_waiting()}")
        self._loop.advance(timeout)
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop whose clock jumps.

    :param network: carries all connections.
    """

    def __init__(self, *, network: Network) -> None:
        super().__init__()
        self._now = START_S
        self._is_ending = False
        self._selector = _Selector(self)
        self._clock_resolution = 1e-9
        self._network = network
        # Tasks of a party that was killed stay referenced, since collecting them would
        # run their cleanup.
        self._all_tasks: dict[asyncio.Task[Any], None] = {}
        factory: Any = self._create_task
        self.set_task_factory(factory)
        network.attach(self)

    def time(self) -> float:
        """Return the virtual time, in s."""
        return self._now

    def advance(self, by_s: float) -> None:
        """Let time pass, in s."""
        self._now += by_s

    def list_waiting(self) -> list[str]:
        """Return the names of the unfinished tasks, with what each waits in."""
        return [
            f"{task.get_name()} in {_describe(task.get_coro())}"
            for task in self._all_tasks
            if not task.done()
        ]

    def dispose(self) -> None:
        """Cancel what still runs, of dead and frozen parties too, and close the loop.

        Collecting it would run its cleanup on a closed loop.
        """
        self._is_ending = True
        self.set_exception_handler(lambda _loop, _context: None)
        tasks = list(self._all_tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            ending = asyncio.wait(tasks, timeout=ENDING_TIMEOUT_S)
            self.run_until_complete(asyncio.Task(ending, loop=self))
        self._network.clear()
        self.close()

    def kill(self, party: Party) -> None:
        """End a party at once, without any cleanup of its own."""
        party.is_dead = True
        party.deferred.clear()
        self._network.drop(party)

    def freeze(self, party: Party) -> None:
        """Suspend a party."""
        party.is_frozen = True

    def wake(self, party: Party) -> None:
        """Resume a party."""
        party.is_frozen = False
        deferred, party.deferred = party.deferred, []
        for callback, args, context in deferred:
            self.call_soon(callback, *args, context=context)

    def send_signal(self, party: Party, number: int) -> None:
        """Send a signal to a party that handles it."""
        handler = party.signal_handlers[number]
        self.call_soon(handler, context=party.build_context())

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback, which runs unless its party is dead by then."""
        guarded, context = self._guard(callback, context)
        return super().call_soon(guarded, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time, as :meth:`call_soon` does."""
        guarded, context = self._guard(callback, context)
        return super().call_at(when, guarded, *args, context=context)

    def _guard(
        self, callback: Callable[..., object], context: contextvars.Context | None
    ) -> tuple[Callable[..., object], contextvars.Context]:
        """Return what to schedule, and in which context; ``None``: the current one."""
        # An empty context is false.
        context = contextvars.copy_context() if context is None else context
        party = get_party(context)
        if party is None:
            return callback, context
        return functools.partial(self._run_for, party, callback, context), context

    def _run_for(
        self,
        party: Party,
        callback: Callable[..., object],
        context: contextvars.Context,
        *args: Any,
    ) -> None:
        if party.is_dead and not self._is_ending:
            return
        if party.is_frozen and not self._is_ending:
            party.deferred.append((callback, args, context))
            return
        callback(*args)

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., object], *args: Any
    ) -> None:
        """Register a handler of the current party."""
        party = get_party()
        if party is None:
            raise RuntimeError(f"signal {sig} outside of a party")
        party.signal_handlers[sig] = functools.partial(callback, *args)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Any, *args: Any
    ) -> Any:
        """Refuse to use a thread, in which time would pass unseen.

        :raises NotImplementedError: always, with the function's name.
        """
        raise NotImplementedError(f"{func} in a thread")

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int = 0,
        **_options: Any,
    ) -> Listener:
        """Listen at an address of the network; port 0: at a free one."""
        return self._network.listen(protocol_factory, (host or "127.0.0.1", port))

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connect a socket; it carries nothing, but stands for the connection."""
        await self._network.connect(sock, address)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        *_address: Any,
        sock: socket.socket | None = None,
        **_options: Any,
    ) -> tuple[MemoryTransport, asyncio.BaseProtocol]:
        """Return the transport of a socket that :meth:`sock_connect` connected."""
        if sock is None:
            raise NotImplementedError("create_connection without a connected socket")
        protocol = protocol_factory()
        return self._network.adopt(sock, protocol), protocol

    def _create_task(
        self, loop: Any, coroutine: Coroutine[Any, Any, Any], **options: Any
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, **options)
        self._all_tasks[task] = None
        task.add_done_callback(self._all_tasks.pop, context=contextvars.Context())
        return task

    def _process_events(self, event_list: list[object]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass


def _describe(coroutine: Any) -> str:
    """Return the names of a coroutine and of those that it awaits."""
    found = []
    while hasattr(coroutine, "cr_await"):
        found.append(coroutine.__qualname__.rpartition(".")[2])
        coroutine = coroutine.cr_await
    return " > ".join(found)
