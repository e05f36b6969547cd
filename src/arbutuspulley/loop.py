"""The event loop thread that runs all decisions and owns all shared state.

CherryPy handles requests on worker threads, which only transfer bytes: a worker that
needs a decision submits a function to the loop and waits for its result.
"""

import asyncio
import concurrent.futures
import threading
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class LoopThread:
    """An asyncio event loop on a thread of its own.

    :param name: prefix of the names of the threads.
    :param workers: number of threads for blocking calls of :meth:`run_blocking`.
    """

    __slots__ = ("_loop", "_pool", "_thread")

    def __init__(self, *, name: str, workers: int = 8) -> None:
        self._loop = asyncio.new_event_loop()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=workers, thread_name_prefix=f"{name}-io"
        )
        self._thread = threading.Thread(
            target=self._loop.run_forever, name=f"{name}-loop", daemon=True
        )

    def start(self) -> None:
        """Start the loop thread."""
        self._thread.start()

    def stop(self) -> None:
        """Cancel all tasks on the loop and end the thread."""
        asyncio.run_coroutine_threadsafe(_cancel_other_tasks(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def call(
        self, function: Callable[[], _Result], *, timeout_s: float = 30
    ) -> _Result:
        """Run a short, non-blocking function on the loop and return its result.

        To be called from another thread.

        :raises TimeoutError: if there is no result within the timeout.
        """

        async def run() -> _Result:
            return function()

        return self.wait_for(run(), timeout_s=timeout_s)

    def wait_for(
        self, coroutine: Coroutine[Any, Any, _Result], *, timeout_s: float | None = 30
    ) -> _Result:
        """Run a coroutine on the loop and return its result.

        To be called from another thread.

        :raises TimeoutError: if there is no result within the timeout.
        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(timeout_s)

    def submit(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> "concurrent.futures.Future[_Result]":
        """Start a coroutine on the loop, from another thread.

        :return: a future; cancelling it cancels the coroutine.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def post(self, function: Callable[[], object]) -> None:
        """Schedule a short, non-blocking function on the loop without waiting."""
        self._loop.call_soon_threadsafe(function)

    def spawn(self, coroutine: Coroutine[Any, Any, object]) -> None:
        """Start a coroutine on the loop, from another thread, without waiting."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run_blocking(self, function: Callable[[], _Result]) -> Awaitable[_Result]:
        """Run a blocking call on an I/O thread; await the result on the loop."""
        return self._loop.run_in_executor(self._pool, function)


async def _cancel_other_tasks() -> None:
    current = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not current]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
