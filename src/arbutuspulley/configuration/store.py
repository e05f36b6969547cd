"""Access to configurations, changes and proposals stored in the platform.

All functions block on calls to the platform and run on worker threads. They raise
:class:`~arbutuspulley.results.PlatformUnavailableError` if the platform does not
answer.
"""

import hashlib
import zlib
from collections.abc import Iterator

import msgspec

from arbutuspulley.configuration import changes
from arbutuspulley.configuration.changes import (
    Change,
    CurrentConfiguration,
    FileReference,
    Head,
    Proposal,
)
from arbutuspulley.configuration.difference import compute_digest
from arbutuspulley.configuration.schema import EMPTY, Configuration
from arbutuspulley.data import Value
from arbutuspulley.decoding import UndecodableError, decode_json
from arbutuspulley.ports.platform import ABSENT, Objects, Platform, Row
from arbutuspulley.results import Code, ConfigurationError

PAGE_ROWS = 200
"""Rows per page of a scan."""

MAX_PAGES = 50
"""Maximum number of pages of pending proposals read; later ones are not listed."""


class ConfigurationSnapshot(Value, frozen=True):
    """The newest accepted configuration, from which a process follows later changes.

    :param revision: revision to pass to :func:`read_changes` to read later changes.
    :param table_id: id of the table's history that the revision belongs to.
    """

    configuration: Configuration
    revision: int
    table_id: str


class ChangePage(Value, frozen=True):
    """A page of accepted changes after a revision.

    :param revision: revision to pass to the next call.
    :param table_id: id of the table's history that the revision belongs to.
    :param more: whether another page is known to follow.
    :param restored: the store's newest configuration, if the table was restored from
        a backup since the last call. Pass it to
        :func:`~arbutuspulley.configuration.activation.activate_if_newer`; it may be
        older than the active one.
    """

    changes: tuple[Change, ...]
    revision: int
    table_id: str
    more: bool = False
    restored: Configuration | None = None


def load_latest(platform: Platform) -> Configuration:
    """Return the newest accepted configuration, the empty one if there is none."""
    return _load_head(platform)[0]


def read_head_version(platform: Platform) -> int:
    """Return the newest version in the store, 0 if there is none."""
    row = platform.table.read(changes.HEAD_KEY)
    return 0 if row is None else changes.decode(row, Head).version


def load_snapshot(platform: Platform) -> ConfigurationSnapshot:
    """Return the newest accepted configuration and the revision to continue from."""
    page = platform.table.scan(changes.HEAD_KEY, 0, 1)
    configuration, revision = _load_head(platform)
    return ConfigurationSnapshot(
        configuration=configuration, revision=revision, table_id=page.table_id
    )


def read_changes(
    platform: Platform, after_revision: int, *, table_id: str = ""
) -> ChangePage:
    """Return accepted changes whose rows were written after a revision.

    A restored table may have lower revisions than this process has already seen, so
    that continuing from the old revision would miss all changes for a long time. The
    table id detects this, and reading then restarts from the head.

    :param table_id: id of the table's history that the revision belongs to, empty if
        unknown.
    """
    page = platform.table.scan(changes.CHANGE_PREFIX, after_revision, PAGE_ROWS)
    if table_id and page.table_id != table_id:
        snapshot = load_snapshot(platform)
        return ChangePage(
            changes=(),
            revision=snapshot.revision,
            table_id=snapshot.table_id,
            restored=snapshot.configuration,
        )
    rows = [row for row in page.rows if not row.deleted]
    return ChangePage(
        changes=tuple(changes.decode(row, Change) for row in rows),
        revision=page.revision,
        table_id=page.table_id,
        more=page.more,
    )


def load_result(platform: Platform, digest: str) -> Configuration:
    """Return the configuration with this digest from the object store.

    :raises ConfigurationError: if the object is missing or its content does not match
        the digest.
    """
    data = platform.objects.get(changes.build_result_name(digest))
    if data is None:
        raise ConfigurationError(
            code=Code.NOT_FOUND,
            detail=f"the object store has no configuration {digest}",
        )
    try:
        configuration = decode_json(zlib.decompress(data), Configuration)
    except (zlib.error, UndecodableError):
        configuration = EMPTY
    if compute_digest(configuration) != digest:
        raise ConfigurationError(
            code=Code.BAD_SCHEMA,
            detail=f"the object of configuration {digest} is corrupt",
        )
    return configuration


