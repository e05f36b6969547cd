"""Costs of the ways to know a stream's version after all instances were killed at once.

A model without a network: streams begin at random, and each way records them through a
store that handles so many transactions a second. The rows are those of the real
:class:`StreamJournal`, also for the ways that are not built. Run as
``python -m tests.stream_record_costs [SEED]`` to print the table.
"""

import base64
import gc
import heapq
import itertools
import math
import random
import statistics
import sys
import types

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.delivery.begun_streams import (
    BegunStream,
    build_stream_key,
    compute_retention_ms,
)
from arbutuspulley.delivery.stream_records import (
    REMOVAL_MARGIN_MS,
    StreamJournal,
    decode_row,
    list_streams,
)
from arbutuspulley.membership.software_versions import VersionHistory
from arbutuspulley.node.store_writing import INITIAL_BACKOFF_MS, MAX_BACKOFF_MS
from arbutuspulley.node.stream_store import (
    LONE_INTERVAL_PER_INSTANCE_MS,
    STREAMS_TABLE,
    VERSIONS_TABLE,
    WRITE_INTERVAL_MS,
)
from arbutuspulley.ports.fleet import SoftwareVersion

STREAMS_PER_INSTANCE_S = 10
STREAM_MS = 8_000
DEADLINE_MS = 15_000
RETENTION_MS = compute_retention_ms(DEADLINE_MS)

TRANSACTION_MS = 5
"""Time of a transaction in the store, in ms; a part handles one after another."""

MAX_QUEUE_MS = 1_000
"""Time for which transactions wait for a part at most; further ones are refused."""

PARTS = 16
"""Parts that the rows of instances are spread over; the coordinator uses one."""

NOTICE_MS = 2
"""Time until the coordinator hears of a first event, in ms."""

DETECTION_MS = 10
"""Time until a server drops the run of a connection that has closed, in ms."""

OUTAGE_MS = 1_000
"""Time from a power failure until the first instance asks anybody, in ms."""

WARM_UP_MS = RETENTION_MS + REMOVAL_MARGIN_MS
"""Time until as many rows are removed as are written, in ms."""

PLAY_MS = WARM_UP_MS + 4_000
FAILURES = 20

RELEASE_STEPS = 9
RELEASE_STEP_MS = 2_000
"""A release that replaces a ninth of the servers each 2 s."""

UTILIZATION = 0.9
SERVERS = 18
"""Servers of both versions, and their load, for the cost of choosing by the id."""

VERSIONS = [SoftwareVersion(name=name) for name in ("1.4.0", "1.5.0")]


class Fleet(Value, frozen=True):
    """A fleet and what its store lets it do.

    :param writes_s: calls that all instances may make in a second.
    """

    instances: int
    writes_s: int


FLEETS = (
    Fleet(instances=6, writes_s=400),
    Fleet(instances=60, writes_s=1_200),
    Fleet(instances=360, writes_s=3_200),
)


class Cost(Value, frozen=True):
    """What a way costs, and what it is worth.

    :param calls_s: calls of the store in a second, with refused ones.
    :param refused: share of these that were refused.
    :param bytes_s: bytes of the calls in a second.
    :param kept_bytes: bytes of the rows in the store.
    :param largest_row: bytes of the largest row.
    :param coordinator_bytes: memory at the coordinator.
    :param instance_bytes: memory at an instance.
    :param added_ms: time added to the first event: median and 99th percentile.
    :param restart_bytes: bytes read when all instances start again.
    :param resumable: share of the streams broken off by a power failure that can go on.
    :param resumable_in_release: the same while servers are replaced.
    """

    way: str
    instances: int
    calls_s: float = 0.0
    refused: float = 0.0
    bytes_s: float = 0.0
    kept_bytes: int = 0
    largest_row: int = 0
    coordinator_bytes: int = 0
    instance_bytes: int = 0
    added_ms: tuple[float, float] = (0.0, 0.0)
    restart_bytes: int = 0
    resumable: float = 0.0
    resumable_in_release: float = 0.0


class Way(Value, frozen=True):
    """A way that keeps streams in rows.

    :param writer: whose rows they are: a ``stream``, an ``instance`` or the ``fleet``.
    :param interval_ms: time for which streams are gathered; ``None``: as an instance
        without a coordinator.
    :param is_ahead: whether the first event waits until the row is written.
    """

    name: str
    writer: str
    interval_ms: int | None
    is_ahead: bool


WAYS = (
    Way(name="W1 row a stream, ahead", writer="stream", interval_ms=0, is_ahead=True),
    Way(name="W2 instance, ahead", writer="instance", interval_ms=0, is_ahead=True),
    Way(
        name="W3 instance, behind",
        writer="instance",
        interval_ms=WRITE_INTERVAL_MS,
        is_ahead=False,
    ),
    Way(
        name="W3 as built, no coordinator",
        writer="instance",
        interval_ms=None,
        is_ahead=False,
    ),
    Way(
        name="W4 coordinator, behind",
        writer="fleet",
        interval_ms=WRITE_INTERVAL_MS,
        is_ahead=False,
    ),
)
BUILT = WAYS[-1]


