"""Rosters of instances, sent by version and difference."""

import random

import msgspec
import pytest

from arbutuspulley.node.messages import RosterChange
from arbutuspulley.node.roster import (
    REMOTE_SAMPLE_SIZE,
    RosterCopy,
    RosterState,
    apply_change,
    build_full_roster,
    select_view,
    update_roster,
)
from tests.node_states import build_info


def build_numbered(number, **changes):
    return build_info(f"n{number}", **changes)


def test_roster_has_the_largest_ready_instances_of_other_data_centres():
    far = [build_numbered(number, site="b1", capacity=number) for number in range(1, 9)]
    not_ready = msgspec.structs.replace(far[-1], is_ready=False)
    view = select_view([build_numbered(0), *far[:-1], not_ready], site="a1")
    assert set(view) == {"n0", *(f"n{number}" for number in (7, 6, 5, 4))}
    assert len(view) == 1 + REMOTE_SAMPLE_SIZE


def test_roster_prefers_instances_of_other_data_centres_that_reach_servers():
    """Guards against a data centre without a path to servers whose roster names only
    instances that can't help."""
    far = [
        build_numbered(n, site="b1", capacity=n, reaches_servers=n < 5)
        for n in range(1, 9)
    ]
    view = select_view(far, site="a1")
    assert set(view) == {f"n{number}" for number in (4, 3, 2, 1)}


def test_roster_copies_converge_under_random_changes():
    """Instances join, leave and change at random; each copy that gets the differences,
    or the full roster when it has none, equals the roster at every step."""
    rng = random.Random(1)
    roster, copy = RosterState(site="a1", version=1), RosterCopy()
    present = {}
    for _ in range(300):
        number = rng.randrange(20)
        if number in present and rng.random() < 0.4:
            del present[number]
        else:
            present[number] = build_numbered(number, is_ready=rng.random() < 0.8)
        change = update_roster(roster, select_view(present.values(), site="a1"))
        if rng.random() < 0.05:
            copy = RosterCopy()
        if change is not None and copy.version:
            assert apply_change(copy, change)
        elif not copy.version:
            assert apply_change(copy, build_full_roster(roster))
        assert copy.nodes == {one.name: one for one in present.values()}


def test_unchanged_roster_gives_no_change():
    roster = RosterState(site="a1", version=1)
    view = select_view([build_numbered(1)], site="a1")
    assert update_roster(roster, view) is not None
    assert update_roster(roster, dict(view)) is None


@pytest.mark.parametrize(
    ("version", "base"),
    [(7, 5), (7, 3), (4, 4)],
    ids=["one was missed", "an old one again", "of another coordinator"],
)
def test_change_with_a_wrong_base_is_not_applied(version, base):
    """A link is reopened between two changes, or a change arrives twice. If it were
    applied, the copy would lack an instance, or name one that has stopped, for good."""
    copy = RosterCopy(version=6, nodes={"n1": build_numbered(1)})
    change = RosterChange(version=version, base=base, left=("n1",))
    assert not apply_change(copy, change)
    assert copy.version == 0 and set(copy.nodes) == {"n1"}


@pytest.mark.parametrize(("instances", "sites"), [(6, 3), (72, 3), (195, 5), (360, 9)])
def test_roster_size_depends_on_the_own_data_centre_only(instances, sites):
    """A new instance is announced in its own data centre; each instance there gets some
    hundred bytes, however many instances there are. Guards against sending the full
    roster to each at a change."""
    infos = [build_numbered(n, site=f"s{n % sites}") for n in range(instances)]
    roster = RosterState(site="s0", version=1)
    update_roster(roster, select_view(infos, site="s0"))
    joined = build_numbered(instances, site="s0")
    change = update_roster(roster, select_view([*infos, joined], site="s0"))
    assert len(msgspec.msgpack.encode(change)) < 200
    whole = len(msgspec.msgpack.encode(build_full_roster(roster)))
    assert whole < 160 * (instances / sites + sites * REMOTE_SAMPLE_SIZE + 1)
