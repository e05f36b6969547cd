"""What an instance concludes of parts of prompts at crashes of servers."""

import itertools
import time

import pytest

from arbutuspulley.delivery.crash_records import (
    AT_ONCE_MS,
    FIRST_RETRIAL_DELAY_MS,
    MAX_CRASHES,
    MAX_MARKS,
    MAX_RETRIALS,
    MAX_SUSPECTS,
    RETRIAL_DELAY_MS,
    RETRIAL_POLL_MS,
    UNEXPLAINED_RETRIAL_DELAY_MS,
    CrashRecords,
)
from arbutuspulley.delivery.part_records import MAX_CRASHES_OF_ANSWERED, PartRecords
from arbutuspulley.delivery.suspects import QUARANTINE_MS


class Crashes:
    """Records of one instance, and the crashes that it has recorded."""

    def __init__(self):
        self.requests = CrashRecords()
        self.records = PartRecords(requests=self.requests)
        self.news = []
        self.now = 0
        self._numbers = itertools.count()

    def crash(self, *prompts, times=1):
        """Crash a server under some prompts; ``abc`` has the parts a, b and c."""
        for _ in range(times):
            incarnation = f"s{next(self._numbers)}"
            known = [self.records.count_crashes(parts) for parts in prompts]
            for parts, counts in zip(prompts, known, strict=True):
                self.news += self.records.record(
                    parts, incarnation=incarnation, known=counts, now=self.now
                )

    def answer(self, parts):
        self.news += self.records.clear(parts, now=self.now)

    @property
    def guilty(self):
        return set(self.records.list_guilty())

    def get_wait_ms(self, parts, *, may_retry=True):
        found = self.records.find_quarantined(parts, may_retry=may_retry, now=self.now)
        return 0 if found is None else found.wait_ms


def test_a_part_is_quarantined_after_three_crashes_in_turn():
    """Guards against requests that are never alike and crash servers for ever."""
    crashes = Crashes()
    for _ in range(MAX_CRASHES):
        assert crashes.guilty == set()
        crashes.crash("f")
    assert crashes.guilty == {"f"}
    assert crashes.get_wait_ms("cf") >= UNEXPLAINED_RETRIAL_DELAY_MS
    assert crashes.get_wait_ms("x") == 0


def test_crashes_at_once_count_as_one():
    """Guards against parts that are refused because a power failure ended all servers
    with them in flight."""
    crashes = Crashes()
    for number in range(9):
        crashes.records.record("a", incarnation=f"s{number}", known=(0,), now=0)
    assert crashes.records.count_crashes("a") == (1,)
    assert crashes.guilty == set()


def test_an_answer_acquits_all_parts_of_its_prompt():
    """Guards against a part that all share, which is in flight at every crash."""
    crashes = Crashes()
    for _ in range(9):
        crashes.crash("af", times=2)
        crashes.answer("ab")
    assert crashes.guilty == {"f"}
    assert crashes.get_wait_ms("ab") == 0


@pytest.mark.parametrize("others", ["", "a", "ab"])
def test_the_last_of_the_parts_that_are_at_the_same_crashes_is_blamed(others):
    """Guards against refusing the prompts of all who share the parts before it, when
    none of them has been answered yet."""
    crashes = Crashes()
    crashes.crash(others + "f", times=MAX_CRASHES)
    assert crashes.guilty == {"f"}
    assert crashes.get_wait_ms("abx") == 0


def test_a_part_that_was_never_answered_is_blamed_before_one_that_was():
    """Guards against blaming a part that many prompts share for the crashes under a
    rare one before it."""
    crashes = Crashes()
    crashes.answer("c")
    crashes.crash("afc", times=MAX_CRASHES_OF_ANSWERED)
    assert crashes.guilty == {"f"}


def test_a_part_that_was_answered_before_is_quarantined_later():
    """Guards against a part that is refused because three crashes in a row, of other
    causes, had it in flight; and against one that crashes servers all the same."""
    crashes = Crashes()
    crashes.answer("a")
    crashes.crash("a", times=MAX_CRASHES_OF_ANSWERED - 1)
    assert crashes.guilty == set()
    crashes.crash("a")
    assert crashes.guilty == {"a"}
    assert RETRIAL_DELAY_MS <= crashes.get_wait_ms("a") <= 2 * RETRIAL_DELAY_MS


