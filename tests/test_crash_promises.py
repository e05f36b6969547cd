"""Both promises on requests that crash servers, over each pair of troubles."""

import itertools

import pytest

from tests.crash_model import KINDS, PLAY_MS, play

MAX_RETRIES = 3
"""Number of late retries of one request that may reach servers."""

SEEDS = 6
"""Number of seeds of each pair."""

SERVED_MS = 4_000
"""Time at the end of a play in which all harmless requests are served, in ms."""

PAIRS = [*itertools.combinations(KINDS, 2), *((kind, kind) for kind in KINDS)]


def list_options(seed):
    """Return the sizes of a play: few servers or many, copies at once or one by one."""
    return {
        "servers": (2, 3, 9, 30)[seed % 4],
        "poisons": 1 + seed % 2,
        "copies": (1, 1, 4)[seed % 3],
        "every_ms": (150, 600, 2_000)[seed % 3],
    }


@pytest.mark.parametrize("kinds", PAIRS, ids="-".join)
def test_crashing_requests_stop_and_harmless_ones_are_served(kinds):
    """Guards against a request that goes on crashing servers after a pair of troubles,
    and against harmless ones, sent by all callers alike, that are refused after it."""
    first = SEEDS * PAIRS.index(kinds)
    for seed in range(first, first + SEEDS):
        check_play(play(seed=seed, kinds=kinds, **list_options(seed)), seed)


def check_play(model, seed):
    for cause, late in model.retries.items():
        assert len(late) <= MAX_RETRIES, (seed, cause, model.crashes[cause])
    quiet = [
        (name, body, how)
        for at, name, body, how in model.answers
        if at > PLAY_MS - SERVED_MS and body.startswith(b"harmless")
    ]
    assert len(quiet) > 50, seed
    assert [one for one in quiet if one[2] != "served"] == [], seed


@pytest.mark.parametrize("kinds", PAIRS, ids="-".join)
def test_parts_that_crash_servers_stop_and_what_travels_with_them_is_served(kinds):
    """Guards against requests that are never alike and go on crashing servers by a part
    of their prompts after a pair of troubles, and against refusing those that share
    the other parts, of which one is in all prompts."""
    first = SEEDS * PAIRS.index(kinds)
    for seed in range(first, first + SEEDS):
        options = {
            **list_options(seed),
            "poisons": seed % 2,
            "bad_parts": 1 + seed % 2,
            "tries_others": True,
        }
        check_play(play(seed=seed, kinds=kinds, **options), seed)


@pytest.mark.parametrize("kinds", PAIRS, ids="-".join)
def test_crashes_count_where_servers_return_before_their_entries(kinds):
    """Guards against requests and parts that go on crashing servers, as those that
    return under their ids answer others before their entries are written."""
    first = SEEDS * PAIRS.index(kinds)
    for seed in range(first, first + SEEDS):
        options = {**list_options(seed), "are_entries_late": True}
        check_play(play(seed=seed, kinds=kinds, **options), seed)
        options |= {"poisons": seed % 2, "bad_parts": 1, "tries_others": True}
        check_play(play(seed=seed, kinds=kinds, **options), seed)


def test_two_parts_stop_where_servers_return_before_their_entries():
    """Guards against two parts that are not told from each other, as crashes of a start
    count as ones of the start before until its entry is written."""
    options = {**list_options(21), "are_entries_late": True}
    options |= {"poisons": 1, "bad_parts": 2, "tries_others": True}
    check_play(play(seed=21, kinds=("kill", "coordinator"), **options), 21)


@pytest.mark.parametrize("other", KINDS)
def test_both_promises_hold_where_the_store_keeps_crashes(other):
    """Guards against suspects read from the store that are judged otherwise than those
    that instances tell each other of; elsewhere here the store is away."""
    first = SEEDS * KINDS.index(other)
    for seed in range(first, first + SEEDS):
        options = {**list_options(seed), "bad_parts": seed % 2, "tries_others": True}
        model = play(seed=seed, kinds=("kill", other), has_store=True, **options)
        check_play(model, seed)


def test_a_harmless_request_is_served_although_those_who_saw_it_answered_are_killed():
    """Guards against a harmless request that is refused for hours because an instance
    counted its crashes that did not know that it had completed."""
    kinds = ("kill", "power")
    options = {**list_options(12), "tries_others": True}
    check_play(play(seed=12, kinds=kinds, **options), 12)


def test_the_same_seed_plays_the_same():
    """Guards against a seed that does not repeat what it found."""
    first, second = (
        play(seed=7, kinds=("kill", "cut"), servers=3, every_ms=150) for _ in range(2)
    )
    assert first.answers == second.answers
