"""What callers can ask of an entry, and how it is taken from HTTP.

Each handler takes an :class:`Exchange` and returns an :class:`.answers.Answer` or
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
from arbutuspulley.entry.draining import build_refusal
from arbutuspulley.entry.index import Identity, SiteIndex, identify, may_call
from arbutuspulley.entry.inference import answer_inference
from arbutuspulley.entry.services import ServiceCall, answer_service, find_service
from arbutuspulley.entry.state import Runtime
from arbutuspulley.entry.views import is_ready, list_entries
from arbutuspulley.ports.engines import ServiceRequest
from arbutuspulley.results import Code, RunState
from arbutuspulley.routing.addresses import choose_entry_count, rank_entries

SERVICES_PATH = "/services/"

_INFERENCE_PATHS = frozenset({calls.CHAT_PATH, calls.COMPLETIONS_PATH})

_DROPPED_HEADERS = frozenset(
    {"authorization", "remote-addr", "traceparent", "x-arbutus-unrepeatable"}
)


class Exchange(Value, frozen=True):
    """One HTTP request.

    :param target: path and query as they were sent.
    :param headers: by name; case does not matter.
    :param bearing: ``traceparent`` of this hop.
    :param read_body: reads the body; raises ``BODY_TOO_LARGE``.
    :param has_left: tells whether the caller has closed its connection.
    """

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    read_body: Callable[[], bytes]
    has_left: Callable[[], bool]
    bearing: str = ""

    @property
    def path(self) -> str:
        """The path without query and without a slash at its end."""
        return self.target.partition("?")[0].rstrip("/")


Handler = Callable[[Runtime, Exchange], answers.Answer]


class AddressAnswer(Message, frozen=True, omit_defaults=False):
    """Which entries to use, best first, and how long to keep the answer."""

    model: str
    addresses: tuple[str, ...]
    lifetime_s: int


class ModelEntry(Message, frozen=True, omit_defaults=False):
    """A model or adapter in the usual protocol's shape."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "arbutuspulley"


class ModelList(Message, frozen=True, omit_defaults=False):
    """All that a caller may use."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


class _Opening(Value, frozen=True):
    """Who calls, and under which configuration."""

    index: SiteIndex
    identity: Identity
    now: int


def answer_health(_runtime: Runtime, _exchange: Exchange) -> answers.Answer:
    """Say that the process answers."""
    return answers.build_success(b'{"status":"ok"}', run_state=RunState.NOT_RUN)


def answer_readiness(runtime: Runtime, _exchange: Exchange) -> answers.Answer:
    """Say whether requests can be served."""
    state = runtime.state
    if runtime.loop.call(lambda: is_ready(state) and not state.refusing):
        return answers.build_success(b'{"status":"ready"}', run_state=RunState.NOT_RUN)
    raise build_failure(
        Code.NOT_READY, "not serving requests", retry_after_ms=DEFAULT_RETRY_AFTER_MS
    )


def answer_metrics(runtime: Runtime, _exchange: Exchange) -> answers.Answer:
    """Give the metrics in Prometheus' text format."""
    runtime.loop.call(lambda: _update_gauges(runtime))
    return answers.build_success(
        generate_latest(runtime.metrics.registry),
        content_type=CONTENT_TYPE_LATEST,
        run_state=RunState.NOT_RUN,
    )


def answer_addresses(runtime: Runtime, exchange: Exchange) -> answers.Answer:
    """Say which entries to use for a model; needs no key."""
    query = parse_qs(exchange.target.partition("?")[2])
    model = query.get("model", [""])[0]
    # The same caller at the same place gets the same order each time it asks.
    asker = [
        exchange.headers.get(name, "") for name in ("Authorization", "Remote-Addr")
    ]
    spread = hash_key("|".join(asker))
    found = runtime.loop.call(lambda: _find_addresses(runtime, model, spread))
    return answers.build_success(msgspec.json.encode(found), run_state=RunState.NOT_RUN)