def test_the_cause_is_found_if_another_part_was_blamed_first():
    """Guards against a wrong verdict that is never corrected."""
    crashes = Crashes()
    crashes.crash("fe", times=MAX_CRASHES)
    assert crashes.guilty == {"e"}
    crashes.crash("fd", times=MAX_CRASHES)
    assert crashes.guilty == {"f"}
    assert crashes.get_wait_ms("ce") == 0


def test_two_causes_are_blamed_and_not_what_both_have_beside_them():
    """Guards against blaming the one part that is at the crashes of both."""
    crashes = Crashes()
    crashes.answer("a")
    for _ in range(MAX_CRASHES):
        crashes.crash("af")
        crashes.crash("ae")
    assert crashes.guilty == {"f", "e"}


def test_bystanders_of_a_crash_are_not_blamed():
    """Guards against parts of harmless prompts that were on the servers that others
    crashed."""
    crashes = Crashes()
    crashes.crash("af", "ab", times=2)
    crashes.crash("af", "ab", "ac")
    crashes.crash("af")
    assert crashes.guilty == {"f"}
    crashes.answer("b")
    assert not crashes.records.needs_trial("b")


def test_crashes_under_a_quarantined_request_are_explained_by_it():
    """Guards against a part that is refused because one request with it, which came
    again and again, crashed servers by what else it holds."""
    crashes = Crashes()
    for known in range(MAX_CRASHES):
        crashes.requests.record("r", incarnation=f"s{known}", known=known, now=0)
        crashes.crash("f")
    assert crashes.guilty == set()
    crashes.crash("f", times=MAX_CRASHES)
    assert crashes.guilty == {"f"}


def test_a_server_that_is_heard_again_had_not_crashed():
    """Guards against a part that is refused because connections broke, not servers."""
    crashes = Crashes()
    crashes.crash("f", times=MAX_CRASHES)
    crashes.now = 10
    news = crashes.records.clear_server("s1", sent_at=5, now=crashes.now)
    assert [one.fingerprint for one in news] == ["f"]
    assert crashes.guilty == set()


def test_a_quarantined_part_is_tried_again_once_by_one_instance():
    """Guards against a harmless part that is refused for hours, and against one that is
    tried again and again, or by all instances at once."""
    crashes = Crashes()
    crashes.crash("f", times=MAX_CRASHES)
    crashes.now += 2 * UNEXPLAINED_RETRIAL_DELAY_MS
    assert crashes.get_wait_ms("f", may_retry=False) == RETRIAL_POLL_MS
    assert crashes.get_wait_ms("f") == 0
    assert crashes.records.needs_trial("f")
    crashes.crash("f", times=MAX_RETRIALS)
    assert crashes.get_wait_ms("f") == QUARANTINE_MS
    crashes.answer("f")
    assert crashes.get_wait_ms("f") == 0


def test_a_part_that_was_on_servers_that_crashed_at_once_is_tried_again_soon():
    """Guards against a harmless part that is refused for minutes because power failures
    ended all servers before any of them had answered, and against one that crashes
    servers and is tried every few seconds."""
    crashes = Crashes()
    for number in range(3):
        crashes.records.record("f", incarnation=f"p{number}", known=(0,), now=0)
    for _ in range(MAX_CRASHES - 1):
        crashes.now += 2 * AT_ONCE_MS
        crashes.crash("f")
    assert crashes.guilty == {"f"}
    assert crashes.get_wait_ms("f") <= 2 * FIRST_RETRIAL_DELAY_MS
    crashes.now += 2 * FIRST_RETRIAL_DELAY_MS
    assert crashes.get_wait_ms("f", may_retry=False) == RETRIAL_POLL_MS
    crashes.crash("f")
    wait_ms = crashes.get_wait_ms("f")
    assert UNEXPLAINED_RETRIAL_DELAY_MS <= wait_ms <= 2 * UNEXPLAINED_RETRIAL_DELAY_MS
    crashes.crash("f")
    assert crashes.get_wait_ms("f") == QUARANTINE_MS


def test_servers_that_crashed_one_after_the_other_are_no_power_failure():
    """Guards against a part that crashes one more server because copies of it, sent
    before a crash was known, crashed theirs later."""
    crashes = Crashes()
    for number in range(3):
        crashes.now += 2 * AT_ONCE_MS
        crashes.records.record(
            "f", incarnation=f"p{number}", known=(0,), now=crashes.now
        )
    for _ in range(MAX_CRASHES - 1):
        crashes.now += 2 * AT_ONCE_MS
        crashes.crash("f")
    assert crashes.guilty == {"f"}
    assert crashes.get_wait_ms("f") >= UNEXPLAINED_RETRIAL_DELAY_MS


