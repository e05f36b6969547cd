"""commit(): the reported outcome is correct even if requests and replies are lost."""

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


class UnreliableTable:
    """A table behind a network that loses and delays messages.

    :param sends: fate of each sent transaction in turn: ``ok``, ``reply_lost``,
        ``request_lost``, ``late`` (held back until :meth:`deliver_late`),
        ``overtaken`` (late copies arrive first), ``refused``.
    :param pauses: called in turn, one in each backoff of ``commit``.
    """

    def __init__(self, *sends, pauses=()):
        self.remote = FakePlatform().platform.table
        self.sends = list(sends)
        self.pauses = list(pauses)
        self.waited = []
        self.late = []
        self.applied = []
        self.table = Table(
            read=self._read, scan=self.remote.scan, transact=self._transact
        )
        self.reads_refused = 0

    def apply(self, transaction):
        outcome = self.remote.transact(transaction)
        if isinstance(outcome, Committed):
            self.applied.append(transaction.token)
        return outcome

    def deliver_late(self):
        while self.late:
            self.apply(self.late.pop(0))

    def pause(self, longest_ms):
        """Record the backoff and call the test's function for it."""
        self.waited.append(longest_ms)
        if self.pauses:
            self.pauses.pop(0)()

    def commit(self, transaction):
        return commit(self.table, transaction, pause=self.pause)

    def _read(self, key):
        if self.reads_refused:
            self.reads_refused -= 1
            raise PlatformUnavailableError(detail="refused")
        return self.remote.read(key)

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
    """Return a transaction that writes ``head``, and inserts the row ``change``."""
    writes = [Write(key="head", value=value)]
    expected = [Precondition(key="head", revision=head)]
    if change:
        writes.append(Write(key=change, value=value))
        expected.append(Precondition(key=change, revision=0))
    return Transaction(token=token, preconditions=tuple(expected), writes=tuple(writes))


def test_a_write_with_a_lost_reply_is_recognised_by_its_token():
    """An operator approves a change; it is written, and the reply is lost. Reported as
    a conflict or sent twice, her own change would look like another operator's. The row
    has her transaction's token.
    """
    unreliable = UnreliableTable("reply_lost")
    assert unreliable.commit(build("a")) == Committed(revision=1)
    assert unreliable.applied == ["a"]


def test_a_lost_request_is_retried():
    """The connection breaks and the request never arrives; nothing is written. The row
    is still at the expected revision, so the same transaction is retried.
    """
    unreliable = UnreliableTable("request_lost", "request_lost")
    assert unreliable.commit(build("a")) == Committed(revision=1)


def test_a_conflict_with_the_own_first_copy_is_a_commit():
    """A request is delayed in the network; the row is unchanged, so it is retried. The
    first copy arrives in between, and the second conflicts with it. Reported as a
    conflict, it would look like another writer's success.
    """
    unreliable = UnreliableTable("late", "overtaken")
    assert unreliable.commit(build("a")) == Committed(revision=1)


def test_a_late_copy_changes_nothing():
    """A request is delayed, its second copy is applied, another writer writes after it,
    and only then does the first copy arrive. It must not restore the old value: its
    precondition has a revision that is never reused.
    """
    unreliable = UnreliableTable("late")
    assert unreliable.commit(build("a")) == Committed(revision=1)
    unreliable.apply(build("b", head=1, value=b"newer"))
    unreliable.deliver_late()
    assert unreliable.remote.read("head").value == b"newer"
    assert unreliable.applied == ["a", "b"]


def test_a_lost_request_after_another_write_is_a_conflict():
    """Two operators approve at once; one request is lost, and the other is applied. The
    first must get a conflict and not wait forever: the written row shows that it
    replaced the revision that the lost request expected.
    """
    unreliable = UnreliableTable(
        "request_lost", pauses=[lambda: unreliable.apply(build("b"))]
    )
    assert unreliable.commit(build("a")) == Conflict(key="head", revision=1)
    assert unreliable.applied == ["b"]


@pytest.mark.parametrize("change", ["change/1", ""], ids=["insert_only_row", "none"])
def test_an_overwritten_commit_is_never_reported_as_conflict(change):
    """A change is applied, its reply is lost, and a second operator's change follows
    before the first operator reads back. A conflict would mean that the first change
    was not applied. A row that is only ever inserted proves that it was; without such
    a row the outcome is unknown, and is reported so.
    """
    unreliable = UnreliableTable(
        "reply_lost", pauses=[lambda: unreliable.apply(build("b", head=1, value=b"w"))]
    )
    if change:
        assert unreliable.commit(build("a", change=change)) == Committed(revision=1)
        return
    with pytest.raises(OutcomeUnknownError):
        unreliable.commit(build("a"))


