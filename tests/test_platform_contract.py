"""Contract of the platform's adapter: what each answer of the store and the servers
proves, and what each failure leaves open. The cases are those of the product's own
ports (test_platform.py, test_engines.py)."""

import asyncio
import functools

import msgspec
import pytest
from aiohttp import web

from arbutuspulley.platform import engines, store
from arbutuspulley.platform.engines import fetch_report, send_order
from arbutuspulley.platform.store import HistoryLostError, StoreClient
from arbutuspulley.platform.transport import open_order_session, open_session
from arbutuspulley.ports.fleet import OrderAnswer, OrderKind, ServerOrder
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.standins.fleet_server import ServerStandin
from arbutuspulley.standins.fleet_store import StoreStandin
from scripts.platform_testbed import listen
from tests.ports import find_free_address

TABLE = "t"


def use_store(scenario, *, address=None):
    """Run a scenario with a store and a client of it."""

    async def run():
        standin = StoreStandin()
        listener, found = await listen(standin.handle)
        async with listener, open_session() as session:
            client = StoreClient(session=session, address=address or found)
            return await scenario(standin, client)

    return asyncio.run(run())


async def write(client, key, value, expected):
    return await client.write(TABLE, key=key, value=value, expected=expected)


@pytest.mark.parametrize(
    ("key", "expected", "is_applied", "left"),
    [
        ("a", 1, True, b"2"),
        ("a", 0, False, b"1"),
        ("a", 2, False, b"1"),
        ("b", 0, True, b"2"),
        ("b", 1, False, None),
    ],
    ids=["current", "must be absent", "newer", "absent", "was there"],
)
def test_a_row_is_written_only_over_the_version_expected(
    key, expected, is_applied, left
):
    async def scenario(standin, client):
        await write(client, "a", b"1", 0)
        answer = await write(client, key, b"2", expected)
        rows = (await client.read(TABLE, key=key)).rows
        return answer.is_applied, rows[0].value if rows else None

    assert use_store(scenario) == (is_applied, left)


def test_a_late_duplicate_changes_nothing():
    """A write is taken, and a copy of it that hung in the network arrives after a newer
    one. The old value must not come back."""

    async def scenario(standin, client):
        await write(client, "a", b"1", 0)
        await write(client, "a", b"old", 1)
        await write(client, "a", b"new", 2)
        again = await write(client, "a", b"old", 1)
        (row,) = (await client.read(TABLE, key="a")).rows
        return again.is_applied, row.value, row.version

    assert use_store(scenario) == (False, b"new", 3)


def be_down(standin):
    standin.is_down = True


def lose_answers(standin):
    standin.loses_answers = True


def be_silent(standin):
    standin.delay_s = 1


@pytest.mark.parametrize(
    ("fault", "error", "is_written"),
    [
        (be_down, PlatformUnavailableError, False),
        (lose_answers, OutcomeUnknownError, True),
        (be_silent, OutcomeUnknownError, False),
    ],
)
def test_a_failed_write_says_whether_it_may_have_been_done(
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

    assert use_store(scenario) is is_written


@pytest.mark.parametrize("fault", [be_down, be_silent])
def test_a_failed_reading_changes_nothing(monkeypatch, fault):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)

    async def scenario(standin, client):
        fault(standin)
        with pytest.raises(PlatformUnavailableError):
            await client.read(TABLE)

    use_store(scenario)


def test_nobody_listening_proves_that_nothing_was_written():
    async def scenario(standin, client):
        with pytest.raises(PlatformUnavailableError):
            await write(client, "a", b"1", 0)

    use_store(scenario, address=find_free_address())


def test_changes_go_on_from_a_version_with_removals():
    async def scenario(standin, client):
        standin.put(TABLE, "a", 1)
        standin.put(TABLE, "b", 1)
        first = await client.read(TABLE)
        standin.remove(TABLE, "a")
        standin.put("other", "x", 1)
        standin.put(TABLE, "c", 2)
        changes = await client.wait_for_changes(TABLE, after=first.version)
        return [(row.key, row.value) for row in changes.rows]

    assert use_store(scenario) == [("a", None), ("c", b"2")]


def test_lost_history_is_told_apart():
    async def scenario(standin, client):
        standin.put(TABLE, "a", 1)
        standin.put(TABLE, "a", 2)
        standin.forget_history()
        with pytest.raises(HistoryLostError):
            await client.wait_for_changes(TABLE, after=1)

    use_store(scenario)


def test_what_changes_while_pages_are_read_is_not_missed(monkeypatch):
    """A table has more rows than a page. A server of the first page leaves while the
    second one is read. Followed from the version of the last page, it never left, and
    got requests for ever."""
    monkeypatch.setattr(store, "PAGE_ROWS", 2)

    async def scenario(standin, client):
        for key in "abcd":
            standin.put(TABLE, key, 1)
        standin.on_read = lambda: standin.get(TABLE, "a") and standin.remove(TABLE, "a")
        whole = await client.read(TABLE)
        assert [row.key for row in whole.rows] == ["a", "b", "c", "d"]
        changes = await client.wait_for_changes(TABLE, after=whole.version)
        return [(row.key, row.value) for row in changes.rows]

    assert use_store(scenario) == [("a", None)]


def use_server(scenario):
    """Run a scenario with a model server that holds m0 and has room for one more."""

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
def test_how_a_server_takes_an_order(changes, expected):
    async def scenario(server, session):
        server.fence = 5
        return await order(server, session, **changes), server.orders

    answer, orders = use_server(scenario)
    assert answer is expected
    is_taken = expected in (OrderAnswer.ACCEPTED, OrderAnswer.HELD_ALREADY)
    assert orders == int(is_taken)


