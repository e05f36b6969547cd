"""Numbered log events and their output.

Each log line of a process is one event with a number from :class:`Event`.
``docs/EVENTS.md`` lists the events with their meaning and the operator's action. API
keys, prompts and answers are never logged.
"""

import asyncio
import enum
import logging
import os
import sys
from collections import deque
from collections.abc import Callable

import msgspec

from arbutuspulley.clock import SECOND_MS, Clock, read_wall

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
    SETTINGS_RELOADED = 106
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
    SERVER_GRANTED = 211
    REQUEST_LOST = 212
    KEY_REFUSED = 213
    QUOTA_EXCEEDED = 214
    WORD_TOO_OLD = 215
    GRANT_RETURNED = 216
    RETRY_BUDGET = 217
    SUSPECTS_RETRACTED = 218
    BREAK_OFF_IGNORED = 219
    PART_QUARANTINED = 220
    PART_RELEASED = 221
    SHARE_USED_UP = 230
    REQUEST_RETURNED = 231
    ANSWER_ABORTED = 232
    ANSWER_PAUSED = 233
    CLIENTS_CLOSED = 234
    SECOND_ATTEMPT_BEGUN = 240
    SECOND_ATTEMPT_WON = 241
    SECOND_ATTEMPT_LOST = 242
    SECOND_ATTEMPT_WITHHELD = 243
    LEASE_TAKEN = 301
    LEASE_LAPSED = 302
    LEASE_RELEASED = 303
    SERVER_CLAIMED = 304
    SERVER_RELEASED = 305
    INSTANCE_LAPSED = 306
    LEASE_UNSETTLED = 307
    COORDINATOR_FOLLOWED = 308
    COORDINATOR_UNREACHABLE = 309
    COORDINATION_ENDED = 310
    INTENT_COMMITTED = 401
    ORDER_SENT = 402
    ORDER_REFUSED = 403
    ORDER_UNKNOWN = 404
    ITEM_LOADED = 405
    ITEM_UNLOADED = 406
    LEDGER_CORRECTED = 407
    PLACEMENT_BLOCKED = 408
    ORDER_ANSWERED = 409
    POOL_TOLD = 410
    SHARES_TOLD = 420
    CONFIGURATION_IN_FORCE = 501
    CONFIGURATION_REFUSED = 502
    CHANGE_PROPOSED = 503
    CHANGE_APPROVED = 504
    APPROVAL_REFUSED = 505
    OLDER_CONFIGURATION_IGNORED = 506
    CONFIGURATION_BEHIND = 507
    CONFIGURATION_MISSED = 508
    PLATFORM_DOWN = 601
    PLATFORM_UP = 602
    OUTCOME_RESOLVED = 603
    TABLE_RESTORED = 604
    HISTORY_LOST = 605
    RELAY_LOST = 606
    STORE_ERA_CHANGED = 607
    STORE_ERA_REFUSED = 608
    STREAM_RECORDS_READ = 609
    STREAM_RECORDS_DELAYED = 610
    CRASH_ROWS_READ = 611
    CRASH_ROWS_DELAYED = 612
    KEPT_PROMPTS_READ = 613
    STORE_ROW_REFUSED = 614
    PEER_DOWN = 701
    PEER_UP = 702
    CONFIGURATION_FROM_PEER = 703
    ROSTER_LOST = 704
    MESSAGE_SKIPPED = 705
    PEER_BEHIND = 706
    SERVER_DOWN = 801
    SERVER_UP = 802
    SERVER_LEAVING = 803
    SERVER_LISTED = 804
    SERVER_GONE = 805
    SERVER_ENTRY_REFUSED = 806
    SERVER_LIMIT_CHANGED = 807
    SERVER_LIMIT_REFUSED = 808
    SERVER_LIMIT_REACHED = 809
    SERVER_NOTICE_REFUSED = 810
    SERVER_COOLDOWN = 811
    SERVER_ROW_IGNORED = 812
    SERVER_UNREACHABLE = 813
    SERVERS_LOST = 814
    SERVERS_REGAINED = 815
    RELAY_REFUSED = 816
    SERVER_BRITTLE = 817
    SERVER_SPEED_CHANGED = 818
    EXTRA_ANSWER = 819


def _encode_line(record: logging.LogRecord, **leading_fields: object) -> bytes:
    line = {
        "time_ms": read_wall(),
        **leading_fields,
        "event": getattr(record, "event_number", 0),
        "name": record.getMessage(),
        **getattr(record, "event_fields", {}),
    }
    try:
        return msgspec.json.encode(line, enc_hook=str)
    except UnicodeEncodeError:
        # A caller's attempt id may have bytes that are not UTF-8.
        return msgspec.json.encode(
            {
                name: value.encode(errors="backslashreplace").decode()
                if isinstance(value, str)
                else value
                for name, value in line.items()
            },
            enc_hook=str,
        )


