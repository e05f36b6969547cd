"""How the records of streams get into the store and back, in virtual time."""

import asyncio

import pytest

from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.delivery.begun_streams import MAX_RETENTION_MS, BegunStream
from arbutuspulley.delivery.stream_records import (
    MAX_ROW_STREAMS,
    REMOVAL_MARGIN_MS,
    decode_row,
)
from arbutuspulley.membership.software_versions import HISTORY_SETTLING_MS
from arbutuspulley.node.store_writing import MAX_BACKOFF_MS
from arbutuspulley.node.stream_store import (
    LONE_INTERVAL_MS,
    MIN_READ_INTERVAL_MS,
    REMOVAL_INTERVAL_MS,
    STREAMS_TABLE,
    VERSIONS_TABLE,
    WRITE_INTERVAL_MS,
    StreamStore,
    store_stream,
)
from arbutuspulley.platform.era import StoreEra
from arbutuspulley.platform.store import RowsAnswer, StoredRow, WriteAnswer
from arbutuspulley.ports.fleet import SoftwareVersion
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.simulation import Network, VirtualLoop
from tests.node_states import build_entry, build_position, build_state

V1, V2 = SoftwareVersion(name="v1"), SoftwareVersion(name="v2")
CALL_MS = 5
RETENTION_MS = 17_000
MAX_ENTRIES = 100
OFFSET_MS = 3_000_000
"""How far the store's clock is ahead of the processes'."""


def get_now():
    return int(asyncio.get_running_loop().time() * SECOND_MS)


async def pass_ms(duration_ms):
    await asyncio.sleep(duration_ms / SECOND_MS)


class FakeStore:
    """The store's rows, and its faults.

    ``fault`` is what happens to calls: ``away``, ``lost``: writes are done and not
    answered, or ``None``. ``calls`` holds the table and kind of each.
    """

    def __init__(self):
        self.tables = {STREAMS_TABLE: {}, VERSIONS_TABLE: {}}
        self.calls = []
        self.era = 1
        self.fault = None
        self.clock_offset_ms = OFFSET_MS

    def copy(self):
        return {table: dict(rows) for table, rows in self.tables.items()}

    def restore(self, copy):
        self.tables = {table: dict(rows) for table, rows in copy.items()}
        self.era += 1

    def get_now(self):
        return get_now() + self.clock_offset_ms

    def list_keys(self):
        """Return the keys of all recorded streams."""
        rows = [decode_row(value) for value in self.tables[STREAMS_TABLE].values()]
        groups = [group for row in rows if row for group in row.groups]
        return {
            int.from_bytes(group.keys[start : start + 8], "big")
            for group in groups
            for start in range(0, len(group.keys), 8)
        }

    def count(self, table, kind):
        return self.calls.count((table, kind))


class FakeClient:
    """The store as one process reaches it."""

    def __init__(self, store):
        self.store = store
        self.era = StoreEra()

    async def read(self, table):
        await self._call(table, "read")
        rows = [
            StoredRow(key=key, position=self._position, value=value)
            for key, value in sorted(self.store.tables[table].items())
        ]
        return RowsAnswer(
            rows=rows, position=self._position, now_ms=self.store.get_now()
        )

    async def write(self, table, *, expected, put, remove=()):
        assert len(put) + len(remove) <= MAX_ENTRIES
        await self._call(table, "write")
        self.store.tables[table].update(put)
        for key in remove:
            self.store.tables[table].pop(key, None)
        if self.store.fault == "lost":
            raise OutcomeUnknownError(detail="lost")
        return WriteAnswer(
            is_applied=True, position=self._position, now_ms=self.store.get_now()
        )

    @property
    def _position(self):
        return build_position(1, era=self.store.era)

    async def _call(self, table, kind):
        called_in = self.era.current
        self.store.calls.append((table, kind))
        await pass_ms(CALL_MS)
        if self.store.fault == "away":
            raise PlatformUnavailableError(detail="away")
        self.era.update(str(self.store.era), called_in=called_in)


