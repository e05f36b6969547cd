"""Preconditions and writes of the placement transactions."""

import pytest

from arbutuspulley.placement.records import (
    CopiesRecord,
    LedgerEntry,
    LedgerEntryState,
    ServerLedger,
    SlotRecord,
    decode,
)
from arbutuspulley.placement.transactions import (
    CopiesRow,
    LastCopyError,
    LedgerRow,
    SlotRow,
    build_confirmation,
    build_load_intent,
    build_slot_release,
    build_unload_intent,
    update_copies,
)
from arbutuspulley.ports.platform import Precondition

ENTRY = LedgerEntry(item="a@1", memory_mib=1, state=LedgerEntryState.LOADED, number=1)
LEDGER = ServerLedger(server="s0", fence=2, entries=(ENTRY,))
OWNER = Precondition(key="g/owner/s0", revision=5)
ROW = LedgerRow(ledger=LEDGER, revision=4, owner=OWNER)
COMMON = {"token": "t", "group": "g", "row": ROW}


def build_copies(*servers, item="a@1", revision=7):
    record = CopiesRecord(item=item, servers=servers)
    return CopiesRow(record=record, revision=revision)


def show(transaction):
    expected = {known.key: known.revision for known in transaction.preconditions}
    return expected, [write.key for write in transaction.writes]


OWN = {"g/ledger/s0": 4, "g/owner/s0": 5}


@pytest.mark.parametrize(
    ("transaction", "expected", "written"),
    [
        (
            build_load_intent(
                **COMMON, slot=SlotRow(number=1, revision=3), holder=SlotRecord()
            ),
            {**OWN, "g/load-slot/1": 3},
            ["g/ledger/s0", "g/load-slot/1"],
        ),
        (
            build_unload_intent(
                **COMMON, copies=build_copies("s0", "s1"), usable={"s1"}
            ),
            {**OWN, "g/copies/a@1": 7},
            ["g/ledger/s0", "g/copies/a@1"],
        ),
        (
            build_unload_intent(
                **COMMON,
                copies=build_copies("s0"),
                usable={"s1"},
                min_copies=0,
                successor=build_copies("s1", item="a@2", revision=8),
            ),
            {**OWN, "g/copies/a@1": 7, "g/copies/a@2": 8},
            ["g/ledger/s0", "g/copies/a@1"],
        ),
        (
            build_confirmation(
                **COMMON, copies=[build_copies("s1"), build_copies("s0", item="b@1")]
            ),
            {**OWN, "g/copies/a@1": 7, "g/copies/b@1": 7},
            ["g/ledger/s0", "g/copies/a@1", "g/copies/b@1"],
        ),
        (
            build_confirmation(**COMMON, copies=[build_copies("s0", "s1")]),
            OWN,
            ["g/ledger/s0"],
        ),
        (
            build_slot_release(
                token="t", group="g", slot=SlotRow(number=0, revision=9)
            ),
            {"g/load-slot/0": 9},
            ["g/load-slot/0"],
        ),
    ],
    ids=["load", "unload", "replace", "confirm", "nothing-new", "release"],
)
def test_transaction_has_all_rows_of_its_decision_as_preconditions(
    transaction, expected, written
):
    assert show(transaction) == (expected, written)


@pytest.mark.parametrize(
    ("servers", "usable", "options"),
    [
        (("s0",), {"s0", "s1"}, {}),
        (("s0", "s1"), {"s0"}, {}),
        (("s0", "s1"), {"s0", "s1"}, {"min_copies": 2}),
        (("s0",), {"s1"}, {"min_copies": 0, "successor": build_copies(item="a@2")}),
        (
            ("s0",),
            {"s2"},
            {"min_copies": 0, "successor": build_copies("s1", item="a@2")},
        ),
    ],
    ids=["alone", "other-is-down", "too-few", "no-successor", "successor-is-down"],
)
def test_last_copy_is_not_unloaded(servers, usable, options):
    """Two owners each unload the copy that the other relies on, or a server dies.

    Callers of the model would be refused until it is loaded again. Each unload has the
    revision of the copies that it counted as a precondition, so the second conflicts.
    """
    with pytest.raises(LastCopyError):
        build_unload_intent(
            **COMMON, copies=build_copies(*servers), usable=usable, **options
        )


@pytest.mark.parametrize(
    ("before", "alive", "after"),
    [
        (("s1",), True, ("s0", "s1")),
        (("s0", "s1"), True, ("s0", "s1")),
        (("s0", "s1"), False, ("s1",)),
    ],
)
def test_copies_follow_the_ledger(before, alive, after):
    record = CopiesRecord(item="a@1", servers=before)
    assert update_copies(record, ledger=LEDGER, alive=alive).servers == after


def test_unload_removes_the_server_from_the_copies():
    transaction = build_unload_intent(
        **COMMON, copies=build_copies("s0", "s1"), usable={"s1"}
    )
    record = decode(transaction.writes[1].value, CopiesRecord)
    assert record.servers == ("s1",)
