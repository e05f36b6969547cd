"""Tracing: one span per hop, with propagation of the W3C trace context."""

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
"""Name of the header that carries the trace context."""


def set_up_tracing(*, program: str, instance: str, target: str) -> None:
    """Set the output of finished spans.

    :param program: value of ``service.name``.
    :param instance: value of ``service.instance.id``.
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
    """Record one hop as a span.

    :param parent: the ``traceparent`` received with the call, if any.
    :param attributes: attributes of the span; never API keys or bodies.
    :return: the ``traceparent`` to send to the next hop: that of the new span, or
        ``parent`` if tracing is off.
    """
    context = _PROPAGATOR.extract({TRACEPARENT: parent}) if parent else None
    with _TRACER.start_as_current_span(name, context=context) as span:
        for key, value in attributes.items():
            span.set_attribute(f"arbutus.{key}", value)
        yield get_traceparent() or parent


def get_traceparent() -> str:
    """Return the ``traceparent`` of the current span, empty if there is none.

    A coroutine that a worker thread submits to the loop runs in the worker's context,
    so the worker's span is the current span there as well.
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
