"""Servers of uneven speed: 0.6, 1 and 1.6 times the usual one, with slow phases.

Workload: a quarter of a deployment of 56 servers, see
``scripts/compare_server_speeds.py``. With all servers treated alike, a sixth of the
streams had a gap over the target there, most of them on the slow servers.
"""

import random
from collections import Counter
from unittest import mock

import msgspec
import pytest

from arbutuspulley.node.frames import decode_from_coordinator, encode_frame
from arbutuspulley.node.messages import CoordinatorEstimates
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.pool_log import count_uneven_servers, log_server_speeds
from arbutuspulley.pool.copies import index_copies
from arbutuspulley.pool.demand import (
    get_copy_token_rate,
    inherit_demand,
    list_demand,
    record_demand,
)
from arbutuspulley.pool.eviction import begin_cycle, plan_eviction
from arbutuspulley.pool.gap_risk import estimate_gap_risk
from arbutuspulley.pool.grants import Grant, plan_grants
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.runs import record_first_event, record_run_end
from arbutuspulley.pool.server_speed import (
    DEADBAND,
    MAX_SERVER_SPEED,
    MIN_SERVER_SPEED,
    PoolSpeedState,
    ServerSpeedState,
    record_event_time,
    record_first_event_time,
    update_reference,
)
from arbutuspulley.pool.state import (
    Run,
    inherit_prefill_speeds,
    inherit_server_speeds,
    list_prefill_speeds,
    list_server_speeds,
    update_servers,
)
from arbutuspulley.pool.waits import estimate_wait, list_copy_ready_times
from arbutuspulley.ports.fleet import AttemptOutcome, LoadedModel, ServerEntry
from scripts import compare_server_speeds
from scripts.compare_server_speeds import SPEEDS, build_pool, simulate
from tests.pools import add_run, add_waiting, build_server
from tests.pools import build_pool as build_small_pool

CALM_REQUESTS_PER_S = 12
"""Load at which a sixth of the streams have a long gap if servers are alike."""


SEEDS = (1, 2, 3)


@pytest.fixture(scope="module")
def calm():
    """Results of policies on the same arrivals, for each seed."""
    return {
        policy: [
            simulate(policy, seed=seed, requests_per_s=CALM_REQUESTS_PER_S)
            for seed in SEEDS
        ]
        for policy in ("even", "learnt", "given")
    }


def count_in_time(results):
    return sum(result.in_time for result in results)


def get_long_gap_share(results):
    long_gaps = sum(sum(result.long_gaps.values()) for result in results)
    return long_gaps / sum(sum(result.ended.values()) for result in results)


def test_learnt_speeds_serve_as_many_in_time_as_given_ones(calm):
    assert count_in_time(calm["learnt"]) >= 0.95 * count_in_time(calm["given"])
    assert count_in_time(calm["learnt"]) > 1.1 * count_in_time(calm["even"])


def test_few_streams_have_long_gaps_at_the_calm_load(calm):
    assert get_long_gap_share(calm["even"]) > 0.1
    assert get_long_gap_share(calm["learnt"]) < 0.04


def test_speeds_are_not_learnt_unless_the_setting_is_on(calm):
    """Without the setting, decisions stay as they were: every speed is exactly 1."""
    pool = calm["even"][0].pool
    assert {server.speed.value for server in pool.servers.values()} == {1.0}
    assert pool.server_speeds == PoolSpeedState()
    assert not pool.gap_risk.harm


def test_even_servers_without_gap_targets_are_served_as_before():
    even = {"SPEEDS": (1.0,) * 3, "PHASE_FRACTION": 0.0, "GAP_TARGET_MS": 0}
    with mock.patch.multiple(compare_server_speeds, **even):
        before, after = (
            simulate(policy, seed=2, requests_per_s=20, seconds=20)
            for policy in ("even", "learnt")
        )
    assert {one.speed.value for one in after.pool.servers.values()} == {1.0}
    assert (before.work, before.loads) == (after.work, after.loads)
    assert before.in_time == after.in_time


def test_slow_server_gets_its_share_of_the_work():
    """At a load that fills all servers, work is in proportion to their speeds. Prompts
    differ too much in length for a shorter run to show that."""
    busy = {"SERVERS": 6, "MODELS": 2, "BUSY_MODELS": 2, "GAP_TARGET_MS": 0}
    busy |= {"PHASE_FRACTION": 0.0, "WARM_UP_MS": 5_000}
    with mock.patch.multiple(compare_server_speeds, **busy):
        results = [
            simulate("learnt", seed=seed, requests_per_s=36, seconds=22)
            for seed in SEEDS
        ]
    usual = sum(result.sum_work(1.0) for result in results)
    for speed in SPEEDS:
        work = sum(result.sum_work(speed) for result in results)
        assert work / usual == pytest.approx(speed, rel=0.15)


