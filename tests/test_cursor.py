"""The cursor, which decides which chunks of an answer reach the caller."""

import pytest

from arbutuspulley.delivery.cursor import Cursor, Verdict, accept, begin_attempt
from arbutuspulley.ports.engines import Chunk

DELIVER, DROP, GAP, END = Verdict.DELIVER, Verdict.DROP, Verdict.GAP, Verdict.END


def chunk(offset, attempt="r.2", last=False):
    return Chunk(attempt_id=attempt, offset=offset, data=b"{}", last=last)


@pytest.mark.parametrize(
    ("chunks", "verdicts"),
    [
        ([chunk(4), chunk(5), chunk(6, last=True)], [DELIVER, DELIVER, END]),
        ([chunk(4, attempt="r.1"), chunk(4)], [DROP, DELIVER]),
        ([chunk(4), chunk(4), chunk(5)], [DELIVER, DROP, DELIVER]),
        ([chunk(3), chunk(4)], [DROP, DELIVER]),
        ([chunk(5)], [GAP]),
        ([chunk(5, last=True)], [GAP]),
        ([chunk(4, attempt="r.1", last=True)], [DROP]),
        ([chunk(4, last=True), chunk(4, last=True)], [END, DROP]),
    ],
)
def test_delivers_each_token_once_and_in_order(chunks, verdicts):
    """An answer is resumed at offset 4 after an interrupted attempt.

    Chunks of the interrupted attempt, duplicates and chunks out of order still arrive.
    If any was delivered, the caller would read text twice, or text of another answer;
    only the next chunk of the current attempt is accepted.
    """
    cursor = Cursor(attempt_id="r.1", offset=4)
    begin_attempt(cursor, attempt_id="r.2")
    assert [accept(cursor, received) for received in chunks] == verdicts
    assert cursor.dropped == verdicts.count(DROP)
    assert cursor.ended == (END in verdicts)
