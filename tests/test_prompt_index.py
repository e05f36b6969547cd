"""Which versions keep a part of prompts, as far as servers have answered."""

import pytest

from arbutuspulley.delivery import prompt_index
from arbutuspulley.delivery.prompt_index import (
    RETENTION_MS,
    PromptIndex,
    build_part_key,
)
from arbutuspulley.ports.fleet import SoftwareVersion

V1, V2 = SoftwareVersion(name="v1"), SoftwareVersion(name="v2")
KEY = build_part_key("a1")


def build_index(*answers):
    index = PromptIndex()
    index.restart(now=0)
    for version, parts in answers:
        index.add("llm", version, parts)
    return index


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([(V1, {"a1", "b2"}), (V2, {"b2"})], V1),
        ([(V1, {"a1"}), (V1, {"a1"}), (V1, None)], V1),
        ([(V1, {"a1"}), (V2, {"a1"})], None),
        ([(V1, {"a1"}), (V2, {"a1"}), (V1, {"a1"})], None),
        ([(V1, {"a1"}), (V2, None)], None),
        ([(V1, None)], None),
        ([], None),
    ],
)
def test_a_version_is_told_only_by_its_own_servers(answers, expected):
    """Guards against a stream that goes on at a version whose servers keep its prompt
    where those of another one keep it, or may keep it, too."""
    assert build_index(*answers).find("llm", KEY, now=1) == expected


def test_parts_are_found_in_their_service_for_a_while():
    index = build_index((V1, {"a1", ""}))
    assert index.find("other", KEY, now=1) is None
    assert index.find("llm", build_part_key(""), now=1) is None
    assert index.find("llm", KEY, now=RETENTION_MS - 1) == V1
    assert index.find("llm", KEY, now=RETENTION_MS) is None


def test_what_was_known_before_is_forgotten():
    index = build_index((V1, {"a1"}), (V2, None))
    index.restart(now=5)
    assert index.find("llm", KEY, now=6) is None
    index.add("llm", V2, {"a1"})
    assert index.find("llm", KEY, now=6) == V2


def test_parts_beyond_the_bound_may_be_of_any_version(monkeypatch):
    """Guards against a stream that goes on at the version that was read first, as what
    the servers of the other one keep is not added any more."""
    monkeypatch.setattr(prompt_index, "MAX_PARTS", 2)
    index = build_index((V1, {"a1", "b2"}), (V2, {"a1"}))
    assert index.is_full
    assert index.find("llm", KEY, now=1) is None
