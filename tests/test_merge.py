"""Parsing, merging and validation of configuration files."""

import pytest

from arbutuspulley.configuration import files as files_module
from arbutuspulley.configuration.files import FilesError
from arbutuspulley.configuration.merge import merge_files
from arbutuspulley.results import Code
from tests.fakes import BASE, OVERLAY_A, OVERLAY_B, build_configuration, build_files

BOMB = "a: &a [1, 1, 1]\nb: &b [*a, *a, *a]\n"
HASH = "f" * 64


def list_refusals(base=BASE, overlays=(OVERLAY_A, OVERLAY_B)):
    """Merge files that must be refused; return (file, key, code) of each problem."""
    with pytest.raises(FilesError) as refused:
        merge_files(build_files(base, overlays), version=1)
    errors = refused.value.list_errors()
    assert all(error.show() in refused.value.show() for error in errors)
    return [(error.file, error.key, error.code) for error in errors]


def test_an_overlay_changes_its_site_only():
    sites = build_configuration(version=7).sites
    assert {name: site.models["draft"].copies for name, site in sites.items()} == {
        "site-a": 1,
        "site-b": 2,
    }
    assert [site.callers["hosts"].weight for site in sites.values()] == [1, 5]
    assert [site.callers["hosts"].live for site in sites.values()] == [True, False]
    assert sites["site-b"].callers["desk"] == sites["site-a"].callers["desk"]
    assert list(sites["site-a"].services) == ["booking"]
    assert not sites["site-b"].services


@pytest.mark.parametrize(
    ("base", "key", "code"),
    [
        ("", "$", Code.BAD_SYNTAX),
        ("- a\n", "$", Code.BAD_SYNTAX),
        ("models: [\n", "line 2, column 1", Code.BAD_SYNTAX),
        ("models:\n\tdraft: 1\n", "line 2, column 1", Code.BAD_SYNTAX),
        ("models: {a: 1}\nmodels: {}\n", "line 2, column 1", Code.BAD_SYNTAX),
        ("models: !!python/name:os.system x\n", "line 1, column 9", Code.BAD_SYNTAX),
        (BOMB, "line 2, column 8", Code.BAD_SYNTAX),
        ("models: &m {}\n<<: {}\n", "line 2, column 1", Code.BAD_SYNTAX),
        ("models: " + "[" * 40 + "\n", "line 1, column 24", Code.BAD_SYNTAX),
        ("models: \x00\n", "$", Code.BAD_SYNTAX),
        ("modles: {}\n", "$.modles", Code.BAD_SCHEMA),
        ("1: {}\n", "$.1", Code.BAD_SCHEMA),
        ("models: 3\n", "$.models", Code.BAD_SCHEMA),
        ("models: {Draft: {version: a, size_mib: 1}}", "$.models.Draft", 4002),
        ("models: {a: {version: a}}", "$.models.a.size_mib", Code.BAD_SCHEMA),
        ("models: {a: {version: a, size_mib: '1'}}", "$.models.a.size_mib", 4002),
        ("models: {a: {version: a, size_mib: 0}}", "$.models.a.size_mib", 4002),
        ("models: {a: {version: 1, size_mib: 1}}", "$.models.a.version", 4002),
        ("policy: {moves_weight: 1.5}", "$.policy.moves_weight", Code.BAD_SCHEMA),
        ("adapters: {a: {model: b, version: a, size_mib: 1}}", "$.adapters.a", 4007),
        ("callers: {a: {key_sha256: secret}}", "$.callers.a.key_sha256", 4002),
        (
            f"callers: {{a: {{key_sha256: {HASH}, models: [x]}}}}",
            "$.callers.a.models",
            4007,
        ),
        (
            f"callers: {{a: {{key_sha256: {HASH}}}, b: {{key_sha256: {HASH}}}}}",
            "$.callers.b.key_sha256",
            4007,
        ),
        (
            "models: {a: {version: a, size_mib: 1}}\n"
            "adapters: {a: {model: a, version: a, size_mib: 1}}",
            "$.adapters.a",
            4007,
        ),
    ],
)
def test_error_in_a_base_file_names_its_key(base, key, code):
    assert list_refusals(base, ["site: a\n"]) == [("base.yaml", key, code)]