class Process:
    """An instance that keeps records, until it is killed."""

    def __init__(self, store, *versions, is_coordinator=True):
        self.state = build_state(clock=Clock(read=get_now))
        self.client = FakeClient(store)
        self.state.store = self.client
        self.streams = StreamStore(state=self.state)
        self.client.era = StoreEra(on_change=self.streams.restart)
        self.set_versions(*versions)
        if is_coordinator:
            self.coordinate()
        self.task = asyncio.create_task(self.streams.run())

    def set_versions(self, *versions):
        entries = [
            build_entry(f"s{number}", software_version=version)
            for number, version in enumerate(versions)
        ]
        self.state.software_versions.update({"llm": entries}, now=get_now())
        self.state.notify_change()

    def coordinate(self):
        self.state.is_coordinator = True
        for call in self.state.on_coordinating:
            call()

    def begin(self, *keys, version=V1):
        now = get_now()
        for key in keys:
            stream = BegunStream(
                service="llm", version=version, expires_at=now + RETENTION_MS
            )
            self.state.begun_streams.add(key, stream, now=now)
            store_stream(self.state, key)

    def find(self, key):
        stream = self.state.begun_streams.find(key, now=get_now())
        return stream and stream.version

    def is_mixed(self):
        return self.state.software_versions.is_mixed("llm", now=get_now())

    async def kill(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def play(scenario):
    """Run a scenario with a store in virtual time."""
    loop = VirtualLoop(network=Network(seed=1))

    async def run():
        await scenario(FakeStore())

    try:
        loop.run_until_complete(run())
    finally:
        loop.dispose()


async def start(store, *versions, **options):
    process = Process(store, *versions, **options)
    await pass_ms(100)
    return process


def test_streams_outlive_all_processes():
    """Guards against streams whose version only processes know."""

    async def scenario(store):
        first = await start(store, V1, V2)
        first.begin(1)
        first.begin(2, version=V2)
        await pass_ms(WRITE_INTERVAL_MS + 2 * CALL_MS)
        await first.kill()
        second = await start(store, V1, V2)
        assert (second.find(1), second.find(2), second.find(3)) == (V1, V2, None)
        assert not second.state.stream_journal.awaits_records

    play(scenario)


def test_a_service_with_one_version_makes_no_calls_for_streams():
    """Guards against calls of the store that serve no service."""

    async def scenario(store):
        process = await start(store, V1, V1)
        process.begin(*range(1, 100))
        await pass_ms(60_000)
        streams = [kind for table, kind in store.calls if table == STREAMS_TABLE]
        assert streams == ["read"]  # As it becomes the coordinator.
        assert store.count(VERSIONS_TABLE, "write") == 1

    play(scenario)


def test_streams_are_written_together():
    async def scenario(store):
        process = await start(store, V1, V2)
        before = store.count(STREAMS_TABLE, "write")
        for key in range(1, 1_001):
            process.begin(key)
            await pass_ms(1)
        await pass_ms(100)
        assert store.list_keys() == set(range(1, 1_001))
        assert store.count(STREAMS_TABLE, "write") - before <= 1_000 / 50 + 1

    play(scenario)


def test_streams_that_began_before_a_second_version_came_are_recorded():
    """Guards against streams of a service that was not mixed as they began: they go on
    at the new version after a power failure, or not at all."""

    async def scenario(store):
        process = await start(store, V1)
        process.begin(1, 2)
        await pass_ms(1_000)
        assert not store.list_keys()
        process.set_versions(V1, V2)
        await pass_ms(WRITE_INTERVAL_MS + 4 * CALL_MS)
        assert store.list_keys() == {1, 2}

    play(scenario)


@pytest.mark.parametrize("fault", ["away", "lost"])
def test_failed_writes_are_repeated(fault):
    """Guards against streams that are lost with a call that fails, or that are written
    again under another key after each lost answer."""

    async def scenario(store):
        process = await start(store, V1, V2)
        store.fault = fault
        process.begin(1)
        await pass_ms(5_000)
        process.begin(2)
        await pass_ms(1_000)
        store.fault = None
        await pass_ms(MAX_BACKOFF_MS + WRITE_INTERVAL_MS + 2 * CALL_MS)
        assert store.list_keys() == {1, 2}
        assert len(store.tables[STREAMS_TABLE]) == 2

    play(scenario)


@pytest.mark.parametrize("fault", ["away", "lost"])
def test_rows_are_removed_although_the_store_was_away_as_they_expired(fault):
    """Guards against rows that stay in the store after an outage."""

    async def scenario(store):
        process = await start(store, V1, V2)
        for key in range(1, 101):
            process.begin(key)
            await pass_ms(WRITE_INTERVAL_MS + CALL_MS + 1)
        assert len(store.tables[STREAMS_TABLE]) > 90
        store.fault = fault
        await pass_ms(RETENTION_MS + REMOVAL_MARGIN_MS + 10_000)
        store.fault = None
        await pass_ms(MAX_BACKOFF_MS + 3 * REMOVAL_INTERVAL_MS)
        assert not store.tables[STREAMS_TABLE]
        assert len(process.state.stream_journal) == 0

    play(scenario)


def test_rows_are_removed_while_no_stream_begins():
    async def scenario(store):
        process = await start(store, V1, V2)
        process.begin(1)
        await pass_ms(RETENTION_MS)
        assert store.list_keys() == {1}
        await pass_ms(REMOVAL_MARGIN_MS + REMOVAL_INTERVAL_MS + 1_000)
        assert not store.tables[STREAMS_TABLE]

    play(scenario)


@pytest.mark.parametrize("back_ms", [0, 60_000])
def test_all_is_written_again_in_a_new_era(back_ms):
    """Guards against streams and versions that the store loses with the writes after
    its copy, while a process still knows them."""

    async def scenario(store):
        copy = store.copy()
        process = await start(store, V1, V2)
        process.begin(1)
        await pass_ms(1_000)
        store.restore(copy)
        store.clock_offset_ms -= back_ms
        process.begin(2)
        await pass_ms(1_000)
        assert store.list_keys() == {1, 2}
        assert store.tables[VERSIONS_TABLE].keys() == {"llm"}
        await process.kill()
        second = await start(store, V2)
        assert (second.find(1), second.find(2)) == (V1, V1)
        assert second.is_mixed()

    play(scenario)


def test_a_new_era_in_the_middle_of_a_write_leaves_nothing_out():
    """Guards against rows that count as written, as they were in the era before."""

    async def scenario(store):
        process = await start(store, V1, V2)
        copy = store.copy()
        process.begin(1)
        await pass_ms(1_000)
        process.begin(2)
        await pass_ms(WRITE_INTERVAL_MS + CALL_MS - 1)
        store.restore(copy)
        assert not store.list_keys()
        await pass_ms(100)
        assert store.list_keys() == {1, 2}

    play(scenario)


def test_rows_of_an_earlier_era_are_not_renewed_before_servers_have_registered():
    """Guards against a coordinator that is killed soon after its start, having stated
    for a new era what it could not know yet."""

    async def scenario(store):
        first = await start(store, V1)
        await first.kill()
        store.restore(store.copy())
        second = await start(store, V1)
        await pass_ms(HISTORY_SETTLING_MS - 1_000)
        await second.kill()
        third = await start(store, V1)
        assert third.is_mixed()

    play(scenario)


def test_rows_of_an_earlier_era_are_renewed_once_they_can_be_relied_on():
    """Guards against a row that no process brings up to date, so that each later start
    keeps callers of unknown streams waiting."""

    async def scenario(store):
        first = await start(store, V1)
        await first.kill()
        store.restore(store.copy())
        second = await start(store, V1)
        await pass_ms(HISTORY_SETTLING_MS + 2 * REMOVAL_INTERVAL_MS)
        await second.kill()
        third = await start(store, V1)
        versions = third.state.software_versions
        assert not versions.is_settling("llm", now=get_now())
        # A version that the copy lacks counts from the first start on.
        await third.kill()
        await pass_ms(MAX_RETENTION_MS - HISTORY_SETTLING_MS - 2 * REMOVAL_INTERVAL_MS)
        fourth = await start(store, V1)
        assert not fourth.is_mixed()

    play(scenario)


async def restart_beside_a_coordinator(store):
    """Let a process read the rows of an older copy just before a coordinator, which
    kept running, writes them again; return both processes."""
    first = await start(store, V1)
    store.restore(store.copy())
    second = await start(store, V1, is_coordinator=False)
    assert second.is_mixed()
    await first.client.read(VERSIONS_TABLE)
    await pass_ms(2 * WRITE_INTERVAL_MS)
    return first, second


def test_a_process_that_read_an_outdated_row_reads_it_again():
    """Guards against streams that an instance refuses for ten minutes as a version may
    be missing, although the coordinator has written all versions meanwhile."""

    async def scenario(store):
        _first, second = await restart_beside_a_coordinator(store)
        assert await second.state.look_up_streams()
        assert not second.is_mixed()

    play(scenario)


def test_a_new_coordinator_goes_by_the_versions_of_one_that_knew_all():
    """Guards against a row by which all instances refuse unknown streams for ten
    minutes, as the new coordinator has started while the row was outdated."""

    async def scenario(store):
        first, second = await restart_beside_a_coordinator(store)
        await first.kill()
        second.coordinate()
        await pass_ms(2 * REMOVAL_INTERVAL_MS)
        assert not second.is_mixed()
        third = await start(store, V1)
        assert not third.is_mixed()

    play(scenario)


def test_a_row_that_may_lack_versions_is_replaced_by_one_that_is_complete():
    """Guards against processes that refuse unknown streams by the row of a coordinator
    that had just started, although the present one knows all versions."""

    async def scenario(store):
        first = await start(store, V1)
        first.state.is_coordinator = False
        store.restore(store.copy())
        second = await start(store, V1)
        await pass_ms(HISTORY_SETTLING_MS + 2 * REMOVAL_INTERVAL_MS)
        await second.kill()
        first.coordinate()
        await pass_ms(2 * REMOVAL_INTERVAL_MS)
        writes = store.count(VERSIONS_TABLE, "write")
        third = await start(store, V1, is_coordinator=False)
        assert not third.is_mixed()
        first.state.notify_change()
        await pass_ms(REMOVAL_INTERVAL_MS)
        assert store.count(VERSIONS_TABLE, "write") == writes

    play(scenario)


def test_a_stream_goes_on_after_each_of_several_power_failures():
    """Guards against a stream that is forgotten with the deadline of its first attempt,
    though each of its attempts has one of its own."""

    async def scenario(store):
        process = await start(store, V1, V2)
        process.begin(1)
        for _failure in range(5):
            await pass_ms(RETENTION_MS - 5_000)
            await process.kill()
            await pass_ms(1_000)
            process = await start(store, V1, V2)
            assert process.find(1) == V1
            process.begin(1)

    play(scenario)


def test_a_new_coordinator_takes_over_what_its_predecessor_wrote():
    """Guards against rows that nobody removes, and streams that are recorded anew by
    each coordinator."""

    async def scenario(store):
        first = await start(store, V1, V2)
        second = await start(store, V1, V2, is_coordinator=False)
        first.begin(1, 2)
        await pass_ms(100)
        await first.kill()
        second.coordinate()
        await pass_ms(100)
        assert second.find(1) == V1
        written = store.count(STREAMS_TABLE, "write")
        second.begin(1, 2)
        await pass_ms(100)
        assert store.count(STREAMS_TABLE, "write") == written
        await pass_ms(RETENTION_MS + REMOVAL_MARGIN_MS + 2 * REMOVAL_INTERVAL_MS)
        assert not store.tables[STREAMS_TABLE]

    play(scenario)


def test_a_former_coordinator_removes_nothing_of_its_successor():
    """Guards against rows that are removed by a process that knows them no more."""

    async def scenario(store):
        first = await start(store, V1, V2)
        first.begin(1)
        await pass_ms(100)
        first.state.is_coordinator = False
        first.set_versions(V1, V2)
        second = await start(store, V1, V2)
        await pass_ms(1_000)
        assert first.state.stream_journal.awaits_records
        assert len(first.state.stream_journal) == 0
        assert len(second.state.stream_journal) == 1

    play(scenario)


def test_rows_that_cannot_be_read_are_left_out():
    """Guards against one bad row that lets all streams be refused."""

    async def scenario(store):
        first = await start(store, V1, V2)
        first.begin(1)
        await pass_ms(100)
        await first.kill()
        store.tables[STREAMS_TABLE].update({"0": b"\xc1", "zzz": b""})
        store.tables[VERSIONS_TABLE]["torn"] = b"{"
        second = await start(store, V1, V2)
        assert second.find(1) == V1
        second.begin(2)
        await pass_ms(100)
        assert store.list_keys() == {1, 2}

    play(scenario)


def test_more_streams_than_a_row_holds_are_recorded_at_once():
    async def scenario(store):
        count = 2 * MAX_ROW_STREAMS + 1_000
        process = await start(store, V1, V2)
        process.begin(*range(1, count + 1))
        await pass_ms(WRITE_INTERVAL_MS + 4 * CALL_MS)
        assert len(store.list_keys()) == count
        await process.kill()
        second = await start(store, V1, V2)
        assert all(second.find(key) == V1 for key in range(1, count + 1))

    play(scenario)


def test_a_version_that_left_before_all_were_killed_is_known_afterwards():
    """Guards against a stream that goes on at the only version left."""

    async def scenario(store):
        first = await start(store, V1, V2)
        first.set_versions(V2)
        await pass_ms(WRITE_INTERVAL_MS + 4 * CALL_MS)
        await first.kill()
        second = await start(store, V2)
        assert second.is_mixed()
        await pass_ms(MAX_RETENTION_MS)
        assert not second.is_mixed()

    play(scenario)


def test_a_process_counts_services_as_mixed_until_it_has_read_the_store():
    """Guards against a stream that goes on at the only version that serves, while the
    store could tell that there was another one."""

    async def scenario(store):
        store.fault = "away"
        process = await start(store, V1)
        await pass_ms(5_000)
        assert process.is_mixed()
        store.fault = None
        await pass_ms(MAX_BACKOFF_MS + 10 * CALL_MS)
        assert not process.is_mixed()

    play(scenario)


def test_an_instance_without_a_coordinator_writes_and_looks_up():
    """Guards against streams that are refused at the next instance as no coordinator
    has passed them on."""

    async def scenario(store):
        first = await start(store, V1, V2, is_coordinator=False)
        second = await start(store, V1, V2, is_coordinator=False)
        first.begin(1)
        await pass_ms(LONE_INTERVAL_MS + 2 * CALL_MS)
        assert await second.state.look_up_streams()
        assert second.find(1) == V1

    play(scenario)


def test_lone_instances_of_a_large_fleet_write_less_often():
    """Guards against a fleet that spends its calls as all lose their coordinator."""

    async def scenario(store):
        process = await start(store, V1, V2, is_coordinator=False)
        process.state.instances = 360
        before = store.count(STREAMS_TABLE, "write")
        for key in range(1, 201):
            process.begin(key)
            await pass_ms(100)
        assert store.count(STREAMS_TABLE, "write") - before <= 20_000 / 3_600 + 1

    play(scenario)


def test_many_look_ups_share_a_read():
    """Guards against a read of all rows for each caller that comes back."""

    async def scenario(store):
        process = await start(store, V1, V2, is_coordinator=False)
        before = store.count(STREAMS_TABLE, "read")
        since = get_now()
        for number in range(5):
            found = await asyncio.gather(
                *(process.state.look_up_streams() for _ in range(50))
            )
            assert all(found)
            assert store.count(STREAMS_TABLE, "read") == before + number + 1
            assert get_now() - since >= number * MIN_READ_INTERVAL_MS

    play(scenario)


def test_a_look_up_tells_whether_the_store_was_read():
    """Guards against a caller who is told for good that its stream is unknown, while
    the store is away for a second."""

    async def scenario(store):
        process = await start(store, V1, V2, is_coordinator=False)
        store.fault = "away"
        assert not await process.state.look_up_streams()
        store.fault = None
        await pass_ms(MIN_READ_INTERVAL_MS)
        assert await process.state.look_up_streams()

    play(scenario)


def test_a_caller_that_leaves_does_not_end_the_look_up_of_others():
    """Guards against callers who get an error as another one has gone away."""

    async def scenario(store):
        process = await start(store, V1, V2, is_coordinator=False)
        leaving = asyncio.create_task(process.state.look_up_streams())
        staying = asyncio.create_task(process.state.look_up_streams())
        await pass_ms(1)
        leaving.cancel()
        assert await staying

    play(scenario)


@pytest.mark.parametrize("instances", [0, 6, 360])
def test_a_new_coordinator_reads_the_records_at_once(instances):
    """Guards against callers who are told for seconds that the store can't be read, as
    the new coordinator still waits for the interval of an instance without one."""

    async def scenario(store):
        first = await start(store, V1, V2)
        first.begin(1)
        await pass_ms(100)
        await first.kill()
        second = await start(store, V1, V2, is_coordinator=False)
        second.state.instances = instances
        await pass_ms(10_000)
        second.set_versions(V1, V2)
        await pass_ms(1)
        second.coordinate()
        await pass_ms(5 * CALL_MS)
        assert second.find(1) == V1
        assert not second.state.stream_journal.awaits_records

    play(scenario)


def test_a_coordinator_that_takes_over_again_stores_versions_that_came_back():
    """Guards against a version that is current and left at once: the row of another
    coordinator says that it left, and this one believes that its own row still
    stands. Ten minutes later no process that starts would know the version."""

    async def scenario(store):
        first = await start(store, V1, V2)
        first.state.is_coordinator = False
        second = await start(store, V1, V2)
        for process in (first, second):
            process.set_versions(V2)
        await pass_ms(1_000)
        await second.kill()
        first.set_versions(V1, V2)
        first.coordinate()
        await pass_ms(MAX_RETENTION_MS)
        await first.kill()
        third = await start(store, V2)
        assert third.is_mixed()

    play(scenario)


def test_a_new_coordinator_keeps_what_only_the_store_knows():
    """Guards against a coordinator that replaces the versions of its predecessor by
    those that it has seen itself."""

    async def scenario(store):
        first = await start(store, V2, is_coordinator=False)
        second = await start(store, V1, V2)
        await second.kill()
        first.coordinate()
        await pass_ms(1_000)
        await first.kill()
        third = await start(store, V2)
        assert third.is_mixed()

    play(scenario)


def test_versions_of_many_services_are_stored():
    """Guards against a call with more entries than the store takes."""

    async def scenario(store):
        process = await start(store, V1, V2)
        entries = [build_entry("s1", software_version=V1)]
        services = {f"service-{number}": entries for number in range(250)}
        process.state.software_versions.update(services, now=get_now())
        process.state.notify_change()
        await pass_ms(1_000)
        assert store.tables[VERSIONS_TABLE].keys() == {"llm", *services}

    play(scenario)
