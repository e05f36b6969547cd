"""A short run of the fuzzer with a fixed seed, and that it can fail."""

import asyncio

import pytest

from arbutuspulley.ports.answers import Framing
from arbutuspulley.standins.scripted_answer import AnswerScript
from scripts.platform_testbed import FULL_STREAM
from tests.fuzz import Ask, Case, Reading, Shape, open_fuzzer, run_fuzzer

CASES = 100
LEAST_CELLS = 30


def test_framing_holds_in_a_short_run_of_the_fuzzer(tmp_path):
    """Guards against answers that look complete and are not, requests that run twice,
    and bodies that become requests."""
    fuzzer = run_fuzzer(tmp_path, seed=1, max_cases=CASES)
    assert fuzzer.cases >= CASES
    assert len(fuzzer.cells) >= LEAST_CELLS


def build_case(*, is_whole):
    script = AnswerScript(parts=(FULL_STREAM,), framing=Framing.CHUNKS)
    ask = Ask(
        path="/chat/",
        shape=Shape.LENGTH,
        body=b"",
        script=script,
        is_whole=is_whole,
    )
    return Case(version="1.1", reading=Reading.ALL, asks=(ask,))


def test_the_fuzzer_finds_an_answer_that_is_taken_for_complete(tmp_path):
    """Guards against a fuzzer that accepts anything: it is told that the answer is
    torn."""

    async def scenario():
        async with open_fuzzer(tmp_path) as fuzzer:
            await fuzzer.play(build_case(is_whole=True))
            with pytest.raises(AssertionError):
                await fuzzer.play(build_case(is_whole=False))

    asyncio.run(scenario())
