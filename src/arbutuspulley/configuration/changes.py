"""Records of accepted changes and of proposals, and the approval decision.

The table holds one row for each accepted change, a head row that names the newest
one, and a row for each waiting proposal. The object store holds the whole of every
proposed configuration under its digest, so that a change too large for a row, a gap
or a start needs one object and no replay. This module does no I/O; see :mod:`.store`.
"""

import hashlib
from collections.abc import Collection
from typing import TypeVar

import msgspec

from arbutuspulley.configuration.difference import (
    Delta,
    Difference,
    build_delta,
    compare,
    compute_digest,
)
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import Message, Value
from arbutuspulley.ports.platform import Row
from arbutuspulley.results import Code, ConfigurationError

HEAD_KEY = "config/head"
"""Row of :class:`Head`."""

CHANGE_PREFIX = "config/change/"
"""Rows of :class:`Change`, by version with leading zeros."""

PROPOSAL_PREFIX = "config/proposal/"
"""Rows of waiting :class:`Proposal` records, by id."""

ACCEPTED_PREFIX = "config/accepted/"
"""Rows of :class:`AcceptedProposal`, by the id of the proposal."""

RESULT_PREFIX = "config/result/"
"""Objects with whole configurations, by digest."""

FILE_PREFIX = "config/file/"
"""Objects with the text of proposed files, by SHA-256."""

MAX_DELTA_BYTES = 32 * 1024
"""Largest delta kept in a row; for a larger change readers load the object."""

MAX_KEPT_CHANGES = 10_000
"""Accepted changes whose rows stay; older ones are deleted as new ones come."""

_ID_CHARACTERS = 16

_Record = TypeVar("_Record", bound=Message)


class Head(Message, frozen=True):
    """The newest accepted version."""

    version: int
    digest: str


class Change(Message, frozen=True):
    """One accepted change.

    :param base_version: the version that the operator saw it compared with.
    :param delta: steps from the base version, or ``None`` to load the object.
    :param digest: of the configuration that it results in.
    :param base_digest: of the configuration that it was based on.
    :param approved_at_ms: wall clock of the console, for display only.
    """

    version: int
    base_version: int
    proposal: str
    approver: str
    digest: str
    base_digest: str = ""
    delta: Delta | None = None
    proposer: str = ""
    note: str = ""
    approved_at_ms: int = 0


class FileReference(Message, frozen=True):
    """A proposed file; its text is the object with this SHA-256."""

    name: str
    sha256: str


class Proposal(Message, frozen=True):
    """A change that waits for approval.

    :param proposal: its id, the same whenever the same result is proposed on the
        same base.
    :param base_version: the newest version as it was proposed.
    :param version: the version that it becomes if approved.
    :param digest: of the configuration that it results in.
    :param proposed_at_ms: wall clock of the console, for display only.
    """

    proposal: str
    base_version: int
    base_digest: str
    version: int
    digest: str
    proposer: str
    note: str = ""
    files: tuple[FileReference, ...] = ()
    proposed_at_ms: int = 0


class AcceptedProposal(Message, frozen=True):
    """Tells what became of a proposal, to whoever approves it again."""

    version: int
    digest: str
    approver: str


class CurrentConfiguration(Value, frozen=True):
    """The newest configuration known, which a change must be based on.

    :param stored_version: the store's newest version. It lies below that of
        ``configuration`` after the store was restored to an older state.
    :param head_revision: revision of the head row.
    """

    configuration: Configuration
    digest: str
    stored_version: int
    head_revision: int

    @property
    def store_is_outdated(self) -> bool:
        """Whether an instance has a newer version in force than the store holds."""
        return self.configuration.version > self.stored_version


class StaleBaseError(ConfigurationError):
    """Another change was accepted since this one was proposed.

    :param differences: what was accepted in between.
    """

    def __init__(self, *, detail: str, differences: tuple[Difference, ...]) -> None:
        super().__init__(code=Code.BASE_VERSION_STALE, detail=detail)
        self.differences = differences


def build_change_key(version: int) -> str:
    """Return the row key of an accepted change."""
    return f"{CHANGE_PREFIX}{version:010d}"