class Stream:
    """A stream of the model; times in ms, ``None``: not yet."""

    __slots__ = ("began_at", "instance", "key", "recorded_at", "version")

    def __init__(self, *, key, began_at, instance, version):
        self.key = key
        self.began_at = began_at
        self.instance = instance
        self.version = version
        self.recorded_at = None


class Writer:
    """A process that writes rows, and the streams of its next ones."""

    __slots__ = ("backoff_ms", "is_busy", "journal", "part", "waiting")

    def __init__(self, *, name, part):
        self.journal = StreamJournal(writer=name)
        self.part = part
        self.backoff_ms = INITIAL_BACKOFF_MS
        self.is_busy = False
        self.waiting = []


class ModelStore:
    """The store: rows, and when a transaction is done."""

    def __init__(self, fleet):
        self.rows = {}
        self.calls = []
        self.refused_at = []
        self._free_at = [0.0] * PARTS
        self._writes_s = fleet.writes_s
        self._second = (0, 0)

    def begin(self, *, at, part, size):
        """Return when a transaction is done; ``None``: it is refused."""
        self.calls.append((at, size))
        second, count = self._second
        count = count + 1 if second == at // SECOND_MS else 1
        self._second = (at // SECOND_MS, count)
        starts_at = max(at, self._free_at[part])
        if count > self._writes_s or starts_at - at > MAX_QUEUE_MS:
            self.refused_at.append(at)
            return None
        self._free_at[part] = starts_at + TRANSACTION_MS
        return self._free_at[part]


def measure_batch(batch):
    """Return the size of the call that writes a batch, in bytes."""
    name = {"Table": STREAMS_TABLE, "part": ""}
    body = {
        "Expected": [],
        "Put": [
            {**name, "Key": key, "Value": base64.b64encode(value).decode()}
            for key, value in batch.put.items()
        ],
        "Remove": [{**name, "Key": key} for key in batch.remove],
    }
    return len(msgspec.json.encode(body))


def measure_rows(rows):
    """Return the size of an answer with rows, in bytes."""
    return sum(
        len(key) + 4 * math.ceil(len(value) / 3) + 70 for key, value in rows.items()
    )


def measure_memory(root):
    """Return the size of an object and all that only it refers to, in bytes."""
    shared = (type, types.ModuleType, types.FunctionType, SoftwareVersion)
    seen, pending, size = set(), [root], 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, shared):
            continue
        seen.add(id(item))
        size += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
    return size


def build_streams(fleet, *, seed):
    """Build the streams that begin during a play, oldest first."""
    rng = random.Random(seed)
    rate_ms = fleet.instances * STREAMS_PER_INSTANCE_S / SECOND_MS
    streams, at = [], rng.expovariate(rate_ms)
    while at < PLAY_MS:
        streams.append(
            Stream(
                key=build_stream_key(f"attempt-{len(streams)}"),
                began_at=at,
                instance=rng.randrange(fleet.instances),
                version=rng.choice(VERSIONS),
            )
        )
        at += rng.expovariate(rate_ms)
    return streams


