"""Contract of the platform adapter: which outcome each answer or failure of the store
and of servers implies. The cases are those of the product's own ports
(test_platform.py, test_engines.py)."""

import asyncio
import functools

import msgspec
import pytest
from aiohttp import web

from arbutuspulley.platform import engines, store
from arbutuspulley.platform.engines import fetch_report, send_order
from arbutuspulley.platform.store import FEED_WAIT_MS, HistoryLostError, StoreClient
from arbutuspulley.platform.transport import open_order_session, open_session
from arbutuspulley.ports.fleet import OrderAnswer, OrderKind, ServerOrder
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.standins.fleet_server import ServerStandin
from arbutuspulley.standins.fleet_store import StoreStandin
from scripts.platform_testbed import listen
from tests.node_states import build_position
from tests.ports import find_free_address

TABLE = "t"


def run_with_store(scenario, *, address=None):
    """Run a scenario with a store and its client."""

    async def run():
        standin = StoreStandin()
        listener, found = await listen(standin.handle)
        async with listener, open_session() as session:
            client = StoreClient(session=session, address=address or found)
            return await scenario(standin, client)

    return asyncio.run(run())


async def write(client, key, value, expected):
    return await client.write(TABLE, put={key: value}, expected={key: expected})


@pytest.mark.parametrize(
    ("key", "expected", "is_applied", "remaining"),
    [
        ("a", 1, True, b"2"),
        ("a", 0, False, b"1"),
        ("a", 2, False, b"1"),
        ("b", 0, True, b"2"),
        ("b", 1, False, None),
    ],
    ids=["current", "must be absent", "newer", "absent", "was there"],
)
def test_a_row_is_written_only_over_the_expected_version(
    key, expected, is_applied, remaining
):
    async def scenario(standin, client):
        await write(client, "a", b"1", 0)
        answer = await write(client, key, b"2", expected)
        rows = (await client.read(TABLE, key=key)).rows
        return answer.is_applied, rows[0].value if rows else None

    assert run_with_store(scenario) == (is_applied, remaining)


def test_a_late_duplicate_changes_nothing():
    """A write is applied, and a copy of it that was delayed in the network arrives
    after a newer write. It must not restore the old value."""

    async def scenario(standin, client):
        await write(client, "a", b"1", 0)
        await write(client, "a", b"old", 1)
        await write(client, "a", b"new", 2)
        again = await write(client, "a", b"old", 1)
        (row,) = (await client.read(TABLE, key="a")).rows
        return again.is_applied, row.value, row.position.version

    assert run_with_store(scenario) == (False, b"new", 3)


def make_unavailable(standin):
    standin.is_down = True


def lose_answers(standin):
    standin.loses_answers = True


def delay_answers(standin):
    standin.delay_s = 1


@pytest.mark.parametrize(
    ("fault", "error", "is_written"),
    [
        (make_unavailable, PlatformUnavailableError, False),
        (lose_answers, OutcomeUnknownError, True),
        (delay_answers, OutcomeUnknownError, False),
    ],
)
def test_a_failed_write_reports_whether_it_may_have_been_applied(
    monkeypatch, fault, error, is_written
):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)

    async def scenario(standin, client):
        fault(standin)
        with pytest.raises(error) as raised:
            await write(client, "a", b"1", 0)
        assert raised.type is error
        assert client.is_failing
        return standin.get(TABLE, "a") is not None

    assert run_with_store(scenario) is is_written


@pytest.mark.parametrize("fault", [make_unavailable, delay_answers])
def test_a_failed_read_is_reported_as_unavailable(monkeypatch, fault):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)

    async def scenario(standin, client):
        fault(standin)
        with pytest.raises(PlatformUnavailableError):
            await client.read(TABLE)

    run_with_store(scenario)


def test_a_refused_connection_proves_that_nothing_was_written():
    async def scenario(standin, client):
        with pytest.raises(PlatformUnavailableError):
            await write(client, "a", b"1", 0)

    run_with_store(scenario, address=find_free_address())


def test_changes_after_a_version_include_removals():
    async def scenario(standin, client):
        standin.put(TABLE, "a", 1)
        standin.put(TABLE, "b", 1)
        first = await client.read(TABLE)
        standin.remove(TABLE, "a")
        standin.put("other", "x", 1)
        standin.put(TABLE, "c", 2)
        changes = await client.wait_for_changes(
            TABLE, after=first.position, wait_ms=100
        )
        return [(row.key, row.value) for row in changes.rows]

    assert run_with_store(scenario) == [("a", None), ("c", b"2")]