def find_current(
    platform: Platform, *, active: Configuration = EMPTY
) -> CurrentConfiguration:
    """Return the newest known configuration, stored or active.

    :param active: the newest configuration known to be active on an instance.
    """
    stored, head_revision = _load_head(platform)
    return changes.choose_current(stored, active, head_revision=head_revision)


def read_proposal(platform: Platform, proposal: str) -> Proposal:
    """Return a pending proposal.

    :raises ConfigurationError: if there is no pending proposal with this id.
    """
    row = find_proposal_row(platform, proposal)
    if row is None:
        raise build_unknown_proposal_error(proposal)
    return changes.decode(row, Proposal)


def list_proposals(platform: Platform) -> tuple[Proposal, ...]:
    """Return the pending proposals, oldest first."""
    rows = _scan_all(platform, changes.PROPOSAL_PREFIX)
    return tuple(changes.decode(row, Proposal) for row in rows)


def read_change(platform: Platform, version: int) -> Change:
    """Return the record of an accepted version.

    :raises ConfigurationError: if the version is unknown or its record was deleted.
    """
    change = find_change(platform, version)
    if change is None:
        raise ConfigurationError(
            code=Code.NOT_FOUND, detail=f"version {version} is unknown"
        )
    return change


def list_changes(platform: Platform, *, newest: int) -> tuple[Change, ...]:
    """Return the newest accepted changes, newest first.

    :param newest: number of versions to look up.
    """
    head_version = read_head_version(platform)
    found = (find_change(platform, head_version - offset) for offset in range(newest))
    return tuple(change for change in found if change is not None)


def find_result(platform: Platform, digest: str) -> Configuration | None:
    """Return the configuration with this digest, or ``None`` if it cannot be loaded."""
    try:
        return load_result(platform, digest)
    except ConfigurationError:
        return None


def find_base(platform: Platform, proposal: Proposal) -> Configuration | None:
    """Return the base configuration of a proposal, or ``None`` if it is unavailable."""
    if proposal.base_version == 0:
        return EMPTY
    return find_result(platform, proposal.base_digest)


def put_file(objects: Objects, name: str, text: str) -> FileReference:
    """Store the text of a proposed file under its SHA-256."""
    data = text.encode()
    sha256 = hashlib.sha256(data).hexdigest()
    objects.put_if_absent(f"{changes.FILE_PREFIX}{sha256}", zlib.compress(data))
    return FileReference(name=name, sha256=sha256)


def put_result(objects: Objects, configuration: Configuration) -> str:
    """Store a configuration in full and return its digest.

    The call is idempotent, so that it can be retried after a lost reply.
    """
    digest = compute_digest(configuration)
    data = msgspec.json.encode(configuration, order="sorted")
    objects.put_if_absent(changes.build_result_name(digest), zlib.compress(data))
    return digest


def find_proposal_row(platform: Platform, proposal: str) -> Row | None:
    """Return the row of a pending proposal, or ``None``."""
    return platform.table.read(changes.build_proposal_key(proposal))


def build_unknown_proposal_error(proposal: str) -> ConfigurationError:
    """Return the error for a proposal that is not pending."""
    return ConfigurationError(
        code=Code.UNKNOWN_PROPOSAL,
        detail=f"no proposal {proposal!r} is pending; it may have been withdrawn",
    )


def find_change(platform: Platform, version: int) -> Change | None:
    """Return the record of an accepted version, or ``None``."""
    if version < 1:
        return None
    row = platform.table.read(changes.build_change_key(version))
    return None if row is None else changes.decode(row, Change)


def _load_head(platform: Platform) -> tuple[Configuration, int]:
    row = platform.table.read(changes.HEAD_KEY)
    if row is None:
        return EMPTY, ABSENT
    head = changes.decode(row, Head)
    return load_result(platform, head.digest), row.revision


def _scan_all(platform: Platform, prefix: str) -> Iterator[Row]:
    after = 0
    for _ in range(MAX_PAGES):
        page = platform.table.scan(prefix, after, PAGE_ROWS)
        yield from (row for row in page.rows if not row.deleted)
        if not page.more:
            return
        after = page.revision
