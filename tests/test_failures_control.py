"""Platform outages, disconnected controllers and concurrent operators."""

import json
import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from arbutuspulley.events import Event
from arbutuspulley.results import Code
from scripts import fleet
from scripts.client import Ending, send_once
from scripts.launcher import wait_until
from tests import stack as running

PROXIED = [
    ("controller-hall-a-1", "platform"),
    ("controller-hall-b-1", "platform"),
    ("console", "platform"),
    ("cli", "console"),
]


@pytest.fixture(scope="module")
def opened(tmp_path_factory):
    plan = running.build_plan(lease_ms=3_000, renew_ms=700)
    directory = tmp_path_factory.mktemp("control")
    with running.open_stack(plan, directory, proxied=PROXIED) as stack:
        yield stack


@pytest.fixture
def stack(opened):
    """The running system; all faults are cleared after the test."""
    yield opened
    for proxy in opened.proxies.values():
        proxy.heal()
    running.control(opened, "platform", outage=False, lose_replies=0)
    for name in running.list_names(opened):
        opened.launcher.send(f"controller-{name}", signal.SIGCONT)
    running.wait_active(opened, opened.version)
    running.wait_loaded(opened)


def _build_change(number):
    """Return a change of the base file that differs for each number."""
    policy = {"address_lifetime_s": 2, "answer_lifetime_s": 1_000 + number}
    return {"policy": policy}


def test_serving_continues_during_a_store_outage_longer_than_the_lease(stack):
    """The platform's store is down for longer than every lease.

    Every entry still serves inference requests. A booking, which needs the store, is
    refused at once as not run, with ``Retry-After``; an approval is refused too. When
    the store is available again both succeed, and the booking has run once.
    """
    proposal = running.propose(stack, **_build_change(1))
    running.control(stack, "platform", outage=True)
    wait_until(
        lambda: all(
            running.has_logged(stack, name, Event.LEASE_LAPSED)
            for name in running.list_names(stack)
        ),
        what="all leases to lapse",
    )
    booking = running.build_booking("during-outage")
    for number in (0, 1):
        entry = running.get_entry(stack, number)
        plain = running.build_inference(f"outage-{number}", streamed=True)
        assert send_once(entry, plain).ended
        refused = send_once(entry, booking)
        assert (refused.status, refused.code) == (503, Code.STORE_UNAVAILABLE)
        assert (refused.run_state, bool(refused.retry_after_s)) == ("not_run", True)
    pressed = running.run_approve(stack, proposal)
    assert pressed.returncode == 1
    assert f"error {Code.PLATFORM_UNAVAILABLE.value}" in pressed.stderr
    assert running.count_runs(stack, booking) == 0
    running.control(stack, "platform", outage=False)
    assert running.send_with_retries(stack, booking).ending is Ending.WHOLE
    assert running.count_runs(stack, booking) == 1
    wait_until(
        lambda: running.run_approve(stack, proposal).returncode == 0,
        what="the approval to be taken",
    )
    stack.version += 1
    running.wait_active(stack, stack.version)


def test_new_instance_starts_from_a_peer_while_the_store_is_down(stack):
    """An instance is replaced during a store outage.

    Its new controller cannot read the configuration from the store. It gets it from a
    peer and its entry serves; until the store is available again it has no lease and
    sends no orders.
    """
    name = running.list_names(stack)[1]
    processes = [f"controller-{name}", f"entry-{name}"]
    running.control(stack, "platform", outage=True)
    for process in processes:
        stack.launcher.kill(process)
    for process in processes:
        stack.launcher.restart(process)
    stack.launcher.wait_ready(*processes)
    answer = send_once(
        running.get_entry(stack, 1), running.build_inference("new-instance")
    )
    assert (answer.status, answer.ended) == (200, True)
    assert running.has_logged(stack, name, Event.CONFIGURATION_FROM_PEER)


def test_approval_is_retried_after_its_reply_was_lost(stack):
    """The response to an approval is lost on its way to the operator.

    The store's reply to the console is lost as well. The retry reports the proposal as
    accepted, and there is one new version, not two.
    """
    proposal = running.propose(stack, **_build_change(2))
    stack.proxies["cli", "console"].lose_replies(1)
    running.control(stack, "platform", lose_replies=1)
    first = running.run_approve(stack, proposal)
    assert first.returncode == 1
    assert f"error {Code.PLATFORM_OUTCOME_UNKNOWN.value}" in first.stderr
    again = running.run_approve(stack, proposal)
    assert again.returncode == 0, again.stderr
    accepted = json.loads(again.stdout)
    assert (accepted["version"], accepted["repeated"]) == (stack.version + 1, True)
    stack.version += 1
    running.wait_active(stack, stack.version)


def test_two_operators_approve_different_changes_concurrently(stack):
    """Two operators approve different changes of the same base version concurrently.

    One change is accepted. The other is refused, shows the difference that was accepted
    in the meantime, and no part of it becomes active.
    """
    proposals = [running.propose(stack, **_build_change(number)) for number in (3, 4)]
    with ThreadPoolExecutor() as pool:
        pressed = [
            pool.submit(running.run_approve, stack, proposal, operator=operator)
            for proposal, operator in zip(proposals, fleet.OPERATORS, strict=True)
        ]
        ended = sorted(
            (one.result() for one in pressed), key=lambda one: one.returncode
        )
    assert [one.returncode for one in ended] == [0, 1]
    assert f"error {Code.BASE_VERSION_STALE.value}" in ended[1].stderr
    assert "accepted in between" in ended[1].stderr
    stack.version += 1
    running.wait_active(stack, stack.version)


def test_disconnected_controller_gets_a_change_from_its_peer(stack):
    """A data centre loses its connection to the platform, and a change is approved.

    The change becomes active there within seconds, because the other instance relays
    it.
    """
    stack.proxies["controller-hall-b-1", "platform"].cut()
    running.approve(stack, running.propose(stack, **_build_change(5)))


def test_store_is_restored_with_an_older_configuration(stack):
    """The platform's table is restored from a backup taken before the last change.

    Every instance keeps the newer version active although the store has an older one.
    The next approved change gets the following version number and becomes active on all
    instances.
    """
    backup = running.read_counters(stack, "platform")["revision"]
    running.approve(stack, running.propose(stack, **_build_change(6)))
    running.control(stack, "platform", restore_revision=backup)
    wait_until(
        lambda: all(
            running.has_logged(stack, name, Event.OLDER_CONFIGURATION_IGNORED)
            for name in running.list_names(stack)
        ),
        what="both controllers to see the older store",
    )
    running.wait_active(stack, stack.version)
    before = stack.version
    running.approve(stack, running.propose(stack, **_build_change(7)))
    assert stack.version == before + 1
