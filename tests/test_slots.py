"""Load slots of the weight store: which load takes which slot, and its release."""

import pytest

from arbutuspulley.configuration.schema import WeightStore
from arbutuspulley.placement.records import (
    LedgerEntry,
    LedgerEntryState,
    ServerLedger,
    SlotRecord,
)
from arbutuspulley.placement.slots import (
    TURN_TIMEOUT_MS,
    can_release,
    choose_slot,
    compute_min_hold_ms,
)
from arbutuspulley.placement.transactions import SlotRow

STORE = WeightStore(loads_per_minute=60, loads_at_once=2)
HOLD_MS = 2_000
NOW = 100_000
FREE = SlotRecord()
HELD = SlotRecord(session="other", server="s", item="a@1", number=1)


def build_ledger(state):
    entry = LedgerEntry(item="a@1", memory_mib=1, state=state, number=1)
    return ServerLedger(server="s", entries=(entry,))


LOADING = build_ledger(LedgerEntryState.LOADING)
LOADED = build_ledger(LedgerEntryState.LOADED)


@pytest.mark.parametrize(
    ("per_minute", "at_once", "hold_ms"),
    [(60, 2, 2_000), (120, 3, 1_500), (7, 1, 8_572)],
)
def test_hold_time_limits_the_rate_of_all_slots(per_minute, at_once, hold_ms):
    store = WeightStore(loads_per_minute=per_minute, loads_at_once=at_once)
    assert compute_min_hold_ms(store) == hold_ms


def choose(first, second=None, *, rank=0, sessions=("other",), **rest):
    slots = {0: first, 1: second or SlotRow(number=1, record=HELD, changed_at=NOW)}
    options = {"ledgers": {"s": LOADED}, "alive": {"s"}, **rest}
    chosen = choose_slot(
        slots,
        rank=rank,
        store=STORE,
        instance="i",
        sessions=sessions,
        now=NOW,
        **options,
    )
    return chosen and chosen.number


def build_slot(number, age_ms, record=FREE):
    return SlotRow(number=number, record=record, changed_at=NOW - age_ms)


@pytest.mark.parametrize(
    ("slot", "options", "expected"),
    [
        (build_slot(0, 0), {}, 0),
        (build_slot(0, 0), {"rank": 1}, None),
        (build_slot(0, TURN_TIMEOUT_MS), {"rank": 1}, 0),
        (build_slot(0, 99_000, HELD), {}, None),
        (build_slot(0, HOLD_MS, HELD), {"sessions": ()}, 0),
        (build_slot(0, HOLD_MS - 1, HELD), {"sessions": ()}, None),
        (
            build_slot(0, HOLD_MS, HELD),
            {"sessions": (), "ledgers": {"s": LOADING}},
            None,
        ),
        (
            build_slot(0, HOLD_MS, HELD),
            {"sessions": (), "ledgers": {"s": LOADING}, "alive": set()},
            0,
        ),
    ],
    ids=[
        "free",
        "not-its-turn",
        "nobody-took-it",
        "held",
        "lapsed",
        "lapsed-too-early",
        "lapsed-and-loading",
        "lapsed-and-server-dead",
    ],
)
def test_slot_is_taken_in_turn_and_from_an_expired_holder(slot, options, expected):
    """An instance dies during a load and never releases its slot.

    Loads would wait for ever. If other instances took the slot at once, the weight
    store would serve more concurrent loads than it can at full speed, and all loads
    would be slow.
    """
    assert choose(slot, **options) == expected


def test_loads_of_different_rank_take_different_slots():
    first, second = build_slot(0, 0), build_slot(1, 0)
    chosen = [choose(first, second, rank=rank) for rank in range(3)]
    assert chosen == [0, 1, None]


@pytest.mark.parametrize(
    ("ledger", "alive", "sent_ago_ms", "expected"),
    [
        (LOADED, True, HOLD_MS, True),
        (LOADED, True, HOLD_MS - 1, False),
        (LOADING, True, 99_000, False),
        (LOADING, False, 99_000, True),
        (None, True, HOLD_MS, True),
    ],
)
def test_slot_is_kept_until_the_load_ends(ledger, alive, sent_ago_ms, expected):
    released = can_release(
        HELD,
        ledger=ledger,
        alive=alive,
        store=STORE,
        sent_at=NOW - sent_ago_ms,
        now=NOW,
    )
    assert released is expected
