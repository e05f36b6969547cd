"""The entry's slopes: requests, token chunks, streams and the gap between tokens."""

import itertools
import json
import threading
import time
from pathlib import Path

import urllib3

from arbutuspulley.adapters.sse import EventBuffer, feed
from arbutuspulley.configuration import schema
from arbutuspulley.data import State, Value
from scripts import fleet
from scripts.fleet import InstancePlan, Plan, ServerPlan
from scripts.launcher import Launcher, fetch
from scripts.slope_figures import Figure, build_slope
from scripts.slope_fit import Point, find_quantile, fit_plane
from scripts.slope_process import read_cpu_ms, read_rss_mib
from scripts.slope_stack import approve, find_pid, wait_loaded

STREAMS = (8, 24, 48)
TOKENS = (12, 40, 100)
ROUND_S = 2.5
"""How long new requests are begun in one round; those begun are then finished."""

IDLE_S = 3.0

FULL_FACTOR = 0.05
"""The engines' ``slow_factor`` in the last round."""

FULL_STREAMS = 48
FULL_TOKENS = 400
MODEL = "assistant"

_TIMEOUT = urllib3.Timeout(connect=2.0, read=20.0)
_READ_BYTES = 4_096

# Steps of the stand-in's batch grow with the batch, so that many small batches
# keep the tokens near the target's 37 ms at each number of streams.
_SERVERS = tuple(
    ServerPlan(
        name=f"engine-{number}",
        site="semarang-a",
        slots=32,
        flags=("--max-batch", "32", "--token-ms", "30"),
    )
    for number in range(1, 5)
)
_MODELS = {MODEL: schema.Model(version="1", size_mib=14_000, copies=4)}


class Tally(State):
    """What the callers of one round saw."""

    requests: int = 0
    chunks: int = 0
    refused: int = 0
    gaps_ms: list[float] = []


class Round(Value, frozen=True):
    """One round of streams, and what the entry used meanwhile.

    :param client_cpu_ms: what this process used to ask.
    """

    streams: int
    tokens: int
    seconds: float
    cpu_ms: float
    client_cpu_ms: float
    rss_mib: float
    tally: Tally


def measure_entry(launcher: Launcher, directory: Path) -> list[Figure]:
    """Start a small stack and measure its one entry."""
    plan = Plan(
        instances=(InstancePlan(name="semarang-a-1", site="semarang-a"),),
        servers=_SERVERS,
        services=(),
        models=_MODELS,
        report_ms=500,
        exchange_ms=1_000,
    )
    system = fleet.build_fleet(plan, launcher)
    fleet.start_standins(system)
    fleet.start_programs(system)
    launcher.wait_ready("controller-semarang-a-1", "console")
    approve(system, directory)
    (name,) = fleet.list_all_entries(system)
    launcher.wait_ready(name)
    wait_loaded(system, copies=len(_SERVERS))
    pid = find_pid(launcher, name)
    address = system.addresses[name]
    _run_round(address, pid, streams=4, tokens=8)
    idle = _measure_idle(pid)
    rounds = [
        _run_round(address, pid, streams=streams, tokens=tokens)
        for streams in STREAMS
        for tokens in TOKENS
    ]
    rss_idle = read_rss_mib(pid)
    figures = _build_figures(rounds, idle=idle, rss_idle=rss_idle)
    for server in _SERVERS:
        body = json.dumps({"slow_factor": FULL_FACTOR})
        fetch("POST", system.addresses[server.name], "/control", body=body)
    engines = [find_pid(launcher, server.name) for server in _SERVERS]
    before = [read_cpu_ms(engine) for engine in engines]
    full = _run_round(address, pid, streams=FULL_STREAMS, tokens=FULL_TOKENS)
    used = [read_cpu_ms(engine) for engine in engines]
    busiest = max(after - first for first, after in zip(before, used, strict=True))
    return [*figures, *_build_full(full, engine_cpu_ms=busiest)]


def _build_full(full: Round, *, engine_cpu_ms: float) -> list[Figure]:
    """Return what the entry passed on when the engines need not wait for a step.

    Any of the processes may then be the limit; their processor times tell which.
    """
    return [
        Figure(
            name="entry.full_chunks",
            value=full.tally.chunks / full.seconds,
            unit=f"chunks a second, {FULL_STREAMS} streams",
        ),
        Figure(
            name="entry.full_cpu",
            value=full.cpu_ms / full.seconds,
            unit="ms a second meanwhile",
        ),
        Figure(
            name="entry.full_client_cpu",
            value=full.client_cpu_ms / full.seconds,
            unit="ms a second meanwhile, of the process that asks",
        ),
        Figure(
            name="entry.full_engine_cpu",
            value=engine_cpu_ms / full.seconds,
            unit="ms a second meanwhile, of the busiest engine stand-in",
        ),
    ]


