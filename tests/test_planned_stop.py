"""A planned stop while clients go on to connect to the address."""

import asyncio
import collections
import itertools
import signal

import aiohttp
import pytest

from scripts.platform_testbed import FULL_STREAM, Fleet, send_request

IN_FLIGHT = 5
"""Number of requests in flight, which the servers have slots for."""

BEFORE_S = 1.5
"""How long requests come before the stop beyond the time that they take, in s."""

CUT = "cut"
REFUSED = "refused"
ANSWERED = "answered"
NOT_CONNECTED = "not connected"


class Caller:
    """A caller that opens a connection for each request."""

    def __init__(self, fleet, *, path):
        self.fleet = fleet
        self.path = path
        self.model = "m0" if path.startswith("/chat/") else ""
        self.ends = {}

    async def ask(self, number):
        front = self.fleet.addresses["n1"]["Frontend"]
        attempt = f"a{number}"
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                status, body, headers = await send_request(
                    session, front, self.path, attempt=attempt, model=self.model
                )
            except aiohttp.ClientConnectorError:
                self.ends[attempt] = NOT_CONNECTED
            except (aiohttp.ClientError, OSError):
                self.ends[attempt] = CUT
            else:
                self.ends[attempt] = find_end(status, body, headers)


def find_end(status, body, headers):
    if status == 200 and body in (b"done:", FULL_STREAM):
        return ANSWERED
    if status == 503 and float(headers["Retry-After"]) < 0.5:
        return REFUSED
    return status


def stop_under_load(folder, *, path, grace_s, takes_s, further=()):
    """Stop a node under load.

    :param further: signals that follow in the grace.
    :return: how each request ended, and the attempts that ran.
    """

    further = list(further)

    async def run():
        fleet = Fleet(folder)
        try:
            await fleet.open()
            for server in fleet.servers:
                server.delay_s = takes_s
                server.pause_s = takes_s / 6
                if server.models:
                    server.delay_s = 0.0
            await fleet.start_nodes(("n1",), GraceS=grace_s)
            caller = Caller(fleet, path=path)
            node, asking = fleet.nodes["n1"], []
            every_s = takes_s / IN_FLIGHT
            stop_at = int((takes_s + BEFORE_S) / every_s)
            for number in itertools.count():
                if node.returncode is not None:
                    break
                if number == stop_at:
                    node.send_signal(signal.SIGTERM)
                elif number > stop_at and further:
                    node.send_signal(further.pop(0))
                asking.append(asyncio.create_task(caller.ask(number)))
                await asyncio.sleep(every_s)
                assert number * every_s < takes_s + BEFORE_S + grace_s + 5
            await asyncio.gather(*asking)
            assert node.returncode == 0
            ran = {attempt for server in fleet.servers for attempt in server.runs}
            return caller.ends, ran
        finally:
            await fleet.close()

    return asyncio.run(run())


def check_ends(ends, ran):
    counts = collections.Counter(ends.values())
    answered = {attempt for attempt, end in ends.items() if end == ANSWERED}
    assert set(counts) <= {ANSWERED, REFUSED, NOT_CONNECTED}, counts
    assert ran == answered


@pytest.mark.alone
@pytest.mark.parametrize(
    ("path", "takes_s"),
    [("/book/1", 1.8), ("/book/1", 3.0), ("/sync/1", 1.8), ("/chat/1", 1.8)],
)
def test_what_comes_late_in_the_grace_is_answered_or_refused(tmp_path, path, takes_s):
    """Guards against requests that run and whose callers get no answer, as they came
    too late before the end of a planned stop."""
    ends, ran = stop_under_load(tmp_path, path=path, grace_s=4, takes_s=takes_s)
    check_ends(ends, ran)
    assert REFUSED in ends.values()


@pytest.mark.alone
def test_further_signals_in_the_grace_change_nothing(tmp_path):
    """Guards against a second signal that ends the process, or its grace, early."""
    further = [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]
    ends, ran = stop_under_load(
        tmp_path, path="/book/1", grace_s=3, takes_s=0.8, further=further
    )
    check_ends(ends, ran)


@pytest.mark.alone
def test_a_quick_service_is_served_until_the_address_is_closed(tmp_path):
    """Guards against refusals of requests that can be answered in the grace, and
    against connections that are reset as the address is closed."""
    ends, ran = stop_under_load(tmp_path, path="/book/1", grace_s=4, takes_s=0.2)
    check_ends(ends, ran)
    assert REFUSED not in ends.values()