def test_a_late_order_after_its_successor_has_no_effect():
    """An order hangs in the network, its sender gives another one in its place, and
    then the first arrives. Carried out, it would load what there is no room for."""

    async def scenario(server, session):
        assert await order(server, session, model="m2") is OrderAnswer.ACCEPTED
        await asyncio.sleep(0.15)
        late = await order(server, session, model="m1")
        return late, set(server.models), server.overcommitted

    assert use_server(scenario) == (OrderAnswer.CONFLICT, {"m0", "m2"}, 0)


@pytest.mark.parametrize(
    ("fault", "is_taken"), [("loses_orders", False), ("loses_order_answers", True)]
)
def test_a_lost_order_answer_proves_nothing(fault, is_taken):
    async def scenario(server, session):
        setattr(server, fault, True)
        first = await order(server, session)
        setattr(server, fault, False)
        return first, await order(server, session)

    first, again = use_server(scenario)
    assert first is OrderAnswer.UNKNOWN
    expected = OrderAnswer.CONFLICT if is_taken else OrderAnswer.ACCEPTED
    assert again is expected


def test_a_call_for_changes_that_was_swallowed_is_given_up_soon():
    """The store falls silent for some seconds and swallows a call that waits for
    changes; after its return it answers new calls only. A server says that it leaves,
    and an instance that still waits for that answer goes on sending it requests for
    seconds. Instances are held to what the store told 3 s after its return."""

    async def swallow(_request):
        await asyncio.sleep(60)

    async def scenario():
        listener, address = await listen(swallow)
        async with listener, open_session() as session:
            client = StoreClient(session=session, address=address)
            async with asyncio.timeout(3):
                with pytest.raises(PlatformUnavailableError):
                    await client.wait_for_changes("servers", after=1)

    asyncio.run(scenario())


async def answer_slowly(request, *, pieces, pause_s):
    """Answer with a row, a piece of the body at a time."""
    body = msgspec.json.encode({"Rows": [{"Key": "a", "Ver": 3}], "Ver": 3})
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    size = -(-len(body) // pieces)
    for start in range(0, len(body), size):
        await asyncio.sleep(pause_s)
        await response.write(body[start : start + size])
    return response


@pytest.mark.parametrize(
    ("pieces", "pause_s", "is_taken"),
    [(10, 0.05, True), (2, 0.6, False)],
    ids=["long on its way", "stalled"],
)
@pytest.mark.parametrize("call", ["read", "changes"])
def test_an_answer_that_keeps_coming_is_taken(
    monkeypatch, call, pieces, pause_s, is_taken
):
    """Guards against a large configuration that never fits into a call's time over a
    busy link, is thrown away each time and asked for again."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(store, "FEED_WAIT_MS", 100)
    monkeypatch.setattr(store, "FEED_TIMEOUT_MARGIN_S", 0.2)
    handler = functools.partial(answer_slowly, pieces=pieces, pause_s=pause_s)

    async def scenario():
        listener, address = await listen(handler)
        async with listener, open_session() as session:
            client = StoreClient(session=session, address=address)
            if call == "read":
                return (await client.read("op")).version
            return (await client.wait_for_changes("op", after=1)).version

    if is_taken:
        assert asyncio.run(scenario()) == 3
    else:
        with pytest.raises(PlatformUnavailableError):
            asyncio.run(scenario())


def test_a_silent_server_leaves_an_order_open(monkeypatch):
    monkeypatch.setattr(engines, "ORDER_TIMEOUT_MS", 100)

    async def scenario():
        async def be_silent(_request):
            await asyncio.sleep(2)

        listener, address = await listen(be_silent)
        async with listener, open_session() as session:
            return await send_order(
                session, build_order(), address=address, incarnation="s1"
            )

    assert asyncio.run(scenario()) is OrderAnswer.UNKNOWN


def test_an_order_that_is_given_up_is_not_sent_later(monkeypatch):
    """A holder's order waits behind a cut until its lease has ended. Closed in the
    ordinary way, its connection would deliver the order as the cut heals, after orders
    of the next holder. A reset tells the system to drop it."""
    monkeypatch.setattr(engines, "ORDER_TIMEOUT_MS", 50)
    ends = []

    async def take(reader, writer):
        try:
            while await reader.read(4_096):
                pass
            ends.append("closed")
        except ConnectionResetError:
            ends.append("reset")
        writer.close()

    async def scenario():
        server = await asyncio.start_server(take, "127.0.0.1", 0)
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


def test_no_order_is_sent_once_the_lease_has_ended():
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

    assert use_server(scenario) == (OrderAnswer.REFUSED, 0)


def test_nobody_listening_proves_that_no_order_was_taken():
    async def scenario():
        async with open_session() as session:
            address = find_free_address()
            answer = await send_order(
                session, build_order(), address=address, incarnation="s1"
            )
            report = await fetch_report(session, address=address, incarnation="s1")
            return answer, report

    assert asyncio.run(scenario()) == (OrderAnswer.REFUSED, None)


def test_a_report_is_that_of_the_start_asked_for():
    async def scenario(server, session):
        await order(server, session)
        own = await fetch_report(session, address=server.address, incarnation="s1")
        other = await fetch_report(session, address=server.address, incarnation="s0")
        return own, other

    own, other = use_server(scenario)
    assert (own.accepted_orders, own.is_busy) == (1, True)
    assert [one.model for one in own.loaded_models] == ["m0"]
    assert other is None
