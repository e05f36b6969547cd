"""Rate limits that backend servers state in their answers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutuspulley.admission.rate_limits import (
    MAX_RECHECK_MS,
    WINDOW_MS,
    KnownRateLimits,
    LocalRateLimits,
    RateLimitLedger,
    get_tolerance,
)
from arbutuspulley.membership.unlisted import MAX_UNLISTED
from arbutuspulley.platform import names
from arbutuspulley.platform.requests import read_server_limit


def test_reads_the_limit_that_an_answer_states():
    assert read_server_limit({}) is None
    assert read_server_limit({names.SERVER_LIMIT: "1.25"}) == 1.25
    assert read_server_limit({names.SERVER_LIMIT: "0"}) == 0


@pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf"])
def test_a_limit_that_is_not_a_valid_number_is_refused(text):
    with pytest.raises(ValueError):
        read_server_limit({names.SERVER_LIMIT: text})


def test_a_limit_holds_until_a_later_request_is_answered_without_it():
    known = KnownRateLimits()
    assert known.update_from_answer("s0", 2.0, sent_at=0, now=100)
    assert not known.update_from_answer("s0", 2.0, sent_at=50, now=150)
    assert known.update_from_answer("s0", None, sent_at=120, now=200)
    assert known.get("s0") is None


def test_a_stale_answer_does_not_lift_a_limit():
    """An answer that was sent before the server was overloaded arrives after one that
    states its limit, on another connection."""
    known = KnownRateLimits()
    known.update_from_answer("s0", 2.0, sent_at=0, now=100)
    assert not known.update_from_answer("s0", None, sent_at=90, now=110)
    assert not known.update_from_answer("s0", 5.0, sent_at=90, now=110)
    assert known.get("s0") == 2.0


def test_a_lower_limit_applies_at_once():
    known = KnownRateLimits()
    known.update_from_answer("s0", 2.0, sent_at=0, now=100)
    assert known.update_from_answer("s0", 1.0, sent_at=90, now=110)
    assert known.get("s0") == 1.0


def test_a_limit_survives_the_lapse_of_its_server_entry():
    """Guards against full load on an overloaded server once it is listed again."""
    known = KnownRateLimits()
    known.update_from_answer("s0", 2.0, sent_at=0, now=100)
    known.evict_unlisted({})
    assert known.get("s0") == 2.0


def test_the_oldest_limits_of_unlisted_servers_are_evicted():
    known = KnownRateLimits()
    for number in range(MAX_UNLISTED + 2):
        known.update_from_answer(f"s{number}", 2.0, sent_at=0, now=100)
    known.evict_unlisted({"s1"})
    assert known.get("s0") is None
    assert known.get("s1") == 2.0
    assert len(known.list_limits()) == MAX_UNLISTED + 1


def find_max_sent(sent):
    """Return the largest number of requests that were sent in any window."""
    return max(
        (sum(begin <= at < begin + WINDOW_MS for at in sent) for begin in sent),
        default=0,
    )


def get_allowed(per_s):
    return 1.5 * per_s * WINDOW_MS / 1_000 + 5


def test_ledger_grants_the_rate_and_a_small_burst():
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 2.0, now=0)
    assert ledger.charge("s0", now=0) == 500
    sent = [now for now in range(0, 10_000, 10) if not ledger.charge("s0", now=now)]
    assert 19 <= len(sent) <= 20
    burst = [now for now in range(30_000, 30_100) if not ledger.charge("s0", now=now)]
    assert len(burst) == int(get_tolerance(2.0))


def test_ledger_does_not_grant_the_fraction_of_uncoordinated_instances():
    """Guards against a limit that is granted twice while instances are disconnected."""
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 4.0, now=0)
    ledger.set_refill_fraction(0.5, now=0)
    ledger.set_refill_fraction(0.5, now=0)
    sent = [now for now in range(0, 10_000, 10) if not ledger.charge("s0", now=now)]
    assert 19 <= len(sent) <= 20


def test_a_server_that_states_no_limit_is_not_limited():
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 1.0, now=0)
    assert ledger.set_limit("s0", None, now=10)
    assert not ledger.set_limit("s0", None, now=10)
    assert [ledger.charge("s0", now=10) for _ in range(50)] == [0] * 50


def test_a_server_with_a_limit_of_zero_is_still_probed():
    """Guards against a limit that is never lifted, since only an answer can lift it."""
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 0.0, now=0)
    sent = [now for now in range(0, 20_000, 10) if not ledger.charge("s0", now=now)]
    assert 4 <= len(sent) <= 5
    assert find_max_sent(sent) <= get_allowed(0)


def test_a_lowered_limit_caps_the_accumulated_balance():
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 20.0, now=0)
    ledger.set_limit("s0", 1.0, now=10_000)
    sent = [now for now in range(10_000, 14_000) if not ledger.charge("s0", now=now)]
    assert len(sent) <= 4 + get_tolerance(1.0)


def test_a_bucket_fraction_below_one_request_grants_none():
    """Guards against many instances without a coordinator that all round up."""
    local_limits = [LocalRateLimits() for _ in range(60)]
    sent = [
        now
        for now in range(0, 8_000, 50)
        for local in local_limits
        if not local.charge("s0", 1.0, fraction=1 / 60, now=now)
    ]
    assert sent == []
    assert (
        local_limits[0].charge("s0", 1.0, fraction=1 / 60, now=8_000) == MAX_RECHECK_MS
    )


def test_takeovers_in_a_row_stay_within_a_limit():
    """Guards against buckets that begin full: each new coordinator would grant another
    burst."""
    sent = []
    for takeover_at in range(0, 8_000, 500):
        ledger = RateLimitLedger()
        ledger.reset({"s0": 1.0}, now=takeover_at)
        sent += [
            now
            for now in range(takeover_at, takeover_at + 500, 10)
            if not ledger.charge("s0", now=now)
        ]
    assert find_max_sent(sent) <= get_allowed(1.0)


def test_instances_that_learn_of_a_limit_without_a_coordinator_send_no_burst():
    """Guards against buckets of single instances that begin full, at the moment at
    which an overloaded server states a limit."""
    local_limits = [LocalRateLimits() for _ in range(2)]
    sent = [
        now
        for now in range(0, 500, 10)
        for local in local_limits
        if not local.charge("s0", 4.0, fraction=1 / 2, now=now)
    ]
    assert len(sent) <= 4.0 / 2


@settings(deadline=None, max_examples=60)
@given(
    per_s=st.floats(0, 50),
    instances=st.integers(1, 200),
    changes=st.lists(
        st.tuples(
            st.integers(0, 16_000),
            st.sampled_from(["lost", "found", "next", "some"]),
        ),
        max_size=8,
    ),
    every_ms=st.integers(50, 400),
)
def test_instances_stay_within_a_limit_across_coordinator_changes(
    per_s, instances, changes, every_ms
):
    """Guards against a limit that is exceeded when the coordinator changes or is lost.

    All instances send as much as they are granted at every step: by the ledger of the
    coordinator, or without one by their own buckets. ``some``: every second instance
    is disconnected, and the ledger grants the rest.
    """
    ledger = RateLimitLedger()
    ledger.set_limit("s0", per_s, now=0)
    local_limits = [LocalRateLimits() for _ in range(instances)]
    linked = set(range(instances))
    steps = sorted(changes)
    sent = []
    for now in range(0, 20_000, every_ms):
        while steps and steps[0][0] <= now:
            _, change = steps.pop(0)
            if change in ("found", "next"):
                ledger = RateLimitLedger()
                ledger.reset({"s0": per_s}, now=now)
            step = {"lost": 0, "some": 2}.get(change, 1)
            linked = set(range(0, instances, step)) if step else set()
            ledger.set_refill_fraction(len(linked) / instances, now=now)
        for number in range(instances):
            if number in linked:
                wait_ms = ledger.charge("s0", now=now)
            else:
                fraction = 1 / instances
                wait_ms = local_limits[number].charge(
                    "s0", per_s, fraction=fraction, now=now
                )
            if not wait_ms:
                sent.append(now)
    assert find_max_sent(sent) <= get_allowed(per_s)
