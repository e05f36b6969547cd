"""Handlers of the HTTP endpoints.

Each handler takes an :class:`HttpRequest` and returns an :class:`.answers.Answer` or
raises :class:`~arbutuspulley.results.RequestError`.
"""

from collections.abc import Callable, Mapping
from urllib.parse import parse_qs

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import hash_key
from arbutuspulley.data import Message, Value
from arbutuspulley.delivery.failures import DEFAULT_RETRY_AFTER_MS, build_failure
from arbutuspulley.entry import answers, calls
from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.controller_sync import is_ready, list_entries
from arbutuspulley.entry.draining import build_refusal
from arbutuspulley.entry.index import Identity, SiteIndex, identify, may_call
from arbutuspulley.entry.inference import answer_inference
from arbutuspulley.entry.services import ServiceCall, answer_service, find_service
from arbutuspulley.entry.state import Runtime
from arbutuspulley.ports.engines import ServiceRequest
from arbutuspulley.results import Code, RunState
from arbutuspulley.routing.addresses import choose_entry_count, rank_entries

SERVICES_PATH = "/services/"

_INFERENCE_PATHS = frozenset({calls.CHAT_PATH, calls.COMPLETIONS_PATH})

_DROPPED_HEADERS = frozenset(
    {"authorization", "remote-addr", "traceparent", "x-arbutus-unrepeatable"}
)


class HttpRequest(Value, frozen=True):
    """One HTTP request.

    :param target: path and query as sent.
    :param headers: by name, case-insensitive.
    :param traceparent: ``traceparent`` header for the next hop.
    :param read_body: reads the body; raises ``BODY_TOO_LARGE``.
    :param has_caller_left: returns whether the caller has closed its connection.
    """

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    read_body: Callable[[], bytes]
    has_caller_left: Callable[[], bool]
    traceparent: str = ""

    @property
    def path(self) -> str:
        """The path without the query and without a trailing slash."""
        return self.target.partition("?")[0].rstrip("/")


Handler = Callable[[Runtime, HttpRequest], answers.Answer]


class AddressAnswer(Message, frozen=True, omit_defaults=False):
    """Addresses of entries, best first, and how long the answer may be cached."""

    model: str
    addresses: tuple[str, ...]
    lifetime_s: int


