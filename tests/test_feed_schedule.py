"""Schedule of long polls: how soon a silent store shows, and at how many calls."""

import heapq
import itertools

from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.node.feed_schedule import MAX_GAP_MS, FeedSchedule
from arbutuspulley.node.store_watch import CHANGE_BATCH_MS
from arbutuspulley.platform.store import FEED_TIMEOUT_MARGIN_S

PAUSES_MS = {"op": 0, "servers": CHANGE_BATCH_MS}
"""Pause after each answer, in ms, by table."""

ACTIVATION_LIMIT_MS = 2_000
"""Time within which a change has to be active everywhere, in ms, on the deployments
with the lowest bound."""

OLD_CALLS_PER_S = 1 + 1 / 1.4
"""Calls per second of an instance whose polls each wait 1 s, with the same pauses."""


def simulate(begins, changes, *, until):
    """Play the polls of one instance at a store that answers without delay.

    :param begins: time of the first poll by table, in ms.
    :param changes: changes as ``(time, table)``; each answers the poll that waits.
    :return: times of the answers, and of the polls that were sent.
    """
    schedule = FeedSchedule()
    sent, answered, polls = [], [], {}
    numbers = itertools.count()
    queue = [(at, next(numbers), "begin", table, 0) for table, at in begins.items()]
    queue += [(at, next(numbers), "change", table, 0) for at, table in changes]
    heapq.heapify(queue)
    while queue:
        now, _, what, table, poll = heapq.heappop(queue)
        if now >= until:
            break
        if what == "begin":
            polls[table] = next(numbers)
            sent.append(now)
            end = now + schedule.begin(table, now=now)
            heapq.heappush(queue, (end, next(numbers), "end", table, polls[table]))
        elif table in polls and (what == "change" or poll == polls[table]):
            del polls[table]
            schedule.record_answer(now=now)
            schedule.finish(table)
            answered.append(now)
            again = now + PAUSES_MS[table]
            heapq.heappush(queue, (again, next(numbers), "begin", table, 0))
    return answered, sent


BEGINS = st.fixed_dictionaries(
    {"op": st.integers(0, 1_500), "servers": st.integers(0, 1_500)}
)


@given(
    begins=BEGINS,
    changes=st.lists(
        st.tuples(st.integers(0, 20_000), st.sampled_from(["op", "servers"])),
        max_size=60,
    ),
)
def test_a_silent_store_shows_within_half_of_the_activation_limit(begins, changes):
    """Guards against followers that need most of the time in which a change has to be
    active to notice that the store has fallen silent."""
    answered, _ = simulate(begins, changes, until=20_000)
    both_begun = max(begins.values())
    settled = [at for at in answered if at > both_begun]
    gaps = [later - at for at, later in itertools.pairwise(settled)]
    assert max(gaps) <= MAX_GAP_MS
    assert max(gaps) + FEED_TIMEOUT_MARGIN_S * 1_000 <= ACTIVATION_LIMIT_MS / 2


@given(begins=BEGINS)
def test_polls_by_turns_take_no_more_calls(begins):
    """Guards against an early notice that is bought by more calls to the store."""
    _, sent = simulate(begins, [], until=60_000)
    settled = [at for at in sent if at >= 10_000]
    assert len(settled) / 50 <= OLD_CALLS_PER_S + 0.02


def test_a_poll_that_failed_does_not_count_as_an_answer():
    schedule = FeedSchedule()
    schedule.record_answer(now=0)
    schedule.begin("op", now=0)
    schedule.finish("op")
    schedule.begin("servers", now=300)
    assert schedule.begin("op", now=400) == MAX_GAP_MS - 400
