"""What a running process has used, and how many bytes pass between two processes."""

import asyncio
import contextlib
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from arbutuspulley.data import State

_NS_PER_MS = 1_000_000
_KIB_PER_MIB = 1024
_READ_BYTES = 64 * 1024


def read_cpu_ms(pid: int) -> float:
    """Return the processor time of a process's present threads, in ms.

    ``/proc/<pid>/stat`` counts in ticks of 10 ms, too coarse for idle processes, so
    this reads what the scheduler counts for each thread in nanoseconds. A thread that
    has ended is missing from it; the product's threads are kept in pools.
    """
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / _NS_PER_MS


def read_rss_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KIB_PER_MIB
    return 0.0


class Traffic(State):
    """Bytes that passed a relay so far, without TCP's and IP's own headers."""

    sent: int = 0
    answered: int = 0


class Relay(State):
    """Forwards TCP connections and counts their bytes.

    :param address: ``host:port`` to connect to in place of the target.
    """

    address: str
    traffic: Traffic


@contextmanager
def open_relays(targets: dict[str, str]) -> Iterator[dict[str, Relay]]:
    """Give a relay to each target, by name, until the end."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield {
            name: asyncio.run_coroutine_threadsafe(_listen(target), loop).result(10)
            for name, target in targets.items()
        }
    finally:
        asyncio.run_coroutine_threadsafe(_cancel_all(), loop).result(10)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        loop.close()


async def _cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _listen(target: str) -> Relay:
    traffic = Traffic()
    tasks: set[asyncio.Task[None]] = set()

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(_relay(target, reader, writer, traffic))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    own = server.sockets[0].getsockname()[1]
    return Relay(address=f"127.0.0.1:{own}", traffic=traffic)


async def _relay(
    target: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    traffic: Traffic,
) -> None:
    host, _, port = target.rpartition(":")
    try:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.close()
        return
    await asyncio.gather(
        _forward(reader, far_writer, traffic, "sent"),
        _forward(far_reader, writer, traffic, "answered"),
    )


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    traffic: Traffic,
    counter: str,
) -> None:
    with contextlib.suppress(OSError):
        while part := await reader.read(_READ_BYTES):
            setattr(traffic, counter, getattr(traffic, counter) + len(part))
            writer.write(part)
            await writer.drain()
    writer.close()
