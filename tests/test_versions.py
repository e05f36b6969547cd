"""Updates from one version of the configuration to the next."""

import random

import msgspec
import pytest

from arbutuspulley.node.messages import (
    ConfigurationDelta,
    decode_from_coordinator,
    encode_frame,
)
from arbutuspulley.node.versions import MOST_KEPT, MOST_KEPT_BYTES, Versions
from scripts.platform_testbed import build_configuration, build_route


def build_routes(numbers, **changes):
    return tuple(build_route(f"/r{one:05}/", "plain", "safe") for one in numbers)


def encode(version, numbers):
    routes = build_routes(numbers)
    return msgspec.json.encode(build_configuration(version, routes=routes))


def know(*bodies):
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
def test_an_update_leads_to_the_newer_version(numbers):
    old, new = encode(1, ALL), encode(2, numbers)
    update = know(old, new).build_delta(1)
    (sent,) = decode_from_coordinator(encode_frame([update]))
    assert know(old).apply(sent) == new


@pytest.mark.parametrize(
    "change", ["one added at the end", "one added at the front", "one removed"]
)
def test_an_update_is_as_large_as_what_changed(change):
    """Guards against changes of one route that take a link as all routes do."""
    update = know(encode(1, ALL), encode(2, CHANGES[change])).build_delta(1)
    assert len(encode_frame([update])) < 500


def test_the_whole_goes_to_who_has_a_version_that_is_not_known():
    new = encode(9, ALL)
    versions = Versions()
    versions.add(9, new)
    update = versions.build_delta(4)
    assert update.base == 0
    assert len(encode_frame([update])) < len(new) / 5
    assert Versions().apply(update) == new


def test_an_update_for_another_content_is_refused():
    """Guards against a configuration that nobody has written."""
    update = know(encode(1, ALL), encode(2, [*ALL, 400])).build_delta(1)
    assert know(encode(1, ALL[1:])).apply(update) is None
    assert Versions().apply(update) is None


def test_random_changes_of_random_texts_are_followed():
    chance = random.Random(5)
    alphabet = [b"a", b"b},", b"},", b"c", b"", b'"x":1},']
    for _ in range(500):
        old, new = (
            b"".join(chance.choices(alphabet, k=chance.randrange(30))) for _ in range(2)
        )
        update = know(old, new).build_delta(1)
        assert know(old).apply(update) == new


def test_damaged_updates_are_refused_or_lead_to_the_right_version():
    chance = random.Random(6)
    old, new = encode(1, ALL[:20]), encode(2, ALL[:21])
    frame = encode_frame([know(old, new).build_delta(1)])
    for _ in range(2_000):
        damaged = bytearray(frame)
        damaged[chance.randrange(len(damaged))] = chance.randrange(256)
        try:
            messages = decode_from_coordinator(bytes(damaged))
        except msgspec.MsgspecError:
            continue
        for one in messages:
            if isinstance(one, ConfigurationDelta):
                assert know(old).apply(one) in (None, new)


def test_a_text_that_repeats_itself_takes_no_longer():
    """Guards against comparisons that take the square of the parts' number."""
    old = b'{"Weight":1},' * 60_000
    update = know(old, old + b"{}").build_delta(1)
    assert know(old).apply(update) == old + b"{}"


def test_few_versions_are_kept_and_the_newest_always():
    versions = Versions()
    for number in range(1, 40):
        versions.add(number, b"%d" % number)
    assert versions.newest == 39
    assert len(versions._bodies) <= MOST_KEPT
    large = b"x" * (MOST_KEPT_BYTES + 1)
    versions.add(40, large)
    versions.add(41, large)
    assert list(versions._bodies) == [41]
