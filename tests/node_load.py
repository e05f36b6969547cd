"""Steady load on real nodes, and faults of their coordinator."""

import asyncio
import itertools
import signal

import pytest

from scripts.platform_testbed import send_request
from tests.proxy import Direction

NODES = ("n1", "n2", "n3", "n4")

ASK_EVERY_S = 0.04
"""Interval between two requests, to one node after the other, in s."""

LOSS_S = 2.5
"""Time for which a coordinator is frozen or disconnected from the store, in s; another
node takes over meanwhile."""


RETRIES_AT_ONCE = {"BudgetWindowS": 0.2}
RETRIES_AFTER_S = 0.8
"""Bound with which nodes may retry requests soon after they have started, and that
time, in s: an instance has no share of a retry budget in its first window."""

SERVERS = pytest.mark.parametrize(
    ("told", "path", "model"),
    [("e1", "/chat/", "m0"), ("p1", "/book/", "")],
    ids=["model", "plain"],
)
"""One of two servers of each service, with a path and a model that lead to them."""


async def ask_all(
    fleet,
    session,
    path,
    *,
    for_s,
    model="",
    names=NODES,
    every_s=ASK_EVERY_S,
    on_send=lambda: None,
):
    """Send requests at a steady pace through all nodes in turn.

    An attempt id begins with the name of its node and a hyphen.

    :param for_s: duration of the load, in s.
    :param every_s: interval between two requests, in s.
    :param on_send: called as each request is sent.
    :return: the answers' status codes; ``None``: there was no answer.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + for_s
    asked = []
    for number, name in zip(itertools.count(), itertools.cycle(names)):
        if loop.time() >= until:
            break
        on_send()
        front = fleet.addresses[name]["Frontend"]
        one = send_request(
            session, front, path, attempt=f"{name}-{number}", model=model
        )
        asked.append(asyncio.create_task(one))
        await asyncio.sleep(every_s)
    ends = await asyncio.gather(*asked, return_exceptions=True)
    return [end[0] if isinstance(end, tuple) else None for end in ends]


def kill(node, _proxy):
    node.send_signal(signal.SIGKILL)


def freeze(node, _proxy):
    node.send_signal(signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    loop.call_later(LOSS_S, node.send_signal, signal.SIGCONT)


def disconnect_from_store(_node, proxy):
    proxy.drop(Direction.TO_CLIENT, Direction.TO_TARGET)
    asyncio.get_running_loop().call_later(LOSS_S, proxy.heal)
