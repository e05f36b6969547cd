"""Views for entries: merged servers, entries and usage."""

import msgspec
import pytest

from arbutuspulley.controller import entries as own_entries
from arbutuspulley.controller import reports, views
from arbutuspulley.controller.exchange import PeerState
from arbutuspulley.controller.reports import ServerState
from arbutuspulley.controller.views import ViewState
from arbutuspulley.ports.engines import ItemState, Report, ReportedItem
from arbutuspulley.rpc.messages import CallerUsage, EntryAddress, ServerSummary
from tests.fakes import build_configuration

CONFIGURATION = build_configuration()
SERVER = CONFIGURATION.sites["site-a"].servers["engine-a"]
NOW = 100_000


def build_summary(**changes):
    values = {"server": "engine-a", "site": "site-a", "address": SERVER.address}
    return ServerSummary(**(values | changes))


def build_peer(*summaries, replied_at=NOW, entries=(), usage=()):
    return PeerState(
        address="x:1",
        instance="b",
        replied_at=replied_at,
        servers={summary.server: summary for summary in summaries},
        entries=entries,
        usage=usage,
    )


def merge(own=(), peers=(), leaving=frozenset()):
    merged = views.merge_servers(
        CONFIGURATION,
        own={summary.server: summary for summary in own},
        peers=peers,
        leaving=leaving,
        now=NOW,
    )
    return {summary.server: summary for summary in merged}


@pytest.mark.parametrize(
    ("own", "peers", "listed", "expected"),
    [
        pytest.param(
            [build_summary(age_ms=40)],
            [],
            frozenset(),
            (True, False, 40),
            id="own report",
        ),
        pytest.param(
            [build_summary()], [], {"engine-a"}, (True, True, 0), id="list says leaving"
        ),
        pytest.param(
            [build_summary(leaving=True)],
            [],
            frozenset(),
            (True, True, 0),
            id="report says leaving, list still says live",
        ),
        pytest.param(
            [build_summary(alive=False)],
            [build_peer(build_summary(age_ms=900))],
            frozenset(),
            (True, False, 900),
            id="a live summary is preferred to a dead one",
        ),
        pytest.param(
            [build_summary(age_ms=900)],
            [build_peer(build_summary(age_ms=10), replied_at=NOW - 200)],
            frozenset(),
            (True, False, 210),
            id="a peer's summary with a lower age",
        ),
        pytest.param(
            [],
            [build_peer(build_summary(), replied_at=NOW - views.SUMMARY_RETENTION_MS)],
            frozenset(),
            (True, False, views.SUMMARY_RETENTION_MS),
            id="last summary of an unreachable peer is kept",
        ),
        pytest.param(
            [],
            [
                build_peer(
                    build_summary(), replied_at=NOW - views.SUMMARY_RETENTION_MS - 1
                )
            ],
            frozenset(),
            (False, False, views.SUMMARY_RETENTION_MS + 1),
            id="until the retention time ends",
        ),
    ],
)
def test_merged_summary_of_a_server(own, peers, listed, expected):
    merged = merge(own, peers, listed)["engine-a"]
    assert (merged.alive, merged.leaving, merged.age_ms) == expected


def test_servers_with_another_address_or_unknown_ones_are_left_out():
    others = (build_summary(address="127.0.0.1:1"), build_summary(server="engine-x"))
    assert merge(others) == {}


def test_entries_of_an_unreachable_peer_are_left_out():
    """An instance is disconnected or dead; callers must not be sent to its entries."""
    own = EntryAddress(instance="a", site="s", address="127.0.0.1:5")
    other = EntryAddress(instance="b", site="s", address="127.0.0.1:6")
    for replied_at, expected in ((NOW - 3_000, [own, other]), (NOW - 3_001, [own])):
        peer = build_peer(replied_at=replied_at, entries=(other,))
        assert list(views.merge_entries([own], [peer], now=NOW)) == expected


def test_usage_of_all_other_instances_is_summed():
    usage = CallerUsage(caller="desk", tokens_per_s=2.5, waiting=1)
    peers = [build_peer(usage=(usage,)), build_peer(usage=(usage,))]
    peers.append(build_peer(usage=(usage,), replied_at=0))
    (total,) = views.merge_usage(peers, now=NOW)
    assert (total.tokens_per_s, total.waiting) == (5.0, 2)


