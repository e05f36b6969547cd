"""Records of streams when processes, coordinators and the store fail together."""

import pytest

from arbutuspulley.node.stream_store import (
    MIN_READ_INTERVAL_MS,
    STREAMS_TABLE,
    VERSIONS_TABLE,
    WRITE_INTERVAL_MS,
)
from tests.test_stream_store import CALL_MS, V1, V2, pass_ms, play, start

WRITTEN_MS = WRITE_INTERVAL_MS + 4 * CALL_MS


def delay_next_answer(process, table, delay_ms):
    """Let the store's next answer to a read of a table reach a process late."""
    read = process.client.read

    async def read_late(name):
        answer = await read(name)
        if name == table:
            process.client.read = read
            await pass_ms(delay_ms)
        return answer

    process.client.read = read_late


def delay_next_write(process, table, delay_ms):
    """Let the next write of a process to a table reach the store late."""
    write = process.client.write

    async def write_late(name, **rows):
        if name == table:
            process.client.write = write
            await pass_ms(delay_ms)
        return await write(name, **rows)

    process.client.write = write_late


def test_a_coordinator_again_reads_what_was_written_in_between():
    """Guards against a coordinator that lost the lease while it read the records, and
    that relies on that read as it has the lease again."""

    async def scenario(store):
        first = await start(store, V1, V2, is_coordinator=False)
        delay_next_answer(first, STREAMS_TABLE, 1_000)
        first.coordinate()
        await pass_ms(100)
        first.state.is_coordinator = False
        second = await start(store, V1, V2)
        second.begin(1)
        await pass_ms(WRITTEN_MS)
        await second.kill()
        first.coordinate()
        await pass_ms(2_000)
        assert first.find(1) == V1

    play(scenario)


def test_a_version_that_only_records_of_streams_name_counts():
    """Guards against a stream that goes on at another version although its record is in
    the store: its version came and left while there was no coordinator."""

    async def scenario(store):
        first = await start(store, V1)
        await first.kill()
        second = await start(store, V1, is_coordinator=False)
        second.set_versions(V1, V2)
        second.begin(1, version=V2)
        await pass_ms(1_000)
        assert store.list_keys() == {1}
        second.set_versions(V1)
        await second.kill()
        third = await start(store, V1)
        assert third.find(1) == V2
        assert third.is_mixed()

    play(scenario)


def test_a_late_write_of_another_coordinator_forgets_no_version():
    """Guards against a stream that goes on at another version, as the write of a former
    coordinator came late and replaced the versions that its successor had written."""

    async def scenario(store):
        first = await start(store, V1, is_coordinator=False)
        delay_next_write(first, VERSIONS_TABLE, 1_000)
        first.coordinate()
        await pass_ms(100)
        second = await start(store, V1, V2)
        second.begin(1, version=V2)
        await pass_ms(WRITTEN_MS)
        second.set_versions(V1)
        await pass_ms(1_000)
        assert b"v2" not in store.tables[VERSIONS_TABLE]["llm"]
        await first.kill()
        await second.kill()
        third = await start(store, V1)
        assert third.find(1) == V2
        assert third.is_mixed()

    play(scenario)


@pytest.mark.parametrize("ahead_ms", [0, 3_600_000])
def test_a_clock_that_is_ahead_in_a_new_era_expires_nothing(ahead_ms):
    """Guards against records that are removed early, or versions that are forgotten, as
    the store comes back with a clock that is ahead of the one before."""

    async def scenario(store):
        first = await start(store, V1, V2)
        first.begin(1, version=V2)
        await pass_ms(WRITTEN_MS)
        first.set_versions(V1)
        await pass_ms(WRITTEN_MS)
        store.restore(store.copy())
        store.clock_offset_ms += ahead_ms
        first.begin(2)
        await pass_ms(1_000)
        await first.kill()
        second = await start(store, V1)
        assert (second.find(1), second.find(2)) == (V2, V1)
        assert second.is_mixed()

    play(scenario)


@pytest.mark.parametrize("since_ms", [0, MIN_READ_INTERVAL_MS // 2])
def test_a_look_up_finds_what_was_written_before_it(since_ms):
    """Guards against a stream that is refused for good by a read from before its record
    was written."""

    async def scenario(store):
        alone = await start(store, V1, V2, is_coordinator=False)
        await alone.streams.look_up()
        coordinator = await start(store, V1, V2)
        coordinator.begin(1)
        await pass_ms(WRITTEN_MS + since_ms)
        assert store.list_keys() == {1}
        assert await alone.streams.look_up()
        assert alone.find(1) == V1

    play(scenario)
