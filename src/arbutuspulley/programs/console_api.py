"""The operations of the operators' API.

The console is stateless: concurrent operations are serialised by the preconditions of
the table's transactions. So each operation runs on the worker thread that serves its
request, without locks.
"""

import contextlib
from collections.abc import Callable

import msgspec

from arbutuspulley.clock import read_wall
from arbutuspulley.configuration import approval, store
from arbutuspulley.configuration.changes import Change, CurrentConfiguration, Proposal
from arbutuspulley.configuration.difference import compare
from arbutuspulley.configuration.files import SourceFile
from arbutuspulley.configuration.merge import FileSet
from arbutuspulley.configuration.schema import EMPTY, Configuration
from arbutuspulley.data import Value
from arbutuspulley.events import Event, log_event
from arbutuspulley.ports.platform import Platform
from arbutuspulley.programs.console_messages import (
    ApprovalView,
    ApproveRequest,
    Done,
    FileText,
    MergedView,
    ProposalList,
    ProposalView,
    ProposeRequest,
    RollForwardRequest,
    StatusView,
    VersionList,
    VersionView,
)
from arbutuspulley.programs.console_views import (
    build_status_view,
    choose_active_configuration,
    write_merged,
)
from arbutuspulley.results import (
    ArbutusError,
    Code,
    ConfigurationError,
    PlatformUnavailableError,
)
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import FleetStatus

MAX_LISTED_VERSIONS = 20
"""Number of accepted versions that are listed, the newest ones."""

ABOVE_ALL_VERSIONS = 2**62
"""Version number that no version exceeds: a status request with it gets no
configuration."""

MAX_NOTE_CHARACTERS = 500
"""Maximum length of the note on a proposal, in characters."""


class ApiContext(Value, frozen=True):
    """Dependencies of the operations.

    :param fetch_status: ``fetch_status(version)`` requests the status from the
        instance's controller, with the active configuration if its version is above
        ``version``; raises :class:`~arbutuspulley.rpc.channel.PeerUnavailableError`.
    """

    platform: Platform
    fetch_status: Callable[[int], FleetStatus]


def propose(
    context: ApiContext, operator: str, request: ProposeRequest
) -> ProposalView:
    """Create a proposal from files and return it with its differences."""
    if len(request.note) > MAX_NOTE_CHARACTERS:
        raise ConfigurationError(
            code=Code.BAD_PARAMETER,
            detail=f"the note is longer than {MAX_NOTE_CHARACTERS} characters",
        )
    proposal = approval.propose(
        context.platform,
        files=FileSet(
            base=_build_file(request.base),
            overlays=tuple(_build_file(file) for file in request.overlays),
        ),
        proposer=operator,
        now_ms=read_wall(),
        note=request.note,
        remove_sites=request.remove_sites,
        active=_find_active_configuration(context),
    )
    _log_proposal(proposal)
    return show_proposal(context, proposal.proposal)


def roll_forward(
    context: ApiContext, operator: str, request: RollForwardRequest
) -> ProposalView:
    """Propose the content of an earlier version as the next one."""
    proposal = approval.roll_forward(
        context.platform,
        version=request.version,
        proposer=operator,
        now_ms=read_wall(),
        active=_find_active_configuration(context),
    )
    _log_proposal(proposal)
    return show_proposal(context, proposal.proposal)


def show_proposal(context: ApiContext, proposal: str) -> ProposalView:
    """Return a pending proposal with its differences."""
    record = store.read_proposal(context.platform, proposal)
    current = _find_current(context)
    base = store.find_base(context.platform, record) or EMPTY
    result = store.load_result(context.platform, record.digest)
    view = _build_view(record, current)
    return msgspec.structs.replace(
        view,
        differences=compare(base, result),
        since=compare(base, current.configuration) if view.is_stale else (),
    )


def list_proposals(context: ApiContext) -> ProposalList:
    """List the pending proposals."""
    current = _find_current(context)
    records = store.list_proposals(context.platform)
    return ProposalList(
        current_version=current.configuration.version,
        proposals=tuple(_build_view(record, current) for record in records),
    )