def test_slow_server_is_followed_within_two_seconds_and_back_to_its_share():
    """A server of six falls to 0.4 of its speed for some seconds."""
    slow_at, recovered_at = 15_000, 25_000
    work = Counter()
    for seed in SEEDS:
        values = {}

        def on_step(now, engines, pool, values=values):
            engines["s1"].speed = 0.4 if slow_at <= now < recovered_at else 1.0
            values[now] = pool.servers["s1"].speed.value

        busy = {"SERVERS": 6, "MODELS": 2, "BUSY_MODELS": 2, "SPEEDS": (1.0,) * 3}
        with mock.patch.multiple(compare_server_speeds, **busy):
            result = simulate(
                "learnt", seed=seed, requests_per_s=25, seconds=37, on_step=on_step
            )
        assert values[slow_at] == 1
        assert values[slow_at + 2_000] < 0.7
        assert values[recovered_at] < 0.7
        assert values[recovered_at + 2_000] == 1
        work.update(result.work)

    def get_share(since, until):
        shares = Counter()
        for (name, second), tokens in work.items():
            shares[name] += tokens if since <= second < until else 0
        return shares["s1"] / shares.total()

    assert get_share(17, 25) < 0.6 / 6
    assert get_share(27, 37) > 0.85 / 6


def hand_over(old, engines):
    """Return the pool of a successor, as it is built from messages and entries."""
    estimates = CoordinatorEstimates(
        speeds={"llm": list_prefill_speeds(old)},
        demand={"llm": list_demand(old)},
        server_speeds={"llm": list_server_speeds(old)},
    )
    (received,) = decode_from_coordinator(encode_frame([estimates]))
    pool = build_pool("learnt")
    pool.servers.clear()
    inherit_prefill_speeds(pool, received.speeds["llm"])
    inherit_demand(pool, received.demand["llm"], now=old.demand_at)
    inherit_server_speeds(pool, received.server_speeds["llm"])
    pool.waiting = old.waiting
    update_servers(pool, [build_entry(one) for one in old.servers.values()])
    for name, server in pool.servers.items():
        engines[name].server = server
        server.accepted_orders = 0
        for key, run in old.servers[name].runs.items():
            server.runs[key] = Run(
                origin="n1",
                need=run.need,
                granted_at=run.granted_at,
                first_at=run.granted_at,
                gap_target_ms=run.gap_target_ms,
            )
    return pool


def build_entry(server):
    models = {*server.models, server.loading} - {""}
    return ServerEntry(
        server_id=server.server_id,
        incarnation=server.incarnation,
        started_ms=0,
        service="llm",
        address=server.address,
        zone=server.zone,
        slots=server.slots,
        is_leaving=False,
        loaded_models=tuple(LoadedModel(model=model, adapters=()) for model in models),
    )


def test_successor_serves_as_before(calm):
    speeds = []

    def on_step(now, engines, pool):
        if now != 25_000:
            return None
        successor = hand_over(pool, engines)
        speeds.append((list_server_speeds(pool), list_server_speeds(successor)))
        return successor

    results = [
        simulate(
            "learnt", seed=seed, requests_per_s=CALM_REQUESTS_PER_S, on_step=on_step
        )
        for seed in SEEDS
    ]
    for before, after in speeds:
        assert len(before) > 5
        assert after == pytest.approx(before, abs=0.01)
    assert count_in_time(results) >= 0.97 * count_in_time(calm["learnt"])
    assert get_long_gap_share(results) < 0.04


def test_each_inherited_speed_takes_at_most_40_bytes():
    names = {f"model-server-{number:02}/7f3a9c": 0.62 for number in range(60)}
    empty = CoordinatorEstimates(speeds={}, server_speeds={"llm": {}})
    full = CoordinatorEstimates(speeds={}, server_speeds={"llm": names})
    assert len(encode_frame([full])) - len(encode_frame([empty])) <= 40 * len(names)


def test_estimates_of_an_older_instance_have_no_server_speeds():
    fields = msgspec.to_builtins(CoordinatorEstimates(speeds={"llm": {"a": 20.0}}))
    fields.pop("server_speeds", None)
    received = msgspec.convert(fields, CoordinatorEstimates)
    assert received.speeds == {"llm": {"a": 20.0}}
    assert received.server_speeds == {}


