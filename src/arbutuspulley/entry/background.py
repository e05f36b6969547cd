"""Work of an entry that goes on for as long as it runs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NoReturn

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.entry.state import Runtime
from arbutuspulley.events import Event, log_event

RESTART_DELAY_MS = SECOND_MS
"""Pause after work that ended by a fault."""


_PENDING_TASKS: set[asyncio.Future] = set()


def keep_reference(task: asyncio.Future) -> None:
    """Keep a task from being collected before it has ended."""
    _PENDING_TASKS.add(task)
    task.add_done_callback(_PENDING_TASKS.discard)


async def run_with_restarts(
    work: Callable[[Runtime], Awaitable[NoReturn]], runtime: Runtime
) -> NoReturn:
    """Begin a piece of work again whenever it ends by a fault.

    A task that dies on a loop does so silently: views would no longer be taken up, and
    the entry would route by the last one for ever.
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
