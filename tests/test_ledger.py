"""The memory ledger: which memory counts as occupied, and when it is freed."""

import pytest
from msgspec.structs import replace

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.configuration.schema import Server
from arbutuspulley.placement import ledger as ledgers
from arbutuspulley.placement.ledger import (
    RESEND_AFTER_REPORTS,
    DoesNotFitError,
    OutdatedPlanError,
    add_load_intent,
    add_unload_intent,
    build_order,
    measure_occupied_mib,
    reconcile,
    record_accepted,
    record_refused,
    take_over,
)
from arbutuspulley.placement.records import (
    LedgerEntry,
    LedgerEntryState,
    ServerLedger,
    find_entry,
    is_reliable,
)
from arbutuspulley.ports.engines import ItemState, Report, ReportedItem

A = Item(name="a", key="a@1", memory_mib=60)
B = Item(name="b", key="b@1", memory_mib=60)
ADAPTER = Item(name="x", key="x@1", memory_mib=5, base_key="a@1")
CHECKING = Server(address="127.0.0.1:1", memory_mib=100, checks_orders=True)
NON_CHECKING = replace(CHECKING, checks_orders=False)
START = ServerLedger(server="s", fence=3, boot_id="boot-1")
LATER = RESEND_AFTER_REPORTS


def build_report(*items, sequence=1, boot="boot-1", **fields):
    """Build a report; an item is a key, if loaded, or a pair of key and state."""
    pairs = [item if isinstance(item, tuple) else (item, "loaded") for item in items]
    listed = tuple(
        ReportedItem(item=key, state=ItemState(state), memory_mib=60)
        for key, state in pairs
    )
    return Report(server="s", boot_id=boot, sequence=sequence, items=listed, **fields)


def load(known=START, item=A, server=NON_CHECKING):
    known = add_load_intent(known, server=server, item=item)
    return known, build_order(known, find_entry(known, item.key))


def run(known, *reports, server=NON_CHECKING):
    for report in reports:
        known = reconcile(known, server=server, report=report).ledger
    return known


def show(known, key="a@1"):
    entry = find_entry(known, key)
    return entry and (entry.state.value, measure_occupied_mib(known))


LOADING = ("loading", 60)
LOADED = ("loaded", 60)
UNLOADING = ("unloading", 60)
RESERVED = ("absent", 60)


@pytest.mark.parametrize(
    ("server", "report", "expected"),
    [
        (NON_CHECKING, build_report(sequence=99, last_order=9), LOADING),
        (NON_CHECKING, build_report("a@1"), LOADED),
        (NON_CHECKING, build_report(("a@1", "loading")), LOADING),
        (NON_CHECKING, build_report(boot="boot-2"), None),
        (CHECKING, build_report(sequence=99), LOADING),
        (CHECKING, build_report(fence=3, last_order=0), LOADING),
        (CHECKING, build_report(fence=2, last_order=9), LOADING),
        (CHECKING, build_report(fence=3, last_order=1), None),
        (CHECKING, build_report(fence=4, last_order=7), None),
        (CHECKING, build_report("a@1", fence=3, last_order=1), LOADED),
    ],
)
def test_lost_load_counts_until_absence_is_proven(server, report, expected):
    """A load order is lost or late, and reports do not list the item.

    If its memory is given to another model and the late order arrives after all, the
    server runs out of memory during a request. The late order is excluded only by a
    restart, or by a server that checks orders and has seen this or a newer order.
    """
    known, _ = load(server=server)
    assert show(run(known, report, server=server)) == expected


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        ([build_report("a@1", sequence=3)], UNLOADING),
        ([build_report(sequence=3)], None),
        ([build_report(("a@1", "unloading"), sequence=3)], UNLOADING),
        ([build_report(sequence=1), build_report(sequence=2)], UNLOADING),
    ],
)
def test_unload_frees_memory_once_a_newer_report_proves_it(reports, expected):
    """A report from before the load arrives after the unload was ordered.

    It does not list the item. If it counted as new, it would free the memory of an item
    that is still loaded, and the next load would overcommit the server.
    """
    known, _ = load()
    known = run(known, build_report("a@1", sequence=2))
    known = add_unload_intent(known, item="a@1")
    assert show(run(known, *reports)) == expected