def learn(times):
    """Return the state of a server after first events of the given durations, beside
    three servers that take 100 ms."""
    learnt = PoolSpeedState()
    servers = [build_server(f"s{number}") for number in range(4)]
    for now in range(0, 3_000, 300):
        for other in servers[1:]:
            observe(learnt, other.speed, 100, now=now)
    for number, took_ms in enumerate(times):
        now = 3_000 + 300 * number
        for server, ms in zip(servers, (took_ms, 100, 100, 100), strict=True):
            observe(learnt, server.speed, ms, now=now)
            update_reference(learnt, servers)
    return servers[0].speed


def observe(learnt, server, took_ms, *, now):
    record_first_event_time(
        learnt,
        server,
        size_class="large",
        streams=0,
        expected_ms=100,
        took_ms=took_ms,
        now=now,
    )


@pytest.mark.parametrize(
    ("times", "low", "high"),
    [
        ([], 1, 1),
        ([250], 1, 1),
        ([250, 250], 1, 1),
        ([100, 100, 250], 1, 1),
        ([100] * 10 + [1_000], 1, 1),
        ([110, 90] * 10, 1, 1),
        ([167] * 3, 0.6, 1 / (1 + DEADBAND)),
        ([167] * 30, 0.58, 0.65),
        ([62] * 30, 1.5, 1.65),
        ([100_000] * 30, MIN_SERVER_SPEED, MIN_SERVER_SPEED),
        ([1] * 30, MAX_SERVER_SPEED, MAX_SERVER_SPEED),
    ],
)
def test_speed_is_shrunk_and_bounded_and_1_within_the_deadband(times, low, high):
    """One slow answer in a slow phase took a server out of service for seconds."""
    assert low <= learn(times).value <= high


def test_full_server_does_not_count_as_slow():
    """Decode slows down with the concurrent streams at every server alike."""
    learnt, servers = PoolSpeedState(), [ServerSpeedState() for _ in range(6)]
    for number in range(300):
        server = servers[number % 6]
        streams = 11 if server is servers[0] or number % 4 == 0 else 2
        record_event_time(
            learnt,
            server,
            size_class="large",
            streams=streams,
            event_ms=50 * (1 + streams / 16),
            at=100 * number,
        )
    assert [server.value for server in servers] == [1.0] * 6


def test_speeds_do_not_drift_although_expectations_follow_them():
    """Without a fixed reference, all speeds rose by half within a minute."""
    rng = random.Random(4)
    learnt = PoolSpeedState()
    servers = {name: build_server(name) for name in ("s0", "s1", "s2")}
    for number in range(3_000):
        speed = SPEEDS[number % 3]
        took_ms = 100 / speed * rng.lognormvariate(0, 0.2)
        took_ms *= 2.5 if rng.random() < 0.15 else 1
        server = servers[f"s{number % 3}"].speed
        observe(learnt, server, took_ms, now=20 * number)
        update_reference(learnt, servers.values())
    values = [server.speed.value for server in servers.values()]
    assert values == pytest.approx(SPEEDS, rel=0.15)


def test_speed_is_forgotten_with_the_incarnation():
    pool = build_pool("learnt")
    old = pool.servers["s0"]
    old.speed = learn([300] * 30)
    entries = [build_entry(server) for server in pool.servers.values()]
    update_servers(pool, entries)
    assert pool.servers["s0"].speed.value < 1
    entries[0] = msgspec.structs.replace(entries[0], incarnation="s0-restarted")
    update_servers(pool, entries)
    assert pool.servers["s0-restarted"].speed.value == 1


def build_uneven_pool(**changes):
    """Two servers with a model and ten streams each; the first one is slow."""
    servers = [build_server(name, "m0", slots=12) for name in ("slow", "fast")]
    pool = build_small_pool(*servers, learns_server_speeds=True, **changes)
    pool.server_speeds.sorted_factors = [1.0] * 17 + [2.5] * 3
    pool.server_speeds.prompts.append(30)
    for server, speed in zip(servers, (0.6, 1.6), strict=True):
        server.speed.value = speed
        server.stream_gaps.event_ms = 50 / speed
    return pool


def add_streams(server, count, *, target_ms=300):
    for number in range(count):
        key = f"{server.incarnation}-{number}"
        add_run(server, key, "m0")
        server.runs[key].gap_target_ms = target_ms


def test_long_prompt_goes_to_the_fast_server_although_it_has_more_streams():
    """A prompt of 1,460 tokens on a slow server in a slow phase delays each of its
    streams beyond 300 ms; on a fast one it does not."""
    pool = build_uneven_pool()
    add_streams(pool.servers["slow"], 4)
    add_streams(pool.servers["fast"], 9)
    add_waiting(pool, "w", "m0", tokens=1_460, gap_target_ms=300)
    (granted,) = plan_grants(pool, now=10)
    assert granted.incarnation == "fast"
    assert granted.gap_risk < 0.5


