"""The operations of the operators' API.

The console keeps nothing between two requests: whatever two operators do at once is
decided by the preconditions of the table's transactions. So each operation runs on
the worker thread that serves its request.
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
    choose_in_force,
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

LISTED_VERSIONS = 20
"""Accepted versions listed."""

NO_CONFIGURATION = 2**62
"""A version that none is above: the status comes without a configuration."""

MAX_NOTE_CHARACTERS = 500
"""Longest note on a proposal."""


class Backend(Value, frozen=True):
    """What the operations work with.

    :param fetch_status: ``fetch_status(version)`` asks the instance's controller for
        its status, and for the configuration in force if it is above ``version``;
        raises :class:`~arbutuspulley.rpc.channel.PeerUnavailableError`.
    """

    platform: Platform
    fetch_status: Callable[[int], FleetStatus]


def propose(backend: Backend, operator: str, request: ProposeRequest) -> ProposalView:
    """Lay files down for approval and show what they change."""
    if len(request.note) > MAX_NOTE_CHARACTERS:
        raise ConfigurationError(
            code=Code.BAD_PARAMETER,
            detail=f"the note is longer than {MAX_NOTE_CHARACTERS} characters",
        )
    proposal = approval.propose(
        backend.platform,
        files=FileSet(
            base=_build_file(request.base),
            overlays=tuple(_build_file(file) for file in request.overlays),
        ),
        proposer=operator,
        now_ms=read_wall(),
        note=request.note,
        remove_sites=request.remove_sites,
        active=_find_in_force(backend),
    )
    _log_proposal(proposal)
    return show_proposal(backend, proposal.proposal)


def roll_forward(
    backend: Backend, operator: str, request: RollForwardRequest
) -> ProposalView:
    """Propose the content of an earlier version as the next one."""
    proposal = approval.roll_forward(
        backend.platform,
        version=request.version,
        proposer=operator,
        now_ms=read_wall(),
        active=_find_in_force(backend),
    )
    _log_proposal(proposal)
    return show_proposal(backend, proposal.proposal)


def show_proposal(backend: Backend, proposal: str) -> ProposalView:
    """Show a waiting proposal with what it changes."""
    record = store.read_proposal(backend.platform, proposal)
    current = _find_current(backend)
    base = store.find_base(backend.platform, record) or EMPTY
    result = store.load_result(backend.platform, record.digest)
    view = _build_view(record, current)
    return msgspec.structs.replace(
        view,
        differences=compare(base, result),
        since=compare(base, current.configuration) if view.is_stale else (),
    )


def list_proposals(backend: Backend) -> ProposalList:
    """List the waiting proposals."""
    current = _find_current(backend)
    records = store.list_proposals(backend.platform)
    return ProposalList(
        current_version=current.configuration.version,
        proposals=tuple(_build_view(record, current) for record in records),
    )


def approve(
    backend: Backend, operator: str, proposal: str, request: ApproveRequest
) -> ApprovalView:
    """Accept a proposal."""
    try:
        outcome = approval.approve(
            backend.platform,
            proposal=proposal,
            base_version=request.base_version,
            approver=operator,
            now_ms=read_wall(),
            active=_find_in_force(backend),
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


def withdraw(backend: Backend, proposal: str) -> Done:
    """Take a waiting proposal back."""
    approval.withdraw(backend.platform, proposal=proposal)
    return Done(detail=f"proposal {proposal} is withdrawn")


def list_versions(backend: Backend) -> VersionList:
    """List the newest accepted versions."""
    found = store.list_changes(backend.platform, newest=LISTED_VERSIONS)
    return VersionList(versions=tuple(_strip_steps(change) for change in found))


def show_version(backend: Backend, version: int) -> VersionView:
    """Show an accepted version and what it changed."""
    platform = backend.platform
    change = store.read_change(platform, version)
    result = store.load_result(platform, change.digest)
    before = store.find_result(platform, change.base_digest)
    return VersionView(
        change=_strip_steps(change), differences=compare(before or EMPTY, result)
    )


def show_merged(
    backend: Backend, *, version: int | None, proposal: str | None
) -> MergedView:
    """Show a whole configuration: a version, a proposal's, or the newest one."""
    platform = backend.platform
    if proposal is not None:
        record = store.read_proposal(platform, proposal)
        found = store.load_result(platform, record.digest)
    elif version is not None:
        change = store.read_change(platform, version)
        found = store.load_result(platform, change.digest)
    else:
        found = _find_current(backend).configuration
    return MergedView(version=found.version, text=write_merged(found))


def show_status(backend: Backend) -> StatusView:
    """Show what is in force where, as far as store and controller tell."""
    status: FleetStatus | None = None
    stored_version: int | None = None
    # The store is read last: a change accepted in between would otherwise look as
    # if the store had been restored to an older state.
    with contextlib.suppress(PeerUnavailableError):
        status = backend.fetch_status(NO_CONFIGURATION)
    with contextlib.suppress(PlatformUnavailableError):
        stored_version = store.read_head_version(backend.platform)
    return build_status_view(status, stored_version=stored_version)


def _find_in_force(backend: Backend) -> Configuration:
    stored_version = store.read_head_version(backend.platform)
    status = backend.fetch_status(stored_version)
    return choose_in_force(status, stored_version=stored_version)


def _find_current(backend: Backend) -> CurrentConfiguration:
    return store.find_current(backend.platform, active=_find_in_force(backend))


def _build_view(record: Proposal, current: CurrentConfiguration) -> ProposalView:
    return ProposalView(
        proposal=record,
        is_stale=record.base_digest != current.digest,
        current_version=current.configuration.version,
    )


def _strip_steps(change: Change) -> Change:
    """Leave out the steps, in which callers' keys are not hidden."""
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
