"""Parsing of callers' requests and formats of answers."""

import json

import msgspec
import pytest

from arbutuspulley.configuration.schema import Caller, Configuration, Model, Site
from arbutuspulley.delivery.failures import build_failure
from arbutuspulley.entry import answers, calls
from arbutuspulley.entry.index import (
    Identity,
    build_index,
    find_item,
    find_target,
    identify,
)
from arbutuspulley.results import Code, RequestError, RunState

KEY_SHA256 = "a64198d6870f5906e82dd9a7b36ed06515c60ec40e3c55e9f25bf4e82fdc9725"
SITE = Site(
    models={"m": Model(version="1", size_mib=1), "n": Model(version="1", size_mib=1)},
    callers={"desk": Caller(key_sha256=KEY_SHA256, models=("m",))},
)
INDEX = build_index(Configuration(version=3, sites={"a": SITE}), site="a")
DESK = Identity(name="desk", caller=SITE.callers["desk"])
CHAT = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


def parse(body=CHAT, path=calls.CHAT_PATH, **headers):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return calls.parse_inference(
        index=INDEX,
        identity=DESK,
        request_id="r",
        path=path,
        body=raw,
        headers={name.replace("_", "-"): value for name, value in headers.items()},
        traceparent="",
        now=5,
    )


@pytest.mark.parametrize(
    ("body", "headers", "code"),
    [
        (b"", {}, Code.MALFORMED_BODY),
        (b"{", {}, Code.MALFORMED_BODY),
        (b'{"model": "\xff"}', {}, Code.MALFORMED_BODY),
        (b'{"x":' + b"[" * 100_000, {}, Code.MALFORMED_BODY),
        (b"[]", {}, Code.BAD_PARAMETER),
        ({}, {}, Code.BAD_PARAMETER),
        ({**CHAT, "model": 7}, {}, Code.BAD_PARAMETER),
        ({**CHAT, "messages": []}, {}, Code.BAD_PARAMETER),
        ({**CHAT, "messages": ["hi"]}, {}, Code.BAD_PARAMETER),
        ({**CHAT, "stream": "yes"}, {}, Code.BAD_PARAMETER),
        ({**CHAT, "max_tokens": 0}, {}, Code.BAD_PARAMETER),
        ({**CHAT, "max_completion_tokens": 1 << 40}, {}, Code.BAD_PARAMETER),
        ({**CHAT, "n": 17}, {}, Code.BAD_PARAMETER),
        (CHAT, {"X_Arbutus_Unrepeatable": "true"}, Code.KEY_REQUIRED),
        (CHAT, {"X_Arbutus_Unrepeatable": "yes"}, Code.BAD_PARAMETER),
        (CHAT, {"Idempotency_Key": "k" * 256}, Code.BAD_PARAMETER),
        ({**CHAT, "stream": True}, {"Last_Event_ID": "7"}, Code.BAD_EVENT_ID),
        ({**CHAT, "stream": True}, {"Last_Event_ID": "r:x"}, Code.BAD_EVENT_ID),
        ({**CHAT, "stream": True}, {"Last_Event_ID": "r:-1"}, Code.BAD_EVENT_ID),
        ({**CHAT, "stream": True}, {"Last_Event_ID": "r:²"}, Code.BAD_EVENT_ID),
        ({**CHAT, "stream": True}, {"Last_Event_ID": "r:" + "9" * 99}, 1009),
    ],
)
def test_invalid_requests_raise_numbered_errors(body, headers, code):
    with pytest.raises(RequestError) as caught:
        parse(body, **headers)
    assert caught.value.code == code
    assert (caught.value.status, caught.value.run_state) == (400, RunState.NOT_RUN)
    assert caught.value.retry_after_ms is None


def test_parses_valid_requests():
    streamed = {**CHAT, "stream": True, "seed": 1}
    call = parse(streamed, Last_Event_ID="old:6", Idempotency_Key="k")
    assert (call.offset, call.streamed, call.key) == (7, True, "k")
    assert json.loads(call.body) == streamed
    plain = parse({**CHAT, "seed": 1}, Last_Event_ID="old:6")
    assert (plain.offset, plain.streamed) == (0, False)
    asked = {"stream": True, "stream_options": {"include_usage": True}}
    assert json.loads(plain.body) == {**CHAT, "seed": 1, **asked}
    with pytest.raises(RequestError):
        parse(CHAT, path=calls.COMPLETIONS_PATH)


