"""The rows in which begun streams are recorded, and who writes and removes them."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutuspulley.delivery import stream_records
from arbutuspulley.delivery.begun_streams import MAX_RETENTION_MS, BegunStream
from arbutuspulley.delivery.stream_records import (
    MAX_BATCH_ROWS,
    MAX_REMOVED_ROWS,
    MAX_ROW_STREAMS,
    MIN_EXTENSION_MS,
    REMOVAL_MARGIN_MS,
    RecordGroup,
    RecordRow,
    StreamJournal,
    build_row,
    decode_row,
    list_streams,
)
from arbutuspulley.ports.fleet import SoftwareVersion

V1, V2 = SoftwareVersion(name="v1"), SoftwareVersion(name="v2")
NOW = 50_000
STORE_NOW = 9_000_000
"""Readings of the own and of the store's clock at the same moment, in ms."""

ROW_BYTES = 64_000
TRANSACTION_BYTES = 1_000_000
KEYS = st.integers(min_value=1, max_value=2**64 - 1)
NAMES = st.sampled_from(["llm", "chat", "é" * 30, "s" * 100])
VERSIONS = st.sampled_from(
    [V1, V2, SoftwareVersion(name=""), SoftwareVersion(name="ü")]
)


def build_stream(version=V1, *, service="llm", expires_at=NOW + 17_000):
    return BegunStream(service=service, version=version, expires_at=expires_at)


def take(journal, *, later=0):
    return journal.take_batch(now=NOW + later, store_now=STORE_NOW + later)


def list_batch(batch, *, later=0):
    rows = [decode_row(value) for value in batch.put.values()]
    return list_streams(rows, now=NOW + later, store_now=STORE_NOW + later)


def adopt(journal, rows, *, later=0):
    journal.adopt(rows, now=NOW + later, store_now=STORE_NOW + later)


def fill(journal, keys, **changes):
    for key in keys:
        journal.add(key, build_stream(**changes))


def write(journal, *, later=0):
    """Write the next batch."""
    batch = take(journal, later=later)
    journal.confirm(batch)
    return batch


streams_strategy = st.dictionaries(
    KEYS,
    st.builds(
        BegunStream,
        service=NAMES,
        version=VERSIONS,
        expires_at=st.integers(NOW + 1, NOW + MAX_RETENTION_MS),
    ),
    min_size=1,
    max_size=50,
)


@given(streams=streams_strategy, shift=st.integers(-(10**9), 10**9))
def test_a_row_names_each_stream_as_it_began(streams, shift):
    """Guards against a row by which a stream goes on at another service or version,
    and against clocks of the store and of processes that are taken for one."""
    row = build_row(streams, now=NOW, store_now=STORE_NOW + shift)
    decoded = decode_row(msgspec.msgpack.encode(row))
    found = list_streams([decoded], now=7, store_now=STORE_NOW + shift)
    latest = max(stream.expires_at for stream in streams.values())
    assert {key: (known.service, known.version) for key, known in found.items()} == {
        key: (stream.service, stream.version) for key, stream in streams.items()
    }
    assert {known.expires_at for known in found.values()} == {latest - NOW + 7}


@given(st.binary(max_size=200))
def test_a_row_of_any_bytes_is_read_or_left_out(value):
    """Guards against a row that nobody can read, and that stops all reading."""
    row = decode_row(value)
    assert row is None or list_streams([row], now=0, store_now=0) is not None


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode({"groups": []}),
        msgspec.msgpack.encode({"groups": [], "expires_at": "soon"}),
        msgspec.msgpack.encode(
            RecordRow(
                groups=(RecordGroup(service="llm", version="v1", keys=b"1234567"),),
                expires_at=1,
            )
        ),
    ],
    ids=["empty", "no msgpack", "no time", "time of another type", "torn key"],
)
def test_a_torn_row_is_left_out(value):
    assert decode_row(value) is None


def test_a_row_of_a_newer_release_is_read():
    row = {"groups": [], "expires_at": 5, "added": [1]}
    assert decode_row(msgspec.msgpack.encode(row)).expires_at == 5


