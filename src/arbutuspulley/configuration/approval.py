"""Proposal, approval and withdrawal of configuration changes.

The functions block on calls to the platform and run on worker threads; the decision
logic is in :mod:`.changes`. They raise
:class:`~arbutuspulley.results.PlatformUnavailableError` if the call had no effect and
:class:`~arbutuspulley.results.OutcomeUnknownError` if the outcome is unknown. They are
idempotent: a retry with the same arguments is safe.
"""

from collections.abc import Sequence

import msgspec

from arbutuspulley.configuration import changes, store, transactions
from arbutuspulley.configuration.changes import (
    AcceptedProposal,
    CurrentConfiguration,
    FileReference,
    Proposal,
)
from arbutuspulley.configuration.difference import has_same_content
from arbutuspulley.configuration.merge import FileSet, merge_files
from arbutuspulley.configuration.schema import EMPTY, Configuration
from arbutuspulley.data import Value
from arbutuspulley.placement.fit import check_fit
from arbutuspulley.ports.commit import commit
from arbutuspulley.ports.platform import Conflict, Platform
from arbutuspulley.results import Code, ConfigurationError


class Approval(Value, frozen=True):
    """The result of an approval.

    :param version: the accepted version.
    :param digest: digest of the accepted configuration.
    :param approver: the operator who approved it first.
    :param repeated: whether the change was already accepted before this call.
    """

    version: int
    digest: str
    approver: str
    repeated: bool = False


def propose(
    platform: Platform,
    *,
    files: FileSet,
    proposer: str,
    now_ms: int,
    note: str = "",
    remove_sites: Sequence[str] = (),
    active: Configuration = EMPTY,
) -> Proposal:
    """Propose a set of configuration files for approval.

    :param now_ms: wall-clock time, for display only.
    :param remove_sites: sites whose overlay is omitted on purpose.
    :param active: the newest configuration known to be active on an instance.
    :raises FilesError: with all problems of the files.
    :raises ConfigurationError: if the result does not fit the servers' memory, lacks a
        site that is not named in ``remove_sites``, or changes nothing.
    """
    current = store.find_current(platform, active=active)
    result = merge_files(files, version=current.configuration.version + 1)
    changes.check_removed_sites(current.configuration, result, removed=remove_sites)
    references = tuple(
        store.put_file(platform.objects, file.name, file.text)
        for file in (files.base, *files.overlays)
    )
    return _submit_proposal(
        platform, current, result, references, proposer=proposer, note=note, now=now_ms
    )


def roll_forward(
    platform: Platform,
    *,
    version: int,
    proposer: str,
    now_ms: int,
    active: Configuration = EMPTY,
) -> Proposal:
    """Propose the content of an earlier version as the next version.

    If the store holds a version older than the active one, a roll-forward to the
    active version writes the lost content back to the store.

    :param now_ms: wall-clock time, for display only.
    :param active: the newest configuration known to be active on an instance.
    :raises ConfigurationError: if the version is unknown or changes nothing.
    """
    current = store.find_current(platform, active=active)
    found = current.configuration
    if version != found.version:
        change = store.read_change(platform, version)
        found = store.load_result(platform, change.digest)
    result = msgspec.structs.replace(found, version=current.configuration.version + 1)
    return _submit_proposal(
        platform,
        current,
        result,
        (),
        proposer=proposer,
        note=f"content of version {version}",
        now=now_ms,
    )


def approve(
    platform: Platform,
    *,
    proposal: str,
    base_version: int,
    approver: str,
    now_ms: int,
    active: Configuration = EMPTY,
) -> Approval:
    """Accept a proposal if no other change was accepted since it was made.

    The call is idempotent: a retry, after a lost reply or from another device, returns
    the same result and makes no second change.

    :param base_version: the base version that was shown to the operator.
    :param now_ms: wall-clock time, for display only.
    :param active: the newest configuration known to be active on an instance.
    :raises StaleBaseError: if another change was accepted first.
    :raises ConfigurationError: if the proposal is unknown or its result does not fit
        the servers' memory.
    """
    row = store.find_proposal_row(platform, proposal)
    if row is None:
        return _read_accepted(platform, proposal)
    record = changes.decode(row, Proposal)
    current = store.find_current(platform, active=active)
    base = store.find_base(platform, record)
    changes.check_base(record, current, base_version=base_version, base=base)
    result = store.load_result(platform, record.digest)
    check_fit(result)
    change = changes.build_change(
        record, current, result, approver=approver, now_ms=now_ms
    )
    transaction = transactions.build_approval(
        change,
        head_revision=current.head_revision,
        proposal_revision=row.revision,
        expired=store.find_change(platform, change.version - changes.MAX_KEPT_CHANGES),
    )
    if not isinstance(commit(platform.table, transaction), Conflict):
        return Approval(version=change.version, digest=change.digest, approver=approver)
    return _resolve_conflict(platform, record, base_version=base_version, base=base)


def withdraw(platform: Platform, *, proposal: str) -> None:
    """Withdraw a pending proposal.

    :raises ConfigurationError: if the proposal is no longer pending.
    """
    row = store.find_proposal_row(platform, proposal)
    if row is None:
        raise store.build_unknown_proposal_error(proposal)
    transaction = transactions.build_withdrawal(proposal, revision=row.revision)
    if isinstance(commit(platform.table, transaction), Conflict):
        raise store.build_unknown_proposal_error(proposal)


def _submit_proposal(
    platform: Platform,
    current: CurrentConfiguration,
    result: Configuration,
    references: tuple[FileReference, ...],
    *,
    proposer: str,
    note: str,
    now: int,
) -> Proposal:
    if (
        has_same_content(current.configuration, result)
        and not current.store_is_outdated
    ):
        raise ConfigurationError(
            code=Code.NO_DIFFERENCE,
            detail=f"version {current.configuration.version} has this content already",
        )
    check_fit(result)
    if current.store_is_outdated:
        store.put_result(platform.objects, current.configuration)
    digest = store.put_result(platform.objects, result)
    proposal = Proposal(
        proposal=changes.build_proposal_id(base_digest=current.digest, digest=digest),
        base_version=current.configuration.version,
        base_digest=current.digest,
        version=result.version,
        digest=digest,
        proposer=proposer,
        note=note,
        files=references,
        proposed_at_ms=now,
    )
    outcome = commit(platform.table, transactions.build_submission(proposal))
    if isinstance(outcome, Conflict):
        return store.read_proposal(platform, proposal.proposal)
    return proposal


def _resolve_conflict(
    platform: Platform,
    record: Proposal,
    *,
    base_version: int,
    base: Configuration | None,
) -> Approval:
    """Return the result of an approval whose transaction met a conflict.

    Either the same proposal or another one was approved concurrently.

    :raises StaleBaseError: if another change was accepted.
    :raises ConfigurationError: if the proposal was withdrawn.
    """
    if store.find_proposal_row(platform, record.proposal) is None:
        return _read_accepted(platform, record.proposal)
    current = store.find_current(platform)
    changes.check_base(record, current, base_version=base_version, base=base)
    raise store.build_unknown_proposal_error(record.proposal)


def _read_accepted(platform: Platform, proposal: str) -> Approval:
    """Return the earlier approval of a proposal that is no longer pending.

    :raises ConfigurationError: if the proposal was not accepted.
    """
    row = platform.table.read(changes.build_accepted_key(proposal))
    if row is None:
        raise store.build_unknown_proposal_error(proposal)
    accepted = changes.decode(row, AcceptedProposal)
    return Approval(
        version=accepted.version,
        digest=accepted.digest,
        approver=accepted.approver,
        repeated=True,
    )
