"""``arbutus``: the operators' command line over the console's API.

Exit status: 0 when all is well, 1 if the command was refused (numbered errors on
standard error), 2 if the command line or a setting is wrong.
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
    exit_refused,
)

_Reply = TypeVar("_Reply", bound=Message)

REFUSED_EXIT_STATUS = 1
"""Exit status of a refused command."""

app = cyclopts.App(
    name="arbutus",
    help="Propose and approve changes; see what runs.",
    result_action="return_value",
)

_Url = Annotated[
    str, Parameter(help="http://host:port of a console.", env_var="ARBUTUS_CONSOLE")
]
_Key = Annotated[str, Parameter(help="The operator's key.", env_var="ARBUTUS_KEY")]
_Json = Annotated[bool, Parameter(help="Print the answer as JSON.", negative="")]
_Proposal = Annotated[str, Parameter(help="Id of a waiting proposal.")]
_BaseFile = Annotated[Path, Parameter(help="The base file.")]
_OverlayFiles = Annotated[
    list[Path], Parameter(help="The overlay of each site.", negative="")
]


@app.command
def check(base: _BaseFile, overlays: _OverlayFiles, /) -> None:
    """Check files without a console: schema, references and whether all fits."""
    configuration = merge_files(_read_files(base, overlays), version=1)
    check_fit(configuration)
    print(output.describe_checked(configuration))


@app.command
def story(
    request: Annotated[str, Parameter(help="Id that the caller sent.")],
    logs: Annotated[
        tuple[Path, ...], Parameter(help="Log files; none: standard input.")
    ] = (),
    /,
) -> None:
    """Tell one request's story from the logs of the instances."""
    raise SystemExit(print_timeline(request, list(logs)))


@app.command
def causes(
    logs: Annotated[
        tuple[Path, ...], Parameter(help="Log files; none: standard input.")
    ] = (),
    /,
    *,
    every_s: Annotated[
        int, Parameter(help="A table for each span of so many seconds; 0: one.")
    ] = 0,
) -> None:
    """Count by cause which requests were late or lost, from the instances' logs."""
    try:
        check_all((check_range("--every-s", every_s, least=0, most=86_400),))
    except SettingsError as error:
        exit_refused(error)
    raise SystemExit(print_causes(list(logs), every_s=every_s))


@app.command
def propose(
    base: _BaseFile,
    overlays: _OverlayFiles,
    /,
    *,
    note: Annotated[str, Parameter(help="Why, for whoever approves.")] = "",
    remove_site: Annotated[
        tuple[str, ...],
        Parameter(help="A site whose overlay is left out on purpose.", negative=""),
    ] = (),
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Lay files down for approval and show what they change."""
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
    version: Annotated[int | None, Parameter(help="An accepted version.")] = None,
    proposal: Annotated[str | None, Parameter(help="A waiting proposal.")] = None,
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Show a merged configuration: the newest one, a version or a proposal's."""
    path = "merged"
    if proposal is not None:
        path = f"merged?proposal={quote(proposal, safe='')}"
    elif version is not None:
        path = f"merged?version={version}"
    reply = call(_build_target(console, key), "GET", path, reply=MergedView)
    _print(reply, lambda merged: merged.text.rstrip(), json=json)


@app.command
def diff(
    proposal: Annotated[str, Parameter(help="Id of a proposal, or a version.")],
    /,
    *,
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Show what a waiting proposal, or an accepted version, changes."""
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
    """List the waiting proposals."""
    reply = call(_build_target(console, key), "GET", "proposals", reply=ProposalList)
    _print(reply, output.describe_proposals, json=json)


@app.command
def approve(
    proposal: _Proposal,
    /,
    *,
    base: Annotated[int, Parameter(help="The base version that you saw.")],
    console: _Url = "",
    key: _Key = "",
    json: _Json = False,
) -> None:
    """Accept a proposal. Doing it again, after a lost answer, is safe."""
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
    """Take a waiting proposal back."""
    path = f"proposals/{quote(proposal, safe='')}/withdraw"
    reply = call(_build_target(console, key), "POST", path, reply=Done)
    _print(reply, lambda done: done.detail, json=json)


@app.command
def roll_forward(
    version: Annotated[int, Parameter(help="The version whose content to take.")],
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
    """Show what is in force where."""
    reply = call(_build_target(console, key), "GET", "status", reply=StatusView)
    _print(reply, output.describe_status, json=json)


@app.command
def versions(*, console: _Url = "", key: _Key = "", json: _Json = False) -> None:
    """List the newest accepted versions."""
    reply = call(_build_target(console, key), "GET", "versions", reply=VersionList)
    _print(reply, output.describe_versions, json=json)


@app.command(name="hash-key")
def print_hash() -> None:
    """Read a key from standard input and print its hash, as files hold it."""
    key = sys.stdin.readline().rstrip("\r\n")
    check_present("standard input", key)()
    print(hash_key(key))


def main() -> None:
    """Run the program."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit status.

    :param arguments: the command line without the program's name.
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
