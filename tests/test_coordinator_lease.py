"""The coordinator's lease on the store's clock: claims, orders, expiry and release."""

import msgspec
import pytest

from arbutuspulley.membership.coordinator_lease import (
    EXPIRY_MARGIN_MS,
    FENCES_PER_ERA,
    UNANSWERED_ORDER_WAIT_MS,
    CoordinatorLeaseState,
    build_claim,
    build_release,
    confirm_claim,
    get_claim_wait_ms,
    get_free_ms,
    get_inherited_loads,
    get_order_window_ms,
    is_holder,
    is_own_row,
    mark_lost,
    may_order,
    may_order_during_outage,
    update_era,
    update_row,
    update_store_clock,
)


def build_state(name, *, offset):
    state = CoordinatorLeaseState(
        name=name, link=f"{name}:1", boot=f"{name}-boot", lease_ms=3_000
    )
    update_store_clock(state, offset, now=0)
    return state


def encode(row):
    return msgspec.json.encode(row)


def claim_lease(state, *, now, version=1):
    row = build_claim(state, now=now)
    store_ms = now + state.offset_ms
    confirm_claim(state, row, version=version, sent_at=now, store_ms=store_ms)
    return row


def test_two_holders_never_give_orders_at_once():
    """A holder is paused; another instance, whose clock differs by hours, takes over.

    It grants servers after half a lease. At no time on the store's clock may both give
    orders.
    """
    old, new = build_state("old", offset=1_000), build_state("new", offset=90_000_000)
    row = claim_lease(old, now=0)
    update_row(new, encode(row), version=1)
    assert get_claim_wait_ms(new, now=2_499 - 90_000_000) == 1
    taken_at = 2_500 - 90_000_000
    assert get_claim_wait_ms(new, now=taken_at) == 0
    claim_lease(new, now=taken_at, version=2)
    assert is_holder(new, now=taken_at)
    for store in range(1_000, 6_000, 10):
        old_may = may_order(old, now=store - 1_000)
        new_may = may_order(new, now=store - 90_000_000)
        assert not (old_may and new_may)
    assert may_order(new, now=4_000 - 90_000_000)


@pytest.mark.parametrize("late_ms", [0, 30, 400, 1_500, 2_900])
def test_reading_the_stores_clock_late_does_not_extend_the_lease(late_ms):
    """All instances lose power. The first one to restart is so busy that it reads the
    store's answer over a second late, estimates the store's clock too low by that time,
    and writes a lease that expires earlier than it assumes. Another one takes over and
    gives orders while the first still does: a server that checks no fences carries out
    the orders of both.
    """
    old, new = (
        build_state("old", offset=1_000 - late_ms),
        build_state("new", offset=1_000),
    )
    row = build_claim(old, now=100)
    confirm_claim(old, row, version=1, sent_at=100, store_ms=1_103)
    update_row(new, encode(row), version=1)
    claimed_at = next(
        t for t in range(100, 9_000) if get_claim_wait_ms(new, now=t) == 0
    )
    claim_lease(new, now=claimed_at, version=2)
    for now in range(claimed_at, 9_000):
        assert not (may_order(old, now=now) and may_order(new, now=now))


def test_inherited_loads_are_converted_to_the_successors_clock():
    """The weight store's rate limit counts the loads of all holders over 5 s."""
    old, new = build_state("old", offset=1_000), build_state("new", offset=90_000)
    row = build_claim(old, now=500, loads={"llm": [100, 400]})
    update_row(new, encode(row), version=1)
    inherited = get_inherited_loads(new)
    assert inherited.loads == {"llm": [100 - 89_000, 400 - 89_000]}
    assert inherited.unknown_until == 3_500 - 89_000
    update_row(new, encode(build_release(old, now=600)), version=2)
    assert get_inherited_loads(new).unknown_until is None


def test_a_row_of_an_earlier_version_has_no_loads():
    state = build_state("a", offset=0)
    assert get_inherited_loads(state).loads == {}
    value = b'{"holder": "b", "link": "b:1", "boot": "x", "fence": 3, "expires_ms": 9}'
    update_row(state, value, version=4)
    assert get_inherited_loads(state).unknown_until == 9


