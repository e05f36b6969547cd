"""Choice of a server from the observations of one instance."""

import pytest

from arbutuspulley.ports.fleet import LoadedModel, ModelNeed, ServerEntry
from arbutuspulley.routing.local_choice import (
    DECREASE_INTERVAL_MS,
    UNLIMITED,
    LocalServerStats,
    adjust_concurrency_limit,
    choose_server,
    evict_unlisted,
    get_max_in_flight,
    get_stats,
    record_done,
    record_refused,
    record_sent,
    record_team_denied,
    record_unreachable,
)
from arbutuspulley.routing.local_shares import DENIED_MS


def build_entry(name, *, zone="z1", is_leaving=False, models=()):
    return ServerEntry(
        server_id=name,
        incarnation=name,
        started_ms=0,
        service="s",
        address=f"{name}:1",
        zone=zone,
        slots=6,
        is_leaving=is_leaving,
        loaded_models=tuple(LoadedModel(model=model) for model in models),
    )


A, B = build_entry("a"), build_entry("b")


def choose(stats, entries, *, need=None, avoid=(), max_in_flight=100, now=0):
    entry = choose_server(
        stats,
        entries,
        zone="z1",
        need=need,
        avoid=frozenset(avoid),
        max_in_flight=max_in_flight,
        now=now,
    )
    return entry.incarnation if entry else None


def test_fewest_in_flight_wins():
    stats = LocalServerStats()
    record_sent(stats, A)
    assert choose(stats, [A, B]) == "b"


def test_a_leaving_or_avoided_server_is_never_chosen():
    assert choose(LocalServerStats(), [build_entry("a", is_leaving=True)]) is None
    assert choose(LocalServerStats(), [A, B], avoid=("a",)) == "b"


def test_only_holders_of_the_model_are_chosen():
    need = ModelNeed(model="m1", adapter="", prompt_tokens=1, output_tokens=1)
    entries = [A, build_entry("c", models=("m1",))]
    assert choose(LocalServerStats(), entries, need=need) == "c"


def test_a_server_that_fails_requests_but_passes_health_checks_gets_fewer():
    """One of two servers fails a third of its requests while it passes health checks.
    Distributed evenly, a sixth of all requests would fail."""
    stats = LocalServerStats()
    for _ in range(20):
        record_done(stats, A, took_ms=10, failed=True)
        record_done(stats, B, took_ms=10, failed=False)
    record_sent(stats, B)
    record_sent(stats, B)
    assert choose(stats, [A, B]) == "b"


def test_a_slow_server_gets_fewer():
    stats = LocalServerStats()
    for _ in range(20):
        record_done(stats, A, took_ms=100, failed=False)
        record_done(stats, B, took_ms=20, failed=False)
    record_sent(stats, B)
    assert choose(stats, [A, B]) == "b"


def test_an_unreachable_server_backs_off_unless_it_is_the_only_one():
    stats = LocalServerStats()
    record_unreachable(stats, A, now=0)
    assert choose(stats, [A, B], now=100) == "b"
    assert choose(stats, [A], now=100) == "a"
    record_unreachable(stats, A, now=600)
    assert get_stats(stats, A).backoff_until == 1_600


def test_a_full_server_backs_off_although_it_looks_idle():
    """A server with a full queue refuses requests at once that others would run.

    The refused requests are not in flight there, so it looks the least loaded. Without
    a backoff, it refused one request in three of its service for seconds.
    """
    stats = LocalServerStats()
    record_sent(stats, B)
    record_refused(stats, A, now=0)
    assert choose(stats, [A, B], now=99) == "b"
    assert choose(stats, [A], now=99) == "a"
    assert choose(stats, [A, B], now=100) == "a"


def test_backoff_of_a_full_server_doubles_until_it_answers():
    stats = LocalServerStats()
    now = 0
    for expected in (100, 200, 400, 800, 800):
        for _ in range(3):
            record_refused(stats, A, now=now)
        assert get_stats(stats, A).backoff_until == now + expected
        now += expected
    record_done(stats, A, took_ms=10, failed=False)
    record_refused(stats, A, now=now)
    assert get_stats(stats, A).backoff_until == now + 100


def test_stats_of_unlisted_servers_are_evicted():
    stats = LocalServerStats()
    record_sent(stats, A)
    record_sent(stats, B)
    evict_unlisted(stats, [B])
    assert set(stats.servers) == {"b"}


