"""Promises to callers over pairs of troubles, on whole instances in virtual time."""

import collections
import itertools

import pytest

from scripts.platform_testbed import FULL_STREAM
from tests.virtual_plans import END_S, KINDS, Plan, Sent, Trouble, draw_plan, play
from tests.virtual_promises import list_broken

PAIRS = list(itertools.combinations_with_replacement(KINDS, 2))


@pytest.mark.parametrize("kinds", PAIRS, ids="-".join)
def test_promises_hold_over_each_pair_of_troubles(tmp_path, kinds):
    """Guards against guards of one trouble that break a promise beside another."""
    plan = draw_plan(0, kinds)
    assert list_broken(play(tmp_path, plan)) == {}, plan


class Trace:
    """A play that was not played."""

    def __init__(self):
        self.fleet = self
        self.plan = Plan(seed=0, troubles=())
        self.sent = {}
        self.troubled_until = {"n1": 0.0}
        self.guilty_crashes = [1.0, 2.0, 3.0, 4.0, 5.0]
        self.runs = collections.Counter()
        self.arrivals = []

    def count_runs(self, attempt):
        return self.runs[attempt]

    def list_arrivals(self):
        return self.arrivals

    def add(self, *, at_s=20.0, path="/chat/x", is_guilty=False, runs=1, **answer):
        """Add a request and its runs at servers."""
        attempt = f"a{len(self.sent)}"
        answer = {"status": 200, "body": FULL_STREAM, "is_over": True, **answer}
        self.sent[attempt] = Sent(
            at_s=at_s, name="n1", path=path, is_guilty=is_guilty, **answer
        )
        self.runs[attempt] = runs
        self.arrivals += [(at_s, attempt)] * runs


BROKEN = {
    "find_repeated": {"path": "/book/x", "runs": 2},
    "find_run_though_refused": {"path": "/book/x", "status": 503},
    "find_incomplete": {"body": FULL_STREAM[:-5]},
    "find_late_guilty": {"at_s": 8.1, "is_guilty": True, "status": 502},
    "find_unserved": {"at_s": END_S - 1, "status": 503},
    "find_cut_by_planned_work": {"status": None},
    "find_unanswered": {"is_over": False},
}


@pytest.mark.parametrize("promise", BROKEN)
def test_a_trace_that_breaks_a_promise_is_found(promise):
    """Guards against a check that passes whatever it sees."""
    trace = Trace()
    trace.add()
    trace.add(path="/book/x", status=503, runs=0)
    trace.add(at_s=7.9, is_guilty=True, status=502)
    assert list_broken(trace) == {}
    for _ in range(4):
        trace.add(**BROKEN[promise])
    assert list(list_broken(trace)) == [promise]


def test_callers_of_an_instance_that_hangs_are_found(tmp_path):
    """Guards against a check that no play can fail, as each caller stops waiting."""
    freeze = Trouble(kind="freeze", at_s=10.0, for_s=20.0)
    played = play(tmp_path, Plan(seed=1, troubles=(freeze,)))
    assert "find_unanswered" in list_broken(played)


def test_a_machine_out_of_touch_may_send_guilty_requests_late():
    trace = Trace()
    trace.troubled_until["n1"] = 6.0
    for _ in range(4):
        trace.add(at_s=8.9, is_guilty=True, status=502)
    assert list_broken(trace) == {}
