"""Stored records of changes and proposals, and the decision logic of approvals.

The table has one row for each accepted change, a head row with the newest version, and
one row for each pending proposal. The object store has every proposed configuration in
full under its digest, so that a process that starts, has a gap, or reads a change too
large for a row loads one object instead of replaying changes. This module does no I/O;
see :mod:`.store`.
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
from arbutuspulley.decoding import UndecodableError, decode_json
from arbutuspulley.ports.platform import Row
from arbutuspulley.results import Code, ConfigurationError

HEAD_KEY = "config/head"
"""Row of :class:`Head`."""

CHANGE_PREFIX = "config/change/"
"""Rows of :class:`Change`, by version, padded with zeros."""

PROPOSAL_PREFIX = "config/proposal/"
"""Rows of pending :class:`Proposal` records, by id."""

ACCEPTED_PREFIX = "config/accepted/"
"""Rows of :class:`AcceptedProposal`, by proposal id."""

RESULT_PREFIX = "config/result/"
"""Objects with full configurations, by digest."""

FILE_PREFIX = "config/file/"
"""Objects with the text of proposed files, by SHA-256."""

MAX_DELTA_BYTES = 32 * 1024
"""Maximum size of a delta in a row; readers of a larger change load the object."""

MAX_KEPT_CHANGES = 10_000
"""Number of newest accepted changes kept; each new change deletes an older one."""

_ID_CHARACTERS = 16

_Record = TypeVar("_Record", bound=Message)


class Head(Message, frozen=True):
    """The newest accepted version."""

    version: int
    digest: str


class Change(Message, frozen=True):
    """One accepted change.

    :param base_version: the version that the change was compared with for the operator.
    :param delta: delta from the base version, or ``None`` if the object must be loaded.
    :param digest: digest of the resulting configuration.
    :param base_digest: digest of the base configuration.
    :param approved_at_ms: wall-clock time of the console, for display only.
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
    """A proposed file; its text is stored as the object with this SHA-256."""

    name: str
    sha256: str


class Proposal(Message, frozen=True):
    """A change that is pending approval.

    :param proposal: id of the proposal; the same result proposed on the same base has
        the same id.
    :param base_version: the newest version at the time of the proposal.
    :param base_digest: digest of the base configuration.
    :param version: the version that the change gets if it is approved.
    :param digest: digest of the resulting configuration.
    :param proposed_at_ms: wall-clock time of the console, for display only.
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
    """The outcome of an accepted proposal, returned to repeated approvals."""

    version: int
    digest: str
    approver: str


class CurrentConfiguration(Value, frozen=True):
    """The newest known configuration, which a change must be based on.

    :param digest: digest of ``configuration``.
    :param stored_version: the newest version in the store. It is lower than that of
        ``configuration`` after the store was restored to an older state.
    :param head_revision: revision of the head row.
    """

    configuration: Configuration
    digest: str
    stored_version: int
    head_revision: int

    @property
    def store_is_outdated(self) -> bool:
        """Whether an instance has activated a newer version than the store holds."""
        return self.configuration.version > self.stored_version


class StaleBaseError(ConfigurationError):
    """Another change was accepted after this one was proposed.

    :param differences: differences between the proposal's base and the newest version.
    """

    def __init__(self, *, detail: str, differences: tuple[Difference, ...]) -> None:
        super().__init__(code=Code.BASE_VERSION_STALE, detail=detail)
        self.differences = differences


def build_change_key(version: int) -> str:
    """Return the row key of an accepted change."""
    return f"{CHANGE_PREFIX}{version:010d}"


def build_proposal_key(proposal: str) -> str:
    """Return the row key of a pending proposal."""
    return f"{PROPOSAL_PREFIX}{proposal}"


def build_accepted_key(proposal: str) -> str:
    """Return the row key of an accepted proposal."""
    return f"{ACCEPTED_PREFIX}{proposal}"


def build_result_name(digest: str) -> str:
    """Return the name of the object with a full configuration."""
    return f"{RESULT_PREFIX}{digest}"


def build_proposal_id(*, base_digest: str, digest: str) -> str:
    """Return the id of a proposal, derived from its base and its result.

    A proposal repeated after a lost reply therefore has the same id and is no second
    proposal.
    """
    joined = f"{base_digest}/{digest}".encode()
    return hashlib.sha256(joined).hexdigest()[:_ID_CHARACTERS]


def encode(record: Message) -> bytes:
    """Encode a record as the value of a row."""
    return msgspec.json.encode(record)


def decode(row: Row, kind: type[_Record]) -> _Record:
    """Decode the value of a row.

    :raises ConfigurationError: if the row holds no valid record of this type.
    """
    try:
        return decode_json(row.value, kind)
    except UndecodableError as error:
        raise ConfigurationError(
            code=Code.BAD_SCHEMA, detail=f"row {row.key} cannot be read: {error}"
        ) from error


def choose_current(
    stored: Configuration, active: Configuration, *, head_revision: int
) -> CurrentConfiguration:
    """Return the newer of the stored and the active configuration.

    A store that was restored from a backup may hold version 7 while version 9 is active
    on the instances. A change approved on 7 would become another version 8, which every
    instance ignores as lower: the operator would see it accepted but it would never
    become active. Continuing from the higher of the two keeps versions strictly
    increasing.
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
    """Check that no site is removed by mistake.

    A forgotten overlay would take an entire site out of service, and on a phone's
    screen the removal is one line among many.

    :param removed: sites that are removed on purpose.
    :raises ConfigurationError: if any other site is missing from the result.
    """
    missing = sorted(current.sites.keys() - result.sites.keys() - set(removed))
    if not missing:
        return
    raise ConfigurationError(
        code=Code.BAD_REFERENCE,
        detail=(
            f"version {current.version} has the site {', '.join(missing)} and no "
            "overlay was given for it; list it as removed if this is intended"
        ),
    )


def check_base(
    proposal: Proposal,
    current: CurrentConfiguration,
    *,
    base_version: int,
    base: Configuration | None,
) -> None:
    """Check that no other change was accepted after a change was proposed.

    :param base_version: the base version that was shown to the approving operator.
    :param base: the configuration that the proposal is based on, if still stored.
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
            "propose it again based on that version"
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