def approve(
    context: ApiContext, operator: str, proposal: str, request: ApproveRequest
) -> ApprovalView:
    """Approve a proposal."""
    try:
        outcome = approval.approve(
            context.platform,
            proposal=proposal,
            base_version=request.base_version,
            approver=operator,
            now_ms=read_wall(),
            active=_find_active_configuration(context),
        )
    except ArbutusError as error:
        log_event(
            Event.APPROVAL_REFUSED,
            proposal=proposal,
            operator=operator,
            code=error.code.value,
        )
        raise
    log_event(
        Event.CHANGE_APPROVED,
        proposal=proposal,
        operator=operator,
        version=outcome.version,
        repeated=outcome.repeated,
    )
    return ApprovalView(
        version=outcome.version,
        approver=outcome.approver,
        repeated=outcome.repeated,
    )


def withdraw(context: ApiContext, proposal: str) -> Done:
    """Withdraw a pending proposal."""
    approval.withdraw(context.platform, proposal=proposal)
    return Done(detail=f"proposal {proposal} is withdrawn")


def list_versions(context: ApiContext) -> VersionList:
    """List the newest accepted versions."""
    found = store.list_changes(context.platform, newest=MAX_LISTED_VERSIONS)
    return VersionList(versions=tuple(_strip_steps(change) for change in found))


def show_version(context: ApiContext, version: int) -> VersionView:
    """Return an accepted version and its differences."""
    platform = context.platform
    change = store.read_change(platform, version)
    result = store.load_result(platform, change.digest)
    before = store.find_result(platform, change.base_digest)
    return VersionView(
        change=_strip_steps(change), differences=compare(before or EMPTY, result)
    )


def show_merged(
    context: ApiContext, *, version: int | None, proposal: str | None
) -> MergedView:
    """Return a merged configuration: a version's, a proposal's, or the newest one."""
    platform = context.platform
    if proposal is not None:
        record = store.read_proposal(platform, proposal)
        found = store.load_result(platform, record.digest)
    elif version is not None:
        change = store.read_change(platform, version)
        found = store.load_result(platform, change.digest)
    else:
        found = _find_current(context).configuration
    return MergedView(version=found.version, text=write_merged(found))


def show_status(context: ApiContext) -> StatusView:
    """Return the active versions, as far as store and controller are available."""
    status: FleetStatus | None = None
    stored_version: int | None = None
    # The store is read last: otherwise a change accepted between the two reads would
    # look as if the store had been restored to an older state.
    with contextlib.suppress(PeerUnavailableError):
        status = context.fetch_status(ABOVE_ALL_VERSIONS)
    with contextlib.suppress(PlatformUnavailableError):
        stored_version = store.read_head_version(context.platform)
    return build_status_view(status, stored_version=stored_version)


def _find_active_configuration(context: ApiContext) -> Configuration:
    stored_version = store.read_head_version(context.platform)
    status = context.fetch_status(stored_version)
    return choose_active_configuration(status, stored_version=stored_version)


def _find_current(context: ApiContext) -> CurrentConfiguration:
    return store.find_current(
        context.platform, active=_find_active_configuration(context)
    )


def _build_view(record: Proposal, current: CurrentConfiguration) -> ProposalView:
    return ProposalView(
        proposal=record,
        is_stale=record.base_digest != current.digest,
        current_version=current.configuration.version,
    )


def _strip_steps(change: Change) -> Change:
    """Remove the delta: its steps hold the hashes of callers' keys unredacted."""
    return msgspec.structs.replace(change, delta=None)


def _build_file(file: FileText) -> SourceFile:
    return SourceFile(name=file.name, text=file.text)


def _log_proposal(proposal: Proposal) -> None:
    log_event(
        Event.CHANGE_PROPOSED,
        proposal=proposal.proposal,
        operator=proposal.proposer,
        base_version=proposal.base_version,
    )
