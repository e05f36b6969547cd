"""Which software versions of a service count as in service."""

from arbutuspulley.delivery.begun_streams import MAX_RETENTION_MS
from arbutuspulley.membership.software_versions import ServiceVersions
from arbutuspulley.ports.fleet import SoftwareVersion
from tests.node_states import build_entry

V1, V2 = SoftwareVersion(name="v1"), SoftwareVersion(name="v2")


def update(versions, *known, now, service="llm"):
    entries = [
        build_entry(f"s{number}", software_version=version)
        for number, version in enumerate(known)
    ]
    versions.update({service: entries}, now=now)


def test_versions_are_mixed_while_several_serve():
    versions = ServiceVersions()
    update(versions, V1, V1, now=0)
    assert not versions.is_mixed("llm", now=0)
    update(versions, V1, V2, now=1)
    assert versions.is_mixed("llm", now=1)
    assert not versions.is_mixed("other", now=1)


def test_a_version_counts_while_its_streams_may_be_resumed():
    """Guards against a stream of unknown version that goes on at the only version left,
    seconds after the last server of another one has gone."""
    versions = ServiceVersions()
    update(versions, V1, V2, now=0)
    update(versions, V2, now=1_000)
    assert versions.is_mixed("llm", now=1_000 + MAX_RETENTION_MS - 1)
    assert not versions.is_mixed("llm", now=1_000 + MAX_RETENTION_MS)
    assert versions.list_known("llm", now=1_000 + MAX_RETENTION_MS) == {V2}


def test_a_service_without_servers_keeps_its_versions():
    versions = ServiceVersions()
    update(versions, V1, now=0)
    versions.update({}, now=1)
    assert versions.list_known("llm", now=1) == {V1}
    update(versions, V2, now=2)
    assert versions.is_mixed("llm", now=2)
