"""The entry's HTTP in front of engine stand-ins, with a controller in this process."""

import json

import openai
import pytest

from arbutuspulley.programs import entry
from arbutuspulley.results import Code
from arbutuspulley.standins.service import build_service
from tests.backends import set_faults, wait_until
from tests.entries import CHAT, MAX_BODY_BYTES, build_chat, run_bench


@pytest.fixture(scope="module")
def bench():
    with run_bench(engines=("e1",)) as running:
        yield running


def read_error(answer):
    shown = json.loads(answer.data)["error"]
    assert answer.headers["X-Arbutus-Code"] == str(shown["arbutus_code"])
    assert answer.headers["X-Arbutus-Run-State"] == shown["run_state"]
    assert len(answer.headers["X-Arbutus-Request-Id"]) == 32
    return Code(shown["arbutus_code"]), shown["run_state"]


@pytest.mark.parametrize(
    ("request_", "status", "code"),
    [
        ({"body": build_chat(), "key": "wrong"}, 401, Code.BAD_KEY),
        ({"body": {**build_chat(), "model": "x"}}, 404, Code.UNKNOWN_MODEL),
        ({"body": build_chat(), "key": "key-of-narrow"}, 403, Code.MODEL_NOT_ALLOWED),
        ({"body": b"{", "path": CHAT}, 400, Code.MALFORMED_BODY),
        ({"body": b"{}"}, 400, Code.BAD_PARAMETER),
        ({"body": b" " * (MAX_BODY_BYTES + 1)}, 413, Code.BODY_TOO_LARGE),
        ({"body": build_chat(), "X_Arbutus_Unrepeatable": "true"}, 400, 1006),
        ({"body": build_chat(), "path": f"{CHAT}/more"}, 404, Code.NOT_FOUND),
        ({"body": b"", "method": "GET"}, 404, Code.NOT_FOUND),
        ({"body": b"", "path": "/nowhere"}, 404, Code.NOT_FOUND),
        ({"body": b"", "path": "/services/nowhere/x"}, 404, Code.UNKNOWN_SERVICE),
        ({"body": b"", "path": "/v1/models/x", "method": "GET"}, 404, 1003),
        ({"body": b"", "path": "/v1/addresses?model=x", "method": "GET"}, 404, 1003),
    ],
)
def test_bad_input_is_refused_and_changes_nothing(bench, request_, status, code):
    entry = bench.entries[0]
    answer = entry.ask(**request_)
    assert (answer.status, read_error(answer)) == (status, (code, "not_run"))
    assert b"Traceback" not in answer.data
    assert "Retry-After" not in answer.headers
    assert entry.call(lambda state: (state.ongoing, state.admission.running)) == (
        {},
        {},
    )


def test_the_openai_client_library_works_unchanged(bench):
    client = bench.entries[0].connect()
    question = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
    plain = client.chat.completions.create(**question, max_tokens=5)
    stream = client.chat.completions.create(**question, max_tokens=5, stream=True)
    streamed = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    assert plain.choices[0].message.content == streamed != ""
    assert plain.choices[0].finish_reason == "length"
    assert plain.usage.completion_tokens == 5
    text = client.completions.create(model="m", prompt="hi", max_tokens=3)
    assert len(text.choices[0].text.split()) == 3
    assert [model.id for model in client.models.list()] == ["m"]
    assert client.models.retrieve("m").id == "m"
    with pytest.raises(openai.NotFoundError):
        client.chat.completions.create(**{**question, "model": "x"})
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key="wrong").models.list()


def test_a_call_to_a_plain_service_is_forwarded_unchanged():
    service = build_service(name="b")
    service.start()
    with run_bench(engines=(), services=[service.address]) as bench:
        parent = f"00-{'a' * 32}-{'b' * 16}-01"
        path = "/services/booking/x%2Fy/z?q=1&q=2"
        answer = bench.entries[0].ask(b"body", path, "PUT", Traceparent=parent, A="b")
        echo = json.loads(answer.data)
        assert (echo["method"], echo["target"]) == ("PUT", "/x%2Fy/z?q=1&q=2")
        assert (echo["body"], echo["headers"]["a"]) == ("body", "b")
        assert echo["headers"]["traceparent"].split("-")[1] == "a" * 32
        assert "authorization" not in echo["headers"]
    service.stop()