def test_lost_history_has_an_error_of_its_own():
    async def scenario(standin, client):
        standin.put(TABLE, "a", 1)
        standin.put(TABLE, "a", 2)
        standin.discard_history()
        with pytest.raises(HistoryLostError):
            await client.wait_for_changes(
                TABLE, after=build_position(1, era=1), wait_ms=100
            )

    run_with_store(scenario)


def test_changes_made_while_pages_are_read_are_not_missed(monkeypatch):
    """A table has more rows than a page. A server of the first page is removed while
    the second page is read. When changes were read from the last page's version on, the
    removal was missed, and the server got requests forever."""
    monkeypatch.setattr(store, "PAGE_ROWS", 2)

    async def scenario(standin, client):
        for key in "abcd":
            standin.put(TABLE, key, 1)
        standin.on_read = lambda: standin.get(TABLE, "a") and standin.remove(TABLE, "a")
        whole = await client.read(TABLE)
        assert [row.key for row in whole.rows] == ["a", "b", "c", "d"]
        changes = await client.wait_for_changes(
            TABLE, after=whole.position, wait_ms=100
        )
        return [(row.key, row.value) for row in changes.rows]

    assert run_with_store(scenario) == [("a", None)]


async def restore(standin, copy):
    """Let the store come back from a copy, and its connections be seen as reset."""
    standin.restore(copy)
    await asyncio.sleep(0.05)


def test_positions_of_rows_have_the_era_in_which_they_were_read():
    async def scenario(standin, client):
        standin.put(TABLE, "a", 1)
        copy = standin.copy()
        standin.put(TABLE, "a", 2)
        before = await client.read(TABLE)
        await restore(standin, copy)
        after = await client.read(TABLE)
        assert after.rows[0].position > before.rows[0].position
        return [one.rows[0].position for one in (before, after)]

    positions = [build_position(2, era=1), build_position(1, era=2)]
    assert run_with_store(scenario) == positions


@pytest.mark.parametrize("writes", [0, 1, 5], ids=["beyond", "at", "below the counter"])
def test_changes_after_a_position_of_another_era_are_lost(writes):
    """Guards against a poll after a version that the new era has given out again: the
    store answers it without the rows below that version."""

    async def scenario(standin, client):
        copy = standin.copy()
        standin.put(TABLE, "a", 1)
        position = (await client.read(TABLE)).position
        await restore(standin, copy)
        for number in range(writes):
            standin.put(TABLE, "a", number)
        with pytest.raises(HistoryLostError):
            await client.wait_for_changes(TABLE, after=position, wait_ms=100)

    run_with_store(scenario)


@pytest.mark.parametrize("is_reset", [True, False])
def test_pages_of_two_eras_are_not_mixed(monkeypatch, is_reset):
    """Guards against rows of a read that are partly of the lost history, also if the
    connection outlives the store's return."""
    monkeypatch.setattr(store, "PAGE_ROWS", 2)
    if not is_reset:
        monkeypatch.setattr(StoreStandin, "reset_connections", lambda _self: None)

    async def scenario(standin, client):
        for key in "abc":
            standin.put(TABLE, key, 1)
        copy = standin.copy()
        standin.on_read = lambda: standin.restore(copy) if standin.era == 1 else None
        with pytest.raises(PlatformUnavailableError):
            await client.read(TABLE)
        assert len((await client.read(TABLE)).rows) == 3

    run_with_store(scenario)


def test_an_answer_that_was_overtaken_by_a_later_era_is_not_used():
    """Guards against an answer under way as the store comes back from a copy: a write
    that it confirms may be lost, and rows that it lists, too."""

    async def scenario(standin, client):
        outcomes = []
        await client.read(TABLE)
        for call in (client.read(TABLE), write(client, "a", b"1", 0)):
            standin.delay_s = 0.1
            pending = asyncio.create_task(call)
            await asyncio.sleep(0.05)
            client.era.update(str(client.era.current + 1), called_in=1)
            standin.delay_s = 0.0
            outcomes.append(await asyncio.gather(pending, return_exceptions=True))
            standin.era = client.era.current
        return [type(one) for [one] in outcomes]

    types = [PlatformUnavailableError, OutcomeUnknownError]
    assert run_with_store(scenario) == types