def test_request_waits_for_a_slot_of_the_fast_server_while_it_stays_in_time():
    pool = build_uneven_pool()
    add_streams(pool.servers["slow"], 6)
    add_streams(pool.servers["fast"], 12)
    add_waiting(pool, "w", "m0", tokens=1_460, gap_target_ms=300, late_at=2_000)
    assert plan_grants(pool, now=10) == []
    assert pool.next_start_at == 1_000
    (granted,) = plan_grants(pool, now=1_001)
    assert isinstance(granted, Grant)
    assert granted.incarnation == "slow"


@pytest.mark.parametrize(
    ("speed", "tokens", "streams", "expected"),
    [(0.6, 1_460, 10, 1.5), (1.6, 1_460, 10, 0), (0.6, 1_460, 0, 0), (0.6, 60, 10, 0)],
)
def test_risk_is_the_number_of_streams_delayed_in_slow_phases(
    speed, tokens, streams, expected
):
    learnt = PoolSpeedState(sorted_factors=[1.0] * 17 + [2.5] * 3)
    risk = estimate_gap_risk(
        learnt,
        ServerSpeedState(value=speed),
        streams=streams,
        gap_target_ms=300,
        event_ms=50 / speed,
        prefill_ms=tokens / 20 / speed,
        now=0,
    )
    assert risk == pytest.approx(expected)


def test_waits_count_the_sum_of_the_copies_rates():
    """Three copies on servers of 0.6 counted as three, and callers were told to come
    back before they could be served."""
    pool = build_uneven_pool()
    plan_grants(pool, now=0)
    times = list_copy_ready_times(pool, "m0", index_copies(pool, now=0))
    tokens = int(get_copy_token_rate(pool, "m0"))
    assert estimate_wait(pool, "m0", tokens, times) == pytest.approx(1_000 / 2.2, abs=1)


def test_busy_model_is_loaded_on_a_fast_server_and_a_rare_one_on_a_slow_one():
    servers = [build_server("slow", "m2"), build_server("fast", "m3")]
    pool = build_small_pool(*servers, learns_server_speeds=True)
    servers[0].speed.value, servers[1].speed.value = 0.6, 1.6
    for number in range(40):
        record_demand(pool, "m0", 100, now=10 * number)
    record_demand(pool, "m1", 100, now=400)
    for model in ("m0", "m1"):
        add_waiting(pool, model, model, now=400)
    loads = {order.model: order.incarnation for order in plan_orders(pool, now=400)}
    assert loads == {"m0": "fast", "m1": "slow"}


def test_rare_model_is_evicted_from_a_fast_server_first():
    servers = [build_server(name, "m1", "m2") for name in ("slow", "fast")]
    pool = build_small_pool(*servers, learns_server_speeds=True)
    servers[0].speed.value, servers[1].speed.value = 0.6, 1.6
    for number in range(40):
        record_demand(pool, "m1", 400, now=10 * number)
    cycle = begin_cycle(pool, now=400)
    slow, fast = (plan_eviction(cycle, server, "m0") for server in servers)
    assert slow.victims == fast.victims == ("m2",)
    assert fast.cost < slow.cost


def test_first_event_of_a_late_load_says_nothing_about_the_speed():
    """The rest of a load that took longer than expected counted as slow prefill."""
    pool = build_small_pool(build_server("s0", "m0"), learns_server_speeds=True)
    pool.servers["s0"].unconfirmed_load = "m0"
    add_waiting(pool, "w", "m0")
    plan_grants(pool, now=0)
    record_first_event(pool, "w", "s0", took_ms=900, now=900)
    record_run_end(pool, "w", "s0", how=AttemptOutcome.DONE, now=1_000, events=2)
    assert pool.server_speeds.first_events == {}


def test_changed_speed_is_reported_once():
    """Operators look up since when a server has been slow."""
    pool = build_pool("learnt")
    pool.servers["s0"].speed.value = 0.6
    metrics = NodeMetrics()
    with mock.patch("arbutuspulley.node.pool_log.log_event") as log:
        log_server_speeds(pool)
        log_server_speeds(pool)
    assert [call.kwargs["speed"] for call in log.call_args_list] == [0.6]
    count_uneven_servers(metrics, [pool])
    assert metrics.uneven_servers.labels("slow")._value.get() == 1
    assert metrics.uneven_servers.labels("fast")._value.get() == 0
