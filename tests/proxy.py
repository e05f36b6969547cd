"""A TCP proxy with fault injection, for integration tests."""

import asyncio
import contextlib
import enum
import socket
import struct
import threading
from collections.abc import Callable

_CHUNK_BYTES = 64 * 1024
_CALL_TIMEOUT_S = 10
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction of the forwarded bytes."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class _Connection:
    """Both ends of a forwarded connection."""

    def __init__(self, *, client: asyncio.StreamWriter) -> None:
        self.writers = [client]
        self.task = asyncio.current_task()

    def reset(self) -> None:
        """Close both ends with a TCP reset instead of an orderly shutdown."""
        for writer in self.writers:
            with contextlib.suppress(OSError):  # already closed
                end = writer.get_extra_info("socket")
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()


class FaultProxy:
    """Forwards TCP from a free port to a target, and injects faults.

    Faults affect existing and new connections, can be combined, and can be changed at
    any time from any thread; :meth:`heal` ends all of them.

    :param target: ``host:port``.
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        # Bound but not listening: this reserves the port while new connections are
        # refused, so that no other process of the machine can take it.
        self._reserve = _bind(0)
        self.port: int = self._reserve.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._delay_ms = 0
        self._dropped: frozenset[Direction] = frozenset()
        self._replies_to_lose = 0
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.replies_lost = 0
        self._run(self._listen())

    def __enter__(self) -> "FaultProxy":
        return self

    def __exit__(self, *_error: object) -> None:
        self.close()

    def delay(self, milliseconds: int) -> None:
        """Delay each chunk of data in both directions."""
        self._call(lambda: setattr(self, "_delay_ms", milliseconds))

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        self._run(self._cut())

    def reset(self) -> None:
        """Reset all connections; new ones are accepted."""
        self._run(self._reset())

    def drop(self, *directions: Direction) -> None:
        """Discard the data in the given directions; connections stay open."""
        self._call(lambda: setattr(self, "_dropped", frozenset(directions)))

    def lose_replies(self, count: int = 1) -> None:
        """Reset the connection instead of forwarding each of the next replies.

        By then the target has received the request and begun to respond.
        """
        self._call(lambda: setattr(self, "_replies_to_lose", count))

    def freeze(self) -> None:
        """Stop forwarding; connections stay open and data is held back."""
        self._call(self._thawed.clear)

    def heal(self) -> None:
        """End all faults; data held back by a freeze is forwarded."""
        self._run(self._heal())

    def close(self) -> None:
        """Reset all connections and stop the proxy's thread."""
        self._run(self._cut())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_TIMEOUT_S)
        self._loop.close()
        self._reserve.close()

    def _run(self, coroutine: object) -> None:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        future.result(_CALL_TIMEOUT_S)

    def _call(self, change: Callable[[], object]) -> None:
        async def run() -> None:
            change()

        self._run(run())

    async def _listen(self) -> None:
        if self._server is None:
            listener = _bind(self.port)
            self._server = await asyncio.start_server(self._forward, sock=listener)

    async def _cut(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        await self._reset()
        # A connection that was accepted just before this is reset by its own task.
        others = asyncio.all_tasks() - {asyncio.current_task()}
        await asyncio.gather(*others, return_exceptions=True)

    async def _heal(self) -> None:
        self._delay_ms = 0
        self._dropped = frozenset()
        self._replies_to_lose = 0
        self._thawed.set()
        await self._listen()

    async def _reset(self) -> None:
        tasks = [connection.task for connection in self._connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(client=writer)
        if self._server is None:
            connection.reset()
            return
        self._connections.add(connection)
        try:
            host, _, port = self._target.rpartition(":")
            back, forth = await asyncio.open_connection(host, port)
            connection.writers.append(forth)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, forth, Direction.TO_TARGET))
                group.create_task(self._pump(back, writer, Direction.TO_CLIENT))
            forth.close()
            writer.close()
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            connection.reset()
        finally:
            self._connections.discard(connection)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self._delay_ms:
                await asyncio.sleep(self._delay_ms / 1000)
            await self._thawed.wait()
            if direction in self._dropped:
                continue
            if direction is Direction.TO_CLIENT and self._replies_to_lose:
                self._replies_to_lose -= 1
                self.replies_lost += 1
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
        await self._thawed.wait()
        if direction not in self._dropped:
            with contextlib.suppress(OSError):
                writer.write_eof()


def _bind(port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", port))
    return bound