@pytest.mark.parametrize("stated", [None, "x", 1])
def test_answers_without_a_usable_era_are_read_all_the_same(stated):
    async def scenario(standin, client):
        standin.era = 2
        standin.put(TABLE, "a", 1)
        await client.read(TABLE)
        standin.era = stated
        answer = await client.read(TABLE)
        return len(answer.rows), answer.position

    assert run_with_store(scenario) == (1, build_position(1, era=2))


def test_a_refusal_states_the_era_too():
    async def scenario(standin, client):
        standin.era = 3
        standin.is_down = True
        with pytest.raises(PlatformUnavailableError):
            await client.read(TABLE)
        return client.era.current

    assert run_with_store(scenario) == 3


def run_with_server(scenario):
    """Run a scenario with a model server that has m0 loaded and memory for one more."""

    async def run():
        server = ServerStandin(incarnation="s1", service="llm", models=("m0",))
        listener, server.address = await listen(server.handle)
        async with listener, open_session() as session:
            return await scenario(server, session)

    return asyncio.run(run())


def build_order(*, kind=OrderKind.LOAD, model="m1", adapter="", expected=0, fence=5):
    return ServerOrder(
        kind=kind,
        model=model,
        adapter=adapter,
        expected_orders=expected,
        holder="n1",
        fence=fence,
    )


async def order(server, session, *, incarnation="s1", **changes):
    return await send_order(
        session,
        build_order(**changes),
        address=server.address,
        incarnation=incarnation,
    )


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, OrderAnswer.ACCEPTED),
        ({"expected": 1}, OrderAnswer.CONFLICT),
        ({"incarnation": "s0"}, OrderAnswer.WRONG_SERVER),
        ({"fence": 4}, OrderAnswer.FENCED),
        (
            {"kind": OrderKind.UNLOAD, "model": "m0", "adapter": "a1"},
            OrderAnswer.HELD_ALREADY,
        ),
    ],
)
def test_statuses_of_order_answers_are_mapped(changes, expected):
    async def scenario(server, session):
        server.fence = 5
        return await order(server, session, **changes), server.orders

    answer, orders = run_with_server(scenario)
    assert answer is expected
    is_accepted = expected in (OrderAnswer.ACCEPTED, OrderAnswer.HELD_ALREADY)
    assert orders == int(is_accepted)


def test_an_order_that_arrives_after_its_successor_has_no_effect():
    """An order is delayed in the network, its sender replaces it by another one, and
    then the first one arrives. If it were carried out, it would load a model for which
    there is no memory."""

    async def scenario(server, session):
        assert await order(server, session, model="m2") is OrderAnswer.ACCEPTED
        await asyncio.sleep(0.15)
        late = await order(server, session, model="m1")
        return late, set(server.models), server.overcommitted

    assert run_with_server(scenario) == (OrderAnswer.CONFLICT, {"m0", "m2"}, 0)


@pytest.mark.parametrize(
    ("fault", "is_accepted"), [("loses_orders", False), ("loses_order_answers", True)]
)
def test_an_order_with_a_lost_answer_has_an_unknown_outcome(fault, is_accepted):
    async def scenario(server, session):
        setattr(server, fault, True)
        first = await order(server, session)
        setattr(server, fault, False)
        return first, await order(server, session)

    first, again = run_with_server(scenario)
    assert first is OrderAnswer.UNKNOWN
    expected = OrderAnswer.CONFLICT if is_accepted else OrderAnswer.ACCEPTED
    assert again is expected


def test_an_unanswered_long_poll_times_out_soon():
    """The store is unresponsive for some seconds and never answers a long poll for
    changes; after it recovers, it answers new calls only. A server starts draining, and
    an instance that still waits for the poll keeps sending it requests for seconds.
    Instances must apply the store's changes within 3 s of its recovery."""

    async def swallow(_request):
        await asyncio.sleep(60)

    async def scenario():
        listener, address = await listen(swallow)
        async with listener, open_session() as session:
            client = StoreClient(session=session, address=address)
            async with asyncio.timeout(3):
                with pytest.raises(PlatformUnavailableError):
                    await client.wait_for_changes(
                        "servers", after=build_position(1), wait_ms=FEED_WAIT_MS
                    )

    asyncio.run(scenario())