def test_resent_load_stays_reserved_after_the_unload():
    """A load order is sent twice to a server without order checks, and one is late.

    The item is loaded and unloaded, and its memory is given to another item; then the
    late order arrives and loads the item again. The memory therefore stays reserved
    until the late order has taken effect.
    """
    known, _ = load()
    outcome = reconcile(known, server=NON_CHECKING, report=build_report(sequence=LATER))
    assert [order.number for order in outcome.resend] == [2]
    known = run(outcome.ledger, build_report("a@1", sequence=LATER + 1))
    known = add_unload_intent(known, item="a@1")
    known = run(known, build_report(sequence=LATER + 2))
    assert show(known) == RESERVED
    with pytest.raises(DoesNotFitError, match="20 MiB too little"):
        load(known, B)
    again, _ = load(known)
    assert show(again) == LOADING
    known = run(known, build_report("a@1", sequence=LATER + 3))
    known = run(add_unload_intent(known, item="a@1"), build_report(sequence=LATER + 4))
    assert known.entries == ()


@pytest.mark.parametrize(
    ("answer", "expected"),
    [(record_accepted, None), (record_refused, None), (None, RESERVED)],
)
def test_reply_to_a_resent_order_excludes_its_late_arrival(answer, expected):
    known, first = load()
    known = record_accepted(known, first)
    outcome = reconcile(known, server=NON_CHECKING, report=build_report(sequence=LATER))
    known = outcome.ledger
    if answer is not None:
        known = answer(known, outcome.resend[0])
    known = run(known, build_report("a@1", sequence=LATER + 1))
    known = add_unload_intent(known, item="a@1")
    assert show(run(known, build_report(sequence=LATER + 2))) == expected


def test_copy_that_a_late_unload_may_remove_is_not_relied_on():
    """An unload order is sent twice; one is late, and the item is loaded again.

    Another server unloads its copy because this one is ready. If the late unload then
    arrives here, the last copy is unloaded, and callers of the model are refused.
    """
    known = run(load()[0], build_report("a@1"))
    known = add_unload_intent(known, item="a@1")
    overdue = build_report("a@1", sequence=LATER + 1)
    known = run(known, overdue, build_report(sequence=LATER + 2))
    assert show(known) == ("absent", 0)
    known = run(load(known)[0], build_report("a@1", sequence=LATER + 3))
    assert show(known) == LOADED
    assert not is_reliable(find_entry(known, "a@1"))


def test_report_of_a_past_boot_is_ignored():
    """An engine restarts, and a report from before the restart arrives late.

    It would look like another restart, clear the ledger, and free the memory of items
    loaded since the restart.
    """
    known = run(START, build_report(boot="boot-2"))
    known = run(load(known)[0], build_report("a@1", sequence=2, boot="boot-2"))
    assert show(run(known, build_report(sequence=9))) == LOADED


@pytest.mark.parametrize(
    ("items", "fields", "expected"),
    [
        ((), {}, 60),
        (("a@1",), {}, 60),
        (("a@1", "b@1"), {}, 120),
        (("a@1",), {"memory_used_mib": 75}, 75),
        ((), {"memory_used_mib": 15}, 75),
    ],
)
def test_larger_of_ledger_and_report_counts_as_occupied(items, fields, expected):
    known, _ = load()
    assert measure_occupied_mib(known, build_report(*items, **fields)) == expected


