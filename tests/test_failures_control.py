"""Platform outages, paused and cut-off controllers, operators at the same moment."""

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
    """The running system; faults end with the test."""
    yield opened
    for proxy in opened.proxies.values():
        proxy.heal()
    running.control(opened, "platform", outage=False, lose_replies=0)
    for name in running.list_names(opened):
        opened.launcher.send(f"controller-{name}", signal.SIGCONT)
    running.wait_in_force(opened, opened.version)
    running.wait_loaded(opened)


def _build_change(number):
    """Return a field of the base file that differs for each number."""
    policy = {"address_lifetime_s": 2, "answer_lifetime_s": 1_000 + number}
    return {"policy": policy}


def test_store_outage_beyond_the_lease_with_serving_going_on(stack):
    """The platform's store is down for longer than every lease.

    Hosts and crews go on being answered by every entry. A booking confirmation, which
    needs the store, is refused at once as not run, with when to come back; so is an
    approval. When the store is back, both work, and the confirmation has run once.
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
    running.wait_in_force(stack, stack.version)


def test_new_instance_starts_from_a_peer_while_the_store_is_down(stack):
    """An instance is replaced during a store outage.

    Its new controller cannot read the configuration. It learns it from a peer, and
    its entry serves; it holds no lease and sends no orders until the store is back.
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


def test_lost_reply_to_an_approval_and_the_operator_presses_again(stack):
    """An operator approves on a train, and the answer never reaches her phone.

    At the same moment the store's reply to the console is lost as well. She presses
    again: it is told as accepted, and there is one new version, not two.
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
    running.wait_in_force(stack, stack.version)


def test_two_phones_approve_different_changes_at_the_same_moment(stack):
    """Two operators see the same version and approve different changes at once.

    One is accepted. The other is refused, is shown what was accepted in between, and
    nothing of hers is in force.
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
    running.wait_in_force(stack, stack.version)


def test_cut_off_controller_learns_a_change_from_its_peer(stack):
    """One data centre loses the way to the platform, and a change is approved.

    It is in force there within seconds all the same, because the other instance
    passes it on.
    """
    stack.proxies["controller-hall-b-1", "platform"].cut()
    running.approve(stack, running.propose(stack, **_build_change(5)))


def test_store_comes_back_with_an_older_configuration(stack):
    """The platform's table is restored from a backup taken before the last change.

    Every instance keeps the newer version in force, whatever the store says. The next
    approved change counts on from it and is in force everywhere.
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
    running.wait_in_force(stack, stack.version)
    before = stack.version
    running.approve(stack, running.propose(stack, **_build_change(7)))
    assert stack.version == before + 1