def build_proposal_key(proposal: str) -> str:
    """Return the row key of a waiting proposal."""
    return f"{PROPOSAL_PREFIX}{proposal}"


def build_accepted_key(proposal: str) -> str:
    """Return the row key that tells what became of a proposal."""
    return f"{ACCEPTED_PREFIX}{proposal}"


def build_result_name(digest: str) -> str:
    """Return the name of the object with a whole configuration."""
    return f"{RESULT_PREFIX}{digest}"


def build_proposal_id(*, base_digest: str, digest: str) -> str:
    """Return the id of the proposal of this result on this base.

    Proposing twice after a lost reply gives the same proposal, not two.
    """
    joined = f"{base_digest}/{digest}".encode()
    return hashlib.sha256(joined).hexdigest()[:_ID_CHARACTERS]


def encode(record: Message) -> bytes:
    """Return a record as stored in a row."""
    return msgspec.json.encode(record)


def decode(row: Row, kind: type[_Record]) -> _Record:
    """Return the record of a row.

    :raises ConfigurationError: if the row holds something else.
    """
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            code=Code.BAD_SCHEMA, detail=f"row {row.key} cannot be read: {error}"
        ) from error


def choose_current(
    stored: Configuration, active: Configuration, *, head_revision: int
) -> CurrentConfiguration:
    """Return the newest of the store's configuration and one that is in force.

    A store that was restored from a backup may hold version 7 while instances have
    9 in force. A change approved on 7 would make another version 8, which every
    instance ignores for being lower, and the operator would see it accepted and never
    in force. Counting on from the higher of both keeps versions strictly upward.
    """
    newest = active if active.version > stored.version else stored
    return CurrentConfiguration(
        configuration=newest,
        digest=compute_digest(newest),
        stored_version=stored.version,
        head_revision=head_revision,
    )


def check_removed_sites(
    current: Configuration, result: Configuration, *, removed: Collection[str]
) -> None:
    """Check that no site is dropped by mistake.

    A forgotten overlay would take a whole site out of service, and on a phone the
    removal is one line among many.

    :param removed: sites that are left out on purpose.
    :raises ConfigurationError: if another site is missing from the result.
    """
    missing = sorted(current.sites.keys() - result.sites.keys() - set(removed))
    if not missing:
        return
    raise ConfigurationError(
        code=Code.BAD_REFERENCE,
        detail=(
            f"version {current.version} has the site {', '.join(missing)} and no "
            "overlay was given for it; name it as removed if that is meant"
        ),
    )


def check_base(
    proposal: Proposal,
    current: CurrentConfiguration,
    *,
    base_version: int,
    base: Configuration | None,
) -> None:
    """Check that nothing was accepted since a change was proposed.

    :param base_version: the base version that the operator saw when approving.
    :param base: the configuration that the proposal is based on, if still known.
    :raises StaleBaseError: if the base is no longer the newest version.
    """
    is_newest = proposal.base_digest == current.digest
    if is_newest and base_version == proposal.base_version:
        return
    differences = compare(base, current.configuration) if base else ()
    raise StaleBaseError(
        detail=(
            f"proposal {proposal.proposal} is based on version "
            f"{proposal.base_version}, approval was given for base {base_version}, "
            f"and version {current.configuration.version} is the newest; "
            "propose it again on that one"
        ),
        differences=differences,
    )


def build_change(
    proposal: Proposal,
    current: CurrentConfiguration,
    result: Configuration,
    *,
    approver: str,
    now_ms: int,
) -> Change:
    """Return the record of an approved proposal."""
    delta: Delta | None = build_delta(current.configuration, result)
    is_large = len(msgspec.json.encode(delta)) > MAX_DELTA_BYTES
    if current.store_is_outdated or is_large:
        delta = None
    return Change(
        version=proposal.version,
        base_version=proposal.base_version,
        proposal=proposal.proposal,
        approver=approver,
        digest=proposal.digest,
        base_digest=proposal.base_digest,
        delta=delta,
        proposer=proposal.proposer,
        note=proposal.note,
        approved_at_ms=now_ms,
    )
