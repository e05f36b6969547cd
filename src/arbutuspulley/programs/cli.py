"""``arbutus``: the operators' command line, a client of the console's API.

Exit status: 0 on success, 1 if the command was refused (numbered errors on standard
error), 2 if the command line or a setting is invalid.
"""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar
from urllib.parse import quote

import cyclopts
import msgspec
from cyclopts import Parameter

from arbutuspulley.configuration.files import FilesError, SourceFile
from arbutuspulley.configuration.lookup import hash_key
from arbutuspulley.configuration.merge import FileSet, merge_files
from arbutuspulley.data import Message
from arbutuspulley.placement.fit import check_fit
from arbutuspulley.programs import cli_output as output
from arbutuspulley.programs.causes import print_causes
from arbutuspulley.programs.cli_client import ConsoleTarget, RefusedError, call
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
from arbutuspulley.programs.story import print_timeline
from arbutuspulley.results import ConfigurationError, SettingError
from arbutuspulley.settings import (
    SETTINGS_EXIT_STATUS,
    SettingsError,
    check_all,
    check_present,
    check_range,
    exit_with_errors,
)

_Reply = TypeVar("_Reply", bound=Message)

REFUSED_EXIT_STATUS = 1
"""Exit status of a refused command."""

app = cyclopts.App(
    name="arbutus",
    help="Propose and approve configuration changes; show the fleet's status.",
    result_action="return_value",
)

_Url = Annotated[
    str,
    Parameter(help="URL of a console, http://host:port.", env_var="ARBUTUS_CONSOLE"),
]
_Key = Annotated[str, Parameter(help="The operator's key.", env_var="ARBUTUS_KEY")]
_Json = Annotated[bool, Parameter(help="Print the answer as JSON.", negative="")]
_Proposal = Annotated[str, Parameter(help="Id of a pending proposal.")]
_BaseFile = Annotated[Path, Parameter(help="The base file.")]
_OverlayFiles = Annotated[
    list[Path], Parameter(help="The overlay file of each site.", negative="")
]


@app.command
def check(base: _BaseFile, overlays: _OverlayFiles, /) -> None:
    """Validate files without a console: schema, references and memory."""
    configuration = merge_files(_read_files(base, overlays), version=1)
    check_fit(configuration)
    print(output.describe_checked(configuration))


@app.command
def story(
    request: Annotated[str, Parameter(help="Request id that the caller sent.")],
    logs: Annotated[
        tuple[Path, ...], Parameter(help="Log files; none: standard input.")
    ] = (),
    /,
) -> None:
    """Show the timeline of one request from the logs of the instances."""
    raise SystemExit(print_timeline(request, list(logs)))


@app.command
def causes(
    logs: Annotated[
        tuple[Path, ...], Parameter(help="Log files; none: standard input.")
    ] = (),
    /,
    *,
    every_s: Annotated[
        int, Parameter(help="Seconds that each table covers; 0: one table.")
    ] = 0,
) -> None:
    """Count late and lost requests by cause, from the logs of the instances."""
    try:
        check_all((check_range("--every-s", every_s, least=0, most=86_400),))
    except SettingsError as error:
        exit_with_errors(error)
    raise SystemExit(print_causes(list(logs), every_s=every_s))


