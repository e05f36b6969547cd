"""Writes to the store that are made behind the work, repeated with backoff."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from arbutuspulley.clock import SECOND_MS, compute_backoff_ms
from arbutuspulley.data import Value
from arbutuspulley.platform.store import StoreClient
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


class WrittenRows(Value, frozen=True):
    """Result of a write.

    :param now_ms: reading of the store's clock, in ms.
    :param is_kept: whether the store has them: it has not come back from a copy since
        the call.
    """

    now_ms: float
    is_kept: bool


async def write_rows(
    store: StoreClient, table: str, *, put: dict[str, bytes], remove: Iterable[str] = ()
) -> WrittenRows:
    """Write and remove rows of a table in one transaction, whatever is there.

    :raises PlatformUnavailableError: if nothing was done.
    :raises OutcomeUnknownError: if the answer was lost.
    """
    era = store.era.current
    answer = await store.write(table, expected={}, put=put, remove=remove)
    return WrittenRows(now_ms=answer.now_ms, is_kept=era == store.era.current)