@pytest.mark.parametrize(
    ("overlay", "key", "code"),
    [
        ("servers: {}\n", "$.site", Code.BAD_SCHEMA),
        (OVERLAY_B + "modles: {}\n", "$.modles", Code.BAD_SCHEMA),
        (OVERLAY_B.replace("draft", "other"), "$.models.other", Code.BAD_REFERENCE),
        (OVERLAY_B.replace("hosts", "guests"), "$.callers.guests", 4007),
        (OVERLAY_B.replace("site-b", "site-a"), "$.site", Code.BAD_REFERENCE),
        (OVERLAY_B.replace("engine-b", "engine-a"), "$.servers.engine-a", 4007),
        (OVERLAY_B.replace("9002", "9001"), "$.servers.engine-b.address", 4007),
        (OVERLAY_B.replace("9002", "99999"), "$.servers.engine-b.address", 4007),
        (OVERLAY_B.replace("127.0.0.1", "host"), "$.servers.engine-b.address", 4002),
        (OVERLAY_B.replace("127.0.0.1", "1.2.3"), "$.servers.engine-b.address", 4007),
        ("site: b\nservices: {s: {addresses: []}}", "$.services.s", 4007),
        (
            "site: b\nservices: {s: {addresses: ['127.0.0.1:9001']}}",
            "$.services.s.addresses",
            4007,
        ),
        (
            "site: b\nservices: {s: {addresses: ['127.0.0.1:1'], "
            "repeatable_methods: [get]}}",
            "$.services.s",
            4007,
        ),
    ],
)
def test_error_in_an_overlay_names_its_key(overlay, key, code):
    assert list_refusals(overlays=[OVERLAY_A, overlay]) == [
        ("overlay-2.yaml", key, code)
    ]


@pytest.mark.parametrize("kept_lines", range(1, len(OVERLAY_B.splitlines())))
def test_truncated_overlay_is_refused_or_differs(kept_lines):
    """A file is proposed while an editor is still writing it.

    Truncated within a line, the file is refused with the location of the problem.
    Truncated between two lines it may be valid; then the result must differ, so that
    the missing rest is visible in the difference.
    """
    lines = OVERLAY_B.splitlines()
    whole = build_configuration().sites["site-b"]
    cut_in_line = "\n".join(
        [*lines[:kept_lines], lines[kept_lines][: len(lines[kept_lines]) - 2]]
    )
    for file, _, _ in list_refusals(overlays=[OVERLAY_A, cut_in_line]):
        assert file == "overlay-2.yaml"
    try:
        truncated = build_files(overlays=[OVERLAY_A, "\n".join(lines[:kept_lines])])
        assert merge_files(truncated, version=1).sites["site-b"] != whole
    except FilesError as refused:
        assert refused.list_errors()[0].file == "overlay-2.yaml"


def test_all_problems_of_all_files_are_reported_together():
    base = "x: 1\nmodels: {a: {version: 1, size_mib: 0, copies: 0}}\n"
    overlays = ["site: [\n", "site: X\nservers: {s: {memory_mib: 1}}\n"]
    assert list_refusals(base, overlays) == [
        ("base.yaml", "$.x", Code.BAD_SCHEMA),
        ("base.yaml", "$.models.a.version", Code.BAD_SCHEMA),
        ("base.yaml", "$.models.a.size_mib", Code.BAD_SCHEMA),
        ("base.yaml", "$.models.a.copies", Code.BAD_SCHEMA),
        ("overlay-1.yaml", "line 2, column 1", Code.BAD_SYNTAX),
        ("overlay-2.yaml", "$.site", Code.BAD_SCHEMA),
        ("overlay-2.yaml", "$.servers.s.address", Code.BAD_SCHEMA),
    ]


def test_sizes_are_limited(monkeypatch):
    assert list_refusals(overlays=[]) == [("", "", Code.BAD_REFERENCE)]
    monkeypatch.setattr(files_module, "MAX_FILE_BYTES", 10)
    assert list_refusals("a: 34567890", ["a: 1"])[0][2] == Code.BAD_SYNTAX