async def answer_slowly(request, *, pieces, pause_s):
    """Answer with a row, whose body is sent in pieces."""
    body = msgspec.json.encode({"Rows": [{"Key": "a", "Ver": 3}], "Ver": 3})
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    size = -(-len(body) // pieces)
    for start in range(0, len(body), size):
        await asyncio.sleep(pause_s)
        await response.write(body[start : start + size])
    return response


@pytest.mark.parametrize(
    ("pieces", "pause_s", "is_accepted"),
    [(10, 0.05, True), (2, 0.6, False)],
    ids=["long on its way", "stalled"],
)
@pytest.mark.parametrize("call", ["read", "changes"])
def test_a_slow_answer_is_accepted_while_data_arrives(
    monkeypatch, call, pieces, pause_s, is_accepted
):
    """Guards against a large configuration whose transfer over a busy link always
    exceeds the timeout, and is discarded and started again each time."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(store, "FEED_TIMEOUT_MARGIN_S", 0.2)
    handler = functools.partial(answer_slowly, pieces=pieces, pause_s=pause_s)

    async def scenario():
        listener, address = await listen(handler)
        async with listener, open_session() as session:
            client = StoreClient(session=session, address=address)
            if call == "read":
                return (await client.read("op")).position.version
            return (
                await client.wait_for_changes(
                    "op", after=build_position(1), wait_ms=100
                )
            ).position.version

    if is_accepted:
        assert asyncio.run(scenario()) == 3
    else:
        with pytest.raises(PlatformUnavailableError):
            asyncio.run(scenario())


def test_an_order_without_an_answer_has_an_unknown_outcome(monkeypatch):
    monkeypatch.setattr(engines, "ORDER_TIMEOUT_MS", 100)

    async def scenario():
        async def delay_answers(_request):
            await asyncio.sleep(2)

        listener, address = await listen(delay_answers)
        async with listener, open_session() as session:
            return await send_order(
                session, build_order(), address=address, incarnation="s1"
            )

    assert asyncio.run(scenario()) is OrderAnswer.UNKNOWN


def test_an_order_that_timed_out_is_not_sent_later(monkeypatch):
    """A holder's order is delayed by a network partition until its lease has expired.
    With an ordinary close, the operating system would deliver it when the partition
    heals, after orders of the next holder. A reset discards it."""
    monkeypatch.setattr(engines, "ORDER_TIMEOUT_MS", 50)
    ends = []

    async def read_until_closed(reader, writer):
        try:
            while await reader.read(4_096):
                pass
            ends.append("closed")
        except ConnectionResetError:
            ends.append("reset")
        writer.close()

    async def scenario():
        server = await asyncio.start_server(read_until_closed, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, open_order_session() as session:
            answer = await send_order(
                session, build_order(), address=f"127.0.0.1:{port}", incarnation="s1"
            )
            async with asyncio.timeout(5):
                while not ends:
                    await asyncio.sleep(0.01)
        return answer

    assert asyncio.run(scenario()) is OrderAnswer.UNKNOWN
    assert ends == ["reset"]


def test_no_order_is_sent_after_the_lease_has_expired():
    async def scenario(server, session):
        answer = await send_order(
            session,
            build_order(),
            address=server.address,
            incarnation="s1",
            within_ms=0,
        )
        report = await fetch_report(session, address=server.address, incarnation="s1")
        return answer, report.accepted_orders

    assert run_with_server(scenario) == (OrderAnswer.REFUSED, 0)


def test_a_refused_connection_proves_that_no_order_was_accepted():
    async def scenario():
        async with open_session() as session:
            address = find_free_address()
            answer = await send_order(
                session, build_order(), address=address, incarnation="s1"
            )
            report = await fetch_report(session, address=address, incarnation="s1")
            return answer, report

    assert asyncio.run(scenario()) == (OrderAnswer.REFUSED, None)


def test_a_report_of_another_incarnation_is_ignored():
    async def scenario(server, session):
        await order(server, session)
        own = await fetch_report(session, address=server.address, incarnation="s1")
        other = await fetch_report(session, address=server.address, incarnation="s0")
        return own, other

    own, other = run_with_server(scenario)
    assert (own.accepted_orders, own.is_busy) == (1, True)
    assert [one.model for one in own.loaded_models] == ["m0"]
    assert other is None