def _measure_idle(pid: int) -> float:
    """Return the processor time of a second without requests, in ms."""
    before = read_cpu_ms(pid)
    time.sleep(IDLE_S)
    return (read_cpu_ms(pid) - before) / IDLE_S


def _build_figures(
    rounds: list[Round], *, idle: float, rss_idle: float
) -> list[Figure]:
    rows = [(one.tally.requests, one.tally.chunks) for one in rounds]
    values = [one.cpu_ms - idle * one.seconds for one in rounds]
    request_ms, chunk_ms = fit_plane(rows, values)
    largest = max(values)
    residual = max(
        abs(value - request_ms * row[0] - chunk_ms * row[1]) / largest
        for row, value in zip(rows, values, strict=True)
    )
    longest = [one for one in rounds if one.tokens == TOKENS[-1]]
    memory = [Point(size=one.streams, value=one.rss_mib) for one in longest]
    gaps = [
        Point(size=one.streams, value=find_quantile(one.tally.gaps_ms, 0.95))
        for one in longest
    ]
    return [
        Figure(name="entry.chunk_cpu", value=chunk_ms, unit="ms", residual=residual),
        Figure(name="entry.request_cpu", value=request_ms, unit="ms"),
        Figure(name="entry.idle_cpu", value=idle, unit="ms a second"),
        build_slope("entry.stream_memory", "MiB a stream", memory),
        Figure(name="entry.memory_after", value=rss_idle, unit="MiB"),
        *(
            Figure(
                name=f"entry.gap_p95_{point.size:g}_streams",
                value=point.value,
                unit="ms",
            )
            for point in gaps
        ),
        *(
            Figure(
                name=f"entry.gap_median_{one.streams}_streams",
                value=find_quantile(one.tally.gaps_ms, 0.5),
                unit="ms",
            )
            for one in longest
        ),
        Figure(
            name="entry.chunks_a_second_at_most_measured",
            value=max(one.tally.chunks / one.seconds for one in rounds),
            unit="chunks a second",
        ),
        Figure(
            name="entry.refused",
            value=sum(one.tally.refused for one in rounds),
            unit="requests",
        ),
    ]


def _run_round(address: str, pid: int, *, streams: int, tokens: int) -> Round:
    tally = Tally(gaps_ms=[])
    lock = threading.Lock()
    began_at = time.monotonic()
    until = began_at + ROUND_S
    before, client_before = read_cpu_ms(pid), time.process_time()
    threads = [
        threading.Thread(
            target=_ask_until, args=(address, until, tokens, number, tally, lock)
        )
        for number in range(streams)
    ]
    for thread in threads:
        thread.start()
    time.sleep(ROUND_S * 0.8)
    rss_mib = read_rss_mib(pid)
    for thread in threads:
        thread.join()
    return Round(
        streams=streams,
        tokens=tokens,
        seconds=time.monotonic() - began_at,
        cpu_ms=read_cpu_ms(pid) - before,
        client_cpu_ms=(time.process_time() - client_before) * 1_000,
        rss_mib=rss_mib,
        tally=tally,
    )


def _ask_until(
    address: str,
    until: float,
    tokens: int,
    number: int,
    tally: Tally,
    lock: threading.Lock,
) -> None:
    host, _, port = address.rpartition(":")
    time.sleep(number * 0.01)
    count = 0
    with urllib3.HTTPConnectionPool(host, int(port), timeout=_TIMEOUT) as pool:
        while time.monotonic() < until:
            count += 1
            arrivals = _ask(pool, tokens, f"guest {number} asks {count}")
            with lock:
                if not arrivals:
                    tally.refused += 1
                    continue
                tally.requests += 1
                tally.chunks += len(arrivals)
                pairs = itertools.pairwise(arrivals)
                tally.gaps_ms += [(after - before) * 1000 for before, after in pairs]


def _ask(pool: urllib3.HTTPConnectionPool, tokens: int, text: str) -> list[float]:
    """Ask once; return when each event with a token came, empty if refused."""
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    }
    response = pool.urlopen(
        "POST",
        "/v1/chat/completions",
        body=json.dumps(body).encode(),
        headers={
            "Authorization": "Bearer key-of-desk",
            "Content-Type": "application/json",
        },
        retries=False,
        preload_content=False,
    )
    arrivals: list[float] = []
    buffer = EventBuffer()
    while part := response.read1(_READ_BYTES):
        now = time.monotonic()
        if response.status == 200:
            arrivals += [now for event in feed(buffer, part) if event.id]
    response.release_conn()
    if response.status != 200:
        time.sleep(0.05)
    return arrivals[:tokens]
