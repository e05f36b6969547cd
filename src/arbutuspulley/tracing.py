"""Traces: one span for each hop, with W3C trace context carried on."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TextIO

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_PROPAGATOR = TraceContextTextMapPropagator()
_TRACER = trace.get_tracer("arbutuspulley")

TRACEPARENT = "traceparent"
"""Name of the header that carries the context."""


def set_up_tracing(*, program: str, instance: str, target: str) -> None:
    """Choose where finished spans go.

    :param target: ``off``, ``stderr`` or the path of a file to append to.
    """
    if target == "off":
        return
    resource = Resource.create(
        {"service.name": program, "service.instance.id": instance}
    )
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(BatchSpanProcessor(_build_exporter(target)))
    trace.set_tracer_provider(provider)


@contextmanager
def open_span(name: str, *, parent: str = "", **attributes: str | int) -> Iterator[str]:
    """Time one hop.

    :param parent: the ``traceparent`` that came with the call, if any.
    :param attributes: what the span tells besides; never keys or bodies.
    :return: the ``traceparent`` to send with the next hop, empty if tracing is off.
    """
    context = _PROPAGATOR.extract({TRACEPARENT: parent}) if parent else None
    with _TRACER.start_as_current_span(name, context=context) as span:
        for key, value in attributes.items():
            span.set_attribute(f"arbutus.{key}", value)
        yield get_traceparent() or parent


def get_traceparent() -> str:
    """Return the ``traceparent`` of the span that is open here, empty if none is.

    A coroutine that a worker hands to the loop runs in the worker's context, so the
    span that the worker opened is open there, too.
    """
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get(TRACEPARENT, "")


def _build_exporter(target: str) -> SpanExporter:
    out: TextIO = sys.stderr
    if target != "stderr":
        out = open(target, "a", buffering=1, encoding="utf-8")  # noqa: SIM115
    return ConsoleSpanExporter(
        out=out, formatter=lambda span: span.to_json(indent=None) + "\n"
    )