def test_the_order_window_ends_with_the_lease():
    state = build_state("a", offset=0)
    claim_lease(state, now=0)
    assert get_order_window_ms(state, now=2_500) == 3_000 - EXPIRY_MARGIN_MS - 2_500
    assert get_order_window_ms(state, now=2_600) == 0


def test_orders_wait_for_the_latest_expiry_of_previous_leases():
    """Three instances take over from each other within one lease; the first one may
    still give orders when the third one holds the lease."""
    first, second, third = (build_state(name, offset=0) for name in "abc")
    update_row(second, encode(claim_lease(first, now=0)), version=1)
    update_row(third, encode(claim_lease(second, now=1_500, version=2)), version=2)
    row = claim_lease(third, now=3_000, version=3)
    assert row.orders_from_ms == 4_500


def test_a_renewal_does_not_postpone_orders():
    old, new = build_state("a", offset=0), build_state("b", offset=0)
    update_row(new, encode(claim_lease(old, now=0)), version=1)
    claim_lease(new, now=1_500, version=2)
    renewed = claim_lease(new, now=2_400, version=3)
    assert renewed.orders_from_ms == 3_000


def test_a_suspended_holder_finds_its_lease_expired():
    state = build_state("old", offset=0)
    claim_lease(state, now=0)
    assert is_holder(state, now=3_000 - EXPIRY_MARGIN_MS - 1)
    assert not is_holder(state, now=3_000 - EXPIRY_MARGIN_MS)


def test_each_new_holder_has_a_higher_fence_and_a_renewal_keeps_it():
    first, second = build_state("a", offset=0), build_state("b", offset=0)
    row = claim_lease(first, now=0)
    assert claim_lease(first, now=900, version=2).fence == row.fence == 1
    update_row(second, encode(first.row), version=2)
    assert claim_lease(second, now=9_000, version=3).fence == 2


def test_a_restarted_holder_claims_at_once_with_a_higher_fence():
    """The coordinator's process is killed and restarts: orders of the old process may
    still arrive, so the fencing token must increase."""
    old = build_state("a", offset=0)
    row = claim_lease(old, now=0)
    again = build_state("a", offset=0)
    update_row(again, encode(row), version=1)
    assert get_claim_wait_ms(again, now=100) == 0
    assert build_claim(again, now=100).fence == 2


def test_a_released_lease_is_free_at_once_and_keeps_its_fence():
    old, new = build_state("a", offset=0), build_state("b", offset=0)
    claim_lease(old, now=0)
    update_row(new, encode(build_release(old, now=500)), version=2)
    assert get_claim_wait_ms(new, now=500) == 0
    assert build_claim(new, now=500).fence == 2


def test_a_lease_of_another_holder_is_not_released():
    """A coordinator is partitioned from all others; another one claims the lease. When
    the partition healed, the first one, which had been without peers for two seconds,
    released a lease that was no longer its own: it overwrote the other holder's row,
    and two holders got the same fencing token.
    """
    old, new = build_state("a", offset=0), build_state("b", offset=0)
    update_row(new, encode(claim_lease(old, now=0)), version=1)
    assert is_own_row(old)
    claimed = claim_lease(new, now=4_000, version=2)
    update_row(old, encode(claimed), version=2)
    assert not is_own_row(old)


def test_the_lease_cannot_be_claimed_without_the_stores_clock():
    state = CoordinatorLeaseState(name="a", link="a:1", boot="x", lease_ms=3_000)
    assert get_claim_wait_ms(state, now=0) is None


@pytest.mark.parametrize("value", [b"", b"{", b'{"holder": 1}', None])
def test_an_invalid_row_counts_as_no_holder(value):
    state = build_state("a", offset=0)
    update_row(state, value, version=7)
    assert state.row is None
    assert state.version == 7
    assert get_claim_wait_ms(state, now=0) == 0


