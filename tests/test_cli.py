"""The command line with a real console: output and exit status."""

import io
import json
from pathlib import Path

import pytest

from arbutuspulley.configuration.lookup import hash_key
from arbutuspulley.ports import commit
from arbutuspulley.programs.cli import run
from arbutuspulley.results import Code
from tests.console_harness import ConsoleHarness
from tests.fakes import BASE, OVERLAY_A, OVERLAY_B
from tests.ports import find_free_address


@pytest.fixture(scope="module")
def running():
    console = ConsoleHarness()
    yield console
    console.server.stop()


@pytest.fixture
def console(running, monkeypatch, tmp_path):
    monkeypatch.setattr(commit, "INITIAL_BACKOFF_MS", 0)
    monkeypatch.setenv("ARBUTUS_CONSOLE", running.url)
    monkeypatch.setenv("ARBUTUS_KEY", "key-of-ayu")
    monkeypatch.chdir(tmp_path)
    for name, text in (("base", BASE), ("a", OVERLAY_A), ("b", OVERLAY_B)):
        (tmp_path / f"{name}.yaml").write_text(text)
    running.reset()
    return running


@pytest.fixture
def ask(console, capsys):
    def ask(*arguments, status=0):
        assert run(list(arguments)) == status
        shown = capsys.readouterr()
        return shown.out if status == 0 else shown.err

    return ask


FILES = ("base.yaml", "a.yaml", "b.yaml")


def propose(ask, *options):
    view = json.loads(ask("propose", *FILES, "--json", *options))
    return view["proposal"]["proposal"]


def test_a_change_goes_from_check_to_status(ask, tmp_path):
    assert "everything fits" in ask("check", *FILES)
    proposal = propose(ask)
    assert f"arbutus approve {proposal} --base 0" in ask("diff", proposal)
    assert proposal in ask("proposals")
    assert "(hidden)" in ask("show", "--proposal", proposal)
    assert ask("approve", proposal, "--base", "0").startswith("accepted as version 1")
    assert "accepted before" in ask("approve", proposal, "--base", "0")
    (tmp_path / "base.yaml").write_text(BASE.replace("9000", "9100"))
    ask("approve", propose(ask, "--note", "more room"), "--base", "1")
    assert "9000 -> 9100 (at site-a, site-b)" in ask("diff", "2")
    assert ask("versions").splitlines()[0].endswith("more room")
    assert "version: 1" in ask("show", "--version", "1")
    assert "size_mib: 9100" in ask("show")
    view = json.loads(ask("roll-forward", "1", "--json"))
    assert "withdrawn" in ask("withdraw", view["proposal"]["proposal"])
    assert "accepted 2: in force on 0 of 1, waiting for a" in ask("status")


@pytest.mark.parametrize(
    ("arguments", "status", "shown"),
    [
        (("check", "base.yaml", "base.yaml"), 1, "base.yaml: $.site: error 4002"),
        (("propose", "base.yaml", "a.yaml"), 1, "no such model"),
        (("check", "base.yaml", "missing.yaml"), 2, "missing.yaml"),
        (("check", "base.yaml"), 2, ""),
        (("approve", "x"), 2, ""),
        (("approve", "x", "--base", "y"), 2, ""),
        (("unknown",), 2, ""),
        (("status", "--bogus"), 2, ""),
        (("approve", "x", "--base", "1"), 1, "error 4005 (unknown_proposal)"),
        (("diff", "../status"), 1, "error 4005 (unknown_proposal)"),
        (("diff", "7"), 1, "error 1008 (not_found)"),
        (("status", "--key", "wrong"), 1, "error 1005 (bad_key)"),
        (("status", "--key", "", "--console", ""), 2, "--console: must be set"),
    ],
)
def test_an_invalid_command_has_an_exit_status_and_error_number(
    ask, tmp_path, arguments, status, shown
):
    (tmp_path / "a.yaml").write_text(OVERLAY_A + "models: {x: {copies: 2}}\n")
    if shown == "no such model":
        shown = "$.models.x: error 4007 (bad_reference)"
    assert shown in ask(*arguments, status=status)


def test_a_half_written_overlay_changes_nothing(ask, tmp_path):
    """An operator proposes a file that an editor has only written in part."""
    (tmp_path / "b.yaml").write_text(OVERLAY_B[:60])
    shown = ask("propose", *FILES, status=1)
    assert shown.splitlines()[0].startswith("b.yaml: ")
    assert "nothing waits" in ask("proposals")


def test_a_stale_approval_shows_what_was_accepted_instead(ask, tmp_path):
    ours = propose(ask)
    (tmp_path / "base.yaml").write_text(BASE.replace("9000", "9100"))
    ask("approve", propose(ask), "--base", "0")
    shown = ask("approve", ours, "--base", "0", status=1)
    assert "error 4004 (base_version_stale)" in shown
    assert "accepted in between:" in shown


def test_an_unreachable_console_is_distinguished_from_a_lost_answer(ask, console):
    """Guards against an error that leaves the outcome of an approval unclear.

    Without a connection the approval was not applied. If the response was lost it may
    have been applied, and a retry is safe. The error code distinguishes the two.
    """
    nobody = f"http://{find_free_address()}"
    shown = ask("status", "--console", nobody, status=1)
    assert f"error {Code.PEER_UNAVAILABLE.value}" in shown


def test_a_key_is_hashed_from_standard_input(ask, monkeypatch):
    monkeypatch.setattr("sys.stdin", io.StringIO("key-of-desk\n"))
    assert ask("hash-key").strip() == hash_key("key-of-desk")
    monkeypatch.setattr("sys.stdin", io.StringIO("\n"))
    assert "standard input" in ask("hash-key", status=2)


def test_the_examples_are_valid_and_fit(ask):
    examples = Path(__file__).parents[1] / "examples"
    for directory in (examples, examples / "lestari", examples / "kurzeme"):
        base = directory / "base.yaml"
        overlays = sorted(set(directory.glob("*.yaml")) - {base})
        assert "everything fits" in ask("check", str(base), *map(str, overlays))
