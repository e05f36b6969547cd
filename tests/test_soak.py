"""The soak's plan, and a short run of it with a fixed seed."""

import asyncio
import itertools
import signal
from types import SimpleNamespace

import pytest

from arbutuspulley.standins.fleet_server import ServerStandin
from tests.soak import Call, Soak, run_soak
from tests.soak_joins import Join
from tests.soak_plan import (
    CONTACT_S,
    CROWD_FAULTS,
    NODE_FAULTS,
    POWER_FAULTS,
    REACH_FAULTS,
    RECOVERY_S,
    SERVER_FAULTS,
    STORE_FAULTS,
    WRONG_FAULTS,
    build_crowd_faults,
    build_plan,
    build_power_faults,
    build_wrong_faults,
)
from tests.soak_power import Outcome, PowerFailure
from tests.version_fleet import VersionedStream


def test_a_plan_depends_on_its_seed_alone():
    assert build_plan(7, seconds=60) == build_plan(7, seconds=60)
    assert build_plan(7, seconds=60) != build_plan(8, seconds=60)


def test_plans_have_all_faults_and_calm_times():
    plans = [build_plan(seed, seconds=60) for seed in range(50)]
    kinds = {fault.kind for plan in plans for fault in plan}
    assert kinds == {
        *NODE_FAULTS,
        *STORE_FAULTS,
        *SERVER_FAULTS,
        *REACH_FAULTS,
        *POWER_FAULTS,
        *WRONG_FAULTS,
        *CROWD_FAULTS,
    }
    for seed, plan in enumerate(plans):
        power = build_power_faults(seed, seconds=60)
        wrong = build_wrong_faults(seed, seconds=60)
        crowds = build_crowd_faults(seed, seconds=60)
        others = [fault for fault in plan if fault not in (*power, *wrong, *crowds)]
        series = [fault for fault in others if fault.kind not in REACH_FAULTS]
        gaps = [after.at - fault.at for fault, after in itertools.pairwise(series)]
        assert max(gaps) >= CONTACT_S
        assert plan[-1].at < 60 - RECOVERY_S


@pytest.mark.parametrize("seed", range(5))
def test_a_short_plan_has_each_kind_of_wrong_answers_and_rows(seed):
    """Guards against a short run in CI that leaves a kind out."""
    kinds = {fault.kind for fault in build_wrong_faults(seed, seconds=40)}
    assert kinds == set(WRONG_FAULTS)


@pytest.mark.parametrize(
    ("path", "expected"),
    [("/book/", 1), ("/chat/", 1), ("/sync/", 0), ("/v5/", 0)],
)
def test_a_second_run_breaks_a_promise_only_where_the_route_forbids_it(
    tmp_path, path, expected
):
    """Guards against seed 4017: retries on a route that a change had added, whose
    requests may be repeated, counted as broken promises."""
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    server = ServerStandin(incarnation="p1", service="plain")
    server.runs["a1"] = 2
    soak.fleet.servers.append(server)
    call = Call(attempt="a1", node="n1", path=path, sent_at=1.0, status=500)
    soak.calls.append(call)
    soak._check_calls()
    assert len(soak.broken) == expected


@pytest.mark.parametrize(
    ("numbers", "versions", "expected"),
    [
        ([1, 2, 3], ["v2", "v2", "v2"], 0),
        ([1, 2, 3], ["v2", "v2", "v1"], 1),
        ([1, 3], ["v1", "v1"], 1),
    ],
)
def test_a_mixed_or_torn_stream_breaks_a_promise(tmp_path, numbers, versions, expected):
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    stream = VersionedStream(attempt="r1")
    stream.numbers, stream.versions = numbers, versions
    soak.streams.append(stream)
    soak._check_streams()
    assert len(soak.broken) == expected


@pytest.mark.parametrize(
    ("went_on", "count", "new", "is_loss"),
    [(5, 12, 12, True), (6, 12, 12, False), (5, 12, 8, False), (0, 11, 12, False)],
)
def test_too_few_streams_that_go_on_after_a_power_failure_are_a_loss(
    went_on, count, new, is_loss
):
    failure = PowerFailure(begun_at=0.0, versions=frozenset({"v1"}))
    failure.taken_up = [
        Outcome(version="v1", goes_on=number < went_on) for number in range(count)
    ]
    # Streams of a version with too few servers do not count.
    failure.taken_up += [Outcome(version="v2", goes_on=False)] * 20
    failure.begun = [
        Outcome(version="v1", goes_on=number < new) for number in range(12)
    ]
    assert bool(failure.describe_loss()) == is_loss