def test_the_fastest_answer_sets_the_clock():
    """A slow answer has an outdated time. If it were used, the own lease would seem to
    last longer than it does for other instances."""
    state = build_state("a", offset=1_000)
    update_store_clock(state, 1_400, now=500)
    assert state.offset_ms == 1_000


@pytest.mark.parametrize(
    ("store_unavailable", "known_instances", "expected"),
    [
        ([True, True, True, True], 6, True),
        ([True, True, True], 6, False),
        ([True, True, False, True], 6, False),
        ([True], 1, False),
        ([True, True], 2, True),
    ],
)
def test_orders_continue_only_while_the_store_is_unavailable_to_most(
    store_unavailable, known_instances, expected
):
    """The store is unavailable for 8 s, and a server with the only copies of two models
    is lost. The coordinator's lease expired, and it loaded nothing until the end of the
    outage, though no other instance could have claimed the lease."""
    state = build_state("a", offset=0)
    claim_lease(state, now=0)
    assert (
        may_order_during_outage(
            state, store_unavailable=store_unavailable, known_instances=known_instances
        )
        is expected
    )


def test_orders_never_continue_for_a_replaced_holder():
    never, old, new = (build_state(name, offset=0) for name in "abc")
    assert not may_order_during_outage(
        never, store_unavailable=[True, True], known_instances=2
    )
    update_row(new, encode(claim_lease(old, now=0)), version=1)
    update_row(old, encode(claim_lease(new, now=4_000, version=2)), version=2)
    assert not may_order_during_outage(
        old, store_unavailable=[True, True], known_instances=2
    )


@pytest.mark.parametrize(
    ("has_unanswered_order", "pause_ms"), [(False, 0), (True, UNANSWERED_ORDER_WAIT_MS)]
)
def test_an_unanswered_order_delays_the_successors_orders(
    has_unanswered_order, pause_ms
):
    """A holder steps down while one of its orders is in flight on a congested link. Its
    successor gave orders at once, and the older order arrived after them: a server that
    checks no fences carried out both, the older one last."""
    old, new = build_state("old", offset=0), build_state("new", offset=0)
    update_row(old, encode(claim_lease(old, now=0)), version=1)
    release = build_release(old, now=1_000, has_unanswered_order=has_unanswered_order)
    update_row(new, encode(release), version=2)
    assert get_claim_wait_ms(new, now=1_000) == 0
    claim_lease(new, now=1_000, version=3)
    assert is_holder(new, now=1_000)
    assert may_order(new, now=1_000 + pause_ms)
    assert may_order(new, now=1_000) is not has_unanswered_order


def test_get_free_ms_counts_from_expiry_or_release():
    old, new = build_state("old", offset=0), build_state("new", offset=5_000)
    assert get_free_ms(new, now=0) > 1 << 20
    update_row(new, encode(claim_lease(old, now=5_000)), version=1)
    assert get_free_ms(new, now=1_000) == 0
    # Half a lease after the last renewal, on the store's clock.
    assert get_free_ms(new, now=1_700) == 200
    release = build_release(old, now=6_600)
    update_row(new, encode(release), version=2)
    assert get_free_ms(new, now=1_700) == 100


def build_copied(name, row, *, offset, era=2, now=0):
    """Build the state of a process that has read a row of an earlier era."""
    state = build_state(name, offset=offset)
    update_era(state, era, now=now)
    update_store_clock(state, now + offset, now=now)
    update_row(state, encode(row), version=5)
    return state


@pytest.mark.parametrize("holder", ["b", "a", ""], ids=["other", "own", "released"])
def test_a_copied_row_is_claimed_half_a_lease_after_the_era_began(holder):
    """Guards against a claim while an instance that has renewed the lease since the
    copy was made, also after one of this name, still has it."""
    row = build_claim(build_state("b", offset=0), now=-60_000)
    state = build_copied("a", msgspec.structs.replace(row, holder=holder), offset=0)
    assert get_claim_wait_ms(state, now=0) == 1_500
    assert get_claim_wait_ms(state, now=1_500) == 0
    assert get_free_ms(state, now=1_600) == 100
    claim_lease(state, now=1_500)
    assert not may_order(state, now=2_999)
    assert may_order(state, now=3_000)