class _JsonFormatter(logging.Formatter):
    """Formats an event as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        return _encode_line(record, level=record.levelname.lower()).decode()


class _TextFormatter(logging.Formatter):
    """Formats an event as one line of readable text."""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "event_fields", {})
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        number = getattr(record, "event_number", 0)
        return f"{record.levelname} {number} {record.getMessage()} {shown}".rstrip()


def set_up_logging(*, log_format: str, level: str = "info") -> None:
    """Write log events to standard error.

    :param log_format: ``json`` or ``text``.
    :param level: a level name of :mod:`logging`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level.upper())
    _LOGGER.propagate = False


def log_event(event: Event, *, level: int = logging.INFO, **fields: object) -> None:
    """Log one event.

    :param level: a level of :mod:`logging`.
    :param fields: further fields of the log line; never API keys, prompts or answers.
    """
    _LOGGER.log(
        level,
        event.name.lower(),
        extra={"event_number": event.value, "event_fields": fields},
    )


MAX_BUFFERED_LINES = 2_000
"""Maximum number of lines buffered for standard output; about 600 KB."""

MAX_BUFFERED_BYTES = 2_000_000
"""Maximum size of these lines, in bytes: what clients and servers send may make a line
longer."""

FLUSH_INTERVAL_MS = 50
"""Time between writes to standard output, in ms; batches lines per system call."""

FAILURE_RATE_FACTOR = 5
"""Rate limit of failure events, as a multiple of that of per-request events."""

_PER_REQUEST_EVENTS = frozenset((Event.REQUEST_ENDED, Event.SERVER_GRANTED))
"""Events that every request logs, successful ones included."""


class BoundedOutput(logging.Handler):
    """A rate-limited, non-blocking log handler that writes to a file descriptor.

    Per-request lines are dropped first: above their rate limit, and when the buffer
    is half full because the reader is slow. Failure lines have a higher rate limit of
    their own. Dropped lines are counted.

    :param lines_per_s: rate limit of per-request lines.
    :param count_line: called with ``written`` or ``dropped`` for each line.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        instance: str,
        lines_per_s: int,
        count_line: Callable[[str], None],
        clock: Clock,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._instance = instance
        self._lines_per_s = lines_per_s
        self._count_line = count_line
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._line_bytes = 0
        self._unwritten = b""
        self._rate_window_s = 0
        self._ordinary_count = 0
        self._failure_count = 0
        self._is_flush_scheduled = False

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line for writing, or drop it."""
        number = getattr(record, "event_number", 0)
        if not self._try_admit(number in _PER_REQUEST_EVENTS):
            self._count_line("dropped")
            return
        line = _encode_line(record, instance=self._instance) + b"\n"
        if self._line_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._count_line("dropped")
            return
        self._lines.append(line)
        self._line_bytes += len(line)
        self._count_line("written")
        self._schedule_flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        self._is_flush_scheduled = False
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = b"".join(self._lines)
                self._lines.clear()
                self._line_bytes = 0
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader has closed the pipe: discard the lines. Only the line
                # counter still reports them.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _try_admit(self, is_ordinary: bool) -> bool:
        second = self._clock.now() // SECOND_MS
        if second != self._rate_window_s:
            self._rate_window_s = second
            self._ordinary_count = self._failure_count = 0
        free_lines = MAX_BUFFERED_LINES - len(self._lines)
        if is_ordinary:
            self._ordinary_count += 1
            return (
                self._ordinary_count <= self._lines_per_s
                and free_lines > MAX_BUFFERED_LINES // 2
            )
        self._failure_count += 1
        return (
            self._failure_count <= FAILURE_RATE_FACTOR * self._lines_per_s
            and free_lines > 0
        )

    def _schedule_flush(self) -> None:
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_flush_scheduled = True
        loop.call_later(FLUSH_INTERVAL_MS / SECOND_MS, self.flush)


def set_up_stdout_logging(
    *,
    level: str,
    instance: str,
    lines_per_s: int,
    count_line: Callable[[str], None],
) -> None:
    """Write log events to standard output, one JSON object per line.

    :param level: a level name of :mod:`logging`.
    :param instance: name of the instance, included in each line.
    :param lines_per_s: rate limit of per-request lines.
    :param count_line: called with ``written`` or ``dropped`` for each line.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedOutput(
        descriptor=descriptor,
        instance=instance,
        lines_per_s=lines_per_s,
        count_line=count_line,
        clock=Clock(),
    )
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level.upper())
    _LOGGER.propagate = False
