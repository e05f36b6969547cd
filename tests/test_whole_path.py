"""End to end with real processes: callers, entries, engines and operators."""

import json

import openai
import pytest

from arbutuspulley.configuration import schema
from arbutuspulley.results import Code
from scripts import fleet
from scripts.client import send_once
from scripts.launcher import fetch
from tests import stack as running

ADAPTERS = {"tracker-night": schema.Adapter(model="tracker", version="1", size_mib=50)}
MIB = 1024 * 1024


@pytest.fixture(scope="module")
def stack(tmp_path_factory):
    plan = running.build_plan(adapters=ADAPTERS)
    with running.open_stack(plan, tmp_path_factory.mktemp("path")) as opened:
        running.wait_loaded(opened, models=ADAPTERS)
        yield opened


@pytest.fixture
def client(stack):
    url = f"http://{running.get_entry(stack, 0)}/v1"
    return openai.OpenAI(base_url=url, api_key=running.KEY, max_retries=0)


@pytest.mark.parametrize("model", ["tracker", "tracker-night"])
def test_the_openai_client_works_unchanged(client, model):
    assert {one.id for one in client.models.list()} == {"tracker", "tracker-night"}
    asked = {
        "model": model,
        "messages": [{"role": "user", "content": "Where is runner 7?"}],
        "max_tokens": 12,
    }
    plain = client.chat.completions.create(**asked)
    chunks = list(client.chat.completions.create(**asked, stream=True))
    streamed = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert plain.choices[0].message.content == streamed != ""
    assert plain.usage.completion_tokens == 12
    text = client.completions.create(model=model, prompt="Where?", max_tokens=3)
    assert len(text.choices[0].text.split()) == 3


def test_errors_have_the_format_of_the_client_library(client):
    with pytest.raises(openai.NotFoundError) as raised:
        client.completions.create(model="no-such", prompt="Where?")
    assert raised.value.body["arbutus_code"] == Code.UNKNOWN_MODEL


def test_addresses_list_all_entries_with_a_lifetime(stack):
    entries = {running.get_entry(stack, number) for number in (0, 1)}
    for entry in entries:
        reply = json.loads(fetch("GET", entry, "/v1/addresses?model=tracker").data)
        assert set(reply["addresses"]) == entries
        assert reply["lifetime_s"] == stack.fleet.plan.policy.address_lifetime_s


def test_plain_service_receives_path_method_and_body(stack):
    path = "/services/booking/stays/7?night=2"
    headers = {"Authorization": f"Bearer {running.KEY}"}
    reply = fetch(
        "PUT", running.get_entry(stack, 1), path, body=b"two guests", headers=headers
    )
    echo = json.loads(reply.data)
    assert (echo["method"], echo["target"]) == ("PUT", "/stays/7?night=2")
    assert echo["body"] == "two guests"
    assert "authorization" not in echo["headers"]


@pytest.mark.parametrize(
    ("changes", "headers", "status", "code"),
    [
        ({"model": "no-such"}, {}, 404, Code.UNKNOWN_MODEL),
        ({}, {"Authorization": "Bearer wrong"}, 401, Code.BAD_KEY),
        ({"prompt": "x" * (MIB + 1)}, {}, 413, Code.BODY_TOO_LARGE),
        (None, {}, 400, Code.MALFORMED_BODY),
        ({}, {"X-Arbutus-Unrepeatable": "true"}, 400, Code.KEY_REQUIRED),
        ({"max_tokens": -1}, {}, 400, Code.BAD_PARAMETER),
        ({}, {"Last-Event-ID": "nonsense"}, 400, Code.BAD_EVENT_ID),
    ],
)
def test_invalid_input_is_refused_and_the_process_keeps_serving(
    stack, changes, headers, status, code
):
    entry = running.get_entry(stack, 0)
    body = {"model": "tracker", "prompt": "Where?", "stream": True, **(changes or {})}
    reply = fetch(
        "POST",
        entry,
        "/v1/completions",
        body=b"{" if changes is None else json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {running.KEY}", **headers},
    )
    error = json.loads(reply.data)["error"]
    assert (reply.status, error["arbutus_code"]) == (status, code)
    assert error["run_state"] == reply.headers["X-Arbutus-Run-State"] == "not_run"
    assert b"Traceback" not in reply.data
    assert send_once(entry, running.build_inference("after")).status == 200


def test_half_written_overlay_is_refused_and_nothing_changes(stack):
    files = fleet.write_files(stack.fleet, stack.directory)
    text = files[1].read_text()
    files[1].write_text(text.replace("memory_mib", "memory_mb") + "\nservices: {")
    ended = fleet.run_cli(stack.fleet, "propose", *map(str, files))
    assert ended.returncode == 1
    assert ended.stderr.startswith(f"{files[1].name}: line ")
    assert f"error {Code.BAD_SYNTAX.value}" in ended.stderr
    files[1].write_text(text.replace("memory_mib", "memory_mb"))
    ended = fleet.run_cli(stack.fleet, "propose", *map(str, files))
    assert ended.stderr.startswith(f"{files[1].name}: $.servers")
    assert f"error {Code.BAD_SCHEMA.value}" in ended.stderr
    assert running.read_status(stack)["accepted_version"] == stack.version


def test_every_process_serves_health_and_metrics(stack):
    names = [f"health-{name}" for name in running.list_names(stack)]
    for name in (*names, *fleet.list_all_entries(stack.fleet), "console"):
        address = stack.addresses[name]
        for path in ("/healthz", "/readyz"):
            assert fetch("GET", address, path).status == 200, (name, path)
        assert b"# TYPE arbutus_" in fetch("GET", address, "/metrics").data, name
