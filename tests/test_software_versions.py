"""Which software versions of a service count as in service."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.delivery.begun_streams import MAX_RETENTION_MS
from arbutuspulley.membership.software_versions import (
    HISTORY_SETTLING_MS,
    TIME_TOLERANCE_MS,
    ServiceVersions,
    VersionHistory,
)
from arbutuspulley.ports.fleet import SoftwareVersion
from tests.node_states import build_entry

V1, V2 = SoftwareVersion(name="v1"), SoftwareVersion(name="v2")

OFFSET_MS = 70_000_000
"""How far the store's clock is ahead of a process's."""


def update(versions, *known, now, service="llm"):
    entries = [
        build_entry(f"s{number}", software_version=version)
        for number, version in enumerate(known)
    ]
    versions.update({service: entries}, now=now)


def test_versions_are_mixed_while_several_serve():
    versions = ServiceVersions()
    update(versions, V1, V1, now=0)
    assert not versions.is_mixed("llm", now=0)
    update(versions, V1, V2, now=1)
    assert versions.is_mixed("llm", now=1)
    assert not versions.is_mixed("other", now=1)


def test_a_version_counts_while_its_streams_may_be_resumed():
    """Guards against a stream of unknown version that goes on at the only version left,
    seconds after the last server of another one has gone."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=1_000)
    assert versions.is_mixed("llm", now=1_000 + MAX_RETENTION_MS - 1)
    assert not versions.is_mixed("llm", now=1_000 + MAX_RETENTION_MS)
    assert versions.list_known("llm", now=1_000 + MAX_RETENTION_MS) == {V2}


def test_a_service_without_servers_keeps_its_versions():
    versions = ServiceVersions()
    update(versions, V1, now=0)
    versions.update({}, now=1)
    assert versions.list_known("llm", now=1) == {V1}
    update(versions, V2, now=2)
    assert versions.is_mixed("llm", now=2)


def build_history(versions, *, now):
    return versions.build_history(now=now, store_now=now + OFFSET_MS)


def restart(histories, *, now, store_now=None):
    """Return what a process that has just started knows from the store."""
    versions = ServiceVersions()
    store_now = now + OFFSET_MS if store_now is None else store_now
    versions.add_history(histories, now=now, store_now=store_now)
    return versions


def test_a_version_that_left_before_a_restart_counts_for_the_rest_of_its_time():
    """Guards against a stream that goes on at the only version left, as the process
    that saw the other one leave is gone."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=1_000)
    after = restart(build_history(versions, now=5_000), now=9_000)
    update(after, V2, now=9_001)
    assert after.list_known("llm", now=1_000 + MAX_RETENTION_MS - 1) == {V1, V2}
    assert after.list_known("llm", now=1_000 + MAX_RETENTION_MS) == {V2}


def test_a_version_that_left_while_no_process_ran_counts_from_the_restart():
    """Guards against versions that are forgotten as their rows went unseen."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    histories = build_history(versions, now=1)
    after = restart(histories, now=2 * MAX_RETENTION_MS)
    update(after, V2, now=2 * MAX_RETENTION_MS + 1)
    assert after.is_mixed("llm", now=3 * MAX_RETENTION_MS - 1)
    assert not after.is_mixed("llm", now=3 * MAX_RETENTION_MS)


def test_versions_are_mixed_until_the_history_is_known():
    """Guards against a process that has just started, and lets a stream go on as it has
    not read yet that there was another version."""
    versions = ServiceVersions()
    versions.awaits_history = True
    update(versions, V1, now=0)
    assert versions.is_mixed("llm", now=0)
    assert versions.list_recorded(now=0) == frozenset()


def restart_with_copy(*, era=1, incomplete_until=0):
    """Return the versions of a process that reads a row of v1 in era 2."""
    versions = ServiceVersions()
    versions.awaits_history = True
    history = VersionHistory(
        current=("v1",), era=era, incomplete_until=incomplete_until
    )
    versions.add_history({"llm": history}, now=0, store_now=OFFSET_MS, era=2)
    update(versions, V1, now=0)
    return versions


def test_versions_that_a_copy_lacks_count_while_their_streams_may_be_resumed():
    """Guards against a stream that goes on at the only version that is known, as all
    processes had ended as the store came back from a copy that lacks the other one."""
    versions = restart_with_copy()
    for now in (0, HISTORY_SETTLING_MS, MAX_RETENTION_MS - 1):
        assert versions.is_mixed("llm", now=now)
        assert versions.list_recorded(now=now) == {"llm"}
        assert versions.is_mixed("without a row", now=now)
    assert not versions.is_mixed("llm", now=MAX_RETENTION_MS)
    assert not versions.is_mixed("without a row", now=MAX_RETENTION_MS)


def test_a_row_of_the_present_era_may_say_that_versions_lack():
    """Guards against a process that starts later, or after a further failure, and takes
    the row for complete that the first coordinator has written."""
    before = restart_with_copy()
    now = HISTORY_SETTLING_MS
    row = before.build_history(now=now, store_now=now + OFFSET_MS, era=2)["llm"]
    assert row.incomplete_until == MAX_RETENTION_MS + OFFSET_MS
    assert not row.lists_same(VersionHistory(current=("v1",), era=2))
    after = ServiceVersions()
    after.awaits_history = True
    after.add_history({"llm": row}, now=5_000, store_now=OFFSET_MS + 5_000, era=2)
    update(after, V1, now=5_000)
    assert after.is_mixed("llm", now=MAX_RETENTION_MS - 1)
    assert not after.is_mixed("llm", now=MAX_RETENTION_MS)
    assert not after.is_incomplete("without a row", now=5_000)


