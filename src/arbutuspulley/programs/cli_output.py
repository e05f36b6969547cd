"""Formats the replies of the console as plain text for a terminal or a phone."""

import datetime
from collections.abc import Iterable

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.changes import Change, Proposal
from arbutuspulley.configuration.difference import Difference
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.programs.console_messages import (
    ApprovalView,
    ErrorLine,
    ErrorReply,
    ProposalList,
    ProposalView,
    StatusView,
    VersionList,
    VersionView,
)


def describe_checked(configuration: Configuration) -> str:
    """Return a summary line for each site of a valid configuration."""
    lines = ["all files are valid and everything fits"]
    for name, site in configuration.sites.items():
        lines.append(
            f"  {name}: {len(site.models)} models, {len(site.adapters)} adapters, "
            f"{len(site.servers)} servers, {len(site.services)} services, "
            f"{len(site.callers)} callers"
        )
    return "\n".join(lines)


def describe_proposal(view: ProposalView) -> str:
    """Return a proposal, its differences and the command for the next step."""
    record = view.proposal
    lines = [_title(record), *_list_differences(view.differences)]
    if view.is_stale:
        lines.append(
            f"version {view.current_version} was accepted since; propose it again:"
        )
        lines.extend(_list_differences(view.since))
    else:
        command = f"arbutus approve {record.proposal} --base {record.base_version}"
        lines.append(f"to accept it: {command}")
    return "\n".join(lines)


def describe_proposals(reply: ProposalList) -> str:
    """Return a line for each pending proposal."""
    lines = [f"newest version: {reply.current_version}"]
    for view in reply.proposals:
        state = "stale" if view.is_stale else "waiting"
        lines.append(f"{_title(view.proposal)} [{state}]")
    if not reply.proposals:
        lines.append("nothing waits")
    return "\n".join(lines)


def describe_approval(view: ApprovalView) -> str:
    """Return the accepted version and its approver."""
    again = " (it had been accepted before)" if view.repeated else ""
    return f"accepted as version {view.version} by {view.approver}{again}"


def describe_version(view: VersionView) -> str:
    """Return an accepted version and its differences."""
    lines = [_line_of(view.change), *_list_differences(view.differences)]
    return "\n".join(lines)


def describe_versions(reply: VersionList) -> str:
    """Return a line for each accepted version."""
    if not reply.versions:
        return "nothing accepted yet"
    return "\n".join(_line_of(change) for change in reply.versions)


def describe_status(view: StatusView) -> str:
    """Return the active versions of all instances, after the alarms."""
    lines = [view.summary, *(f"ALARM: {alarm}" for alarm in view.alarms)]
    for instance in view.instances:
        entries = ", ".join(
            f"{name} {version}" for name, version in instance.entry_versions.items()
        )
        state = "" if instance.reachable else ", does not answer"
        shown = f" (entries: {entries})" if entries else ""
        lines.append(
            f"  {instance.instance} at {instance.site}: "
            f"{instance.configuration_version}{shown}{state}"
        )
    return "\n".join(lines)


def describe_refusal(reply: ErrorReply) -> str:
    """Return numbered errors and the differences accepted in the meantime."""
    lines = [_show_error(error) for error in reply.errors]
    if reply.differences:
        lines.append("accepted in between:")
        lines.extend(_list_differences(reply.differences))
    return "\n".join(lines)


def _title(record: Proposal) -> str:
    title = (
        f"proposal {record.proposal} by {record.proposer} "
        f"on base version {record.base_version}"
    )
    return f"{title}: {record.note}" if record.note else title


def _line_of(change: Change) -> str:
    seconds = change.approved_at_ms / SECOND_MS
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    line = (
        f"version {change.version}: approved by {change.approver} "
        f"at {when:%Y-%m-%d %H:%M:%S} UTC"
    )
    return f"{line}: {change.note}" if change.note else line


def _list_differences(differences: Iterable[Difference]) -> list[str]:
    return [f"  {difference.show()}" for difference in differences] or [
        "  no difference"
    ]


def _show_error(error: ErrorLine) -> str:
    where = ": ".join(part for part in (error.file, error.key) if part)
    shown = f"error {error.code} ({error.name}): {error.detail}"
    return f"{where}: {shown}" if where else shown
