"""Work that goes on for as long as the process."""

import asyncio
from collections.abc import Awaitable, Callable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event

RESTART_DELAY_MS = 100
"""Delay after an unexpected error before the work starts again, in ms."""


async def run_forever(work: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; log an unexpected error and restart the task."""
    while True:
        try:
            await work()
            return
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, detail=repr(error))
            await asyncio.sleep(RESTART_DELAY_MS / SECOND_MS)
