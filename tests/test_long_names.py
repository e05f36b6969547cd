"""Names that clients choose: they are kept, logged and sent on at a bounded length."""

import asyncio
import os

import aiohttp
import pytest

from arbutuspulley.events import MAX_BUFFERED_BYTES, Event
from arbutuspulley.node.frontend import MAX_LOGGED_PATH_LENGTH
from arbutuspulley.platform import names
from arbutuspulley.platform.requests import (
    MAX_NAME_LENGTH,
    decode_request,
    is_answer_to,
    shorten_name,
)
from scripts.platform_testbed import Fleet, send_request
from tests.answer_fleet import list_events
from tests.test_log_output import build, emit

LONG = "n" * 7_000


def decode(**headers):
    return decode_request(method="POST", path="/x", headers=list(headers.items()))


@pytest.mark.parametrize("length", [0, 1, MAX_NAME_LENGTH])
def test_an_ordinary_name_is_kept_as_it_is(length):
    assert shorten_name("x" * length) == "x" * length


def test_long_names_stay_apart():
    """Guards against two requests that count as one, or one that counts as two."""
    shortened = {shorten_name(LONG + end) for end in ("a", "b", "b")}
    assert len(shortened) == 2
    assert {len(name) for name in shortened} == {MAX_NAME_LENGTH}
    assert {shorten_name(name) for name in shortened} == shortened


def test_a_long_attempt_id_reaches_its_server_unchanged():
    """Guards against answers that are not recognised by the id that they name."""
    request = decode(**{names.ATTEMPT_ID: LONG})
    assert len(request.attempt_id) == MAX_NAME_LENGTH
    assert (names.ATTEMPT_ID, LONG) in request.headers
    answer = {names.ATTEMPT_ID: LONG, names.SEAL: "s"}
    assert is_answer_to(request, answer)
    assert not is_answer_to(request, {**answer, names.ATTEMPT_ID: LONG + "x"})


def test_long_names_of_models_are_bounded():
    """Guards against messages to the coordinator that exceed what a link carries."""
    need = decode(**{names.MODEL: f"{LONG}/{LONG}"}).need
    assert len(need.model) == len(need.adapter) == MAX_NAME_LENGTH


def test_long_lines_do_not_fill_the_log_buffer():
    """Guards against a slow reader of the log that lets long lines pile up."""
    outcomes = []

    async def fill():
        # Within the loop, lines are written after a pause.
        output = build(writer, outcomes, lines_per_s=10_000)
        for _ in range(100):
            emit(output, Event.REQUEST_LOST, id="x" * 64_000)

    reader, writer = os.pipe()
    asyncio.run(fill())
    os.close(reader)
    os.close(writer)
    assert outcomes.count("written") * 64_000 <= MAX_BUFFERED_BYTES
    assert outcomes.count("dropped") > 50


def test_a_node_serves_and_logs_a_request_with_long_names(tmp_path):
    """Guards against log lines as long as what clients send."""

    async def scenario():
        fleet = Fleet(tmp_path)
        try:
            await fleet.open()
            await fleet.start_nodes(("n1",))
            front = fleet.addresses["n1"]["Frontend"]
            path = "/sync/" + "p" * 5_000
            async with aiohttp.ClientSession() as session:
                status, _, headers = await send_request(
                    session, front, path, attempt=LONG
                )
                assert status == 200
                assert headers[names.ATTEMPT_ID] == LONG
                status, _, headers = await send_request(
                    session, front, "/none", attempt=LONG
                )
                assert status == 404
                assert headers[names.ATTEMPT_ID] == LONG
            await asyncio.sleep(0.2)
        finally:
            await fleet.close()
        (line,) = list_events(fleet, "request_ended")
        assert line["id"] == shorten_name(LONG)
        assert line["path"] == path[:MAX_LOGGED_PATH_LENGTH]

    asyncio.run(scenario())
