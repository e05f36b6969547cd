"""Messages of the operators' API, as JSON; used by console and command line."""

from typing import Annotated

import msgspec

from arbutuspulley.configuration.changes import Change, Proposal
from arbutuspulley.configuration.difference import Difference
from arbutuspulley.data import Message
from arbutuspulley.rpc.messages import InstanceStatus

FileName = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class FileText(Message, frozen=True):
    """A configuration file, as its author wrote it."""

    name: FileName
    text: str


class ProposeRequest(Message, frozen=True):
    """Asks to lay a set of files down for approval.

    :param remove_sites: sites whose overlay is left out on purpose.
    """

    base: FileText
    overlays: tuple[FileText, ...]
    note: str = ""
    remove_sites: tuple[str, ...] = ()


class ApproveRequest(Message, frozen=True):
    """Asks to accept a proposal.

    :param base_version: the base version that the operator saw.
    """

    base_version: int


class RollForwardRequest(Message, frozen=True):
    """Asks to propose the content of an earlier version as the next one."""

    version: int


class Done(Message, frozen=True):
    """It is done; there is nothing more to tell."""

    detail: str = ""


class ProposalView(Message, frozen=True):
    """A waiting proposal.

    :param differences: what it changes against its base version.
    :param is_stale: whether another change was accepted since; it must then be
        proposed again.
    :param current_version: the newest version now.
    :param since: what was accepted since, if it is stale.
    """

    proposal: Proposal
    is_stale: bool
    current_version: int
    differences: tuple[Difference, ...] = ()
    since: tuple[Difference, ...] = ()


class ProposalList(Message, frozen=True):
    """All waiting proposals, oldest first, without their differences."""

    current_version: int
    proposals: tuple[ProposalView, ...] = ()


class ApprovalView(Message, frozen=True):
    """A change is accepted.

    :param repeated: whether it had been accepted before, for example by a first
        press whose reply was lost. There is still one change only.
    """

    version: int
    approver: str
    repeated: bool = False


class VersionList(Message, frozen=True):
    """The newest accepted changes, newest first, without their steps."""

    versions: tuple[Change, ...] = ()


class VersionView(Message, frozen=True):
    """One accepted version and what it changed."""

    change: Change
    differences: tuple[Difference, ...] = ()


class MergedView(Message, frozen=True):
    """A whole configuration as merged.

    :param text: as YAML, with the hashes of keys hidden.
    """

    version: int
    text: str


class StatusView(Message, frozen=True):
    """What is in force where.

    :param summary: one line for a phone.
    :param accepted_version: the newest accepted version known.
    :param stored_version: what the store holds; ``None`` if it cannot be reached.
    :param in_force_on: instances on which the accepted version is in force.
    :param waiting_for: the others.
    :param alarms: what needs a person, one line each.
    """

    summary: str
    accepted_version: int
    stored_version: int | None
    instances: tuple[InstanceStatus, ...] = ()
    in_force_on: tuple[str, ...] = ()
    waiting_for: tuple[str, ...] = ()
    alarms: tuple[str, ...] = ()


class ErrorLine(Message, frozen=True):
    """One numbered error.

    :param file: the configuration file at fault, if one is.
    :param key: the path of the key at fault.
    """

    code: int
    name: str
    detail: str
    file: str = ""
    key: str = ""


class ErrorReply(Message, frozen=True):
    """A refusal; nothing was changed unless a code says otherwise.

    :param differences: what was accepted in between, if the base was stale.
    """

    errors: tuple[ErrorLine, ...]
    differences: tuple[Difference, ...] = ()