@pytest.mark.parametrize(
    ("what", "span", "expected"),
    [
        ("n1", (12.0, 15.0), True),
        ("n1", (12.0, 15.5), False),
        ("n2", (3.0, 7.0), False),
        ("n2", (1.0, 5.0), True),
        ("store", (13.0, 14.0), False),
        ("links of n2", (18.0, 19.0), False),
    ],
)
def test_only_the_power_failure_itself_may_disturb_the_streams_that_count(
    tmp_path, what, span, expected
):
    soak = Soak(seed=1, folder=tmp_path, processes=2)
    failure = PowerFailure(begun_at=11.0, killed_at=12.0, ready_at=15.0, ended_at=20.0)
    soak._disturbances[what] = [span]
    assert soak._is_failure_calm(failure) == expected


def test_a_loss_after_a_power_failure_breaks_a_promise(tmp_path):
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    failure = PowerFailure(begun_at=11.0, versions=frozenset({"v1"}))
    failure.taken_up = [Outcome(version="v1", goes_on=False)] * 12
    failure.begun = [Outcome(version="v1", goes_on=True)] * 12
    soak.failures.append(failure)
    soak._check_failures()
    assert [one.promise for one in soak.broken] == [
        "streams go on after a power failure"
    ]


@pytest.mark.parametrize(
    ("went_on", "count", "is_loss"), [(3, 8, True), (4, 8, False), (0, 7, False)]
)
def test_too_few_streams_that_go_on_after_a_join_break_a_promise(
    tmp_path, went_on, count, is_loss
):
    soak = Soak(seed=1, folder=tmp_path, processes=3)
    join = Join(name="n1", begun_at=1.0, ended_at=2.0)
    # The node that is out of touch may refuse all.
    join.away = [False] * 12
    join.in_touch = [("n2", number < went_on) for number in range(count)]
    # What others disturb does not count.
    soak._disturbances["links of n3"] = [(1.5, 1.6)]
    join.in_touch += [("n3", False)] * 12
    soak.joins.append(join)
    soak._check_joins()
    assert bool(soak.broken) == is_loss


@pytest.mark.parametrize(
    ("listed_ms", "is_broken"), [([12_999], False), ([13_001], True), ([], True)]
)
def test_a_server_that_joins_and_is_not_listed_breaks_a_promise(
    tmp_path, listed_ms, is_broken
):
    """Guards against nodes that follow the table of servers no more."""
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    server = ServerStandin(incarnation="p1", service="plain")
    soak._joined.append((server, 10.0, 10_000))
    lines = [
        f'{{"time_ms":{time_ms},"name":"server_listed","server":"p1"}}\n'
        for time_ms in listed_ms
    ]
    (tmp_path / "n1.log").write_text("".join(lines))
    soak._check_joined()
    assert bool(soak.broken) == is_broken


def test_an_internal_error_in_a_log_breaks_a_promise(tmp_path):
    """Guards against loops in a node that end and begin again unseen."""
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    log = tmp_path / "n1.log"
    log.write_text('{"event":100,"name":"started"}\n')

    async def check():
        soak._check_errors()

    asyncio.run(check())
    assert soak.broken == []
    log.write_text('{"event":104,"name":"internal_error"}\n')
    asyncio.run(check())
    assert len(soak.broken) == 1


def test_a_node_that_two_faults_end_is_started_once(tmp_path, monkeypatch):
    """Guards against seed 5012: a node was told to stop and killed meanwhile. Both
    faults started it again; the second process found its port in use and ended."""
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    ended = SimpleNamespace(pid=7)
    soak.fleet.nodes["n1"] = ended
    started = []

    async def start(name):
        started.append(name)
        await asyncio.sleep(0)

    async def wait_ready(_name):
        pass

    monkeypatch.setattr(soak, "_start_node", start)
    monkeypatch.setattr(soak.fleet, "wait_ready", wait_ready)

    async def scenario():
        await asyncio.gather(*(soak._replace_node("n1", ended) for _ in range(2)))

    asyncio.run(scenario())
    assert started == ["n1"]


