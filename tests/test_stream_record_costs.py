"""What the records of streams cost in a model; see :mod:`.stream_record_costs`."""

import functools

import pytest

from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.delivery.begun_streams import BegunStream
from arbutuspulley.node.stream_store import WRITE_INTERVAL_MS, store_stream
from arbutuspulley.ports.fleet import SoftwareVersion
from tests.node_states import build_entry, build_state
from tests.stream_record_costs import (
    BUILT,
    FLEETS,
    OUTAGE_MS,
    TRANSACTION_MS,
    WAYS,
    Play,
    compute_waits,
    weigh,
    weigh_ranges,
    weigh_servers,
)

SEED = 1
ROW_BYTES = 64_000
SMALL, _MIDDLE, LARGE = FLEETS


@functools.cache
def weigh_built(fleet):
    return weigh(BUILT, fleet, seed=SEED)


def test_calls_of_the_store_do_not_grow_with_the_instances():
    """Guards against a fleet that spends its calls of the store on streams."""
    most = SECOND_MS / (WRITE_INTERVAL_MS + TRANSACTION_MS) + 1
    for fleet in FLEETS:
        assert 0 < weigh_built(fleet).calls_s <= most
        assert weigh_built(fleet).refused == 0


@pytest.mark.parametrize("fleet", FLEETS, ids=lambda fleet: str(fleet.instances))
def test_what_is_built_records_almost_all_streams_and_delays_none(fleet):
    """Guards against streams that are lost in a power failure as they were written
    late, and against callers who wait for the store."""
    cost = weigh_built(fleet)
    assert cost.resumable > 0.95
    assert cost.added_ms == (0, 0)


@pytest.mark.parametrize("fleet", FLEETS, ids=lambda fleet: str(fleet.instances))
def test_rows_fit_and_the_journal_fits_an_instance(fleet):
    """Guards against rows that the store refuses, and a coordinator that runs out of
    its 128 MB."""
    cost = weigh_built(fleet)
    assert cost.largest_row <= ROW_BYTES
    assert cost.coordinator_bytes < 16_000_000


def test_each_recorded_stream_is_named_with_its_version():
    """Guards against rows that name a stream with the version of another one."""
    assert Play(BUILT, SMALL, seed=SEED).run().check_rows() == 1


@pytest.mark.parametrize("way", WAYS[:-1], ids=lambda way: way.name[:2] + way.writer)
def test_other_ways_make_more_calls_already_at_six_instances(way):
    assert weigh(way, SMALL, seed=SEED).calls_s > 2 * weigh_built(SMALL).calls_s


def test_a_version_selected_by_the_id_is_ambiguous_in_a_release():
    """Guards against a choice of the way by its figures outside a release alone."""
    cost = weigh_ranges(LARGE, seed=SEED)
    assert cost.resumable == 1
    assert cost.resumable_in_release < 0.95
    _whole, _alone, whole_short, alone_short = compute_waits(SMALL)
    assert alone_short > 2 * whole_short


def test_servers_know_nothing_of_a_broken_off_stream():
    assert OUTAGE_MS > 0
    assert weigh_servers(SMALL).resumable == 0


@pytest.mark.parametrize(("versions", "expected"), [(("v1",), 0), (("v1", "v2"), 1)])
def test_a_service_with_one_version_has_no_records(versions, expected):
    """Guards against calls of the store for services that never mix versions."""
    state = build_state(clock=Clock(read=lambda: 1_000))
    known = [SoftwareVersion(name=version) for version in versions]
    entries = [
        build_entry(f"s{version.name}", software_version=version) for version in known
    ]
    state.software_versions.update({"llm": entries}, now=1_000)
    stream = BegunStream(service="llm", version=known[0], expires_at=9_000)
    state.begun_streams.add(7, stream, now=1_000)
    store_stream(state, 7)
    batch = state.stream_journal.take_batch(now=1_000, store_now=5_000)
    assert len(batch.put if batch else ()) == expected
    assert state.stream_journal_changed.is_set() == bool(expected)