class Play:
    """A way at work on the streams of a fleet."""

    def __init__(self, way, fleet, *, seed):
        self.way = way
        self.fleet = fleet
        self.store = ModelStore(fleet)
        self.streams = build_streams(fleet, seed=seed)
        self.writers = {}
        self._numbers = itertools.count()
        self._steps = []
        interval_ms = way.interval_ms
        if interval_ms is None:
            interval_ms = LONE_INTERVAL_PER_INSTANCE_MS * fleet.instances
            interval_ms = max(WRITE_INTERVAL_MS, interval_ms)
        self._interval_ms = interval_ms

    def run(self):
        notice_ms = NOTICE_MS if self.way.writer == "fleet" else 0
        for stream in self.streams:
            self._plan(stream.began_at + notice_ms, self._add, stream)
        while self._steps and self._steps[0][0] < PLAY_MS:
            at, _number, step, *values = heapq.heappop(self._steps)
            step(at, *values)
        return self

    def _plan(self, at, step, *values):
        heapq.heappush(self._steps, (at, next(self._numbers), step, *values))

    def _find_writer(self, stream):
        names = {
            "stream": f"s{stream.key:x}",
            "instance": f"i{stream.instance}",
            "fleet": "coordinator0",
        }
        name = names[self.way.writer]
        if name not in self.writers:
            part = 0 if self.way.writer == "fleet" else stream.key % PARTS
            self.writers[name] = Writer(name=name, part=part)
        return name

    def _add(self, at, stream):
        name = self._find_writer(stream)
        writer = self.writers[name]
        begun = BegunStream(
            service="llm",
            version=stream.version,
            expires_at=int(stream.began_at) + RETENTION_MS,
        )
        writer.journal.add(stream.key, begun)
        writer.waiting.append(stream)
        if not writer.is_busy:
            writer.is_busy = True
            self._plan(at + self._interval_ms, self._write, name)

    def _write(self, at, name):
        writer = self.writers[name]
        batch = writer.journal.take_batch(now=int(at), store_now=int(at))
        if batch is None:
            writer.is_busy = False
            return
        size = measure_batch(batch)
        done_at = self.store.begin(at=at, part=writer.part, size=size)
        if done_at is None:
            self._plan(at + writer.backoff_ms, self._write, name)
            writer.backoff_ms = min(MAX_BACKOFF_MS, 2 * writer.backoff_ms)
            return
        writer.backoff_ms = INITIAL_BACKOFF_MS
        streams, writer.waiting = writer.waiting, []
        self._plan(done_at, self._confirm, name, batch, streams)

    def _confirm(self, at, name, batch, streams):
        writer = self.writers[name]
        self.store.rows.update(batch.put)
        for key in batch.remove:
            del self.store.rows[key]
        writer.journal.confirm(batch)
        for stream in streams:
            stream.recorded_at = at
        writer.is_busy = bool(writer.waiting) or writer.journal.has_unwritten
        if writer.is_busy:
            self._plan(at + self._interval_ms, self._write, name)
        elif self.way.writer == "stream":
            del self.writers[name]

    def list_kept(self):
        """Return the rows that have not been removed at the end."""
        return {
            key: value
            for key, value in self.store.rows.items()
            if decode_row(value).expires_at + REMOVAL_MARGIN_MS > PLAY_MS
        }

    def compute_resumable(self, *, seed):
        """Return the share of broken-off streams that have a record, over failures."""
        rng = random.Random(seed)
        moments = [rng.uniform(WARM_UP_MS, PLAY_MS) for _ in range(FAILURES)]
        return statistics.mean(self._compute_share(moment) for moment in moments)

    def _compute_share(self, moment):
        shown = [
            stream.recorded_at is not None and stream.recorded_at <= moment
            for stream in self.streams
            if self._is_broken_off(stream, moment)
        ]
        return statistics.mean(shown) if shown else 0.0

    def _is_broken_off(self, stream, moment):
        """Return whether a stream has brought an event and not ended."""
        begun_at = stream.recorded_at if self.way.is_ahead else stream.began_at
        return begun_at is not None and begun_at <= moment < stream.began_at + STREAM_MS

    def check_rows(self):
        """Return the share of the recorded streams that the rows name as they began."""
        rows = [decode_row(value) for value in self.store.rows.values()]
        known = list_streams(rows, now=PLAY_MS, store_now=PLAY_MS)
        alive = [
            stream
            for stream in self.streams
            if stream.recorded_at is not None
            and stream.began_at + RETENTION_MS > PLAY_MS + SECOND_MS
        ]
        found = [
            stream.key in known and known[stream.key].version == stream.version
            for stream in alive
        ]
        return statistics.mean(found)

    def measure_added_ms(self):
        """Return the median and 99th percentile of the time added to first events."""
        if not self.way.is_ahead:
            return (0.0, 0.0)
        added = sorted(
            (stream.recorded_at or PLAY_MS) - stream.began_at
            for stream in self.streams
            if WARM_UP_MS / 2 < stream.began_at < PLAY_MS - SECOND_MS
        )
        return (statistics.median(added), added[len(added) * 99 // 100])


def weigh(way, fleet, *, seed):
    """Return what a way with rows costs at a fleet.

    Removing the rows of single streams is not counted.
    """
    play = Play(way, fleet, seed=seed).run()
    calls = [size for at, size in play.store.calls if at >= WARM_UP_MS]
    refused = [at for at in play.store.refused_at if at >= WARM_UP_MS]
    window_s = (PLAY_MS - WARM_UP_MS) / SECOND_MS
    kept = play.list_kept()
    journals = [measure_memory(writer.journal) for writer in play.writers.values()]
    memory = statistics.mean(journals) if journals else 0
    is_central = way.writer == "fleet"
    resumable = play.compute_resumable(seed=seed)
    return Cost(
        way=way.name,
        instances=fleet.instances,
        calls_s=len(calls) / window_s,
        refused=len(refused) / len(calls),
        bytes_s=sum(calls) / window_s,
        kept_bytes=sum(len(key) + len(value) for key, value in kept.items()),
        largest_row=max(map(len, play.store.rows.values())),
        coordinator_bytes=int(memory) if is_central else 0,
        instance_bytes=int(memory) if way.writer == "instance" else 0,
        added_ms=play.measure_added_ms(),
        restart_bytes=measure_rows(kept) + fleet.instances * measure_history(),
        resumable=resumable,
        resumable_in_release=resumable,
    )


def measure_history():
    """Return the size of an answer with the versions of a service, in bytes."""
    history = VersionHistory(current=tuple(version.name for version in VERSIONS))
    return measure_rows({f"{VERSIONS_TABLE}/llm": msgspec.json.encode(history)})


def weigh_ranges(fleet, *, seed):
    """Return what it costs to let the attempt's id select the version.

    The ranges follow the servers. An id does not tell when its stream began, so that a
    stream can go on if its id selects one version in all tables that it may have begun
    under.
    """
    rng = random.Random(seed)
    table = [(step + 1) / RELEASE_STEPS for step in range(RELEASE_STEPS)]
    history = VersionHistory(current=tuple(version.name for version in VERSIONS))
    row = msgspec.json.encode((history, table[0]))
    shares = []
    for _failure in range(FAILURES):
        moment = rng.uniform(0, RELEASE_STEPS * RELEASE_STEP_MS)
        first = max(0, moment - RETENTION_MS) // RELEASE_STEP_MS
        last = moment // RELEASE_STEP_MS
        shares.append(1 - (last - first) / RELEASE_STEPS)
    return Cost(
        way="W5 function of the id",
        instances=fleet.instances,
        kept_bytes=len(row),
        largest_row=len(row),
        instance_bytes=measure_memory(history) + measure_memory(table[0]),
        restart_bytes=fleet.instances * measure_rows({"llm": row}),
        resumable=1.0,
        resumable_in_release=statistics.mean(shares),
    )


def weigh_servers(fleet):
    """Return what it costs to ask the servers that go on running.

    A server drops a run as its connection closes, before any instance can ask.
    """
    is_kept = DETECTION_MS > OUTAGE_MS
    return Cost(
        way="W6 ask a server",
        instances=fleet.instances,
        resumable=float(is_kept),
        resumable_in_release=float(is_kept),
    )


def compute_wait_share(slots, load):
    """Return the share of requests that wait for a slot (Erlang's C formula).

    :param load: mean number of busy slots if none waited.
    """
    if load >= slots:
        return 1.0
    blocked = 1.0
    for count in range(1, slots + 1):
        blocked = load * blocked / (count + load * blocked)
    return blocked / (1 - load / slots * (1 - blocked))


def compute_waits(fleet):
    """Return the shares of requests that wait, with one pool and with one a version;
    then the same with a server lost."""
    load = fleet.instances * STREAMS_PER_INSTANCE_S * STREAM_MS / SECOND_MS
    slots = math.ceil(load / UTILIZATION)
    half, lost = slots // 2, slots // SERVERS
    alone = compute_wait_share(half, load / 2)
    short = compute_wait_share(half - lost, load / 2)
    return (
        compute_wait_share(slots, load),
        alone,
        compute_wait_share(slots - lost, load),
        (alone + short) / 2,
    )


def weigh_all(fleet, *, seed):
    """Return what each way costs at a fleet."""
    return [
        *(weigh(way, fleet, seed=seed) for way in WAYS),
        weigh_ranges(fleet, seed=seed),
        weigh_servers(fleet),
    ]


def print_table(seed):
    """Print the costs of all ways at all fleets."""
    print(
        "| way | instances | calls/s (refused) | KB/s | KB kept | largest row B"
        " | coordinator KB | instance KB | added ms (median, p99) | KB at restart"
        " | go on | in a release |"
    )
    print("| --- " * 12 + "|")
    for fleet in FLEETS:
        for cost in weigh_all(fleet, seed=seed):
            median, slow = cost.added_ms
            print(
                f"| {cost.way} | {cost.instances}"
                f" | {cost.calls_s:,.1f} ({cost.refused:.0%})"
                f" | {cost.bytes_s / 1_000:,.1f} | {cost.kept_bytes / 1_000:,.1f}"
                f" | {cost.largest_row:,} | {cost.coordinator_bytes / 1_000:,.1f}"
                f" | {cost.instance_bytes / 1_000:,.1f} | {median:,.0f}, {slow:,.0f}"
                f" | {cost.restart_bytes / 1_000:,.1f} | {cost.resumable:.1%}"
                f" | {cost.resumable_in_release:.1%} |"
            )
    print("\nShare of requests that wait for a slot at 90% load (for W5):")
    print(f"one pool, one a version; the same with one of {SERVERS} servers lost")
    for fleet in FLEETS:
        shares = ", ".join(f"{share:.2%}" for share in compute_waits(fleet))
        print(f"{fleet.instances} instances: {shares}")


if __name__ == "__main__":
    print_table(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