@pytest.mark.parametrize("back_ms", [1_000, 10**9])
def test_a_clock_of_the_store_that_goes_back_keeps_streams_for_a_bounded_time(back_ms):
    """Guards against streams that fill the memory of instances for good."""
    row = build_row({1: build_stream()}, now=NOW, store_now=STORE_NOW)
    found = list_streams([row], now=NOW, store_now=STORE_NOW - back_ms)
    assert NOW + 17_000 < found[1].expires_at <= NOW + MAX_RETENTION_MS


def test_expired_rows_name_no_stream():
    row = build_row({1: build_stream()}, now=NOW, store_now=STORE_NOW)
    assert list_streams([row], now=0, store_now=STORE_NOW + 16_999)
    assert not list_streams([row], now=0, store_now=STORE_NOW + 17_000)


def test_of_two_rows_of_a_stream_the_later_one_counts():
    """Guards against a resumed stream that is forgotten with the row of its first
    attempt, whichever row is read last."""
    early = build_row({1: build_stream()}, now=NOW, store_now=STORE_NOW)
    later = build_row(
        {1: build_stream(expires_at=NOW + 30_000)}, now=NOW, store_now=STORE_NOW
    )
    for rows in ([early, later], [later, early]):
        found = list_streams(rows, now=NOW, store_now=STORE_NOW)
        assert found[1].expires_at == NOW + 30_000


def test_the_same_rows_are_written_until_they_are_acknowledged():
    """Guards against streams whose row was lost with a failed call, and rows that a
    repeated call writes twice under other keys."""
    journal = StreamJournal(writer="a")
    fill(journal, [1, 2])
    first = take(journal)
    assert take(journal) == first
    assert journal.has_unwritten
    journal.confirm(first)
    assert take(journal) is None
    assert not journal.has_unwritten
    fill(journal, [3])
    assert not first.put.keys() & take(journal).put.keys()


def test_a_stream_is_recorded_once():
    journal = StreamJournal(writer="a")
    assert journal.add(1, build_stream())
    assert not journal.add(1, build_stream())
    write(journal)
    assert not journal.add(1, build_stream())
    assert take(journal) is None


def test_a_resumed_stream_is_recorded_again_for_its_new_deadline():
    """Guards against a stream that goes on after one power failure and is forgotten at
    the next, as its row expires with the deadline of its first attempt."""
    journal = StreamJournal(writer="a")
    fill(journal, [1])
    rows = {**write(journal).put}
    assert journal.add(1, build_stream(expires_at=NOW + 27_000))
    batch = write(journal, later=10_000)
    rows.update(batch.put)
    decoded = [decode_row(value) for value in rows.values()]
    assert list_streams(decoded, now=NOW, store_now=STORE_NOW + 20_000)[1].version == V1
    write(journal, later=23_000)
    assert not journal.add(1, build_stream(expires_at=NOW + 27_000))


def test_rows_are_removed_after_their_streams():
    journal = StreamJournal(writer="a")
    fill(journal, [1])
    keys = tuple(write(journal).put)
    assert take(journal, later=17_000 + REMOVAL_MARGIN_MS - 1) is None
    batch = write(journal, later=17_000 + REMOVAL_MARGIN_MS)
    assert (batch.put, batch.remove) == ({}, keys)
    assert len(journal) == 0
    assert journal.add(1, build_stream(expires_at=NOW + 90_000))


def test_a_removal_is_repeated_until_it_is_acknowledged():
    """Guards against rows that stay in the store for good, as the call that removes
    them fails once."""
    journal = StreamJournal(writer="a")
    fill(journal, [1])
    keys = tuple(write(journal).put)
    for later in (30_000, 31_000):
        assert take(journal, later=later).remove == keys
    journal.confirm(take(journal, later=32_000))
    assert take(journal, later=33_000) is None


