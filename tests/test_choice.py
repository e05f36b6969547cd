"""Choice of a server with stale reports and faults."""

import heapq
import random

import pytest

from arbutuspulley.routing import choice
from arbutuspulley.routing.choice import RoutingState, choose_server
from arbutuspulley.rpc.messages import ServerSummary


def build_server(name, **fields):
    defaults = {"site": "a", "address": "127.0.0.1:1", "items": ("m@1",), "slots": 4}
    return ServerSummary(server=name, **{**defaults, **fields})


def choose(state, servers, *, now=0, avoid=frozenset(), seed=1):
    return choose_server(
        state,
        servers=servers,
        item="m@1",
        cost=100,
        avoid=avoid,
        now=now,
        rng=random.Random(seed),
    )


@pytest.mark.parametrize(
    ("servers", "avoid", "chosen"),
    [
        ([build_server("s1", items=("other@1",))], (), None),
        ([build_server("s1", leaving=True), build_server("s2")], (), "s2"),
        ([build_server("s1", alive=False), build_server("s2")], (), "s2"),
        ([build_server("s1"), build_server("s2")], ("s1",), "s2"),
        ([build_server("s1")], ("s1",), None),
        ([build_server("s1", running=3), build_server("s2", waiting=1)], (), "s2"),
        ([build_server("s1", running=3), build_server("s2", slots=2)], (), "s2"),
        ([build_server("s1", site="b"), build_server("s2")], (), "s2"),
        ([build_server("s1"), build_server("s2", site="b", slots=16)], (), "s2"),
        ([build_server("s1", waiting_tokens=9), build_server("s2")], (), "s2"),
    ],
)
def test_chooses_the_least_loaded_eligible_server(servers, avoid, chosen):
    assert choose(RoutingState(site="a"), servers, avoid=frozenset(avoid)) == chosen


@pytest.mark.parametrize(
    ("age_ms", "began_at", "chosen"),
    [
        (0, 900, "s1"),  # the report includes both requests: 2 and 3
        (500, 900, "s2"),  # the report is older than both requests: 4 and 3
    ],
)
def test_own_requests_since_the_report_are_added(age_ms, began_at, chosen):
    """Guards against a burst that goes to one server although another is less loaded.

    The server's report of 2 requests is half a second old; this entry has sent two more
    since. Without the correction, the server looks less loaded until the next report.
    """
    state = RoutingState(site="a")
    for _ in range(2):
        choice.begin_attempt(state, "s1", 100, now=began_at)
    servers = [build_server("s1", running=2, age_ms=age_ms)]
    servers.append(build_server("s2", running=3))
    choice.apply_reports(state, servers=servers, now=1_000)
    assert choose(state, servers, now=1_000) == chosen


def test_a_failing_server_backs_off_and_is_then_probed_once():
    """Guards against a server that refuses connections at once, so that it looks idle
    and attracts all requests.

    After the backoff it gets a single probe; as that fails too, the backoff doubles.
    """
    state = RoutingState(site="a")
    servers = [build_server("s1"), build_server("s2", running=3)]
    choice.begin_attempt(state, "s1", 100, now=0)
    choice.begin_attempt(state, "s1", 100, now=0)
    choice.record_failure(state, "s1", 0)
    choice.record_failure(state, "s1", 0)
    for _ in range(2):
        choice.end_attempt(state, "s1", 100, now=0)
    assert choose(state, servers, now=choice.BACKOFF_MS - 1) == "s2"
    assert choose(state, servers, now=choice.BACKOFF_MS) == "s1"
    choice.begin_attempt(state, "s1", 100, now=choice.BACKOFF_MS)
    assert choose(state, servers, now=choice.BACKOFF_MS) == "s2"
    choice.record_failure(state, "s1", choice.BACKOFF_MS)
    choice.end_attempt(state, "s1", 100, now=choice.BACKOFF_MS)
    assert choose(state, servers, now=3 * choice.BACKOFF_MS - 1) == "s2"
    assert choose(state, servers, now=3 * choice.BACKOFF_MS) == "s1"


