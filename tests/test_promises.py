"""Steps of ``features/promises.feature``, with real processes."""

import itertools
import signal
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from arbutuspulley.data import State
from scripts.client import AttemptResult, ClientRequest, Ending, Outcome, send_once
from scripts.demo_load import find_problem
from scripts.launcher import wait_until
from tests import stack as running

scenarios("features/promises.feature")

LINK = ("controller-hall-b-1", "platform")
MODELS = {"tracker": running.MODEL, "recap": running.MODEL}
WAIT_TIMEOUT_S = 60


class World(State):
    """State shared by the steps of a scenario.

    :param number: of the scenario; runs are counted by name over all of them.
    :param server: engine that the scenario's faults affect.
    :param outcomes: outcomes of requests that were sent with retries.
    :param answers: requests that were sent once, with their results.
    :param long: future of the long answer's outcome.
    :param statuses: futures of exit statuses by process name.
    """

    stack: running.Stack
    number: int = msgspec.field(default_factory=itertools.count().__next__)
    server: str = ""
    outcomes: list[Outcome] = []
    answers: list[tuple[ClientRequest, AttemptResult]] = []
    long: object = None
    statuses: dict[str, int] = {}


@pytest.fixture(scope="module")
def opened(tmp_path_factory):
    plan = running.build_plan(engines=3, memory_mib=24_000, models=MODELS)
    directory = tmp_path_factory.mktemp("promises")
    with running.open_stack(plan, directory, proxied=[LINK]) as stack:
        yield stack


@pytest.fixture
def world(opened):
    """A healthy system; it is repaired after the scenario."""
    yield World(stack=opened)
    for proxy in opened.proxies.values():
        proxy.heal()
    for name in running.list_engines(opened):
        # An engine that is leaving stays in that state, so it is replaced.
        if (running.read_report(opened, name) or {}).get("leaving"):
            opened.launcher.kill(name)
    dead = [name for name in opened.launcher.processes if not _runs(opened, name)]
    for name in dead:
        opened.launcher.restart(name)
    opened.launcher.wait_ready(*dead)
    _set_instances(opened, leaving="")
    _control_all(opened, break_streams=0, break_requests=0)
    running.wait_active(opened, opened.version)
    running.wait_loaded(opened)


@pytest.fixture
def pool():
    with ThreadPoolExecutor(max_workers=10) as threads:
        yield threads


def _runs(stack, name):
    return stack.launcher.is_running(name)


def _control_all(stack, **faults):
    for name in running.list_engines(stack):
        running.control(stack, name, **faults)


def _set_instances(stack, *, leaving):
    listed = [
        {
            "name": name,
            "address": stack.addresses[name],
            "state": "leaving" if name == leaving else "live",
        }
        for name in running.list_engines(stack)
    ]
    running.control(stack, "platform", instances=listed)


def _find_holder(world, model):
    item = f"{model}@{world.stack.item_version}"
    holders = wait_until(
        lambda: running.list_holders(world.stack, item), what=f"a holder of {item}"
    )
    return holders[0]


def _send_all(pool, world, count, model, **kind):
    requests = [
        running.build_inference(
            f"{model}-{world.number}-{number}",
            tokens=20,
            streamed=number % 2 == 0,
            **kind,
        )
        for number in range(count)
    ]
    asking = [
        pool.submit(running.send_with_retries, world.stack, request, first=number % 2)
        for number, request in enumerate(requests)
    ]
    world.outcomes = [one.result() for one in asking]


@given("every engine loses its next reply to an order")
def _lose_replies(world):
    _control_all(world.stack, lose_order_replies=1)


@given("every engine breaks streams off and mixes in old chunks")
def _break_streams(world):
    _control_all(world.stack, break_streams=4, break_after_tokens=3, stray_chunks=9)
    _control_all(world.stack, skip_end_markers=1)


@when("every engine says that it leaves")
def _leave_all(world):
    _control_all(world.stack, leaving=True)


@given(
    parsers.parse(
        "every engine breaks off its next {count:d} requests after taking them"
    )
)
def _break_requests(world, count):
    _control_all(world.stack, break_requests=count)


@given(parsers.parse('a long answer is being streamed from an engine with "{model}"'))
def _begin_long(world, pool, model):
    request = running.build_inference(f"long-{world.number}", tokens=400, streamed=True)
    world.long = pool.submit(running.send_with_retries, world.stack, request)
    wait_until(
        lambda: running.count_runs(world.stack, request),
        what="the long answer to begin",
    )
    world.server = _find_holder(world, model)


@given("the second instance is cut off from the platform")
def _cut_off(world):
    world.stack.proxies[LINK].cut()


@when(parsers.parse('all models are changed to version "{version}"'))
def _change_version(world, version):
    world.stack.item_version = version
    models = {
        name: msgspec.structs.replace(model, version=version)
        for name, model in MODELS.items()
    }
    running.approve(world.stack, running.propose(world.stack, models=models))


@when(parsers.parse('an engine with "{model}" is killed'))
def _kill_holder(world, model):
    world.server = _find_holder(world, model)
    world.stack.launcher.kill(world.server)


