"""Ranking of the entries that callers use."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.routing.addresses import choose_entry_count, rank_entries
from arbutuspulley.rpc.messages import EntryAddress, ServerSummary


def build_entry(number, **fields):
    defaults = {"instance": f"i{number}", "site": f"site-{number % 3}"}
    return EntryAddress(address=f"10.0.0.{number}:1", **{**defaults, **fields})


SIX = [build_entry(number) for number in range(6)]
MODELS = [f"model-{number}" for number in range(400)]


def count_firsts(entries, *, models=MODELS, spreads=("",), **options):
    return collections.Counter(
        rank_entries(entries, model=model, spread_key=spread, **options)[0].address
        for model in models
        for spread in spreads
    )


@pytest.mark.parametrize(
    ("draining", "asked", "returned"),
    [((), 0, None), ((1,), 0, [0]), ((0,), 0, [1]), ((0, 1), 0, [0]), ((0, 1), 7, [])],
)
def test_draining_entries_are_returned_only_if_no_other_is_left(
    draining, asked, returned
):
    entries = [build_entry(n, draining=n in draining) for n in (0, 1)]
    answer = rank_entries(entries, model="m", answering_address=f"10.0.0.{asked}:1")
    expected = entries if returned is None else [entries[number] for number in returned]
    assert {one.address for one in answer} == {one.address for one in expected}


@given(
    loads=st.lists(st.floats(min_value=0, max_value=3), min_size=1, max_size=8),
    sites=st.integers(min_value=1, max_value=3),
    draining=st.sets(st.integers(min_value=0, max_value=7)),
    asked=st.integers(min_value=0, max_value=7),
    count=st.integers(min_value=1, max_value=4),
    model=st.text(max_size=5),
)
def test_answer_survives_loss_of_the_answering_entry_or_a_data_centre(
    loads, sites, draining, asked, count, model
):
    """Guards against answers whose addresses all fail together.

    The answering entry or a data centre fails after the answer, which the caller uses
    for a while longer. It needs an address that is still reachable.
    """
    entries = [
        build_entry(n, load=load, site=f"{n % sites}", draining=n in draining)
        for n, load in enumerate(loads)
    ]
    address = f"10.0.0.{asked}:1"
    returned = rank_entries(
        entries, model=model, answering_address=address, max_addresses=count
    )
    usable = [one for one in entries if not one.draining]
    assert len({one.address for one in returned}) == len(returned) <= count + 1
    assert (
        returned[:1]
        == rank_entries(entries, model=model, answering_address=address)[:1]
    )
    if usable:
        assert all(not one.draining for one in returned)
    if any(one.address != address for one in usable):
        assert any(one.address != address for one in returned)
    if count > 1 and len({one.site for one in usable}) > 1:
        assert len({one.site for one in returned}) > 1


def test_models_spread_evenly_and_move_only_with_their_entry():
    firsts = {
        model: rank_entries(SIX, model=model, entry_count=1)[0] for model in MODELS
    }
    counts = collections.Counter(one.address for one in firsts.values())
    assert min(counts.values()) > 0.7 * len(MODELS) / 6
    for model in MODELS:
        left = rank_entries(SIX[1:], model=model, entry_count=1)[0]
        assert left == firsts[model] or firsts[model] == SIX[0]


def test_callers_of_one_model_use_its_number_of_entries():
    spreads = [f"caller-{number}" for number in range(300)]
    for width in (1, 2, 4):
        counts = count_firsts(SIX, models=["m"], spreads=spreads, entry_count=width)
        assert len(counts) == width
        assert min(counts.values()) > 0.7 * 300 / width


def test_a_full_entry_is_ranked_first_less_often():
    """Guards against callers that lose a round trip to an entry at its load limit,
    which refuses them."""
    full = [build_entry(0, load=1.0), *SIX[1:]]
    spreads = [f"caller-{number}" for number in range(20)]
    before = count_firsts(SIX, spreads=spreads)[SIX[0].address]
    after = count_firsts(full, spreads=spreads)[SIX[0].address]
    assert after < before / 3
    barely = [build_entry(0, load=0.2), *SIX[1:]]
    assert count_firsts(barely, spreads=spreads)[SIX[0].address] == before


@pytest.mark.parametrize(
    ("in_flight", "entries", "width"),
    [(0, 6, 2), (199, 6, 2), (201, 6, 3), (9_000, 6, 6), (0, 1, 1), (0, 0, 1)],
)
def test_hot_models_are_shared_by_more_entries(in_flight, entries, width):
    holder = ServerSummary(
        server="s", site="a", address="x", items=("m@1",), running=in_flight
    )
    other = ServerSummary(server="o", site="a", address="x", running=9_000)
    found = choose_entry_count(servers=[holder, other], item="m@1", entries=entries)
    assert found == width
