"""The console over real HTTP: views, authentication and refusals."""

import json
import re

import pytest
import urllib3

from arbutuspulley.configuration.schema import EMPTY
from arbutuspulley.ports import commit
from arbutuspulley.programs import console_http
from arbutuspulley.programs.console import app, parse_operators
from arbutuspulley.programs.console_views import (
    build_status_view,
    choose_active_configuration,
)
from arbutuspulley.results import Code, ConfigurationError, SettingError
from arbutuspulley.standins.platform_state import restore
from tests.console_harness import (
    ConsoleHarness,
    build_fleet,
    build_instance,
    build_request,
)
from tests.fakes import build_configuration


@pytest.fixture(scope="module")
def running():
    console = ConsoleHarness()
    yield console
    console.server.stop()


@pytest.fixture
def console(running, monkeypatch):
    monkeypatch.setattr(commit, "INITIAL_BACKOFF_MS", 0)
    running.reset()
    return running


A12, B12 = build_instance("a", 12, [12]), build_instance("b", 12, [12, 12])


@pytest.mark.parametrize(
    ("fleet", "stored", "summary", "alarm"),
    [
        (build_fleet(A12, B12), 12, "accepted 12: in force on 2 of 2", ""),
        (
            build_fleet(A12, build_instance("b", 11)),
            12,
            "accepted 12: in force on 1 of 2, waiting for b",
            "",
        ),
        (
            build_fleet(A12, build_instance("b", 12, [12, 11])),
            12,
            "accepted 12: in force on 1 of 2, waiting for b",
            "",
        ),
        (
            build_fleet(A12, build_instance("b", 12, reachable=False)),
            12,
            "accepted 12: in force on 1 of 2, waiting for b",
            "b does not answer",
        ),
        (build_fleet(A12, B12), 9, "accepted 12: in force on 2 of 2", "restored"),
        (build_fleet(A12, B12), None, "accepted 12: in force on 2 of 2", "the store"),
        (
            build_fleet(A12, B12, accepted=13),
            12,
            "accepted 13: in force on 0 of 2, waiting for a, b",
            "older than 13",
        ),
        (None, 12, "accepted 12: no instance known", "controller"),
        (build_fleet(), 0, "nothing accepted yet", ""),
    ],
)
def test_status_shows_active_versions_and_alarms(fleet, stored, summary, alarm):
    view = build_status_view(fleet, stored_version=stored)
    assert view.summary == summary
    assert bool(view.alarms) == bool(alarm)
    assert alarm in " ".join(view.alarms)


V12 = build_configuration(version=12)


@pytest.mark.parametrize(
    ("fleet", "stored", "expected"),
    [
        (build_fleet(A12), 12, EMPTY),
        (build_fleet(A12), 13, EMPTY),
        (build_fleet(A12, configuration=V12), 7, V12),
        (build_fleet(A12), 7, None),
        (build_fleet(build_instance("a", 7, [12])), 7, None),
        (build_fleet(A12, accepted=13, configuration=V12), 7, None),
    ],
)
def test_a_newer_active_version_is_the_base_or_refused_as_not_ready(
    fleet, stored, expected
):
    """Guards against an approved change that never becomes active.

    The store was restored to version 7 while 12 is active on another instance. An
    approval based on the store alone would be numbered 8, below 12.
    """
    if expected is not None:
        assert choose_active_configuration(fleet, stored_version=stored) == expected
        return
    with pytest.raises(ConfigurationError) as refused:
        choose_active_configuration(fleet, stored_version=stored)
    assert refused.value.code == Code.NOT_READY


def approve(console, proposal, base_version, key="key-of-ayu"):
    path = f"proposals/{proposal}/approve"
    return console.ask("POST", path, {"base_version": base_version}, key=key)


def accept(console, size_mib=9000):
    _, view = console.propose(size_mib)
    record = view["proposal"]
    status, reply = approve(console, record["proposal"], record["base_version"])
    assert status == 200
    return reply["version"]


def test_a_change_goes_from_proposal_to_accepted(console):
    status, view = console.propose()
    proposal = view["proposal"]["proposal"]
    assert status == 200
    assert view["differences"][0]["path"] == "sites.site-a"
    _, listed = console.ask("GET", "proposals")
    assert listed["proposals"][0]["proposal"]["proposal"] == proposal
    assert approve(console, proposal, 0) == (200, {"version": 1, "approver": "ayu"})
    again = {"version": 1, "approver": "ayu", "repeated": True}
    assert approve(console, proposal, 0, key="key-of-janis") == (200, again)
    assert accept(console, 9100) == 2
    _, versions = console.ask("GET", "versions")
    assert [one["version"] for one in versions["versions"]] == [2, 1]
    _, version = console.ask("GET", "versions/2")
    assert version["differences"][0]["after"] == "9100"
    status, view = console.ask("POST", "roll-forward", {"version": 1})
    assert (status, view["proposal"]["version"]) == (200, 3)
    path = f"proposals/{view['proposal']['proposal']}/withdraw"
    assert console.ask("POST", path)[0] == 200
    _, status = console.ask("GET", "status")
    assert status["summary"].startswith("accepted 2")


def test_a_stale_approval_is_refused_with_the_changes_in_between(console):
    accept(console)
    ours, theirs = console.propose(9100)[1], console.propose(9200)[1]
    assert approve(console, theirs["proposal"]["proposal"], 1)[0] == 200
    status, reply = approve(console, ours["proposal"]["proposal"], 1)
    assert (status, reply["errors"][0]["code"]) == (409, Code.BASE_VERSION_STALE)
    assert reply["differences"][0]["after"] == "9200"
    _, view = console.ask("GET", f"proposals/{ours['proposal']['proposal']}")
    assert view["is_stale"]
    assert view["since"][0]["after"] == "9200"


