"""Rate limits that backend servers name in their answers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutuspulley.admission.rate_limits import (
    MAX_RECHECK_MS,
    MAX_UNLISTED,
    WINDOW_MS,
    KnownRateLimits,
    LocalRateLimits,
    RateLimitLedger,
    get_tolerance,
)
from arbutuspulley.platform import names
from arbutuspulley.platform.requests import read_server_limit


def test_an_answer_names_a_limit_or_none():
    assert read_server_limit({}) is None
    assert read_server_limit({names.SERVER_LIMIT: "1.25"}) == 1.25
    assert read_server_limit({names.SERVER_LIMIT: "0"}) == 0


@pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf"])
def test_a_limit_that_is_no_number_is_refused(text):
    with pytest.raises(ValueError):
        read_server_limit({names.SERVER_LIMIT: text})


def test_a_limit_holds_until_a_later_request_is_answered_without_it():
    table = KnownRateLimits()
    assert table.update_from_answer("s0", 2.0, sent_at=0, now=100)
    assert not table.update_from_answer("s0", 2.0, sent_at=50, now=150)
    assert table.update_from_answer("s0", None, sent_at=120, now=200)
    assert table.get("s0") is None


def test_an_answer_from_before_a_limit_does_not_lift_it():
    """An answer that was made before the server was in need comes after one that names
    its limit, by another connection."""
    table = KnownRateLimits()
    table.update_from_answer("s0", 2.0, sent_at=0, now=100)
    assert not table.update_from_answer("s0", None, sent_at=90, now=110)
    assert not table.update_from_answer("s0", 5.0, sent_at=90, now=110)
    assert table.get("s0") == 2.0


def test_a_lower_limit_counts_at_once():
    table = KnownRateLimits()
    table.update_from_answer("s0", 2.0, sent_at=0, now=100)
    assert table.update_from_answer("s0", 1.0, sent_at=90, now=110)
    assert table.get("s0") == 1.0


def test_a_limit_outlasts_an_entry_that_lapses():
    """Guards against a server in need that is sent all again as its entry is back."""
    table = KnownRateLimits()
    table.update_from_answer("s0", 2.0, sent_at=0, now=100)
    table.evict_unlisted({})
    assert table.get("s0") == 2.0


def test_the_limits_of_servers_long_gone_are_forgotten():
    table = KnownRateLimits()
    for number in range(MAX_UNLISTED + 2):
        table.update_from_answer(f"s{number}", 2.0, sent_at=0, now=100)
    table.evict_unlisted({"s1"})
    assert table.get("s0") is None
    assert table.get("s1") == 2.0
    assert len(table.list_limits()) == MAX_UNLISTED + 1


def find_most_sent(sent):
    """Return the most requests that were sent in any window."""
    return max(
        (sum(begin <= at < begin + WINDOW_MS for at in sent) for begin in sent),
        default=0,
    )


def get_allowed(per_s):
    return 1.5 * per_s * WINDOW_MS / 1_000 + 5


def test_a_ledger_gives_out_what_the_server_takes_and_little_at_once():
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 2.0, now=0)
    assert ledger.charge("s0", now=0) == 500
    sent = [now for now in range(0, 10_000, 10) if not ledger.charge("s0", now=now)]
    assert 19 <= len(sent) <= 20
    burst = [now for now in range(30_000, 30_100) if not ledger.charge("s0", now=now)]
    assert len(burst) == int(get_tolerance(2.0))


def test_what_instances_without_a_coordinator_may_use_is_not_given_out():
    """Guards against a limit that is used twice while some instances are cut off."""
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 4.0, now=0)
    ledger.set_refill_fraction(0.5, now=0)
    ledger.set_refill_fraction(0.5, now=0)
    sent = [now for now in range(0, 10_000, 10) if not ledger.charge("s0", now=now)]
    assert 19 <= len(sent) <= 20


def test_a_server_that_names_no_limit_gets_all():
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 1.0, now=0)
    assert ledger.set_limit("s0", None, now=10)
    assert not ledger.set_limit("s0", None, now=10)
    assert [ledger.charge("s0", now=10) for _ in range(50)] == [0] * 50


def test_a_server_that_takes_nothing_is_still_asked_now_and_then():
    """Guards against a limit that is never lifted, as only an answer can lift it."""
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 0.0, now=0)
    sent = [now for now in range(0, 20_000, 10) if not ledger.charge("s0", now=now)]
    assert 4 <= len(sent) <= 5
    assert find_most_sent(sent) <= get_allowed(0)


def test_a_lowered_limit_takes_away_what_had_been_saved():
    ledger = RateLimitLedger()
    ledger.set_limit("s0", 20.0, now=0)
    ledger.set_limit("s0", 1.0, now=10_000)
    sent = [now for now in range(10_000, 14_000) if not ledger.charge("s0", now=now)]
    assert len(sent) <= 4 + get_tolerance(1.0)


def test_a_part_of_a_bucket_that_holds_no_request_lets_none_through():
    """Guards against many instances without a coordinator that each round up."""
    rates = [LocalRateLimits() for _ in range(60)]
    sent = [
        now
        for now in range(0, 8_000, 50)
        for one in rates
        if not one.charge("s0", 1.0, fraction=1 / 60, now=now)
    ]
    assert sent == []
    assert rates[0].charge("s0", 1.0, fraction=1 / 60, now=8_000) == MAX_RECHECK_MS


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
def test_all_together_stay_within_a_limit_as_coordinators_come_and_go(
    per_s, instances, changes, every_ms
):
    """Guards against a limit that is exceeded as the coordinator changes or is lost.

    All instances ask for as much as they can get, at every step: with a coordinator
    through its ledger, without one through their own buckets. ``some``: every second
    instance is cut off, and the coordinator gives out the rest.
    """
    ledger = RateLimitLedger()
    ledger.set_limit("s0", per_s, now=0)
    local = [LocalRateLimits() for _ in range(instances)]
    linked = set(range(instances))
    steps = sorted(changes)
    sent = []
    for now in range(0, 20_000, every_ms):
        while steps and steps[0][0] <= now:
            _, change = steps.pop(0)
            if change in ("found", "next"):
                ledger = RateLimitLedger()
                ledger.reset({"s0": per_s}, now=now)
            kept = {"lost": 0, "some": 2}.get(change, 1)
            linked = set(range(0, instances, kept)) if kept else set()
            ledger.set_refill_fraction(len(linked) / instances, now=now)
        for number in range(instances):
            if number in linked:
                wait_ms = ledger.charge("s0", now=now)
            else:
                part = 1 / instances
                wait_ms = local[number].charge("s0", per_s, fraction=part, now=now)
            if not wait_ms:
                sent.append(now)
    assert find_most_sent(sent) <= get_allowed(per_s)
