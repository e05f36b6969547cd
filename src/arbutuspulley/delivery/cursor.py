"""Checks each chunk of an answer by attempt id and offset.

Late chunks of an earlier attempt, duplicates and chunks out of order must never reach
the caller; otherwise it would receive duplicate tokens or tokens of another answer.
"""

import enum

from arbutuspulley.data import State
from arbutuspulley.ports.engines import Chunk


class Verdict(enum.Enum):
    """What to do with a chunk."""

    DELIVER = "deliver"
    DROP = "drop"
    GAP = "gap"
    END = "end"


class Cursor(State):
    """Progress of one answer; used only by the thread that relays the answer.

    :param attempt_id: the only attempt whose chunks are accepted.
    :param offset: index of the next token that the caller needs.
    :param dropped: number of chunks dropped so far.
    :param ended: whether the end marker arrived at the expected offset.
    """

    attempt_id: str
    offset: int = 0
    dropped: int = 0
    ended: bool = False


def begin_attempt(cursor: Cursor, *, attempt_id: str) -> None:
    """Accept only chunks of a new attempt from now on."""
    cursor.attempt_id = attempt_id


def accept(cursor: Cursor, chunk: Chunk) -> Verdict:
    """Check one chunk, and advance the cursor if it is the next one.

    :return: what to do with the chunk; ``GAP`` means that tokens are missing, and the
        attempt counts as broken.
    """
    if chunk.attempt_id != cursor.attempt_id or cursor.ended:
        cursor.dropped += 1
        return Verdict.DROP
    if chunk.offset < cursor.offset:
        cursor.dropped += 1
        return Verdict.DROP
    if chunk.offset > cursor.offset:
        return Verdict.GAP
    if chunk.last:
        cursor.ended = True
        return Verdict.END
    cursor.offset += 1
    return Verdict.DELIVER
