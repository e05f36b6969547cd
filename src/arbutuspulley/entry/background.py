"""Background tasks of an entry."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NoReturn

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.entry.state import Runtime
from arbutuspulley.events import Event, log_event

RESTART_DELAY_MS = SECOND_MS
"""Delay before a task that raised an exception is restarted."""


_PENDING_TASKS: set[asyncio.Future] = set()


def keep_reference(task: asyncio.Future) -> None:
    """Hold a reference to a task, so that it is not garbage-collected early."""
    _PENDING_TASKS.add(task)
    task.add_done_callback(_PENDING_TASKS.discard)


async def run_with_restarts(
    work: Callable[[Runtime], Awaitable[NoReturn]], runtime: Runtime
) -> NoReturn:
    """Run a task, and restart it whenever it raises an exception.

    A task that fails on an event loop does so silently: without a restart, views would
    no longer be applied and the entry would route by the last one indefinitely.

    :param work: its function name appears in the log.
    """
    while True:
        try:
            await work(runtime)
        except Exception as error:
            log_event(
                Event.INTERNAL_ERROR,
                level=logging.ERROR,
                work=getattr(work, "__name__", ""),
                error=repr(error),
            )
        await asyncio.sleep(RESTART_DELAY_MS / SECOND_MS)
