"""JSON messages of the operators' API, shared by console and command line."""

from typing import Annotated

import msgspec

from arbutuspulley.configuration.changes import Change, Proposal
from arbutuspulley.configuration.difference import Difference
from arbutuspulley.data import Message
from arbutuspulley.rpc.messages import InstanceStatus

FileName = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class FileText(Message, frozen=True):
    """Name and text of a configuration file."""

    name: FileName
    text: str


class ProposeRequest(Message, frozen=True):
    """Request to propose a set of files.

    :param note: reason for the change, shown to the approver.
    :param remove_sites: sites to remove; they have no overlay in this set.
    """

    base: FileText
    overlays: tuple[FileText, ...]
    note: str = ""
    remove_sites: tuple[str, ...] = ()


class ApproveRequest(Message, frozen=True):
    """Request to approve a proposal.

    :param base_version: base version that the proposal was shown with.
    """

    base_version: int


class RollForwardRequest(Message, frozen=True):
    """Request to propose the content of an earlier version as the next one."""

    version: int


class Done(Message, frozen=True):
    """Success of an operation that returns no data."""

    detail: str = ""


class ProposalView(Message, frozen=True):
    """A pending proposal.

    :param is_stale: whether another change has been accepted since its base version;
        a stale proposal cannot be approved and has to be proposed again.
    :param current_version: newest accepted version.
    :param differences: changes relative to its base version.
    :param since: changes accepted since its base version, if it is stale.
    """

    proposal: Proposal
    is_stale: bool
    current_version: int
    differences: tuple[Difference, ...] = ()
    since: tuple[Difference, ...] = ()


class ProposalList(Message, frozen=True):
    """All pending proposals, oldest first, without their differences."""

    current_version: int
    proposals: tuple[ProposalView, ...] = ()


class ApprovalView(Message, frozen=True):
    """Outcome of an approval.

    :param version: version that the change was accepted as.
    :param repeated: whether the proposal had been accepted before, for example by a
        request whose reply was lost. Approval is idempotent: there is one version.
    """

    version: int
    approver: str
    repeated: bool = False


class VersionList(Message, frozen=True):
    """The newest accepted changes, newest first, without their deltas."""

    versions: tuple[Change, ...] = ()


class VersionView(Message, frozen=True):
    """An accepted version and its differences from the one before."""

    change: Change
    differences: tuple[Difference, ...] = ()


class MergedView(Message, frozen=True):
    """A merged configuration.

    :param text: the configuration as YAML, with the hashes of keys redacted.
    """

    version: int
    text: str


class StatusView(Message, frozen=True):
    """Active configuration versions of the fleet.

    :param summary: summary in one line, short enough for a phone.
    :param accepted_version: newest known accepted version.
    :param stored_version: newest version in the store; ``None`` if the store is
        unavailable.
    :param in_force_on: instances on which the accepted version is active.
    :param waiting_for: instances on which it is not active yet.
    :param alarms: conditions that need an operator, one line each.
    """

    summary: str
    accepted_version: int
    stored_version: int | None
    instances: tuple[InstanceStatus, ...] = ()
    in_force_on: tuple[str, ...] = ()
    waiting_for: tuple[str, ...] = ()
    alarms: tuple[str, ...] = ()


class ErrorLine(Message, frozen=True):
    """A numbered error.

    :param file: configuration file that caused the error, if any.
    :param key: path of the key in that file.
    """

    code: int
    name: str
    detail: str
    file: str = ""
    key: str = ""


class ErrorReply(Message, frozen=True):
    """Refusal of a request; nothing was changed unless a code says otherwise.

    :param differences: changes accepted in the meantime, if the base was stale.
    """

    errors: tuple[ErrorLine, ...]
    differences: tuple[Difference, ...] = ()
