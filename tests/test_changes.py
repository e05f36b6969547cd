"""Decision logic and records of approvals, without a platform."""

import msgspec
import pytest

from arbutuspulley.configuration import changes, transactions
from arbutuspulley.configuration.difference import compute_digest
from arbutuspulley.configuration.patch import apply_delta
from arbutuspulley.configuration.schema import EMPTY
from arbutuspulley.ports.platform import ABSENT, Row
from arbutuspulley.results import Code, ConfigurationError
from tests.fakes import build_configuration

V7 = build_configuration(version=7, size_mib=7000)
V8 = build_configuration(version=8, size_mib=8000)
V9 = build_configuration(version=9, size_mib=9000)


def build_proposal(base=V7, result=V8):
    base_digest, digest = compute_digest(base), compute_digest(result)
    return changes.Proposal(
        proposal=changes.build_proposal_id(base_digest=base_digest, digest=digest),
        base_version=base.version,
        base_digest=base_digest,
        version=result.version,
        digest=digest,
        proposer="ayu",
    )


def build_current(stored=V7, active=EMPTY):
    return changes.choose_current(stored, active, head_revision=3)


@pytest.mark.parametrize(
    ("stored", "active", "newest", "is_outdated"),
    [
        (EMPTY, EMPTY, EMPTY, False),
        (V7, EMPTY, V7, False),
        (V8, V7, V8, False),
        (V7, V9, V9, True),
        (EMPTY, V7, V7, True),
        (V7, build_configuration(version=7), V7, False),
    ],
)
def test_newer_of_stored_and_active_configuration_is_current(
    stored, active, newest, is_outdated
):
    current = build_current(stored, active)
    assert current.configuration == newest
    assert current.store_is_outdated == is_outdated


@pytest.mark.parametrize(
    ("stored", "active", "base_version", "expected_difference"),
    [
        (V7, EMPTY, 7, None),
        (V7, V7, 7, None),
        (V7, EMPTY, 6, ""),
        (V8, EMPTY, 7, "7000 -> 8000"),
        (V8, EMPTY, 8, "7000 -> 8000"),
        (V7, V9, 7, "7000 -> 9000"),
        (build_configuration(version=7, size_mib=7001), EMPTY, 7, "7000 -> 7001"),
    ],
)
def test_approval_requires_the_newest_version_as_its_base(
    stored, active, base_version, expected_difference
):
    current = build_current(stored, active)
    arguments = {"base_version": base_version, "base": V7}
    if expected_difference is None:
        changes.check_base(build_proposal(), current, **arguments)
        return
    with pytest.raises(changes.StaleBaseError) as refused:
        changes.check_base(build_proposal(), current, **arguments)
    assert refused.value.code == Code.BASE_VERSION_STALE
    shown = [difference.show() for difference in refused.value.differences]
    assert len(shown) == bool(expected_difference)
    assert expected_difference in "".join(shown)


@pytest.mark.parametrize(
    ("max_bytes", "active", "has_delta"),
    [(changes.MAX_DELTA_BYTES, EMPTY, True), (10, EMPTY, False), (99, V8, False)],
)
def test_delta_is_stored_if_small_and_based_on_the_store(
    monkeypatch, max_bytes, active, has_delta
):
    monkeypatch.setattr(changes, "MAX_DELTA_BYTES", max_bytes)
    change = changes.build_change(
        build_proposal(), build_current(V7, active), V8, approver="janis", now_ms=1
    )
    assert (change.delta is not None) == has_delta
    if has_delta:
        assert apply_delta(V7, change.delta) == V8


def test_approval_token_depends_on_the_proposal_only():
    built = [
        transactions.build_approval(
            changes.build_change(
                build_proposal(), build_current(), V8, approver=approver, now_ms=now
            ),
            head_revision=3,
            proposal_revision=4,
            expired=None,
        )
        for approver, now in (("ayu", 1), ("janis", 2))
    ]
    assert len({transaction.token for transaction in built}) == 1
    first = built[0]
    assert first.writes[0].key == "config/change/0000000008"
    assert first.preconditions[0].revision == ABSENT
    assert first.preconditions[0].key == first.writes[0].key


@pytest.mark.parametrize(
    ("removed", "is_refused"), [((), True), (("site-a",), True), (("site-b",), False)]
)
def test_site_can_be_removed_only_explicitly(removed, is_refused):
    sites = {"site-a": V7.sites["site-a"]}
    result = msgspec.structs.replace(V8, sites=sites)
    if not is_refused:
        changes.check_removed_sites(V7, result, removed=removed)
        return
    with pytest.raises(ConfigurationError, match="site-b"):
        changes.check_removed_sites(V7, result, removed=removed)


def test_error_for_an_invalid_row_names_its_key():
    row = Row(key=changes.HEAD_KEY, value=b"{", revision=1)
    with pytest.raises(ConfigurationError, match=changes.HEAD_KEY):
        changes.decode(row, changes.Head)
