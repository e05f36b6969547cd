"""Commits a transaction although its reply may be lost.

The platform may take a write and break off before its answer arrives. Sending
the transaction again blindly could apply it twice; taking it for "not done" would
base the next decision on a wrong state. :func:`commit` reads back and compares
tokens before it does either.
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
"""How often a transaction with a lost reply is read back or sent again."""

INITIAL_BACKOFF_MS = 50
"""Longest pause before the first read back; it doubles with each try."""


def commit(
    table: Table,
    transaction: Transaction,
    *,
    max_attempts: int = MAX_ATTEMPTS,
    pause: Callable[[int], None] | None = None,
) -> Committed | Conflict:
    """Send a transaction and find out how it ended. Blocks: for worker threads.

    At least one written row must have a precondition: two copies of the
    transaction then exclude each other, since the first changes what the second
    expects. Revisions never come back, but
    :data:`~arbutuspulley.ports.platform.ABSENT` does, so a row created under it
    should only be deleted by who created it.

    :param transaction: with a fresh token, which all copies keep.
    :param max_attempts: bounds what is done about a lost reply.
    :param pause: waits before each try, given the longest time in ms; by default
        a random part of it, so that instances don't come back in step.
    :return: ``Committed`` only if this very transaction took effect; ``Conflict``
        only if it certainly did not and never will.
    :raises PlatformUnavailableError: if it certainly had no effect.
    :raises OutcomeUnknownError: if it could not be found out; read the rows again
        before the next decision. A transaction that only deletes ends so if its
        reply was lost and the rows are gone, for a deleted row has no token.
    :raises ValueError: if no written row has a precondition.
    """
    guarded = _list_guarded(transaction)
    try:
        return table.transact(transaction)
    except OutcomeUnknownError:
        return _resolve(table, transaction, guarded, max_attempts, pause or _pause)


def _list_guarded(transaction: Transaction) -> list[Precondition]:
    """Return the preconditions on rows that the transaction writes itself."""
    written = {write.key for write in transaction.writes}
    guarded = [part for part in transaction.preconditions if part.key in written]
    if not guarded:
        raise ValueError("no written row has a precondition")
    return guarded


def _resolve(
    table: Table,
    transaction: Transaction,
    guarded: list[Precondition],
    max_attempts: int,
    pause: Callable[[int], None],
) -> Committed | Conflict:
    for number in range(max_attempts):
        pause(INITIAL_BACKOFF_MS << number)
        # An unavailable platform settles nothing here: the first copy may have
        # taken effect, or still be on its way, so this never becomes "no effect".
        with contextlib.suppress(PlatformUnavailableError):
            settled = _read_back(table, transaction, guarded)
            settled = settled or _send_again(table, transaction, guarded)
            if settled is not None:
                return settled
    raise OutcomeUnknownError(detail="the outcome could not be read back in time")


def _read_back(
    table: Table, transaction: Transaction, guarded: list[Precondition]
) -> Committed | Conflict | None:
    """Look for traces of the transaction in the rows that it writes.

    Each row is enough by itself: with the transaction's token it took effect; at
    the expected revision it did not yet; replaced from that revision by another
    it never will. A row that changed more than once hides what came first, so the
    next one is asked.

    :return: ``None`` if the transaction had no effect so far.
    :raises OutcomeUnknownError: if every row has changed since.
    """
    for expected in guarded:
        row = table.read(expected.key)
        if row is not None and row.token == transaction.token:
            return Committed(revision=row.revision)
        revision = ABSENT if row is None else row.revision
        if revision == expected.revision:
            return None
        if row is not None and row.replaces == expected.revision:
            return Conflict(key=expected.key, revision=revision)
    raise OutcomeUnknownError(detail="others have written over the rows since")


def _send_again(
    table: Table, transaction: Transaction, guarded: list[Precondition]
) -> Committed | Conflict | None:
    try:
        outcome = table.transact(transaction)
    except OutcomeUnknownError:
        return None
    if isinstance(outcome, Committed):
        return outcome
    # The first copy may have arrived late, after the read back: then the conflict
    # is with ourselves, and reported as such the caller would believe that someone
    # else had won. Its token in the row tells.
    return _read_back(table, transaction, guarded) or outcome


def _pause(longest_ms: int) -> None:
    time.sleep(random.uniform(0, longest_ms) / SECOND_MS)
