"""Records of streams when processes, coordinators and the store fail together."""

from arbutuspulley.node.stream_store import (
    STREAMS_TABLE,
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
