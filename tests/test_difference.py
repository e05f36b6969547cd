"""Differences for display with keys hidden, and deltas that give the new version."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutuspulley.configuration.canonical import normalize
from arbutuspulley.configuration.difference import (
    HIDDEN,
    MAX_SHOWN_CHARACTERS,
    Delta,
    Edit,
    build_delta,
    compare,
    compute_digest,
)
from arbutuspulley.configuration.merge import merge_files
from arbutuspulley.configuration.patch import apply_delta
from arbutuspulley.configuration.schema import (
    EMPTY,
    Caller,
    Configuration,
    Model,
    Policy,
    Server,
    Service,
    Site,
)
from arbutuspulley.results import ConfigurationError
from tests.fakes import BASE, build_configuration, build_files

NAMES = st.sampled_from(["a", "b", "c"])
SITES = st.builds(
    Site,
    models=st.dictionaries(
        NAMES,
        st.builds(
            Model,
            version=st.sampled_from(["1", "2"]),
            size_mib=st.integers(1, 3),
            copies=st.integers(1, 2),
        ),
    ),
    callers=st.dictionaries(
        NAMES,
        st.builds(
            Caller,
            key_sha256=st.sampled_from(["a" * 64, "b" * 64]),
            models=st.lists(NAMES, max_size=2).map(tuple),
        ),
    ),
    servers=st.dictionaries(
        NAMES,
        st.builds(Server, address=st.just("127.0.0.1:1"), memory_mib=st.integers(1, 2)),
    ),
    services=st.dictionaries(
        NAMES, st.builds(Service, addresses=st.sampled_from([("127.0.0.1:1",), ()]))
    ),
)
CONFIGURATIONS = st.builds(
    Configuration,
    version=st.integers(0, 9),
    policy=st.builds(Policy, moves_weight=st.sampled_from([0.0, 0.5, 1.0])),
    sites=st.dictionaries(NAMES, SITES),
).map(normalize)


@given(old=CONFIGURATIONS, new=CONFIGURATIONS)
def test_a_delta_turns_the_old_configuration_into_the_new(old, new):
    encoded = msgspec.json.encode(build_delta(old, new))
    delta = msgspec.json.decode(encoded, type=Delta)
    result = apply_delta(old, delta)
    assert result == new
    again = msgspec.json.decode(msgspec.json.encode(new), type=Configuration)
    digests = {compute_digest(configuration) for configuration in (result, new, again)}
    assert len(digests) == 1
    assert (compute_digest(old) == compute_digest(new)) == (old == new)
    shown = "".join(difference.show() for difference in compare(old, new))
    assert "aaaa" not in shown
    assert "bbbb" not in shown
    same = msgspec.structs.replace(old, version=new.version) == new
    assert (not compare(old, new)) == same


def test_explicit_default_does_not_change_the_digest():
    """Guards against an accepted version that half of the instances never activate.

    One instance read it from files that spell out a default, others applied deltas.
    Equal configurations had two encodings and therefore two digests, and the other
    instances kept rejecting their own result.
    """
    explicit = BASE.replace(
        "kv_floor_mib: 500}",
        "kv_floor_mib: 500, copies: 1, target: {first_token_ms: 1100}}",
    )
    explicit += "policy: {moves_weight: 0.5, answer_lifetime_s: 86400}\n"
    written = merge_files(build_files(explicit), version=1)
    assert written == build_configuration()
    assert compute_digest(written) == compute_digest(build_configuration())


@pytest.mark.parametrize(
    "edit",
    [
        Edit(path=("sites", "x", "models"), value={}),
        Edit(path=("sites", "site-a", "models", "x"), removed=True),
        Edit(path=("version", "x"), value=1),
        Edit(path=("unknown",), value=1),
        Edit(path=("version",), value="1"),
    ],
)
def test_a_delta_of_another_configuration_is_refused(edit):
    with pytest.raises(ConfigurationError):
        apply_delta(build_configuration(), Delta(edits=(edit,)))


def test_display_merges_equal_differences_and_hides_keys():
    old = build_configuration()
    new = build_configuration(version=2, size_mib=9100)
    site = new.sites["site-b"]
    key = msgspec.structs.replace(site.callers["desk"], key_sha256="0" * 64)
    changed = msgspec.structs.replace(
        site, callers={"desk": key}, servers={}, services=old.sites["site-a"].services
    )
    new = msgspec.structs.replace(new, sites={**new.sites, "site-b": changed})
    assert [difference.show() for difference in compare(old, new)] == [
        "~ models.draft.size_mib: 9000 -> 9100 (at site-a, site-b)",
        f"~ callers.desk.key_sha256: {HIDDEN} -> {HIDDEN}, another one (at site-b)",
        f'- callers.hosts: {{"key_sha256":"{HIDDEN}","weight":5,"models":[],'
        '"live":false} (at site-b)',
        '- servers.engine-b: {"address":"127.0.0.1:9002","memory_mib":40000,'
        '"checks_orders":false,"slots":16} (at site-b)',
        '+ services.booking: {"addresses":["127.0.0.1:9101"],'
        '"repeatable_methods":["GET","HEAD"]} (at site-b)',
    ]


def test_new_site_is_listed_by_entry_and_long_values_are_truncated():
    shown = [difference.show() for difference in compare(EMPTY, build_configuration())]
    counts = "1 models, 1 adapters, 2 callers, 1 servers"
    assert shown[:2] == [
        f"+ sites.site-a: {counts}, 1 services",
        f"+ sites.site-b: {counts}, 0 services",
    ]
    assert any(line.startswith("+ servers.engine-a: ") for line in shown)
    assert any(line.endswith("(at site-a, site-b)") for line in shown)
    addresses = tuple(f"127.0.0.1:{port}" for port in range(1000, 1100))
    site = Site(services={"s": Service(addresses=addresses)})
    last = compare(EMPTY, Configuration(sites={"a": site}))[-1]
    assert len(last.after) < MAX_SHOWN_CHARACTERS + 50