def test_a_row_that_may_have_been_written_is_removed():
    """Guards against rows that stay as the answer to their only write was lost."""
    journal = StreamJournal(writer="a")
    fill(journal, [1])
    keys = tuple(take(journal).put)
    batch = take(journal, later=30_000)
    assert (batch.put, batch.remove) == ({}, keys)


def test_expired_streams_are_not_written():
    journal = StreamJournal(writer="a")
    fill(journal, [1])
    assert take(journal, later=17_000) is None
    assert not journal.has_unwritten


def test_many_rows_are_removed_in_several_calls():
    journal = StreamJournal(writer="a")
    for key in range(1, MAX_REMOVED_ROWS + 11):
        fill(journal, [key])
        write(journal)
    assert len(write(journal, later=60_000).remove) == MAX_REMOVED_ROWS
    assert len(write(journal, later=60_000).remove) == 10
    assert take(journal, later=60_000) is None


def test_more_streams_than_a_row_holds_are_spread():
    """Guards against rows and calls that the store refuses for their size."""
    count = MAX_ROW_STREAMS * (MAX_BATCH_ROWS + 2) + 1
    journal = StreamJournal(writer="a")
    fill(journal, range(1, count + 1))
    recorded = set()
    while batch := take(journal):
        journal.confirm(batch)
        assert len(batch.put) <= MAX_BATCH_ROWS
        assert max(map(len, batch.put.values())) <= ROW_BYTES
        assert sum(map(len, batch.put.values())) * 4 / 3 < 0.95 * TRANSACTION_BYTES
        recorded.update(list_batch(batch))
    assert len(recorded) == count


def test_streams_of_many_services_fit_too():
    """Guards against a row that the store refuses again and again as the names of
    services and versions take more room than the keys: nothing is recorded any more."""
    journal = StreamJournal(writer="a")
    for key in range(1, 12_001):
        version = SoftwareVersion(name=f"{key % 7}" * 64)
        service = f"service-{key % 400}" * 5
        journal.add(key, build_stream(version, service=service))
    recorded = set()
    while batch := take(journal):
        journal.confirm(batch)
        assert max(map(len, batch.put.values())) <= ROW_BYTES
        assert sum(map(len, batch.put.values())) * 4 / 3 < 0.98 * TRANSACTION_BYTES
        recorded.update(list_batch(batch))
    assert len(recorded) == 12_000


def test_all_rows_are_written_again_after_the_store_has_lost_some():
    """Guards against streams that the store has lost with the newest rows."""
    journal = StreamJournal(writer="a")
    fill(journal, [1])
    written = write(journal)
    adopt(
        journal, {"b-1": build_row({2: build_stream()}, now=NOW, store_now=STORE_NOW)}
    )
    journal.restart()
    batch = take(journal)
    assert batch.put.keys() == {*written.put, "b-1"}
    assert list_batch(batch).keys() == {1, 2}


def test_a_coordinator_takes_over_rows_and_removes_them():
    """Guards against rows of dead processes that stay for good, and against streams
    that each new coordinator records once more."""
    journal = StreamJournal(writer="b")
    journal.awaits_records = True
    fill(journal, [1, 3])
    row = build_row(
        {1: build_stream(), 2: build_stream(V2)}, now=NOW, store_now=STORE_NOW
    )
    adopt(journal, {"a-1": row})
    assert not journal.awaits_records
    assert not journal.add(2, build_stream(V2))
    assert list_batch(write(journal)).keys() == {3}
    assert set(take(journal, later=30_000).remove) == {"a-1", "b-1"}


def test_adopted_rows_are_removed_whatever_their_clock_was():
    """Guards against rows that stay for hours, as the store has come back with a clock
    that is behind the one by which they expire."""
    journal = StreamJournal(writer="b")
    row = build_row({1: build_stream()}, now=NOW, store_now=STORE_NOW + 10**9)
    adopt(journal, {"a-1": row})
    later = MAX_RETENTION_MS + REMOVAL_MARGIN_MS
    assert take(journal, later=later - 1) is None
    assert take(journal, later=later).remove == ("a-1",)