@app.command
def propose(
    base: _BaseFile,
    overlays: _OverlayFiles,
    /,
    *,
    note: Annotated[
        str, Parameter(help="Reason for the change, shown to the approver.")
    ] = "",
    remove_site: Annotated[
        tuple[str, ...],
        Parameter(help="Site to remove: it has no overlay any more.", negative=""),
    ] = (),
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Propose the content of files and show what it changes."""
    files = _read_files(base, overlays)
    request = ProposeRequest(
        base=_build_text(files.base),
        overlays=tuple(_build_text(file) for file in files.overlays),
        note=note,
        remove_sites=remove_site,
    )
    target = _build_target(console, key)
    reply = call(target, "POST", "proposals", reply=ProposalView, body=request)
    _print(reply, output.describe_proposal, json=json)


@app.command
def show(
    *,
    version: Annotated[
        int | None, Parameter(help="Number of an accepted version.")
    ] = None,
    proposal: Annotated[str | None, Parameter(help="Id of a pending proposal.")] = None,
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Show a merged configuration: the newest, a version's or a proposal's."""
    path = "merged"
    if proposal is not None:
        path = f"merged?proposal={quote(proposal, safe='')}"
    elif version is not None:
        path = f"merged?version={version}"
    reply = call(_build_target(console, key), "GET", path, reply=MergedView)
    _print(reply, lambda merged: merged.text.rstrip(), json=json)


@app.command
def diff(
    proposal: Annotated[
        str, Parameter(help="Id of a proposal, or number of a version.")
    ],
    /,
    *,
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Show what a pending proposal or an accepted version changes."""
    target = _build_target(console, key)
    if proposal.isdigit() and len(proposal) <= _MAX_VERSION_DIGITS:
        path = f"versions/{proposal}"
        accepted = call(target, "GET", path, reply=VersionView)
        _print(accepted, output.describe_version, json=json)
        return
    path = f"proposals/{quote(proposal, safe='')}"
    reply = call(target, "GET", path, reply=ProposalView)
    _print(reply, output.describe_proposal, json=json)


@app.command
def proposals(*, console: _Url = "", key: _Key = "", json: _Json = False) -> None:
    """List the pending proposals."""
    reply = call(_build_target(console, key), "GET", "proposals", reply=ProposalList)
    _print(reply, output.describe_proposals, json=json)


@app.command
def approve(
    proposal: _Proposal,
    /,
    *,
    base: Annotated[
        int, Parameter(help="Base version that the proposal was shown with.")
    ],
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Approve a proposal. Retrying after a lost response is safe."""
    request = ApproveRequest(base_version=base)
    path = f"proposals/{quote(proposal, safe='')}/approve"
    target = _build_target(console, key)
    reply = call(target, "POST", path, reply=ApprovalView, body=request)
    _print(reply, output.describe_approval, json=json)


@app.command
def withdraw(
    proposal: _Proposal,
    /,
    *,
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Withdraw a pending proposal."""
    path = f"proposals/{quote(proposal, safe='')}/withdraw"
    reply = call(_build_target(console, key), "POST", path, reply=Done)
    _print(reply, lambda done: done.detail, json=json)


@app.command
def roll_forward(
    version: Annotated[int, Parameter(help="Version whose content is proposed.")],
    /,
    *,
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Propose the content of an earlier version as the next one."""
    request = RollForwardRequest(version=version)
    target = _build_target(console, key)
    reply = call(target, "POST", "roll-forward", reply=ProposalView, body=request)
    _print(reply, output.describe_proposal, json=json)


@app.command
def status(*, console: _Url = "", key: _Key = "", json: _Json = False) -> None:
    """Show the active configuration version of each instance."""
    reply = call(_build_target(console, key), "GET", "status", reply=StatusView)
    _print(reply, output.describe_status, json=json)


@app.command
def versions(*, console: _Url = "", key: _Key = "", json: _Json = False) -> None:
    """List the newest accepted versions."""
    reply = call(_build_target(console, key), "GET", "versions", reply=VersionList)
    _print(reply, output.describe_versions, json=json)


@app.command(name="hash-key")
def print_hash() -> None:
    """Read a key from standard input and print its hash for configuration files."""
    key = sys.stdin.readline().rstrip("\r\n")
    check_present("standard input", key)()
    print(hash_key(key))


def main() -> None:
    """Run the program."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit status.

    :param arguments: the command line without the program name.
    """
    try:
        app(arguments, exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        return SETTINGS_EXIT_STATUS
    except (SettingError, SettingsError) as error:
        return _fail(error.show(), SETTINGS_EXIT_STATUS)
    except (FilesError, ConfigurationError) as error:
        return _fail(error.show(), REFUSED_EXIT_STATUS)
    except RefusedError as error:
        return _fail(output.describe_refusal(error.reply), REFUSED_EXIT_STATUS)
    return 0


_MAX_VERSION_DIGITS = 10


def _fail(message: str, exit_status: int) -> int:
    print(message, file=sys.stderr)
    return exit_status


def _build_target(url: str, key: str) -> ConsoleTarget:
    check_all([check_present("--console", url), check_present("--key", key)])
    return ConsoleTarget(url=url, key=key)


def _read_files(base: Path, overlays: list[Path]) -> FileSet:
    return FileSet(
        base=_read_file(base), overlays=tuple(_read_file(path) for path in overlays)
    )


def _read_file(path: Path) -> SourceFile:
    try:
        return SourceFile(name=path.name, text=path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(setting=str(path), detail=str(error)) from None


def _build_text(file: SourceFile) -> FileText:
    return FileText(name=file.name, text=file.text)


def _print(reply: _Reply, describe: Callable[[_Reply], str], *, json: bool) -> None:
    if json:
        print(msgspec.json.encode(reply).decode())
    else:
        print(describe(reply))


if __name__ == "__main__":
    main()
