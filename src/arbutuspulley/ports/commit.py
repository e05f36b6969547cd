"""Commits transactions whose reply may be lost.

The platform may apply a write and fail before its reply arrives. A blind retry
could apply the transaction twice; treating it as failed would base the next
decision on a wrong state. :func:`commit` reads the rows back and compares
transaction tokens before it does either.
"""

import contextlib
import random
import time
from collections.abc import Callable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.ports.platform import (
    ABSENT,
    Committed,
    Conflict,
    Precondition,
    Table,
    Transaction,
)
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

MAX_ATTEMPTS = 4
"""How often a transaction with a lost reply is read back or retried."""

INITIAL_BACKOFF_MS = 50
"""Longest backoff before the first read-back, in ms; it doubles with each attempt."""


def commit(
    table: Table,
    transaction: Transaction,
    *,
    max_attempts: int = MAX_ATTEMPTS,
    pause: Callable[[int], None] | None = None,
) -> Committed | Conflict:
    """Send a transaction and determine its outcome. Blocks; call from a worker thread.

    At least one written row must have a precondition. This makes retries
    idempotent: the first copy that is applied changes the revision that the others
    expect. Revisions are never reused, but
    :data:`~arbutuspulley.ports.platform.ABSENT` is, so a row created with that
    precondition should only be deleted by its creator.

    :param transaction: has a fresh token, which all copies share.
    :param max_attempts: bound on read-backs and retries after a lost reply.
    :param pause: waits before each attempt, given the longest wait in ms; by default
        a random fraction of it, so that instances don't retry in lockstep.
    :return: ``Committed`` only if this transaction took effect; ``Conflict`` only if
        it did not and never will.
    :raises PlatformUnavailableError: if it certainly had no effect.
    :raises OutcomeUnknownError: if the outcome could not be determined; read the
        rows again before the next decision. A transaction that only deletes ends so
        if its reply was lost and the rows are absent, as a deleted row has no token.
    :raises ValueError: if no written row has a precondition.
    """
    guards = _list_guards(transaction)
    try:
        return table.transact(transaction)
    except OutcomeUnknownError:
        return _resolve_outcome(
            table,
            transaction,
            guards,
            max_attempts,
            pause or _sleep_with_jitter,
        )


def _list_guards(transaction: Transaction) -> list[Precondition]:
    """Return the preconditions on rows that the transaction also writes."""
    written = {write.key for write in transaction.writes}
    guards = [
        precondition
        for precondition in transaction.preconditions
        if precondition.key in written
    ]
    if not guards:
        raise ValueError("no written row has a precondition")
    return guards


def _resolve_outcome(
    table: Table,
    transaction: Transaction,
    guards: list[Precondition],
    max_attempts: int,
    pause: Callable[[int], None],
) -> Committed | Conflict:
    for attempt in range(max_attempts):
        pause(INITIAL_BACKOFF_MS << attempt)
        # An unavailable platform proves nothing here: the first copy may have taken
        # effect or still be in flight, so the outcome is never "no effect".
        with contextlib.suppress(PlatformUnavailableError):
            outcome = _read_back(table, transaction, guards)
            outcome = outcome or _retry(table, transaction, guards)
            if outcome is not None:
                return outcome
    raise OutcomeUnknownError(
        detail="outcome of the transaction still unknown after all attempts"
    )


def _read_back(
    table: Table, transaction: Transaction, guards: list[Precondition]
) -> Committed | Conflict | None:
    """Determine the outcome from the rows that the transaction writes.

    One row suffices: if it has the transaction's token, the transaction took effect;
    if it is at the expected revision, it has not yet; if another transaction replaced
    that revision, it never will. A row that has changed more than once doesn't show
    which transaction came first, so the next row is read.

    :return: ``None`` if the transaction has had no effect so far.
    :raises OutcomeUnknownError: if every row has been overwritten since.
    """
    for expected in guards:
        row = table.read(expected.key)
        if row is not None and row.token == transaction.token:
            return Committed(revision=row.revision)
        revision = ABSENT if row is None else row.revision
        if revision == expected.revision:
            return None
        if row is not None and row.replaces == expected.revision:
            return Conflict(key=expected.key, revision=revision)
    raise OutcomeUnknownError(
        detail="all rows were overwritten before the outcome was read"
    )


def _retry(
    table: Table, transaction: Transaction, guards: list[Precondition]
) -> Committed | Conflict | None:
    try:
        outcome = table.transact(transaction)
    except OutcomeUnknownError:
        return None
    if isinstance(outcome, Committed):
        return outcome
    # The first copy may have arrived late, after the read-back: the conflict is then
    # with the transaction itself, and must not be reported as another writer's
    # success. The token in the row tells them apart.
    return _read_back(table, transaction, guards) or outcome


def _sleep_with_jitter(longest_ms: int) -> None:
    time.sleep(random.uniform(0, longest_ms) / SECOND_MS)
