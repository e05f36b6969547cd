"""Which start of a server has answered."""

import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.membership.server_starts import (
    ENTRY_DELAY_MS,
    MAX_SAMPLES,
    SAMPLE_INTERVAL_MS,
    SETTLE_MS,
    ServerStarts,
)

HEARTBEAT_MS = 1_000
PROVEN_MS = HEARTBEAT_MS + ENTRY_DELAY_MS
LAPSED_MS = 3 * HEARTBEAT_MS + ENTRY_DELAY_MS


class Bench:
    """The starts that one instance knows, with a view of the entries of its own age."""

    def __init__(self):
        self.now = 10_000
        self.view_age = 0
        self.starts = ServerStarts(
            clock=Clock(read=lambda: self.now),
            get_heartbeat_ms=lambda: HEARTBEAT_MS,
            get_view_at=lambda: self.now - self.view_age,
        )
        self.starts.set_listed({"a@1", "b@1"})

    def answer(self, *, after_ms=0, sent_ms=5):
        self.now += after_ms
        return self.starts.record_answer("a@1", sent_at=self.now - sent_ms)


def test_an_answer_counts_at_once_if_no_connection_broke():
    assert Bench().answer() == 9_995


def test_an_answer_after_a_break_counts_once_its_entry_must_have_been_written():
    """Guards against an answer of the next start that counts as one of the start whose
    connection broke."""
    bench = Bench()
    bench.starts.record_break("a@1", heard_at=9_990)
    assert not bench.starts.is_doubtful("a@1")
    bench.starts.record_down("a@1")
    assert bench.answer(after_ms=2_000) is None
    assert bench.answer(after_ms=PROVEN_MS - 1) is None
    assert bench.starts.is_doubtful("a@1")
    assert bench.answer(after_ms=1) == 11_995
    assert not bench.starts.is_doubtful("a@1")


def test_an_old_view_of_the_entries_proves_nothing():
    """Guards against an instance that is cut off from the store and takes the next
    start of a server for the one that it knows."""
    bench = Bench()
    bench.starts.record_break("a@1", heard_at=9_990)
    bench.view_age = 5_000
    for _ in range(10):
        assert bench.answer(after_ms=490) is None
    assert bench.answer(after_ms=2_000) is not None


def test_a_break_after_an_answer_leaves_it_open_until_the_entry_would_have_lapsed():
    """Guards against a next start that crashes before it has written its entry, and
    counts as the start before."""
    bench = Bench()
    bench.starts.record_break("a@1", heard_at=9_990)
    assert bench.answer(after_ms=2_000) is None
    bench.now += 100
    bench.starts.record_break("a@1", heard_at=12_050)
    bench.now = 12_000 + LAPSED_MS - 1
    assert bench.answer() is None
    assert bench.answer(after_ms=1) == 11_995
    assert bench.answer(after_ms=PROVEN_MS) == 12_000 + LAPSED_MS - 1 - 5


def test_a_start_whose_entry_does_not_lapse_goes_on():
    """Guards against a server that stays in doubt as nobody sends it a request."""
    bench = Bench()
    bench.starts.record_down("a@1")
    bench.now += LAPSED_MS
    assert bench.starts.is_doubtful("a@1")
    bench.now += 1
    assert not bench.starts.is_doubtful("a@1")


def test_a_connection_from_before_the_break_proves_the_start():
    """Guards against a server that is in doubt for seconds because one of its
    connections was reset."""
    bench = Bench()
    bench.starts.record_break("a@1", heard_at=9_990)
    assert bench.answer(after_ms=SETTLE_MS, sent_ms=1_000) is None
    assert bench.answer(after_ms=1, sent_ms=1_000) == bench.now - 1_000
    assert not bench.starts.is_doubtful("a@1")


def test_a_connection_of_a_later_break_proves_nothing():
    """Guards against a connection to the next start that counts as one from before, as
    another one to the next start has broken since."""
    bench = Bench()
    bench.starts.record_break("a@1", heard_at=9_990)
    bench.now += 2_000
    bench.starts.record_break("a@1", heard_at=11_990)
    assert bench.answer(after_ms=200, sent_ms=500) is None


def test_a_break_that_another_instance_saw_is_of_unknown_time():
    """Guards against a request that reached the next start before another instance
    noticed that the connection to the start before was silent."""
    bench = Bench()
    bench.starts.record_break("a@1")
    assert bench.answer(after_ms=200, sent_ms=1_000) is None
    assert bench.answer(after_ms=10, sent_ms=4_000) == bench.now - 4_000


def test_a_start_that_no_entry_names_proves_nothing():
    """Guards against an answer to a request that was sent before the entry named the
    next start and counts as one of the start before."""
    bench = Bench()
    bench.starts.record_break("a@1", heard_at=9_990)
    bench.starts.set_listed({"a@2", "b@1"})
    assert bench.answer() is None
    assert len(bench.starts) == 0
    bench.starts.record_break("a@1", heard_at=9_990)
    assert len(bench.starts) == 0


def test_answers_that_wait_for_a_proof_are_bounded():
    bench = Bench()
    bench.starts.record_break("a@1", heard_at=9_990)
    bench.view_age = 1 << 40
    for _ in range(3 * MAX_SAMPLES):
        bench.answer(after_ms=SAMPLE_INTERVAL_MS)
    assert len(bench.starts._breaks["a@1"].answers) == MAX_SAMPLES


@pytest.mark.parametrize("answers", [False, True])
def test_the_end_of_a_doubt_is_told(answers):
    bench = Bench()
    assert bench.starts.get_doubt_end("a@1") == 0
    bench.starts.record_down("a@1")
    if answers:
        bench.answer(after_ms=500)
    end = 10_500 + PROVEN_MS if answers else 10_000 + LAPSED_MS
    assert bench.starts.get_doubt_end("a@1") == end