class ModelDescription(Message, frozen=True, omit_defaults=False):
    """A model or adapter in the OpenAI format."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "arbutuspulley"


class ModelList(Message, frozen=True, omit_defaults=False):
    """The models and adapters that a caller may use."""

    data: tuple[ModelDescription, ...]
    object: str = "list"


class _CallContext(Value, frozen=True):
    """Caller, configuration and arrival time of a call."""

    index: SiteIndex
    identity: Identity
    now: int


def answer_health(_runtime: Runtime, _http_request: HttpRequest) -> answers.Answer:
    """Answer the liveness check."""
    return answers.build_success(b'{"status":"ok"}', run_state=RunState.NOT_RUN)


def answer_readiness(runtime: Runtime, _http_request: HttpRequest) -> answers.Answer:
    """Answer the readiness check.

    :raises RequestError: ``NOT_READY`` while requests cannot be served.
    """
    state = runtime.state
    if runtime.loop.call(lambda: is_ready(state) and not state.refusing):
        return answers.build_success(b'{"status":"ready"}', run_state=RunState.NOT_RUN)
    raise build_failure(
        Code.NOT_READY, "not serving requests", retry_after_ms=DEFAULT_RETRY_AFTER_MS
    )


def answer_metrics(runtime: Runtime, _http_request: HttpRequest) -> answers.Answer:
    """Return the metrics in the Prometheus text format."""
    runtime.loop.call(lambda: _update_gauges(runtime))
    return answers.build_success(
        generate_latest(runtime.metrics.registry),
        content_type=CONTENT_TYPE_LATEST,
        run_state=RunState.NOT_RUN,
    )


def answer_addresses(runtime: Runtime, http_request: HttpRequest) -> answers.Answer:
    """Return the addresses of entries for a model; requires no API key."""
    query = parse_qs(http_request.target.partition("?")[2])
    model = query.get("model", [""])[0]
    # The same caller at the same address gets the same order each time.
    caller_parts = [
        http_request.headers.get(name, "") for name in ("Authorization", "Remote-Addr")
    ]
    spread_key = hash_key("|".join(caller_parts))
    found = runtime.loop.call(lambda: _find_addresses(runtime, model, spread_key))
    return answers.build_success(msgspec.json.encode(found), run_state=RunState.NOT_RUN)


def answer_models(runtime: Runtime, http_request: HttpRequest) -> answers.Answer:
    """List the models and adapters that a caller may use, or return one of them."""
    context = _authenticate(runtime, http_request)
    names = [name for name in context.index.items if may_call(context.identity, name)]
    model = http_request.path.removeprefix("/v1/models").lstrip("/")
    if not model:
        body = ModelList(
            data=tuple(ModelDescription(id=name) for name in sorted(names))
        )
        encoded = msgspec.json.encode(body)
    elif model in names:
        encoded = msgspec.json.encode(ModelDescription(id=model))
    else:
        raise build_failure(Code.UNKNOWN_MODEL, "there is no such model")
    return answers.build_success(encoded, run_state=RunState.NOT_RUN)


def answer_completion(runtime: Runtime, http_request: HttpRequest) -> answers.Answer:
    """Run a request to a model."""
    if http_request.method != "POST" or http_request.path not in _INFERENCE_PATHS:
        raise build_failure(Code.NOT_FOUND, "there is nothing to POST to here")
    context = _authenticate(runtime, http_request)
    call = calls.parse_inference(
        index=context.index,
        identity=context.identity,
        request_id=http_request.request_id,
        path=http_request.path,
        body=http_request.read_body(),
        headers=http_request.headers,
        traceparent=http_request.traceparent,
        now=context.now,
    )
    return answer_inference(runtime, call, has_caller_left=http_request.has_caller_left)


def answer_plain_service(runtime: Runtime, http_request: HttpRequest) -> answers.Answer:
    """Forward a call to a plain service."""
    context = _authenticate(runtime, http_request)
    call = Call(
        request_id=http_request.request_id,
        index=context.index,
        identity=context.identity,
        path=f"{http_request.method} {http_request.target}",
        body=http_request.read_body(),
        arrived_at=context.now,
        key=calls.read_idempotency_key(http_request.headers),
        unrepeatable=calls.is_unrepeatable(http_request.headers),
        traceparent=http_request.traceparent,
    )
    name, _, rest = http_request.target.removeprefix(SERVICES_PATH).partition("/")
    name, _, query = name.partition("?")
    request = ServiceRequest(
        method=http_request.method,
        path=f"/{rest}" if not query else f"/?{query}",
        headers=tuple(
            (key, value)
            for key, value in http_request.headers.items()
            if key.lower() not in _DROPPED_HEADERS
        ),
        body=call.body,
        traceparent=call.traceparent,
    )
    service = find_service(call, name)
    service_call = ServiceCall(call=call, service=service, request=request)
    return answer_service(runtime, service_call)


def _authenticate(runtime: Runtime, http_request: HttpRequest) -> _CallContext:
    authorization = http_request.headers.get("Authorization", "")
    return runtime.loop.call(lambda: _check_call(runtime, authorization))


def _check_call(runtime: Runtime, authorization: str) -> _CallContext:
    """Authenticate the caller and check that calls are accepted; runs on the loop."""
    state = runtime.state
    if not is_ready(state):
        raise build_failure(
            Code.NOT_READY,
            "no configuration is in force here yet",
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )
    identity = identify(state.index, authorization)
    if state.refusing:
        raise build_refusal(runtime)
    if state.in_flight > runtime.settings.max_in_flight:
        # Each call occupies a worker thread. Some threads are kept spare, so that
        # refusals, address requests and health checks are still answered at once.
        raise build_failure(
            Code.OVERLOADED,
            "this entry is full; use another",
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )
    return _CallContext(index=state.index, identity=identity, now=runtime.clock.now())


def _find_addresses(runtime: Runtime, model: str, spread_key: str) -> AddressAnswer:
    state = runtime.state
    if not is_ready(state):
        raise build_failure(
            Code.NOT_READY,
            "no configuration is in force here yet",
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )
    if model and model not in state.index.items:
        raise build_failure(Code.UNKNOWN_MODEL, "there is no such model")
    entries = list_entries(runtime)
    item = state.index.items.get(model)
    entry_count = choose_entry_count(
        servers=state.view.servers if state.view else (),
        item=item.key if item else "",
        entries=len(entries),
    )
    ranked = rank_entries(
        entries,
        model=model,
        answering_address=runtime.settings.address,
        spread_key=spread_key,
        entry_count=entry_count,
    )
    return AddressAnswer(
        model=model,
        addresses=tuple(entry.address for entry in ranked),
        lifetime_s=state.index.policy.address_lifetime_s,
    )


def _update_gauges(runtime: Runtime) -> None:
    state, metrics = runtime.state, runtime.metrics
    metrics.in_flight.set(state.in_flight)
    metrics.waiting.set(len(state.admission.waiting))
    if state.view is not None:
        age_ms = runtime.clock.now() - state.view_received_at
        metrics.view_age.set(age_ms / SECOND_MS)
