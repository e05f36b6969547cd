"""Numbered log events and how they are written.

Each line of a process's log is one event with a number from :class:`Event`; the
catalogue with meaning and what to do is ``docs/EVENTS.md``. Keys, prompts and
answers are never logged.
"""

import enum
import json
import logging
import sys

from arbutuspulley.clock import read_wall

_LOGGER = logging.getLogger("arbutuspulley")


class Event(enum.IntEnum):
    """Log event numbers, never reused.

    1xx: processes; 2xx: requests; 3xx: membership; 4xx: placement and orders;
    5xx: configuration; 6xx: platform; 7xx: peers; 8xx: backend servers.
    """

    STARTED = 101
    DRAINING = 102
    STOPPED = 103
    INTERNAL_ERROR = 104
    SETTINGS_REFUSED = 105
    REQUEST_ENDED = 201
    REQUEST_REFUSED = 202
    ATTEMPT_FAILED = 203
    STREAM_RESUMED = 204
    CHUNK_DROPPED = 205
    CLAIM_MADE = 206
    CLAIM_SETTLED = 207
    SUSPECT_RECORDED = 208
    REQUEST_QUARANTINED = 209
    CLAIM_UNSETTLED = 210
    LEASE_TAKEN = 301
    LEASE_LAPSED = 302
    LEASE_RELEASED = 303
    SERVER_CLAIMED = 304
    SERVER_RELEASED = 305
    INSTANCE_LAPSED = 306
    INTENT_COMMITTED = 401
    ORDER_SENT = 402
    ORDER_REFUSED = 403
    ORDER_UNKNOWN = 404
    ITEM_LOADED = 405
    ITEM_UNLOADED = 406
    LEDGER_CORRECTED = 407
    PLACEMENT_BLOCKED = 408
    CONFIGURATION_IN_FORCE = 501
    CONFIGURATION_REFUSED = 502
    CHANGE_PROPOSED = 503
    CHANGE_APPROVED = 504
    APPROVAL_REFUSED = 505
    OLDER_CONFIGURATION_IGNORED = 506
    PLATFORM_DOWN = 601
    PLATFORM_UP = 602
    OUTCOME_RESOLVED = 603
    TABLE_RESTORED = 604
    PEER_DOWN = 701
    PEER_UP = 702
    CONFIGURATION_FROM_PEER = 703
    SERVER_DOWN = 801
    SERVER_UP = 802
    SERVER_LEAVING = 803


class _JsonFormatter(logging.Formatter):
    """Writes one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        line = {
            "time_ms": read_wall(),
            "level": record.levelname.lower(),
            "event": getattr(record, "event_number", 0),
            "name": record.getMessage(),
            **getattr(record, "event_fields", {}),
        }
        return json.dumps(line, default=str)


class _TextFormatter(logging.Formatter):
    """Writes one readable line an event."""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "event_fields", {})
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        number = getattr(record, "event_number", 0)
        return f"{record.levelname} {number} {record.getMessage()} {shown}".rstrip()


def set_up_logging(*, log_format: str, level: str = "info") -> None:
    """Send numbered events to standard error.

    :param log_format: ``json`` or ``text``.
    :param level: a level name of :mod:`logging`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level.upper())
    _LOGGER.propagate = False


def log_event(event: Event, *, level: int = logging.INFO, **fields: object) -> None:
    """Write one numbered event.

    :param event: which event.
    :param level: a level of :mod:`logging`.
    :param fields: what the line tells besides; never keys, prompts or answers.
    """
    _LOGGER.log(
        level,
        event.name.lower(),
        extra={"event_number": event.value, "event_fields": fields},
    )
