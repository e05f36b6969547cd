"""Deltas between versions of the configuration."""

import random

import msgspec
import pytest

from arbutuspulley.node.frames import decode_from_coordinator, encode_frame
from arbutuspulley.node.messages import (
    ConfigurationDelta,
)
from arbutuspulley.node.versions import MAX_OLDER_BYTES, MAX_VERSIONS, Versions
from scripts.platform_testbed import build_configuration, build_route


def build_routes(numbers, **changes):
    return tuple(build_route(f"/r{one:05}/", "plain", "safe") for one in numbers)


def encode(version, numbers):
    routes = build_routes(numbers)
    return msgspec.json.encode(build_configuration(version, routes=routes))


def build_versions(*bodies):
    versions = Versions()
    for version, body in enumerate(bodies, 1):
        versions.add(version, body)
    return versions


ALL = list(range(400))
CHANGES = {
    "one added at the end": [*ALL, 400],
    "one added at the front": [400, *ALL],
    "one removed": [*ALL[:200], *ALL[201:]],
    "one moved": [*ALL[1:], 0],
    "all but one removed": [7],
    "many added": list(range(900)),
    "turned round": ALL[::-1],
    "nothing but the version": ALL,
}


@pytest.mark.parametrize("numbers", CHANGES.values(), ids=CHANGES)
def test_a_delta_produces_the_newer_version(numbers):
    old, new = encode(1, ALL), encode(2, numbers)
    delta = build_versions(old, new).build_delta(1)
    (sent,) = decode_from_coordinator(encode_frame([delta]))
    assert build_versions(old).apply(sent) == new


@pytest.mark.parametrize(
    "change", ["one added at the end", "one added at the front", "one removed"]
)
def test_the_size_of_a_delta_depends_on_the_change(change):
    """Guards against changes of one route that use as much bandwidth as all routes."""
    delta = build_versions(encode(1, ALL), encode(2, CHANGES[change])).build_delta(1)
    assert len(encode_frame([delta])) < 500


def test_a_receiver_with_an_unknown_version_gets_the_full_configuration():
    new = encode(9, ALL)
    versions = Versions()
    versions.add(9, new)
    delta = versions.build_delta(4)
    assert delta.base == 0
    assert len(encode_frame([delta])) < len(new) / 5
    assert Versions().apply(delta) == new


def test_a_delta_for_other_content_is_refused():
    """Guards against a configuration that was never written."""
    delta = build_versions(encode(1, ALL), encode(2, [*ALL, 400])).build_delta(1)
    assert build_versions(encode(1, ALL[1:])).apply(delta) is None
    assert Versions().apply(delta) is None


def test_deltas_of_random_texts_produce_the_newer_text():
    rng = random.Random(5)
    alphabet = [b"a", b"b},", b"},", b"c", b"", b'"x":1},']
    for _ in range(500):
        old, new = (
            b"".join(rng.choices(alphabet, k=rng.randrange(30))) for _ in range(2)
        )
        delta = build_versions(old, new).build_delta(1)
        assert build_versions(old).apply(delta) == new


def test_a_damaged_delta_is_refused_or_produces_the_right_version():
    rng = random.Random(6)
    old, new = encode(1, ALL[:20]), encode(2, ALL[:21])
    frame = encode_frame([build_versions(old, new).build_delta(1)])
    for _ in range(2_000):
        damaged = bytearray(frame)
        damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        try:
            messages = decode_from_coordinator(bytes(damaged))
        except msgspec.MsgspecError:
            continue
        for one in messages:
            if isinstance(one, ConfigurationDelta):
                assert build_versions(old).apply(one) in (None, new)


def test_deltas_of_repetitive_texts_take_linear_time():
    """Guards against comparisons that take quadratic time in the number of parts."""
    old = b'{"Weight":1},' * 60_000
    delta = build_versions(old, old + b"{}").build_delta(1)
    assert build_versions(old).apply(delta) == old + b"{}"


def test_few_versions_are_kept_but_always_the_newest():
    versions = Versions()
    for number in range(1, 40):
        versions.add(number, b"%d" % number)
    assert versions.newest == 39
    assert len(versions._bodies) <= MAX_VERSIONS
    large = b"x" * (MAX_OLDER_BYTES + 1)
    versions.add(40, large)
    versions.add(41, large)
    assert list(versions._bodies) == [41]
