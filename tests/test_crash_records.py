"""What an instance keeps of requests that were in flight as servers crashed."""

import msgspec
import pytest

from arbutuspulley.delivery.crash_records import (
    EVICT_INTERVAL_MS,
    MAX_CRASHES,
    MAX_MARKS,
    MAX_SUSPECTS,
    TRIAL_MS,
    CrashRecords,
    count_crashes,
    count_servers,
)
from arbutuspulley.delivery.suspects import QUARANTINE_MS, SUSPICION_MS
from arbutuspulley.membership.coordinator_lease import CoordinatorLeaseState
from arbutuspulley.node.coordinator import Coordinator
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import Hello, SuspicionUpdate
from arbutuspulley.node.suspects import MAX_SUSPECTS_IN_UPDATE, build_suspects
from arbutuspulley.rpc.messages import Suspicion
from tests.node_states import build_info, build_state


def record_crashes(records, fingerprint, *, count=MAX_CRASHES, now=0):
    for known in range(count):
        records.record(
            fingerprint, incarnation=f"{fingerprint}{known}", known=known, now=now
        )


def list_incarnations(records):
    return set(records._known_at)


def test_suspects_are_bounded_and_the_worst_are_kept():
    """Guards against memory that grows with each crash, and against a request that is
    not recorded because many others were in flight at crashes before."""
    records = CrashRecords()
    record_crashes(records, "worst")
    for number in range(MAX_SUSPECTS + 10):
        records.record(f"r{number}", incarnation=f"s{number}", known=0, now=number)
        assert len(records) <= MAX_SUSPECTS
    assert records.is_quarantined("worst")
    assert records.find(f"r{MAX_SUSPECTS + 9}") is not None
    assert records.find("r0") is None
    assert "s0" not in list_incarnations(records)


def test_what_other_instances_tell_is_bounded():
    records = CrashRecords()
    records.merge(
        [
            Suspicion(fingerprint=f"r{number}", deaths=("s/0",))
            for number in range(2 * MAX_SUSPECTS)
        ],
        now=0,
    )
    assert len(records) <= MAX_SUSPECTS
    records.merge(
        [
            Suspicion(
                fingerprint="many", deaths=tuple(f"s{n}/{n % 4}" for n in range(500))
            )
        ],
        now=0,
    )
    assert len(records.find("many").deaths) == MAX_MARKS
    assert records.is_quarantined("many")
    assert len(list_incarnations(records)) <= MAX_MARKS + 1


@pytest.mark.parametrize(
    ("count", "life_ms"),
    [(MAX_CRASHES - 1, SUSPICION_MS), (MAX_CRASHES, QUARANTINE_MS)],
)
def test_suspects_expire(count, life_ms):
    records = CrashRecords()
    record_crashes(records, "old", count=count)
    assert records.get_time_to_expiry_ms("old", now=0) == life_ms
    for passed_ms, is_kept in ((life_ms - 1, True), (life_ms + 20_000, False)):
        records.record("new", incarnation="s", known=0, now=passed_ms)
        assert (records.find("old") is not None) is is_kept
    assert list_incarnations(records) == {"s"}


def test_a_process_that_starts_does_not_prolong_a_quarantine():
    """Guards against a request that is refused for ever because each process that
    starts counts its quarantine from then."""
    state, late = build_state(), CrashRecords()
    record_crashes(state.crash_records, "old", now=state.clock.now() - SUSPICION_MS)
    update = build_suspects(state)
    late.merge(update.suspicions, ages_ms=update.ages_ms, now=0)
    left_ms = late.get_time_to_expiry_ms("old", now=0)
    assert left_ms == pytest.approx(QUARANTINE_MS - SUSPICION_MS, abs=1_000)


def test_an_instance_that_links_up_is_told_of_the_worst():
    """Guards against a process that starts and sends on what crashed servers before."""
    state = build_state()
    for number in range(3 * MAX_SUSPECTS_IN_UPDATE):
        state.crash_records.record(f"r{number}", incarnation="s", known=0, now=0)
    record_crashes(state.crash_records, "worst")
    record_crashes(state.crash_records, "cleared")
    state.crash_records.clear("cleared", now=0)
    told = [one.fingerprint for one in build_suspects(state).suspicions]
    assert told[0] == "worst"
    assert "cleared" not in told
    assert len(told) == MAX_SUSPECTS_IN_UPDATE


def test_crashes_stated_by_an_older_release_count_one_by_one():
    suspicion = Suspicion(fingerprint="r", deaths=("s0/", "s1/", "s2/"))
    assert count_crashes(suspicion) == MAX_CRASHES
    assert count_servers(suspicion) == MAX_CRASHES


def test_crashes_of_copies_that_were_sent_at_once_count_as_one():
    suspicion = Suspicion(fingerprint="r", deaths=("s0/0", "s1/0", "s2/1", "s3/1"))
    assert (count_crashes(suspicion), count_servers(suspicion)) == (2, 4)


def test_merging_again_changes_nothing():
    """Guards against instances that tell each other of the same crash for ever."""
    records = CrashRecords()
    record_crashes(records, "r")
    assert records.merge([records.find("r")], now=5) == ()


def test_one_server_counts_once_however_many_crashes_were_known():
    """Guards against copies on one server that count as several crashes, or as fewer
    than those that came before."""
    for number in range(20):
        first, second = f"a{number}", f"b{number}"
        suspicion = Suspicion(
            fingerprint="r", deaths=(f"{first}/0", f"{first}/1", f"{second}/0")
        )
        assert (count_crashes(suspicion), count_servers(suspicion)) == (2, 2)


def test_old_news_does_not_shorten_a_quarantine():
    """Guards against a request that is sent again early because an instance that links
    up tells of an older crash."""
    records = CrashRecords()
    record_crashes(records, "r", now=100_000)
    older = Suspicion(fingerprint="r", deaths=("s9/0",))
    assert records.merge([older], ages_ms=[50_000], now=100_000)
    assert records.get_time_to_expiry_ms("r", now=100_000) == QUARANTINE_MS


def test_trials_of_other_instances_are_bounded_and_end_by_themselves():
    """Guards against memory that grows with instances that are killed."""
    records = CrashRecords()
    for number in range(MAX_SUSPECTS + 10):
        records.record_trial(f"r{number}", "n1", now=0)
    assert len(records._trials) == MAX_SUSPECTS
    records.merge([], now=TRIAL_MS + EVICT_INTERVAL_MS)
    assert not records._trials


def test_a_coordinator_learns_what_instances_know_and_tells_all_others():
    """Guards against crashes that only a lost coordinator, or one instance, knew."""
    knowing, state = build_state(), build_state()
    record_crashes(knowing.crash_records, "known")
    record_crashes(state.crash_records, "own")
    lease = CoordinatorLeaseState(name="own", link="own:1", boot="b", lease_ms=3_000)
    coordinator = Coordinator(
        state=state, lease=lease, receive_local=lambda _messages: None
    )
    coordinator.is_active = True
    hello = Hello(info=build_info("x"))
    peer = coordinator.add_peer([hello])
    assert list_told(peer) == {"own"}
    linking = Link(state=knowing).build_hello()
    late = coordinator.add_peer(
        [msgspec.structs.replace(linking, info=build_info("y"))]
    )
    assert state.crash_records.is_quarantined("known")
    assert list_told(peer) == {"own", "known"}
    assert list_told(late) == {"own", "known"}


def list_told(peer):
    """Return the requests that an instance has been told of."""
    return {
        suspicion.fingerprint
        for message in peer.outgoing
        if isinstance(message, SuspicionUpdate)
        for suspicion in message.suspicions
    }
