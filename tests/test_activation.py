"""The active version increases strictly, whatever arrives in whatever order."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.configuration.activation import (
    MAX_PENDING_CHANGES,
    ActivationResult,
    ActivationState,
    activate_if_newer,
    apply_changes,
    is_ready,
)
from arbutuspulley.configuration.changes import Change
from arbutuspulley.configuration.difference import build_delta, compute_digest
from arbutuspulley.configuration.schema import EMPTY, Policy
from tests.fakes import build_configuration

VERSIONS = [
    EMPTY,
    *(build_configuration(number, 9000 + number) for number in range(1, 9)),
]
"""Accepted configurations, indexed by version."""

DIFFERENT_8 = build_configuration(8, 8888)
"""The configuration accepted as version 8 after the store was restored to version 7."""


def build_change(old, new, *, has_delta=True):
    return Change(
        version=new.version,
        base_version=old.version,
        proposal=f"p{new.version}",
        approver="ayu",
        digest=compute_digest(new),
        delta=build_delta(old, new) if has_delta else None,
    )


CHANGES = {
    number: build_change(VERSIONS[number - 1], VERSIONS[number])
    for number in range(1, 9)
}


def build_state(version):
    state = ActivationState()
    activate_if_newer(state, VERSIONS[version])
    return state


@pytest.mark.parametrize(
    ("start_version", "arriving", "expected_version", "expected"),
    [
        (0, [1, 2, 3], 3, ActivationResult(applied=(1, 2, 3))),
        (2, [3], 3, ActivationResult(applied=(3,))),
        (2, [4], 2, ActivationResult(missing=CHANGES[4])),
        (2, [5, 4], 2, ActivationResult(missing=CHANGES[5])),
        (2, [5, 3, 4], 5, ActivationResult(applied=(3, 4, 5))),
        (2, [3, 5], 3, ActivationResult(applied=(3,), missing=CHANGES[5])),
        (2, [3, 3], 3, ActivationResult(applied=(3,))),
        (5, [3, 4], 5, ActivationResult(ignored=(3, 4))),
        (5, [5], 5, ActivationResult()),
        (5, [4, 6], 6, ActivationResult(applied=(6,), ignored=(4,))),
        (5, [], 5, ActivationResult()),
    ],
)
def test_changes_are_applied_in_order_without_gaps(
    start_version, arriving, expected_version, expected
):
    state = build_state(start_version)
    progress = apply_changes(state, [CHANGES[number] for number in arriving])
    assert progress == expected
    assert state.configuration == VERSIONS[expected_version]
    assert state.accepted_version == max([start_version, *arriving])


def test_missing_change_or_full_configuration_closes_a_gap():
    waiting, loaded = build_state(2), build_state(2)
    for state in (waiting, loaded):
        apply_changes(state, [CHANGES[4], CHANGES[5]])
    assert apply_changes(waiting, [CHANGES[3]]).applied == (3, 4, 5)
    assert activate_if_newer(loaded, VERSIONS[4]).applied == (4, 5)
    assert not waiting.pending
    assert not loaded.pending


def test_change_without_delta_requires_full_configuration():
    large = build_change(VERSIONS[2], VERSIONS[3], has_delta=False)
    state = build_state(2)
    assert apply_changes(state, [large]).missing == large
    assert apply_changes(state, []).missing == large
    assert activate_if_newer(state, VERSIONS[3]).applied == (3,)


def test_delta_for_different_base_content_is_not_applied():
    """Guards against activating a configuration that nobody approved.

    The store was restored to version 7 while this instance had version 8 active and was
    unreachable. A different version 8 was accepted, then 9 with a delta from it. The
    digest of the result detects the mismatch, and version 9 is loaded in full.
    """
    state = build_state(8)
    assert apply_changes(state, [build_change(VERSIONS[7], DIFFERENT_8)]).diverged
    policy = Policy(moves_weight=1.0)
    newest = msgspec.structs.replace(DIFFERENT_8, version=9, policy=policy)
    change = build_change(DIFFERENT_8, newest)
    assert apply_changes(state, [change]).missing == change
    assert state.configuration == VERSIONS[8]
    assert activate_if_newer(state, newest).applied == (9,)


def test_older_versions_are_ignored():
    """Guards against losing an accepted change, such as a newly added model.

    The store was restored from a backup. Read again, it returns version 3 while 5 is
    active, in full or as a change; both are ignored and reported as such.
    """
    state = build_state(5)
    assert activate_if_newer(state, VERSIONS[3]) == ActivationResult(ignored=(3,))
    assert apply_changes(state, [CHANGES[3]]) == ActivationResult(ignored=(3,))
    assert activate_if_newer(state, VERSIONS[5]) == ActivationResult()
    assert activate_if_newer(state, build_configuration(5, 5555)) == ActivationResult(
        diverged=True
    )
    assert state.configuration == VERSIONS[5]


def test_instances_activate_a_full_configuration_from_a_peer():
    """Guards against a site that keeps serving with an old version.

    Its instances reach a peer but not the store. A full configuration from a peer is as
    valid as one from the store; a new instance is not ready before it has received one.
    """
    disconnected, new = build_state(2), ActivationState()
    assert not is_ready(new)
    for state in (disconnected, new):
        assert activate_if_newer(state, VERSIONS[4]).applied == (4,)
        assert is_ready(state)
        assert apply_changes(state, [CHANGES[3], CHANGES[5]]).applied == (5,)


def test_pending_changes_are_bounded():
    state = build_state(2)
    template = CHANGES[5]
    many = [
        msgspec.structs.replace(template, version=number)
        for number in range(5, MAX_PENDING_CHANGES + 50)
    ]
    assert apply_changes(state, many).missing == many[-1]
    assert len(state.pending) == MAX_PENDING_CHANGES


@given(
    steps=st.lists(
        st.one_of(st.lists(st.integers(1, 8), max_size=4), st.sampled_from(VERSIONS)),
        max_size=12,
    )
)
def test_version_never_decreases(steps):
    state = ActivationState()
    for step in steps:
        before = state.configuration.version
        if isinstance(step, list):
            apply_changes(state, [CHANGES[number] for number in step])
        else:
            activate_if_newer(state, step)
        assert state.configuration.version >= before
        assert state.configuration == VERSIONS[state.configuration.version]
        assert state.accepted_version >= state.configuration.version
    apply_changes(state, CHANGES.values())
    assert state.configuration == VERSIONS[8]
