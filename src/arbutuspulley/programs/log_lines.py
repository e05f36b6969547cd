"""Parses the JSON log lines of instances."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from arbutuspulley.data import State


class LogLine(State):
    """A parsed log line.

    :param time_ms: wall-clock time of the instance, in ms.
    :param event: number of the event.
    :param name: name of the event.
    """

    time_ms: int
    instance: str
    event: int
    name: str
    fields: dict[str, object]


def read_lines(sources: Iterable[Iterable[str]]) -> Iterator[LogLine]:
    """Parse log lines; text that is not a log line of an instance is skipped.

    A prefix before the opening brace, such as a collector's timestamp, is removed.
    """
    for source in sources:
        for text in source:
            start = text.find("{")
            if start < 0:
                continue
            try:
                found = msgspec.json.decode(text[start:], type=dict)
            except msgspec.MsgspecError:
                continue
            if "time_ms" in found and "name" in found:
                yield _build_line(found)


def open_sources(paths: list[Path]) -> list[Iterable[str]]:
    """Return the lines of files, or of standard input if there are none."""
    if not paths:
        return [sys.stdin]
    return [path.read_text(errors="replace").splitlines() for path in paths]


def _build_line(found: dict[str, object]) -> LogLine:
    return LogLine(
        time_ms=int(str(found["time_ms"])),
        instance=str(found.get("instance", "")),
        event=int(str(found.get("event", 0))),
        name=str(found["name"]),
        fields=found,
    )
