"""commit(): a transaction ends as it is said to end, whatever replies are lost."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.ports.commit import INITIAL_BACKOFF_MS, MAX_ATTEMPTS, commit
from arbutuspulley.ports.platform import (
    Committed,
    Conflict,
    Precondition,
    Table,
    Transaction,
    Write,
)
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from tests.fakes import FakePlatform


class Link:
    """A table behind a network that loses and delays what it carries.

    :param sends: what happens to each send in turn: ``ok``, ``reply_lost``,
        ``request_lost``, ``late`` (kept until :meth:`deliver_late`), ``overtaken``
        (late copies arrive first), ``refused``.
    """

    def __init__(self, *sends, pauses=()):
        self.far = FakePlatform().platform.table
        self.sends = list(sends)
        self.pauses = list(pauses)
        self.waited = []
        self.late = []
        self.applied = []
        self.table = Table(read=self._read, scan=self.far.scan, transact=self._transact)
        self.reads_refused = 0

    def apply(self, transaction):
        outcome = self.far.transact(transaction)
        if isinstance(outcome, Committed):
            self.applied.append(transaction.token)
        return outcome

    def deliver_late(self):
        while self.late:
            self.apply(self.late.pop(0))

    def pause(self, longest_ms):
        """Do what the test put into this pause."""
        self.waited.append(longest_ms)
        if self.pauses:
            self.pauses.pop(0)()

    def commit(self, transaction):
        return commit(self.table, transaction, pause=self.pause)

    def _read(self, key):
        if self.reads_refused:
            self.reads_refused -= 1
            raise PlatformUnavailableError(detail="refused")
        return self.far.read(key)

    def _transact(self, transaction):
        fault = self.sends.pop(0) if self.sends else "ok"
        if fault == "refused":
            raise PlatformUnavailableError(detail="refused")
        if fault == "request_lost":
            raise OutcomeUnknownError(detail="lost")
        if fault == "late":
            self.late.append(transaction)
            raise OutcomeUnknownError(detail="late")
        if fault == "overtaken":
            self.deliver_late()
        outcome = self.apply(transaction)
        if fault == "reply_lost":
            raise OutcomeUnknownError(detail="lost")
        return outcome


def build(token, *, head=0, change="", value=b"v"):
    """Return a write of ``head``, and of a row that is only ever inserted."""
    writes = [Write(key="head", value=value)]
    expected = [Precondition(key="head", revision=head)]
    if change:
        writes.append(Write(key=change, value=value))
        expected.append(Precondition(key=change, revision=0))
    return Transaction(token=token, preconditions=tuple(expected), writes=tuple(writes))


def test_a_reply_lost_after_the_write_is_found_again():
    """An operator presses approve; the change is written and the answer is lost.
    Told "conflict" or sent twice, she would see her own change as a stranger's.
    The row carries her transaction's token.
    """
    link = Link("reply_lost")
    assert link.commit(build("a")) == Committed(revision=1)
    assert link.applied == ["a"]


def test_a_lost_request_is_sent_again():
    """The connection breaks and the request never arrives; nothing was written.
    The row is still at the expected revision, so the same transaction goes again.
    """
    link = Link("request_lost", "request_lost")
    assert link.commit(build("a")) == Committed(revision=1)


def test_a_first_copy_that_overtakes_the_second_is_no_conflict():
    """A request hangs in the network; the row looks untouched, so it goes again.
    The first copy arrives in between, and the second collides with it. Reported
    as a conflict, the writer would believe that someone else had won.
    """
    link = Link("late", "overtaken")
    assert link.commit(build("a")) == Committed(revision=1)


def test_a_copy_that_arrives_last_changes_nothing():
    """A request hangs, its second copy is taken, another writer goes on from
    there, and only then does the first copy arrive. It must not bring the old
    value back: its precondition names a revision that never returns.
    """
    link = Link("late")
    assert link.commit(build("a")) == Committed(revision=1)
    link.apply(build("b", head=1, value=b"newer"))
    link.deliver_late()
    assert link.far.read("head").value == b"newer"
    assert link.applied == ["a", "b"]


def test_a_lost_request_that_another_writer_beat_is_a_conflict():
    """Two operators approve at once; one request is lost, the other one wins.
    The loser must hear of a conflict and not wait for ever: the winner's row says
    that it replaced the very revision that the loser expected.
    """
    link = Link("request_lost", pauses=[lambda: link.apply(build("b"))])
    assert link.commit(build("a")) == Conflict(key="head", revision=1)
    assert link.applied == ["b"]


@pytest.mark.parametrize("change", ["change/1", ""], ids=["insert_only_row", "none"])
def test_a_write_that_was_written_over_is_never_called_a_conflict(change):
    """A change is taken, its reply is lost, and a second operator's change follows
    before the first one reads back. "Conflict" would tell her that her change is
    not in force. A row that is never written over proves the opposite; without
    one, nobody can know, and that is said.
    """
    link = Link(
        "reply_lost", pauses=[lambda: link.apply(build("b", head=1, value=b"w"))]
    )
    if change:
        assert link.commit(build("a", change=change)) == Committed(revision=1)
        return
    with pytest.raises(OutcomeUnknownError):
        link.commit(build("a"))


@pytest.mark.parametrize(
    ("reads_refused", "sends"),
    [(MAX_ATTEMPTS, ["reply_lost"]), (0, ["late", *["refused"] * MAX_ATTEMPTS])],
    ids=["read_back", "second_send"],
)
def test_an_outage_after_a_lost_reply_is_not_called_no_effect(reads_refused, sends):
    """A write leaves, its reply is lost, and the store goes down at once.
    The store then refuses the read back, or the second copy. "Certainly no
    effect" holds for those and not for the first copy, which has been or will be
    taken: a booking would be sent again.
    """
    link = Link(*sends)
    link.reads_refused = reads_refused
    with pytest.raises(OutcomeUnknownError):
        link.commit(build("a"))
    link.deliver_late()
    assert link.applied == ["a"]
    assert link.waited == [
        INITIAL_BACKOFF_MS << number for number in range(MAX_ATTEMPTS)
    ]


def test_a_short_outage_after_a_lost_reply_is_waited_out():
    """As above, but the store is back before the tries are used up."""
    link = Link("reply_lost")
    link.reads_refused = MAX_ATTEMPTS - 1
    assert link.commit(build("a")) == Committed(revision=1)


def test_a_lost_deletion_is_not_taken_for_the_own_one():
    """A slot is given back, the reply is lost, and the row is gone: another
    process may have removed it, so neither answer would be certain.
    """
    link = Link("ok", "reply_lost")
    link.commit(build("a"))
    with pytest.raises(OutcomeUnknownError):
        link.commit(build("b", head=1, value=None))


@pytest.mark.parametrize("guarded", [(), ("other",)])
def test_a_transaction_whose_copies_could_both_apply_is_refused(guarded):
    link = Link()
    transaction = Transaction(
        token="a",
        preconditions=tuple(Precondition(key=key, revision=0) for key in guarded),
        writes=(Write(key="head", value=b"v"),),
    )
    with pytest.raises(ValueError, match="no written row"):
        link.commit(transaction)
    assert link.applied == []


def test_an_immediate_answer_is_passed_on():
    link = Link("ok", "ok", "refused")
    assert link.commit(build("a")) == Committed(revision=1)
    assert link.commit(build("b")) == Conflict(key="head", revision=1)
    with pytest.raises(PlatformUnavailableError):
        link.commit(build("c"))
    assert link.waited == []


FAULTS = st.sampled_from(
    ["ok", "reply_lost", "request_lost", "late", "overtaken", "refused"]
)


@given(
    sends=st.lists(FAULTS, max_size=24),
    rivals=st.lists(st.booleans(), max_size=16),
    deliveries=st.lists(st.booleans(), max_size=16),
)
def test_what_commit_says_is_true(sends, rivals, deliveries):
    """Operators approve in turn while requests and replies are lost, late copies
    arrive and rivals write at any moment. What commit() says must be what the
    table's history shows, also after the last late copy has arrived.
    """
    link = Link(*sends)

    def interfere(_longest_ms=0):
        if deliveries and deliveries.pop():
            link.deliver_late()
        if rivals and rivals.pop():
            row = link.far.read("head")
            link.apply(build(f"r{len(rivals)}", head=row.revision if row else 0))

    said = {}
    for number in range(4):
        token = f"own{number}"
        row = link.far.read("head")
        change = f"change/{number}" if number % 2 else ""
        own = build(token, head=row.revision if row else 0, change=change)
        interfere()
        try:
            said[token] = type(commit(link.table, own, pause=interfere))
        except (OutcomeUnknownError, PlatformUnavailableError) as error:
            said[token] = type(error)
    link.deliver_late()
    for token, outcome in said.items():
        times = link.applied.count(token)
        assert times <= 1
        if outcome is Committed:
            assert times == 1
        if outcome in (Conflict, PlatformUnavailableError):
            assert times == 0
