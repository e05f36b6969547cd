"""Real nodes that each reach the store through a proxy of their own."""

import asyncio
import contextlib

import aiohttp

from scripts.platform_testbed import Fleet
from tests.proxy import FaultProxy


def run_on_nodes(folder, scenario, *, names, **bounds):
    """Run a scenario on nodes that follow one coordinator.

    :param scenario: called with the fleet, a client session and the proxies by node.
    :param bounds: arguments of :meth:`Fleet.start_node`.
    """

    async def run():
        fleet = Fleet(folder)
        with contextlib.ExitStack() as stack:
            try:
                await fleet.open()
                proxies = {
                    name: stack.enter_context(FaultProxy(target=fleet.store_address))
                    for name in names
                }
                for name in names:
                    await fleet.start_node(name, store=proxies[name].address, **bounds)
                for name in names:
                    await fleet.wait_ready(name)
                await fleet.wait_coordinator()
                async with aiohttp.ClientSession() as session:
                    await scenario(fleet, session, proxies)
            finally:
                await fleet.close()

    asyncio.run(run())
