"""Faults, limits and counters of the engine stand-in."""

from typing import Annotated

import msgspec

from arbutuspulley.data import Document, Message, State
from arbutuspulley.standins.engine_memory import OnOvercommit, RecordedOrder

NonNegative = Annotated[int, msgspec.Meta(ge=0)]
Factor = Annotated[float, msgspec.Meta(gt=0)]


class Control(Document, frozen=True):
    """Body of ``POST /control``; fields that are left out keep their value.

    A number sets how many of the next orders or requests the fault applies to.

    :param drop_orders: close the connection without applying the order.
    :param lose_order_replies: apply the order and close the connection without a
        reply.
    :param hold_orders: close the connection without a reply and hold the order until
        ``release_orders``.
    :param release_orders: apply all held and delayed orders now, in order of arrival.
    :param delay_orders: close the connection without a reply and apply the order
        after ``delay_orders_ms``.
    :param delay_orders_ms: delay of ``delay_orders`` in ms.
    :param refuse_requests: refuse the request before admission.
    :param fail_requests: answer 500 without a run state.
    :param break_requests: admit the request and close the connection without a reply.
    :param break_streams: close the connection after ``break_after_tokens`` tokens.
    :param break_after_tokens: number of tokens sent before ``break_streams`` applies.
    :param skip_end_markers: end the stream normally, but without the end marker.
    :param stray_chunks: insert a late chunk of an old attempt and a duplicate chunk
        into the stream.
    :param slow_factor: factor by which the engine is slower than normal.
    :param crash_marker: a request whose prompt contains this word crashes the engine.
    :param leaving: whether the engine reports that it is leaving and refuses requests.
    :param freeze_reports: whether the engine keeps sending its last report.
    :param on_overcommit: what the engine does with a load that exceeds its memory.
    """

    drop_orders: NonNegative | None = None
    lose_order_replies: NonNegative | None = None
    hold_orders: NonNegative | None = None
    release_orders: bool = False
    delay_orders: NonNegative | None = None
    delay_orders_ms: NonNegative | None = None
    refuse_requests: NonNegative | None = None
    fail_requests: NonNegative | None = None
    break_requests: NonNegative | None = None
    break_streams: NonNegative | None = None
    break_after_tokens: NonNegative | None = None
    skip_end_markers: NonNegative | None = None
    stray_chunks: NonNegative | None = None
    slow_factor: Factor | None = None
    crash_marker: str | None = None
    leaving: bool | None = None
    freeze_reports: bool | None = None
    on_overcommit: OnOvercommit | None = None


class Faults(State):
    """The faults that are currently set; see :class:`Control`."""

    drop_orders: int = 0
    lose_order_replies: int = 0
    hold_orders: int = 0
    delay_orders: int = 0
    delay_orders_ms: int = 1_000
    refuse_requests: int = 0
    fail_requests: int = 0
    break_requests: int = 0
    break_streams: int = 0
    break_after_tokens: int = 1
    skip_end_markers: int = 0
    stray_chunks: int = 0
    crash_marker: str = ""
    leaving: bool = False
    freeze_reports: bool = False


class RunCount(Message, frozen=True, omit_defaults=False):
    """Counters of one request at this engine, over all its attempts.

    :param admitted: attempts that were admitted.
    :param begun: runs that started at the first token.
    :param resumed: runs that started at a later token.
    :param finished: runs that reached the last token.
    :param withdrawn: attempts that were cancelled or lost their connection.
    """

    admitted: int = 0
    begun: int = 0
    resumed: int = 0
    finished: int = 0
    withdrawn: int = 0


class Counters(Message, frozen=True, omit_defaults=False):
    """Body of the reply to ``GET /control/counters``.

    :param worst_memory_mib: peak memory use.
    :param overcommitted: load orders that would have exceeded the memory.
    :param loads: loads that were started; ``loads`` and ``unloads`` together are the
        moves of this engine.
    :param refused: requests refused before admission.
    :param runs: counters by request id.
    :param begun_by_prompt: runs that started at the first token, by prompt digest.
    :param orders: orders that were applied or refused, oldest first.
    """

    server: str
    boot_id: str
    memory_total_mib: int
    memory_used_mib: int
    worst_memory_mib: int
    overcommitted: int
    loads: int
    unloads: int
    tokens: int
    refused: int
    runs: dict[str, RunCount]
    begun_by_prompt: dict[str, int]
    orders: tuple[RecordedOrder, ...]