def test_a_change_is_based_on_the_active_version_after_a_store_restore(console):
    accept(console)
    backup = console.fake.state.revision
    accept(console, 9100)
    console.active = build_configuration(version=2, size_mib=9100)
    restore(console.fake.state, backup)
    _, status = console.ask("GET", "status")
    assert "it was restored" in status["alarms"][0]
    _, view = console.ask("POST", "roll-forward", {"version": 2})
    assert (view["proposal"]["base_version"], view["proposal"]["version"]) == (2, 3)
    assert approve(console, view["proposal"]["proposal"], 2)[1]["version"] == 3


def test_keys_are_never_shown(console):
    accept(console)
    console.propose(9100)
    _, merged = console.ask("GET", "merged")
    assert "(hidden)" in merged["text"]
    for path in ("merged", "merged?version=1", "versions", "versions/1", "proposals"):
        status, reply = console.ask("GET", path)
        assert status == 200
        assert "dddd" not in json.dumps(reply)


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "code"),
    [
        ("GET", "status", None, {"key": "wrong"}, 401, Code.BAD_KEY),
        ("GET", "status", None, {"Authorization": "key-of-ayu"}, 401, Code.BAD_KEY),
        ("POST", "proposals", b"{}", {"key": ""}, 401, Code.BAD_KEY),
        ("GET", "nothing", None, {}, 404, Code.NOT_FOUND),
        ("DELETE", "proposals", None, {}, 404, Code.NOT_FOUND),
        ("GET", "versions/9", None, {}, 404, Code.NOT_FOUND),
        ("GET", "versions/x", None, {}, 400, Code.BAD_PARAMETER),
        ("GET", "merged?version=-1", None, {}, 400, Code.BAD_PARAMETER),
        ("GET", "proposals/x", None, {}, 404, Code.UNKNOWN_PROPOSAL),
        ("POST", "proposals/x/approve", b'{"base_version": 0}', {}, 404, 4005),
        ("POST", "proposals/x/approve", b"{}", {}, 400, Code.BAD_PARAMETER),
        ("POST", "proposals", b"{", {}, 400, Code.MALFORMED_BODY),
        ("POST", "proposals", b"x" * 2000, {}, 413, Code.BODY_TOO_LARGE),
        ("POST", "proposals", build_request(overlays=["site: ["]), {}, 400, 4001),
        ("POST", "proposals", build_request(size_mib=90_000), {}, 409, 4003),
    ],
)
def test_an_invalid_request_is_refused_with_an_error_number(
    console, monkeypatch, method, path, body, headers, status, code
):
    monkeypatch.setattr(console_http, "MAX_BODY_BYTES", 1_500)
    found, reply = console.ask(method, path, body, **headers)
    assert (found, reply["errors"][0]["code"]) == (status, code)
    assert "Traceback" not in json.dumps(reply)
    assert console.ask("GET", "proposals") == (200, {"current_version": 0})


@pytest.mark.parametrize(
    ("fault", "code"),
    [("platform", Code.PLATFORM_UNAVAILABLE), ("controller", Code.PEER_UNAVAILABLE)],
)
def test_nothing_is_approved_without_the_store_or_the_controller(console, fault, code):
    _, view = console.propose()
    if fault == "platform":
        console.fake.down = True
    else:
        console.controller_down = True
    status, reply = approve(console, view["proposal"]["proposal"], 0)
    assert (status, reply["errors"][0]["code"]) == (503, code)
    assert console.ask("GET", "status")[0] == 200
    ready = urllib3.request("GET", f"{console.url}/readyz", retries=False)
    assert ready.status == 503
    assert str(code.value) in ready.data.decode()


def test_an_internal_error_shows_no_detail(console, monkeypatch):
    monkeypatch.setattr(console.fake, "state", None)
    status, reply = console.ask("GET", "versions")
    assert (status, reply["errors"][0]["code"]) == (500, Code.INTERNAL)
    assert "NoneType" not in json.dumps(reply)


def test_page_health_and_metrics_need_no_key(console):
    answers = {
        path: urllib3.request("GET", console.url + path, retries=False)
        for path in ("/", "/healthz", "/readyz", "/metrics")
    }
    assert [answer.status for answer in answers.values()] == [200] * 4
    page = answers["/"]
    assert b'name="viewport"' in page.data
    policy = page.headers["Content-Security-Policy"]
    assert "'unsafe-inline'" not in policy
    assert not re.search(rb"(src|href)=", page.data)
    console.ask("GET", "status")
    metrics = urllib3.request("GET", console.url + "/metrics").data.decode()
    assert 'requests_total{operation="status",status="200"}' in metrics


@pytest.mark.parametrize(
    "text", ["", "ayu", "ayu=1", f"={'a' * 64}", f"a={'A' * 64}", f"a={'a' * 64},a=x"]
)
def test_invalid_operators_are_refused(text):
    with pytest.raises(SettingError):
        parse_operators(text)


def test_all_invalid_settings_are_reported_at_once(capsys):
    with pytest.raises(SystemExit) as ended:
        app(["--listen", "host:1", "--log-format", "xml"])
    assert ended.value.code == 2
    shown = capsys.readouterr().err
    named = re.findall(r"--[a-z-]+", shown)
    assert named == [
        *("--instance", "--listen", "--controller", "--platform", "--peer-key"),
        *("--operators", "--log-format"),
    ]
