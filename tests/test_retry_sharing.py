"""Simulated instances together keep to the retry budget of a service."""

import pytest

from tests.retry_fleet import Fleet, Plan

SIZES = pytest.mark.parametrize(
    ("instances", "seeds"), [(6, 20), (7, 20), (30, 8), (360, 1)]
)


def find_broken(*, seeds, **plan):
    """Return the worst window of each seed that breaks the rule."""
    worst = {seed: Fleet(Plan(**plan), seed=seed).run() for seed in range(seeds)}
    return {seed: one for seed, one in worst.items() if one and one.is_broken}


@SIZES
def test_instances_that_start_again_share_one_budget(instances, seeds):
    """Guards against a share that each new process may spend anew."""
    assert not find_broken(instances=instances, seeds=seeds, restarts=3_000)


@SIZES
def test_callers_that_move_between_instances_are_counted_once(instances, seeds):
    """Guards against retries by requests that were received before callers moved, and
    by the same callers' requests elsewhere, within one window."""
    assert not find_broken(instances=instances, seeds=seeds, moves=True)


@SIZES
def test_a_reload_keeps_what_was_spent(instances, seeds):
    """Guards against a reload of settings that forgets the retries of the window."""
    assert not find_broken(instances=instances, seeds=seeds, reloads=True)


@SIZES
def test_instances_that_are_added_and_removed_share_one_budget(instances, seeds):
    """Guards against shares that add up to more than the budget while instances know of
    different fleets."""
    assert not find_broken(instances=instances, seeds=seeds, resizes=True)


@SIZES
def test_retries_that_a_cut_holds_back_are_within_the_budget(instances, seeds):
    """Guards against retries of several windows that arrive in one."""
    assert not find_broken(instances=instances, seeds=seeds, cuts=True)


@SIZES
def test_the_budget_holds_while_everything_changes(instances, seeds):
    """Guards against a budget that holds under each of these changes alone."""
    assert not find_broken(
        instances=instances,
        seeds=seeds,
        rates=(2.0, 20.0),
        failing=(0.0, 0.33, 1.0, 1.0),
        moves=True,
        restarts=4_000,
        resizes=True,
        cuts=True,
        reloads=True,
    )