def test_a_copied_row_that_still_runs_is_respected():
    """Guards against a claim before the expiry of a lease that an instance of an
    earlier release, which writes no row for the era, holds or has held."""
    state = build_copied("a", build_claim(build_state("b", offset=0), now=0), offset=0)
    update_row(
        state, encode(build_claim(build_state("b", offset=0), now=9_000)), version=9
    )
    assert get_claim_wait_ms(state, now=9_500) == 1_000
    claim_lease(state, now=10_500)
    assert not may_order(state, now=11_999)
    assert may_order(state, now=12_000)


def test_a_lease_is_claimed_in_time_though_the_stores_clock_went_back():
    """Guards against an instance that waits until the store's clock has come to the
    expiry time of a copied row, and against a lease that is timed by the old clock."""
    row = build_claim(build_state("b", offset=90_000_000), now=0)
    state = build_state("a", offset=90_000_000)
    update_era(state, 2, now=0)
    update_store_clock(state, 1_000, now=0)
    update_row(state, encode(row), version=5)
    assert get_claim_wait_ms(state, now=1_500) == 0
    claimed = claim_lease(state, now=1_500)
    assert claimed.expires_ms == 1_000 + 1_500 + 3_000
    assert may_order(state, now=3_000)
    assert not may_order(state, now=1_500 + 3_000)


def test_a_copy_without_a_row_is_no_first_start():
    """Guards against orders beside those of a holder whose first claim is lost, and
    against loads that a process refuses at the first start of a deployment."""
    first = build_state("a", offset=0)
    update_era(first, 1, now=0)
    update_store_clock(first, 0, now=0)
    assert get_claim_wait_ms(first, now=0) == 0
    assert get_inherited_loads(first).unknown_until is None
    claim_lease(first, now=0)
    assert may_order(first, now=0)
    second = build_state("b", offset=0)
    for era in (1, 2):
        update_era(second, era, now=0)
        update_store_clock(second, 0, now=0)
    assert get_claim_wait_ms(second, now=0) == 0
    assert get_inherited_loads(second).unknown_until == 3_000
    claim_lease(second, now=0)
    assert not may_order(second, now=2_500)


def test_loads_of_a_copied_row_are_unknown():
    """Guards against loads beyond the weight store's rate limit, as the rows that told
    of the last ones are lost."""
    row = build_claim(build_state("b", offset=0), now=0, loads={"llm": [5]})
    state = build_copied("a", row, offset=0, now=100)
    inherited = get_inherited_loads(state)
    assert (inherited.loads, inherited.unknown_until) == ({}, 3_100)


def test_fences_of_an_era_are_above_those_of_earlier_eras():
    """Guards against a fence that the copy has forgotten and that is given again."""
    old = build_state("a", offset=0)
    old.fence = 7
    row = claim_lease(old, now=0)
    assert row.fence == 8
    update_era(old, 2, now=100)
    update_store_clock(old, 100, now=100)
    assert claim_lease(old, now=100).fence == 2 * FENCES_PER_ERA + 1
    assert claim_lease(old, now=900).fence == 2 * FENCES_PER_ERA + 1


class Turns:
    """Instances that follow each other as holders, on the store's clock."""

    def __init__(self):
        self.states = {name: build_state(name, offset=0) for name in "abc"}
        self.row, self.version, self.orders = None, 0, []

    def claim(self, name, *, now):
        state = self._read(name)
        assert get_claim_wait_ms(state, now=now) == 0
        self.version += 1
        self.row = claim_lease(state, now=now, version=self.version)

    def order(self, name, *, now):
        """Give an order at the earliest moment from ``now``; return that moment."""
        state = self.states[name]
        while not may_order(state, now=now):
            now += 1
            assert now < 20_000
            if now % 900 == 0:
                self.claim(name, now=now)
        self.orders.append((now, name))
        return now

    def release(self, name, *, now):
        state = self._read(name)
        given = [at for at, holder in self.orders if holder == name]
        self.row = build_release(
            state, now=now, ordered_at=given[-1] if given else None
        )
        mark_lost(state)
        self.version += 1

    def restart(self, name):
        self.states[name] = build_state(name, offset=0)

    def _read(self, name):
        state = self.states[name]
        if self.row is not None:
            update_row(state, encode(self.row), version=self.version)
        return state