def test_all_invalid_settings_are_reported_together(capsys):
    wrong = ["--listen", "here", "--threads", "1", "--log-format", "xml"]
    with pytest.raises(SystemExit) as ended:
        entry.app([*wrong, "--instance", "i"])
    shown = capsys.readouterr().err
    named = ("--listen", "--threads", "--log-format", "--site", "--peer-key")
    assert ended.value.code == 2
    assert all(name in shown for name in named) and "--instance" not in shown


def read_events(answer):
    events = [event for event in answer.data.split(b"\n\n") if event]
    return [event.split(b"data: ")[-1] for event in events], events


def test_a_stream_resumes_after_the_last_event(bench):
    """A guest's phone loses its network connection in the middle of an answer.

    The client retries through any entry with the id of the last event that it received,
    and must receive the remaining events, each once.
    """
    entry = bench.entries[0]
    complete, events = read_events(entry.ask(build_chat(stream=True)))
    assert complete[-1] == b"[DONE]" and len(complete) == 6
    last_id = events[1].split(b"\n")[0].removeprefix(b"id: ").decode()
    rest = entry.ask(build_chat(stream=True), Last_Event_ID=last_id)
    resumed, _ = read_events(rest)
    strip = [json.loads(data)["choices"] for data in complete[2:-1]]
    assert [json.loads(data)["choices"] for data in resumed[:-1]] == strip
    foreign = entry.ask(
        build_chat("other", stream=True), key="key-of-hosts", Last_Event_ID=last_id
    )
    assert complete[2] not in read_events(foreign)[0]


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        ({"break_streams": 1, "break_after_tokens": 2}, "broken"),
        ({"skip_end_markers": 1}, "broken"),
        ({"break_requests": 1}, "broken"),
        ({"fail_requests": 1}, "broken"),
        ({"refuse_requests": 1}, "refused"),
        ({"stray_chunks": 99}, "ended"),
    ],
)
def test_an_answer_is_complete_despite_engine_failures(faults, outcome):
    """An engine refuses, breaks the stream off, or sends late or duplicate chunks.

    The caller must receive each token once and in order; an answer without its end
    marker must not count as complete.
    """
    with run_bench(engines=("e1", "e2")) as bench:
        entry = bench.entries[0]
        expected = entry.connect().chat.completions.create(**build_chat(tokens=6))
        set_faults(bench.engines["e1"].address, **faults)
        attempts = entry.runtime.metrics.attempts.labels(outcome)

        def ask_and_check_fault():
            before = attempts._value.get()
            data, events = read_events(entry.ask(build_chat(tokens=6, stream=True)))
            deltas = [json.loads(event)["choices"][0]["delta"] for event in data[:-1]]
            text = "".join(delta.get("content", "") for delta in deltas)
            assert text == expected.choices[0].message.content
            offsets = [event.split(b"\n")[0].split(b":")[-1] for event in events[:-1]]
            assert [int(offset) for offset in offsets] == [*range(7)]
            return attempts._value.get() > before

        wait_until(ask_and_check_fault)
        dropped = entry.runtime.metrics.dropped_chunks._value.get()
        assert (outcome == "ended") == (dropped > 0)
        assert bench.controller.list_suspicions() == ()


def test_a_stream_that_cannot_be_completed_ends_with_an_error():
    with run_bench(engines=("e1",)) as bench:
        address = bench.engines["e1"].address
        set_faults(address, break_streams=9, break_after_tokens=1)
        answer = bench.entries[0].ask(build_chat(tokens=9, stream=True))
        data, _ = read_events(answer)
        error = json.loads(data[-1])["error"]
        assert (error["code"], error["run_state"]) == ("retries_exhausted", "unknown")
        assert b"[DONE]" not in answer.data
        with pytest.raises(openai.APIError):
            list(
                bench.entries[0]
                .connect()
                .chat.completions.create(**build_chat(tokens=9, stream=True))
            )