def test_a_former_coordinator_leaves_written_rows_alone():
    """Guards against two processes that remove the same rows, and streams that are in
    no row as the coordinator changed before they were written."""
    journal = StreamJournal(writer="a")
    fill(journal, [1])
    write(journal)
    fill(journal, [2])
    unwritten = take(journal)
    journal.release()
    assert journal.awaits_records
    assert take(journal) == unwritten
    assert journal.add(1, build_stream())
    assert not journal.add(2, build_stream())


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(1, 30)),
        st.tuples(st.just("wait"), st.integers(1, 12_000)),
        st.tuples(
            st.just("write"), st.sampled_from(["done", "failed", "lost", "restored"])
        ),
        st.tuples(st.just("copy"), st.none()),
        st.tuples(st.just("take over"), st.none()),
    ),
    max_size=60,
)


class Replay:
    """A journal and its store, and which streams began at which version."""

    def __init__(self):
        self.later = 0
        self.number = 0
        self.journal = StreamJournal(writer="p0")
        self.rows = {}
        self.copied = {}
        self.begun = {}

    def add(self, key):
        expires_at = NOW + self.later + 17_000
        _expires_at, version = self.begun.get(key, (0, V1 if key % 2 else V2))
        self.begun[key] = (expires_at, version)
        self.journal.add(key, build_stream(version, expires_at=expires_at))

    def wait(self, passed_ms):
        self.later += passed_ms

    def write(self, outcome):
        batch = take(self.journal, later=self.later)
        if outcome == "restored":
            self.rows = {**self.copied}
            self.journal.restart()
            return
        if batch is None or outcome == "failed":
            return
        self.rows.update(batch.put)
        for key in batch.remove:
            self.rows.pop(key, None)
        if outcome == "done":
            self.journal.confirm(batch)

    def copy(self, _value):
        self.copied = {**self.rows}

    def take_over(self, _value):
        self.finish()
        self.number += 1
        self.journal = StreamJournal(writer=f"p{self.number}")
        adopt(
            self.journal,
            {key: decode_row(value) for key, value in self.rows.items()},
            later=self.later,
        )

    def finish(self):
        self.write("done")
        while self.journal.has_unwritten:
            self.write("done")

    def check(self):
        rows = [decode_row(value) for value in self.rows.values()]
        now = NOW + self.later
        found = list_streams(rows, now=now, store_now=STORE_NOW + self.later)
        for key, (expires_at, version) in self.begun.items():
            if expires_at - MIN_EXTENSION_MS >= now:
                assert found[key].version == version
                assert found[key].expires_at > expires_at - MIN_EXTENSION_MS


@settings(deadline=None, max_examples=200)
@given(operations=OPERATIONS)
def test_rows_name_all_streams_whatever_fails_and_are_removed_at_last(operations):
    """Guards against a stream that is in no row, or in one of another version, after
    failed calls, lost answers, older copies and new coordinators, and against rows
    that nobody removes."""
    replay = Replay()
    for name, value in operations:
        getattr(replay, name.replace(" ", "_"))(value)
    replay.finish()
    replay.check()
    replay.later += 100_000
    for _ in range(3):
        replay.write("done")
    restored = {key for key in replay.rows if key in replay.copied}
    assert replay.rows.keys() <= restored


def test_records_are_bounded(monkeypatch):
    """Guards against a coordinator that runs out of memory as callers state deadlines
    of ten minutes: the oldest records are given up."""
    monkeypatch.setattr(stream_records, "MAX_STREAMS", 10)
    journal = StreamJournal(writer="w")
    kept = {}
    for first in range(1, 21, 5):
        fill(journal, range(first, first + 5))
        batch = take(journal)
        assert len(batch.put) == 1
        kept |= batch.put
        for key in batch.remove:
            del kept[key]
        journal.confirm(batch)
    rows = [decode_row(value) for value in kept.values()]
    streams = list_streams(rows, now=NOW, store_now=STORE_NOW)
    assert set(streams) == set(range(11, 21))
