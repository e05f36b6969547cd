"""Reading and storing of configurations, changes and proposals in the platform.

All functions block on the platform and run on worker threads. They raise
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
from arbutuspulley.ports.platform import ABSENT, Objects, Platform, Row
from arbutuspulley.results import Code, ConfigurationError

PAGE_ROWS = 200
"""Rows asked for in one scan."""

MAX_PAGES = 50
"""Pages read of the waiting proposals; more are not listed."""


class ConfigurationSnapshot(Value, frozen=True):
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


def load_latest(platform: Platform) -> Configuration:
    """Return the newest accepted configuration; the empty one before the first."""
    return _load_head(platform)[0]


def read_head_version(platform: Platform) -> int:
    """Return the newest version that the store holds; 0 before the first."""
    row = platform.table.read(changes.HEAD_KEY)
    return 0 if row is None else changes.decode(row, Head).version


def load_snapshot(platform: Platform) -> ConfigurationSnapshot:
    """Return the newest accepted configuration and where to go on from it."""
    page = platform.table.scan(changes.HEAD_KEY, 0, 1)
    configuration, revision = _load_head(platform)
    return ConfigurationSnapshot(
        configuration=configuration, revision=revision, table_id=page.table_id
    )


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
        start = load_snapshot(platform)
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


def find_current(
    platform: Platform, *, active: Configuration = EMPTY
) -> CurrentConfiguration:
    """Return the newest configuration known.

    :param active: the newest one that an instance is known to have in force.
    """
    stored, head_revision = _load_head(platform)
    return changes.choose_current(stored, active, head_revision=head_revision)


def read_proposal(platform: Platform, proposal: str) -> Proposal:
    """Return a waiting proposal.

    :raises ConfigurationError: if there is none with this id.
    """
    row = find_proposal_row(platform, proposal)
    if row is None:
        raise build_unknown_proposal_error(proposal)
    return changes.decode(row, Proposal)


def list_proposals(platform: Platform) -> tuple[Proposal, ...]:
    """Return the waiting proposals, oldest first."""
    rows = _scan_all(platform, changes.PROPOSAL_PREFIX)
    return tuple(changes.decode(row, Proposal) for row in rows)


def read_change(platform: Platform, version: int) -> Change:
    """Return the record of an accepted version.

    :raises ConfigurationError: if it is unknown or no longer kept.
    """
    change = find_change(platform, version)
    if change is None:
        raise ConfigurationError(
            code=Code.NOT_FOUND, detail=f"version {version} is not known"
        )
    return change


def list_changes(platform: Platform, *, newest: int) -> tuple[Change, ...]:
    """Return the newest accepted changes, newest first."""
    head_version = read_head_version(platform)
    found = (find_change(platform, head_version - offset) for offset in range(newest))
    return tuple(change for change in found if change is not None)


def find_result(platform: Platform, digest: str) -> Configuration | None:
    """Return the whole configuration with this digest, or ``None``."""
    try:
        return load_result(platform, digest)
    except ConfigurationError:
        return None


def find_base(platform: Platform, proposal: Proposal) -> Configuration | None:
    """Return the configuration that a proposal is based on, or ``None``."""
    if proposal.base_version == 0:
        return EMPTY
    return find_result(platform, proposal.base_digest)


def put_file(objects: Objects, name: str, text: str) -> FileReference:
    """Store the text of a proposed file under its hash."""
    data = text.encode()
    sha256 = hashlib.sha256(data).hexdigest()
    objects.put_if_absent(f"{changes.FILE_PREFIX}{sha256}", zlib.compress(data))
    return FileReference(name=name, sha256=sha256)


def put_result(objects: Objects, configuration: Configuration) -> str:
    """Store a whole configuration and return its digest.

    Storing it again, after a lost reply, changes nothing.
    """
    digest = compute_digest(configuration)
    data = msgspec.json.encode(configuration, order="sorted")
    objects.put_if_absent(changes.build_result_name(digest), zlib.compress(data))
    return digest


def find_proposal_row(platform: Platform, proposal: str) -> Row | None:
    """Return the row of a waiting proposal, or ``None``."""
    return platform.table.read(changes.build_proposal_key(proposal))


def build_unknown_proposal_error(proposal: str) -> ConfigurationError:
    """Return the error for a proposal that does not wait."""
    return ConfigurationError(
        code=Code.UNKNOWN_PROPOSAL,
        detail=f"no proposal {proposal!r} waits; it may have been withdrawn",
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
