"""Entries that are killed or stopped, with real processes."""

import signal
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from scripts.client import AddressBook, Ending, send
from scripts.demo_load import find_problem
from scripts.launcher import wait_until
from tests import stack as running

ITEMS = {"tracker": "1"}


@pytest.fixture(scope="module")
def stack(tmp_path_factory):
    plan = running.build_plan(instances=3, engines=2)
    with running.open_stack(plan, tmp_path_factory.mktemp("entries")) as opened:
        yield opened


@pytest.fixture
def stopped(stack):
    """Names of the entries that the test stops; they are restarted after it."""
    names = []
    yield names
    for name in names:
        stack.launcher.restart(name)
    stack.launcher.wait_ready(*names)


def _count_tokens(stack):
    engines = running.list_engines(stack)
    return sum(running.read_counters(stack, name)["tokens"] for name in engines)


@pytest.mark.parametrize("unrepeatable", [False, True])
def test_entry_dies_in_the_middle_of_a_stream(stack, stopped, unrepeatable):
    """An entry is killed while it streams an answer.

    The client connects to the next address with the id of the last event. A repeatable
    request continues from there. An unrepeatable request is not run a second time,
    although the progress of the first run is unknown.
    """
    addresses = tuple(running.get_entry(stack, number) for number in (0, 1))
    book = AddressBook(seeds=addresses, cached={"tracker": (addresses, float("inf"))})
    request = running.build_inference(
        f"cut-{unrepeatable}", tokens=150, streamed=True, unrepeatable=unrepeatable
    )
    before = _count_tokens(stack)
    with ThreadPoolExecutor() as pool:
        asking = pool.submit(send, book, request)
        wait_until(
            lambda: _count_tokens(stack) > before + 30, what="a part of the answer"
        )
        stopped.append(f"entry-{running.list_names(stack)[0]}")
        stack.launcher.kill(stopped[0])
        outcome = asking.result()
    assert outcome.broken_attempts >= 1
    assert len(outcome.events) > 0
    if unrepeatable:
        assert outcome.ending is Ending.UNKNOWN
        assert running.count_runs(stack, request) == 1
    else:
        assert outcome.ending is Ending.WHOLE
        assert find_problem(outcome, ITEMS) == ""


def _build_long_request(number):
    """Build a request whose answer takes longer than every timeout."""
    return running.build_inference(f"long-{number}", tokens=600, streamed=number == 0)


def _send_to(address, request):
    cached = {request.model: ((address,), float("inf"))}
    return send(AddressBook(seeds=(address,), cached=cached), request)


def test_two_entries_stop_gracefully_under_load(stack, stopped):
    """The entries of two of three instances are stopped at the same time, under load.

    Callers with cached addresses are served until the addresses expire, and are then
    referred to the third entry before their request runs. Answers in progress are
    completed, and both processes exit with status 0.
    """
    stopping = [f"entry-{name}" for name in running.list_names(stack)[:2]]
    addresses = [stack.addresses[name] for name in stopping]
    ended = threading.Event()

    def keep_sending(caller):
        outcomes = []
        while not ended.is_set():
            request = running.build_inference(
                f"busy-{caller}-{len(outcomes)}", tokens=30, streamed=caller % 2 == 0
            )
            outcome = running.send_with_retries(stack, request, first=caller % 3)
            outcomes.append(outcome)
        return outcomes

    with ThreadPoolExecutor(max_workers=14) as pool:
        before = _count_tokens(stack)
        callers = [pool.submit(keep_sending, caller) for caller in range(12)]
        long_streams = [
            pool.submit(_send_to, address, _build_long_request(number))
            for number, address in enumerate(addresses)
        ]
        wait_until(lambda: _count_tokens(stack) > before + 500, what="load")
        stopped += stopping
        for name in stopping:
            stack.launcher.send(name, signal.SIGTERM)
        statuses = [stack.launcher.wait_ended(name) for name in stopping]
        ended.set()
        outcomes = [stream.result() for stream in long_streams]
        outcomes += [outcome for caller in callers for outcome in caller.result()]
    assert statuses == [0, 0]
    assert {outcome.ending for outcome in outcomes} == {Ending.WHOLE}
    assert [
        find_problem(outcome, ITEMS) for outcome in outcomes if outcome.broken_attempts
    ] == []
    assert sum(outcome.broken_attempts for outcome in outcomes) == 0