@when(parsers.parse('{count:d} callers ask "{model}" at once'))
def _send_many(world, pool, count, model):
    _send_all(pool, world, count, model)


@when(
    parsers.parse('{count:d} callers ask "{model}" at once for something unrepeatable')
)
def _send_unrepeatable(world, pool, count, model):
    _send_all(pool, world, count, model, unrepeatable=True)


@when(parsers.parse('{count:d} callers ask "{model}" one by one, without patience'))
def _send_without_retries(world, count, model):
    for number in range(len(world.answers), len(world.answers) + count):
        request = running.build_inference(
            f"now-{number}", model=model, unrepeatable=True
        )
        entry = running.get_entry(world.stack, number % 2)
        world.answers.append((request, send_once(entry, request)))


@when(parsers.parse("{source} says that this engine leaves"))
def _leave(world, source):
    if source == "the engine":
        running.control(world.stack, world.server, leaving=True)
    else:
        _set_instances(world.stack, leaving=world.server)


@when("the second instance and this engine are stopped gracefully")
def _stop(world, pool):
    names = ["entry-hall-b-1", "controller-hall-b-1", world.server]
    for name in names:
        world.stack.launcher.send(name, signal.SIGTERM)
    world.statuses = {
        name: pool.submit(world.stack.launcher.wait_ended, name) for name in names
    }


@when("a change is approved")
def _approve(world):
    proposal = running.propose(world.stack, policy={"address_lifetime_s": 3})
    running.approve(world.stack, proposal)


@when("the second instance is killed and started again")
def _replace_instance(world):
    names = ["controller-hall-b-1", "entry-hall-b-1"]
    for name in names:
        world.stack.launcher.kill(name)
    for name in names:
        world.stack.launcher.restart(name)
    world.stack.launcher.wait_ready(*names)


@then(parsers.parse('"{first}" and "{second}" answer at every entry'))
def _answer(world, first, second):
    running.wait_loaded(world.stack, models=(first, second))


@then("no engine was ever asked to hold more than it can")
def _check_memory(world):
    alive = [
        name for name in running.list_engines(world.stack) if _runs(world.stack, name)
    ]
    running.check_memory(world.stack, alive)


@then("all answers are whole")
def _check_whole(world):
    items = dict.fromkeys(MODELS, world.stack.item_version)
    assert {one.ending for one in world.outcomes} == {Ending.WHOLE}
    assert [one for one in world.outcomes if find_problem(one, items)] == []


@then(parsers.parse("{count:d} are told that nobody knows"))
def _check_unknown(world, count):
    unknown = [request for request, one in world.answers if one.run_state == "unknown"]
    assert [running.count_runs(world.stack, request) for request in unknown] == [
        1
    ] * count


@then(parsers.parse("{count:d} are refused as not run, with when to come back"))
def _check_refused(world, count):
    refused = [one for _, one in world.answers if one.run_state == "not_run"]
    assert len(refused) == count
    assert all(one.retry_after_s for one in refused)


@then("no engine has run what is said not to have run")
def _check_not_run(world):
    for request, answer in world.answers:
        if answer.run_state == "not_run":
            assert running.count_runs(world.stack, request) == 0


@then("each was run at most once, and exactly once if its answer is whole")
def _check_runs(world):
    runs = [
        (one.ending, running.count_runs(world.stack, one.request))
        for one in world.outcomes
    ]
    assert set(runs) <= {(Ending.WHOLE, 1), (Ending.UNKNOWN, 1), (Ending.UNKNOWN, 0)}
    assert (Ending.UNKNOWN, 1) in runs


@then(parsers.parse('another engine answers for "{model}"'))
def _check_another(world, model):
    item = f"{model}@{world.stack.item_version}"
    wait_until(
        lambda: set(running.list_holders(world.stack, item)) - {world.server},
        what="another copy",
        timeout_s=WAIT_TIMEOUT_S,
    )


@then("this engine receives nothing more")
def _check_nothing_more(world, pool):
    def send_and_compare():
        before = _count_admitted(world)
        _send_all(pool, world, 6, "tracker")
        assert {one.ending for one in world.outcomes} == {Ending.WHOLE}
        return _count_admitted(world) == before

    wait_until(send_and_compare, what="requests to pass the leaving engine by")


def _count_admitted(world):
    counters = running.read_counters(world.stack, world.server)
    admitted = sum(one["admitted"] for one in counters["runs"].values())
    return admitted + counters["refused"]


@then("the long answer is whole and was never cut")
def _check_long(world):
    outcome = world.long.result()
    items = dict.fromkeys(MODELS, world.stack.item_version)
    assert (outcome.ending, outcome.broken_attempts) == (Ending.WHOLE, 0)
    assert find_problem(outcome, items) == ""


@then("what was stopped has ended with status 0")
def _check_statuses(world):
    ended = {name: waiting.result() for name, waiting in world.statuses.items()}
    assert set(ended.values()) == {0}, ended


@then("the change is in force everywhere")
def _check_active(world):
    running.wait_active(world.stack, world.stack.version)
