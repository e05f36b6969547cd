"""Proposals and approvals on a platform with lost replies, outages and restores."""

import pytest

from arbutuspulley.configuration import approval, changes, store, transactions
from arbutuspulley.configuration.activation import (
    ActivationState,
    activate_if_newer,
    apply_changes,
)
from arbutuspulley.configuration.schema import EMPTY
from arbutuspulley.ports import commit
from arbutuspulley.results import (
    Code,
    ConfigurationError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from arbutuspulley.standins.platform_state import restore
from tests.fakes import BASE, OVERLAY_A, FakePlatform, build_files


@pytest.fixture
def fake(monkeypatch):
    monkeypatch.setattr(commit, "INITIAL_BACKOFF_MS", 0)
    return FakePlatform()


def propose(fake, size_mib=9000, *, active=EMPTY, **options):
    files = build_files(BASE.replace("9000", str(size_mib)))
    return approval.propose(
        fake.platform,
        files=options.pop("files", files),
        proposer="ayu",
        now_ms=1,
        active=active,
        **options,
    )


def approve(fake, proposal, *, approver="ayu", active=EMPTY, base_version=None):
    base = proposal.base_version if base_version is None else base_version
    return approval.approve(
        fake.platform,
        proposal=proposal.proposal,
        base_version=base,
        approver=approver,
        now_ms=2,
        active=active,
    )


def accept(fake, *sizes):
    """Accept one change after another and return the newest configuration."""
    for size in sizes:
        approve(fake, propose(fake, size))
    return store.load_latest(fake.platform)


def read_size(configuration):
    return configuration.sites["site-a"].models["draft"].size_mib


def list_approvers(fake):
    listed = store.list_changes(fake.platform, newest=10)
    return [(change.version, change.approver) for change in listed]


def assert_refused(code, call):
    with pytest.raises(ConfigurationError) as refused:
        call()
    assert refused.value.code == code
    return refused.value


def test_accepted_changes_are_readable_in_full_and_as_deltas(fake):
    assert store.load_latest(fake.platform) == EMPTY
    start = store.load_snapshot(fake.platform)
    newest = accept(fake, 9000, 9100, 9200)
    assert (newest.version, read_size(newest)) == (3, 9200)
    assert store.load_snapshot(fake.platform).configuration == newest
    state = ActivationState()
    page = store.read_changes(fake.platform, start.revision, table_id=start.table_id)
    assert apply_changes(state, page.changes).applied == (1, 2, 3)
    assert state.configuration == newest
    after = store.load_snapshot(fake.platform).revision
    assert not store.read_changes(fake.platform, after).changes


@pytest.mark.parametrize("fault", ["lost_replies", "lost_requests"])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_approval_succeeds_despite_lost_requests_or_replies(fake, fault, count):
    """Guards against an error shown to an operator for a lost request or reply.

    The platform's reply, or the request, is lost. The token in the change's row shows
    which of them it was, and one change is made in either case.
    """
    accept(fake, 9000)
    proposal = propose(fake, 9100)
    setattr(fake, fault, count)
    assert approve(fake, proposal).version == 2
    assert list_approvers(fake) == [(2, "ayu"), (1, "ayu")]


def test_repeated_approval_after_a_lost_reply_is_idempotent(fake):
    """Guards against a second change when an operator approves again after an error.

    The first approval took effect, but the platform became unavailable before its
    result could be read back. A second approval, and a third one from another device
    after yet another change, return the result of the first; neither makes a change.
    """
    proposal = propose(fake)
    fake.lost_replies, fake.down_after_lost_reply = 1, True
    with pytest.raises(OutcomeUnknownError):
        approve(fake, proposal)
    fake.down = False
    second = approve(fake, proposal)
    assert (second.version, second.repeated) == (1, True)
    accept(fake, 9100)
    third = approve(fake, proposal, approver="janis")
    assert (third.version, third.approver, third.repeated) == (1, "ayu", True)
    assert list_approvers(fake) == [(2, "ayu"), (1, "ayu")]


def test_concurrent_approvals_of_different_changes(fake):
    """Guards against losing one of two changes that are both shown as accepted.

    Both changes are based on version 1 and written concurrently. The precondition on
    the head's revision admits one; the other operator gets the accepted differences.
    """
    accept(fake, 9000)
    ours, theirs = propose(fake, 9100), propose(fake, 9200)
    fake.before_transact = lambda: approve(fake, theirs, approver="janis")
    refused = assert_refused(Code.BASE_VERSION_STALE, lambda: approve(fake, ours))
    (difference,) = refused.differences
    assert difference.show().startswith("~ models.draft.size_mib: 9000 -> 9200")
    assert list_approvers(fake)[0] == (2, "janis")
    assert_refused(Code.BASE_VERSION_STALE, lambda: approve(fake, ours, base_version=2))
    again = propose(fake, 9100)
    assert approve(fake, again).version == 3


def test_concurrent_approvals_of_the_same_change(fake):
    """Guards against an error for the slower of two operators with the same change."""
    proposal = propose(fake)
    fake.before_transact = lambda: approve(fake, proposal, approver="janis")
    outcome = approve(fake, proposal)
    assert (outcome.version, outcome.approver, outcome.repeated) == (1, "janis", True)
    assert list_approvers(fake) == [(1, "janis")]


def test_change_after_a_restore_gets_a_version_above_the_active_one(fake):
    """Guards against an accepted change that never becomes active.

    The store was restored from a backup: it holds version 2 while 4 is active on the
    instances, which would ignore a change numbered 3 as lower. Based on the active
    version the change becomes 5, and a proposal from before the restore is stale.
    """
    accept(fake, 9000, 9100)
    backup = fake.state.revision
    old = propose(fake, 9900)
    start = store.load_snapshot(fake.platform)
    active = accept(fake, 9200, 9300)
    state = ActivationState()
    activate_if_newer(state, active)
    restore(fake.state, backup + 1)
    page = store.read_changes(fake.platform, 10_000, table_id=start.table_id)
    assert activate_if_newer(state, page.restored).ignored == (2,)

    assert_refused(Code.BASE_VERSION_STALE, lambda: approve(fake, old, active=active))
    proposal = propose(fake, 9400, active=active)
    assert (proposal.base_version, proposal.version) == (4, 5)
    assert approve(fake, proposal, active=active).version == 5
    page = store.read_changes(fake.platform, page.revision, table_id=page.table_id)
    progress = apply_changes(state, page.changes)
    if progress.missing:
        digest = progress.missing.digest
        progress = activate_if_newer(state, store.load_result(fake.platform, digest))
    assert progress.applied == (5,)
    assert state.configuration == store.load_latest(fake.platform)
    assert read_size(state.configuration) == 9400


def test_head_version_never_decreases(fake):
    """Guards against new instances that start without an active change.

    The store was restored to version 1 while 2 is active. One console is aware of that
    and approves version 3; another one, disconnected from all instances with version 2,
    concurrently approves a different version 2. Their rows differ, so only the
    precondition on the head's revision detects the conflict; the slower one is refused.
    """
    accept(fake, 9000)
    backup = fake.state.revision
    active = accept(fake, 9100)
    restore(fake.state, backup)
    aware = propose(fake, 9200, active=active)
    unaware = propose(fake, 9300)
    fake.before_transact = lambda: approve(fake, aware, active=active)
    assert_refused(Code.BASE_VERSION_STALE, lambda: approve(fake, unaware))
    assert store.read_head_version(fake.platform) == 3


def test_roll_forward_writes_lost_content_back_to_a_restored_store(fake):
    """Guards against new instances that start with an outdated configuration.

    The store was restored to version 1 while 2 is active. A roll-forward to the active
    version writes its content back as version 3.
    """
    accept(fake, 9000)
    backup = fake.state.revision
    active = accept(fake, 9100)
    restore(fake.state, backup)
    proposal = approval.roll_forward(
        fake.platform, version=2, proposer="ayu", now_ms=1, active=active
    )
    assert approve(fake, proposal, active=active).version == 3
    assert read_size(store.load_latest(fake.platform)) == 9100
    change = store.read_change(fake.platform, 3)
    assert store.load_result(fake.platform, change.base_digest) == active
    assert change.delta is None


def test_roll_forward_to_older_content_creates_a_new_version(fake):
    accept(fake, 9000, 9100)
    proposal = approval.roll_forward(fake.platform, version=1, proposer="ayu", now_ms=1)
    assert approve(fake, proposal).version == 3
    assert read_size(store.load_latest(fake.platform)) == 9000
    for version, code in ((3, Code.NO_DIFFERENCE), (9, Code.NOT_FOUND)):
        assert_refused(
            code,
            lambda version=version: approval.roll_forward(
                fake.platform, version=version, proposer="ayu", now_ms=1
            ),
        )


@pytest.mark.parametrize(
    ("options", "code"),
    [
        ({"size_mib": 9000}, Code.NO_DIFFERENCE),
        ({"size_mib": 90_000}, Code.DOES_NOT_FIT),
        ({"files": build_files(overlays=[OVERLAY_A])}, Code.BAD_REFERENCE),
    ],
)
def test_unacceptable_proposal_is_refused_immediately(fake, options, code):
    accept(fake, 9000)
    assert_refused(code, lambda: propose(fake, **options))
    assert not store.list_proposals(fake.platform)


def test_fit_is_checked_again_at_approval(fake, monkeypatch):
    proposal = propose(fake)

    def refuse_all(_configuration):
        raise ConfigurationError(code=Code.DOES_NOT_FIT, detail="too much")

    monkeypatch.setattr(approval, "check_fit", refuse_all)
    assert_refused(Code.DOES_NOT_FIT, lambda: approve(fake, proposal))
    assert store.load_latest(fake.platform) == EMPTY


def test_repeated_or_late_submission_creates_no_second_proposal(fake):
    """Guards against an accepted proposal that becomes pending again.

    The request that submitted it was sent twice, and the second copy arrived after the
    approval.
    """
    proposal = propose(fake)
    fake.lost_replies = 1
    assert propose(fake) == proposal
    assert store.list_proposals(fake.platform) == (proposal,)
    approve(fake, proposal)
    fake.platform.table.transact(transactions.build_submission(proposal))
    assert not store.list_proposals(fake.platform)


def test_a_withdrawn_proposal_cannot_be_accepted(fake):
    proposal = propose(fake)
    approval.withdraw(fake.platform, proposal=proposal.proposal)
    assert_refused(Code.UNKNOWN_PROPOSAL, lambda: approve(fake, proposal))
    assert_refused(
        Code.UNKNOWN_PROPOSAL,
        lambda: approval.withdraw(fake.platform, proposal=proposal.proposal),
    )


def test_nothing_is_proposed_or_accepted_during_a_platform_outage(fake):
    proposal = propose(fake)
    fake.down = True
    for call in (lambda: propose(fake, 9100), lambda: approve(fake, proposal)):
        with pytest.raises(PlatformUnavailableError):
            call()
    fake.down = False
    assert store.load_latest(fake.platform) == EMPTY
    assert store.list_proposals(fake.platform) == (proposal,)


@pytest.mark.parametrize("data", [b"", b"x", None])
def test_corrupt_or_missing_object_is_refused(fake, data):
    newest = accept(fake, 9000)
    name = changes.build_result_name(store.read_change(fake.platform, 1).digest)
    fake.stored[name] = data
    assert_refused(
        Code.NOT_FOUND if data is None else Code.BAD_SCHEMA,
        lambda: store.load_latest(fake.platform),
    )
    assert newest.version == 1


def test_rows_of_old_changes_are_deleted(fake, monkeypatch):
    monkeypatch.setattr(changes, "MAX_KEPT_CHANGES", 2)
    accept(fake, 9000, 9100, 9200, 9300)
    assert [version for version, _ in list_approvers(fake)] == [4, 3]
    rows = fake.platform.table.scan("config/", 0, 100).rows
    assert len([row for row in rows if "accepted" in row.key]) == 2
