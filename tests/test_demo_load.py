"""The demo's checks: lost, duplicate and wrongly reported requests."""

import json
from collections import Counter

import pytest

from arbutuspulley.adapters.sse import SentEvent
from arbutuspulley.standins import answer
from scripts.asking import Answer, Ask, Ending, Outcome
from scripts.demo_load import RunCounts, judge

ITEMS = {"assistant": "1"}
BODY = json.dumps({"model": "assistant", "prompt": "Hello", "max_tokens": 4}).encode()
PROMPT = answer.read_prompt(path="/v1/completions", body=BODY)
ASK = Ask(
    name="ask-1",
    path="/v1/completions",
    body=BODY,
    key="key",
    model="assistant",
    streamed=True,
    unrepeatable=True,
)


def _build_outcome(offsets, ending):
    events = tuple(
        SentEvent(
            id=f"request:{offset}",
            data=answer.build_token_data(
                request_id="request", item="assistant@1", prompt=PROMPT, index=offset
            ),
        )
        for offset in offsets
    )
    return Outcome(
        ask=ASK, ending=ending, body=b"", events=events, entries=(), last=Answer()
    )


@pytest.mark.parametrize(
    ("offsets", "ending", "runs", "lost", "doubled", "untrue"),
    [
        ([0, 1, 2, 3], Ending.WHOLE, 1, 0, 0, 0),
        ([0, 1, 3], Ending.WHOLE, 1, 1, 0, 0),
        ([0, 1, 1, 2, 3], Ending.WHOLE, 1, 1, 1, 0),
        ([0, 1, 2, 3], Ending.WHOLE, 2, 0, 1, 0),
        ([0, 1, 2, 3], Ending.WHOLE, 0, 1, 0, 0),
        ([], Ending.UNKNOWN, 1, 0, 0, 0),
        ([], Ending.REFUSED, 0, 0, 0, 0),
        ([], Ending.REFUSED, 1, 0, 0, 1),
    ],
)
def test_judge(offsets, ending, runs, lost, doubled, untrue):
    counts = RunCounts(prompts=Counter({PROMPT.digest: runs}), bookings=Counter())
    tally = judge([ASK], [_build_outcome(offsets, ending)], counts, ITEMS)
    assert (tally.lost, tally.doubled, tally.untrue) == (lost, doubled, untrue)
    assert bool(tally.faults) == bool(lost or doubled or untrue)


def test_a_request_without_any_ending_is_lost():
    counts = RunCounts(prompts=Counter(), bookings=Counter())
    assert judge([ASK], [], counts, ITEMS).lost == 1