@pytest.mark.parametrize(
    ("authorization", "model", "code"),
    [
        ("Bearer key-of-desk", "m", None),
        ("bearer  key-of-desk", "m", None),
        ("Bearer key-of-desk", "n", Code.MODEL_NOT_ALLOWED),
        ("Bearer key-of-desk", "x", Code.UNKNOWN_MODEL),
        ("Bearer other", "m", Code.BAD_KEY),
        ("Basic key-of-desk", "m", Code.BAD_KEY),
        ("", "m", Code.BAD_KEY),
    ],
)
def test_callers_find_only_allowed_models(authorization, model, code):
    found = None
    try:
        find_item(INDEX, identify(INDEX, authorization), model)
    except RequestError as error:
        found = error.code
    assert found == code


def test_index_of_an_unknown_site_is_empty():
    index = build_index(Configuration(version=3), site="elsewhere")
    assert (index.callers, index.items) == ({}, {})
    assert find_target(index, "m").first_token_ms == 1_100


@pytest.mark.parametrize(
    ("code", "retry_after_ms", "status", "kind", "header"),
    [
        (Code.OVERLOADED, 1_001, 503, "server_error", ("Retry-After", "2")),
        (Code.SHARE_EXCEEDED, 1, 429, "rate_limit_error", ("Retry-After", "1")),
        (Code.BAD_KEY, None, 401, "authentication_error", ("X-Should-Retry", "false")),
        (Code.KEY_REUSED, None, 422, "invalid_request_error", None),
    ],
)
def test_errors_follow_the_openai_format(code, retry_after_ms, status, kind, header):
    answer = answers.build_error(
        build_failure(code, "why", retry_after_ms=retry_after_ms)
    )
    error_body = json.loads(answer.body)["error"]
    assert (answer.status, error_body["type"]) == (status, kind)
    assert (error_body["message"], error_body["code"]) == ("why", code.name.lower())
    assert error_body["arbutus_code"] == code
    assert error_body["retry_after_ms"] == retry_after_ms
    assert {("X-Arbutus-Run-State", "not_run")} <= set(answer.headers)
    assert header is None or header in answer.headers


def assemble(*events):
    assembly = answers.Assembly()
    for event in events:
        answers.add_event(assembly, json.dumps(event).encode())
    return json.loads(answers.build_plain_body(assembly))


def chunk(index=0, **choice):
    choices = [{"index": index, **choice}]
    return {"id": "x", "object": "chat.completion.chunk", "choices": choices}


def call_tool(arguments, **more):
    call = {"index": 0, "function": {"arguments": arguments, **more}}
    return chunk(delta={"tool_calls": [call]})


@pytest.mark.parametrize(
    ("events", "choices"),
    [
        (
            [
                chunk(delta={"role": "assistant", "content": "a "}, finish_reason=None),
                chunk(delta={"role": "assistant", "content": "b"}),
                chunk(delta={}, finish_reason="stop"),
            ],
            [{"message": {"role": "assistant", "content": "a b"}, "finish": "stop"}],
        ),
        (
            [chunk(1, text="y"), chunk(0, text="x"), chunk(1, text="z")],
            [{"text": "x"}, {"text": "yz"}],
        ),
        (
            [call_tool("{", name="f"), call_tool("}")],
            [
                {
                    "message": {
                        "tool_calls": [
                            {"index": 0, "function": {"arguments": "{}", "name": "f"}}
                        ]
                    }
                }
            ],
        ),
        (
            [chunk(logprobs={"content": [{"token": t}]}) for t in "ab"],
            [{"logprobs": {"content": [{"token": "a"}, {"token": "b"}]}}],
        ),
    ],
)
def test_plain_answer_merges_all_events(events, choices):
    plain = assemble(*events, {"choices": [], "usage": {"total_tokens": 3}})
    assert (plain["object"], plain["id"]) == ("chat.completion", "x")
    assert plain["usage"] == {"total_tokens": 3}
    found = plain["choices"]
    assert [choice.pop("index") for choice in found] == list(range(len(choices)))
    for choice in found:
        if reason := choice.pop("finish_reason", None):
            choice["finish"] = reason
    assert found == choices


def test_events_carry_their_offset():
    prefix = answers.build_event_prefix("r")
    assert answers.build_event(prefix, 7, b"{}") == b"id: r:7\ndata: {}\n\n"
    error = build_failure(Code.RETRIES_EXHAUSTED, "why", run_state=RunState.UNKNOWN)
    event = answers.build_error_event(error)
    assert event.startswith(b'data: {"error":') and b"id:" not in event
    assert msgspec.json.decode(event[6:])["error"]["run_state"] == "unknown"