def test_items_missing_from_the_ledger_are_adopted_from_a_report():
    """The table was restored from a backup, so the ledger is older than the server.

    The loaded items must be counted, and new orders numbered above all that the server
    has seen. Otherwise it would be overcommitted, or refuse every order as too old.
    """
    report = build_report("b@1", fence=3, last_order=41)
    outcome = reconcile(START, server=CHECKING, report=report)
    assert (outcome.loaded, outcome.corrected) == (("b@1",), ("b@1",))
    with pytest.raises(DoesNotFitError):
        load(outcome.ledger, A)
    assert outcome.ledger.next_order == 42


def test_new_owner_keeps_intents_and_resends_them_with_its_fence():
    """An owner's session expires after the commit of a load, before its order is sent.

    The former owner resumes later and sends the order. The new owner must count the
    load and order it again with its own fence, so that a server that checks orders
    refuses the old order.
    """
    known = take_over(load()[0], fence=8)
    assert show(known) == LOADING
    report = build_report(sequence=LATER, fence=3)
    outcome = reconcile(known, server=CHECKING, report=report)
    (order,) = outcome.resend
    assert (order.fence, order.number, order.boot_id) == (8, 2, "boot-1")
    with pytest.raises(OutdatedPlanError):
        take_over(known, fence=7)
    newer = build_report(sequence=LATER, fence=9)
    outcome = reconcile(known, server=CHECKING, report=newer)
    assert outcome.superseded and not outcome.resend


LOADED_ENTRY = LedgerEntry(
    item="a@1", memory_mib=60, state=LedgerEntryState.LOADED, number=1, seen=True
)


@pytest.mark.parametrize(
    ("entries", "act", "error"),
    [
        ((), lambda known: load(known, ADAPTER), OutdatedPlanError),
        ((LOADED_ENTRY,), lambda known: load(known), OutdatedPlanError),
        ((LOADED_ENTRY,), lambda known: load(known, B), DoesNotFitError),
        ((), lambda known: load(replace(known, boot_id="")), OutdatedPlanError),
        ((), lambda known: add_unload_intent(known, item="a@1"), OutdatedPlanError),
        (
            (replace(LOADED_ENTRY, state=LedgerEntryState.LOADING),),
            lambda known: add_unload_intent(known, item="a@1"),
            OutdatedPlanError,
        ),
        (
            (LOADED_ENTRY, replace(LOADED_ENTRY, item="x@1", base="a@1")),
            lambda known: add_unload_intent(known, item="a@1"),
            OutdatedPlanError,
        ),
    ],
)
def test_action_that_does_not_match_the_ledger_is_refused(entries, act, error):
    with pytest.raises(error):
        act(replace(START, entries=entries))


def test_reported_memory_limits_what_fits():
    report = build_report(memory_total_mib=50)
    with pytest.raises(DoesNotFitError, match="10 MiB too little"):
        add_load_intent(START, server=NON_CHECKING, item=A, report=report)


@pytest.mark.parametrize(
    ("report", "loaded", "unloaded", "corrected"),
    [
        (build_report("a@1"), ("a@1",), (), ()),
        (build_report("a@1", "b@1"), ("a@1", "b@1"), (), ("b@1",)),
        (build_report(boot="boot-2"), (), ("a@1",), ("a@1",)),
        (build_report("a@1", boot="boot-2"), ("a@1",), (), ()),
    ],
)
def test_reconciliation_lists_changed_items(report, loaded, unloaded, corrected):
    outcome = reconcile(load()[0], server=NON_CHECKING, report=report)
    assert outcome.changed
    shown = (outcome.loaded, outcome.unloaded, outcome.corrected)
    assert shown == (loaded, unloaded, corrected)


def test_report_without_changes_needs_no_commit():
    known = run(load()[0], build_report("a@1"))
    outcome = reconcile(
        known, server=NON_CHECKING, report=build_report("a@1", sequence=2)
    )
    assert not outcome.changed and outcome.ledger.sequence == 2
    assert (
        ledgers.reconcile(known, server=NON_CHECKING, report=build_report()).ledger
        is known
    )