@pytest.mark.parametrize(("end", "starts"), [(signal.SIGKILL, 1), (signal.SIGHUP, 2)])
def test_a_node_that_a_signal_ends_as_it_starts_is_started_again(
    tmp_path, monkeypatch, end, starts
):
    """Guards against seed 108: a signal came before the first line of a node that was
    started again, and the fault that had sent it saw its end too late. Who kills a node
    waits for its end."""
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    ended = SimpleNamespace(pid=1)
    soak.fleet.nodes["n1"] = ended
    started = []

    async def start(name):
        started.append(name)
        code = -end if len(started) == 1 else None
        soak.fleet.nodes[name] = SimpleNamespace(pid=1 + len(started), returncode=code)

    async def wait_ready(name):
        if soak.fleet.nodes[name].returncode is not None:
            raise AssertionError(f"{name} exited with {-end}")

    monkeypatch.setattr(soak, "_start_node", start)
    monkeypatch.setattr(soak.fleet, "wait_ready", wait_ready)
    asyncio.run(soak._replace_node("n1", ended))
    assert len(started) == starts


@pytest.mark.parametrize("is_replaced", [True, False])
def test_a_power_failure_waits_for_nodes_that_a_storm_starts_again(
    tmp_path, monkeypatch, is_replaced
):
    """Guards against seed 127: with 8 nodes on a busy machine, a storm killed nodes
    within the 15 s in which all had to be ready, and the soak ended without a result.
    """
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    waits = []

    async def wait_until(_condition, what):
        waits.append(what)
        if len(waits) == 1:
            if is_replaced:
                soak.fleet.nodes["n1"] = SimpleNamespace(pid=2)
            raise AssertionError(what)

    monkeypatch.setattr("tests.soak.wait_until", wait_until)
    if is_replaced:
        asyncio.run(soak._cut_power(None, 0.0))
        assert len(waits) == 2
    else:
        with pytest.raises(AssertionError, match="ready after a power failure"):
            asyncio.run(soak._cut_power(None, 0.0))


def test_a_node_that_another_fault_replaces_as_it_starts_is_left_to_that(
    tmp_path, monkeypatch
):
    """Guards against seed 134: a node was told to stop as it started, and the one that
    replaced it was killed; the soak ended without a result."""
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    ended = SimpleNamespace(pid=1)
    soak.fleet.nodes["n1"] = ended

    async def start(name):
        soak.fleet.nodes[name] = SimpleNamespace(pid=2, returncode=0)

    async def wait_ready(name):
        soak.fleet.nodes[name] = SimpleNamespace(pid=3, returncode=-signal.SIGKILL)
        raise AssertionError(f"{name} exited with -9")

    monkeypatch.setattr(soak, "_start_node", start)
    monkeypatch.setattr(soak.fleet, "wait_ready", wait_ready)
    asyncio.run(soak._replace_node("n1", ended))


def test_a_node_that_ends_by_itself_as_it_starts_ends_the_soak(tmp_path, monkeypatch):
    """Guards against a soak that passes over nodes that can't start."""
    soak = Soak(seed=1, folder=tmp_path, processes=1)
    ended = SimpleNamespace(pid=1)
    soak.fleet.nodes["n1"] = ended

    async def start(name):
        soak.fleet.nodes[name] = SimpleNamespace(pid=2, returncode=1)

    async def wait_ready(name):
        raise AssertionError(f"{name} exited with 1")

    monkeypatch.setattr(soak, "_start_node", start)
    monkeypatch.setattr(soak.fleet, "wait_ready", wait_ready)
    with pytest.raises(AssertionError, match="exited with 1"):
        asyncio.run(soak._replace_node("n1", ended))


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_in_a_short_soak(tmp_path, seed):
    """Guards against promises that break only when faults overlap."""
    broken = asyncio.run(run_soak(tmp_path, seed=seed, seconds=40, processes=4))
    assert broken == []
