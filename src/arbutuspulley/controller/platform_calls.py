"""Calls to the platform's store: on I/O threads, and with backoff in an outage."""

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import Executor
from typing import TypeVar

from arbutuspulley.controller.rows import apply_rows, list_written
from arbutuspulley.controller.state import Controller, is_store_up
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.observation import update_rows
from arbutuspulley.membership.outage import (
    OutageState,
    may_call,
    record_failure,
    record_success,
)
from arbutuspulley.ports.commit import commit
from arbutuspulley.ports.platform import Committed, Conflict, Transaction
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

MAX_COMMIT_ATTEMPTS = 2
"""Attempts per transaction; few, because each loop runs again soon anyway."""

_Result = TypeVar("_Result")


async def call_platform(
    controller: Controller, function: Callable[[], _Result]
) -> _Result:
    """Run a read of the platform on the store threads.

    :raises PlatformUnavailableError: if the platform did not answer, or is down and
        the backoff before the next attempt has not ended.
    """
    return await _run_guarded(
        controller, controller.read_outage, controller.pools.store, function
    )


async def transact(
    controller: Controller,
    transaction: Transaction,
    *,
    pool: Executor | None = None,
    max_attempts: int = MAX_COMMIT_ATTEMPTS,
) -> Committed | Conflict:
    """Commit a transaction of the controller and apply the rows that it wrote.

    :param pool: threads to run on; by default those for store calls.
    :param max_attempts: maximum number of attempts if the reply is lost.
    :raises PlatformUnavailableError: if the transaction certainly had no effect.
    :raises OutcomeUnknownError: if it may have had an effect; the next scan of the
        rows shows whether it had.
    """
    table = controller.platform.table
    outcome = await _run_guarded(
        controller,
        controller.write_outage,
        pool or controller.pools.store,
        lambda: commit(table, transaction, max_attempts=max_attempts),
    )
    if isinstance(outcome, Committed):
        written = list_written(transaction, revision=outcome.revision)
        now = controller.clock.now()
        sessions = apply_rows(controller.rows, written, now=now)
        update_rows(controller.sessions, sessions, now=now)
    return outcome


async def _run_guarded(
    controller: Controller,
    outage: OutageState,
    pool: Executor,
    function: Callable[[], _Result],
) -> _Result:
    now = controller.clock.now()
    if not may_call(outage, now=now, rng=controller.rng):
        raise PlatformUnavailableError(detail="the platform is down")
    try:
        result = await asyncio.get_running_loop().run_in_executor(pool, function)
    except (PlatformUnavailableError, OutcomeUnknownError) as error:
        _record_failure(controller, outage, error.detail)
        raise
    _record_success(controller, outage)
    return result


def _record_failure(controller: Controller, outage: OutageState, detail: str) -> None:
    now = controller.clock.now()
    if record_failure(outage, now=now, rng=controller.rng):
        log_event(Event.PLATFORM_DOWN, level=logging.WARNING, detail=detail)
    controller.metrics.store_up.set(is_store_up(controller))


def _record_success(controller: Controller, outage: OutageState) -> None:
    if record_success(outage) and is_store_up(controller):
        log_event(Event.PLATFORM_UP)
    controller.metrics.store_up.set(is_store_up(controller))