def test_a_holder_that_was_cut_off_orders_a_lease_after_its_turn_before():
    """Guards against orders of a holder, its successor and the holder again within one
    lease: it was cut off from the store, and its successor was stopped."""
    turns = Turns()
    turns.claim("a", now=0)
    turns.order("a", now=0)
    turns.claim("b", now=1_500)
    turns.order("a", now=2_599)
    assert turns.order("b", now=1_500) == 3_000
    turns.release("b", now=3_200)
    turns.claim("a", now=3_200)
    assert turns.order("a", now=3_200) == 3_000 + 3_000


@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize("between", ["b", "bc"], ids=["one", "two"])
def test_stopped_holders_that_follow_each_other_keep_a_lease_between_turns(
    between, is_restarted
):
    """Guards against two turns of one instance within a lease after planned stops of it
    and its successors, also if it has restarted under its name."""
    turns = Turns()
    turns.claim("a", now=0)
    turns.order("a", now=0)
    turns.release("a", now=100)
    for number, name in enumerate(between):
        at = 100 + 200 * number
        turns.claim(name, now=at)
        assert turns.order(name, now=at) == at
        turns.release(name, now=at + 200)
    if is_restarted:
        turns.restart("a")
    turns.claim("a", now=600)
    assert turns.order("a", now=600) == 3_000


def test_a_holder_orders_at_once_after_a_successor_that_gave_no_order():
    """Guards against orders that rest for a turn that no other instance has had."""
    turns = Turns()
    turns.claim("a", now=0)
    turns.order("a", now=0)
    turns.release("a", now=100)
    turns.claim("b", now=100)
    turns.release("b", now=300)
    turns.claim("a", now=300)
    assert turns.order("a", now=300) == 300


def test_a_successor_orders_at_once_after_a_planned_stop():
    """Guards against a planned stop that callers wait longer for, since a holder may
    not return within a lease."""
    turns = Turns()
    turns.claim("a", now=0)
    turns.order("a", now=50)
    turns.release("a", now=100)
    turns.claim("b", now=100)
    assert turns.order("b", now=100) == 100
    turns.release("b", now=200)
    turns.claim("c", now=200)
    assert turns.order("c", now=200) == 200


def test_turns_are_forgotten_after_a_lease():
    turns = Turns()
    turns.claim("a", now=0)
    turns.order("a", now=0)
    turns.release("a", now=100)
    turns.claim("b", now=100)
    turns.order("b", now=2_000)
    turns.release("b", now=2_000)
    turns.claim("a", now=3_100)
    assert turns.row.turns.keys() == {"b"}
    assert turns.order("a", now=3_100) == 3_100


def test_an_unknown_holder_of_an_earlier_era_may_return_after_a_lease():
    """Guards against two turns within a lease of a holder whose row was lost when the
    store came back from an older copy, and which has restarted since."""
    row = build_claim(build_state("x", offset=0), now=-60_000)
    second = build_copied("b", row, offset=0)
    row = claim_lease(second, now=1_500)
    assert second.orders_allowed_from == 3_000
    update_row(second, encode(row), version=6, era_row_version=6)
    release = build_release(second, now=3_100, ordered_at=3_050)
    first = build_state("a", offset=0)
    update_era(first, 2, now=0)
    update_store_clock(first, 0, now=0)
    update_row(first, encode(release), version=7, era_row_version=6)
    claim_lease(first, now=3_100)
    assert not may_order(first, now=5_999)
