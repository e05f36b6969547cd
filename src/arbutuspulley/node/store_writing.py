"""Repeats calls to the store that are made behind the work, with backoff."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from arbutuspulley.clock import SECOND_MS, compute_backoff_ms
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 1_000
"""Backoff after a failed call, in ms; doubled up to the maximum."""


async def repeat_step(
    step: Callable[[], Awaitable[None]],
    *,
    rng: random.Random,
    on_failure: Callable[[str], None],
) -> None:
    """Repeat a step that calls the store; never returns.

    :param on_failure: called with the reason before the backoff.
    """
    failures = 0
    while True:
        try:
            await step()
            failures = 0
        except (PlatformUnavailableError, OutcomeUnknownError) as error:
            failures += 1
            on_failure(error.detail)
            backoff_ms = compute_backoff_ms(
                INITIAL_BACKOFF_MS, max_ms=MAX_BACKOFF_MS, count=failures
            )
            await asyncio.sleep(backoff_ms * rng.uniform(0.5, 1.0) / SECOND_MS)