def test_a_stream_older_than_the_failure_does_not_end_the_backoff():
    state = RoutingState(site="a")
    servers = [build_server("s1"), build_server("s2", running=3)]
    choice.begin_attempt(state, "s1", 100, now=0)
    choice.record_failure(state, "s1", 500)
    choice.end_attempt(state, "s1", 100, now=600, succeeded=True, began_at=0)
    assert choose(state, servers, now=600) == "s2"
    choice.record_success(state, "s1", began_at=550)
    assert choose(state, servers, now=600) == "s1"


def test_backoff_never_leaves_a_model_without_a_server():
    """A network switch fails briefly and all holders of a model break off.

    If all were excluded, the model would be unreachable for seconds after the switch
    has recovered. The server whose backoff ends first is used.
    """
    state = RoutingState(site="a")
    servers = [build_server("s1"), build_server("s2")]
    choice.record_failure(state, "s2", 0)
    choice.record_failure(state, "s1", 10)
    assert choose(state, servers, now=20) == "s2"


def test_a_refusal_as_leaving_overrides_stale_reports():
    """Guards against requests that are sent first to a stopping server, which refuses
    them while reports still show it as alive."""
    state = RoutingState(site="a")
    servers = [build_server("s1", boot_id="b1"), build_server("s2", running=3)]
    assert choose(state, servers) == "s1"
    choice.record_leaving(state, "s1", 0)
    assert choose(state, servers, now=1_000) == "s2"
    back = [build_server("s1", boot_id="b2"), servers[1]]
    assert choose(state, back, now=2_000) == "s1"


def test_unlisted_servers_are_evicted():
    state = RoutingState(site="a")
    choice.apply_reports(state, servers=[build_server("s1")], now=0)
    choice.apply_reports(state, servers=[build_server("s2")], now=1)
    assert list(state.servers) == ["s2"]


def simulate_late_starts(*, entries, seed):
    """Return the fraction of requests that wait over 500 ms for a slot.

    Eight servers with 8 slots run at 0.7 of their capacity; reports are 2 s old.
    """
    rng = random.Random(seed)
    states = [RoutingState(site="a") for _ in range(entries)]
    running = [0] * 8
    queues = [[] for _ in range(8)]
    history, views, waits, events = [], [], [], []
    arrival = 0.0
    while arrival < 40_000:
        arrival += rng.expovariate(8 * 8 * 0.7 / 3_000)
        heapq.heappush(events, (arrival, len(events), None))
    for at in range(0, 60_000, 500):
        heapq.heappush(events, (at, -1, None))

    def start(server, entry, arrived, now):
        running[server] += 1
        waits.append(now - arrived)
        ends = now + rng.expovariate(1 / 3_000)
        heapq.heappush(events, (ends, 10**6 + len(waits), (server, entry)))

    while events:
        now, kind, ended = heapq.heappop(events)
        if kind == -1:
            loads = zip(running, queues, strict=True)
            history.append([(run, len(queue)) for run, queue in loads])
            views = [
                build_server(f"{n}", slots=8, running=r, waiting=w, age_ms=2_000)
                for n, (r, w) in enumerate(history[max(0, len(history) - 5)])
            ]
        elif ended is None:
            entry = rng.randrange(entries)
            name = choose_server(
                states[entry],
                servers=views,
                item="m@1",
                cost=1,
                now=int(now),
                rng=rng,
            )
            choice.begin_attempt(states[entry], name, 1, now=int(now))
            if running[int(name)] < 8:
                start(int(name), entry, now, now)
            else:
                queues[int(name)].append((entry, now))
        else:
            server, entry = ended
            running[server] -= 1
            choice.end_attempt(states[entry], f"{server}", 1, now=int(now))
            if queues[server]:
                start(server, *queues[server].pop(0), now)
    return sum(wait > 500 for wait in waits) / len(waits)


@pytest.mark.parametrize(("entries", "most"), [(2, 0.05), (6, 0.11), (20, 0.14)])
def test_entries_with_the_same_stale_report_do_not_herd(entries, most):
    """Guards against entries that all choose the server that was least loaded in the
    same report, two seconds old: some servers queue while others are idle, at 0.7 of
    the capacity."""
    late = [simulate_late_starts(entries=entries, seed=seed) for seed in (1, 2, 3)]
    assert sum(late) / len(late) < most