def test_view_is_sent_when_it_changed_or_its_ages_must_be_refreshed():
    state = ViewState()
    values = {
        "ready": True,
        "store_up": True,
        "configuration": CONFIGURATION,
        "servers": (build_summary(age_ms=1),),
        "entries": (),
        "suspicions": (),
        "usage": (),
    }
    older = values | {"servers": (build_summary(age_ms=500),)}
    busier = values | {"servers": (build_summary(running=1),)}
    sent = [
        views.update_view(state, **values, now=0),
        views.update_view(state, **older, now=views.REFRESH_INTERVAL_MS - 1),
        views.update_view(state, **busier, now=views.REFRESH_INTERVAL_MS - 1),
        views.update_view(state, **(busier | {"store_up": False}), now=2_000),
        views.update_view(state, **(busier | {"store_up": False}), now=3_998),
        views.update_view(state, **(busier | {"store_up": False}), now=4_000),
    ]
    assert sent == [True, False, True, True, False, True]
    assert state.view.number == 4


def build_report(sequence=1, **changes):
    items = (
        ReportedItem(item="m@1", state=ItemState.LOADED, memory_mib=1),
        ReportedItem(item="n@1", state=ItemState.LOADED, memory_mib=1),
        ReportedItem(item="o@1", state=ItemState.LOADING, memory_mib=1),
    )
    values = {"server": "engine-a", "boot_id": "1", "sequence": sequence}
    return Report(**(values | {"items": items, "age_ms": 30} | changes))


def test_summary_names_loaded_items_that_are_not_about_to_be_unloaded():
    """An unload is committed, and its order is sent seconds later.

    If entries kept sending requests for the item until then, the unload would
    interrupt them.
    """
    state = ServerState(name="engine-a", address=SERVER.address)
    reports.apply_report(state, build_report(), now=NOW)
    summary = reports.build_summary(
        state, server=SERVER, site="s", leaving_items=frozenset({"n@1"}), now=NOW + 70
    )
    assert (summary.items, summary.age_ms, summary.alive) == (("m@1",), 100, True)


@pytest.mark.parametrize(
    ("passed", "refusals", "alive"),
    [(3_000, 0, True), (3_001, 0, False), (0, 1, True), (0, 2, False)],
)
def test_server_is_dead_without_reports_or_when_it_refuses_connections(
    passed, refusals, alive
):
    state = ServerState(name="engine-a", address=SERVER.address)
    assert not reports.is_alive(state, now=NOW)
    reports.apply_report(state, build_report(), now=NOW)
    for _ in range(refusals):
        reports.record_refused(state)
    assert reports.is_alive(state, now=NOW + passed) is alive
    late = build_report(sequence=0)
    assert not reports.apply_report(state, late, now=NOW + 9_000)
    assert reports.apply_report(state, build_report(boot_id="2", sequence=0), now=NOW)
    assert reports.is_alive(state, now=NOW)


def test_killed_entry_is_removed_when_its_stream_breaks_and_a_frozen_one_by_timeout():
    """An entry is killed, and its view stream breaks. Another one is frozen.

    The frozen one keeps its connection; only its missing reports reveal it. The end of
    a killed process's stream must not remove the process that replaced it.
    """
    killed = EntryAddress(instance="a", site="s", address="127.0.0.1:5", boot_id="1")
    frozen = msgspec.structs.replace(killed, address="127.0.0.1:6")
    states = {}
    for entry in (killed, frozen):
        own_entries.begin_watch(states, entry, now=0)
    restarted = msgspec.structs.replace(killed, boot_id="2")
    own_entries.begin_watch(states, restarted, now=0)
    own_entries.end_watch(states, killed)
    assert set(states) == {killed.address, frozen.address}
    own_entries.end_watch(states, restarted)
    assert set(states) == {frozen.address}
    own_entries.evict_timed_out(states, now=own_entries.ENTRY_TIMEOUT_MS)
    assert set(states) == {frozen.address}
    own_entries.evict_timed_out(states, now=own_entries.ENTRY_TIMEOUT_MS + 1)
    assert states == {}