def test_a_row_that_is_complete_again_is_not_written_for_that():
    versions = restart_with_copy()
    now = MAX_RETENTION_MS + 1
    stored = VersionHistory(
        current=("v1",), era=2, incomplete_until=MAX_RETENTION_MS + OFFSET_MS
    )
    row = versions.build_history(now=now, store_now=now + OFFSET_MS, era=2)["llm"]
    assert row.incomplete_until == 0
    assert row.lists_same(stored)


def test_an_absurd_time_in_a_row_counts_no_longer_than_streams_last():
    versions = restart_with_copy(era=2, incomplete_until=10**15)
    assert versions.is_mixed("llm", now=MAX_RETENTION_MS - 1)
    assert not versions.is_mixed("llm", now=MAX_RETENTION_MS)


def test_a_process_that_kept_running_lacks_no_version():
    """Guards against streams that are refused as a coordinator reads the row of an
    older copy, although it has seen all versions itself."""
    versions = ServiceVersions()
    update(versions, V1, now=0)
    copied = {"llm": VersionHistory(current=("v1",), era=1)}
    versions.add_history(copied, now=10, store_now=OFFSET_MS, era=2)
    assert not versions.is_mixed("llm", now=10)


@pytest.mark.parametrize("back_ms", [1, 10_000, 10 * MAX_RETENTION_MS])
def test_a_clock_of_the_store_that_goes_back_shortens_no_time(back_ms):
    """Guards against a version that counts for too short a time, or for ever, as the
    store's clock went back."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=1_000)
    histories = build_history(versions, now=1_000)
    after = restart(histories, now=2_000, store_now=1_000 + OFFSET_MS - back_ms)
    assert after.list_known("llm", now=1_999 + MAX_RETENTION_MS) == {V1, V2}
    assert after.list_known("llm", now=2_000 + MAX_RETENTION_MS) == set()


def test_a_row_of_an_older_copy_forgets_nothing_that_is_known():
    """Guards against a version that a process saw leave later than the copy says."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=400_000)
    copied = {"llm": VersionHistory(current=("v2",), left={"v1": OFFSET_MS + 1_000})}
    versions.add_history(copied, now=400_001, store_now=400_001 + OFFSET_MS)
    assert versions.list_known("llm", now=399_999 + MAX_RETENTION_MS) == {V1, V2}


def test_a_version_that_comes_back_is_current_and_leaves_anew():
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=1_000)
    update(versions, V1, V2, now=300_000)
    history = build_history(versions, now=300_000)["llm"]
    assert (history.current, history.left) == (("v1", "v2"), {})
    update(versions, V2, now=500_000)
    history = build_history(versions, now=500_001)["llm"]
    assert (history.current, history.left) == (("v2",), {"v1": 500_000 + OFFSET_MS})


def test_a_version_that_came_back_unnoticed_is_stored_with_its_latest_time():
    """Guards against a version that left, came back and left while its row could not be
    written: after a restart it would count from when it left first."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=1_000)
    stored = build_history(versions, now=1_000)["llm"]
    update(versions, V1, V2, now=300_000)
    update(versions, V2, now=300_010)
    history = build_history(versions, now=300_020)["llm"]
    assert not history.lists_same(stored)


@pytest.mark.parametrize("drift_ms", [-10_000, -300, 0, 300])
def test_the_same_versions_are_not_written_again(drift_ms):
    """Guards against a call of the store each time its clock is read a little later."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=1_000)
    stored = build_history(versions, now=1_000)["llm"]
    later = versions.build_history(now=2_000, store_now=2_000 + OFFSET_MS + drift_ms)
    assert later["llm"].lists_same(stored)
    assert not stored.lists_same(None)


def test_histories_are_stored_as_they_are():
    versions = ServiceVersions()
    update(versions, V1, SoftwareVersion(name=""), now=0)
    update(versions, V2, now=1_000)
    history = build_history(versions, now=1_000)["llm"]
    encoded = msgspec.json.encode(history)
    assert msgspec.json.decode(encoded, type=VersionHistory) == history
    assert set(history.left) == {"v1", ""}


CHANGES = st.lists(
    st.tuples(
        st.integers(0, MAX_RETENTION_MS // 2),
        st.sets(st.sampled_from(["v1", "v2", "v3"])),
        st.sampled_from(["stored", "not stored", "restart"]),
    ),
    min_size=1,
    max_size=20,
)


@given(changes=CHANGES)
def test_versions_count_whatever_is_stored_and_restarted(changes):
    """Guards against a version that is forgotten before its streams, after restarts,
    with rows that are written only if they differ, and versions that come back."""
    now, stored, versions, seen = 0, {}, ServiceVersions(), {}
    for passed_ms, names, what in changes:
        now += passed_ms
        for name, (is_current, _at) in list(seen.items()):
            if is_current and name not in names:
                seen[name] = (False, now)
        seen.update(dict.fromkeys(names, (True, now)))
        update(versions, *(SoftwareVersion(name=name) for name in names), now=now)
        written = build_history(versions, now=now)
        if what != "not stored":
            for service, history in written.items():
                if not history.lists_same(stored.get(service)):
                    stored[service] = history
        if what == "restart":
            versions = restart(stored, now=now)
            update(versions, *(SoftwareVersion(name=name) for name in names), now=now)
        known = {version.name for version in versions.list_known("llm", now=now)}
        expected = {
            name
            for name, (is_current, at) in seen.items()
            if is_current or now - at < MAX_RETENTION_MS - TIME_TOLERANCE_MS
        }
        assert expected <= known