def test_requests_in_flight_stay_within_the_connection_limit():
    """A server resets connections beyond its limit. Requests on these may have run, so
    that non-idempotent ones were lost; ones refused before they are sent are
    retried."""
    stats = LocalServerStats()
    record_sent(stats, A)
    assert choose(stats, [A], max_in_flight=2) == "a"
    record_sent(stats, A)
    assert choose(stats, [A], max_in_flight=2) is None
    assert choose(stats, [A, B], max_in_flight=2) == "b"


@pytest.mark.parametrize(
    ("connections", "instances", "expected"),
    [(96, 6, 12), (96, 3, 12), (96, 24, 3), (4, 6, 1), (360, 360, 1)],
)
def test_connections_are_divided_among_all_instances(connections, instances, expected):
    assert get_max_in_flight(connections, share_divisor=instances) == expected


def test_an_unknown_connection_limit_does_not_limit():
    assert get_max_in_flight(0, share_divisor=6) > 1_000_000


def complete_requests(stats, *, took_ms, count, now, running=0):
    """Let a server answer some requests with a latency target of 300 ms."""
    for _ in range(running):
        record_sent(stats, A)
    for number in range(count):
        record_sent(stats, A)
        record_done(stats, A, took_ms=took_ms, failed=False)
        adjust_concurrency_limit(
            stats, A, latency_target_ms=300, now=now + number * DECREASE_INTERVAL_MS
        )


def test_late_answers_lower_the_concurrency_limit():
    """A service is overloaded. Its queues were kept full, and all its answers were
    late, at a throughput at which as many could have been answered in time."""
    stats = LocalServerStats()
    complete_requests(stats, took_ms=90, count=20, now=0, running=11)
    assert get_stats(stats, A).concurrency_limit == UNLIMITED
    complete_requests(stats, took_ms=400, count=20, now=10_000)
    assert choose(stats, [A]) is None
    assert choose(stats, [A, B]) == "b"


def test_timely_answers_raise_the_concurrency_limit_again():
    stats = LocalServerStats()
    complete_requests(stats, took_ms=400, count=20, now=0, running=3)
    assert choose(stats, [A]) is None
    complete_requests(stats, took_ms=90, count=40, now=10_000)
    assert choose(stats, [A]) == "a"


@pytest.mark.parametrize(
    ("running", "sharers", "expected"),
    [(0, 72, "a"), (1, 72, None), (1, 2, "a"), (2, 2, None), (1, 6, "a"), (2, 6, None)],
)
def test_the_concurrency_limit_stays_above_the_share_of_twice_the_slots(
    running, sharers, expected
):
    """Instances do not know each other's load on a server; if all of them lower their
    limits, the server runs below its throughput without any benefit."""
    stats = LocalServerStats()
    complete_requests(stats, took_ms=900, count=20, now=0, running=running)
    entry = choose_server(
        stats,
        [A],
        zone="z1",
        need=None,
        avoid=frozenset(),
        max_in_flight=100,
        share_divisor=sharers,
        now=0,
    )
    assert (entry.incarnation if entry else None) == expected


def test_the_concurrency_limit_does_not_apply_to_model_servers():
    stats = LocalServerStats()
    complete_requests(stats, took_ms=900, count=20, now=0, running=9)
    need = ModelNeed(model="m1", adapter="", prompt_tokens=1, output_tokens=1)
    assert choose(stats, [build_entry("a", models=("m1",))], need=need) == "a"


def test_a_team_has_its_share_of_the_limit_while_others_find_none_free():
    """Guards against a busy team that holds all of an instance's requests in flight at
    a server while no coordinator answers."""
    stats = LocalServerStats()
    loaded = build_entry("a", models=["m0"])
    need = ModelNeed(model="m0", adapter="", prompt_tokens=1, output_tokens=1)

    def choose_for(team, *, now=0):
        return choose_server(
            stats,
            [loaded],
            zone="z1",
            need=need,
            avoid=frozenset(),
            max_in_flight=8,
            team=team,
            now=now,
        )

    def deny(team):
        return record_team_denied(
            stats, [loaded], need=need, team=team, max_in_flight=8, now=0
        )

    for team in ["busy"] * 7 + ["small"]:
        assert choose_for(team) is loaded
        record_sent(stats, loaded, team=team)
    assert choose_for("other") is None
    assert not deny("other")
    for _ in range(3):
        record_done(stats, loaded, took_ms=10, failed=False, team="busy")
    # The small team leaves 7 of 8: 3.5 for each of the two that want more.
    assert choose_for("busy") is None
    assert deny("busy")
    assert choose_for("other") is loaded
    assert choose_for(None) is loaded
    assert choose_for("busy", now=DENIED_MS) is loaded
