"""How many connections to servers a process keeps open."""

import asyncio

from aiohttp import web

from arbutuspulley.platform.transport import open_session
from scripts.platform_testbed import listen

MAX_OPEN = 3


def run_session(scenario):
    """Run a scenario with a session that may have a few connections open."""

    async def answer(request):
        await asyncio.sleep(float(request.query.get("s", 0)))
        return web.Response(text="done")

    async def run():
        servers = [await listen(answer) for _ in range(6)]
        try:
            async with open_session(get_max_open=lambda: MAX_OPEN) as session:
                await scenario(session, [address for _, address in servers])
        finally:
            for listener, _ in servers:
                listener.close()

    asyncio.run(run())


async def ask(session, address, *, delay_s=0):
    async with session.get(f"http://{address}/?s={delay_s}") as answer:
        return await answer.text()


def count_idle(session):
    return sum(map(len, session.connector._conns.values()))


def test_idle_connections_are_closed_for_new_ones():
    """Guards against clients that ask one service after another, so that connections to
    servers take the descriptors of the process."""

    async def scenario(session, addresses):
        for address in addresses:
            assert await ask(session, address) == "done"
            assert count_idle(session) <= MAX_OPEN
        kept = [key.port for key in session.connector._conns]
        assert kept == [int(one.rpartition(":")[2]) for one in addresses[-MAX_OPEN:]]

    run_session(scenario)


def test_connections_in_use_are_not_closed():
    """Guards against requests in flight that are lost for new ones."""

    async def scenario(session, addresses):
        busy = [ask(session, address, delay_s=0.3) for address in addresses]
        assert await asyncio.gather(*busy) == ["done"] * len(addresses)

    run_session(scenario)
