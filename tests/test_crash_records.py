"""What an instance keeps of requests that were in flight as servers crashed."""

import msgspec
import pytest

from arbutuspulley.delivery.crash_records import (
    AT_ONCE_MS,
    EVICT_INTERVAL_MS,
    FIRST_RETRIAL_DELAY_MS,
    MAX_COMPLETED,
    MAX_CRASHES,
    MAX_MARKS,
    MAX_SOON_RETRIALS,
    MAX_SUSPECTS,
    RARE_RETRIAL_DELAY_MS,
    RETRIAL_DELAY_MS,
    RETRIAL_POLL_MS,
    TRIAL_MS,
    UNEXPLAINED_RETRIAL_DELAY_MS,
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


def test_an_instance_that_links_up_is_told_what_was_taken_back():
    """Guards against a harmless request that one instance goes on refusing because the
    message that cleared it was lost with a coordinator."""
    state, late = build_state(), CrashRecords()
    record_crashes(state.crash_records, "r")
    late.merge([state.crash_records.find("r")], now=0)
    state.crash_records.clear("r", now=0)
    late.merge(build_suspects(state).suspicions, now=0)
    assert not late.is_quarantined("r")


POISON, HARMLESS = "00", "80"
"""Fingerprints; by them retrials are spread over time."""


def get_wait_ms(records, fingerprint, *, now, may_retry=True):
    return records.get_wait_ms(fingerprint, may_retry=may_retry, now=now)


def test_a_request_that_completed_before_is_tried_again_soon_and_then_later():
    """Guards against a harmless request that is refused for hours because it was in
    flight at each crash that another one, or a power failure, caused."""
    records = CrashRecords()
    records.clear(HARMLESS, now=0)
    record_crashes(records, HARMLESS)
    first_ms = get_wait_ms(records, HARMLESS, now=0)
    assert RETRIAL_DELAY_MS < first_ms < 2 * RETRIAL_DELAY_MS
    assert get_wait_ms(records, HARMLESS, now=first_ms) == 0
    for retrial in range(1, 20):
        records.record(
            HARMLESS, incarnation=f"r{retrial}", known=2 + retrial, now=first_ms
        )
        again_ms = get_wait_ms(records, HARMLESS, now=first_ms)
        if retrial < MAX_SOON_RETRIALS:
            assert 2 * RETRIAL_DELAY_MS < again_ms < 4 * RETRIAL_DELAY_MS
        else:
            assert RARE_RETRIAL_DELAY_MS < again_ms < 2 * RARE_RETRIAL_DELAY_MS


@pytest.mark.parametrize("has_completed", [False, True])
def test_a_request_on_servers_that_crashed_at_once_is_tried_again_at_once(
    has_completed,
):
    """Guards against a harmless request that is refused for longer after power failures
    because it completed before them."""
    records = CrashRecords()
    if has_completed:
        records.clear(HARMLESS, now=0)
    records.record(HARMLESS, incarnation="p", known=0, now=0)
    for known in range(MAX_CRASHES):
        now = known * 2 * AT_ONCE_MS
        records.record(HARMLESS, incarnation=f"p{known}", known=known, now=now)
    assert records.is_quarantined(HARMLESS)
    first_ms = get_wait_ms(records, HARMLESS, now=now)
    assert FIRST_RETRIAL_DELAY_MS <= first_ms <= 2 * FIRST_RETRIAL_DELAY_MS
    now += first_ms
    assert get_wait_ms(records, HARMLESS, now=now) == 0
    records.record(HARMLESS, incarnation="p5", known=MAX_CRASHES, now=now)
    again_ms = get_wait_ms(records, HARMLESS, now=now)
    least_ms = 2 * RETRIAL_DELAY_MS if has_completed else UNEXPLAINED_RETRIAL_DELAY_MS
    assert least_ms <= again_ms <= 2 * least_ms


def test_a_quarantine_ends_although_nothing_happens_meanwhile():
    """Guards against a request that is refused for ever because suspects are evicted
    only as others are recorded."""
    records = CrashRecords()
    record_crashes(records, POISON, count=MAX_CRASHES + 1)
    assert get_wait_ms(records, POISON, now=QUARANTINE_MS - 1) == 1
    assert get_wait_ms(records, POISON, now=QUARANTINE_MS) == 0
    assert get_wait_ms(records, POISON, now=QUARANTINE_MS + 1, may_retry=False) == 0


def test_a_request_that_nothing_speaks_for_is_tried_again_once():
    """Guards against a request that crashes a server again every few seconds."""
    records = CrashRecords()
    record_crashes(records, POISON)
    wait_ms = get_wait_ms(records, POISON, now=0)
    assert wait_ms == UNEXPLAINED_RETRIAL_DELAY_MS
    records.record(POISON, incarnation="again", known=MAX_CRASHES, now=wait_ms)
    assert get_wait_ms(records, POISON, now=wait_ms) == QUARANTINE_MS


def test_only_one_instance_tries_a_request_again():
    """Guards against instances that all crash a server as the same time is over."""
    records = CrashRecords()
    record_crashes(records, POISON)
    due = UNEXPLAINED_RETRIAL_DELAY_MS
    assert get_wait_ms(records, POISON, now=due) == 0
    wait_ms = get_wait_ms(records, POISON, now=due, may_retry=False)
    assert wait_ms == RETRIAL_POLL_MS


def test_a_request_whose_crashes_others_explain_is_tried_again_soon():
    """Guards against a harmless request that waits long though all of its crashes are
    those of others, and against one that is tried early though one crash is not."""
    records, mixed = CrashRecords(), CrashRecords()
    for number in range(MAX_CRASHES):
        for fingerprint in (POISON, HARMLESS):
            server = f"s{number}"
            records.record(fingerprint, incarnation=server, known=number, now=0)
            if number == 0 and fingerprint == POISON:
                server = "alone"
            mixed.record(fingerprint, incarnation=server, known=number, now=0)
    harmless_ms = get_wait_ms(records, HARMLESS, now=0)
    assert harmless_ms < 2 * RETRIAL_DELAY_MS
    assert get_wait_ms(records, POISON, now=0) != harmless_ms
    assert get_wait_ms(mixed, POISON, now=0) >= UNEXPLAINED_RETRIAL_DELAY_MS


def test_what_completed_is_told_with_a_crash_and_bounded():
    """Guards against a harmless request that only the instance knows as such at which
    it completed, and against memory that grows with each request."""
    records, other = CrashRecords(), CrashRecords()
    for number in range(MAX_COMPLETED + 10):
        records.clear(f"{number:05}", now=0)
        if number == MAX_COMPLETED - 1:
            records.clear("00000", now=0)
    assert len(records._completed) == MAX_COMPLETED
    for fingerprint, is_soon in (("00001", False), ("00000", True), ("00100", True)):
        record_crashes(records, fingerprint)
        other.merge([records.find(fingerprint)], now=0)
        wait_ms = get_wait_ms(other, fingerprint, now=0)
        assert (wait_ms < UNEXPLAINED_RETRIAL_DELAY_MS) is is_soon
    many = [f"m{number}/0" for number in range(2 * MAX_MARKS)]
    other.merge([Suspicion(fingerprint="00100", deaths=tuple(many))], now=0)
    assert get_wait_ms(other, "00100", now=0) < UNEXPLAINED_RETRIAL_DELAY_MS


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