def answer_models(runtime: Runtime, exchange: Exchange) -> answers.Answer:
    """List the models and adapters that a caller may use, or show one."""
    opening = _open(runtime, exchange)
    names = [name for name in opening.index.items if may_call(opening.identity, name)]
    asked = exchange.path.removeprefix("/v1/models").lstrip("/")
    if not asked:
        body = ModelList(data=tuple(ModelEntry(id=name) for name in sorted(names)))
        encoded = msgspec.json.encode(body)
    elif asked in names:
        encoded = msgspec.json.encode(ModelEntry(id=asked))
    else:
        raise build_failure(Code.UNKNOWN_MODEL, "there is no such model")
    return answers.build_success(encoded, run_state=RunState.NOT_RUN)


def answer_completion(runtime: Runtime, exchange: Exchange) -> answers.Answer:
    """Run a request to a model."""
    if exchange.method != "POST" or exchange.path not in _INFERENCE_PATHS:
        raise build_failure(Code.NOT_FOUND, "there is nothing to POST to here")
    opening = _open(runtime, exchange)
    call = calls.parse_inference(
        index=opening.index,
        identity=opening.identity,
        request_id=exchange.request_id,
        path=exchange.path,
        body=exchange.read_body(),
        headers=exchange.headers,
        bearing=exchange.bearing,
        now=opening.now,
    )
    return answer_inference(runtime, call, has_left=exchange.has_left)


def answer_plain_service(runtime: Runtime, exchange: Exchange) -> answers.Answer:
    """Pass a call on to a plain service."""
    opening = _open(runtime, exchange)
    call = Call(
        request_id=exchange.request_id,
        index=opening.index,
        identity=opening.identity,
        path=f"{exchange.method} {exchange.target}",
        body=exchange.read_body(),
        arrived_at=opening.now,
        key=calls.read_key(exchange.headers),
        unrepeatable=calls.is_unrepeatable(exchange.headers),
        bearing=exchange.bearing,
    )
    name, _, rest = exchange.target.removeprefix(SERVICES_PATH).partition("/")
    name, _, query = name.partition("?")
    request = ServiceRequest(
        method=exchange.method,
        path=f"/{rest}" if not query else f"/?{query}",
        headers=tuple(
            (key, value)
            for key, value in exchange.headers.items()
            if key.lower() not in _DROPPED_HEADERS
        ),
        body=call.body,
        traceparent=call.bearing,
    )
    service = find_service(call, name)
    asked = ServiceCall(call=call, service=service, request=request)
    return answer_service(runtime, asked)


def _open(runtime: Runtime, exchange: Exchange) -> _Opening:
    authorization = exchange.headers.get("Authorization", "")
    return runtime.loop.call(lambda: _admit_call(runtime, authorization))


def _admit_call(runtime: Runtime, authorization: str) -> _Opening:
    """Check who calls and whether any call is taken now; runs on the loop."""
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
    if state.in_flight > runtime.settings.most_in_flight:
        # Each call keeps a worker thread. Some are left over, so that a refusal,
        # an address and a health check are still answered at once.
        raise build_failure(
            Code.OVERLOADED,
            "this entry is full; use another",
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )
    return _Opening(index=state.index, identity=identity, now=runtime.clock.now())


def _find_addresses(runtime: Runtime, model: str, spread: str) -> AddressAnswer:
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
    width = choose_entry_count(
        servers=state.view.servers if state.view else (),
        item=item.key if item else "",
        entries=len(entries),
    )
    told = rank_entries(
        entries,
        model=model,
        answering_address=runtime.settings.address,
        spread_key=spread,
        entry_count=width,
    )
    return AddressAnswer(
        model=model,
        addresses=tuple(entry.address for entry in told),
        lifetime_s=state.index.policy.address_lifetime_s,
    )


def _update_gauges(runtime: Runtime) -> None:
    state, metrics = runtime.state, runtime.metrics
    metrics.in_flight.set(state.in_flight)
    metrics.waiting.set(len(state.admission.waiting))
    if state.view is not None:
        age_ms = runtime.clock.now() - state.viewed_at
        metrics.view_age.set(age_ms / SECOND_MS)
