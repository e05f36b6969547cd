"""Configuration in the platform: proposing, approving and reading back.

All functions block on the platform and run on worker threads; what they decide is
decided by :mod:`.changes`. They raise
:class:`~arbutuspulley.results.PlatformUnavailableError` if nothing happened and
:class:`~arbutuspulley.results.OutcomeUnknownError` if the outcome stayed unknown, in
which case calling again with the same arguments is safe.
"""

import hashlib
import zlib
from collections.abc import Iterator, Sequence

import msgspec

from arbutuspulley.configuration import changes
from arbutuspulley.configuration.changes import (
    Accepted,
    Change,
    Current,
    FileReference,
    Head,
    Proposal,
)
from arbutuspulley.configuration.difference import compute_digest, has_same_content
from arbutuspulley.configuration.merge import FileSet, merge_files
from arbutuspulley.configuration.schema import EMPTY, Configuration
from arbutuspulley.data import Value
from arbutuspulley.ports.commit import commit
from arbutuspulley.ports.platform import ABSENT, Conflict, Objects, Platform, Row
from arbutuspulley.results import Code, ConfigurationError

PAGE_ROWS = 200
"""Rows asked for in one scan."""

MAX_PAGES = 50
"""Pages read of the waiting proposals; more are not listed."""


class Start(Value, frozen=True):
    """Where a process that follows the configuration begins.

    :param revision: pass it to :func:`read_changes` to get what comes later.
    :param table_id: history of the table that the revision belongs to.
    """

    configuration: Configuration
    revision: int
    table_id: str


class ChangePage(Value, frozen=True):
    """Accepted changes after a revision.

    :param revision: pass it to the next call.
    :param more: whether another page is known to follow.
    :param restored: the store's newest configuration, if the table was restored from
        a backup since the last call. Offer it; it may well be an older one.
    """

    changes: tuple[Change, ...]
    revision: int
    table_id: str
    more: bool = False
    restored: Configuration | None = None


class Approval(Value, frozen=True):
    """A change is accepted.

    :param repeated: whether it had been accepted before this call.
    """

    version: int
    digest: str
    approver: str
    repeated: bool = False


def load_latest(platform: Platform) -> Configuration:
    """Return the newest accepted configuration; the empty one before the first."""
    return _load_head(platform)[0]


def load_start(platform: Platform) -> Start:
    """Return the newest accepted configuration and where to go on from it."""
    page = platform.table.scan(changes.HEAD_KEY, 0, 1)
    configuration, revision = _load_head(platform)
    return Start(configuration=configuration, revision=revision, table_id=page.table_id)


def read_changes(
    platform: Platform, after_revision: int, *, table_id: str = ""
) -> ChangePage:
    """Return accepted changes whose rows were written after a revision.

    A restored table may have fewer revisions than this process has already seen, so
    that going on from there would miss every change for a long while. The table's id
    shows it, and reading then begins anew at the head.

    :param table_id: history that the revision belongs to; empty if not known.
    """
    page = platform.table.scan(changes.CHANGE_PREFIX, after_revision, PAGE_ROWS)
    if table_id and page.table_id != table_id:
        start = load_start(platform)
        return ChangePage(
            changes=(),
            revision=start.revision,
            table_id=start.table_id,
            restored=start.configuration,
        )
    rows = [row for row in page.rows if not row.deleted]
    return ChangePage(
        changes=tuple(changes.decode(row, Change) for row in rows),
        revision=page.revision,
        table_id=page.table_id,
        more=page.more,
    )


def load_result(platform: Platform, digest: str) -> Configuration:
    """Return the whole configuration with this digest.

    :raises ConfigurationError: if the object is missing or holds something else.
    """
    data = platform.objects.get(changes.build_result_name(digest))
    if data is None:
        raise ConfigurationError(
            code=Code.NOT_FOUND, detail=f"the object store has no version {digest}"
        )
    try:
        configuration = msgspec.json.decode(zlib.decompress(data), type=Configuration)
    except (zlib.error, msgspec.MsgspecError):
        configuration = EMPTY
    if compute_digest(configuration) != digest:
        raise ConfigurationError(
            code=Code.BAD_SCHEMA,
            detail=f"the object of version {digest} cannot be used",
        )
    return configuration


