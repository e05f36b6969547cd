"""Checks each chunk of an answer by attempt id and offset.

Late chunks of an old attempt, chunks that came twice and chunks out of order must
never reach the caller: a doubled token, or one of another answer, would.
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
    """Where one answer stands; used by the one thread that relays it.

    :param attempt_id: the only attempt whose chunks count.
    :param offset: index of the next token that the caller needs.
    :param dropped: chunks that were dropped so far.
    :param ended: whether the end marker arrived in its place.
    """

    attempt_id: str
    offset: int = 0
    dropped: int = 0
    ended: bool = False


def begin_attempt(cursor: Cursor, *, attempt_id: str) -> None:
    """Count only the chunks of a new attempt from now on."""
    cursor.attempt_id = attempt_id


def accept(cursor: Cursor, chunk: Chunk) -> Verdict:
    """Judge one chunk and move on if it is the next one.

    :return: ``GAP`` means that tokens are missing: the attempt counts as broken.
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