@pytest.mark.parametrize(
    ("reads_refused", "sends"),
    [(MAX_ATTEMPTS, ["reply_lost"]), (0, ["late", *["refused"] * MAX_ATTEMPTS])],
    ids=["read_back", "second_send"],
)
def test_an_outage_after_a_lost_reply_leaves_the_outcome_unknown(reads_refused, sends):
    """A write is sent, its reply is lost, and the store goes down at once. The store
    then refuses the read-back, or the second copy. These certainly had no effect, but
    the first copy was or will be applied: reported as "no effect", a booking would be
    sent twice.
    """
    unreliable = UnreliableTable(*sends)
    unreliable.reads_refused = reads_refused
    with pytest.raises(OutcomeUnknownError):
        unreliable.commit(build("a"))
    unreliable.deliver_late()
    assert unreliable.applied == ["a"]
    assert unreliable.waited == [
        INITIAL_BACKOFF_MS << number for number in range(MAX_ATTEMPTS)
    ]


def test_a_short_outage_after_a_lost_reply_is_survived():
    """As above, but the store recovers before the attempts are exhausted."""
    unreliable = UnreliableTable("reply_lost")
    unreliable.reads_refused = MAX_ATTEMPTS - 1
    assert unreliable.commit(build("a")) == Committed(revision=1)


def test_a_deletion_with_a_lost_reply_has_an_unknown_outcome():
    """A slot is released, the reply is lost, and the row is absent: another process may
    have deleted it, so neither outcome is certain.
    """
    unreliable = UnreliableTable("ok", "reply_lost")
    unreliable.commit(build("a"))
    with pytest.raises(OutcomeUnknownError):
        unreliable.commit(build("b", head=1, value=None))


@pytest.mark.parametrize("guarded", [(), ("other",)])
def test_a_transaction_that_is_not_idempotent_is_refused(guarded):
    unreliable = UnreliableTable()
    transaction = Transaction(
        token="a",
        preconditions=tuple(Precondition(key=key, revision=0) for key in guarded),
        writes=(Write(key="head", value=b"v"),),
    )
    with pytest.raises(ValueError, match="no written row"):
        unreliable.commit(transaction)
    assert unreliable.applied == []


def test_an_immediate_reply_is_returned():
    unreliable = UnreliableTable("ok", "ok", "refused")
    assert unreliable.commit(build("a")) == Committed(revision=1)
    assert unreliable.commit(build("b")) == Conflict(key="head", revision=1)
    with pytest.raises(PlatformUnavailableError):
        unreliable.commit(build("c"))
    assert unreliable.waited == []


FAULTS = st.sampled_from(
    ["ok", "reply_lost", "request_lost", "late", "overtaken", "refused"]
)


@given(
    sends=st.lists(FAULTS, max_size=24),
    other_writes=st.lists(st.booleans(), max_size=16),
    deliveries=st.lists(st.booleans(), max_size=16),
)
def test_the_reported_outcome_matches_the_history(sends, other_writes, deliveries):
    """Operators approve in turn while requests and replies are lost, late copies arrive
    and others write at any time. The outcomes that commit() reports must match the
    table's history, also after the last late copy has arrived.
    """
    unreliable = UnreliableTable(*sends)

    def interfere(_longest_ms=0):
        if deliveries and deliveries.pop():
            unreliable.deliver_late()
        if other_writes and other_writes.pop():
            row = unreliable.remote.read("head")
            unreliable.apply(
                build(f"r{len(other_writes)}", head=row.revision if row else 0)
            )

    outcomes = {}
    for number in range(4):
        token = f"own{number}"
        row = unreliable.remote.read("head")
        change = f"change/{number}" if number % 2 else ""
        own = build(token, head=row.revision if row else 0, change=change)
        interfere()
        try:
            outcomes[token] = type(commit(unreliable.table, own, pause=interfere))
        except (OutcomeUnknownError, PlatformUnavailableError) as error:
            outcomes[token] = type(error)
    unreliable.deliver_late()
    for token, outcome in outcomes.items():
        times = unreliable.applied.count(token)
        assert times <= 1
        if outcome is Committed:
            assert times == 1
        if outcome in (Conflict, PlatformUnavailableError):
            assert times == 0