def find_current(platform: Platform, *, in_force: Configuration = EMPTY) -> Current:
    """Return the newest configuration known.

    :param in_force: the newest one that an instance is known to have in force.
    """
    stored, head_revision = _load_head(platform)
    return changes.choose_current(stored, in_force, head_revision=head_revision)


def propose(
    platform: Platform,
    *,
    files: FileSet,
    proposer: str,
    now_ms: int,
    note: str = "",
    remove_sites: Sequence[str] = (),
    in_force: Configuration = EMPTY,
) -> Proposal:
    """Lay down a set of files for approval.

    :param now_ms: wall clock, for display only.
    :param remove_sites: sites whose overlay is left out on purpose.
    :param in_force: the newest configuration known to be in force.
    :raises FilesError: with every problem of the files.
    :raises ConfigurationError: if they cannot be served or change nothing.
    """
    current = find_current(platform, in_force=in_force)
    result = merge_files(files, version=current.configuration.version + 1)
    changes.check_sites(current.configuration, result, removed=remove_sites)
    references = tuple(
        _put_file(platform.objects, file.name, file.text)
        for file in (files.base, *files.overlays)
    )
    return _submit(
        platform, current, result, references, proposer=proposer, note=note, now=now_ms
    )


def roll_forward(
    platform: Platform,
    *,
    version: int,
    proposer: str,
    now_ms: int,
    in_force: Configuration = EMPTY,
) -> Proposal:
    """Propose the content of an earlier version as the next one.

    With the version that is in force while the store holds an older one, this writes
    the lost content back to the store.

    :raises ConfigurationError: if that version is not known or changes nothing.
    """
    current = find_current(platform, in_force=in_force)
    found = current.configuration
    references: tuple[FileReference, ...] = ()
    if version != found.version:
        change = read_change(platform, version)
        found = load_result(platform, change.digest)
    result = msgspec.structs.replace(found, version=current.configuration.version + 1)
    return _submit(
        platform,
        current,
        result,
        references,
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
    in_force: Configuration = EMPTY,
) -> Approval:
    """Accept a proposal, if nothing else was accepted since it was made.

    Calling again, after a lost reply or from another phone, gives the same result and
    makes no second change.

    :param base_version: the base version that the operator saw.
    :raises StaleBaseError: if another change was accepted first.
    :raises ConfigurationError: if the proposal is unknown or cannot be served.
    """
    accepted = _find_accepted(platform, proposal)
    if accepted is not None:
        return accepted
    row = _read_proposal_row(platform, proposal)
    record = changes.decode(row, Proposal)
    current = find_current(platform, in_force=in_force)
    base = _find_result(platform, record.base_digest)
    changes.check_base(record, current, base_version=base_version, base=base)
    result = load_result(platform, record.digest)
    _check_fit(result)
    change = changes.build_change(
        record, current, result, approver=approver, now_ms=now_ms
    )
    transaction = changes.build_approval(
        change,
        head_revision=current.head_revision,
        proposal_revision=row.revision,
        expired=_find_change(platform, change.version - changes.KEPT_CHANGES),
    )
    outcome = commit(platform.table, transaction)
    if not isinstance(outcome, Conflict):
        return Approval(version=change.version, digest=change.digest, approver=approver)
    return _explain_conflict(platform, record, base, base_version, in_force)


def withdraw(platform: Platform, *, proposal: str) -> None:
    """Take a waiting proposal back.

    :raises ConfigurationError: if it does not wait any longer.
    """
    row = _read_proposal_row(platform, proposal)
    transaction = changes.build_withdrawal(proposal, revision=row.revision)
    if isinstance(commit(platform.table, transaction), Conflict):
        raise _refuse_unknown(proposal)


def read_proposal(platform: Platform, proposal: str) -> Proposal:
    """Return a waiting proposal.

    :raises ConfigurationError: if there is none with this id.
    """
    return changes.decode(_read_proposal_row(platform, proposal), Proposal)


def list_proposals(platform: Platform) -> tuple[Proposal, ...]:
    """Return the waiting proposals, oldest first."""
    rows = _scan_all(platform, changes.PROPOSAL_PREFIX)
    return tuple(changes.decode(row, Proposal) for row in rows)