@pytest.mark.parametrize(
    ("answered", "crashed", "is_on_trial"),
    [("", 1, False), ("", 2, True), ("f", 2, False)],
)
def test_prompts_with_a_suspect_part_are_sent_one_at_a_time(
    answered, crashed, is_on_trial
):
    """Guards against a part that crashes many servers at once, and against serialising
    all prompts that share a part that is known to be answered."""
    crashes = Crashes()
    crashes.answer(answered)
    crashes.crash("f", times=crashed)
    assert crashes.records.needs_trial("f") is is_on_trial


def test_all_instances_conclude_the_same_whatever_the_order_of_the_news():
    """Guards against instances of which some refuse a part and others send it."""
    crashes = Crashes()
    crashes.answer("c")
    crashes.crash("afc", "ab")
    crashes.answer("a")
    crashes.crash("afd", "ac", times=2)
    crashes.crash("bf", "ad", times=2)
    for order in itertools.islice(itertools.permutations(crashes.news), 0, 40_000, 97):
        other = Crashes()
        other.records.merge(order, now=0)
        assert other.records.list_guilty() == crashes.records.list_guilty()


def test_what_is_known_tells_nothing_new():
    """Guards against news that instances send round although all know them."""
    crashes = Crashes()
    crashes.crash("af", "af")
    assert len(crashes.news) == 2
    assert crashes.records.merge(crashes.news, now=0) == ()
    crashes.answer("a")
    assert len(crashes.news) == 3
    crashes.answer("a")
    assert len(crashes.news) == 3


def test_news_of_a_part_stay_small():
    """Guards against messages that grow with each crash under a part that all share."""
    crashes = Crashes()
    for _ in range(40):
        crashes.crash("a")
        crashes.answer("a")
    assert {len(one.deaths) for one in crashes.news} == {1}


def test_parts_are_bounded_and_the_worst_are_kept():
    """Guards against memory that grows with each crash."""
    crashes = Crashes()
    crashes.crash(["worst"], times=MAX_CRASHES)
    for number in range(MAX_SUSPECTS + 10):
        crashes.crash([f"{number:x}"])
        assert len(crashes.records) <= MAX_SUSPECTS
    assert crashes.guilty == {"worst"}


def test_a_quarantine_expires():
    """Guards against verdicts that outlive their records."""
    crashes = Crashes()
    crashes.crash("f", times=MAX_CRASHES)
    crashes.now += QUARANTINE_MS + 1
    crashes.crash("x")
    assert crashes.guilty == set()
    assert crashes.get_wait_ms("f") == 0


@pytest.mark.alone
def test_many_suspects_are_judged_soon():
    """Guards against verdicts that hold up all requests, as they take seconds where
    many parts were at crashes."""
    crashes = Crashes()
    for number in range(MAX_SUSPECTS):
        crashes.crash([f"{number:x}"], times=MAX_CRASHES)
    assert len(crashes.records) == MAX_SUSPECTS
    started = time.process_time()
    assert len(crashes.guilty) == MAX_SUSPECTS
    assert time.process_time() - started < 1.0


def test_a_quarantined_part_that_was_answered_before_is_tried_alone():
    """Guards against crashing many servers at once as such a part is tried again."""
    crashes = Crashes()
    crashes.answer("f")
    crashes.crash("f", times=MAX_CRASHES_OF_ANSWERED)
    assert crashes.records.needs_trial("f")


def test_what_others_explain_since_it_was_counted_is_counted_again():
    """Guards against blaming a part by crashes of which others turned out to be the
    cause."""
    crashes = Crashes()
    crashes.crash("f", times=4)
    crashes.crash("fe", times=3)
    crashes.crash("ed", times=3)
    crashes.crash("d", times=2)
    assert crashes.guilty == {"f", "d"}


def test_the_place_of_a_part_is_kept_whatever_is_forgotten_of_it():
    """Guards against blaming a part before those that come later in the prompt, after
    so many crashes that not all of them are kept."""
    crashes = Crashes()
    for _ in range(2 * MAX_MARKS):
        crashes.crash("af")
        crashes.answer("af")
    assert crashes.records.get_position("f") == 1