def read_change(platform: Platform, version: int) -> Change:
    """Return the record of an accepted version.

    :raises ConfigurationError: if it is unknown or no longer kept.
    """
    change = _find_change(platform, version)
    if change is None:
        raise ConfigurationError(
            code=Code.NOT_FOUND, detail=f"version {version} is not known"
        )
    return change


def list_changes(platform: Platform, *, newest: int) -> tuple[Change, ...]:
    """Return the newest accepted changes, newest first."""
    head = platform.table.read(changes.HEAD_KEY)
    if head is None:
        return ()
    top = changes.decode(head, Head).version
    found = (_find_change(platform, top - below) for below in range(newest))
    return tuple(change for change in found if change is not None)


def _load_head(platform: Platform) -> tuple[Configuration, int]:
    row = platform.table.read(changes.HEAD_KEY)
    if row is None:
        return EMPTY, ABSENT
    head = changes.decode(row, Head)
    return load_result(platform, head.digest), row.revision


def _find_result(platform: Platform, digest: str) -> Configuration | None:
    try:
        return load_result(platform, digest)
    except ConfigurationError:
        return None


def _put_file(objects: Objects, name: str, text: str) -> FileReference:
    data = text.encode()
    sha256 = hashlib.sha256(data).hexdigest()
    objects.put_if_absent(f"{changes.FILE_PREFIX}{sha256}", zlib.compress(data))
    return FileReference(name=name, sha256=sha256)


def _put_result(objects: Objects, configuration: Configuration) -> str:
    digest = compute_digest(configuration)
    data = msgspec.json.encode(configuration, order="sorted")
    objects.put_if_absent(changes.build_result_name(digest), zlib.compress(data))
    return digest


def _submit(
    platform: Platform,
    current: Current,
    result: Configuration,
    references: tuple[FileReference, ...],
    *,
    proposer: str,
    note: str,
    now: int,
) -> Proposal:
    if has_same_content(current.configuration, result) and not current.store_is_behind:
        raise ConfigurationError(
            code=Code.NO_DIFFERENCE,
            detail=f"version {current.configuration.version} has this content already",
        )
    _check_fit(result)
    if current.store_is_behind:
        _put_result(platform.objects, current.configuration)
    digest = _put_result(platform.objects, result)
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
    outcome = commit(platform.table, changes.build_submission(proposal))
    if isinstance(outcome, Conflict):
        return read_proposal(platform, proposal.proposal)
    return proposal


def _find_accepted(platform: Platform, proposal: str) -> Approval | None:
    row = platform.table.read(changes.build_accepted_key(proposal))
    if row is None:
        return None
    accepted = changes.decode(row, Accepted)
    return Approval(
        version=accepted.version,
        digest=accepted.digest,
        approver=accepted.approver,
        repeated=True,
    )


def _explain_conflict(
    platform: Platform,
    record: Proposal,
    base: Configuration | None,
    base_version: int,
    in_force: Configuration,
) -> Approval:
    """Tell a second press on the same proposal from another change.

    :raises StaleBaseError: if another change was accepted first.
    """
    accepted = _find_accepted(platform, record.proposal)
    if accepted is not None:
        return accepted
    current = find_current(platform, in_force=in_force)
    changes.check_base(record, current, base_version=base_version, base=base)
    raise _refuse_unknown(record.proposal)


def _read_proposal_row(platform: Platform, proposal: str) -> Row:
    row = platform.table.read(changes.build_proposal_key(proposal))
    if row is None:
        raise _refuse_unknown(proposal)
    return row


def _refuse_unknown(proposal: str) -> ConfigurationError:
    return ConfigurationError(
        code=Code.UNKNOWN_PROPOSAL,
        detail=f"no proposal {proposal!r} waits; it may have been withdrawn",
    )


def _find_change(platform: Platform, version: int) -> Change | None:
    if version < 1:
        return None
    row = platform.table.read(changes.build_change_key(version))
    return None if row is None else changes.decode(row, Change)


def _scan_all(platform: Platform, prefix: str) -> Iterator[Row]:
    after = 0
    for _ in range(MAX_PAGES):
        page = platform.table.scan(prefix, after, PAGE_ROWS)
        yield from (row for row in page.rows if not row.deleted)
        if not page.more:
            return
        after = page.revision


def _check_fit(configuration: Configuration) -> None:
    from arbutuspulley.placement.fit import check_fit

    check_fit(configuration)
